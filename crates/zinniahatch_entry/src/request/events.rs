//! Splits a stream of server-sent events into whole events.
//!
//! A replica may fail in the middle of an event. The caller of a resumable stream receives only
//! whole events, so that the next replica's events can follow without a truncated event in between.

use crate::request::body_position::BodyPosition;
use crate::request::event_scanner::BYTE_ORDER_MARK;
use crate::request::event_scanner::EventScanner;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Size up to which a buffer is kept for the next event.
const MAX_SPARE_BYTES: usize = 16 << 10;

/// Buffers bytes and returns whole events.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanner: EventScanner,
    last_id: Option<Box<str>>,
    /// Whether the bytes continue a stream whose beginning the caller has.
    continues: bool,
}

impl Default for EventSplitter {
    fn default() -> Self {
        Self::after(None)
    }
}

impl EventSplitter {
    /// Creates a splitter that continues after an event that the caller already has.
    pub fn after(last_id: Option<Box<str>>) -> Self {
        Self {
            buffer: BytesMut::new(),
            scanner: EventScanner::at_start(),
            last_id,
            continues: false,
        }
    }

    /// Adds bytes and returns those of all events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let buffered = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let end = buffered + self.scanner.push(bytes)?;
        let mut whole = self.buffer.split_to(end).freeze();
        // What follows would keep the memory of a large event.
        if self.buffer.capacity() > MAX_SPARE_BYTES {
            self.buffer = BytesMut::from(&*self.buffer);
        }
        // A byte order mark may stand only at the beginning of a stream.
        if self.continues && whole.starts_with(&BYTE_ORDER_MARK) {
            whole.advance(BYTE_ORDER_MARK.len());
        }
        self.continues = true;
        if let Some(id) = last_id_in(&whole) {
            self.last_id = Some(id);
        }
        (!whole.is_empty()).then_some(whole)
    }

    /// Returns the size of the buffer for what belongs to no whole event yet.
    pub fn buffer_size(&self) -> usize {
        self.buffer.capacity()
    }

    /// Follows bytes that are passed on as they arrive.
    pub fn follow(&mut self, bytes: &[u8]) {
        self.scanner.push(bytes);
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn has_partial(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Returns how far the current replica's response has come.
    pub fn position(&self) -> BodyPosition {
        self.scanner.position()
    }

    /// Returns what follows the last whole event, such as a comment at the end of a stream.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.buffer).freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Discards an incomplete event, before another replica continues the stream.
    pub fn discard_partial(&mut self) {
        self.buffer = BytesMut::new();
        self.scanner = EventScanner::at_start();
    }
}

fn last_id_in(events: &[u8]) -> Option<Box<str>> {
    events
        .rsplit(|byte| matches!(byte, b'\n' | b'\r'))
        .map(|line| line.strip_prefix(&BYTE_ORDER_MARK).unwrap_or(line))
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().into())
}
