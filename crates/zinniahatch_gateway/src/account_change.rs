//! Rewrites the configuration shard that holds one account.

use serde::Deserialize;
use serde::Serialize;
use zinniahatch_base::prelude::*;

/// Requested state of one account.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct AccountChange {
    pub(crate) change: Box<str>,
    pub(crate) expect_revision: Revision,
    pub(crate) account: AccountId,
    pub(crate) home: RegionId,
    pub(crate) class: Box<str>,
    pub(crate) team: Box<str>,
    #[serde(default)]
    pub(crate) in_progress_limit: u32,
    /// Digests of API keys by caller; callers that are not listed keep their keys.
    #[serde(default)]
    pub(crate) callers: BTreeMap<CallerId, PartHash>,
    /// Whether to remove the account and its callers.
    #[serde(default)]
    pub(crate) remove: bool,
}

/// Returns the text of a shard with the account added, replaced or removed.
pub(crate) fn rewrite_shard(text: &str, change: &AccountChange) -> String {
    let mut rewritten = String::new();
    for section in sections(text) {
        let own_account = section.starts_with(&format!("[account {}]", change.account));
        let own_caller = is_caller_of(section, &change.account);
        let renamed = change
            .callers
            .keys()
            .any(|caller| section.starts_with(&format!("[caller {caller}]")));
        if own_account || (own_caller && (change.remove || renamed)) {
            continue;
        }
        rewritten.push_str(section.trim_end());
        rewritten.push('\n');
    }
    if change.remove {
        return rewritten;
    }
    rewritten.push_str(&format!(
        "[account {}]\nhome = {}\nclass = {}\nteam = {}\nin_progress_limit = {}\n",
        change.account, change.home, change.class, change.team, change.in_progress_limit
    ));
    for (caller, digest) in &change.callers {
        rewritten.push_str(&format!(
            "[caller {caller}]\naccount = {}\nkey_digest = {digest}\n",
            change.account
        ));
    }
    rewritten
}

fn sections(text: &str) -> Vec<&str> {
    let mut starts: Vec<usize> = text
        .match_indices('[')
        .filter(|(at, _)| *at == 0 || text.as_bytes()[at - 1] == b'\n')
        .map(|(at, _)| at)
        .collect();
    starts.push(text.len());
    starts
        .windows(2)
        .map(|pair| &text[pair[0]..pair[1]])
        .collect()
}

fn is_caller_of(section: &str, account: &str) -> bool {
    section.starts_with("[caller ")
        && section.lines().any(|line| {
            line.split_once('=')
                .is_some_and(|(key, value)| key.trim() == "account" && value.trim() == account)
        })
}
