//! Stand-in of a server: one process that answers requests and records its runs.
//!
//! A request says in its path what answer it gets: `/PREFIX/plain?work=MS&rest=MS` is answered after
//! `work`, with the head and the first half of the body at once and the second half after `rest`;
//! `/PREFIX/events?count=N&gap=MS` is a stream of events. Where UNFRAMED is N, one of N streams has no
//! length and ends with its channel.

use crate::http::Connection;
use crate::http::Message;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since the epoch, for records.
pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

struct Replica {
    id: String,
    record: Mutex<File>,
    unframed: u64,
    streams: AtomicU64,
}

impl Replica {
    fn note(&self, event: &str, attempt: &str, more: &str) {
        let line = format!("{} server {} {event} {attempt} {more}\n", now_ms(), self.id);
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Runs a server until it is killed: `ID ADDRESS RECORD UNFRAMED`.
pub fn run(words: &[&str]) {
    let [id, address, record, unframed] = words else {
        panic!("usage: replica ID ADDRESS RECORD UNFRAMED");
    };
    let record = OpenOptions::new().create(true).append(true).open(record).expect("a record");
    let replica = Arc::new(Replica {
        id: (*id).to_owned(),
        record: Mutex::new(record),
        unframed: unframed.parse().unwrap_or(0),
        streams: AtomicU64::new(0),
    });
    let listener = TcpListener::bind(address).expect("the port is free");
    for stream in listener.incoming().flatten() {
        let replica = Arc::clone(&replica);
        thread::spawn(move || serve(&replica, Connection::new(stream)));
    }
}

fn serve(replica: &Replica, mut connection: Connection) {
    while let Some(request) = connection.read_request() {
        if !respond(replica, &mut connection, &request) {
            return;
        }
    }
}

/// Answers a request; returns whether the channel is kept.
fn respond(replica: &Replica, connection: &mut Connection, request: &Message) -> bool {
    let target = request.word(1);
    if target == "/health" {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Server-Load: 0,0,64\r\nContent-Length: 0\r\n\r\n",
            replica.id
        );
        return connection.send(text.as_bytes()).is_ok();
    }
    let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
    if request.header("x-expect-instance").is_some_and(|id| id != replica.id) {
        replica.note("refuses-421", &attempt, "");
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n\
             X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            replica.id
        );
        return connection.send(text.as_bytes()).is_ok();
    }
    let number = |name: &str| {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
        pair.and_then(|(_, value)| value.parse::<u64>().ok()).unwrap_or(0)
    };
    let last = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
    replica.note("runs", &attempt, &format!("{} {target} after-event={last}", request.word(0)));
    let kept = if target.contains("/events") {
        stream(replica, connection, &attempt, last, number("count"), number("gap"))
    } else {
        plain(replica, connection, &attempt, number("work"), number("rest"), number("size"))
    };
    replica.note(if kept.is_some() { "completes" } else { "lost-its-channel" }, &attempt, "");
    kept.unwrap_or(false)
}

fn head(replica: &Replica, attempt: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{}-{attempt}\r\n\
         X-Instance-Id: {}\r\nX-Server-Load: 1,0,64\r\n{framing}\r\n",
        replica.id, replica.id
    )
}

/// The body of a plain answer.
pub fn plain_body(attempt: &str, size: u64) -> Vec<u8> {
    let line = format!("answer to {attempt};");
    line.bytes().cycle().take(size.max(800) as usize).collect()
}

fn plain(
    replica: &Replica, connection: &mut Connection, attempt: &str, work: u64, rest: u64, size: u64,
) -> Option<bool> {
    sleep(Duration::from_millis(work));
    let body = plain_body(attempt, size);
    let framing = format!("Content-Type: text/plain\r\nContent-Length: {}\r\n", body.len());
    let half = body.len() / 2;
    let mut text = head(replica, attempt, &framing).into_bytes();
    text.extend_from_slice(&body[..half]);
    connection.send(&text).ok()?;
    if rest > 0 {
        sleep(Duration::from_millis(rest));
    }
    connection.send(&body[half..]).ok()?;
    Some(true)
}

/// One event of a stream.
pub fn event(attempt: &str, id: u64, count: u64) -> String {
    let end = if id == count { " last" } else { "" };
    format!("id: {id}\ndata: {attempt} {id}/{count}{end}\n\n")
}

fn stream(
    replica: &Replica, connection: &mut Connection, attempt: &str, last: u64, count: u64, gap: u64,
) -> Option<bool> {
    let number = replica.streams.fetch_add(1, Ordering::SeqCst) + 1;
    let unframed = replica.unframed > 0 && number % replica.unframed == replica.unframed / 2;
    let framing = if unframed { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" };
    if unframed {
        replica.note("answers-without-length", attempt, "");
    }
    let framing = format!("Content-Type: text/event-stream\r\n{framing}");
    connection.send(head(replica, attempt, &framing).as_bytes()).ok()?;
    for id in last + 1..=count {
        sleep(Duration::from_millis(gap));
        let text = event(attempt, id, count);
        let text = if unframed { text } else { format!("{:x}\r\n{text}\r\n", text.len()) };
        connection.send(text.as_bytes()).ok()?;
    }
    if !unframed {
        connection.send(b"0\r\n\r\n").ok()?;
    }
    Some(!unframed)
}
