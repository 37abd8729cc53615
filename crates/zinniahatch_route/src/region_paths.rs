//! Tracks whether requests reach other regions and their responses come back.
//!
//! Load pattern: a region at its peak sends streams to a faster one. If a network partition cuts
//! only one direction, the heartbeats of that region keep arriving and show it as idle, while the
//! requests sent there are lost until their callers give up.

use crate::PauseDetector;
use zinniahatch_base::prelude::*;

/// Time without confirmation of both directions after which a region gets no requests. A node
/// there replies to each heartbeat within 1.2 s, and one of these replies may be lost.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time for which requests may be outstanding without any response or confirmation. Responses begin
/// within 700 ms, including a network delay of 160 ms, unless the region is overloaded, and then
/// nothing should be sent there either.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// State of the path to one region and back.
#[derive(Clone, Debug, Default)]
struct PathState {
    /// Sending time of the latest message that is known to have been received there.
    delivered: Option<Instant>,
    /// When a response to a request last began.
    responded: Option<Instant>,
    /// Sending time of each request whose response has not begun, by request number.
    outstanding: BTreeMap<u64, Instant>,
}

impl PathState {
    fn works(&self, pauses: &PauseDetector, now: Instant) -> bool {
        let since = |at: Instant| pauses.silence(at, now);
        if self
            .delivered
            .is_some_and(|at| since(at) > CONFIRMATION_TIMEOUT)
        {
            return false;
        }
        let Some(oldest) = self.outstanding.values().min().copied() else {
            return true;
        };
        let evidence = [Some(oldest), self.responded, self.delivered];
        let last = evidence.into_iter().flatten().max().unwrap_or(oldest);
        since(last) <= RESPONSE_TIMEOUT
    }
}

/// The paths to the other regions.
#[derive(Clone, Debug, Default)]
pub struct RegionPaths {
    paths: BTreeMap<RegionId, PathState>,
    pauses: PauseDetector,
}

impl RegionPaths {
    fn path(&mut self, region: &RegionId) -> &mut PathState {
        self.paths.entry(region.clone()).or_default()
    }

    /// Notices pauses of this node. Called on every tick.
    pub fn tick(&mut self, now: Instant) {
        self.pauses.tick(now);
    }

    /// Records that a node of the region received a message sent at that time.
    pub fn note_delivered(&mut self, region: &RegionId, sent: Instant) {
        let path = self.path(region);
        path.delivered = path.delivered.max(Some(sent));
    }

    /// Records that a request is sent to the region.
    pub fn note_sent(&mut self, region: &RegionId, ticket: u64, now: Instant) {
        self.path(region).outstanding.insert(ticket, now);
    }

    /// Records that the response to a request began.
    pub fn note_response(&mut self, region: &RegionId, ticket: u64, now: Instant) {
        let path = self.path(region);
        path.outstanding.remove(&ticket);
        path.responded = Some(now);
    }

    /// Records that a request was abandoned without a response.
    pub fn note_abandoned(&mut self, region: &RegionId, ticket: u64) {
        self.path(region).outstanding.remove(&ticket);
    }

    /// Returns the regions that should get no requests now.
    ///
    /// Heartbeats are still sent there: a reply shows that the path works again, without risking a
    /// caller's request.
    pub fn unreachable(&self, now: Instant) -> BTreeSet<RegionId> {
        let paths = self.paths.iter();
        paths
            .filter(|(_, path)| !path.works(&self.pauses, now))
            .map(|(region, _)| region.clone())
            .collect()
    }
}
