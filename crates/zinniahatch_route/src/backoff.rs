//! Backoffs that replicas ask of this node.
//!
//! A replica that refuses a request may ask this node to send nothing for a while. After that, one
//! request probes whether it accepts work again, and each accepted request widens the window: one
//! by one up to half of what was in flight at the refusal (slow start), then by a fraction of a
//! request at a time. Without this ramp, the requests of all nodes that it had refused would come
//! back at once, and it would ask for a backoff again.

use zinniahatch_base::prelude::*;

/// Longest backoff; after it one request probes whether the replica accepts work.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Jitter added to a backoff, relative to it, so that the nodes do not come back at the same
/// moment.
const JITTER: f64 = 0.1;
/// Largest jitter.
const MAX_JITTER: Duration = Duration::from_millis(500);
/// Time after the last request sent since a backoff from which unanswered ones no longer count as
/// in flight.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a backoff for which requests to the replica are bounded by the window.
const RAMP_TIME: Duration = Duration::from_secs(30);
/// Time after which a replica with a full window is checked again.
const RECHECK_TIME: Duration = Duration::from_millis(100);
/// Largest number of backoffs kept.
const MAX_ROWS: usize = 4_096;

/// Backoff of one replica incarnation, and the window of requests after it.
#[derive(Clone, Copy, Debug)]
struct BackoffRow {
    until: Instant,
    /// Number of requests that may be in flight after the backoff.
    window: f64,
    /// Window size from which growth is slow.
    slow_start_threshold: f64,
    /// Requests sent after the backoff and not answered, and when the last one was sent.
    in_flight: u32,
    sent_at: Instant,
    /// Whether the replica has accepted a request since the backoff.
    recovered: bool,
}

impl BackoffRow {
    fn new(until: Instant, in_flight_before: u32) -> Self {
        Self {
            until,
            window: 1.0,
            slow_start_threshold: f64::from(in_flight_before) / 2.0,
            in_flight: 0,
            sent_at: until,
            recovered: false,
        }
    }

    /// Starts another backoff.
    fn begin(&mut self, until: Instant) {
        self.until = until;
        self.slow_start_threshold = self.window / 2.0;
        self.window = 1.0;
        self.in_flight = 0;
        self.recovered = false;
    }

    fn wait(&self, now: Instant) -> Duration {
        if now < self.until {
            return self.until.saturating_duration_since(now);
        }
        let timed_out = now.saturating_duration_since(self.sent_at) >= RESPONSE_TIMEOUT;
        let full = f64::from(self.in_flight) >= self.window.floor();
        if full && !timed_out {
            RECHECK_TIME
        } else {
            Duration::ZERO
        }
    }

    fn grow(&mut self) {
        self.window += if self.window < self.slow_start_threshold {
            1.0
        } else {
            1.0 / self.window
        };
    }
}

/// Effect of a requested backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffChange {
    /// A backoff began; the replica is sent nothing for this duration.
    Began(Duration),
    /// The current backoff was extended; it now lasts for this duration.
    Lengthened(Duration),
    /// The current backoff already lasts longer.
    Covered,
}

/// All backoffs that replicas asked of this node.
#[derive(Clone, Debug, Default)]
pub struct BackoffTable {
    rows: BTreeMap<ShortTag, BackoffRow>,
}

impl BackoffTable {
    /// Records a backoff that a replica asks for; `in_flight_before` is the number of this node's
    /// requests there, `random` the source of the jitter.
    pub(crate) fn note_requested(
        &mut self,
        replica: ShortTag,
        backoff: Duration,
        in_flight_before: u32,
        random: u64,
        now: Instant,
    ) -> Option<BackoffChange> {
        if backoff.is_zero() {
            return None;
        }
        let backoff = backoff.min(MAX_BACKOFF);
        let fraction = random as f64 / u64::MAX as f64;
        let jitter = backoff.mul_f64(JITTER).min(MAX_JITTER).mul_f64(fraction);
        let until = now + backoff + jitter;
        let duration = until.saturating_duration_since(now);
        if let Some(row) = self.rows.get_mut(&replica) {
            if until <= row.until {
                return Some(BackoffChange::Covered);
            }
            if row.until > now {
                row.until = until;
                return Some(BackoffChange::Lengthened(duration));
            }
            row.begin(until);
            return Some(BackoffChange::Began(duration));
        }
        if self.rows.len() >= MAX_ROWS {
            self.evict_earliest();
        }
        self.rows
            .insert(replica, BackoffRow::new(until, in_flight_before));
        Some(BackoffChange::Began(duration))
    }

    /// Evicts the backoff that ends first.
    fn evict_earliest(&mut self) {
        let first = self.rows.iter().min_by_key(|(_, row)| row.until);
        if let Some(replica) = first.map(|(replica, _)| *replica) {
            self.rows.remove(&replica);
        }
    }

    /// Records a response and whether the replica accepted the request; returns whether it is the
    /// first accepted one since the backoff. The response to a request sent before the end of the
    /// backoff is ignored.
    pub(crate) fn note_response(
        &mut self,
        replica: ShortTag,
        accepted: bool,
        sent_at: Instant,
    ) -> bool {
        let Some(row) = self.rows.get_mut(&replica) else {
            return false;
        };
        if sent_at < row.until {
            return false;
        }
        row.in_flight = row.in_flight.saturating_sub(1);
        if !accepted {
            return false;
        }
        row.grow();
        !std::mem::replace(&mut row.recovered, true)
    }

    /// Returns whether a replica is in backoff or has not accepted a request since.
    pub fn is_unrecovered(&self, replica: ShortTag) -> bool {
        self.rows.get(&replica).is_some_and(|row| !row.recovered)
    }

    /// Returns whether a replica asked to be sent nothing now.
    pub(crate) fn is_backing_off(&self, replica: ShortTag, now: Instant) -> bool {
        self.rows.get(&replica).is_some_and(|row| now < row.until)
    }

    /// Returns whether one more request may be sent now.
    pub fn allows(&self, replica: ShortTag, now: Instant) -> bool {
        self.wait(replica, now).is_zero()
    }

    /// Returns the time after which one more request may be sent.
    pub fn wait(&self, replica: ShortTag, now: Instant) -> Duration {
        let row = self.rows.get(&replica);
        row.map_or(Duration::ZERO, |row| row.wait(now))
    }

    /// Takes one request from the window; returns whether it may be sent.
    pub(crate) fn take(&mut self, replica: ShortTag, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(&replica) else {
            return true;
        };
        if !row.wait(now).is_zero() {
            return false;
        }
        if now.saturating_duration_since(row.sent_at) >= RESPONSE_TIMEOUT {
            row.in_flight = 0;
        }
        row.in_flight += 1;
        row.sent_at = now;
        true
    }

    /// Returns how many replicas are in backoff or have not accepted a request since.
    pub fn count(&self) -> usize {
        self.rows.values().filter(|row| !row.recovered).count()
    }

    /// Removes backoffs that ended more than the ramp time ago. Those of a replica whose entry was
    /// removed stay, since the entry may come back. Called on every tick.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.until + RAMP_TIME);
    }
}
