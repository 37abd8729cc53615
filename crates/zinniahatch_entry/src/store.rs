//! Access to the platform's store: watched state, keys owned by this node, and recovery after a
//! restore of the store from an older backup.

pub(crate) mod quarantine_keys;
pub(crate) mod registration;
pub(crate) mod restore_recovery;
pub(crate) mod stream_records;
pub(crate) mod updates;
pub(crate) mod version_keys;
pub(crate) mod watch;
pub(crate) mod watch_topic;
