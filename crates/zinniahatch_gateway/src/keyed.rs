//! Requests that may not be repeated: claimed by key, run once, their answers kept.

use crate::GatewayCore;
use crate::answer::KeptAnswer;
use crate::dispatch::RunCall;
use crate::dispatch::request_digest;
use crate::refusal::CallRefusal;
use crate::respond::collect_stream;
use crate::run::run_plain;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use tokio::time::Instant as TokioInstant;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_control::KeyClaim;
use zinniahatch_control::KeyRefusal;
use zinniahatch_control::KeyTable;
use zinniahatch_control::MintedKey;
use zinniahatch_control::NodeIdentity;

/// Time for which a key may be used after it was made.
pub(crate) const KEY_VALID: Duration = Duration::from_secs(900);
/// Time after its deadline for which a running request's answer is still awaited, to be kept.
const LATE_ANSWER: Duration = Duration::from_secs(60);

/// Time after its deadline in which a run that was sent to no backend server ends.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

type AnswerBook = KeyTable<Arc<KeptAnswer>>;

/// The books of this incarnation and of those it took over.
pub struct KeyShelf {
    limit: usize,
    kept: usize,
    books: BTreeMap<(NodeId, Incarnation), AnswerBook>,
    own: (NodeId, Incarnation),
}

/// A book as it passes to an heir.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedBook {
    node: NodeId,
    incarnation: Incarnation,
    secret: [u8; 32],
    age: u64,
    lines: Vec<(u64, PartHash, Option<KeptAnswer>, bool)>,
}

impl KeyShelf {
    pub(crate) fn new(
        identity: &NodeIdentity,
        secret: [u8; 32],
        now: Instant,
        limit: usize,
    ) -> Self {
        let own = (identity.node.clone(), identity.incarnation);
        let book = KeyTable::new(&identity.node, identity.incarnation, secret, now, KEY_VALID);
        Self {
            limit,
            kept: 0,
            books: BTreeMap::from([(own.clone(), book)]),
            own,
        }
    }

    /// Says whether the book of a key is here.
    pub(crate) fn owns(&self, key: &MintedKey) -> bool {
        self.books
            .contains_key(&(key.node.clone(), key.incarnation))
    }

    pub(crate) fn mint(&mut self, now: Instant, account: &str) -> Box<str> {
        let own = self.own.clone();
        self.books
            .get_mut(&own)
            .map(|book| book.mint(now, account))
            .unwrap_or_default()
    }

    pub(crate) fn collect(&self, key: &MintedKey, account: &str) -> KeyClaim<Arc<KeptAnswer>> {
        match self.books.get(&(key.node.clone(), key.incarnation)) {
            Some(book) => book.collect(key, account),
            None => KeyClaim::Lost,
        }
    }

    /// Forgets what is old.
    pub fn sweep(&mut self, now: Instant, keep: Duration) {
        for book in self.books.values_mut() {
            book.sweep(now, keep);
        }
    }

    /// Closes every book and gives them for an heir.
    pub fn close(&mut self, now: Instant) -> Vec<HandedBook> {
        let mut handed = Vec::new();
        for ((node, incarnation), book) in &mut self.books {
            let (secret, age, lines) = book.close(now);
            let lines = lines
                .into_iter()
                .map(|(number, digest, answer, buried)| {
                    (
                        number,
                        digest,
                        answer.map(|answer| (*answer).clone()),
                        buried,
                    )
                })
                .collect();
            handed.push(HandedBook {
                node: node.clone(),
                incarnation: *incarnation,
                secret,
                age,
                lines,
            });
        }
        handed
    }

    /// Takes over the books of a node that leaves; gives whose they are.
    pub(crate) fn inherit(
        &mut self,
        now: Instant,
        handed: Vec<HandedBook>,
    ) -> Vec<(NodeId, Incarnation)> {
        let mut heirs = Vec::new();
        for book in handed {
            let owner = (book.node.clone(), book.incarnation);
            let lines = book
                .lines
                .into_iter()
                .map(|(number, digest, answer, buried)| {
                    (number, digest, answer.map(Arc::new), buried)
                })
                .collect();
            let inherited = KeyTable::inherit(
                &book.node,
                book.incarnation,
                book.secret,
                book.age,
                now,
                KEY_VALID,
                lines,
            );
            self.books.entry(owner.clone()).or_insert(inherited);
            heirs.push(owner);
        }
        heirs
    }

    /// Keeps an answer under its key; where memory is short, the oldest answers are forgotten.
    fn keep(&mut self, key: &MintedKey, answer: &Arc<KeptAnswer>) {
        self.kept += answer.body.len();
        if let Some(book) = self.book(key) {
            book.record_response(key.number, Arc::clone(answer));
        }
        if self.kept <= self.limit {
            return;
        }
        // Down to half, so that the search for the oldest is not made for every answer.
        let share = self.limit / 2 / self.books.len().max(1);
        for book in self.books.values_mut() {
            book.trim_responses(share, |answer| answer.body.len());
        }
        self.kept = self.limit / 2;
    }

