//! The platform's store: what is followed there, what this node keeps there, and its return from an older copy.

pub(crate) mod membership;
pub(crate) mod news;
pub(crate) mod quarantine_keys;
pub(crate) mod store_return;
pub(crate) mod watch;
pub(crate) mod watch_topic;
