//! Exchange of in-flight work between the nodes of a region.
//!
//! Load pattern: at a regional peak each of many nodes places a few requests per second, all based
//! on what they know of the same replicas. If updates are 180 ms old, 200 placements are unknown
//! at 1,100 requests/s, each of which takes a replica 60 to 190 ms of prefill, and all nodes
//! choose the replica that was idle.

use crate::CachedPrefix;
use crate::InFlightWork;
use crate::PromptPart;
use crate::RegionUsage;
use zinniahatch_base::prelude::*;

/// Maximum number of pending cached prefixes; further ones are dropped. The pending ones are kept,
/// since older information is still better than none.
const MAX_PREFIXES: usize = 64;
/// Time for which the same prefix at the same replica is not announced again: the other
/// nodes keep an LRU order, and a replica evicts parts only after many seconds.
const PREFIX_REPEAT_TIME: Duration = Duration::from_secs(2);
/// Time after which the sequence number of a silent process is dropped.
const DROP_AFTER: Duration = Duration::from_secs(30);
/// Approximate size of an update in a datagram, without its entries, in bytes.
const UPDATE_BYTES: usize = 12;
/// Approximate size of the work at one replica: its tag and four small numbers.
const WORK_BYTES: usize = 12;
/// Approximate size of a cached prefix without its parts, and of each part.
const PREFIX_BYTES: usize = 6;
const PREFIX_PART_BYTES: usize = 13;

domain! {
    /// Update of a process's in-flight work.
    pub struct WorkUpdate {
        /// The tag of the process.
        pub origin: ShortTag,
        /// Sequence number, increasing with each update.
        pub number: u32,
        /// In-flight work that changed, by replica tag.
        pub work: Vec<(ShortTag, InFlightWork)>,
        /// Shared prompt parts that replicas were sent.
        pub prefixes: Vec<CachedPrefix>
    }
}

impl WorkUpdate {
    /// Returns the approximate size in a datagram.
    fn bytes(&self) -> usize {
        let prefixes = self.prefixes.iter();
        let prefixes: usize = prefixes
            .map(|prefix| PREFIX_BYTES + PREFIX_PART_BYTES * prefix.parts.len())
            .sum();
        UPDATE_BYTES + WORK_BYTES * self.work.len() + prefixes
    }

    /// Merges a newer update of the same process.
    fn merge(&mut self, newer: Self) {
        for (tag, work) in newer.work {
            match self.work.iter_mut().find(|(known, _)| *known == tag) {
                Some(known) => known.1 = work,
                None => self.work.push((tag, work)),
            }
        }
        self.prefixes.extend(newer.prefixes);
        self.number = newer.number;
    }
}

/// Pending updates of this node's work, and the sequence numbers received from other processes.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkSync {
    changed: BTreeSet<ShortTag>,
    prefixes: Vec<CachedPrefix>,
    /// When a prefix was last announced, by replica and by the tag of the last part.
    announced_at: BTreeMap<(ShortTag, u64), Instant>,
    /// Last sequence number of each process, and when it was received.
    sequences: BTreeMap<ShortTag, (u32, Instant)>,
}

impl WorkSync {
    pub(crate) fn note_changed(&mut self, replica: ShortTag) {
        self.changed.insert(replica);
    }

    pub(crate) fn take_changed(&mut self) -> BTreeSet<ShortTag> {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn note_prefix(&mut self, replica: ShortTag, shared: &[PromptPart], now: Instant) {
        let Some(last) = shared.last() else {
            return;
        };
        let known = self.announced_at.get(&(replica, last.tag));
        let is_repeat =
            known.is_some_and(|at| now.saturating_duration_since(*at) < PREFIX_REPEAT_TIME);
        if is_repeat || self.prefixes.len() >= MAX_PREFIXES {
            return;
        }
        self.announced_at.insert((replica, last.tag), now);
        self.prefixes.push(CachedPrefix {
            replica,
            parts: shared.to_vec(),
        });
    }

    pub(crate) fn take_prefixes(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.prefixes)
    }

    /// Records the sequence number of an update; returns whether it is newer than the last.
    pub(crate) fn is_newer(&mut self, origin: ShortTag, number: u32, now: Instant) -> bool {
        let last = self.sequences.get(&origin);
        if last.is_some_and(|(last, _)| *last >= number) {
            return false;
        }
        self.sequences.insert(origin, (number, now));
        true
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.sequences.retain(|_, (_, at)| since(*at) <= DROP_AFTER);
        self.announced_at
            .retain(|_, at| since(*at) <= PREFIX_REPEAT_TIME);
    }
}

/// Updates of several processes, batched by a collector to be sent to all nodes of the region.
#[derive(Clone, Debug, Default)]
pub struct WorkBatch {
    updates: BTreeMap<ShortTag, WorkUpdate>,
    /// Usage of accounts, by region.
    usage: BTreeMap<ShortTag, RegionUsage>,
}

impl WorkBatch {
    /// Adds an update of a process; one that is older than the update already present arrived late
    /// and is dropped.
    pub fn add(&mut self, update: WorkUpdate) {
        match self.updates.get_mut(&update.origin) {
            Some(known) if known.number >= update.number => {}
            Some(known) => known.merge(update),
            None => {
                self.updates.insert(update.origin, update);
            }
        }
    }

    /// Adds the account usage of a region; an empty message shows that the region is live.
    pub fn add_usage(&mut self, usage: &RegionUsage) {
        let region = usage.region;
        let known = self.usage.entry(region);
        known
            .or_insert_with(|| RegionUsage::of(region))
            .merge(usage);
    }

    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.usage.is_empty()
    }

    /// Takes the content of one datagram of about `max_bytes` bytes, at least one process or
    /// region.
    pub fn take(&mut self, max_bytes: usize) -> (Vec<WorkUpdate>, Vec<RegionUsage>) {
        let updates = self.take_updates(max_bytes);
        let mut usage = Vec::new();
        let used: usize = updates.iter().map(WorkUpdate::bytes).sum();
        let mut left = max_bytes.saturating_sub(used);
        // If further work updates have to follow, the usage is sent with the last of them.
        while self.updates.is_empty() && left > 0 {
            let Some((region, all)) = self.usage.pop_first() else {
                break;
            };
            let mut pieces = all.split(left).into_iter();
            let first = pieces.next().unwrap_or_else(|| RegionUsage::of(region));
            left = left.saturating_sub(first.bytes());
            usage.push(first);
            let mut rest = RegionUsage::of(region);
            for piece in pieces {
                rest.merge(&piece);
                left = 0;
            }
            if left == 0 && !rest.processes.is_empty() {
                self.usage.insert(region, rest);
            }
        }
        if updates.is_empty() && usage.is_empty() {
            // The usage does not fit in the requested size and is sent alone.
            usage.extend(self.usage.pop_first().map(|(_, all)| all));
        }
        (updates, usage)
    }

    fn take_updates(&mut self, max_bytes: usize) -> Vec<WorkUpdate> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some((origin, update)) = self.updates.pop_first() {
            bytes += update.bytes();
            if bytes > max_bytes && !taken.is_empty() {
                self.updates.insert(origin, update);
                break;
            }
            taken.push(update);
        }
        taken
    }
}
