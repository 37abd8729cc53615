//! Incremental decoder of the chunked transfer coding.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderName;
use http::HeaderValue;
use zinniahatch_route::ChunkBudget;
use zinniahatch_route::ReadBound;

/// Longest chunk-size or trailer line. A body with a longer one is malformed.
const MAX_LINE_BYTES: usize = 8 << 10;
/// Longest chunk-size line without an extension: 16 digits and the end of the line.
const PLAIN_LINE_BYTES: usize = 18;

/// State of the decoder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkState {
    /// Before a chunk-size line.
    #[default]
    Size,
    /// Inside a chunk, with the given number of bytes to come.
    Data(u64),
    /// Before the line end that follows a chunk.
    DataEnd,
    /// In the trailer section.
    Trailer,
    /// After the end.
    Done,
}

/// Result of a decoding step.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkStep {
    /// Bytes of the body.
    Data(Bytes),
    /// More input is needed.
    More,
    /// The body is complete.
    End,
    /// The input is not a chunked body.
    Malformed,
    /// The framing of the body is too large.
    Excess(ReadBound),
}

/// Decoder of one body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChunkDecoder {
    state: ChunkState,
    budget: ChunkBudget,
}

impl ChunkDecoder {
    /// Decodes as much as possible from the buffer.
    pub(crate) fn step(&mut self, buffer: &mut BytesMut) -> ChunkStep {
        loop {
            match self.state {
                // The parser takes a line without a digit for a size of 0, which would end the body.
                ChunkState::Size if starts_with_no_digit(buffer) => return ChunkStep::Malformed,
                ChunkState::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buffer.advance(used);
                        let extension = used.saturating_sub(PLAIN_LINE_BYTES);
                        if let Err(bound) = self.budget.note_extension(extension) {
                            return ChunkStep::Excess(bound);
                        }
                        self.state = if size == 0 {
                            ChunkState::Trailer
                        } else {
                            ChunkState::Data(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() < MAX_LINE_BYTES => {
                        return ChunkStep::More;
                    }
                    _ => return ChunkStep::Malformed,
                },
                ChunkState::Data(left) => {
                    if buffer.is_empty() {
                        return ChunkStep::More;
                    }
                    let take = buffer
                        .len()
                        .min(usize::try_from(left).unwrap_or(usize::MAX));
                    let rest = left - take as u64;
                    self.state = if rest == 0 {
                        ChunkState::DataEnd
                    } else {
                        ChunkState::Data(rest)
                    };
                    return ChunkStep::Data(buffer.split_to(take).freeze());
                }
                ChunkState::DataEnd => {
                    if buffer.len() < 2 {
                        return ChunkStep::More;
                    }
                    if &buffer[..2] != b"\r\n" {
                        return ChunkStep::Malformed;
                    }
                    buffer.advance(2);
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_LINE_BYTES {
                            return ChunkStep::Malformed;
                        }
                        return ChunkStep::More;
                    };
                    let line = buffer.split_to(end + 2);
                    if let Err(bound) = self.budget.note_trailer(line.len()) {
                        return ChunkStep::Excess(bound);
                    }
                    if end == 0 {
                        self.state = ChunkState::Done;
                    } else if !is_field(&line[..end]) {
                        return ChunkStep::Malformed;
                    }
                }
                ChunkState::Done => return ChunkStep::End,
            }
        }
    }
}

fn starts_with_no_digit(buffer: &[u8]) -> bool {
    buffer.first().is_some_and(|byte| !byte.is_ascii_hexdigit())
}

/// Returns whether a line of the trailer section is a field.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let value = line[colon + 1..].trim_ascii();
    HeaderName::from_bytes(&line[..colon]).is_ok() && HeaderValue::from_bytes(value).is_ok()
}
