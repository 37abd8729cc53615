//! Typed messages between nodes and their authenticated encoding.

mod frame;
mod heartbeat;
mod slots;

pub use frame::CountsNote;
pub use frame::FrameCodec;
pub use frame::FrameError;
pub use frame::MAX_FRAME_BYTES;
pub use frame::NodeFrame;
pub use frame::NodeMessage;
pub use heartbeat::CentreSummary;
pub use heartbeat::EntryAddress;
pub use heartbeat::HeartbeatNote;
pub use heartbeat::PoolStatus;
pub use slots::SlotGrant;
pub use slots::SlotLine;
pub use slots::SlotReport;
pub use slots::TenantLine;
