//! Telling the nodes of the region what this one has open, and gathering what others tell.

use crate::core::EntryCore;
use crate::nodes::datagrams::speaks_near;
use crate::nodes::datagrams::tell_near;
use crate::nodes::duty::has_duty;
use crate::nodes::news_teller::tell_limits;
use crate::nodes::news_teller::tell_news;
use crate::nodes::news_teller::tell_suspects;
use crate::nodes::node_gram::NodeGram;
use crate::nodes::node_gram::WorkGram;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CollectorBook;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::RegionSpends;
use zinniahatch_route::WORK_REFRESH_INTERVAL;
use zinniahatch_route::WorkGatherer;
use zinniahatch_route::WorkPart;
use zinniahatch_route::WorkPath;
use zinniahatch_route::gather_time;

/// Time after a change before it is told, so that changes which come together cost one datagram.
const TELL_PAUSE: Duration = Duration::from_millis(4);
/// Bytes of gathered news in a datagram, within one packet.
const MOST_BYTES: usize = 1_200;

/// Nodes of a region that tell the others what the accounts use there; one may die at any time.
const TELLERS: usize = 2;
/// The duty by which these are ranked.
const TELLER_DUTY: &str = "spends";

/// Tells of this node's work, and of that of others where it gathers.
pub(crate) struct WorkTeller {
    origin: ShortTag,
    number: u32,
    path: WorkPath,
    /// Living nodes of the region besides this one.
    others: usize,
    book: CollectorBook,
    gathered: WorkGatherer,
    /// When this node's changes are told.
    changes_due: Option<Instant>,
    /// When what was gathered is told.
    gathered_due: Option<Instant>,
}

impl WorkTeller {
    /// Starts with nothing to tell.
    pub(crate) fn new(origin: ShortTag) -> Self {
        Self {
            origin,
            number: 0,
            path: WorkPath::All,
            others: 0,
            book: CollectorBook::default(),
            gathered: WorkGatherer::default(),
            changes_due: None,
            gathered_due: None,
        }
    }

