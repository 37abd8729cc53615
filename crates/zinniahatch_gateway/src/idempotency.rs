//! Requests that must not run twice: claimed by idempotency key, run once, and their responses
//! stored.

use crate::GatewayCore;
use crate::dispatch::OutboundRequest;
use crate::dispatch::request_digest;
use crate::refusal::Refusal;
use crate::respond::collect_stream;
use crate::response::CachedResponse;
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

/// Time for which a key may be used after it was issued.
pub(crate) const KEY_LIFETIME: Duration = Duration::from_secs(900);
/// Time after its deadline for which a running request may still produce a response to be stored.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after its deadline within which a run that was sent to no backend server ends.
const REFUSAL_GRACE: Duration = Duration::from_millis(500);

type ResponseTable = KeyTable<Arc<CachedResponse>>;

/// Key tables of this incarnation and of those that it took over.
pub struct KeyTables {
    limit: usize,
    cached_bytes: usize,
    tables: BTreeMap<(NodeId, Incarnation), ResponseTable>,
    own: (NodeId, Incarnation),
}

/// Key table as sent to the node that takes it over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyTableSnapshot {
    node: NodeId,
    incarnation: Incarnation,
    secret: [u8; 32],
    age: u64,
    lines: Vec<(u64, PartHash, Option<CachedResponse>, bool)>,
}

impl KeyTables {
    pub(crate) fn new(
        identity: &NodeIdentity,
        secret: [u8; 32],
        now: Instant,
        limit: usize,
    ) -> Self {
        let own = (identity.node.clone(), identity.incarnation);
        let table = KeyTable::new(
            &identity.node,
            identity.incarnation,
            secret,
            now,
            KEY_LIFETIME,
        );
        Self {
            limit,
            cached_bytes: 0,
            tables: BTreeMap::from([(own.clone(), table)]),
            own,
        }
    }

    /// Returns whether this node holds the table of a key.
    pub(crate) fn owns(&self, key: &MintedKey) -> bool {
        self.tables
            .contains_key(&(key.node.clone(), key.incarnation))
    }

    pub(crate) fn mint(&mut self, now: Instant, account: &str) -> Box<str> {
        let own = self.own.clone();
        self.tables
            .get_mut(&own)
            .map(|table| table.mint(now, account))
            .unwrap_or_default()
    }

    pub(crate) fn collect(&self, key: &MintedKey, account: &str) -> KeyClaim<Arc<CachedResponse>> {
        match self.tables.get(&(key.node.clone(), key.incarnation)) {
            Some(table) => table.collect(key, account),
            None => KeyClaim::Lost,
        }
    }

    /// Removes expired keys and responses.
    pub fn sweep(&mut self, now: Instant, retention: Duration) {
        for table in self.tables.values_mut() {
            table.sweep(now, retention);
        }
    }

    /// Closes all tables and returns their content for the successor.
    pub fn close(&mut self, now: Instant) -> Vec<KeyTableSnapshot> {
        let mut snapshots = Vec::new();
        for ((node, incarnation), table) in &mut self.tables {
            let (secret, age, entries) = table.close(now);
            let lines = entries
                .into_iter()
                .map(|(number, digest, response, not_run)| {
                    (
                        number,
                        digest,
                        response.map(|response| (*response).clone()),
                        not_run,
                    )
                })
                .collect();
            snapshots.push(KeyTableSnapshot {
                node: node.clone(),
                incarnation: *incarnation,
                secret,
                age,
                lines,
            });
        }
        snapshots
    }

    /// Takes over the tables of a node that shuts down and returns their owners.
    pub(crate) fn take_over(
        &mut self,
        now: Instant,
        snapshots: Vec<KeyTableSnapshot>,
    ) -> Vec<(NodeId, Incarnation)> {
        let mut owners = Vec::new();
        for table in snapshots {
            let owner = (table.node.clone(), table.incarnation);
            let lines = table
                .lines
                .into_iter()
                .map(|(number, digest, response, not_run)| {
                    (number, digest, response.map(Arc::new), not_run)
                })
                .collect();
            let inherited = KeyTable::inherit(
                &table.node,
                table.incarnation,
                table.secret,
                table.age,
                now,
                KEY_LIFETIME,
                lines,
            );
            self.tables.entry(owner.clone()).or_insert(inherited);
            owners.push(owner);
        }
        owners
    }

    /// Stores a response under its key; evicts the oldest responses when the memory limit is
    /// exceeded.
    fn store_response(&mut self, key: &MintedKey, response: &Arc<CachedResponse>) {
        self.cached_bytes += response.body.len();
        if let Some(table) = self.table(key) {
            table.record_response(key.number, Arc::clone(response));
        }
        if self.cached_bytes <= self.limit {
            return;
        }
        // Evicts down to half the limit, so that the oldest responses need not be searched for on
        // every call.
        let share = self.limit / 2 / self.tables.len().max(1);
        for table in self.tables.values_mut() {
            table.trim_responses(share, |response| response.body.len());
        }
        self.cached_bytes = self.limit / 2;
    }

