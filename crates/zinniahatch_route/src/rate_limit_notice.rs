//! Rate limit that a replica states in a response.

use zinniahatch_base::prelude::*;

/// Rate limit that a replica states in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimitNotice {
    /// The response states none.
    #[default]
    Absent,
    /// Requests per second that the replica accepts from all nodes together.
    PerSecond(RequestRate),
    /// The value is not a rate.
    Malformed,
}

impl RateLimitNotice {
    /// Returns the rate if one is stated.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::PerSecond(rate) => Some(rate),
            Self::Absent | Self::Malformed => None,
        }
    }
}
