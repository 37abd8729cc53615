//! Checks of what silences of replicas must not cost: requests that get no answer, and streams that run at
//! two replicas at once.

use super::injector::FaultInjector;
use super::invariants::LostCall;
use super::invariants::OutcomeLog;
use super::plan::SoakFault;
use super::plan::SoakPlan;
use crate::site::GRACE_SECONDS;
use crate::site::SiteCluster;
use crate::test_doubles::replica::StreamRun;
use zinniahatch_base::prelude::*;

/// Time after which a request that no replica has received counts as read by its entry VM.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after a stop signal until which a request may be sent that the end of the grace period cuts off.
const STOP_SLACK: Duration = Duration::from_secs(3);
/// Part of the grace period after which it may cut off requests.
const GRACE_PART: f64 = 5.0 / 6.0;
/// Maximum time for which a stream runs at two replicas at once.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// A time with its beginning and its end.
type TimeSpan = (Instant, Instant);

/// Checks that no request ended without an answer before its caller's time was over.
pub(crate) fn check_lost(
    site: &SiteCluster,
    plan: &SoakPlan,
    injector: &FaultInjector,
    log: &OutcomeLog,
) {
    let runs = site.all_runs();
    for call in log.lost_calls() {
        let after = call.lost_at - call.sent_at;
        let entry = site
            .entries
            .iter()
            .position(|entry| entry.addresses[0] == call.front);
        let entry = entry.expect("callers send to entry VMs");
        // A process that is paused reads nothing.
        let paused = pauses(plan, injector.started, entry).collect();
        let unread_for = longest_outside((call.sent_at, call.lost_at), paused);
        let crossed = !runs.contains_key(&call.attempt) && unread_for <= LOSS_SLACK;
        // An answer that says that the outcome is unknown is one where nothing may be repeated.
        let told = call.status.is_some() && call.kind.runs_once();
        if crossed || told || is_cut_by_stop(injector, entry, &call) {
            continue;
        }
        log.record_violation(format!(
            "{} ({}) ended without an answer after {after:?}: {call:?}",
            call.attempt,
            call.kind.name()
        ));
    }
}

/// Returns whether the grace period of the entry VM's planned stop cut the request off.
fn is_cut_by_stop(injector: &FaultInjector, entry: usize, call: &LostCall) -> bool {
    let cut_after = Duration::from_secs(GRACE_SECONDS).mul_f64(GRACE_PART);
    injector.stops.iter().any(|(stopped, at)| {
        *stopped == entry && call.sent_at <= *at + STOP_SLACK && call.lost_at >= *at + cut_after
    })
}

/// Checks that no stream ran at two replicas at once for long.
///
/// Times at which one of the replicas could not read a close, or an entry VM that sent the stream to a
/// replica could not close its connection, do not count.
pub(crate) fn check_overlaps(
    site: &SiteCluster,
    plan: &SoakPlan,
    started: Instant,
    log: &OutcomeLog,
) {
    let replicas = site.stream_runs();
    let mut by_attempt: BTreeMap<&str, Vec<(usize, &StreamRun)>> = BTreeMap::new();
    for (replica, record) in replicas.iter().enumerate() {
        for run in &record.runs {
            let runs = by_attempt.entry(&run.attempt).or_default();
            runs.push((replica, run));
        }
    }
    let senders = site.sending_nodes();
    for (attempt, mut runs) in by_attempt {
        runs.sort_by_key(|(_, run)| run.began);
        for (number, (replica, first)) in runs.iter().enumerate() {
            for (other, second) in &runs[number + 1..] {
                let Some(first_end) = first.ended.filter(|_| other != replica) else {
                    continue;
                };
                let end = second.ended.map_or(first_end, |end| end.min(first_end));
                let mut exempt = replicas[*replica].holds.clone();
                exempt.extend(&replicas[*other].holds);
                for ((sent, _), node) in &senders {
                    if **sent == *attempt {
                        exempt.extend(pauses(plan, started, *node));
                    }
                }
                let overlap = longest_outside((second.began, end), exempt);
                if overlap > MAX_OVERLAP {
                    log.record_violation(format!(
                        "{attempt} ran at two replicas for {overlap:?}: {first:?}, {second:?}"
                    ));
                }
            }
        }
    }
}

/// Returns the pauses of an entry VM.
fn pauses(plan: &SoakPlan, started: Instant, entry: usize) -> impl Iterator<Item = TimeSpan> {
    let faults = plan.faults.iter();
    let of_entry = faults.filter(move |planned| planned.fault == SoakFault::FreezeEntry(entry));
    of_entry.map(move |planned| (started + planned.at, started + planned.until))
}

/// Returns the longest uninterrupted time of a span outside others.
fn longest_outside(span: TimeSpan, mut others: Vec<TimeSpan>) -> Duration {
    others.sort_unstable();
    let (mut from, end) = span;
    let mut longest = Duration::ZERO;
    for (begin, until) in others {
        longest = longest.max(begin.min(end).saturating_duration_since(from));
        from = from.max(until);
    }
    longest.max(end.saturating_duration_since(from))
}
