//! Replicas that leave, request backoffs, state rate limits and start cold at the same time.
//!
//! No bound of the operators is exceeded, whatever happens to the nodes, their messages and the
//! store.

mod common;
mod notice_simulation;

use notice_simulation::BypassesRefusal;
use notice_simulation::NoMutation;
use notice_simulation::NoticeSimulation;
use notice_simulation::RevertsLeaving;
use notice_simulation::SendMutation;
use notice_simulation::ShortensBackoff;
use notice_simulation::SimulationConfig;
use notice_simulation::ViolatedBound;
use std::time::Duration;
use test_case::test_case;

const TIME: Duration = Duration::from_secs(30);
/// Number of seeds within which each mutation must be detected.
const MUTATION_SEEDS: u64 = 20;

/// Runs the simulation of a seed; returns the exceeded bounds and the number of notices.
fn simulate<M: SendMutation>(config: SimulationConfig, seed: u64) -> (Vec<ViolatedBound>, usize) {
    let mut simulation = NoticeSimulation::<M>::new(seed, config);
    while simulation.time() < TIME {
        simulation.step();
    }
    (
        simulation.checker.violations(),
        simulation.checker.notice_count(),
    )
}

const fn config(nodes: usize, replicas: usize, demand: f64) -> SimulationConfig {
    SimulationConfig {
        nodes,
        replicas,
        demand,
        fault_chance: 0.004,
        notice_chance: 0.03,
    }
}

/// Guards against a bound that holds only without faults of nodes, messages and the store.
#[test_case(config(1, 3, 30.0), 100; "one_node")]
#[test_case(config(2, 2, 40.0), 100; "few")]
#[test_case(config(3, 4, 30.0), 100; "three_nodes")]
#[test_case(config(7, 4, 20.0), 60; "seven_nodes")]
#[test_case(config(20, 6, 8.0), 12; "many_nodes")]
fn bounds_hold_under_faults(config: SimulationConfig, seeds: u64) {
    let mut notices = 0;
    for seed in 0..seeds {
        let (violations, count) = simulate::<NoMutation>(config, seed);
        assert_eq!(violations, [], "seed {seed}");
        notices += count;
    }
    println!("{notices} notices in {seeds} seeds");
    assert!(notices as u64 > seeds * 20);
}

/// Guards against a backoff that is forgotten when the entry of its replica is removed and written
/// again.
#[test_case(config(1, 3, 30.0), 263; "one_node")]
#[test_case(config(2, 2, 40.0), 760; "few")]
#[test_case(config(3, 4, 30.0), 288; "three_nodes")]
#[test_case(config(7, 4, 20.0), 372; "seven_nodes")]
#[test_case(config(20, 6, 8.0), 13; "many_nodes")]
fn backoff_outlives_store_entry(config: SimulationConfig, seed: u64) {
    assert_eq!(simulate::<NoMutation>(config, seed).0, []);
}

fn is_detected<M: SendMutation>(bound: ViolatedBound) -> bool {
    let found = (0..MUTATION_SEEDS).find(|seed| {
        let (violations, _) = simulate::<M>(config(3, 4, 30.0), *seed);
        violations.contains(&bound)
    });
    println!("{bound:?}: seed {found:?}");
    found.is_some()
}

/// Guards against a simulation that detects no faults: each mutation of the send decision is found.
#[test]
fn mutations_are_detected() {
    assert!(is_detected::<BypassesRefusal>(ViolatedBound::Leaving));
    assert!(is_detected::<BypassesRefusal>(ViolatedBound::Rest));
    assert!(is_detected::<BypassesRefusal>(ViolatedBound::Limit));
    assert!(is_detected::<BypassesRefusal>(ViolatedBound::Cold));
    assert!(is_detected::<ShortensBackoff>(ViolatedBound::Rest));
    assert!(is_detected::<RevertsLeaving>(ViolatedBound::Leaving));
}
