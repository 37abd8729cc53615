//! Membership of a large region through relays, simulated with the real tables: heartbeats, rosters
//! and requests for what they name, delivered at once.

mod common;

use common::member_info;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_route::HeartbeatTargets;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::MemberStage;
use zinniahatch_route::MemberTable;
use zinniahatch_route::RelaySet;
use zinniahatch_route::RosterWait;
use zinniahatch_route::StoreDigest;
use zinniahatch_route::StoreProgress;
use zinniahatch_route::choose_relays;

const ROUND: Duration = Duration::from_millis(500);
const SEEDS: usize = 3;
/// Addresses of other nodes in a heartbeat.
const SAMPLED_PEERS: usize = 3;

struct SimulatedNode {
    info: MemberInfo,
    members: MemberTable,
    targets: HeartbeatTargets,
    wait: RosterWait,
    relays: Option<RelaySet>,
    running: bool,
    received: usize,
}

/// A region whose nodes exchange datagrams without loss or delay, except across a cut.
struct SimulatedRegion {
    nodes: Vec<SimulatedNode>,
    now: Instant,
    draws: StdRng,
    /// Nodes below this number and the others cannot reach each other.
    cut_at: Option<usize>,
}

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), 7_000)
}

fn number_of(address: SocketAddrV4) -> usize {
    (address.ip().to_bits() - 0x0a00_0000) as usize
}

/// Returns a node of one of two data centres; every sixteenth has a large machine.
fn member(number: usize) -> MemberInfo {
    MemberInfo {
        incarnation: number as u64,
        data_centre: ["a", "b"][number % 2].into(),
        cpu_share: if number % 16 < 2 { 50 } else { 12 },
        front: address(number),
        peer: address(number),
        services: BTreeMap::new(),
        ..member_info(&format!("node-{number}"), "north", 0, 0)
    }
}

impl SimulatedRegion {
    /// Creates nodes that know three seeds each.
    fn starting(count: usize) -> Self {
        let nodes = (0..count).map(|number| {
            let mut targets = HeartbeatTargets::new(address(number), &"north".into());
            for seed in 0..SEEDS {
                targets.add(address(seed * 7), None);
            }
            SimulatedNode {
                info: member(number),
                members: MemberTable::default(),
                targets,
                wait: RosterWait::default(),
                relays: None,
                running: true,
                received: 0,
            }
        });
        Self {
            nodes: nodes.collect(),
            now: Instant::now(),
            draws: StdRng::seed_from_u64(1),
            cut_at: None,
        }
    }

    /// Creates nodes that all know each other.
    fn established(count: usize) -> Self {
        let mut region = Self::starting(count);
        for _ in 0..8 {
            region.run_round();
        }
        region
    }

    fn connects(&self, from: usize, to: usize) -> bool {
        let cut = self.cut_at.is_some_and(|at| (from < at) != (to < at));
        self.nodes[to].running && !cut
    }

    /// Runs one heartbeat interval, within which the nodes act at different times.
    fn run_round(&mut self) {
        let step = ROUND / self.nodes.len() as u32;
        for number in 0..self.nodes.len() {
            self.now += step;
            if self.nodes[number].running {
                self.act(number);
            }
            // The answers to the requests that a node sent 0.4 of an interval ago are due.
            let count = self.nodes.len();
            let earlier = (number + count - count * 2 / 5) % count;
            let node = &mut self.nodes[earlier];
            if node.running && node.wait.is_overdue(self.now) {
                let targets = node.targets.next_targets(self.now);
                self.send_heartbeats(earlier, targets);
            }
        }
    }

