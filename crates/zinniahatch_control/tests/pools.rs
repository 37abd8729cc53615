//! Focused tests of slot leases under failures.

#[allow(dead_code, reason = "each test file uses a part of the fake")]
mod fake;

use fake::FakeNet;
use fake::name;
use std::time::Duration;
use zinniahatch_base::tag_of;
use zinniahatch_control::BackendMark;
use zinniahatch_control::Placement;

const LONG: Duration = Duration::from_secs(600);
const START: Duration = Duration::from_secs(4);

fn settled(nodes: usize, replicas: usize, slots: u16) -> FakeNet {
    let mut net = FakeNet::new(nodes, replicas, slots);
    net.run(START);
    net
}

fn keeper_of(net: &FakeNet) -> usize {
    let node = net.nodes.iter().flatten().next().expect("a node lives");
    let keeper = node
        .holder()
        .keeper("llm")
        .expect("the pool has a keeper")
        .clone();
    (0..net.nodes.len())
        .find(|index| *name(*index) == *keeper)
        .expect("the keeper is a node")
}

#[test]
fn place_whole_capacity_from_one_node() {
    let mut net = settled(3, 2, 4);
    for _ in 0..8 {
        net.ask(0, "a", LONG);
    }
    net.run(Duration::from_secs(2));
    assert_eq!(
        net.running().len(),
        8,
        "slots that lie idle on other nodes are recalled"
    );
}

#[test]
fn place_beyond_capacity_waits_for_a_free_slot() {
    let mut net = settled(2, 1, 2);
    for _ in 0..3 {
        net.ask(0, "a", LONG);
    }
    net.run(Duration::from_secs(2));
    assert_eq!((net.running().len(), net.waiting()), (2, 1));
    let first = net.running()[0];
    net.finish(first);
    net.run(Duration::from_secs(1));
    assert_eq!((net.running().len(), net.waiting()), (2, 0));
}

/// An operator sees a node die while all is busy: callers of the other nodes must not stall.
/// The node that died was the keeper of the pool. The others still hold leases and go on
/// at once; the next keeper hears what they hold and gives out the dead node's slots.
#[test]
fn place_after_keeper_death_goes_on() {
    let mut net = settled(3, 3, 4);
    let keeper = keeper_of(&net);
    let other = (keeper + 1) % 3;
    net.kill(keeper);
    let number = net.ask(other, "a", LONG).expect("the node lives");
    assert!(
        matches!(net.requests[&number].outcome, Some(Placement::Run(_))),
        "a held lease needs no keeper"
    );
    for _ in 0..11 {
        net.ask(other, "a", LONG);
    }
    net.run(Duration::from_secs(12));
    assert_eq!(
        net.running().len(),
        12,
        "the next keeper gives out all slots"
    );
}

/// Backend servers get double load although no lease has lapsed. The keeper froze for six seconds
/// with its requests in progress; the others judged it failed and one took the pool over. What
/// nobody reported must count as held by the silent one until its lease has lapsed.
#[test]
fn place_while_keeper_is_silent_leaves_it_its_slots() {
    let mut net = settled(3, 2, 4);
    let keeper = keeper_of(&net);
    for _ in 0..8 {
        net.ask(keeper, "a", LONG);
    }
    net.run(Duration::from_secs(2));
    assert_eq!(
        net.running().len(),
        8,
        "the keeper's own node uses every slot"
    );
    for other in (0..3).filter(|other| *other != keeper) {
        for _ in 0..4 {
            net.ask(other, "b", LONG);
        }
    }
    net.run_frozen(keeper, Duration::from_secs(6));
    assert!(
        net.load().values().all(|load| *load <= 4),
        "{:?}",
        net.load()
    );
}

/// Callers see double load on a backend server after a pause. A node was frozen longer than its
/// lease; the keeper gave its slots to others; on waking, it would use them again. It looks at
/// the age of its last echoed heartbeat first, and starts nothing.
#[test]
fn place_after_lapsed_lease_starts_nothing() {
    let mut net = settled(2, 1, 4);
    let keeper = keeper_of(&net);
    let frozen = 1 - keeper;
    net.cut.insert((frozen, keeper));
    net.cut.insert((keeper, frozen));
    // The frozen node does not tick; only the keeper does.
    let node = net.nodes[frozen].take();
    net.run(Duration::from_secs(9));
    for _ in 0..4 {
        net.ask(keeper, "a", LONG);
    }
    net.run(Duration::from_secs(1));
    assert_eq!(
        net.running().len(),
        4,
        "the keeper has given the lapsed slots out"
    );
    net.nodes[frozen] = node;
    let woken = net.nodes[frozen].as_mut().expect("the node is back");
    woken.tick(net.now);
    let held: u32 = woken
        .holder()
        .slots("llm")
        .values()
        .map(|slot| u32::from(slot.limit))
        .sum();
    assert_eq!(held, 0, "the lease lapsed while the node was frozen");
}

