//! Keys of requests that may not be repeated: each runs at most once, at the node that made it.

use thiserror::Error;
use zinniahatch_base::prelude::*;

/// Prefix and version of a key's text.
const KEY_PREFIX: &str = "zk1";
/// Digits of the authentication code in a key.
const CODE_DIGITS: usize = 24;

/// A key as its text says, before it is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MintedKey {
    /// The node that made it.
    pub node: NodeId,
    /// The incarnation that made it.
    pub incarnation: Incarnation,
    /// Counts the keys of the incarnation.
    pub number: u64,
    /// Seconds from the incarnation's start to the making.
    pub made: u64,
    code: Box<str>,
}

/// Why a key was refused; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyRefusal {
    /// The text is no key, the code does not fit, or it belongs to another account.
    #[error("the key was not made here for this account")]
    Foreign,
    /// Another request used it.
    #[error("another request used the key")]
    Reused,
    /// It was answered as not run.
    #[error("the key was answered as not run")]
    Buried,
}

/// What a claim of a key gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyClaim<A> {
    /// The key is fresh and now belongs to this request, which may be sent once.
    Fresh,
    /// The request under the key is running.
    Running,
    /// The request ran; this is its kept answer.
    Answered(A),
    /// The book has passed to an heir; nothing ran here, and the heir may run it.
    Closed,
    /// The request may have run, and its answer is not known.
    Lost,
    /// The key was refused.
    Refused(KeyRefusal),
}

/// One used key as it passes to an heir: number, digest of its request, answer, whether buried.
pub type KeyLine<A> = (u64, PartHash, Option<A>, bool);

#[derive(Clone, Debug)]
struct UsedKey<A> {
    digest: PartHash,
    used: Instant,
    state: UsedState<A>,
}

#[derive(Clone, Debug)]
enum UsedState<A> {
    Running,
    Answered(A),
    Lost,
    Buried,
}

/// The keys of one incarnation: made here, or taken over from a node that left.
///
/// Only the book of the incarnation that made a key may start its request. The book lives in the
/// memory of one process, so there is no second view that could start it again; when the process
/// dies, the book is gone, and no other process can open one for the same incarnation.
pub struct KeyBook<A> {
    node: NodeId,
    incarnation: Incarnation,
    secret: [u8; 32],
    started: Instant,
    made: u64,
    valid: Duration,
    used: BTreeMap<u64, UsedKey<A>>,
    closed: bool,
}

impl MintedKey {
    /// Reads a key's text, without checking its code.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split('.');
        if fields.next()? != KEY_PREFIX {
            return None;
        }
        let key = Self {
            node: fields.next()?.into(),
            incarnation: u64::from_str_radix(fields.next()?, 16).ok()?,
            number: fields.next()?.parse().ok()?,
            made: fields.next()?.parse().ok()?,
            code: fields.next()?.into(),
        };
        fields.next().is_none().then_some(key)
    }
}

impl<A: Clone> KeyBook<A> {
    /// Opens the book of this incarnation; keys are valid for the given time.
    pub fn new(
        node: &str,
        incarnation: Incarnation,
        secret: [u8; 32],
        now: Instant,
        valid: Duration,
    ) -> Self {
        Self {
            node: node.into(),
            incarnation,
            secret,
            started: now,
            made: 0,
            valid,
            used: BTreeMap::new(),
            closed: false,
        }
    }

    /// Gives how many used keys are remembered.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Says whether no used key is remembered.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Makes a key for an account.
    pub fn mint(&mut self, now: Instant, account: &str) -> Box<str> {
        self.made += 1;
        let made = now.duration_since(self.started).as_secs();
        let code = self.code(account, self.made, made);
        format!(
            "{KEY_PREFIX}.{}.{:x}.{}.{made}.{code}",
            self.node, self.incarnation, self.made
        )
        .into()
    }

    /// Claims a key for a request with this digest.
    pub fn claim(
        &mut self,
        now: Instant,
        key: &MintedKey,
        account: &str,
        digest: &str,
    ) -> KeyClaim<A> {
        if !self.fits(key, account) {
            return KeyClaim::Refused(KeyRefusal::Foreign);
        }
        if let Some(used) = self.used.get(&key.number) {
            return used.claim(digest);
        }
        let age = now
            .duration_since(self.started)
            .as_secs()
            .saturating_sub(key.made);
        // Past its validity a used key may have been forgotten, so a fresh one cannot be told
        // from a used one.
        if age >= self.valid.as_secs() {
            return KeyClaim::Lost;
        }
        if self.closed {
            return KeyClaim::Closed;
        }
        self.used.insert(
            key.number,
            UsedKey {
                digest: digest.into(),
                used: now,
                state: UsedState::Running,
            },
        );
        KeyClaim::Fresh
    }