    fn act(&mut self, number: usize) {
        let (now, random) = (self.now, self.draws.random());
        let node = &mut self.nodes[number];
        node.members.tick(now);
        node.relays = choose_relays(&node.members, &node.info, now);
        let relays = node.relays.clone();
        let targets = match relays.as_ref().filter(|_| !node.wait.is_overdue(now)) {
            None => node.targets.next_targets(now),
            Some(relays) => {
                let recent = node.members.recent_in("north", now);
                let live: BTreeSet<_> = recent.into_iter().map(|(info, _)| info.peer).collect();
                let is_live = |address| live.contains(&address);
                node.targets
                    .next_targets_by_relays(&relays.all, is_live, random, now)
            }
        };
        self.send_heartbeats(number, targets);
        let sources: Vec<SocketAddrV4> = if let Some(relays) = relays {
            self.nodes[number].wait.note_requested(now);
            relays.roster_sources.into_iter().collect()
        } else {
            let known = self.nodes[number].members.recent_in("north", now);
            let first = known.into_iter().take(2);
            first.map(|(info, _)| info.peer).collect()
        };
        for source in sources.into_iter().map(number_of) {
            if self.connects(number, source) {
                self.send_roster(source, number);
            }
        }
    }

    fn send_heartbeats(&mut self, number: usize, targets: Vec<SocketAddrV4>) {
        for target in targets.into_iter().map(number_of) {
            if self.connects(number, target) {
                self.send_heartbeat(number, target);
                self.send_heartbeat(target, number);
            }
        }
    }

    fn send_heartbeat(&mut self, from: usize, to: usize) {
        let info = self.nodes[from].info.clone();
        let known: Vec<SocketAddrV4> = self.nodes[from]
            .members
            .known()
            .map(|member| member.peer)
            .collect();
        let node = &mut self.nodes[to];
        node.received += 1;
        node.targets
            .note_received(info.peer, &info.region, self.now);
        node.members.update(info, false, self.now);
        for _ in 0..SAMPLED_PEERS.min(known.len()) {
            let peer = known[self.draws.random_range(0..known.len())];
            node.targets.add(peer, Some(&"north".into()));
        }
    }

    fn send_roster(&mut self, from: usize, to: usize) {
        let now = self.now;
        let sender = &self.nodes[from];
        let parts = sender.members.roster(&sender.info, Duration::ZERO, now);
        for part in parts {
            let own = self.nodes[to].info.tag();
            let node = &mut self.nodes[to];
            node.received += 1;
            node.wait.note_received();
            let unknown = node.members.apply_roster(&part, own, now);
            let sender = &self.nodes[from];
            let mut infos = sender.members.infos_by_tag(&unknown);
            if unknown.contains(&sender.info.tag()) {
                infos.push(sender.info.clone());
            }
            let node = &mut self.nodes[to];
            for info in infos {
                node.targets.add(info.peer, Some(&info.region));
                node.members.learn(info);
            }
        }
    }

    /// Returns the smallest number of live others that a running node knows.
    fn least_known(&self) -> usize {
        let running = self.nodes.iter().filter(|node| node.running);
        let known = running.map(|node| node.members.live_in("north", self.now).len());
        known.min().unwrap_or(0)
    }

    fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.running).count()
    }

    /// Returns the numbers of all nodes that any running node uses as a relay.
    fn relays(&self) -> BTreeSet<usize> {
        let running = self.nodes.iter().filter(|node| node.running);
        let sets = running.filter_map(|node| node.relays.as_ref());
        sets.flat_map(|relays| relays.all.iter().map(|address| number_of(*address)))
            .collect()
    }
}

/// Guards against nodes that stay unknown after all nodes of a large region started at once.
#[test]
fn region_starts_within_three_seconds() {
    let mut region = SimulatedRegion::starting(150);
    for _ in 0..6 {
        region.run_round();
    }
    assert_eq!(region.least_known(), 149);
}

/// Guards against heartbeats from every node to every other, of which each node received 660 a
/// second in a region of 330 nodes.
#[test]
fn datagrams_of_a_node_do_not_grow_with_the_region() {
    let mut most = Vec::new();
    for count in [100, 200] {
        let mut region = SimulatedRegion::established(count);
        for node in &mut region.nodes {
            node.received = 0;
        }
        for _ in 0..4 {
            region.run_round();
        }
        let relays = region.relays();
        let others = region.nodes.iter().enumerate();
        let others = others.filter(|(number, _)| !relays.contains(number));
        most.push(others.map(|(_, node)| node.received).max().unwrap_or(0));
        assert!(relays.len() <= 4, "relays: {relays:?}");
        assert_eq!(region.least_known(), count - 1);
    }
    // A roster takes one more datagram for every 150 nodes.
    assert!(most[1] <= most[0] * 2, "{most:?}");
    assert!(most[1] <= 4 * 12, "{most:?}");
}

