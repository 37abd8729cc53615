//! A small site: the store, servers and entry VMs as processes, links between them, and clients.

use crate::http::Connection;
use crate::http::call;
use crate::http::wait_for;
use crate::replica::now_ms;
use crate::store::Store;
use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

/// The host of every route.
pub const HOST: &str = "registers.example";
/// Data centre and region of each place, as on the sheet of the small deployment.
pub const PLACES: [(&str, &str); 3] = [("lisboa-a", "lisboa"), ("porto-a", "porto"), ("faro-a", "faro")];

/// What was sent, answered and run.
#[derive(Clone, Default)]
pub struct Record {
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn note(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((now_ms(), line.into()));
    }
}

/// A link to an address, which may lose its open channels without a sign.
#[derive(Clone)]
pub struct Link {
    pub address: String,
    opened: Arc<AtomicU64>,
    silent_to: Arc<AtomicU64>,
}

impl Link {
    pub fn start(to: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let link = Self {
            address: listener.local_addr().expect("an address").to_string(),
            opened: Arc::default(),
            silent_to: Arc::default(),
        };
        let (shared, to) = (link.clone(), to.to_owned());
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                let number = shared.opened.fetch_add(1, Ordering::SeqCst) + 1;
                // Nothing listens there, so that the channel is closed.
                let Ok(outbound) = TcpStream::connect(&to) else { continue };
                let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
                let (Ok(back), Ok(forth)) = (inbound.try_clone(), outbound.try_clone()) else { continue };
                let (one, other) = (shared.clone(), shared.clone());
                thread::spawn(move || one.pump(number, inbound, outbound));
                thread::spawn(move || other.pump(number, forth, back));
            }
        });
        link
    }

    fn pump(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0_u8; 16384];
        loop {
            let count = from.read(&mut bytes);
            if number <= self.silent_to.load(Ordering::SeqCst) {
                // What arrives is lost, the end of the channel too.
                if !matches!(count, Ok(count) if count > 0) {
                    thread::park();
                }
                continue;
            }
            match count {
                Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {}
                _ => {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
            }
        }
    }

    /// Makes the open channels silent for good; new ones work.
    pub fn silence_open(&self) {
        self.silent_to.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

/// One entry VM.
pub struct Entry {
    pub front: String,
    readiness: String,
    child: Child,
}

/// One server.
pub struct Server {
    pub id: String,
    pub link: Link,
    place: &'static str,
    service: &'static str,
    child: Child,
}

/// A site; its processes are ended when it is dropped.
pub struct Site {
    pub store: Store,
    pub record: Record,
    pub entries: Vec<Entry>,
    pub servers: Vec<Server>,
    folder: PathBuf,
    store_address: String,
    runs: PathBuf,
}

/// The answer that a client got.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub seal: Option<String>,
    pub body: Vec<u8>,
    /// Whether the answer has its whole body, as its framing says.
    pub complete: bool,
}

/// What a client sends.
pub struct Call<'a> {
    pub entry: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub time_ms: u64,
}

