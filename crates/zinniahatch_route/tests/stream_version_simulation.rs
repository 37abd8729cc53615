//! Streams, releases, cuts and restarts in a simulated fleet without sockets, in which callers take
//! their streams up at any node: no stream goes on at another version, and most go on.

mod common;

use common::entry;
use common::member_info;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::LongestStream;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::MemberTable;
use zinniahatch_route::OriginRecord;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::StreamOriginTable;
use zinniahatch_route::VersionRecord;
use zinniahatch_route::VersionReport;
use zinniahatch_route::VersionTable;
use zinniahatch_route::sole_recorded;

/// Schedules of each test; `ZINNIA_SCHEDULES` sets another number.
const SCHEDULES: u64 = 60;
const STEP: Duration = Duration::from_millis(100);
const SIMULATED: Duration = Duration::from_secs(40);
/// Longest time of a stream.
const KEEP: Duration = Duration::from_secs(8);
/// Time from the beginning of a stream until its caller takes it up, in ms.
const TAKE_UP_MS: std::ops::Range<u64> = 50..4_000;
/// Streams that begin in a step.
const STREAMS: u32 = 2;
/// Time after which a node without disturbance counts as in touch.
const CONTACT: Duration = Duration::from_secs(6);
/// Time for which a node that is cut off from the store may not notice it, in ms.
const UNNOTICED_MS: std::ops::Range<u64> = 0..3_000;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.05;
/// Time for which a node that ran on has not read what was sent to it, in ms.
const UNREAD_MS: std::ops::Range<u64> = 0..400;
/// Datagrams that are kept for a node that stands still; further ones are lost.
const MAX_QUEUED: usize = 12;
/// Share of the steps in which a node compares its versions with the record.
const RECORD_SHARE: f64 = 0.6;
const REGIONS: [&str; 3] = ["north", "south", "west"];
const SERVICE: &str = "s";

/// Which disturbances a schedule has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// Releases alone.
    Releases,
    /// Nodes end one after the other, too.
    Restarts,
    /// All nodes end at once, too.
    MassRestarts,
    /// All nodes end at once, the older versions leave meanwhile, and the nodes that start know the
    /// replicas before the desired state.
    LateRules,
    /// Nodes are cut off from the store or from each other, too, while a region changes its version.
    Cuts,
    /// Nodes stand still, too, while a region changes its version.
    Stops,
}

/// A replica and its entry in the store.
#[derive(Clone, Debug)]
struct Replica {
    region: usize,
    version: u32,
    entry: ReplicaEntry,
    ends_at: Option<Instant>,
}

/// A datagram that waits for its receiver.
enum Datagram {
    Heartbeat(Box<MemberInfo>, VersionReport),
    Origin(OriginRecord),
}

/// A node and what it knows.
struct Node {
    region: usize,
    address: SocketAddrV4,
    starts_at: Instant,
    /// When it reads the desired state, without which it serves nothing.
    rules_at: Instant,
    longest: LongestStream,
    incarnation: u64,
    store_cut: Option<(Instant, Instant)>,
    net_cut_until: Instant,
    disturbed_at: Instant,
    /// Until when it stands still, and until when it has not read its datagrams.
    still_until: Instant,
    unread_until: Instant,
    queue: Vec<Datagram>,
    /// Whether it has seen a new version, and not told others yet.
    sees_new: bool,
    replicas: ReplicaTable,
    versions: VersionTable,
    origins: StreamOriginTable,
    members: MemberTable,
}

/// A stream that waits to be taken up.
struct Stream {
    digest: ContentDigest,
    version: u32,
    due: Instant,
}

struct Fleet {
    random: StdRng,
    start: Instant,
    now: Instant,
    kind: Disturbance,
    nodes: Vec<Node>,
    replicas: BTreeMap<ReplicaId, Replica>,
    newest: u32,
    stored: BTreeMap<RegionId, VersionRecord>,
    streams: Vec<Stream>,
    /// Streams taken up at nodes in touch while two replicas of their version served, and how many of
    /// them went on.
    due: u32,
    went_on: u32,
}

fn origin(version: u32) -> StreamOrigin {
    StreamOrigin::new(SERVICE, Some(tag_of(&format!("v{version}"))))
}

fn others(region: usize) -> Vec<RegionId> {
    let others = REGIONS.iter().enumerate();
    let others = others.filter(|(index, _)| *index != region);
    others.map(|(_, name)| (*name).into()).collect()
}

