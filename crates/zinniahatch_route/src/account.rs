//! Client accounts of the desired state: who a key belongs to, and where and how much an account may send.

use crate::DesiredRoute;
use crate::DesiredState;
use crate::PromptSize;
use std::rc::Rc;
use zinniahatch_base::prelude::*;

domain! {
    /// What an allowance is counted in.
    #[derive(Copy, Eq)]
    pub enum AllowanceUnit {
        /// Requests.
        Requests,
        /// Tokens in and the most tokens out.
        Tokens,
    }

    /// How much an account may send, over all nodes together.
    #[derive(Copy)]
    pub struct Allowance {
        /// What it is counted in.
        pub unit: AllowanceUnit,
        /// Units a second.
        pub rate: f64,
        /// Units beyond that at once.
        pub burst: f64,
        /// Tokens of a request that does not say how many it has.
        pub plain_tokens: u32,
    }

    /// One client account.
    pub struct DesiredAccount {
        /// Its name.
        pub name: AccountId,
        /// The digests of its keys.
        pub keys: BTreeSet<KeyDigest>,
        /// Its rank in place of that of its routes; 0 is the most urgent. None leaves the order to the routes.
        pub priority: Option<u8>,
        /// Regions that may serve its requests and keep what they bring; empty allows all.
        pub homes: BTreeSet<RegionId>,
        /// How much it may send; none is no limit.
        pub allowance: Option<Allowance>,
    }
}

impl Allowance {
    /// Gives the units that a request uses.
    pub fn charge(&self, size: &PromptSize) -> u64 {
        match self.unit {
            AllowanceUnit::Requests => 1,
            AllowanceUnit::Tokens => match u64::from(size.tokens_in) + u64::from(size.tokens_out) {
                0 => u64::from(self.plain_tokens),
                told => told,
            },
        }
    }
}

/// What a key is to the desired state in force.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyVerdict {
    /// It belongs to an account.
    Known(Rc<DesiredAccount>),
    /// It belonged to one and was taken away while this process ran.
    Revoked,
    /// It belongs to none.
    Unknown,
}

/// The accounts of one version of the desired state, by key and by name.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: BTreeMap<AccountId, Rc<DesiredAccount>>,
    keys: BTreeMap<KeyDigest, Rc<DesiredAccount>>,
    /// Keys of versions before that are in none now.
    revoked: BTreeSet<KeyDigest>,
}

/// Keys that were taken away which are remembered at most, to tell them from those that never were.
const MOST_REVOKED: usize = 10_000;

impl AccountTable {
    /// Builds the table of a version that follows another.
    pub fn new(state: &DesiredState, before: &Self) -> Self {
        let mut table = Self::default();
        for account in &state.accounts {
            let account = Rc::new(account.clone());
            for key in &account.keys {
                table.keys.insert(*key, Rc::clone(&account));
            }
            table.accounts.insert(account.name.clone(), account);
        }
        // Those taken away now go first, so that a full memory forgets older ones.
        let earlier = before.keys.keys().chain(&before.revoked);
        let revoked = earlier.filter(|key| !table.keys.contains_key(*key));
        let revoked = revoked.take(MOST_REVOKED).copied().collect();
        Self { revoked, ..table }
    }

    /// Tells whether callers have to say who they are.
    pub fn is_guarded(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Finds the account of a key.
    pub fn find(&self, key: &KeyDigest) -> KeyVerdict {
        match self.keys.get(key) {
            Some(account) => KeyVerdict::Known(Rc::clone(account)),
            None if self.revoked.contains(key) => KeyVerdict::Revoked,
            None => KeyVerdict::Unknown,
        }
    }

    /// Tells whether an account still has a key.
    pub fn holds(&self, key: &KeyDigest, account: &str) -> bool {
        self.keys
            .get(key)
            .is_some_and(|holder| *holder.name == *account)
    }

    /// Tells whether an account's key that was found by version `found` still counts by this table, which is of version
    /// `own`.
    ///
    /// A node that is behind the one that found the key has never known it, and takes its word; one that is as new has
    /// the last say.
    pub fn still_holds(&self, key: &KeyDigest, account: &str, found: u64, own: u64) -> bool {
        own < found || self.holds(key, account)
    }

    /// Gives an account by its name.
    pub fn named(&self, name: &str) -> Option<&Rc<DesiredAccount>> {
        self.accounts.get(name)
    }
}

/// Gives the regions that may serve a route for an account; empty allows all, and none is that there is no such
/// region. The homes of both bind.
pub fn common_homes(
    route: &DesiredRoute,
    account: Option<&DesiredAccount>,
) -> Option<BTreeSet<RegionId>> {
    let bound = account.map(|account| &account.homes);
    let Some(bound) = bound.filter(|homes| !homes.is_empty()) else {
        return Some(route.homes.clone());
    };
    if route.homes.is_empty() {
        return Some(bound.clone());
    }
    let common: BTreeSet<RegionId> = route.homes.intersection(bound).cloned().collect();
    (!common.is_empty()).then_some(common)
}
