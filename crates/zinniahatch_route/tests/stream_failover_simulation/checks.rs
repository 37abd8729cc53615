//! Checks the properties that hold at all times.

use crate::stream_failover_simulation::fleet::Fleet;
use crate::stream_failover_simulation::fleet::PROBE_INTERVAL;
use crate::stream_failover_simulation::fleet::PROBE_TIMEOUT;
use crate::stream_failover_simulation::fleet::StreamEnd;
use crate::stream_failover_simulation::fleet::StreamWork;
use crate::stream_failover_simulation::world::Place;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::SEEK_INTERVAL;

/// Longest time for which a stream may run at two replicas.
const TWICE_LIMIT: Duration = Duration::from_millis(400);
/// Time between samples of the loads of replicas.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// The properties that hold at all times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Property {
    /// No stream ends early while the replica that it was last at is sound.
    Lost,
    /// No stream runs at two replicas for longer than the limit.
    Twice,
    /// A dead connection at a live replica is left in time.
    Stuck,
    /// Retries stay within the budget.
    Budget,
    /// Events come in order, once and whole.
    Order,
}

/// What came of the streams of a schedule.
#[derive(Clone, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) violations: BTreeMap<Property, Vec<String>>,
    pub(crate) streams: usize,
    pub(crate) whole: usize,
    /// Streams that no crash and no dead connection met, and those of them that are whole.
    pub(crate) sound: usize,
    pub(crate) sound_whole: usize,
    /// When streams were sent to another replica because of a silence.
    pub(crate) moves: Vec<Instant>,
    /// How many of these replicas were silent themselves.
    pub(crate) moves_to_silent: usize,
    /// Retries that the budget did not allow.
    pub(crate) denied: usize,
    pub(crate) requests: Vec<Instant>,
    pub(crate) retries: Vec<Instant>,
    /// Streams that waited on a dead connection for the head of a response until their deadline: the
    /// first, one after a break, and one after a silence.
    pub(crate) dead_heads: [usize; 3],
    /// Most streams at one replica that is not silent, by time since the start.
    pub(crate) loads: BTreeMap<Duration, usize>,
}

/// A connection of a stream to a replica.
pub(crate) struct ReplicaConnection {
    pub(crate) number: usize,
    node: usize,
    /// Whether it is dead, or the one between the nodes.
    is_dead: bool,
}

impl Fleet {
    /// Returns the connections to replicas of a stream, those of other nodes included.
    pub(crate) fn replica_connections(&self, id: usize) -> Vec<ReplicaConnection> {
        let stream = &self.streams[id];
        let mut found = Vec::new();
        for number in stream.connections.iter().copied() {
            let is_dead = self.connections[number].is_dead;
            let Some(forwarded) = self.connections[number].forwarded else {
                found.push(ReplicaConnection {
                    number,
                    node: stream.node,
                    is_dead,
                });
                continue;
            };
            for mut connection in self.replica_connections(forwarded) {
                connection.is_dead |= is_dead;
                found.push(connection);
            }
        }
        found
    }

    pub(crate) fn report(&mut self, property: Property, id: usize, what: &str) {
        let at = self.now - self.schedule.start;
        let trace = &self.streams[id].trace;
        let text = format!("{at:?}, stream {id}: {what}; {trace:?}");
        let violations = self.totals.violations.entry(property).or_default();
        violations.push(text);
    }

    /// Checks a stream that ends early.
    pub(crate) fn check_lost(&mut self, id: usize) {
        if self.streams[id].caller.is_some() || self.now >= self.streams[id].deadline {
            return;
        }
        let mut last = self.streams[id].last_at;
        while let Some(number) = last {
            let connection = &self.connections[number];
            if connection.is_dead {
                return;
            }
            let Place::Replica(replica) = connection.place else {
                last = connection.forwarded.and_then(|id| self.streams[id].last_at);
                continue;
            };
            if self.schedule.replicas[replica].runs(self.now) {
                self.report(Property::Lost, id, &format!("replica {replica} goes on"));
            }
            return;
        }
    }

    /// Checks at how many replicas a stream runs.
    ///
    /// Time in which a node is paused, or in which it does not reach a replica, does not count.
    pub(crate) fn check_twice(&mut self, id: usize) {
        let now = self.now;
        if self.streams[id].caller.is_some() || self.is_paused(self.streams[id].node) {
            self.streams[id].twice_since = None;
            return;
        }
        let mut running = 0;
        for ReplicaConnection {
            number,
            node,
            is_dead,
        } in self.replica_connections(id)
        {
            let connection = &self.connections[number];
            let Place::Replica(replica) = connection.place else {
                continue;
            };
            let reached = !is_dead
                && !self.is_paused(node)
                && !self.schedule.replicas[replica].still.contains(now);
            let runs = connection
                .run
                .is_some_and(|(from, to)| from <= now && now < to);
            running += u32::from(reached && runs);
        }
        if running < 2 {
            self.streams[id].twice_since = None;
            return;
        }
        let since = *self.streams[id].twice_since.get_or_insert(now);
        if now > since + TWICE_LIMIT {
            self.report(Property::Twice, id, "runs at two replicas");
            self.streams[id].twice_since = Some(now);
        }
    }

