//! The rests that replicas ask of this node.
//!
//! A replica that turns a request away may want nothing more from this node for a while. After that one request finds
//! out whether it serves, and each that it takes lets more follow, up to half of what it was sent when it turned one
//! away and then a little at a time. Let back at once, all that waited for it would come from every node that it had
//! turned away, and it would ask for rest again.

use zinniahatch_base::prelude::*;

/// Longest rest that is kept; after it one request finds out whether the replica serves.
const LONGEST: Duration = Duration::from_secs(600);
/// Part of a rest by which its end may be put off, so that the nodes do not come back at the same moment.
const SPREAD: f64 = 0.1;
/// Time by which the end of a rest is put off at most.
const MOST_SPREAD: Duration = Duration::from_millis(500);
/// Silence after which what a replica was sent after its rest is no longer waited for.
const SILENCE: Duration = Duration::from_secs(1);
/// Time after a rest for which what is sent to the replica is bounded.
const TRIED_FOR: Duration = Duration::from_secs(30);
/// Time after which a replica that has been sent all that it may be is looked at again.
const NEXT_LOOK: Duration = Duration::from_millis(100);
/// Rests that are kept at most.
const MOST_ROWS: usize = 4_096;

/// The rest of one life of a replica, and what it may be sent after that.
#[derive(Clone, Copy, Debug)]
struct RestRow {
    until: Instant,
    /// Requests that may wait for an answer at once after the rest.
    window: f64,
    /// The window from which it grows slowly.
    slow_from: f64,
    /// Requests sent after the rest that wait for an answer, and when the last was sent.
    awaited: u32,
    sent: Instant,
    /// Whether it has taken a request since the rest.
    serves: bool,
}

impl RestRow {
    fn new(until: Instant, work: u32) -> Self {
        Self {
            until,
            window: 1.0,
            slow_from: f64::from(work) / 2.0,
            awaited: 0,
            sent: until,
            serves: false,
        }
    }

    /// Begins another rest.
    fn begin(&mut self, until: Instant) {
        self.until = until;
        self.slow_from = self.window / 2.0;
        self.window = 1.0;
        self.awaited = 0;
        self.serves = false;
    }

    fn wait(&self, now: Instant) -> Duration {
        if now < self.until {
            return self.until.saturating_duration_since(now);
        }
        let silent = now.saturating_duration_since(self.sent) >= SILENCE;
        let full = f64::from(self.awaited) >= self.window.floor();
        if full && !silent {
            NEXT_LOOK
        } else {
            Duration::ZERO
        }
    }

    fn grow(&mut self) {
        self.window += if self.window < self.slow_from {
            1.0
        } else {
            1.0 / self.window
        };
    }
}

/// What became of a rest that a replica asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestChange {
    /// It began; the replica gets nothing for so long.
    Began(Duration),
    /// The one in force goes on for so long.
    Lengthened(Duration),
    /// The one in force is longer.
    Covered,
}

/// All rests that were asked of this node.
#[derive(Clone, Debug, Default)]
pub struct RestBook {
    rows: BTreeMap<ShortTag, RestRow>,
}

impl RestBook {
    /// Takes a rest that a replica asks for which has so many requests of this node; `draw` is a number drawn for it.
    pub(crate) fn note_asked(
        &mut self,
        replica: ShortTag,
        rest: Duration,
        work: u32,
        draw: u64,
        now: Instant,
    ) -> Option<RestChange> {
        if rest.is_zero() {
            return None;
        }
        let rest = rest.min(LONGEST);
        let part = draw as f64 / u64::MAX as f64;
        let spread = rest.mul_f64(SPREAD).min(MOST_SPREAD).mul_f64(part);
        let until = now + rest + spread;
        let kept = until.saturating_duration_since(now);
        if let Some(row) = self.rows.get_mut(&replica) {
            if until <= row.until {
                return Some(RestChange::Covered);
            }
            if row.until > now {
                row.until = until;
                return Some(RestChange::Lengthened(kept));
            }
            row.begin(until);
            return Some(RestChange::Began(kept));
        }
        if self.rows.len() >= MOST_ROWS {
            self.drop_first();
        }
        self.rows.insert(replica, RestRow::new(until, work));
        Some(RestChange::Began(kept))
    }

    /// Makes room by dropping the rest that ends first.
    fn drop_first(&mut self) {
        let first = self.rows.iter().min_by_key(|(_, row)| row.until);
        if let Some(replica) = first.map(|(replica, _)| *replica) {
            self.rows.remove(&replica);
        }
    }

    /// Notes that a replica answered a request that was sent at a time, and whether it took it; tells whether it is the
    /// first that it took since its rest. One that was sent before the end of the rest shows nothing.
    pub(crate) fn note_answer(&mut self, replica: ShortTag, taken: bool, sent: Instant) -> bool {
        let Some(row) = self.rows.get_mut(&replica) else {
            return false;
        };
        if sent < row.until {
            return false;
        }
        row.awaited = row.awaited.saturating_sub(1);
        if !taken {
            return false;
        }
        row.grow();
        !std::mem::replace(&mut row.serves, true)
    }

    /// Tells whether a replica rests or has not taken a request since.
    pub fn holds(&self, replica: ShortTag) -> bool {
        self.rows.get(&replica).is_some_and(|row| !row.serves)
    }

    /// Tells whether a replica wants nothing now.
    pub(crate) fn is_resting(&self, replica: ShortTag, now: Instant) -> bool {
        self.rows.get(&replica).is_some_and(|row| now < row.until)
    }

    /// Tells whether one more request may be sent now.
    pub fn allows(&self, replica: ShortTag, now: Instant) -> bool {
        self.wait(replica, now).is_zero()
    }

    /// Gives the time after which one more request may be sent.
    pub fn wait(&self, replica: ShortTag, now: Instant) -> Duration {
        let row = self.rows.get(&replica);
        row.map_or(Duration::ZERO, |row| row.wait(now))
    }

    /// Takes a place for one request; tells whether it may be sent.
    pub(crate) fn take(&mut self, replica: ShortTag, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(&replica) else {
            return true;
        };
        if !row.wait(now).is_zero() {
            return false;
        }
        if now.saturating_duration_since(row.sent) >= SILENCE {
            row.awaited = 0;
        }
        row.awaited += 1;
        row.sent = now;
        true
    }

    /// Gives how many replicas rest or have not taken a request since.
    pub fn count(&self) -> usize {
        self.rows.values().filter(|row| !row.serves).count()
    }

    /// Runs once a tick: forgets rests that ended long ago. Those of a replica whose entry vanished stay, since that may
    /// come back.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.until + TRIED_FOR);
    }
}
