//! Whether an answer is expected to end before a stopping node does.

use zinniahatch_base::prelude::*;

/// Period after which an answer no longer counts; half of it at least is remembered.
const WINDOW: Duration = Duration::from_secs(30);
/// Number of answers from which the longest of them bounds the next one.
const MIN_ANSWERS: u32 = 20;
/// Time of the way from the end of an answer at the node to its caller.
const DELIVERY_TIME: Duration = Duration::from_millis(200);

/// Answers of one route in a period.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerWindow {
    count: u32,
    total: Duration,
    longest: Duration,
}

impl AnswerWindow {
    fn merge(self, other: Self) -> Self {
        Self {
            count: self.count.saturating_add(other.count),
            total: self.total.saturating_add(other.total),
            longest: self.longest.max(other.longest),
        }
    }
}

/// How long the recent whole answers of one route took.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    former: AnswerWindow,
    current: AnswerWindow,
    began: Instant,
}

impl AnswerTimes {
    /// Creates the record of a route without answers.
    pub fn new(now: Instant) -> Self {
        Self {
            former: AnswerWindow::default(),
            current: AnswerWindow::default(),
            began: now,
        }
    }

    /// Records that a whole answer took this long.
    pub fn note(&mut self, took: Duration, now: Instant) {
        *self = self.rotated(now);
        self.current = self.current.merge(AnswerWindow {
            count: 1,
            total: took,
            longest: took,
        });
    }

    fn rotated(self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.began);
        if age < WINDOW {
            return self;
        }
        let former = if age < WINDOW * 2 {
            self.current
        } else {
            AnswerWindow::default()
        };
        Self {
            former,
            ..Self::new(now)
        }
    }

    fn recent(&self, now: Instant) -> AnswerWindow {
        let times = self.rotated(now);
        times.former.merge(times.current)
    }

    /// Returns whether any answer is remembered.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.recent(now).count > 0
    }

    /// Returns the mean time of the recent answers; `None` if there are too few.
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        let recent = self.recent(now);
        (recent.count >= MIN_ANSWERS).then(|| recent.total / recent.count)
    }

    /// Returns the longest time of the recent answers; `None` if there are too few.
    pub fn longest(&self, now: Instant) -> Option<Duration> {
        let recent = self.recent(now);
        (recent.count >= MIN_ANSWERS).then_some(recent.longest)
    }
}

/// What the time of an answer is judged by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerBasis {
    /// The expected time.
    Expected,
    /// The longest recent answer.
    Longest,
    /// The deadline of the request, since too few answers are known.
    Deadline,
}

impl AnswerBasis {
    /// Returns the name used in log lines and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::Longest => "longest",
            Self::Deadline => "deadline",
        }
    }
}

/// What is known about the time of a request's whole answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerEstimate {
    /// Expected time by its placement.
    pub expected: Duration,
    /// Mean time of the route's recent answers.
    pub mean: Option<Duration>,
    /// Longest time of the route's recent answers.
    pub longest: Option<Duration>,
    /// Time until the request's deadline, at which it is answered in any case.
    pub deadline: Duration,
    /// Whether its caller may repeat the request if it learns nothing of the outcome.
    pub may_repeat: bool,
}

impl AnswerEstimate {
    /// Returns the time by which the answer has to be expected, and what says so.
    ///
    /// A request that may not be repeated is judged by a bound: its caller cannot find out what became of
    /// it.
    pub fn answer_time(&self) -> (Duration, AnswerBasis) {
        let (time, basis) = match (self.may_repeat, self.longest) {
            (true, _) => {
                let mean = self.mean.unwrap_or_default();
                (self.expected.max(mean), AnswerBasis::Expected)
            }
            (false, Some(longest)) => (self.expected.max(longest), AnswerBasis::Longest),
            (false, None) => (self.deadline, AnswerBasis::Deadline),
        };
        (time.min(self.deadline), basis)
    }

    /// Returns what says that the answer does not end within the time that a stopping node has `left` for
    /// answers; `None` if it does.
    pub fn outlasts(&self, left: Duration) -> Option<AnswerBasis> {
        let (time, basis) = self.answer_time();
        (time + DELIVERY_TIME > left).then_some(basis)
    }
}

/// How fast the body of an answer arrives that there is no memory for.
#[derive(Clone, Copy, Debug)]
pub struct BodyPace {
    /// Bytes read so far.
    pub read: u64,
    /// Length of the whole body, if it is stated.
    pub length: Option<u64>,
    /// Time since the first of them could be read.
    pub elapsed: Duration,
}

impl BodyPace {
    /// Returns the time that the rest takes at the pace so far. Where no length is stated, as much again is
    /// expected.
    fn rest_time(&self) -> Duration {
        let length = self.length.unwrap_or(self.read.saturating_mul(2));
        let rest = length.saturating_sub(self.read) as f64;
        let share = rest / self.read.max(1) as f64;
        Duration::try_from_secs_f64(self.elapsed.as_secs_f64() * share).unwrap_or(Duration::MAX)
    }

    /// Returns whether the answer does not end within the time that a stopping node has `left` for answers.
    pub fn outlasts(&self, left: Duration) -> bool {
        self.rest_time().saturating_add(DELIVERY_TIME) > left
    }
}
