//! State shared by all tasks of the process.

use crate::auth::allowances::quota_limits;
use crate::auth::boot_clock::BootClock;
use crate::counts::pending_counts::PendingCounts;
use crate::decision_log::DecisionLog;
use crate::listeners::ConnectionSlots;
use crate::listeners::OpenConnections;
use crate::metrics::EntryMetrics;
use crate::nodes::snapshot::SnapshotLimiter;
use crate::replicas::address_checks::AddressChecks;
use crate::replicas::crash_detection::CRASH_REUSE_PERIOD;
use crate::replicas::probe::PROBE_REUSE_PERIOD;
use crate::replicas::warmth_checks::ColdReport;
use crate::request::connection::ConnectionError;
use crate::request::held_memory::HeldMemory;
use crate::request::pool::ConnectionPool;
use crate::store::stream_records::StreamRead;
use crate::store::version_keys::RecordRead;
use crate::store::watch_topic::WatchTopic;
use crate::supervisor::RESTART_PAUSE;
use crate::supervisor::TaskName;
use crate::supervisor::TaskPanic;
use crate::supervisor::catch_panic;
use crate::supervisor::run_restarted;
use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::watch;
use zinniahatch_base::prelude::*;
use zinniahatch_config::EntrySettings;
use zinniahatch_platform::KvClient;
use zinniahatch_route::AccountTable;
use zinniahatch_route::AnswerTimes;
use zinniahatch_route::BatchOutbox;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::CoverageClaim;
use zinniahatch_route::DISCOVERY_TIME;
use zinniahatch_route::DesiredService;
use zinniahatch_route::DesiredState;
use zinniahatch_route::FleetSize;
use zinniahatch_route::HeartbeatTargets;
use zinniahatch_route::KeyFreshness;
use zinniahatch_route::LongestStream;
use zinniahatch_route::MemberStage;
use zinniahatch_route::MemberTable;
use zinniahatch_route::PartSuspectTable;
use zinniahatch_route::QuotaTable;
use zinniahatch_route::ReadRange;
use zinniahatch_route::ReaderCoverage;
use zinniahatch_route::RegionPaths;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::RetryBudget;
use zinniahatch_route::RetryQueue;
use zinniahatch_route::RouteTable;
use zinniahatch_route::STREAM_SHARDS;
use zinniahatch_route::ScopedPart;
use zinniahatch_route::ServingPreset;
use zinniahatch_route::StoreProgress;
use zinniahatch_route::StreamOriginTable;
use zinniahatch_route::SuspectTable;
use zinniahatch_route::TrafficBudget;
use zinniahatch_route::UpdateOutbox;
use zinniahatch_route::VersionTable;
use zinniahatch_route::process_tag;

/// Progress of the process's graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// Normal operation.
    Serving,
    /// Reports itself as not ready but still serves every request.
    Leaving,
    /// Accepts only non-streaming requests, because no other node of its region is ready.
    PlainOnly,
    /// Refuses new requests.
    Closing,
    /// Accepts no new connections, and closes those that are idle.
    Disconnecting,
    /// Answers the requests whose responses have not begun, before the process exits.
    Ending,
}

