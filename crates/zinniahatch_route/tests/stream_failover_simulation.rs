//! Streams whose replicas, connections and nodes fall silent, in a simulated fleet without sockets:
//! none is cut off while its replica is sound, none runs at two replicas, and none is stuck.

mod stream_failover_simulation {
    pub(crate) mod checks;
    pub(crate) mod driver;
    pub(crate) mod fleet;
    pub(crate) mod schedule;
    pub(crate) mod world;
}

use std::time::Duration;
use stream_failover_simulation::checks::Property;
use stream_failover_simulation::checks::Totals;
use stream_failover_simulation::fleet::Fleet;
use stream_failover_simulation::fleet::Mutation;
use stream_failover_simulation::schedule::Schedule;
use test_case::test_case;

/// Schedules of each test; `ZINNIA_SCHEDULES` sets another number.
const SCHEDULES: u64 = 40;
/// Least share of the streams of sound replicas that arrive whole. Their time is enough for a silence
/// or two; what comes on top may outlast it.
const MIN_WHOLE_SHARE: f64 = 0.9;

fn schedules() -> u64 {
    let number = std::env::var("ZINNIA_SCHEDULES").ok();
    let number = number.and_then(|number| number.parse().ok());
    number.unwrap_or(SCHEDULES)
}

fn share(part: usize, all: usize) -> f64 {
    part as f64 / all.max(1) as f64
}

/// Guards against streams that are cut off or stuck though a replica could go on with them, against
/// work at two replicas, retries beyond the budget, and events that are lost or come twice.
#[test]
fn streams_outlive_silences() {
    let mut sum = Totals::default();
    let mut failures = Vec::new();
    for seed in 0..schedules() {
        println!("seed {seed}");
        let totals = Fleet::new(Schedule::disturbed(seed), Mutation::None).play();
        for (property, violations) in &totals.violations {
            failures.push(format!(
                "seed {seed}, {property:?}: {} of {}",
                violations[0],
                violations.len()
            ));
        }
        sum.streams += totals.streams;
        sum.whole += totals.whole;
        sum.sound += totals.sound;
        sum.sound_whole += totals.sound_whole;
        sum.denied += totals.denied;
        sum.moves_to_silent += totals.moves_to_silent;
        for (sum, waits) in sum.dead_heads.iter_mut().zip(totals.dead_heads) {
            *sum += waits;
        }
        sum.moves.extend(totals.moves);
        sum.retries.extend(totals.retries);
    }
    println!(
        "{} of {} whole, {} of {} at sound replicas",
        sum.whole, sum.streams, sum.sound_whole, sum.sound
    );
    println!(
        "{} moves, {} of them to a silent replica; {} retries, {} denied",
        sum.moves.len(),
        sum.moves_to_silent,
        sum.retries.len(),
        sum.denied
    );
    println!(
        "waits for a head on a dead connection: {:?}",
        sum.dead_heads
    );
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
    assert!(share(sum.sound_whole, sum.sound) >= MIN_WHOLE_SHARE);
}

/// Guards against a stream that is lost because the next replica falls silent too, and then refuses.
#[test_case(476; "of_a_forwarded_stream")]
#[test_case(1_223; "after_a_pause")]
#[test_case(7_136; "of_eight_streams")]
fn late_refusal_loses_no_stream(seed: u64) {
    let totals = Fleet::new(Schedule::disturbed(seed), Mutation::None).play();
    let lost = totals.violations.get(&Property::Lost);
    assert!(lost.is_none(), "seed {seed}: {lost:?}");
}

/// Guards against checks that see nothing: each wrong driver breaks its property.
#[test_case(Mutation::ClosesFirst, Property::Lost; "closes_first")]
#[test_case(Mutation::NeverLooks, Property::Stuck; "never_looks")]
#[test_case(Mutation::KeepsBoth, Property::Twice; "keeps_both")]
#[test_case(Mutation::ChargesNone, Property::Budget; "charges_none")]
#[test_case(Mutation::KeepsPartial, Property::Order; "keeps_partial")]
#[test_case(Mutation::BeginsAnew, Property::Order; "begins_anew")]
fn mutant_is_found(mutation: Mutation, property: Property) {
    let seed = (0..SCHEDULES).find(|seed| {
        let totals = Fleet::new(Schedule::disturbed(*seed), mutation).play();
        totals.violations.contains_key(&property)
    });
    println!("{mutation:?}: {property:?} is broken first by seed {seed:?}");
    assert!(seed.is_some());
}

/// Guards against a silent replica whose streams overload the others or use up the retry budget.
#[test]
fn moved_streams_spread_over_the_others() {
    for seed in 0..schedules().div_ceil(8) {
        let totals = Fleet::new(Schedule::one_silent(seed), Mutation::None).play();
        assert!(
            totals.violations.is_empty(),
            "seed {seed}: {:?}",
            totals.violations
        );
        let together = totals.moves.iter().map(|at| {
            let window = *at..*at + Duration::from_millis(100);
            totals.moves.iter().filter(|at| window.contains(at)).count()
        });
        let together = together.max().unwrap_or_default();
        let most = |from: u64, to: u64| {
            let span = Duration::from_millis(from)..Duration::from_millis(to);
            totals
                .loads
                .range(span)
                .map(|(_, load)| *load)
                .max()
                .unwrap_or_default()
        };
        let (before, after) = (most(4_000, 6_000), most(7_500, 9_000));
        println!(
            "seed {seed}: {} moves, {together} within 100 ms, {} denied, load {before} and {after}, {} of {} whole",
            totals.moves.len(),
            totals.denied,
            totals.whole,
            totals.streams
        );
        assert!(
            after <= before * 2,
            "seed {seed}: {before} and {after} streams at a replica"
        );
        assert_eq!(totals.whole, totals.streams, "seed {seed}");
    }
}
