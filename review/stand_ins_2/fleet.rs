//! A deployment of seven entry VMs in three regions, whose clients ask the directory where to connect.

use crate::engine::Engine;
use crate::site::{Entry, Ports, Record, REGIONS};
use crate::store::{Gate, Store};
use crate::web::{read_headers, Json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Index of the region whose machines the store turns away.
pub const REGION: usize = 1;
pub const ZONE: &str = REGIONS[REGION].1;
const HOST: &str = "desk.example";
/// The routes: look-ups, which may be repeated, and orders, which may not; both have their home in one region.
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-status","host":"desk.example","path_prefix":"/status/",
"kind":"idempotent","timeout_ms":4000,"target_latency_ms":500,"priority":2,"service":"desk","max_attempts":2,
"affinity":false,"resumable":false,"gap_target_ms":0,"home_regions":["shymkent"]},
{"name":"r-order","host":"desk.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":4000,
"target_latency_ms":500,"priority":2,"service":"desk","max_attempts":1,"affinity":false,"resumable":false,
"gap_target_ms":0,"home_regions":["shymkent"]}],"services":[{"name":"desk","health_path":"/health","max_conns":100,
"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
const CLIENTS: usize = 12;
const CLIENT_PAUSE: Duration = Duration::from_millis(300);
/// Time that a client waits before it asks once more, where it is told none.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The deployment.
pub struct Fleet {
    pub store: Store,
    /// The gate of the machines of the region.
    pub gate: Gate,
    pub entries: Vec<Entry>,
    pub replicas: Vec<Engine>,
}

impl Fleet {
    /// Writes another desired state, as the operator does.
    pub fn change_config(&self) {
        self.store.write("op/config", &CONFIG.replace("\"version\":3", "\"version\":5"));
    }

    /// Starts the store, two replicas in each region and all entry VMs, and waits until these are ready.
    pub fn start(record: &Arc<Record>) -> Self {
        let store = Store::default();
        store.write("op/config", CONFIG);
        let names = ["i-a1", "i-a2", "i-s1", "i-s2", "i-k1", "i-k2"];
        let replicas = names.map(|name| Engine::start(name, 0, Duration::ZERO, record)).to_vec();
        for (number, replica) in replicas.iter().enumerate() {
            replica.register(&store, REGIONS[number / 2].1);
        }
        let (open, _) = store.serve();
        let (gated, gate) = store.serve();
        let ports = Ports::find();
        let mut entries = Vec::new();
        for (region, row) in REGIONS.iter().enumerate() {
            for number in 0..row.2 {
                let address = if region == REGION { gated } else { open };
                entries.push(Entry::start(region, number, &ports, address));
            }
        }
        for entry in &entries {
            entry.wait_ready(record);
        }
        record.note("all entry VMs are ready");
        Self { store, gate, entries, replicas }
    }

    /// The machines of the region, by their places in `entries`.
    pub fn in_region(&self) -> std::ops::Range<usize> {
        let before: usize = REGIONS[..REGION].iter().map(|row| row.2).sum();
        before..before + REGIONS[REGION].2
    }

    /// Starts clients of the region.
    pub fn clients(&self, record: &Arc<Record>) -> Clients {
        // Up to three directories, those of the own region first.
        let mut directories: Vec<SocketAddr> =
            self.entries[self.in_region()].iter().map(|entry| entry.directory).collect();
        directories.push(self.entries[0].directory);
        let clients = Clients { done: Arc::default(), calls: Arc::default(), threads: Mutex::default() };
        for number in 0..CLIENTS {
            let (done, calls) = (Arc::clone(&clients.done), Arc::clone(&clients.calls));
            let (directories, record) = (directories.clone(), Arc::clone(record));
            let client = thread::spawn(move || {
                let mut client = Client { number, directories, known: Vec::new(), until: Instant::now(), record };
                let mut count = 0;
                while !done.load(Ordering::SeqCst) {
                    let call = client.ask(count);
                    calls.lock().unwrap().push(call);
                    count += 1;
                    thread::sleep(CLIENT_PAUSE);
                }
            });
            clients.threads.lock().unwrap().push(client);
        }
        clients
    }
}

/// One request of a client, with its retry.
#[derive(Clone)]
pub struct Call {
    pub sent: Instant,
    pub attempts: Vec<(String, String)>,
    pub served: bool,
}

pub struct Clients {
    done: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Mutex<Vec<thread::JoinHandle<()>>>,
}

impl Clients {
    /// Stops them and returns what they sent.
    pub fn stop(&self) -> Vec<Call> {
        self.done.store(true, Ordering::SeqCst);
        for client in self.threads.lock().unwrap().drain(..) {
            let _ = client.join();
        }
        self.calls.lock().unwrap().clone()
    }
}

struct Client {
    number: usize,
    directories: Vec<SocketAddr>,
    known: Vec<SocketAddr>,
    until: Instant,
    record: Arc<Record>,
}

impl Client {
    /// Sends a request, and once more if that is allowed.
    fn ask(&mut self, count: usize) -> Call {
        let sent = Instant::now();
        let is_order = count % 2 == 1;
        let mut call = Call { sent, attempts: Vec::new(), served: false };
        for attempt in 0..2 {
            self.resolve();
            let id = format!("c{}-{count}-{attempt}", self.number);
            let place = self.known.get((count + attempt) % self.known.len().max(1)).copied();
            let (status, retry) = place.map_or((None, None), |place| exchange(place, &id, is_order));
            let told = status.map_or("no answer".to_string(), |status| status.to_string());
            let place = place.map_or("nobody".to_string(), |place| place.to_string());
            self.record.note(&format!("client sent {id} to {place}: {told}"));
            call.attempts.push((id, told));
            call.served = status == Some(200);
            let promised = matches!(status, Some(408 | 421 | 429 | 503)) || place == "nobody";
            if call.served || (is_order && !promised) {
                break;
            }
            thread::sleep(retry.unwrap_or(RETRY_PAUSE));
        }
        call
    }

    /// Asks the directories for addresses once the last answer is too old; keeps it if none answers.
    fn resolve(&mut self) {
        if Instant::now() < self.until {
            return;
        }
        for directory in self.directories.clone() {
            let (region, zone, _) = REGIONS[REGION];
            let target = format!("/resolve?name={HOST}&region={region}&zone={zone}");
            let Some((200, _, body)) = send(directory, &format!("GET {target} HTTP/1.1\r\nHost: d\r\n"), Duration::from_secs(1))
            else {
                continue;
            };
            let Some(answer) = Json::parse(&body) else { continue };
            let addresses = answer.list("addresses").iter().filter_map(|address| match address {
                Json::Text(text) => text.parse().ok(),
                _ => None,
            });
            let addresses: Vec<SocketAddr> = addresses.collect();
            if !addresses.is_empty() {
                self.known = addresses;
                self.until = Instant::now() + Duration::from_secs(answer.number("ttl_s").min(5));
                return;
            }
        }
    }
}

/// Sends one attempt; returns the status and the time to come back.
fn exchange(place: SocketAddr, id: &str, is_order: bool) -> (Option<u16>, Option<Duration>) {
    let (line, length) = if is_order {
        ("POST /order/1", "Content-Length: 0\r\n")
    } else {
        ("GET /status/1", "")
    };
    let head = format!("{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 8000\r\n{length}");
    match send(place, &head, Duration::from_secs(8)) {
        Some((status, retry, _)) => (Some(status), retry),
        None => (None, None),
    }
}

/// Sends a request on a channel of its own and reads the whole answer.
fn send(place: SocketAddr, head: &str, limit: Duration) -> Option<(u16, Option<Duration>, String)> {
    let mut stream = TcpStream::connect_timeout(&place, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(format!("{head}Connection: close\r\n\r\n").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let length: usize = headers.get("content-length")?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let retry = headers.get("retry-after").and_then(|text| text.parse().ok());
    let retry = retry.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Some((status, retry, String::from_utf8_lossy(&body).into_owned()))
}
