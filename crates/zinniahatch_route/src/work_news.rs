//! News of open work on their way between the nodes of a region.
//!
//! Load pattern: at a regional peak each of many nodes places a few requests a second, all of them by
//! what they believe of the same replicas. News that are 180 ms old leave 200 placements unknown at 1,100
//! requests/s, each 60 to 190 ms of a replica's reading, and all nodes choose the replica that was idle.

use crate::CachedPrefix;
use crate::InFlightWork;
use crate::PromptPart;
use crate::RegionSpends;
use zinniahatch_base::prelude::*;

/// Reads that wait to be told to other nodes at most; older knowledge is worth more than none.
const MOST_READS: usize = 64;
/// Time in which a read of the same parts by the same replica is not told again: the other nodes keep
/// its last uses in order, and a replica forgets parts only after many seconds.
const READ_AGAIN: Duration = Duration::from_secs(2);
/// Time after which the number of the last news of a silent process is forgotten.
const FORGET: Duration = Duration::from_secs(30);
/// Bytes that one piece of news of a process has in a datagram, before its entries.
const PART_BYTES: usize = 12;
/// Bytes of the work at one replica: its tag and four small numbers.
const WORK_BYTES: usize = 12;
/// Bytes of a read, before its parts, and of each part.
const READ_BYTES: usize = 6;
const READ_PART_BYTES: usize = 13;

domain! {
    /// What one process tells of its open work.
    pub struct WorkPart {
        /// The tag of the process.
        pub origin: ShortTag,
        /// The number of these news, rising with each.
        pub number: u32,
        /// Open work that changed, by the tags of the replicas.
        pub work: Vec<(ShortTag, InFlightWork)>,
        /// Shared prompt parts that were read.
        pub reads: Vec<CachedPrefix>,
    }
}

impl WorkPart {
    /// Gives about the bytes that it has in a datagram.
    fn bytes(&self) -> usize {
        let reads = self.reads.iter();
        let reads: usize = reads
            .map(|read| READ_BYTES + READ_PART_BYTES * read.parts.len())
            .sum();
        PART_BYTES + WORK_BYTES * self.work.len() + reads
    }

    /// Takes over newer news of the same process.
    fn merge(&mut self, newer: Self) {
        for (tag, work) in newer.work {
            match self.work.iter_mut().find(|(known, _)| *known == tag) {
                Some(known) => known.1 = work,
                None => self.work.push((tag, work)),
            }
        }
        self.reads.extend(newer.reads);
        self.number = newer.number;
    }
}

/// What is to be told of this node's work, and the numbers of what others told of theirs.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkNews {
    changed: BTreeSet<ShortTag>,
    reads: Vec<CachedPrefix>,
    /// When the last part of a chain was told to have been read by a replica.
    read_at: BTreeMap<(ShortTag, u64), Instant>,
    /// The last number of each process, and when it was heard.
    numbers: BTreeMap<ShortTag, (u32, Instant)>,
}

impl WorkNews {
    pub(crate) fn note_changed(&mut self, replica: ShortTag) {
        self.changed.insert(replica);
    }

    pub(crate) fn take_changed(&mut self) -> BTreeSet<ShortTag> {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn note_read(&mut self, replica: ShortTag, shared: &[PromptPart], now: Instant) {
        let Some(last) = shared.last() else {
            return;
        };
        let known = self.read_at.get(&(replica, last.tag));
        let again = known.is_some_and(|at| now.saturating_duration_since(*at) < READ_AGAIN);
        if again || self.reads.len() >= MOST_READS {
            return;
        }
        self.read_at.insert((replica, last.tag), now);
        self.reads.push(CachedPrefix {
            replica,
            parts: shared.to_vec(),
        });
    }

    pub(crate) fn take_reads(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.reads)
    }

    /// Notes the number of a process's news; tells whether they are newer than the last.
    pub(crate) fn is_newer(&mut self, origin: ShortTag, number: u32, now: Instant) -> bool {
        let last = self.numbers.get(&origin);
        if last.is_some_and(|(last, _)| *last >= number) {
            return false;
        }
        self.numbers.insert(origin, (number, now));
        true
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.numbers.retain(|_, (_, at)| since(*at) <= FORGET);
        self.read_at.retain(|_, at| since(*at) <= READ_AGAIN);
    }
}

/// News of several processes that one node gathers, to tell them to all nodes of the region together.
#[derive(Clone, Debug, Default)]
pub struct WorkGatherer {
    parts: BTreeMap<ShortTag, WorkPart>,
    /// What the accounts use, by region.
    spends: BTreeMap<ShortTag, RegionSpends>,
}

impl WorkGatherer {
    /// Adds news of a process. Older ones than those already here came late and are dropped.
    pub fn add(&mut self, part: WorkPart) {
        match self.parts.get_mut(&part.origin) {
            Some(known) if known.number >= part.number => {}
            Some(known) => known.merge(part),
            None => {
                self.parts.insert(part.origin, part);
            }
        }
    }

    /// Adds what the accounts use in a region; without news, that it lives.
    pub fn add_spends(&mut self, spends: &RegionSpends) {
        let region = spends.region;
        let known = self.spends.entry(region);
        known
            .or_insert_with(|| RegionSpends::of(region))
            .merge(spends);
    }

    /// Tells whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.spends.is_empty()
    }

    /// Takes the news for one datagram of about so many bytes; at least one process's or region's.
    pub fn take(&mut self, most: usize) -> (Vec<WorkPart>, Vec<RegionSpends>) {
        let parts = self.take_parts(most);
        let mut spends = Vec::new();
        let used: usize = parts.iter().map(WorkPart::bytes).sum();
        let mut left = most.saturating_sub(used);
        // Where other parts have to follow, the spends go with the last of them.
        while self.parts.is_empty() && left > 0 {
            let Some((region, all)) = self.spends.pop_first() else {
                break;
            };
            let mut pieces = all.split(left).into_iter();
            let first = pieces.next().unwrap_or_else(|| RegionSpends::of(region));
            left = left.saturating_sub(first.bytes());
            spends.push(first);
            let mut rest = RegionSpends::of(region);
            for piece in pieces {
                rest.merge(&piece);
                left = 0;
            }
            if left == 0 && !rest.news.is_empty() {
                self.spends.insert(region, rest);
            }
        }
        if parts.is_empty() && spends.is_empty() {
            // Nothing fits beside what was asked for; it goes alone.
            spends.extend(self.spends.pop_first().map(|(_, all)| all));
        }
        (parts, spends)
    }

    fn take_parts(&mut self, most: usize) -> Vec<WorkPart> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some((origin, part)) = self.parts.pop_first() {
            bytes += part.bytes();
            if bytes > most && !taken.is_empty() {
                self.parts.insert(origin, part);
                break;
            }
            taken.push(part);
        }
        taken
    }
}
