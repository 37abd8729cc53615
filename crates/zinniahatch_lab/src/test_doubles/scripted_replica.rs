//! Test double of a replica that answers with given bytes.

use super::answer_form::reset_on_drop;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Stands in scripts for the id of the attempt that is answered.
pub const ATTEMPT: &str = "ATTEMPT";
/// Path of the health check.
const HEALTH_PATH: &str = "/health";
/// Size of a read, in bytes.
const READ_BYTES: usize = 16 << 10;

/// How a connection goes on after a scripted answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptEnd {
    /// It is closed in order, once the request was read to its end.
    Close,
    /// It is reset with the rest of the request unread.
    Reset,
}

/// An answer that is given to each request whose path ends with its position in the script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptedAnswer {
    /// What is sent, with [`ATTEMPT`] in place of the id.
    pub text: Box<[u8]>,
    /// How the connection goes on.
    pub end: ScriptEnd,
}

/// A running replica; it stops when dropped.
#[derive(Debug)]
pub struct ScriptedReplica {
    /// Its id.
    pub id: Box<str>,
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl ScriptedReplica {
    /// Starts a replica on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(id: &str, script: Vec<ScriptedAnswer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let (name, script) = (Arc::<str>::from(id), Arc::new(script));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (name, script) = (Arc::clone(&name), Arc::clone(&script));
                tokio::spawn(async move { answer(stream, &name, &script).await });
            }
        });
        Self {
            id: id.into(),
            address,
            task,
        }
    }
}

impl Drop for ScriptedReplica {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Answers one request. A peer that has left sees nothing of the answer.
async fn answer(mut stream: TcpStream, id: &str, script: &[ScriptedAnswer]) -> Option<()> {
    let mut request = Vec::new();
    let head_bytes = loop {
        read_some(&mut stream, &mut request).await?;
        if let Some(end) = request.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
    };
    let head = String::from_utf8_lossy(&request[..head_bytes]).into_owned();
    let path = head.split(' ').nth(1)?;
    if path == HEALTH_PATH {
        let text = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        return stream.write_all(text.as_bytes()).await.ok();
    }
    let position: usize = path.rsplit('/').next()?.parse().ok()?;
    let scripted = script.get(position)?;
    if scripted.end == ScriptEnd::Close {
        let length = header(&head, "content-length").and_then(|text| text.parse().ok());
        while request.len() < head_bytes + length.unwrap_or(0) {
            read_some(&mut stream, &mut request).await?;
        }
    }
    let attempt = header(&head, "x-attempt-id").unwrap_or_default();
    let text = fill_in(&scripted.text, attempt);
    if scripted.end == ScriptEnd::Reset {
        reset_on_drop(&stream);
    }
    stream.write_all(&text).await.ok()
}

async fn read_some(stream: &mut TcpStream, request: &mut Vec<u8>) -> Option<()> {
    let mut bytes = vec![0; READ_BYTES];
    let count = stream.read(&mut bytes).await.ok()?;
    request.extend_from_slice(&bytes[..count]);
    (count > 0).then_some(())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
}

/// Puts the id of an attempt into a text that need not be UTF-8.
fn fill_in(text: &[u8], attempt: &str) -> Vec<u8> {
    let mark = ATTEMPT.as_bytes();
    let Some(start) = text.windows(mark.len()).position(|part| part == mark) else {
        return text.into();
    };
    let (before, rest) = text.split_at(start);
    [before, attempt.as_bytes(), &rest[mark.len()..]].concat()
}