    /// Gives when there is something to tell.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.changes_due.into_iter().chain(self.gathered_due).min()
    }

    /// Notes that there is something to tell.
    pub(crate) fn note_changed(&mut self, now: Instant) {
        self.changes_due.get_or_insert(now + TELL_PAUSE);
    }

    /// Tells what is due.
    pub(crate) async fn tell(&mut self, core: &EntryCore, socket: &UdpSocket) {
        let now = Instant::now();
        if self.changes_due.is_some_and(|due| due <= now) {
            self.changes_due = None;
            self.tell_changes(core, socket, now).await;
            tell_news(core, socket).await;
            tell_suspects(core, socket, false).await;
            tell_limits(core, socket).await;
        }
        if self.gathered_due.is_some_and(|due| due <= now) {
            self.gathered_due = None;
            self.tell_gathered(core, socket).await;
        }
    }

    /// Tells open work again that was told a while ago, and looks who gathers now.
    pub(crate) async fn refresh(&mut self, core: &EntryCore, socket: &UdpSocket) {
        let now = Instant::now();
        self.book.review(now);
        self.choose_path(core, now);
        let work = core
            .replicas
            .borrow_mut()
            .take_stale_work(WORK_REFRESH_INTERVAL, now);
        self.tell_part(core, socket, work, now).await;
    }

    fn choose_path(&mut self, core: &EntryCore, now: Instant) {
        let members = core.members.borrow();
        let living = members.live_in(&core.settings.region, now);
        self.others = living.len();
        let settings = &core.settings;
        let path = self
            .book
            .choose(&settings.name, settings.strength, &living, now);
        if path != self.path {
            core.log.write(
                "work-path",
                serde_json::json!({"path": format!("{path:?}"), "others": self.others}),
            );
        }
        self.path = path;
    }

    async fn tell_changes(&mut self, core: &EntryCore, socket: &UdpSocket, now: Instant) {
        let mut work = core.replicas.borrow_mut().take_changed_work(now);
        if self.book.review(now) {
            // What the silent collector was told last may have reached nobody.
            self.choose_path(core, now);
            let told = core
                .replicas
                .borrow_mut()
                .take_stale_work(Duration::ZERO, now);
            work.extend(told);
        }
        self.tell_part(core, socket, work, now).await;
    }

    async fn tell_part(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        work: Vec<(ShortTag, InFlightWork)>,
        now: Instant,
    ) {
        let reads = core.replicas.borrow_mut().take_cached_prefixes();
        let spends = core.quotas.borrow_mut().take_news();
        let part = (!work.is_empty() || !reads.is_empty()).then(|| {
            self.number += 1;
            WorkPart {
                origin: self.origin,
                number: self.number,
                work,
                reads,
            }
        });
        self.tell_region(core, socket, part, spends, now).await;
    }

    /// Tells the nodes of the region, by way of the one that gathers.
    async fn tell_region(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        part: Option<WorkPart>,
        spends: Option<RegionSpends>,
        now: Instant,
    ) {
        if part.is_none() && spends.is_none() {
            return;
        }
        let gather = matches!(self.path, WorkPath::Collector(_));
        let spends = spends.into_iter().collect();
        match self.path {
            WorkPath::Own => self.gather(part, spends, now),
            WorkPath::All => tell_near(core, socket, &WorkGram::of(part, spends, gather)).await,
            WorkPath::Collector(collector) => {
                self.book.note_told(collector, now);
                if let Ok(bytes) = postcard::to_allocvec(&WorkGram::of(part, spends, gather)) {
                    // A datagram that cannot be sent is as good as lost; the collector's silence shows it.
                    let _ = socket.send_to(&bytes, collector).await;
                }
            }
        }
    }

    fn gather(&mut self, part: Option<WorkPart>, spends: Vec<RegionSpends>, now: Instant) {
        if let Some(part) = part {
            self.gathered.add(part);
        }
        for spend in &spends {
            self.gathered.add_spends(spend);
        }
        self.gathered_due
            .get_or_insert(now + gather_time(self.others));
    }

    async fn tell_gathered(&mut self, core: &EntryCore, socket: &UdpSocket) {
        while !self.gathered.is_empty() {
            let (parts, spends) = self.gathered.take(MOST_BYTES);
            let gram = WorkGram {
                parts,
                spends,
                gather: false,
            };
            tell_near(core, socket, &NodeGram::Work(gram)).await;
        }
    }

    /// Tells the other regions what the accounts use in this one, where that falls to this node.
    pub(crate) async fn tell_far(&mut self, core: &EntryCore, socket: &UdpSocket) {
        let now = Instant::now();
        {
            let members = core.members.borrow();
            let neighbours = members.live_in(&core.settings.region, now).len();
            core.quotas.borrow_mut().set_neighbours(neighbours);
        }
        if core.quotas.borrow().is_empty() {
            return;
        }
        if !has_duty(core, TELLER_DUTY, TELLERS) {
            core.quotas.borrow_mut().drop_far_news();
            return;
        }
        let spends = core.quotas.borrow_mut().take_far_news();
        let own = &core.settings.region;
        let receivers = core
            .members
            .borrow()
            .one_each_but(own, &core.settings.name, now);
        for part in spends.split(MOST_BYTES) {
            let Ok(bytes) = postcard::to_allocvec(&NodeGram::Spends(part)) else {
                return;
            };
            for address in &receivers {
                // A datagram that cannot be sent is as good as lost; later totals make up for it.
                let _ = socket.send_to(&bytes, address).await;
            }
        }
    }

    /// Takes what the accounts use in another region, and passes it on in this one.
    pub(crate) async fn hear_far(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        spends: &RegionSpends,
    ) {
        let now = Instant::now();
        let fresh = core.quotas.borrow_mut().hear(spends, now);
        self.tell_region(core, socket, None, Some(fresh), now).await;
    }

    /// Takes news of the work of other nodes of the region.
    pub(crate) fn hear(&mut self, core: &EntryCore, gram: WorkGram, from: SocketAddrV4) {
        if !speaks_near(core, from) {
            return;
        }
        self.book.note_heard(from);
        let now = Instant::now();
        self.hear_spends(core, &gram, now);
        let mut replicas = core.replicas.borrow_mut();
        for part in gram.parts {
            if part.origin == self.origin {
                continue;
            }
            replicas.apply_peer_work(part.origin, part.number, &part.work, now);
            replicas.apply_cached_prefixes(&part.reads, |service| {
                core.service(service).map_or(0, |spec| spec.kv_tokens)
            });
            if gram.gather {
                self.gather(Some(part), Vec::new(), now);
            }
        }
    }

    fn hear_spends(&mut self, core: &EntryCore, gram: &WorkGram, now: Instant) {
        let mut quotas = core.quotas.borrow_mut();
        if quotas.is_empty() {
            return;
        }
        quotas.note_heard(tag_of(&core.settings.region), now);
        let mut fresh = Vec::new();
        for spends in &gram.spends {
            fresh.push(quotas.hear(spends, now));
        }
        drop(quotas);
        if gram.gather && !fresh.is_empty() {
            self.gather(None, fresh, now);
        }
    }
}
