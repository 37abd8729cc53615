//! What a caller's connection is doing, and since when.

use zinniahatch_base::prelude::*;

string_enum! {
    /// Why a node closes a connection to it.
    pub enum CloseReason {
        /// It was idle for longer than allowed.
        Idle = "idle",
        /// The head of a request took longer than allowed to arrive.
        SlowHead = "slow-head",
        /// The head of a request is larger than allowed.
        LargeHead = "large-head",
        /// The node stops.
        Stopping = "stopping",
    }
}

/// Progress of the requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// Nothing has arrived since the last answer.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A request is in flight.
    Request,
    /// An answer is complete and not entirely sent.
    Answered,
}

/// A connection on which callers or other nodes send requests.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    phase: ConnectionPhase,
    idle_since: Instant,
}

impl CallerConnection {
    /// Starts with a connection on which nothing has arrived.
    pub fn new(now: Instant) -> Self {
        Self {
            phase: ConnectionPhase::Idle,
            idle_since: now,
        }
    }

    /// Records that bytes have arrived.
    pub fn on_bytes(&mut self) {
        if self.phase == ConnectionPhase::Idle {
            self.phase = ConnectionPhase::Head;
        }
    }

    /// Records that the head of a request is complete.
    pub fn on_request(&mut self) {
        self.phase = ConnectionPhase::Request;
    }

    /// Records that no more of the answer will follow.
    pub fn on_answered(&mut self) {
        self.phase = ConnectionPhase::Answered;
    }

    /// Records that everything written has been sent.
    pub fn on_flushed(&mut self, now: Instant) {
        if self.phase == ConnectionPhase::Answered {
            self.phase = ConnectionPhase::Idle;
            self.idle_since = now;
        }
    }

    /// Returns whether nothing has arrived since the last answer.
    pub fn is_idle(&self) -> bool {
        self.phase == ConnectionPhase::Idle
    }

    /// Returns which limit was reached if no complete head has arrived for `limit` since the last
    /// answer.
    pub fn reached_limit(&self, limit: Duration, now: Instant) -> Option<CloseReason> {
        if now.saturating_duration_since(self.idle_since) < limit {
            return None;
        }
        match self.phase {
            ConnectionPhase::Idle => Some(CloseReason::Idle),
            ConnectionPhase::Head => Some(CloseReason::SlowHead),
            ConnectionPhase::Request | ConnectionPhase::Answered => None,
        }
    }
}
