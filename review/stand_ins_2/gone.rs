//! GONE: clients leave streams that the gateway takes to another replica.

use crate::engine::Engine;
use crate::site::{give_up, Entry, Ports, Record};
use crate::store::Store;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONE: &str = "almaty-hall-a";
/// Sound replicas of the other regions, so that one replica is less than a quarter of the service.
const ELSEWHERE: [(&str, &str); 4] = [
    ("i-4", "shymkent-hall-b"),
    ("i-5", "shymkent-hall-b"),
    ("i-6", "karaganda-hall-c"),
    ("i-7", "karaganda-hall-c"),
];
const CLIENTS: usize = 12;
/// Tokens of a prompt, 0.34 s of reading on an idle replica.
const TOKENS: u32 = 13_000;
const EVENTS: u32 = 58;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two clients, so that each prompt finds an idle replica.
const CLIENT_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two look-ups, the other requests of the service. They earn its retries.
const LOOKUP_PAUSE: Duration = Duration::from_millis(40);
/// Gap after which clients abandon a stream: the longest of 2 s, four times the objective (600 ms) and eight
/// times the pause (300 ms).
const PATIENCE: Duration = Duration::from_millis(2_400);
/// Time after a client's leave from which work for it breaks the rule.
const LEFT: Duration = Duration::from_millis(500);
/// Requests that may reach a replica so late: "a few".
const FEW: usize = 3;
const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-chat","host":"desk.example","path_prefix":"/chat/",
"kind":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":0,"service":"desk","max_attempts":3,
"affinity":true,"resumable":true,"gap_target_ms":300,"home_regions":[]},
{"name":"r-status","host":"desk.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":4000,
"target_latency_ms":500,"priority":2,"service":"desk","max_attempts":2,"affinity":false,"resumable":false,
"gap_target_ms":0,"home_regions":[]}],"services":[{"name":"desk",
"health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"warmup_s":3.0,"cold_per_s":1.8,
"engine":{"slots":64,"kv_capacity":247365,"token_kv_bytes":163840,"link_mbps":1100000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// How a client's stream ended.
#[derive(Clone)]
struct Outcome {
    attempt: String,
    /// When the client left; `None` if it had its answer to the end.
    left: Option<Instant>,
    events: usize,
    whole: bool,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let store = Store::default();
    let (address, _) = store.serve();
    let mut replicas = ["i-1", "i-2", "i-3"].map(|name| Engine::start(name, EVENTS, EVENT_PAUSE, record)).to_vec();
    store.write("op/config", CONFIG);
    for (name, zone) in ELSEWHERE {
        let replica = Engine::start(name, EVENTS, EVENT_PAUSE, record);
        replica.register(&store, zone);
        replicas.push(replica);
    }
    replicas[0].register(&store, ZONE);
    let entry = Entry::start(0, 0, &Ports::find(), address);
    entry.wait_ready(record);
    let done = Arc::new(AtomicBool::new(false));
    let lookups = look_up(entry.front, &done);
    // The retry budget is that of the last 10 s.
    thread::sleep(Duration::from_secs(10));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (front, outcomes, record) = (entry.front, Arc::clone(&outcomes), Arc::clone(record));
        clients.push(thread::spawn(move || {
            let outcome = call(front, &format!("attempt-{number:02}"), &record);
            outcomes.lock().unwrap().push(outcome);
        }));
        thread::sleep(CLIENT_PAUSE);
    }
    replicas[1].register(&store, ZONE);
    entry.wait_logged("\"replica\":\"i-2\"", record);
    if trouble {
        replicas[0].crash();
        replicas[2].register(&store, ZONE);
        thread::sleep(PATIENCE + LEFT + Duration::from_millis(400));
        if std::env::var("CRASHES").is_ok_and(|count| count == "1") {
            record.note("no second replica crashes");
        } else {
            replicas[1].crash();
        }
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(3));
    done.store(true, Ordering::SeqCst);
    let served = lookups.join().unwrap_or(0);
    record.note(&format!("{served} look-ups were served"));
    let outcomes = outcomes.lock().unwrap().clone();
    judge(record, &replicas, &outcomes, trouble)
}

/// Sends look-ups until it is told to stop; returns how many were served.
fn look_up(front: SocketAddr, done: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let done = Arc::clone(done);
    thread::spawn(move || {
        let mut served = 0;
        for number in 0.. {
            if done.load(Ordering::SeqCst) {
                break;
            }
            served += usize::from(look_up_once(front, number).is_some());
            thread::sleep(LOOKUP_PAUSE);
        }
        served
    })
}

fn look_up_once(front: SocketAddr, number: u32) -> Option<()> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!(
        "GET /status/{number} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: status-{number:04}\r\n\
         X-Time-Remaining: 4000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.starts_with("HTTP/1.1 200").then_some(())
}

/// Sends one request and reads its stream, until its end or a gap that is too long.
fn call(front: SocketAddr, attempt: &str, record: &Record) -> Outcome {
    let mut outcome = Outcome { attempt: attempt.to_string(), left: None, events: 0, whole: false };
    let Ok(mut stream) = TcpStream::connect(front) else {
        record.note(&format!("client of {attempt} cannot connect"));
        return outcome;
    };
    let request = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Count: {TOKENS},290\r\nX-Prompt-Prefix: {:x}:{TOKENS}\r\nX-Time-Remaining: 15000\r\n\
         Content-Length: 2\r\n\r\n{{}}",
        attempt.bytes().fold(7_u64, |hash, byte| hash * 31 + u64::from(byte))
    );
    record.note(&format!("client sends {attempt}"));
    if stream.write_all(request.as_bytes()).is_err() {
        return outcome;
    }
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&part[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                drop(stream);
                outcome.left = Some(Instant::now());
                break;
            }
            Err(_) => break,
        }
        if answer.ends_with(b"\r\n0\r\n\r\n") {
            outcome.whole = true;
            break;
        }
    }
    let text = String::from_utf8_lossy(&answer);
    outcome.events = text.matches("id: ").count();
    let end = match (outcome.left, outcome.whole) {
        (Some(_), _) => "abandons it after a gap of 2.4 s",
        (None, true) => "has it whole",
        (None, false) => "sees it broken off",
    };
    let status = text.split_whitespace().nth(1).unwrap_or("none").to_string();
    record.note(&format!("client of {attempt}: status {status}, {} events, {end}", outcome.events));
    outcome
}

