//! Usage accounting: counts of served requests on their way to the store.

pub(crate) mod counting;
pub(crate) mod pending_counts;
