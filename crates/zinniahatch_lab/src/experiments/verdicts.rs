//! Failure detection policies: a node's own suspicion compared with majority reports.
//!
//! Majority reports are the two-stage failure detection of the paper on failover in a gossip-based
//! cluster that `docs/DESIGN.md` cites. Only the member tables run, in virtual time and without
//! processes.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use serde_json::json;
use zinniahatch_base::prelude::*;
use zinniahatch_control::FailurePolicy;
use zinniahatch_control::HEARTBEAT_INTERVAL;
use zinniahatch_control::MemberTable;
use zinniahatch_protocol::Heartbeat;
use zinniahatch_protocol::NodeFrame;

/// Members of a data centre at the design size.
const MEMBERS: usize = 14;
const HOURS: u64 = 2;
const STEPS_PER_HOUR: u64 = 3_600;
/// Number of steps before the end at which one member dies.
const STEPS_AFTER_DEATH: u64 = 600;
/// Step from which some members no longer get one member's heartbeats, which all others still get.
const ONE_WAY_FROM: u64 = 600;

#[derive(Debug, Serialize)]
struct DetectionResult {
    case: &'static str,
    policy: &'static str,
    wrong_per_node_hour: f64,
    right_after_seconds: f64,
    never: usize,
}

/// Measures both policies; returns 0, since a false detection violates no invariant.
pub fn run(seed: u64) -> usize {
    let mut lines = Vec::new();
    for (case, loss, one_way) in [
        ("no loss", 0.0, 0),
        ("5% lost", 0.05, 0),
        ("20% lost", 0.2, 0),
        ("one-way links", 0.0, 3),
        ("20% lost and one-way links", 0.2, 3),
    ] {
        for (name, policy) in [
            ("own suspicion", FailurePolicy::OwnSuspicion),
            ("majority reports", FailurePolicy::MajorityReports),
        ] {
            let line = run_case(seed, case, name, policy, loss, one_way);
            println!(
                "{:<28} {:<17} {:>8.3} wrong verdicts a node and hour, right one after {:.1} s, never {}",
                line.case,
                line.policy,
                line.wrong_per_node_hour,
                line.right_after_seconds,
                line.never
            );
            lines.push(line);
        }
    }
    println!(
        "{}",
        json!({"experiment": "verdicts", "seed": seed, "violations": 0, "lines": lines})
    );
    0
}

fn run_case(
    seed: u64,
    case: &'static str,
    name: &'static str,
    policy: FailurePolicy,
    loss: f64,
    one_way: usize,
) -> DetectionResult {
    let mut random = StdRng::seed_from_u64(seed);
    let mut tables: Vec<MemberTable> = (0..MEMBERS)
        .map(|index| MemberTable::new(&node(index), policy))
        .collect();
    // These members do not get the heartbeats of node 0, which gets theirs and reaches all others.
    let unreached: Vec<usize> = (1..=one_way).collect();
    let mut now = Instant::now();
    let mut seen_failed = vec![vec![false; MEMBERS]; MEMBERS];
    let mut wrong = 0_u64;
    let mut detection_delays: Vec<f64> = Vec::new();
    let last = MEMBERS - 1;
    let death_step = HOURS * STEPS_PER_HOUR - STEPS_AFTER_DEATH;
    for step in 0..HOURS * STEPS_PER_HOUR {
        now += HEARTBEAT_INTERVAL;
        for from in 0..MEMBERS {
            if from == last && step >= death_step {
                continue;
            }
            let suspects = tables[from].suspects(now);
            let refuted = tables[from].refuted(now);
            for to in (0..MEMBERS).filter(|to| *to != from) {
                let one_way = step >= ONE_WAY_FROM && from == 0 && unreached.contains(&to);
                let lost = random.random::<f64>() < loss || one_way;
                if !lost {
                    let (frame, note) = heartbeat(from, step, suspects.clone(), refuted.clone());
                    tables[to].apply_heartbeat(now, &frame, &note, 0);
                }
            }
        }
        for observer in 0..MEMBERS {
            for subject in (0..MEMBERS).filter(|subject| *subject != observer) {
                let known = tables[observer].entries().contains_key(&*node(subject));
                let failed = known && !tables[observer].is_live(now, &node(subject));
                let dead = subject == last && step >= death_step;
                let newly_failed = failed && !seen_failed[observer][subject];
                seen_failed[observer][subject] = failed;
                if newly_failed && dead && observer != last {
                    detection_delays
                        .push((step - death_step) as f64 * HEARTBEAT_INTERVAL.as_secs_f64());
                }
                wrong += u64::from(newly_failed && !dead && observer != last);
            }
        }
    }
    let never = (MEMBERS - 1).saturating_sub(detection_delays.len());
    let mean = if detection_delays.is_empty() {
        0.0
    } else {
        detection_delays.iter().sum::<f64>() / detection_delays.len() as f64
    };
    DetectionResult {
        case,
        policy: name,
        wrong_per_node_hour: wrong as f64 / (MEMBERS as f64 * HOURS as f64),
        right_after_seconds: mean,
        never,
    }
}

fn node(index: usize) -> String {
    format!("n{index}")
}

fn heartbeat(
    from: usize,
    step: u64,
    suspects: Vec<NodeId>,
    refuted: Vec<NodeId>,
) -> (NodeFrame, Heartbeat) {
    let name: NodeId = node(from).into();
    let note = Heartbeat {
        number: step + 1,
        echo: (0, 0),
        http: name.clone(),
        leaving: false,
        ready: true,
        suspects,
        refuted,
        leaving_backends: Vec::new(),
        pools: Vec::new(),
        successor_of: Vec::new(),
    };
    let frame = NodeFrame {
        sender: name.clone(),
        incarnation: 1,
        data_centre: "d".into(),
        peer: name,
        revision: 0,
        messages: Vec::new(),
    };
    (frame, note)
}
