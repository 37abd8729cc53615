//! Client accounts and their callers, kept in shards so that one change stays small.

use crate::ConfigError;
use crate::section::SectionFile;
use zinniahatch_base::prelude::*;

/// Parts that the accounts are spread over.
///
/// 4,000 accounts in 64 parts make about 12 KB a part (`docs/CAPACITY.md`), so a change of one
/// account costs each node one such part.
pub const ACCOUNT_SHARDS: u32 = 64;

domain! {
    /// One client account.
    pub struct AccountEntry {
        /// Its home region.
        pub home: RegionId,
        /// Its class, which the preset gives a weight.
        pub class: Box<str>,
        /// The team whose operators may change and see it.
        pub team: Box<str>,
        /// Requests it may have in progress on one node; 0 means no limit.
        pub in_progress_limit: u32,
    }

    /// One caller of an account.
    pub struct CallerEntry {
        /// The caller's name.
        pub caller: CallerId,
        /// Its account.
        pub account: AccountId,
    }

    /// Accounts by name and callers by the digest of their API key.
    #[derive(Default)]
    pub struct AccountTable {
        /// Accounts by name.
        pub accounts: BTreeMap<AccountId, AccountEntry>,
        /// Callers by the digest of their API key.
        pub callers: BTreeMap<PartHash, CallerEntry>,
    }
}

/// Gives the part that holds an account.
pub fn shard_of(account: &str) -> Box<str> {
    format!("accounts-{:02}", tag_of(account) % ACCOUNT_SHARDS).into()
}

/// Splits one file of accounts into its parts.
///
/// # Errors
///
/// Refuses the file where any section is wrong.
pub fn split_accounts(file: &str, text: &str) -> Result<BTreeMap<Box<str>, String>, ConfigError> {
    let parsed = SectionFile::parse(file, text)?;
    let mut shards: BTreeMap<Box<str>, String> = BTreeMap::new();
    for section in parsed.of_kinds(&["account", "caller"])? {
        let account = if &*section.kind == "account" {
            section.name.clone()
        } else {
            section.text("account")?
        };
        let shard = shards.entry(shard_of(&account)).or_default();
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
                "add an [account] section or mend the name",
            ));
        }
        Ok(())
    }
}
