//! One typed request, whichever interface it came by.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::Credential;
use zinniahatch_route::PromptSize;

/// How a request reached this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestHop {
    /// From its caller.
    Direct,
    /// From another node, which chose this region. It is placed here or refused: nothing that was
    /// forwarded is forwarded again, so that no request goes round in a loop.
    Forwarded(ForwardNote),
}

/// What the first node says of a request that it forwards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ForwardNote {
    /// The version of the desired state by which it chose.
    pub(crate) version: u64,
    /// The service that it chose.
    pub(crate) service: ServiceId,
    /// Time spent there, which counts towards the goal.
    pub(crate) spent: Duration,
    /// The account for which it serves the request; none where callers need not say who they are.
    pub(crate) account: Option<AccountNote>,
}

/// What the first node says of who asks; the key itself stays there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AccountNote {
    /// The account.
    pub(crate) name: AccountId,
    /// The digest of the key.
    pub(crate) key: KeyDigest,
}

/// A request that was read whole.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    /// Id of this attempt of the caller.
    pub(crate) attempt: RequestId,
    /// How it came.
    pub(crate) hop: RequestHop,
    /// Its method.
    pub(crate) method: Method,
    /// The host that it names.
    pub(crate) host: Box<str>,
    /// Path and query, as they were sent.
    pub(crate) path: Box<str>,
    /// The headers that go on to a replica.
    pub(crate) headers: HeaderMap,
    /// Who the caller says it is.
    pub(crate) credential: Credential,
    /// The same as it was sent, for deployments in which replicas judge it.
    pub(crate) authorization: Option<HeaderValue>,
    /// The body.
    pub(crate) body: Bytes,
    /// Digest of what it asks for and who asks. Each repeat of a caller has an id of its own, and this in
    /// common with those before.
    pub(crate) content: ContentDigest,
    /// When it arrived.
    pub(crate) arrived: Instant,
    /// How long the caller will wait from then.
    pub(crate) time_left: Option<Duration>,
    /// Tokens and prompt parts.
    pub(crate) size: PromptSize,
    /// The last event that the caller has.
    pub(crate) last_event: Option<Box<str>>,
}

impl ReceivedCall {
    /// Gives the time spent on the request at the node before this one.
    pub(crate) fn spent_before(&self) -> Duration {
        match &self.hop {
            RequestHop::Direct => Duration::ZERO,
            RequestHop::Forwarded(note) => note.spent,
        }
    }

    /// Gives the digest of its content as log lines and counters show it.
    pub(crate) fn content_text(&self) -> Box<str> {
        content_text(self.content)
    }

    /// Tells whether it may be forwarded.
    pub(crate) fn is_direct(&self) -> bool {
        self.hop == RequestHop::Direct
    }
}

/// Gives a content as log lines and keys show it.
pub(crate) fn content_text(content: ContentDigest) -> Box<str> {
    format!("{content:016x}").into()
}
