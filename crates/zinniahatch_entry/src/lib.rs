//! The entry VM on the users' platform.
//!
//! `request` serves callers by what `nodes`, `store`, `replicas` and `who` keep in the tables of `core`.

mod auth;
mod core;
mod counts;
mod decision_log;
mod metrics;
mod nodes;
mod replicas;
mod request;
mod run;
mod services;
mod store;

pub use request::channel::AnswerHead;
pub use request::channel::BackendChannel;
pub use request::channel::ChannelError;
pub use request::events::EventSplitter;
pub use run::EntryError;
pub use run::run_entry;