    fn table(&mut self, key: &MintedKey) -> Option<&mut ResponseTable> {
        self.tables.get_mut(&(key.node.clone(), key.incarnation))
    }
}

/// Runs a request under a key that this node owns.
///
/// The run continues when the caller's connection breaks, and its response is stored: a caller
/// that lost its connection fetches the response with the same key.
pub(crate) async fn run_as_owner(
    core: &Arc<GatewayCore>,
    outbound: OutboundRequest,
    key: MintedKey,
) -> Result<Arc<CachedResponse>, Box<Refusal>> {
    let digest = request_digest(&outbound);
    let claim = match core.keys().table(&key) {
        Some(table) => table.claim(
            Instant::now(),
            &key,
            &outbound.caller_identity.account,
            &digest,
        ),
        None => KeyClaim::Lost,
    };
    if let Some(result) = claim_result(claim) {
        return result;
    }
    let deadline = TokioInstant::from_std(outbound.deadline);
    let outbound = Arc::new(outbound);
    let mut run = tokio::spawn(run_and_record(Arc::clone(core), Arc::clone(&outbound), key));
    let mut ended = timeout_at(deadline, &mut run).await;
    if ended.is_err() && !outbound.was_sent() {
        // A run that was still waiting for a slot ends at the same deadline and reports that it
        // did not run.
        ended = timeout_at(deadline + REFUSAL_GRACE, run).await;
    }
    match ended {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(Box::new(Refusal::new(ResultCode::OutcomeUnknown))),
        Err(_) => Err(Box::new(Refusal::retry_after(
            ResultCode::DeadlineRunning,
            Duration::from_secs(1),
        ))),
    }
}

async fn run_and_record(
    core: Arc<GatewayCore>,
    outbound: Arc<OutboundRequest>,
    key: MintedKey,
) -> Result<Arc<CachedResponse>, Box<Refusal>> {
    let result = run_to_end(&core, Arc::clone(&outbound)).await;
    record_outcome(&core, &outbound, &key, result)
}

/// Converts a claim into the result for its caller; returns `None` for a new key.
pub(crate) fn claim_result(
    claim: KeyClaim<Arc<CachedResponse>>,
) -> Option<Result<Arc<CachedResponse>, Box<Refusal>>> {
    let refuse = |code| Some(Err(Box::new(Refusal::new(code))));
    match claim {
        KeyClaim::Fresh => None,
        KeyClaim::Answered(response) => {
            let mut earlier = (*response).clone();
            earlier.code = if earlier.code == ResultCode::Answered {
                ResultCode::AnsweredEarlier
            } else {
                earlier.code
            };
            Some(Ok(Arc::new(earlier)))
        }
        KeyClaim::Running => Some(Err(Box::new(Refusal::retry_after(
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
    outbound: Arc<OutboundRequest>,
) -> Result<CachedResponse, Box<Refusal>> {
    let late = TokioInstant::from_std(outbound.deadline + LATE_RESPONSE_TIMEOUT);
    let run = async {
        if outbound.is_engine() {
            return collect_stream(core, Arc::clone(&outbound)).await;
        }
        run_plain(core, &outbound).await
    };
    match timeout_at(late, run).await {
        Ok(result) => result,
        Err(_) => Err(Box::new(Refusal::new(ResultCode::DeadlineRunning))),
    }
}

/// Stores the outcome in the key table before the caller receives it.
///
/// For "not run" the key is marked first, so that a copy of the same request still in transit
/// to this node cannot run after its caller received "not run".
fn record_outcome(
    core: &GatewayCore,
    outbound: &OutboundRequest,
    key: &MintedKey,
    result: Result<CachedResponse, Box<Refusal>>,
) -> Result<Arc<CachedResponse>, Box<Refusal>> {
    let mut keys = core.keys();
    match result {
        Ok(response) => {
            let response = Arc::new(response);
            keys.store_response(key, &response);
            Ok(response)
        }
        Err(refusal) if refusal.code.execution() == Execution::NotRun && !outbound.was_sent() => {
            if let Some(table) = keys.table(key) {
                table.mark_not_run(key.number);
            }
            Err(refusal)
        }
        Err(mut refusal) => {
            if let Some(table) = keys.table(key) {
                table.mark_lost(key.number);
            }
            if refusal.code.execution() == Execution::NotRun {
                refusal.code = ResultCode::OutcomeUnknown;
            }
            Err(refusal)
        }
    }
}
