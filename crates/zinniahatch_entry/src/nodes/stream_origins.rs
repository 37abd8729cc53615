//! Remembers with other nodes which version began a stream, and asks them when a caller takes one up.
//!
//! While the service has a single version, which each node can tell, nothing is sent. Otherwise the
//! node that forwards the first event tells two nodes of its region and one of another region, which
//! passes it on to one more there. They are found again by the hash of the stream, whichever node
//! the caller comes to and whether or not the first one still runs.

use crate::core::EntryCore;
use crate::nodes::gossip_message::GossipMessage;
use std::net::SocketAddrV4;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;
use zinniahatch_route::OriginRecord;
use zinniahatch_route::StreamOrigin;

/// Nodes of the own region that are told of a stream.
const HOLDERS: usize = 2;
/// Nodes of a region that are asked: two nodes may disagree on one of the first three.
const ASKED: usize = 3;
/// Time after which the question is repeated, since datagrams may be lost; longer than a round trip
/// between regions.
const REPEAT_AFTER: Duration = Duration::from_millis(250);
/// Time for which the answer is awaited.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of streams in a datagram: about 16 bytes each, so that they fit in one packet.
const MAX_RECORDS: usize = 64;

/// Question of a node for the origin of a stream.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct OriginQuery {
    /// The stream.
    stream: ContentDigest,
    /// Where the answer goes.
    reply_to: SocketAddrV4,
    /// Whether the receiver asks the other nodes of its region if it does not know.
    relay: bool,
}

/// Returns the regions other than the own one.
fn other_regions(core: &EntryCore) -> BTreeSet<&RegionId> {
    let regions = core.settings.regions.values();
    regions
        .filter(|region| **region != core.settings.region)
        .collect()
}

/// Returns the only version of a service that can have begun a stream; `None` if there are several,
/// or if this node cannot tell.
pub(crate) fn sole_version(core: &EntryCore, service: ShortTag) -> Option<StreamOrigin> {
    let others = other_regions(core);
    let versions = core.versions.borrow();
    let keep = core.stream_time.get();
    versions.sole_version(
        service,
        &core.settings.region,
        others.into_iter(),
        keep,
        Instant::now(),
    )
}

/// Takes over the versions of the replicas of this region, forgets streams that are over, and tells
/// other nodes of streams that began before a second version appeared.
pub(crate) fn update_versions(core: &EntryCore, now: Instant) {
    let longest = core.routes.borrow().longest_resumable();
    core.stream_time.set(longest);
    {
        let replicas = core.replicas.borrow();
        let follows = core.has_listed_replicas() && !replicas.store_failed_recently(now);
        let mut versions = core.versions.borrow_mut();
        versions.update(&replicas, follows, longest, now);
    }
    core.stream_origins.borrow_mut().tick(now);
    share_origins(core, now);
}

/// Remembers what began a stream, whose first event goes to its caller now.
///
/// Where the route is split over services, a node that the caller comes to later cannot tell which
/// of them began it, even if each has a single version.
pub(crate) fn note_begun(
    core: &EntryCore,
    stream: ContentDigest,
    origin: StreamOrigin,
    until: Instant,
    is_split: bool,
) {
    let now = Instant::now();
    let mut origins = core.stream_origins.borrow_mut();
    origins.note_begun(stream, origin, until);
    if !is_split && sole_version(core, origin.service).is_some() {
        return;
    }
    let record = origins.take_record(stream, now);
    drop(origins);
    share_records(core, record.into_iter(), now);
}

/// Tells other nodes of this node's streams whose version they could not tell by themselves.
fn share_origins(core: &EntryCore, now: Instant) {
    let mut sole = BTreeMap::new();
    let mut origins = core.stream_origins.borrow_mut();
    let records = origins.take_unshared(
        |origin| {
            let known = sole.entry(origin.service);
            !*known.or_insert_with(|| sole_version(core, origin.service).is_some())
        },
        now,
    );
    drop(origins);
    share_records(core, records.into_iter(), now);
}