/// Returns the index of the node at an address.
fn node_at(address: SocketAddrV4) -> usize {
    usize::from(address.port()) - 1
}

impl Node {
    fn new(region: usize, number: u16, start: Instant) -> Self {
        Self {
            region,
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, number),
            starts_at: start,
            rules_at: start,
            longest: LongestStream::default(),
            incarnation: 0,
            store_cut: None,
            net_cut_until: start,
            disturbed_at: start,
            still_until: start,
            unread_until: start,
            queue: Vec::new(),
            sees_new: false,
            replicas: ReplicaTable::default(),
            versions: VersionTable::default(),
            origins: StreamOriginTable::default(),
            members: MemberTable::default(),
        }
    }

    fn restart(&mut self, now: Instant, down: Duration) {
        *self = Self {
            starts_at: now + down,
            rules_at: now + down,
            incarnation: self.incarnation + 1,
            store_cut: self.store_cut,
            net_cut_until: self.net_cut_until,
            disturbed_at: now + down,
            ..Self::new(self.region, self.address.port(), now)
        };
    }

    fn runs(&self, now: Instant) -> bool {
        now >= self.starts_at
    }

    /// Returns whether the node reads what was sent to it.
    fn reads(&self, now: Instant) -> bool {
        self.runs(now) && now >= self.unread_until
    }

    fn receive(&mut self, datagram: Datagram, now: Instant) {
        if !self.reads(now) {
            if self.queue.len() < MAX_QUEUED {
                self.queue.push(datagram);
            }
            return;
        }
        match datagram {
            Datagram::Heartbeat(info, report) => {
                let region = info.region.clone();
                self.members.update(*info, false, now);
                self.versions.apply(&region, report, now);
            }
            Datagram::Origin(record) => self.origins.apply(&record, now),
        }
    }

    fn read_queue(&mut self, now: Instant) {
        if !self.reads(now) {
            return;
        }
        for datagram in std::mem::take(&mut self.queue) {
            self.receive(datagram, now);
        }
    }

    fn serves(&self, now: Instant) -> bool {
        self.runs(now) && now >= self.rules_at && now >= self.still_until
    }

    /// Returns how long a stream may last, as far as this node knows.
    fn keep(&self) -> Option<Duration> {
        self.longest.limit()
    }

    fn reaches_store(&self, now: Instant) -> bool {
        self.store_cut.is_none_or(|(_, until)| now >= until)
    }

    fn sole_version(&self, now: Instant) -> Option<StreamOrigin> {
        let own = RegionId::from(REGIONS[self.region]);
        let others = others(self.region);
        let service = tag_of(SERVICE);
        self.versions
            .sole_version(service, &own, others.iter(), self.keep(), now)
    }
}

/// Lets a node read the record of its region and write what it lacks.
fn sync_record(node: &mut Node, stored: &mut BTreeMap<RegionId, VersionRecord>, now: Instant) {
    let keep = node.keep();
    let region = RegionId::from(REGIONS[node.region]);
    let record = stored.get(&region).cloned();
    if let Some(record) = &record {
        node.versions.note_read(record, now);
    }
    let complete = record.as_ref().filter(|record| record.complete);
    let listed = complete.map(|record| record.versions.iter().copied().collect());
    node.versions.note_stored(listed);
    if keep.is_none() {
        return;
    }
    let mut wanted = node.versions.merged_record(record.as_ref(), 0, keep, now);
    let removed = node.versions.removable(keep, now);
    wanted.versions.retain(|origin| !removed.contains(origin));
    let origins = wanted.versions.iter().copied();
    node.versions.note_recorded(0, origins);
    stored.insert(region, wanted);
}

