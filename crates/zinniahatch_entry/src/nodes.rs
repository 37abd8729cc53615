//! Communication between nodes: gossip, peer snapshots and the roles assigned to some nodes of a
//! region.

pub(crate) mod broadcast;
pub(crate) mod catch_up;
pub(crate) mod datagrams;
pub(crate) mod gossip;
pub(crate) mod gossip_message;
pub(crate) mod link_watch;
pub(crate) mod message_metrics;
pub(crate) mod own_info;
pub(crate) mod replica_updates;
pub(crate) mod roles;
pub(crate) mod rosters;
pub(crate) mod snapshot;
pub(crate) mod stream_origins;
pub(crate) mod work_reporter;
