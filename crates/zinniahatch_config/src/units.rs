//! Parsing and formatting of durations with units in settings.

use zinniahatch_base::prelude::*;

/// Units and their length in milliseconds, in ascending order.
const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses a duration such as `250ms`, `3s`, `5m` or `1h`.
///
/// # Errors
///
/// Returns a description of the expected format if the text is not a duration.
///
/// # Examples
///
/// ```
/// let duration = zinniahatch_config::parse_duration("3s").unwrap();
/// assert_eq!(duration.as_secs(), 3);
/// assert!(zinniahatch_config::parse_duration("3").is_err());
/// ```
pub fn parse_duration(text: &str) -> Result<Duration, &'static str> {
    const REMEDY: &str = "write a whole number and a unit of ms, s, m or h, such as 250ms";
    let split = text.find(|c: char| !c.is_ascii_digit()).ok_or(REMEDY)?;
    let number: u64 = text[..split].parse().map_err(|_| REMEDY)?;
    for (unit, millis) in UNITS {
        if &text[split..] != unit {
            continue;
        }
        return number
            .checked_mul(millis)
            .map(Duration::from_millis)
            .ok_or(REMEDY);
    }
    Err(REMEDY)
}

/// Formats a duration in the form that [`parse_duration`] reads.
pub fn format_duration(duration: Duration) -> String {
    let millis = duration.as_millis() as u64;
    for (unit, size) in UNITS.iter().rev() {
        if millis >= *size && millis.is_multiple_of(*size) {
            return format!("{}{unit}", millis / size);
        }
    }
    format!("{millis}ms")
}