fn judge(record: &Record, replicas: &[Engine], outcomes: &[Outcome], trouble: bool) -> bool {
    let mut late_arrivals = 0;
    let mut worked_on = 0;
    let mut left = 0;
    for outcome in outcomes {
        let Some(left_at) = outcome.left else { continue };
        left += 1;
        let limit = left_at + LEFT;
        let mut works = false;
        for work in replicas.iter().flat_map(Engine::work).filter(|work| work.attempt == outcome.attempt) {
            late_arrivals += usize::from(work.began > limit);
            works |= work.began <= limit && work.ended.is_none_or(|ended| ended > limit);
        }
        worked_on += usize::from(works);
    }
    let whole = outcomes.iter().filter(|outcome| outcome.whole).count();
    record.note(&format!(
        "{} requests: {whole} answered whole, {left} left by their clients; 0.5 s after the leave replicas were \
         still at work on {worked_on} of these, and {late_arrivals} requests of these reached a replica later",
        outcomes.len()
    ));
    if outcomes.len() < CLIENTS || !trouble && whole < CLIENTS || trouble && left < CLIENTS / 2 {
        give_up(record, "the clients didn't do what the case needs");
    }
    let broken = late_arrivals > FEW || worked_on * 4 > left && left > 0;
    record.note(if broken { "GONE is broken" } else { "GONE holds" });
    broken
}