/// Returns a free port below those that the system gives to outgoing channels by itself.
fn free_port() -> u16 {
    const FIRST: u64 = 12_000;
    const PORTS: u64 = 18_000;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let start = u64::from(std::process::id()) * 97;
    loop {
        let number = start + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = (FIRST + number % PORTS) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Site {
    /// Starts the store and writes the first desired state.
    pub fn start(config: &str) -> Self {
        let name = format!("zinniahatch-review-{}-{}", std::process::id(), now_ms());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::default();
        let store_address = store.start();
        store.write("op/config", config);
        let record = Record::default();
        record.note(format!("operator writes {config}"));
        let runs = folder.join("runs.txt");
        Self { store, record, entries: Vec::new(), servers: Vec::new(), folder, store_address, runs }
    }

    /// Starts a server and registers it.
    pub fn add_server(&mut self, id: &str, service: &'static str, place: &'static str, unframed: u64) {
        let address = format!("127.0.0.1:{}", free_port());
        let child = Command::new(std::env::current_exe().expect("a program"))
            .args(["replica", id, &address, &self.runs.to_string_lossy(), &unframed.to_string()])
            .spawn()
            .expect("a server starts");
        let listens = wait_for(Duration::from_secs(5), || TcpStream::connect(&address).is_ok());
        assert!(listens, "the server listens");
        let link = Link::start(&address);
        self.servers.push(Server { id: id.into(), link, place, service, child });
        self.register(self.servers.len() - 1, "\"ready\"");
    }

    /// Writes the store entry of a server; `state` may be followed by more fields.
    pub fn register(&self, index: usize, state: &str) {
        let server = &self.servers[index];
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":{state},\"cold_left_ms\":0,\"sequence\":1}}",
            server.service, server.link.address, server.place
        );
        self.store.write(&format!("servers/{}", server.id), &entry);
        self.record.note(format!("server {} reports {entry}", server.id));
    }

    /// Ends a server at once, as when its time is over.
    pub fn end_server(&mut self, index: usize) {
        let _ = self.servers[index].child.kill();
        let _ = self.servers[index].child.wait();
        self.record.note(format!("server {} is gone", self.servers[index].id));
    }

    /// Starts an entry VM with the command of the deploy file.
    pub fn add_entry(&mut self, place: (&str, &str)) {
        let number = self.entries.len();
        let ports: Vec<String> = (0..5).map(|_| format!("127.0.0.1:{}", free_port())).collect();
        let [front, readiness, control, directory, peer] = &ports[..] else { unreachable!() };
        // `platform/entry.ini`, filled in with the figures of the small deployment.
        let mut text = format!(
            "[node]\nname = front-{}-{number}\nregion = {}\ndata_centre = {}\nprocessor = 0.25\nseeds = \n\n\
             [listen]\nfront = {front}\nreadiness = {readiness}\ncontrol = {control}\n\
             directory = {directory}\npeer = {peer}\n\n[regions]\n",
            place.0, place.1, place.0
        );
        for (zone, region) in PLACES {
            text += &format!("{zone} = {region}\n");
        }
        text += &format!(
            "\n[store]\naddress = {}\nlease_least = 1000ms\nhistory = 20s\n\n[bounds]\nrepeat_ratio = 0.2\n\
             repeat_window = 10s\nrepeat_slack = 54\ncold_overrun = 1.5\ncold_slack = 3\ngrace = 8s\n\
             directory_ttl_most = 5s\n",
            self.store_address
        );
        let settings = self.folder.join(format!("entry-{number}.ini"));
        fs::write(&settings, text).expect("settings can be written");
        let log = File::create(self.folder.join(format!("entry-{number}.log"))).expect("a log");
        let child = Command::new("target/release/zinniahatchd")
            .env("ZINNIAHATCH_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        self.entries.push(Entry { front: front.clone(), readiness: readiness.clone(), child });
    }

    /// Waits until every entry VM is ready and has found the others; returns whether it is.
    pub fn wait_ready(&self) -> bool {
        let ready = self.entries.iter().all(|entry| {
            let text = format!("GET /readiness HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", entry.readiness);
            wait_for(Duration::from_secs(20), || {
                call(&entry.readiness, &text, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
            })
        });
        // The time before traffic starts is ten seconds on the sheet; nodes find each other in one.
        sleep(Duration::from_secs(4));
        ready
    }

    pub fn signal_entry(&self, index: usize, signal: &str) {
        let id = self.entries[index].child.id().to_string();
        let _ = Command::new("kill").args([signal, &id]).status();
        self.record.note(format!("entry VM {index} gets {signal}"));
    }

    /// Notes when the process of an entry VM has ended.
    pub fn entry_ended(&mut self, index: usize) -> bool {
        matches!(self.entries[index].child.try_wait(), Ok(Some(_)))
    }

    /// Writes the record, with the servers' lines in their places.
    pub fn write_record(&self, folder: &str) {
        let mut lines = self.record.lines.lock().unwrap().clone();
        let runs = fs::read_to_string(&self.runs).unwrap_or_default();
        for line in runs.lines() {
            if let Some((time, line)) = line.split_once(' ') {
                lines.push((time.parse().unwrap_or(0), line.into()));
            }
        }
        lines.sort_by_key(|(time, _)| *time);
        let first = lines.first().map_or(0, |(time, _)| *time);
        let text: String = lines.iter().map(|(time, line)| format!("{:>6} ms {line}\n", time - first)).collect();
        let _ = fs::write(Path::new(folder).join("record.txt"), text);
        if let Ok(keep) = std::env::var("KEEP_LOGS") {
            for index in 0..self.entries.len() {
                let log = format!("entry-{index}.log");
                let _ = fs::copy(self.folder.join(&log), Path::new(&keep).join(&log));
            }
        }
    }

    /// The servers that ran an attempt, in order.
    pub fn runs_of(&self, attempt: &str) -> Vec<String> {
        let runs = fs::read_to_string(&self.runs).unwrap_or_default();
        let lines = runs.lines().map(|line| line.split(' ').collect::<Vec<_>>());
        lines
            .filter(|words| words.get(3) == Some(&"runs") && words.get(4) == Some(&attempt))
            .map(|words| words[2].to_owned())
            .collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            let _ = entry.child.kill();
            let _ = entry.child.wait();
        }
        for server in &mut self.servers {
            let _ = server.child.kill();
            let _ = server.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Sends a request as a client and returns what it got; `pace` is how fast it reads, in bytes a second.
pub fn send(record: &Record, asked: &Call<'_>, pace: Option<u64>) -> Answer {
    record.note(format!("client sends {} to {}: {} {}", asked.attempt, asked.entry, asked.method, asked.path));
    let mut answer = Answer::default();
    let outcome = exchange(asked, pace, &mut answer);
    let error = outcome.as_ref().err().map_or_else(String::new, |error| format!(" ({error})"));
    answer.complete = outcome.is_ok();
    record.note(format!(
        "client gets for {}: status {}, seal {}, {} bytes, {}{error}",
        asked.attempt, answer.status, answer.seal.as_deref().unwrap_or("none"), answer.body.len(),
        if answer.complete { "complete" } else { "not complete" }
    ));
    answer
}

fn exchange(asked: &Call<'_>, pace: Option<u64>, answer: &mut Answer) -> std::io::Result<()> {
    let began = Instant::now();
    let target = asked.entry.parse().map_err(|_| std::io::Error::other("address"))?;
    let stream = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(asked.time_ms)))?;
    let mut connection = Connection::new(stream);
    let body = if asked.method == "POST" { "the register entry" } else { "" };
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Time-Remaining: {}\r\nContent-Length: {}\r\n\r\n{body}",
        asked.method, asked.path, asked.attempt, asked.time_ms, body.len()
    );
    connection.send(text.as_bytes())?;
    let mut head = connection
        .read_head()?
        .ok_or_else(|| std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "closed without an answer"))?;
    answer.status = head.status();
    answer.seal = head.header("x-server-seal").map(str::to_owned);
    let read = connection.read_body(&mut head, |seen| {
        if let Some(pace) = pace {
            let due = Duration::from_secs_f64(seen as f64 / pace as f64);
            sleep(due.saturating_sub(began.elapsed()));
        }
    });
    answer.body = head.body;
    read
}
