//! Notices of a replica about itself in the headers of one response.
//!
//! All of them are decoded together and applied in one place, so that none is left unread.

use crate::RateLimitNotice;
use zinniahatch_base::prelude::*;

/// Whether a replica states in a response that it is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainNotice {
    /// The response states nothing.
    #[default]
    Absent,
    /// The replica is leaving and will not take work again in this incarnation.
    Leaving,
    /// The value is invalid.
    Malformed,
}

/// Time for which a replica asks this node to send it nothing (Retry-After).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackoffNotice {
    /// The response states none.
    #[default]
    Absent,
    /// The replica asks for a backoff of this duration.
    For(Duration),
    /// The value is not a duration.
    Malformed,
}

impl BackoffNotice {
    /// Returns the duration if one is stated.
    pub fn time(self) -> Option<Duration> {
        match self {
            Self::For(time) => Some(time),
            Self::Absent | Self::Malformed => None,
        }
    }
}

/// Notices of a replica about itself in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaNotice {
    /// Whether it is leaving.
    pub leaving: DrainNotice,
    /// Backoff asked of the node whose request it refused.
    pub backoff: BackoffNotice,
    /// Rate limit of the replica.
    pub rate_limit: RateLimitNotice,
    /// Numbers of running requests, waiting requests and slots.
    pub load: Option<(u32, u32, u32)>,
    /// Remaining time for which it is cold.
    pub cold_for: Option<Duration>,
}
