//! Allowances of client accounts on the way of a request.

use crate::core::EntryCore;
use crate::request::plan::CallPlan;
use crate::request::received::ReceivedCall;
use std::rc::Rc;
use zinniahatch_base::account_tag;
use zinniahatch_base::prelude::*;
use zinniahatch_route::Allowance;
use zinniahatch_route::AllowanceUnit;
use zinniahatch_route::DesiredState;
use zinniahatch_route::QuotaLimit;

/// Part of the overrun and of the slack that the operators allow which is given to the account, so that callers who
/// count for themselves are not refused what is allowed. The rest is for what nodes let pass before they have heard
/// of each other.
const LENIENT_PART: f64 = 0.1;

/// Units of an account that a request has taken; they go back when it is dropped without having run.
pub(crate) struct TakenUnits {
    core: Rc<EntryCore>,
    account: AccountTag,
    units: u64,
    /// Whether a replica may run the request.
    pub(crate) used: bool,
}

impl Drop for TakenUnits {
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

/// Takes the units of a caller's request; none where its account has no limit.
///
/// # Errors
///
/// Gives the time after which the account has room again.
pub(crate) fn take_units(
    core: &Rc<EntryCore>,
    call: &ReceivedCall,
    plan: &CallPlan,
) -> Result<Option<TakenUnits>, Duration> {
    // One that was forwarded was counted where it came in.
    let identity = plan.identity.as_ref().filter(|_| call.is_direct());
    let Some((account, allowance)) = identity
        .map(|identity| &identity.account)
        .and_then(|account| Some((account, account.allowance?)))
    else {
        return Ok(None);
    };
    let (tag, units) = (account_tag(&account.name), allowance.charge(&call.size));
    let now = Instant::now();
    let taken = core.quotas.borrow_mut().try_take(tag, units, now);
    if let Err(after) = taken {
        let left = core.quotas.borrow_mut().remaining(tag, now);
        core.metrics.note_over_allowance();
        core.log.write(
            "over-allowance",
            serde_json::json!({"request": call.attempt, "account": account.name, "units": units,
                "left": left.map(|left| left as i64), "rate": allowance.rate, "burst": allowance.burst,
                "retry_ms": after.as_millis() as u64}),
        );
        return Err(after);
    }
    core.work_changed.notify_one();
    Ok(Some(TakenUnits {
        core: Rc::clone(core),
        account: tag,
        units,
        used: false,
    }))
}

/// Gives the limits of a desired state as nodes keep them.
pub(crate) fn limits_of(
    core: &EntryCore,
    state: &DesiredState,
) -> BTreeMap<AccountTag, QuotaLimit> {
    let limits = state.accounts.iter().filter_map(|account| {
        let limit = limit_of(core, &account.allowance?);
        Some((account_tag(&account.name), limit))
    });
    limits.collect()
}

fn limit_of(core: &EntryCore, allowance: &Allowance) -> QuotaLimit {
    let bounds = &core.settings.bounds;
    let more = 1.0 + LENIENT_PART * bounds.quota_overrun;
    let slack = match allowance.unit {
        AllowanceUnit::Tokens => bounds.quota_slack,
        // The slack of the settings is told in tokens.
        AllowanceUnit::Requests => 0.0,
    };
    QuotaLimit {
        rate: allowance.rate * more,
        burst: allowance.burst * more + LENIENT_PART * slack,
    }
}
