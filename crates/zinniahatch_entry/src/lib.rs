//! The entry VM on the users' platform.
//!
//! A request's way runs one way: `ingress` reads it, `serve` plans and tries it, `placing` chooses,
//! `call` sends it through a `channel` from the `pool`, `answering` and `relay` answer. `gossip`,
//! `membership`, `watch` with `news`, and `catch_up` keep the tables that `serve` decides by.

mod account_desk;
mod accounts;
mod allowances;
mod answer;
mod answering;
mod boot_clock;
mod call;
mod catch_up;
mod channel;
mod chunks;
mod core;
mod datagrams;
mod decision_log;
mod duty;
mod end_checks;
mod events;
mod gossip;
mod identity;
mod ingress;
mod membership;
mod metrics;
mod news;
mod news_teller;
mod node_gram;
mod open_call;
mod own_card;
mod placing;
mod plan;
mod pool;
mod probe;
mod proofs;
mod quarantine;
mod quarantine_keys;
mod received;
mod refusal;
mod relay;
mod replica_check;
mod replica_news;
mod resume;
mod run;
mod serve;
mod services;
mod snapshot;
mod starting;
mod store_return;
mod watch;
mod watch_topic;
mod work_teller;

pub use channel::AnswerHead;
pub use channel::BackendChannel;
pub use channel::ChannelError;
pub use events::EventSplitter;
pub use run::EntryError;
pub use run::run_entry;
