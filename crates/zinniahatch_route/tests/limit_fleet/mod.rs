//! A region of nodes before one replica that names rate limits, with faults drawn from a seed.

mod shared_bucket;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::RateLimitNotice;
use zinniahatch_route::RateLimitTable;
use zinniahatch_route::RateLimitUpdate;

pub(crate) use shared_bucket::SharedBucket;

const REPLICA: u32 = 7;
const STEP: Duration = Duration::from_millis(5);
/// The operators' rule: a span, the factor on what the limit allows in it, and requests beyond that.
const WINDOW: Duration = Duration::from_secs(4);
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after the first limit from which the rule holds, and for which a fault excuses its node.
const CONTACT: Duration = Duration::from_secs(6);
/// Time for which a node must have been told.
const TOLD: Duration = Duration::from_millis(500);
/// Pause between a node's cards, silence after which it is forgotten, and time in which it gets to know the others.
const CARD_PAUSE: Duration = Duration::from_millis(500);
const FORGET: Duration = Duration::from_secs(30);
const ACQUAINT: Duration = Duration::from_secs(2);

/// A way to keep a limit over all nodes.
pub(crate) trait LimitWay: Default {
    /// What the nodes tell each other.
    type News: Clone;

    /// Takes what an answer says.
    fn note_answer(&mut self, named: RateLimitNotice, sent: Instant, now: Instant);
    /// Takes news of another node.
    fn hear(&mut self, news: &Self::News, now: Instant);
    /// Takes what the others are to be told.
    fn take_news(&mut self) -> Vec<Self::News>;
    /// Gives a digest of what is known, and all of it.
    fn known(&self) -> (u64, Vec<Self::News>);
    /// Sets who takes part.
    fn set_sharers(&mut self, own: Option<u32>, others: BTreeSet<u32>, now: Instant);
    /// Takes one request; tells whether it may be sent.
    fn take(&mut self, now: Instant) -> bool;
    /// Tells whether a limit is believed to be in force.
    fn is_limited(&self) -> bool;
}

impl LimitWay for RateLimitTable {
    type News = RateLimitUpdate;

    fn note_answer(&mut self, named: RateLimitNotice, sent: Instant, now: Instant) {
        self.note_response(REPLICA, named, sent, now);
    }

    fn hear(&mut self, news: &RateLimitUpdate, now: Instant) {
        self.apply_update(news, now);
    }

    fn take_news(&mut self) -> Vec<RateLimitUpdate> {
        self.take_updates(10)
    }

    fn known(&self) -> (u64, Vec<RateLimitUpdate>) {
        (self.digest(), self.active_limits().collect())
    }

    fn set_sharers(&mut self, own: Option<u32>, others: BTreeSet<u32>, now: Instant) {
        self.set_sharers(own, others, now);
    }

    fn take(&mut self, now: Instant) -> bool {
        self.take(REPLICA, now)
    }

