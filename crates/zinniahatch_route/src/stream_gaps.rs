//! Decoding speed of replicas: the gap between the events of a stream, and the events per response.
//!
//! Load pattern: at a region's peak its replicas prefill so many prompts between decoding steps
//! that a stream lasts three times as long as on an idle replica, while regions off their peak are
//! idle. The time to the first event shows little of that, so streams have parameters of their own.

use zinniahatch_base::prelude::*;

/// Half-life of an observed gap; a batch changes with each prompt that joins it.
const HALF_LIFE: Duration = Duration::from_millis(700);
/// Weight of the prior, in events.
const PRIOR_EVENTS: f64 = 6.0;
/// Quantile of the gaps that stands for an idle replica.
const IDLE_QUANTILE: f64 = 0.1;
/// Step of its tracking, relative to the value.
const IDLE_STEP: f64 = 0.02;
/// Bounds of an observed gap, in ms: events that arrive together carry no information, and a
/// stalled stream says nothing about decoding speed.
const GAP_MS_BOUNDS: (f64, f64) = (1.0, 2_000.0);
/// Weight of a response in the average length; about the last fifty responses count.
const LENGTH_GAIN: f64 = 0.02;

/// Decaying average of the gaps between events.
#[derive(Clone, Copy, Debug)]
pub struct GapMeter {
    gaps_ms: f64,
    events: f64,
    at: Instant,
}

impl GapMeter {
    /// Creates a meter without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            gaps_ms: 0.0,
            events: 0.0,
            at: now,
        }
    }

    fn decayed(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let keep = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        (self.gaps_ms * keep, self.events * keep)
    }

    /// Records the gap before an event, in ms.
    fn note(&mut self, gap: f64, now: Instant) {
        (self.gaps_ms, self.events) = self.decayed(now);
        self.gaps_ms += gap;
        self.events += 1.0;
        self.at = now;
    }

    /// Returns the mean gap in ms, or the prior without observations.
    fn mean(&self, prior: f64, now: Instant) -> f64 {
        let (gaps_ms, events) = self.decayed(now);
        (gaps_ms + prior * PRIOR_EVENTS) / (events + PRIOR_EVENTS)
    }
}

/// Learned parameters of the streams of one service.
#[derive(Clone, Debug)]
pub struct StreamModel {
    /// Gap between events on an idle replica, in ms; `None` until one was observed.
    idle: Option<f64>,
    /// Gaps on all replicas of the region.
    region: GapMeter,
    /// Events per token that a caller expects; `None` until a complete response was observed.
    events_each: Option<f64>,
}

impl StreamModel {
    /// Creates a model without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            idle: None,
            region: GapMeter::new(now),
            events_each: None,
        }
    }

    /// Records the gap before an event on a replica.
    pub fn note_gap(&mut self, replica: &mut GapMeter, gap: Duration, now: Instant) {
        let gap = gap.as_secs_f64() * 1e3;
        if !(GAP_MS_BOUNDS.0..GAP_MS_BOUNDS.1).contains(&gap) {
            return;
        }
        let idle = self.idle.get_or_insert(gap);
        let quantile = if gap > *idle {
            IDLE_QUANTILE
        } else {
            IDLE_QUANTILE - 1.0
        };
        *idle *= 1.0 + IDLE_STEP * quantile;
        self.region.note(gap, now);
        replica.note(gap, now);
    }

    /// Records how many events a complete response had, and how many output tokens were expected.
    pub fn note_length(&mut self, output_tokens: u32, events: u32) {
        if output_tokens == 0 || events == 0 {
            return;
        }
        let seen = f64::from(events) / f64::from(output_tokens);
        let known = self.events_each.get_or_insert(seen);
        *known += LENGTH_GAIN * (seen - *known);
    }

    /// Returns the expected number of events of a response; 0 if unknown.
    pub fn events(&self, output_tokens: u32) -> f64 {
        self.events_each
            .map_or(0.0, |each| each * f64::from(output_tokens))
    }

    /// Returns the gap between events on an idle replica; zero if unknown.
    pub fn idle_gap(&self) -> Duration {
        millis(self.idle.unwrap_or(0.0))
    }

    /// Returns the expected gap between events in the region.
    pub fn region_gap(&self, now: Instant) -> Duration {
        millis(self.region.mean(self.idle.unwrap_or(0.0), now))
    }

    /// Returns the expected gap between events on a replica; the average of the region stands in
    /// for gaps that this node has not observed there recently.
    pub fn replica_gap(&self, replica: &GapMeter, now: Instant) -> Duration {
        let region = self.region.mean(self.idle.unwrap_or(0.0), now);
        millis(replica.mean(region, now))
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1e3)
}
