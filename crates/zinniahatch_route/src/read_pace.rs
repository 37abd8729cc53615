//! How long a store reader pauses between two reads of the changes.

use zinniahatch_base::prelude::*;

/// Returns the pause after a response with some changes, from the pause after a single one.
pub fn read_pause(changes: usize, longest: Duration) -> Duration {
    if changes == 0 {
        Duration::ZERO
    } else {
        longest
    }
}
