//! A stand-in of a model replica.
//!
//! It reads prompts at the pace of the small deployments, in chunks, all that it has in turn, and sends the
//! head of an answer with its first event. It drops a request when its channel closes.

use crate::site::Record;
use crate::store::Store;
use crate::web::{read_request, Request};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Prompt tokens that are read in a millisecond.
const TOKENS_PER_MS: f64 = 38.4;
const BEAT: Duration = Duration::from_millis(1_200);
/// Work on a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(30);
const STEP: Duration = Duration::from_millis(10);

/// One request at the replica.
#[derive(Clone)]
pub struct Work {
    pub attempt: String,
    /// When it reached the replica, which begins at once to read its prompt.
    pub began: Instant,
    /// When the replica stopped to work on it; `None` while it works.
    pub ended: Option<Instant>,
    /// Prompt tokens that are still to be read.
    unread: f64,
}

#[derive(Clone)]
pub struct Engine {
    pub name: &'static str,
    pub address: SocketAddr,
    work: Arc<Mutex<Vec<Work>>>,
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    crashed: Arc<AtomicBool>,
    record: Arc<Record>,
    events: u32,
    event_pause: Duration,
}

impl Engine {
    /// Starts a replica whose answers have this many events.
    pub fn start(name: &'static str, events: u32, event_pause: Duration, record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("it can be polled");
        let engine = Self {
            name,
            address: listener.local_addr().expect("it is bound"),
            work: Arc::default(),
            arrivals: Arc::default(),
            crashed: Arc::default(),
            record: Arc::clone(record),
            events,
            event_pause,
        };
        let reading = engine.clone();
        thread::spawn(move || reading.read_prompts());
        let serving = engine.clone();
        thread::spawn(move || {
            // The listener is closed with the crash.
            while !serving.has_crashed() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let serving = serving.clone();
                        thread::spawn(move || serving.run(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        engine
    }

    /// Registers it in the store. Its later beats change `sequence` alone, and so not the entry, which goes
    /// three beats after its end.
    pub fn register(&self, store: &Store, zone: &'static str) {
        let (engine, store) = (self.clone(), store.clone());
        let key = format!("servers/{}", self.name);
        store.write(&key, &engine.entry(zone, "ready"));
        thread::spawn(move || {
            while !engine.has_crashed() {
                thread::sleep(STEP);
            }
            thread::sleep(BEAT * 3);
            store.remove(&key);
        });
    }

    /// Reports in the store that it is draining.
    pub fn drain(&self, store: &Store, zone: &'static str) {
        store.write(&format!("servers/{}", self.name), &self.entry(zone, "draining"));
        self.record.note(&format!("the store has accepted that replica {} is draining", self.name));
    }

    fn entry(&self, zone: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\
             \"adapters\":[]}}],\"sequence\":1}}",
            self.address
        )
    }

    /// Ends as a process that is killed: its channels close, and its address refuses new ones.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        self.record.note(&format!("replica {} crashes", self.name));
    }

    fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    /// All requests that it got.
    pub fn work(&self) -> Vec<Work> {
        self.work.lock().unwrap().clone()
    }

    fn read_prompts(&self) {
        while !self.has_crashed() {
            thread::sleep(STEP);
            let mut work = self.work.lock().unwrap();
            let open = |row: &&mut Work| row.ended.is_none() && row.unread > 0.0;
            let count = work.iter_mut().filter(open).count() as f64;
            for row in work.iter_mut().filter(open) {
                row.unread -= TOKENS_PER_MS * STEP.as_secs_f64() * 1e3 / count;
            }
        }
    }

    fn run(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        // A crash has to be seen while the channel is idle.
        let _ = stream.set_read_timeout(Some(Duration::from_millis(2)));
        let mut reader = BufReader::new(stream);
        loop {
            let first = loop {
                if self.has_crashed() {
                    return;
                }
                match std::io::BufRead::fill_buf(&mut reader) {
                    Ok(bytes) => break bytes.len(),
                    Err(error) if is_quiet(&error) => {}
                    Err(_) => return,
                }
            };
            if first == 0 {
                return;
            }
            let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs(2)));
            let Ok(Some(request)) = read_request(&mut reader) else { return };
            let _ = reader.get_ref().set_read_timeout(Some(Duration::from_millis(2)));
            if request.path == "/health" {
                let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.name);
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !self.serve(&request, &mut reader, &mut writer) {
                return;
            }
        }
    }

    /// Works on a request; returns whether the channel can be used again.
    fn serve(&self, request: &Request, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream) -> bool {
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_string();
        let last: u32 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        if request.header("x-expect-instance") != Some(self.name) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
                 X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.name
            );
            return writer.write_all(head.as_bytes()).is_ok();
        }
        if !request.path.starts_with("/chat/") {
            return self.answer(request, &attempt, reader, writer);
        }
        let tokens = request.header("x-token-count").and_then(|text| text.split(',').next()?.parse().ok());
        let place = {
            let mut work = self.work.lock().unwrap();
            work.push(Work {
                attempt: attempt.clone(),
                began: Instant::now(),
                ended: None,
                unread: tokens.unwrap_or(0.0),
            });
            work.len() - 1
        };
        self.record.note(&format!("request {attempt} reaches replica {}, after event {last}", self.name));
        let why = self.stream(&attempt, last, place, reader, writer);
        self.work.lock().unwrap()[place].ended = Some(Instant::now());
        self.record.note(&format!("replica {} stops to work on {attempt}: {why}", self.name));
        why == "complete"
    }

    /// Answers a plain request after a moment of work.
    fn answer(
        &self,
        request: &Request,
        attempt: &str,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
    ) -> bool {
        self.arrivals.lock().unwrap().push((Instant::now(), attempt.to_string()));
        self.record.note(&format!("replica {} runs {attempt}", self.name));
        let done = Instant::now() + PLAIN_WORK;
        while Instant::now() < done {
            if let Some(why) = self.broken(reader) {
                self.record.note(&format!("replica {} stops to work on {attempt}: {why}", self.name));
                return false;
            }
        }
        let body = format!("{} for {attempt}", request.path);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{}-{attempt}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.name,
            body.len()
        );
        writer.write_all(head.as_bytes()).is_ok()
    }

    /// The plain requests that reached it, and when.
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        self.arrivals.lock().unwrap().clone()
    }

    fn stream(
        &self,
        attempt: &str,
        last: u32,
        place: usize,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
    ) -> &'static str {
        while self.work.lock().unwrap()[place].unread > 0.0 {
            if let Some(why) = self.broken(reader) {
                return why;
            }
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{}-{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return "its channel closed";
        }
        for id in last + 1..=self.events {
            let due = Instant::now() + self.event_pause;
            while Instant::now() < due {
                if let Some(why) = self.broken(reader) {
                    return why;
                }
            }
            let event = format!("id: {id}\ndata: {attempt}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return "its channel closed";
            }
        }
        let _ = writer.write_all(b"0\r\n\r\n");
        "complete"
    }

    /// Waits a moment; returns why the work ends, if it does.
    fn broken(&self, reader: &mut BufReader<TcpStream>) -> Option<&'static str> {
        if self.has_crashed() {
            return Some("it crashed");
        }
        let mut byte = [0];
        match reader.get_mut().read(&mut byte) {
            Ok(0) => Some("its channel closed"),
            Ok(_) => Some("bytes that belong to no request"),
            Err(error) if is_quiet(&error) => None,
            Err(_) => Some("its channel was reset"),
        }
    }
}

fn is_quiet(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
