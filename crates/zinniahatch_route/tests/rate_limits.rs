//! Rate limits that all nodes of a region keep together: no window passes the bound, whatever happens to the nodes
//! and their news, and most of what is allowed is used.

mod limit_fleet;

use limit_fleet::FleetPlan;
use limit_fleet::LimitFleet;
use limit_fleet::LimitWay;
use limit_fleet::SharedBucket;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_route::RateLimitEffect;
use zinniahatch_route::RateLimitNotice;
use zinniahatch_route::RateLimitTable;
use zinniahatch_route::RateLimitUpdate;

const REPLICA: u32 = 7;
const TIME: Duration = Duration::from_secs(30);

/// What came of many schedules.
#[derive(Debug, Default)]
struct PlayedSchedules {
    /// Seeds in which a window passed the bound.
    broken: Vec<u64>,
    /// Requests that were sent while a limit was in force, of those that it allowed and callers asked for.
    used: f64,
    /// The longest time from the end of a limit until no node keeps to it any more.
    ended: Duration,
    /// The most requests in a window, as a part of what the rule allows.
    worst: f64,
    /// The same with the requests of nodes that a fault excuses.
    worst_of_all: f64,
}

fn play<W: LimitWay>(plan: FleetPlan, seeds: u64) -> PlayedSchedules {
    let mut played = PlayedSchedules::default();
    let (mut sent, mut allowed) = (0.0, 0.0);
    for seed in 0..seeds {
        let mut fleet = LimitFleet::<W>::new(seed, plan);
        while fleet.time() < TIME {
            fleet.step();
        }
        let worst = fleet.worst_window(false);
        played.worst = played.worst.max(worst);
        played.worst_of_all = played.worst_of_all.max(fleet.worst_window(true));
        if worst > 1.0 {
            played.broken.push(seed);
        }
        sent += fleet.sent_under_limit();
        allowed += fleet.usable();
        played.ended = played.ended.max(fleet.longest_end());
    }
    played.used = sent / allowed;
    played
}

const fn plan(nodes: usize, rate: f64, demand: f64) -> FleetPlan {
    FleetPlan {
        nodes,
        rate,
        faults: 0.004,
        demand,
        skewed: false,
    }
}

/// Guards against a bound that holds only while all nodes live and hear each other.
#[test_case(plan(1, 1.0, 20.0), 200; "one_node")]
#[test_case(plan(2, 0.2, 2.0), 200; "two_nodes_low")]
#[test_case(plan(2, 1.0, 20.0), 200; "two_nodes")]
#[test_case(plan(3, 4.0, 20.0), 200; "three_nodes")]
#[test_case(plan(7, 1.0, 20.0), 100; "seven_nodes")]
#[test_case(plan(7, 12.0, 20.0), 100; "seven_nodes_high")]
#[test_case(plan(37, 1.0, 20.0), 12; "many_nodes")]
#[test_case(plan(37, 30.0, 20.0), 12; "many_nodes_high")]
fn no_window_passes_the_bound(plan: FleetPlan, seeds: u64) {
    let played = play::<RateLimitTable>(plan, seeds);
    println!("{played:?}");
    assert_eq!(played.broken, Vec::<u64>::new());
}

/// Compares this way with a bucket that every node keeps whole, with news of what the others sent: that one uses
/// more where callers are few or gather at one node, and passes the bound where many nodes see room at once.
#[ignore = "prints figures for the design note"]
#[test_case(plan(2, 1.0, 20.0); "two_nodes")]
#[test_case(plan(2, 1.0, 1.0); "two_nodes_few_callers")]
#[test_case(FleetPlan { skewed: true, ..plan(2, 1.0, 4.0) }; "two_nodes_skewed")]
#[test_case(plan(7, 4.0, 20.0); "seven_nodes")]
#[test_case(plan(37, 1.0, 20.0); "many_nodes")]
#[test_case(plan(37, 1.0, 0.2); "many_nodes_few_callers")]
#[test_case(plan(37, 30.0, 20.0); "many_nodes_high")]
#[test_case(plan(110, 6.0, 20.0); "most_nodes")]
fn ways_compared(plan: FleetPlan) {
    let seeds = if plan.nodes > 40 { 2 } else { 8 };
    println!("parts: {:?}", play::<RateLimitTable>(plan, seeds));
    println!("bucket: {:?}", play::<SharedBucket>(plan, seeds));
}

/// Guards against an end that older answers or older news take back, and against a limit that older ones raise.
#[test]
fn hear_older_news_change_nothing() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let (mut one, mut other) = (RateLimitTable::default(), RateLimitTable::default());
    one.note_response(REPLICA, RateLimitNotice::PerSecond(1.0), at(0), at(10));
    let begun = one.take_updates(1);
    other.apply_update(&begun[0], at(20));
    // Sent before the limit was known here.
    assert_eq!(
        other.note_response(REPLICA, RateLimitNotice::Absent, at(15), at(30)),
        None
    );
    let raised = RateLimitNotice::PerSecond(4.0);
    assert_eq!(other.note_response(REPLICA, raised, at(15), at(30)), None);
    assert!(
        other
            .note_response(REPLICA, RateLimitNotice::Absent, at(25), at(40))
            .is_some()
    );
    assert_eq!(
        other.apply_update(&begun[0], at(50)),
        RateLimitEffect::Outdated
    );
    assert!(!other.is_limited(REPLICA));
    let ended = other.take_updates(1);
    assert!(matches!(
        one.apply_update(&ended[0], at(60)),
        RateLimitEffect::Learned(_)
    ));
    assert!(!one.is_limited(REPLICA));
    assert_eq!(one.digest(), other.digest());
}

/// Guards against a replica that names a limit of nothing and would never be asked again.
#[test]
fn take_replica_that_takes_nothing_is_asked_now_and_then() {
    let now = Instant::now();
    let mut book = RateLimitTable::default();
    book.set_sharers(Some(1), [2].into(), now);
    book.note_response(REPLICA, RateLimitNotice::PerSecond(0.0), now, now);
    let wait = book.wait(REPLICA, now);
    assert!(
        !book.take(REPLICA, now) && wait <= Duration::from_secs(30),
        "{wait:?}"
    );
    assert!(book.take(REPLICA, now + wait + Duration::from_millis(1)));
    assert!(!book.take(REPLICA, now + wait + Duration::from_millis(2)));
}

/// Guards against a process that has just started and takes the part of its predecessor once more.
#[test]
fn take_fresh_node_sends_nothing() {
    let now = Instant::now();
    let mut book = RateLimitTable::default();
    book.set_sharers(None, [2].into(), now);
    book.note_response(REPLICA, RateLimitNotice::PerSecond(50.0), now, now);
    assert!(!book.take(REPLICA, now + Duration::from_secs(5)));
}

/// Guards against different answers at two nodes at once that leave them with different limits.
#[test]
fn hear_same_number_lower_rate_counts() {
    let now = Instant::now();
    let news = |rate| RateLimitUpdate {
        replica: REPLICA,
        sequence: 1,
        rate,
    };
    for order in [[Some(1.0), Some(2.0), None], [None, Some(2.0), Some(1.0)]] {
        let mut book = RateLimitTable::default();
        for rate in order {
            book.apply_update(&news(rate), now);
        }
        assert_eq!(book.rate(REPLICA), Some(1.0));
    }
}
