//! Applies what a replica reports about itself in a response, regardless of the path by which the
//! response came.

use crate::BackoffChange;
use crate::BackoffNotice;
use crate::DrainNotice;
use crate::LeaveReason;
use crate::RateLimitChange;
use crate::RateLimitNotice;
use crate::ReplicaIncarnation;
use crate::ReplicaNotice;
use crate::ReplicaState;
use crate::ReplicaTable;
use crate::prompt::rendezvous_score;
use zinniahatch_base::prelude::*;

/// Longest time for which a replica is skipped because of a response that cannot be attributed to
/// it.
const MAX_UNVERIFIED_BACKOFF: Duration = Duration::from_secs(30);

/// How certain it is that a response comes from the replica incarnation to which it is attributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseAuth {
    /// Nothing identifies the sender.
    Unverified,
    /// The response names the incarnation, or answers a request that no other incarnation accepts.
    Identified,
    /// The response also carries the replica's proof.
    Authenticated,
}

/// A replica's notice together with the circumstances of the response that carried it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedNotice<'a> {
    /// The tag of the incarnation.
    pub replica: ShortTag,
    /// The notice.
    pub notice: &'a ReplicaNotice,
    /// How far the response is authenticated.
    pub auth: ResponseAuth,
    /// Whether the replica accepted the request.
    pub taken: bool,
    /// When the request was sent.
    pub sent: Instant,
    /// A random number for this response.
    pub draw: u64,
}

/// What a notice changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NoticeEffect {
    /// Whether it is new that the replica is leaving.
    pub leaving: bool,
    /// The effect of the backoff that it requests.
    pub backoff: Option<BackoffChange>,
    /// Whether it served a request that was sent to try it after a backoff.
    pub recovered: bool,
    /// How its rate limit changed.
    pub limit: Option<RateLimitChange>,
    /// Names of the values that cannot be used.
    pub rejected: Vec<&'static str>,
    /// Names of the values from a sender that is not identified; they apply for a limited time and
    /// are not passed on to other nodes.
    pub unverified: Vec<&'static str>,
}

impl ReplicaTable {
    /// Applies a replica's notice and returns what it changed.
    ///
    /// For an incarnation that was dropped only its leaving counts, since its entry may come back.
    pub fn apply_notice(&mut self, received: &ReceivedNotice<'_>, now: Instant) -> NoticeEffect {
        let mut effect = NoticeEffect::default();
        let id = self.tags.get(&received.replica);
        let Some(state) = id.and_then(|id| self.rows.get_mut(id)) else {
            self.apply_to_ended(received);
            return effect;
        };
        apply_load(state, received, now);
        let mut backoff = None;
        match received.notice.leaving {
            DrainNotice::Absent => {}
            DrainNotice::Malformed => effect.rejected.push("leaving"),
            DrainNotice::Leaving if received.auth == ResponseAuth::Unverified => {
                effect.unverified.push("leaving");
                backoff = Some(MAX_UNVERIFIED_BACKOFF);
            }
            DrainNotice::Leaving => {
                self.announced_leaving
                    .insert(state.tag, state.entry.incarnation());
                effect.leaving = set_leaving(state);
            }
        }
        let in_flight = state.local_work.requests;
        backoff = backoff.max(accepted_backoff(received, &mut effect));
        self.apply_backoff(received, backoff, in_flight, &mut effect, now);
        effect.limit = self.apply_rate_limit(received, &mut effect.rejected, now);
        effect
    }

    fn apply_to_ended(&mut self, received: &ReceivedNotice<'_>) {
        let leaves = received.notice.leaving == DrainNotice::Leaving;
        if !leaves || received.auth == ResponseAuth::Unverified {
            return;
        }
        let mut ended = self.ended.values_mut();
        if let Some(ended) = ended.find(|ended| ended.tag == received.replica) {
            ended.leaving = true;
        }
    }