/// Guards against a region whose nodes take each other for dead because all relays failed at once:
/// everything that they knew of each other came through these.
#[test]
fn loss_of_all_relays_hides_no_node() {
    let mut region = SimulatedRegion::established(120);
    let relays = region.relays();
    assert!(!relays.is_empty());
    for number in &relays {
        region.nodes[*number].running = false;
    }
    for _ in 0..12 {
        region.run_round();
        assert!(region.least_known() + 1 >= region.running());
    }
    assert_eq!(region.least_known(), region.running() - 1);
    assert!(region.relays().is_disjoint(&relays));
}

/// Guards against callers that are sent to a node which ended: its loss is known everywhere within
/// three seconds.
#[test]
fn loss_is_known_within_three_seconds() {
    let mut region = SimulatedRegion::established(120);
    let lost = (0..120).find(|number| !region.relays().contains(number));
    region.nodes[lost.expect("not all nodes are relays")].running = false;
    for _ in 0..6 {
        region.run_round();
    }
    for node in region.nodes.iter().filter(|node| node.running) {
        assert_eq!(node.members.live_in("north", region.now).len(), 118);
    }
}

/// Guards against halves of a region that never find each other again after a long cut.
#[test]
fn region_joins_after_cut() {
    let mut region = SimulatedRegion::established(120);
    region.cut_at = Some(60);
    for _ in 0..70 {
        region.run_round();
    }
    assert_eq!(region.least_known(), 59);
    region.cut_at = None;
    for _ in 0..6 {
        region.run_round();
    }
    assert_eq!(region.least_known(), 119);
}

/// Guards against a roster that makes a node look fresher than it is, or takes back a stage that the
/// node announced itself.
#[test]
fn roster_neither_refreshes_nor_reverts() {
    let now = Instant::now();
    let mut relay = MemberTable::default();
    relay.update(member(1), false, now);
    let later = now + Duration::from_secs(1);
    let mut table = MemberTable::default();
    let leaving = MemberInfo {
        stage: MemberStage::Leaving,
        ..member(1)
    };
    table.update(leaving, false, now);
    for part in relay.roster(&member(2), Duration::ZERO, later) {
        let unknown = table.apply_roster(&part, member(3).tag(), later);
        assert_eq!(unknown, [member(2).tag()]);
    }
    assert_eq!(table.live_in("north", later).len(), 0);
    let expired = now + Duration::from_millis(1_900);
    assert_eq!(table.leaving_in("north", now).len(), 1);
    assert_eq!(table.leaving_in("north", expired).len(), 0);
}

/// Guards against store readers that are not known as such, since another part of the roster names them:
/// their nodes would each read the store.
#[test]
fn roster_tells_of_readers_in_every_part() {
    let now = Instant::now();
    let reader = |number| MemberInfo {
        store_digest: Some(StoreDigest {
            replicas: 7,
            rules: 8,
        }),
        store_progress: Some(StoreProgress {
            replicas: 9.into(),
            rules: 10.into(),
        }),
        ..member(number)
    };
    let (mut relay, mut table) = (MemberTable::default(), MemberTable::default());
    for number in 2..400 {
        relay.update(reader(number), false, now);
        table.update(member(number), false, now);
    }
    let later = now + Duration::from_secs(1);
    for number in 2..400 {
        relay.update(reader(number), false, later);
    }
    let parts = relay.roster(&member(1), Duration::ZERO, later);
    assert!(parts.len() > 1);
    for part in parts {
        table.apply_roster(&part, member(0).tag(), later);
    }
    let mut known = table.known();
    let unknown = known.find(|info| info.store_digest.is_none() || info.store_progress.is_none());
    assert_eq!(unknown, None);
}
