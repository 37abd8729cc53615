//! Reading and writing of HTTP/1.1 messages.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A message head and its body.
#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The words of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; 0 at the end.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0_u8; 16384];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at an orderly end before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { start, headers, body: Vec::new() }))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "ended inside the body"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "ended inside a line"));
            }
        }
    }

    /// Reads the body that a head announces, calling `seen` with the length so far.
    pub fn read_body(&mut self, message: &mut Message, mut seen: impl FnMut(usize)) -> io::Result<()> {
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                let part = self.take(size)?;
                self.take(2)?;
                message.body.extend(part);
                seen(message.body.len());
            }
        }
        let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
        let is_response = message.start.starts_with("HTTP/");
        match length {
            Some(length) => {
                while message.body.len() < length {
                    if self.buffer.is_empty() && self.fill()? == 0 {
                        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "ended inside the body"));
                    }
                    let count = self.buffer.len().min(length - message.body.len());
                    message.body.extend(self.buffer.drain(..count));
                    seen(message.body.len());
                }
            }
            None if is_response => {
                while self.fill()? > 0 {}
                message.body.append(&mut self.buffer);
            }
            None => {}
        }
        Ok(())
    }

    /// Reads a whole request; `None` when the other side has left.
    pub fn read_request(&mut self) -> Option<Message> {
        let mut request = self.read_head().ok()??;
        self.read_body(&mut request, |_| {}).ok()?;
        Some(request)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one call on a connection of its own and returns the whole response.
pub fn call(address: &str, text: &str, limit: Duration) -> io::Result<Message> {
    let target = address.parse().map_err(|_| io::Error::other("address"))?;
    let stream = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut connection = Connection::new(stream);
    connection.send(text.as_bytes())?;
    let mut head = connection
        .read_head()?
        .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "no response"))?;
    connection.read_body(&mut head, |_| {})?;
    Ok(head)
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
