//! Heartbeats, pool states and summaries of data centres.

use zinniahatch_base::prelude::*;

domain! {
    /// Says that the sender lives.
    pub struct HeartbeatNote {
        /// Counts the heartbeats from this sender to this receiver.
        pub number: u64,
        /// The newest number that the sender has had from the receiver's named incarnation.
        pub echo: (Incarnation, u64),
        /// Its address for callers.
        pub http: Box<str>,
        /// Whether it is leaving and takes no new requests.
        pub leaving: bool,
        /// Whether it serves, that is, holds a configuration.
        pub ready: bool,
        /// Members that the sender has not heard from in time.
        pub suspects: Vec<NodeId>,
        /// Members that others suspect and the sender hears.
        pub vouches: Vec<NodeId>,
        /// Backend servers that the sender knows to be leaving.
        pub leaving_backends: Vec<ShortTag>,
        /// States of the pools that the sender keeps, where they changed.
        pub pools: Vec<PoolStatus>,
        /// Incarnations of other nodes whose keys and answers the sender took over.
        pub heir_of: Vec<(NodeId, Incarnation)>,
    }

    /// The state of one pool, told by its keeper.
    pub struct PoolStatus {
        /// The service.
        pub service: ServiceId,
        /// Slots of usable backend servers.
        pub capacity: u32,
        /// Slots that nobody runs a request on.
        pub free: u32,
        /// Requests waiting on all nodes.
        pub waiting: u32,
        /// Expected time that one request holds a slot, in milliseconds.
        pub hold_ms: u32,
        /// Backend servers that take no new work.
        pub unusable: Vec<ShortTag>,
    }

    /// The address of an entry VM that callers or nodes may use.
    pub struct EntryAddress {
        /// The node.
        pub node: NodeId,
        /// Its address for callers.
        pub http: Box<str>,
        /// Its address for control messages.
        pub peer: Box<str>,
    }

    /// The state of one data centre, told to the others.
    pub struct CentreSummary {
        /// The data centre.
        pub data_centre: DataCentreId,
        /// Rises with each summary of this data centre; in milliseconds since the epoch.
        pub stamp: u64,
        /// The states of its pools, without the lists of backend servers.
        pub pools: Vec<PoolStatus>,
        /// Its serving entry VMs; left out where they have not changed.
        pub entries: Option<Vec<EntryAddress>>,
    }
}
