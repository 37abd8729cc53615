//! What is fixed about a request before its first try, and its progress since.

use crate::auth::identity::RequestIdentity;
use crate::auth::identity::identify;
use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::request::received::ReceivedRequest;
use crate::request::received::RequestOrigin;
use http::HeaderMap;
use http::header;
use std::borrow::Cow;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DesiredRoute;
use zinniahatch_route::DesiredService;
use zinniahatch_route::PinReason;
use zinniahatch_route::PromptSize;
use zinniahatch_route::RemoteAttempts;
use zinniahatch_route::RepeatKind;
use zinniahatch_route::ScopedPart;
use zinniahatch_route::SendLedger;
use zinniahatch_route::StreamFailover;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::common_homes;
use zinniahatch_route::engine_rank;
use zinniahatch_route::first_event_limit;

/// Time limit of one try of an idempotent request, as a multiple of its latency target.
const TRY_GOAL_FACTOR: f64 = 0.8;
/// The same limit as a multiple of the expected time; the longer of the two applies. A slow
/// response is not a lost one.
const TRY_EXPECTED_FACTOR: u32 = 3;

/// Maximum number of tries of one request that reach no replica. Each may take the full connect
/// timeout.
pub(crate) const MAX_UNSENT_TRIES: u32 = 4;

/// What is fixed about a request.
#[derive(Debug)]
pub(crate) struct RequestPlan {
    pub(crate) route: Rc<DesiredRoute>,
    pub(crate) service: ServiceId,
    pub(crate) spec: DesiredService,
    pub(crate) version: u64,
    /// Parts of the prompt as the service reads them.
    pub(crate) parts: Vec<ScopedPart>,
    /// The caller's client account and key. `None` if the route or deployment requires none.
    pub(crate) identity: Option<RequestIdentity>,
    /// Whether replicas receive the client account instead of the caller's credential.
    pub(crate) guarded: bool,
    /// Regions that may serve the request, by its route and its client account. Empty allows all.
    pub(crate) homes: BTreeSet<RegionId>,
    /// When the final response is due.
    pub(crate) deadline: Instant,
    /// Priority rank in the engine, for services that are engines.
    pub(crate) rank: Option<u8>,
    /// Whether the engine runs the request before ordinary ones.
    pub(crate) urgent: bool,
    /// Rate limit of a cold replica over all nodes, in requests per second.
    pub(crate) cold_bound: f64,
    /// Maximum number of sends to replicas by this node. It is 1 for a forwarded request: the first
    /// node counts the tries, and two nodes that both used the route's limit would exceed it.
    pub(crate) max_sends: u32,
}

/// Progress of a request so far.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    /// Replicas already tried.
    pub(crate) tried: BTreeSet<ReplicaId>,
    /// Nodes and regions already tried.
    pub(crate) remote: RemoteAttempts,
    /// Number of replicas that may have received the request, without misdirected sends.
    pub(crate) sends: u32,
    /// Sends that replicas may have received, and those charged to the retry budget.
    pub(crate) ledger: SendLedger,
    /// Whether a send passed admission control, which further sends skip. A refusal by another
    /// node's replica says nothing about the replicas of this region.
    pub(crate) admitted: bool,
    /// Number of tries that did not reach the intended replica, and of failed tries to resume a
    /// stream.
    pub(crate) unsent_tries: u32,
    /// Whether a replica may have run the request.
    pub(crate) may_have_run: bool,
    /// When the last region that refused the request expects to have capacity.
    pub(crate) retry_hint: Option<Duration>,
    /// Where the last try went.
    pub(crate) place: ServingPlace,
    /// Since when a place is looked for where a broken stream goes on; its caller cannot be refused any more.
    pub(crate) broken_since: Option<Instant>,
    /// What began the stream, once its caller has the first event.
    pub(crate) began: Option<StreamOrigin>,
}

/// Where a try went.
#[derive(Clone, Debug, Default)]
pub(crate) enum ServingPlace {
    /// To this region.
    #[default]
    Here,
    /// To a node of another region.
    Remote { node: NodeId, region: RegionId },
}

impl ServingPlace {
    /// Returns the node of another region, if it went to one.
    pub(crate) fn node(&self) -> Option<&NodeId> {
        match self {
            Self::Here => None,
            Self::Remote { node, .. } => Some(node),
        }
    }

    /// Returns the other region, if it went to one.
    pub(crate) fn region(&self) -> Option<&RegionId> {
        match self {
            Self::Here => None,
            Self::Remote { region, .. } => Some(region),
        }
    }
}

/// Counts a request as in flight while it lives.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    core: Rc<EntryCore>,
}

