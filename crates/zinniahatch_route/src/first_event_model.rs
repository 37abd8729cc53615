//! Model of the time to the first event of a response, for placement, admission and cross-region
//! routing.
//!
//! `time = base + per_token * tokens to prefill`. Both parameters are learned from responses,
//! because the prefill rates of engines differ tenfold and no engine reports its own. They are
//! tracked as low quantiles rather than means: part of the work ahead of a request was sent by
//! nodes that have not announced it yet, so a response is often later than the line and never
//! earlier. A line through the means had half the true slope on a large site, and a queue looked
//! half as long as it was.

use zinniahatch_base::prelude::*;

/// Tracked quantile of the response times: the responses that were not held up.
const QUANTILE: f64 = 0.35;
/// Step of the tracking, relative to the value; about thirty responses move it to a new level.
const STEP: f64 = 0.06;
/// Prompt length from which a response is a sample of the prefill rate; below it, the base
/// dominates.
const LONG_PROMPT: u32 = 1_200;
/// Smallest number of own tokens assumed when the tokens ahead are compared with them.
const MIN_TOKENS: u32 = 200;
/// Prior cost of a token ahead relative to a token of the request itself: a prompt counts in full
/// until its first event, although part of it is processed. On lightly loaded replicas, 0.021 ms
/// for a token ahead and 0.034 ms for an own token were measured.
const PRIOR_QUEUE_RATIO: f64 = 0.75;
/// Bounds of the learned ratio: tokens ahead cost more where replicas decode in between and where
/// other nodes send work before they announce it.
const QUEUE_RATIO_BOUNDS: (f64, f64) = (0.4, 4.0);
/// Bounds of the same for urgent requests, which engines prefill first, but between chunks of
/// prompts already begun.
const URGENT_QUEUE_RATIO_BOUNDS: (f64, f64) = (0.05, 4.0);
/// Tokens ahead from which an urgent response is a sample of the queueing time; only a fifth of the
/// common tokens are counted.
const URGENT_MIN_AHEAD: u32 = 240;
/// Tracked quantile of the queueing times: the median.
const QUEUE_QUANTILE: f64 = 0.5;
/// Step of the tracking, relative to the value; about fifty responses move it to a new level.
const QUEUE_STEP: f64 = 0.04;
/// Weight of a new response in the average slot time; about the last fifty responses count.
const SLOT_TIME_GAIN: f64 = 0.02;
/// Prior prefill time per token, in ms; the middle of the range of engines for a 70B model.
const PRIOR_TOKEN_MS: f64 = 0.025;
/// Bounds of the learned prefill time per token, in ms: 2 to 1,000 tokens per millisecond.
const TOKEN_MS_BOUNDS: (f64, f64) = (0.001, 0.5);
/// Bounds of the learned base, in ms.
const BASE_MS_BOUNDS: (f64, f64) = (1.0, 5_000.0);

/// One observed response.
#[derive(Clone, Copy, Debug)]
pub struct ModelSample {
    /// Tokens of the request itself that had to be prefilled before the first event.
    pub tokens: u32,
    /// Tokens of other requests that were queued ahead of it.
    pub tokens_ahead: u32,
    /// Expected wait for a slot.
    pub slot_wait: Duration,
    /// Whether engines prefill it before common requests.
    pub urgent: bool,
    /// Time from sending the request to the first event.
    pub took: Duration,
}

/// Learned parameters of one service.
#[derive(Clone, Debug)]
pub struct FirstEventModel {
    /// Time to the first event with nothing to prefill, in ms.
    base: f64,
    /// Prefill time per token, in ms.
    token: f64,
    /// Delay per token ahead, relative to the prefill time per token.
    queue_ratio: f64,
    /// The same for urgent requests.
    urgent_queue_ratio: f64,
    /// Average time that a request holds a slot, in ms.
    slot_time: f64,
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
    /// Creates a model with a prior base, in ms.
    pub fn new(base_ms: f64) -> Self {
        Self {
            base: base_ms,
            token: PRIOR_TOKEN_MS,
            queue_ratio: PRIOR_QUEUE_RATIO,
            urgent_queue_ratio: PRIOR_QUEUE_RATIO,
            slot_time: base_ms,
        }
    }

    /// Learns from a response: short prompts are samples of the base, long ones of the prefill
    /// rate, and those with many tokens ahead of the queueing time.
    ///
    /// Queueing has a parameter of its own. When the prefill rate was learned from such responses
    /// too, it looked twice as high; with a fixed ratio for queueing, 53 of 100 requests expected
    /// at 700 to 900 ms of a latency target of 1,000 ms were late on an overloaded site.
    pub fn learn(&mut self, sample: ModelSample) {
        if sample.tokens_ahead > sample.tokens.max(MIN_TOKENS) / 2 {
            self.learn_queue_ratio(sample);
            return;
        }
        let tokens = f64::from(sample.tokens);
        let took = sample.took.as_secs_f64() * 1e3;
        if sample.tokens < LONG_PROMPT {
            let seen = took - self.token * tokens;
            self.base = track(self.base, seen, QUANTILE, STEP, BASE_MS_BOUNDS);
        } else {
            let seen = (took - self.base) / tokens;
            self.token = track(self.token, seen, QUANTILE, STEP, TOKEN_MS_BOUNDS);
        }
    }

    /// Learns how long the tokens ahead delay a request.
    ///
    /// Urgent requests overtake most of them and have a ratio of their own. With that of common
    /// requests, which rises when a site is overloaded, 300 ms were expected where urgent responses
    /// began after 99 ms, and 4,000 of them were refused in one day on 80 nodes.
    fn learn_queue_ratio(&mut self, sample: ModelSample) {
        let (least, known, bounds) = if sample.urgent {
            (
                URGENT_MIN_AHEAD,
                &mut self.urgent_queue_ratio,
                URGENT_QUEUE_RATIO_BOUNDS,
            )
        } else {
            (LONG_PROMPT, &mut self.queue_ratio, QUEUE_RATIO_BOUNDS)
        };
        if sample.tokens_ahead < least {
            return;
        }
        let own = self.base + self.token * f64::from(sample.tokens);
        let undisturbed = own + sample.slot_wait.as_secs_f64() * 1e3;
        let waited = sample.took.as_secs_f64() * 1e3 - undisturbed;
        let seen = waited / (self.token * f64::from(sample.tokens_ahead));
        *known = track(*known, seen, QUEUE_QUANTILE, QUEUE_STEP, bounds);
    }

    /// Learns from a finished response how long a request holds its slot.
    pub fn learn_slot_time(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1e3;
        self.slot_time += SLOT_TIME_GAIN * (took - self.slot_time);
    }

    /// Returns the average time that a request holds its slot.
    pub fn slot_time(&self) -> Duration {
        Duration::from_secs_f64(self.slot_time / 1e3)
    }

    fn millis(&self, tokens: u32) -> f64 {
        self.base + self.token * f64::from(tokens)
    }

    /// Returns the expected time to the first event with this many tokens to prefill.
    pub fn expected_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.millis(tokens) / 1e3)
    }

    /// Returns the time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.token * f64::from(tokens) / 1e3)
    }

    /// Returns the delay caused by this many tokens ahead.
    pub fn queue_time(&self, tokens_ahead: u32, urgent: bool) -> Duration {
        let ratio = if urgent {
            self.urgent_queue_ratio
        } else {
            self.queue_ratio
        };
        self.prefill_time(tokens_ahead).mul_f64(ratio)
    }
}
