//! Commands for a site, which access only the store of the users' platform.

use crate::CtlError;
use crate::args::ReportArgs;
use crate::report::resolve_hour;
use crate::site_args::SiteArgs;
use crate::site_args::SiteCommand;
use crate::site_args::SiteSwitchArgs;
use zinniahatch_base::prelude::*;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_config::format_serving_preset;
use zinniahatch_config::parse_serving_preset;
use zinniahatch_platform::KvClient;
use zinniahatch_platform::PutOutcome;
use zinniahatch_platform::StoreClient;
use zinniahatch_platform::StoreError;
use zinniahatch_report::ACCOUNTS_PREFIX;
use zinniahatch_report::CountTable;
use zinniahatch_report::HourlyCounts;
use zinniahatch_report::ReportField;
use zinniahatch_report::ReportQuery;
use zinniahatch_report::render_csv;
use zinniahatch_report::render_table;
use zinniahatch_report::run_query;
use zinniahatch_route::ServingPreset;

/// Attempts of a switch whose response was lost or that conflicted with another operator's switch.
const MAX_ATTEMPTS: u32 = 5;
/// Time-out for one page of the listing of counts.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a `site` command.
pub(crate) async fn run(format: &str, args: SiteArgs) -> Result<String, CtlError> {
    let address = args
        .store
        .or_else(|| std::env::var("ZINNIA_STORE").ok())
        .ok_or_else(|| {
            CtlError::Refused("no store given; use --store IP:port or set ZINNIA_STORE".into())
        })?;
    let store = KvClient::new(&address);
    match args.command {
        SiteCommand::Show(_) => show(&store).await,
        SiteCommand::Switch(switch) => switch_preset(&store, &switch).await,
        SiteCommand::Report(args) => report(&store, format, &args).await,
    }
}

fn refused(error: impl ToString) -> CtlError {
    CtlError::Refused(error.to_string())
}

/// Reads the preset in force and its revision in the store, which is 0 if none was ever written.
async fn current_preset(store: &KvClient) -> Result<(ServingPreset, u64), CtlError> {
    match StoreClient::get(store, PRESET_KEY).await.map_err(refused)? {
        Some(value) => {
            let preset = parse_serving_preset(PRESET_KEY, &value.value).map_err(refused)?;
            Ok((preset, value.revision))
        }
        None => Ok((ServingPreset::default(), 0)),
    }
}

async fn show(store: &KvClient) -> Result<String, CtlError> {
    let (preset, _) = current_preset(store).await?;
    Ok(format_serving_preset(&preset))
}

/// Puts a preset in force by compare-and-swap.
///
/// If the response is lost, the next attempt reads the preset in force; if it is the one that this
/// switch sent, the switch has taken effect. After a conflict with another operator's switch, this
/// one is applied on top of it or, with `--from`, fails.
async fn switch_preset(store: &KvClient, args: &SiteSwitchArgs) -> Result<String, CtlError> {
    let text = std::fs::read_to_string(&args.file)
        .map_err(|error| refused(format!("{}: {error}", args.file)))?;
    let wanted = parse_serving_preset(&args.file, &text).map_err(refused)?;
    let mut sent: Option<ServingPreset> = None;
    for _ in 0..MAX_ATTEMPTS {
        let Ok((current, revision)) = current_preset(store).await else {
            continue;
        };
        if sent.as_ref() == Some(&current) {
            return Ok(in_force(&current));
        }
        if let Some(from) = &args.from
            && **from != *current.name
        {
            return Err(refused(format!(
                "the preset in force is `{}`, not `{from}`; check it and try again",
                current.name
            )));
        }
        let next = ServingPreset {
            revision: current.revision + 1,
            ..wanted.clone()
        };
        sent = Some(next.clone());
        let body = format_serving_preset(&next);
        match store.put(PRESET_KEY, &body, Some(revision), None).await {
            Ok(PutOutcome::Done(_)) => return Ok(in_force(&next)),
            Ok(PutOutcome::Conflict) | Err(StoreError::Unavailable(_)) => sent = None,
            Err(StoreError::ResponseLost(_)) => {}
        }
    }
    Err(refused(
        "it is unknown whether the switch took effect; run `zinniactl site preset` once the store \
         answers",
    ))
}

fn in_force(preset: &ServingPreset) -> String {
    format!(
        "preset {} is in force, switch {}\n",
        preset.name, preset.revision
    )
}

async fn report(store: &KvClient, format: &str, args: &ReportArgs) -> Result<String, CtlError> {
    let mut by = Vec::new();
    for word in args.by.split(',') {
        let field = ReportField::parse(word.trim()).ok_or_else(|| {
            refused(format!(
                "`{word}` is not a field; the fields are: {}",
                ReportField::NAMES
            ))
        })?;
        by.push(field);
    }
    let query = ReportQuery {
        by,
        from: resolve_hour(args.from),
        until: resolve_hour(args.until),
        accounts: None,
    };
    let listing = store
        .items(ACCOUNTS_PREFIX, LIST_TIMEOUT)
        .await
        .map_err(refused)?;
    let mut counts = CountTable::default();
    let mut gaps = Vec::new();
    let mut unread = Vec::new();
    for item in listing.rejected {
        unread.push(item.key.unwrap_or_else(|| "(an item without a key)".into()));
    }
    for item in listing.items {
        match serde_json::from_slice::<HourlyCounts>(&item.value) {
            Ok(hourly) => {
                counts.merge(&hourly.counts);
                gaps.extend(hourly.gaps);
            }
            Err(_) => unread.push(item.key),
        }
    }
    let result = run_query(&query, &counts, gaps, unread);
    Ok(match format {
        "json" => serde_json::to_string_pretty(&result).unwrap_or_default() + "\n",
        "csv" => render_csv(&result),
        _ => render_table(&result),
    })
}
