//! Counts survive lost answers, overtaking and deaths, and name what they do not know.

use std::time::Duration;
use std::time::Instant;
use zinniahatch_base::ResultCode;
use zinniahatch_report::CountBook;
use zinniahatch_report::CountKey;
use zinniahatch_report::CountRow;
use zinniahatch_report::CountSheet;
use zinniahatch_report::DelayHistogram;
use zinniahatch_report::DeskSheet;
use zinniahatch_report::HourLedger;
use zinniahatch_report::MergeDesk;
use zinniahatch_report::ReportField;
use zinniahatch_report::ReportQuery;
use zinniahatch_report::SheetStates;
use zinniahatch_report::render_csv;
use zinniahatch_report::render_html;
use zinniahatch_report::render_table;
use zinniahatch_report::run_query;

fn key(account: &str, served: &str, code: ResultCode) -> CountKey {
    CountKey {
        hour: 1,
        account: account.into(),
        caller: "c".into(),
        home: "r".into(),
        served: served.into(),
        service: "s".into(),
        preset: "p".into(),
        code: code.number(),
    }
}

fn sheet(account: &str, requests: u64) -> CountSheet {
    let mut sheet = CountSheet::default();
    sheet.add(
        key(account, "r", ResultCode::Answered),
        &CountRow {
            requests,
            ..CountRow::default()
        },
    );
    sheet
}

fn desk_sheet(number: u64, requests: u64) -> DeskSheet {
    DeskSheet {
        node: "n".into(),
        incarnation: 1,
        number,
        minute: 60,
        last: false,
        sheet: sheet("a", requests),
    }
}

/// A manager reads twice the requests of an hour. The store's answer to a merge was lost after it
/// took effect, and the merge was done again. The marks that are written with the counts show it.
#[test]
fn ledger_merge_twice_counts_once() {
    let mut desk = MergeDesk::default();
    desk.take(0, desk_sheet(1, 5));
    let task = desk.tasks().remove(0);
    let mut ledger = HourLedger::default();
    assert!(task.apply(&mut ledger));
    assert!(
        !task.apply(&mut ledger),
        "the second time nothing is to be written"
    );
    assert_eq!(ledger.sheet.requests(), 5);
}

/// The time of day of a node jumped back by 40 minutes and forward again while it counted. A report lacked the
/// sheets that were sealed meanwhile, or named a gap for a node that lives, if minutes told their order.
#[test]
fn seal_clock_steps_back() {
    let now = Instant::now();
    let mut book = CountBook::with_shards(1);
    let mut desk = MergeDesk::default();
    let mut ledger = HourLedger::default();
    for minute in [60, 20, 21, 61] {
        let row = CountRow {
            requests: 1,
            ..CountRow::default()
        };
        book.add(key("a", "r", ResultCode::Answered), &row);
        book.seal(minute);
        for (_, _, sealed) in book.due(now, Duration::from_secs(60), |_| Some("m".into())) {
            desk.take(
                0,
                DeskSheet {
                    number: sealed.number,
                    minute: sealed.minute,
                    sheet: sealed.sheet,
                    ..desk_sheet(0, 0)
                },
            );
        }
        for task in desk.tasks() {
            task.apply(&mut ledger);
            desk.done(&task);
        }
    }
    assert_eq!(ledger.sheet.requests(), 4);
    assert!(ledger.gaps.is_empty());
}

/// Requests are missing from a report although no node died. A sheet was lost on its way and the
/// next one overtook it; counting it as merged "up to the next" would drop it for good.
#[test]
fn ledger_merge_overtaken_sheet_is_kept() {
    let mut ledger = HourLedger::default();
    assert!(ledger.merge("n", 1, 2, 60, &sheet("a", 3)));
    assert!(ledger.merge("n", 1, 1, 60, &sheet("a", 4)));
    assert!(!ledger.merge("n", 1, 2, 60, &sheet("a", 3)));
    assert_eq!(ledger.sheet.requests(), 7);
}

#[test]
fn book_due_sends_again_to_a_new_merger() {
    let now = Instant::now();
    let mut book = CountBook::default();
    book.add(
        key("a", "r", ResultCode::Answered),
        &CountRow {
            requests: 1,
            ..CountRow::default()
        },
    );
    book.seal(60);
    let again = Duration::from_secs(60);
    assert_eq!(book.due(now, again, |_| Some("m1".into())).len(), 1);
    assert_eq!(
        book.due(now, again, |_| Some("m1".into())).len(),
        0,
        "the merger holds it"
    );
    let due = book.due(now, again, |_| Some("m2".into()));
    assert_eq!(due.len(), 1, "a new merger gets it");
    book.merged(due[0].0, &[due[0].2.number], now);
    assert!(book.is_settled());
}

/// Guards against sheets that are stuck and that no gauge shows.
#[test]
fn book_states_follow_a_sheet() {
    let now = Instant::now();
    let mut book = CountBook::with_shards(1);
    let row = CountRow {
        requests: 1,
        ..CountRow::default()
    };
    book.add(key("a", "r", ResultCode::Answered), &row);
    assert_eq!(book.states(), SheetStates::default());
    book.seal(60);
    book.add(key("a", "r", ResultCode::Answered), &row);
    book.seal(61);
    assert_eq!((book.states().unsent, book.states().oldest), (2, Some(60)));
    let due = book.due(now, Duration::from_secs(60), |_| Some("m".into()));
    book.merged(0, &[due[0].2.number], now);
    let states = SheetStates {
        unsent: 0,
        sent: 1,
        merged: 1,
        oldest: Some(61),
    };
    assert_eq!(book.states(), states);
}

