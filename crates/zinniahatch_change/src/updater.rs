//! The desk that makes changes: written as parts, put in force by one compare-and-swap of the head.

use serde::Deserialize;
use serde::Serialize;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use thiserror::Error;
use tokio::time::sleep;
use zinniahatch_base::digest_text;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigError;
use zinniahatch_config::ConfigHead;
use zinniahatch_config::PartTexts;
use zinniahatch_platform::PutOutcome;
use zinniahatch_platform::StoreClient;
use zinniahatch_platform::StoreError;

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";
/// How the note of a change names the preset in force, beside the names of parts.
const PRESET_MARK: &str = "preset in force";
/// Rounds of one change; each reads the head and tries one swap.
const MAX_ATTEMPTS: u32 = 8;
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Gives the key under which a part is kept.
pub fn part_key(hash: &str) -> String {
    format!("config/part/{hash}")
}

/// One change asked for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeRequest {
    /// Names the change; asking again with the same id never makes it twice.
    pub change: Box<str>,
    /// The revision that the change was made against.
    pub expect_revision: Revision,
    /// The preset to put in force.
    #[serde(default)]
    pub preset: Option<PresetId>,
    /// New texts by part; `None` removes a part.
    #[serde(default)]
    pub parts: BTreeMap<Box<str>, Option<Box<str>>>,
    /// Whether only to check.
    #[serde(default)]
    pub check: bool,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is in force from this revision on.
    Accepted(Revision),
    /// It would be accepted.
    Checked,
    /// Another change of the same part came first; nothing was changed.
    Conflict(Revision),
    /// The answer of the store was lost; asking again with the same id settles it.
    Unknown,
}

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// It is wrong; nothing was changed.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// The store was not reached; nothing was changed.
    #[error("the store is not reached and nothing was changed: {0}")]
    StoreDown(Box<str>),
}

/// Makes changes through the store.
#[derive(Clone, Debug)]
pub struct ConfigUpdater<S> {
    store: S,
}

struct StoredHead {
    head: ConfigHead,
    stored: u64,
}

