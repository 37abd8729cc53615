//! What the tasks of one process share.

use crate::counts::count_desk::CountDesk;
use crate::decision_log::DecisionLog;
use crate::metrics::EntryMetrics;
use crate::nodes::replica_news::ReplicaNews;
use crate::replicas::end_checks::EndChecks;
use crate::request::pool::ChannelPool;
use crate::store::watch_topic::WatchTopic;
use crate::who::allowances::limits_of;
use crate::who::boot_clock::BootClock;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::watch;
use zinniahatch_base::prelude::*;
use zinniahatch_config::EntrySettings;
use zinniahatch_platform::KvClient;
use zinniahatch_route::AccountTable;
use zinniahatch_route::ColdGate;
use zinniahatch_route::ContactBook;
use zinniahatch_route::DesiredService;
use zinniahatch_route::DesiredState;
use zinniahatch_route::MemberStage;
use zinniahatch_route::MemberTable;
use zinniahatch_route::ProofBook;
use zinniahatch_route::QuotaBook;
use zinniahatch_route::ReaderCover;
use zinniahatch_route::RegionWays;
use zinniahatch_route::RepeatBudget;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::ReturnLine;
use zinniahatch_route::RouteTable;
use zinniahatch_route::ServingPreset;
use zinniahatch_route::SuspectTable;

/// How far a process is with stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// It serves.
    Serving,
    /// It says that it is not ready, and serves whoever comes all the same.
    Leaving,
    /// It still takes requests that end soon, since no other node of its region is ready.
    PlainOnly,
    /// It takes no new requests and closes idle channels.
    Closing,
}

/// The shared state; one thread uses it, so cells and not locks guard it.
#[derive(Debug)]
pub(crate) struct EntryCore {
    pub(crate) settings: EntrySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
    pub(crate) desired: RefCell<Option<Rc<DesiredState>>>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    /// The client accounts and their keys.
    pub(crate) identities: RefCell<Rc<AccountTable>>,
    /// Until when those keys may be trusted.
    pub(crate) proofs: RefCell<ProofBook>,
    pub(crate) clock: BootClock,
    /// The store's revision up to which this node has seen what the operators wrote.
    pub(crate) operator_revision: Cell<Option<StoreRevision>>,
    /// What the accounts may still use.
    pub(crate) quotas: RefCell<QuotaBook>,
    pub(crate) preset: RefCell<ServingPreset>,
    pub(crate) replicas: RefCell<ReplicaTable>,
    pub(crate) members: RefCell<MemberTable>,
    /// Whether requests to other regions arrive there.
    pub(crate) ways: RefCell<RegionWays>,
    pub(crate) gate: RefCell<ColdGate>,
    /// The callers of each service that were told when its replicas take work again.
    pub(crate) return_lines: RefCell<BTreeMap<ServiceId, ReturnLine>>,
    /// Requests under which replicas ended.
    pub(crate) suspects: RefCell<SuspectTable>,
    /// Told when one of them began or ceased to be held.
    pub(crate) quarantined: watch::Sender<()>,
    /// Those whose key in the store is to be removed.
    pub(crate) released: RefCell<Vec<ContentDigest>>,
    pub(crate) end_checks: EndChecks,
    pub(crate) budgets: RefCell<BTreeMap<ServiceId, RepeatBudget>>,
    /// Where other nodes may listen, from the store and from other nodes.
    pub(crate) contacts: RefCell<ContactBook>,
    pub(crate) counts: CountDesk,
    /// News of replicas that the other nodes of the region have not been told.
    pub(crate) replica_news: RefCell<ReplicaNews>,
    /// How what this node knows of each topic compares with what the readers of its region say.
    pub(crate) covers: RefCell<BTreeMap<WatchTopic, ReaderCover>>,
    /// Whether this node leaves the reading of the desired state to others.
    pub(crate) rests: Cell<bool>,
    pub(crate) pool: ChannelPool,
    pub(crate) store: KvClient,
    /// Told when the store failed a call while the watch was waiting.
    pub(crate) store_lost: Notify,
    /// Whether the store answered the last call of the watch that looks for its return.
    pub(crate) store_serves: watch::Sender<bool>,
    pub(crate) log: DecisionLog,
    pub(crate) metrics: EntryMetrics,
    pub(crate) phase: watch::Sender<StopPhase>,
    /// Whether the replicas have been listed, from the store or a peer.
    listed: Cell<bool>,
    /// Whether this node has looked in the store who else there is.
    looked: Cell<bool>,
    /// Told when the open work of this node changed, or there is news of replicas for its region.
    pub(crate) work_changed: Notify,
    /// Told when this node learned the desired state, the replicas, or of another node.
    pub(crate) learned: Notify,
    /// Requests in progress.
    pub(crate) open_calls: Cell<usize>,
    tickets: Cell<u64>,
}

