//! What callers and replicas get where a rest is not kept, kept by the node that was asked, by all nodes, or for longer.

mod common;

use common::entry;
use common::prompt;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use zinniahatch_base::prelude::*;
use zinniahatch_route::BackoffNotice;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::ReceivedNotice;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaNotice;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::ResponseAuth;

const STEP: Duration = Duration::from_millis(5);
const TIME: Duration = Duration::from_secs(30);
const NODES: usize = 4;
const REPLICAS: usize = 6;
const SLOTS: u32 = 8;
/// Requests that a replica queues beyond its slots.
const QUEUE: u32 = 4;
const HOLD: Duration = Duration::from_millis(100);
const WORK: InFlightWork = InFlightWork {
    requests: 1,
    urgent_requests: 0,
    tokens: 0,
    urgent_tokens: 0,
};
/// The rest that a full replica asks for.
const REST: Duration = Duration::from_secs(1);
/// Time for which a caller waits in all, and how long it waits before it comes again where nobody names a time.
const PATIENCE: Duration = Duration::from_secs(3);
const AGAIN: Duration = Duration::from_millis(700);
const SEEDS: u64 = 8;

/// A way to keep a rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestWay {
    /// Nobody keeps it.
    Ignored,
    /// The node that was asked for it.
    Own,
    /// All nodes, told by the one that was asked.
    All,
    /// The node that was asked, three times as long.
    Long,
}

/// What came of a schedule.
#[derive(Clone, Copy, Debug, Default)]
struct WayFigures {
    asked: u32,
    served: u32,
    /// Requests that replicas turned away.
    turned_away: u32,
    /// Sends beyond the first of a request.
    repeats: u32,
}

#[derive(Clone, Copy)]
struct Caller {
    node: usize,
    came: Duration,
    again: bool,
}

enum FleetEvent {
    /// A caller comes back.
    Return(Caller),
    /// A replica answers a request of a node, with its ticket and the time at which it was sent.
    Answer(usize, usize, u64, Instant),
}

struct Fleet {
    way: RestWay,
    random: StdRng,
    start: Instant,
    time: Duration,
    tables: Vec<ReplicaTable>,
    /// When the slots of each replica are free, and what waits there.
    busy: Vec<Vec<Duration>>,
    events: BTreeMap<(Duration, u32), FleetEvent>,
    number: u32,
    figures: WayFigures,
}

impl Fleet {
    fn new(seed: u64, way: RestWay) -> Self {
        let start = Instant::now();
        let mut tables = vec![ReplicaTable::default(); NODES];
        for table in &mut tables {
            for number in 0..REPLICAS {
                let entry = ReplicaEntry {
                    id: id_of(number),
                    ..entry("r", "a")
                };
                table.upsert(entry, start);
            }
        }
        Self {
            way,
            random: StdRng::seed_from_u64(seed),
            start,
            time: Duration::ZERO,
            tables,
            busy: vec![Vec::new(); REPLICAS],
            events: BTreeMap::new(),
            number: 0,
            figures: WayFigures::default(),
        }
    }

    /// Gives the requests a second that callers make: three quarters of what the replicas serve, with bursts of more.
    fn demand(&self) -> f64 {
        let most = f64::from(SLOTS) * REPLICAS as f64 / HOLD.as_secs_f64();
        let burst = self.time.as_secs() % 10 >= 7;
        most * if burst { 1.6 } else { 0.75 }
    }

