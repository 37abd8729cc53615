//! Health of a replica, derived from the responses to requests (passive health checks).
//!
//! Active health checks can pass while requests fail, and a replica can go silent without closing
//! its connections. The record is therefore kept from responses alone: failures decay within
//! seconds, and silence counts while requests are in flight.

use crate::PauseDetector;
use zinniahatch_base::prelude::*;

/// Half-life of a failure; a replica with partial failures gets new work after a few seconds and is
/// judged by that.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of successes that every replica starts with, so that a single failure does not decide.
const PRIOR_SUCCESSES: f64 = 4.0;
/// Largest number of refusals remembered, so that a burst of them decays within a few seconds too.
const MAX_REFUSALS: f64 = 8.0;
/// Silence with requests in flight after which a replica is suspect. Streams send every few tens of
/// ms, and a lost packet costs about 200 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
/// Time for which a suspect replica gets no new work before it is tried again.
const SUSPECT_TIME: Duration = Duration::from_millis(1500);

/// Health record of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaHealth {
    successes: f64,
    failures: f64,
    /// Requests that it refused without stating a time.
    refusals: f64,
    updated: Instant,
    last_bytes: Instant,
    /// When bytes of a response last arrived, as opposed to those of a probe.
    last_response_bytes: Instant,
    oldest_in_flight: Option<Instant>,
    prefill_allowance: Duration,
    suspect_until: Option<Instant>,
    /// Until when it is suspect because a probe had no answer, unless bytes arrive before.
    unanswered_until: Option<Instant>,
    pauses: PauseDetector,
}

impl ReplicaHealth {
    /// Creates a record.
    pub fn new(now: Instant) -> Self {
        Self {
            successes: PRIOR_SUCCESSES,
            failures: 0.0,
            refusals: 0.0,
            updated: now,
            last_bytes: now,
            last_response_bytes: now,
            oldest_in_flight: None,
            prefill_allowance: Duration::ZERO,
            suspect_until: None,
            unanswered_until: None,
            pauses: PauseDetector::default(),
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.successes = PRIOR_SUCCESSES + (self.successes - PRIOR_SUCCESSES) * decay;
        self.failures *= decay;
        self.refusals *= decay;
        self.updated = now;
    }

    /// Records a successful response.
    pub fn note_success(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
        self.note_bytes(now);
        self.suspect_until = None;
    }

    /// Records a failure of the replica: a broken connection, an error status or a corrupt
    /// response.
    pub fn note_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failures += 1.0;
    }

    /// Records that the replica refused a request without stating a time for which it wants none.
    pub fn note_refusal(&mut self, now: Instant) {
        self.decay(now);
        self.refusals = (self.refusals + 1.0).min(MAX_REFUSALS);
    }

    /// Records that the replica could not be reached.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.note_failure(now);
        self.suspect_until = Some(now + SUSPECT_TIME);
    }

    /// Records that bytes arrived from the replica.
    pub fn note_bytes(&mut self, now: Instant) {
        self.last_bytes = now;
        self.last_response_bytes = now;
        self.unanswered_until = None;
    }

    /// Returns when bytes last arrived from the replica, on any connection.
    pub fn last_heard(&self) -> Instant {
        self.last_bytes
    }

    /// Returns when bytes of a response to a request last arrived from the replica.
    pub fn last_responded(&self) -> Instant {
        self.last_response_bytes
    }

    /// Notices pauses of this node. Called on every tick.
    pub fn tick(&mut self, now: Instant) {
        self.pauses.tick(now);
    }

    /// Sets when the oldest in-flight request was sent, and how long the replica may be silent
    /// while it prefills prompts.
    pub fn set_oldest_in_flight(&mut self, oldest: Option<Instant>, prefill_allowance: Duration) {
        self.oldest_in_flight = oldest;
        self.prefill_allowance = prefill_allowance;
    }

    /// Records that a probe on a new connection was answered.
    pub fn note_probe_success(&mut self, now: Instant) {
        self.last_bytes = now;
        self.suspect_until = None;
        self.unanswered_until = None;
    }

    /// Records that a probe sent at `sent` had no answer in time, which means nothing if bytes arrived
    /// or this node stood still since.
    pub fn note_unanswered_probe(&mut self, sent: Instant, now: Instant) {
        if self.last_bytes > sent || self.pauses.has_paused_since(sent, now) {
            return;
        }
        self.note_failure(now);
        self.unanswered_until = Some(now + SUSPECT_TIME);
    }

    /// Returns the failure rate, 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let mut decayed = self.clone();
        decayed.decay(now);
        decayed.failures / (decayed.failures + decayed.successes)
    }

    /// Returns the rate of refusals among the requests that it answered, 0 to 1.
    pub fn refusal_rate(&self, now: Instant) -> f64 {
        let mut decayed = self.clone();
        decayed.decay(now);
        decayed.refusals / (decayed.refusals + decayed.successes)
    }

    /// Returns whether the replica should get no new work for now.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let until = self.suspect_until.max(self.unanswered_until);
        if until.is_some_and(|until| now < until) {
            return true;
        }
        let Some(oldest) = self.oldest_in_flight else {
            return false;
        };
        let silent_since = oldest.max(self.last_bytes);
        self.pauses.silence(silent_since, now) > SILENCE_LIMIT + self.prefill_allowance
    }
}
