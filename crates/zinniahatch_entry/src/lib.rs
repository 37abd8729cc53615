//! The entry VM: the process between callers and backend servers.
//!
//! `request` serves callers from the state in `core`, which `nodes`, `store`, `replicas` and `auth`
//! keep up to date.

mod auth;
mod core;
mod counts;
mod decision_log;
mod file_limit;
mod held_hangup;
mod listeners;
mod memory_metrics;
mod metrics;
mod nodes;
mod process_metrics;
mod replicas;
mod request;
mod run;
mod store;
mod supervisor;

pub use file_limit::fail_writes_at_file_limit;
pub use held_hangup::HeldHangup;
pub use listeners::ListenError;
pub use request::body_position::BodyPosition;
pub use request::connection::BackendConnection;
pub use request::connection::ConnectionError;
pub use request::connection::ResponseHead;
pub use request::event_scanner::EventScanner;
pub use request::events::EventSplitter;
pub use request::framing::BodyEnd;
pub use request::pool::ConnectionPool;
pub use request::pool::LeasedConnection;
pub use request::pool::PoolError;
pub use request::truncation::EndProof;
pub use request::truncation::Truncation;
pub use request::truncation::required_proof;
pub use run::EntryError;
pub use run::run_entry;
pub use supervisor::RESTART_PAUSE;
pub use supervisor::TaskName;
pub use supervisor::TaskPanic;
pub use supervisor::catch_panic;
pub use supervisor::run_restarted;
