//! The platform's key-value service: items, ranges, watches, transactions, leases.
//!
//! It speaks the platform's published protocol, so that tests drive the real programs through the
//! real adapter.

use crate::stand::faults::CallFate;
use crate::stand::faults::FaultSwitch;
use crate::stand::serve::StandServer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::sync::Notify;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;

/// Largest value.
const VALUE_LIMIT: usize = 1 << 20;
/// Largest body: a value as text, and what stands around it.
const BODY_LIMIT: usize = 2 * VALUE_LIMIT;
/// Items of one page; few, so that tests meet more than one.
const PAGE_ITEMS: usize = 50;
/// Entries of one transaction at most.
const COMMIT_ENTRIES: usize = 32;

#[derive(Clone, Debug)]
struct StandValue {
    value: Box<str>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct StandChange {
    key: Box<str>,
    revision: u64,
    /// None where the key was removed.
    value: Option<StandValue>,
}

#[derive(Debug, Default)]
struct StandData {
    revision: u64,
    values: BTreeMap<Box<str>, StandValue>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: Vec<StandChange>,
    /// Revision up to which the history is dropped.
    forgotten: u64,
}

impl StandData {
    fn write(&mut self, key: &str, value: Box<str>, lease: u64) {
        let created = self
            .values
            .get(key)
            .map_or(self.revision, |old| old.created);
        let value = StandValue {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.values.insert(key.into(), value.clone());
        self.note(key, Some(value));
    }

    fn remove(&mut self, key: &str) {
        if self.values.remove(key).is_some() {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, value: Option<StandValue>) {
        self.history.push(StandChange {
            key: key.into(),
            revision: self.revision,
            value,
        });
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |value| value.revision)
    }
}

/// The store's state, shared by its fronts.
#[derive(Clone, Default)]
pub struct StandStore {
    data: Arc<Mutex<StandData>>,
    changed: Arc<Notify>,
    calls: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

#[derive(Serialize)]
struct ItemBody {
    key: Box<str>,
    value: String,
    revision: u64,
    create_rev: u64,
    lease: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    store_revision: Option<u64>,
}

#[derive(Serialize)]
struct RemovedBody {
    key: Box<str>,
    revision: u64,
    deleted: bool,
}

#[derive(Serialize)]
#[serde(untagged)]
enum EventBody {
    Written(ItemBody),
    Removed(RemovedBody),
}

#[derive(Serialize)]
struct EventsBody {
    events: Vec<EventBody>,
    store_revision: u64,
}

#[derive(Serialize)]
struct PageBody {
    items: Vec<ItemBody>,
    truncated: bool,
    store_revision: u64,
}

#[derive(Serialize)]
struct RevisionBody {
    revision: u64,
}

#[derive(Serialize)]
struct ItemsBody {
    items: Vec<ItemBody>,
}

#[derive(Deserialize)]
struct CommitAsk {
    #[serde(default)]
    expected_rev: Vec<ExpectedAsk>,
    #[serde(default)]
    set_keys: Vec<SetAsk>,
    #[serde(default)]
    remove: Vec<Box<str>>,
}

#[derive(Deserialize)]
struct ExpectedAsk {
    key: Box<str>,
    revision: u64,
}

#[derive(Deserialize)]
struct SetAsk {
    key: Box<str>,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[derive(Deserialize)]
struct LeaseAsk {
    ttl_ms: u64,
}

#[derive(Serialize)]
struct LeaseBody {
    lease: u64,
    ttl_ms: u64,
}

#[derive(Serialize)]
struct KeptBody {
    ttl_ms: u64,
}

fn item_body(key: &str, value: &StandValue) -> ItemBody {
    ItemBody {
        key: key.into(),
        value: STANDARD.encode(value.value.as_bytes()),
        revision: value.revision,
        create_rev: value.created,
        lease: value.lease,
        store_revision: None,
    }
}

impl StandStore {
    /// Opens a front: an address with its own faults, such as one region's way to the store.
    pub async fn front(&self, switch: FaultSwitch) -> StandServer {
        let share = || FrontHandler {
            store: self.clone(),
            switch: switch.clone(),
        };
        let router = Router::new()
            .push(Router::with_path("kv-key").get(KeyHandler(share())))
            .push(Router::with_path("kv-range").get(RangeHandler(share())))
            .push(Router::with_path("kv-watch").get(WatchHandler(share())))
            .push(Router::with_path("kv-txn").post(CommitHandler(share())))
            .push(Router::with_path("kv-lease").post(LeaseHandler(share())))
            .push(Router::with_path("kv-keep/{id}").post(KeepHandler(share())))
            .push(Router::with_path("kv-lease-end/{id}").delete(EndHandler(share())));
        StandServer::start(router).await
    }

    /// Gives the calls so far, and how many of them were writes.
    pub fn calls(&self) -> (u64, u64) {
        (
            self.calls.load(Ordering::Relaxed),
            self.writes.load(Ordering::Relaxed),
        )
    }

