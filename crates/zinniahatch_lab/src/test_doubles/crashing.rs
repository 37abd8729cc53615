//! Requests and prompt parts that crash each replica that runs them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;

/// The content of a request, which its repeats share whatever their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestContent {
    /// The path.
    pub path: Box<str>,
    /// The caller's credential; empty if it sends none.
    pub caller: Box<str>,
    /// The body.
    pub body: Vec<u8>,
}

impl RequestContent {
    /// Creates the content of a request with neither body nor credential.
    pub fn from_path(path: &str) -> Self {
        Self {
            path: path.into(),
            ..Self::default()
        }
    }
}

/// What a site's replicas observed of a prompt part that crashes them.
#[derive(Clone, Debug, Default)]
pub struct PartRecord {
    /// When requests with the part reached replicas.
    pub arrivals: Vec<Instant>,
    /// When each replica crashed under such a request, by its id.
    pub crashes: BTreeMap<Box<str>, Instant>,
}

impl PartRecord {
    /// Returns when the replica crashed that was the `number`th to do so, counted from one.
    pub fn crash_time(&self, number: usize) -> Option<Instant> {
        let mut times: Vec<Instant> = self.crashes.values().copied().collect();
        times.sort();
        number
            .checked_sub(1)
            .and_then(|index| times.get(index).copied())
    }

    /// Returns how many requests with the part reached replicas after a moment.
    pub fn arrivals_after(&self, moment: Instant) -> usize {
        self.arrivals.iter().filter(|at| **at > moment).count()
    }
}

#[derive(Debug, Default)]
struct CrashingTable {
    /// The number of replicas that each request has crashed.
    contents: BTreeMap<RequestContent, u32>,
    /// Ids of the crashing parts.
    parts: BTreeMap<Box<str>, PartRecord>,
}

/// The requests and prompt parts of a site that crash the replicas which run them; shared by all
/// replicas.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequests(Arc<Mutex<CrashingTable>>);

impl CrashingRequests {
    fn lock(&self) -> MutexGuard<'_, CrashingTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a request a crashing one from now on.
    pub fn add(&self, content: RequestContent) {
        self.lock().contents.entry(content).or_default();
    }

    /// Makes a prompt part a crashing one from now on.
    pub fn add_part(&self, id: &str) {
        self.lock().parts.entry(id.into()).or_default();
    }

    /// Records that a request reached a replica.
    pub(crate) fn note_arrival(&self, parts: &[Box<str>]) {
        let mut table = self.lock();
        for part in parts {
            if let Some(record) = table.parts.get_mut(part) {
                record.arrivals.push(Instant::now());
            }
        }
    }

    /// Counts a crash if the request that a replica starts to run is a crashing one or its prompt has
    /// a crashing part; returns whether that is so.
    pub(crate) fn count_crash(
        &self,
        content: &RequestContent,
        parts: &[Box<str>],
        replica: &str,
    ) -> bool {
        let mut table = self.lock();
        let mut crashes = false;
        if let Some(count) = table.contents.get_mut(content) {
            *count += 1;
            crashes = true;
        }
        for part in parts {
            let Some(record) = table.parts.get_mut(part) else {
                continue;
            };
            let time = record.crashes.entry(replica.into());
            time.or_insert_with(Instant::now);
            crashes = true;
        }
        crashes
    }

    /// Returns the number of replicas that a request has crashed.
    pub fn crashes(&self, content: &RequestContent) -> u32 {
        self.lock().contents.get(content).copied().unwrap_or(0)
    }

    /// Returns what was observed of a crashing part.
    pub fn part_record(&self, id: &str) -> PartRecord {
        self.lock().parts.get(id).cloned().unwrap_or_default()
    }

    /// Returns the crashing requests.
    pub fn contents(&self) -> Vec<RequestContent> {
        self.lock().contents.keys().cloned().collect()
    }
}
