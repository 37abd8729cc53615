//! Reports of in-flight work to the nodes of the region, and aggregation of the reports of others.

use crate::core::EntryCore;
use crate::nodes::broadcast::broadcast_cold_reports;
use crate::nodes::broadcast::broadcast_parts;
use crate::nodes::broadcast::broadcast_rate_limits;
use crate::nodes::broadcast::broadcast_replica_updates;
use crate::nodes::broadcast::broadcast_suspects;
use crate::nodes::datagrams::broadcast;
use crate::nodes::datagrams::is_from_own_region;
use crate::nodes::datagrams::send_message;
use crate::nodes::gossip_message::GossipMessage;
use crate::nodes::gossip_message::WorkReport;
use crate::nodes::roles::holds_role;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_base::prelude::*;
use zinniahatch_route::BatchPacer;
use zinniahatch_route::CollectorSelector;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::RegionUsage;
use zinniahatch_route::WORK_REFRESH_INTERVAL;
use zinniahatch_route::WorkBatch;
use zinniahatch_route::WorkPath;
use zinniahatch_route::WorkUpdate;

/// Delay between a change and its report, so that changes in quick succession share a datagram.
const REPORT_DELAY: Duration = Duration::from_millis(4);
/// Maximum bytes of aggregated reports in a datagram, so that it fits in one packet.
const MAX_REPORT_BYTES: usize = 1_200;

/// Number of nodes per region that report its account usage to other regions; tolerates one node
/// failure.
const USAGE_REPORTERS: usize = 2;
/// Role name that is hashed to rank these nodes.
const USAGE_REPORTER_ROLE: &str = "spends";

/// Reports this node's in-flight work, and that of other nodes while this one is a collector.
pub(crate) struct WorkReporter {
    origin: ShortTag,
    path: WorkPath,
    /// Other live nodes of the region.
    others: usize,
    collectors: CollectorSelector,
    batch: WorkBatch,
    pacer: BatchPacer,
    /// Changes in the batch.
    batched: usize,
    /// When this node's pending changes are sent.
    changes_due: Option<Instant>,
    /// When the aggregated reports are sent.
    batch_due: Option<Instant>,
}

impl WorkReporter {
    /// Creates a reporter with nothing to send.
    pub(crate) fn new(origin: ShortTag) -> Self {
        Self {
            origin,
            path: WorkPath::All,
            others: 0,
            collectors: CollectorSelector::default(),
            batch: WorkBatch::default(),
            pacer: BatchPacer::default(),
            batched: 0,
            changes_due: None,
            batch_due: None,
        }
    }