/// The shared state. It is used from a single thread, so cells guard it instead of locks.
#[derive(Debug)]
pub(crate) struct EntryCore {
    pub(crate) settings: EntrySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
    pub(crate) desired: RefCell<Option<Rc<DesiredState>>>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    /// The client accounts and their API keys.
    pub(crate) identities: RefCell<Rc<AccountTable>>,
    /// How long those keys may be trusted.
    pub(crate) key_freshness: RefCell<KeyFreshness>,
    pub(crate) clock: BootClock,
    /// The store revision up to which this node has seen the operators' writes.
    pub(crate) operator_revision: Cell<Option<StoreRevision>>,
    /// The store revision up to which this node has read the replicas.
    pub(crate) replicas_revision: Cell<Option<StoreRevision>>,
    /// Whether the nodes of the region are so many that heartbeats go by way of relays.
    pub(crate) uses_relays: Cell<bool>,
    pub(crate) snapshot_limiter: RefCell<SnapshotLimiter>,
    /// Remaining allowances of the client accounts.
    pub(crate) quotas: RefCell<QuotaTable>,
    pub(crate) preset: RefCell<ServingPreset>,
    pub(crate) replicas: RefCell<ReplicaTable>,
    pub(crate) members: RefCell<MemberTable>,
    /// Whether requests to other regions get through.
    pub(crate) region_paths: RefCell<RegionPaths>,
    pub(crate) cold_limiter: RefCell<ColdLimiter>,
    /// Which version began each stream that its caller may take up.
    pub(crate) stream_origins: RefCell<StreamOriginTable>,
    /// Signalled when this node learns what began a stream.
    pub(crate) origin_learned: Notify,
    /// The software versions that serve in each region.
    pub(crate) versions: RefCell<VersionTable>,
    /// Signalled when this node sees a new software version in its region.
    pub(crate) version_seen: Notify,
    /// Signalled when a version that serves is to be in the record in the store.
    pub(crate) record_wanted: Notify,
    /// Signalled when this node learns that the record names a version.
    pub(crate) record_learned: Notify,
    /// The last read of the records of all regions.
    pub(crate) record_read: tokio::sync::Mutex<RecordRead>,
    /// Streams that this node is to write to the store.
    pub(crate) record_outbox: RefCell<BatchOutbox>,
    /// The last read of each part of the streams in the store.
    pub(crate) stream_reads: [tokio::sync::Mutex<StreamRead>; STREAM_SHARDS as usize],
    /// Longest time that a stream may last and be taken up again, known once the desired state is.
    pub(crate) longest_stream: Cell<LongestStream>,
    /// The socket for datagrams to other nodes.
    pub(crate) peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Spreads the `Retry-After` times of callers of each service whose replicas take no work for
    /// now.
    pub(crate) retry_queues: RefCell<BTreeMap<ServiceId, RetryQueue>>,
    /// Requests that were running on replicas when those ended.
    pub(crate) suspects: RefCell<SuspectTable>,
    /// Prompt parts that were on replicas when those crashed.
    pub(crate) part_suspects: RefCell<PartSuspectTable>,
    /// Bytes of the updates on both that this node may send.
    pub(crate) update_budget: RefCell<TrafficBudget>,
    /// When it was last decided which parts are in quarantine.
    pub(crate) part_reviewed: Cell<Instant>,
    /// Digest of the parts with enough crashes for quarantine, as of the last tick.
    pub(crate) part_digest: Cell<u64>,
    /// Signalled when a request or a prompt part enters or leaves quarantine.
    pub(crate) quarantine_changed: watch::Sender<()>,
    /// Signalled when anything is learned of a suspect request, for requests that wait to be judged.
    pub(crate) suspects_learned: watch::Sender<()>,
    /// Requests released from quarantine whose key in the store has to be removed.
    pub(crate) released_requests: RefCell<Vec<ContentDigest>>,
    /// Prompt parts released from quarantine whose key in the store has to be removed.
    pub(crate) released_parts: RefCell<Vec<ScopedPart>>,
    pub(crate) crash_checks: AddressChecks,
    /// Probes of replicas that requests may move to.
    pub(crate) alive_checks: AddressChecks,
    pub(crate) retry_budgets: RefCell<BTreeMap<ServiceId, RetryBudget>>,
    /// Peer addresses of other nodes, learned from the store and from other nodes.
    pub(crate) heartbeat_targets: RefCell<HeartbeatTargets>,
    /// How many nodes each region has.
    pub(crate) fleet_size: RefCell<FleetSize>,
    /// The names of the other nodes of the region, and when they were collected.
    region_peers: RefCell<Option<(Rc<BTreeSet<NodeId>>, Instant)>>,
    pub(crate) counts: PendingCounts,
    /// Replica updates that have not been sent to the other nodes of the region.
    pub(crate) replica_updates: RefCell<UpdateOutbox>,
    /// Whether no node of the region reads the entries of replicas.
    pub(crate) lacks_entries: Cell<bool>,
    /// Cold replicas that the other nodes of the region are to be told of.
    pub(crate) cold_reports: RefCell<Vec<ColdReport>>,
    /// For each topic, how this node's state compares with that of its region's store readers.
    pub(crate) topic_coverage: RefCell<BTreeMap<WatchTopic, ReaderCoverage>>,
    /// For each role, how many nodes rank before this one, and when that was computed.
    pub(crate) role_ranks: RefCell<BTreeMap<&'static str, (usize, Instant)>>,
    /// Whether this node leaves reading the desired state from the store to other nodes.
    pub(crate) skips_watch: Cell<bool>,
    pub(crate) pool: ConnectionPool,
    /// Memory of the bodies of requests.
    pub(crate) body_memory: HeldMemory,
    /// Memory of answers that were read whole.
    pub(crate) answer_memory: HeldMemory,
    pub(crate) store: KvClient,
    /// Signalled when a store call fails while the watch is waiting.
    pub(crate) store_lost: Notify,
    /// Whether the store answered the last call of the watch that probes for its recovery.
    pub(crate) store_reachable: watch::Sender<bool>,
    pub(crate) log: DecisionLog,
    pub(crate) metrics: EntryMetrics,
    pub(crate) phase: watch::Sender<StopPhase>,
    /// Until when answers can be completed, once this node stops.
    pub(crate) answers_due: Cell<Option<Instant>>,
    /// How long the recent answers of each route took.
    pub(crate) answer_times: RefCell<BTreeMap<Box<str>, AnswerTimes>>,
    /// Whether the list of replicas has been read, from the store or from a peer.
    replicas_listed: Cell<bool>,
    /// Whether this node has read the list of members from the store.
    members_read: Cell<bool>,
    /// Signalled when this node's in-flight work changes or it has replica updates for its region.
    pub(crate) work_changed: Notify,
    /// Signalled when this node learns the desired state, the replicas or another node.
    pub(crate) state_learned: Notify,
    /// Number of requests in flight.
    pub(crate) in_flight_count: Cell<usize>,
    /// The open connections of callers and other nodes.
    pub(crate) connections: OpenConnections,
    /// The connections that listeners may still accept.
    pub(crate) connection_slots: ConnectionSlots,
    last_ticket: Cell<u64>,
    /// Number of the last update of this node's work. Others ignore lower ones, so that it outlasts the
    /// task that sends them.
    last_work_number: Cell<u32>,
}

