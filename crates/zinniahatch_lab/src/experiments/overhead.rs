//! Overhead of one node: plain requests directly and through the node, and streams through it, in
//! one run.

use crate::cluster::ClusterOptions;
use crate::cluster::LabCluster;
use crate::experiments::figures::new_histogram;
use crate::test_doubles::engine::EngineSpeed;
use crate::users;
use crate::users::RegionPlan;
use crate::users::UserPlan;
use hdrhistogram::Histogram;
use reqwest::Client;
use serde::Serialize;
use serde_json::json;
use std::fs;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use zinniahatch_base::prelude::*;

/// Kernel clock ticks per second, the unit of CPU times in `/proc` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of concurrent streams. At 18 ms per token they make the 22,000 tokens per second that a node
/// relays at the design size (`docs/CAPACITY.md`).
const STREAMS: usize = 400;
const STREAM_TOKENS: u64 = 300;
const TOKEN_TIME: Duration = Duration::from_millis(18);

#[derive(Clone, Copy, Debug, Serialize)]
struct CallFigures {
    p50_us: f64,
    p99_us: f64,
    calls: u64,
}

/// Runs the experiment; returns the number of failed requests.
///
/// # Panics
///
/// Panics if the system cannot be started.
pub async fn run(seconds: u64) -> usize {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0] = RegionPlan {
        entries: 1,
        ..plan.regions[0].clone()
    };
    let options = ClusterOptions {
        speed: EngineSpeed {
            token: TOKEN_TIME,
            batch_cost: 0.0,
            ..EngineSpeed::default()
        },
        plain_time: Duration::ZERO,
        ..ClusterOptions::default()
    };
    raise_slots(&mut plan);
    let cluster = LabCluster::start(plan, &options).await;
    // A single node grants the first leases three seconds after its start.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let config = crate::cluster::config_of(&cluster.plan);
    let direct = config
        .backends_in("coldbook", "almaty-hall-a")
        .next()
        .expect("the service has a backend server")
        .1
        .address
        .to_string();
    let through = format!("http://{}/s/coldbook", cluster.nodes[0].http);
    let process = cluster.process(0).expect("the node is running");
    let key = &cluster.plan.callers[0].key;
    let time = Duration::from_secs(seconds);
    // Warms up, then measures the highest rate with closed loops.
    closed_loop(&through, key, 32, Duration::from_secs(1)).await;
    let before = cpu_seconds(process);
    let (peak, mut failed) = closed_loop(&through, key, 32, time).await;
    let peak_cpu = cpu_seconds(process) - before;
    let per_core = peak.len() as f64 / peak_cpu;
    let rate = peak.len() as f64 / time.as_secs_f64() / 2.0;
    let (direct_calls, lost) = open_loop(&direct, key, rate, time).await;
    failed += lost;
    let (through_calls, lost) = open_loop(&through, key, rate, time).await;
    failed += lost;
    let (events, stream_cpu, lost) = run_streams(&cluster, process).await;
    failed += lost;
    let (one, two) = (figures(&direct_calls), figures(&through_calls));
    let per_event = stream_cpu * 1e6 / events as f64;
    println!(
        "highest rate {:.0} calls/s at {:.2} cores: {per_core:.0} calls a second for each core",
        rate * 2.0,
        peak_cpu / time.as_secs_f64()
    );
    println!(
        "at half of it: direct p50 {:.0} us p99 {:.0} us; through one node p50 {:.0} us p99 {:.0} us",
        one.p50_us, one.p99_us, two.p50_us, two.p99_us
    );
    println!("{events} streamed events: {per_event:.2} us of processor time each");
    println!(
        "{}",
        json!({"experiment": "overhead", "violations": failed, "calls_per_core": per_core, "rate": rate, "direct": one, "through": two,
            "added_p50_us": two.p50_us - one.p50_us, "added_p99_us": two.p99_us - one.p99_us, "events": events, "us_per_event": per_event})
    );
    failed
}

/// Raises the slots of the plain service and the engines, so that they are not the bottleneck.
fn raise_slots(plan: &mut UserPlan) {
    let text = plan.parts["backends"]
        .replace("slots = 32", "slots = 4000")
        .replace("slots = 8", "slots = 64");
    plan.parts.insert("backends".into(), text.into());
}

