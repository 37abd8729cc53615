//! A short soak with fixed seeds: real processes, overlapping faults, promises checked from both sides.

use std::time::Duration;
use test_case::test_case;
use zinniahatch_lab::soak::SoakRun;
use zinniahatch_lab::soak::run_seed;

/// Each seed draws another series of faults; the line that the run prints names them.
#[test_case(1; "any")]
#[test_case(2; "replicas")]
#[test_case(3; "planned")]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_in_a_soak(seed: u64) {
    let soak = SoakRun {
        seed,
        seeds: 1,
        time: Duration::from_secs(8),
        entries: 1,
        callers: 8,
    };
    let broken = run_seed(&soak, seed).await;
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
}
