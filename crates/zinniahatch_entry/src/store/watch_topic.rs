//! Topics of the store that are watched separately.

use zinniahatch_config::PRESET_KEY;
use zinniahatch_platform::BACKEND_PREFIX;
use zinniahatch_platform::OPERATOR_PREFIX;
use zinniahatch_route::StoreDigest;

/// A set of keys with a watch of its own, which wakes only for these keys.
///
/// With a single watch over all keys, every node woke for the registration of each other node and
/// for each write of usage counts, so the load grew with the square of the fleet.
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

    /// The topic whose watch detects the recovery of the store after an outage.
    pub(crate) const RECOVERY_PROBE: Self = Self::Operator;

    /// Returns the key prefix of the topic.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_PREFIX,
            Self::Replicas => BACKEND_PREFIX,
            Self::Preset => PRESET_KEY,
        }
    }

    /// Returns the part of a store reader's digest that covers the topic, or `None` if store
    /// readers do not cover it.
    pub(crate) fn digest(self) -> Option<fn(&StoreDigest) -> u64> {
        match self {
            Self::Operator => Some(|digest| digest.rules),
            Self::Replicas => Some(|digest| digest.replicas),
            Self::Preset => None,
        }
    }
}
