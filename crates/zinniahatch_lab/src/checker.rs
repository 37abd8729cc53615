//! Judges a history by the rules that must always hold.

use crate::history::ExecutionRecord;
use crate::history::HistoryData;
use crate::history::SeenEnd;
use crate::history::SendRecord;
use zinniahatch_base::prelude::*;

/// Time after which a backend server that leaves gets no new work.
pub const LEAVING_BOUND: Duration = Duration::from_secs(3);

string_enum! {
    /// A rule that was broken.
    pub enum BrokenRule {
        /// A bound operation ran outside its region.
        Misplaced = "misplaced",
        /// An operation that may run once ran more than once.
        Doubled = "doubled",
        /// A caller was told "not run" of a request that ran.
        FalseNotRun = "false-not-run",
        /// A caller got another answer than its own, or a part of it as the whole.
        WrongAnswer = "wrong-answer",
        /// An answer broke off.
        CutOff = "cut-off",
        /// A caller got no answer at all from a node that lived.
        Lost = "lost",
        /// A backend server got new work too long after it began to leave.
        LateWork = "late-work",
        /// A whole answer has no execution.
        Invented = "invented",
    }
}

/// One broken rule, with what shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleBreak {
    /// The rule.
    pub rule: BrokenRule,
    /// What shows it.
    pub detail: Box<str>,
}

/// What a run excuses: sends to nodes that were killed may get no answer.
#[derive(Clone, Debug, Default)]
pub struct CheckExcuse {
    /// Spans of time in which a node was killed; a send in progress then may get no answer.
    pub killed: Vec<(Duration, Duration)>,
}

/// Judges a history.
pub fn check(data: &HistoryData, excuse: &CheckExcuse) -> Vec<RuleBreak> {
    let mut breaks = Vec::new();
    let executions = by_operation(&data.executions);
    let nothing = Vec::new();
    for send in &data.sends {
        let ran = executions.get(&send.operation).unwrap_or(&nothing);
        check_send(send, ran, excuse, &mut breaks);
    }
    check_operations(data, &executions, &mut breaks);
    for execution in &data.executions {
        if execution
            .leaving_for
            .is_some_and(|time| time > LEAVING_BOUND)
        {
            let detail = format!(
                "{} ran {} {:?} after it began to leave",
                execution.replica, execution.request, execution.leaving_for
            );
            add(&mut breaks, BrokenRule::LateWork, &detail);
        }
    }
    breaks
}

/// Counts breaks by rule.
pub fn count_breaks(breaks: &[RuleBreak]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for one in breaks {
        *counts.entry(one.rule.as_str()).or_default() += 1;
    }
    counts
}

fn check_send(
    send: &SendRecord,
    ran: &[&ExecutionRecord],
    excuse: &CheckExcuse,
    breaks: &mut Vec<RuleBreak>,
) {
    let excused = excuse
        .killed
        .iter()
        .any(|(from, until)| send.meant <= *until && send.ended >= *from);
    match &send.end {
        SeenEnd::Whole { right: false } | SeenEnd::FalseEnd => add(
            breaks,
            BrokenRule::WrongAnswer,
            &format!(
                "{} of operation {}: {:?}",
                send.request, send.operation, send.end
            ),
        ),
        SeenEnd::Whole { right: true } if ran.is_empty() => add(
            breaks,
            BrokenRule::Invented,
            &format!("{} of operation {}", send.request, send.operation),
        ),
        SeenEnd::Told(Execution::NotRun) => {
            let own = ran
                .iter()
                .filter(|execution| same_request(&execution.request, &send.request));
            for execution in own {
                add(
                    breaks,
                    BrokenRule::FalseNotRun,
                    &format!(
                        "{} was told code {} and ran on {} as {}",
                        send.request, send.code, execution.replica, execution.request
                    ),
                );
            }
        }
        SeenEnd::CutOff if !excused => add(
            breaks,
            BrokenRule::CutOff,
            &format!(
                "{} of operation {} code {}",
                send.request, send.operation, send.code
            ),
        ),
        SeenEnd::NoAnswer if !excused => add(
            breaks,
            BrokenRule::Lost,
            &format!(
                "operation {} meant at {:?}, ended at {:?}, sent to {}: {}",
                send.operation, send.meant, send.ended, send.entry, send.problem
            ),
        ),
        SeenEnd::Whole { right: true }
        | SeenEnd::Told(Execution::Ran | Execution::Unknown)
        | SeenEnd::CutOff
        | SeenEnd::NoAnswer => {}
    }
}

fn check_operations(
    data: &HistoryData,
    executions: &BTreeMap<u64, Vec<&ExecutionRecord>>,
    breaks: &mut Vec<RuleBreak>,
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
            let where_run: Vec<String> = ran
                .iter()
                .map(|execution| format!("{} as {}", execution.replica, execution.request))
                .collect();
            add(
                breaks,
                BrokenRule::Doubled,
                &format!("operation {}: {}", send.operation, where_run.join(", ")),
            );
        }
        for execution in ran {
            if send.bound && execution.region != send.home {
                add(
                    breaks,
                    BrokenRule::Misplaced,
                    &format!(
                        "operation {} of {} ran in {}",
                        send.operation, send.home, execution.region
                    ),
                );
            }
        }
    }
}

fn by_operation(executions: &[ExecutionRecord]) -> BTreeMap<u64, Vec<&ExecutionRecord>> {
    let mut table: BTreeMap<u64, Vec<&ExecutionRecord>> = BTreeMap::new();
    for execution in executions {
        table
            .entry(execution.operation)
            .or_default()
            .push(execution);
    }
    table
}

/// Says whether an id at a backend server belongs to a request: the id itself, a retry or a hedge.
fn same_request(at_backend: &str, request: &str) -> bool {
    !request.is_empty()
        && at_backend
            .strip_prefix(request)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with("-r") || rest.starts_with("-h"))
}

fn add(breaks: &mut Vec<RuleBreak>, rule: BrokenRule, detail: &str) {
    breaks.push(RuleBreak {
        rule,
        detail: detail.into(),
    });
}