impl EntryCore {
    /// Makes the state of a fresh process.
    pub(crate) fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        metrics: EntryMetrics,
        clock: BootClock,
    ) -> Self {
        let quotas = QuotaBook::new(
            origin_tag(&settings.name, incarnation),
            tag_of(&settings.region),
            settings.regions.values().map(|region| tag_of(region)),
            Instant::now(),
        );
        let log = DecisionLog::new(settings.name.clone(), settings.log_budget);
        let store = KvClient::new(&settings.store.to_string());
        let mut contacts = ContactBook::new(settings.listen.peer, &settings.region);
        for seed in &settings.seeds {
            let port = settings.listen.peer.port();
            contacts.note(SocketAddrV4::new(*seed.ip(), port), None);
        }
        Self {
            incarnation,
            started: Instant::now(),
            desired: RefCell::default(),
            routes: RefCell::default(),
            identities: RefCell::default(),
            proofs: RefCell::default(),
            clock,
            operator_revision: Cell::default(),
            quotas: RefCell::new(quotas),
            preset: RefCell::default(),
            replicas: RefCell::default(),
            members: RefCell::default(),
            ways: RefCell::default(),
            gate: RefCell::default(),
            return_lines: RefCell::default(),
            suspects: RefCell::default(),
            quarantined: watch::Sender::new(()),
            released: RefCell::default(),
            end_checks: EndChecks::default(),
            budgets: RefCell::default(),
            contacts: RefCell::new(contacts),
            counts: CountDesk::default(),
            replica_news: RefCell::default(),
            covers: RefCell::default(),
            rests: Cell::new(false),
            pool: ChannelPool::default(),
            store,
            store_lost: Notify::new(),
            store_serves: watch::Sender::new(true),
            log,
            metrics,
            phase: watch::Sender::new(StopPhase::Serving),
            listed: Cell::new(false),
            looked: Cell::new(false),
            work_changed: Notify::new(),
            learned: Notify::new(),
            open_calls: Cell::new(0),
            tickets: Cell::new(0),
            settings,
        }
    }

    /// Gives a number that no other request of this process has.
    pub(crate) fn ticket(&self) -> u64 {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        ticket
    }

    /// Gives the tag by which news of this process's work name it.
    pub(crate) fn origin(&self) -> ShortTag {
        origin_tag(&self.settings.name, self.incarnation)
    }

    /// Gives the phase of stopping.
    pub(crate) fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Tells whether callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == MemberStage::Ready
    }

    /// Tells whether the desired state and the replicas are known.
    pub(crate) fn knows(&self) -> bool {
        self.is_listed() && self.desired.borrow().is_some()
    }

    /// Tells whether the replicas have been listed, from the store or a peer.
    pub(crate) fn is_listed(&self) -> bool {
        self.listed.get()
    }

    /// Notes that the replicas have been listed.
    pub(crate) fn note_listed(&self) {
        self.listed.set(true);
        self.learned.notify_waiters();
    }

    /// Notes that this node has looked in the store who else there is.
    pub(crate) fn note_looked(&self) {
        self.looked.set(true);
        self.learned.notify_waiters();
    }

    /// Tells how far this node is between its start and its end, as the others are told.
    pub(crate) fn stage(&self) -> MemberStage {
        match self.phase() {
            _ if !self.knows() => MemberStage::Starting,
            StopPhase::Serving => MemberStage::Ready,
            StopPhase::Leaving => MemberStage::Leaving,
            StopPhase::PlainOnly => MemberStage::PlainOnly,
            StopPhase::Closing => MemberStage::Closing,
        }
    }

    /// Gives the version of the desired state; 0 while none is known.
    pub(crate) fn version(&self) -> u64 {
        self.routes.borrow().version()
    }

    /// Puts a desired state in force unless it is older than the one in force.
    ///
    /// Stale reads, late answers and peers that are behind may show an older one; going back
    /// would serve callers by rules that were already replaced.
    pub(crate) fn adopt(&self, state: DesiredState, source: &'static str) -> bool {
        if self.desired.borrow().is_some() && state.version <= self.version() {
            return false;
        }
        let accounts = state.accounts.iter();
        let priorities: BTreeSet<u8> = accounts.filter_map(|account| account.priority).collect();
        self.log.write(
            "version",
            serde_json::json!({"from": self.version(), "to": state.version, "source": source,
                "routes": state.routes.len(), "accounts": state.accounts.len(),
                "priorities": priorities}),
        );
        let identities = AccountTable::new(&state, &self.identities.borrow());
        *self.identities.borrow_mut() = Rc::new(identities);
        let limits = limits_of(self, &state);
        self.quotas.borrow_mut().set_limits(&limits, Instant::now());
        self.proofs.borrow_mut().follow(state.version);
        *self.routes.borrow_mut() = Rc::new(RouteTable::new(&state));
        *self.desired.borrow_mut() = Some(Rc::new(state));
        self.learned.notify_waiters();
        true
    }

    /// Tells whether the keys that this node knows may be trusted now.
    pub(crate) fn trusts_keys(&self) -> bool {
        let Some(bound) = self.settings.bounds.revoke else {
            return true;
        };
        if !self.identities.borrow().is_guarded() {
            return true;
        }
        !self.may_be_behind() && self.proofs.borrow().is_fresh(bound, self.clock.now())
    }

    /// Tells whether this node has just started and has not heard yet that no other follows a newer version.
    ///
    /// Failure: the store comes back from an older copy, in which a key stands that was taken away. A node that starts
    /// just then reads it there and serves it until it hears of the others, a tenth of a second later.
    pub(crate) fn may_be_behind(&self) -> bool {
        let alone = self.looked.get() && self.contacts.borrow().is_empty();
        if self.started.elapsed() >= ACQUAINT_TIME || alone {
            return false;
        }
        let newest = self.members.borrow().newest_version(Instant::now());
        newest == 0 || newest > self.version()
    }

    /// Gives the time for which proofs count, where callers have to say who they are.
    pub(crate) fn key_bound(&self) -> Option<Duration> {
        let guarded = self.identities.borrow().is_guarded();
        self.settings.bounds.revoke.filter(|_| guarded)
    }

    /// Notes that the store failed a call of this node.
    pub(crate) fn note_store_failure(&self) {
        let mut replicas = self.replicas.borrow_mut();
        replicas.note_store_failure(Instant::now());
    }

    /// Puts a preset in force unless its switch is older than the one in force.
    pub(crate) fn adopt_preset(&self, preset: ServingPreset, source: &'static str) {
        if preset.revision <= self.preset.borrow().revision {
            return;
        }
        self.log.write(
            "preset",
            serde_json::json!({"from": self.preset.borrow().name, "to": preset.name,
                "revision": preset.revision, "source": source}),
        );
        *self.preset.borrow_mut() = preset;
    }

    /// Gives what the desired state says of a service.
    pub(crate) fn service(&self, name: &str) -> Option<DesiredService> {
        let desired = self.desired.borrow();
        desired.as_ref()?.services.get(name).cloned()
    }

    /// Runs a function on the repeat budget of a service.
    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceId,
        run: impl FnOnce(&mut RepeatBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let bounds = &self.settings.bounds;
            let members = self.members.borrow().known().count();
            let nodes = members.max(self.contacts.borrow().len()) + 1;
            RepeatBudget::new(
                bounds.repeat_window,
                bounds.repeat_ratio,
                bounds.repeat_slack,
                nodes.max(LEAST_NODES),
            )
        });
        run(budget)
    }

    /// Gives the bound of a cold replica over all nodes, in requests a second; none for a node that
    /// has just started, since it cannot know yet who else uses a part of it.
    pub(crate) fn cold_bound(&self, rate: f64) -> f64 {
        if self.started.elapsed() < ACQUAINT_TIME {
            return 0.0;
        }
        self.settings.cold_bound(rate)
    }

    /// Gives this node's part of the channels that one replica accepts.
    pub(crate) fn channel_share(&self, service: &str) -> usize {
        let most = self.service(service).map_or(0, |entry| entry.max_channels);
        if most == 0 {
            return UNBOUNDED_CHANNELS;
        }
        let peers = self.members.borrow().names_in(&self.settings.region);
        let nodes = peers.len().max(1) + 1;
        ((f64::from(most) * CHANNEL_PART / nodes as f64) as usize).max(1)
    }
}

/// Gives the tag by which news of a process name it.
fn origin_tag(node: &str, incarnation: Incarnation) -> ShortTag {
    tag_of(&format!("{node}@{incarnation}"))
}

/// Time in which a fresh node gets to know the others; cards come every half second.
pub(crate) const ACQUAINT_TIME: Duration = Duration::from_secs(2);
/// Nodes that share a budget at least, before the others are known: a process that has just
/// started must not take the whole slack for itself.
const LEAST_NODES: usize = 10;
/// Part of a replica's channels that nodes use; a restarted node's old ones linger for a while.
const CHANNEL_PART: f64 = 0.85;
/// Channels to one replica where the service names no bound.
const UNBOUNDED_CHANNELS: usize = 1_000;
