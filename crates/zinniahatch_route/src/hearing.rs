//! Taking what a replica says of itself in an answer, whichever way the answer came.

use crate::LeaveReason;
use crate::LimitChange;
use crate::NamedLeaving;
use crate::NamedLimit;
use crate::ReplicaBelief;
use crate::ReplicaLife;
use crate::ReplicaNotice;
use crate::ReplicaTable;
use crate::prompt::session_rank;
use zinniahatch_base::prelude::*;

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
    /// When the request was sent.
    pub sent: Instant,
}

/// What an answer changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NoticeEffect {
    /// Whether it is new that the replica leaves.
    pub leaving: bool,
    /// How its rate limit changed.
    pub limit: Option<LimitChange>,
    /// Values that cannot be used, by name.
    pub rejected: Vec<&'static str>,
    /// Values that are not believed, since nothing shows whose they are.
    pub unproven: Vec<&'static str>,
}

impl ReplicaTable {
    /// Takes what a replica says of itself in an answer; gives what that changed. A life that has ended says nothing.
    pub fn hear(&mut self, heard: &HeardNotice<'_>, now: Instant) -> NoticeEffect {
        let mut effect = NoticeEffect::default();
        let id = self.tags.get(&heard.replica);
        let Some(belief) = id.and_then(|id| self.rows.get_mut(id)) else {
            return effect;
        };
        hear_state(belief, heard, now);
        match heard.notice.leaving {
            NamedLeaving::Absent => {}
            NamedLeaving::Malformed => effect.rejected.push("leaving"),
            NamedLeaving::Leaving if heard.proof == AnswerProof::Missing => {
                effect.unproven.push("leaving");
            }
            NamedLeaving::Leaving => {
                self.said_leaving.insert(belief.tag, belief.entry.life());
                effect.leaving = begin_leaving(belief);
            }
        }
        effect.limit = self.hear_answered_limit(heard, &mut effect.rejected, now);
        effect
    }

    fn hear_answered_limit(
        &mut self,
        heard: &HeardNotice<'_>,
        rejected: &mut Vec<&'static str>,
        now: Instant,
    ) -> Option<LimitChange> {
        let named = heard.notice.rate_limit;
        match named {
            NamedLimit::Malformed => {
                rejected.push("rate limit");
                return None;
            }
            // Without the replica's proof that a limit is named no more, it goes on.
            NamedLimit::Absent if heard.proof < AnswerProof::Sealed => return None,
            NamedLimit::Absent | NamedLimit::PerSecond(_) => {}
        }
        self.limits
            .note_answer(heard.replica, named, heard.sent, now)
    }

    /// Takes another node's news that a replica said that it leaves; tells whether that is new.
    pub fn hear_leaving(&mut self, life: &ReplicaLife) -> bool {
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
        begin_leaving(belief)
    }

    /// Gives the lives that said in an answer to some node that they leave, to tell nodes that know others.
    pub fn said_leaving(&self) -> impl Iterator<Item = &ReplicaLife> {
        self.said_leaving.values()
    }

    /// Gives a digest of these lives; nodes that know the same have the same.
    pub fn leaving_digest(&self) -> u64 {
        let tags = self.said_leaving.keys();
        tags.fold(0, |digest, tag| digest ^ session_rank(1, *tag))
    }
}

fn hear_state(belief: &mut ReplicaBelief, heard: &HeardNotice<'_>, now: Instant) {
    if let Some((running, waiting, _)) = heard.notice.load {
        belief.reported = Some((running, waiting, now));
    }
}

/// Notes that a replica leaves, for the rest of its life.
fn begin_leaving(belief: &mut ReplicaBelief) -> bool {
    let known = matches!(
        belief.leaving,
        Some(LeaveReason::Draining | LeaveReason::Replaced)
    );
    if !known {
        belief.leaving = Some(LeaveReason::Draining);
    }
    !known
}
