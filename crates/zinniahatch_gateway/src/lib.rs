//! The way of a request: headers, account, binding, key, body, slot, dispatch, relay, count.

mod account_change;
mod admin;
mod admin_change;
mod admit;
mod answer;
mod body;
mod budget;
mod caller;
mod core;
mod counters;
mod counting;
mod dispatch;
mod engine_stream;
mod headers;
mod keyed;
mod observe;
mod owner;
mod peer;
mod placing;
mod proof;
mod refusal;
mod report_read;
mod respond;
mod run;
mod server;
mod shelf;
mod sse;

pub use core::GatewayCore;
pub use core::GatewayParts;
pub use counters::CounterSet;
pub use keyed::HandedBook;
pub use peer::BriefStatus;
pub use peer::HandoverNote;
pub use proof::PeerProof;
pub use report_read::hour_key;
pub use server::build_service;
