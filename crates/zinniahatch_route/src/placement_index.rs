//! Index of the replicas of each service in groups of similar size, so that a placement looks at a
//! few dozen replicas however many there are.
//!
//! Alternatives considered:
//!
//! - All replicas of the region, ranked for each request: 2.8 ms of a core per choice at 10,002
//!   replicas, which is 23 ms on the clock of a node with an eighth of a core.
//! - A hash ring with the next few replicas after a session's point: the loads of replicas differ as
//!   the gaps between their points do, which a choice of four only partly evens out.
//! - Groups by ranges of a hash, and the ranking of all replicas within one group (chosen): with up
//!   to `MAX_GROUP_SIZE` replicas nothing changes, and with more the same ranking evens out the load
//!   among dozens.

use crate::prompt::rendezvous_score;
use zinniahatch_base::prelude::*;

/// Largest mean size of a group.
const MAX_GROUP_SIZE: usize = 64;
/// Seed of the hash by which replicas are ordered.
const ORDER_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Replicas of one service by the hash of their incarnation.
type ServiceReplicas = BTreeMap<(u64, ShortTag), ReplicaId>;

/// The replicas of each service in groups.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementIndex {
    services: BTreeMap<ServiceId, ServiceReplicas>,
}

fn position(tag: ShortTag) -> (u64, ShortTag) {
    (rendezvous_score(ORDER_SEED, tag), tag)
}

impl PlacementIndex {
    /// Adds a replica incarnation.
    pub(crate) fn insert(&mut self, service: &ServiceId, tag: ShortTag, id: &ReplicaId) {
        let replicas = self.services.entry(service.clone()).or_default();
        replicas.insert(position(tag), id.clone());
    }

    /// Removes a replica incarnation.
    pub(crate) fn remove(&mut self, service: &str, tag: ShortTag) {
        if let Some(replicas) = self.services.get_mut(service) {
            replicas.remove(&position(tag));
            if replicas.is_empty() {
                self.services.remove(service);
            }
        }
    }

    /// Returns the groups of a service's replicas: first the one of `key`, then the others in order.
    pub(crate) fn groups(
        &self,
        service: &str,
        key: u64,
    ) -> impl Iterator<Item = impl Iterator<Item = &ReplicaId>> {
        let replicas = self.services.get(service);
        let bits = replicas.map_or(0, |replicas| group_bits(replicas.len()));
        let count = 1_u64 << bits;
        // A shift by all 64 bits would overflow.
        let first = (rendezvous_score(key, 0) >> 1) >> (63 - bits);
        (0..count).filter_map(move |number| {
            let group = (first + number) % count;
            let low = (group << (63 - bits)) << 1;
            let high = low | ((u64::MAX >> 1) >> bits << 1) | 1;
            let range = (low, ShortTag::MIN)..=(high, ShortTag::MAX);
            replicas.map(|replicas| replicas.range(range).map(|(_, id)| id))
        })
    }
}

/// Returns the number of bits that tell the groups of `count` replicas apart.
fn group_bits(count: usize) -> u32 {
    let groups = count.div_ceil(MAX_GROUP_SIZE).max(1);
    groups.next_power_of_two().trailing_zeros()
}
