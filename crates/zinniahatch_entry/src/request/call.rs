//! Sending one request to one replica or one other node.

use crate::core::EntryCore;
use crate::replicas::gate::claim_send;
use crate::replicas::gate::permit_send;
use crate::replicas::notice::hear_answer;
use crate::replicas::quarantine::await_hold;
use crate::replicas::quarantine::hold_left;
use crate::replicas::replica_check::note_break;
use crate::request::channel::AnswerHead;
use crate::request::open_call::OpenCall;
use crate::request::open_call::ReplicaNote;
use crate::request::plan::CallPlan;
use crate::request::pool::PoolError;
use crate::request::received::ReceivedCall;
use crate::request::refusal::own_code;
use crate::request::refusal::retry_hint;
use crate::request::refusal::says_not_run;
use crate::who::identity::still_counts;
use http::StatusCode;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CallHeaders;
use zinniahatch_platform::write_call;
use zinniahatch_platform::write_forward;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::LeaveReason;
use zinniahatch_route::LocalPlacement;
use zinniahatch_route::RemotePlacement;
use zinniahatch_route::SendPermit;
use zinniahatch_route::SendRefusal;

/// Header by which a node tells another the version of the desired state it chose by.
pub(crate) const HOP_VERSION: &str = "zinnia-version";
/// Header by which a node tells another the service that it chose.
pub(crate) const HOP_SERVICE: &str = "zinnia-service";
/// Header by which a node tells another the client account that it serves a request for.
pub(crate) const HOP_ACCOUNT: &str = "zinnia-account";
/// Header by which a node tells another the digest of the key by which it found the account.
pub(crate) const HOP_KEY: &str = "zinnia-key";
/// Header by which a node tells another the milliseconds spent on a request.
pub(crate) const HOP_SPENT: &str = "zinnia-spent-ms";
/// Channels to one other node at most.
const PEER_CHANNELS: usize = 500;

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SendFailure {
    /// Nothing was sent.
    NotSent(Box<str>),
    /// The other side promised that it did not run the request.
    NotRun(Option<Duration>),
    /// Another replica answers at the address; it did not run the request.
    WrongReplica,
    /// Its key was taken away, so that it was not sent.
    KeyRevoked,
    /// Replicas ended under it, so that it was not sent; it is held for so long.
    Quarantined(Duration),
    /// It may have run.
    Unknown(Box<str>),
}

/// A request to another region whose answer has not begun; dropped, it is given up.
struct AwayWait<'a> {
    core: &'a EntryCore,
    region: &'a RegionId,
    ticket: u64,
}

impl<'a> AwayWait<'a> {
    fn new(core: &'a EntryCore, region: &'a RegionId) -> Self {
        let ticket = core.ticket();
        let mut ways = core.ways.borrow_mut();
        ways.note_sent(region, ticket, Instant::now());
        Self {
            core,
            region,
            ticket,
        }
    }

    fn note_answer(&self) {
        let mut ways = self.core.ways.borrow_mut();
        ways.note_answer(self.region, self.ticket, Instant::now());
    }
}

impl Drop for AwayWait<'_> {
    fn drop(&mut self) {
        let mut ways = self.core.ways.borrow_mut();
        ways.note_given_up(self.region, self.ticket);
    }
}

