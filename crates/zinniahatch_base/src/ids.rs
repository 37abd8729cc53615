//! Type aliases for ids, digests and revisions.

/// The name of an entry VM, unique across all regions.
pub type NodeId = Box<str>;
/// The name of a region.
pub type RegionId = Box<str>;
/// The name of a data centre.
pub type DataCentreId = Box<str>;
/// The name of a client account.
pub type AccountId = Box<str>;
/// A hash of a client account's name that replaces the longer name in messages between nodes.
pub type AccountTag = u64;
/// The name of a caller, which belongs to a client account.
pub type CallerId = Box<str>;
/// The name of a service: one model, or one service without an inference engine.
pub type ServiceId = Box<str>;
/// The name of a backend server process, which is one replica of a service.
pub type ReplicaId = Box<str>;
/// The name under which an inference engine knows a model.
pub type ModelId = Box<str>;
/// The name of a preset.
pub type PresetId = Box<str>;
/// The name of an operator.
pub type OperatorId = Box<str>;
/// The id of one request, unique across all regions.
pub type RequestId = Box<str>;
/// The digest of a request's content and caller, shared by repeats of the request whatever their ids.
pub type ContentDigest = u64;
/// The hash of the id of a prompt part, whatever precedes the part in the prompt.
pub type PromptPartId = u64;
/// The revision of the configuration, which increases monotonically.
pub type Revision = u64;
/// A random number drawn at each start of a process.
pub type Incarnation = u64;
/// The digest under which a part of the configuration is stored.
pub type PartHash = Box<str>;
/// A 32-bit hash of a name that replaces the longer name in messages between nodes.
pub type ShortTag = u32;
/// Requests per second.
pub type RequestRate = f64;