async fn closed_loop(
    base: &str,
    key: &str,
    clients: usize,
    time: Duration,
) -> (Histogram<u64>, usize) {
    let client = Client::builder()
        .no_proxy()
        .build()
        .expect("the HTTP client can be created");
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        let (client, base, key) = (client.clone(), base.to_owned(), key.to_owned());
        tasks.spawn(async move {
            let mut delays = new_histogram();
            let mut failed = 0;
            let started = Instant::now();
            while started.elapsed() < time {
                let sent = Instant::now();
                if send_request(&client, &base, &key).await {
                    delays.saturating_record(sent.elapsed().as_micros() as u64);
                } else {
                    failed += 1;
                }
            }
            (delays, failed)
        });
    }
    let mut all = new_histogram();
    let mut failed = 0;
    while let Some(Ok((delays, lost))) = tasks.join_next().await {
        all += delays;
        failed += lost;
    }
    (all, failed)
}

async fn open_loop(base: &str, key: &str, rate: f64, time: Duration) -> (Histogram<u64>, usize) {
    let client = Client::builder()
        .no_proxy()
        .build()
        .expect("the HTTP client can be created");
    let results = Arc::new(Mutex::new((new_histogram(), 0)));
    let calls = (rate * time.as_secs_f64()) as u64;
    let (sender, mut ended) = mpsc::unbounded_channel();
    let handle = Handle::current();
    let (base, key, shared) = (base.to_owned(), key.to_owned(), Arc::clone(&results));
    // A spinning thread keeps the scheduled send times. The runtime's timer has a resolution of one
    // millisecond, which is more than the measured delays.
    let pacer = std::thread::spawn(move || {
        let started = Instant::now();
        for number in 0..calls {
            let due = started + Duration::from_secs_f64(number as f64 / rate);
            while Instant::now() < due {
                std::hint::spin_loop();
            }
            let (client, base, key, results, sender) = (
                client.clone(),
                base.clone(),
                key.clone(),
                Arc::clone(&shared),
                sender.clone(),
            );
            handle.spawn(async move {
                let succeeded = send_request(&client, &base, &key).await;
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                results
                    .0
                    .saturating_record(due.elapsed().as_micros() as u64);
                results.1 += usize::from(!succeeded);
                let _ = sender.send(());
            });
        }
    });
    for _ in 0..calls {
        ended.recv().await;
    }
    let _ = pacer.join();
    let results = results.lock().unwrap_or_else(PoisonError::into_inner);
    results.clone()
}

async fn send_request(client: &Client, base: &str, key: &str) -> bool {
    let request = client
        .get(format!("{base}/record?operation=7;"))
        .bearer_auth(key);
    match request.send().await {
        Ok(response) => response.status().is_success() && response.bytes().await.is_ok(),
        Err(_) => false,
    }
}

async fn run_streams(cluster: &LabCluster, process: u32) -> (u64, f64, usize) {
    let client = Client::builder()
        .no_proxy()
        .build()
        .expect("the HTTP client can be created");
    let url = format!(
        "http://{}/s/zinnia-desk/v1/chat/completions",
        cluster.nodes[0].http
    );
    let before = cpu_seconds(process);
    let mut tasks = JoinSet::new();
    for number in 0..STREAMS {
        let (client, url, key) = (
            client.clone(),
            url.clone(),
            cluster.plan.callers[0].key.clone(),
        );
        tasks.spawn(async move {
            let body = json!({"model": "zinnia-desk", "stream": true, "max_tokens": STREAM_TOKENS, "messages": [{"role": "user", "content": format!("operation={number};")}]});
            let Ok(response) = client.post(url).bearer_auth(&key).json(&body).send().await else {
                return 0;
            };
            let text = response.text().await.unwrap_or_default();
            if text.ends_with("data: [DONE]\n\n") { text.matches("data: ").count() as u64 } else { 0 }
        });
    }
    let mut events = 0;
    let mut failed = 0;
    while let Some(Ok(count)) = tasks.join_next().await {
        events += count;
        failed += usize::from(count == 0);
    }
    (events.max(1), cpu_seconds(process) - before, failed)
}

fn figures(delays: &Histogram<u64>) -> CallFigures {
    CallFigures {
        p50_us: delays.value_at_quantile(0.5) as f64,
        p99_us: delays.value_at_quantile(0.99) as f64,
        calls: delays.len(),
    }
}

/// Returns the CPU time that a process has used, in seconds.
pub fn cpu_seconds(process: u32) -> f64 {
    const FIELDS_BEFORE_CPU_TIME: usize = 11;
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The second field is the program's name in parentheses and may contain spaces.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = rest
        .split_whitespace()
        .skip(FIELDS_BEFORE_CPU_TIME)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of a process, in bytes.
pub fn resident_bytes(process: u32) -> u64 {
    const KIB: u64 = 1_024;
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next())
        .and_then(|field| field.parse::<u64>().ok())
        .map_or(0, |kib| kib * KIB)
}
