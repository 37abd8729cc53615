//! Remembers with other nodes which version began a stream, and asks them when a caller takes one up.
//!
//! While the service has a single version, which each node can tell, nothing is sent. Otherwise the
//! node that forwards the first event tells two nodes of its region and one of another region, which
//! passes it on to one more there. They are found again by the hash of the stream, whichever node
//! the caller comes to and whether or not the first one still runs.

use crate::core::EntryCore;
use crate::nodes::gossip_message::GossipMessage;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddrV4;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;
use zinniahatch_route::LookupTarget;
use zinniahatch_route::OriginRecord;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::shard_of;

/// Time after which the question is repeated, since datagrams may be lost; longer than a round trip
/// between regions.
const REPEAT_AFTER: Duration = Duration::from_millis(250);
/// Time for which the answer is awaited.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of streams in a datagram: about 24 bytes each, so that they fit in one packet.
const MAX_RECORDS: usize = 48;

/// Question of a node for the origin of a stream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
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
    let keep = core.longest_stream.get().limit();
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
    let mut longest_stream = core.longest_stream.get();
    if core.desired.borrow().is_some() {
        longest_stream.update(core.routes.borrow().longest_resumable(), now);
    }
    core.longest_stream.set(longest_stream);
    let longest = longest_stream.limit();
    {
        let replicas = core.replicas.borrow();
        let follows = core.has_listed_replicas() && !replicas.store_failed_recently(now);
        let mut versions = core.versions.borrow_mut();
        if versions.update(&replicas, follows, longest, now) {
            core.version_seen.notify_one();
            core.record_wanted.notify_one();
        }
    }
    core.stream_origins.borrow_mut().tick(now);
    share_origins(core, now);
    record_origins(core, now);
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

/// Tells the nodes that write to the store of this node's streams whose service has several versions.
fn record_origins(core: &EntryCore, now: Instant) {
    let mut several = BTreeMap::new();
    let versions = core.versions.borrow();
    let records = core.stream_origins.borrow_mut().take_unrecorded(
        |origin| {
            let known = several.entry(origin.service);
            *known.or_insert_with(|| versions.shows_several(origin.service, now))
        },
        now,
    );
    drop(versions);
    let mut shards: BTreeMap<u8, Vec<OriginRecord>> = BTreeMap::new();
    for record in records {
        let shard = shards.entry(shard_of(record.stream)).or_default();
        shard.push(record);
    }
    for (shard, records) in shards {
        let members = core.members.borrow();
        let recorder = members.recorder_of(shard, core.origin(), &core.settings.region, now);
        drop(members);
        let Some(recorder) = recorder else {
            add_to_record(core, &records, now);
            continue;
        };
        for part in records.chunks(MAX_RECORDS) {
            let message = GossipMessage::StreamsToRecord(part.to_vec());
            send(core, &message, recorder);
        }
    }
}

/// Adds streams to those that this node writes to the store.
pub(crate) fn add_to_record(core: &EntryCore, records: &[OriginRecord], now: Instant) {
    let mut outbox = core.record_outbox.borrow_mut();
    for record in records {
        if !outbox.add(record, now) {
            core.metrics.note_store("streams", "dropped");
        }
    }
}

fn share_records(core: &EntryCore, records: impl Iterator<Item = OriginRecord>, now: Instant) {
    let mut batches: BTreeMap<LookupTarget, Vec<OriginRecord>> = BTreeMap::new();
    let members = core.members.borrow();
    let own = &core.settings.region;
    for record in records {
        let others = other_regions(core).into_iter();
        for target in members.told_of(record.stream, own, others, now) {
            batches.entry(target).or_default().push(record);
        }
    }
    drop(members);
    for (target, batch) in batches {
        for part in batch.chunks(MAX_RECORDS) {
            let part = part.to_vec();
            let message = if target.passes_on {
                GossipMessage::RemoteOrigins(part)
            } else {
                GossipMessage::StreamOrigins(part)
            };
            send(core, &message, target.address);
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
        if let Some(holder) = members.passed_on_to(record.stream, &core.settings.region, now) {
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
        let members = core.members.borrow();
        let asked = members.asked_here(query.stream, &core.settings.region, now);
        ask(core, query, asked);
    }
}

fn ask(core: &EntryCore, query: OriginQuery, asked: Vec<LookupTarget>) {
    for target in asked {
        let query = OriginQuery {
            relay: target.passes_on,
            ..query
        };
        send(core, &GossipMessage::OriginQuery(query), target.address);
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
            let query = OriginQuery {
                stream,
                reply_to: core.settings.listen.peer,
                relay: false,
            };
            let own = &core.settings.region;
            let others = other_regions(core).into_iter();
            let members = core.members.borrow();
            ask(core, query, members.asked_for(stream, own, others, now));
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
