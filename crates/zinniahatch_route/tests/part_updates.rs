//! Updates on suspect prompt parts between nodes over links that lose, delay and repeat datagrams:
//! the exchange ends, and the nodes agree.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_route::CrashWitness;
use zinniahatch_route::PartSuspectTable;
use zinniahatch_route::PartUpdate;
use zinniahatch_route::ScopedPart;

const SCOPE: u32 = 7;
const REGIONS: usize = 3;
const NODES: usize = 9;
const STEP: Duration = Duration::from_millis(50);
/// Steps between two heartbeats of a node.
const HEARTBEAT_STEPS: u32 = 10;
/// Time in which replicas crash.
const CRASH_TIME: Duration = Duration::from_secs(8);
/// Time after the last crash by which the nodes know the same and send nothing more.
const REST_TIME: Duration = Duration::from_secs(15);
/// Time for which nothing has to be sent from then on.
const QUIET_TIME: Duration = Duration::from_secs(5);
const MAX_UPDATES: usize = 9;
const SCHEDULES: u64 = 40;
const LOSS: f64 = 0.03;
const REPEAT: f64 = 0.03;

/// Which nodes see that the shared parts are sound.
#[derive(Clone, Copy, Debug)]
enum Soundness {
    Everywhere,
    Somewhere,
    Nowhere,
}

#[derive(Clone, Debug)]
enum Message {
    Updates(Vec<PartUpdate>, bool),
    Digest(u64),
}

struct Datagram {
    due: Instant,
    from: usize,
    to: usize,
    message: Message,
}

struct Fleet {
    random: StdRng,
    now: Instant,
    nodes: Vec<PartSuspectTable>,
    datagrams: Vec<Datagram>,
    /// Updates sent since they were last counted.
    sent: usize,
}

fn part(id: u64) -> ScopedPart {
    ScopedPart { id, scope: SCOPE }
}

fn region_of(node: usize) -> usize {
    node % REGIONS
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        Self {
            random: StdRng::seed_from_u64(seed),
            now: start + Duration::from_secs(60),
            nodes: vec![PartSuspectTable::new(start); NODES],
            datagrams: Vec::new(),
            sent: 0,
        }
    }

    /// Lets a replica crash under requests of some nodes, which share the first parts.
    fn crash(&mut self, replica: u32) {
        for node in 0..NODES {
            if self.random.random_bool(0.6) {
                continue;
            }
            let shared = self.random.random_range(1..4);
            let own = 1_000 + u64::from(replica) * 100 + node as u64;
            let answered = self.random.random_range(0..900);
            let answered = (answered > 100).then(|| Duration::from_millis(answered));
            let witness = CrashWitness {
                replica,
                answered,
                caller: self.random.random_range(0..3),
            };
            let parts = [part(shared), part(own)];
            self.nodes[node].note_crash(&parts, witness, self.now);
        }
    }

    fn note_sound(&mut self, soundness: Soundness) {
        let nodes = match soundness {
            Soundness::Everywhere => NODES,
            Soundness::Somewhere => 2,
            Soundness::Nowhere => 0,
        };
        for node in 0..nodes {
            let part = part(self.random.random_range(1..4));
            let began = self.now.checked_sub(STEP * 14).unwrap_or(self.now);
            self.nodes[node].note_sound(&[part], began, self.now);
        }
    }

    fn post(&mut self, from: usize, to: usize, message: &Message) {
        let copies = 1 + usize::from(self.random.random_bool(REPEAT));
        for _ in 0..copies {
            if self.random.random_bool(LOSS) {
                continue;
            }
            // Some links are full, and what they carry is late.
            let delay = if self.random.random_bool(0.2) {
                self.random.random_range(100..3_000)
            } else {
                self.random.random_range(1..100)
            };
            self.datagrams.push(Datagram {
                due: self.now + Duration::from_millis(delay),
                from,
                to,
                message: message.clone(),
            });
        }
        if let Message::Updates(updates, _) = message {
            self.sent += updates.len();
        }
    }

    fn send_updates(&mut self, from: usize, again: bool) {
        let batch = self.nodes[from].take_updates(again, MAX_UPDATES, self.now);
        let mut relays = BTreeSet::new();
        for to in (0..NODES).filter(|to| *to != from) {
            let near = region_of(to) == region_of(from);
            let is_relay = !near && relays.insert(region_of(to));
            let sends = [
                (&batch.broadcast, true, false),
                (&batch.local, near || is_relay, true),
                (&batch.relayed, near, false),
            ];
            for (updates, wanted, relay) in sends {
                if wanted && !updates.is_empty() {
                    self.post(from, to, &Message::Updates(updates.clone(), relay));
                }
            }
        }
    }

    fn receive(&mut self, datagram: Datagram) {
        let Datagram { from, to, .. } = datagram;
        let node = &mut self.nodes[to];
        match datagram.message {
            Message::Updates(updates, relay) => {
                let relay = relay && region_of(from) != region_of(to);
                let mut corrections = Vec::new();
                for update in &updates {
                    node.apply_update(update, relay, self.now);
                    corrections.extend(node.correction(update, self.now));
                }
                if !corrections.is_empty() {
                    self.post(to, from, &Message::Updates(corrections, false));
                }
            }
            Message::Digest(digest) if digest != node.accused_digest() => {
                let start = part(self.random.random_range(0..5));
                let updates = node.accused_updates(start, MAX_UPDATES, self.now);
                if !updates.is_empty() {
                    self.post(to, from, &Message::Updates(updates, false));
                }
            }
            Message::Digest(_) => {}
        }
    }

    fn step(&mut self, number: u32) {
        self.now += STEP;
        let now = self.now;
        let due = self
            .datagrams
            .extract_if(.., |datagram| datagram.due <= now);
        let due: Vec<Datagram> = due.collect();
        for datagram in due {
            self.receive(datagram);
        }
        for node in 0..NODES {
            self.nodes[node].tick(now);
            let heartbeat = (number + node as u32).is_multiple_of(HEARTBEAT_STEPS);
            self.send_updates(node, heartbeat);
            if heartbeat {
                let digest = Message::Digest(self.nodes[node].accused_digest());
                for to in (0..NODES).filter(|to| *to != node) {
                    self.post(node, to, &digest);
                }
            }
        }
    }

    fn run(&mut self, time: Duration, mut each: impl FnMut(&mut Self)) {
        let until = self.now + time;
        let mut number = 0;
        while self.now < until {
            number += 1;
            each(self);
            self.step(number);
        }
    }
}

