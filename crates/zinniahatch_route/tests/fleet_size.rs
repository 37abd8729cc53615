//! Bounds of the whole fleet that are split by its size.

use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::FleetSize;
use zinniahatch_route::RetryBudget;

/// Guards against retries beyond the bound of the whole fleet: each node knows its own region and
/// six nodes of each other one, and hears how many the other regions have.
#[test_case(7)]
#[test_case(100)]
#[test_case(986)]
#[test_case(1_972)]
fn slack_parts_add_up_within_bound(nodes: usize) {
    const REGIONS: usize = 3;
    const SLACK: f64 = 1_040.0;
    let window = Duration::from_secs(10);
    let names: Vec<RegionId> = (0..REGIONS)
        .map(|number| format!("r{number}").into())
        .collect();
    let size_of = |region: usize| nodes / REGIONS + usize::from(region < nodes % REGIONS);
    let started = Instant::now();
    let mut taken = 0;
    for node in 0..nodes {
        let mut sizes = FleetSize::default();
        sizes.note(&names[node % REGIONS], size_of(node % REGIONS));
        let mut budget = RetryBudget::new(window, 0.2, SLACK, started);
        for round in 0..=20_u32 {
            if round == 4 {
                for (region, name) in names.iter().enumerate() {
                    sizes.note(name, size_of(region));
                }
            }
            let known = size_of(node % REGIONS) + (REGIONS - 1) * 6;
            budget.note_nodes(known.max(sizes.total(&names)));
            let now = started + Duration::from_millis(500) * round;
            while budget.try_take(now).is_some() {
                taken += 1;
            }
        }
    }
    assert!(f64::from(taken) <= SLACK, "{taken} of {SLACK}");
}

/// Guards against a bound that is split between fewer nodes than there are: a region that was not
/// heard of counts as large as the largest.
#[test]
fn total_counts_unheard_regions() {
    let names: [RegionId; 3] = ["a".into(), "b".into(), "c".into()];
    let mut sizes = FleetSize::default();
    sizes.note(&names[0], 330);
    assert_eq!(sizes.total(&names), 990);
    sizes.note(&names[1], 200);
    sizes.note(&names[2], 100);
    assert_eq!(sizes.total(&names), 630);
    sizes.note(&names[0], 5);
    assert_eq!(sizes.total(&names), 630);
}
