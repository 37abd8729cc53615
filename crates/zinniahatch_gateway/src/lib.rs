//! Request path of the gateway daemon: authentication, admission, idempotency keys, placement,
//! dispatch, response relay, usage counts, and the administration API.

mod account_change;
mod admin;
mod admin_change;
mod admit;
mod body;
mod budget;
mod caller;
mod config_sync;
mod core;
mod counters;
mod dispatch;
mod engine_stream;
mod framing;
mod headers;
mod idempotency;
mod key_owner;
mod observe;
mod peer;
mod peer_auth;
mod placement;
mod refusal;
mod report_read;
mod request_count;
mod respond;
mod response;
mod response_cache;
mod run;
mod server;
mod sse;

pub use core::GatewayCore;
pub use core::GatewayParts;
pub use counters::CounterSet;
pub use idempotency::KeyTableSnapshot;
pub use peer::KeyHandover;
pub use peer::NodeStatus;
pub use peer_auth::PeerAuth;
pub use report_read::hour_key;
pub use server::build_service;
