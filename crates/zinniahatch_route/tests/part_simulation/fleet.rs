//! The simulated fleet: nodes, replicas, requests in flight and messages on their way.

use super::node::Message;
use super::node::Node;
use super::node::Receivers;
use super::traffic::CRASHES_FROM;
use super::traffic::CRASHING;
use super::traffic::CallerRequest;
use super::traffic::Disturbance;
use super::traffic::Scenario;
use super::traffic::Traffic;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::PartUpdate;
use zinniahatch_route::SURVIVAL_TIME;

const STEP: Duration = Duration::from_millis(10);
const SIMULATED: Duration = Duration::from_secs(40);
/// Time after which a node without disturbance counts as in touch.
const CONTACT: Duration = Duration::from_secs(6);
const REGIONS: usize = 3;
const NODES_PER_REGION: usize = 2;
const REPLICAS: [usize; REGIONS] = [4, 3, 2];
const LOSS: f64 = 0.03;
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time after its start at which a node has read the store's keys.
const STORE_READ: Duration = Duration::from_secs(2);
/// Requests that a replica runs or queues.
const REPLICA_PLACES: usize = 24;
/// Sends of one request.
const MAX_ATTEMPTS: u32 = 2;
/// Crashes after which a part is known to crash replicas.
const KNOWN_CRASHES: usize = 5;

/// What was seen from outside.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Requests with each crashing part that reached replicas after it was known.
    pub(crate) late: BTreeMap<u64, u32>,
    /// Replicas that crashed under each part.
    pub(crate) crashes: BTreeMap<u64, usize>,
    /// Sound requests after a part was known, and those of them that began at the first attempt.
    pub(crate) sound: u32,
    pub(crate) sound_begun: u32,
    /// Sound requests refused for a part, at any time.
    pub(crate) sound_refused: u32,
}

struct Replica {
    region: usize,
    tag: u32,
    up_from: Instant,
}

/// A request that a node serves.
struct InFlight {
    request: CallerRequest,
    node: usize,
    replica: Option<usize>,
    /// When it is placed, begins and ends.
    due: Instant,
    sent: Instant,
    begins: Instant,
    ends: Instant,
    attempt: u32,
    survival_noted: bool,
    judged: bool,
}

/// A crash that a node has not noticed yet.
struct PendingCrash {
    at: Instant,
    node: usize,
    replica: u32,
    request: CallerRequest,
    answered: Option<Duration>,
    ran: Duration,
}

pub(crate) struct Fleet {
    random: StdRng,
    scenario: Scenario,
    start: Instant,
    now: Instant,
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    next_tag: u32,
    traffic: Traffic,
    in_flight: Vec<InFlight>,
    crashes: Vec<PendingCrash>,
    messages: Vec<(Instant, usize, usize, Message)>,
    stored: Vec<PartUpdate>,
    /// Region that is cut off, and until when.
    cut: Option<(usize, Instant)>,
    next_disturbance: Instant,
    /// Times of the crashes under each part.
    part_crashes: BTreeMap<u64, Vec<Instant>>,
    outcome: Outcome,
}

