//! What began streams, as the platform's store has it, so that it outlives all nodes.
//!
//! While several versions of a service are known, the node that forwards the first event of a stream
//! also tells one node of its region, chosen by the part of all streams to which it belongs. That
//! node writes what it was told in batches under keys of its own, which expire. Batches are never
//! changed, since what began a stream does not change: two nodes that take themselves for the
//! writer do each other no harm.

use crate::MemberTable;
use crate::OriginRecord;
use crate::StreamOrigin;
use crate::prompt::rendezvous_score;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// Number of parts into which streams are divided, which bounds the writers of a region.
pub const STREAM_SHARDS: u8 = 2;
/// Most streams that wait to be written, about 800 KB.
const MAX_WAITING: usize = 16_384;

/// Returns the part of all streams to which a stream belongs.
pub fn shard_of(stream: ContentDigest) -> u8 {
    (stream % u64::from(STREAM_SHARDS)) as u8
}

domain! {
    /// Streams that were written to the store at once.
    #[derive(Eq, Default)]
    pub struct StreamBatch {
        /// Era of the store in which they were written.
        pub era: u64,
        /// The streams by what began them.
        pub streams: BTreeMap<StreamOrigin, Vec<ContentDigest>>,
    }
}

impl StreamBatch {
    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.values().map(Vec::len).sum()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns what began a stream, by the batches that a store of this era has; `None` if they do not
/// tell it, or contradict each other.
pub fn recorded_origin(
    batches: &[StreamBatch],
    stream: ContentDigest,
    era: u64,
) -> Option<StreamOrigin> {
    let mut found = None;
    let rows = batches.iter().filter(|batch| batch.era == era);
    for (origin, streams) in rows.flat_map(|batch| &batch.streams) {
        if streams.contains(&stream) && *found.get_or_insert(*origin) != *origin {
            return None;
        }
    }
    found.filter(|origin: &StreamOrigin| origin.is_known())
}

/// Streams that wait to be written.
#[derive(Clone, Debug, Default)]
pub struct BatchOutbox {
    rows: BTreeSet<(ContentDigest, StreamOrigin)>,
    /// Until when some of them may be taken up.
    until: Option<Instant>,
}

impl BatchOutbox {
    /// Adds a stream; returns whether there was room.
    pub fn add(&mut self, record: &OriginRecord, now: Instant) -> bool {
        if self.rows.len() >= MAX_WAITING || !record.origin.is_known() {
            return false;
        }
        let until = now + Duration::from_millis(u64::from(record.left_ms));
        self.until = self.until.max(Some(until));
        self.rows.insert((record.stream, record.origin));
        true
    }

    /// Takes all streams, by their parts, and for how long some of them may be taken up; `None` if
    /// there are none.
    pub fn take(&mut self, now: Instant) -> Option<(BTreeMap<u8, StreamBatch>, Duration)> {
        let rows = std::mem::take(&mut self.rows);
        let left = self.until.take()?.checked_duration_since(now)?;
        let mut batches: BTreeMap<u8, StreamBatch> = BTreeMap::new();
        for (stream, origin) in rows {
            let batch = batches.entry(shard_of(stream)).or_default();
            batch.streams.entry(origin).or_default().push(stream);
        }
        Some((batches, left))
    }

    /// Adds streams that could not be written, as far as there is room.
    pub fn put_back(&mut self, batches: &BTreeMap<u8, StreamBatch>, left: Duration, now: Instant) {
        let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        for (origin, streams) in batches.values().flat_map(|batch| &batch.streams) {
            for stream in streams {
                let record = OriginRecord {
                    stream: *stream,
                    origin: *origin,
                    left_ms,
                };
                self.add(&record, now);
            }
        }
    }
}

impl MemberTable {
    /// Returns the node of its region that a node tells of the streams of a part, to write them to
    /// the store; `None` if that is the node itself.
    pub fn recorder_of(
        &self,
        shard: u8,
        own: ShortTag,
        region: &RegionId,
        now: Instant,
    ) -> Option<SocketAddrV4> {
        let seed = u64::from(shard);
        let first = self.scored_nodes(seed, region, now);
        let first = first.filter(|(_, row)| row.info.store_reachable);
        let (score, row) = first.max_by_key(|(score, _)| *score)?;
        (score > rendezvous_score(seed, own)).then_some(row.info.peer)
    }
}
