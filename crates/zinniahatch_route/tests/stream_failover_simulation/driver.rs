//! The steps of a stream at a node, as an entry node takes them when it forwards a stream, moves it
//! from a silent connection, or resumes it after a break.

use crate::stream_failover_simulation::checks::Property;
use crate::stream_failover_simulation::fleet::Fleet;
use crate::stream_failover_simulation::fleet::Mutation;
use crate::stream_failover_simulation::fleet::PROBE_TIMEOUT;
use crate::stream_failover_simulation::fleet::StreamEnd;
use crate::stream_failover_simulation::fleet::StreamWork;
use crate::stream_failover_simulation::world::Connection;
use crate::stream_failover_simulation::world::Place;
use crate::stream_failover_simulation::world::ResponsePart;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::FailoverStep;
use zinniahatch_route::STREAM_SILENCE_LIMIT;
use zinniahatch_route::StreamFailover;
use zinniahatch_route::first_event_limit;

impl Fleet {
    /// Lets a node do what is due for a stream.
    pub(crate) fn drive(&mut self, id: usize) {
        loop {
            let now = self.now;
            let stream = &self.streams[id];
            if !matches!(stream.work, StreamWork::Ended(_))
                && stream.leaves_at.is_some_and(|at| at <= now)
            {
                self.finish(id, StreamEnd::CallerGone);
            }
            let goes_on = match self.streams[id].work {
                StreamWork::Arrived => self.send_alone(id),
                StreamWork::Sending(next) => self.await_head(id, next),
                StreamWork::Following(current) => self.follow(id, current),
                StreamWork::Seeking(current, place, done_at, is_alive) => {
                    self.seek(id, current, place, done_at, is_alive)
                }
                StreamWork::Moving(current, next) => self.go_over(id, current, next),
                StreamWork::Ended(_) => false,
            };
            if !goes_on {
                return;
            }
        }
    }

    /// Sends a stream that has no connection, first or after a break.
    fn send_alone(&mut self, id: usize) -> bool {
        let stream = &self.streams[id];
        let lost = if stream.began {
            StreamEnd::Broken
        } else {
            StreamEnd::Refused
        };
        let may_send = stream.has_tries();
        let place = if may_send && self.now < stream.deadline {
            self.choose_place(id, None)
        } else {
            None
        };
        let Some(place) = place.filter(|_| self.charge(id)) else {
            self.finish(id, lost);
            return false;
        };
        let next = self.send(id, place);
        self.streams[id].work = StreamWork::Sending(next);
        true
    }

    fn charge(&mut self, id: usize) -> bool {
        let now = self.now;
        let stream = &mut self.streams[id];
        if self.mutation == Mutation::ChargesNone {
            return true;
        }
        let granted = stream
            .ledger
            .charge_send(&mut self.nodes[stream.node].budget, now);
        self.totals.denied += usize::from(!granted);
        if !granted {
            let at = now - self.schedule.start;
            stream.trace.push(format!("{at:?} denied"));
            stream.stuck_since = None;
        }
        granted
    }

    /// Records how a try ended; returns whether its place goes on.
    fn record_outcome(&mut self, id: usize, next: usize, part: ResponsePart) -> bool {
        let arrives = self.connections[next].arrives || self.connections[next].forwarded.is_some();
        let stream = &mut self.streams[id];
        let received = match part {
            ResponsePart::Refused(sends) => sends,
            ResponsePart::Broken if !arrives => 0,
            _ => 1,
        };
        stream.ledger.record_received(received);
        if part == ResponsePart::Head {
            stream.sends += 1;
            return true;
        }
        stream.unsent_tries += 1;
        stream.sends += u32::from(part == ResponsePart::Broken && received > 0);
        self.close(next);
        self.note_failure(id, next);
        false
    }

    fn await_head(&mut self, id: usize, next: usize) -> bool {
        let now = self.now;
        let Some(part) = self.read(id, next) else {
            if self.streams[id].deadline > now {
                return false;
            }
            let began = usize::from(self.streams[id].began);
            self.totals.dead_heads[began] += usize::from(self.connections[next].is_dead);
            self.finish(id, StreamEnd::Deadline);
            return false;
        };
        if self.record_outcome(id, next, part) {
            self.begin_following(id, next);
            return true;
        }
        self.restore_last(id, next);
        self.send_alone(id)
    }

