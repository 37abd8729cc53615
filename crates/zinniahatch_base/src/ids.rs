//! Type aliases for ids.

/// The name of an entry VM, unique in the whole system.
pub type NodeId = Box<str>;
/// The name of a region.
pub type RegionId = Box<str>;
/// The name of a data centre.
pub type DataCentreId = Box<str>;
/// The name of a client account.
pub type AccountId = Box<str>;
/// A hash of a client account's name, used in messages where the full name would cost too much.
pub type AccountTag = u64;
/// The name of a caller, a member of a client account.
pub type CallerId = Box<str>;
/// The name of a service, one model or one plain service.
pub type ServiceId = Box<str>;
/// The name of a backend server's process, one replica of a service.
pub type ReplicaId = Box<str>;
/// The name of a model as an engine knows it.
pub type ModelId = Box<str>;
/// The name of a preset.
pub type PresetId = Box<str>;
/// The name of an operator.
pub type OperatorId = Box<str>;
/// The id of one request, unique in the whole system.
pub type RequestId = Box<str>;
/// The digest of what a request asks for and who asks; its repeats have the same one, whatever their ids.
pub type ContentDigest = u64;
/// The revision of the configuration; it only rises.
pub type Revision = u64;
/// A number drawn at random at each start of a process.
pub type Incarnation = u64;
/// The digest under which a part of the configuration is kept.
pub type PartHash = Box<str>;
/// A short hash of a name, used in messages where the full name would cost too much.
pub type ShortTag = u32;
/// Requests a second.
pub type RequestRate = f64;
