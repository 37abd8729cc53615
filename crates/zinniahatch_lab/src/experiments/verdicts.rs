//! When a member is judged failed: a node's own suspicion against a majority of reports.
//!
//! The second is the two-stage verdict of the paper on failover in a gossiping cluster that
//! `docs/DESIGN.md` cites. Time is virtual: only the member tables run, no process.

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

/// Members of a data centre at design size.
const MEMBERS: usize = 14;
const HOURS: u64 = 2;
const STEPS_PER_HOUR: u64 = 3_600;
/// Steps before the end at which a member dies.
const DEATH_AT: u64 = 600;
/// Step from which some members do not hear another one that everybody else hears.
const ONE_WAY_FROM: u64 = 600;

#[derive(Debug, Serialize)]
struct VerdictLine {
    case: &'static str,
    policy: &'static str,
    wrong_per_node_hour: f64,
    right_after_seconds: f64,
    never: usize,
}

/// Measures both policies; gives 0, since a wrong verdict breaks no promise.
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
) -> VerdictLine {
    let mut random = StdRng::seed_from_u64(seed);
    let mut tables: Vec<MemberTable> = (0..MEMBERS)
        .map(|index| MemberTable::new(&node(index), policy))
        .collect();
    // One node that some others cannot hear, though it hears them and everyone else hears it.
    let deaf: Vec<usize> = (1..=one_way).collect();
    let mut now = Instant::now();
    let mut judged = vec![vec![false; MEMBERS]; MEMBERS];
    let mut wrong = 0_u64;
    let mut right: Vec<f64> = Vec::new();
    let last = MEMBERS - 1;
    let dies = HOURS * STEPS_PER_HOUR - DEATH_AT;
    for step in 0..HOURS * STEPS_PER_HOUR {
        now += HEARTBEAT_INTERVAL;
        for from in 0..MEMBERS {
            if from == last && step >= dies {
                continue;
            }
            let suspects = tables[from].suspects(now);
            let refuted = tables[from].refuted(now);
            for to in (0..MEMBERS).filter(|to| *to != from) {
                let one_way = step >= ONE_WAY_FROM && from == 0 && deaf.contains(&to);
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
                let dead = subject == last && step >= dies;
                let fresh = failed && !judged[observer][subject];
                judged[observer][subject] = failed;
                if fresh && dead && observer != last {
                    right.push((step - dies) as f64 * HEARTBEAT_INTERVAL.as_secs_f64());
                }
                wrong += u64::from(fresh && !dead && observer != last);
            }
        }
    }
    let never = (MEMBERS - 1).saturating_sub(right.len());
    let mean = if right.is_empty() {
        0.0
    } else {
        right.iter().sum::<f64>() / right.len() as f64
    };
    VerdictLine {
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
