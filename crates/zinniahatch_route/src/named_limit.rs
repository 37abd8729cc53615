//! What an answer says of a rate limit of its replica.

use zinniahatch_base::prelude::*;

/// What an answer says of a rate limit of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// Nothing.
    #[default]
    Absent,
    /// Requests a second that the replica takes from all nodes together.
    PerSecond(RequestRate),
    /// Something that is no rate.
    Malformed,
}

impl NamedLimit {
    /// Gives the rate, where one is named.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::PerSecond(rate) => Some(rate),
            Self::Absent | Self::Malformed => None,
        }
    }
}
