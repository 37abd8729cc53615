//! The types that nearly every module uses.

pub use crate::AccountId;
pub use crate::CallerId;
pub use crate::ContentDigest;
pub use crate::DataCentreId;
pub use crate::Execution;
pub use crate::Incarnation;
pub use crate::ModelId;
pub use crate::NodeId;
pub use crate::OperatorId;
pub use crate::PartHash;
pub use crate::PresetId;
pub use crate::RegionId;
pub use crate::ReplicaId;
pub use crate::RequestId;
pub use crate::ResultCode;
pub use crate::Revision;
pub use crate::ServiceId;
pub use crate::ShortTag;
pub use crate::domain;
pub use crate::tag_of;
pub use crate::word_enum;
pub use std::collections::BTreeMap;
pub use std::collections::BTreeSet;
pub use std::time::Duration;
pub use std::time::Instant;
