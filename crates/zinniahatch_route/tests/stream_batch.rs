//! What began streams, as nodes write it to the store and read it back after all have ended.

mod common;

use common::member_info;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::BatchOutbox;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::MemberTable;
use zinniahatch_route::OriginRecord;
use zinniahatch_route::STREAM_SHARDS;
use zinniahatch_route::StreamBatch;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::StreamOriginTable;
use zinniahatch_route::recorded_origin;
use zinniahatch_route::shard_of;

const KEEP: Duration = Duration::from_secs(10);
const ERA: u64 = 3;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin::new("s", Some(tag_of(version)))
}

fn record(stream: ContentDigest, version: &str, left_ms: u32) -> OriginRecord {
    OriginRecord {
        stream,
        origin: origin(version),
        left_ms,
    }
}

fn batch(era: u64, rows: &[(&str, &[ContentDigest])]) -> StreamBatch {
    let rows = rows.iter();
    let streams = rows.map(|(version, streams)| (origin(version), streams.to_vec()));
    StreamBatch {
        era,
        streams: streams.collect(),
    }
}

/// Guards against a stream that goes on at another version by what the store has of other streams, of an
/// era before a restore, or where batches contradict each other.
#[test_case(&[], None; "nothing")]
#[test_case(&[batch(ERA, &[("v1", &[1, 7])])], Some("v1"); "recorded")]
#[test_case(&[batch(ERA, &[("v1", &[1]), ("v1.1", &[2])])], None; "other_streams")]
#[test_case(&[batch(ERA, &[("v1", &[7])]), batch(ERA, &[("v1", &[7])])], Some("v1"); "written_twice")]
#[test_case(&[batch(ERA, &[("v1", &[7])]), batch(ERA, &[("v1.1", &[7])])], None; "contradiction")]
#[test_case(&[batch(ERA, &[("v1", &[7]), ("v1.1", &[7])])], None; "contradiction_in_a_batch")]
#[test_case(&[batch(ERA - 1, &[("v1", &[7])])], None; "earlier_era")]
fn recorded_origin_is_of_the_stream(batches: &[StreamBatch], version: Option<&str>) {
    assert_eq!(recorded_origin(batches, 7, ERA), version.map(origin));
}

/// Guards against a record of a version that is not known, which any replica could match.
#[test]
fn unknown_version_is_not_recorded() {
    let now = Instant::now();
    let unknown = OriginRecord {
        origin: StreamOrigin::new("s", None),
        ..record(7, "v1", 1_000)
    };
    let mut outbox = BatchOutbox::default();
    assert!(!outbox.add(&unknown, now));
    assert!(outbox.take(now).is_none());
    let mut written = batch(ERA, &[]);
    written.streams.insert(unknown.origin, vec![7]);
    assert_eq!(recorded_origin(&[written], 7, ERA), None);
}

/// Guards against streams that are lost between two writes, and against a lease that ends before one of
/// them.
#[test]
fn batches_hold_all_streams_for_the_longest_time() {
    let now = Instant::now();
    let mut outbox = BatchOutbox::default();
    for stream in 0..100 {
        assert!(outbox.add(&record(stream, "v1", 1_000 + 10 * stream as u32), now));
    }
    let (batches, left) = outbox.take(now).expect("there are streams");
    assert_eq!(left, Duration::from_millis(1_990));
    assert_eq!(batches.len(), usize::from(STREAM_SHARDS));
    for stream in 0..100 {
        let written = &batches[&shard_of(stream)];
        let found = recorded_origin(std::slice::from_ref(written), stream, written.era);
        assert_eq!(found, Some(origin("v1")));
    }
    assert!(outbox.take(now).is_none());
    outbox.put_back(&batches, left, now);
    assert_eq!(outbox.take(now), Some((batches, left)));
}

/// Guards against memory that grows while the store cannot be reached, and against writes of streams that
/// are over.
#[test]
fn waiting_streams_are_bounded() {
    let now = Instant::now();
    let mut outbox = BatchOutbox::default();
    let added = (0..40_000).filter(|stream| outbox.add(&record(*stream, "v1", 1_000), now));
    assert_eq!(added.count(), 16_384);
    assert!(outbox.take(now + KEEP).is_none());
    assert!(outbox.take(now).is_none());
}

/// Guards against streams that are written on a calm day, twice, after their time or by the wrong node.
#[test]
fn streams_are_recorded_once_and_only_where_it_matters() {
    let now = Instant::now();
    let mut origins = StreamOriginTable::default();
    origins.note_begun(1, origin("v1"), now + KEEP);
    origins.apply(&record(2, "v1", 1_000), now);
    assert!(origins.take_unrecorded(|_| false, now).is_empty());
    assert!(origins.take_unrecorded(|_| true, now + KEEP).is_empty());
    assert_eq!(origins.take_unrecorded(|_| true, now).len(), 1);
    assert!(origins.take_unrecorded(|_| true, now).is_empty());
    // Taken up, it may last longer.
    origins.note_begun(1, origin("v1"), now + KEEP + KEEP);
    assert_eq!(origins.take_unrecorded(|_| true, now).len(), 1);
}

fn member(number: u32, store_reachable: bool) -> MemberInfo {
    let address = Ipv4Addr::from(0x0a00_0000 + number);
    MemberInfo {
        incarnation: u64::from(number),
        store_reachable,
        peer: SocketAddrV4::new(address, 7_000),
        ..member_info(&format!("n{number}"), "north", 0, 1)
    }
}

/// Guards against streams that no node or each node writes: all nodes of a region agree on one that
/// reaches the store.
#[test]
fn nodes_of_a_region_agree_on_the_recorder() {
    const NODES: u32 = 12;
    let now = Instant::now();
    let infos: Vec<MemberInfo> = (0..NODES)
        .map(|number| member(number, number > 3))
        .collect();
    for shard in 0..STREAM_SHARDS {
        let mut chosen = BTreeSet::new();
        for own in infos.iter().filter(|info| info.store_reachable) {
            let mut members = MemberTable::default();
            for other in infos.iter().filter(|other| other.node != own.node) {
                members.update(other.clone(), false, now);
            }
            let recorder = members.recorder_of(shard, own.tag(), &own.region, now);
            chosen.insert(recorder.unwrap_or(own.peer));
        }
        assert_eq!(chosen.len(), 1);
        let mut able = infos.iter().filter(|info| info.store_reachable);
        assert!(able.any(|info| chosen.contains(&info.peer)));
    }
    let alone = MemberTable::default();
    assert_eq!(
        alone.recorder_of(0, infos[0].tag(), &infos[0].region, now),
        None
    );
}
