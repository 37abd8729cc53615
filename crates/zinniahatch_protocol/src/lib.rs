//! Typed messages between nodes and their authenticated encoding.

mod frame;
mod heartbeat;
mod slots;

pub use frame::FrameCodec;
pub use frame::FrameError;
pub use frame::MAX_FRAME_BYTES;
pub use frame::NodeFrame;
pub use frame::NodeMessage;
pub use frame::SealedCounts;
pub use heartbeat::DataCentreSummary;
pub use heartbeat::EntryAddress;
pub use heartbeat::Heartbeat;
pub use heartbeat::PoolStatus;
pub use slots::ReplicaSlots;
pub use slots::SlotGrant;
pub use slots::SlotReport;
pub use slots::TenantLoad;
