//! Applies configuration changes: writes the new parts, then swaps the head by compare-and-swap.

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

/// Store key of the configuration head.
pub const HEAD_KEY: &str = "config/head";
/// Name under which a change record lists a switch of the preset, beside the names of parts.
const PRESET_MARK: &str = "preset in force";
/// Maximum number of attempts per change; each reads the head and tries one compare-and-swap.
const MAX_ATTEMPTS: u32 = 8;
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Returns the store key of a part.
pub fn part_key(hash: &str) -> String {
    format!("config/part/{hash}")
}

/// A requested configuration change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeRequest {
    /// Id of the change; a repeated request with the same id is applied only once.
    pub change: Box<str>,
    /// Revision against which the change was made.
    pub expect_revision: Revision,
    /// Preset to put in force.
    #[serde(default)]
    pub preset: Option<PresetId>,
    /// New texts by part; `None` removes a part.
    #[serde(default)]
    pub parts: BTreeMap<Box<str>, Option<Box<str>>>,
    /// Whether to validate the change without applying it.
    #[serde(default)]
    pub check: bool,
}

/// Result of a change request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is in force from this revision on.
    Accepted(Revision),
    /// The change is valid and was not applied.
    Checked,
    /// Another change of the same part came first; nothing was changed.
    Conflict(Revision),
    /// The response of the store was lost; a repeated request with the same id settles the
    /// outcome.
    Unknown,
}

/// Why a change was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change is invalid; nothing was changed.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// The store could not be reached; nothing was changed.
    #[error("the store is not reached and nothing was changed: {0}")]
    StoreDown(Box<str>),
}

/// Applies configuration changes through the store.
#[derive(Clone, Debug)]
pub struct ConfigUpdater<S> {
    store: S,
}

struct StoredHead {
    head: ConfigHead,
    key_revision: u64,
}

impl<S: StoreClient> ConfigUpdater<S> {
    /// Creates an updater for a store.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Returns the store client.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Applies a change; `local` returns parts that this node holds, so that they need not be
    /// read.
    ///
    /// # Errors
    ///
    /// Returns an error only if nothing was changed.
    pub async fn apply(
        &self,
        request: &ChangeRequest,
        operator: &str,
        local: impl Fn(&str) -> Option<Box<str>>,
    ) -> Result<ChangeOutcome, ChangeError> {
        let mut unconfirmed_at: Option<u64> = None;
        let mut last_error: Box<str> = "no response".into();
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
            if unconfirmed_at.is_some_and(|revision| revision != read.key_revision) {
                // The head changed without including this change, so its lost compare-and-swap can
                // no longer succeed.
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
            match self.swap(&head, &new_parts, read.key_revision).await {
                Ok(PutOutcome::Done(_)) => return Ok(ChangeOutcome::Accepted(head.revision)),
                Ok(PutOutcome::Conflict) => {}
                Err(StoreError::Unavailable(text)) => last_error = text,
                Err(StoreError::ResponseLost(text)) => {
                    unconfirmed_at = Some(read.key_revision);
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
                key_revision: 0,
            });
        };
        let head = serde_json::from_str(&value.value)
            .map_err(|error| StoreError::Unavailable(error.to_string().into()))?;
        Ok(StoredHead {
            head,
            key_revision: value.revision,
        })
    }

    /// Builds and validates the head that results from the change.
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
                format!("part {hash} is missing from the store").into(),
            )),
            Err(error) => Err(ChangeError::StoreDown(error.to_string().into())),
        }
    }

    /// Writes the parts, which is idempotent, and then swaps the head.
    async fn swap(
        &self,
        head: &ConfigHead,
        new_parts: &PartTexts,
        key_revision: u64,
    ) -> Result<PutOutcome, StoreError> {
        for (hash, text) in new_parts {
            // A lost response here leaves the outcome certain: the head is not swapped yet.
            self.store
                .put(&part_key(hash), text, None, None)
                .await
                .map_err(|error| StoreError::Unavailable(error.to_string().into()))?;
        }
        let text = serde_json::to_string(head)
            .map_err(|error| StoreError::Unavailable(error.to_string().into()))?;
        self.store
            .put(HEAD_KEY, &text, Some(key_revision), None)
            .await
    }
}

/// Reports whether a change after the expected revision touched a part that this one touches.
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