    /// Returns to the place before, since the next one has not had the stream.
    fn restore_last(&mut self, id: usize, next: usize) {
        let is_taken =
            |connection: &Connection| connection.run.is_some() || connection.forwarded.is_some();
        if is_taken(&self.connections[next]) {
            return;
        }
        let connections = &self.connections;
        let stream = &mut self.streams[id];
        let mut taken = stream.connections.iter().copied();
        stream.last_at = taken.rfind(|number| is_taken(&connections[*number]));
    }

    fn begin_following(&mut self, id: usize, next: usize) {
        let (now, mutation) = (self.now, self.mutation);
        let stream = &mut self.streams[id];
        if mutation != Mutation::KeepsPartial {
            stream.partial = None;
        }
        if stream.began {
            let _ = stream
                .failover
                .inner
                .on_answered(stream.drawn.expected, now);
        } else {
            stream.failover.inner = StreamFailover::new(stream.drawn.expected, now);
        }
        stream.silence_limit = first_event_limit(stream.drawn.expected);
        stream.work = StreamWork::Following(next);
        if !std::mem::replace(&mut stream.began, true) {
            self.answer_caller(id, ResponsePart::Head);
        }
    }

    fn follow(&mut self, id: usize, current: usize) -> bool {
        let now = self.now;
        while let Some(part) = self.read(id, current) {
            match part {
                ResponsePart::Broken => return self.resume(id, current),
                ResponsePart::End => {
                    if self.streams[id].next_event != self.streams[id].drawn.events {
                        self.report(Property::Order, id, "ends before its last event");
                    }
                    self.finish(id, StreamEnd::Whole);
                    return false;
                }
                _ => self.take_bytes(id, part),
            }
            let stream = &mut self.streams[id];
            stream.silence_limit = STREAM_SILENCE_LIMIT;
            stream.failover.inner.on_bytes(now);
        }
        let stream = &mut self.streams[id];
        if now >= stream.deadline {
            self.finish(id, StreamEnd::Deadline);
            return false;
        }
        if stream.failover.inner.due_at().is_none_or(|at| now < at) {
            return false;
        }
        match stream.failover.on_time(now) {
            FailoverStep::Seek => self.begin_seeking(id, current),
            FailoverStep::Break => self.resume(id, current),
            _ => false,
        }
    }

    fn take_bytes(&mut self, id: usize, part: ResponsePart) {
        let stream = &mut self.streams[id];
        match part {
            ResponsePart::Begun(event) => {
                let partial = stream.partial.replace(event);
                if partial.is_some() || event != stream.next_event {
                    self.report(
                        Property::Order,
                        id,
                        &format!("event {event} begins after {partial:?}"),
                    );
                }
            }
            ResponsePart::Rest(event) => {
                if stream.partial.take() != Some(event) {
                    self.report(
                        Property::Order,
                        id,
                        &format!("event {event} has lost its beginning"),
                    );
                }
                self.streams[id].next_event = event + 1;
                self.answer_caller(id, ResponsePart::Begun(event));
                self.answer_caller(id, ResponsePart::Rest(event));
            }
            _ => {}
        }
    }

    /// Resumes a stream whose connection broke.
    fn resume(&mut self, id: usize, current: usize) -> bool {
        self.close(current);
        self.note_failure(id, current);
        self.send_alone(id)
    }

    fn begin_seeking(&mut self, id: usize, current: usize) -> bool {
        let now = self.now;
        let stream = &self.streams[id];
        let mut place = None;
        if stream.has_tries() {
            place = self.choose_place(id, None);
            if place.is_none() && self.may_reconnect(id, current) {
                place = self.choose_place(id, Some(self.connections[current].place));
            }
        }
        let Some(place) = place else {
            self.streams[id].failover.inner.on_no_place(now);
            return false;
        };
        let (done_at, is_alive) = match place {
            Place::Replica(replica) => {
                self.schedule.replicas[replica].answer_probe(now, PROBE_TIMEOUT)
            }
            Place::Node(_) => (now, true),
        };
        self.streams[id].work = StreamWork::Seeking(current, place, done_at, is_alive);
        true
    }

