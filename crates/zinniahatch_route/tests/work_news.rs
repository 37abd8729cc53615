//! News of open work between the nodes of a region: how they go, and what it is worth that they are fresh.

mod common;

use common::AskParts;
use common::address;
use common::card;
use common::prompt;
use common::regions;
use common::table;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CachedPrefix;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::CollectorSelector;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::WorkBatch;
use zinniahatch_route::WorkPath;
use zinniahatch_route::WorkUpdate;
use zinniahatch_route::batch_interval;
use zinniahatch_route::choose_local;

const OWN: &str = "n0";

fn work(requests: u32) -> InFlightWork {
    InFlightWork {
        requests,
        ..InFlightWork::default()
    }
}

fn part(origin: ShortTag, number: u32, work: Vec<(ShortTag, InFlightWork)>) -> WorkUpdate {
    WorkUpdate {
        origin,
        number,
        work,
        prefixes: Vec::new(),
    }
}

/// Nodes of a region with the strengths given, each at an address of its own.
fn nodes(strengths: &[u32]) -> Vec<MemberInfo> {
    let card_of = |(index, cpu_share): (usize, &u32)| {
        let mut card = card(&format!("n{}", index + 1), "north", 0, 1);
        card.peer = address(index as u8 + 1);
        card.cpu_share = *cpu_share;
        card
    };
    strengths.iter().enumerate().map(card_of).collect()
}

fn choose(
    book: &CollectorSelector,
    cpu_share: u32,
    nodes: &[MemberInfo],
    now: Instant,
) -> WorkPath {
    let living: Vec<&MemberInfo> = nodes.iter().collect();
    book.choose(&OWN.into(), cpu_share, &living, now)
}

#[test]
fn choose_few_nodes_tell_all() {
    let book = CollectorSelector::default();
    let nodes = nodes(&[100; 8]);
    assert_eq!(choose(&book, 100, &nodes, Instant::now()), WorkPath::All);
}

#[test]
fn choose_strongest_gathers() {
    let book = CollectorSelector::default();
    let mut strengths = [12; 30];
    strengths[17] = 50;
    let nodes = nodes(&strengths);
    let now = Instant::now();
    let strong = WorkPath::Collector(nodes[17].peer);
    assert_eq!(choose(&book, 12, &nodes, now), strong);
    assert_eq!(choose(&book, 80, &nodes, now), WorkPath::Own);
}

/// A collector died. For 1.8 s, until its silence showed in the cards, nobody heard what this node placed,
/// and all others sent to the replicas that it had filled. Cause: nothing told that the news went nowhere.
#[test]
fn choose_silent_collector_is_left() {
    let mut book = CollectorSelector::default();
    let mut strengths = [12; 30];
    strengths[3] = 50;
    strengths[9] = 40;
    let nodes = nodes(&strengths);
    let start = Instant::now();
    let (first, second) = (nodes[3].peer, nodes[9].peer);
    book.note_sent(first, start);
    assert!(!book.drop_unresponsive(start + Duration::from_millis(100)));
    let later = start + Duration::from_millis(200);
    assert!(book.drop_unresponsive(later));
    assert_eq!(
        choose(&book, 12, &nodes, later),
        WorkPath::Collector(second)
    );
    // It is tried again when it had time to come back.
    let back = later + Duration::from_secs(4);
    assert_eq!(choose(&book, 12, &nodes, back), WorkPath::Collector(first));
}

#[test]
fn review_heard_collector_stays() {
    let mut book = CollectorSelector::default();
    let start = Instant::now();
    book.note_sent(address(1), start);
    book.note_forwarded(address(1));
    assert!(!book.drop_unresponsive(start + Duration::from_secs(1)));
}

/// The collector's machine turned five times slower: what it was told was passed on after 75 ms instead of 15.
/// It is kept, since every change of the collector has all open work told anew.
#[test]
fn review_slow_collector_stays() {
    let mut book = CollectorSelector::default();
    let start = Instant::now();
    for round in 0..20 {
        let told = start + Duration::from_millis(100) * round;
        book.note_sent(address(1), told);
        assert!(!book.drop_unresponsive(told + batch_interval(65) * 5));
        book.note_forwarded(address(1));
    }
}

#[test]
fn gatherer_newer_news_replace_older() {
    let mut gatherer = WorkBatch::default();
    gatherer.add(part(1, 5, vec![(7, work(1)), (8, work(1))]));
    gatherer.add(part(1, 6, vec![(7, work(2))]));
    gatherer.add(part(1, 4, vec![(7, work(9))]));
    let (parts, _) = gatherer.take(1_200);
    assert_eq!(parts, [part(1, 6, vec![(7, work(2)), (8, work(1))])]);
    assert!(gatherer.is_empty());
}

#[test_case(40, 2; "in_two_datagrams")]
#[test_case(10, 1; "in_one_datagram")]
fn gatherer_fills_packets(processes: u32, datagrams: usize) {
    let mut gatherer = WorkBatch::default();
    for origin in 0..processes {
        gatherer.add(part(origin, 1, vec![(1, work(1)), (2, work(1))]));
    }
    let mut taken = Vec::new();
    while !gatherer.is_empty() {
        taken.push(gatherer.take(1_200).0);
    }
    assert_eq!(taken.len(), datagrams);
    assert_eq!(taken.concat().len(), processes as usize);
}

/// A part of 64 reads is larger than a packet; it must be told all the same, and alone.
#[test]
fn gatherer_large_part_goes_alone() {
    let mut large = part(1, 1, Vec::new());
    let read = CachedPrefix {
        replica: 1,
        parts: prompt(1, 1).parts,
    };
    large.prefixes = vec![read; 64];
    let mut gatherer = WorkBatch::default();
    gatherer.add(large);
    gatherer.add(part(2, 1, vec![(1, work(1))]));
    assert_eq!(gatherer.take(1_200).0.len(), 1);
    assert_eq!(gatherer.take(1_200).0.len(), 1);
}

