//! What this node finds out about replicas: whether they answer, have ended, and under which requests.

pub(crate) mod end_checks;
pub(crate) mod gate;
pub(crate) mod limit_metrics;
pub(crate) mod notice;
pub(crate) mod notice_metrics;
pub(crate) mod probe;
pub(crate) mod quarantine;
pub(crate) mod rate_limit;
pub(crate) mod replica_check;
pub(crate) mod unread_headers;