/// Sends a request to a replica of the own region and reads the head of its answer.
pub(crate) async fn send_local(
    core: &Rc<EntryCore>,
    call: &ReceivedCall,
    plan: &CallPlan,
    choice: &LocalPlacement,
    last_event: Option<&str>,
) -> Result<(AnswerHead, OpenCall), SendFailure> {
    let now = Instant::now();
    let claim = claim_send(core, &choice.replica, now).map_err(not_sent)?;
    let address = claim.address();
    let copy_from = {
        let replicas = core.replicas.borrow();
        let source = choice.copy_from.as_ref().and_then(|id| replicas.get(id));
        source.map(|source| source.entry.address)
    };
    let mut open = OpenCall::new(core, address, &plan.service);
    open.note = Some(begin(core, call, plan, choice, now));
    let share = core.channel_share(&plan.service);
    let channel = match core.pool.take(address, share, now).await {
        Ok(channel) => channel,
        Err(error) => return Err(unreached(core, &open, &error)),
    };
    let headers = plan.sent_headers(call);
    let head = write_call(
        &call.method,
        &call.path,
        &headers,
        &CallHeaders {
            time_left: plan.deadline.saturating_duration_since(Instant::now()),
            replica: &choice.replica,
            rank: plan.rank,
            account: plan.account_name(),
            last_event,
            copy_from,
        },
        call.body.len(),
    );
    let used = channel.was_used();
    open.channel = Some(channel);
    // It may have waited for the connection while the news came.
    if !still_counts(core, plan.identity.as_ref()) {
        return Err(SendFailure::KeyRevoked);
    }
    if let Some(left) = hold_left(core, call) {
        return Err(SendFailure::Quarantined(left));
    }
    let permit = match permit_send(core, claim) {
        Ok(permit) => permit,
        Err(withheld) => {
            open.give_back();
            return Err(not_sent(withheld));
        }
    };
    let exchanged = tokio::select! {
        biased;
        exchanged = open.exchange(permit, call, &head) => exchanged,
        // It waits in the replica's queue; begun there, it would end one replica more. Replicas drop what
        // waits when its channel closes.
        () = await_hold(core, call) => {
            return Err(SendFailure::Unknown("held while it waited".into()));
        }
    };
    match exchanged {
        Ok(head) => sort_answer(core, call, choice, head, open),
        Err(error) => {
            // A kept channel that breaks says little of the replica; it may have closed it.
            if !used {
                open.fail();
            }
            note_break(core, call, &open, &error.to_string()).await;
            core.pool.purge(address);
            Err(SendFailure::Unknown(error.to_string().into()))
        }
    }
}

fn not_sent(withheld: SendRefusal) -> SendFailure {
    SendFailure::NotSent(format!("withheld: {}", withheld.name()).into())
}

fn begin(
    core: &Rc<EntryCore>,
    call: &ReceivedCall,
    plan: &CallPlan,
    choice: &LocalPlacement,
    now: Instant,
) -> ReplicaNote {
    let ticket = core.ticket();
    let mut replicas = core.replicas.borrow_mut();
    let ahead = replicas
        .get(&choice.replica)
        .map_or(0, |belief| belief.total_work(now).tokens_ahead(plan.urgent));
    let work = InFlightWork {
        requests: 1,
        tokens: choice.tokens,
        urgent_requests: u32::from(plan.urgent),
        urgent_tokens: if plan.urgent { choice.tokens } else { 0 },
    };
    replicas.note_sent(
        &choice.replica,
        ticket,
        &call.size,
        work,
        plan.spec.kv_tokens,
        now,
    );
    core.work_changed.notify_one();
    ReplicaNote {
        replica: choice.replica.clone(),
        ticket,
        work,
        ahead,
        queue: choice.queue,
        urgent: plan.urgent,
        cold: choice.cold,
        first_seen: false,
    }
}

fn unreached(core: &EntryCore, open: &OpenCall, error: &PoolError) -> SendFailure {
    match error {
        PoolError::Full => SendFailure::NotSent("this node's channels are in use".into()),
        PoolError::Unreached(error) => {
            let now = Instant::now();
            open.with_replica(|belief| belief.health.note_unreachable(now));
            core.log.write(
                "replica-unreached",
                serde_json::json!({"replica": open.replica(), "error": error.to_string()}),
            );
            SendFailure::NotSent(error.to_string().into())
        }
    }
}