    fn step(&mut self) {
        self.time += STEP;
        for slots in &mut self.busy {
            slots.retain(|until| *until > self.time);
        }
        let mean = self.demand() * STEP.as_secs_f64();
        let count = mean as usize + usize::from(self.random.random_bool(mean.fract()));
        for _ in 0..count {
            let caller = Caller {
                node: self.random.random_range(0..NODES),
                came: self.time,
                again: false,
            };
            self.figures.asked += 1;
            self.serve(caller);
        }
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > self.time {
                break;
            }
            match first.remove() {
                FleetEvent::Return(caller) => self.serve(caller),
                FleetEvent::Answer(node, replica, ticket, sent) => {
                    self.hear(node, replica, true, sent);
                    let table = &mut self.tables[node];
                    table.note_ended(&id_of(replica), ticket, WORK, true);
                }
            }
        }
    }

    fn serve(&mut self, caller: Caller) {
        let now = self.start + self.time;
        let first = self.random.random_range(0..REPLICAS);
        let mut sends = 0;
        for offset in 0..REPLICAS {
            let replica = (first + offset) % REPLICAS;
            let table = &mut self.tables[caller.node];
            let claim = table.reserve(&mut ColdLimiter::default(), &id_of(replica), 0, now);
            if claim.is_err() {
                continue;
            }
            sends += 1;
            self.figures.repeats += u32::from(sends > 1);
            let Some(ready) = self.offer(replica) else {
                self.hear(caller.node, replica, false, now);
                if sends == 2 {
                    break;
                }
                continue;
            };
            self.figures.served += 1;
            self.number += 1;
            let (node, ticket) = (caller.node, u64::from(self.number));
            let size = prompt(0, 0);
            self.tables[node].note_sent(&id_of(replica), ticket, &size, WORK, 0, now);
            let answer = FleetEvent::Answer(node, replica, ticket, now);
            self.events.insert((ready, self.number), answer);
            return;
        }
        self.refuse(caller, sends);
    }

    /// Offers a request to a replica; gives when it answers, where it takes it.
    fn offer(&mut self, replica: usize) -> Option<Duration> {
        let work = self.busy[replica].len() as u32;
        if work >= SLOTS + QUEUE {
            self.figures.turned_away += 1;
            return None;
        }
        let slots = &self.busy[replica];
        let mut ends: Vec<Duration> = slots.clone();
        ends.sort_unstable();
        let free = ends.len().checked_sub(SLOTS as usize).map(|at| ends[at]);
        let ready = free.unwrap_or(self.time) + HOLD;
        self.busy[replica].push(ready);
        Some(ready)
    }

    fn hear(&mut self, node: usize, replica: usize, taken: bool, sent: Instant) {
        let now = self.start + self.time;
        let rest = match self.way {
            RestWay::Ignored => return,
            RestWay::Long => REST * 3,
            RestWay::Own | RestWay::All => REST,
        };
        let notice = ReplicaNotice {
            backoff: if taken {
                BackoffNotice::Absent
            } else {
                BackoffNotice::For(rest)
            },
            ..ReplicaNotice::default()
        };
        for table in 0..NODES {
            if table != node && (taken || self.way != RestWay::All) {
                continue;
            }
            let heard = ReceivedNotice {
                replica: entry_tag(replica),
                notice: &notice,
                auth: ResponseAuth::Authenticated,
                taken,
                sent,
                draw: self.random.random(),
            };
            self.tables[table].apply_notice(&heard, now);
        }
    }

    /// Refuses a request; its caller comes back once, when it was told.
    fn refuse(&mut self, caller: Caller, sends: u32) {
        let now = self.start + self.time;
        let table = &self.tables[caller.node];
        let waits = (0..REPLICAS).map(|replica| table.backoffs.wait(entry_tag(replica), now));
        let first = waits.min().unwrap_or_default();
        let after = if first.is_zero() || sends > 0 {
            AGAIN
        } else {
            first
        };
        let over = self.time + after > caller.came + PATIENCE;
        if caller.again || over {
            return;
        }
        self.number += 1;
        let back = Caller {
            again: true,
            ..caller
        };
        let back = FleetEvent::Return(back);
        self.events.insert((self.time + after, self.number), back);
    }
}

fn id_of(replica: usize) -> ReplicaId {
    format!("r{replica}").into()
}

fn entry_tag(replica: usize) -> ShortTag {
    let entry = ReplicaEntry {
        id: id_of(replica),
        ..entry("r", "a")
    };
    entry.incarnation().tag()
}

/// Plays all seeds; gives the shares of the requests asked for that were served, turned away by a replica, and sent once
/// more.
fn play(way: RestWay) -> (f64, f64, f64) {
    let mut sum = WayFigures::default();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, way);
        while fleet.time < TIME {
            fleet.step();
        }
        sum.asked += fleet.figures.asked;
        sum.served += fleet.figures.served;
        sum.turned_away += fleet.figures.turned_away;
        sum.repeats += fleet.figures.repeats;
    }
    let share = |count: u32| f64::from(count) / f64::from(sum.asked);
    let shares = (
        share(sum.served),
        share(sum.turned_away),
        share(sum.repeats),
    );
    println!("{way:?}: served, turned away, repeats {shares:.3?}");
    shares
}

/// Guards against a rest that costs callers more than it spares replicas.
#[test]
fn own_rests_spare_replicas_and_serve_more_than_wider_ones() {
    let [ignored, own, all, long] =
        [RestWay::Ignored, RestWay::Own, RestWay::All, RestWay::Long].map(play);
    assert!(own.1 < ignored.1 / 2.0 && own.2 < ignored.2 / 2.0);
    assert!(own.0 > all.0 && own.0 > long.0);
}
