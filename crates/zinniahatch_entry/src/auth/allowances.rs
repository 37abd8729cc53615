//! Quotas of client accounts, charged when a request is admitted.

use crate::core::EntryCore;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use std::rc::Rc;
use zinniahatch_base::account_tag;
use zinniahatch_base::prelude::*;
use zinniahatch_route::Allowance;
use zinniahatch_route::AllowanceUnit;
use zinniahatch_route::DesiredState;
use zinniahatch_route::QuotaLimit;

/// Fraction of the permitted overrun and slack that is granted to the account, so that callers that
/// track their own usage are not refused within their allowance. The rest covers requests that
/// nodes admit before they learn of each other's usage.
const GRANTED_FRACTION: f64 = 0.1;

/// Quota units charged for a request; refunded on drop unless the request may have run.
pub(crate) struct ChargedUnits {
    core: Rc<EntryCore>,
    account: AccountTag,
    units: u64,
    /// Whether a replica may run the request.
    pub(crate) used: bool,
}

impl Drop for ChargedUnits {
    fn drop(&mut self) {
        if self.used {
            return;
        }
        let mut quotas = self.core.quotas.borrow_mut();
        quotas.refund(self.account, self.units, Instant::now());
        drop(quotas);
        self.core.work_changed.notify_one();
    }
}

/// Charges the quota for a caller's request; returns `None` if its account has no limit.
///
/// # Errors
///
/// Returns the time until the account has enough quota again.
pub(crate) fn charge_units(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) -> Result<Option<ChargedUnits>, Duration> {
    // A forwarded request was charged by the node that received it from the caller.
    let identity = plan.identity.as_ref().filter(|_| request.is_direct());
    let Some((account, allowance)) = identity
        .map(|identity| &identity.account)
        .and_then(|account| Some((account, account.allowance?)))
    else {
        return Ok(None);
    };
    let (tag, units) = (account_tag(&account.name), allowance.charge(&request.size));
    let now = Instant::now();
    let taken = core.quotas.borrow_mut().try_take(tag, units, now);
    if let Err(after) = taken {
        let left = core.quotas.borrow_mut().remaining(tag, now);
        core.metrics.note_over_allowance();
        core.log.write(
            "over-allowance",
            serde_json::json!({"request": request.attempt, "account": account.name, "units": units,
                "left": left.map(|left| left as i64), "rate": allowance.rate, "burst": allowance.burst,
                "retry_ms": after.as_millis() as u64})
        );
        return Err(after);
    }
    core.work_changed.notify_one();
    Ok(Some(ChargedUnits {
        core: Rc::clone(core),
        account: tag,
        units,
        used: false,
    }))
}

/// Returns the quota limits of a desired state that this node enforces.
pub(crate) fn quota_limits(
    core: &EntryCore,
    state: &DesiredState,
) -> BTreeMap<AccountTag, QuotaLimit> {
    let limits = state.accounts.iter().filter_map(|account| {
        let limit = quota_limit(core, &account.allowance?);
        Some((account_tag(&account.name), limit))
    });
    limits.collect()
}

fn quota_limit(core: &EntryCore, allowance: &Allowance) -> QuotaLimit {
    let bounds = &core.settings.bounds;
    let factor = 1.0 + GRANTED_FRACTION * bounds.quota_overrun;
    let slack = match allowance.unit {
        AllowanceUnit::Tokens => bounds.quota_slack,
        // The configured slack is given in tokens.
        AllowanceUnit::Requests => 0.0,
    };
    QuotaLimit {
        rate: allowance.rate * factor,
        burst: allowance.burst * factor + GRANTED_FRACTION * slack,
    }
}
