//! The `report` command.

use crate::CtlError;
use crate::args::ReportArgs;
use crate::client::AdminClient;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use zinniahatch_report::ReportResult;
use zinniahatch_report::render_csv;
use zinniahatch_report::render_html;
use zinniahatch_report::render_table;

const SECONDS_PER_HOUR: u64 = 3_600;

/// Fetches a report and renders it.
pub(crate) async fn run(
    client: &AdminClient,
    format: &str,
    args: &ReportArgs,
) -> Result<String, CtlError> {
    if !["table", "json", "csv", "html"].contains(&format) {
        return Err(CtlError::Refused(format!(
            "`{format}` is not a format; the formats of a report are: table, json, csv, html"
        )));
    }
    let from = resolve_hour(args.from);
    let until = resolve_hour(args.until);
    let result = fetch(client, &args.by, from, until).await?;
    match format {
        "json" => Ok(serde_json::to_string_pretty(&result).unwrap_or_default() + "\n"),
        "csv" => Ok(render_csv(&result)),
        "html" => {
            let hours = until.saturating_sub(from) + 1;
            let previous = fetch(
                client,
                &args.by,
                from.saturating_sub(hours),
                until.saturating_sub(hours),
            )
            .await?;
            render_html("Who got what", &result, &previous).map_err(CtlError::Refused)
        }
        _ => Ok(render_table(&result)),
    }
}

async fn fetch(
    client: &AdminClient,
    by: &str,
    from: u64,
    until: u64,
) -> Result<ReportResult, CtlError> {
    let query = [
        ("by", by.to_owned()),
        ("from", from.to_string()),
        ("until", until.to_string()),
    ];
    client.get("report", &query).await
}

/// Returns an hour from the epoch; a value that is not positive counts back from the current hour.
pub(crate) fn resolve_hour(given: i64) -> u64 {
    if given > 0 {
        return given.unsigned_abs();
    }
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_secs());
    (now / SECONDS_PER_HOUR).saturating_sub(given.unsigned_abs())
}