/// Returns what is wrong after a schedule.
fn play(seed: u64, soundness: Soundness, crashes: u32) -> Option<String> {
    let mut fleet = Fleet::new(seed);
    let mut replica = 0;
    let share = f64::from(crashes) * STEP.as_secs_f64() / CRASH_TIME.as_secs_f64();
    fleet.run(CRASH_TIME, |fleet| {
        for _ in 0..(share.ceil() as u32) {
            if fleet.random.random_bool(share / share.ceil()) {
                replica += 1;
                fleet.crash(replica);
            }
        }
        fleet.note_sound(soundness);
    });
    fleet.run(REST_TIME, |fleet| fleet.note_sound(soundness));
    fleet.sent = 0;
    fleet.run(QUIET_TIME, |fleet| fleet.note_sound(soundness));
    let digests = fleet.nodes.iter().map(PartSuspectTable::accused_digest);
    let digests: BTreeSet<u64> = digests.collect();
    if digests.len() > 1 {
        return Some(format!("seed {seed}: {} views", digests.len()));
    }
    (fleet.sent > 0).then(|| format!("seed {seed}: {} updates sent", fleet.sent))
}

/// Guards against nodes that go on telling each other of crashes which they have dropped or cleared.
#[test_case(Soundness::Everywhere, 60; "parts_sound_everywhere")]
#[test_case(Soundness::Somewhere, 8; "parts_sound_at_some_nodes")]
#[test_case(Soundness::Somewhere, 60; "parts_sound_at_some_nodes_and_many_crashes")]
#[test_case(Soundness::Nowhere, 8; "parts_not_seen_sound")]
#[test_case(Soundness::Nowhere, 60; "parts_not_seen_sound_and_many_crashes")]
fn updates_come_to_rest(soundness: Soundness, crashes: u32) {
    let failures: Vec<String> = (0..SCHEDULES)
        .filter_map(|seed| play(seed, soundness, crashes))
        .collect();
    let count = failures.len();
    assert!(failures.is_empty(), "{count} of {SCHEDULES}: {failures:#?}");
}
