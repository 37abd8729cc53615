//! When replica incarnations crashed, as a node first learned it.

use zinniahatch_base::prelude::*;

/// Largest delay of a report, summed over the nodes that passed it on. A later crash of an incarnation
/// is that of another one whose start time is not known.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(20);
/// Largest number of incarnations remembered, some 200 KB.
const MAX_TIMES: usize = 8_192;
/// Incarnations evicted at once beyond that, the longest ago first.
const EVICTED_TIMES: usize = 512;

/// The first known time of each crash.
///
/// A report's time grows with each node that passes it on. A crash that is reported again would
/// otherwise come after others that it preceded.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashTimes {
    times: BTreeMap<ShortTag, Instant>,
}

impl CrashTimes {
    /// Returns the time of a crash that is reported at a time.
    pub(crate) fn of_report(&mut self, replica: ShortTag, at: Instant) -> Instant {
        if let Some(known) = self.times.get(&replica).copied()
            && at.saturating_duration_since(known) <= MAX_REPORT_DELAY
        {
            return known;
        }
        self.insert(replica, at);
        at
    }

    /// Returns the time of a crash; `now` if this is the first that is heard of it.
    pub(crate) fn of_name(&mut self, replica: ShortTag, now: Instant) -> Instant {
        if let Some(known) = self.times.get(&replica) {
            return *known;
        }
        self.insert(replica, now);
        now
    }

    /// Returns the time of a crash, if it is known.
    pub(crate) fn get(&self, replica: ShortTag) -> Option<Instant> {
        self.times.get(&replica).copied()
    }

    fn insert(&mut self, replica: ShortTag, at: Instant) {
        self.times.insert(replica, at);
        if self.times.len() <= MAX_TIMES {
            return;
        }
        let times = self.times.iter().map(|(replica, at)| (*at, *replica));
        let mut oldest: Vec<(Instant, ShortTag)> = times.collect();
        oldest.sort_unstable();
        for (_, replica) in oldest.into_iter().take(EVICTED_TIMES) {
            self.times.remove(&replica);
        }
    }
}
