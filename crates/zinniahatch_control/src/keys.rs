//! Idempotency keys: each key's request runs at most once, on the node that issued the key.

use thiserror::Error;
use zinniahatch_base::prelude::*;

/// Prefix and format version of a key's text.
const KEY_PREFIX: &str = "zk1";
/// Hex digits of the message authentication code (MAC) in a key.
const MAC_DIGITS: usize = 24;

/// A parsed key whose MAC has not been verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MintedKey {
    /// The node that issued it.
    pub node: NodeId,
    /// The incarnation that issued it.
    pub incarnation: Incarnation,
    /// Sequence number of the key within the incarnation.
    pub number: u64,
    /// Seconds from the start of the incarnation to the issue of the key.
    pub minted_s: u64,
    mac: Box<str>,
}

/// Why a key was refused; its request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyRefusal {
    /// The text is not a key, its MAC does not match, or it belongs to another account.
    #[error("the key was not issued here for this account")]
    Foreign,
    /// A different request has used it.
    #[error("a different request has used the key")]
    Reused,
    /// A request with it was already reported to its caller as not run.
    #[error("the key's request was already reported as not run")]
    NotRun,
}

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyClaim<A> {
    /// The key was unused and now belongs to this request, which may be sent once.
    Fresh,
    /// The request with this key is running.
    Running,
    /// The request has run; this is its stored response.
    Answered(A),
    /// The table was handed over to a successor; nothing ran here, and the successor may run it.
    Closed,
    /// The request may have run, and its response is not known.
    Lost,
    /// The key was refused.
    Refused(KeyRefusal),
}

/// A used key in a handover: number, digest of its request, response, whether reported as not run.
pub type KeyEntry<A> = (u64, PartHash, Option<A>, bool);

#[derive(Clone, Debug)]
struct UsedKey<A> {
    digest: PartHash,
    used_at: Instant,
    state: UsedState<A>,
}

#[derive(Clone, Debug)]
enum UsedState<A> {
    Running,
    Answered(A),
    Lost,
    NotRun,
}

/// The idempotency keys of one incarnation: issued here, or taken over from a node that left.
///
/// Only the table of the incarnation that issued a key may start its request. The table exists
/// only in the memory of one process, so no second copy could start the request again. If the
/// process crashes, the table is lost, and no other process can create one for the same
/// incarnation.
pub struct KeyTable<A> {
    node: NodeId,
    incarnation: Incarnation,
    secret: [u8; 32],
    started: Instant,
    minted: u64,
    validity: Duration,
    used: BTreeMap<u64, UsedKey<A>>,
    closed: bool,
}

impl MintedKey {
    /// Parses a key's text without verifying its MAC.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split('.');
        if fields.next()? != KEY_PREFIX {
            return None;
        }
        let key = Self {
            node: fields.next()?.into(),
            incarnation: u64::from_str_radix(fields.next()?, 16).ok()?,
            number: fields.next()?.parse().ok()?,
            minted_s: fields.next()?.parse().ok()?,
            mac: fields.next()?.into(),
        };
        fields.next().is_none().then_some(key)
    }
}

impl<A: Clone> KeyTable<A> {
    /// Creates the table of this incarnation; keys are valid for the given time.
    pub fn new(
        node: &str,
        incarnation: Incarnation,
        secret: [u8; 32],
        now: Instant,
        validity: Duration,
    ) -> Self {
        Self {
            node: node.into(),
            incarnation,
            secret,
            started: now,
            minted: 0,
            validity,
            used: BTreeMap::new(),
            closed: false,
        }
    }

    /// Returns the number of stored used keys.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether no used key is stored.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Issues a key for an account.
    pub fn mint(&mut self, now: Instant, account: &str) -> Box<str> {
        self.minted += 1;
        let made = now.duration_since(self.started).as_secs();
        let code = self.mac(account, self.minted, made);
        format!(
            "{KEY_PREFIX}.{}.{:x}.{}.{made}.{code}",
            self.node, self.incarnation, self.minted
        )
        .into()
    }

    /// Claims a key for the request with this digest.
    pub fn claim(
        &mut self,
        now: Instant,
        key: &MintedKey,
        account: &str,
        digest: &str,
    ) -> KeyClaim<A> {
        if !self.is_authentic(key, account) {
            return KeyClaim::Refused(KeyRefusal::Foreign);
        }
        if let Some(used) = self.used.get(&key.number) {
            return used.claim(digest);
        }
        let age = now
            .duration_since(self.started)
            .as_secs()
            .saturating_sub(key.minted_s);
        // Used keys may be evicted after their validity, so an expired key may have been used even
        // if it is not in the table.
        if age >= self.validity.as_secs() {
            return KeyClaim::Lost;
        }
        if self.closed {
            return KeyClaim::Closed;
        }
        self.used.insert(
            key.number,
            UsedKey {
                digest: digest.into(),
                used_at: now,
                state: UsedState::Running,
            },
        );
        KeyClaim::Fresh
    }

