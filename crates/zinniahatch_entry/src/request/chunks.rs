//! Incremental decoder of the chunked transfer coding.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Longest chunk-size or trailer line. A body with a longer one is malformed.
const MAX_LINE_BYTES: usize = 8 << 10;

/// State of the decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkState {
    /// Before a chunk-size line.
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
}

impl ChunkState {
    /// Decodes as much as possible from the buffer.
    pub(crate) fn step(&mut self, buffer: &mut BytesMut) -> ChunkStep {
        loop {
            match *self {
                Self::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buffer.advance(used);
                        *self = if size == 0 {
                            Self::Trailer
                        } else {
                            Self::Data(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() < MAX_LINE_BYTES => {
                        return ChunkStep::More;
                    }
                    _ => return ChunkStep::Malformed,
                },
                Self::Data(left) => {
                    if buffer.is_empty() {
                        return ChunkStep::More;
                    }
                    let take = buffer
                        .len()
                        .min(usize::try_from(left).unwrap_or(usize::MAX));
                    let rest = left - take as u64;
                    *self = if rest == 0 {
                        Self::DataEnd
                    } else {
                        Self::Data(rest)
                    };
                    return ChunkStep::Data(buffer.split_to(take).freeze());
                }
                Self::DataEnd => {
                    if buffer.len() < 2 {
                        return ChunkStep::More;
                    }
                    if &buffer[..2] != b"\r\n" {
                        return ChunkStep::Malformed;
                    }
                    buffer.advance(2);
                    *self = Self::Size;
                }
                Self::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_LINE_BYTES {
                            return ChunkStep::Malformed;
                        }
                        return ChunkStep::More;
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        *self = Self::Done;
                    }
                }
                Self::Done => return ChunkStep::End,
            }
        }
    }
}