    /// Returns when the next report is due, if any is pending.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.changes_due.into_iter().chain(self.batch_due).min()
    }

    /// Schedules a report of changes.
    pub(crate) fn schedule_changes(&mut self, now: Instant) {
        self.changes_due.get_or_insert(now + REPORT_DELAY);
    }

    /// Sends the reports that are due.
    pub(crate) async fn send_due(&mut self, core: &EntryCore, socket: &UdpSocket) {
        let now = Instant::now();
        if self.changes_due.is_some_and(|due| due <= now) {
            self.changes_due = None;
            self.send_changes(core, socket, now).await;
            broadcast_replica_updates(core, socket).await;
            broadcast_suspects(core, socket, false).await;
            broadcast_parts(core, socket, false).await;
            broadcast_rate_limits(core, socket).await;
            broadcast_cold_reports(core, socket).await;
        }
        if self.batch_due.is_some_and(|due| due <= now) {
            self.batch_due = None;
            self.send_batch(core, socket).await;
        }
    }

    /// Sends unchanged in-flight work again after the refresh time, and chooses the collector anew.
    pub(crate) async fn refresh(&mut self, core: &EntryCore, socket: &UdpSocket) {
        let now = Instant::now();
        self.collectors.drop_unresponsive(now);
        self.choose_path(core, now);
        let work = core
            .replicas
            .borrow_mut()
            .take_stale_work(WORK_REFRESH_INTERVAL, now);
        self.send_update(core, socket, work, now).await;
    }

    fn choose_path(&mut self, core: &EntryCore, now: Instant) {
        let members = core.members.borrow();
        let live = members.live_in(&core.settings.region, now);
        self.others = live.len();
        let settings = &core.settings;
        let path = self
            .collectors
            .choose(&settings.name, settings.cpu_share, &live, now);
        if path != self.path {
            core.log.write(
                "work-path",
                serde_json::json!({"path": format!("{path:?}"), "others": self.others}),
            );
        }
        self.path = path;
    }

    async fn send_changes(&mut self, core: &EntryCore, socket: &UdpSocket, now: Instant) {
        let mut work = core.replicas.borrow_mut().take_changed_work(now);
        if self.collectors.drop_unresponsive(now) {
            // The last reports to the collector that went silent may have reached no other node.
            self.choose_path(core, now);
            let unchanged = core
                .replicas
                .borrow_mut()
                .take_stale_work(Duration::ZERO, now);
            work.extend(unchanged);
        }
        self.send_update(core, socket, work, now).await;
    }

    async fn send_update(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        work: Vec<(ShortTag, InFlightWork)>,
        now: Instant,
    ) {
        let prefixes = core.replicas.borrow_mut().take_cached_prefixes();
        let usage = core.quotas.borrow_mut().take_local_usage();
        let update = (!work.is_empty() || !prefixes.is_empty()).then(|| WorkUpdate {
            origin: self.origin,
            number: core.next_work_number(),
            work,
            prefixes,
        });
        self.report_to_region(core, socket, update, usage, now)
            .await;
    }

    /// Sends a report to the nodes of the region, by way of the collector if there is one.
    async fn report_to_region(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        update: Option<WorkUpdate>,
        usage: Option<RegionUsage>,
        now: Instant,
    ) {
        if update.is_none() && usage.is_none() {
            return;
        }
        let relay = matches!(self.path, WorkPath::Collector(_));
        let usage = usage.into_iter().collect();
        match self.path {
            WorkPath::Own => self.add_to_batch(update, usage, now),
            WorkPath::All => {
                broadcast(core, socket, &WorkReport::of(update, usage, relay)).await;
            }
            WorkPath::Collector(collector) => {
                self.collectors.note_sent(collector, now);
                let report = WorkReport::of(update, usage, relay);
                send_message(core, socket, &report, collector).await;
            }
        }
    }

    fn add_to_batch(&mut self, update: Option<WorkUpdate>, usage: Vec<RegionUsage>, now: Instant) {
        if let Some(update) = update {
            self.batched += update.work.len();
            self.batch.add(update);
        }
        for regional in &usage {
            self.batch.add_usage(regional);
        }
        self.batch_due
            .get_or_insert(now + self.pacer.interval(self.others));
    }

    async fn send_batch(&mut self, core: &EntryCore, socket: &UdpSocket) {
        let replicas = core.replicas.borrow().replica_count();
        let changes = std::mem::take(&mut self.batched);
        self.pacer.note_batch(changes, replicas, Instant::now());
        while !self.batch.is_empty() {
            let (updates, usage) = self.batch.take(MAX_REPORT_BYTES);
            let report = WorkReport {
                updates,
                usage,
                relay: false,
            };
            broadcast(core, socket, &GossipMessage::Work(report)).await;
        }
    }

    /// Reports this region's account usage to the other regions, if this node holds that role.
    pub(crate) async fn report_usage(&mut self, core: &EntryCore, socket: &UdpSocket) {
        let now = Instant::now();
        {
            let members = core.members.borrow();
            let peers = members.live_in(&core.settings.region, now).len();
            core.quotas.borrow_mut().set_region_peers(peers);
        }
        if core.quotas.borrow().is_empty() {
            return;
        }
        if !holds_role(core, USAGE_REPORTER_ROLE, USAGE_REPORTERS) {
            core.quotas.borrow_mut().discard_remote_usage();
            return;
        }
        let usage = core.quotas.borrow_mut().take_remote_usage();
        let own = &core.settings.region;
        let receivers = core
            .members
            .borrow()
            .one_per_other_region(own, &core.settings.name, now);
        for part in usage.split(MAX_REPORT_BYTES) {
            let message = GossipMessage::AccountUsage(part);
            for address in &receivers {
                send_message(core, socket, &message, *address).await;
            }
        }
    }

    /// Merges account usage of another region, and passes it on within this one.
    pub(crate) async fn handle_remote_usage(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        usage: &RegionUsage,
    ) {
        let now = Instant::now();
        let changed = core.quotas.borrow_mut().apply_update(usage, now);
        self.report_to_region(core, socket, None, Some(changed), now)
            .await;
    }

    /// Merges reports of in-flight work of other nodes of the region.
    pub(crate) fn handle_report(
        &mut self,
        core: &EntryCore,
        report: WorkReport,
        from: SocketAddrV4,
    ) {
        if !is_from_own_region(core, from) {
            return;
        }
        self.collectors.note_forwarded(from);
        let now = Instant::now();
        self.merge_usage(core, &report, now);
        let mut replicas = core.replicas.borrow_mut();
        for update in report.updates {
            if update.origin == self.origin {
                continue;
            }
            replicas.apply_peer_work(update.origin, update.number, &update.work, now);
            replicas.apply_cached_prefixes(&update.prefixes, |service| {
                core.service(service).map_or(0, |spec| spec.kv_tokens)
            });
            if report.relay {
                self.add_to_batch(Some(update), Vec::new(), now);
            }
        }
    }

    fn merge_usage(&mut self, core: &EntryCore, report: &WorkReport, now: Instant) {
        let mut quotas = core.quotas.borrow_mut();
        if quotas.is_empty() {
            return;
        }
        quotas.note_contact(tag_of(&core.settings.region), now);
        let mut changed = Vec::new();
        for usage in &report.usage {
            changed.push(quotas.apply_update(usage, now));
        }
        drop(quotas);
        if report.relay && !changed.is_empty() {
            self.add_to_batch(None, changed, now);
        }
    }
}
