//! Splits a stream of server-sent events into whole events.
//!
//! A replica may fail in the middle of an event. The caller of a resumable stream receives only
//! whole events, so that the next replica's events can follow without a truncated event in between.

use bytes::Bytes;
use bytes::BytesMut;

/// Buffers bytes and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
    last_id: Option<Box<str>>,
}

impl EventSplitter {
    /// Creates a splitter that continues after an event that the caller already has.
    pub fn after(last_id: Option<Box<str>>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes and returns those of all events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let start = self.scanned.saturating_sub(3);
        for index in start..self.buffer.len() {
            if self.buffer[index] != b'\n' {
                continue;
            }
            let line = &self.buffer[..index];
            let blank = line.ends_with(b"\n") || line.ends_with(b"\n\r") || line == b"\r";
            if blank || index == 0 {
                end = index + 1;
            }
        }
        self.scanned = self.buffer.len() - end;
        if end == 0 {
            return None;
        }
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id_in(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event, before another replica continues the stream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }
}

fn last_id_in(events: &[u8]) -> Option<Box<str>> {
    events
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().into())
}
