//! Frames: the batch of messages that a node sends to another in one tick.

use crate::DataCentreSummary;
use crate::Heartbeat;
use crate::SlotGrant;
use crate::SlotReport;
use thiserror::Error;
use zinniahatch_base::prelude::*;

/// Maximum frame size; a larger frame is rejected before it is decoded.
///
/// A configuration part takes up to 1 MB in the store, and a frame must fit at least one part.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Length of the message authentication code (MAC) in front of each frame.
const MAC_BYTES: usize = 16;

/// Key derivation context of the frame key; it separates this use of the secret from others.
const KEY_CONTEXT: &str = "zinniahatch 2026 frames between nodes";

domain! {
    /// A frame between two nodes.
    pub struct NodeFrame {
        /// The sending node.
        pub sender: NodeId,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Data centre of the sender.
        pub data_centre: DataCentreId,
        /// The sender's address for control messages.
        pub peer: Box<str>,
        /// The newest configuration revision that the sender holds completely.
        pub revision: Revision,
        /// The messages.
        pub messages: Vec<NodeMessage>,
    }

    /// A message between two nodes.
    pub enum NodeMessage {
        /// Liveness of the sender and the pool statuses it publishes.
        Heartbeat(Heartbeat),
        /// Requests the receiver's configuration head: its newest revision and the digests of the
        /// parts of that revision.
        HeadPull,
        /// The configuration head as JSON.
        HeadOffer(Box<str>),
        /// Requests configuration parts by digest.
        PartPull(Vec<PartHash>),
        /// Texts of configuration parts; the receiver verifies each digest.
        PartOffer(Vec<Box<str>>),
        /// Slots that the sender holds and needs, sent to the pool coordinator.
        Report(SlotReport),
        /// Slots that a pool coordinator leases to the receiver.
        Grant(SlotGrant),
        /// Capacity summary of another data centre.
        Summary(DataCentreSummary),
        /// Addresses of members that the receiver may not know.
        Members(Vec<(NodeId, DataCentreId, Box<str>)>),
        /// Usage counts, sent to the node that merges their shard into the store. Until then, the
        /// sender and the merging node each keep a copy.
        Counts(SealedCounts),
        /// Confirms that batches of counts are in the store: shard, incarnation that sealed
        /// them, batch numbers.
        CountsMerged(u16, Incarnation, Vec<u64>),
    }

    /// A sealed batch of usage counts of one shard of accounts.
    pub struct SealedCounts {
        /// Number of the shard to which the accounts are assigned.
        pub shard: u16,
        /// Increases with each sealed batch of the shard.
        pub number: u64,
        /// Minutes since the epoch at which the batch was sealed.
        pub minute: u64,
        /// Whether the sender is stopping and this is its last batch.
        pub last: bool,
        /// The count table, encoded with postcard.
        pub rows: Vec<u8>,
    }
}

/// Why a frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum FrameError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("the frame is too large")]
    TooLarge,
    /// The MAC does not match: a different secret, or not a frame.
    #[error("frame authentication failed: not signed with the shared secret")]
    Forged,
    /// The MAC matches but the content cannot be decoded: a different version.
    #[error("the frame cannot be decoded")]
    Malformed,
}

/// Encodes and decodes frames that are authenticated with the shared secret.
#[derive(Clone)]
pub struct FrameCodec {
    key: [u8; 32],
}

impl FrameCodec {
    /// Creates a codec from the shared secret of the settings.
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }

    /// Encodes a frame.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::TooLarge`] for a frame that receivers would reject.
    pub fn encode(&self, frame: &NodeFrame) -> Result<Vec<u8>, FrameError> {
        let mac_placeholder = vec![0_u8; MAC_BYTES];
        let mut bytes =
            postcard::to_extend(frame, mac_placeholder).map_err(|_| FrameError::Malformed)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let mac = blake3::keyed_hash(&self.key, &bytes[MAC_BYTES..]);
        bytes[..MAC_BYTES].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        Ok(bytes)
    }

    /// Decodes a frame.
    ///
    /// The MAC is verified before decoding, so an unauthenticated frame costs one hash.
    ///
    /// # Errors
    ///
    /// Returns why the frame was rejected.
    pub fn decode(&self, bytes: &[u8]) -> Result<NodeFrame, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let Some((received_mac, content)) = bytes.split_at_checked(MAC_BYTES) else {
            return Err(FrameError::Forged);
        };
        let mac = blake3::keyed_hash(&self.key, content);
        let mut expected = [0_u8; 32];
        expected[..MAC_BYTES].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        let mut received = [0_u8; 32];
        received[..MAC_BYTES].copy_from_slice(received_mac);
        // `blake3::Hash` compares in constant time.
        if blake3::Hash::from_bytes(expected) != blake3::Hash::from_bytes(received) {
            return Err(FrameError::Forged);
        }
        postcard::from_bytes(content).map_err(|_| FrameError::Malformed)
    }
}
