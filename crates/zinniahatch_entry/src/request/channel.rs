//! One channel to a backend server or another node.
//!
//! At most once rests on what this module knows of a channel: whether a request left, whose
//! answer arrives, and whether bytes are left over. An HTTP client library hides all three, so
//! only its parser is used here.

use crate::request::chunks::ChunkState;
use crate::request::chunks::ChunkStep;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::ResponseHeaders;
use zinniahatch_platform::read_response;
use zinniahatch_route::SendPermit;

/// Bytes read at once; an event of a stream has well under one.
const READ_BYTES: usize = 8 << 10;
/// Largest head of an answer.
const LARGEST_HEAD: usize = 64 << 10;
/// Headers of an answer at most.
const MOST_HEADERS: usize = 64;
/// Time for unacknowledged bytes after which the kernel gives the channel up. A peer behind a
/// partition answers nothing, and without this the channel would hang for minutes.
const UNACKED_TIME: Duration = Duration::from_millis(2500);
/// Idle time after which a channel is closed where the other end names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the other end's idle limit that is used: the last part is for bytes on their way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Why a channel gave no (whole) answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChannelError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(Box<str>),
    /// Nobody listens at the address, so nothing was sent.
    #[error("no connection: refused")]
    Refused,
    /// The channel broke after something may have been sent.
    #[error("the channel broke: {0}")]
    Broken(Box<str>),
    /// The bytes are no answer in the protocol.
    #[error("no answer in the protocol: {0}")]
    Malformed(&'static str),
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFrame {
    Length(u64),
    Chunked(ChunkState),
    UntilClose,
    Done,
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Its status.
    pub status: StatusCode,
    /// All its headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub marks: ResponseHeaders,
    /// Length of the body, where it is known beforehand.
    pub length: Option<u64>,
}

/// One channel.
#[derive(Debug)]
pub struct BackendChannel {
    stream: TcpStream,
    address: SocketAddrV4,
    buffer: BytesMut,
    frame: BodyFrame,
    idle_limit: Duration,
    idle_since: Instant,
    reusable: bool,
    used: bool,
}

impl BackendChannel {
    /// Connects.
    ///
    /// # Errors
    ///
    /// No connection was made in the time given.
    #[expect(clippy::disallowed_methods, reason = "the one place that connects")]
    pub async fn connect(address: SocketAddrV4, limit: Duration) -> Result<Self, ChannelError> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| ChannelError::Connect("timed out".into()))?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => ChannelError::Refused,
                _ => ChannelError::Connect(error.to_string().into()),
            })?;
        let tuned = stream.set_nodelay(true).and_then(|()| {
            socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIME))
        });
        tuned.map_err(|error| ChannelError::Connect(error.to_string().into()))?;
        Ok(Self {
            stream,
            address,
            buffer: BytesMut::new(),
            frame: BodyFrame::Done,
            idle_limit: DEFAULT_IDLE,
            idle_since: Instant::now(),
            reusable: true,
            used: false,
        })
    }

    /// Waits for so long whether the other side ends a channel on which nothing was sent.
    pub(crate) async fn ends_within(&self, limit: Duration) -> bool {
        let ended = async {
            let mut byte = [0_u8; 1];
            loop {
                if self.stream.readable().await.is_err() {
                    return true;
                }
                match self.stream.try_read(&mut byte) {
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Ok(count) => return count == 0,
                    Err(_) => return true,
                }
            }
        };
        timeout(limit, ended).await.unwrap_or(false)
    }

    /// Tells whether the channel carried a request before.
    pub fn was_used(&self) -> bool {
        self.used
    }

    /// Tells whether an idle channel may carry another request.
    ///
    /// Bytes without a request are a late second answer or rubbish, and an end means that the
    /// other side is leaving; either way a request sent here could get somebody else's answer or
    /// be lost.
    pub fn is_fresh(&mut self, now: Instant) -> bool {
        if !self.is_reusable() {
            return false;
        }
        let limit = self.idle_limit.saturating_sub(IDLE_MARGIN);
        if now.saturating_duration_since(self.idle_since) >= limit {
            return false;
        }
        let mut byte = [0_u8; 1];
        matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == ErrorKind::WouldBlock
        )
    }

    /// Tells whether the answer was read to its end and the channel may be kept.
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.frame == BodyFrame::Done && self.buffer.is_empty()
    }

    /// Notes that the channel lies idle from now on.
    pub fn rest(&mut self, now: Instant) {
        self.idle_since = now;
        // A kept channel holds no read buffer; thousands of idle ones would cost memory.
        self.buffer = BytesMut::new();
    }

    /// Sends the request that a permit is for.
    ///
    /// The other side may answer before it has read a long body. Then the rest is not sent and
    /// the channel is closed after the answer: whatever else went out on it would be read as the
    /// rest of that body.
    ///
    /// # Errors
    ///
    /// The channel broke; the request may have run all the same.
    pub async fn send<P: SendPermit>(
        &mut self,
        permit: P,
        head: &[u8],
        body: &[u8],
    ) -> Result<(), ChannelError> {
        if permit.address() != self.address {
            return Err(ChannelError::Connect(
                "the permit is for another one".into(),
            ));
        }
        self.used = true;
        // A short request goes out in one write, which most often is one packet.
        let joined: Vec<u8> = [head, body].concat();
        let mut rest: &[u8] = &joined;
        while !rest.is_empty() {
            tokio::select! {
                ready = self.stream.writable() => {
                    ready.map_err(broken)?;
                    match self.stream.try_write(rest) {
                        Ok(count) => rest = &rest[count..],
                        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                        Err(error) => return self.early_or(error).await,
                    }
                }
                read = read_more(&self.stream, &mut self.buffer) => {
                    let count = read.map_err(broken)?;
                    self.reusable = false;
                    if count == 0 {
                        return Err(ChannelError::Broken("closed while sending".into()));
                    }
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// After a failed write, looks whether an early answer had arrived before.
    async fn early_or(&mut self, error: io::Error) -> Result<(), ChannelError> {
        self.reusable = false;
        match read_more(&self.stream, &mut self.buffer).await {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(broken(error)),
        }
    }

    /// Reads the head of the answer to an attempt.
    ///
    /// Answers that name another attempt are late second answers to an earlier request; they are
    /// read to their end and thrown away.
    ///
    /// # Errors
    ///
    /// The channel broke or carried something that is no answer.
    pub async fn read_head(
        &mut self,
        method: &Method,
        attempt: &str,
    ) -> Result<AnswerHead, ChannelError> {
        loop {
            let head = self.read_any_head(method).await?;
            if head.status.is_informational() {
                continue;
            }
            let foreign = head
                .marks
                .attempt
                .as_deref()
                .is_some_and(|named| named != attempt);
            if !foreign {
                return Ok(head);
            }
            self.reusable = false;
            if self.frame == BodyFrame::UntilClose {
                return Err(ChannelError::Malformed(
                    "an unframed answer of another request",
                ));
            }
            while self.read_body().await?.is_some() {}
        }
    }

    async fn read_any_head(&mut self, method: &Method) -> Result<AnswerHead, ChannelError> {
        loop {
            if let Some(head) = self.parse_head(method)? {
                return Ok(head);
            }
            if self.buffer.len() > LARGEST_HEAD {
                return Err(ChannelError::Malformed("the head is too large"));
            }
            if self.fill().await? == 0 {
                return Err(ChannelError::Broken("closed without an answer".into()));
            }
        }
    }

    fn parse_head(&mut self, method: &Method) -> Result<Option<AnswerHead>, ChannelError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let used = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ChannelError::Malformed("the head cannot be read")),
        };
        let status = parsed
            .code
            .and_then(|code| StatusCode::from_u16(code).ok())
            .ok_or(ChannelError::Malformed("the status is none"))?;
        let old_version = parsed.version == Some(0);
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for line in parsed.headers.iter() {
            let name = HeaderName::from_bytes(line.name.as_bytes());
            let value = HeaderValue::from_bytes(line.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(ChannelError::Malformed("a header cannot be read"));
            };
            headers.append(name, value);
        }
        let _ = self.buffer.split_to(used);
        let marks = read_response(status, &headers);
        self.frame = frame_of(method, status, &headers)?;
        if let Some(limit) = marks.idle_limit {
            self.idle_limit = limit;
        }
        if marks.closes || old_version || self.frame == BodyFrame::UntilClose {
            self.reusable = false;
        }
        let length = match self.frame {
            BodyFrame::Length(length) => Some(length),
            BodyFrame::Done => Some(0),
            _ => None,
        };
        if self.frame == BodyFrame::Length(0) {
            self.frame = BodyFrame::Done;
        }
        Ok(Some(AnswerHead {
            status,
            headers,
            marks,
            length,
        }))
    }

    /// Reads some bytes of the body; none at its end.
    ///
    /// # Errors
    ///
    /// The body ended before its end was due.
    pub async fn read_body(&mut self) -> Result<Option<Bytes>, ChannelError> {
        loop {
            match self.frame {
                BodyFrame::Done => return Ok(None),
                BodyFrame::Length(left) if !self.buffer.is_empty() => {
                    let take = self
                        .buffer
                        .len()
                        .min(usize::try_from(left).unwrap_or(usize::MAX));
                    let rest = left - take as u64;
                    self.frame = if rest == 0 {
                        BodyFrame::Done
                    } else {
                        BodyFrame::Length(rest)
                    };
                    return Ok(Some(self.buffer.split_to(take).freeze()));
                }
                BodyFrame::UntilClose if !self.buffer.is_empty() => {
                    return Ok(Some(self.buffer.split().freeze()));
                }
                BodyFrame::Chunked(mut state) => {
                    let step = state.step(&mut self.buffer);
                    self.frame = BodyFrame::Chunked(state);
                    match step {
                        ChunkStep::Data(bytes) => return Ok(Some(bytes)),
                        ChunkStep::End => {
                            self.frame = BodyFrame::Done;
                            return Ok(None);
                        }
                        ChunkStep::Malformed => {
                            return Err(ChannelError::Malformed("a chunk cannot be read"));
                        }
                        ChunkStep::More => {}
                    }
                }
                BodyFrame::Length(_) | BodyFrame::UntilClose => {}
            }
            if self.fill().await? == 0 {
                if self.frame == BodyFrame::UntilClose {
                    self.frame = BodyFrame::Done;
                    return Ok(None);
                }
                return Err(ChannelError::Broken("closed inside the body".into()));
            }
        }
    }

    async fn fill(&mut self) -> Result<usize, ChannelError> {
        read_more(&self.stream, &mut self.buffer)
            .await
            .map_err(broken)
    }
}

async fn read_more(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            other => return other,
        }
    }
}

fn broken(error: io::Error) -> ChannelError {
    ChannelError::Broken(error.to_string().into())
}

/// Tells how the body ends, by the rules of HTTP/1.1.
fn frame_of(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<BodyFrame, ChannelError> {
    let empty = status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || *method == Method::HEAD;
    if empty {
        return Ok(BodyFrame::Done);
    }
    if let Some(coding) = headers.get(header::TRANSFER_ENCODING) {
        if !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Err(ChannelError::Malformed("the transfer coding is not known"));
        }
        return Ok(BodyFrame::Chunked(ChunkState::Size));
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(BodyFrame::UntilClose);
    };
    if lengths.any(|other| other != first) {
        return Err(ChannelError::Malformed("two lengths"));
    }
    first
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(BodyFrame::Length)
        .ok_or(ChannelError::Malformed("the length is no number"))
}
