//! Heartbeats, slot pool statuses and data centre summaries.

use zinniahatch_base::prelude::*;

domain! {
    /// Periodic liveness message to another node.
    pub struct Heartbeat {
        /// Sequence number of the heartbeats from this sender to this receiver.
        pub number: u64,
        /// The receiver's incarnation and the newest sequence number received from it.
        pub echo: (Incarnation, u64),
        /// The sender's address for callers.
        pub http: Box<str>,
        /// Whether the sender is leaving and accepts no new requests.
        pub leaving: bool,
        /// Whether the sender serves requests, that is, has a configuration.
        pub ready: bool,
        /// Members whose heartbeats to the sender have timed out.
        pub suspects: Vec<NodeId>,
        /// Members that others suspect but whose heartbeats reach the sender.
        pub refuted: Vec<NodeId>,
        /// Backend servers that the sender's own sources report as leaving.
        pub leaving_backends: Vec<ShortTag>,
        /// Changed statuses of the pools that the sender coordinates.
        pub pools: Vec<PoolStatus>,
        /// Incarnations of other nodes whose idempotency keys and responses the sender took over.
        pub successor_of: Vec<(NodeId, Incarnation)>,
    }

    /// Status of one service's slot pool, published by its coordinator.
    pub struct PoolStatus {
        /// The service.
        pub service: ServiceId,
        /// Total slots of usable backend servers.
        pub capacity: u32,
        /// Slots without a running request.
        pub free: u32,
        /// Requests waiting on all nodes.
        pub waiting: u32,
        /// Expected time that one request holds a slot, in milliseconds.
        pub hold_ms: u32,
        /// Backend servers that accept no new work.
        pub unusable: Vec<ShortTag>,
    }

    /// Addresses of an entry VM for callers and other nodes.
    pub struct EntryAddress {
        /// The node.
        pub node: NodeId,
        /// Its address for callers.
        pub http: Box<str>,
        /// Its address for control messages.
        pub peer: Box<str>,
    }

    /// Capacity summary of one data centre, sent to the other data centres.
    pub struct DataCentreSummary {
        /// The data centre.
        pub data_centre: DataCentreId,
        /// Milliseconds since the epoch; increases with each summary of this data centre.
        pub stamp: u64,
        /// Statuses of its pools, without the lists of unusable backend servers.
        pub pools: Vec<PoolStatus>,
        /// A sample of its serving entry VMs; sent less often than the pool statuses.
        pub entries: Option<Vec<EntryAddress>>,
    }
}