/// Counts were in the store, and the store came back from a copy that was older. They are handed over once more, and
/// those that are older than any copy are not kept for ever.
#[test]
fn book_reopens_what_the_store_may_have_lost() {
    let now = Instant::now();
    let mut book = CountBook::with_shards(1);
    let again = Duration::from_secs(90);
    for minute in 0..2 {
        let row = CountRow {
            requests: 1,
            ..CountRow::default()
        };
        book.add(key("a", "r", ResultCode::Answered), &row);
        book.seal(minute);
        let at = now + Duration::from_secs(90) * minute as u32;
        let due = book.due(at, again, |_| Some("m".into()));
        book.merged(0, &[due[0].2.number], at);
    }
    let later = now + Duration::from_secs(100);
    assert!(book.is_settled());
    assert!(book.due(later, again, |_| Some("m".into())).is_empty());
    assert_eq!(book.reopen(later), 1);
    assert!(!book.is_settled());
    assert_eq!(book.due(later, again, |_| Some("m".into())).len(), 1);
}

/// A report looks complete although a node died with counts that nobody has. The minutes since
/// its last copy are named; if it was alive after all, its counts take the note away.
#[test]
fn desk_death_names_the_gap() {
    let mut desk = MergeDesk::default();
    desk.take(0, desk_sheet(1, 5));
    desk.note_death(&"n".into(), 1, 63);
    let mut ledger = HourLedger::default();
    for task in desk.tasks() {
        task.apply(&mut ledger);
        desk.done(&task);
    }
    assert_eq!((ledger.gaps[0].from, ledger.gaps[0].until), (60, 63));
    assert!(desk.is_empty());
    ledger.merge("n", 1, 2, 64, &sheet("a", 1));
    assert!(ledger.gaps.is_empty());
}

/// A report names a gap for minutes that it knows all about. A node was frozen, judged failed, and
/// went on; its counts came, but the note of its death stood in another shard's value.
#[test]
fn desk_return_takes_the_gap_back() {
    let mut desk = MergeDesk::default();
    let mut ledger = HourLedger::default();
    let write = |desk: &mut MergeDesk, ledger: &mut HourLedger| {
        for task in desk.tasks() {
            task.apply(ledger);
            desk.done(&task);
        }
    };
    desk.note_death(&"n".into(), 1, 63);
    write(&mut desk, &mut ledger);
    assert_eq!(ledger.gaps.len(), 1);
    desk.note_alive(&"n".into(), 2);
    write(&mut desk, &mut ledger);
    assert_eq!(
        ledger.gaps.len(),
        1,
        "another incarnation is another process"
    );
    desk.note_alive(&"n".into(), 1);
    write(&mut desk, &mut ledger);
    assert!(ledger.gaps.is_empty());
    assert!(desk.is_empty());
}

#[test]
fn desk_death_after_last_counts_names_no_gap() {
    let mut desk = MergeDesk::default();
    desk.take(
        0,
        DeskSheet {
            last: true,
            ..desk_sheet(1, 5)
        },
    );
    desk.note_death(&"n".into(), 1, 63);
    let mut ledger = HourLedger::default();
    for task in desk.tasks() {
        task.apply(&mut ledger);
    }
    assert!(ledger.gaps.is_empty());
}

#[test]
fn query_sums_answered_refused_unknown() {
    let mut sheet = CountSheet::default();
    let row = CountRow {
        requests: 2,
        ..CountRow::default()
    };
    sheet.add(key("a", "r", ResultCode::Answered), &row);
    sheet.add(key("a", "far", ResultCode::Answered), &row);
    sheet.add(key("a", "r", ResultCode::QueueFull), &row);
    sheet.add(key("b", "r", ResultCode::OutcomeUnknown), &row);
    let query = ReportQuery {
        by: vec![ReportField::Account],
        from: 0,
        until: 2,
        accounts: None,
    };
    let result = run_query(&query, &sheet, Vec::new(), Vec::new());
    let line = &result.lines[0];
    assert_eq!(
        (line.requests, line.answered, line.refused, line.unknown),
        (6, 4, 2, 0)
    );
    assert!((line.away_share - 0.5).abs() < 1e-9);
    assert_eq!(
        result.total.requests,
        result.total.answered + result.total.refused + result.total.unknown
    );
    assert!(render_table(&result).contains("total"));
    assert_eq!(render_csv(&result).lines().count(), 4);
    assert!(
        render_html("t", &result, &result)
            .expect("the page can be drawn")
            .contains("<svg")
    );
}

#[test]
fn query_of_one_team_hides_the_others() {
    let mut sheet = sheet("a", 1);
    sheet.merge(&self::sheet("b", 1));
    let query = ReportQuery {
        by: Vec::new(),
        from: 0,
        until: 2,
        accounts: Some(["a".into()].into()),
    };
    assert_eq!(
        run_query(&query, &sheet, Vec::new(), Vec::new())
            .total
            .requests,
        1
    );
}

#[test]
fn delays_quantile_is_within_a_tenth() {
    let mut delays = DelayHistogram::default();
    for millis in 1..=1_000 {
        delays.record(Duration::from_millis(millis));
    }
    let p99 = delays
        .quantile(0.99)
        .expect("delays were counted")
        .as_secs_f64();
    assert!((0.99..1.09).contains(&p99), "{p99}");
}
