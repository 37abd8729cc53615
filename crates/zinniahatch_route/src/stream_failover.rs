//! Decides when a stream leaves the connection that it arrives on.
//!
//! A replica may be still for a second and go on, a connection may be silent for good while its
//! replica serves others, and a machine may have lost its power without a sign. As long as nothing
//! tells these apart, a stream keeps the connection that it has: that one is closed only after
//! another replica was sent the request and had time to refuse it.

use zinniahatch_base::prelude::*;

/// Silence after which another replica is looked for. A sound one may be still for a second or so, and
/// callers wait two seconds or more for an event.
pub const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Multiple of the expected time to the first event for which silence before that event is no reason
/// to look; the longer of the two times applies.
const EXPECTED_FACTOR: u32 = 3;
/// Time after which another replica is looked for again.
pub const SEEK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which a request is open at two replicas. A refusal comes within it, and the
/// replica that is left has to stop within 400 ms.
const OVERLAP_LIMIT: Duration = Duration::from_millis(250);
/// Lateness of a timer by which this node must have stood still itself. What arrived meanwhile is yet
/// to be read.
const PAUSE_LATENESS: Duration = Duration::from_millis(500);

/// What a stream does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverStep {
    /// Nothing but go on waiting.
    Wait,
    /// Look for another replica that can go on with the stream, and keep the connection meanwhile.
    Seek,
    /// Close the connection that is silent and wait for the next replica alone.
    CloseCurrent,
    /// Stop looking, and close the connection to the next replica if there is one.
    KeepCurrent,
    /// Go on at the next replica, and close the connection that was silent if it is still open.
    Switch,
    /// No connection is left.
    Break,
}

/// Why a request keeps its connection, whatever happens on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PinReason {
    /// It may not run again.
    NotRepeatable,
    /// It has no send left.
    LastSend,
}

impl PinReason {
    /// Returns the name used in log lines and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::LastSend => "last_send",
        }
    }
}

/// Where a stream is between two replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailoverPhase {
    /// It has one connection.
    Following,
    /// It has one connection, and another replica is being looked for.
    Seeking,
    /// The next replica was sent the request at this time, and both connections are open.
    Overlapping(Instant),
    /// Only the connection to the next replica is left.
    Waiting,
}

/// Connections of one request and the silence of the current one.
#[derive(Clone, Debug)]
pub struct StreamFailover {
    phase: FailoverPhase,
    /// When a silence of the connection is noticed, or the next look for another replica is due.
    silent_at: Instant,
    /// Why no other replica is ever looked for. Nothing clears it: a time that stands for "never" would be
    /// moved by the next bytes.
    pinned: Option<PinReason>,
}

impl StreamFailover {
    /// Starts with a connection whose first event is expected within the given time.
    pub fn new(expected: Duration, now: Instant) -> Self {
        Self {
            phase: FailoverPhase::Following,
            silent_at: now + first_event_limit(expected),
            pinned: None,
        }
    }

    /// Starts with the last connection that the request may have.
    pub fn pinned(reason: PinReason, expected: Duration, now: Instant) -> Self {
        Self {
            pinned: Some(reason),
            ..Self::new(expected, now)
        }
    }

    /// Starts with a connection on which something is expected until `limit`.
    pub fn with_limit(limit: Instant, now: Instant) -> Self {
        Self {
            silent_at: limit,
            ..Self::new(Duration::ZERO, now)
        }
    }

    /// Returns why no other replica is ever looked for, if that is so.
    pub fn pin_reason(&self) -> Option<PinReason> {
        self.pinned
    }

    /// Keeps the connection from now on, whatever happens on it.
    pub fn pin(&mut self, reason: PinReason) {
        self.phase = FailoverPhase::Following;
        self.pinned.get_or_insert(reason);
    }

    /// Returns when a silence of the current connection is noticed.
    pub fn silent_at(&self) -> Instant {
        self.silent_at
    }

    /// Returns when `on_time` is to be called; `None` if nothing is due.
    pub fn due_at(&self) -> Option<Instant> {
        if self.pinned.is_some() {
            return None;
        }
        match self.phase {
            FailoverPhase::Following => Some(self.silent_at),
            FailoverPhase::Overlapping(sent_at) => Some(sent_at + OVERLAP_LIMIT),
            FailoverPhase::Seeking | FailoverPhase::Waiting => None,
        }
    }

    /// Handles the time that `due_at` returned.
    pub fn on_time(&mut self, now: Instant) -> FailoverStep {
        if self.pinned.is_some() {
            return FailoverStep::Wait;
        }
        match self.phase {
            FailoverPhase::Following if now >= self.silent_at + PAUSE_LATENESS => {
                self.restart(now);
                FailoverStep::Wait
            }
            FailoverPhase::Following if now >= self.silent_at => {
                self.phase = FailoverPhase::Seeking;
                FailoverStep::Seek
            }
            FailoverPhase::Overlapping(sent_at) if now >= sent_at + OVERLAP_LIMIT => {
                self.phase = FailoverPhase::Waiting;
                FailoverStep::CloseCurrent
            }
            _ => FailoverStep::Wait,
        }
    }

    /// Handles bytes on the current connection.
    pub fn on_bytes(&mut self, now: Instant) -> FailoverStep {
        let was_following = self.phase == FailoverPhase::Following;
        self.restart(now);
        if was_following {
            FailoverStep::Wait
        } else {
            FailoverStep::KeepCurrent
        }
    }

    /// Learns when bytes last arrived on the current connection, which its silence begins after.
    pub fn on_heard(&mut self, heard_at: Instant) {
        self.silent_at = self.silent_at.max(heard_at + STREAM_SILENCE_LIMIT);
    }

    /// Handles the end of the current connection before the stream is complete.
    pub fn on_break(&mut self) -> FailoverStep {
        match self.phase {
            FailoverPhase::Overlapping(_) => {
                self.phase = FailoverPhase::Waiting;
                FailoverStep::CloseCurrent
            }
            _ => FailoverStep::Break,
        }
    }

    /// Records that no other replica can take the stream now.
    pub fn on_no_place(&mut self, now: Instant) {
        self.phase = FailoverPhase::Following;
        self.silent_at = now + SEEK_INTERVAL;
    }

    /// Records that the next replica is being sent the request.
    pub fn on_sent(&mut self, now: Instant) {
        if self.pinned.is_none() {
            self.phase = FailoverPhase::Overlapping(now);
        }
    }

    /// Handles a refusal or failure of the next replica.
    pub fn on_refused(&mut self, now: Instant) -> FailoverStep {
        if self.phase == FailoverPhase::Waiting {
            return FailoverStep::Break;
        }
        self.on_no_place(now);
        FailoverStep::KeepCurrent
    }

    /// Handles the beginning of the next replica's response, whose first event is expected within the
    /// given time.
    pub fn on_answered(&mut self, expected: Duration, now: Instant) -> FailoverStep {
        self.follow(expected, now);
        FailoverStep::Switch
    }

    fn restart(&mut self, now: Instant) {
        self.follow(Duration::ZERO, now);
    }

    /// Follows one connection, on which something is expected within the given time.
    fn follow(&mut self, expected: Duration, now: Instant) {
        *self = Self {
            pinned: self.pinned,
            ..Self::new(expected, now)
        };
    }
}

/// Returns the longest silence before a first event that is no reason to look for another replica.
pub fn first_event_limit(expected: Duration) -> Duration {
    STREAM_SILENCE_LIMIT.max(expected * EXPECTED_FACTOR)
}
