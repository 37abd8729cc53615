//! Telling the nodes of the region what this one has open, and gathering what others tell.

use crate::core::EntryCore;
use crate::datagrams::speaks_near;
use crate::datagrams::tell_near;
use crate::news_teller::tell_news;
use crate::news_teller::tell_suspects;
use crate::node_gram::NodeGram;
use crate::node_gram::WorkGram;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CollectorBook;
use zinniahatch_route::OpenWork;
use zinniahatch_route::REFRESH_TIME;
use zinniahatch_route::WorkGatherer;
use zinniahatch_route::WorkPart;
use zinniahatch_route::WorkPath;
use zinniahatch_route::gather_time;

/// Time after a change before it is told, so that changes which come together cost one datagram.
const TELL_PAUSE: Duration = Duration::from_millis(4);
/// Bytes of gathered news in a datagram, within one packet.
const MOST_BYTES: usize = 1_200;

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
        let work = core.replicas.borrow_mut().take_unchanged(REFRESH_TIME, now);
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
        let mut work = core.replicas.borrow_mut().take_changes(now);
        if self.book.review(now) {
            // What the silent collector was told last may have reached nobody.
            self.choose_path(core, now);
            let told = core
                .replicas
                .borrow_mut()
                .take_unchanged(Duration::ZERO, now);
            work.extend(told);
        }
        self.tell_part(core, socket, work, now).await;
    }

    async fn tell_part(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        work: Vec<(ShortTag, OpenWork)>,
        now: Instant,
    ) {
        let reads = core.replicas.borrow_mut().take_reads();
        if work.is_empty() && reads.is_empty() {
            return;
        }
        self.number += 1;
        let part = WorkPart {
            origin: self.origin,
            number: self.number,
            work,
            reads,
        };
        let gather = matches!(self.path, WorkPath::Collector(_));
        match self.path {
            WorkPath::Own => self.gather(part, now),
            WorkPath::All => tell_near(core, socket, &WorkGram::of(part, gather)).await,
            WorkPath::Collector(collector) => {
                self.book.note_told(collector, now);
                if let Ok(bytes) = postcard::to_allocvec(&WorkGram::of(part, gather)) {
                    // A datagram that cannot be sent is as good as lost; the collector's silence shows it.
                    let _ = socket.send_to(&bytes, collector).await;
                }
            }
        }
    }

    fn gather(&mut self, part: WorkPart, now: Instant) {
        self.gathered.add(part);
        self.gathered_due
            .get_or_insert(now + gather_time(self.others));
    }

    async fn tell_gathered(&mut self, core: &EntryCore, socket: &UdpSocket) {
        while !self.gathered.is_empty() {
            let gram = WorkGram {
                parts: self.gathered.take(MOST_BYTES),
                gather: false,
            };
            tell_near(core, socket, &NodeGram::Work(gram)).await;
        }
    }

    /// Takes news of the work of other nodes of the region.
    pub(crate) fn hear(&mut self, core: &EntryCore, gram: WorkGram, from: SocketAddrV4) {
        if !speaks_near(core, from) {
            return;
        }
        self.book.note_heard(from);
        let now = Instant::now();
        let mut replicas = core.replicas.borrow_mut();
        for part in gram.parts {
            if part.origin == self.origin {
                continue;
            }
            replicas.note_work(part.origin, part.number, &part.work, now);
            replicas.note_reads(&part.reads, |service| {
                core.service(service).map_or(0, |spec| spec.kv_tokens)
            });
            if gram.gather {
                self.gather(part, now);
            }
        }
    }
}
