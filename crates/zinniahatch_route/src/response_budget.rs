//! What may be read of a response that is not given to a caller.
//!
//! Memory bounds what is kept of a response. What is read and dropped needs bounds of its own: a replica
//! that sends it without end takes the time of all other requests of the node.

/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 64;
/// Maximum number of responses to other attempts before a response. A connection carries one request at a
/// time, so more than a few are no late responses.
const MAX_FOREIGN_RESPONSES: u32 = 8;
/// Maximum number of bytes of bodies that are read only to reach what follows them.
const MAX_DISCARDED_BYTES: u64 = 1 << 20;
/// Maximum number of bytes of all trailers of a body.
const MAX_TRAILER_BYTES: u64 = 16 << 10;
/// Maximum number of bytes of all chunk extensions of a body.
const MAX_EXTENSION_BYTES: u64 = 16 << 10;

/// Bytes that are handled before other tasks get their turn.
const TURN_BYTES: usize = 64 << 10;
/// Bytes that a step counts for in addition to what it handles, so that many small ones end a turn too.
const STEP_BYTES: usize = 512;

/// A bound on what is read of a response and not given to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadBound {
    /// On the number of interim responses.
    InterimResponses,
    /// On the number of responses to other attempts.
    ForeignResponses,
    /// On the bytes of bodies that are discarded.
    DiscardedBytes,
    /// On the bytes of trailers.
    TrailerBytes,
    /// On the bytes of chunk extensions.
    ExtensionBytes,
    /// On the bytes of a body that is kept whole.
    KeptBytes,
}

impl ReadBound {
    /// Returns the name used as a metric label and in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::InterimResponses => "interim_responses",
            Self::ForeignResponses => "foreign_responses",
            Self::DiscardedBytes => "discarded_bytes",
            Self::TrailerBytes => "trailer_bytes",
            Self::ExtensionBytes => "extension_bytes",
            Self::KeptBytes => "kept_bytes",
        }
    }
}

/// What was read of the response to one request and not given to a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseBudget {
    interim_responses: u32,
    foreign_responses: u32,
    discarded_bytes: u64,
}

impl ResponseBudget {
    /// Counts an interim response.
    ///
    /// # Errors
    ///
    /// There are too many.
    pub fn note_interim(&mut self) -> Result<(), ReadBound> {
        self.interim_responses += 1;
        check(
            self.interim_responses <= MAX_INTERIM_RESPONSES,
            ReadBound::InterimResponses,
        )
    }

    /// Counts a response to another attempt, whose body has this length if it is known.
    ///
    /// # Errors
    ///
    /// There are too many, or the body is too long to be discarded.
    pub fn note_foreign(&mut self, length: Option<u64>) -> Result<(), ReadBound> {
        self.foreign_responses += 1;
        check(
            self.foreign_responses <= MAX_FOREIGN_RESPONSES,
            ReadBound::ForeignResponses,
        )?;
        let bytes = self.discarded_bytes.saturating_add(length.unwrap_or(0));
        check(bytes <= MAX_DISCARDED_BYTES, ReadBound::DiscardedBytes)
    }

    /// Counts bytes of a body that are discarded.
    ///
    /// # Errors
    ///
    /// There are too many.
    pub fn note_discarded(&mut self, bytes: usize) -> Result<(), ReadBound> {
        self.discarded_bytes = self.discarded_bytes.saturating_add(bytes as u64);
        check(
            self.discarded_bytes <= MAX_DISCARDED_BYTES,
            ReadBound::DiscardedBytes,
        )
    }
}

/// What was read of the framing of a chunked body beside the sizes of its chunks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkBudget {
    trailer_bytes: u64,
    extension_bytes: u64,
}

impl ChunkBudget {
    /// Counts bytes of a trailer.
    ///
    /// # Errors
    ///
    /// There are too many.
    pub fn note_trailer(&mut self, bytes: usize) -> Result<(), ReadBound> {
        self.trailer_bytes = self.trailer_bytes.saturating_add(bytes as u64);
        check(
            self.trailer_bytes <= MAX_TRAILER_BYTES,
            ReadBound::TrailerBytes,
        )
    }

    /// Counts bytes of a chunk extension.
    ///
    /// # Errors
    ///
    /// There are too many.
    pub fn note_extension(&mut self, bytes: usize) -> Result<(), ReadBound> {
        self.extension_bytes = self.extension_bytes.saturating_add(bytes as u64);
        check(
            self.extension_bytes <= MAX_EXTENSION_BYTES,
            ReadBound::ExtensionBytes,
        )
    }
}

/// How much a task has handled since other tasks had their turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadTurn {
    bytes: usize,
}

impl ReadTurn {
    /// Counts a step that handled some bytes.
    pub fn note_step(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_add(bytes).saturating_add(STEP_BYTES);
    }

    /// Returns whether the turn is over, and begins the next one if it is.
    pub fn take_end(&mut self) -> bool {
        let ended = self.bytes >= TURN_BYTES;
        if ended {
            self.bytes = 0;
        }
        ended
    }
}

fn check(holds: bool, bound: ReadBound) -> Result<(), ReadBound> {
    if holds { Ok(()) } else { Err(bound) }
}
