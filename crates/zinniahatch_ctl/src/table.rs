//! Output of lists of JSON objects as text tables, CSV or JSON.

use crate::CtlError;
use serde_json::Value;

/// Renders a list of objects in the requested format; the keys of the first object are the columns.
pub(crate) fn render(format: &str, rows: &[Value]) -> Result<String, CtlError> {
    match format {
        "json" => Ok(serde_json::to_string_pretty(rows).unwrap_or_default() + "\n"),
        "csv" => Ok(csv(rows)),
        "table" => Ok(table(rows)),
        other => Err(CtlError::Refused(format!(
            "`{other}` is not a format; the formats are: table, json, csv"
        ))),
    }
}

fn csv(rows: &[Value]) -> String {
    let mut text = String::new();
    for line in lines(rows) {
        let cells: Vec<String> = line
            .iter()
            .map(|cell| {
                if cell.contains([',', '"', '\n']) {
                    format!("\"{}\"", cell.replace('"', "\"\""))
                } else {
                    cell.clone()
                }
            })
            .collect();
        text.push_str(&(cells.join(",") + "\n"));
    }
    text
}

fn table(rows: &[Value]) -> String {
    let lines = lines(rows);
    let mut widths = vec![0; lines.first().map_or(0, Vec::len)];
    for line in &lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for line in &lines {
        let cells: Vec<String> = widths
            .iter()
            .zip(line)
            .map(|(width, cell)| format!("{cell:width$}"))
            .collect();
        text.push_str((cells.join("  ")).trim_end());
        text.push('\n');
    }
    text
}

fn lines(rows: &[Value]) -> Vec<Vec<String>> {
    let Some(Value::Object(first)) = rows.first() else {
        return Vec::new();
    };
    let names: Vec<&String> = first.keys().collect();
    let mut lines = vec![
        names
            .iter()
            .map(|name| (*name).clone())
            .collect::<Vec<String>>(),
    ];
    for row in rows {
        lines.push(names.iter().map(|name| cell(&row[name.as_str()])).collect());
    }
    lines
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        Value::Bool(_) | Value::Number(_) | Value::Array(_) | Value::Object(_) => value.to_string(),
    }
}