impl RequestPlan {
    /// Finds the route, authenticates the caller and fixes the deadline.
    ///
    /// `began` is what began the stream that the request takes up, which serves the rest of it too.
    pub(crate) fn new(
        core: &EntryCore,
        request: &ReceivedRequest,
        began: Option<StreamOrigin>,
    ) -> Result<Self, ResultCode> {
        let phase = core.phase();
        let is_closed = if request.has_begun() {
            phase >= StopPhase::Disconnecting
        } else {
            phase >= StopPhase::Closing
        };
        if is_closed {
            return Err(ResultCode::NodeLeaving);
        }
        let desired = core.desired.borrow().clone();
        let desired = desired.ok_or(ResultCode::NodeStarting)?;
        let routes = core.routes.borrow().clone();
        let route = routes
            .find(&request.host, &request.path)
            .ok_or(ResultCode::NoRoute)?;
        let is_new_stream = route.repeat == RepeatKind::Streaming && !request.has_begun();
        if phase == StopPhase::PlainOnly && is_new_stream {
            return Err(ResultCode::NodeLeaving);
        }
        let identity = identify(core, request, &route)?;
        let account = identity.as_ref().map(|identity| &*identity.account);
        let homes = common_homes(&route, account).ok_or(ResultCode::NoCommonHome)?;
        let priority = account
            .and_then(|account| account.priority)
            .unwrap_or(route.priority);
        let service = match &request.origin {
            // A node with a newer desired state decides by its own; one that lags behind follows
            // the first node's choice.
            RequestOrigin::Forwarded(fwd) if fwd.version > routes.version() => fwd.service.clone(),
            _ => began
                .map_or_else(
                    || route.target(request.resumes.as_ref().unwrap_or(&request.attempt)),
                    |began| route.target_of(began.service),
                )
                .map(|target| target.service.clone())
                .ok_or(ResultCode::NoBackend)?,
        };
        let spec = desired.services.get(&service).cloned();
        let spec = spec.ok_or(ResultCode::NoBackend)?;
        let timeout = route.timeout.saturating_sub(request.spent_before());
        let left = request.time_left.map_or(timeout, |left| left.min(timeout));
        let engine = spec.kv_tokens > 0;
        let urgent = engine && priority == 0;
        let max_sends = if request.is_direct() {
            route.max_attempts
        } else {
            1
        };
        Ok(Self {
            version: routes.version(),
            parts: scoped_parts(&service, &request.size),
            deadline: request.arrived + left,
            rank: engine.then(|| engine_rank(priority)),
            urgent,
            cold_bound: core.cold_bound(spec.cold_rate),
            max_sends,
            guarded: core.identities.borrow().requires_key(),
            identity,
            homes,
            route,
            service,
            spec,
        })
    }

    /// Returns whether a region may serve the request.
    pub(crate) fn allows(&self, region: &str) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// Returns the client account as replicas and reports name it.
    pub(crate) fn account_name(&self) -> Option<&str> {
        let identity = self.identity.as_ref()?;
        Some(&identity.account.name)
    }

