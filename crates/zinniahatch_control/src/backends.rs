//! Availability of backend servers: usable, leaving, or unreachable.

use zinniahatch_base::prelude::*;

/// Backoff after a backend server could not be reached.
const UNREACHED_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a "leaving" status expires unless its source repeats it.
const LEAVING_TTL: Duration = Duration::from_secs(20);

/// Status of a backend server according to one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendStatus {
    /// It accepts work.
    Live,
    /// It is leaving and must get no new work.
    Leaving,
    /// It could not be reached, or it refused work.
    Unreached,
}

/// Status of the backend servers from all sources.
///
/// A "leaving" status from any one source (VM list, engine, refused request) is sufficient:
/// new work on a leaving backend server violates a guarantee, whereas a wrong status only costs
/// a little capacity.
#[derive(Debug, Default)]
pub struct BackendTable {
    leaving: BTreeMap<ShortTag, Instant>,
    peer_leaving: BTreeMap<NodeId, (Instant, BTreeSet<ShortTag>)>,
    listed_leaving: BTreeSet<ShortTag>,
    reported_unusable: BTreeMap<ServiceId, BTreeSet<ShortTag>>,
    backoff_until: BTreeMap<ShortTag, Instant>,
    slots: BTreeMap<ShortTag, u16>,
}

impl BackendTable {
    /// Returns whether new work may be sent to a backend server.
    pub fn is_usable(&self, now: Instant, replica: ShortTag) -> bool {
        !self
            .reported_unusable
            .values()
            .any(|tags| tags.contains(&replica))
            && self.is_usable_locally(now, replica)
    }

    /// Returns the same without the coordinator's own report, for use by the coordinator.
    pub fn is_usable_locally(&self, now: Instant, replica: ShortTag) -> bool {
        let reported = |(at, tags): &(Instant, BTreeSet<ShortTag>)| {
            now.duration_since(*at) < LEAVING_TTL && tags.contains(&replica)
        };
        !self.is_leaving_locally(now, replica)
            && !self.peer_leaving.values().any(reported)
            && self
                .backoff_until
                .get(&replica)
                .is_none_or(|until| now >= *until)
    }

    /// Returns the backend servers that this node's own sources report as leaving.
    ///
    /// The node announces them to the other members.
    pub fn leaving(&self, now: Instant) -> Vec<ShortTag> {
        let marked = self
            .leaving
            .keys()
            .filter(|tag| self.is_leaving_locally(now, **tag));
        let all: BTreeSet<ShortTag> = marked.chain(&self.listed_leaving).copied().collect();
        all.into_iter().collect()
    }

    /// Returns the number of slots that the engine itself reports, if any.
    pub fn reported_slots(&self, replica: ShortTag) -> Option<u16> {
        self.slots.get(&replica).copied()
    }

    /// Applies a status from a poll or a request.
    pub fn set_status(&mut self, now: Instant, replica: ShortTag, status: BackendStatus) {
        match status {
            BackendStatus::Live => {
                self.leaving.remove(&replica);
                self.backoff_until.remove(&replica);
            }
            BackendStatus::Leaving => {
                self.leaving.insert(replica, now);
            }
            BackendStatus::Unreached => {
                self.backoff_until.insert(replica, now + UNREACHED_BACKOFF);
            }
        }
    }

    /// Stores the number of slots that an engine reports.
    pub fn report_slots(&mut self, replica: ShortTag, slots: u16) {
        self.slots.insert(replica, slots);
    }

    /// Replaces the platform's list of leaving VMs.
    pub fn set_listed_leaving(&mut self, leaving: BTreeSet<ShortTag>) {
        self.listed_leaving = leaving;
    }

    /// Clears the unusable backend servers reported by a pool's previous coordinator.
    ///
    /// Otherwise the report of a failed coordinator would exclude a backend server permanently.
    pub fn clear_reported_unusable(&mut self, service: &str) {
        self.reported_unusable.remove(service);
    }

    /// Stores the unusable backend servers that a pool's coordinator reports.
    pub fn set_reported_unusable(&mut self, service: &ServiceId, unusable: &[ShortTag]) {
        self.reported_unusable
            .insert(service.clone(), unusable.iter().copied().collect());
    }

    /// Stores the leaving backend servers that another member reports.
    pub fn set_peer_leaving(&mut self, now: Instant, node: &NodeId, leaving: &[ShortTag]) {
        if leaving.is_empty() {
            self.peer_leaving.remove(node);
            return;
        }
        let tags = leaving.iter().copied().collect();
        self.peer_leaving.insert(node.clone(), (now, tags));
    }

    fn is_leaving_locally(&self, now: Instant, replica: ShortTag) -> bool {
        let marked = self
            .leaving
            .get(&replica)
            .is_some_and(|at| now.duration_since(*at) < LEAVING_TTL);
        marked || self.listed_leaving.contains(&replica)
    }
}
