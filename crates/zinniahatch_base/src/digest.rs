//! BLAKE3 digests of text and fields, short name tags and rendezvous hashing ranks.

use crate::AccountTag;
use crate::ContentDigest;
use crate::PartHash;
use crate::ShortTag;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// Length to which digests are truncated; at 128 bits an accidental collision is implausible.
const DIGEST_BYTES: usize = 16;

/// The digest of an API key, used for lookups; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of an API key.
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&blake3::hash(key).as_bytes()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Parses the hexadecimal form used in messages between nodes.
    pub fn parse(hex: &str) -> Option<Self> {
        if !hex.is_ascii() || hex.len() != DIGEST_BYTES * 2 {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[index * 2..index * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// Returns the hexadecimal form that [`KeyDigest::parse`] reads.
    pub fn hex(&self) -> Box<str> {
        let digits = self.0.iter().map(|byte| format!("{byte:02x}"));
        digits.collect::<String>().into()
    }

    /// Returns the raw bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes the type name only, so that the digest never reaches a log.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// Returns the content address of a text as 32 hexadecimal digits.
///
/// # Examples
///
/// ```
/// assert_eq!(zinniahatch_base::digest_text("a").len(), 32);
/// ```
pub fn digest_text(text: &str) -> PartHash {
    let hash = blake3::hash(text.as_bytes());
    let hex = hash.to_hex();
    Box::from(&hex.as_str()[..DIGEST_BYTES * 2])
}

/// Returns the short tag of a name, the first 32 bits of its hash.
pub fn tag_of(name: &str) -> ShortTag {
    let hash = blake3::hash(name.as_bytes());
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Returns the 64-bit tag of a client account.
///
/// Usage is accounted per tag, so it is long enough to rule out collisions between accounts in practice.
pub fn account_tag(name: &str) -> AccountTag {
    leading_u64(&blake3::hash(name.as_bytes()))
}

/// Returns the digest of several fields, each prefixed with its length.
///
/// 64 bits suffice: with ten million contents during the retention time of a digest and a few thousand
/// digests retained, the probability of any collision with a retained digest is below 1 in 100 million.
pub fn digest_fields(fields: &[&[u8]]) -> ContentDigest {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    leading_u64(&hasher.finalize())
}

/// Returns the rendezvous hashing rank of a member for an object; the member ranked highest owns it.
///
/// When a member joins or leaves, only the objects that it owns change owner, which keeps recoveries
/// small with hundreds of VM replacements a day.
pub fn rendezvous_rank(object: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(object.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    leading_u64(&hasher.finalize())
}

fn leading_u64(hash: &blake3::Hash) -> u64 {
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
