//! Test double of the platform's key-value store: items, ranges, watches, transactions, leases.
//!
//! It implements the platform's published protocol, so that tests exercise the real client.

mod endpoint;
mod wire;

use crate::test_doubles::faults::FaultSwitch;
use crate::test_doubles::serve::FakeServer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use endpoint::EndpointHandler;
use endpoint::KeyHandler;
use endpoint::LeaseHandler;
use endpoint::RangeHandler;
use endpoint::RenewHandler;
use endpoint::RevokeHandler;
use endpoint::TransactionHandler;
use endpoint::WatchHandler;
use salvo::Router;
use salvo::http::StatusCode;
use serde_json::value::RawValue;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::sync::Notify;
use wire::EventBody;
use wire::EventsBody;
use wire::ItemBody;
use wire::RemovedBody;
use wire::TransactionRequest;
use wire::event_body;
use wire::item_body;
use zinniahatch_base::prelude::*;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum number of entries of one transaction.
const MAX_TRANSACTION_ENTRIES: usize = 32;

#[derive(Clone, Debug)]
struct StoredValue {
    value: Box<[u8]>,
    /// The JSON text of the whole item, if a test set it.
    raw: Option<Box<RawValue>>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct StoredChange {
    key: Box<str>,
    revision: u64,
    /// `None` if the key was removed.
    value: Option<StoredValue>,
}

#[derive(Clone, Debug, Default)]
struct StoreData {
    /// Number of restores from a snapshot.
    era: u64,
    revision: u64,
    values: BTreeMap<Box<str>, StoredValue>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: Vec<StoredChange>,
    /// Revision up to which the history is compacted.
    compacted: u64,
}

impl StoreData {
    fn write(&mut self, key: &str, value: Box<[u8]>, lease: u64) {
        let created = self
            .values
            .get(key)
            .map_or(self.revision, |old| old.created);
        let value = StoredValue {
            value,
            raw: None,
            revision: self.revision,
            created,
            lease,
        };
        self.values.insert(key.into(), value.clone());
        self.record(key, Some(value));
    }

    fn remove(&mut self, key: &str) {
        if self.values.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, value: Option<StoredValue>) {
        self.history.push(StoredChange {
            key: key.into(),
            revision: self.revision,
            value,
        });
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |value| value.revision)
    }
}

/// Snapshot of the whole store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreSnapshot(StoreData);

/// The store, shared by its endpoints.
#[derive(Clone, Default)]
pub struct FakeStore {
    data: Arc<Mutex<StoreData>>,
    changed: Arc<Notify>,
    calls: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
    /// Whether pages of a listing beyond the first one wait.
    holds_pages: Arc<AtomicBool>,
}

impl FakeStore {
    /// Starts an endpoint: an address with its own faults, such as one region's access to the store.
    pub async fn start_endpoint(&self, switch: FaultSwitch) -> FakeServer {
        let share = || EndpointHandler {
            store: self.clone(),
            switch: switch.clone(),
        };
        let router = Router::new()
            .push(Router::with_path("kv-key").get(KeyHandler(share())))
            .push(Router::with_path("kv-range").get(RangeHandler(share())))
            .push(Router::with_path("kv-watch").get(WatchHandler(share())))
            .push(Router::with_path("kv-txn").post(TransactionHandler(share())))
            .push(Router::with_path("kv-lease").post(LeaseHandler(share())))
            .push(Router::with_path("kv-keep/{id}").post(RenewHandler(share())))
            .push(Router::with_path("kv-lease-end/{id}").delete(RevokeHandler(share())));
        FakeServer::start(router).await
    }

    /// Returns the number of requests so far, and how many of them were writes.
    pub fn calls(&self) -> (u64, u64) {
        (
            self.calls.load(Ordering::Relaxed),
            self.writes.load(Ordering::Relaxed),
        )
    }

    /// Expires all leases now.
    pub fn expire_leases(&self) {
        self.lock().leases.clear();
        self.drop_expired();
    }

    /// Compacts the history: watches from earlier revisions get status 410.
    pub fn compact_history(&self) {
        let mut data = self.lock();
        data.revision += 1;
        data.compacted = data.revision;
        data.history.clear();
        drop(data);
        self.changed.notify_waiters();
    }

