//! What a replica says of itself in one answer.
//!
//! All of it is decoded at once and taken in one place, so that nothing that a replica says is left unread.

use crate::NamedLimit;
use zinniahatch_base::prelude::*;

/// What an answer says of the leaving of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedLeaving {
    /// Nothing.
    #[default]
    Absent,
    /// It leaves, for the rest of its life.
    Leaving,
    /// Something that says neither.
    Malformed,
}

/// What an answer says of the time for which its replica wants nothing from this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedRest {
    /// Nothing.
    #[default]
    Absent,
    /// It wants nothing for so long.
    For(Duration),
    /// Something that is no time.
    Malformed,
}

impl NamedRest {
    /// Gives the time, where one is named.
    pub fn time(self) -> Option<Duration> {
        match self {
            Self::For(time) => Some(time),
            Self::Absent | Self::Malformed => None,
        }
    }
}

/// What a replica says of itself in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaNotice {
    /// Whether it leaves.
    pub leaving: NamedLeaving,
    /// The time for which it wants nothing from the node that it turned away.
    pub rest: NamedRest,
    /// The rate limit that it names.
    pub rate_limit: NamedLimit,
    /// Its running and waiting requests and its slots.
    pub load: Option<(u32, u32, u32)>,
    /// How much longer it is cold.
    pub cold_for: Option<Duration>,
}