    /// Records what a response shows about an earlier backoff, and the backoff that it requests.
    fn apply_backoff(
        &mut self,
        received: &ReceivedNotice<'_>,
        backoff: Option<Duration>,
        in_flight: u32,
        effect: &mut NoticeEffect,
        now: Instant,
    ) {
        if received.auth >= ResponseAuth::Identified {
            effect.recovered =
                self.backoffs
                    .note_response(received.replica, received.taken, received.sent);
        }
        if let Some(backoff) = backoff {
            effect.backoff = self.backoffs.note_requested(
                received.replica,
                backoff,
                in_flight,
                received.draw,
                now,
            );
        }
    }

    fn apply_rate_limit(
        &mut self,
        received: &ReceivedNotice<'_>,
        rejected: &mut Vec<&'static str>,
        now: Instant,
    ) -> Option<RateLimitChange> {
        let stated = received.notice.rate_limit;
        match stated {
            RateLimitNotice::Malformed => {
                rejected.push("rate limit");
                return None;
            }
            // A limit stays in force until an authenticated response omits it.
            RateLimitNotice::Absent if received.auth < ResponseAuth::Authenticated => return None,
            RateLimitNotice::Absent | RateLimitNotice::PerSecond(_) => {}
        }
        self.limits
            .note_response(received.replica, stated, received.sent, now)
    }

    /// Applies another node's report that a replica announced its leaving; returns whether that is
    /// new.
    pub fn mark_leaving(&mut self, incarnation: &ReplicaIncarnation) -> bool {
        if let Some(ended) = self.ended.get_mut(&incarnation.id)
            && ended.started_ms == incarnation.started_ms
        {
            ended.leaving = true;
        }
        let row = self.rows.get_mut(&incarnation.id);
        let Some(state) = row.filter(|state| state.entry.started_ms == incarnation.started_ms)
        else {
            return false;
        };
        self.announced_leaving
            .insert(state.tag, incarnation.clone());
        set_leaving(state)
    }

    /// Returns the incarnations that announced to some node that they are leaving, to inform nodes
    /// that know of others.
    pub fn announced_leaving(&self) -> impl Iterator<Item = &ReplicaIncarnation> {
        self.announced_leaving.values()
    }

    /// Returns a digest of these incarnations; it is equal on nodes that know the same ones.
    pub fn leaving_digest(&self) -> u64 {
        let tags = self.announced_leaving.keys();
        tags.fold(0, |digest, tag| digest ^ rendezvous_score(1, *tag))
    }
}

/// Returns the backoff that a response requests, as far as it is accepted.
fn accepted_backoff(received: &ReceivedNotice<'_>, effect: &mut NoticeEffect) -> Option<Duration> {
    match received.notice.backoff {
        BackoffNotice::Absent => None,
        BackoffNotice::Malformed => {
            effect.rejected.push("rest");
            None
        }
        BackoffNotice::For(backoff) if received.auth == ResponseAuth::Unverified => {
            effect.unverified.push("rest");
            Some(backoff.min(MAX_UNVERIFIED_BACKOFF))
        }
        BackoffNotice::For(backoff) => Some(backoff),
    }
}

fn apply_load(state: &mut ReplicaState, received: &ReceivedNotice<'_>, now: Instant) {
    if let Some((running, waiting, _)) = received.notice.load {
        state.reported_load = Some((running, waiting, now));
    }
    let left = received.notice.cold_for.filter(|left| !left.is_zero());
    if let Some(left) = left.filter(|_| received.auth >= ResponseAuth::Identified) {
        state.cold_until = state.cold_until.max(Some(now + left));
    }
}

/// Marks a replica as leaving for the rest of this incarnation; returns whether that is new.
fn set_leaving(state: &mut ReplicaState) -> bool {
    let known = matches!(
        state.leaving,
        Some(LeaveReason::Draining | LeaveReason::Replaced)
    );
    if !known {
        state.leaving = Some(LeaveReason::Draining);
    }
    !known
}