    /// Returns the stored response of a key without claiming the key.
    pub fn collect(&self, key: &MintedKey, account: &str) -> KeyClaim<A> {
        if !self.is_authentic(key, account) {
            return KeyClaim::Refused(KeyRefusal::Foreign);
        }
        match self.used.get(&key.number) {
            Some(used) => used.claim(&used.digest),
            None => KeyClaim::Lost,
        }
    }

    /// Stores the response for a claimed key.
    pub fn record_response(&mut self, number: u64, response: A) {
        self.set(number, UsedState::Answered(response));
    }

    /// Evicts the oldest responses until the rest fit the limit; their keys stay used.
    pub fn trim_responses(&mut self, limit: usize, size: impl Fn(&A) -> usize) {
        let mut total = 0;
        let mut order: Vec<(Instant, u64, usize)> = Vec::new();
        for (number, used) in &self.used {
            if let UsedState::Answered(response) = &used.state {
                let bytes = size(response);
                total += bytes;
                order.push((used.used_at, *number, bytes));
            }
        }
        order.sort_unstable();
        for (_, number, bytes) in order {
            if total <= limit {
                return;
            }
            total -= bytes;
            self.mark_lost(number);
        }
    }

    /// Marks a claimed key's request as possibly run, with its response lost.
    pub fn mark_lost(&mut self, number: u64) {
        self.set(number, UsedState::Lost);
    }

    /// Marks a claimed key's request as never sent, before its caller is told "not run".
    pub fn mark_not_run(&mut self, number: u64) {
        self.set(number, UsedState::NotRun);
    }

    /// Evicts used keys and their responses after `retention`, but not before twice the validity.
    ///
    /// Keys of running requests stay.
    pub fn sweep(&mut self, now: Instant, retention: Duration) {
        let retention = retention.max(self.validity * 2);
        self.used.retain(|_, used| {
            matches!(used.state, UsedState::Running) || now.duration_since(used.used_at) < retention
        });
    }

    /// Closes the table and returns its secret, age and used keys for a successor.
    ///
    /// No request starts here afterwards. A request that is still running is handed over as lost,
    /// because its response did not arrive in time.
    pub fn close(&mut self, now: Instant) -> ([u8; 32], u64, Vec<KeyEntry<A>>) {
        self.closed = true;
        let age = now.duration_since(self.started).as_secs();
        let entries = self
            .used
            .iter()
            .map(|(number, used)| match &used.state {
                UsedState::Answered(response) => {
                    (*number, used.digest.clone(), Some(response.clone()), false)
                }
                UsedState::NotRun => (*number, used.digest.clone(), None, true),
                UsedState::Running | UsedState::Lost => (*number, used.digest.clone(), None, false),
            })
            .collect();
        (self.secret, age, entries)
    }

    /// Restores the table of an incarnation that closed it and left.
    pub fn inherit(
        node: &str,
        incarnation: Incarnation,
        secret: [u8; 32],
        age: u64,
        now: Instant,
        validity: Duration,
        entries: Vec<KeyEntry<A>>,
    ) -> Self {
        let started = now.checked_sub(Duration::from_secs(age)).unwrap_or(now);
        let mut table = Self::new(node, incarnation, secret, started, validity);
        for (number, digest, response, not_run) in entries {
            let state = match response {
                Some(response) => UsedState::Answered(response),
                None if not_run => UsedState::NotRun,
                None => UsedState::Lost,
            };
            table.used.insert(
                number,
                UsedKey {
                    digest,
                    used_at: now,
                    state,
                },
            );
        }
        table
    }

    fn set(&mut self, number: u64, state: UsedState<A>) {
        if let Some(used) = self.used.get_mut(&number) {
            used.state = state;
        }
    }

    fn is_authentic(&self, key: &MintedKey, account: &str) -> bool {
        key.node == self.node
            && key.incarnation == self.incarnation
            && key.mac.len() == MAC_DIGITS
            && macs_equal(&self.mac(account, key.number, key.minted_s), &key.mac)
    }

    fn mac(&self, account: &str, number: u64, made: u64) -> Box<str> {
        let text = format!("{account}\n{number}\n{made}");
        let hash = blake3::keyed_hash(&self.secret, text.as_bytes());
        Box::from(&hash.to_hex().as_str()[..MAC_DIGITS])
    }
}

impl<A: Clone> UsedKey<A> {
    fn claim(&self, digest: &str) -> KeyClaim<A> {
        if &*self.digest != digest {
            return KeyClaim::Refused(KeyRefusal::Reused);
        }
        match &self.state {
            UsedState::Running => KeyClaim::Running,
            UsedState::Answered(response) => KeyClaim::Answered(response.clone()),
            UsedState::Lost => KeyClaim::Lost,
            UsedState::NotRun => KeyClaim::Refused(KeyRefusal::NotRun),
        }
    }
}

/// Compares two MACs by their hashes, so that the timing reveals nothing about the MAC.
fn macs_equal(one: &str, other: &str) -> bool {
    blake3::hash(one.as_bytes()) == blake3::hash(other.as_bytes())
}
