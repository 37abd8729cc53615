//! Finds out what began a stream that a caller takes up.
//!
//! Such a stream goes on only at the version that began it. A node that cannot tell the version
//! refuses rather than guess, and one that knows that no replica of it is left refuses at once.

use crate::core::EntryCore;
use crate::nodes::stream_origins::ask_origin;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use crate::request::received::RequestOrigin;
use crate::store::stream_records::read_recorded;
use crate::store::version_keys::read_sole_version;
use tokio::time::sleep;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_route::OriginRecord;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::take_up_time;

/// Time that other nodes have to answer before the store is read; longer than a round trip between
/// regions.
const ANSWER_WAIT: Duration = Duration::from_millis(200);

/// How a node knows what began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginSource {
    /// The node that forwarded the request says so.
    Forwarded,
    /// This node began it, or was told.
    Known,
    /// Its service has had a single version.
    SoleVersion,
    /// Another node answered.
    Asked,
    /// The store has it.
    Recorded,
    /// It does not know.
    Unknown,
    /// It knows, and no replica of that version is left.
    Gone,
}

impl OriginSource {
    /// Returns the name used in log lines and counters.
    fn name(self) -> &'static str {
        match self {
            Self::Forwarded => "forwarded",
            Self::Known => "known",
            Self::SoleVersion => "sole_version",
            Self::Asked => "asked",
            Self::Recorded => "recorded",
            Self::Unknown => "unknown",
            Self::Gone => "gone",
        }
    }
}

/// Returns what began the stream that a request takes up; `None` if it takes up none.
///
/// # Errors
///
/// Returns why the stream cannot go on.
pub(crate) async fn find_origin(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) -> Result<Option<StreamOrigin>, ResultCode> {
    if !plan.route.resumable || request.last_event.is_none() {
        return Ok(None);
    }
    let began = Instant::now();
    let looking = timeout_at(plan.deadline_tokio(), look_up(core, request, plan));
    let (found, mut source) = looking.await.unwrap_or((None, OriginSource::Unknown));
    let gone = found.is_some_and(|origin| is_gone(core, plan, origin));
    if gone {
        source = OriginSource::Gone;
    }
    core.metrics
        .streams
        .note_taken_up(&plan.service, source.name());
    let several = core
        .versions
        .borrow()
        .shows_several(tag_of(&plan.service), Instant::now());
    core.log.write(
        "taken-up",
        serde_json::json!({"request": request.attempt, "resumes": request.resumes,
            "after_event": request.last_event, "direct": request.is_direct(),
            "service": plan.service, "source": source.name(), "origin": found,
            "several": several, "up_ms": core.started.elapsed().as_millis() as u64,
            "took_ms": began.elapsed().as_millis() as u64}),
    );
    match found {
        None => Err(ResultCode::StreamVersionUnknown),
        Some(_) if gone => Err(ResultCode::StreamVersionGone),
        origin => Ok(origin),
    }
}

async fn look_up(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) -> (Option<StreamOrigin>, OriginSource) {
    if let RequestOrigin::Forwarded(info) = &request.origin
        && info.software.is_some()
    {
        let origin = StreamOrigin::new(&plan.service, info.software);
        return (Some(origin), OriginSource::Forwarded);
    }
    let stream = request.stream();
    let known = core.stream_origins.borrow().get(stream, Instant::now());
    if known.is_some() {
        return (known, OriginSource::Known);
    }
    if let Some(origin) = only_origin(core, plan).await {
        return (Some(origin), OriginSource::SoleVersion);
    }
    tokio::select! {
        Some(origin) = ask_origin(core, stream) => (Some(origin), OriginSource::Asked),
        Some(origin) = recorded_for(core, stream, plan) => (Some(origin), OriginSource::Recorded),
        else => (None, OriginSource::Unknown),
    }
}

/// Returns what began a stream by the store, if no other node has answered meanwhile.
async fn recorded_for(
    core: &EntryCore,
    stream: ContentDigest,
    plan: &RequestPlan,
) -> Option<StreamOrigin> {
    sleep(ANSWER_WAIT).await;
    let origin = read_recorded(core, stream).await?;
    let left = take_up_time(plan.route.timeout);
    let record = OriginRecord {
        stream,
        origin,
        left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
    };
    let mut origins = core.stream_origins.borrow_mut();
    origins.apply(&record, Instant::now());
    Some(origin)
}

/// Returns what alone can have begun a stream of a route.
///
/// What this node has seen and was told can show that there are several versions, but not that there
/// is one: it may have stood still, or be cut off.
async fn only_origin(core: &EntryCore, plan: &RequestPlan) -> Option<StreamOrigin> {
    let service = tag_of(&plan.service);
    let now = Instant::now();
    // Where a route is split, the weights may have changed since the stream began.
    if plan.route.is_split()
        || core.versions.borrow().shows_several(service, now)
        || core.replicas.borrow().store_failed_recently(now)
    {
        return None;
    }
    read_sole_version(core, service).await
}

/// Returns whether the route has left the service of a stream, or no replica of its version takes
/// work in any region that may serve it. A region that this node has not heard from may have one.
fn is_gone(core: &EntryCore, plan: &RequestPlan, origin: StreamOrigin) -> bool {
    if plan.route.target_of(origin.service).is_none() {
        return true;
    }
    let now = Instant::now();
    let versions = core.versions.borrow();
    let replicas = core.replicas.borrow();
    let serves_here = replicas
        .rows()
        .any(|state| state.leaving.is_none() && state.origin == origin);
    let regions: BTreeSet<&RegionId> = core.settings.regions.values().collect();
    let may_serve = |region: &&RegionId| {
        if **region == core.settings.region {
            serves_here
        } else {
            versions.ready_in(region, origin, now) != Some(0)
        }
    };
    !regions
        .iter()
        .filter(|region| plan.allows(region))
        .any(may_serve)
}
