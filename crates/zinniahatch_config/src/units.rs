//! Values with units, as they are written in settings.

use zinniahatch_base::prelude::*;

const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Reads a duration such as `250ms`, `3s`, `5m` or `1h`.
///
/// # Errors
///
/// Gives what would be right when the unit is missing or unknown.
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

/// Writes a duration as [`parse_duration`] reads it.
pub fn format_duration(duration: Duration) -> String {
    let millis = duration.as_millis() as u64;
    for (unit, size) in UNITS.iter().rev() {
        if millis >= *size && millis.is_multiple_of(*size) {
            return format!("{}{unit}", millis / size);
        }
    }
    format!("{millis}ms")
}