    fn is_limited(&self) -> bool {
        self.is_limited(REPLICA)
    }
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetPlan {
    pub(crate) nodes: usize,
    /// The limit that is mostly named, in requests a second.
    pub(crate) rate: f64,
    /// Chance of each kind of fault in a step of 50 ms.
    pub(crate) faults: f64,
    /// Requests a second that callers send to each node in the mean.
    pub(crate) demand: f64,
    /// Whether one node gets nearly all requests.
    pub(crate) skewed: bool,
}

struct FleetNode<W> {
    way: W,
    /// A number for each start.
    start: u64,
    began: Duration,
    /// Until when it is dead, frozen or cut off from the others.
    dead: Duration,
    frozen: Duration,
    cut: Duration,
    /// Until when its requests are excused.
    excused: Duration,
    /// When it first passed on an answer with a limit, since its start.
    told: Option<Duration>,
    /// When each other node was heard last.
    heard: Vec<Option<Duration>>,
}

impl<W: LimitWay> FleetNode<W> {
    fn new(nodes: usize, start: u64, began: Duration) -> Self {
        Self {
            way: W::default(),
            start,
            began,
            dead: Duration::ZERO,
            frozen: Duration::ZERO,
            cut: Duration::ZERO,
            excused: Duration::ZERO,
            told: None,
            heard: vec![None; nodes],
        }
    }
}

enum FleetEvent<N> {
    /// A request reaches the replica, from a node that had been told or not, and excused or not.
    Arrival { told: bool, excused: bool },
    /// An answer to a node begins, with what the replica names now.
    Begin {
        node: usize,
        start: u64,
        sent: Duration,
    },
    /// An answer reaches the start of a node that sent the request, and when that was.
    Answer {
        node: usize,
        start: u64,
        sent: Duration,
        named: RateLimitNotice,
    },
    /// News reach a node.
    News(usize, N),
    /// A card reaches a node, with a digest of what its sender knows.
    Card { to: usize, from: usize, digest: u64 },
}

/// The region.
pub(crate) struct LimitFleet<W: LimitWay> {
    plan: FleetPlan,
    random: StdRng,
    start: Instant,
    time: Duration,
    nodes: Vec<FleetNode<W>>,
    starts: u64,
    /// By the time at which they take place, and a number.
    events: BTreeMap<(Duration, u64), FleetEvent<W::News>>,
    number: u64,
    /// The limits that were named, from when.
    named: Vec<(Duration, Option<f64>)>,
    /// When each request of a node that had been told arrived, and whether a fault of its node excuses it.
    arrivals: Vec<(Duration, bool)>,
    /// All requests that arrived while a limit was in force.
    under_limit: f64,
    usable: f64,
    /// When the limit in force ended last, while some node still keeps to it.
    ending: Option<Duration>,
    longest_end: Duration,
    next_change: Duration,
}

impl<W: LimitWay> LimitFleet<W> {
    pub(crate) fn new(seed: u64, plan: FleetPlan) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let next_change = Duration::from_millis(random.random_range(500..4_000));
        let nodes = (0..plan.nodes).map(|number| {
            let mut node = FleetNode::new(plan.nodes, number as u64, Duration::ZERO);
            node.heard = vec![Some(Duration::ZERO); plan.nodes];
            node
        });
        Self {
            nodes: nodes.collect(),
            plan,
            random,
            start: Instant::now(),
            time: Duration::ZERO,
            starts: plan.nodes as u64,
            events: BTreeMap::new(),
            number: 0,
            named: Vec::new(),
            arrivals: Vec::new(),
            under_limit: 0.0,
            usable: 0.0,
            ending: None,
            longest_end: Duration::ZERO,
            next_change,
        }
    }

    pub(crate) fn time(&self) -> Duration {
        self.time
    }

    fn now(&self) -> Instant {
        self.start + self.time
    }

    fn rate(&self) -> Option<f64> {
        self.named.last().and_then(|(_, rate)| *rate)
    }

    fn runs(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.dead <= self.time && node.frozen <= self.time
    }

    fn plan_event(&mut self, delay: Duration, event: FleetEvent<W::News>) {
        self.number += 1;
        self.events.insert((self.time + delay, self.number), event);
    }

