//! Wall-clock time, for display and reports; not for time-outs.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the milliseconds since the epoch.
pub(crate) fn epoch_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}

/// Returns the minutes since the epoch.
pub(crate) fn epoch_minute() -> u64 {
    const MILLIS_PER_MINUTE: u64 = 60_000;
    epoch_millis() / MILLIS_PER_MINUTE
}
