//! Frames: all that one node has to say to another in one tick.

use crate::CentreSummary;
use crate::HeartbeatNote;
use crate::SlotGrant;
use crate::SlotReport;
use thiserror::Error;
use zinniahatch_base::prelude::*;

/// Largest frame that is read; a larger one is refused before it is decoded.
///
/// A configuration part holds up to a megabyte in the store, and a frame carries one part at least.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Bytes of the message authentication code before each frame.
const MAC_BYTES: usize = 16;

/// Context string from which the frame key is derived, so that the secret serves other uses too.
const KEY_CONTEXT: &str = "zinniahatch 2026 frames between nodes";

domain! {
    /// One frame.
    pub struct NodeFrame {
        /// The sending node.
        pub sender: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Its address for control messages.
        pub peer: Box<str>,
        /// The newest revision it holds in full.
        pub revision: Revision,
        /// What it has to say.
        pub messages: Vec<NodeMessage>,
    }

    /// One message.
    pub enum NodeMessage {
        /// The sender lives, and what it knows of pools.
        Heartbeat(HeartbeatNote),
        /// Asks for the receiver's configuration head.
        HeadPull,
        /// The encoded configuration head.
        HeadOffer(Box<str>),
        /// Asks for parts by digest.
        PartPull(Vec<PartHash>),
        /// The texts of parts; the receiver checks each digest.
        PartOffer(Vec<Box<str>>),
        /// What a node holds and needs of a pool, to its keeper.
        Report(SlotReport),
        /// What a keeper lets a node hold of a pool.
        Grant(SlotGrant),
        /// The state of another data centre.
        Summary(CentreSummary),
        /// Addresses of members the receiver may not know.
        Members(Vec<(NodeId, DataCentreId, Box<str>)>),
        /// Counts of what accounts were given, to their merger, who keeps them as the second copy.
        Counts(CountsNote),
        /// These numbers of a shard's counts of the receiver's incarnation are in the store.
        CountsMerged(u16, Incarnation, Vec<u64>),
    }

    /// Sealed counts of one shard of accounts.
    pub struct CountsNote {
        /// The shard.
        pub shard: u16,
        /// Rises with each sealed sheet of the shard.
        pub number: u64,
        /// Minute of the sealing, from the epoch.
        pub minute: u64,
        /// Whether the sender stops and no counts follow.
        pub last: bool,
        /// The encoded sheet.
        pub rows: Vec<u8>,
    }
}

/// Why a frame was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum FrameError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("the frame is too large")]
    TooLarge,
    /// The code does not fit: another secret, or garbage.
    #[error("the frame was not made with the shared secret")]
    Forged,
    /// The code fits but the content cannot be read: another version.
    #[error("the frame cannot be decoded")]
    Malformed,
}

/// Encodes and decodes frames under the shared secret.
#[derive(Clone)]
pub struct FrameCodec {
    key: [u8; 32],
}

impl FrameCodec {
    /// Makes a codec from the secret of the settings.
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }

    /// Encodes a frame.
    ///
    /// # Errors
    ///
    /// Refuses a frame that no receiver would take.
    pub fn encode(&self, frame: &NodeFrame) -> Result<Vec<u8>, FrameError> {
        let head = vec![0_u8; MAC_BYTES];
        let mut bytes = postcard::to_extend(frame, head).map_err(|_| FrameError::Malformed)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let mac = blake3::keyed_hash(&self.key, &bytes[MAC_BYTES..]);
        bytes[..MAC_BYTES].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        Ok(bytes)
    }

    /// Decodes a frame.
    ///
    /// The code is checked before anything is decoded, so garbage from outside costs one hash.
    ///
    /// # Errors
    ///
    /// Says why the frame was refused.
    pub fn decode(&self, bytes: &[u8]) -> Result<NodeFrame, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let Some((code, content)) = bytes.split_at_checked(MAC_BYTES) else {
            return Err(FrameError::Forged);
        };
        let mac = blake3::keyed_hash(&self.key, content);
        let mut expected = [0_u8; 32];
        expected[..MAC_BYTES].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        let mut given = [0_u8; 32];
        given[..MAC_BYTES].copy_from_slice(code);
        // The library's comparison takes the same time for every input.
        if blake3::Hash::from_bytes(expected) != blake3::Hash::from_bytes(given) {
            return Err(FrameError::Forged);
        }
        postcard::from_bytes(content).map_err(|_| FrameError::Malformed)
    }
}