impl Fleet {
    pub(crate) fn new(seed: u64, scenario: Scenario) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now() + Duration::from_secs(3_600);
        let nodes = 0..REGIONS * NODES_PER_REGION;
        let nodes = nodes.map(|number| Node::new(number / NODES_PER_REGION, start));
        let mut replicas = Vec::new();
        for (region, count) in REPLICAS.into_iter().enumerate() {
            for _ in 0..count {
                replicas.push(Replica {
                    region,
                    tag: replicas.len() as u32,
                    up_from: start,
                });
            }
        }
        Self {
            traffic: Traffic::new(scenario, &mut random),
            next_tag: replicas.len() as u32,
            next_disturbance: start + CRASHES_FROM.mul_f64(random.random_range(0.8..1.4)),
            random,
            scenario,
            start,
            now: start,
            nodes: nodes.collect(),
            replicas,
            in_flight: Vec::new(),
            crashes: Vec::new(),
            messages: Vec::new(),
            stored: Vec::new(),
            cut: None,
            part_crashes: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn play(mut self) -> Outcome {
        while self.now < self.start + SIMULATED {
            self.now += STEP;
            self.disturb();
            self.arrive();
            self.place();
            self.advance();
            self.notice_crashes();
            self.run_nodes();
            self.deliver();
        }
        for part in CRASHING {
            let crashes = self.part_crashes.get(&part).map_or(0, Vec::len);
            self.outcome.crashes.insert(part, crashes);
        }
        self.outcome
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up_from <= self.now
    }

    fn in_touch(&self, node: usize) -> bool {
        self.is_up(node) && self.nodes[node].disturbed + CONTACT <= self.now
    }

    /// Returns when a part was known to crash replicas.
    fn known_since(&self, part: u64) -> Option<Instant> {
        self.part_crashes
            .get(&part)?
            .get(KNOWN_CRASHES - 1)
            .copied()
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut
            .is_some_and(|(region, until)| until > self.now && (one == region) != (other == region))
    }

    fn disturb(&mut self) {
        if self.now < self.next_disturbance {
            return;
        }
        let kind = self.scenario.disturbance;
        let pause = match kind {
            Disturbance::Kills | Disturbance::KillsAfterRestart => self.millis(300..1_500),
            Disturbance::Restarts => self.millis(2_000..6_000),
            _ => self.millis(6_000..12_000),
        };
        self.next_disturbance = self.now + pause;
        match kind {
            Disturbance::None => {}
            Disturbance::RegionLoss => {
                let region = self.random.random_range(0..REGIONS);
                for index in 0..self.replicas.len() {
                    if self.replicas[index].region == region {
                        self.end_replica(index);
                    }
                }
            }
            Disturbance::Kills => self.kill_one(),
            Disturbance::KillsAfterRestart => {
                if self.stored.is_empty() && self.nodes[0].up_from == self.start {
                    self.restart_all();
                }
                self.kill_one();
            }
            Disturbance::Restarts => {
                let node = self.random.random_range(0..self.nodes.len());
                self.restart(node);
            }
            Disturbance::MassRestart => self.restart_all(),
            Disturbance::Cuts => {
                let region = self.random.random_range(0..REGIONS);
                let until = self.now + self.millis(1_000..5_000);
                self.cut = Some((region, until));
            }
        }
    }

    fn kill_one(&mut self) {
        let replica = self.random.random_range(0..self.replicas.len());
        self.end_replica(replica);
    }

    fn restart_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.restart(node);
        }
    }

    fn restart(&mut self, node: usize) {
        let away = self.millis(300..1_500);
        self.nodes[node].restart(self.now + away);
        self.in_flight.retain(|served| served.node != node);
        self.crashes.retain(|crash| crash.node != node);
        self.messages.retain(|(_, _, to, _)| *to != node);
        for update in self.stored.clone() {
            let read = self.now + away + STORE_READ;
            self.messages
                .push((read, node, node, Message::Parts(vec![update], false)));
        }
    }

    /// Ends a replica; it is back some seconds later.
    fn end_replica(&mut self, index: usize) {
        let (tag, now) = (self.replicas[index].tag, self.now);
        if self.replicas[index].up_from > now {
            return;
        }
        self.next_tag += 1;
        self.replicas[index].tag = self.next_tag;
        self.replicas[index].up_from = now + self.millis(2_000..5_000);
        for position in 0..self.in_flight.len() {
            if self.in_flight[position].replica != Some(index) {
                continue;
            }
            let noticed = self.millis(0..40);
            let served = &mut self.in_flight[position];
            served.replica = None;
            served.attempt += 1;
            served.due = now + noticed;
            self.crashes.push(PendingCrash {
                at: now + noticed,
                node: served.node,
                replica: tag,
                request: served.request.clone(),
                answered: now.checked_duration_since(served.begins),
                ran: now.duration_since(served.sent),
            });
        }
        self.in_flight
            .retain(|served| served.attempt <= MAX_ATTEMPTS);
    }

    fn arrive(&mut self) {
        let elapsed = self.now - self.start;
        let arrivals = self.traffic.arrivals(&mut self.random, elapsed, STEP);
        for request in arrivals {
            let node = self.random.random_range(0..self.nodes.len());
            if !self.is_up(node) {
                continue;
            }
            let delay = self.nodes[node].decision_delay(&request, self.now);
            let judged = request.named_part().is_none() && self.is_judged() && self.in_touch(node);
            self.outcome.sound += u32::from(judged);
            self.in_flight.push(InFlight {
                request,
                node,
                replica: None,
                due: self.now + delay,
                sent: self.now,
                begins: self.now,
                ends: self.now,
                attempt: 1,
                survival_noted: false,
                judged,
            });
        }
    }

    /// Returns whether sound requests are to begin as often as at other times.
    fn is_judged(&self) -> bool {
        let since = CRASHING.iter().find_map(|part| self.known_since(*part));
        let disturbed = !matches!(
            self.scenario.disturbance,
            Disturbance::None | Disturbance::Restarts
        );
        !disturbed && since.is_some_and(|since| self.now > since + CONTACT * 2)
    }

    fn place(&mut self) {
        for position in 0..self.in_flight.len() {
            let served = &self.in_flight[position];
            if served.replica.is_some() || served.due > self.now {
                continue;
            }
            let (node, first) = (served.node, served.attempt == 1);
            let request = served.request.clone();
            if let Some(by_part) = self.nodes[node].refuses(&request, self.now) {
                if request.named_part().is_none() && by_part {
                    self.outcome.sound_refused += 1;
                }
                self.in_flight[position].attempt = MAX_ATTEMPTS + 1;
                continue;
            }
            let region = self.nodes[node].region;
            let has_room = |index: &usize| {
                let served = self.in_flight.iter();
                served
                    .filter(|served| served.replica == Some(*index))
                    .count()
                    < REPLICA_PLACES
            };
            let up: Vec<usize> = (0..self.replicas.len())
                .filter(|index| self.replicas[*index].up_from <= self.now)
                .filter(has_room)
                .collect();
            let near = up
                .iter()
                .filter(|index| self.replicas[**index].region == region);
            let near: Vec<usize> = near.copied().collect();
            let choices = if near.is_empty() { &up } else { &near };
            if choices.is_empty() {
                // Refused at once, as where admission control sees no capacity.
                self.in_flight[position].attempt = MAX_ATTEMPTS + 1;
                continue;
            }
            let replica = choices[self.random.random_range(0..choices.len())];
            self.send(position, replica, first);
        }
        self.in_flight
            .retain(|served| served.attempt <= MAX_ATTEMPTS);
    }

    fn send(&mut self, position: usize, replica: usize, first: bool) {
        let queue = self.millis(20..400);
        let now = self.now;
        let elapsed = now - self.start;
        let crash_delay = self.millis(10..150);
        let region = self.replicas[replica].region;
        // A request for another region is sent on by a node there.
        let sender = {
            let node = self.in_flight[position].node;
            let same = self.nodes[node].region == region;
            let of_region =
                (0..self.nodes.len()).filter(|other| self.nodes[*other].region == region);
            let up = of_region.filter(|other| self.is_up(*other));
            if same {
                Some(node)
            } else {
                up.into_iter().next()
            }
        };
        let Some(sender) = sender else {
            return;
        };
        let served = &mut self.in_flight[position];
        served.node = sender;
        served.replica = Some(replica);
        served.sent = now;
        served.begins = now + queue;
        served.survival_noted = false;
        served.ends = match served.request.crashing_part(elapsed + queue) {
            Some(_) => served.begins + crash_delay,
            None => served.begins + served.request.lasts,
        };
        if served.judged && first {
            served.judged = false;
            self.outcome.sound_begun += 1;
        }
        let Some(part) = served.request.named_part() else {
            return;
        };
        let late = self
            .known_since(part)
            .is_some_and(|since| now > since + CONTACT);
        if late && self.in_touch(sender) {
            *self.outcome.late.entry(part).or_default() += 1;
        }
    }

    /// Lets requests begin, end, and crash their replicas.
    fn advance(&mut self) {
        let (now, start) = (self.now, self.start);
        let mut ended = Vec::new();
        for position in 0..self.in_flight.len() {
            let served = &mut self.in_flight[position];
            let Some(replica) = served.replica else {
                continue;
            };
            let node = &mut self.nodes[served.node];
            if served.begins > now {
                // Requests in a replica's queue are withdrawn once they are in quarantine.
                if node.refuses(&served.request, now).is_some() {
                    served.attempt = MAX_ATTEMPTS + 1;
                }
                continue;
            }
            let crashing = served.request.crashing_part(served.begins - start);
            if served.ends <= now {
                if let Some(part) = crashing {
                    ended.push((replica, part));
                } else {
                    node.note_sound(&served.request, served.begins, now);
                    node.note_complete(&served.request, now);
                    served.attempt = MAX_ATTEMPTS + 1;
                }
                continue;
            }
            if !served.survival_noted && now >= served.begins + SURVIVAL_TIME {
                served.survival_noted = true;
                node.note_sound(&served.request, served.begins, now);
            }
        }
        self.in_flight
            .retain(|served| served.attempt <= MAX_ATTEMPTS);
        for (replica, part) in ended {
            if self.replicas[replica].up_from <= now {
                self.part_crashes.entry(part).or_default().push(now);
            }
            self.end_replica(replica);
        }
    }

    fn notice_crashes(&mut self) {
        let now = self.now;
        let due = self.crashes.extract_if(.., |crash| crash.at <= now);
        for crash in due {
            let node = &mut self.nodes[crash.node];
            node.note_crash(
                &crash.request,
                crash.replica,
                crash.answered,
                crash.ran,
                now,
            );
        }
    }

    fn run_nodes(&mut self) {
        let elapsed = self.now - self.start;
        let heartbeat = elapsed.as_millis().is_multiple_of(HEARTBEAT.as_millis());
        let tick = elapsed.as_millis().is_multiple_of(50);
        for node in 0..self.nodes.len() {
            if !self.is_up(node) {
                continue;
            }
            if tick {
                self.nodes[node].tick(self.now);
                let stored = self.nodes[node].persisted(self.now);
                self.stored.extend(stored);
            }
            for (message, receivers) in self.nodes[node].take_messages(heartbeat, self.now) {
                self.post(node, &message, receivers);
            }
            if heartbeat {
                let digests = self.nodes[node].digests();
                self.post(node, &digests, Receivers::RegionAndRelays);
            }
        }
    }

    fn post(&mut self, from: usize, message: &Message, receivers: Receivers) {
        let region = self.nodes[from].region;
        let mut relays = [false; REGIONS];
        let offset = self.random.random_range(0..self.nodes.len());
        for index in 0..self.nodes.len() {
            let to = (index + offset) % self.nodes.len();
            let other = self.nodes[to].region;
            let wanted = match receivers {
                Receivers::All => true,
                Receivers::Region => other == region,
                Receivers::RegionAndRelays => other == region || !relays[other],
            };
            if to == from || !wanted {
                continue;
            }
            relays[other] = true;
            self.send_message(from, to, message.clone());
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        let (one, other) = (self.nodes[from].region, self.nodes[to].region);
        if self.random.random_bool(LOSS) || self.is_cut(one, other) {
            return;
        }
        let latency = if one == other {
            self.millis(1..20)
        } else {
            self.millis(80..110)
        };
        self.messages.push((self.now + latency, from, to, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |(at, ..)| *at <= now);
        let due: Vec<_> = due.collect();
        for (_, from, to, message) in due {
            if !self.is_up(to) {
                continue;
            }
            let same_region = self.nodes[from].region == self.nodes[to].region;
            let replies = self.nodes[to].receive(&message, same_region, now);
            for reply in replies {
                self.send_message(to, from, reply);
            }
        }
    }
}
