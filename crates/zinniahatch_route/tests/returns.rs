//! When callers may come back whose request no replica can take now.

mod common;

use common::entry;
use common::prompt;
use common::regions;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::BackoffNotice;
use zinniahatch_route::PlacementQuery;
use zinniahatch_route::ReceivedNotice;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaNotice;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::ResponseAuth;
use zinniahatch_route::RetryQueue;
use zinniahatch_route::SendRefusal;
use zinniahatch_route::earliest_retry;

/// Makes a table of replicas, each with the rest that it asked for, in seconds.
fn table(rests: &[Option<u64>], now: Instant) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for (number, rest) in rests.iter().enumerate() {
        let entry = ReplicaEntry {
            id: format!("r{number}").into(),
            ..entry("r", "a")
        };
        let replica = entry.incarnation().tag();
        table.upsert(entry, now);
        let Some(rest) = rest else {
            continue;
        };
        let notice = ReplicaNotice {
            backoff: BackoffNotice::For(Duration::from_secs(*rest)),
            ..ReplicaNotice::default()
        };
        let heard = ReceivedNotice {
            replica,
            notice: &notice,
            auth: ResponseAuth::Authenticated,
            taken: false,
            sent: now,
            draw: 0,
        };
        table.apply_notice(&heard, now);
    }
    table
}

/// Guards against callers who are told a constant, or to wait for a replica while another one would serve them.
#[test_case(&[Some(3), Some(2)], Some((SendRefusal::Resting, 2)); "the_first_that_is_back")]
#[test_case(&[Some(3), None], None; "one_serves")]
#[test_case(&[], None; "none_there")]
fn earliest_return_of_region(rests: &[Option<u64>], expected: Option<(SendRefusal, u64)>) {
    let now = Instant::now();
    let table = table(rests, now);
    let (size, tried, peers) = (prompt(1, 1), BTreeSet::new(), BTreeSet::new());
    let ask = PlacementQuery {
        service: &"s".into(),
        region: "north",
        size: &size,
        urgent: false,
        tried: &tried,
        deadline: Duration::from_secs(5),
        copy_token: Duration::ZERO,
        cold_bound: 0.0,
        draw: 0,
        node: "n",
        peers: &peers,
    };
    let found = earliest_retry(&table, &regions(), &ask, now);
    let found = found.map(|first| (first.reason, first.after.as_secs()));
    assert_eq!(found, expected);
}

/// Guards against callers who are all told the same moment.
#[test]
fn callers_come_back_one_after_the_other() {
    let now = Instant::now();
    let (after, step) = (Duration::from_secs(2), Duration::from_millis(100));
    let mut line = RetryQueue::default();
    for number in 0..10 {
        assert_eq!(line.next_delay(after, step, now), after + step * number);
    }
    // Nobody is put off for ever, and the line is empty once its callers are back.
    for _ in 0..100 {
        assert!(line.next_delay(after, step, now) <= after * 2);
    }
    let later = now + Duration::from_secs(20);
    assert_eq!(line.next_delay(after, step, later), after);
}