    /// Checks for how long a stream stays on a dead connection while some replica can take it.
    pub(crate) fn check_stuck(&mut self, id: usize) {
        let now = self.now;
        let candidates = self.candidates(id);
        let stream = &mut self.streams[id];
        if candidates.is_empty() {
            stream.stuck_since = None;
            return;
        }
        let (since, kept) = stream
            .stuck_since
            .get_or_insert_with(|| (now, candidates.clone()));
        kept.retain(|replica| candidates.contains(replica));
        if kept.is_empty() {
            stream.stuck_since = Some((now, candidates));
            return;
        }
        // A replica that was suspect is heard of by the next probe; meanwhile each of the others may
        // be asked first, in vain.
        let others = (self.schedule.replicas.len() - kept.len()) as u32;
        let limit = stream.silence_limit
            + (PROBE_INTERVAL + PROBE_TIMEOUT)
            + (PROBE_TIMEOUT + SEEK_INTERVAL) * others
            + SEEK_INTERVAL
            + TWICE_LIMIT;
        if now > *since + limit {
            self.report(Property::Stuck, id, "stays on a dead connection");
            self.streams[id].stuck_since = None;
        }
    }

    /// Returns the replicas that could take a stream which is on a dead connection to a live replica.
    fn candidates(&self, id: usize) -> BTreeSet<usize> {
        let (now, stream) = (self.now, &self.streams[id]);
        let (StreamWork::Following(current)
        | StreamWork::Seeking(current, ..)
        | StreamWork::Moving(Some(current), _)) = stream.work
        else {
            return BTreeSet::new();
        };
        let node = &self.nodes[stream.node];
        let current = &self.connections[current];
        if !current.is_dead || !stream.has_tries() || self.is_paused(stream.node) {
            return BTreeSet::new();
        }
        let replicas = self.schedule.replicas.iter().enumerate();
        let able = replicas.filter(|(index, replica)| {
            let place = Place::Replica(*index);
            let known = replica.added_at + node.lag <= now && replica.region == node.region;
            let free = !stream.tried.contains(&place) || current.place == place;
            known && free && replica.admits(now) && !replica.still.contains(now)
        });
        able.map(|(index, _)| index).collect()
    }

    /// Checks the retries of all nodes, and counts what came of the streams.
    pub(crate) fn sum_up(&mut self) {
        self.check_budget();
        for id in 0..self.streams.len() {
            let stream = &self.streams[id];
            if stream.caller.is_some() || !stream.began || stream.has_ended(StreamEnd::CallerGone) {
                continue;
            }
            let whole = usize::from(stream.has_ended(StreamEnd::Whole));
            let connections = self.replica_connections(id);
            let sound = connections.iter().all(|connection| {
                let place = self.connections[connection.number].place;
                let crashes = matches!(place, Place::Replica(index) if !self.schedule.replicas[index].runs(self.now));
                !connection.is_dead && !crashes
            });
            self.totals.streams += 1;
            self.totals.whole += whole;
            self.totals.sound += usize::from(sound);
            self.totals.sound_whole += whole * usize::from(sound);
        }
        let mut at = self.schedule.start;
        while at < self.now {
            at += LOAD_INTERVAL;
            let mut loads: BTreeMap<Place, usize> = BTreeMap::new();
            for connection in &self.connections {
                if connection
                    .run
                    .is_some_and(|(from, to)| from <= at && at < to)
                {
                    *loads.entry(connection.place).or_default() += 1;
                }
            }
            let replicas = &self.schedule.replicas;
            loads.retain(|place, _| matches!(place, Place::Replica(index) if !replicas[*index].still.contains(at)));
            let most = loads.values().max().copied().unwrap_or_default();
            self.totals.loads.insert(at - self.schedule.start, most);
        }
    }

    fn check_budget(&mut self) {
        let window = self.schedule.retry_window;
        let start = self.schedule.start;
        let (requests, retries) = (&self.totals.requests, &self.totals.retries);
        let count = |times: &[Instant], until: Duration| {
            let span = (until.saturating_sub(window), until);
            let inside = times.iter().map(|at| *at - start);
            inside.filter(|at| span.0 < *at && *at <= span.1).count()
        };
        let mut excess = Vec::new();
        for at in retries {
            let until = *at - start;
            let before = [Duration::ZERO, window / 2, window];
            let asked = before.map(|back| count(requests, until.saturating_sub(back)));
            let most = asked.into_iter().max().unwrap_or_default();
            let bound = self.schedule.retry_ratio * most as f64 + self.schedule.retry_slack;
            let taken = count(retries, until);
            if taken as f64 > bound {
                excess.push(format!("{until:?}: {taken} retries, {bound} allowed"));
            }
        }
        if !excess.is_empty() {
            self.totals.violations.insert(Property::Budget, excess);
        }
    }
}
