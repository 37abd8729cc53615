//! JSON bodies of the platform's store protocol.

use super::StoredValue;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

#[derive(Serialize)]
pub(super) struct ItemBody {
    pub(super) key: Box<str>,
    pub(super) value: String,
    pub(super) revision: u64,
    pub(super) create_rev: u64,
    pub(super) lease: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) store_revision: Option<u64>,
}

#[derive(Serialize)]
pub(super) struct RemovedBody {
    pub(super) key: Box<str>,
    pub(super) revision: u64,
    pub(super) deleted: bool,
}

#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum EventBody {
    Written(ItemBody),
    Removed(RemovedBody),
    /// An item that is returned exactly as a test wrote it.
    Raw(Box<RawValue>),
}

#[derive(Serialize)]
pub(super) struct EventsBody {
    pub(super) events: Vec<EventBody>,
    pub(super) store_revision: u64,
}

#[derive(Serialize)]
pub(super) struct PageBody {
    pub(super) items: Vec<EventBody>,
    pub(super) truncated: bool,
    pub(super) store_revision: u64,
}

#[derive(Serialize)]
pub(super) struct RevisionBody {
    pub(super) revision: u64,
}

#[derive(Serialize)]
pub(super) struct ItemsBody {
    pub(super) items: Vec<ItemBody>,
}

#[derive(Deserialize)]
pub(super) struct TransactionRequest {
    #[serde(default)]
    pub(super) expected_rev: Vec<ExpectedRevision>,
    #[serde(default)]
    pub(super) set_keys: Vec<SetKey>,
    #[serde(default)]
    pub(super) remove: Vec<Box<str>>,
}

#[derive(Deserialize)]
pub(super) struct ExpectedRevision {
    pub(super) key: Box<str>,
    pub(super) revision: u64,
}

#[derive(Deserialize)]
pub(super) struct SetKey {
    pub(super) key: Box<str>,
    pub(super) value: String,
    #[serde(default)]
    pub(super) lease: u64,
}

#[derive(Deserialize)]
pub(super) struct LeaseRequest {
    pub(super) ttl_ms: u64,
}

#[derive(Serialize)]
pub(super) struct LeaseBody {
    pub(super) lease: u64,
    pub(super) ttl_ms: u64,
}

#[derive(Serialize)]
pub(super) struct RenewedBody {
    pub(super) ttl_ms: u64,
}

/// Returns the form of a value in a page or among events.
pub(super) fn event_body(key: &str, value: &StoredValue) -> EventBody {
    match &value.raw {
        Some(raw) => EventBody::Raw(raw.clone()),
        None => EventBody::Written(item_body(key, value)),
    }
}

pub(super) fn item_body(key: &str, value: &StoredValue) -> ItemBody {
    ItemBody {
        key: key.into(),
        value: STANDARD.encode(&value.value),
        revision: value.revision,
        create_rev: value.created,
        lease: value.lease,
        store_revision: None,
    }
}
