//! Taking what a replica says of itself in an answer, whichever way the answer came.

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

/// Longest time for which a replica is sent nothing because of an answer that nothing shows to be its own.
const UNPROVEN_TIME: Duration = Duration::from_secs(30);

/// What shows that an answer comes from the life of a replica that it is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerProof {
    /// Nothing.
    Missing,
    /// It names the life, or answers a request that no other life takes.
    Named,
    /// It bears the replica's proof besides.
    Sealed,
}

/// What one answer said, and of whom.
#[derive(Clone, Copy, Debug)]
pub struct HeardNotice<'a> {
    /// The tag of the life.
    pub replica: ShortTag,
    /// What it says.
    pub notice: &'a ReplicaNotice,
    /// What shows that it says so.
    pub proof: AnswerProof,
    /// Whether the replica took the request.
    pub taken: bool,
    /// When the request was sent.
    pub sent: Instant,
    /// A number drawn for the answer.
    pub draw: u64,
}

/// What an answer changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NoticeEffect {
    /// Whether it is new that the replica leaves.
    pub leaving: bool,
    /// What became of the rest that it asks for.
    pub rest: Option<BackoffChange>,
    /// Whether it was tried after a rest, and serves.
    pub serves: bool,
    /// How its rate limit changed.
    pub limit: Option<RateLimitChange>,
    /// Values that cannot be used, by name.
    pub rejected: Vec<&'static str>,
    /// Values that nothing shows to be its own; they are believed for a while, and other nodes are not told.
    pub unproven: Vec<&'static str>,
}

impl ReplicaTable {
    /// Takes what a replica says of itself in an answer; gives what that changed. Of a life that was dropped only its
    /// leaving counts, since its entry may come back.
    pub fn hear(&mut self, heard: &HeardNotice<'_>, now: Instant) -> NoticeEffect {
        let mut effect = NoticeEffect::default();
        let id = self.tags.get(&heard.replica);
        let Some(belief) = id.and_then(|id| self.rows.get_mut(id)) else {
            self.hear_dropped(heard);
            return effect;
        };
        hear_state(belief, heard, now);
        let mut rest = None;
        match heard.notice.leaving {
            DrainNotice::Absent => {}
            DrainNotice::Malformed => effect.rejected.push("leaving"),
            DrainNotice::Leaving if heard.proof == AnswerProof::Missing => {
                effect.unproven.push("leaving");
                rest = Some(UNPROVEN_TIME);
            }
            DrainNotice::Leaving => {
                self.announced_leaving
                    .insert(belief.tag, belief.entry.incarnation());
                effect.leaving = begin_leaving(belief);
            }
        }
        let work = belief.local_work.requests;
        rest = rest.max(named_rest(heard, &mut effect));
        self.hear_rest(heard, rest, work, &mut effect, now);
        effect.limit = self.hear_answered_limit(heard, &mut effect.rejected, now);
        effect
    }

    fn hear_dropped(&mut self, heard: &HeardNotice<'_>) {
        let leaves = heard.notice.leaving == DrainNotice::Leaving;
        if !leaves || heard.proof == AnswerProof::Missing {
            return;
        }
        let mut ended = self.ended.values_mut();
        if let Some(ended) = ended.find(|ended| ended.tag == heard.replica) {
            ended.leaving = true;
        }
    }

    /// Notes what an answer shows of a rest that was kept, and the one that it asks for.
    fn hear_rest(
        &mut self,
        heard: &HeardNotice<'_>,
        rest: Option<Duration>,
        work: u32,
        effect: &mut NoticeEffect,
        now: Instant,
    ) {
        if heard.proof >= AnswerProof::Named {
            effect.serves = self
                .backoffs
                .note_response(heard.replica, heard.taken, heard.sent);
        }
        if let Some(rest) = rest {
            effect.rest = self
                .backoffs
                .note_requested(heard.replica, rest, work, heard.draw, now);
        }
    }

    fn hear_answered_limit(
        &mut self,
        heard: &HeardNotice<'_>,
        rejected: &mut Vec<&'static str>,
        now: Instant,
    ) -> Option<RateLimitChange> {
        let named = heard.notice.rate_limit;
        match named {
            RateLimitNotice::Malformed => {
                rejected.push("rate limit");
                return None;
            }
            // Without the replica's proof that a limit is named no more, it goes on.
            RateLimitNotice::Absent if heard.proof < AnswerProof::Sealed => return None,
            RateLimitNotice::Absent | RateLimitNotice::PerSecond(_) => {}
        }
        self.limits
            .note_response(heard.replica, named, heard.sent, now)
    }

    /// Takes another node's news that a replica said that it leaves; tells whether that is new.
    pub fn hear_leaving(&mut self, life: &ReplicaIncarnation) -> bool {
        if let Some(ended) = self.ended.get_mut(&life.id)
            && ended.started_ms == life.started_ms
        {
            ended.leaving = true;
        }
        let row = self.rows.get_mut(&life.id);
        let Some(belief) = row.filter(|belief| belief.entry.started_ms == life.started_ms) else {
            return false;
        };
        self.announced_leaving.insert(belief.tag, life.clone());
        begin_leaving(belief)
    }

    /// Gives the lives that said in an answer to some node that they leave, to tell nodes that know others.
    pub fn announced_leaving(&self) -> impl Iterator<Item = &ReplicaIncarnation> {
        self.announced_leaving.values()
    }

    /// Gives a digest of these lives; nodes that know the same have the same.
    pub fn leaving_digest(&self) -> u64 {
        let tags = self.announced_leaving.keys();
        tags.fold(0, |digest, tag| digest ^ rendezvous_score(1, *tag))
    }
}

/// Gives the rest that an answer asks for, as long as it is believed.
fn named_rest(heard: &HeardNotice<'_>, effect: &mut NoticeEffect) -> Option<Duration> {
    match heard.notice.rest {
        BackoffNotice::Absent => None,
        BackoffNotice::Malformed => {
            effect.rejected.push("rest");
            None
        }
        BackoffNotice::For(rest) if heard.proof == AnswerProof::Missing => {
            effect.unproven.push("rest");
            Some(rest.min(UNPROVEN_TIME))
        }
        BackoffNotice::For(rest) => Some(rest),
    }
}

fn hear_state(belief: &mut ReplicaState, heard: &HeardNotice<'_>, now: Instant) {
    if let Some((running, waiting, _)) = heard.notice.load {
        belief.reported_load = Some((running, waiting, now));
    }
    let left = heard.notice.cold_for.filter(|left| !left.is_zero());
    if let Some(left) = left.filter(|_| heard.proof >= AnswerProof::Named) {
        belief.cold_until = belief.cold_until.max(Some(now + left));
    }
}

/// Notes that a replica leaves, for the rest of its life.
fn begin_leaving(belief: &mut ReplicaState) -> bool {
    let known = matches!(
        belief.leaving,
        Some(LeaveReason::Draining | LeaveReason::Replaced)
    );
    if !known {
        belief.leaving = Some(LeaveReason::Draining);
    }
    !known
}
