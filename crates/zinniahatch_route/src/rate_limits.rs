//! Rate limits that replicas state, enforced by all nodes of a region without coordination.
//!
//! The few nodes with the highest rendezvous scores for a replica share its rate; the others send
//! it nothing while the limit is in force. The shares are fixed, so they hold even where nodes
//! cannot reach each other; the share of a node that stops is left unused for as long as the node
//! may still be running. Updates carry only that a limit began, changed or ended.

use crate::RateLimitNotice;
use crate::prompt::rendezvous_score;
use crate::rate_limit_share::RateLimitShare;
use zinniahatch_base::prelude::*;

/// Time for which an ended limit is remembered, because older updates would restore it, and for
/// which the limit of a replica without an entry is remembered.
const RETENTION: Duration = Duration::from_secs(30);
/// Largest number of limits kept.
const MAX_ROWS: usize = 4_096;

/// Returns the requests per second that a limit allows.
fn bound(limit: Option<RequestRate>) -> RequestRate {
    limit.unwrap_or(RequestRate::INFINITY)
}

domain! {
    /// What a node knows of the rate limit of one replica incarnation.
    #[derive(Copy)]
    pub struct RateLimitUpdate {
        /// Tag of the incarnation.
        pub replica: ShortTag,
        /// Increases with each change; updates with a lower number are older.
        pub sequence: u32,
        /// The limit; `None` if it has ended.
        pub rate: Option<RequestRate>,
    }
}

impl RateLimitUpdate {
    /// Returns whether it replaces a known update. Nodes that saw different responses at the same
    /// time may assign the same number to both; then the lower rate wins on all of them.
    fn replaces(&self, known: &Self) -> bool {
        self.sequence > known.sequence
            || (self.sequence == known.sequence && bound(self.rate) < bound(known.rate))
    }
}

/// A limit that began, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitChange {
    /// Limit before the change.
    pub before: Option<RequestRate>,
    /// Limit after the change.
    pub now: Option<RequestRate>,
}

/// Effect of an update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimitEffect {
    /// The update was known.
    Known,
    /// The update changed the limit.
    Learned(RateLimitChange),
    /// This node knows a newer update and announces it again.
    Outdated,
}

/// Limit of one replica incarnation.
#[derive(Clone, Debug)]
struct RateLimitRow {
    update: RateLimitUpdate,
    /// When a response or another node last confirmed the limit.
    seen: Instant,
    share: RateLimitShare,
    /// Whether the update still has to be sent to the other nodes of the region.
    unannounced: bool,
}

/// Nodes that share the limits of a region's replicas.
#[derive(Clone, Debug, Default)]
struct LimitSharers {
    /// This node; `None` until it knows the others.
    own: Option<ShortTag>,
    others: BTreeSet<ShortTag>,
}

impl LimitSharers {
    /// Returns how many other nodes rank above this one for a replica; `None` if it has no share.
    fn rank(&self, replica: ShortTag) -> Option<usize> {
        let own = rendezvous_score(u64::from(replica), self.own?);
        let above = self
            .others
            .iter()
            .filter(|other| rendezvous_score(u64::from(replica), **other) > own);
        Some(above.count())
    }
}

/// Rate limits of all replicas, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct RateLimitTable {
    rows: BTreeMap<ShortTag, RateLimitRow>,
    sharers: LimitSharers,
}

impl RateLimitTable {
    /// Records the limit that a replica states in a response; returns the change.
    ///
    /// The response to a request sent before this node last learned of the limit may be older than
    /// the limit. It shows neither the end of the limit nor a higher one.
    pub fn note_response(
        &mut self,
        replica: ShortTag,
        stated: RateLimitNotice,
        sent: Instant,
        now: Instant,
    ) -> Option<RateLimitChange> {
        let rate = match stated {
            RateLimitNotice::Malformed => return None,
            RateLimitNotice::PerSecond(rate) => Some(rate),
            RateLimitNotice::Absent => None,
        };
        let known = match self.rows.get_mut(&replica) {
            None if rate.is_none() => return None,
            None => RateLimitUpdate {
                replica,
                sequence: 0,
                rate: None,
            },
            Some(row) if row.update.rate == rate => {
                if rate.is_some() {
                    row.seen = now;
                }
                return None;
            }
            Some(row) if sent < row.seen && bound(row.update.rate) < bound(rate) => return None,
            Some(row) => row.update,
        };
        let sequence = known.sequence + 1;
        self.put(
            RateLimitUpdate {
                sequence,
                rate,
                ..known
            },
            true,
            now,
        );
        Some(RateLimitChange {
            before: known.rate,
            now: rate,
        })
    }

