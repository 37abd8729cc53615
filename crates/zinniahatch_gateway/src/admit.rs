//! First stage: from headers alone, who calls which service, and whether it may be served here.

use crate::GatewayCore;
use crate::core::ActiveGuard;
use crate::counting::CountGuard;
use crate::headers;
use crate::refusal::CallRefusal;
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

/// What is read of a request before its body.
pub(crate) struct CallHead {
    pub(crate) method: Method,
    pub(crate) service: ServiceId,
    pub(crate) path: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) arrived: Instant,
}

/// Who calls.
#[derive(Clone, Debug)]
pub(crate) struct KnownCaller {
    pub(crate) account: AccountId,
    pub(crate) caller: CallerId,
    pub(crate) entry: AccountEntry,
}

/// A request that may be served here; only [`admit`] and the checks of forwarded requests make one.
pub(crate) struct AdmittedCall {
    pub(crate) id: RequestId,
    pub(crate) config: Arc<ClusterConfig>,
    pub(crate) head: CallHead,
    pub(crate) service: ServiceEntry,
    pub(crate) who: KnownCaller,
    pub(crate) work: WorkKind,
    pub(crate) once: bool,
    pub(crate) scope: PlacementScope,
    pub(crate) guest: bool,
    pub(crate) deadline: Instant,
    pub(crate) count: CountGuard,
    pub(crate) active: ActiveGuard,
}

/// Judges a caller's request by its headers.
///
/// A bound request that came to another region is refused before a byte of its body is read.
pub(crate) fn admit(
    core: &Arc<GatewayCore>,
    head: CallHead,
) -> Result<AdmittedCall, Box<CallRefusal>> {
    let config = serving_config(core)?;
    let who = find_caller(&config, &head.headers)
        .inspect_err(|refusal| core.counters.count_result(refusal.code))?;
    let id = core.request_id();
    let mut count = CountGuard::new(core, &config, &who, &head.service, head.arrived);
    match judge(core, &config, &head, &who) {
        Ok((service, active)) => {
            let once = service.is_once(head.method.as_str())
                || headers::text(&head.headers, headers::REPEAT) == Some("once");
            let scope = if is_bound(&service, &head) {
                PlacementScope::Region
            } else {
                PlacementScope::Anywhere
            };
            let work = narrowed_work(&service, &head.headers);
            let deadline = head.arrived + narrowed_deadline(&service, &head.headers);
            Ok(AdmittedCall {
                id,
                config,
                head,
                service,
                who,
                work,
                once,
                scope,
                guest: false,
                deadline,
                count,
                active,
            })
        }
        Err(refusal) => {
            count.settle(refusal.code);
            Err(refusal)
        }
    }
}

/// Gives the configuration if this node serves.
pub(crate) fn serving_config(core: &GatewayCore) -> Result<Arc<ClusterConfig>, Box<CallRefusal>> {
    let control = core.control();
    if control.is_ready() {
        return Ok(control.config());
    }
    drop(control);
    core.counters.count_result(ResultCode::NodeStarting);
    Err(Box::new(CallRefusal::retry_after(
        ResultCode::NodeStarting,
        Duration::from_secs(1),
    )))
}

/// Finds the caller by the digest of the API key.
pub(crate) fn find_caller(
    config: &ClusterConfig,
    headers: &HeaderMap,
) -> Result<KnownCaller, Box<CallRefusal>> {
    let unknown = || Box::new(CallRefusal::new(ResultCode::BadCredential));
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
    Ok(KnownCaller {
        account: caller.account.clone(),
        caller: caller.caller.clone(),
        entry: entry.clone(),
    })
}

/// Gives the entry VMs of a region, nearest knowledge first.
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

fn judge(
    core: &Arc<GatewayCore>,
    config: &ClusterConfig,
    head: &CallHead,
    who: &KnownCaller,
) -> Result<(ServiceEntry, ActiveGuard), Box<CallRefusal>> {
    let Some(service) = config.services.get(&head.service) else {
        return Err(Box::new(CallRefusal::new(ResultCode::UnknownService)));
    };
    if is_bound(service, head) && who.entry.home != core.identity.region {
        let mut refusal = CallRefusal::new(ResultCode::BoundElsewhere);
        refusal.entries = region_entries(core, config, &who.entry.home);
        return Err(Box::new(refusal));
    }
    let declared: Option<u64> =
        headers::text(&head.headers, "content-length").and_then(|text| text.parse().ok());
    if declared.is_some_and(|length| length > service.body_limit) {
        return Err(Box::new(CallRefusal::new(ResultCode::BodyTooLarge)));
    }
    let Some(active) = core.enter(&who.account, who.entry.in_progress_limit) else {
        return Err(Box::new(CallRefusal::retry_after(
            ResultCode::OverRate,
            Duration::from_secs(1),
        )));
    };
    Ok((service.clone(), active))
}

/// A header may bind a request that the service leaves free, and not the other way round.
fn is_bound(service: &ServiceEntry, head: &CallHead) -> bool {
    service.is_bound(head.method.as_str())
        || headers::text(&head.headers, headers::BINDING) == Some(BindingRule::Home.as_str())
}

/// A header may make interactive work long, and not the other way round.
fn narrowed_work(service: &ServiceEntry, headers: &HeaderMap) -> WorkKind {
    match service.work {
        WorkKind::Long => WorkKind::Long,
        WorkKind::Interactive => headers::text(headers, headers::WORK)
            .and_then(WorkKind::parse)
            .unwrap_or(WorkKind::Interactive),
    }
}

/// A header may bring the deadline nearer, and not farther.
fn narrowed_deadline(service: &ServiceEntry, headers: &HeaderMap) -> Duration {
    headers::text(headers, headers::DEADLINE)
        .and_then(|text| text.parse().ok())
        .map_or(service.deadline, |millis| {
            Duration::from_millis(millis).min(service.deadline)
        })
}
