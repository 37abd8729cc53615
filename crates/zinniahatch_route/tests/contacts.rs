//! Who tells whom that it lives: linear in the fleet, and nobody is left alone.

use proptest::prelude::*;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_route::HeartbeatTargets;

const ROUND: Duration = Duration::from_millis(500);
/// Contacts in each other region.
const FAR: usize = 3;

fn address(region: usize, node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, region as u8, node as u8), 7_000)
}

fn region(number: usize) -> RegionId {
    format!("region-{number}").into()
}

/// A book of the first node of the first region that knows all others from the store.
fn book(regions: usize, nodes: usize) -> HeartbeatTargets {
    let mut book = HeartbeatTargets::new(address(0, 0), &region(0));
    for place in 0..regions {
        for node in 0..nodes {
            book.add(address(place, node), Some(&region(place)));
        }
    }
    book
}

/// Runs rounds in which the nodes for which `lives` holds answer at once; gives the last choice.
fn rounds(
    book: &mut HeartbeatTargets,
    count: u32,
    start: Instant,
    lives: impl Fn(&SocketAddrV4) -> bool,
) -> Vec<SocketAddrV4> {
    let mut chosen = Vec::new();
    for number in 0..count {
        let now = start + ROUND * number;
        chosen = book.next_targets(now);
        for address in chosen.iter().filter(|address| lives(address)) {
            let place = usize::from(address.ip().octets()[2]);
            book.note_received(*address, &region(place), now);
        }
    }
    chosen
}

/// With every node telling every other, 330 nodes sent 130 KB/s each for nothing but being alive. Each
/// tells its own region and three of each other.
#[test]
fn round_grows_with_the_regions() {
    let now = Instant::now();
    let (regions, nodes) = (9, 37);
    let chosen = book(regions, nodes).next_targets(now);
    assert_eq!(chosen.len(), nodes - 1 + (regions - 1) * FAR);
}

/// All three contacts of a region died with their data centre, and its callers were not handed over for
/// as long as nobody else there was asked.
#[test]
fn round_replaces_silent_contacts() {
    let start = Instant::now();
    let mut book = book(2, 8);
    let first: BTreeSet<_> = rounds(&mut book, 2, start, |_| true).into_iter().collect();
    let is_dead = |address: &SocketAddrV4| address.ip().octets()[2] == 1 && first.contains(address);
    let later = rounds(&mut book, 8, start + ROUND * 2, |address| !is_dead(address));
    let far: Vec<_> = later
        .iter()
        .filter(|address| address.ip().octets()[2] == 1)
        .collect();
    assert_eq!(far.len(), FAR);
    assert!(
        far.iter().all(|address| !first.contains(address)),
        "{far:?}"
    );
}

/// A region was cut off for a minute and its nodes were forgotten one by one; after the cut nobody asked
/// there again. They are kept while none of them answers.
#[test]
fn round_finds_a_region_after_a_long_cut() {
    let start = Instant::now();
    let mut book = book(2, 6);
    let cut = |address: &SocketAddrV4| address.ip().octets()[2] != 1;
    rounds(&mut book, 300, start, cut);
    let later = rounds(&mut book, 3, start + ROUND * 300, |_| true);
    let far = later.iter().filter(|address| !cut(address)).count();
    assert_eq!(far, FAR);
}

/// Nodes are replaced all day long, each at a new address; the old ones were told for ever.
#[test]
fn round_forgets_what_was_replaced() {
    let start = Instant::now();
    let mut book = book(1, 10);
    let lives = |address: &SocketAddrV4| address.ip().octets()[3] < 5;
    rounds(&mut book, 200, start, lives);
    assert_eq!(book.len(), 4);
}

proptest! {
    /// Whichever nodes live, the contacts of a region are found among them within a few rounds for each
    /// three that are dead.
    #[test]
    fn round_finds_the_living(living in proptest::collection::btree_set(0_u8..12, 1..12)) {
        let start = Instant::now();
        let mut book = book(2, 12);
        let lives = |address: &SocketAddrV4| living.contains(&address.ip().octets()[3]);
        let chosen = rounds(&mut book, 30, start, lives);
        let far = chosen.iter().filter(|address| address.ip().octets()[2] == 1);
        let found = far.filter(|address| lives(address)).count();
        prop_assert!(found >= 1.min(living.len()), "{chosen:?}");
    }
}
