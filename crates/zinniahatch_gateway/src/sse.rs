//! Server-sent events: splits chunks into complete events and reads tokens and usage from them.

use crate::response::TokenUsage;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use thiserror::Error;

/// Largest event that is waited for.
const MAX_EVENT_BYTES: usize = 1 << 20;
const EVENT_END: &[u8] = b"\n\n";
const DONE_EVENT: &[u8] = b"data: [DONE]";
const DATA_FIELD: &[u8] = b"data: ";

/// An event has no end within the bytes that one may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub(crate) struct EventTooLarge;

/// Splits a stream of chunks at the ends of events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    /// Events passed on, without the end marker.
    pub(crate) events: u64,
    /// Whether the end marker was received.
    pub(crate) done: bool,
    last: Bytes,
}

#[derive(Deserialize)]
struct UsageEvent {
    usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct TokenEvent {
    choices: Vec<TokenChoice>,
}

#[derive(Deserialize)]
struct TokenChoice {
    #[serde(default)]
    delta: TokenDelta,
}

#[derive(Default, Deserialize)]
struct TokenDelta {
    #[serde(default)]
    content: String,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// The event that is not complete is too large.
    pub(crate) fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventTooLarge> {
        let complete = if self.pending.is_empty() && chunk.ends_with(EVENT_END) {
            chunk
        } else {
            let searched = self.pending.len().saturating_sub(EVENT_END.len() - 1);
            self.pending.extend_from_slice(&chunk);
            match find_last_end(&self.pending[searched..]) {
                Some(end) => self.pending.split_to(searched + end).freeze(),
                None if self.pending.len() > MAX_EVENT_BYTES => return Err(EventTooLarge),
                None => return Ok(Bytes::new()),
            }
        };
        let mut from = 0;
        while let Some(end) = find_end(&complete[from..]) {
            let event = complete.slice(from..from + end);
            from += end + EVENT_END.len();
            if event.as_ref() == DONE_EVENT {
                self.done = true;
                continue;
            }
            self.events += 1;
            self.last = event;
        }
        Ok(complete)
    }

    /// Drops an incomplete event after a connection broke.
    pub(crate) fn reset(&mut self) {
        self.pending.clear();
    }

    /// Returns the usage in the last event before the end marker.
    pub(crate) fn usage(&self) -> TokenUsage {
        let data = self.last.strip_prefix(DATA_FIELD).unwrap_or(&self.last);
        let event: Option<UsageEvent> = serde_json::from_slice(data).ok();
        event.and_then(|event| event.usage).unwrap_or_default()
    }
}

/// Returns the token text of complete events.
pub(crate) fn token_text(events: &[u8]) -> String {
    let mut text = String::new();
    for event in events.split(|byte| *byte == b'\n') {
        let Some(data) = event.strip_prefix(DATA_FIELD) else {
            continue;
        };
        let Ok(token) = serde_json::from_slice::<TokenEvent>(data) else {
            continue;
        };
        for choice in token.choices {
            text.push_str(&choice.delta.content);
        }
    }
    text
}

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)
}

fn find_last_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)
        .map(|at| at + EVENT_END.len())
}
