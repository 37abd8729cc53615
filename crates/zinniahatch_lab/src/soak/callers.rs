//! Callers that send requests throughout a soak, on persistent connections.

use super::invariants::CallOutcome;
use super::invariants::OutcomeLog;
use super::invariants::RouteKind;
use super::stream_follower::StreamFollower;
use crate::site::HOST;
use crate::site::SiteCluster;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Client;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;

/// Time limit for connecting and for a directory query, the same as for the platform's callers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond the caller's own limit after which a request counts as never answered. It is far longer
/// than a request may take, since the machine may be busy and entry VMs are paused for seconds.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two requests of a caller, in ms.
const PAUSE_MS: std::ops::Range<u64> = 5..120;
/// Requests to one entry VM before a caller queries the directory again. Some callers stay long, so
/// that they still send to an entry VM that is about to stop.
const REQUESTS_PER_ENTRY: std::ops::Range<u32> = 2..80;
/// One in this many streams is abandoned by its caller.
const ABANDON_ONE_IN: u32 = 10;

/// What the callers of a soak do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerHabits {
    /// Routes to which they send.
    pub(crate) routes: &'static [RouteKind],
    /// Whether they take streams up again that are broken off.
    pub(crate) follow: bool,
    /// Time limit that they give a request, in ms.
    pub(crate) time_limit_ms: (u64, u64),
    /// Whether they stay with an entry VM until its process is gone.
    pub(crate) stay: bool,
}

/// All callers of a soak.
pub(crate) struct CallerPool {
    ended: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl CallerPool {
    /// Starts the callers.
    pub(crate) fn start(
        seed: u64,
        count: usize,
        habits: CallerHabits,
        site: &SiteCluster,
        log: &Arc<OutcomeLog>,
    ) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let addresses: Vec<EntryAddress> = site
            .entries
            .iter()
            .map(|entry| EntryAddress {
                directory: entry.addresses[3].clone(),
                region: entry.region,
            })
            .collect();
        let tasks = (0..count).map(|number| {
            let caller = SoakCaller {
                name: format!("c{number}"),
                habits,
                fronts: site
                    .entries
                    .iter()
                    .map(|entry| entry.addresses[0].clone())
                    .collect(),
                entries: addresses.clone(),
                region: addresses[number % addresses.len()].region,
                log: Arc::clone(log),
                ended: Arc::clone(&ended),
                random: StdRng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64),
                client: Client::builder()
                    .connect_timeout(CONNECT_TIMEOUT)
                    .no_proxy()
                    .build()
                    .unwrap_or_default(),
            };
            tokio::spawn(caller.run())
        });
        let tasks = tasks.collect();
        Self { ended, tasks }
    }

    /// Stops the callers after each has finished its current request.
    pub(crate) async fn stop(self) {
        self.ended.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.expect("a caller does not panic");
        }
    }
}

/// Directory address and region of an entry VM.
#[derive(Clone, Debug)]
struct EntryAddress {
    directory: Box<str>,
    region: &'static str,
}

struct SoakCaller {
    name: String,
    habits: CallerHabits,
    /// Addresses of all entry VMs for callers.
    fronts: Vec<Box<str>>,
    entries: Vec<EntryAddress>,
    region: &'static str,
    log: Arc<OutcomeLog>,
    ended: Arc<AtomicBool>,
    random: StdRng,
    client: Client,
}

impl SoakCaller {
    async fn run(mut self) {
        let mut number = 0;
        while !self.ended.load(Ordering::SeqCst) {
            let Some(front) = self.resolve().await else {
                sleep(Duration::from_millis(self.random.random_range(PAUSE_MS))).await;
                continue;
            };
            let requests = if self.habits.stay {
                u32::MAX
            } else {
                self.random.random_range(REQUESTS_PER_ENTRY)
            };
            for _ in 0..requests {
                number += 1;
                let reusable = self.send(&front, number).await;
                sleep(Duration::from_millis(self.random.random_range(PAUSE_MS))).await;
                if !reusable || self.ended.load(Ordering::SeqCst) {
                    break;
                }
            }
        }
    }

