//! What this node finds out about replicas: whether they answer, have ended, and under which requests.

pub(crate) mod end_checks;
pub(crate) mod probe;
pub(crate) mod quarantine;
pub(crate) mod replica_check;