impl EntryCore {
    /// Creates the state of a fresh process.
    pub(crate) fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        log: DecisionLog,
        metrics: EntryMetrics,
        clock: BootClock,
    ) -> Self {
        let quotas = QuotaTable::new(
            process_tag(&settings.name, incarnation),
            tag_of(&settings.region),
            settings.regions.values().map(|region| tag_of(region)),
            Instant::now(),
        );
        let store = KvClient::new(&settings.store.to_string())
            .with_max_value_bytes(settings.max_value_bytes);
        let mut heartbeat_targets = HeartbeatTargets::new(settings.listen.peer, &settings.region);
        for seed in &settings.seeds {
            let port = settings.listen.peer.port();
            heartbeat_targets.add(SocketAddrV4::new(*seed.ip(), port), None);
        }
        Self {
            incarnation,
            started: Instant::now(),
            desired: RefCell::default(),
            routes: RefCell::default(),
            identities: RefCell::default(),
            key_freshness: RefCell::default(),
            clock,
            operator_revision: Cell::default(),
            replicas_revision: Cell::default(),
            uses_relays: Cell::new(false),
            snapshot_limiter: RefCell::default(),
            quotas: RefCell::new(quotas),
            preset: RefCell::default(),
            replicas: RefCell::default(),
            members: RefCell::default(),
            region_paths: RefCell::default(),
            cold_limiter: RefCell::default(),
            stream_origins: RefCell::default(),
            origin_learned: Notify::new(),
            versions: RefCell::default(),
            version_seen: Notify::new(),
            record_wanted: Notify::new(),
            record_learned: Notify::new(),
            record_read: tokio::sync::Mutex::default(),
            record_outbox: RefCell::default(),
            stream_reads: std::array::from_fn(|_| tokio::sync::Mutex::default()),
            longest_stream: Cell::default(),
            peer_socket: OnceCell::new(),
            retry_queues: RefCell::default(),
            suspects: RefCell::default(),
            update_budget: RefCell::new(TrafficBudget::new(Instant::now())),
            part_reviewed: Cell::new(Instant::now()),
            part_digest: Cell::default(),
            part_suspects: RefCell::new(PartSuspectTable::new(Instant::now())),
            quarantine_changed: watch::Sender::new(()),
            suspects_learned: watch::Sender::new(()),
            released_requests: RefCell::default(),
            released_parts: RefCell::default(),
            crash_checks: AddressChecks::new(CRASH_REUSE_PERIOD),
            alive_checks: AddressChecks::new(PROBE_REUSE_PERIOD),
            retry_budgets: RefCell::default(),
            heartbeat_targets: RefCell::new(heartbeat_targets),
            fleet_size: RefCell::default(),
            region_peers: RefCell::default(),
            counts: PendingCounts::default(),
            replica_updates: RefCell::default(),
            lacks_entries: Cell::default(),
            cold_reports: RefCell::default(),
            topic_coverage: RefCell::default(),
            role_ranks: RefCell::default(),
            skips_watch: Cell::new(false),
            pool: ConnectionPool::default(),
            body_memory: HeldMemory::for_bodies(settings.memory_mib, &metrics.process.memory),
            answer_memory: HeldMemory::for_answers(settings.memory_mib, &metrics.process.memory),
            connection_slots: ConnectionSlots::new(settings.open_files),
            store,
            store_lost: Notify::new(),
            store_reachable: watch::Sender::new(true),
            log,
            metrics,
            phase: watch::Sender::new(StopPhase::Serving),
            answers_due: Cell::default(),
            answer_times: RefCell::default(),
            replicas_listed: Cell::new(false),
            members_read: Cell::new(false),
            work_changed: Notify::new(),
            state_learned: Notify::new(),
            in_flight_count: Cell::new(0),
            connections: OpenConnections::default(),
            last_ticket: Cell::new(0),
            last_work_number: Cell::new(0),
            settings,
        }
    }

    /// Returns a number that is unique among the requests of this process.
    pub(crate) fn next_ticket(&self) -> u64 {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        ticket
    }

    /// Starts a task that runs as long as the process, again after a panic.
    pub(crate) fn spawn_restarted<F: Future<Output = ()>>(
        self: &Rc<Self>,
        task: TaskName,
        start: impl Fn(Rc<Self>) -> F + 'static,
    ) {
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let report = |panic| core.report_panic(&panic);
            run_restarted(task, RESTART_PAUSE, || start(Rc::clone(&core)), report).await;
        });
    }

    /// Starts a task for one connection, request or check.
    pub(crate) fn spawn_task<T: 'static>(
        self: &Rc<Self>,
        task: TaskName,
        run: impl Future<Output = T> + 'static,
    ) {
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if let Err(panic) = catch_panic(task, run).await {
                core.report_panic(&panic);
            }
        });
    }

    /// Counts and logs the panic of a task.
    pub(crate) fn report_panic(&self, panic: &TaskPanic) {
        self.metrics.process.note_task_panic(panic.task);
        self.log.write(
            "task-panicked",
            serde_json::json!({"task": panic.task, "message": panic.message,
                "lasted_ms": panic.lasted.as_millis() as u64}),
        );
    }

    /// Counts and logs a response that exceeded a bound on what is read. Other errors are ignored.
    pub(crate) fn note_excess(
        &self,
        address: SocketAddrV4,
        replica: Option<&str>,
        error: &ConnectionError,
    ) {
        let ConnectionError::Excess(bound) = *error else {
            return;
        };
        self.metrics.retries.note_excess(bound);
        self.log.write(
            "excess-response",
            serde_json::json!({"address": address.to_string(), "replica": replica,
                "bound": bound.name()}),
        );
    }

    /// Logs that a request finds too little memory left for a number of bytes.
    pub(crate) fn log_memory_full(&self, memory: &HeldMemory, request: &str, bytes: usize) {
        self.log.write(
            "memory-full",
            serde_json::json!({"request": request, "use": memory.purpose().name(), "wanted": bytes,
                "held": memory.held(), "limit": memory.limit()}),
        );
    }

    /// Returns the number of the next update of this node's work.
    pub(crate) fn next_work_number(&self) -> u32 {
        let number = self.last_work_number.get() + 1;
        self.last_work_number.set(number);
        number
    }

    /// Returns the tag that identifies this process in gossiped work updates.
    pub(crate) fn origin(&self) -> ShortTag {
        process_tag(&self.settings.name, self.incarnation)
    }

    /// Returns the shutdown phase.
    pub(crate) fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Returns whether callers should use this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == MemberStage::Ready
    }

    /// Returns whether the desired state and the replicas are known.
    pub(crate) fn is_initialized(&self) -> bool {
        self.has_listed_replicas() && self.desired.borrow().is_some()
    }

    /// Returns whether the list of replicas has been read, from the store or from a peer.
    pub(crate) fn has_listed_replicas(&self) -> bool {
        self.replicas_listed.get()
    }

    /// Returns how far this node has read the store.
    pub(crate) fn store_progress(&self) -> Option<StoreProgress> {
        Some(StoreProgress {
            replicas: self.replicas_revision.get()?,
            rules: self.operator_revision.get()?,
        })
    }

    /// Returns the revision of the store up to which this node has everything of a topic; `None` if it
    /// knows of none.
    pub(crate) fn covered(&self, topic: WatchTopic) -> Option<StoreRevision> {
        let coverage = self.topic_coverage.borrow();
        coverage.get(&topic)?.covered()
    }

    /// Returns what is tracked of a topic's coverage, for modification.
    pub(crate) fn coverage(&self, topic: WatchTopic) -> RefMut<'_, ReaderCoverage> {
        let coverage = self.topic_coverage.borrow_mut();
        let scope = || topic.scope(&self.settings.region);
        RefMut::map(coverage, |coverage| {
            coverage
                .entry(topic)
                .or_insert_with(|| ReaderCoverage::new(scope()))
        })
    }

    /// Records that this node has read everything of a topic up to a revision of the store.
    pub(crate) fn note_read(&self, topic: WatchTopic, upto: StoreRevision) {
        self.note_covered(topic, &self.settings.region, upto);
    }

    /// Records that this node has everything of a topic that a reader of `region` had read up to a
    /// revision of the store; returns whether that is all that this node needs of the topic.
    pub(crate) fn note_covered(
        &self,
        topic: WatchTopic,
        region: &RegionId,
        upto: StoreRevision,
    ) -> bool {
        let claim = CoverageClaim::new(topic.scope(region), upto);
        self.coverage(topic).note_covered(&claim)
    }

    /// Records that this node has all changes of replicas that a reader of `region` read in a range of
    /// the store's revisions.
    pub(crate) fn note_range(&self, region: &RegionId, range: ReadRange) {
        let topic = WatchTopic::Replicas;
        let mut coverage = self.coverage(topic);
        coverage.note_range(&topic.scope(region), range, Instant::now());
    }

    /// Records that the list of replicas has been read.
    pub(crate) fn mark_replicas_listed(&self) {
        self.replicas_listed.set(true);
        self.state_learned.notify_waiters();
    }

    /// Records that this node has read the list of members from the store.
    pub(crate) fn mark_members_read(&self) {
        self.members_read.set(true);
        self.state_learned.notify_waiters();
    }

    /// Returns this node's lifecycle stage, as announced to the other nodes.
    pub(crate) fn stage(&self) -> MemberStage {
        match self.phase() {
            _ if !self.is_initialized() => MemberStage::Starting,
            StopPhase::Serving => MemberStage::Ready,
            StopPhase::Leaving => MemberStage::Leaving,
            StopPhase::PlainOnly => MemberStage::PlainOnly,
            StopPhase::Closing | StopPhase::Disconnecting | StopPhase::Ending => {
                MemberStage::Closing
            }
        }
    }

    /// Returns the version of the desired state, 0 while none is known.
    pub(crate) fn version(&self) -> u64 {
        self.routes.borrow().version()
    }

    /// Puts a desired state in force unless it is older than the current one.
    ///
    /// Stale reads, delayed responses and peers that lag behind may deliver an older version. Going
    /// back to it would serve callers by rules that have already been replaced.
    pub(crate) fn apply_desired_state(&self, state: DesiredState, source: &'static str) -> bool {
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
        let limits = quota_limits(self, &state);
        self.quotas.borrow_mut().set_limits(&limits, Instant::now());
        self.key_freshness.borrow_mut().set_version(state.version);
        *self.routes.borrow_mut() = Rc::new(RouteTable::new(&state));
        *self.desired.borrow_mut() = Some(Rc::new(state));
        self.state_learned.notify_waiters();
        true
    }

    /// Returns whether the API keys known to this node may be trusted now.
    pub(crate) fn trusts_keys(&self) -> bool {
        let Some(bound) = self.settings.bounds.revoke else {
            return true;
        };
        if !self.identities.borrow().requires_key() {
            return true;
        }
        !self.may_be_stale()
            && self
                .key_freshness
                .borrow()
                .is_fresh(bound, self.clock.now())
    }

    /// Returns whether this node has just started and cannot yet rule out that another node follows
    /// a newer version.
    ///
    /// Guards against a store that is restored from an older backup and still contains a revoked
    /// key. A node that starts at that moment reads the key and would accept it until it receives
    /// the heartbeats of the other nodes, a tenth of a second later.
    pub(crate) fn may_be_stale(&self) -> bool {
        let alone = self.members_read.get() && self.heartbeat_targets.borrow().is_empty();
        if self.started.elapsed() >= DISCOVERY_TIME || alone {
            return false;
        }
        let newest = self.members.borrow().newest_version(Instant::now());
        newest == 0 || newest > self.version()
    }

    /// Returns how long proofs of key freshness remain valid, if callers have to authenticate.
    pub(crate) fn key_bound(&self) -> Option<Duration> {
        let guarded = self.identities.borrow().requires_key();
        self.settings.bounds.revoke.filter(|_| guarded)
    }

    /// Records that a store call of this node failed.
    pub(crate) fn note_store_failure(&self) {
        let mut replicas = self.replicas.borrow_mut();
        replicas.note_store_failure(Instant::now());
    }

    /// Puts a preset in force unless it was switched on before the current one.
    pub(crate) fn apply_preset(&self, preset: ServingPreset, source: &'static str) {
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

    /// Returns the desired state of a service.
    pub(crate) fn service(&self, name: &str) -> Option<DesiredService> {
        let desired = self.desired.borrow();
        desired.as_ref()?.services.get(name).cloned()
    }

    /// Calls `run` with the retry budget of a service.
    pub(crate) fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        run: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            let bounds = &self.settings.bounds;
            RetryBudget::new(
                bounds.repeat_window,
                bounds.repeat_ratio,
                bounds.repeat_slack,
                self.started,
            )
        });
        let members = self.members.borrow().known().len();
        let known = members.max(self.heartbeat_targets.borrow().len()) + 1;
        let announced = self
            .fleet_size
            .borrow()
            .total(self.settings.regions.values());
        budget.note_nodes(known.max(announced));
        run(budget)
    }

    /// Returns the names of the other nodes of the region that may still run.
    pub(crate) fn region_peers(&self, now: Instant) -> Rc<BTreeSet<NodeId>> {
        let mut cached = self.region_peers.borrow_mut();
        if let Some((names, collected)) = &*cached
            && now.saturating_duration_since(*collected) < PEERS_REUSE_TIME
        {
            return Rc::clone(names);
        }
        let names = Rc::new(self.members.borrow().names_in(&self.settings.region));
        *cached = Some((Rc::clone(&names), now));
        names
    }

    /// Returns the rate limit of a cold replica summed over all nodes, in requests per second.
    ///
    /// It is zero on a node that has just started, because that node cannot know yet which other
    /// nodes use a share of it.
    pub(crate) fn cold_bound(&self, rate: f64) -> f64 {
        if self.started.elapsed() < DISCOVERY_TIME {
            return 0.0;
        }
        self.settings.cold_bound(rate)
    }

    /// Returns this node's share of the connections that one replica accepts.
    pub(crate) fn connection_share(&self, service: &str) -> usize {
        let limit = self.service(service).map_or(0, |entry| entry.max_channels);
        if limit == 0 {
            return DEFAULT_MAX_CONNECTIONS;
        }
        let nodes = self.region_peers(Instant::now()).len().max(1) + 1;
        ((f64::from(limit) * CONNECTION_SHARE / nodes as f64) as usize).max(1)
    }
}

/// Time for which the collected names of the region's nodes are used.
const PEERS_REUSE_TIME: Duration = Duration::from_millis(100);
/// Share of a replica's connections that nodes use. The rest covers the old connections of a
/// restarted node, which linger for a while.
const CONNECTION_SHARE: f64 = 0.85;
/// Connections to one replica if the service sets no limit.
const DEFAULT_MAX_CONNECTIONS: usize = 1_000;