    /// Resolves the address of an entry VM; queries up to three directories, those of the own
    /// region first.
    async fn resolve(&mut self) -> Option<Box<str>> {
        let mut entries: Vec<&EntryAddress> = self.entries.iter().collect();
        entries.sort_by_key(|entry| entry.region != self.region);
        for entry in entries.iter().take(3) {
            let url = format!(
                "http://{}/resolve?name={HOST}&region={}&zone={}-a",
                entry.directory, self.region, self.region
            );
            let query = async { self.client.get(url).send().await?.bytes().await };
            let Ok(Ok(body)) = timeout(CONNECT_TIMEOUT, query).await else {
                continue;
            };
            let Ok(body) = serde_json::from_slice::<serde_json::Value>(&body) else {
                continue;
            };
            let found: Vec<&str> = body["addresses"]
                .as_array()?
                .iter()
                .filter_map(|address| address.as_str())
                .collect();
            if found.is_empty() {
                continue;
            }
            let chosen = self.random.random_range(0..found.len());
            return Some(found[chosen].into());
        }
        None
    }

    /// Follows a stream to its end; returns whether the caller may go on with the same entry VM.
    async fn follow(&mut self, front: &str, attempt: &str, time_limit: Duration) -> bool {
        self.log.record_sent(attempt);
        let follower = StreamFollower {
            client: &self.client,
            fronts: &self.fronts,
            random: &mut self.random,
            attempt,
            time_limit,
            hang_timeout: time_limit + HANG_TIMEOUT,
        };
        let followed = follower.run(front).await;
        self.log.record_followed(attempt, &followed);
        followed.whole
    }

    /// Sends a request; returns whether the caller may go on with the same entry VM.
    async fn send(&mut self, front: &str, number: u32) -> bool {
        let kind = self.habits.routes[self.random.random_range(0..self.habits.routes.len())];
        let attempt = format!("{}-{number}", self.name);
        let (shortest, longest) = self.habits.time_limit_ms;
        let time_limit = Duration::from_millis(self.random.random_range(shortest..longest));
        if self.habits.follow && kind == RouteKind::Stream {
            return self.follow(front, &attempt, time_limit).await;
        }
        let abandons = kind.is_stream() && self.random.random_range(0..ABANDON_ONE_IN) == 0;
        let limit = if abandons {
            Duration::from_millis(self.random.random_range(1..250))
        } else {
            time_limit + HANG_TIMEOUT
        };
        let request = self
            .client
            .get(format!("http://{front}/{}/x", kind.name()))
            .header("host", HOST)
            .header("x-attempt-id", &attempt)
            .header("x-time-remaining", time_limit.as_millis().to_string());
        self.log.record_sent(&attempt);
        let sent_at = Instant::now();
        let answered = timeout(limit, async {
            let response = request.send().await?;
            let head = (response.status(), response.headers().clone());
            // A response whose body fails counts as no response.
            let body = response.bytes().await?;
            Ok::<_, reqwest::Error>((head, body))
        })
        .await;
        let outcome = match answered {
            Ok(Ok(((status, headers), body))) => CallOutcome::Answered {
                status: status.as_u16(),
                sealed: headers.contains_key("x-server-seal"),
                late: sent_at.elapsed() >= time_limit,
                body,
            },
            Ok(Err(error)) if error.is_connect() => CallOutcome::Unconnected,
            Ok(Err(_)) if sent_at.elapsed() >= time_limit => CallOutcome::OutOfTime,
            Ok(Err(_)) => CallOutcome::Disconnected,
            Err(_) if abandons => CallOutcome::Abandoned,
            Err(_) => CallOutcome::TimedOut,
        };
        self.log.record(&attempt, kind, front, &outcome);
        match outcome {
            CallOutcome::Answered { status, .. } => status == 200 || self.habits.stay,
            CallOutcome::Abandoned => self.habits.stay,
            _ => false,
        }
    }
}
