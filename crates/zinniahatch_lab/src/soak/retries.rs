//! Checks the bound on retries against what reached the replicas.

use super::invariants::OutcomeLog;
use crate::retry_bound::RetryBound;
use crate::retry_bound::RetryRecord;
use crate::site::SiteCluster;

/// Checks that in no window replicas received more retries of callers' requests than allowed.
pub(crate) fn check_retries(site: &SiteCluster, slack: f64, log: &OutcomeLog) {
    let mut record = RetryRecord::default();
    let sent = log.sent_requests();
    for at in sent.values() {
        record.record_request(*at);
    }
    for (at, attempt) in site.arrivals() {
        if sent.contains_key(&attempt) {
            record.record_arrival(&attempt, at);
        }
    }
    if let Some(window) = record.exceeded_window(&RetryBound::with_slack(slack)) {
        log.record_violation(format!("more retries than allowed: {window:?}"));
    }
}
