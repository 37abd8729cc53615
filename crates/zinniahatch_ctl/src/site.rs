//! Commands for a system on the users' platform; they go through the platform's store alone.

use crate::CtlError;
use crate::args::ReportArgs;
use crate::report::hour;
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
use zinniahatch_report::CountSheet;
use zinniahatch_report::HourLedger;
use zinniahatch_report::ReportField;
use zinniahatch_report::ReportQuery;
use zinniahatch_report::render_csv;
use zinniahatch_report::render_table;
use zinniahatch_report::run_query;
use zinniahatch_route::ServingPreset;

/// Tries of a switch whose answer was lost or that met another operator's.
const MOST_TRIES: u32 = 5;
/// Time for a page of the listing of counts.
const LIST_TIME: Duration = Duration::from_secs(5);

/// Runs a command.
pub(crate) async fn run(format: &str, args: SiteArgs) -> Result<String, CtlError> {
    let address = args
        .store
        .or_else(|| std::env::var("ZINNIA_STORE").ok())
        .ok_or_else(|| {
            CtlError::Refused("no store; give --store IP:port or set ZINNIA_STORE".into())
        })?;
    let store = KvClient::new(&address);
    match args.command {
        SiteCommand::Show(_) => show(&store).await,
        SiteCommand::Switch(switch) => put_in_force(&store, &switch).await,
        SiteCommand::Report(report) => tell(&store, format, &report).await,
    }
}

fn refused(error: impl ToString) -> CtlError {
    CtlError::Refused(error.to_string())
}

/// Reads the preset in force and the store's revision of it; 0 where none was ever switched.
async fn current(store: &KvClient) -> Result<(ServingPreset, u64), CtlError> {
    match StoreClient::get(store, PRESET_KEY).await.map_err(refused)? {
        Some(value) => {
            let preset = parse_serving_preset(PRESET_KEY, &value.value).map_err(refused)?;
            Ok((preset, value.revision))
        }
        None => Ok((ServingPreset::default(), 0)),
    }
}

async fn show(store: &KvClient) -> Result<String, CtlError> {
    let (preset, _) = current(store).await?;
    Ok(format_serving_preset(&preset))
}

/// Puts a preset in force by compare-and-swap.
///
/// When the answer is lost, the next try reads what is in force: if it is this very switch, it has
/// taken effect. A switch that meets another operator's either follows it or, with `--from`, stops.
async fn put_in_force(store: &KvClient, args: &SiteSwitchArgs) -> Result<String, CtlError> {
    let text = std::fs::read_to_string(&args.file)
        .map_err(|error| refused(format!("{}: {error}", args.file)))?;
    let wanted = parse_serving_preset(&args.file, &text).map_err(refused)?;
    let mut sent: Option<ServingPreset> = None;
    for _ in 0..MOST_TRIES {
        let Ok((held, revision)) = current(store).await else {
            continue;
        };
        if sent.as_ref() == Some(&held) {
            return Ok(in_force(&held));
        }
        if let Some(from) = &args.from
            && **from != *held.name
        {
            return Err(refused(format!(
                "the preset in force is `{}` and not `{from}`; look again and decide anew",
                held.name
            )));
        }
        let next = ServingPreset {
            revision: held.revision + 1,
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
        "it is not known whether the switch took effect; `zinniactl site preset` tells once the \
         store answers",
    ))
}

fn in_force(preset: &ServingPreset) -> String {
    format!(
        "preset {} is in force, switch {}\n",
        preset.name, preset.revision
    )
}

async fn tell(store: &KvClient, format: &str, args: &ReportArgs) -> Result<String, CtlError> {
    let mut by = Vec::new();
    for word in args.by.split(',') {
        let field = ReportField::parse(word.trim()).ok_or_else(|| {
            refused(format!(
                "`{word}` is no field; write some of: {}",
                ReportField::NAMES
            ))
        })?;
        by.push(field);
    }
    let query = ReportQuery {
        by,
        from: hour(args.from),
        until: hour(args.until),
        accounts: None,
    };
    let listing = store
        .items(ACCOUNTS_PREFIX, LIST_TIME)
        .await
        .map_err(refused)?;
    let mut sheet = CountSheet::default();
    let mut gaps = Vec::new();
    let mut unread = Vec::new();
    for item in listing.items {
        match serde_json::from_slice::<HourLedger>(&item.value) {
            Ok(ledger) => {
                sheet.merge(&ledger.sheet);
                gaps.extend(ledger.gaps);
            }
            Err(_) => unread.push(item.key),
        }
    }
    let result = run_query(&query, &sheet, gaps, unread);
    Ok(match format {
        "json" => serde_json::to_string_pretty(&result).unwrap_or_default() + "\n",
        "csv" => render_csv(&result),
        _ => render_table(&result),
    })
}
