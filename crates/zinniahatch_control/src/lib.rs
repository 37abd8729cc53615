//! Control logic of a node as a deterministic state machine without I/O.
//!
//! Nothing here does I/O or reads a clock. The daemon passes in the time and the received frames
//! and sends the frames that a tick returns, so runs can be fuzzed and replayed exactly.

mod allocation;
mod backends;
mod cache;
mod config_syncer;
mod coordinator;
mod keys;
mod lease_table;
mod limits;
mod members;
mod node;
mod orders;
mod placement;
mod pool_lease;
mod remotes;
mod shares;

pub use backends::BackendStatus;
pub use backends::BackendTable;
pub use cache::PrefixCacheTable;
pub use config_syncer::ConfigSyncer;
pub use config_syncer::SyncStep;
pub use coordinator::CoordinatorView;
pub use coordinator::PoolCoordinator;
pub use keys::KeyClaim;
pub use keys::KeyEntry;
pub use keys::KeyRefusal;
pub use keys::KeyTable;
pub use keys::MintedKey;
pub use lease_table::LeaseTable;
pub use limits::HEARTBEAT_INTERVAL;
pub use limits::LEASE_MARGIN;
pub use limits::LEASE_TTL;
pub use limits::MEMBER_TTL;
pub use limits::SUSPECT_AFTER;
pub use members::FailurePolicy;
pub use members::MemberEntry;
pub use members::MemberTable;
pub use node::ControlNode;
pub use node::NodeIdentity;
pub use node::OutboundFrame;
pub use node::TickOutput;
pub use orders::OrderLease;
pub use placement::Placement;
pub use placement::PlacementQuery;
pub use placement::PlacementScope;
pub use placement::RoutePolicy;
pub use placement::SlotPermit;
pub use pool_lease::LeasedSlots;
pub use remotes::RemoteDataCentre;
pub use remotes::RemoteTable;
pub use shares::ShareDemand;
pub use shares::max_min_shares;
