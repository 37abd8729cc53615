//! Tests of the history checker: a violation of each rule is detected.

use std::time::Duration;
use test_case::test_case;
use zinniahatch_base::Execution;
use zinniahatch_lab::checker::CheckExemptions;
use zinniahatch_lab::checker::ViolationKind;
use zinniahatch_lab::checker::check;
use zinniahatch_lab::history::ExecutionRecord;
use zinniahatch_lab::history::HistoryData;
use zinniahatch_lab::history::SendOutcome;
use zinniahatch_lab::history::SendRecord;

fn send(end: SendOutcome) -> SendRecord {
    SendRecord {
        operation: 1,
        account: "a".into(),
        home: "home".into(),
        service: "s".into(),
        bound: true,
        once: true,
        sent_to: "home".into(),
        entry: "127.0.0.1:1".into(),
        collects: false,
        scheduled: Duration::from_secs(10),
        ended: Duration::from_secs(11),
        first_byte: None,
        request: "n-1-1".into(),
        code: 100,
        served: "home".into(),
        end,
        problem: Box::default(),
        cost: 0.0,
        tokens: 0,
    }
}

fn execution(request: &str, region: &str, leaving: Option<u64>) -> ExecutionRecord {
    ExecutionRecord {
        operation: 1,
        request: request.into(),
        replica: "r".into(),
        region: region.into(),
        began: Duration::from_secs(10),
        leaving_for: leaving.map(Duration::from_secs),
    }
}

fn rules(send: SendRecord, executions: Vec<ExecutionRecord>) -> Vec<ViolationKind> {
    let data = HistoryData {
        sends: vec![send],
        executions,
    };
    check(&data, &CheckExemptions::default())
        .into_iter()
        .map(|one| one.kind)
        .collect()
}

#[test]
fn valid_history_has_no_violations() {
    assert_eq!(
        rules(
            send(SendOutcome::Whole { right: true }),
            vec![execution("n-1-1", "home", None)]
        ),
        vec![]
    );
    assert_eq!(
        rules(send(SendOutcome::Told(Execution::NotRun)), vec![]),
        vec![]
    );
    assert_eq!(
        rules(
            send(SendOutcome::Told(Execution::Unknown)),
            vec![execution("n-1-1", "home", Some(1))]
        ),
        vec![]
    );
}

#[test_case(SendOutcome::Whole { right: true }, &[("n-1-1", "far", None)], ViolationKind::Misplaced; "ran in another region")]
#[test_case(SendOutcome::Whole { right: true }, &[("n-1-1", "home", None), ("n-1-1-r1", "home", None)], ViolationKind::Doubled; "ran twice")]
#[test_case(SendOutcome::Told(Execution::NotRun), &[("n-1-1-r2", "home", None)], ViolationKind::FalseNotRun; "ran after all")]
#[test_case(SendOutcome::Whole { right: false }, &[("n-1-1", "home", None)], ViolationKind::WrongAnswer; "the answer of another")]
#[test_case(SendOutcome::FalseEnd, &[("n-1-1", "home", None)], ViolationKind::WrongAnswer; "a part as the whole")]
#[test_case(SendOutcome::CutOff, &[("n-1-1", "home", None)], ViolationKind::CutOff; "cut off")]
#[test_case(SendOutcome::NoAnswer, &[], ViolationKind::Lost; "lost")]
#[test_case(SendOutcome::Whole { right: true }, &[("n-1-1", "home", Some(4))], ViolationKind::LateWork; "work for one that leaves")]
#[test_case(SendOutcome::Whole { right: true }, &[], ViolationKind::Invented; "answered without running")]
fn violation_of_rule_is_detected(
    end: SendOutcome,
    runs: &[(&str, &str, Option<u64>)],
    expected: ViolationKind,
) {
    let executions = runs
        .iter()
        .map(|(request, region, leaving)| execution(request, region, *leaving))
        .collect();
    assert_eq!(rules(send(end), executions), vec![expected]);
}

#[test]
fn killed_node_excuses_only_its_time() {
    let data = HistoryData {
        sends: vec![send(SendOutcome::NoAnswer)],
        executions: vec![],
    };
    let at = |seconds| CheckExemptions {
        killed: vec![(Duration::from_secs(seconds), Duration::from_secs(seconds))],
    };
    assert!(check(&data, &at(10)).is_empty());
    assert_eq!(check(&data, &at(20)).len(), 1);
}

/// Guards against counting the fetch of a kept response as a request, and against not counting a
/// repeated request.
#[test_case(211, false, true; "refused")]
#[test_case(101, false, true; "answered_earlier")]
#[test_case(211, true, false; "refusal_collected")]
#[test_case(101, true, false; "answer_collected")]
fn send_is_counted(code: u16, collects: bool, counted: bool) {
    let send = SendRecord {
        code,
        collects,
        ..send(SendOutcome::Told(Execution::NotRun))
    };
    assert_eq!(send.is_counted(), counted);
}