    fn may_reconnect(&self, id: usize, current: usize) -> bool {
        let connection = &self.connections[current];
        let silent = self.now.saturating_duration_since(connection.last_bytes);
        if silent < first_event_limit(Duration::ZERO) {
            return false;
        }
        let Place::Replica(replica) = connection.place else {
            return true;
        };
        let health = self.nodes[self.streams[id].node].health.get(&replica);
        health.is_some_and(|health| health.last_heard() > connection.last_bytes)
    }

    fn seek(
        &mut self,
        id: usize,
        current: usize,
        place: Place,
        done_at: Instant,
        is_alive: bool,
    ) -> bool {
        let now = self.now;
        if self.connections[current].peek(now).is_some() {
            let stream = &mut self.streams[id];
            stream.failover.inner.on_bytes(now);
            stream.work = StreamWork::Following(current);
            return true;
        }
        if now >= self.streams[id].deadline {
            self.finish(id, StreamEnd::Deadline);
            return false;
        }
        if now < done_at {
            return false;
        }
        if let Place::Replica(replica) = place {
            let node = self.streams[id].node;
            self.nodes[node].note_probe(replica, is_alive, now);
        }
        if !is_alive || !self.charge(id) {
            let stream = &mut self.streams[id];
            stream.failover.inner.on_no_place(now);
            stream.work = StreamWork::Following(current);
            return false;
        }
        let next = self.send(id, place);
        self.totals.moves.push(now);
        if let Place::Replica(replica) = place {
            let silent = self.schedule.replicas[replica].still.contains(now);
            self.totals.moves_to_silent += usize::from(silent);
        }
        let stream = &mut self.streams[id];
        stream.failover.inner.on_sent(now);
        stream.work = StreamWork::Moving(Some(current), next);
        true
    }

    fn go_over(&mut self, id: usize, current: Option<usize>, next: usize) -> bool {
        let now = self.now;
        let mut step = FailoverStep::Wait;
        let spoke = current.and_then(|number| self.connections[number].peek(now));
        let stream = &mut self.streams[id];
        if let Some(part) = spoke {
            step = if part == ResponsePart::Broken {
                stream.failover.inner.on_break()
            } else {
                stream.failover.inner.on_bytes(now)
            };
        } else if now >= stream.deadline {
            self.totals.dead_heads[2] += usize::from(self.connections[next].is_dead);
            self.finish(id, StreamEnd::Deadline);
            return false;
        } else if stream.failover.inner.due_at().is_some_and(|at| at <= now) {
            step = stream.failover.on_time(now);
        }
        match (step, current) {
            (FailoverStep::CloseCurrent, Some(number)) => {
                self.close(number);
                self.note_failure(id, number);
                self.streams[id].work = StreamWork::Moving(None, next);
                return true;
            }
            (FailoverStep::KeepCurrent, Some(number)) => {
                self.close(next);
                let stream = &mut self.streams[id];
                stream.ledger.record_received(1);
                stream.sends += 1;
                stream.last_at = current;
                stream.work = StreamWork::Following(number);
                return true;
            }
            _ => {}
        }
        let Some(part) = self.read(id, next) else {
            return false;
        };
        if self.record_outcome(id, next, part) {
            if let Some(number) = current
                && self.mutation != Mutation::KeepsBoth
            {
                self.close(number);
                self.note_failure(id, number);
            }
            self.begin_following(id, next);
            return true;
        }
        let step = self.streams[id].failover.inner.on_refused(now);
        self.restore_last(id, next);
        match current {
            Some(number) => {
                self.streams[id].last_at = current;
                self.streams[id].work = StreamWork::Following(number);
                step == FailoverStep::KeepCurrent
            }
            None => self.send_alone(id),
        }
    }
}
