//! The longest time for which a stream that runs now may last.

use zinniahatch_base::prelude::*;

/// Time that a caller may take to notice that its stream has broken off.
const TAKE_UP_SLACK: Duration = Duration::from_secs(5);

/// Returns for how long after its arrival a stream of a route with this timeout may be taken up. A caller
/// may begin it again when the route's time has run out.
pub fn take_up_time(timeout: Duration) -> Duration {
    timeout.saturating_mul(2).saturating_add(TAKE_UP_SLACK)
}

/// A limit on the time of streams.
#[derive(Clone, Copy, Debug)]
struct StreamLimit {
    limit: Duration,
    /// When streams could last begin under that limit.
    in_force_at: Instant,
}

/// Longest time of streams, over all versions of the desired state under which one may have begun.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongestStream {
    /// `None` until a desired state is known.
    current: Option<StreamLimit>,
}

impl LongestStream {
    /// Records the limit in force. A lower one applies once streams of the former one have ended.
    pub fn update(&mut self, limit: Duration, now: Instant) {
        let outlasts = |former: StreamLimit| {
            let former_ended = now.saturating_duration_since(former.in_force_at) >= former.limit;
            limit >= former.limit || former_ended
        };
        if self.current.is_none_or(outlasts) {
            self.current = Some(StreamLimit {
                limit,
                in_force_at: now,
            });
        }
    }

    /// Returns the limit; `None` until a desired state is known.
    pub fn limit(&self) -> Option<Duration> {
        self.current.map(|current| current.limit)
    }
}
