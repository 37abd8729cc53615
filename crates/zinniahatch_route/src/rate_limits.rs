//! Rate limits that replicas name, kept by all nodes of a region together without asking each other.
//!
//! A few nodes share the rate of a replica, those with the highest rank for it; the others send it nothing while the
//! limit is in force. The parts are fixed, so that they hold also where nodes cannot hear each other, and where a
//! node ends its part is left unused for as long as it may still run. News tell only that a limit began, changed or
//! ended.

use crate::NamedLimit;
use crate::limit_share::LimitShare;
use crate::prompt::session_rank;
use zinniahatch_base::prelude::*;

/// Time for which the end of a limit is remembered, since older news would bring it back, and the limit of a replica
/// without an entry.
const FORGET: Duration = Duration::from_secs(30);
/// Limits that are kept at most.
const MOST_ROWS: usize = 4_096;

/// Gives the requests a second that a limit allows.
fn allowed(limit: Option<RequestRate>) -> RequestRate {
    limit.unwrap_or(RequestRate::INFINITY)
}

domain! {
    /// What a node knows of the rate limit of one life of a replica.
    #[derive(Copy)]
    pub struct LimitNews {
        /// The tag of the life.
        pub replica: ShortTag,
        /// Rises with each change; news with a lower number are older.
        pub number: u32,
        /// The limit; none where it has ended.
        pub rate: Option<RequestRate>,
    }
}

impl LimitNews {
    /// Tells whether it replaces what is known. Nodes that saw different answers at the same time may give both the
    /// same number; then the lower rate counts for all of them.
    fn replaces(&self, known: &Self) -> bool {
        self.number > known.number
            || (self.number == known.number && allowed(self.rate) < allowed(known.rate))
    }
}

/// A limit that began, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before.
    pub before: Option<RequestRate>,
    /// The limit from now on.
    pub now: Option<RequestRate>,
}

/// What became of news of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitEffect {
    /// They were known.
    Known,
    /// They changed what is known.
    Learned(LimitChange),
    /// This node knows newer ones, and tells them again.
    Outdated,
}

/// The limit of one life of a replica.
#[derive(Clone, Debug)]
struct LimitRow {
    news: LimitNews,
    /// When this node was last told of it, by an answer or by another node.
    told: Instant,
    share: LimitShare,
    /// Whether the other nodes of the region are to be told.
    untold: bool,
}

/// The nodes that share the limits of a region's replicas.
#[derive(Clone, Debug, Default)]
struct LimitHolders {
    /// This node; none while it does not know the others yet.
    own: Option<ShortTag>,
    others: BTreeSet<ShortTag>,
}

impl LimitHolders {
    /// Gives how many of the others come before this node for a replica; none where it takes no part.
    fn place(&self, replica: ShortTag) -> Option<usize> {
        let own = session_rank(u64::from(replica), self.own?);
        let above = self
            .others
            .iter()
            .filter(|other| session_rank(u64::from(replica), **other) > own);
        Some(above.count())
    }
}

/// The rate limits of all replicas, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct LimitBook {
    rows: BTreeMap<ShortTag, LimitRow>,
    holders: LimitHolders,
}

impl LimitBook {
    /// Takes what an answer says of its replica's limit; gives what that changed.
    ///
    /// An answer to a request that was sent before this node was last told of the limit may be older than it, so
    /// that it shows neither the limit's end nor a higher one.
    pub fn note_answer(
        &mut self,
        replica: ShortTag,
        named: NamedLimit,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = match named {
            NamedLimit::Malformed => return None,
            NamedLimit::PerSecond(rate) => Some(rate),
            NamedLimit::Absent => None,
        };
        let known = match self.rows.get_mut(&replica) {
            None if rate.is_none() => return None,
            None => LimitNews {
                replica,
                number: 0,
                rate: None,
            },
            Some(row) if row.news.rate == rate => {
                if rate.is_some() {
                    row.told = now;
                }
                return None;
            }
            Some(row) if sent < row.told && allowed(row.news.rate) < allowed(rate) => return None,
            Some(row) => row.news,
        };
        let number = known.number + 1;
        self.put(
            LimitNews {
                number,
                rate,
                ..known
            },
            true,
            now,
        );
        Some(LimitChange {
            before: known.rate,
            now: rate,
        })
    }

