//! Admission by request headers: authenticates the caller and checks whether this region may serve
//! it.

use crate::GatewayCore;
use crate::core::InFlightGuard;
use crate::headers;
use crate::refusal::Refusal;
use crate::request_count::CountGuard;
use salvo::http::HeaderMap;
use salvo::http::Method;
use std::sync::Arc;
use zinniahatch_base::digest_text;
use zinniahatch_base::prelude::*;
use zinniahatch_config::AccountEntry;
use zinniahatch_config::BindingRule;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ServiceEntry;
use zinniahatch_config::WorkKind;
use zinniahatch_control::PlacementScope;
use zinniahatch_protocol::EntryAddress;

/// Parts of a request that are read before its body.
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) service: ServiceId,
    pub(crate) path: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) arrived: Instant,
}

/// Authenticated caller with its client account.
#[derive(Clone, Debug)]
pub(crate) struct CallerIdentity {
    pub(crate) account: AccountId,
    pub(crate) caller: CallerId,
    pub(crate) entry: AccountEntry,
}

/// A request that may be served here, made only by [`admit`] and by the verification of forwarded
/// requests.
pub(crate) struct AdmittedRequest {
    pub(crate) id: RequestId,
    pub(crate) config: Arc<ClusterConfig>,
    pub(crate) head: RequestHead,
    pub(crate) service: ServiceEntry,
    pub(crate) caller_identity: CallerIdentity,
    pub(crate) work: WorkKind,
    pub(crate) at_most_once: bool,
    pub(crate) scope: PlacementScope,
    pub(crate) guest: bool,
    pub(crate) deadline: Instant,
    pub(crate) count: CountGuard,
    pub(crate) in_flight: InFlightGuard,
}

/// Admits or refuses a caller's request by its headers.
///
/// A request bound to another region is refused before any of its body is read.
pub(crate) fn admit(
    core: &Arc<GatewayCore>,
    head: RequestHead,
) -> Result<AdmittedRequest, Box<Refusal>> {
    let config = serving_config(core)?;
    let caller_identity = find_caller(&config, &head.headers)
        .inspect_err(|refusal| core.counters.count_result(refusal.code))?;
    let id = core.request_id();
    let mut count = CountGuard::new(core, &config, &caller_identity, &head.service, head.arrived);
    match check_head(core, &config, &head, &caller_identity) {
        Ok((service, in_flight)) => {
            let at_most_once = service.is_once(head.method.as_str())
                || headers::text(&head.headers, headers::REPEAT) == Some("once");
            let scope = if is_bound(&service, &head) {
                PlacementScope::Region
            } else {
                PlacementScope::Anywhere
            };
            let work = effective_work(&service, &head.headers);
            let deadline = head.arrived + effective_deadline(&service, &head.headers);
            Ok(AdmittedRequest {
                id,
                config,
                head,
                service,
                caller_identity,
                work,
                at_most_once,
                scope,
                guest: false,
                deadline,
                count,
                in_flight,
            })
        }
        Err(refusal) => {
            count.record_result(refusal.code);
            Err(refusal)
        }
    }
}

/// Returns the configuration if this node is ready to serve.
pub(crate) fn serving_config(core: &GatewayCore) -> Result<Arc<ClusterConfig>, Box<Refusal>> {
    let control = core.control();
    if control.is_ready() {
        return Ok(control.config());
    }
    drop(control);
    core.counters.count_result(ResultCode::NodeStarting);
    Err(Box::new(Refusal::retry_after(
        ResultCode::NodeStarting,
        Duration::from_secs(1),
    )))
}

/// Finds the caller by the digest of its API key.
pub(crate) fn find_caller(
    config: &ClusterConfig,
    headers: &HeaderMap,
) -> Result<CallerIdentity, Box<Refusal>> {
    let unknown = || Box::new(Refusal::new(ResultCode::BadCredential));
    let token = headers::bearer(headers).ok_or_else(unknown)?;
    let caller = config
        .accounts
        .callers
        .get(&digest_text(token))
        .ok_or_else(unknown)?;
    let entry = config
        .accounts
        .accounts
        .get(&caller.account)
        .ok_or_else(unknown)?;
    Ok(CallerIdentity {
        account: caller.account.clone(),
        caller: caller.caller.clone(),
        entry: entry.clone(),
    })
}

/// Returns the entry VMs of a region, those of this node's own data centre first.
pub(crate) fn region_entries(
    core: &GatewayCore,
    config: &ClusterConfig,
    region: &str,
) -> Vec<EntryAddress> {
    let control = core.control();
    let now = Instant::now();
    let mut entries = Vec::new();
    if region == &*core.identity.region {
        entries.extend(control.entries(now));
    }
    for (name, centre) in control.remotes().data_centres() {
        if config
            .topology
            .region_of(name)
            .is_some_and(|own| &**own == region)
        {
            entries.extend(centre.entries.iter().cloned());
        }
    }
    entries
}

fn check_head(
    core: &Arc<GatewayCore>,
    config: &ClusterConfig,
    head: &RequestHead,
    caller_identity: &CallerIdentity,
) -> Result<(ServiceEntry, InFlightGuard), Box<Refusal>> {
    let Some(service) = config.services.get(&head.service) else {
        return Err(Box::new(Refusal::new(ResultCode::UnknownService)));
    };
    if is_bound(service, head) && caller_identity.entry.home != core.identity.region {
        let mut refusal = Refusal::new(ResultCode::BoundElsewhere);
        refusal.entries = region_entries(core, config, &caller_identity.entry.home);
        return Err(Box::new(refusal));
    }
    let declared: Option<u64> =
        headers::text(&head.headers, "content-length").and_then(|text| text.parse().ok());
    if declared.is_some_and(|length| length > service.body_limit) {
        return Err(Box::new(Refusal::new(ResultCode::BodyTooLarge)));
    }
    let Some(in_flight) = core.try_begin(
        &caller_identity.account,
        caller_identity.entry.in_progress_limit,
    ) else {
        return Err(Box::new(Refusal::retry_after(
            ResultCode::OverRate,
            Duration::from_secs(1),
        )));
    };
    Ok((service.clone(), in_flight))
}

/// Returns whether the request is bound to the account's home region.
///
/// A header may bind a request that the service leaves unbound, but it may not unbind one.
fn is_bound(service: &ServiceEntry, head: &RequestHead) -> bool {
    service.is_bound(head.method.as_str())
        || headers::text(&head.headers, headers::BINDING) == Some(BindingRule::Home.as_str())
}

/// Returns the kind of work; a header may turn interactive work into long work, but not the
/// reverse.
fn effective_work(service: &ServiceEntry, headers: &HeaderMap) -> WorkKind {
    match service.work {
        WorkKind::Long => WorkKind::Long,
        WorkKind::Interactive => headers::text(headers, headers::WORK)
            .and_then(WorkKind::parse)
            .unwrap_or(WorkKind::Interactive),
    }
}

/// Returns the time limit; a header may shorten the limit of the service, but not extend it.
fn effective_deadline(service: &ServiceEntry, headers: &HeaderMap) -> Duration {
    headers::text(headers, headers::DEADLINE)
        .and_then(|text| text.parse().ok())
        .map_or(service.deadline, |millis| {
            Duration::from_millis(millis).min(service.deadline)
        })
}
