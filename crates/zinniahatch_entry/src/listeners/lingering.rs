//! The end of a connection on which the caller may still send.

use crate::core::EntryCore;
use std::io;
use std::io::ErrorKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_route::LingerBudget;
use zinniahatch_route::LingerEnd;

/// Bytes per read. The buffer is not kept between reads.
const READ_BYTES: usize = 16 << 10;

/// Closes a connection for writing, then reads and drops what the caller still sends, within bounds.
///
/// `reason` is why the connection is closed, and `buffered` counts bytes that were received and not used.
pub(super) async fn close_lingering(
    core: &EntryCore,
    mut stream: TcpStream,
    reason: &str,
    buffered: usize,
) {
    let mut budget = LingerBudget::new(Instant::now());
    let end = match (stream.shutdown().await, core.connections.linger()) {
        (Err(_), _) => LingerEnd::Broken,
        (Ok(()), None) => LingerEnd::Crowded,
        (Ok(()), Some(_guard)) => drop_rest(&stream, &mut budget).await,
    };
    let dropped = buffered + budget.received();
    if dropped == 0 && matches!(end, LingerEnd::Closed | LingerEnd::Broken) {
        return;
    }
    core.metrics.callers.note_lingered(reason, end);
    if dropped == 0 {
        return;
    }
    core.log.write(
        "closed-unread",
        serde_json::json!({"reason": reason, "dropped": dropped, "end": end}),
    );
}

async fn drop_rest(stream: &TcpStream, budget: &mut LingerBudget) -> LingerEnd {
    loop {
        let (due_at, reason) = budget.due();
        match timeout_at(due_at.into(), stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return LingerEnd::Broken,
            Err(_) => return reason,
        }
        let count = match drop_some(stream) {
            Ok(0) => return LingerEnd::Closed,
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => return LingerEnd::Broken,
        };
        if let Some(end) = budget.on_bytes(count, Instant::now()) {
            return end;
        }
    }
}

fn drop_some(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; READ_BYTES])
}
