//! Requests under which replicas ended: who is held, who is not, and what nodes tell each other.

use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_route::SuspectTable;
use zinniahatch_route::SuspectUpdate;
use zinniahatch_route::SuspectUpdateBatch;
use zinniahatch_route::SuspectUpdateEffect;

const FATAL: u64 = 7;
const BESIDE: u64 = 8;
const MOST: usize = 1_000;
/// Time after which a content is judged.
const SETTLED: Duration = Duration::from_millis(150);
/// How long a fatal request is on a replica.
const SHORT: Duration = Duration::from_millis(40);

/// Gives whether a content is held once all nodes have told what they know.
fn held(table: &SuspectTable, content: u64, now: Instant) -> bool {
    hold(table, content, now).is_some()
}

fn hold(table: &SuspectTable, content: u64, now: Instant) -> Option<Duration> {
    table.quarantine_left(content, now + SETTLED)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Makes a table in which replicas ended under a content, one a second.
fn ended(content: u64, replicas: std::ops::Range<u32>, start: Instant) -> (SuspectTable, Instant) {
    let mut table = SuspectTable::default();
    let mut now = start;
    for replica in replicas {
        now += seconds(1);
        assert!(table.note_crash(content, replica, SHORT, now));
    }
    (table, now)
}

/// Notes that a bystander was there for so long on each of the three replicas that ended under the fatal request.
fn stand_beside(table: &mut SuspectTable, ran: Duration, start: Instant) {
    for replica in 0..3 {
        let at = start + seconds(1 + u64::from(replica));
        table.note_crash(BESIDE, replica, ran, at);
    }
}

/// Takes all news that are due, whoever they are for.
fn take(table: &mut SuspectTable, again: bool, now: Instant) -> Vec<SuspectUpdate> {
    let SuspectUpdateBatch {
        broadcast,
        local,
        relayed,
    } = table.take_updates(again, MOST, now);
    [broadcast, local, relayed].concat()
}

fn ids(news: &[SuspectUpdate]) -> Vec<u64> {
    news.iter().map(|one| one.content).collect()
}

#[test_case(0, false; "none")]
#[test_case(2, false; "two_happen_to_bystanders")]
#[test_case(3, true; "three")]
#[test_case(9, true; "many")]
fn hold_after(ends: u32, expected: bool) {
    let (table, now) = ended(FATAL, 0..ends, Instant::now());
    assert_eq!(held(&table, FATAL, now), expected);
    assert!(!held(&table, BESIDE, now));
}

/// One node hears of the third end of a bystander before that of the request that ended the replicas, which
/// another node had there. It waits for a moment, in which neither runs, and then holds the right one.
#[test]
fn verdict_waits_for_news_of_the_last_end() {
    let start = Instant::now();
    let (fatal, now) = ended(FATAL, 0..3, start);
    let mut table = SuspectTable::default();
    stand_beside(&mut table, SHORT * 9, start);
    assert_eq!(table.quarantine_left(BESIDE, now), None);
    let wait = table.decision_delay(BESIDE, now).expect("it waits");
    for news in fatal.accused_updates(0, MOST, now + SHORT) {
        table.apply_update(&news, false, now + SHORT);
    }
    assert_eq!(table.decision_delay(BESIDE, now + wait), None);
    assert_eq!(table.quarantine_left(BESIDE, now + wait), None);
    assert!(held(&table, FATAL, now));
}

/// Seven nodes had a request each on the replica that ended, or one node had the same content there thrice.
/// It is one end all the same, told by each of them.
#[test]
fn hold_needs_different_ends() {
    let start = Instant::now();
    let mut table = SuspectTable::default();
    for node in 0..7 {
        table.note_crash(FATAL, 1, SHORT, start + Duration::from_millis(node * 20));
    }
    assert!(!held(&table, FATAL, start + seconds(1)));
}

/// A replica starts again under its id, some seconds later, and ends again under the same content.
#[test]
fn hold_counts_ends_of_one_id() {
    let start = Instant::now();
    let mut table = SuspectTable::default();
    for life in 0..3 {
        table.note_crash(FATAL, 1, SHORT, start + seconds(life * 4));
    }
    assert!(held(&table, FATAL, start + seconds(8)));
}

/// Streams that ran beside the fatal request were resumed with it on the next replica and the one after, and
/// stood on three crashes like itself. Nothing tells them apart yet, and neither is held. The fatal one ends one
/// more, on which they were not: that explains the first three.
#[test]
fn hold_spares_who_ran_beside() {
    let start = Instant::now();
    let (mut table, now) = ended(FATAL, 0..3, start);
    stand_beside(&mut table, SHORT, start);
    assert!(!held(&table, BESIDE, now));
    table.note_crash(FATAL, 3, SHORT, now + seconds(1));
    assert!(!held(&table, BESIDE, now + seconds(1)));
    assert!(held(&table, FATAL, now + seconds(1)));
}

/// What all callers ask stood on the three replicas of a region that a fatal request ended, and nobody had been
/// answered yet. Its first request had been on each for longer than the fatal one.
#[test]
fn hold_is_of_who_ran_shortest() {
    let start = Instant::now();
    let (mut table, now) = ended(FATAL, 0..3, start);
    for replica in 0..3 {
        let at = start + seconds(1 + u64::from(replica));
        table.note_crash(BESIDE, replica, SHORT * 7, at);
        // Another request of it had just begun there, on this node or another.
        table.note_crash(BESIDE, replica, SHORT / 4, at);
    }
    assert!(held(&table, FATAL, now));
    assert!(!held(&table, BESIDE, now));
    let mut other = SuspectTable::default();
    for news in take(&mut table, true, now) {
        other.apply_update(&news, false, now);
    }
    assert!(held(&other, FATAL, now));
    assert!(!held(&other, BESIDE, now));
}

/// A request that all callers make began just after the fatal one on each of three replicas, and was on them for
/// a little less. It was held in the place of the fatal one, and a caller was turned away, until that had ended
/// a fourth. So little does not tell them apart: a fourth end is waited for, and holds the fatal one alone.
#[test]
fn hold_waits_for_a_fourth_where_three_are_alike() {
    let start = Instant::now();
    let (mut table, now) = ended(FATAL, 0..3, start);
    stand_beside(&mut table, SHORT / 2, start);
    assert!(!held(&table, BESIDE, now));
    assert!(!held(&table, FATAL, now));
    table.note_crash(FATAL, 3, SHORT, now);
    assert!(!held(&table, BESIDE, now));
    assert!(held(&table, FATAL, now));
}

/// A request was on three replicas that were killed one after the other, and was answered whole by the
/// fourth. What is answered ends no replicas.
#[test]
fn answer_clears() {
    let (mut table, now) = ended(BESIDE, 0..3, Instant::now());
    assert_eq!(table.review(now + SETTLED).len(), 1);
    let (news, _) = table
        .unpersisted(now + SETTLED)
        .expect("this node saw the ends");
    assert_eq!(news.content, BESIDE);
    table.note_persisted(BESIDE);
    assert!(table.unpersisted(now + SETTLED).is_none());
    assert!(table.note_complete_response(BESIDE, now + seconds(1)));
    assert!(!held(&table, BESIDE, now + seconds(1)));
    let changes = table.review(now + seconds(1));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].left, None);
    assert!(changes[0].persisted, "its key is to be removed");
    assert_eq!(table.quarantined_count(), 0);
}

