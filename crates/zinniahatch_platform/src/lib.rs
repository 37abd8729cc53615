//! The platform's services behind small traits, each with its HTTP client.

mod directory;
mod engine;
mod http;
mod store;
mod vm_list;

pub use directory::DirectoryClient;
pub use directory::DirectoryEntry;
pub use directory::HttpDirectory;
pub use engine::CacheEvent;
pub use engine::CacheEvents;
pub use engine::EngineClient;
pub use engine::EngineLoad;
pub use engine::HttpEngine;
pub use engine::ModelOrder;
pub use engine::OrderOutcome;
pub use http::ReachError;
pub use store::HttpStore;
pub use store::PutOutcome;
pub use store::StoreClient;
pub use store::StoreError;
pub use store::StoreLease;
pub use store::StoredValue;
pub use vm_list::HttpVmList;
pub use vm_list::ListedVm;
pub use vm_list::VmKind;
pub use vm_list::VmListClient;
pub use vm_list::VmState;
