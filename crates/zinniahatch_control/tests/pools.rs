//! Slot leases under failures of nodes, links and backend servers.

#[allow(dead_code, reason = "each test file uses a part of the fake")]
mod fake;

use fake::FakeNet;
use fake::name;
use std::time::Duration;
use zinniahatch_base::tag_of;
use zinniahatch_control::BackendStatus;
use zinniahatch_control::Placement;

const LONG: Duration = Duration::from_secs(600);
const START: Duration = Duration::from_secs(4);

fn settled(nodes: usize, replicas: usize, slots: u16) -> FakeNet {
    let mut net = FakeNet::new(nodes, replicas, slots);
    net.run(START);
    net
}

fn coordinator_of(net: &FakeNet) -> usize {
    let node = net.nodes.iter().flatten().next().expect("a node is alive");
    let coordinator = node
        .leases()
        .coordinator("llm")
        .expect("the pool has a coordinator")
        .clone();
    (0..net.nodes.len())
        .find(|index| *name(*index) == *coordinator)
        .expect("the coordinator is a node")
}

#[test]
fn place_whole_capacity_from_one_node() {
    let mut net = settled(3, 2, 4);
    for _ in 0..8 {
        net.submit(0, "a", LONG);
    }
    net.run(Duration::from_secs(2));
    assert_eq!(
        net.running().len(),
        8,
        "idle slots of other nodes must be reclaimed"
    );
}

#[test]
fn place_beyond_capacity_waits_for_a_free_slot() {
    let mut net = settled(2, 1, 2);
    for _ in 0..3 {
        net.submit(0, "a", LONG);
    }
    net.run(Duration::from_secs(2));
    assert_eq!((net.running().len(), net.waiting()), (2, 1));
    let first = net.running()[0];
    net.finish(first);
    net.run(Duration::from_secs(1));
    assert_eq!((net.running().len(), net.waiting()), (2, 0));
}

/// Guards against callers stalling when the coordinator of a busy pool dies. The other nodes
/// still hold leases and continue at once; the next coordinator receives their reports and grants
/// the dead node's slots.
#[test]
fn place_after_coordinator_death_continues() {
    let mut net = settled(3, 3, 4);
    let coordinator = coordinator_of(&net);
    let other = (coordinator + 1) % 3;
    net.kill(coordinator);
    let number = net.submit(other, "a", LONG).expect("the node is alive");
    assert!(
        matches!(net.requests[&number].outcome, Some(Placement::Run(_))),
        "a valid lease does not need the coordinator"
    );
    for _ in 0..11 {
        net.submit(other, "a", LONG);
    }
    net.run(Duration::from_secs(12));
    assert_eq!(
        net.running().len(),
        12,
        "the next coordinator must grant all slots"
    );
}

/// Guards against double load on backend servers while no lease has expired. The coordinator froze
/// for six seconds with requests in progress; the others considered it failed and one took over.
/// Unreported slots must count as held by the silent node until its lease has expired.
#[test]
fn place_while_coordinator_is_silent_reserves_its_slots() {
    let mut net = settled(3, 2, 4);
    let coordinator = coordinator_of(&net);
    for _ in 0..8 {
        net.submit(coordinator, "a", LONG);
    }
    net.run(Duration::from_secs(2));
    assert_eq!(
        net.running().len(),
        8,
        "the coordinator itself uses every slot"
    );
    for other in (0..3).filter(|other| *other != coordinator) {
        for _ in 0..4 {
            net.submit(other, "b", LONG);
        }
    }
    net.run_frozen(coordinator, Duration::from_secs(6));
    assert!(
        net.load().values().all(|load| *load <= 4),
        "{:?}",
        net.load()
    );
}

/// Guards against double load on a backend server after a pause. A node was frozen for longer
/// than its lease and the coordinator granted its slots to others. After the pause it must check
/// the age of its last echoed heartbeat and start nothing.
#[test]
fn place_after_expired_lease_starts_nothing() {
    let mut net = settled(2, 1, 4);
    let coordinator = coordinator_of(&net);
    let frozen = 1 - coordinator;
    net.cut.insert((frozen, coordinator));
    net.cut.insert((coordinator, frozen));
    // Only the coordinator ticks; the frozen node does not.
    let node = net.nodes[frozen].take();
    net.run(Duration::from_secs(9));
    for _ in 0..4 {
        net.submit(coordinator, "a", LONG);
    }
    net.run(Duration::from_secs(1));
    assert_eq!(
        net.running().len(),
        4,
        "the coordinator must grant the slots of the expired lease"
    );
    net.nodes[frozen] = node;
    let woken = net.nodes[frozen]
        .as_mut()
        .expect("the node is running again");
    woken.tick(net.now);
    let held: u32 = woken
        .leases()
        .slots("llm")
        .values()
        .map(|slot| u32::from(slot.limit))
        .sum();
    assert_eq!(held, 0, "the lease expired while the node was frozen");
}