/// A look-up that all callers make stood on every replica of a region when it lost power for a moment. It
/// had been answered by each of them just before.
#[test]
fn loss_of_all_replicas_holds_nobody() {
    let start = Instant::now();
    let mut table = SuspectTable::default();
    table.note_complete_response(BESIDE, start);
    for replica in 0..40 {
        assert!(!table.note_crash(BESIDE, replica, SHORT, start + seconds(1)));
        table.note_crash(
            1_000 + u64::from(replica),
            replica,
            SHORT,
            start + seconds(1),
        );
    }
    assert!(table.review(start + seconds(2)).is_empty());
    assert!(!held(&table, BESIDE, start + seconds(1)));
}

/// Another node, which had just started, took the look-up for a suspect and told so. This one has seen
/// it answered, serves it on, and with the next answer tells the other.
#[test]
fn news_do_not_hold_what_was_answered() {
    let start = Instant::now();
    let (mut other, now) = ended(BESIDE, 0..3, start);
    let mut table = SuspectTable::default();
    table.note_complete_response(BESIDE, start);
    for news in take(&mut other, false, now) {
        assert_eq!(
            table.apply_update(&news, false, now),
            SuspectUpdateEffect::Learned
        );
    }
    assert!(!held(&table, BESIDE, now));
    assert!(table.note_complete_response(BESIDE, now));
    for news in take(&mut table, false, now) {
        other.apply_update(&news, false, now);
    }
    assert!(!held(&other, BESIDE, now));
}