    fn book(&mut self, key: &MintedKey) -> Option<&mut AnswerBook> {
        self.books.get_mut(&(key.node.clone(), key.incarnation))
    }
}

/// Runs a request under a key that is owned here.
///
/// The run goes on when the caller's connection breaks, and its answer is kept: a caller that
/// lost its connection collects the answer with the same key.
pub(crate) async fn run_owned(
    core: &Arc<GatewayCore>,
    call: RunCall,
    key: MintedKey,
) -> Result<Arc<KeptAnswer>, Box<CallRefusal>> {
    let digest = request_digest(&call);
    let claim = match core.keys().book(&key) {
        Some(book) => book.claim(Instant::now(), &key, &call.who.account, &digest),
        None => KeyClaim::Lost,
    };
    if let Some(result) = settle_claim(claim) {
        return result;
    }
    let deadline = TokioInstant::from_std(call.deadline);
    let call = Arc::new(call);
    let mut run = tokio::spawn(run_and_note(Arc::clone(core), Arc::clone(&call), key));
    let mut ended = timeout_at(deadline, &mut run).await;
    if ended.is_err() && !call.was_sent() {
        // A run that only waited ends at the same deadline, and says that it did not run.
        ended = timeout_at(deadline + REFUSAL_TIME, run).await;
    }
    match ended {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(Box::new(CallRefusal::new(ResultCode::OutcomeUnknown))),
        Err(_) => Err(Box::new(CallRefusal::retry_after(
            ResultCode::DeadlineRunning,
            Duration::from_secs(1),
        ))),
    }
}

async fn run_and_note(
    core: Arc<GatewayCore>,
    call: Arc<RunCall>,
    key: MintedKey,
) -> Result<Arc<KeptAnswer>, Box<CallRefusal>> {
    let result = run_to_end(&core, Arc::clone(&call)).await;
    note_outcome(&core, &call, &key, result)
}

/// Gives what a claim means for its caller; `None` for a fresh key.
pub(crate) fn settle_claim(
    claim: KeyClaim<Arc<KeptAnswer>>,
) -> Option<Result<Arc<KeptAnswer>, Box<CallRefusal>>> {
    let refuse = |code| Some(Err(Box::new(CallRefusal::new(code))));
    match claim {
        KeyClaim::Fresh => None,
        KeyClaim::Answered(answer) => {
            let mut earlier = (*answer).clone();
            earlier.code = if earlier.code == ResultCode::Answered {
                ResultCode::AnsweredEarlier
            } else {
                earlier.code
            };
            Some(Ok(Arc::new(earlier)))
        }
        KeyClaim::Running => Some(Err(Box::new(CallRefusal::retry_after(
            ResultCode::StillRunning,
            Duration::from_millis(500),
        )))),
        KeyClaim::Closed => refuse(ResultCode::NodeLeaving),
        KeyClaim::Lost => refuse(ResultCode::AnswerForgotten),
        KeyClaim::Refused(KeyRefusal::Foreign) => refuse(ResultCode::KeyForeign),
        KeyClaim::Refused(KeyRefusal::Reused) => refuse(ResultCode::KeyReused),
        KeyClaim::Refused(KeyRefusal::NotRun) => refuse(ResultCode::KeyBuried),
    }
}

async fn run_to_end(
    core: &Arc<GatewayCore>,
    call: Arc<RunCall>,
) -> Result<KeptAnswer, Box<CallRefusal>> {
    let late = TokioInstant::from_std(call.deadline + LATE_ANSWER);
    let run = async {
        if call.is_engine() {
            return collect_stream(core, Arc::clone(&call)).await;
        }
        run_plain(core, &call).await
    };
    match timeout_at(late, run).await {
        Ok(result) => result,
        Err(_) => Err(Box::new(CallRefusal::new(ResultCode::DeadlineRunning))),
    }
}

/// Enters the outcome into the book before the caller hears it.
///
/// "Not run" buries the key first: a copy of the same request that is still on its way to this
/// node then cannot run after the caller was told that it did not.
fn note_outcome(
    core: &GatewayCore,
    call: &RunCall,
    key: &MintedKey,
    result: Result<KeptAnswer, Box<CallRefusal>>,
) -> Result<Arc<KeptAnswer>, Box<CallRefusal>> {
    let mut keys = core.keys();
    match result {
        Ok(answer) => {
            let answer = Arc::new(answer);
            keys.keep(key, &answer);
            Ok(answer)
        }
        Err(refusal) if refusal.code.execution() == Execution::NotRun && !call.was_sent() => {
            if let Some(book) = keys.book(key) {
                book.mark_not_run(key.number);
            }
            Err(refusal)
        }
        Err(mut refusal) => {
            if let Some(book) = keys.book(key) {
                book.mark_lost(key.number);
            }
            if refusal.code.execution() == Execution::NotRun {
                refusal.code = ResultCode::OutcomeUnknown;
            }
            Err(refusal)
        }
    }
}
