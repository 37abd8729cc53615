//! Ids, result codes, digests and macros shared by every crate of the gateway.

mod digest;
mod domain;
mod ids;
pub mod prelude;
mod result_code;
mod revision;

pub use digest::KeyDigest;
pub use digest::account_tag;
pub use digest::digest_fields;
pub use digest::digest_text;
pub use digest::rendezvous_rank;
pub use digest::tag_of;
pub use ids::AccountId;
pub use ids::AccountTag;
pub use ids::CallerId;
pub use ids::ContentDigest;
pub use ids::DataCentreId;
pub use ids::Incarnation;
pub use ids::ModelId;
pub use ids::NodeId;
pub use ids::OperatorId;
pub use ids::PartHash;
pub use ids::PresetId;
pub use ids::PromptPartId;
pub use ids::RegionId;
pub use ids::ReplicaId;
pub use ids::RequestId;
pub use ids::RequestRate;
pub use ids::Revision;
pub use ids::ServiceId;
pub use ids::ShortTag;
pub use result_code::Execution;
pub use result_code::ResultCode;
pub use revision::StoreRevision;
