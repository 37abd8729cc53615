//! What is fixed about a request before its first try, and what has happened to it since.

use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::request::received::ReceivedCall;
use crate::request::received::RequestHop;
use crate::who::identity::CallIdentity;
use crate::who::identity::identify;
use http::HeaderMap;
use http::header;
use std::borrow::Cow;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DesiredRoute;
use zinniahatch_route::DesiredService;
use zinniahatch_route::RemoteAttempts;
use zinniahatch_route::RepeatKind;
use zinniahatch_route::common_homes;
use zinniahatch_route::engine_rank;

/// Time for a repeatable request before it is sent elsewhere, as a multiple of its goal.
const TRY_PART: f64 = 0.8;
/// Time for the same, as a multiple of what was expected; a slow answer is not a lost one.
const TRY_TIMES: u32 = 3;

/// Connections that are tried for one request at most; each may cost its connect time.
pub(crate) const MOST_CONNECTS: u32 = 4;

/// What is fixed about a request.
#[derive(Debug)]
pub(crate) struct CallPlan {
    pub(crate) route: Rc<DesiredRoute>,
    pub(crate) service: ServiceId,
    pub(crate) spec: DesiredService,
    pub(crate) version: u64,
    /// Who asks; none where that does not matter.
    pub(crate) identity: Option<CallIdentity>,
    /// Whether replicas are told the account in place of the credential.
    pub(crate) guarded: bool,
    /// Regions that may serve the request, by its route and its account; empty allows all.
    pub(crate) homes: BTreeSet<RegionId>,
    /// When the final answer is due.
    pub(crate) deadline: Instant,
    /// Rank in the engine, for services that are engines.
    pub(crate) rank: Option<u8>,
    /// Whether it goes before the common requests in the engine.
    pub(crate) urgent: bool,
    /// Bound of a cold replica over all nodes, requests a second.
    pub(crate) cold_bound: f64,
    /// Replicas that this node may send the request to. One for a forwarded request: the first
    /// node counts its tries, and two nodes that both went to the route's limit would pass it.
    pub(crate) most_sends: u32,
}

/// What happened to a request so far.
#[derive(Debug, Default)]
pub(crate) struct CallCourse {
    /// Replicas that were tried.
    pub(crate) tried: BTreeSet<ReplicaId>,
    /// Nodes and regions that were tried.
    pub(crate) away: RemoteAttempts,
    /// Replicas that it was sent to.
    pub(crate) sends: u32,
    /// Tries in which nothing was sent.
    pub(crate) connects: u32,
    /// Whether some replica may have run it.
    pub(crate) maybe_ran: bool,
    /// When the last region that refused it would have room.
    pub(crate) retry_hint: Option<Duration>,
    /// The region that the last try went to, where that is another one.
    pub(crate) region: Option<RegionId>,
}

/// Counts a request as in progress as long as it lives.
#[derive(Debug)]
pub(crate) struct CallCount {
    core: Rc<EntryCore>,
}

