//! Selection of heartbeat targets: the cost grows linearly with the fleet, and every region stays
//! known.

use proptest::prelude::*;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_route::HeartbeatTargets;

const ROUND: Duration = Duration::from_millis(500);
/// Contacts in each other region.
const REMOTE_CONTACTS: usize = 3;

fn address(region: usize, node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, region as u8, node as u8), 7_000)
}

fn region(number: usize) -> RegionId {
    format!("region-{number}").into()
}

/// Creates the targets of the first node of the first region, which knows all others from the
/// store.
fn heartbeat_targets(regions: usize, nodes: usize) -> HeartbeatTargets {
    let mut targets = HeartbeatTargets::new(address(0, 0), &region(0));
    for region_index in 0..regions {
        for node in 0..nodes {
            targets.add(address(region_index, node), Some(&region(region_index)));
        }
    }
    targets
}

/// Runs polls in which the nodes accepted by `responds` reply at once; returns the last targets.
fn run_polls(
    targets: &mut HeartbeatTargets,
    count: u32,
    start: Instant,
    responds: impl Fn(&SocketAddrV4) -> bool,
) -> Vec<SocketAddrV4> {
    let mut chosen = Vec::new();
    for number in 0..count {
        let now = start + ROUND * number;
        chosen = targets.next_targets(now);
        for address in chosen.iter().filter(|address| responds(address)) {
            let region_index = usize::from(address.ip().octets()[2]);
            targets.note_received(*address, &region(region_index), now);
        }
    }
    chosen
}

/// Guards against heartbeats from every node to every other: 330 nodes sent 130 KB/s each for them
/// alone. Each node sends to its own region and to three nodes of each other region.
#[test]
fn next_targets_grow_with_regions() {
    let now = Instant::now();
    let (regions, nodes) = (9, 37);
    let chosen = heartbeat_targets(regions, nodes).next_targets(now);
    assert_eq!(chosen.len(), nodes - 1 + (regions - 1) * REMOTE_CONTACTS);
}

/// Guards against contacts that fail together: all three contacts of a region failed with their
/// data centre, and its callers were not handed over as long as no other node there was polled.
#[test]
fn next_targets_replace_silent_contacts() {
    let start = Instant::now();
    let mut targets = heartbeat_targets(2, 8);
    let first: BTreeSet<_> = run_polls(&mut targets, 2, start, |_| true)
        .into_iter()
        .collect();
    let down = |address: &SocketAddrV4| address.ip().octets()[2] == 1 && first.contains(address);
    let later = run_polls(&mut targets, 8, start + ROUND * 2, |address| !down(address));
    let remote: Vec<_> = later
        .iter()
        .filter(|address| address.ip().octets()[2] == 1)
        .collect();
    assert_eq!(remote.len(), REMOTE_CONTACTS);
    assert!(
        remote.iter().all(|address| !first.contains(address)),
        "{remote:?}"
    );
}

/// Guards against forgetting a region during a long partition: after a minute all its nodes had
/// been dropped one by one, and none was polled once the partition healed. They are kept while none
/// of them replies.
#[test]
fn next_targets_rediscover_region_after_partition() {
    let start = Instant::now();
    let mut targets = heartbeat_targets(2, 6);
    let is_reachable = |address: &SocketAddrV4| address.ip().octets()[2] != 1;
    run_polls(&mut targets, 300, start, is_reachable);
    let later = run_polls(&mut targets, 3, start + ROUND * 300, |_| true);
    let remote = later
        .iter()
        .filter(|address| !is_reachable(address))
        .count();
    assert_eq!(remote, REMOTE_CONTACTS);
}

/// Guards against polling replaced nodes forever: nodes are replaced all day, each at a new
/// address.
#[test]
fn next_targets_drop_replaced_nodes() {
    let start = Instant::now();
    let mut targets = heartbeat_targets(1, 10);
    let responds = |address: &SocketAddrV4| address.ip().octets()[3] < 5;
    run_polls(&mut targets, 200, start, responds);
    assert_eq!(targets.len(), 4);
}

proptest! {
    /// Whichever nodes are live, contacts among them are found within a few polls per three dead
    /// ones.
    #[test]
    fn next_targets_find_live_nodes(living in proptest::collection::btree_set(0_u8..12, 1..12)) {
        let start = Instant::now();
        let mut targets = heartbeat_targets(2, 12);
        let responds = |address: &SocketAddrV4| living.contains(&address.ip().octets()[3]);
        let chosen = run_polls(&mut targets, 30, start, responds);
        let remote = chosen.iter().filter(|address| address.ip().octets()[2] == 1);
        let found = remote.filter(|address| responds(address)).count();
        prop_assert!(found >= 1.min(living.len()), "{chosen:?}");
    }
}