impl Fleet {
    fn new(seed: u64, kind: Disturbance) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            random: StdRng::seed_from_u64(seed),
            start,
            now: start,
            kind,
            nodes: Vec::new(),
            replicas: BTreeMap::new(),
            newest: 1,
            stored: BTreeMap::new(),
            streams: Vec::new(),
            due: 0,
            went_on: 0,
        };
        let mut number = 1;
        for region in 0..REGIONS.len() {
            for _ in 0..fleet.random.random_range(1..4) {
                fleet.nodes.push(Node::new(region, number, start));
                number += 1;
            }
            for _ in 0..fleet.random.random_range(2..5) {
                fleet.add_replica(region, 1);
            }
        }
        fleet
    }

    fn add_replica(&mut self, region: usize, version: u32) {
        let id = format!("r{}", self.replicas.len());
        let replica = Replica {
            region,
            version,
            entry: ReplicaEntry {
                version: Some(format!("v{version}").into()),
                ..entry(&id, REGIONS[region])
            },
            ends_at: None,
        };
        self.replicas.insert(id.into(), replica);
    }

    fn runs(&self, replica: &Replica) -> bool {
        replica.ends_at.is_none_or(|at| self.now < at)
    }

    /// Replaces some replica by one of the newest version, which now and then is a further one.
    fn release(&mut self) {
        let share = match self.kind {
            // Most of the time a single version serves, until a region changes its own.
            Disturbance::Cuts | Disturbance::Stops => 0.01,
            _ => 0.06,
        };
        if !self.random.random_bool(share) {
            return;
        }
        if self.random.random_bool(0.3) {
            self.newest += 1;
        }
        let running: Vec<ReplicaId> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.ends_at.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        let id = &running[self.random.random_range(0..running.len())];
        let drain = Duration::from_millis(self.random.random_range(0..4_000));
        let now = self.now;
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        replica.ends_at = Some(now + drain);
        replica.entry.leaving = true;
        let region = replica.region;
        self.add_replica(region, self.newest);
    }

    /// Replaces all replicas of older versions by ones of the newest.
    fn finish_release(&mut self, at: Instant) {
        let mut regions = Vec::new();
        for replica in self.replicas.values_mut() {
            if replica.version == self.newest || replica.ends_at.is_some() {
                continue;
            }
            replica.ends_at = Some(at);
            replica.entry.leaving = true;
            regions.push(replica.region);
        }
        for region in regions {
            self.add_replica(region, self.newest);
        }
    }

    /// Replaces all replicas of a region by ones of a further version.
    fn change_region(&mut self) {
        let region = self.random.random_range(0..REGIONS.len());
        self.newest += 1;
        for replica in self.replicas.values_mut() {
            if replica.region == region && replica.ends_at.is_none() {
                replica.ends_at = Some(self.now + STEP);
                replica.entry.leaving = true;
            }
        }
        for _ in 0..2 {
            self.add_replica(region, self.newest);
        }
    }

    fn disturb(&mut self) {
        let (now, kind) = (self.now, self.kind);
        let index = self.random.random_range(0..self.nodes.len());
        let down = Duration::from_millis(self.random.random_range(200..2_000));
        match kind {
            Disturbance::Restarts if self.random.random_bool(0.05) => {
                self.nodes[index].restart(now, down);
            }
            Disturbance::MassRestarts if self.random.random_bool(0.01) => {
                for node in &mut self.nodes {
                    node.restart(now, down);
                }
            }
            Disturbance::LateRules if self.random.random_bool(0.01) => {
                for node in &mut self.nodes {
                    node.restart(now, down);
                    node.rules_at += down;
                }
                self.finish_release(now + down / 2);
            }
            Disturbance::Cuts if self.random.random_bool(0.04) => {
                let until = now + down * 4;
                let unnoticed = Duration::from_millis(self.random.random_range(UNNOTICED_MS));
                let node = &mut self.nodes[index];
                node.disturbed_at = until;
                node.store_cut = Some((now + unnoticed, until));
                if self.random.random_bool(0.5) {
                    node.net_cut_until = until;
                }
                if self.random.random_bool(0.3) {
                    self.change_region();
                } else {
                    self.finish_release(now);
                }
            }
            Disturbance::Stops if self.random.random_bool(0.04) => {
                let unread = Duration::from_millis(self.random.random_range(UNREAD_MS));
                let node = &mut self.nodes[index];
                node.still_until = now + down * 2;
                node.unread_until = node.still_until + unread;
                node.disturbed_at = node.unread_until;
                if self.random.random_bool(0.3) {
                    self.change_region();
                } else {
                    self.finish_release(now);
                }
            }
            _ => {}
        }
    }

    /// Lets nodes read the store, and write the versions that have served.
    fn sync_store(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            if !node.reads(now) {
                continue;
            }
            node.read_queue(now);
            let reaches = node.reaches_store(now);
            if node.serves(now) {
                node.longest.update(KEEP, now);
            }
            let keep = node.keep();
            if reaches {
                for (id, replica) in &self.replicas {
                    let listed = replica.ends_at.is_none_or(|at| now < at);
                    if replica.region == node.region && listed {
                        node.replicas.upsert(replica.entry.clone(), now);
                    } else {
                        node.replicas
                            .remove_entry(id, StoreRevision::default(), now);
                    }
                }
                node.replicas.tick(now);
            }
            let notices = node.store_cut.is_some_and(|(noticed, _)| now >= noticed);
            node.sees_new |= node
                .versions
                .update(&node.replicas, reaches || !notices, keep, now);
            node.origins.tick(now);
            if reaches && self.random.random_bool(RECORD_SHARE) {
                sync_record(node, &mut self.stored, now);
            }
        }
    }

    /// Returns whether a datagram between two nodes arrives.
    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let now = self.now;
        let connected = [from, to].into_iter().all(|index| {
            let node = &self.nodes[index];
            node.runs(now) && now >= node.net_cut_until
        });
        let sends = self.nodes[from].reads(now);
        sends && connected && !self.random.random_bool(LOSS)
    }

    /// Lets nodes send heartbeats: all of them, or those that have seen a new version.
    fn send_heartbeats(&mut self, all: bool) {
        let now = self.now;
        for from in 0..self.nodes.len() {
            if !std::mem::take(&mut self.nodes[from].sees_new) && !all {
                continue;
            }
            for to in 0..self.nodes.len() {
                if from == to || !self.arrives(from, to) {
                    continue;
                }
                let sender = &self.nodes[from];
                let region = RegionId::from(REGIONS[sender.region]);
                let mut info = member_info(&format!("n{from}"), &region, 0, 1);
                info.peer = sender.address;
                info.incarnation = sender.incarnation;
                let report = sender.versions.report(sender.keep(), now);
                let heartbeat = Datagram::Heartbeat(Box::new(info), report);
                self.nodes[to].receive(heartbeat, now);
            }
        }
    }

    /// Tells other nodes of the streams of a node whose version they could not tell.
    fn share(&mut self, from: usize) {
        let now = self.now;
        let sole = self.nodes[from].sole_version(now).is_some();
        let records = self.nodes[from].origins.take_unshared(|_| !sole, now);
        for record in records {
            let node = &self.nodes[from];
            let own = RegionId::from(REGIONS[node.region]);
            let others = others(node.region);
            let told = node
                .members
                .told_of(record.stream, &own, others.iter(), now);
            for target in told {
                let to = node_at(target.address);
                if !self.arrives(from, to) {
                    continue;
                }
                self.nodes[to].receive(Datagram::Origin(record), now);
                if target.passes_on {
                    self.pass_on(to, &record);
                }
            }
        }
    }

    fn pass_on(&mut self, from: usize, record: &OriginRecord) {
        let now = self.now;
        let node = &self.nodes[from];
        let own = RegionId::from(REGIONS[node.region]);
        if let Some(next) = node.members.passed_on_to(record.stream, &own, now) {
            let to = node_at(next);
            if self.arrives(from, to) {
                self.nodes[to].receive(Datagram::Origin(*record), now);
            }
        }
    }

    fn serving_nodes(&self) -> Vec<usize> {
        let indices = 0..self.nodes.len();
        let serving = indices.filter(|index| self.nodes[*index].serves(self.now));
        serving.collect()
    }

    fn begin_streams(&mut self) {
        let now = self.now;
        for _ in 0..STREAMS {
            let serving = self.serving_nodes();
            if serving.is_empty() {
                return;
            }
            let index = serving[self.random.random_range(0..serving.len())];
            let known: Vec<ReplicaId> = self.nodes[index]
                .replicas
                .rows()
                .filter(|state| state.leaving.is_none())
                .map(|state| state.entry.id.clone())
                .collect();
            let mut usable: Vec<&Replica> = known
                .iter()
                .filter_map(|id| self.replicas.get(id))
                .filter(|replica| self.runs(replica))
                .collect();
            let (_, recorded) = self.nodes[index].versions.recorded();
            usable.retain(|replica| recorded.contains(&origin(replica.version)));
            let unannounced = self.nodes[index].versions.unannounced(tag_of(SERVICE), now);
            let is_announced =
                |replica: &&Replica| !unannounced.contains(&origin(replica.version).version);
            if usable.iter().any(is_announced) {
                usable.retain(is_announced);
            }
            if usable.is_empty() {
                continue;
            }
            let version = usable[self.random.random_range(0..usable.len())].version;
            let digest = self.random.random();
            let node = &mut self.nodes[index];
            node.origins.note_begun(digest, origin(version), now + KEEP);
            self.share(index);
            let wait = Duration::from_millis(self.random.random_range(TAKE_UP_MS));
            self.streams.push(Stream {
                digest,
                version,
                due: now + wait,
            });
        }
    }

    /// Returns the only version that can have begun a stream, by what a node reads now.
    fn sole_version(&self, index: usize) -> Option<StreamOrigin> {
        let node = &self.nodes[index];
        let service = tag_of(SERVICE);
        if !node.reaches_store(self.now) || node.versions.shows_several(service, self.now) {
            return None;
        }
        let regions: Vec<RegionId> = REGIONS.map(RegionId::from).into();
        sole_recorded(&self.stored, regions.iter(), service, 0)
    }

    /// Returns what a node finds out about a stream.
    fn look_up(&mut self, index: usize, stream: ContentDigest) -> Option<StreamOrigin> {
        let now = self.now;
        let node = &self.nodes[index];
        let known = node.origins.get(stream, now);
        if let Some(found) = known.or_else(|| self.sole_version(index)) {
            return Some(found);
        }
        let own = RegionId::from(REGIONS[node.region]);
        let others = others(node.region);
        let asked = node.members.asked_for(stream, &own, others.iter(), now);
        for target in asked {
            let to = node_at(target.address);
            if !self.arrives(index, to) {
                continue;
            }
            let mut answering = vec![to];
            if target.passes_on {
                let contact = &self.nodes[to];
                let region = RegionId::from(REGIONS[contact.region]);
                let further = contact.members.asked_here(stream, &region, now);
                answering.extend(further.iter().map(|target| node_at(target.address)));
            }
            for other in answering {
                let found = self.nodes[other].origins.get(stream, now);
                if found.is_some() && self.arrives(to, other) && self.arrives(other, index) {
                    return found;
                }
            }
        }
        None
    }

    fn take_up_streams(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| stream.due <= now);
        self.streams = waiting;
        let due: Vec<Stream> = due;
        for stream in due {
            let serving = self.serving_nodes();
            if serving.is_empty() {
                continue;
            }
            let index = serving[self.random.random_range(0..serving.len())];
            let found = self.look_up(index, stream.digest);
            if let Some(found) = found {
                assert_eq!(
                    found,
                    origin(stream.version),
                    "a stream changes its version"
                );
            }
            let in_touch = now >= self.nodes[index].disturbed_at + CONTACT;
            let usable = self
                .replicas
                .values()
                .filter(|replica| replica.version == stream.version && replica.ends_at.is_none());
            if in_touch && usable.count() >= 2 {
                self.due += 1;
                self.went_on += u32::from(found.is_some());
            }
        }
    }

    fn run(&mut self) {
        let steps = (SIMULATED.as_millis() / STEP.as_millis()) as u32;
        for step in 0..steps {
            self.now = self.start + STEP * step;
            self.release();
            self.disturb();
            self.sync_store();
            self.send_heartbeats(step.is_multiple_of(5));
            for index in 0..self.nodes.len() {
                self.share(index);
            }
            self.begin_streams();
            self.take_up_streams();
        }
    }
}

/// Guards against streams that go on at another version whatever happens to the nodes, and against
/// refusing most of those that could go on.
#[test_case(Disturbance::Releases; "releases")]
#[test_case(Disturbance::Restarts; "restarts")]
#[test_case(Disturbance::MassRestarts; "mass_restarts")]
#[test_case(Disturbance::LateRules; "late_rules")]
#[test_case(Disturbance::Cuts; "cuts")]
#[test_case(Disturbance::Stops; "stops")]
fn streams_keep_their_version(kind: Disturbance) {
    let schedules = std::env::var("ZINNIA_SCHEDULES");
    let schedules = schedules.ok().and_then(|number| number.parse().ok());
    let mut shares = BTreeSet::new();
    for seed in 0..schedules.unwrap_or(SCHEDULES) {
        println!("seed {seed}");
        let mut fleet = Fleet::new(seed, kind);
        fleet.run();
        if fleet.due >= 12 {
            let share = fleet.went_on * 100 / fleet.due;
            assert!(share >= 50, "{} of {} went on", fleet.went_on, fleet.due);
            shares.insert(share);
        }
    }
    println!("went on, in 100: {shares:?}");
}
