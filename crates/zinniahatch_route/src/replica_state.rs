//! What a node knows of one replica incarnation.

use crate::GapMeter;
use crate::InFlightWork;
use crate::PrefixCache;
use crate::ReplicaEntry;
use crate::ReplicaHealth;
use crate::StreamOrigin;
use zinniahatch_base::prelude::*;

/// Age up to which the in-flight work announced by another node counts; it is announced again every
/// 500 ms, and one of these datagrams may be lost.
const PEER_WORK_TIME: Duration = Duration::from_millis(1200);
/// Age up to which a load reported by the replica counts.
const REPORT_TIME: Duration = Duration::from_millis(400);
/// Bounds of the learned slowness of a replica, relative to its service.
const SLOWNESS: (f64, f64) = (0.5, 8.0);
/// Weight of a new observation in the slowness of a replica; about the last ten count.
const SLOWNESS_GAIN: f64 = 0.1;

/// Time after which a replica whose warmth was doubted is warm unless its entry says otherwise: it
/// writes its entry within about a second of a change, and every node reads that within 2.5 s.
const MAX_DOUBT: Duration = Duration::from_secs(4);

/// When a replica may have become cold without having said so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmthDoubt {
    /// Revision of the store; entries written later say how long the replica is cold.
    pub revision: StoreRevision,
    /// When this node learned of it.
    pub since: Instant,
}

/// Why a replica gets no new work for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// The replica announced that it is leaving.
    Draining,
    /// Its entry was removed from the store.
    EntryGone,
    /// Another replica answers at its address.
    Replaced,
}

/// State of one replica incarnation.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// Its entry in the store.
    pub entry: ReplicaEntry,
    /// Short tag of the incarnation, for datagrams.
    pub tag: ShortTag,
    /// Tag of the version of its software, if it is known.
    pub version: Option<ShortTag>,
    /// What streams that it begins have for an origin.
    pub origin: StreamOrigin,
    /// When it stops being cold.
    pub cold_until: Option<Instant>,
    /// When it may have become cold without having said so since.
    pub warmth_doubt: Option<WarmthDoubt>,
    /// Why it gets no new work.
    pub leaving: Option<LeaveReason>,
    /// When it terminates, if it leaves at short notice.
    pub terminates_at: Option<Instant>,
    /// When its entry disappeared, while its lease may merely have lapsed.
    pub missing_since: Option<Instant>,
    /// Revision of the store at which its entry was removed; older updates are ignored.
    pub removed_at: StoreRevision,
    /// In-flight work of this node.
    pub local_work: InFlightWork,
    /// In-flight work of this node as last announced to the other nodes, and when.
    pub announced: (InFlightWork, Instant),
    /// In-flight work of other nodes by the tags of their processes, with the time of the
    /// announcement.
    pub peer_work: BTreeMap<ShortTag, (InFlightWork, Instant)>,
    /// Running and waiting requests as reported by the replica, with the time of the report.
    pub reported_load: Option<(u32, u32, Instant)>,
    /// Prompt parts that it probably caches.
    pub prefix_cache: PrefixCache,
    /// Health derived from its responses.
    pub health: ReplicaHealth,
    /// Gaps between the events of its streams.
    pub gaps: GapMeter,
    /// Its response time relative to the model of its service; 1 is as expected.
    pub slowness: f64,
    /// Send times of this node's in-flight requests, by ticket.
    pub in_flight_requests: BTreeMap<u64, Instant>,
}

impl ReplicaState {
    /// Creates the state of an incarnation from its first entry.
    pub fn new(entry: ReplicaEntry, now: Instant) -> Self {
        let mut state = Self {
            version: None,
            origin: StreamOrigin::new(&entry.service, None),
            cold_until: None,
            warmth_doubt: None,
            leaving: None,
            terminates_at: None,
            missing_since: None,
            removed_at: StoreRevision::default(),
            tag: entry.incarnation().tag(),
            local_work: InFlightWork::default(),
            announced: (InFlightWork::default(), now),
            peer_work: BTreeMap::new(),
            reported_load: None,
            prefix_cache: PrefixCache::default(),
            health: ReplicaHealth::new(now),
            gaps: GapMeter::new(now),
            slowness: 1.0,
            in_flight_requests: BTreeMap::new(),
            entry: entry.clone(),
        };
        state.update(entry, now);
        state
    }

    /// Applies an entry of the same incarnation, either newer or the same once more.
    ///
    /// The same entry comes again from a listing, or from the own watch after another node sent it.
    /// The time for which it says that the replica is cold counts from when the entry was written,
    /// not from now.
    pub fn update(&mut self, mut entry: ReplicaEntry, now: Instant) {
        if entry.version.is_none() {
            entry.version = self.entry.version.take();
        }
        self.version = entry.version.as_deref().map(tag_of);
        self.origin = StreamOrigin::new(&entry.service, self.version);
        self.missing_since = None;
        let known = entry.revision.number != 0 && entry.revision == self.entry.revision;
        if entry.leaving {
            self.leaving = Some(LeaveReason::Draining);
            if !known || self.terminates_at.is_none() {
                self.terminates_at = entry.gone_in.and_then(|left| now.checked_add(left));
            }
        } else if self.leaving == Some(LeaveReason::EntryGone) {
            self.leaving = None;
        }
        self.warmth_doubt = self
            .warmth_doubt
            .filter(|doubt| entry.revision <= doubt.revision);
        let counted = known && self.cold_until.is_some();
        if !entry.cold_for.is_zero() && !counted {
            self.cold_until = now.checked_add(entry.cold_for);
        }
        self.entry = entry;
    }

    /// Returns whether this incarnation has the in-flight request with this ticket.
    pub fn has_request(&self, ticket: u64) -> bool {
        self.in_flight_requests.contains_key(&ticket)
    }

    /// Returns whether the replica is cold, or may be.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until) || self.doubts_warmth(now)
    }

    /// Returns whether the replica may have become cold and has not said since whether it is. Until
    /// then it gets only health checks.
    pub fn doubts_warmth(&self, now: Instant) -> bool {
        self.warmth_doubt
            .is_some_and(|doubt| now.saturating_duration_since(doubt.since) < MAX_DOUBT)
    }

    /// Returns the in-flight work of all nodes at the replica.
    pub fn total_work(&self, now: Instant) -> InFlightWork {
        let mut sum = self.local_work;
        for (work, at) in self.peer_work.values() {
            if now.saturating_duration_since(*at) > PEER_WORK_TIME {
                continue;
            }
            sum.add_requests(*work);
            sum.add_tokens(*work);
        }
        if let Some((running, waiting, at)) = self.reported_load
            && now.saturating_duration_since(at) <= REPORT_TIME
        {
            sum.requests = sum.requests.max(running.saturating_add(waiting));
        }
        sum
    }

    /// Updates the slowness from a response's time and the time that the model expected.
    pub fn note_latency(&mut self, expected: Duration, took: Duration) {
        let expected = expected.as_secs_f64().max(1e-3);
        let ratio = (took.as_secs_f64() / expected).clamp(SLOWNESS.0, SLOWNESS.1);
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness);
    }
}
