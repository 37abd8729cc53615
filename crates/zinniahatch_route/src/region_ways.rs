//! Whether requests that go to another region arrive there, and their answers here.
//!
//! Load pattern: a region at its peak sends streams to a faster one. A network partition that cuts one
//! direction alone leaves the news of that region arriving, idle as ever, while the requests sent there vanish
//! until their callers give up.

use zinniahatch_base::prelude::*;

/// Time without a proof that both directions work after which a region gets no requests. A node there
/// answers each card within 1.2 s, and one of these answers may be lost.
const PROOF_TIME: Duration = Duration::from_millis(1_800);
/// Time for which requests may wait there without any answer or proof. Answers begin within 700 ms, the way
/// of 160 ms included, unless the region is overloaded, when nothing should be sent there either.
const ANSWER_TIME: Duration = Duration::from_millis(900);

/// What is known of the way to one region and back.
#[derive(Clone, Debug, Default)]
struct WayRecord {
    /// When the last message left that is known to have been received there.
    proven: Option<Instant>,
    /// When an answer to a request last began.
    answered: Option<Instant>,
    /// When each request left whose answer has not begun, by a number of the node's own.
    waiting: BTreeMap<u64, Instant>,
}

impl WayRecord {
    fn works(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.proven.is_some_and(|at| since(at) > PROOF_TIME) {
            return false;
        }
        let Some(oldest) = self.waiting.values().min().copied() else {
            return true;
        };
        let signs = [Some(oldest), self.answered, self.proven];
        let last = signs.into_iter().flatten().max().unwrap_or(oldest);
        since(last) <= ANSWER_TIME
    }
}

/// The ways to the other regions.
#[derive(Clone, Debug, Default)]
pub struct RegionWays {
    records: BTreeMap<RegionId, WayRecord>,
}

impl RegionWays {
    fn record(&mut self, region: &RegionId) -> &mut WayRecord {
        self.records.entry(region.clone()).or_default()
    }

    /// Notes that a node of the region received what was sent at that time.
    pub fn note_proof(&mut self, region: &RegionId, sent: Instant) {
        let record = self.record(region);
        record.proven = record.proven.max(Some(sent));
    }

    /// Notes that a request goes to the region.
    pub fn note_sent(&mut self, region: &RegionId, ticket: u64, now: Instant) {
        self.record(region).waiting.insert(ticket, now);
    }

    /// Notes that the answer to a request began.
    pub fn note_answer(&mut self, region: &RegionId, ticket: u64, now: Instant) {
        let record = self.record(region);
        record.waiting.remove(&ticket);
        record.answered = Some(now);
    }

    /// Notes that a request is given up without an answer.
    pub fn note_given_up(&mut self, region: &RegionId, ticket: u64) {
        self.record(region).waiting.remove(&ticket);
    }

    /// Gives the regions that should get no requests now.
    ///
    /// Cards alone go there meanwhile: their echo shows that the way is whole again, and no caller's request
    /// has to be risked for that.
    pub fn broken(&self, now: Instant) -> BTreeSet<RegionId> {
        let records = self.records.iter();
        records
            .filter(|(_, record)| !record.works(now))
            .map(|(region, _)| region.clone())
            .collect()
    }
}
