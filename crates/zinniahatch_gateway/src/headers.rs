//! Header names, and the filters for headers that are passed on.

use salvo::http::HeaderMap;
use salvo::http::header::HeaderName;

pub(crate) const REQUEST: &str = "x-zinnia-request";
pub(crate) const REVISION: &str = "x-zinnia-revision";
pub(crate) const REGION: &str = "x-zinnia-region";
pub(crate) const CODE: &str = "x-zinnia-code";
pub(crate) const EXECUTION: &str = "x-zinnia-execution";
pub(crate) const SERVICE: &str = "x-zinnia-service";
pub(crate) const DEADLINE: &str = "x-zinnia-deadline-ms";
pub(crate) const BINDING: &str = "x-zinnia-binding";
pub(crate) const WORK: &str = "x-zinnia-work";
pub(crate) const REPEAT: &str = "x-zinnia-repeat";
pub(crate) const KEY: &str = "idempotency-key";
pub(crate) const NOT_RUN: &str = "x-not-run";
pub(crate) const LEAVING: &str = "x-leaving";
pub(crate) const RESUME: &str = "x-resume-from";
pub(crate) const BACKEND_REQUEST: &str = "x-request-id";
pub(crate) const PRIORITY: &str = "x-priority";
pub(crate) const PROOF: &str = "x-zinnia-proof";
pub(crate) const ACCOUNT: &str = "x-zinnia-account";
pub(crate) const CALLER: &str = "x-zinnia-caller";
pub(crate) const KEYED: &str = "x-zinnia-keyed";

/// Hop-by-hop headers, which are never passed on.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
];

/// Returns whether a header of a caller's request is forwarded to the backend server.
///
/// The caller's API key is removed: a backend server does not need it and must not log it.
pub(crate) fn forwards_request_header(name: &HeaderName) -> bool {
    let name = name.as_str();
    !HOP_HEADERS.contains(&name)
        && !name.starts_with("x-zinnia-")
        && ![
            "authorization",
            "host",
            "content-length",
            "expect",
            KEY,
            RESUME,
            BACKEND_REQUEST,
            PRIORITY,
        ]
        .contains(&name)
}

/// Returns whether a header of a backend server's response is returned to the caller.
pub(crate) fn forwards_response_header(name: &HeaderName) -> bool {
    let name = name.as_str();
    !HOP_HEADERS.contains(&name)
        && !name.starts_with("x-zinnia-")
        && !["content-length", BACKEND_REQUEST].contains(&name)
}

/// Returns the value of a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the token of an `authorization: Bearer` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    text(headers, "authorization")?
        .strip_prefix("Bearer ")
        .map(str::trim)
}