    fn draw(&mut self, millis: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(millis))
    }

    /// Plays one step.
    pub(crate) fn step(&mut self) {
        self.time += STEP;
        if self.time.as_millis().is_multiple_of(50) {
            self.break_things();
        }
        if self.time >= self.next_change {
            self.change_limit();
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.time {
                break;
            }
            let event = entry.remove();
            self.take_event(event);
        }
        self.ask();
        for node in 0..self.nodes.len() {
            if self.runs(node) {
                self.run_node(node);
            }
        }
        self.look_for_end();
    }

    fn change_limit(&mut self) {
        let rate = match self.random.random_range(0..6) {
            0 if self.rate().is_some() => None,
            1 => Some(self.plan.rate * 3.0),
            2 => Some(self.plan.rate / 3.0),
            _ => Some(self.plan.rate),
        };
        self.ending = rate.is_none().then_some(self.time);
        self.named.push((self.time, rate));
        self.next_change = self.time + self.draw(4_000..16_000);
    }

    fn break_things(&mut self) {
        let chance = self.plan.faults;
        let node = self.random.random_range(0..self.nodes.len());
        if self.random.random_bool(chance) {
            self.starts += 1;
            let back = self.time + self.draw(300..6_000);
            let nodes = self.plan.nodes;
            self.nodes[node] = FleetNode::new(nodes, self.starts, back);
            self.nodes[node].dead = back;
            self.nodes[node].excused = back + CONTACT;
        }
        if self.random.random_bool(chance) {
            let until = self.time + self.draw(300..4_000);
            self.nodes[node].frozen = until;
            self.nodes[node].excused = self.nodes[node].excused.max(until + CONTACT);
        }
        if self.random.random_bool(chance) {
            let until = self.time + self.draw(300..8_000);
            self.nodes[node].cut = until;
            self.nodes[node].excused = self.nodes[node].excused.max(until + CONTACT);
        }
    }

    fn take_event(&mut self, event: FleetEvent<W::News>) {
        let now = self.now();
        match event {
            FleetEvent::Arrival { told, excused } => {
                if told {
                    self.arrivals.push((self.time, excused));
                }
                if self.rate().is_some() {
                    self.under_limit += 1.0;
                }
            }
            FleetEvent::Begin { node, start, sent } => {
                let named = self
                    .rate()
                    .map_or(RateLimitNotice::Absent, RateLimitNotice::PerSecond);
                let back = self.draw(1..4);
                let answer = FleetEvent::Answer {
                    node,
                    start,
                    sent,
                    named,
                };
                self.plan_event(back, answer);
            }
            FleetEvent::Answer {
                node,
                start,
                sent,
                named,
            } => {
                if self.nodes[node].start != start || self.nodes[node].dead > self.time {
                    return;
                }
                if self.nodes[node].frozen > self.time {
                    // It lies there until the node wakes.
                    let left = self.nodes[node].frozen.saturating_sub(self.time);
                    let event = FleetEvent::Answer {
                        node,
                        start,
                        sent,
                        named,
                    };
                    self.plan_event(left, event);
                    return;
                }
                if named.rate().is_some() {
                    self.nodes[node].told.get_or_insert(self.time);
                }
                let sent = self.start + sent;
                self.nodes[node].way.note_answer(named, sent, now);
            }
            FleetEvent::News(node, news) => {
                if self.runs(node) {
                    self.nodes[node].way.hear(&news, now);
                }
            }
            FleetEvent::Card { to, from, digest } => {
                if !self.runs(to) {
                    return;
                }
                self.nodes[to].heard[from] = Some(self.time);
                let (own, known) = self.nodes[to].way.known();
                if own == digest {
                    return;
                }
                for news in known {
                    self.tell(to, from, |_| FleetEvent::News(from, news.clone()));
                }
            }
        }
    }

    /// Sends a datagram, which may be lost.
    fn tell(&mut self, from: usize, to: usize, event: impl FnOnce(&Self) -> FleetEvent<W::News>) {
        let cut = self.nodes[from].cut.max(self.nodes[to].cut) > self.time;
        if cut || self.random.random_bool(0.02) {
            return;
        }
        let delay = self.draw(1..25);
        let event = event(self);
        self.plan_event(delay, event);
    }

    /// Draws the requests of callers in this step; each goes to one node.
    fn ask(&mut self) {
        let wanted = self.plan.demand * self.nodes.len() as f64;
        let seconds = STEP.as_secs_f64();
        let mean = wanted * seconds;
        let count = mean as usize + usize::from(self.random.random_bool(mean.fract()));
        if let Some(rate) = self.rate() {
            self.usable += rate * seconds;
        }
        for _ in 0..count {
            let drawn = self.random.random_range(0..self.nodes.len());
            let one = self.plan.skewed && self.random.random_bool(0.9);
            let node = if one { 0 } else { drawn };
            if self.runs(node) {
                self.send(node);
            }
        }
    }

    fn send(&mut self, node: usize) {
        let now = self.now();
        if !self.nodes[node].way.take(now) {
            return;
        }
        let told = self.nodes[node]
            .told
            .is_some_and(|at| at + TOLD <= self.time);
        let excused = self.nodes[node].excused > self.time;
        let way = self.draw(1..4);
        self.plan_event(way, FleetEvent::Arrival { told, excused });
        let slow = self.random.random_bool(0.05);
        let taken = self.draw(if slow { 400..2_500 } else { 20..400 });
        let begins = FleetEvent::Begin {
            node,
            start: self.nodes[node].start,
            sent: self.time,
        };
        self.plan_event(way + taken, begins);
    }

    fn run_node(&mut self, node: usize) {
        let (now, count) = (self.now(), self.nodes.len());
        for news in self.nodes[node].way.take_news() {
            for to in (0..count).filter(|to| *to != node) {
                self.tell(node, to, |_| FleetEvent::News(to, news.clone()));
            }
        }
        let phase = Duration::from_millis(5 * (node as u64 % 40));
        let since = self.time.saturating_sub(phase);
        if !since.as_millis().is_multiple_of(CARD_PAUSE.as_millis()) {
            return;
        }
        let time = self.time;
        let row = &mut self.nodes[node];
        let others = row.heard.iter().enumerate();
        let others = others.filter(|(other, at)| {
            *other != node && at.is_some_and(|at| time.saturating_sub(at) <= FORGET)
        });
        let others: BTreeSet<u32> = others.map(|(other, _)| other as u32).collect();
        let acquainted = row.began.is_zero() || time >= row.began + ACQUAINT;
        row.way
            .set_sharers(acquainted.then_some(node as u32), others, now);
        let (digest, _) = self.nodes[node].way.known();
        for to in (0..count).filter(|to| *to != node) {
            self.tell(node, to, |_| FleetEvent::Card {
                to,
                from: node,
                digest,
            });
        }
    }

    fn look_for_end(&mut self) {
        let Some(ended) = self.ending else {
            return;
        };
        let limited = (0..self.nodes.len()).any(|node| {
            let calm = self.nodes[node].excused <= self.time;
            calm && self.runs(node) && self.nodes[node].way.is_limited()
        });
        if !limited {
            self.longest_end = self.longest_end.max(self.time.saturating_sub(ended));
            self.ending = None;
        }
    }

    /// Gives the requests that arrived while a limit was in force.
    pub(crate) fn sent_under_limit(&self) -> f64 {
        self.under_limit
    }

    /// Gives the requests that the limits allowed.
    pub(crate) fn usable(&self) -> f64 {
        self.usable
    }

    /// Gives the longest time from the end of a limit until no calm node kept to it.
    pub(crate) fn longest_end(&self) -> Duration {
        self.longest_end
    }

    /// Gives the most requests in any window, as a part of what the rule allows; `all` counts those of nodes with a
    /// fault too.
    pub(crate) fn worst_window(&self, all: bool) -> f64 {
        let counted = self.arrivals.iter().filter(|(_, excused)| all || !excused);
        let arrivals: Vec<Duration> = counted.map(|(at, _)| *at).collect();
        let mut worst = 0.0_f64;
        for (index, end) in arrivals.iter().enumerate() {
            let Some(first) = self.limited_since(*end) else {
                continue;
            };
            if *end < first + CONTACT {
                continue;
            }
            let start = end.saturating_sub(WINDOW);
            let before = arrivals[..index].iter().rev();
            let requests = 1 + before.take_while(|at| **at > start).count();
            let most = OVERRUN * self.allowed(start, *end) + SLACK;
            worst = worst.max(requests as f64 / most);
        }
        worst
    }

    /// Gives since when a limit, whichever, has been named at a time.
    fn limited_since(&self, at: Duration) -> Option<Duration> {
        let mut since = None;
        for (from, rate) in self.named.iter().take_while(|(from, _)| *from <= at) {
            since = rate.and(since.or(Some(*from)));
        }
        since
    }

    fn allowed(&self, start: Duration, end: Duration) -> f64 {
        let mut sum = 0.0;
        for (index, (from, rate)) in self.named.iter().enumerate() {
            let until = self.named.get(index + 1).map_or(end, |(at, _)| *at);
            let span = until.min(end).saturating_sub((*from).max(start));
            sum += rate.unwrap_or(0.0) * span.as_secs_f64();
        }
        sum
    }
}
