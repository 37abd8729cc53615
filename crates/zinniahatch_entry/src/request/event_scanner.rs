//! Finds the ends of server-sent events in a stream, whatever its line ends and however it arrives.

use crate::request::body_position::BodyPosition;

/// The byte order mark with which a stream may begin.
pub(crate) const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// What the current line holds so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineKind {
    /// Nothing.
    #[default]
    Empty,
    /// A comment, which belongs to no event.
    Comment,
    /// A field of an event.
    Field,
}

/// Position of a stream relative to its events.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    line: LineKind,
    /// Whether the current event has complete lines.
    has_fields: bool,
    /// Whether an event has ended.
    has_events: bool,
    /// The line that the last byte ended, if that was a carriage return. A line feed after it ends
    /// the same line.
    returned: Option<LineKind>,
    /// Whether lines end with both characters, as far as the stream has shown.
    ends_with_both: bool,
    /// Number of bytes of the byte order mark read; `None` after the first other byte.
    mark: Option<usize>,
}

impl EventScanner {
    /// Creates a scanner for the beginning of a stream.
    pub fn at_start() -> Self {
        Self {
            mark: Some(0),
            ..Self::default()
        }
    }

    /// Returns whether the stream has reached the inside of an event. A stream that ends here was
    /// truncated. A comment is not part of an event, nor is a byte order mark.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.line == LineKind::Field
    }

    /// Returns how far the stream has come.
    pub fn position(&self) -> BodyPosition {
        if self.is_inside_event() {
            BodyPosition::InsideEvent
        } else if self.has_events {
            BodyPosition::Further
        } else {
            BodyPosition::Start
        }
    }

    /// Reads bytes and returns how many of them, from their beginning, lie before the end of the
    /// last complete event; `None` if no event ended.
    ///
    /// Where lines end with a carriage return and a line feed, an event ends only with the latter.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            if self.skips_mark(*byte) {
                continue;
            }
            if let Some(line) = self.returned.take() {
                let is_pair = *byte == b'\n';
                if line == LineKind::Empty {
                    end = Some(index + usize::from(is_pair));
                }
                self.ends_with_both = is_pair;
                if is_pair {
                    continue;
                }
            }
            match byte {
                b'\r' | b'\n' => {
                    let line = self.end_line();
                    self.returned = (*byte == b'\r').then_some(line);
                    let awaits_feed = self.returned.is_some() && self.ends_with_both;
                    if line == LineKind::Empty && !awaits_feed {
                        end = Some(index + 1);
                    }
                }
                b':' if self.line == LineKind::Empty => self.line = LineKind::Comment,
                _ if self.line == LineKind::Empty => self.line = LineKind::Field,
                _ => {}
            }
        }
        end
    }

    /// Ends the current line and returns what it held.
    fn end_line(&mut self) -> LineKind {
        let line = std::mem::take(&mut self.line);
        match line {
            LineKind::Empty => self.has_events |= std::mem::take(&mut self.has_fields),
            LineKind::Comment => {}
            LineKind::Field => self.has_fields = true,
        }
        line
    }

    /// Returns whether a byte belongs to the byte order mark at the beginning of the stream.
    fn skips_mark(&mut self, byte: u8) -> bool {
        let Some(read) = self.mark else {
            return false;
        };
        if BYTE_ORDER_MARK.get(read) == Some(&byte) {
            self.mark = Some(read + 1);
            return true;
        }
        self.mark = None;
        false
    }
}
