//! When the first event of an answer would come: one model for routing, admission and going away.
//!
//! `time = base + per_token * tokens to read`. Both figures are learned from answers by a decayed
//! least-squares line, because engines differ tenfold and nobody tells their reading rate.

use zinniahatch_base::prelude::*;

/// Share of its weight that the past keeps at each new sample; about the last 100 count.
const DECAY: f64 = 0.99;
/// Weight of the prior in samples; a few real answers outvote it.
const PRIOR_WEIGHT: f64 = 4.0;
/// Prior time per token to read, in ms; the middle of what engines of a 70B model do.
const PRIOR_TOKEN_MS: f64 = 0.025;
/// Bounds of the learned time per token, in ms: 2 to 1,000 tokens a millisecond.
const TOKEN_MS: (f64, f64) = (0.001, 0.5);
/// Bounds of the learned base, in ms.
const BASE_MS: (f64, f64) = (1.0, 5_000.0);
/// Tokens at which the prior line is held; far enough out to fix its slope.
const PRIOR_TOKENS: f64 = 8_000.0;

/// One observed answer.
#[derive(Clone, Copy, Debug)]
pub struct ModelSample {
    /// Tokens that had to be read before the first event, those ahead included.
    pub tokens: u32,
    /// Time from sending to the first event.
    pub took: Duration,
}

/// The line for one service.
#[derive(Clone, Debug)]
pub struct FirstEventModel {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    base_ms: f64,
    token_ms: f64,
}

impl FirstEventModel {
    /// Starts from a prior base, in ms.
    pub fn new(base_ms: f64) -> Self {
        let mut model = Self {
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
            base_ms,
            token_ms: PRIOR_TOKEN_MS,
        };
        model.add(PRIOR_WEIGHT, 0.0, base_ms);
        model.add(
            PRIOR_WEIGHT,
            PRIOR_TOKENS,
            base_ms + PRIOR_TOKENS * PRIOR_TOKEN_MS,
        );
        model
    }

    fn add(&mut self, weight: f64, x: f64, y: f64) {
        self.weight += weight;
        self.sum_x += weight * x;
        self.sum_y += weight * y;
        self.sum_xx += weight * x * x;
        self.sum_xy += weight * x * y;
    }

    /// Learns from an answer.
    ///
    /// A sample far above the line counts as three times the line: a hang or a grey replica is for
    /// the health record to judge, and must not make every other replica look slow.
    pub fn learn(&mut self, sample: ModelSample) {
        let x = f64::from(sample.tokens);
        let expected = self.millis(sample.tokens);
        let took = (sample.took.as_secs_f64() * 1e3).min(expected * 3.0 + 20.0);
        for sum in [
            &mut self.weight,
            &mut self.sum_x,
            &mut self.sum_y,
            &mut self.sum_xx,
            &mut self.sum_xy,
        ] {
            *sum *= DECAY;
        }
        self.add(1.0, x, took);
        self.solve();
    }

    fn solve(&mut self) {
        let mean_x = self.sum_x / self.weight;
        let mean_y = self.sum_y / self.weight;
        let spread = self.sum_xx / self.weight - mean_x * mean_x;
        if spread > 1.0 {
            let slope = (self.sum_xy / self.weight - mean_x * mean_y) / spread;
            self.token_ms = slope.clamp(TOKEN_MS.0, TOKEN_MS.1);
        }
        self.base_ms = (mean_y - self.token_ms * mean_x).clamp(BASE_MS.0, BASE_MS.1);
    }

    fn millis(&self, tokens: u32) -> f64 {
        self.base_ms + self.token_ms * f64::from(tokens)
    }

    /// Gives the expected time until the first event with so many tokens to read.
    pub fn expect(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.millis(tokens) / 1e3)
    }

    /// Gives the time that reading so many tokens takes by itself.
    pub fn reading(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.token_ms * f64::from(tokens) / 1e3)
    }
}