    /// Holds back all pages of a listing beyond the first one, or no longer does.
    pub fn hold_pages(&self, holds: bool) {
        self.holds_pages.store(holds, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Waits while pages are held back.
    async fn wait_for_pages(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.holds_pages.load(Ordering::Relaxed) {
                return;
            }
            changed.await;
        }
    }

    /// Writes a value as the operator or a replica does, without counting a request.
    pub fn write(&self, key: &str, value: &str) {
        let mut data = self.lock();
        data.revision += 1;
        data.write(key, value.as_bytes().into(), 0);
        drop(data);
        self.changed.notify_waiters();
    }

    /// Writes an item that pages and watches return as this JSON text; `{revision}` in it stands for
    /// the revision of the write.
    ///
    /// # Panics
    ///
    /// Panics if the text is not JSON.
    pub fn write_raw(&self, key: &str, text: &str) {
        let mut data = self.lock();
        data.revision += 1;
        let text = text.replace("{revision}", &data.revision.to_string());
        let raw = RawValue::from_string(text).expect("the item is JSON");
        let value = StoredValue {
            value: Box::default(),
            raw: Some(raw),
            revision: data.revision,
            created: data.revision,
            lease: 0,
        };
        data.values.insert(key.into(), value.clone());
        data.record(key, Some(value));
        drop(data);
        self.changed.notify_waiters();
    }

    /// Removes a value as the operator or a replica does, without counting a request.
    pub fn remove(&self, key: &str) {
        let mut data = self.lock();
        data.revision += 1;
        data.remove(key);
        drop(data);
        self.changed.notify_waiters();
    }

    /// Returns a value without counting a request.
    pub fn read(&self, key: &str) -> Option<Box<str>> {
        self.drop_expired();
        let data = self.lock();
        let value = data.values.get(key)?;
        Some(String::from_utf8_lossy(&value.value).into())
    }

    /// Takes a snapshot, from which the store can be restored later.
    pub fn snapshot(&self) -> StoreSnapshot {
        self.drop_expired();
        StoreSnapshot(self.lock().clone())
    }

    /// Restores a snapshot.
    ///
    /// Later writes and leases are lost, and the revision goes back. The leases in the snapshot are
    /// renewed.
    pub fn restore_snapshot(&self, copy: &StoreSnapshot) {
        let mut data = self.lock();
        let era = data.era + 1;
        *data = copy.0.clone();
        data.era = era;
        let now = Instant::now();
        for (renewed, _) in data.leases.values_mut() {
            *renewed = now;
        }
        drop(data);
        self.changed.notify_waiters();
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<Box<str>> {
        let data = self.lock();
        let keys = data.values.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the number of restores from a snapshot.
    pub fn era(&self) -> u64 {
        self.lock().era
    }

    /// Returns a copy of all values, to be restored later.
    pub fn copy_values(&self) -> BTreeMap<Box<str>, Box<[u8]>> {
        self.lock()
            .values
            .iter()
            .map(|(key, value)| (key.clone(), value.value.clone()))
            .collect()
    }

    /// Replaces all values with a copy, as restoring a backup does.
    pub fn restore_values(&self, copy: BTreeMap<Box<str>, Box<[u8]>>) {
        let mut data = self.lock();
        data.values.clear();
        for (key, value) in copy {
            data.revision += 1;
            data.write(&key, value, 0);
        }
        drop(data);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, StoreData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn drop_expired(&self) {
        let mut data = self.lock();
        let now = Instant::now();
        data.leases
            .retain(|_, (renewed, ttl)| now.duration_since(*renewed) < *ttl);
        let expired: Vec<Box<str>> = data
            .values
            .iter()
            .filter(|(_, value)| value.lease != 0 && !data.leases.contains_key(&value.lease))
            .map(|(key, _)| key.clone())
            .collect();
        if expired.is_empty() {
            return;
        }
        data.revision += 1;
        for key in expired {
            data.remove(&key);
        }
        drop(data);
        self.changed.notify_waiters();
    }

    /// Returns the changes of keys with a prefix after a revision; `None` if the history does not reach
    /// back to it.
    fn events(&self, prefix: &str, after: u64) -> Option<EventsBody> {
        let data = self.lock();
        if after < data.compacted || after > data.revision {
            return None;
        }
        let events = data
            .history
            .iter()
            .filter(|change| change.revision > after && change.key.starts_with(prefix))
            .map(|change| match &change.value {
                Some(value) => event_body(&change.key, value),
                None => EventBody::Removed(RemovedBody {
                    key: change.key.clone(),
                    revision: change.revision,
                    deleted: true,
                }),
            })
            .collect();
        Some(EventsBody {
            events,
            store_revision: data.revision,
        })
    }
}

enum TransactionError {
    Status(StatusCode),
    Conflict(Vec<ItemBody>),
}

impl FakeStore {
    fn execute(&self, request: TransactionRequest) -> Result<u64, TransactionError> {
        let entries = request.expected_rev.len() + request.set_keys.len() + request.remove.len();
        if entries > MAX_TRANSACTION_ENTRIES {
            return Err(TransactionError::Status(StatusCode::BAD_REQUEST));
        }
        let mut sets = Vec::new();
        for set in request.set_keys {
            let Ok(value) = STANDARD.decode(set.value.as_bytes()) else {
                return Err(TransactionError::Status(StatusCode::BAD_REQUEST));
            };
            if value.len() > MAX_VALUE_BYTES {
                return Err(TransactionError::Status(StatusCode::PAYLOAD_TOO_LARGE));
            }
            sets.push((set.key, value, set.lease));
        }
        let mut data = self.lock();
        let differs = request
            .expected_rev
            .iter()
            .any(|expected| data.revision_of(&expected.key) != expected.revision);
        if differs {
            let current = request.expected_rev.iter().filter_map(|expected| {
                let value = data.values.get(&expected.key)?;
                Some(item_body(&expected.key, value))
            });
            return Err(TransactionError::Conflict(current.collect()));
        }
        let lease_missing = sets
            .iter()
            .any(|(_, _, lease)| *lease != 0 && !data.leases.contains_key(lease));
        if lease_missing {
            return Err(TransactionError::Status(StatusCode::NOT_FOUND));
        }
        data.revision += 1;
        for (key, value, lease) in sets {
            data.write(&key, value.into(), lease);
        }
        for key in request.remove {
            data.remove(&key);
        }
        let revision = data.revision;
        drop(data);
        self.changed.notify_waiters();
        Ok(revision)
    }
}
