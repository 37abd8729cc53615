//! A request read whole, in the same form for all listeners.

use crate::request::held_memory::MemoryReservation;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use zinniahatch_base::digest_fields;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::Credential;
use zinniahatch_route::PromptSize;

/// Largest number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 6;

/// How a request reached this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// Directly from its caller.
    Direct,
    /// From another node, which chose this region. The request is placed here or refused. A
    /// forwarded request is never forwarded again, so that no request travels in a loop.
    Forwarded(ForwardInfo),
}

/// Information that the first node sends with a request that it forwards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ForwardInfo {
    /// The version of the desired state by which the first node chose.
    pub(crate) version: u64,
    /// The service that it chose.
    pub(crate) service: ServiceId,
    /// Time spent at the first node, which counts towards the latency target.
    pub(crate) spent: Duration,
    /// Tag of the only software version that may serve the request.
    pub(crate) software: Option<ShortTag>,
    /// Whether the caller has a part of the response, so that it cannot be refused any more.
    pub(crate) begun: bool,
    /// The client account of the request. `None` if callers need not authenticate.
    pub(crate) account: Option<ForwardedAccount>,
}

/// The client account named by the first node. The API key itself is not forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ForwardedAccount {
    /// Name of the account.
    pub(crate) name: AccountId,
    /// Digest of the API key.
    pub(crate) key: KeyDigest,
}

/// A request that was read whole.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    /// Id of this attempt of the caller.
    pub(crate) attempt: RequestId,
    /// How the request reached this node.
    pub(crate) origin: RequestOrigin,
    /// The HTTP method.
    pub(crate) method: Method,
    /// Whether a response may be sent in chunks. A caller of HTTP/1.0 could not tell a truncated one
    /// without a length from a complete one, so that it is sent only complete responses.
    pub(crate) accepts_chunks: bool,
    /// The value of the `Host` header.
    pub(crate) host: Box<str>,
    /// Path and query, as they were sent.
    pub(crate) path: Box<str>,
    /// The headers that are passed on to a replica.
    pub(crate) headers: HeaderMap,
    /// The caller's credential, parsed.
    pub(crate) credential: Credential,
    /// The `Authorization` header as it was sent, for deployments in which replicas check it.
    pub(crate) authorization: Option<HeaderValue>,
    /// The body.
    pub(crate) body: Bytes,
    /// Keeps the memory of the body reserved.
    pub(crate) _reservation: MemoryReservation,
    /// Digest of the request's content and its caller. Each retry by a caller has its own attempt
    /// id but the same digest.
    pub(crate) content: ContentDigest,
    /// Tag of the caller; the same for all that send no credential.
    pub(crate) caller: ShortTag,
    /// Time of arrival.
    pub(crate) arrived: Instant,
    /// How long the caller is willing to wait, counted from the arrival.
    pub(crate) time_left: Option<Duration>,
    /// Number of tokens and parts of the prompt.
    pub(crate) size: PromptSize,
    /// Id of the last event that the caller has received.
    pub(crate) last_event: Option<Box<str>>,
    /// The attempt that brought the first event of the stream that the caller takes up.
    pub(crate) resumes: Option<RequestId>,
}

impl ReceivedRequest {
    /// Returns the time spent on the request at the previous node.
    pub(crate) fn spent_before(&self) -> Duration {
        match &self.origin {
            RequestOrigin::Direct => Duration::ZERO,
            RequestOrigin::Forwarded(info) => info.spent,
        }
    }

    /// Returns whether another node forwards the rest of a response that its caller has a part of.
    pub(crate) fn has_begun(&self) -> bool {
        matches!(&self.origin, RequestOrigin::Forwarded(info) if info.begun)
    }

    /// Returns the digest by which nodes know the stream that the request begins or takes up.
    pub(crate) fn stream(&self) -> ContentDigest {
        let began = self.resumes.as_ref().unwrap_or(&self.attempt);
        digest_fields(&[began.as_bytes()])
    }

    /// Returns the content digest as it is written to log lines and counters.
    pub(crate) fn content_text(&self) -> Box<str> {
        content_text(self.content)
    }

    /// Returns the first parts of the prompt as they are written to log lines.
    pub(crate) fn parts_text(&self) -> Vec<Box<str>> {
        let ids = self.size.part_ids.iter().take(MAX_LOGGED_PARTS);
        ids.map(|id| part_text(*id)).collect()
    }

    /// Returns whether the request came directly from its caller and may therefore be forwarded.
    pub(crate) fn is_direct(&self) -> bool {
        self.origin == RequestOrigin::Direct
    }
}

/// Formats the id of a prompt part as it is written to log lines.
pub(crate) fn part_text(id: PromptPartId) -> Box<str> {
    format!("{id:016x}").into()
}

/// Formats a content digest as it is written to log lines and store keys.
pub(crate) fn content_text(content: ContentDigest) -> Box<str> {
    format!("{content:016x}").into()
}
