//! How a replica frames its answers, and how they end.

use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How an answer marks its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFraming {
    /// In chunks.
    #[default]
    Chunks,
    /// With a length.
    Length,
    /// By the end of the connection.
    Close,
}

/// How an answer ends that is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The replica closes the connection in order.
    Close,
    /// The replica resets the connection.
    Reset,
    /// The replica sends nothing more.
    Silence,
    /// The process of the replica ends.
    Crash,
}

/// Where and how an answer is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerBreak {
    /// Number of complete events before the break.
    pub after: u32,
    /// Whether half of the next event is sent too.
    pub inside_event: bool,
    /// How the answer ends.
    pub end: AnswerEnd,
}

/// Form of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerForm {
    /// How the answer marks its end.
    pub framing: AnswerFraming,
    /// The break, unless the answer is sent whole.
    pub broken: Option<AnswerBreak>,
}

impl AnswerForm {
    /// Returns the form of a whole answer.
    pub const fn whole(framing: AnswerFraming) -> Self {
        Self {
            framing,
            broken: None,
        }
    }

    /// Returns the header line that announces the framing of a body of `length` bytes.
    pub(super) fn header_line(self, length: usize) -> String {
        match self.framing {
            AnswerFraming::Chunks => "Transfer-Encoding: chunked\r\n".into(),
            AnswerFraming::Length => format!("Content-Length: {length}\r\n"),
            AnswerFraming::Close => "Connection: close\r\n".into(),
        }
    }

    /// Writes a part of the body.
    pub(super) async fn write_part(self, stream: &mut TcpStream, part: &str) -> io::Result<()> {
        if part.is_empty() {
            return Ok(());
        }
        let framed = match self.framing {
            AnswerFraming::Chunks => format!("{:x}\r\n{part}\r\n", part.len()),
            AnswerFraming::Length | AnswerFraming::Close => part.into(),
        };
        stream.write_all(framed.as_bytes()).await
    }

    /// Ends a whole body; returns whether the connection stays open.
    pub(super) async fn finish(self, stream: &mut TcpStream) -> bool {
        match self.framing {
            AnswerFraming::Chunks => stream.write_all(b"0\r\n\r\n").await.is_ok(),
            AnswerFraming::Length => true,
            AnswerFraming::Close => false,
        }
    }
}

/// Resets a connection when it is dropped.
pub(super) fn reset_on_drop(stream: &TcpStream) {
    // A connection that cannot be prepared is closed in order, which the test notices.
    let _ = stream.set_zero_linger();
}
