//! Topics of the store that are watched separately.

use zinniahatch_base::prelude::*;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_platform::BACKEND_PREFIX;
use zinniahatch_platform::OPERATOR_PREFIX;
use zinniahatch_route::ReadScope;
use zinniahatch_route::StoreDigest;
use zinniahatch_route::StoreProgress;

/// Selects the part of a digest that covers a topic.
type DigestPart = fn(&StoreDigest) -> u64;
/// Selects the revision up to which a topic was read.
type ProgressPart = fn(&StoreProgress) -> StoreRevision;

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

    /// Returns for which nodes a reading of the topic by a node of `region` is complete.
    pub(crate) fn scope(self, region: &RegionId) -> ReadScope {
        match self {
            Self::Operator | Self::Preset => ReadScope::Fleet,
            Self::Replicas => ReadScope::Region(region.clone()),
        }
    }

    /// Returns the parts of a store reader's digest and progress that cover the topic, or `None` if
    /// store readers do not cover it.
    pub(crate) fn reported_parts(self) -> Option<(DigestPart, ProgressPart)> {
        match self {
            Self::Operator => Some((|digest| digest.rules, |progress| progress.rules)),
            Self::Replicas => Some((|digest| digest.replicas, |progress| progress.replicas)),
            Self::Preset => None,
        }
    }
}