impl<S: StoreClient> ConfigUpdater<S> {
    /// Makes a desk on a store.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Gives the store.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Makes a change; `local` gives parts that this node holds, so that they need not be read.
    ///
    /// # Errors
    ///
    /// Nothing was changed when an error is given.
    pub async fn apply(
        &self,
        request: &ChangeRequest,
        operator: &str,
        local: impl Fn(&str) -> Option<Box<str>>,
    ) -> Result<ChangeOutcome, ChangeError> {
        let mut unconfirmed_at: Option<u64> = None;
        let mut last_error: Box<str> = "no answer".into();
        for _ in 0..MAX_ATTEMPTS {
            let read = match self.read_head().await {
                Ok(read) => read,
                Err(error) => {
                    last_error = error.to_string().into();
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            if let Some(revision) = read.head.revision_of(&request.change) {
                return Ok(ChangeOutcome::Accepted(revision));
            }
            if unconfirmed_at.is_some_and(|stored| stored != read.stored) {
                // The head moved on without the change: its swap can no longer take effect.
                unconfirmed_at = None;
            }
            if conflicts(&read.head, request) {
                if unconfirmed_at.is_some() {
                    break;
                }
                return Ok(ChangeOutcome::Conflict(read.head.revision));
            }
            let (head, new_parts) = match self.build(&read.head, request, operator, &local).await {
                Ok(built) => built,
                Err(ChangeError::StoreDown(text)) => {
                    last_error = text;
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            if request.check {
                return Ok(ChangeOutcome::Checked);
            }
            match self.swap(&head, &new_parts, read.stored).await {
                Ok(PutOutcome::Done(_)) => return Ok(ChangeOutcome::Accepted(head.revision)),
                Ok(PutOutcome::Conflict) => {}
                Err(StoreError::Unavailable(text)) => last_error = text,
                Err(StoreError::ResponseLost(text)) => {
                    unconfirmed_at = Some(read.stored);
                    last_error = text;
                }
            }
            sleep(RETRY_DELAY).await;
        }
        if unconfirmed_at.is_some() {
            return Ok(ChangeOutcome::Unknown);
        }
        Err(ChangeError::StoreDown(last_error))
    }

    async fn read_head(&self) -> Result<StoredHead, StoreError> {
        let Some(value) = self.store.get(HEAD_KEY).await? else {
            return Ok(StoredHead {
                head: ConfigHead::default(),
                stored: 0,
            });
        };
        let head = serde_json::from_str(&value.value)
            .map_err(|error| StoreError::Unavailable(error.to_string().into()))?;
        Ok(StoredHead {
            head,
            stored: value.revision,
        })
    }

    /// Builds and checks the head that the change would make.
    async fn build(
        &self,
        base: &ConfigHead,
        request: &ChangeRequest,
        operator: &str,
        local: &impl Fn(&str) -> Option<Box<str>>,
    ) -> Result<(ConfigHead, PartTexts), ChangeError> {
        let mut texts = self.read_parts(base, local).await?;
        let mut what: Vec<&str> = request.parts.keys().map(|name| &**name).collect();
        if request.preset.is_some() {
            what.push(PRESET_MARK);
        }
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |age| age.as_secs());
        let mut head = base.next(&request.change, operator, at, &what.join(","));
        let mut new_parts = PartTexts::new();
        for (name, text) in &request.parts {
            if let Some(text) = text {
                let hash = digest_text(text);
                new_parts.insert(hash.clone(), text.clone());
                head.parts.insert(name.clone(), hash);
                texts.insert(name.clone(), text.clone());
            } else {
                head.parts.remove(name);
                texts.remove(name);
            }
        }
        if let Some(preset) = &request.preset {
            head.preset.clone_from(preset);
        }
        ClusterConfig::build(&head, &texts)?;
        Ok((head, new_parts))
    }

    async fn read_parts(
        &self,
        head: &ConfigHead,
        local: &impl Fn(&str) -> Option<Box<str>>,
    ) -> Result<PartTexts, ChangeError> {
        let mut texts = PartTexts::new();
        for (name, hash) in &head.parts {
            let text = match local(hash) {
                Some(text) => text,
                None => self.read_part(hash).await?,
            };
            texts.insert(name.clone(), text);
        }
        Ok(texts)
    }

    async fn read_part(&self, hash: &str) -> Result<Box<str>, ChangeError> {
        match self.store.get(&part_key(hash)).await {
            Ok(Some(value)) => Ok(value.value),
            Ok(None) => Err(ChangeError::StoreDown(
                format!("part {hash} is not there").into(),
            )),
            Err(error) => Err(ChangeError::StoreDown(error.to_string().into())),
        }
    }

    /// Writes the parts, which is harmless as often as it is done, and then swaps the head.
    async fn swap(
        &self,
        head: &ConfigHead,
        new_parts: &PartTexts,
        stored: u64,
    ) -> Result<PutOutcome, StoreError> {
        for (hash, text) in new_parts {
            // A lost answer here is no doubt about the change: the head is not swapped yet.
            self.store
                .put(&part_key(hash), text, None, None)
                .await
                .map_err(|error| StoreError::Unavailable(error.to_string().into()))?;
        }
        let text = serde_json::to_string(head)
            .map_err(|error| StoreError::Unavailable(error.to_string().into()))?;
        self.store.put(HEAD_KEY, &text, Some(stored), None).await
    }
}

/// Says whether a change since the expected revision touched a part that this one touches.
fn conflicts(head: &ConfigHead, request: &ChangeRequest) -> bool {
    if head.revision == request.expect_revision {
        return false;
    }
    let later: Vec<_> = head
        .changes
        .iter()
        .filter(|record| record.revision > request.expect_revision)
        .collect();
    let known = head.revision > request.expect_revision
        && later.len() as u64 == head.revision - request.expect_revision;
    if !known {
        return true;
    }
    later.iter().any(|record| {
        record.what.split(',').any(|name| {
            request.parts.contains_key(name) || (name == PRESET_MARK && request.preset.is_some())
        })
    })
}
