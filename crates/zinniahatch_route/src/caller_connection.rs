//! Decides when a node closes the connection of a caller.
//!
//! A connection is held to what its last answer said, and to the limits in force when they are applied:
//! a caller that is told a longer idle time uses it on the connection that it has.

use crate::desired::CallerLimits;
use crate::lingering::LINGER_QUIET_TIME;
use zinniahatch_base::prelude::*;

/// Time for which a connection stays open beyond the limits of callers, for bytes in transit.
pub const CONNECTION_SLACK: Duration = Duration::from_secs(2);

string_enum! {
    /// Why a node closes a connection to it.
    pub enum CloseReason {
        /// It was idle for longer than allowed.
        Idle = "idle",
        /// The head of a request took longer than allowed to arrive.
        SlowHead = "slow-head",
        /// The head of a request is larger than allowed.
        LargeHead = "large-head",
        /// The head of a request is not complete and finds no memory.
        HeadMemory = "head-memory",
        /// The caller stopped reading an answer.
        UnreadAnswer = "unread-answer",
        /// The node stops.
        Stopping = "stopping",
        /// The node stops, and no request has arrived on it.
        StoppingUnused = "stopping-unused",
    }
}

impl CloseReason {
    /// Returns whether nothing is in progress on the connection.
    pub fn is_idle(self) -> bool {
        matches!(self, Self::Idle | Self::Stopping | Self::StoppingUnused)
    }

    /// Returns whether it is closed with an answer, the refusal of an incomplete head.
    fn is_refusal(self) -> bool {
        matches!(self, Self::SlowHead | Self::LargeHead | Self::HeadMemory)
    }
}

string_enum! {
    /// Progress of the requests on a connection, for logs.
    pub enum ConnectionStage {
        /// No request has arrived.
        Unused = "unused",
        /// The last answer has been sent.
        Idle = "idle",
        /// A part of a head has arrived.
        Head = "head",
        /// A request is in flight.
        Request = "request",
        /// An answer is not entirely sent.
        Answered = "answered",
    }
}

/// Progress of the requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// Nothing has arrived since this time, that of the last answer.
    Idle(Instant),
    /// A part of a head has arrived.
    Head { since: Instant, bytes: usize },
    /// A request is in flight.
    Request,
    /// An answer is complete and not entirely sent; the last part of it was sent at this time.
    Answered(Instant),
}

/// A connection on which callers or other nodes send requests.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    phase: ConnectionPhase,
    /// Whether a request has arrived on it.
    used: bool,
    /// Idle time that the last answer announced.
    announced: Duration,
}

impl CallerConnection {
    /// Starts with a connection on which nothing has arrived.
    pub fn new(now: Instant) -> Self {
        Self {
            phase: ConnectionPhase::Idle(now),
            used: false,
            announced: Duration::ZERO,
        }
    }

    /// Records that bytes have arrived, or wait to be read if `count` is 0.
    pub fn on_bytes(&mut self, count: usize, now: Instant) {
        match &mut self.phase {
            ConnectionPhase::Idle(_) => {
                self.phase = ConnectionPhase::Head {
                    since: now,
                    bytes: count,
                };
            }
            ConnectionPhase::Head { bytes, .. } => *bytes += count,
            ConnectionPhase::Request | ConnectionPhase::Answered(_) => {}
        }
    }

    /// Records that the head of a request is complete.
    pub fn on_request(&mut self) {
        self.phase = ConnectionPhase::Request;
        self.used = true;
    }

    /// Records the idle time that an answer announces.
    pub fn on_announced(&mut self, idle_timeout: Duration) {
        self.announced = idle_timeout;
    }

    /// Records that no more of the answer will follow.
    pub fn on_answered(&mut self, now: Instant) {
        self.phase = ConnectionPhase::Answered(now);
    }

    /// Records that bytes have been sent.
    pub fn on_sent(&mut self, now: Instant) {
        if let ConnectionPhase::Answered(since) = &mut self.phase {
            *since = now;
        }
    }

    /// Records that everything written has been sent.
    pub fn on_flushed(&mut self, now: Instant) {
        if matches!(self.phase, ConnectionPhase::Answered(_)) {
            self.phase = ConnectionPhase::Idle(now);
        }
    }

    /// Returns whether nothing has arrived since the last answer.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Idle(_))
    }

    /// Returns the progress of its requests.
    pub fn stage(&self) -> ConnectionStage {
        match self.phase {
            ConnectionPhase::Idle(_) if !self.used => ConnectionStage::Unused,
            ConnectionPhase::Idle(_) => ConnectionStage::Idle,
            ConnectionPhase::Head { .. } => ConnectionStage::Head,
            ConnectionPhase::Request => ConnectionStage::Request,
            ConnectionPhase::Answered(_) => ConnectionStage::Answered,
        }
    }

    /// Returns why a node that disconnects closes it, if it does.
    pub fn stop_reason(&self) -> Option<CloseReason> {
        match self.stage() {
            ConnectionStage::Idle => Some(CloseReason::Stopping),
            ConnectionStage::Unused => Some(CloseReason::StoppingUnused),
            _ => None,
        }
    }

    /// Returns whether to read what still arrives once it is closed, since a reset would discard an answer
    /// that is on its way.
    ///
    /// What arrives on a connection that has been idle is a new request. It stays unread, because a caller
    /// may send a request again that was not read.
    pub fn lingers(&self, reason: CloseReason, now: Instant) -> bool {
        match self.phase {
            _ if reason.is_refusal() => true,
            ConnectionPhase::Idle(since) => {
                self.used && now.saturating_duration_since(since) < LINGER_QUIET_TIME
            }
            ConnectionPhase::Head { .. }
            | ConnectionPhase::Request
            | ConnectionPhase::Answered(_) => false,
        }
    }

    /// Returns whether a request was received whose answer has not been sent to its end.
    pub fn owes_answer(&self) -> bool {
        matches!(
            self.phase,
            ConnectionPhase::Request | ConnectionPhase::Answered(_)
        )
    }

    /// Returns how much of a head has arrived; `None` if none is incomplete.
    pub fn head_bytes(&self) -> Option<usize> {
        match self.phase {
            ConnectionPhase::Head { bytes, .. } => Some(bytes),
            _ => None,
        }
    }

    /// Returns whether the part of a head that has arrived is larger than `limit`.
    pub fn has_large_head(&self, limit: usize) -> bool {
        matches!(self.phase, ConnectionPhase::Head { bytes, .. } if bytes > limit)
    }

    /// Returns when the connection is to be closed if nothing changes, and why.
    pub fn due(&self, limits: &CallerLimits) -> Option<(Instant, CloseReason)> {
        let idle_limit = self.announced.max(limits.idle_timeout);
        let (since, limit, reason) = match self.phase {
            ConnectionPhase::Idle(since) => (since, idle_limit, CloseReason::Idle),
            ConnectionPhase::Answered(since) => (since, idle_limit, CloseReason::UnreadAnswer),
            ConnectionPhase::Head { since, .. } => {
                (since, limits.header_timeout, CloseReason::SlowHead)
            }
            ConnectionPhase::Request => return None,
        };
        let due_at = since.checked_add(limit.saturating_add(CONNECTION_SLACK))?;
        Some((due_at, reason))
    }
}
