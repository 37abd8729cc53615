//! Counts survive lost responses, reordering and node failures, and reports name missing counts.

use std::time::Duration;
use std::time::Instant;
use zinniahatch_base::ResultCode;
use zinniahatch_report::BatchStates;
use zinniahatch_report::CountBuffer;
use zinniahatch_report::CountKey;
use zinniahatch_report::CountRow;
use zinniahatch_report::CountTable;
use zinniahatch_report::DelayHistogram;
use zinniahatch_report::HourlyCounts;
use zinniahatch_report::MergeQueue;
use zinniahatch_report::ReceivedBatch;
use zinniahatch_report::ReportField;
use zinniahatch_report::ReportQuery;
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

fn counts(account: &str, requests: u64) -> CountTable {
    let mut table = CountTable::default();
    table.add(
        key(account, "r", ResultCode::Answered),
        &CountRow {
            requests,
            ..CountRow::default()
        },
    );
    table
}

fn received_batch(number: u64, requests: u64) -> ReceivedBatch {
    ReceivedBatch {
        node: "n".into(),
        incarnation: 1,
        number,
        minute: 60,
        last: false,
        counts: counts("a", requests),
    }
}

/// Guards against requests that a report counts twice: the store applies a merge, its response is
/// lost, and the merge is tried again. The batch numbers written with the counts prevent it.
#[test]
fn hourly_merge_twice_counts_once() {
    let mut queue = MergeQueue::default();
    queue.insert(0, received_batch(1, 5));
    let task = queue.tasks().remove(0);
    let mut hourly = HourlyCounts::default();
    assert!(task.apply(&mut hourly));
    assert!(
        !task.apply(&mut hourly),
        "the second merge has nothing to write"
    );
    assert_eq!(hourly.counts.requests(), 5);
}

/// Guards against reports that lack counts, or that name a gap for a live node, after the wall clock
/// of the node stepped back by 40 minutes and forward again. The order of batches must come from
/// their numbers, not from their minutes.
#[test]
fn seal_clock_steps_back() {
    let now = Instant::now();
    let mut buffer = CountBuffer::with_shards(1);
    let mut queue = MergeQueue::default();
    let mut hourly = HourlyCounts::default();
    for minute in [60, 20, 21, 61] {
        let row = CountRow {
            requests: 1,
            ..CountRow::default()
        };
        buffer.add(key("a", "r", ResultCode::Answered), &row);
        buffer.seal(minute);
        for (_, _, sealed) in buffer.take_due(now, Duration::from_secs(60), |_| Some("m".into())) {
            queue.insert(
                0,
                ReceivedBatch {
                    number: sealed.number,
                    minute: sealed.minute,
                    counts: sealed.counts,
                    ..received_batch(0, 0)
                },
            );
        }
        for task in queue.tasks() {
            task.apply(&mut hourly);
            queue.complete(&task);
        }
    }
    assert_eq!(hourly.counts.requests(), 4);
    assert!(hourly.gaps.is_empty());
}

/// Guards against requests that are missing from a report although no node failed: a batch is lost
/// on the way and the next one arrives first. Recording only the highest merged number would drop
/// the first batch for good.
#[test]
fn hourly_merge_accepts_batches_out_of_order() {
    let mut hourly = HourlyCounts::default();
    assert!(hourly.merge("n", 1, 2, 60, &counts("a", 3)));
    assert!(hourly.merge("n", 1, 1, 60, &counts("a", 4)));
    assert!(!hourly.merge("n", 1, 2, 60, &counts("a", 3)));
    assert_eq!(hourly.counts.requests(), 7);
}

#[test]
fn buffer_due_sends_again_to_a_new_merger() {
    let now = Instant::now();
    let mut buffer = CountBuffer::default();
    buffer.add(
        key("a", "r", ResultCode::Answered),
        &CountRow {
            requests: 1,
            ..CountRow::default()
        },
    );
    buffer.seal(60);
    let timeout = Duration::from_secs(60);
    assert_eq!(
        buffer.take_due(now, timeout, |_| Some("m1".into())).len(),
        1
    );
    assert_eq!(
        buffer.take_due(now, timeout, |_| Some("m1".into())).len(),
        0,
        "the merger already has the batch"
    );
    let due = buffer.take_due(now, timeout, |_| Some("m2".into()));
    assert_eq!(due.len(), 1, "a new merger receives the batch");
    buffer.note_merged(due[0].0, &[due[0].2.number], now);
    assert!(buffer.is_flushed());
}

/// Guards against batches that are stuck without a metric that shows them.
#[test]
fn buffer_states_follow_a_batch() {
    let now = Instant::now();
    let mut buffer = CountBuffer::with_shards(1);
    let row = CountRow {
        requests: 1,
        ..CountRow::default()
    };
    buffer.add(key("a", "r", ResultCode::Answered), &row);
    assert_eq!(buffer.states(), BatchStates::default());
    buffer.seal(60);
    buffer.add(key("a", "r", ResultCode::Answered), &row);
    buffer.seal(61);
    assert_eq!(
        (buffer.states().unsent, buffer.states().oldest),
        (2, Some(60))
    );
    let due = buffer.take_due(now, Duration::from_secs(60), |_| Some("m".into()));
    buffer.note_merged(0, &[due[0].2.number], now);
    let states = BatchStates {
        unsent: 0,
        sent: 1,
        merged: 1,
        oldest: Some(61),
    };
    assert_eq!(buffer.states(), states);
}

