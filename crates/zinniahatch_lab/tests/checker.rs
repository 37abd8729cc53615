//! Tests of the history checker: a violation of each rule is detected.

use std::time::Duration;
use test_case::test_case;
use zinniahatch_base::Execution;
use zinniahatch_lab::checker::BrokenRule;
use zinniahatch_lab::checker::CheckExcuse;
use zinniahatch_lab::checker::check;
use zinniahatch_lab::history::ExecutionRecord;
use zinniahatch_lab::history::HistoryData;
use zinniahatch_lab::history::SeenEnd;
use zinniahatch_lab::history::SendRecord;

fn send(end: SeenEnd) -> SendRecord {
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
        meant: Duration::from_secs(10),
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

fn rules(send: SendRecord, executions: Vec<ExecutionRecord>) -> Vec<BrokenRule> {
    let data = HistoryData {
        sends: vec![send],
        executions,
    };
    check(&data, &CheckExcuse::default())
        .into_iter()
        .map(|one| one.rule)
        .collect()
}

#[test]
fn valid_history_has_no_violations() {
    assert_eq!(
        rules(
            send(SeenEnd::Whole { right: true }),
            vec![execution("n-1-1", "home", None)]
        ),
        vec![]
    );
    assert_eq!(
        rules(send(SeenEnd::Told(Execution::NotRun)), vec![]),
        vec![]
    );
    assert_eq!(
        rules(
            send(SeenEnd::Told(Execution::Unknown)),
            vec![execution("n-1-1", "home", Some(1))]
        ),
        vec![]
    );
}

#[test_case(SeenEnd::Whole { right: true }, &[("n-1-1", "far", None)], BrokenRule::Misplaced; "ran in another region")]
#[test_case(SeenEnd::Whole { right: true }, &[("n-1-1", "home", None), ("n-1-1-r1", "home", None)], BrokenRule::Doubled; "ran twice")]
#[test_case(SeenEnd::Told(Execution::NotRun), &[("n-1-1-r2", "home", None)], BrokenRule::FalseNotRun; "ran after all")]
#[test_case(SeenEnd::Whole { right: false }, &[("n-1-1", "home", None)], BrokenRule::WrongAnswer; "the answer of another")]
#[test_case(SeenEnd::FalseEnd, &[("n-1-1", "home", None)], BrokenRule::WrongAnswer; "a part as the whole")]
#[test_case(SeenEnd::CutOff, &[("n-1-1", "home", None)], BrokenRule::CutOff; "cut off")]
#[test_case(SeenEnd::NoAnswer, &[], BrokenRule::Lost; "lost")]
#[test_case(SeenEnd::Whole { right: true }, &[("n-1-1", "home", Some(4))], BrokenRule::LateWork; "work for one that leaves")]
#[test_case(SeenEnd::Whole { right: true }, &[], BrokenRule::Invented; "answered without running")]
fn violation_of_rule_is_detected(
    end: SeenEnd,
    runs: &[(&str, &str, Option<u64>)],
    expected: BrokenRule,
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
        sends: vec![send(SeenEnd::NoAnswer)],
        executions: vec![],
    };
    let at = |seconds| CheckExcuse {
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
        ..send(SeenEnd::Told(Execution::NotRun))
    };
    assert_eq!(send.is_counted(), counted);
}
