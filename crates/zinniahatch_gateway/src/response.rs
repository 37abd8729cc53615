//! Complete responses and their token usage.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use zinniahatch_base::prelude::*;

/// Token usage of a response, with the field names of the chat protocol.
#[expect(
    clippy::struct_field_names,
    reason = "the names are those of the protocol"
)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TokenUsage {
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    pub(crate) cached_tokens: u64,
    #[serde(default)]
    pub(crate) completion_tokens: u64,
}

/// A response that was received completely.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CachedResponse {
    pub(crate) request: RequestId,
    pub(crate) status: u16,
    pub(crate) headers: Vec<(Box<str>, Box<str>)>,
    pub(crate) body: Bytes,
    pub(crate) code: ResultCode,
    pub(crate) revision: Revision,
    pub(crate) served: RegionId,
    pub(crate) usage: TokenUsage,
    pub(crate) first_byte: Duration,
}