/// Guards against requests queueing for an idle backend server. A coordinator reported every
/// backend server as unusable, then another member took over the pool. Reports of the previous
/// coordinator must no longer count.
#[test]
fn place_after_coordinator_change_clears_old_statuses() {
    let mut net = settled(3, 1, 4);
    let coordinator = coordinator_of(&net);
    let tag = tag_of("r0");
    let now = net.now;
    net.nodes[coordinator]
        .as_mut()
        .expect("the coordinator is alive")
        .backends_mut()
        .set_status(now, tag, BackendStatus::Leaving);
    net.run(Duration::from_secs(2));
    let other = (coordinator + 1) % 3;
    let refused = net.submit(other, "a", LONG).expect("the node is alive");
    assert!(
        net.requests[&refused].permit.is_none(),
        "the leaving backend server must get no work"
    );
    net.kill(coordinator);
    net.run(Duration::from_secs(30));
    assert!(
        net.requests[&refused].permit.is_some(),
        "the status must not outlive its coordinator and its own expiry"
    );
}

/// Guards against new work on a leaving backend server. One node learned that it is leaving while
/// the others still hold slots there; the next heartbeat must carry the status to all of them.
#[test]
fn place_on_leaving_backend_stops_everywhere() {
    let mut net = settled(3, 2, 4);
    let now = net.now;
    net.nodes[0]
        .as_mut()
        .expect("the node is alive")
        .backends_mut()
        .set_status(now, tag_of("r0"), BackendStatus::Leaving);
    net.run(Duration::from_secs(2));
    for node in 0..3 {
        for _ in 0..2 {
            net.submit(node, "a", LONG);
        }
    }
    net.run(Duration::from_secs(2));
    assert_eq!(net.load().get("r0"), None, "no node may send it new work");
    assert_eq!(net.load().get("r1"), Some(&4));
}

/// Guards against one account starving all others. Its burst came first and fills every slot; the
/// others send requests later. Slots that become free must go to tenants below their share.
#[test]
fn shares_under_burst_are_fair() {
    let mut net = settled(2, 2, 6);
    for _ in 0..60 {
        net.submit(0, "flood", LONG);
    }
    net.run(Duration::from_secs(1));
    for node in 0..2 {
        for account in ["quiet-1", "quiet-2"] {
            for _ in 0..2 {
                net.submit(node, account, LONG);
            }
        }
    }
    for _ in 0..14 {
        let oldest = net.running()[0];
        net.finish(oldest);
        net.run(Duration::from_millis(500));
    }
    let quiet = tag_of("quiet-1/interactive");
    let ran = net
        .requests
        .values()
        .filter_map(|request| request.permit.as_ref())
        .filter(|permit| permit.tenant == quiet)
        .count();
    assert!(
        ran >= 3,
        "a quiet account must get its share of 4 of 12 slots, but ran {ran}"
    );
}

/// Guards against queueing a request that cannot meet its deadline. The expected wait exceeds the
/// deadline on arrival, so the request must be refused at once, with a retry time.
#[test]
fn place_beyond_deadline_refuses_at_once() {
    let mut net = settled(1, 1, 1);
    for _ in 0..4 {
        net.submit(0, "a", LONG);
    }
    net.run(Duration::from_secs(1));
    let late = net
        .submit(0, "a", Duration::from_millis(500))
        .expect("the node is alive");
    let outcome = net.requests[&late].outcome.clone();
    assert!(
        matches!(outcome, Some(Placement::Refuse(_, after)) if after > Duration::ZERO),
        "{outcome:?}"
    );
}

/// Guards against a request on a new node waiting until its deadline. It arrived before the node
/// knew the coordinator of the pool and was put in a queue that did not exist.
#[test]
fn place_before_coordinator_known_is_not_lost() {
    let mut net = settled(3, 1, 4);
    net.kill(0);
    net.start(0, 3);
    let early = net.submit(0, "a", LONG).expect("the node is alive");
    net.run(Duration::from_secs(12));
    assert!(net.requests[&early].permit.is_some());
}

/// Guards against a restarted node getting no slots for a minute although every link works. It
/// restarted behind a one-way link while the others continued to send it numbered heartbeats.
/// When they received its first heartbeat, they restarted at number 1, and the node dropped
/// those heartbeats as reordered.
#[test]
fn place_after_healed_one_way_cut_finds_slots() {
    let mut net = settled(3, 3, 4);
    net.run(Duration::from_secs(7));
    net.kill(2);
    net.run(Duration::from_millis(950));
    for other in 0..2 {
        net.cut.insert((2, other));
    }
    net.start(2, 3);
    net.run(Duration::from_secs(6));
    let number = net.submit(2, "a", LONG).expect("the node is alive");
    net.cut.clear();
    net.run(Duration::from_secs(20));
    assert!(net.requests[&number].permit.is_some());
}

/// Guards against a usage report that looks complete although the last counts of a process are
/// lost. The process died and was replaced under the same name before its silence was detected,
/// so no failure was recorded.
#[test]
fn tick_reports_failure_of_replaced_process() {
    let mut net = settled(3, 1, 4);
    let before = net.nodes[2]
        .as_ref()
        .expect("the node is alive")
        .identity()
        .incarnation;
    net.kill(2);
    net.run(Duration::from_millis(500));
    net.start(2, 3);
    net.run(Duration::from_secs(3));
    let failed: Vec<_> = net
        .failed
        .iter()
        .filter(|(node, incarnation)| **node == *name(2) && *incarnation == before)
        .collect();
    assert_eq!(
        failed.len(),
        2,
        "both other nodes must report the failure of the old process: {:?}",
        net.failed
    );
}
