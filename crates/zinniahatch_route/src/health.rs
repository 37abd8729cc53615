//! What answers say of a replica's health.
//!
//! Health checks pass while requests fail, and a replica goes dark without a word. So the record
//! is kept from answers alone: failures decay within seconds, and silence counts while requests
//! are open.

use zinniahatch_base::prelude::*;

/// Half-life of a failure; a replica that was grey gets new work a few seconds later, and is
/// judged anew from that.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the good answers that a replica starts with, so that one failure is no verdict.
const PRIOR_GOOD: f64 = 4.0;
/// Silence with requests open after which a replica is suspected. Streams send every few ten ms
/// and a lost packet costs about 200 ms.
const SILENCE: Duration = Duration::from_millis(900);
/// Time for which a suspect gets no new work before it is tried again.
const SUSPECT_TIME: Duration = Duration::from_millis(1500);

/// The record of one replica.
#[derive(Clone, Debug)]
pub struct HealthRecord {
    good: f64,
    bad: f64,
    at: Instant,
    heard: Instant,
    oldest_open: Option<Instant>,
    allowance: Duration,
    suspect_until: Option<Instant>,
}

impl HealthRecord {
    /// Starts a record.
    pub fn new(now: Instant) -> Self {
        Self {
            good: PRIOR_GOOD,
            bad: 0.0,
            at: now,
            heard: now,
            oldest_open: None,
            allowance: Duration::ZERO,
            suspect_until: None,
        }
    }

    fn fade(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let keep = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.good = PRIOR_GOOD + (self.good - PRIOR_GOOD) * keep;
        self.bad *= keep;
        self.at = now;
    }

    /// Notes a good answer.
    pub fn note_good(&mut self, now: Instant) {
        self.fade(now);
        self.good += 1.0;
        self.heard = now;
        self.suspect_until = None;
    }

    /// Notes a failure of the replica: a broken channel, a failure status, a spoilt answer.
    pub fn note_bad(&mut self, now: Instant) {
        self.fade(now);
        self.bad += 1.0;
    }

    /// Notes that the replica could not be reached at all.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.note_bad(now);
        self.suspect_until = Some(now + SUSPECT_TIME);
    }

    /// Notes bytes from the replica.
    pub fn note_heard(&mut self, now: Instant) {
        self.heard = now;
    }

    /// Notes the start of the oldest open request, none where nothing is open, and the time for
    /// which the replica may be silent because it reads prompts.
    pub fn note_open(&mut self, oldest: Option<Instant>, allowance: Duration) {
        self.oldest_open = oldest;
        self.allowance = allowance;
    }

    /// Notes that a probe on a new connection was answered.
    pub fn note_probed(&mut self, now: Instant) {
        self.heard = now;
        self.suspect_until = None;
    }

    /// Gives the share of failures, 0 to 1.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let mut faded = self.clone();
        faded.fade(now);
        faded.bad / (faded.bad + faded.good)
    }

    /// Tells whether the replica should get no new work for now.
    pub fn is_suspect(&self, now: Instant) -> bool {
        if self.suspect_until.is_some_and(|until| now < until) {
            return true;
        }
        let Some(open) = self.oldest_open else {
            return false;
        };
        let silent_since = open.max(self.heard);
        now.saturating_duration_since(silent_since) > SILENCE + self.allowance
    }
}
