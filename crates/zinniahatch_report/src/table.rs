//! Reports as text tables and CSV.

use crate::ReportLine;
use crate::ReportResult;

/// Titles of the columns that follow the grouping fields.
const COLUMNS: [&str; 13] = [
    "requests",
    "answered",
    "refused",
    "unknown",
    "tokens in",
    "cached",
    "tokens out",
    "cost",
    "away",
    "first p50 ms",
    "first p95 ms",
    "whole p50 ms",
    "whole p99 ms",
];

/// Renders a report as an aligned text table.
pub fn render_table(result: &ReportResult) -> String {
    let mut rows = vec![titles(result)];
    rows.extend(result.lines.iter().map(|line| cells(line, result.by.len())));
    rows.push(cells(&result.total, result.by.len()));
    let mut widths = vec![0; rows[0].len()];
    for row in &rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for row in &rows {
        for (index, (width, cell)) in widths.iter().zip(row).enumerate() {
            let pad = " ".repeat(width - cell.chars().count());
            if index < result.by.len().max(1) {
                text.push_str(&format!("{cell}{pad}  "));
            } else {
                text.push_str(&format!("{pad}{cell}  "));
            }
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text.push_str(&notes(result));
    text
}

/// Renders a report as CSV; missing counts are noted in comment lines.
pub fn render_csv(result: &ReportResult) -> String {
    let mut text = titles(result).join(",").replace(' ', "_") + "\n";
    for line in result.lines.iter().chain([&result.total]) {
        let cells: Vec<String> = cells(line, result.by.len())
            .iter()
            .map(|cell| quote(cell))
            .collect();
        text.push_str(&cells.join(","));
        text.push('\n');
    }
    text + &notes(result)
}

fn titles(result: &ReportResult) -> Vec<String> {
    let mut titles: Vec<String> = result
        .by
        .iter()
        .map(|field| field.as_str().to_owned())
        .collect();
    if titles.is_empty() {
        titles.push("all".to_owned());
    }
    titles.extend(COLUMNS.iter().map(|title| (*title).to_owned()));
    titles
}

fn cells(line: &ReportLine, fields: usize) -> Vec<String> {
    let mut cells: Vec<String> = line
        .fields
        .iter()
        .map(std::string::ToString::to_string)
        .collect();
    cells.resize(fields.max(1), String::new());
    for count in [
        line.requests,
        line.answered,
        line.refused,
        line.unknown,
        line.tokens_in,
        line.tokens_cached,
        line.tokens_out,
    ] {
        cells.push(count.to_string());
    }
    cells.push(format!("{:.4}", line.cost));
    cells.push(format!("{:.1}%", line.away_share * 100.0));
    for delay in [
        line.first_p50_ms,
        line.first_p95_ms,
        line.whole_p50_ms,
        line.whole_p99_ms,
    ] {
        cells.push(format!("{delay:.1}"));
    }
    cells
}

fn notes(result: &ReportResult) -> String {
    let mut text = String::new();
    for gap in &result.gaps {
        text.push_str(&format!(
            "# not known: node {} from minute {} to {} since the epoch\n",
            gap.node, gap.from, gap.until
        ));
    }
    for name in &result.unread {
        text.push_str(&format!("# not read: {name}\n"));
    }
    text
}

fn quote(cell: &str) -> String {
    if cell.contains([',', '"', '\n']) {
        return format!("\"{}\"", cell.replace('"', "\"\""));
    }
    cell.to_owned()
}
