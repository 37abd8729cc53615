//! What the watches over the store follow.

use zinniahatch_config::PRESET_KEY;
use zinniahatch_platform::BACKEND_PREFIX;
use zinniahatch_platform::OPERATOR_PREFIX;
use zinniahatch_route::StoreDigest;

/// What one watch follows. Each wakes only for its own keys: where one watch saw all keys, every node
/// woke for the key of each other node and for each account sheet, which is the square of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WatchTopic {
    /// The desired state and evacuations.
    Operator,
    /// The replicas.
    Replicas,
    /// The preset in force.
    Preset,
}

impl WatchTopic {
    /// All topics.
    pub(crate) const ALL: [Self; 3] = [Self::Operator, Self::Replicas, Self::Preset];

    /// The topic whose watch looks for the return of a store that is away.
    pub(crate) const SCOUT: Self = Self::Operator;

    /// Gives the start of its keys.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_PREFIX,
            Self::Replicas => BACKEND_PREFIX,
            Self::Preset => PRESET_KEY,
        }
    }

    /// Gives the part of a reader's digest that stands for the topic; none where nobody reads it for all.
    pub(crate) fn digest(self) -> Option<fn(&StoreDigest) -> u64> {
        match self {
            Self::Operator => Some(|digest| digest.rules),
            Self::Replicas => Some(|digest| digest.replicas),
            Self::Preset => None,
        }
    }
}