impl CallPlan {
    /// Finds the route and fixes the deadline.
    pub(crate) fn new(core: &EntryCore, call: &ReceivedCall) -> Result<Self, ResultCode> {
        if core.phase() == StopPhase::Closing {
            return Err(ResultCode::NodeLeaving);
        }
        let desired = core.desired.borrow().clone();
        let desired = desired.ok_or(ResultCode::NodeStarting)?;
        let routes = core.routes.borrow().clone();
        let route = routes
            .find(&call.host, &call.path)
            .ok_or(ResultCode::NoRoute)?;
        if core.phase() == StopPhase::PlainOnly && route.repeat == RepeatKind::Streaming {
            return Err(ResultCode::NodeLeaving);
        }
        let identity = identify(core, call, &route)?;
        let account = identity.as_ref().map(|identity| &*identity.account);
        let homes = common_homes(&route, account).ok_or(ResultCode::NoCommonHome)?;
        let priority = account
            .and_then(|account| account.priority)
            .unwrap_or(route.priority);
        let service = match &call.hop {
            // A node with newer rules decides by them; one that is behind trusts the one before.
            RequestHop::Forwarded(note) if note.version > routes.version() => note.service.clone(),
            _ => route
                .target(&call.attempt)
                .map(|target| target.service.clone())
                .ok_or(ResultCode::NoBackend)?,
        };
        let spec = desired.services.get(&service).cloned();
        let spec = spec.ok_or(ResultCode::NoBackend)?;
        let timeout = route.timeout.saturating_sub(call.spent_before());
        let left = call.time_left.map_or(timeout, |left| left.min(timeout));
        let engine = spec.kv_tokens > 0;
        let urgent = engine && priority == 0;
        let most_sends = if call.is_direct() {
            route.max_attempts
        } else {
            1
        };
        Ok(Self {
            version: routes.version(),
            deadline: call.arrived + left,
            rank: engine.then(|| engine_rank(priority)),
            urgent,
            cold_bound: core.cold_bound(spec.cold_rate),
            most_sends,
            guarded: core.identities.borrow().is_guarded(),
            identity,
            homes,
            route,
            service,
            spec,
        })
    }

    /// Tells whether a region may serve the request.
    pub(crate) fn allows(&self, region: &str) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// Gives the account as replicas and reports name it.
    pub(crate) fn account_name(&self) -> Option<&str> {
        let identity = self.identity.as_ref()?;
        Some(&identity.account.name)
    }

    /// Gives the caller's headers that go on. Its credential is among them only where replicas judge it.
    pub(crate) fn sent_headers<'a>(&self, call: &'a ReceivedCall) -> Cow<'a, HeaderMap> {
        let Some(authorization) = call.authorization.as_ref().filter(|_| !self.guarded) else {
            return Cow::Borrowed(&call.headers);
        };
        let mut headers = call.headers.clone();
        headers.insert(header::AUTHORIZATION, authorization.clone());
        Cow::Owned(headers)
    }

    /// Gives the deadline as the runtime takes it.
    pub(crate) fn deadline_tokio(&self) -> tokio::time::Instant {
        self.deadline.into()
    }

    /// Cuts a time to come back to what callers heed, a third of the time they have left.
    pub(crate) fn cap_retry(&self, after: Duration) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        after.min(left / 3)
    }

    /// Gives the time until which one try may take.
    ///
    /// A request that may be repeated leaves a replica that hangs while there is time for another;
    /// all others wait until the end, since a second run is not allowed.
    pub(crate) fn try_limit(&self, course: &CallCourse, expected: Duration) -> Instant {
        let once_more =
            self.route.repeat == RepeatKind::Idempotent && course.sends + 1 < self.most_sends;
        if !once_more {
            return self.deadline;
        }
        let part = self.route.goal.mul_f64(TRY_PART).max(expected * TRY_TIMES);
        self.deadline.min(Instant::now() + part)
    }

    /// Tells whether the request may be sent once more, and takes that from the budget.
    pub(crate) fn may_go_on(
        &self,
        core: &EntryCore,
        course: &CallCourse,
        reason: &'static str,
    ) -> bool {
        if course.sends >= self.most_sends {
            return false;
        }
        let granted = core.with_budget(&self.service, |budget| budget.take(Instant::now()));
        if granted {
            core.metrics.note_repeat(&self.service, reason);
        }
        granted
    }
}

impl CallCourse {
    /// Gives the region that served, or that refused.
    pub(crate) fn served(&self, core: &EntryCore) -> RegionId {
        let own = &core.settings.region;
        self.region.clone().unwrap_or_else(|| own.clone())
    }
}

impl CallCount {
    /// Counts a request.
    pub(crate) fn new(core: &Rc<EntryCore>) -> Self {
        core.open_calls.set(core.open_calls.get() + 1);
        Self {
            core: Rc::clone(core),
        }
    }
}

impl Drop for CallCount {
    fn drop(&mut self) {
        self.core.open_calls.set(self.core.open_calls.get() - 1);
    }
}
