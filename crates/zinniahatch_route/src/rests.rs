//! The rests that replicas ask of this node.
//!
//! A replica that turns a request away may want nothing more from this node for a while. After that it is tried with
//! one request at a time until it has served one: all that waited for it would come at once otherwise, from every node
//! that it had turned away.

use zinniahatch_base::prelude::*;

/// Longest rest that is kept; after it one request finds out whether the replica serves.
const LONGEST: Duration = Duration::from_secs(600);
/// Part of a rest by which its end may be put off, so that the nodes do not come back at the same moment.
const SPREAD: f64 = 0.1;
/// Time by which the end of a rest is put off at most.
const MOST_SPREAD: Duration = Duration::from_millis(500);
/// Time after which another request tries a replica that has not answered the one before.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Time after a rest for which the replica is tried with single requests.
const TRIED_FOR: Duration = Duration::from_secs(30);
/// Rests that are kept at most.
const MOST_ROWS: usize = 4_096;

/// The rest of one life of a replica.
#[derive(Clone, Copy, Debug)]
struct RestRow {
    until: Instant,
    /// When a request last tried whether the replica serves.
    tried: Option<Instant>,
}

impl RestRow {
    /// Gives when it may be sent one more request.
    fn next(&self) -> Instant {
        let again = self.tried.map(|at| at + TRIAL_TIME);
        again.map_or(self.until, |again| again.max(self.until))
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
    /// Takes a rest that a replica asks for; `draw` is a number drawn for it.
    pub(crate) fn note_asked(
        &mut self,
        replica: ShortTag,
        rest: Duration,
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
            let rested = row.until > now;
            row.until = until;
            return Some(if rested {
                RestChange::Lengthened(kept)
            } else {
                RestChange::Began(kept)
            });
        }
        if self.rows.len() >= MOST_ROWS {
            self.drop_first();
        }
        self.rows.insert(replica, RestRow { until, tried: None });
        Some(RestChange::Began(kept))
    }

    /// Makes room by dropping the rest that ends first.
    fn drop_first(&mut self) {
        let first = self.rows.iter().min_by_key(|(_, row)| row.until);
        if let Some(replica) = first.map(|(replica, _)| *replica) {
            self.rows.remove(&replica);
        }
    }

    /// Notes that a replica took a request that was sent at a time; tells whether it had to be tried before. One that
    /// was sent before the end of the rest shows nothing.
    pub(crate) fn note_taken(&mut self, replica: ShortTag, sent: Instant) -> bool {
        let tried = self.rows.get(&replica).is_some_and(|row| sent >= row.until);
        if tried {
            self.rows.remove(&replica);
        }
        tried
    }

    /// Tells whether a replica rests or has not served a request since.
    pub fn holds(&self, replica: ShortTag) -> bool {
        self.rows.contains_key(&replica)
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
        self.rows.get(&replica).map_or(Duration::ZERO, |row| {
            row.next().saturating_duration_since(now)
        })
    }

    /// Takes a place for one request; tells whether it may be sent.
    pub(crate) fn take(&mut self, replica: ShortTag, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(&replica) else {
            return true;
        };
        if now < row.next() {
            return false;
        }
        row.tried = Some(now);
        true
    }

    /// Gives how many replicas rest or have not served a request since.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Runs once a tick: forgets rests that ended long ago. Those of a replica whose entry vanished stay, since that may
    /// come back.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.until + TRIED_FOR);
    }
}
