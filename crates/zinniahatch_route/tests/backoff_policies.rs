//! Compares policies for a backoff that a replica requests.
//!
//! It is observed by no node, by the node whose request was refused, by all nodes, or by the node
//! whose request was refused for three times as long. The results are the shares of requests
//! served, refused by replicas and sent more than once.

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
/// Number of requests that a replica queues beyond its slots.
const QUEUE_LENGTH: u32 = 4;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const WORK: InFlightWork = InFlightWork {
    requests: 1,
    urgent_requests: 0,
    tokens: 0,
    urgent_tokens: 0,
};
/// Backoff that a full replica requests.
const BACKOFF: Duration = Duration::from_secs(1);
/// Total time for which a caller waits.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a caller retries if the refusal states no time.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(700);
const SEEDS: u64 = 8;

/// Which nodes observe a backoff, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackoffPolicy {
    /// No node observes it.
    Ignored,
    /// The node whose request was refused observes it.
    Own,
    /// All nodes observe it, notified by the one whose request was refused.
    All,
    /// The node whose request was refused observes it three times as long.
    Long,
}

/// Counts of one or more simulations.
#[derive(Clone, Copy, Debug, Default)]
struct PolicyCounts {
    requests: u32,
    served: u32,
    /// Requests that replicas refused.
    refused: u32,
    /// Sends of a request beyond its first.
    repeated_sends: u32,
}

#[derive(Clone, Copy)]
struct Caller {
    node: usize,
    arrived_at: Duration,
    retried: bool,
}

enum Event {
    /// A caller retries.
    CallerRetry(Caller),
    /// A replica responds to a request of a node, with its ticket and the time at which it was
    /// sent.
    Response(usize, usize, u64, Instant),
}

struct Simulation {
    policy: BackoffPolicy,
    rng: StdRng,
    start: Instant,
    time: Duration,
    tables: Vec<ReplicaTable>,
    /// When each running or queued request of each replica ends.
    request_ends: Vec<Vec<Duration>>,
    events: BTreeMap<(Duration, u32), Event>,
    event_count: u32,
    counts: PolicyCounts,
}