/// Guards against counts that are lost when the store is restored from an older backup: batches that
/// the backup may lack are sent again. Batches older than any backup must still be evicted.
#[test]
fn buffer_requeues_what_a_restore_may_have_lost() {
    let now = Instant::now();
    let mut buffer = CountBuffer::with_shards(1);
    let timeout = Duration::from_secs(90);
    for minute in 0..2 {
        let row = CountRow {
            requests: 1,
            ..CountRow::default()
        };
        buffer.add(key("a", "r", ResultCode::Answered), &row);
        buffer.seal(minute);
        let at = now + Duration::from_secs(90) * minute as u32;
        let due = buffer.take_due(at, timeout, |_| Some("m".into()));
        buffer.note_merged(0, &[due[0].2.number], at);
    }
    let later = now + Duration::from_secs(100);
    assert!(buffer.is_flushed());
    assert!(
        buffer
            .take_due(later, timeout, |_| Some("m".into()))
            .is_empty()
    );
    assert_eq!(buffer.requeue_after_restore(later), 1);
    assert!(!buffer.is_flushed());
    assert_eq!(
        buffer.take_due(later, timeout, |_| Some("m".into())).len(),
        1
    );
}

/// Guards against a report that looks complete although a node failed with counts that it had not
/// sent. The report names the minutes since its last batch as a gap; counts that arrive later from
/// the same incarnation remove the gap.
#[test]
fn queue_death_records_a_gap() {
    let mut queue = MergeQueue::default();
    queue.insert(0, received_batch(1, 5));
    queue.record_failure(&"n".into(), 1, 63);
    let mut hourly = HourlyCounts::default();
    for task in queue.tasks() {
        task.apply(&mut hourly);
        queue.complete(&task);
    }
    assert_eq!((hourly.gaps[0].from, hourly.gaps[0].until), (60, 63));
    assert!(queue.is_empty());
    hourly.merge("n", 1, 2, 64, &counts("a", 1));
    assert!(hourly.gaps.is_empty());
}

/// Guards against a gap in a report that is complete: a node is frozen, declared dead and resumes.
/// Its counts arrive, but the gap is recorded in the stored value of another shard.
#[test]
fn queue_alive_withdraws_the_gap() {
    let mut queue = MergeQueue::default();
    let mut hourly = HourlyCounts::default();
    let write = |queue: &mut MergeQueue, hourly: &mut HourlyCounts| {
        for task in queue.tasks() {
            task.apply(hourly);
            queue.complete(&task);
        }
    };
    queue.record_failure(&"n".into(), 1, 63);
    write(&mut queue, &mut hourly);
    assert_eq!(hourly.gaps.len(), 1);
    queue.record_recovery(&"n".into(), 2);
    write(&mut queue, &mut hourly);
    assert_eq!(
        hourly.gaps.len(),
        1,
        "another incarnation is another process"
    );
    queue.record_recovery(&"n".into(), 1);
    write(&mut queue, &mut hourly);
    assert!(hourly.gaps.is_empty());
    assert!(queue.is_empty());
}

#[test]
fn queue_death_after_last_batch_records_no_gap() {
    let mut queue = MergeQueue::default();
    queue.insert(
        0,
        ReceivedBatch {
            last: true,
            ..received_batch(1, 5)
        },
    );
    queue.record_failure(&"n".into(), 1, 63);
    let mut hourly = HourlyCounts::default();
    for task in queue.tasks() {
        task.apply(&mut hourly);
    }
    assert!(hourly.gaps.is_empty());
}

#[test]
fn query_sums_answered_refused_unknown() {
    let mut table = CountTable::default();
    let row = CountRow {
        requests: 2,
        ..CountRow::default()
    };
    table.add(key("a", "r", ResultCode::Answered), &row);
    table.add(key("a", "far", ResultCode::Answered), &row);
    table.add(key("a", "r", ResultCode::QueueFull), &row);
    table.add(key("b", "r", ResultCode::OutcomeUnknown), &row);
    let query = ReportQuery {
        by: vec![ReportField::Account],
        from: 0,
        until: 2,
        accounts: None,
    };
    let result = run_query(&query, &table, Vec::new(), Vec::new());
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
            .expect("the report renders as HTML")
            .contains("<svg")
    );
}

#[test]
fn query_excludes_other_accounts() {
    let mut table = counts("a", 1);
    table.merge(&self::counts("b", 1));
    let query = ReportQuery {
        by: Vec::new(),
        from: 0,
        until: 2,
        accounts: Some(["a".into()].into()),
    };
    assert_eq!(
        run_query(&query, &table, Vec::new(), Vec::new())
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
        .expect("the histogram is not empty")
        .as_secs_f64();
    assert!((0.99..1.09).contains(&p99), "{p99}");
}
