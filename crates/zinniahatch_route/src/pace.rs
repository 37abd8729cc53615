//! How fast replicas generate: the time between the events of a stream, and how many events one has.
//!
//! Load pattern: at a region's peak its replicas read so many prompts between the steps of generation that
//! a stream lasts three times as long as on an idle replica, while regions off their peak stand idle. The
//! first event shows little of that, so it has figures of its own.

use zinniahatch_base::prelude::*;

/// Time after which an observed pause counts half; a batch changes with each prompt that joins it.
const HALF_LIFE: Duration = Duration::from_millis(700);
/// Events that the figure used without observations weighs.
const PRIOR_EVENTS: f64 = 6.0;
/// Quantile of the pauses that stands for an idle replica.
const IDLE_QUANTILE: f64 = 0.1;
/// Step of its tracking, as a part of the value.
const IDLE_STEP: f64 = 0.02;
/// Bounds of an observed pause, in ms: pieces that arrive together say nothing, and a stream that hangs is
/// no matter of pace.
const PAUSE_MS: (f64, f64) = (1.0, 2_000.0);
/// Weight of an answer in the average length; about the last fifty count.
const LENGTH_GAIN: f64 = 0.02;

/// The pauses between events that were seen lately.
#[derive(Clone, Copy, Debug)]
pub struct PaceMeter {
    pauses: f64,
    events: f64,
    at: Instant,
}

impl PaceMeter {
    /// Starts without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            pauses: 0.0,
            events: 0.0,
            at: now,
        }
    }

    fn faded(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let keep = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        (self.pauses * keep, self.events * keep)
    }

    /// Notes the pause before an event, in ms.
    fn note(&mut self, pause: f64, now: Instant) {
        (self.pauses, self.events) = self.faded(now);
        self.pauses += pause;
        self.events += 1.0;
        self.at = now;
    }

    /// Gives the mean pause in ms; without observations the one given.
    fn mean(&self, prior: f64, now: Instant) -> f64 {
        let (pauses, events) = self.faded(now);
        (pauses + prior * PRIOR_EVENTS) / (events + PRIOR_EVENTS)
    }
}

/// What is learned of the streams of one service.
#[derive(Clone, Debug)]
pub struct StreamModel {
    /// Pause between events on an idle replica, in ms; none until one was seen.
    idle: Option<f64>,
    /// Pauses on all replicas of the region.
    region: PaceMeter,
    /// Events for each token that a caller expects; none until a whole answer was seen.
    events_each: Option<f64>,
}

impl StreamModel {
    /// Starts without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            idle: None,
            region: PaceMeter::new(now),
            events_each: None,
        }
    }

    /// Notes the pause before an event on a replica.
    pub fn note_pause(&mut self, replica: &mut PaceMeter, pause: Duration, now: Instant) {
        let pause = pause.as_secs_f64() * 1e3;
        if !(PAUSE_MS.0..PAUSE_MS.1).contains(&pause) {
            return;
        }
        let idle = self.idle.get_or_insert(pause);
        let quantile = if pause > *idle {
            IDLE_QUANTILE
        } else {
            IDLE_QUANTILE - 1.0
        };
        *idle *= 1.0 + IDLE_STEP * quantile;
        self.region.note(pause, now);
        replica.note(pause, now);
    }

    /// Notes how many events a whole answer had, and for how many tokens the caller asked.
    pub fn note_length(&mut self, asked: u32, events: u32) {
        if asked == 0 || events == 0 {
            return;
        }
        let seen = f64::from(events) / f64::from(asked);
        let known = self.events_each.get_or_insert(seen);
        *known += LENGTH_GAIN * (seen - *known);
    }

    /// Gives the events to expect of an answer; 0 while nothing is known.
    pub fn events(&self, asked: u32) -> f64 {
        self.events_each.map_or(0.0, |each| each * f64::from(asked))
    }

    /// Gives the pause between events on an idle replica; zero while nothing is known.
    pub fn idle_pause(&self) -> Duration {
        millis(self.idle.unwrap_or(0.0))
    }

    /// Gives the pause between events to expect in the region.
    pub fn region_pause(&self, now: Instant) -> Duration {
        millis(self.region.mean(self.idle.unwrap_or(0.0), now))
    }

    /// Gives the pause between events to expect on a replica; what the region sees stands in for what this
    /// node has not seen there lately.
    pub fn replica_pause(&self, replica: &PaceMeter, now: Instant) -> Duration {
        let region = self.region.mean(self.idle.unwrap_or(0.0), now);
        millis(replica.mean(region, now))
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1e3)
}
