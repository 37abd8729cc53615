//! Rate limits that the nodes of a region enforce together.
//!
//! No window exceeds the bound, whatever faults nodes have and whichever updates are lost, and most
//! of the allowed requests are used.

mod rate_limit_simulation;

use rate_limit_simulation::LimitStrategy;
use rate_limit_simulation::RateLimitSimulation;
use rate_limit_simulation::SharedBucket;
use rate_limit_simulation::SimulationConfig;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_route::RateLimitEffect;
use zinniahatch_route::RateLimitNotice;
use zinniahatch_route::RateLimitTable;
use zinniahatch_route::RateLimitUpdate;

const REPLICA: u32 = 7;
const TIME: Duration = Duration::from_secs(30);

/// Results of simulations with many seeds.
#[derive(Debug, Default)]
struct SimulationResults {
    /// Seeds with a window above the bound.
    violating_seeds: Vec<u64>,
    /// Requests that arrived while a limit was in force, relative to those that the limits allowed.
    utilization: f64,
    /// Longest time from the end of a limit until no running, non-exempt node kept to it.
    longest_end_delay: Duration,
    /// Largest number of requests in a window, relative to the bound.
    worst: f64,
    /// The same including requests of nodes that a fault exempts from the bound.
    worst_with_exempt: f64,
}

fn simulate<S: LimitStrategy>(config: SimulationConfig, seeds: u64) -> SimulationResults {
    let mut results = SimulationResults::default();
    let (mut sent, mut allowed) = (0.0, 0.0);
    for seed in 0..seeds {
        let mut simulation = RateLimitSimulation::<S>::new(seed, config);
        while simulation.time() < TIME {
            simulation.step();
        }
        let worst = simulation.worst_window(false);
        results.worst = results.worst.max(worst);
        results.worst_with_exempt = results.worst_with_exempt.max(simulation.worst_window(true));
        if worst > 1.0 {
            results.violating_seeds.push(seed);
        }
        sent += simulation.sent_under_limit();
        allowed += simulation.usable();
        results.longest_end_delay = results
            .longest_end_delay
            .max(simulation.longest_end_delay());
    }
    results.utilization = sent / allowed;
    results
}

const fn config(nodes: usize, rate: f64, demand: f64) -> SimulationConfig {
    SimulationConfig {
        nodes,
        rate,
        fault_chance: 0.004,
        demand,
        skewed: false,
    }
}

/// Guards against a bound that holds only while all nodes run and reach each other.
#[test_case(config(1, 1.0, 20.0), 200; "one_node")]
#[test_case(config(2, 0.2, 2.0), 200; "two_nodes_low")]
#[test_case(config(2, 1.0, 20.0), 200; "two_nodes")]
#[test_case(config(3, 4.0, 20.0), 200; "three_nodes")]
#[test_case(config(7, 1.0, 20.0), 100; "seven_nodes")]
#[test_case(config(7, 12.0, 20.0), 100; "seven_nodes_high")]
#[test_case(config(37, 1.0, 20.0), 12; "many_nodes")]
#[test_case(config(37, 30.0, 20.0), 12; "many_nodes_high")]
fn window_stays_within_bound(config: SimulationConfig, seeds: u64) {
    let results = simulate::<RateLimitTable>(config, seeds);
    println!("{results:?}");
    assert_eq!(results.violating_seeds, Vec::<u64>::new());
}

/// Compares the fixed shares with a token bucket that each node keeps for the whole rate and
/// updates by what the others report as sent. That bucket uses more of the limit where callers are
/// few or all use one node, and exceeds the bound where many nodes find tokens at the same time.
#[ignore = "prints figures for the design note"]
#[test_case(config(2, 1.0, 20.0); "two_nodes")]
#[test_case(config(2, 1.0, 1.0); "two_nodes_few_callers")]
#[test_case(SimulationConfig { skewed: true, ..config(2, 1.0, 4.0) }; "two_nodes_skewed")]
#[test_case(config(7, 4.0, 20.0); "seven_nodes")]
#[test_case(config(37, 1.0, 20.0); "many_nodes")]
#[test_case(config(37, 1.0, 0.2); "many_nodes_few_callers")]
#[test_case(config(37, 30.0, 20.0); "many_nodes_high")]
#[test_case(config(110, 6.0, 20.0); "most_nodes")]
fn compare_strategies(config: SimulationConfig) {
    let seeds = if config.nodes > 40 { 2 } else { 8 };
    println!(
        "fixed shares: {:?}",
        simulate::<RateLimitTable>(config, seeds)
    );
    println!(
        "shared bucket: {:?}",
        simulate::<SharedBucket>(config, seeds)
    );
}

/// Guards against an older response or update that restores an ended limit or raises a limit.
#[test]
fn apply_update_older_is_ignored() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let (mut first, mut second) = (RateLimitTable::default(), RateLimitTable::default());
    first.note_response(REPLICA, RateLimitNotice::PerSecond(1.0), at(0), at(10));
    let start = first.take_updates(1);
    second.apply_update(&start[0], at(20));
    // The request was sent before this node knew of the limit.
    assert_eq!(
        second.note_response(REPLICA, RateLimitNotice::Absent, at(15), at(30)),
        None
    );
    let raised = RateLimitNotice::PerSecond(4.0);
    assert_eq!(second.note_response(REPLICA, raised, at(15), at(30)), None);
    assert!(
        second
            .note_response(REPLICA, RateLimitNotice::Absent, at(25), at(40))
            .is_some()
    );
    assert_eq!(
        second.apply_update(&start[0], at(50)),
        RateLimitEffect::Outdated
    );
    assert!(!second.is_limited(REPLICA));
    let end = second.take_updates(1);
    assert!(matches!(
        first.apply_update(&end[0], at(60)),
        RateLimitEffect::Learned(_)
    ));
    assert!(!first.is_limited(REPLICA));
    assert_eq!(first.digest(), second.digest());
}

/// Guards against a replica that announces a limit of zero and is never sent a request again.
#[test]
fn take_zero_rate_is_probed_within_30_s() {
    let now = Instant::now();
    let mut table = RateLimitTable::default();
    table.set_sharers(Some(1), [2].into(), now);
    table.note_response(REPLICA, RateLimitNotice::PerSecond(0.0), now, now);
    let wait = table.wait(REPLICA, now);
    assert!(
        !table.take(REPLICA, now) && wait <= Duration::from_secs(30),
        "{wait:?}"
    );
    assert!(table.take(REPLICA, now + wait + Duration::from_millis(1)));
    assert!(!table.take(REPLICA, now + wait + Duration::from_millis(2)));
}

/// Guards against a node that has just restarted and uses the share of its predecessor a second
/// time.
#[test]
fn take_restarted_node_is_refused() {
    let now = Instant::now();
    let mut table = RateLimitTable::default();
    table.set_sharers(None, [2].into(), now);
    table.note_response(REPLICA, RateLimitNotice::PerSecond(50.0), now, now);
    assert!(!table.take(REPLICA, now + Duration::from_secs(5)));
}

/// Guards against nodes that keep different limits after they got different responses at the same
/// time.
#[test]
fn apply_update_same_sequence_lower_rate_wins() {
    let now = Instant::now();
    let update = |rate| RateLimitUpdate {
        replica: REPLICA,
        sequence: 1,
        rate,
    };
    for order in [[Some(1.0), Some(2.0), None], [None, Some(2.0), Some(1.0)]] {
        let mut table = RateLimitTable::default();
        for rate in order {
            table.apply_update(&update(rate), now);
        }
        assert_eq!(table.rate(REPLICA), Some(1.0));
    }
}