    /// Lets every lease lapse now.
    pub fn lapse_leases(&self) {
        self.lock().leases.clear();
        self.drop_lapsed();
    }

    /// Drops the history: watches from before it get 410.
    pub fn forget_history(&self) {
        let mut data = self.lock();
        data.revision += 1;
        data.forgotten = data.revision;
        data.history.clear();
        drop(data);
        self.changed.notify_waiters();
    }

    /// Writes a value as the operator or a replica does, without a call that counts.
    pub fn write(&self, key: &str, value: &str) {
        let mut data = self.lock();
        data.revision += 1;
        data.write(key, value.into(), 0);
        drop(data);
        self.changed.notify_waiters();
    }

    /// Removes a value as the operator or a replica does.
    pub fn remove(&self, key: &str) {
        let mut data = self.lock();
        data.revision += 1;
        data.remove(key);
        drop(data);
        self.changed.notify_waiters();
    }

    /// Gives a value, for tests.
    pub fn read(&self, key: &str) -> Option<Box<str>> {
        self.drop_lapsed();
        self.lock().values.get(key).map(|value| value.value.clone())
    }

    /// Gives a copy of the values, to be restored later.
    pub fn copy_values(&self) -> BTreeMap<Box<str>, Box<str>> {
        self.lock()
            .values
            .iter()
            .map(|(key, value)| (key.clone(), value.value.clone()))
            .collect()
    }