    /// Gives the kept answer of a key without claiming it.
    pub fn collect(&self, key: &MintedKey, account: &str) -> KeyClaim<A> {
        if !self.fits(key, account) {
            return KeyClaim::Refused(KeyRefusal::Foreign);
        }
        match self.used.get(&key.number) {
            Some(used) => used.claim(&used.digest),
            None => KeyClaim::Lost,
        }
    }

    /// Notes the answer of a claimed key.
    pub fn answer(&mut self, number: u64, answer: A) {
        self.set(number, UsedState::Answered(answer));
    }

    /// Forgets the oldest kept answers until their sizes fit the limit; the keys stay used.
    pub fn fit_answers(&mut self, limit: usize, size: impl Fn(&A) -> usize) {
        let mut total = 0;
        let mut order: Vec<(Instant, u64, usize)> = Vec::new();
        for (number, used) in &self.used {
            if let UsedState::Answered(answer) = &used.state {
                let bytes = size(answer);
                total += bytes;
                order.push((used.used, *number, bytes));
            }
        }
        order.sort_unstable();
        for (_, number, bytes) in order {
            if total <= limit {
                return;
            }
            total -= bytes;
            self.lose(number);
        }
    }

    /// Notes that a claimed key's request may have run, with its answer lost.
    pub fn lose(&mut self, number: u64) {
        self.set(number, UsedState::Lost);
    }

    /// Buries a claimed key whose request was never sent, before its caller is told "not run".
    pub fn bury(&mut self, number: u64) {
        self.set(number, UsedState::Buried);
    }

    /// Forgets used keys past the validity of any key that could name them, and old answers.
    pub fn sweep(&mut self, now: Instant, keep: Duration) {
        let keep = keep.max(self.valid * 2);
        self.used.retain(|_, used| {
            matches!(used.state, UsedState::Running) || now.duration_since(used.used) < keep
        });
    }

    /// Closes the book and gives what its heir needs; nothing starts here any more.
    ///
    /// A request still running is handed on as lost: its answer was not seen in time.
    pub fn close(&mut self, now: Instant) -> ([u8; 32], u64, Vec<KeyLine<A>>) {
        self.closed = true;
        let age = now.duration_since(self.started).as_secs();
        let lines = self
            .used
            .iter()
            .map(|(number, used)| match &used.state {
                UsedState::Answered(answer) => {
                    (*number, used.digest.clone(), Some(answer.clone()), false)
                }
                UsedState::Buried => (*number, used.digest.clone(), None, true),
                UsedState::Running | UsedState::Lost => (*number, used.digest.clone(), None, false),
            })
            .collect();
        (self.secret, age, lines)
    }

    /// Opens the book of an incarnation that closed it and left.
    pub fn inherit(
        node: &str,
        incarnation: Incarnation,
        secret: [u8; 32],
        age: u64,
        now: Instant,
        valid: Duration,
        lines: Vec<KeyLine<A>>,
    ) -> Self {
        let started = now.checked_sub(Duration::from_secs(age)).unwrap_or(now);
        let mut book = Self::new(node, incarnation, secret, started, valid);
        for (number, digest, answer, buried) in lines {
            let state = match answer {
                Some(answer) => UsedState::Answered(answer),
                None if buried => UsedState::Buried,
                None => UsedState::Lost,
            };
            book.used.insert(
                number,
                UsedKey {
                    digest,
                    used: now,
                    state,
                },
            );
        }
        book
    }

    fn set(&mut self, number: u64, state: UsedState<A>) {
        if let Some(used) = self.used.get_mut(&number) {
            used.state = state;
        }
    }

    fn fits(&self, key: &MintedKey, account: &str) -> bool {
        key.node == self.node
            && key.incarnation == self.incarnation
            && key.code.len() == CODE_DIGITS
            && same_text(&self.code(account, key.number, key.made), &key.code)
    }

    fn code(&self, account: &str, number: u64, made: u64) -> Box<str> {
        let text = format!("{account}\n{number}\n{made}");
        let hash = blake3::keyed_hash(&self.secret, text.as_bytes());
        Box::from(&hash.to_hex().as_str()[..CODE_DIGITS])
    }
}

impl<A: Clone> UsedKey<A> {
    fn claim(&self, digest: &str) -> KeyClaim<A> {
        if &*self.digest != digest {
            return KeyClaim::Refused(KeyRefusal::Reused);
        }
        match &self.state {
            UsedState::Running => KeyClaim::Running,
            UsedState::Answered(answer) => KeyClaim::Answered(answer.clone()),
            UsedState::Lost => KeyClaim::Lost,
            UsedState::Buried => KeyClaim::Refused(KeyRefusal::Buried),
        }
    }
}

/// Compares two codes by their hashes, so that the time taken tells nothing about the code.
fn same_text(one: &str, other: &str) -> bool {
    blake3::hash(one.as_bytes()) == blake3::hash(other.as_bytes())
}