/// A caller waits although a backend server is idle, for as long as an old keeper's word stands.
/// A keeper called every backend server unusable, then another member took the pool over. Marks
/// of a keeper that no longer keeps the pool must not count.
#[test]
fn place_after_keeper_change_forgets_old_marks() {
    let mut net = settled(3, 1, 4);
    let keeper = keeper_of(&net);
    let tag = tag_of("r0");
    let now = net.now;
    net.nodes[keeper]
        .as_mut()
        .expect("the keeper lives")
        .backends_mut()
        .mark(now, tag, BackendMark::Leaving);
    net.run(Duration::from_secs(2));
    let other = (keeper + 1) % 3;
    let refused = net.ask(other, "a", LONG).expect("the node lives");
    assert!(
        net.requests[&refused].ticket.is_none(),
        "the leaving backend server gets no work"
    );
    net.kill(keeper);
    net.run(Duration::from_secs(30));
    assert!(
        net.requests[&refused].ticket.is_some(),
        "the mark went with the keeper and its own time"
    );
}

/// A backend server that leaves runs new work seconds later. One node heard of the leaving; the
/// others still hold slots there. The mark travels with the next heartbeat to all of them.
#[test]
fn place_on_leaving_backend_stops_everywhere() {
    let mut net = settled(3, 2, 4);
    let now = net.now;
    net.nodes[0]
        .as_mut()
        .expect("the node lives")
        .backends_mut()
        .mark(now, tag_of("r0"), BackendMark::Leaving);
    net.run(Duration::from_secs(2));
    for node in 0..3 {
        for _ in 0..2 {
            net.ask(node, "a", LONG);
        }
    }
    net.run(Duration::from_secs(2));
    assert_eq!(net.load().get("r0"), None, "no node gives it new work");
    assert_eq!(net.load().get("r1"), Some(&4));
}

/// One account floods and everyone else waits behind it. The flood came first and fills every
/// slot; the others ask later. As slots come free, they go to those below their share.
#[test]
fn shares_under_flood_reach_the_fair_part() {
    let mut net = settled(2, 2, 6);
    for _ in 0..60 {
        net.ask(0, "flood", LONG);
    }
    net.run(Duration::from_secs(1));
    for node in 0..2 {
        for account in ["quiet-1", "quiet-2"] {
            for _ in 0..2 {
                net.ask(node, account, LONG);
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
        .filter_map(|request| request.ticket.as_ref())
        .filter(|ticket| ticket.tenant == quiet)
        .count();
    assert!(
        ran >= 3,
        "a quiet account gets its part of 4 of 12 slots, it has {ran}"
    );
}

/// A request waits until its deadline although it was lost from the start. The wait is known to
/// pass the deadline when the request comes. It is refused at once, with a time to come back.
#[test]
fn place_beyond_deadline_refuses_at_once() {
    let mut net = settled(1, 1, 1);
    for _ in 0..4 {
        net.ask(0, "a", LONG);
    }
    net.run(Duration::from_secs(1));
    let late = net
        .ask(0, "a", Duration::from_millis(500))
        .expect("the node lives");
    let outcome = net.requests[&late].outcome.clone();
    assert!(
        matches!(outcome, Some(Placement::Refuse(_, after)) if after > Duration::ZERO),
        "{outcome:?}"
    );
}

/// A caller of a VM that was just replaced waits until its deadline. The request came before the
/// node knew the keeper of the pool, and was put in a queue that did not exist. Found by fuzzing.
#[test]
fn place_before_keeper_known_is_not_forgotten() {
    let mut net = settled(3, 1, 4);
    net.kill(0);
    net.start(0, 3);
    let early = net.ask(0, "a", LONG).expect("the node lives");
    net.run(Duration::from_secs(12));
    assert!(net.requests[&early].ticket.is_some());
}

/// A replaced VM gets no slots for a minute although every link works. It restarted behind a
/// one-way link; the keeper went on sending numbered heartbeats to its name, and on hearing the
/// new process began again at 1. The new process took those for overtaken frames. Found by fuzzing.
#[test]
fn place_after_healed_one_way_cut_finds_slots() {
    let mut net = settled(3, 3, 4);
    net.run(Duration::from_secs(7));
    net.kill(2);
    net.run(Duration::from_millis(950));
    for keeper in 0..2 {
        net.cut.insert((2, keeper));
    }
    net.start(2, 3);
    net.run(Duration::from_secs(6));
    let number = net.ask(2, "a", LONG).expect("the node lives");
    net.cut.clear();
    net.run(Duration::from_secs(20));
    assert!(net.requests[&number].ticket.is_some());
}

/// A report looks complete although the last counts of a process are gone. It died and was replaced
/// under the same name before its silence was judged, so nobody noted a death.
#[test]
fn tick_names_the_death_of_a_replaced_process() {
    let mut net = settled(3, 1, 4);
    let before = net.nodes[2]
        .as_ref()
        .expect("the node lives")
        .identity()
        .incarnation;
    net.kill(2);
    net.run(Duration::from_millis(500));
    net.start(2, 3);
    net.run(Duration::from_secs(3));
    let deaths: Vec<_> = net
        .deaths
        .iter()
        .filter(|(node, incarnation)| **node == *name(2) && *incarnation == before)
        .collect();
    assert_eq!(
        deaths.len(),
        2,
        "both others know that the process before is dead: {:?}",
        net.deaths
    );
}