    /// Puts a copy back, as a restored backup does.
    pub fn restore_values(&self, copy: BTreeMap<Box<str>, Box<str>>) {
        let mut data = self.lock();
        data.values.clear();
        for (key, value) in copy {
            data.revision += 1;
            data.write(&key, value, 0);
        }
        drop(data);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, StandData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn drop_lapsed(&self) {
        let mut data = self.lock();
        let now = Instant::now();
        data.leases
            .retain(|_, (renewed, ttl)| now.duration_since(*renewed) < *ttl);
        let lapsed: Vec<Box<str>> = data
            .values
            .iter()
            .filter(|(_, value)| value.lease != 0 && !data.leases.contains_key(&value.lease))
            .map(|(key, _)| key.clone())
            .collect();
        if lapsed.is_empty() {
            return;
        }
        data.revision += 1;
        for key in lapsed {
            data.remove(&key);
        }
        drop(data);
        self.changed.notify_waiters();
    }

    /// Gives the changes below a prefix after a revision; none where they were dropped.
    fn events(&self, prefix: &str, after: u64) -> Option<EventsBody> {
        let data = self.lock();
        if after < data.forgotten {
            return None;
        }
        let events = data
            .history
            .iter()
            .filter(|change| change.revision > after && change.key.starts_with(prefix))
            .map(|change| match &change.value {
                Some(value) => EventBody::Written(item_body(&change.key, value)),
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

#[derive(Clone)]
struct FrontHandler {
    store: StandStore,
    switch: FaultSwitch,
}

impl FrontHandler {
    /// Counts the call and decides its fate; `None` where it was refused.
    async fn begin(&self, write: bool, response: &mut Response) -> Option<CallFate> {
        self.store.calls.fetch_add(1, Ordering::Relaxed);
        self.store
            .writes
            .fetch_add(u64::from(write), Ordering::Relaxed);
        let fate = self.switch.fate(write).await;
        if fate == CallFate::Refuse {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return None;
        }
        self.store.drop_lapsed();
        Some(fate)
    }
}

/// Ends a call: with its answer, or with a broken connection after it took effect.
fn end(fate: CallFate, response: &mut Response, body: impl Serialize + Send) {
    match fate {
        CallFate::Answer => response.render(Json(body)),
        CallFate::LoseAnswer | CallFate::Refuse => {
            let broken = futures_util::stream::once(async {
                Err::<bytes::Bytes, _>(std::io::Error::other("lost"))
            });
            response.stream(Box::pin(broken));
        }
    }
}

struct KeyHandler(FrontHandler);

#[handler]
impl KeyHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(fate) = self.0.begin(false, response).await else {
            return;
        };
        let key = request.query::<String>("key").unwrap_or_default();
        let data = self.0.store.lock();
        let revision = data.revision;
        let Some(value) = data.values.get(key.as_str()).cloned() else {
            response.status_code(StatusCode::NOT_FOUND);
            return;
        };
        drop(data);
        let mut body = item_body(&key, &value);
        body.store_revision = Some(revision);
        end(fate, response, body);
    }
}

struct RangeHandler(FrontHandler);

#[handler]
impl RangeHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(fate) = self.0.begin(false, response).await else {
            return;
        };
        let prefix = request.query::<String>("path_prefix").unwrap_or_default();
        let after = request.query::<String>("after").unwrap_or_default();
        let data = self.0.store.lock();
        let mut found = data
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && ***key > *after)
            .map(|(key, value)| item_body(key, value));
        let items: Vec<ItemBody> = found.by_ref().take(PAGE_ITEMS).collect();
        let truncated = found.next().is_some();
        let store_revision = data.revision;
        drop(data);
        end(
            fate,
            response,
            PageBody {
                items,
                truncated,
                store_revision,
            },
        );
    }
}

struct WatchHandler(FrontHandler);

#[handler]
impl WatchHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(fate) = self.0.begin(false, response).await else {
            return;
        };
        let prefix = request.query::<String>("path_prefix").unwrap_or_default();
        let after = request.query::<u64>("after").unwrap_or(0);
        let wait = Duration::from_millis(request.query::<u64>("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let changed = self.0.store.changed.notified();
            let Some(body) = self.0.store.events(&prefix, after) else {
                response.status_code(StatusCode::GONE);
                return;
            };
            let left = until.saturating_duration_since(Instant::now());
            if !body.events.is_empty() || timeout(left, changed).await.is_err() {
                return end(fate, response, body);
            }
        }
    }
}

struct CommitHandler(FrontHandler);

#[handler]
impl CommitHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(BODY_LIMIT).await.cloned();
        let Ok(body) = body else {
            response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let Ok(ask) = serde_json::from_slice::<CommitAsk>(&body) else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let Some(fate) = self.0.begin(true, response).await else {
            return;
        };
        match self.0.store.commit(ask) {
            Ok(revision) => end(fate, response, RevisionBody { revision }),
            Err(CommitRefusal::Status(status)) => {
                response.status_code(status);
            }
            Err(CommitRefusal::Conflict(items)) => {
                response.status_code(StatusCode::PRECONDITION_FAILED);
                response.render(Json(ItemsBody { items }));
            }
        }
    }
}

enum CommitRefusal {
    Status(StatusCode),
    Conflict(Vec<ItemBody>),
}

impl StandStore {
    fn commit(&self, ask: CommitAsk) -> Result<u64, CommitRefusal> {
        let entries = ask.expected_rev.len() + ask.set_keys.len() + ask.remove.len();
        if entries > COMMIT_ENTRIES {
            return Err(CommitRefusal::Status(StatusCode::BAD_REQUEST));
        }
        let mut sets = Vec::new();
        for set in ask.set_keys {
            let decoded = STANDARD.decode(set.value.as_bytes()).ok();
            let text = decoded.and_then(|bytes| String::from_utf8(bytes).ok());
            let Some(text) = text else {
                return Err(CommitRefusal::Status(StatusCode::BAD_REQUEST));
            };
            if text.len() > VALUE_LIMIT {
                return Err(CommitRefusal::Status(StatusCode::PAYLOAD_TOO_LARGE));
            }
            sets.push((set.key, text, set.lease));
        }
        let mut data = self.lock();
        let differs = ask
            .expected_rev
            .iter()
            .any(|expected| data.revision_of(&expected.key) != expected.revision);
        if differs {
            let current = ask.expected_rev.iter().filter_map(|expected| {
                let value = data.values.get(&expected.key)?;
                Some(item_body(&expected.key, value))
            });
            return Err(CommitRefusal::Conflict(current.collect()));
        }
        let gone = sets
            .iter()
            .any(|(_, _, lease)| *lease != 0 && !data.leases.contains_key(lease));
        if gone {
            return Err(CommitRefusal::Status(StatusCode::NOT_FOUND));
        }
        data.revision += 1;
        for (key, text, lease) in sets {
            data.write(&key, text.into(), lease);
        }
        for key in ask.remove {
            data.remove(&key);
        }
        let revision = data.revision;
        drop(data);
        self.changed.notify_waiters();
        Ok(revision)
    }
}

struct LeaseHandler(FrontHandler);

#[handler]
impl LeaseHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Ok(ask) = request.parse_json::<LeaseAsk>().await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let Some(fate) = self.0.begin(true, response).await else {
            return;
        };
        let mut data = self.0.store.lock();
        data.revision += 1;
        let lease = data.revision;
        data.leases
            .insert(lease, (Instant::now(), Duration::from_millis(ask.ttl_ms)));
        drop(data);
        let ttl_ms = ask.ttl_ms;
        end(fate, response, LeaseBody { lease, ttl_ms });
    }
}

struct KeepHandler(FrontHandler);

#[handler]
impl KeepHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(fate) = self.0.begin(true, response).await else {
            return;
        };
        let id = request.param::<u64>("id").unwrap_or(0);
        let mut data = self.0.store.lock();
        let Some(lease) = data.leases.get_mut(&id) else {
            response.status_code(StatusCode::NOT_FOUND);
            return;
        };
        lease.0 = Instant::now();
        let ttl_ms = lease.1.as_millis() as u64;
        drop(data);
        end(fate, response, KeptBody { ttl_ms });
    }
}

struct EndHandler(FrontHandler);

#[handler]
impl EndHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(fate) = self.0.begin(true, response).await else {
            return;
        };
        let id = request.param::<u64>("id").unwrap_or(0);
        if self.0.store.lock().leases.remove(&id).is_none() {
            response.status_code(StatusCode::NOT_FOUND);
            return;
        }
        self.0.store.drop_lapsed();
        let revision = self.0.store.lock().revision;
        end(fate, response, RevisionBody { revision });
    }
}
