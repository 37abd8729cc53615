//! The key-value service: compare-and-swap, leases, watches.

use crate::stand::faults::CallFate;
use crate::stand::faults::FaultSwitch;
use crate::stand::serve::StandServer;
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

#[derive(Clone, Debug)]
struct StandValue {
    value: Box<str>,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug, Default)]
struct StandData {
    revision: u64,
    values: BTreeMap<Box<str>, StandValue>,
    leases: BTreeMap<u64, (Instant, Duration)>,
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
struct ValueBody<'a> {
    value: &'a str,
    revision: u64,
}

#[derive(Serialize)]
struct RevisionBody {
    revision: u64,
}

#[derive(Deserialize)]
struct LeaseAsk {
    ttl_ms: u64,
}

#[derive(Serialize)]
struct LeaseBody {
    id: Box<str>,
    fence: u64,
}

impl StandStore {
    /// Opens a front: an address with its own faults, such as one region's way to the store.
    pub async fn front(&self, switch: FaultSwitch) -> StandServer {
        let share = || FrontHandler {
            store: self.clone(),
            switch: switch.clone(),
        };
        let router = Router::new()
            .push(
                Router::with_path("kv/{**key}")
                    .get(GetHandler(share()))
                    .put(PutHandler(share()))
                    .delete(DeleteHandler(share())),
            )
            .push(Router::with_path("keys").get(KeysHandler(share())))
            .push(Router::with_path("lease").post(LeaseHandler(share())))
            .push(Router::with_path("lease/{id}/renew").post(RenewHandler(share())));
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
            let revision = data.revision;
            data.values.insert(
                key,
                StandValue {
                    value,
                    revision,
                    lease: None,
                },
            );
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
        let StandData { values, leases, .. } = &mut *data;
        values.retain(|_, value| value.lease.is_none_or(|lease| leases.contains_key(&lease)));
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

struct GetHandler(FrontHandler);

#[handler]
impl GetHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(fate) = self.0.begin(false, response).await else {
            return;
        };
        let key = request.param::<String>("key").unwrap_or_default();
        let after = request.query::<u64>("after");
        let wait = Duration::from_millis(request.query::<u64>("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let changed = self.0.store.changed.notified();
            let found = self.0.store.lock().values.get(key.as_str()).cloned();
            let fresh = found
                .as_ref()
                .is_some_and(|value| after.is_none_or(|after| value.revision > after));
            if let Some(value) = found.filter(|_| fresh) {
                return end(
                    fate,
                    response,
                    ValueBody {
                        value: &value.value,
                        revision: value.revision,
                    },
                );
            }
            if after.is_none() {
                response.status_code(StatusCode::NOT_FOUND);
                return;
            }
            let left = until.saturating_duration_since(Instant::now());
            if timeout(left, changed).await.is_err() {
                response.status_code(StatusCode::NO_CONTENT);
                return;
            }
        }
    }
}

struct PutHandler(FrontHandler);

#[handler]
impl PutHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let key = request.param::<String>("key").unwrap_or_default();
        let expect = request.query::<u64>("expect");
        let lease = request.query::<u64>("lease");
        let Ok(body) = request.payload_with_max_size(VALUE_LIMIT).await.cloned() else {
            response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let Some(fate) = self.0.begin(true, response).await else {
            return;
        };
        let mut data = self.0.store.lock();
        let current = data
            .values
            .get(key.as_str())
            .map_or(0, |value| value.revision);
        let lease_gone = lease.is_some_and(|lease| !data.leases.contains_key(&lease));
        if lease_gone || expect.is_some_and(|expect| expect != current) {
            response.status_code(StatusCode::CONFLICT);
            return;
        }
        data.revision += 1;
        let revision = data.revision;
        let value = String::from_utf8_lossy(&body).into_owned().into();
        data.values.insert(
            key.into(),
            StandValue {
                value,
                revision,
                lease,
            },
        );
        drop(data);
        self.0.store.changed.notify_waiters();
        end(fate, response, RevisionBody { revision });
    }
}

struct DeleteHandler(FrontHandler);

#[handler]
impl DeleteHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(fate) = self.0.begin(true, response).await else {
            return;
        };
        let key = request.param::<String>("key").unwrap_or_default();
        let mut data = self.0.store.lock();
        data.values.remove(key.as_str());
        data.revision += 1;
        let revision = data.revision;
        drop(data);
        self.0.store.changed.notify_waiters();
        end(fate, response, RevisionBody { revision });
    }
}

struct KeysHandler(FrontHandler);

#[handler]
impl KeysHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(fate) = self.0.begin(false, response).await else {
            return;
        };
        let prefix = request.query::<String>("prefix").unwrap_or_default();
        let keys: Vec<Box<str>> = self
            .0
            .store
            .lock()
            .values
            .keys()
            .filter(|key| key.starts_with(&prefix))
            .cloned()
            .collect();
        end(fate, response, keys);
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
        let fence = data.revision;
        data.leases
            .insert(fence, (Instant::now(), Duration::from_millis(ask.ttl_ms)));
        drop(data);
        end(
            fate,
            response,
            LeaseBody {
                id: fence.to_string().into(),
                fence,
            },
        );
    }
}

struct RenewHandler(FrontHandler);

#[handler]
impl RenewHandler {
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
        drop(data);
        end(fate, response, RevisionBody { revision: id });
    }
}
