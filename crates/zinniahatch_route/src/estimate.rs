//! When the first event of an answer would come: one model for routing, admission and going away.
//!
//! `time = base + per_token * tokens to read`. Both figures are learned from answers, because engines
//! differ tenfold and nobody tells their reading rate. They are tracked as low quantiles and not as
//! means: part of what lies ahead of a request was sent by nodes that have not told of it yet, so an
//! answer is often later than the line and never earlier. A line through the means had half the true
//! slope on a large site, and a queue looked half as long as it was.

use zinniahatch_base::prelude::*;

/// Quantile of the answers that is tracked: the undisturbed ones.
const QUANTILE: f64 = 0.35;
/// Step of the tracking, as a part of the value; about thirty answers move it to a new level.
const STEP: f64 = 0.06;
/// Tokens from which an answer tells of the reading rate; below, the base outweighs it.
const LONG_PROMPT: u32 = 1_200;
/// Tokens that a request counts at least where what lies ahead is compared with its own.
const LEAST_TOKENS: u32 = 200;
/// Prior part of the time for its own tokens that a token ahead costs: a prompt counts whole until its
/// first event, though some of it is read. Measured on lightly loaded replicas, 0.021 ms a token ahead
/// against 0.034 of its own.
const AHEAD_PART: f64 = 0.75;
/// Bounds of the learned part: what lies ahead costs more where answers are generated meanwhile and
/// other nodes send there before they are heard of.
const AHEAD_PARTS: (f64, f64) = (0.4, 4.0);
/// The same for urgent requests: engines read them first, but between the chunks of what they have begun.
const URGENT_AHEAD_PARTS: (f64, f64) = (0.05, 4.0);
/// Tokens ahead from which an urgent answer tells of the wait; of the common ones a fifth is counted.
const URGENT_LONG: u32 = 240;
/// Quantile of the waits that is tracked: an even chance to be earlier or later.
const AHEAD_QUANTILE: f64 = 0.5;
/// Step of the tracking, as a part of the value; about fifty answers move it to a new level.
const AHEAD_STEP: f64 = 0.04;
/// Weight of a new answer in the average time that a slot is held; about the last fifty count.
const HOLD_GAIN: f64 = 0.02;
/// Prior time per token to read, in ms; the middle of what engines of a 70B model do.
const PRIOR_TOKEN_MS: f64 = 0.025;
/// Bounds of the learned time per token, in ms: 2 to 1,000 tokens a millisecond.
const TOKEN_MS: (f64, f64) = (0.001, 0.5);
/// Bounds of the learned base, in ms.
const BASE_MS: (f64, f64) = (1.0, 5_000.0);

/// One observed answer.
#[derive(Clone, Copy, Debug)]
pub struct ModelSample {
    /// Tokens of the request itself that had to be read before the first event.
    pub tokens: u32,
    /// Tokens of other requests that lay ahead of it.
    pub ahead: u32,
    /// Expected wait for a slot.
    pub queue: Duration,
    /// Whether engines read it before common requests.
    pub urgent: bool,
    /// Time from sending to the first event.
    pub took: Duration,
}

/// The line for one service.
#[derive(Clone, Debug)]
pub struct FirstEventModel {
    /// Time with nothing to read, in ms.
    base: f64,
    /// Time for each token to read, in ms.
    token: f64,
    /// Time for each token ahead, as a part of that for each token to read.
    ahead: f64,
    /// The same for urgent requests.
    urgent_ahead: f64,
    /// Average time that a slot is held, in ms.
    hold: f64,
}

/// Moves a tracked quantile by one observation.
fn track(value: f64, seen: f64, quantile: f64, step: f64, bounds: (f64, f64)) -> f64 {
    let moved = if seen > value {
        value * (1.0 + step * quantile)
    } else {
        value * (1.0 - step * (1.0 - quantile))
    };
    moved.clamp(bounds.0, bounds.1)
}

impl FirstEventModel {
    /// Starts from a prior base, in ms.
    pub fn new(base_ms: f64) -> Self {
        Self {
            base: base_ms,
            token: PRIOR_TOKEN_MS,
            ahead: AHEAD_PART,
            urgent_ahead: AHEAD_PART,
            hold: base_ms,
        }
    }

    /// Learns from an answer: short prompts tell of the base, long ones of the reading rate, and those
    /// with much ahead of them of the wait.
    ///
    /// The wait has a figure of its own. Learned from as well, such answers made the reading rate look
    /// twice as high; with a fixed figure for the wait, what was expected after 700 to 900 ms of a
    /// goal of 1,000 ms was late in 53 of 100 cases on an overloaded site.
    pub fn learn(&mut self, sample: ModelSample) {
        if sample.ahead > sample.tokens.max(LEAST_TOKENS) / 2 {
            self.learn_wait(sample);
            return;
        }
        let tokens = f64::from(sample.tokens);
        let took = sample.took.as_secs_f64() * 1e3;
        if sample.tokens < LONG_PROMPT {
            let seen = took - self.token * tokens;
            self.base = track(self.base, seen, QUANTILE, STEP, BASE_MS);
        } else {
            let seen = (took - self.base) / tokens;
            self.token = track(self.token, seen, QUANTILE, STEP, TOKEN_MS);
        }
    }

    /// Learns how long what lies ahead holds a request up; urgent ones pass most of it.
    ///
    /// They have a figure of their own. With that of the common ones, which rises when a site is overloaded,
    /// 300 ms were expected where urgent answers began after 99, and 4,000 of them were turned away on a
    /// day of 80 nodes.
    fn learn_wait(&mut self, sample: ModelSample) {
        let (least, known, bounds) = if sample.urgent {
            (URGENT_LONG, &mut self.urgent_ahead, URGENT_AHEAD_PARTS)
        } else {
            (LONG_PROMPT, &mut self.ahead, AHEAD_PARTS)
        };
        if sample.ahead < least {
            return;
        }
        let own = self.base + self.token * f64::from(sample.tokens);
        let undisturbed = own + sample.queue.as_secs_f64() * 1e3;
        let waited = sample.took.as_secs_f64() * 1e3 - undisturbed;
        let seen = waited / (self.token * f64::from(sample.ahead));
        *known = track(*known, seen, AHEAD_QUANTILE, AHEAD_STEP, bounds);
    }

    /// Learns from the end of an answer how long a request holds its slot.
    pub fn learn_hold(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1e3;
        self.hold += HOLD_GAIN * (took - self.hold);
    }

    /// Gives how long a request holds its slot on average.
    pub fn hold(&self) -> Duration {
        Duration::from_secs_f64(self.hold / 1e3)
    }

    fn millis(&self, tokens: u32) -> f64 {
        self.base + self.token * f64::from(tokens)
    }

    /// Gives the expected time until the first event with so many tokens to read.
    pub fn expect(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.millis(tokens) / 1e3)
    }

    /// Gives the time that reading so many tokens takes by itself.
    pub fn reading(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.token * f64::from(tokens) / 1e3)
    }

    /// Gives the time for which so many tokens ahead hold a request up.
    pub fn waiting(&self, ahead: u32, urgent: bool) -> Duration {
        let part = if urgent {
            self.urgent_ahead
        } else {
            self.ahead
        };
        self.reading(ahead).mul_f64(part)
    }
}