/// The news that a content was answered was lost on the way to a node, which tells what it still
/// believes: it is put right.
#[test]
fn outdated_news_are_answered() {
    let start = Instant::now();
    let (other, now) = ended(BESIDE, 0..3, start);
    let (mut table, _) = ended(BESIDE, 0..3, start);
    table.note_complete_response(BESIDE, now + seconds(1));
    while !take(&mut table, true, now).is_empty() {}
    let later = now + seconds(2);
    let told = other.accused_updates(0, MOST, later);
    assert_eq!(ids(&told), [BESIDE]);
    assert_eq!(
        table.apply_update(&told[0], false, later),
        SuspectUpdateEffect::Outdated
    );
    assert_eq!(
        ids(&table.take_updates(false, MOST, later).broadcast),
        [BESIDE]
    );
    // A node that knew nothing else of it puts the teller right, too.
    let mut third = SuspectTable::default();
    third.note_complete_response(BESIDE, start);
    third.apply_update(&told[0], false, later);
    third.note_complete_response(BESIDE, later + seconds(1));
    assert_eq!(
        ids(&third.take_updates(false, MOST, later).broadcast),
        [BESIDE]
    );
}

/// The caller of a fatal request comes for hours. Each time that the hold lapses one replica ends, no more,
/// and the next hold is twice as long.
#[test]
fn hold_lapses_and_doubles() {
    let (mut table, mut now) = ended(FATAL, 0..3, Instant::now());
    let mut before = Duration::ZERO;
    for replica in 10..13 {
        let left = hold(&table, FATAL, now).expect("it is held");
        assert!(left >= before * 2 && left <= seconds(4 * 3_600));
        before = left;
        table.tick(now + left / 2);
        assert!(held(&table, FATAL, now + left / 2));
        now += left + seconds(1);
        table.tick(now);
        assert!(!held(&table, FATAL, now));
        table.note_crash(FATAL, replica, SHORT, now);
    }
    table.tick(now + seconds(24 * 3_600));
    assert_eq!(table.accused_digest(), 0);
}

/// A region with 400 replicas is lost with 30 requests on each. What is remembered and told stays bounded, and
/// the content that was known stays known.
#[test]
fn suspects_are_bounded() {
    let (mut table, now) = ended(FATAL, 0..3, Instant::now());
    for content in 0..12_000 {
        table.note_crash(1_000 + content, 500 + (content / 30) as u32, SHORT, now);
    }
    assert!(held(&table, FATAL, now));
    table.note_crash(FATAL, 9, SHORT, now + seconds(1));
    let first = table.take_updates(false, 24, now);
    assert_eq!(ids(&first.broadcast), [FATAL]);
    // What is remembered shows in no answer, and in the memory of a node alone.
    let rows = format!("{table:?}").matches("SuspectRow").count();
    assert!(rows <= 2_048, "{rows} contents are remembered");
    let rest: usize = (0..MOST)
        .map(|_| table.take_updates(false, 24, now).local.len())
        .sum();
    let told = first.local.len() + rest;
    assert!(told > 0 && told <= 256, "{told} contents are told");
}

