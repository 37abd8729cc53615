//! Checks a recorded history against the invariants of the system.

use crate::history::ExecutionRecord;
use crate::history::HistoryData;
use crate::history::SendOutcome;
use crate::history::SendRecord;
use zinniahatch_base::prelude::*;

/// Longest time for which a draining backend server may still be sent new requests.
pub const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

string_enum! {
    /// Kind of an invariant violation.
    pub enum ViolationKind {
        /// An operation bound to its home region ran in another region.
        Misplaced = "misplaced",
        /// An operation that may run at most once ran more than once.
        Doubled = "doubled",
        /// A caller was told that its request had not run, although it ran.
        FalseNotRun = "false-not-run",
        /// A caller received the response to another request, or a truncated one that looked complete.
        WrongAnswer = "wrong-answer",
        /// A response was cut off.
        CutOff = "cut-off",
        /// A caller received no response from a node that was alive.
        Lost = "lost",
        /// A backend server was sent a request more than [`MAX_DRAIN_DELAY`] after it began to drain.
        LateWork = "late-work",
        /// A complete response has no matching execution.
        Invented = "invented"
    }
}

/// One violation of an invariant, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What was violated.
    pub kind: ViolationKind,
    /// The evidence.
    pub detail: Box<str>,
}

/// Exemptions of a run: requests to a node that was killed may get no response.
#[derive(Clone, Debug, Default)]
pub struct CheckExemptions {
    /// Intervals around the killing of a node; requests in flight then may get no response.
    pub killed: Vec<(Duration, Duration)>,
}

/// Returns all violations found in a history.
pub fn check(data: &HistoryData, exemptions: &CheckExemptions) -> Vec<Violation> {
    let mut violations = Vec::new();
    let executions = group_by_operation(&data.executions);
    let no_executions = Vec::new();
    for send in &data.sends {
        let ran = executions.get(&send.operation).unwrap_or(&no_executions);
        check_send(send, ran, exemptions, &mut violations);
    }
    check_operations(data, &executions, &mut violations);
    for execution in &data.executions {
        if execution
            .leaving_for
            .is_some_and(|time| time > MAX_DRAIN_DELAY)
        {
            let detail = format!(
                "{} ran {} {:?} after it began to leave",
                execution.replica, execution.request, execution.leaving_for
            );
            add(&mut violations, ViolationKind::LateWork, &detail);
        }
    }
    violations
}

/// Counts violations by kind.
pub fn count_violations(violations: &[Violation]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for one in violations {
        *counts.entry(one.kind.as_str()).or_default() += 1;
    }
    counts
}

fn check_send(
    send: &SendRecord,
    ran: &[&ExecutionRecord],
    exemptions: &CheckExemptions,
    violations: &mut Vec<Violation>,
) {
    let exempt = exemptions
        .killed
        .iter()
        .any(|(from, until)| send.scheduled <= *until && send.ended >= *from);
    match &send.end {
        SendOutcome::Whole { right: false } | SendOutcome::FalseEnd => add(
            violations,
            ViolationKind::WrongAnswer,
            &format!(
                "{} of operation {}: {:?}",
                send.request, send.operation, send.end
            ),
        ),
        SendOutcome::Whole { right: true } if ran.is_empty() => add(
            violations,
            ViolationKind::Invented,
            &format!("{} of operation {}", send.request, send.operation),
        ),
        SendOutcome::Told(Execution::NotRun) => {
            let own = ran
                .iter()
                .filter(|execution| same_request(&execution.request, &send.request));
            for execution in own {
                add(
                    violations,
                    ViolationKind::FalseNotRun,
                    &format!(
                        "{} was told code {} and ran on {} as {}",
                        send.request, send.code, execution.replica, execution.request
                    ),
                );
            }
        }
        SendOutcome::CutOff if !exempt => add(
            violations,
            ViolationKind::CutOff,
            &format!(
                "{} of operation {} code {}",
                send.request, send.operation, send.code
            ),
        ),
        SendOutcome::NoAnswer if !exempt => add(
            violations,
            ViolationKind::Lost,
            &format!(
                "operation {} meant at {:?}, ended at {:?}, sent to {}: {}",
                send.operation, send.scheduled, send.ended, send.entry, send.problem
            ),
        ),
        SendOutcome::Whole { right: true }
        | SendOutcome::Told(Execution::Ran | Execution::Unknown)
        | SendOutcome::CutOff
        | SendOutcome::NoAnswer => {}
    }
}

fn check_operations(
    data: &HistoryData,
    executions: &BTreeMap<u64, Vec<&ExecutionRecord>>,
    violations: &mut Vec<Violation>,
) {
    let mut seen = BTreeSet::new();
    for send in &data.sends {
        if !seen.insert(send.operation) {
            continue;
        }
        let Some(ran) = executions.get(&send.operation) else {
            continue;
        };
        if send.once && ran.len() > 1 {
            let locations: Vec<String> = ran
                .iter()
                .map(|execution| format!("{} as {}", execution.replica, execution.request))
                .collect();
            add(
                violations,
                ViolationKind::Doubled,
                &format!("operation {}: {}", send.operation, locations.join(", ")),
            );
        }
        for execution in ran {
            if send.bound && execution.region != send.home {
                add(
                    violations,
                    ViolationKind::Misplaced,
                    &format!(
                        "operation {} of {} ran in {}",
                        send.operation, send.home, execution.region
                    ),
                );
            }
        }
    }
}

fn group_by_operation(executions: &[ExecutionRecord]) -> BTreeMap<u64, Vec<&ExecutionRecord>> {
    let mut table: BTreeMap<u64, Vec<&ExecutionRecord>> = BTreeMap::new();
    for execution in executions {
        table
            .entry(execution.operation)
            .or_default()
            .push(execution);
    }
    table
}

/// Returns whether a request id seen by a backend server is the given one, or that of a retry (`-r`) or
/// hedge (`-h`) of it.
fn same_request(at_backend: &str, request: &str) -> bool {
    !request.is_empty()
        && at_backend
            .strip_prefix(request)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with("-r") || rest.starts_with("-h"))
}

fn add(violations: &mut Vec<Violation>, kind: ViolationKind, detail: &str) {
    violations.push(Violation {
        kind,
        detail: detail.into(),
    });
}
