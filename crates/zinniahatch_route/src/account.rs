//! Client accounts of the desired state: which keys belong to them, and where and how much they
//! may send.

use crate::DesiredRoute;
use crate::DesiredState;
use crate::PromptSize;
use std::rc::Rc;
use zinniahatch_base::prelude::*;

domain! {
    /// The unit in which an allowance is counted.
    #[derive(Copy, Eq)]
    pub enum AllowanceUnit {
        /// Requests.
        Requests,
        /// Input tokens plus the maximum number of output tokens.
        Tokens,
    }

    /// Rate limit of an account over all nodes together.
    #[derive(Copy)]
    pub struct Allowance {
        /// The unit of the rate and the burst.
        pub unit: AllowanceUnit,
        /// Units per second.
        pub rate: f64,
        /// Units above the rate that may be sent at once.
        pub burst: f64,
        /// Tokens charged for a request that does not state its size.
        pub plain_tokens: u32,
    }

    /// One client account.
    pub struct DesiredAccount {
        /// Its name.
        pub name: AccountId,
        /// The digests of its keys.
        pub keys: BTreeSet<KeyDigest>,
        /// Priority that replaces the one of its routes; 0 is the most urgent. `None` keeps the
        /// routes' priorities.
        pub priority: Option<u8>,
        /// Regions that may serve its requests and store their data; empty allows all.
        pub homes: BTreeSet<RegionId>,
        /// Its rate limit; `None` means unlimited.
        pub allowance: Option<Allowance>,
    }
}

impl Allowance {
    /// Returns the number of units that a request is charged.
    pub fn charge(&self, size: &PromptSize) -> u64 {
        match self.unit {
            AllowanceUnit::Requests => 1,
            AllowanceUnit::Tokens => match u64::from(size.tokens_in) + u64::from(size.tokens_out) {
                0 => u64::from(self.plain_tokens),
                stated => stated,
            },
        }
    }
}

/// Result of looking up a key in the current desired state.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyLookup {
    /// The key belongs to an account.
    Known(Rc<DesiredAccount>),
    /// The key belonged to an account and was revoked while this process ran.
    Revoked,
    /// The key belongs to no account.
    Unknown,
}

/// The accounts of one version of the desired state, indexed by key and by name.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: BTreeMap<AccountId, Rc<DesiredAccount>>,
    keys: BTreeMap<KeyDigest, Rc<DesiredAccount>>,
    /// Keys of earlier versions that the current version no longer contains.
    revoked: BTreeSet<KeyDigest>,
}

/// Maximum number of revoked keys remembered, to tell them from keys that never existed.
const MAX_REVOKED: usize = 10_000;

impl AccountTable {
    /// Builds the table of a version from the desired state and the table of the previous version.
    pub fn new(state: &DesiredState, previous: &Self) -> Self {
        let mut table = Self::default();
        for account in &state.accounts {
            let account = Rc::new(account.clone());
            for key in &account.keys {
                table.keys.insert(*key, Rc::clone(&account));
            }
            table.accounts.insert(account.name.clone(), account);
        }
        // The keys revoked by this version come first, so that older ones are dropped once the
        // limit is reached.
        let earlier = previous.keys.keys().chain(&previous.revoked);
        let revoked = earlier.filter(|key| !table.keys.contains_key(*key));
        let revoked = revoked.take(MAX_REVOKED).copied().collect();
        Self { revoked, ..table }
    }

    /// Returns whether callers must present a key.
    pub fn requires_key(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Looks up the account of a key.
    pub fn find(&self, key: &KeyDigest) -> KeyLookup {
        match self.keys.get(key) {
            Some(account) => KeyLookup::Known(Rc::clone(account)),
            None if self.revoked.contains(key) => KeyLookup::Revoked,
            None => KeyLookup::Unknown,
        }
    }

    /// Returns whether a key currently belongs to an account.
    pub fn holds(&self, key: &KeyDigest, account: &str) -> bool {
        self.keys
            .get(key)
            .is_some_and(|holder| *holder.name == *account)
    }

    /// Returns whether a key that another node resolved to an account under version `found` is
    /// still valid under this table, which has version `own`.
    ///
    /// A node on an older version than the resolving node may not know the key yet and accepts the
    /// result; a node on the same or a newer version checks its own table.
    pub fn still_holds(&self, key: &KeyDigest, account: &str, found: u64, own: u64) -> bool {
        own < found || self.holds(key, account)
    }

    /// Returns an account by its name.
    pub fn named(&self, name: &str) -> Option<&Rc<DesiredAccount>> {
        self.accounts.get(name)
    }
}

/// Returns the regions that may serve a route for an account; an empty set allows all regions, and
/// `None` means that no region qualifies.
///
/// The homes of the route and of the account both apply.
pub fn common_homes(
    route: &DesiredRoute,
    account: Option<&DesiredAccount>,
) -> Option<BTreeSet<RegionId>> {
    let allowed = account.map(|account| &account.homes);
    let Some(allowed) = allowed.filter(|homes| !homes.is_empty()) else {
        return Some(route.homes.clone());
    };
    if route.homes.is_empty() {
        return Some(allowed.clone());
    }
    let common: BTreeSet<RegionId> = route.homes.intersection(allowed).cloned().collect();
    (!common.is_empty()).then_some(common)
}
