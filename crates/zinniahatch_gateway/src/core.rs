//! State shared by all handlers of one node.

use crate::CounterSet;
use crate::PeerAuth;
use crate::budget::SendBudget;
use crate::idempotency::KeyTables;
use crate::placement::WaiterTable;
use crate::response_cache::ResponseCache;
use reqwest::Client;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::sync::Notify;
use zinniahatch_base::prelude::*;
use zinniahatch_change::ConfigUpdater;
use zinniahatch_config::NodeSettings;
use zinniahatch_control::ControlNode;
use zinniahatch_control::NodeIdentity;
use zinniahatch_platform::HttpEngine;
use zinniahatch_platform::KvClient;
use zinniahatch_report::CountBuffer;

/// Connect timeout for backend servers and other nodes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle connections are closed before a middlebox would drop their state.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Components needed to build a [`GatewayCore`].
pub struct GatewayParts {
    /// The node's settings.
    pub settings: NodeSettings,
    /// Membership, slot leases and placement state.
    pub control: ControlNode,
    /// Client of the platform's key-value store.
    pub store: KvClient,
    /// Secret random bytes of this process, used to mint idempotency keys.
    pub key_secret: [u8; 32],
}

/// State of one node's request path.
pub struct GatewayCore {
    /// The node's settings.
    pub settings: NodeSettings,
    /// Node name, data centre, region and addresses.
    pub identity: NodeIdentity,
    /// Wakes the task that runs the control ticks.
    pub wake: Notify,
    /// Counters and gauges.
    pub counters: CounterSet,
    /// Applies configuration changes to the store.
    pub config_updater: ConfigUpdater<KvClient>,
    /// Client for engine orders and cancellations, outside the request path.
    pub engine: HttpEngine,
    pub(crate) peer_auth: PeerAuth,
    pub(crate) client: Client,
    pub(crate) unpooled_client: Client,
    pub(crate) waiters: WaiterTable,
    control: Mutex<ControlNode>,
    counts: Mutex<CountBuffer>,
    keys: Mutex<KeyTables>,
    response_cache: Mutex<ResponseCache>,
    retry_budget: Mutex<SendBudget>,
    hedge_budget: Mutex<SendBudget>,
    in_flight_by_account: Mutex<BTreeMap<AccountId, u32>>,
    next_number: AtomicU64,
    in_flight: AtomicU64,
    draining: AtomicBool,
    adopted_ms: AtomicU64,
}

impl GatewayCore {
    /// Builds the shared state of a node.
    pub fn new(parts: GatewayParts, now: Instant) -> Arc<Self> {
        let identity = parts.control.identity().clone();
        let settings = parts.settings;
        Arc::new(Self {
            wake: Notify::new(),
            counters: CounterSet::new(&identity.node, &identity.data_centre),
            config_updater: ConfigUpdater::new(parts.store),
            engine: HttpEngine::new(),
            peer_auth: PeerAuth::new(&settings.secret),
            client: build_client(usize::MAX),
            // A request that must not run twice gets a new connection: a pooled connection may be
            // dead without having been closed, and the request could not safely be sent again.
            unpooled_client: build_client(0),
            waiters: WaiterTable::default(),
            control: Mutex::new(parts.control),
            counts: Mutex::new(CountBuffer::default()),
            keys: Mutex::new(KeyTables::new(
                &identity,
                parts.key_secret,
                now,
                settings.answer_memory,
            )),
            response_cache: Mutex::new(ResponseCache::new(settings.answer_memory)),
            retry_budget: Mutex::default(),
            hedge_budget: Mutex::default(),
            in_flight_by_account: Mutex::default(),
            next_number: AtomicU64::new(1),
            in_flight: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            adopted_ms: AtomicU64::new(0),
            identity,
            settings,
        })
    }

    /// Locks the control state; the guard must not be held across an await.
    pub fn control(&self) -> MutexGuard<'_, ControlNode> {
        lock(&self.control)
    }

    /// Locks the usage counts.
    pub fn counts(&self) -> MutexGuard<'_, CountBuffer> {
        lock(&self.counts)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the address at which this node reaches another one, after address translation.
    pub fn translate_address<'a>(&'a self, address: &'a str) -> &'a str {
        self.settings
            .translate
            .get(address)
            .map_or(address, |to| &**to)
    }

    /// Refuses new requests from now on; requests in flight continue.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Records when the current revision took effect here, in milliseconds since the epoch.
    pub fn set_adopted_ms(&self, millis: u64) {
        self.adopted_ms.store(millis, Ordering::Relaxed);
    }

    /// Returns when the current revision took effect here, in milliseconds since the epoch.
    pub fn adopted_ms(&self) -> u64 {
        self.adopted_ms.load(Ordering::Relaxed)
    }

    /// Locks the idempotency key tables.
    pub fn keys(&self) -> MutexGuard<'_, KeyTables> {
        lock(&self.keys)
    }

    pub(crate) fn response_cache(&self) -> MutexGuard<'_, ResponseCache> {
        lock(&self.response_cache)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, SendBudget> {
        lock(&self.retry_budget)
    }

    pub(crate) fn hedge_budget(&self) -> MutexGuard<'_, SendBudget> {
        lock(&self.hedge_budget)
    }

    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a unique id for a new request.
    pub(crate) fn request_id(&self) -> RequestId {
        format!(
            "{}-{:x}-{}",
            self.identity.node,
            self.identity.incarnation,
            self.next_number()
        )
        .into()
    }

    /// Counts a request of an account as in flight, or returns `None` if the account is at its
    /// limit.
    pub(crate) fn try_begin(
        self: &Arc<Self>,
        account: &AccountId,
        limit: u32,
    ) -> Option<InFlightGuard> {
        let mut by_account = lock(&self.in_flight_by_account);
        let count = by_account.entry(account.clone()).or_default();
        if limit > 0 && *count >= limit {
            return None;
        }
        *count += 1;
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Some(InFlightGuard {
            core: Arc::clone(self),
            account: account.clone(),
        })
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard {
    core: Arc<GatewayCore>,
    account: AccountId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut by_account = lock(&self.core.in_flight_by_account);
        if let Some(count) = by_account.get_mut(&self.account) {
            *count -= 1;
            if *count == 0 {
                by_account.remove(&self.account);
            }
        }
        self.core.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns the seconds since the Unix epoch.
pub(crate) fn epoch_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_secs())
}

/// Locks a mutex and ignores poisoning, because a panic elsewhere leaves counters and tables
/// usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn build_client(idle: usize) -> Client {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .tcp_nodelay(true)
        .no_proxy()
        .build()
        .unwrap_or_default()
}
