//! An HTTP/1.1 connection to a backend server or another node.
//!
//! At-most-once execution depends on what this module knows about a connection: whether a request
//! was sent, which attempt a response belongs to, and whether unread bytes are left. An HTTP client
//! library hides all three, so only its parser is used here.

use crate::request::chunks::ChunkStep;
use crate::request::framing::BodyEnd;
use crate::request::framing::BodyFraming;
use crate::request::framing::body_framing;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use bytes::buf::Chain;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Version as HttpVersion;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::ResponseHeaders;
use zinniahatch_platform::announces_reuse;
use zinniahatch_platform::read_response;
use zinniahatch_route::ReadBound;
use zinniahatch_route::ReadTurn;
use zinniahatch_route::ResponseBudget;
use zinniahatch_route::SendPermit;

/// Bytes per read. An event of a stream is well below this size.
const READ_BYTES: usize = 8 << 10;
/// Size of a body up to which it is sent with its head in one write.
const MAX_JOINED_BODY_BYTES: usize = 64 << 10;
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of response headers.
const MAX_HEADERS: usize = 64;
/// Time after which the kernel closes a connection with unacknowledged bytes. A peer behind a
/// partition does not respond, and without this limit the connection would hang for minutes.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time after which a connection is closed if the other side announces none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Part of the other side's idle timeout that is left unused, as a margin for bytes in transit.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Why a connection delivered no response or only part of one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConnectionError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(Box<str>),
    /// The address refused the connection, so nothing was sent.
    #[error("no connection: refused")]
    Refused,
    /// The connection broke after something may have been sent.
    #[error("connection lost: {0}")]
    Broken(Box<str>),
    /// The bytes received are not a valid response.
    #[error("malformed response: {0}")]
    Malformed(&'static str),
    /// More was received than is read without a response.
    #[error("excessive response: {}", .0.name())]
    Excess(ReadBound),
}

