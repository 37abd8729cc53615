//! Which service and software version began each stream that its caller may take up again.
//!
//! What two versions write does not fit together, and a replica does not check which one began a
//! stream. Alternatives considered for who remembers it:
//!
//! - A record in the platform's store for each stream: 21,000 writes a second at the size designed
//!   for, where the store takes a few hundred.
//! - The node that began the stream, asked for by a broadcast: nothing for a stream that is never
//!   taken up, but each of the streams of a node that ended asks all nodes, and its memory has gone.
//! - A few nodes by the hash of the stream (chosen): while a single version serves, which all nodes
//!   can tell, a stream costs a row at its own node; otherwise three short datagrams as well,
//!   however many nodes there are. A stream that is taken up costs a few questions.

use zinniahatch_base::prelude::*;

/// Most streams that a node remembers, about 4 MB; those that expire first are evicted.
const MAX_ROWS: usize = 32_768;
/// Version that stands for one that is not known. It is no version's tag in practice, and matches
/// none.
const UNKNOWN_VERSION: ShortTag = 0;

domain! {
    /// What began a stream.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct StreamOrigin {
        /// Tag of the service.
        pub service: ShortTag,
        /// Tag of the version of the replica's software.
        pub version: ShortTag,
    }

    /// The origin of a stream, as one node sends it to another.
    #[derive(Copy, Eq)]
    pub struct OriginRecord {
        /// Digest of the id of the attempt that brought the first event.
        pub stream: ContentDigest,
        /// What began the stream.
        pub origin: StreamOrigin,
        /// Time for which it may be taken up, in ms.
        pub left_ms: u32,
    }
}

impl StreamOrigin {
    /// Returns the origin of a stream that a replica of a service began; no replica matches it if
    /// the version is not known.
    pub fn new(service: &str, version: Option<ShortTag>) -> Self {
        Self {
            service: tag_of(service),
            version: version.unwrap_or(UNKNOWN_VERSION),
        }
    }

    /// Returns whether the version is known.
    pub fn is_known(self) -> bool {
        self.version != UNKNOWN_VERSION
    }
}

/// A remembered stream.
#[derive(Clone, Copy, Debug)]
struct OriginRow {
    origin: StreamOrigin,
    until: Instant,
    /// Whether this node began the stream and has not told other nodes.
    unshared: bool,
    /// Whether this node began the stream and has not told the node that writes it to the store.
    unrecorded: bool,
}

impl OriginRow {
    fn record(&self, stream: ContentDigest, now: Instant) -> OriginRecord {
        let left = self.until.saturating_duration_since(now);
        OriginRecord {
            stream,
            origin: self.origin,
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// The streams that a node remembers.
#[derive(Clone, Debug, Default)]
pub struct StreamOriginTable {
    rows: BTreeMap<ContentDigest, OriginRow>,
    /// The streams by the time at which they are forgotten.
    expiries: BTreeSet<(Instant, ContentDigest)>,
}

impl StreamOriginTable {
    /// Remembers a stream whose first event this node forwards to its caller.
    pub fn note_begun(&mut self, stream: ContentDigest, origin: StreamOrigin, until: Instant) {
        self.insert(stream, origin, until, true);
    }

    /// Remembers a stream of another node.
    pub fn apply(&mut self, record: &OriginRecord, now: Instant) {
        let until = now + Duration::from_millis(u64::from(record.left_ms));
        self.insert(record.stream, record.origin, until, false);
    }

    /// The first origin of a stream stands: a later one can only be a mistake, and the time until
    /// which it is remembered only grows.
    fn insert(
        &mut self,
        stream: ContentDigest,
        origin: StreamOrigin,
        until: Instant,
        unshared: bool,
    ) {
        let row = self.rows.entry(stream).or_insert(OriginRow {
            origin,
            until,
            unshared,
            unrecorded: unshared,
        });
        if until > row.until {
            self.expiries.remove(&(row.until, stream));
            row.until = until;
            row.unshared |= unshared;
            row.unrecorded |= unshared;
        }
        self.expiries.insert((row.until, stream));
        while self.rows.len() > MAX_ROWS {
            if let Some((_, first)) = self.expiries.pop_first() {
                self.rows.remove(&first);
            }
        }
    }

    /// Returns what began a stream, if this node knows it.
    pub fn get(&self, stream: ContentDigest, now: Instant) -> Option<StreamOrigin> {
        let row = self.rows.get(&stream)?;
        (row.until > now).then_some(row.origin)
    }

    /// Returns a stream of this node that other nodes were not told of, and marks it as told.
    pub fn take_record(&mut self, stream: ContentDigest, now: Instant) -> Option<OriginRecord> {
        let row = self.rows.get_mut(&stream).filter(|row| row.unshared)?;
        row.unshared = false;
        Some(row.record(stream, now))
    }

    /// Returns what began a stream as it is told to other nodes, if this node knows it.
    pub fn record(&self, stream: ContentDigest, now: Instant) -> Option<OriginRecord> {
        let row = self.rows.get(&stream).filter(|row| row.until > now)?;
        Some(row.record(stream, now))
    }

    /// Returns the streams of this node that other nodes were not told of, as far as `matters` says
    /// that their origin matters, and marks them as told.
    pub fn take_unshared(
        &mut self,
        mut matters: impl FnMut(StreamOrigin) -> bool,
        now: Instant,
    ) -> Vec<OriginRecord> {
        let mut records = Vec::new();
        for (stream, row) in &mut self.rows {
            if !row.unshared || !matters(row.origin) {
                continue;
            }
            row.unshared = false;
            records.push(row.record(*stream, now));
        }
        records
    }

    /// Returns the streams of this node that are to be written to the store, as far as `matters` says
    /// that their origin matters, and marks them as told.
    pub fn take_unrecorded(
        &mut self,
        mut matters: impl FnMut(StreamOrigin) -> bool,
        now: Instant,
    ) -> Vec<OriginRecord> {
        let mut records = Vec::new();
        for (stream, row) in &mut self.rows {
            if !row.unrecorded || row.until <= now || !matters(row.origin) {
                continue;
            }
            row.unrecorded = false;
            records.push(row.record(*stream, now));
        }
        records
    }

    /// Forgets the streams that can no longer be taken up.
    pub fn tick(&mut self, now: Instant) {
        while let Some((until, stream)) = self.expiries.first().copied() {
            if until > now {
                return;
            }
            self.expiries.pop_first();
            self.rows.remove(&stream);
        }
    }

    /// Returns the number of streams remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
