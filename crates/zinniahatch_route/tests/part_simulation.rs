//! Prompt parts that crash replicas in a simulated fleet without sockets: few requests with such a
//! part reach replicas, and sound requests with the same first part are served on.

mod part_simulation {
    pub(crate) mod fleet;
    pub(crate) mod node;
    pub(crate) mod traffic;
}

use part_simulation::fleet::Fleet;
use part_simulation::fleet::Outcome;
use part_simulation::traffic::Crashing;
use part_simulation::traffic::Disturbance;
use part_simulation::traffic::Scenario;
use test_case::test_case;

/// Schedules of each test; `ZINNIA_SCHEDULES` sets another number.
const SCHEDULES: u64 = 12;
/// Requests with a crashing part that may reach replicas from the time on at which it is known.
const MAX_LATE_REQUESTS: u32 = 3;
/// Least share of sound requests that begin at the first attempt while a part is in quarantine.
const MIN_SOUND_SHARE: f64 = 0.5;
/// Sound requests from which their share is judged.
const MIN_SOUND_REQUESTS: u32 = 20;

/// Plays the schedules of a scenario; `check` returns what is wrong with an outcome.
fn play_all(scenario: Scenario, check: impl Fn(&Outcome) -> Option<String>) {
    let schedules = std::env::var("ZINNIA_SCHEDULES").ok();
    let schedules = schedules.and_then(|text| text.parse().ok());
    let schedules = schedules.unwrap_or(SCHEDULES);
    let mut failures = Vec::new();
    for seed in 0..schedules {
        let outcome = Fleet::new(seed, scenario).play();
        if let Some(problem) = check(&outcome) {
            failures.push(format!("seed {seed}: {problem}: {outcome:?}"));
        }
    }
    let count = failures.len();
    assert!(failures.is_empty(), "{count} of {schedules}: {failures:#?}");
}

/// Guards against a prompt part that goes on crashing replicas, and against a quarantine that also
/// refuses the requests which share other parts with it.
#[test_case(Crashing::Second, Disturbance::None; "in_second_place")]
#[test_case(Crashing::BehindOthers, Disturbance::None; "behind_others_each_time")]
#[test_case(Crashing::FirstAtTimes, Disturbance::None; "in_first_place_at_times")]
#[test_case(Crashing::Two, Disturbance::None; "two_parts")]
#[test_case(Crashing::SoundBefore, Disturbance::None; "sound_before")]
#[test_case(Crashing::FewSound, Disturbance::None; "few_sound_requests")]
#[test_case(Crashing::ManyCallers, Disturbance::None; "many_callers")]
#[test_case(Crashing::Second, Disturbance::RegionLoss; "while_regions_are_lost")]
#[test_case(Crashing::Second, Disturbance::Kills; "while_replicas_are_killed")]
#[test_case(Crashing::Second, Disturbance::Restarts; "while_nodes_restart")]
#[test_case(Crashing::Second, Disturbance::MassRestart; "while_all_nodes_restart")]
#[test_case(Crashing::Second, Disturbance::Cuts; "while_regions_are_cut_off")]
#[test_case(Crashing::FewSound, Disturbance::Kills; "few_sound_requests_while_replicas_are_killed")]
#[test_case(Crashing::SoundBefore, Disturbance::Kills; "sound_before_while_replicas_are_killed")]
fn bounds_hold(crashing: Crashing, disturbance: Disturbance) {
    let scenario = Scenario {
        crashing,
        disturbance,
    };
    play_all(scenario, |outcome| {
        let worst = outcome.late.values().copied().max().unwrap_or(0);
        if worst > MAX_LATE_REQUESTS {
            return Some(format!("{worst} requests reached replicas late"));
        }
        let share = f64::from(outcome.sound_begun) / f64::from(outcome.sound.max(1));
        let too_few = outcome.sound >= MIN_SOUND_REQUESTS && share < MIN_SOUND_SHARE;
        too_few.then(|| format!("{share:.2} of the sound requests began"))
    });
}

/// Guards against blaming a prompt part for replicas that crash for another reason.
#[test_case(Disturbance::RegionLoss; "region_loss")]
#[test_case(Disturbance::Kills; "kills_in_series")]
#[test_case(Disturbance::MassRestart; "mass_restart")]
#[test_case(Disturbance::KillsAfterRestart; "kills_after_a_mass_restart")]
fn other_losses_quarantine_no_part(disturbance: Disturbance) {
    let scenario = Scenario {
        crashing: Crashing::Nothing,
        disturbance,
    };
    play_all(scenario, |outcome| {
        (outcome.sound_refused > 0).then(|| "sound requests were refused".to_owned())
    });
}