    /// Returns the caller's headers to pass on. They include its credential only if replicas check
    /// it.
    pub(crate) fn upstream_headers<'a>(&self, request: &'a ReceivedRequest) -> Cow<'a, HeaderMap> {
        let Some(authorization) = request.authorization.as_ref().filter(|_| !self.guarded) else {
            return Cow::Borrowed(&request.headers);
        };
        let mut headers = request.headers.clone();
        headers.insert(header::AUTHORIZATION, authorization.clone());
        Cow::Owned(headers)
    }

    /// Returns the deadline as the runtime's instant type.
    pub(crate) fn deadline_tokio(&self) -> tokio::time::Instant {
        self.deadline.into()
    }

    /// Limits a retry time to what callers respect, a third of their remaining time.
    pub(crate) fn cap_retry_after(&self, after: Duration) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        after.min(left / 3)
    }

    /// Returns why a request that has had this many sends keeps its connection, if it has to.
    pub(crate) fn pin_reason(&self, sends: u32) -> Option<PinReason> {
        if !self.route.may_repeat() {
            return Some(PinReason::NotRepeatable);
        }
        (sends >= self.max_sends).then_some(PinReason::LastSend)
    }

    /// Returns the failover of a try whose send is not recorded yet.
    pub(crate) fn try_failover(
        &self,
        progress: &RequestProgress,
        expected: Duration,
    ) -> StreamFailover {
        let now = Instant::now();
        if let Some(reason) = self.pin_reason(progress.sends + 1) {
            return StreamFailover::pinned(reason, expected, now);
        }
        let try_time = match self.route.repeat {
            RepeatKind::Streaming => first_event_limit(expected),
            RepeatKind::Idempotent | RepeatKind::Once => self
                .route
                .goal
                .mul_f64(TRY_GOAL_FACTOR)
                .max(expected * TRY_EXPECTED_FACTOR),
        };
        StreamFailover::with_limit(self.deadline.min(now + try_time), now)
    }

    /// Returns the failover of a stream whose first event is expected within the given time.
    pub(crate) fn stream_failover(
        &self,
        progress: &RequestProgress,
        expected: Duration,
    ) -> StreamFailover {
        let now = Instant::now();
        match self.pin_reason(progress.sends) {
            Some(reason) => StreamFailover::pinned(reason, expected, now),
            None => StreamFailover::new(expected, now),
        }
    }

    /// Charges the next send to the retry budget unless it is the first one; returns whether the
    /// budget allows that.
    pub(crate) fn charge_send(
        &self,
        core: &EntryCore,
        request: &ReceivedRequest,
        progress: &mut RequestProgress,
        reason: &'static str,
    ) -> bool {
        if !progress.ledger.needs_charge() {
            return true;
        }
        let now = Instant::now();
        let (granted, level) = core.with_retry_budget(&self.service, |budget| {
            let granted = progress.ledger.charge_send(budget, now);
            (granted, budget.level(now))
        });
        core.metrics
            .retries
            .note_retry(&self.service, reason, granted);
        core.log.write(
            "retry",
            serde_json::json!({"request": request.attempt, "service": self.service,
                "reason": reason, "granted": granted, "requests": level.requests,
                "left": level.left, "limit": level.limit}),
        );
        granted
    }

    /// Gives back the charge of a send that no replica received, after the last send.
    pub(crate) fn return_charge(&self, core: &EntryCore, progress: &mut RequestProgress) {
        if progress.ledger.has_charge() {
            core.with_retry_budget(&self.service, |budget| {
                progress.ledger.return_charge(budget);
            });
        }
    }

    /// Returns whether the next send is free, charged already, or within the retry budget now.
    pub(crate) fn has_charge(&self, core: &EntryCore, progress: &RequestProgress) -> bool {
        !progress.ledger.needs_charge()
            || core.with_retry_budget(&self.service, |budget| {
                budget.level(Instant::now()).left >= 1.0
            })
    }

    /// Records a send that a replica may have received and run.
    pub(crate) fn record_send(&self, core: &EntryCore, progress: &mut RequestProgress) {
        self.record_received(core, progress, 1);
        progress.sends += 1;
    }

    /// Records sends that replicas may have received.
    pub(crate) fn record_received(
        &self,
        core: &EntryCore,
        progress: &mut RequestProgress,
        sends: u32,
    ) {
        let excess = progress.ledger.record_received(sends);
        core.metrics.retries.note_uncharged(&self.service, excess);
    }
}

/// Returns the parts of a prompt as its model reads them at a service.
fn scoped_parts(service: &str, size: &PromptSize) -> Vec<ScopedPart> {
    if size.part_ids.is_empty() {
        return Vec::new();
    }
    let scope = tag_of(&format!("{service} {:08x}", size.model));
    let ids = size.part_ids.iter();
    ids.map(|id| ScopedPart { id: *id, scope }).collect()
}

/// The places that a request was sent to.
#[derive(Clone, Debug)]
pub(crate) struct PlacesTried {
    replicas: BTreeSet<ReplicaId>,
    remote: RemoteAttempts,
    place: ServingPlace,
    unsent_tries: u32,
}

impl RequestProgress {
    /// Returns the places that the request was sent to so far.
    pub(crate) fn places(&self) -> PlacesTried {
        PlacesTried {
            replicas: self.tried.clone(),
            remote: self.remote.clone(),
            place: self.place.clone(),
            unsent_tries: self.unsent_tries,
        }
    }

    /// Forgets the places that the request was sent to since, as they did not take it.
    pub(crate) fn restore(&mut self, places: PlacesTried) {
        self.tried = places.replicas;
        self.remote = places.remote;
        self.place = places.place;
        self.unsent_tries = places.unsent_tries;
    }

    /// Returns the region that served or refused the request.
    pub(crate) fn serving_region(&self, core: &EntryCore) -> RegionId {
        let own = &core.settings.region;
        self.place.region().unwrap_or(own).clone()
    }
}

impl InFlightGuard {
    /// Counts one more request in flight.
    pub(crate) fn new(core: &Rc<EntryCore>) -> Self {
        core.in_flight_count.set(core.in_flight_count.get() + 1);
        Self {
            core: Rc::clone(core),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.core
            .in_flight_count
            .set(self.core.in_flight_count.get() - 1);
    }
}
