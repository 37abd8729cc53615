//! Tracks for how long a node may trust the keys that it knows.
//!
//! Failure mode: a node that is cut off from the store, or was frozen, goes on accepting keys that
//! were revoked meanwhile. No update reaches it, and its own clock cannot be compared with that of
//! any other machine.
//!
//! A proof is therefore the time at which this node sent a store call whose response showed a
//! version as the newest. A later revocation takes effect later, so no request breaks the
//! operators' bound until that time plus the bound. Nodes pass proofs on with their age; the
//! receiver subtracts the age from the time at which it sent its own request, which precedes the
//! moment at which the age was determined, so network delay makes a proof older, never younger.
//! All times come from a clock that keeps running while the machine is suspended.

use zinniahatch_base::prelude::*;

/// Part of the operators' bound for which a proof is valid. The rest allows for clocks that run at
/// slightly different rates, and for the time between the check and the sending of the request.
const VALID_FRACTION: f64 = 0.9;

domain! {
    /// A proof as sent from one node to another.
    #[derive(Copy, Eq)]
    pub struct FreshnessProof {
        /// The version of the desired state that was the newest.
        pub version: u64,
        /// Time since the store call was sent, in ms, rounded up.
        pub age_ms: u32,
    }
}

/// A proof as stored by a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoredProof {
    version: u64,
    /// When the store call was sent, as time since the machine's start.
    sent: Duration,
}

/// The newest proofs that a node has.
#[derive(Clone, Debug, Default)]
pub struct KeyFreshness {
    /// The newest proof of the version that this node uses or of an earlier one.
    current: Option<StoredProof>,
    /// The newest proof of a version that this node does not have yet.
    ahead: Option<StoredProof>,
}

impl KeyFreshness {
    /// Records a store call that showed a version as the newest.
    ///
    /// `sent` is the time of the call, `own_version` the version that this node uses.
    pub fn record(&mut self, version: u64, sent: Duration, own_version: u64) {
        let slot = if version <= own_version {
            &mut self.current
        } else {
            &mut self.ahead
        };
        if slot.is_none_or(|known| sent > known.sent) {
            *slot = Some(StoredProof { version, sent });
        }
    }

    /// Records that this node uses a version from now on.
    pub fn set_version(&mut self, version: u64) {
        let reached = self.ahead.filter(|proof| proof.version <= version);
        if let Some(proof) = reached {
            self.ahead = None;
            self.record(proof.version, proof.sent, version);
        }
    }

    /// Returns the age of the newest proof; `None` if there is none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current.map(|proof| now.saturating_sub(proof.sent))
    }

    /// Returns whether keys may be trusted under the operators' bound.
    pub fn is_fresh(&self, bound: Duration, now: Duration) -> bool {
        self.age(now)
            .is_some_and(|age| age <= bound.mul_f64(VALID_FRACTION))
    }

    /// Returns the newest proof in the form sent to other nodes.
    pub fn to_share(&self, now: Duration) -> Option<FreshnessProof> {
        let proof = self.current?;
        let age = now.saturating_sub(proof.sent).as_micros().div_ceil(1_000);
        Some(FreshnessProof {
            version: proof.version,
            age_ms: u32::try_from(age).ok()?,
        })
    }

    /// Merges a proof from another node; `sent_after` is a time before that node sent it.
    pub fn merge(&mut self, remote: FreshnessProof, sent_after: Duration, own_version: u64) {
        let age = Duration::from_millis(u64::from(remote.age_ms));
        let Some(sent) = sent_after.checked_sub(age) else {
            return;
        };
        self.record(remote.version, sent, own_version);
    }
}
