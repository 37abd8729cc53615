//! What is told of a replica: its entry in the store, and what nodes had it read.

use crate::PromptPart;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

domain! {
    /// What a replica says of itself in the store.
    pub struct ReplicaEntry {
        /// The id of this start of the replica.
        pub id: ReplicaId,
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
        pub revision: u64,
    }
}

domain! {
    /// Shared prompt parts that a node had a replica read.
    pub struct PromptRead {
        /// The replica.
        pub replica: ReplicaId,
        /// The parts in order, without the last, which belongs to the request itself.
        pub parts: Vec<PromptPart>,
    }
}
