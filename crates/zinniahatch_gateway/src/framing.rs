//! What marks the end of a response body.

use reqwest::Response;
use salvo::http::header;
use zinniahatch_platform::announces_reuse;

/// Returns whether a response states the length of its body, sends it in chunks, or has none. The body of any
/// other one ends with its connection, and so does one that is truncated.
pub(crate) fn is_framed(response: &Response) -> bool {
    response.content_length().is_some()
        || response.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether what the head of a response says of the end of its body can hold.
///
/// The HTTP client reads a body whose coding it does not know until the connection ends, and takes other
/// codings before chunks for none.
pub(crate) fn has_sound_framing(response: &Response) -> bool {
    let headers = response.headers();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        return codings.next().is_none() && coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    }
    is_framed(response) || !announces_reuse(headers)
}
