//! Test double of a replica that answers with given bytes.

use super::answer_form::reset_on_drop;
use super::replica::parse_request;
use super::replica::read_some;
use super::replica::store_entry;
use super::serve::FakeServer;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Stands in scripts for the id of the attempt that is answered.
pub const ATTEMPT: &str = "ATTEMPT";
/// Path of the health check.
const HEALTH_PATH: &str = "/health";

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
    pub text: Box<str>,
    /// How the connection goes on.
    pub end: ScriptEnd,
}

/// A running replica; it stops when dropped.
pub struct ScriptedReplica {
    /// Its id.
    pub id: Box<str>,
    server: FakeServer,
}

impl ScriptedReplica {
    /// Starts a replica on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(id: &str, script: Vec<ScriptedAnswer>) -> Self {
        let (name, script) = (Arc::<str>::from(id), Arc::new(script));
        let server = FakeServer::start_raw(move |stream| {
            let (name, script) = (Arc::clone(&name), Arc::clone(&script));
            async move {
                // A peer that has left sees nothing of the answer.
                let _ = answer(stream, &name, &script).await;
            }
        })
        .await;
        Self {
            id: id.into(),
            server,
        }
    }

    /// Returns its entry in the platform's store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        store_entry(service, &self.server.address, zone, "ready", "v1", 1)
    }
}

/// Answers one request; `None` if the peer left before.
async fn answer(mut stream: TcpStream, id: &str, script: &[ScriptedAnswer]) -> Option<()> {
    let mut buffer = Vec::new();
    let (request, head_bytes, body_bytes) = loop {
        read_some(&mut stream, &mut buffer).await?;
        if let Some(parsed) = parse_request(&buffer) {
            break parsed;
        }
    };
    let path = &*request.content.path;
    if path == HEALTH_PATH {
        let text = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        return stream.write_all(text.as_bytes()).await.ok();
    }
    let position: usize = path.rsplit('/').next()?.parse().ok()?;
    let scripted = script.get(position)?;
    match scripted.end {
        ScriptEnd::Close => {
            while buffer.len() < head_bytes + body_bytes {
                read_some(&mut stream, &mut buffer).await?;
            }
        }
        ScriptEnd::Reset => reset_on_drop(&stream),
    }
    let text = scripted.text.replace(ATTEMPT, &request.attempt);
    stream.write_all(text.as_bytes()).await.ok()
}