/// Sorts an answer's head: what promises that the request did not run, and the rest.
fn sort_answer(
    core: &Rc<EntryCore>,
    call: &ReceivedCall,
    choice: &LocalPlacement,
    head: AnswerHead,
    open: OpenCall,
) -> Result<(AnswerHead, OpenCall), SendFailure> {
    let now = Instant::now();
    hear_answer(core, call, &open, &head);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        open.with_replica(|belief| belief.leaving = Some(LeaveReason::Replaced));
        core.log.write(
            "replica-replaced",
            serde_json::json!({"replica": choice.replica, "answered_by": head.marks.replica}),
        );
        return Err(SendFailure::WrongReplica);
    }
    open.with_replica(|belief| belief.health.note_bytes(now));
    if head.marks.not_run {
        // What a 503 names is the rest of its replica; others may be free.
        let refused = head.status == StatusCode::SERVICE_UNAVAILABLE;
        let hint = retry_hint(&head.headers).filter(|_| !refused);
        if head.status == StatusCode::BAD_REQUEST {
            return Ok((head, open));
        }
        return Err(SendFailure::NotRun(hint));
    }
    Ok((head, open))
}

/// Forwards a request to a node of another region and reads the head of its answer.
pub(crate) async fn send_away(
    core: &Rc<EntryCore>,
    call: &ReceivedCall,
    plan: &CallPlan,
    choice: &RemotePlacement,
    last_event: Option<&str>,
) -> Result<(AnswerHead, OpenCall), SendFailure> {
    let now = Instant::now();
    let permit = core.members.borrow().permit(&choice.node);
    let permit = permit.ok_or_else(|| SendFailure::NotSent("the node is gone".into()))?;
    let address = permit.address();
    let mut open = OpenCall::new(core, address, &plan.service);
    let channel = match core.pool.take(address, PEER_CHANNELS, now).await {
        Ok(channel) => channel,
        Err(error) => {
            core.members
                .borrow_mut()
                .note_unreachable(&choice.node, now);
            return Err(SendFailure::NotSent(format!("{error:?}").into()));
        }
    };
    if !still_counts(core, plan.identity.as_ref()) {
        core.pool.give(address, channel, now);
        return Err(SendFailure::KeyRevoked);
    }
    let spent = now.saturating_duration_since(call.arrived);
    let mut own: Vec<(&'static str, Box<str>)> = vec![
        (HOP_VERSION, plan.version.to_string().into()),
        (HOP_SERVICE, plan.service.clone()),
        (HOP_SPENT, spent.as_millis().to_string().into()),
    ];
    if let Some(identity) = &plan.identity {
        own.push((HOP_ACCOUNT, identity.account.name.clone()));
        own.push((HOP_KEY, identity.key.hex()));
    }
    let headers = plan.sent_headers(call);
    let head = write_forward(
        &call.method,
        &call.path,
        &headers,
        plan.deadline.saturating_duration_since(Instant::now()),
        last_event,
        &own,
        call.body.len(),
    );
    open.channel = Some(channel);
    let waiting = AwayWait::new(core, &choice.region);
    let answer = open.exchange(permit, call, &head).await;
    if answer.is_ok() {
        waiting.note_answer();
    }
    let head = match answer {
        Ok(head) => head,
        Err(error) => {
            core.pool.purge(address);
            return Err(SendFailure::Unknown(error.to_string().into()));
        }
    };
    if own_code(&head.headers).is_none() {
        return Ok((head, open));
    }
    let hint = retry_hint(&head.headers);
    let not_run = says_not_run(&head.headers);
    // The short body is read, so that the channel can be kept.
    if open.read_whole().await.is_ok() {
        open.finish(true);
    }
    if not_run && own_code(&head.headers) == Some(ResultCode::RequestQuarantined.number()) {
        return Err(SendFailure::Quarantined(hint.unwrap_or_default()));
    }
    if not_run && own_code(&head.headers) == Some(ResultCode::BadCredential.number()) {
        return Err(SendFailure::KeyRevoked);
    }
    if not_run {
        return Err(SendFailure::NotRun(hint));
    }
    Err(SendFailure::Unknown("the other node does not know".into()))
}
