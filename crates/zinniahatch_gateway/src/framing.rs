//! What marks the end of a response body.

use reqwest::Response;
use salvo::http::header;

/// Returns whether a response states the length of its body, sends it in chunks, or has none. The body of any
/// other one ends with its connection, and so does one that is truncated.
pub(crate) fn is_framed(response: &Response) -> bool {
    response.content_length().is_some()
        || response.headers().contains_key(header::TRANSFER_ENCODING)
}
