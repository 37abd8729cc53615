//! Replicas, connections and disturbances as they are, whatever nodes know of them.

use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time that bytes take between a node and a replica, or between two nodes.
pub(crate) const LINK_TIME: Duration = Duration::from_millis(5);
/// Time between two events of a run.
const EVENT_GAP: Duration = Duration::from_millis(40);

/// Spans of time in which something is held up.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldWindows(Vec<(Instant, Instant)>);

impl HoldWindows {
    pub(crate) fn add(&mut self, from: Instant, lasting: Duration) {
        self.0.push((from, from + lasting));
    }

    pub(crate) fn contains(&self, at: Instant) -> bool {
        self.0
            .iter()
            .any(|(from, until)| *from <= at && at < *until)
    }

    /// Returns when something that is due at a time gets through.
    pub(crate) fn release(&self, mut at: Instant) -> Instant {
        while let Some((_, until)) = self.0.iter().find(|(from, to)| *from <= at && at < *to) {
            at = *until;
        }
        at
    }
}

/// Bytes of a response, or the end of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponsePart {
    Head,
    /// First half of the event with this number.
    Begun(u32),
    /// Second half of the event with this number.
    Rest(u32),
    End,
    /// Refused, with the sends that no budget was charged for.
    Refused(u32),
    Broken,
}

/// How a replica ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashKind {
    Closes,
    LosesPower,
}

/// A replica and what is to happen to it.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) region: usize,
    pub(crate) still: HoldWindows,
    pub(crate) refusing: HoldWindows,
    pub(crate) added_at: Instant,
    pub(crate) drains_at: Option<Instant>,
    pub(crate) crash: Option<(Instant, CrashKind)>,
    /// Whether its responses begin before their first event.
    pub(crate) early_head: bool,
}

/// Where a connection leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Place {
    Replica(usize),
    Node(usize),
}

/// A connection on which a stream was sent to a place.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The stream that it belongs to.
    pub(crate) owner: usize,
    pub(crate) place: Place,
    pub(crate) arrivals: VecDeque<(Instant, ResponsePart)>,
    pub(crate) last_bytes: Instant,
    pub(crate) sent_at: Instant,
    pub(crate) is_open: bool,
    /// Whether it fell silent for good.
    pub(crate) is_dead: bool,
    /// Whether the stream arrives at a replica.
    pub(crate) arrives: bool,
    /// When a replica works on the stream.
    pub(crate) run: Option<(Instant, Instant)>,
    /// The stream that another node forwards on it.
    pub(crate) forwarded: Option<usize>,
}

impl Replica {
    pub(crate) fn new(region: usize, start: Instant, random: &mut StdRng) -> Self {
        Self {
            region,
            still: HoldWindows::default(),
            refusing: HoldWindows::default(),
            added_at: start,
            drains_at: None,
            crash: None,
            early_head: random.random_bool(0.5),
        }
    }

    pub(crate) fn runs(&self, at: Instant) -> bool {
        self.crash.is_none_or(|(crashed_at, _)| at < crashed_at)
    }

    /// Returns whether it takes new streams.
    pub(crate) fn admits(&self, at: Instant) -> bool {
        let leaving = self.drains_at.is_some_and(|drains_at| drains_at <= at);
        self.runs(at) && self.added_at <= at && !leaving && !self.refusing.contains(at)
    }

    /// Returns when the result of a probe is there, and whether it is an answer.
    pub(crate) fn answer_probe(&self, sent_at: Instant, limit: Duration) -> (Instant, bool) {
        let arrived = self.still.release(sent_at + LINK_TIME);
        let answered = self.still.release(arrived + LINK_TIME);
        let is_alive = self.runs(arrived) && answered <= sent_at + limit;
        (answered.min(sent_at + limit), is_alive)
    }

    /// Opens a connection on which the events `from..total` are asked for.
    pub(crate) fn connect(
        &self,
        owner: usize,
        place: Place,
        events: std::ops::Range<u32>,
        prefill: Duration,
        now: Instant,
    ) -> Connection {
        let mut connection = Connection::new(owner, place, now);
        let arrived = self.still.release(now + LINK_TIME);
        connection.arrives = self.runs(arrived);
        let mut made = Vec::new();
        if !self.admits(arrived) && self.runs(arrived) {
            made.push((arrived, ResponsePart::Refused(1)));
        }
        if self.admits(arrived) {
            let first = arrived + prefill;
            let end = first + EVENT_GAP * events.len() as u32;
            let head_at = if self.early_head { arrived } else { first };
            made.push((head_at, ResponsePart::Head));
            for (number, event) in events.enumerate() {
                let at = first + EVENT_GAP * number as u32;
                made.push((at, ResponsePart::Begun(event)));
                made.push((at + EVENT_GAP / 2, ResponsePart::Rest(event)));
            }
            made.push((end, ResponsePart::End));
            connection.run = Some((arrived, end));
        }
        if let Some((crashed_at, kind)) = self.crash {
            made.retain(|(at, _)| *at < crashed_at);
            connection.run = connection.run.map(|(from, to)| (from, to.min(crashed_at)));
            let is_over = made.last().is_some_and(|(_, part)| part.is_last());
            if kind == CrashKind::Closes && !is_over {
                made.push((crashed_at.max(arrived), ResponsePart::Broken));
            }
        }
        let sent = made.into_iter();
        let arrivals = sent.map(|(at, part)| (self.still.release(at + LINK_TIME), part));
        connection.arrivals = arrivals.collect();
        connection
    }
}

impl ResponsePart {
    fn is_last(self) -> bool {
        matches!(self, Self::End | Self::Refused(_))
    }
}

impl Connection {
    pub(crate) fn new(owner: usize, place: Place, now: Instant) -> Self {
        Self {
            owner,
            place,
            arrivals: VecDeque::new(),
            last_bytes: now,
            sent_at: now,
            is_open: true,
            is_dead: false,
            arrives: false,
            run: None,
            forwarded: None,
        }
    }

    /// Falls silent for good, in both directions.
    pub(crate) fn die(&mut self, now: Instant) {
        self.is_dead = true;
        self.arrivals.retain(|(at, _)| *at <= now);
    }

    /// Returns the next bytes that have arrived, and leaves them to be read.
    pub(crate) fn peek(&self, now: Instant) -> Option<ResponsePart> {
        let (at, part) = self.arrivals.front()?;
        (*at <= now).then_some(*part)
    }

    pub(crate) fn read(&mut self, now: Instant) -> Option<ResponsePart> {
        let part = self.peek(now)?;
        self.arrivals.pop_front();
        self.last_bytes = now;
        Some(part)
    }
}