fn share_records(core: &EntryCore, records: impl Iterator<Item = OriginRecord>, now: Instant) {
    let mut batches: BTreeMap<(SocketAddrV4, bool), Vec<OriginRecord>> = BTreeMap::new();
    let members = core.members.borrow();
    for record in records {
        for holder in members.holders_of(record.stream, &core.settings.region, HOLDERS, now) {
            batches.entry((holder, false)).or_default().push(record);
        }
        let elsewhere: Vec<SocketAddrV4> = other_regions(core)
            .into_iter()
            .flat_map(|region| members.holders_of(record.stream, region, 1, now))
            .collect();
        if let Some(count) = std::num::NonZeroU64::new(elsewhere.len() as u64) {
            let contact = elsewhere[(record.stream % count) as usize];
            batches.entry((contact, true)).or_default().push(record);
        }
    }
    drop(members);
    for ((to, remote), batch) in batches {
        for part in batch.chunks(MAX_RECORDS) {
            let part = part.to_vec();
            let message = if remote {
                GossipMessage::RemoteOrigins(part)
            } else {
                GossipMessage::StreamOrigins(part)
            };
            send(core, &message, to);
        }
    }
}

/// Handles streams of another node; those of another region are passed on to one more node of this.
pub(crate) fn handle_origins(core: &EntryCore, records: &[OriginRecord], pass_on: bool) {
    let now = Instant::now();
    let mut origins = core.stream_origins.borrow_mut();
    for record in records {
        origins.apply(record, now);
    }
    drop(origins);
    core.origin_learned.notify_waiters();
    if !pass_on {
        return;
    }
    let members = core.members.borrow();
    for record in records {
        let holders = members.holders_of(record.stream, &core.settings.region, 1, now);
        for holder in holders {
            send(core, &GossipMessage::StreamOrigins(vec![*record]), holder);
        }
    }
}

/// Answers a question, or passes it on to the nodes of this region that may know.
pub(crate) fn handle_query(core: &EntryCore, query: OriginQuery) {
    let now = Instant::now();
    let known = core.stream_origins.borrow().record(query.stream, now);
    if let Some(record) = known {
        send(
            core,
            &GossipMessage::StreamOrigins(vec![record]),
            query.reply_to,
        );
        return;
    }
    if query.relay {
        let relayed = OriginQuery {
            relay: false,
            ..query
        };
        ask_region(core, relayed, &core.settings.region, ASKED, now);
    }
}

fn ask_region(core: &EntryCore, query: OriginQuery, region: &str, count: usize, now: Instant) {
    let asked = core
        .members
        .borrow()
        .holders_of(query.stream, region, count, now);
    for to in asked {
        send(core, &GossipMessage::OriginQuery(query), to);
    }
}

/// Asks other nodes what began a stream, and waits for the answer.
pub(crate) async fn ask_origin(core: &EntryCore, stream: ContentDigest) -> Option<StreamOrigin> {
    let deadline = Instant::now() + LOOKUP_TIMEOUT;
    let mut repeat_at = Instant::now();
    loop {
        let now = Instant::now();
        let learned = core.origin_learned.notified();
        if let Some(origin) = core.stream_origins.borrow().get(stream, now) {
            return Some(origin);
        }
        if now >= deadline {
            return None;
        }
        if now >= repeat_at {
            repeat_at = now + REPEAT_AFTER;
            let mut query = OriginQuery {
                stream,
                reply_to: core.settings.listen.peer,
                relay: false,
            };
            ask_region(core, query, &core.settings.region, ASKED, now);
            query.relay = true;
            for region in other_regions(core) {
                ask_region(core, query, region, 1, now);
            }
        }
        tokio::select! {
            () = learned => {}
            () = sleep_until(repeat_at.min(deadline).into()) => {}
        }
    }
}

fn send(core: &EntryCore, message: &GossipMessage, to: SocketAddrV4) {
    let (Some(socket), Ok(bytes)) = (core.peer_socket.get(), postcard::to_allocvec(message)) else {
        return;
    };
    core.metrics
        .messages
        .note_datagram(message.kind(), bytes.len());
    // A datagram that cannot be sent counts as lost.
    let _ = socket.try_send_to(&bytes, to.into());
}