    /// Takes news of another node of the region.
    pub fn hear(&mut self, news: &LimitNews, now: Instant) -> LimitEffect {
        let known = self.rows.get_mut(&news.replica);
        let before = known.as_ref().and_then(|row| row.news.rate);
        if let Some(row) = known
            && !news.replaces(&row.news)
        {
            if row.news.replaces(news) {
                row.untold = true;
                return LimitEffect::Outdated;
            }
            return LimitEffect::Known;
        }
        self.put(*news, false, now);
        LimitEffect::Learned(LimitChange {
            before,
            now: news.rate,
        })
    }

    fn put(&mut self, news: LimitNews, untold: bool, now: Instant) {
        let place = self.holders.place(news.replica);
        let nodes = self.holders.others.len() + 1;
        let full = self.rows.len() >= MOST_ROWS;
        if full && !self.rows.contains_key(&news.replica) {
            return;
        }
        let row = self.rows.entry(news.replica).or_insert_with(|| LimitRow {
            news: LimitNews { rate: None, ..news },
            told: now,
            share: LimitShare::new(now),
            untold: false,
        });
        if row.news.rate.is_none() {
            row.share = LimitShare::new(now);
        }
        row.news = news;
        row.told = now;
        row.untold |= untold;
        row.share.set(news.rate, place, nodes, now);
    }

    /// Sets the nodes that share the limits; a node that has just started knows neither them nor what its
    /// predecessor sent, and takes no part.
    pub fn set_holders(&mut self, own: Option<ShortTag>, others: BTreeSet<ShortTag>, now: Instant) {
        self.holders = LimitHolders { own, others };
        let nodes = self.holders.others.len() + 1;
        for (replica, row) in &mut self.rows {
            let place = self.holders.place(*replica);
            row.share.set(row.news.rate, place, nodes, now);
        }
    }

    /// Gives the limit of a replica.
    pub fn rate(&self, replica: ShortTag) -> Option<RequestRate> {
        self.rows.get(&replica)?.news.rate
    }

    /// Tells whether a limit of a replica is in force.
    pub fn is_limited(&self, replica: ShortTag) -> bool {
        self.rate(replica).is_some()
    }

    /// Tells whether this node may send a replica one more request now.
    pub fn allows(&self, replica: ShortTag, now: Instant) -> bool {
        let row = self.rows.get(&replica);
        row.is_none_or(|row| row.news.rate.is_none() || row.share.allows(now))
    }

    /// Takes one request from this node's part; tells whether it may be sent.
    pub fn take(&mut self, replica: ShortTag, now: Instant) -> bool {
        match self.rows.get_mut(&replica) {
            Some(row) if row.news.rate.is_some() => row.share.take(now),
            _ => true,
        }
    }

    /// Gives the time after which a replica may be sent one more request, by this node or, where it takes no part,
    /// by others.
    pub fn wait(&self, replica: ShortTag, now: Instant) -> Duration {
        let row = self.rows.get(&replica);
        row.filter(|row| row.news.rate.is_some())
            .map_or(Duration::ZERO, |row| row.share.wait(now))
    }

    /// Takes what the other nodes of the region have not been told, so many news at most.
    pub fn take_news(&mut self, most: usize) -> Vec<LimitNews> {
        let mut news = Vec::new();
        for row in self.rows.values_mut().filter(|row| row.untold).take(most) {
            row.untold = false;
            news.push(row.news);
        }
        news
    }

    /// Gives the limits in force, for a node that knows others.
    pub fn known_news(&self) -> impl Iterator<Item = LimitNews> {
        let rows = self.rows.values().map(|row| row.news);
        rows.filter(|news| news.rate.is_some())
    }

    /// Gives a digest of the limits in force; nodes that know the same have the same.
    pub fn digest(&self) -> u64 {
        self.known_news()
            .map(|news| {
                let rate = news.rate.unwrap_or_default().to_bits();
                session_rank(rate ^ u64::from(news.number), news.replica)
            })
            .fold(0, |digest, rank| digest ^ rank)
    }

    /// Runs once a tick: forgets limits that ended, and replicas that are gone, a while ago; an entry that vanished may
    /// come back.
    pub(crate) fn tick(&mut self, lives: impl Fn(ShortTag) -> bool, now: Instant) {
        self.rows.retain(|replica, row| {
            let over = row.news.rate.is_none() || !lives(*replica);
            let old = now.saturating_duration_since(row.told) > FORGET;
            !(over && old)
        });
    }
}