/// A request that stood on one replica is told once, to the own region and one node of each other, which
/// passes it on there. From the second end on all nodes are told at once, and twice more.
#[test]
fn news_are_told_by_their_weight() {
    let (mut table, now) = ended(FATAL, 0..1, Instant::now());
    let batch = table.take_updates(false, MOST, now);
    assert_eq!(ids(&batch.local), [FATAL]);
    assert!(take(&mut table, true, now).is_empty());
    let mut other = SuspectTable::default();
    other.apply_update(&batch.local[0], true, now);
    assert_eq!(ids(&other.take_updates(false, MOST, now).relayed), [FATAL]);
    table.note_crash(FATAL, 1, SHORT, now);
    assert_eq!(
        ids(&table.take_updates(false, MOST, now).broadcast),
        [FATAL]
    );
    assert!(take(&mut table, false, now).is_empty());
    assert_eq!(ids(&table.take_updates(true, MOST, now).broadcast), [FATAL]);
    assert_eq!(ids(&table.take_updates(true, MOST, now).broadcast), [FATAL]);
    assert!(take(&mut table, true, now).is_empty());
}

/// Two parts of the fleet were cut off from each other and saw two ends and one. Their digests differ until
/// each has told the other what it knows; then both hold the content.
#[test]
fn parts_of_the_fleet_agree_when_links_heal() {
    let start = Instant::now();
    let (mut one, now) = ended(FATAL, 0..3, start);
    let mut two = SuspectTable::default();
    two.note_crash(FATAL, 9, SHORT, now);
    assert_ne!(one.accused_digest(), two.accused_digest());
    for news in one.accused_updates(99, MOST, now) {
        two.apply_update(&news, false, now);
    }
    for news in two.accused_updates(99, MOST, now) {
        one.apply_update(&news, false, now);
    }
    assert_eq!(one.accused_digest(), two.accused_digest());
    assert_eq!(hold(&one, FATAL, now), hold(&two, FATAL, now));
}

/// One thing that a node learns.
#[derive(Clone, Debug)]
enum Event {
    End(u64, u32, u64),
    Answer(u64),
}

fn events() -> impl Strategy<Value = Vec<(Event, usize)>> {
    let event = prop_oneof![
        4 => (0..4_u64, 0..8_u32, 1..50_u64).prop_map(|(content, replica, ran)| Event::End(content, replica, ran)),
        1 => (0..4_u64).prop_map(Event::Answer),
    ];
    prop::collection::vec((event, 0..3_usize), 0..24)
}

proptest! {
    /// Three nodes see different things, tell each other in any order and more than once, and believe the same
    /// in the end. What a node has seen answered itself it serves in any case.
    #[test]
    fn nodes_agree_in_any_order(seen in events(), order in prop::collection::vec(0..3_usize, 6)) {
        let mut now = Instant::now();
        let mut nodes = vec![SuspectTable::default(); 3];
        for (event, node) in seen {
            now += seconds(2);
            match event {
                Event::End(content, replica, ran) => {
                    nodes[node].note_crash(content, replica, SHORT * ran as u32, now);
                }
                Event::Answer(content) => {
                    nodes[node].note_complete_response(content, now);
                }
            }
            // Everything is told at once, to nodes that may have it already.
            for teller in order.iter().copied().chain([node]) {
                for news in take(&mut nodes[teller], true, now) {
                    for (_, hearer) in nodes.iter_mut().enumerate().filter(|(at, _)| *at != teller) {
                        hearer.apply_update(&news, true, now);
                    }
                }
            }
        }
        // Own answers have lapsed by then, the suspicions have not.
        now += seconds(40);
        for content in 0..4 {
            let left: Vec<_> = nodes.iter().map(|node| node.quarantine_left(content, now)).collect();
            prop_assert_eq!(left[0].is_some(), left[1].is_some());
            prop_assert_eq!(left[1].is_some(), left[2].is_some());
        }
        prop_assert_eq!(nodes[0].accused_digest(), nodes[1].accused_digest());
        prop_assert_eq!(nodes[1].accused_digest(), nodes[2].accused_digest());
    }
}
