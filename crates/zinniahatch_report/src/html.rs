//! Reports as one self-contained HTML page with plots.

use crate::ReportLine;
use crate::ReportResult;
use crate::render_table;
use plotters::prelude::*;

const PLOT_SIZE: (u32, u32) = (760, 260);
/// Limit of the report lines that one plot shows.
const MAX_BARS: usize = 24;

/// Renders a report as an HTML page that compares it with the previous period.
///
/// # Errors
///
/// Returns the error text of the plotting library.
pub fn render_html(
    title: &str,
    result: &ReportResult,
    previous: &ReportResult,
) -> Result<String, String> {
    let plots = [
        ("Cost", plot(result, previous, |line| line.cost)?),
        (
            "Delay to the end, 99th percentile, ms",
            plot(result, previous, |line| line.whole_p99_ms)?,
        ),
        (
            "Delay to the first byte, 95th percentile, ms",
            plot(result, previous, |line| line.first_p95_ms)?,
        ),
        (
            "Share served away, %",
            plot(result, previous, |line| line.away_share * 100.0)?,
        ),
        (
            "Refused",
            plot(result, previous, |line| line.refused as f64)?,
        ),
    ];
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>body{{font-family:sans-serif;margin:2em}}pre{{overflow-x:auto}}</style></head><body><h1>{0}</h1>",
        escape(title)
    );
    page.push_str("<p>Dark bars: this period. Light bars: the period before.</p>");
    for (name, svg) in plots {
        page.push_str(&format!("<h2>{}</h2>{svg}", escape(name)));
    }
    page.push_str(&format!(
        "<h2>Figures</h2><pre>{}</pre>",
        escape(&render_table(result))
    ));
    page.push_str(&format!(
        "<h2>The period before</h2><pre>{}</pre></body></html>",
        escape(&render_table(previous))
    ));
    Ok(page)
}

fn plot(
    result: &ReportResult,
    previous: &ReportResult,
    value: impl Fn(&ReportLine) -> f64,
) -> Result<String, String> {
    let lines: Vec<&ReportLine> = result.lines.iter().take(MAX_BARS).collect();
    let previous_value = |line: &ReportLine| {
        previous
            .lines
            .iter()
            .find(|candidate| candidate.fields == line.fields)
            .map_or(0.0, &value)
    };
    let highest = lines
        .iter()
        .map(|line| value(line).max(previous_value(line)))
        .fold(0.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let bottom = PLOT_SIZE.1 as i32 - 40;
        let max_height = f64::from(bottom - 20);
        let step = ((PLOT_SIZE.0 as i32 - 20) / lines.len().max(1) as i32).min(120);
        let style = ("sans-serif", 11).into_font();
        for (index, line) in lines.iter().enumerate() {
            let left = 10 + index as i32 * step;
            let height = |amount: f64| {
                if highest > 0.0 {
                    (amount / highest * max_height) as i32
                } else {
                    0
                }
            };
            let bars = [
                (left, previous_value(line), RGBColor(185, 200, 215)),
                (left + step / 3, value(line), RGBColor(40, 80, 120)),
            ];
            for (x, amount, colour) in bars {
                let corners = [(x, bottom - height(amount)), (x + step / 3, bottom)];
                area.draw(&Rectangle::new(corners, colour.filled()))
                    .map_err(|error| error.to_string())?;
            }
            let label = format!("{:.2}", value(line));
            area.draw(&Text::new(
                label,
                (left, bottom - height(value(line)) - 14),
                style.clone(),
            ))
            .map_err(|error| error.to_string())?;
            let name: String = line
                .fields
                .join(" ")
                .chars()
                .take(step as usize / 6)
                .collect();
            area.draw(&Text::new(name, (left, bottom + 6), style.clone()))
                .map_err(|error| error.to_string())?;
        }
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
