//! Client accounts and their callers, sharded so that a change of one account stays small.

use crate::ConfigError;
use crate::section::SectionFile;
use zinniahatch_base::prelude::*;

/// Number of configuration parts over which the accounts are distributed.
///
/// 4,000 accounts in 64 parts take about 12 KB per part (`docs/CAPACITY.md`), and a change of one
/// account makes each node fetch one part.
pub const ACCOUNT_SHARDS: u32 = 64;

domain! {
    /// One client account.
    pub struct AccountEntry {
        /// The home region.
        pub home: RegionId,
        /// The account class, to which the preset assigns a share.
        pub class: Box<str>,
        /// The team whose operators may view and change the account.
        pub team: Box<str>,
        /// Maximum number of requests in progress on one node; 0 means no limit.
        pub in_progress_limit: u32,
    }

    /// One caller of a client account.
    pub struct CallerEntry {
        /// The caller's name.
        pub caller: CallerId,
        /// The client account to which the caller belongs.
        pub account: AccountId,
    }

    /// All client accounts and callers.
    #[derive(Default)]
    pub struct AccountTable {
        /// Accounts by name.
        pub accounts: BTreeMap<AccountId, AccountEntry>,
        /// Callers by the digest of their API key.
        pub callers: BTreeMap<PartHash, CallerEntry>,
    }
}

/// Returns the name of the configuration part that holds an account.
pub fn account_shard(account: &str) -> Box<str> {
    format!("accounts-{:02}", tag_of(account) % ACCOUNT_SHARDS).into()
}

/// Splits a file of accounts into the texts of its configuration parts.
///
/// # Errors
///
/// Fails if the file is not valid INI, has an unknown section or a caller without an account.
pub fn split_accounts(file: &str, text: &str) -> Result<BTreeMap<Box<str>, String>, ConfigError> {
    let parsed = SectionFile::parse(file, text)?;
    let mut shards: BTreeMap<Box<str>, String> = BTreeMap::new();
    for section in parsed.of_kinds(&["account", "caller"])? {
        let account = if &*section.kind == "account" {
            section.name.clone()
        } else {
            section.text("account")?
        };
        let shard = shards.entry(account_shard(&account)).or_default();
        shard.push_str(&format!("[{}]\n", section.title));
        for (key, value) in section.pairs() {
            shard.push_str(&format!("{key} = {value}\n"));
        }
    }
    Ok(shards)
}

impl AccountTable {
    pub(crate) fn add(&mut self, file: &str, text: &str) -> Result<(), ConfigError> {
        let parsed = SectionFile::parse(file, text)?;
        let sections = parsed.of_kinds(&["account", "caller"])?;
        for section in sections {
            if &*section.kind == "account" {
                let account = AccountEntry {
                    home: section.text("home")?,
                    class: section.text("class")?,
                    team: section.text("team")?,
                    in_progress_limit: section.number("in_progress_limit", Some(0))?,
                };
                self.accounts.insert(section.name.clone(), account);
            } else {
                let caller = CallerEntry {
                    caller: section.name.clone(),
                    account: section.text("account")?,
                };
                self.callers.insert(section.text("key_digest")?, caller);
            }
            section.finish()?;
        }
        for section in sections.iter().filter(|section| &*section.kind == "caller") {
            let account = section.text("account")?;
            if self.accounts.contains_key(&account) {
                continue;
            }
            return Err(section.error(
                "account",
                &format!("no account `{account}`"),
                "add an [account] section or correct the name",
            ));
        }
        Ok(())
    }
}
