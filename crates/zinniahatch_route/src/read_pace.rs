//! How long a store reader pauses between two reads of the changes.
//!
//! Each read is a call that the platform counts, and changes in quick succession should share one. The
//! store returns only so many changes at once and keeps them for only so long: a reader that pauses
//! although more are waiting falls behind, and has to list everything again once they are discarded.

use zinniahatch_base::prelude::*;

/// Changes in one response from which the next read follows at once; well below the number that the
/// store returns at most.
const BUSY_CHANGES: u32 = 256;

/// Returns the pause after a response with some changes, from the pause after a single one.
pub fn read_pause(changes: usize, longest: Duration) -> Duration {
    let changes = u32::try_from(changes).unwrap_or(u32::MAX);
    longest * BUSY_CHANGES.saturating_sub(changes) / BUSY_CHANGES
}
