//! The entry VM on the users' platform.
//!
//! A request's way runs one way: `ingress` reads it, `serve` decides, `call` sends it through a
//! `channel` from the `pool`, `relay` passes a stream on. `gossip`, `membership` and `watch` keep
//! the tables that `serve` decides by.

mod accounts;
mod answer;
mod call;
mod channel;
mod chunks;
mod core;
mod decision_log;
mod events;
mod gossip;
mod ingress;
mod membership;
mod metrics;
mod pool;
mod probe;
mod received;
mod refusal;
mod relay;
mod run;
mod serve;
mod services;
mod snapshot;
mod watch;

pub use channel::AnswerHead;
pub use channel::BackendChannel;
pub use channel::ChannelError;
pub use events::EventSplitter;
pub use run::EntryError;
pub use run::run_entry;
