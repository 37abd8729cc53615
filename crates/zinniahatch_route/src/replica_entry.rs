//! What is told of a replica: its entry in the store, and what nodes had it read.

use crate::PromptPart;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

domain! {
    /// One life of a replica. A replica may start again under its id; it then keeps nothing, and nothing
    /// that was learned of its earlier life or promised to it counts.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ReplicaLife {
        /// Its id.
        pub id: ReplicaId,
        /// When it started, in Unix milliseconds by its own clock; only equality counts.
        pub born: u64,
    }
}

impl ReplicaLife {
    /// Gives the short tag of the life, for datagrams.
    pub fn tag(&self) -> ShortTag {
        tag_of(&format!("{}@{}", self.id, self.born))
    }
}

domain! {
    /// What a replica says of itself in the store.
    pub struct ReplicaEntry {
        /// The replica's id, which its next life may bear again.
        pub id: ReplicaId,
        /// When this life of it started, in Unix milliseconds by its own clock; 0 where it does not say.
        pub born: u64,
        /// Its service.
        pub service: ServiceId,
        /// Where it listens.
        pub address: SocketAddrV4,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Requests that it works on at once.
        pub slots: u32,
        /// Whether it is leaving.
        pub leaving: bool,
        /// Time until it is gone, where it leaves at short notice.
        pub gone_in: Option<Duration>,
        /// How much longer it is cold.
        pub cold_for: Duration,
        /// The store's revision of this entry.
        pub revision: StoreRevision,
    }
}

impl ReplicaEntry {
    /// Gives the life that the entry speaks of.
    pub fn life(&self) -> ReplicaLife {
        ReplicaLife {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

domain! {
    /// Shared prompt parts that a node had a replica read.
    pub struct PromptRead {
        /// The tag of the replica's life.
        pub replica: ShortTag,
        /// The parts in order, without the last, which belongs to the request itself.
        pub parts: Vec<PromptPart>,
    }
}