impl From<ReadBound> for ConnectionError {
    fn from(bound: ReadBound) -> Self {
        Self::Excess(bound)
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// All headers, unfiltered.
    pub headers: HeaderMap,
    /// The headers that the gateway interprets, parsed.
    pub parsed_headers: ResponseHeaders,
    /// Length of the body, if known in advance.
    pub length: Option<u64>,
    /// How the response marks the end of its body.
    pub body_end: BodyEnd,
}

impl ResponseHead {
    /// Returns the head of a response of another node. Nodes state the length of a body or send it in
    /// chunks, so that one without either has lost a part of its head.
    ///
    /// # Errors
    ///
    /// Nothing marks the end of the body.
    pub fn framed(self) -> Result<Self, ConnectionError> {
        if self.body_end == BodyEnd::ConnectionClose {
            return Err(ConnectionError::Malformed("unframed response of a node"));
        }
        Ok(self)
    }
}

/// A connection to a backend server or another node.
#[derive(Debug)]
pub struct BackendConnection {
    stream: TcpStream,
    address: SocketAddrV4,
    buffer: BytesMut,
    /// What is left to be sent of the head and the body of a request.
    unsent: Chain<Bytes, Bytes>,
    frame: BodyFraming,
    idle_limit: Duration,
    idle_since: Instant,
    reusable: bool,
    used: bool,
    /// Whether a request was sent whose response head has not been read.
    awaits_head: bool,
    /// What was read of the current response and dropped.
    budget: ResponseBudget,
    turn: ReadTurn,
    /// Why it broke. The system reports a reset once, to a read or to a write. What had arrived before can
    /// still be read, and its end then looks like an orderly close.
    broken: Option<ConnectionError>,
}

impl BackendConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// No connection was made within `limit`.
    #[expect(clippy::disallowed_methods, reason = "the one place that connects")]
    pub async fn connect(address: SocketAddrV4, limit: Duration) -> Result<Self, ConnectionError> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectionError::Connect("timed out".into()))?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => ConnectionError::Refused,
                _ => ConnectionError::Connect(error.to_string().into()),
            })?;
        let tuned = stream.set_nodelay(true).and_then(|()| {
            socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
        });
        tuned.map_err(|error| ConnectionError::Connect(error.to_string().into()))?;
        Ok(Self {
            stream,
            address,
            buffer: BytesMut::new(),
            unsent: Bytes::new().chain(Bytes::new()),
            frame: BodyFraming::Done,
            idle_limit: DEFAULT_IDLE_LIMIT,
            idle_since: Instant::now(),
            reusable: true,
            used: false,
            awaits_head: false,
            budget: ResponseBudget::default(),
            turn: ReadTurn::default(),
            broken: None,
        })
    }

    /// Returns whether the other side closes the connection within `limit`. For connections on
    /// which nothing was sent.
    pub(crate) async fn closes_within(&self, limit: Duration) -> bool {
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

    /// Returns whether the connection has carried a request before.
    pub fn was_used(&self) -> bool {
        self.used
    }

    /// Returns whether an idle connection may carry another request.
    ///
    /// Unsolicited bytes are a late second response or garbage, and an end of file means that the
    /// other side is leaving. In either case a request sent here could receive another caller's
    /// response or be lost.
    pub fn is_usable(&mut self, now: Instant) -> bool {
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

    /// Returns whether the response was read to its end and the connection may be kept.
    pub fn is_reusable(&self) -> bool {
        self.reusable && !self.is_exchanging() && self.buffer.is_empty()
    }

    /// Returns whether a request was sent whose response has not been read to its end.
    pub(crate) fn is_exchanging(&self) -> bool {
        self.awaits_head || self.frame != BodyFraming::Done
    }

    /// Records that the connection is idle from now on.
    pub fn mark_idle(&mut self, now: Instant) {
        self.idle_since = now;
        // Idle connections hold no read buffer, because thousands of them would cost memory.
        self.buffer = BytesMut::new();
    }

    /// Sends the request that `permit` was issued for.
    ///
    /// The other side may respond before it has read a long body. Then the rest of the body is sent while
    /// the response is read, since it may be needed for that, and the connection is closed after the
    /// response. Anything else sent on it would be read as the rest of that body.
    ///
    /// # Errors
    ///
    /// The connection broke. The request may have run nevertheless.
    pub async fn send<P: SendPermit>(
        &mut self,
        permit: P,
        head: &[u8],
        body: &Bytes,
    ) -> Result<(), ConnectionError> {
        if permit.address() != self.address {
            return Err(ConnectionError::Connect(
                "the permit is for another address".into(),
            ));
        }
        self.used = true;
        self.awaits_head = true;
        self.budget = ResponseBudget::default();
        // A short request is sent in one write, usually as a single packet. A long body is not copied.
        self.unsent = if body.len() <= MAX_JOINED_BODY_BYTES {
            Bytes::from([head, body].concat()).chain(Bytes::new())
        } else {
            Bytes::copy_from_slice(head).chain(body.clone())
        };
        self.write().await
    }

    /// Writes the request, or a part of it if the other side responds meanwhile.
    async fn write(&mut self) -> Result<(), ConnectionError> {
        while self.unsent.has_remaining() {
            let read = self.send_or_read().await;
            if self.broken.is_some() {
                self.reusable = false;
                // An early response may have arrived before.
                return self.fill().await.map(drop);
            }
            let Some(count) = read.map_err(broken)? else {
                continue;
            };
            self.reusable = false;
            if count == 0 {
                return Err(ConnectionError::Broken("closed while sending".into()));
            }
            return Ok(());
        }
        Ok(())
    }

    /// Reads the head of the response to an attempt.
    ///
    /// Responses that name another attempt are late second responses to an earlier request. They
    /// are read to their end and discarded.
    ///
    /// # Errors
    ///
    /// The connection broke or delivered something that is not a response.
    pub async fn read_head(
        &mut self,
        method: &Method,
        attempt: &str,
    ) -> Result<ResponseHead, ConnectionError> {
        let is_other = |head: &ResponseHead| {
            let named = head.parsed_headers.attempt.as_deref();
            named.is_some_and(|named| named != attempt)
        };
        self.read_head_unless(method, is_other).await
    }

    /// Reads the head of a replica's response to an attempt, which names the attempt.
    ///
    /// A success that names none is discarded too: a faulty replica sends bytes after a complete
    /// response, and these may look like one.
    ///
    /// # Errors
    ///
    /// As `read_head`, a success does not bear the replica's seal, or the end of the connection would mark the
    /// end of the response although the replica keeps it open.
    pub async fn read_replica_head(
        &mut self,
        method: &Method,
        attempt: &str,
    ) -> Result<ResponseHead, ConnectionError> {
        let is_other = |head: &ResponseHead| {
            let named = head.parsed_headers.attempt.as_deref();
            named.map_or(head.status.is_success(), |named| named != attempt)
        };
        let head = self.read_head_unless(method, is_other).await?;
        // The response has lost the line that says where it ends.
        let lost_its_end =
            head.body_end == BodyEnd::ConnectionClose && announces_reuse(&head.headers);
        if lost_its_end && !head.parsed_headers.not_run {
            return Err(ConnectionError::Malformed(
                "unframed response on a connection that stays open",
            ));
        }
        if head.status.is_success() && !head.parsed_headers.sealed {
            return Err(ConnectionError::Malformed("success without a seal"));
        }
        Ok(head)
    }

    /// Reads the head of the first response that is not another request's.
    async fn read_head_unless(
        &mut self,
        method: &Method,
        is_other: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ResponseHead, ConnectionError> {
        loop {
            let head = self.read_any_head(method).await?;
            if head.status.is_informational() {
                self.budget.note_interim()?;
                continue;
            }
            if !is_other(&head) {
                self.awaits_head = false;
                return Ok(head);
            }
            self.reusable = false;
            if self.frame == BodyFraming::UntilClose {
                return Err(ConnectionError::Malformed(
                    "unframed response to another request",
                ));
            }
            self.budget.note_foreign(head.length)?;
            self.discard_body().await?;
        }
    }

    /// Reads the body to its end and drops it.
    ///
    /// # Errors
    ///
    /// As `read_body`, or the body is too long to be discarded.
    pub(crate) async fn discard_body(&mut self) -> Result<(), ConnectionError> {
        while let Some(bytes) = self.read_body().await? {
            self.budget.note_discarded(bytes.len())?;
        }
        Ok(())
    }

    /// Reads the body to its end and returns it.
    ///
    /// # Errors
    ///
    /// As `read_body`, or the body has more than `limit` bytes.
    pub async fn read_whole_body(&mut self, limit: usize) -> Result<Vec<u8>, ConnectionError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.read_body().await? {
            if body.len() + bytes.len() > limit {
                self.reusable = false;
                return Err(ReadBound::KeptBytes.into());
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body)
    }

    async fn read_any_head(&mut self, method: &Method) -> Result<ResponseHead, ConnectionError> {
        loop {
            if let Some(head) = self.parse_head(method)? {
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ConnectionError::Malformed("response head too large"));
            }
            if self.fill().await? == 0 {
                return Err(ConnectionError::Broken("closed before a response".into()));
            }
        }
    }

    fn parse_head(&mut self, method: &Method) -> Result<Option<ResponseHead>, ConnectionError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let used = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ConnectionError::Malformed("invalid response head")),
        };
        let status = parsed
            .code
            .and_then(|code| StatusCode::from_u16(code).ok())
            .ok_or(ConnectionError::Malformed("invalid status code"))?;
        let version = match parsed.version {
            Some(0) => HttpVersion::HTTP_10,
            _ => HttpVersion::HTTP_11,
        };
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for line in parsed.headers.iter() {
            let name = HeaderName::from_bytes(line.name.as_bytes());
            let value = HeaderValue::from_bytes(line.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(ConnectionError::Malformed("invalid header"));
            };
            headers.append(name, value);
        }
        let _ = self.buffer.split_to(used);
        let parsed_headers = read_response(status, &headers);
        self.frame = body_framing(method, status, version, &headers)?;
        if let Some(limit) = parsed_headers.idle_limit {
            self.idle_limit = limit;
        }
        if parsed_headers.closes
            || version == HttpVersion::HTTP_10
            || self.frame == BodyFraming::UntilClose
        {
            self.reusable = false;
        }
        let body_end = BodyEnd::from(self.frame);
        let length = match self.frame {
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Done => Some(0),
            _ => None,
        };
        if self.frame == BodyFraming::Length(0) {
            self.frame = BodyFraming::Done;
        }
        Ok(Some(ResponseHead {
            status,
            headers,
            parsed_headers,
            length,
            body_end,
        }))
    }

    /// Reads some bytes of the body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection broke inside the body, or the body is malformed.
    pub async fn read_body(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        self.turn.note_step(0);
        loop {
            self.give_way().await;
            match self.frame {
                BodyFraming::Done => return Ok(None),
                BodyFraming::Length(left) if !self.buffer.is_empty() => {
                    let take = self
                        .buffer
                        .len()
                        .min(usize::try_from(left).unwrap_or(usize::MAX));
                    let rest = left - take as u64;
                    self.frame = if rest == 0 {
                        BodyFraming::Done
                    } else {
                        BodyFraming::Length(rest)
                    };
                    return Ok(Some(self.buffer.split_to(take).freeze()));
                }
                BodyFraming::UntilClose if !self.buffer.is_empty() => {
                    return Ok(Some(self.buffer.split().freeze()));
                }
                BodyFraming::Chunked(mut decoder) => {
                    let step = decoder.step(&mut self.buffer);
                    self.frame = BodyFraming::Chunked(decoder);
                    match step {
                        ChunkStep::Data(bytes) => return Ok(Some(bytes)),
                        ChunkStep::End => {
                            self.frame = BodyFraming::Done;
                            return Ok(None);
                        }
                        ChunkStep::Malformed => {
                            return Err(ConnectionError::Malformed("invalid chunk"));
                        }
                        ChunkStep::Excess(bound) => return Err(bound.into()),
                        ChunkStep::More => {}
                    }
                }
                BodyFraming::Length(_) | BodyFraming::UntilClose => {}
            }
            if self.fill().await? == 0 {
                if self.frame == BodyFraming::UntilClose {
                    self.frame = BodyFraming::Done;
                    return Ok(None);
                }
                return Err(ConnectionError::Broken("closed inside the body".into()));
            }
        }
    }

    /// Waits until bytes of the response arrive, and keeps them to be read.
    ///
    /// # Errors
    ///
    /// The connection broke, or closed before the end that the framing announced.
    pub(crate) async fn wait_for_bytes(&mut self) -> Result<(), ConnectionError> {
        if self.fill().await? == 0 && self.frame != BodyFraming::UntilClose {
            return Err(ConnectionError::Broken("closed inside the body".into()));
        }
        Ok(())
    }

    /// Reads what has arrived, or waits for it. Returns 0 at an orderly end alone.
    async fn fill(&mut self) -> Result<usize, ConnectionError> {
        self.give_way().await;
        loop {
            match self.send_or_read().await {
                Ok(None) => {}
                Ok(Some(0)) => return self.broken.clone().map_or(Ok(0), Err),
                Ok(Some(count)) => {
                    self.turn.note_step(count);
                    return Ok(count);
                }
                Err(error) => return Err(self.broken.get_or_insert(broken(error)).clone()),
            }
        }
    }

    /// Waits until the connection takes a part of the rest of the request, or bytes have arrived, and does
    /// either or both; returns how many bytes were read, if any could be.
    ///
    /// A failed write is kept in `broken`: what has arrived of the response can still be read.
    async fn send_or_read(&mut self) -> io::Result<Option<usize>> {
        let interest = if self.unsent.has_remaining() {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        let ready = self.stream.ready(interest).await?;
        if ready.is_writable() && self.unsent.has_remaining() {
            match self.stream.try_write(self.unsent.chunk()) {
                Ok(count) => self.unsent.advance(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => {
                    self.unsent = Bytes::new().chain(Bytes::new());
                    self.broken = Some(broken(error));
                    return Ok(None);
                }
            }
        }
        if !ready.is_readable() {
            return Ok(None);
        }
        self.buffer.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(count) => Ok(Some(count)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Lets other tasks and timers run once enough was read. A socket with bytes to read is always ready,
    /// so that reads alone never do.
    async fn give_way(&mut self) {
        if self.turn.take_end() {
            yield_now().await;
        }
    }
}

impl Drop for BackendConnection {
    /// Resets a connection that is given up inside an exchange. An orderly close would come after the
    /// bytes that still wait to be sent, and the other side would run a request whose caller has left.
    fn drop(&mut self) {
        if self.is_exchanging() {
            // Without the option the close is an orderly one.
            let _ = self.stream.set_zero_linger();
        }
    }
}

fn broken(error: io::Error) -> ConnectionError {
    ConnectionError::Broken(error.to_string().into())
}
