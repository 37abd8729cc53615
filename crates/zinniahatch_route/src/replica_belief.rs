//! What a node believes about one life of a replica.

use crate::HealthRecord;
use crate::OpenWork;
use crate::PaceMeter;
use crate::PrefixCache;
use crate::ReplicaEntry;
use zinniahatch_base::prelude::*;

/// How long what another node said of its open work counts; it is told again every 500 ms, and one of
/// these datagrams may be lost.
const PEER_WORK_TIME: Duration = Duration::from_millis(1200);
/// How long a load that the replica reported counts.
const REPORT_TIME: Duration = Duration::from_millis(400);
/// Bounds of the learned slowness of one replica against its service.
const SLOWNESS: (f64, f64) = (0.5, 8.0);
/// Weight of a new observation in the slowness of a replica; about the last ten count.
const SLOWNESS_GAIN: f64 = 0.1;

/// Why a replica gets no new work for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// It said that it is leaving.
    Draining,
    /// Its entry vanished.
    EntryGone,
    /// Another replica answers at its address.
    Replaced,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct ReplicaBelief {
    /// What it says of itself.
    pub entry: ReplicaEntry,
    /// Short tag of this life, for datagrams.
    pub tag: ShortTag,
    /// When it stops being cold.
    pub cold_until: Option<Instant>,
    /// Why it gets no new work.
    pub leaving: Option<LeaveReason>,
    /// When it is gone, where it leaves at short notice.
    pub gone_at: Option<Instant>,
    /// When its entry vanished, while that may be a mere lapse.
    pub lapsed: Option<Instant>,
    /// The store's revision when its entry vanished; older news of it does not count.
    pub vanished: StoreRevision,
    /// Work of this node.
    pub own: OpenWork,
    /// Work of this node as the other nodes were told, and when.
    pub told: (OpenWork, Instant),
    /// Work of other nodes by the tags of their processes, with the time at which they said so.
    pub peers: BTreeMap<ShortTag, (OpenWork, Instant)>,
    /// Running and waiting requests as the replica reported them.
    pub reported: Option<(u32, u32, Instant)>,
    /// Which prompt parts it probably keeps.
    pub kept: PrefixCache,
    /// What answers say of its health.
    pub health: HealthRecord,
    /// The pauses between the events of its streams.
    pub pace: PaceMeter,
    /// Its time against what its service's model expects; 1 is as expected.
    pub slowness: f64,
    /// Start of each own request that waits for its first byte, by a number of the node's.
    pub open: BTreeMap<u64, Instant>,
}

impl ReplicaBelief {
    /// Starts a belief.
    pub fn new(entry: ReplicaEntry, now: Instant) -> Self {
        let mut belief = Self {
            cold_until: None,
            leaving: None,
            gone_at: None,
            lapsed: None,
            vanished: StoreRevision::default(),
            tag: entry.life().tag(),
            own: OpenWork::default(),
            told: (OpenWork::default(), now),
            peers: BTreeMap::new(),
            reported: None,
            kept: PrefixCache::default(),
            health: HealthRecord::new(now),
            pace: PaceMeter::new(now),
            slowness: 1.0,
            open: BTreeMap::new(),
            entry: entry.clone(),
        };
        belief.update(entry, now);
        belief
    }

    /// Takes an entry of the same start of the replica, newer or the same once more.
    ///
    /// The same one comes again from a listing, or from the own watch after another node told of it. The
    /// time for which it says that the replica is cold began when it was written, not now.
    pub fn update(&mut self, entry: ReplicaEntry, now: Instant) {
        self.lapsed = None;
        let known = entry.revision.number != 0 && entry.revision == self.entry.revision;
        if entry.leaving {
            self.leaving = Some(LeaveReason::Draining);
            if !known || self.gone_at.is_none() {
                self.gone_at = entry.gone_in.map(|left| now + left);
            }
        } else if self.leaving == Some(LeaveReason::EntryGone) {
            self.leaving = None;
        }
        let counted = known && self.cold_until.is_some();
        if !entry.cold_for.is_zero() && !counted {
            self.cold_until = Some(now + entry.cold_for);
        }
        self.entry = entry;
    }

    /// Tells whether this life of the replica took a request that has not ended.
    pub(crate) fn has_open(&self, ticket: u64) -> bool {
        self.open.contains_key(&ticket)
    }

    /// Tells whether the replica is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Gives the work of all nodes at the replica.
    pub fn all_work(&self, now: Instant) -> OpenWork {
        let mut sum = self.own;
        for (work, at) in self.peers.values() {
            if now.saturating_duration_since(*at) > PEER_WORK_TIME {
                continue;
            }
            sum.add_requests(*work);
            sum.add_tokens(*work);
        }
        if let Some((running, waiting, at)) = self.reported
            && now.saturating_duration_since(at) <= REPORT_TIME
        {
            sum.requests = sum.requests.max(running + waiting);
        }
        sum
    }

    /// Compares an answer with what the model expected of it.
    pub fn note_pace(&mut self, expected: Duration, took: Duration) {
        let expected = expected.as_secs_f64().max(1e-3);
        let ratio = (took.as_secs_f64() / expected).clamp(SLOWNESS.0, SLOWNESS.1);
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness);
    }
}