/// News that went through a collector arrived after newer ones that came directly, and brought back a
/// request that had ended; the replica looked busy until the next refresh.
#[test]
fn note_work_overtaken_news_do_not_count() {
    let now = Instant::now();
    let mut table = table(&["r"], now);
    let tag = table.get("r").unwrap().tag;
    table.apply_peer_work(5, 2, &[(tag, InFlightWork::default())], now);
    table.apply_peer_work(5, 1, &[(tag, work(3))], now);
    assert_eq!(
        table.get("r").unwrap().total_work(now),
        InFlightWork::default()
    );
    table.apply_peer_work(5, 3, &[(tag, work(3))], now);
    assert_eq!(table.get("r").unwrap().total_work(now), work(3));
}

const NODES: usize = 24;
const REPLICAS: [&str; 24] = [
    "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s",
    "t", "u", "v", "w", "x",
];
/// Time to read a token, as the model's prior has it.
const TOKEN_MS: f64 = 0.025;
const BASE_MS: f64 = 40.0;
const GOAL_MS: f64 = 800.0;
/// Calls a second: two thirds of what the replicas could read if every shared part were read once.
const RATE: u32 = 210;
const CALLS: u32 = 1_500;
const SESSIONS: u32 = 200;

/// One prompt that a replica has to read.
struct OpenRead {
    node: usize,
    ticket: u64,
    work: InFlightWork,
    end_ms: f64,
}

/// A region at its peak: many nodes, each with a table of its own, before replicas that read in order.
struct PeakRegion {
    start: Instant,
    tables: Vec<ReplicaTable>,
    free_at: BTreeMap<ReplicaId, f64>,
    open: BTreeMap<ReplicaId, Vec<OpenRead>>,
    kept: BTreeSet<(ReplicaId, u64)>,
    number: u32,
}

impl PeakRegion {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            tables: vec![table(&REPLICAS, start); NODES],
            free_at: REPLICAS.iter().map(|id| ((*id).into(), 0.0)).collect(),
            open: BTreeMap::new(),
            kept: BTreeSet::new(),
            number: 0,
        }
    }

    fn at(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms / 1e3)
    }

    /// Ends what has been read, each node seeing its own answers.
    fn end_reads(&mut self, ms: f64) {
        for (id, reads) in &mut self.open {
            reads.retain(|read| {
                if read.end_ms > ms {
                    return true;
                }
                self.tables[read.node].note_ended(id, read.ticket, read.work, false);
                false
            });
        }
    }

    /// Tells every node what each other one changed since the last time.
    fn tell(&mut self, ms: f64) {
        let now = self.at(ms);
        self.number += 1;
        for sender in 0..NODES {
            let work = self.tables[sender].take_changed_work(now);
            let reads = self.tables[sender].take_cached_prefixes();
            for (receiver, table) in self.tables.iter_mut().enumerate() {
                if receiver != sender {
                    table.apply_peer_work(sender as ShortTag, self.number, &work, now);
                    table.apply_cached_prefixes(&reads, |_| u64::MAX);
                }
            }
        }
    }

    /// Places one call; gives the time to its first event in ms.
    fn place(&mut self, call: u32, ms: f64) -> f64 {
        let now = self.at(ms);
        let node = (call as usize * 7) % NODES;
        let size = prompt(u64::from(call * 31 % SESSIONS), u64::from(call));
        let parts = AskParts::new(size.clone());
        let mut ask = parts.ask();
        ask.draw = u64::from(call).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let table = &self.tables[node];
        let choice = choose_local(table, &ColdLimiter::default(), &regions(), &ask, now).unwrap();
        let work = InFlightWork {
            requests: 1,
            tokens: choice.tokens,
            ..InFlightWork::default()
        };
        let (id, ticket) = (choice.replica, u64::from(call));
        self.tables[node].note_sent(&id, ticket, &size, work, u64::MAX, now);
        let mut read = size.tokens_in;
        for part in &size.parts[..2] {
            if !self.kept.insert((id.clone(), part.tag)) {
                read -= part.tokens;
            }
        }
        let free = self.free_at.get_mut(&id).unwrap();
        let end_ms = free.max(ms) + f64::from(read) * TOKEN_MS;
        *free = end_ms;
        self.open.entry(id).or_default().push(OpenRead {
            node,
            ticket,
            work,
            end_ms,
        });
        end_ms - ms + BASE_MS
    }
}

/// Counts the calls whose first event comes after the goal where news are told at a pause.
fn late_calls(pause: Duration) -> usize {
    let mut region = PeakRegion::new();
    let pause = pause.as_secs_f64() * 1e3;
    let mut told = 0.0;
    let mut late = 0;
    for call in 0..CALLS {
        let ms = f64::from(call) * 1e3 / f64::from(RATE);
        region.end_reads(ms);
        if ms - told >= pause {
            region.tell(ms);
            told = ms;
        }
        late += usize::from(region.place(call, ms) > GOAL_MS);
    }
    late
}

/// At a regional peak two of five long prompts began late although the replicas could read them all in time.
/// Each of 65 nodes told what it had placed every 180 ms, so that all chose the replica that had been idle.
#[test]
fn peak_fresh_news_keep_prompts_in_time() {
    let old = late_calls(Duration::from_millis(50 + 2 * 65));
    let fresh = late_calls(batch_interval(NODES));
    println!("late of {CALLS}: {old} with news at 180 ms, {fresh} with gathered ones");
    assert!(fresh * 2 < old, "{fresh} of {CALLS} late, {old} before");
}