impl Simulation {
    fn new(seed: u64, policy: BackoffPolicy) -> Self {
        let start = Instant::now();
        let mut tables = vec![ReplicaTable::default(); NODES];
        for table in &mut tables {
            for replica in 0..REPLICAS {
                let entry = ReplicaEntry {
                    id: replica_id(replica),
                    ..entry("r", "a")
                };
                table.upsert(entry, start);
            }
        }
        Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            start,
            time: Duration::ZERO,
            tables,
            request_ends: vec![Vec::new(); REPLICAS],
            events: BTreeMap::new(),
            event_count: 0,
            counts: PolicyCounts::default(),
        }
    }

    /// Returns the number of requests per second: three quarters of the capacity, 1.6 times the
    /// capacity for the last 3 s of every 10 s.
    fn request_rate(&self) -> f64 {
        let most = f64::from(SLOTS) * REPLICAS as f64 / SERVICE_TIME.as_secs_f64();
        let burst = self.time.as_secs() % 10 >= 7;
        most * if burst { 1.6 } else { 0.75 }
    }

    fn step(&mut self) {
        self.time += STEP;
        for slots in &mut self.request_ends {
            slots.retain(|until| *until > self.time);
        }
        let mean = self.request_rate() * STEP.as_secs_f64();
        let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let caller = Caller {
                node: self.rng.random_range(0..NODES),
                arrived_at: self.time,
                retried: false,
            };
            self.counts.requests += 1;
            self.place(caller);
        }
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > self.time {
                break;
            }
            match first.remove() {
                Event::CallerRetry(caller) => self.place(caller),
                Event::Response(node, replica, ticket, sent) => {
                    self.apply_response(node, replica, true, sent);
                    let table = &mut self.tables[node];
                    table.note_ended(&replica_id(replica), ticket, WORK, true);
                }
            }
        }
    }

    fn place(&mut self, caller: Caller) {
        let now = self.start + self.time;
        let first = self.rng.random_range(0..REPLICAS);
        let mut send_count = 0;
        for offset in 0..REPLICAS {
            let replica = (first + offset) % REPLICAS;
            let table = &mut self.tables[caller.node];
            let reservation =
                table.reserve(&mut ColdLimiter::default(), &replica_id(replica), 0, now);
            if reservation.is_err() {
                continue;
            }
            send_count += 1;
            self.counts.repeated_sends += u32::from(send_count > 1);
            let Some(ready) = self.offer(replica) else {
                self.apply_response(caller.node, replica, false, now);
                if send_count == 2 {
                    break;
                }
                continue;
            };
            self.counts.served += 1;
            self.event_count += 1;
            let (node, ticket) = (caller.node, u64::from(self.event_count));
            let size = prompt(0, 0);
            self.tables[node].note_sent(&replica_id(replica), ticket, &size, WORK, 0, now);
            let response = Event::Response(node, replica, ticket, now);
            self.events.insert((ready, self.event_count), response);
            return;
        }
        self.refuse(caller, send_count);
    }

    /// Offers a request to a replica; returns when it responds if it accepts the request.
    fn offer(&mut self, replica: usize) -> Option<Duration> {
        let work = self.request_ends[replica].len() as u32;
        if work >= SLOTS + QUEUE_LENGTH {
            self.counts.refused += 1;
            return None;
        }
        let slots = &self.request_ends[replica];
        let mut ends: Vec<Duration> = slots.clone();
        ends.sort_unstable();
        let free = ends.len().checked_sub(SLOTS as usize).map(|at| ends[at]);
        let ready = free.unwrap_or(self.time) + SERVICE_TIME;
        self.request_ends[replica].push(ready);
        Some(ready)
    }

    fn apply_response(&mut self, node: usize, replica: usize, taken: bool, sent: Instant) {
        let now = self.start + self.time;
        let backoff = match self.policy {
            BackoffPolicy::Ignored => return,
            BackoffPolicy::Long => BACKOFF * 3,
            BackoffPolicy::Own | BackoffPolicy::All => BACKOFF,
        };
        let notice = ReplicaNotice {
            backoff: if taken {
                BackoffNotice::Absent
            } else {
                BackoffNotice::For(backoff)
            },
            ..ReplicaNotice::default()
        };
        for table in 0..NODES {
            if table != node && (taken || self.policy != BackoffPolicy::All) {
                continue;
            }
            let received = ReceivedNotice {
                replica: replica_tag(replica),
                notice: &notice,
                auth: ResponseAuth::Authenticated,
                taken,
                sent,
                draw: self.rng.random(),
            };
            self.tables[table].apply_notice(&received, now);
        }
    }

    /// Refuses a request; its caller retries once, after the time stated in the refusal.
    fn refuse(&mut self, caller: Caller, send_count: u32) {
        let now = self.start + self.time;
        let table = &self.tables[caller.node];
        let waits = (0..REPLICAS).map(|replica| table.backoffs.wait(replica_tag(replica), now));
        let first = waits.min().unwrap_or_default();
        let after = if first.is_zero() || send_count > 0 {
            DEFAULT_RETRY_DELAY
        } else {
            first
        };
        let over = self.time + after > caller.arrived_at + CALLER_TIMEOUT;
        if caller.retried || over {
            return;
        }
        self.event_count += 1;
        let retry = Caller {
            retried: true,
            ..caller
        };
        let retry = Event::CallerRetry(retry);
        self.events
            .insert((self.time + after, self.event_count), retry);
    }
}

fn replica_id(replica: usize) -> ReplicaId {
    format!("r{replica}").into()
}

fn replica_tag(replica: usize) -> ShortTag {
    let entry = ReplicaEntry {
        id: replica_id(replica),
        ..entry("r", "a")
    };
    entry.incarnation().tag()
}

/// Runs all seeds; returns the requests served, the refusals by replicas and the repeated sends,
/// all relative to the number of requests of callers.
fn simulate(policy: BackoffPolicy) -> (f64, f64, f64) {
    let mut sum = PolicyCounts::default();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, policy);
        while simulation.time < TIME {
            simulation.step();
        }
        sum.requests += simulation.counts.requests;
        sum.served += simulation.counts.served;
        sum.refused += simulation.counts.refused;
        sum.repeated_sends += simulation.counts.repeated_sends;
    }
    let share = |count: u32| f64::from(count) / f64::from(sum.requests);
    let shares = (
        share(sum.served),
        share(sum.refused),
        share(sum.repeated_sends),
    );
    println!("{policy:?}: served, refused, repeated sends {shares:.3?}");
    shares
}

/// Guards against a policy that costs callers more than it saves replicas: observing a backoff only
/// at the node that was refused halves refusals and repeated sends, and serves more than observing
/// it on all nodes or for longer.
#[test]
fn own_policy_reduces_refusals_and_serves_most() {
    let [ignored, own, all, long] = [
        BackoffPolicy::Ignored,
        BackoffPolicy::Own,
        BackoffPolicy::All,
        BackoffPolicy::Long,
    ]
    .map(simulate);
    assert!(own.1 < ignored.1 / 2.0 && own.2 < ignored.2 / 2.0);
    assert!(own.0 > all.0 && own.0 > long.0);
}
