//! Replicas that leave, rest, name limits and start cold, all at once: whatever happens to nodes, news and the store, no
//! bound of the operators is passed.

mod common;
mod notice_fleet;

use notice_fleet::BrokenBound;
use notice_fleet::EndsRestByLater;
use notice_fleet::GateRule;
use notice_fleet::NoticeFleet;
use notice_fleet::NoticePlan;
use notice_fleet::RealGate;
use notice_fleet::SkipsGate;
use notice_fleet::UndoesLeaving;
use std::time::Duration;
use test_case::test_case;

const TIME: Duration = Duration::from_secs(30);
/// Seeds within which a fault of the gate must be found.
const MUTANT_SEEDS: u64 = 20;

/// Plays a seed; gives the bounds that were passed, and how often replicas said something.
fn play<G: GateRule>(plan: NoticePlan, seed: u64) -> (Vec<BrokenBound>, usize) {
    let mut fleet = NoticeFleet::<G>::new(seed, plan);
    while fleet.time() < TIME {
        fleet.step();
    }
    (fleet.judge.broken(), fleet.judge.said())
}

const fn plan(nodes: usize, replicas: usize, demand: f64) -> NoticePlan {
    NoticePlan {
        nodes,
        replicas,
        demand,
        faults: 0.004,
        words: 0.03,
    }
}

/// Guards against a bound that holds only while nodes, news and the store are well.
#[test_case(plan(1, 3, 30.0), 100; "one_node")]
#[test_case(plan(2, 2, 40.0), 100; "few")]
#[test_case(plan(3, 4, 30.0), 100; "three_nodes")]
#[test_case(plan(7, 4, 20.0), 60; "seven_nodes")]
#[test_case(plan(20, 6, 8.0), 12; "many_nodes")]
fn no_bound_is_passed(plan: NoticePlan, seeds: u64) {
    let mut said = 0;
    for seed in 0..seeds {
        let (broken, words) = play::<RealGate>(plan, seed);
        assert_eq!(broken, [], "seed {seed}");
        said += words;
    }
    println!("{said} words in {seeds} seeds");
    assert!(said as u64 > seeds * 20);
}

/// Guards against a rest that is forgotten where the entry of its replica vanishes and comes back.
#[test_case(plan(1, 3, 30.0), 263; "one_node")]
#[test_case(plan(2, 2, 40.0), 760; "few")]
#[test_case(plan(3, 4, 30.0), 288; "three_nodes")]
#[test_case(plan(7, 4, 20.0), 372; "seven_nodes")]
#[test_case(plan(20, 6, 8.0), 13; "many_nodes")]
fn rest_outlives_an_entry(plan: NoticePlan, seed: u64) {
    assert_eq!(play::<RealGate>(plan, seed).0, []);
}

fn found<G: GateRule>(bound: BrokenBound) -> bool {
    let found = (0..MUTANT_SEEDS).find(|seed| {
        let (broken, _) = play::<G>(plan(3, 4, 30.0), *seed);
        broken.contains(&bound)
    });
    println!("{bound:?}: seed {found:?}");
    found.is_some()
}

/// Guards against a model that sees nothing: gates with a fault each are found.
#[test]
fn faults_of_the_gate_are_found() {
    assert!(found::<SkipsGate>(BrokenBound::Leaving));
    assert!(found::<SkipsGate>(BrokenBound::Rest));
    assert!(found::<SkipsGate>(BrokenBound::Limit));
    assert!(found::<SkipsGate>(BrokenBound::Cold));
    assert!(found::<EndsRestByLater>(BrokenBound::Rest));
    assert!(found::<UndoesLeaving>(BrokenBound::Leaving));
}
