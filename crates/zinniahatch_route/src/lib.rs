//! Pure decisions on requests: tables and the functions over them; no I/O and no clock.
//!
//! Every function takes `now`, so that a test can replay a load to the millisecond.

mod admission;
mod budget;
mod contacts;
mod desired;
mod estimate;
mod health;
mod kept_parts;
mod members;
mod open_work;
mod placement;
mod preset;
mod prompt;
mod replica_entry;
mod replicas;
mod table;

pub use admission::AdmissionRule;
pub use admission::Verdict;
pub use budget::ColdGate;
pub use budget::RepeatBudget;
pub use contacts::ContactBook;
pub use desired::CallerLimits;
pub use desired::DesiredRoute;
pub use desired::DesiredService;
pub use desired::DesiredState;
pub use desired::RepeatKind;
pub use desired::WeightedTarget;
pub use estimate::FirstEventModel;
pub use estimate::ModelSample;
pub use health::HealthRecord;
pub use kept_parts::KeptParts;
pub use members::MemberCard;
pub use members::MemberTable;
pub use members::ServiceDigest;
pub use open_work::OpenWork;
pub use placement::AwayChoice;
pub use placement::AwayTried;
pub use placement::LocalChoice;
pub use placement::PlaceAsk;
pub use placement::choose_away;
pub use placement::choose_local;
pub use preset::ServingPreset;
pub use prompt::PromptPart;
pub use prompt::PromptSize;
pub use replica_entry::PromptRead;
pub use replica_entry::ReplicaEntry;
pub use replicas::LeaveReason;
pub use replicas::ReplicaBelief;
pub use replicas::ReplicaTable;
pub use table::RouteTable;