    /// Applies an update of another node of the region.
    pub fn apply_update(&mut self, update: &RateLimitUpdate, now: Instant) -> RateLimitEffect {
        let known = self.rows.get_mut(&update.replica);
        let before = known.as_ref().and_then(|row| row.update.rate);
        if let Some(row) = known
            && !update.replaces(&row.update)
        {
            if row.update.replaces(update) {
                row.unannounced = true;
                return RateLimitEffect::Outdated;
            }
            return RateLimitEffect::Known;
        }
        self.put(*update, false, now);
        RateLimitEffect::Learned(RateLimitChange {
            before,
            now: update.rate,
        })
    }

    fn put(&mut self, update: RateLimitUpdate, unannounced: bool, now: Instant) {
        let rank = self.sharers.rank(update.replica);
        let sharer_count = self.sharers.others.len() + 1;
        let full = self.rows.len() >= MAX_ROWS;
        if full && !self.rows.contains_key(&update.replica) {
            return;
        }
        let row = self
            .rows
            .entry(update.replica)
            .or_insert_with(|| RateLimitRow {
                update: RateLimitUpdate {
                    rate: None,
                    ..update
                },
                seen: now,
                share: RateLimitShare::new(now),
                unannounced: false,
            });
        if row.update.rate.is_none() {
            row.share = RateLimitShare::new(now);
        }
        row.update = update;
        row.seen = now;
        row.unannounced |= unannounced;
        row.share.set(update.rate, rank, sharer_count, now);
    }

    /// Sets the nodes that share the limits. A node that has just started knows neither them nor
    /// what its predecessor sent, and has no share.
    pub fn set_sharers(&mut self, own: Option<ShortTag>, others: BTreeSet<ShortTag>, now: Instant) {
        self.sharers = LimitSharers { own, others };
        let sharer_count = self.sharers.others.len() + 1;
        for (replica, row) in &mut self.rows {
            let rank = self.sharers.rank(*replica);
            row.share.set(row.update.rate, rank, sharer_count, now);
        }
    }

    /// Returns the limit of a replica.
    pub fn rate(&self, replica: ShortTag) -> Option<RequestRate> {
        self.rows.get(&replica)?.update.rate
    }

    /// Returns whether a limit of a replica is in force.
    pub fn is_limited(&self, replica: ShortTag) -> bool {
        self.rate(replica).is_some()
    }

    /// Returns whether this node may send a replica one more request now.
    pub fn allows(&self, replica: ShortTag, now: Instant) -> bool {
        let row = self.rows.get(&replica);
        row.is_none_or(|row| row.update.rate.is_none() || row.share.allows(now))
    }

    /// Takes one token of this node's share; returns whether a request may be sent.
    pub fn take(&mut self, replica: ShortTag, now: Instant) -> bool {
        match self.rows.get_mut(&replica) {
            Some(row) if row.update.rate.is_some() => row.share.take(now),
            _ => true,
        }
    }

    /// Returns the time until a replica may be sent one more request, by this node or, if it has no
    /// share, by others.
    pub fn wait(&self, replica: ShortTag, now: Instant) -> Duration {
        let row = self.rows.get(&replica);
        row.filter(|row| row.update.rate.is_some())
            .map_or(Duration::ZERO, |row| row.share.wait(now))
    }

    /// Returns up to `max` updates that the other nodes of the region have not been sent.
    pub fn take_updates(&mut self, max: usize) -> Vec<RateLimitUpdate> {
        let mut updates = Vec::new();
        for row in self
            .rows
            .values_mut()
            .filter(|row| row.unannounced)
            .take(max)
        {
            row.unannounced = false;
            updates.push(row.update);
        }
        updates
    }

    /// Returns the limits in force, for a node whose digest differs.
    pub fn active_limits(&self) -> impl Iterator<Item = RateLimitUpdate> {
        let rows = self.rows.values().map(|row| row.update);
        rows.filter(|update| update.rate.is_some())
    }

    /// Returns a digest of the limits in force; nodes that know the same limits have the same
    /// digest.
    pub fn digest(&self) -> u64 {
        self.active_limits()
            .map(|update| {
                let rate = update.rate.unwrap_or_default().to_bits();
                rendezvous_score(rate ^ u64::from(update.sequence), update.replica)
            })
            .fold(0, |digest, rank| digest ^ rank)
    }

    /// Removes limits that ended, or whose replicas were removed, longer ago than the retention
    /// period; a removed entry may come back. Called on every tick.
    pub(crate) fn tick(&mut self, is_known: impl Fn(ShortTag) -> bool, now: Instant) {
        self.rows.retain(|replica, row| {
            let over = row.update.rate.is_none() || !is_known(*replica);
            let old = now.saturating_duration_since(row.seen) > RETENTION;
            !(over && old)
        });
    }
}
