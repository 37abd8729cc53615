//! Synchronisation with the configuration head in the store.

use crate::GatewayCore;
use zinniahatch_base::prelude::*;
use zinniahatch_change::HEAD_KEY;
use zinniahatch_change::part_key;
use zinniahatch_config::ConfigHead;
use zinniahatch_platform::StoreClient;
use zinniahatch_platform::StoreError;
use zinniahatch_platform::StoredValue;

impl GatewayCore {
    /// Reads the head once and returns its revision, or `None` if it cannot be read.
    ///
    /// An empty store yields a revision that no node holds, so that no node serves before the
    /// first configuration is written.
    pub async fn read_head(&self) -> Option<Revision> {
        let result = self.config_updater.store().get(HEAD_KEY).await;
        self.note_store("head read", &result);
        match result {
            Ok(Some(value)) => self.apply_head(&value).await,
            Ok(None) => Some(Revision::MAX),
            Err(_) => None,
        }
    }

    /// Applies a head, reads the missing parts and returns its revision.
    pub async fn apply_head(&self, value: &StoredValue) -> Option<Revision> {
        let head: ConfigHead = match serde_json::from_str(&value.value) {
            Ok(head) => head,
            Err(error) => {
                log::warn!("failed to parse the configuration head in the store: {error}");
                return None;
            }
        };
        let revision = head.revision;
        if revision < self.control().syncer().revision() {
            // The store was restored from an older backup; nodes keep their newer revision.
            self.counters.store_behind.inc();
            return Some(revision);
        }
        let missing = self.control().apply_stored_config(head.clone(), Vec::new());
        let mut texts = Vec::new();
        for hash in missing {
            let part = self.config_updater.store().get(&part_key(&hash)).await;
            self.note_store("part read", &part);
            if let Ok(Some(part)) = part {
                texts.push(part.value);
            }
        }
        if !texts.is_empty() {
            self.control().apply_stored_config(head, texts);
        }
        self.wake.notify_one();
        Some(revision)
    }

    /// Counts a store call by its outcome.
    pub fn note_store<T>(&self, kind: &str, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(StoreError::Unavailable(_)) => "down",
            Err(StoreError::ResponseLost(_)) => "lost",
        };
        self.counters
            .store_calls
            .with_label_values(&[kind, outcome])
            .inc();
        self.counters.store_reached.set(i64::from(result.is_ok()));
    }
}
