//! What a head says of the end of its body.
//!
//! A head that contradicts itself, or says something that HTTP/1.1 does not know, is no response: guessing at its end
//! would give its caller another body than the sender's.

use crate::request::chunks::ChunkDecoder;
use crate::request::connection::ConnectionError;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Version as HttpVersion;
use http::header;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    Length(u64),
    Chunked(ChunkDecoder),
    UntilClose,
    Done,
}

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By the length that it states.
    Length,
    /// By the last chunk.
    LastChunk,
    /// By the end of the connection, which a truncated body has too.
    ConnectionClose,
}

impl BodyEnd {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::LastChunk => "chunks",
            Self::ConnectionClose => "close",
        }
    }
}

impl From<BodyFraming> for BodyEnd {
    fn from(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Length(_) | BodyFraming::Done => Self::Length,
            BodyFraming::Chunked(_) => Self::LastChunk,
            BodyFraming::UntilClose => Self::ConnectionClose,
        }
    }
}

/// Determines how the body ends, by the rules of HTTP/1.1.
pub(crate) fn body_framing(
    method: &Method,
    status: StatusCode,
    version: HttpVersion,
    headers: &HeaderMap,
) -> Result<BodyFraming, ConnectionError> {
    // A head that is spoilt is no response, also where it needs no framing.
    let framing = stated_framing(version, headers)?;
    let empty = status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || *method == Method::HEAD;
    Ok(if empty { BodyFraming::Done } else { framing })
}

/// Reads what a head says of the end of its body.
fn stated_framing(
    version: HttpVersion,
    headers: &HeaderMap,
) -> Result<BodyFraming, ConnectionError> {
    let length = stated_length(headers)?;
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(length.map_or(BodyFraming::UntilClose, BodyFraming::Length));
    };
    let is_chunked = codings.next().is_none() && coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || version != HttpVersion::HTTP_11 {
        return Err(ConnectionError::Malformed("unknown transfer coding"));
    }
    Ok(BodyFraming::Chunked(ChunkDecoder::default()))
}

fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, ConnectionError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.any(|other| other != first) {
        return Err(ConnectionError::Malformed("conflicting content lengths"));
    }
    first
        .to_str()
        .ok()
        // The parser of integers takes a sign as well.
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|text| text.parse().ok())
        .map(Some)
        .ok_or(ConnectionError::Malformed("invalid content length"))
}
