//! Weighted max-min shares.

use proptest::prelude::*;
use test_case::test_case;
use zinniahatch_control::ShareDemand;
use zinniahatch_control::max_min_shares;

fn demand(tenant: u32, weight: f64, demand: u32) -> ShareDemand {
    ShareDemand {
        tenant,
        weight,
        demand,
        running: 0,
        credit: 0.0,
    }
}

fn shares(capacity: u32, demands: &[ShareDemand]) -> Vec<u32> {
    let shares = max_min_shares(capacity, demands);
    demands
        .iter()
        .map(|demand| shares.get(&demand.tenant).map_or(0, |share| share.0))
        .collect()
}

#[test_case(12, &[(1.0, 20), (1.0, 20)], &[6, 6]; "equal weights")]
#[test_case(12, &[(2.0, 20), (1.0, 20)], &[8, 4]; "by weight")]
#[test_case(12, &[(1.0, 2), (1.0, 20)], &[2, 10]; "what one leaves goes to the other")]
#[test_case(12, &[(1.0, 2), (1.0, 3)], &[2, 3]; "no more than asked")]
#[test_case(0, &[(1.0, 2)], &[0]; "nothing to share")]
fn max_min_shares_gives(capacity: u32, demands: &[(f64, u32)], expected: &[u32]) {
    let list: Vec<ShareDemand> = demands
        .iter()
        .zip(1..)
        .map(|((weight, count), tenant)| demand(tenant, *weight, *count))
        .collect();
    assert_eq!(shares(capacity, &list), expected);
}

/// Guards against starvation of tenants whose share is a fraction of a slot, when the remaining
/// slots always go to the same tenants. Credit accumulates while a tenant gets nothing, so each
/// tenant gets its turn.
#[test]
fn max_min_shares_by_credit_takes_turns() {
    let mut list: Vec<ShareDemand> = (1..=10).map(|tenant| demand(tenant, 1.0, 5)).collect();
    let mut served = std::collections::BTreeSet::new();
    for _ in 0..10 {
        let shares = max_min_shares(3, &list);
        for entry in &mut list {
            let (count, due) = shares[&entry.tenant];
            entry.credit = if count > 0 { 0.0 } else { entry.credit + due };
            if count > 0 {
                served.insert(entry.tenant);
            }
        }
    }
    assert_eq!(served.len(), 10);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The shares use the whole capacity and exceed no tenant's demand, and no tenant is more than
    /// one slot below its fair share while another is above its own.
    #[test]
    fn max_min_shares_is_fair(capacity in 0..200_u32, demands in proptest::collection::vec((1..10_u32, 0..60_u32), 1..20)) {
        let list: Vec<ShareDemand> = demands.iter().zip(1..).map(|((weight, count), tenant)| demand(tenant, f64::from(*weight), *count)).collect();
        let given = shares(capacity, &list);
        let asked: u32 = demands.iter().map(|(_, count)| count).sum();
        prop_assert_eq!(given.iter().sum::<u32>(), capacity.min(asked));
        for (one, share) in list.iter().zip(&given) {
            prop_assert!(*share <= one.demand);
            if *share == one.demand {
                continue;
            }
            for (other, more) in list.iter().zip(&given) {
                let own = f64::from(*share + 1) / one.weight;
                let theirs = (f64::from(*more) - 1.0) / other.weight;
                prop_assert!(own + 1e-6 >= theirs, "{one:?} has {share} beside {other:?} with {more}");
            }
        }
    }
}
