//! What this node knows about each backend server: usable, leaving, or not reached.

use zinniahatch_base::prelude::*;

/// Time for which a backend server that could not be reached is left alone.
const REST_TIME: Duration = Duration::from_secs(2);
/// Time for which a mark "leaving" holds unless its source repeats it.
const LEAVING_TIME: Duration = Duration::from_secs(20);

/// What a source says about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMark {
    /// It serves.
    Live,
    /// It is leaving; no new work.
    Leaving,
    /// It could not be reached, or it refused work.
    Unreached,
}

/// Marks by backend server.
///
/// Any one source that says "leaving" suffices (VM list, engine, refused call), because new work
/// on a leaving backend server breaks a promise, and a wrong mark costs a little capacity.
#[derive(Debug, Default)]
pub struct BackendTable {
    leaving: BTreeMap<ShortTag, Instant>,
    told_leaving: BTreeMap<NodeId, (Instant, BTreeSet<ShortTag>)>,
    listed_leaving: BTreeSet<ShortTag>,
    told_unusable: BTreeMap<ServiceId, BTreeSet<ShortTag>>,
    resting: BTreeMap<ShortTag, Instant>,
    slots: BTreeMap<ShortTag, u16>,
}

impl BackendTable {
    /// Says whether new work may be given to a backend server.
    pub fn is_usable(&self, now: Instant, replica: ShortTag) -> bool {
        !self
            .told_unusable
            .values()
            .any(|tags| tags.contains(&replica))
            && self.is_usable_here(now, replica)
    }

    /// Says the same, leaving out what the keeper told, for the keeper's own use.
    pub fn is_usable_here(&self, now: Instant, replica: ShortTag) -> bool {
        let told = |(at, tags): &(Instant, BTreeSet<ShortTag>)| {
            now.duration_since(*at) < LEAVING_TIME && tags.contains(&replica)
        };
        !self.knows_leaving(now, replica)
            && !self.told_leaving.values().any(told)
            && self.resting.get(&replica).is_none_or(|until| now >= *until)
    }

    /// Gives the backend servers that this node's own sources call leaving, to be told to others.
    pub fn leaving(&self, now: Instant) -> Vec<ShortTag> {
        let marked = self
            .leaving
            .keys()
            .filter(|tag| self.knows_leaving(now, **tag));
        let all: BTreeSet<ShortTag> = marked.chain(&self.listed_leaving).copied().collect();
        all.into_iter().collect()
    }

    /// Gives the slots that the engine itself reports, where it reports any.
    pub fn reported_slots(&self, replica: ShortTag) -> Option<u16> {
        self.slots.get(&replica).copied()
    }

    /// Takes a mark from a poll or a call.
    pub fn mark(&mut self, now: Instant, replica: ShortTag, mark: BackendMark) {
        match mark {
            BackendMark::Live => {
                self.leaving.remove(&replica);
                self.resting.remove(&replica);
            }
            BackendMark::Leaving => {
                self.leaving.insert(replica, now);
            }
            BackendMark::Unreached => {
                self.resting.insert(replica, now + REST_TIME);
            }
        }
    }

    /// Takes the slots that an engine reports.
    pub fn report_slots(&mut self, replica: ShortTag, slots: u16) {
        self.slots.insert(replica, slots);
    }

    /// Takes the platform's list of leaving VMs.
    pub fn take_list(&mut self, leaving: BTreeSet<ShortTag>) {
        self.listed_leaving = leaving;
    }

    /// Forgets what a pool's keeper said, when another one takes over.
    ///
    /// Without this, the marks of a keeper that is gone would keep a backend server out for good.
    pub fn forget_told(&mut self, service: &str) {
        self.told_unusable.remove(service);
    }

    /// Takes what the keeper of a pool says.
    pub fn take_told(&mut self, service: &ServiceId, unusable: &[ShortTag]) {
        self.told_unusable
            .insert(service.clone(), unusable.iter().copied().collect());
    }

    /// Takes what another member knows to be leaving.
    pub fn take_leaving(&mut self, now: Instant, node: &NodeId, leaving: &[ShortTag]) {
        if leaving.is_empty() {
            self.told_leaving.remove(node);
            return;
        }
        let tags = leaving.iter().copied().collect();
        self.told_leaving.insert(node.clone(), (now, tags));
    }

    fn knows_leaving(&self, now: Instant, replica: ShortTag) -> bool {
        let marked = self
            .leaving
            .get(&replica)
            .is_some_and(|at| now.duration_since(*at) < LEAVING_TIME);
        marked || self.listed_leaving.contains(&replica)
    }
}
