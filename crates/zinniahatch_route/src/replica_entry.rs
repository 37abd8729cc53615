//! Records about a replica that nodes exchange: its entry in the store, and prompt parts it was
//! sent.

use crate::PromptPart;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

domain! {
    /// One incarnation of a replica.
    ///
    /// A replica may restart under the same id. The new incarnation has an empty cache, and nothing
    /// learned about or promised to an earlier one applies to it.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ReplicaIncarnation {
        /// Id of the replica.
        pub id: ReplicaId,
        /// Start time in Unix milliseconds by the replica's clock; only compared for equality.
        pub started_ms: u64,
    }
}

impl ReplicaIncarnation {
    /// Returns the short tag of the incarnation, for datagrams.
    pub fn tag(&self) -> ShortTag {
        tag_of(&format!("{}@{}", self.id, self.started_ms))
    }
}

domain! {
    /// Entry that a replica writes to the store.
    pub struct ReplicaEntry {
        /// Id of the replica, which its next incarnation may reuse.
        pub id: ReplicaId,
        /// Start time of this incarnation in Unix milliseconds by the replica's clock; 0 if not
        /// given.
        pub started_ms: u64,
        /// Its service.
        pub service: ServiceId,
        /// Version of its software, empty if its entry names none. `None` if it is not known: nodes
        /// that forward entries send it apart from them, and those of earlier versions do not.
        #[serde(skip)]
        pub version: Option<Box<str>>,
        /// Address at which it listens.
        pub address: SocketAddrV4,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Number of requests that it processes concurrently.
        pub slots: u32,
        /// Whether it is leaving.
        pub leaving: bool,
        /// Time until it terminates, if it leaves at short notice.
        pub gone_in: Option<Duration>,
        /// Remaining time for which it is cold.
        pub cold_for: Duration,
        /// Revision of the store that wrote this entry.
        pub revision: StoreRevision,
    }
}

impl ReplicaEntry {
    /// Returns the incarnation that wrote the entry.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        ReplicaIncarnation {
            id: self.id.clone(),
            started_ms: self.started_ms,
        }
    }
}

domain! {
    /// Shared prompt parts that a node sent to a replica, which now probably caches them.
    pub struct CachedPrefix {
        /// Tag of the replica incarnation.
        pub replica: ShortTag,
        /// Parts in order, without the last, which belongs to the request itself.
        pub parts: Vec<PromptPart>,
    }
}
