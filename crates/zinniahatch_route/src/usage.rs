//! Messages by which nodes exchange the usage of accounts.
//!
//! Each process announces totals that only increase, so that messages may be duplicated, delayed
//! or lost: a later total contains the earlier ones.

use zinniahatch_base::prelude::*;

/// Approximate size of a process and of each of its accounts in a datagram, in bytes.
const PROCESS_BYTES: usize = 6;
const COUNT_BYTES: usize = 24;

domain! {
    /// Usage of one account by one process.
    #[derive(Copy, Eq, Default)]
    pub struct UsageCounter {
        /// Units taken since the start of the process.
        pub spent: u64,
        /// Units returned since the start of the process.
        pub returned: u64,
        /// Change since the previous message, for receivers that do not know the earlier totals.
        pub added: i64,
    }

    /// Recent usage of one process.
    pub struct ProcessUsage {
        /// The tag of the process.
        pub origin: ShortTag,
        /// Its counters by account.
        pub counts: Vec<(AccountTag, UsageCounter)>,
    }

    /// Recent usage of the processes of one region.
    pub struct RegionUsage {
        /// The tag of the region.
        pub region: ShortTag,
        /// Usage by process; empty if the message only shows that the region is live.
        pub processes: Vec<ProcessUsage>,
    }
}

impl UsageCounter {
    /// Merges later totals of the same process.
    pub(crate) fn merge(&mut self, later: &Self) {
        self.spent = self.spent.max(later.spent);
        self.returned = self.returned.max(later.returned);
        self.added += later.added;
    }

    /// Returns whether these totals are later than others of the same process.
    pub(crate) fn is_newer(&self, known: &Self) -> bool {
        self.spent > known.spent || self.returned > known.returned
    }

    /// Returns the usage since earlier totals.
    pub(crate) fn since(&self, known: &Self) -> f64 {
        let spent = self.spent.saturating_sub(known.spent);
        let returned = self.returned.saturating_sub(known.returned);
        spent as f64 - returned as f64
    }
}

impl RegionUsage {
    /// Creates a message without usage.
    pub fn of(region: ShortTag) -> Self {
        Self {
            region,
            processes: Vec::new(),
        }
    }

    /// Adds a counter.
    pub fn add(&mut self, origin: ShortTag, account: AccountTag, count: &UsageCounter) {
        let found = self
            .processes
            .iter()
            .position(|process| process.origin == origin);
        let index = found.unwrap_or_else(|| {
            self.processes.push(ProcessUsage {
                origin,
                counts: Vec::new(),
            });
            self.processes.len() - 1
        });
        let counts = &mut self.processes[index].counts;
        match counts.iter_mut().find(|(known, _)| *known == account) {
            Some((_, known)) => known.merge(count),
            None => counts.push((account, *count)),
        }
    }

    /// Merges another message of the same region.
    pub fn merge(&mut self, other: &Self) {
        for process in &other.processes {
            for (account, count) in &process.counts {
                self.add(process.origin, *account, count);
            }
        }
    }

    /// Returns the approximate size in a datagram.
    pub(crate) fn bytes(&self) -> usize {
        let counts = self.processes.iter().map(|process| process.counts.len());
        PROCESS_BYTES + counts.sum::<usize>() * (COUNT_BYTES + PROCESS_BYTES)
    }

    /// Splits the message into parts of about `max_bytes` bytes; returns at least one, which may be
    /// empty.
    pub fn split(self, max_bytes: usize) -> Vec<Self> {
        let mut parts = vec![Self::of(self.region)];
        let mut bytes = 0;
        for process in self.processes {
            for (account, count) in &process.counts {
                if bytes > max_bytes {
                    parts.push(Self::of(self.region));
                    bytes = 0;
                }
                bytes += COUNT_BYTES + PROCESS_BYTES;
                if let Some(part) = parts.last_mut() {
                    part.add(process.origin, *account, count);
                }
            }
        }
        parts
    }
}
