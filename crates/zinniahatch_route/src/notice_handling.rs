//! Applies what a replica reports about itself in a response, regardless of the path by which the
//! response came.

use crate::LeaveReason;
use crate::LimitChange;
use crate::NamedLeaving;
use crate::NamedLimit;
use crate::NamedRest;
use crate::ReplicaBelief;
use crate::ReplicaLife;
use crate::ReplicaNotice;
use crate::ReplicaTable;
use crate::RestChange;
use crate::prompt::session_rank;
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
    pub backoff: Option<RestChange>,
    /// Whether it served a request that was sent to try it after a backoff.
    pub recovered: bool,
    /// How its rate limit changed.
    pub limit: Option<LimitChange>,
    /// Names of the values that cannot be used.
    pub rejected: Vec<&'static str>,
    /// Names of the values from a sender that is not identified; they apply for a limited time and
    /// are not passed on to other nodes.
    pub unproven: Vec<&'static str>,
}

impl ReplicaTable {
    /// Applies a replica's notice and returns what it changed.
    ///
    /// For an incarnation that was dropped only its leaving counts, since its entry may come back.
    pub fn apply_notice(&mut self, received: &ReceivedNotice<'_>, now: Instant) -> NoticeEffect {
        let mut effect = NoticeEffect::default();
        let id = self.tags.get(&received.replica);
        let Some(belief) = id.and_then(|id| self.rows.get_mut(id)) else {
            self.apply_to_ended(received);
            return effect;
        };
        apply_load(belief, received, now);
        let mut backoff = None;
        match received.notice.leaving {
            NamedLeaving::Absent => {}
            NamedLeaving::Malformed => effect.rejected.push("leaving"),
            NamedLeaving::Leaving if received.auth == ResponseAuth::Unverified => {
                effect.unproven.push("leaving");
                backoff = Some(MAX_UNVERIFIED_BACKOFF);
            }
            NamedLeaving::Leaving => {
                self.said_leaving.insert(belief.tag, belief.entry.life());
                effect.leaving = set_leaving(belief);
            }
        }
        let in_flight = belief.own.requests;
        backoff = backoff.max(accepted_backoff(received, &mut effect));
        self.apply_backoff(received, backoff, in_flight, &mut effect, now);
        effect.limit = self.apply_rate_limit(received, &mut effect.rejected, now);
        effect
    }

    fn apply_to_ended(&mut self, received: &ReceivedNotice<'_>) {
        let leaves = received.notice.leaving == NamedLeaving::Leaving;
        if !leaves || received.auth == ResponseAuth::Unverified {
            return;
        }
        let mut ended = self.gone.values_mut();
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
                self.rests
                    .note_answer(received.replica, received.taken, received.sent);
        }
        if let Some(backoff) = backoff {
            effect.backoff =
                self.rests
                    .note_asked(received.replica, backoff, in_flight, received.draw, now);
        }
    }

    fn apply_rate_limit(
        &mut self,
        received: &ReceivedNotice<'_>,
        rejected: &mut Vec<&'static str>,
        now: Instant,
    ) -> Option<LimitChange> {
        let named = received.notice.rate_limit;
        match named {
            NamedLimit::Malformed => {
                rejected.push("rate limit");
                return None;
            }
            // A limit stays in force until an authenticated response omits it.
            NamedLimit::Absent if received.auth < ResponseAuth::Authenticated => return None,
            NamedLimit::Absent | NamedLimit::PerSecond(_) => {}
        }
        self.limits
            .note_answer(received.replica, named, received.sent, now)
    }

    /// Applies another node's report that a replica announced its leaving; returns whether that is
    /// new.
    pub fn mark_leaving(&mut self, life: &ReplicaLife) -> bool {
        if let Some(ended) = self.gone.get_mut(&life.id)
            && ended.born == life.born
        {
            ended.leaving = true;
        }
        let row = self.rows.get_mut(&life.id);
        let Some(belief) = row.filter(|belief| belief.entry.born == life.born) else {
            return false;
        };
        self.said_leaving.insert(belief.tag, life.clone());
        set_leaving(belief)
    }

    /// Returns the incarnations that announced to some node that they are leaving, to inform nodes
    /// that know of others.
    pub fn announced_leaving(&self) -> impl Iterator<Item = &ReplicaLife> {
        self.said_leaving.values()
    }

    /// Returns a digest of these incarnations; it is equal on nodes that know the same ones.
    pub fn leaving_digest(&self) -> u64 {
        let tags = self.said_leaving.keys();
        tags.fold(0, |digest, tag| digest ^ session_rank(1, *tag))
    }
}

/// Returns the backoff that a response requests, as far as it is accepted.
fn accepted_backoff(received: &ReceivedNotice<'_>, effect: &mut NoticeEffect) -> Option<Duration> {
    match received.notice.rest {
        NamedRest::Absent => None,
        NamedRest::Malformed => {
            effect.rejected.push("rest");
            None
        }
        NamedRest::For(backoff) if received.auth == ResponseAuth::Unverified => {
            effect.unproven.push("rest");
            Some(backoff.min(MAX_UNVERIFIED_BACKOFF))
        }
        NamedRest::For(backoff) => Some(backoff),
    }
}

fn apply_load(belief: &mut ReplicaBelief, received: &ReceivedNotice<'_>, now: Instant) {
    if let Some((running, waiting, _)) = received.notice.load {
        belief.reported = Some((running, waiting, now));
    }
    let left = received.notice.cold_for.filter(|left| !left.is_zero());
    if let Some(left) = left.filter(|_| received.auth >= ResponseAuth::Identified) {
        belief.cold_until = belief.cold_until.max(Some(now + left));
    }
}

/// Marks a replica as leaving for the rest of this incarnation; returns whether that is new.
fn set_leaving(belief: &mut ReplicaBelief) -> bool {
    let known = matches!(
        belief.leaving,
        Some(LeaveReason::Draining | LeaveReason::Replaced)
    );
    if !known {
        belief.leaving = Some(LeaveReason::Draining);
    }
    !known
}
