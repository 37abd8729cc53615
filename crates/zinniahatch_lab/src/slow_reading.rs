//! A caller with a small buffer that reads its answer slowly.

use crate::site::HOST;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;

const CALLER_BUFFER_BYTES: u32 = 64 << 10;
/// Pause before each part of an answer.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Time that a caller states for a request, in ms.
const TIME_LIMIT_MS: u64 = 20_000;

/// An answer that is read slowly.
#[derive(Debug)]
pub struct SlowReading {
    stream: TcpStream,
    /// What has been read, head and body.
    pub answer: Vec<u8>,
}

impl SlowReading {
    /// Asks for a body of a size at an address, and reads the first bytes of the answer.
    ///
    /// # Errors
    ///
    /// The connection cannot be made, or brings nothing.
    pub async fn begin(front: &str, route: &str, attempt: &str, bytes: usize) -> io::Result<Self> {
        let address = front.parse().map_err(io::Error::other)?;
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(CALLER_BUFFER_BYTES)?;
        let mut stream = socket.connect(address).await?;
        let request = format!(
            "GET /{route}/x?bytes={bytes} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
             X-Time-Remaining: {TIME_LIMIT_MS}\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut reading = Self {
            stream,
            answer: Vec::new(),
        };
        reading.read_some().await?;
        Ok(reading)
    }

    /// Reads on to a number of bytes, in equal parts with a pause before each.
    ///
    /// # Errors
    ///
    /// The connection breaks or ends before.
    pub async fn read_to(&mut self, bytes: usize, pauses: usize) -> io::Result<()> {
        for pause in 1..=pauses {
            sleep(READ_PAUSE).await;
            while self.answer.len() < pause * bytes / pauses {
                self.read_some().await?;
            }
        }
        Ok(())
    }

    /// Reads what is left until the connection ends.
    ///
    /// # Errors
    ///
    /// The connection breaks.
    pub async fn read_rest(&mut self) -> io::Result<()> {
        self.stream.read_to_end(&mut self.answer).await.map(drop)
    }

    async fn read_some(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.answer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
