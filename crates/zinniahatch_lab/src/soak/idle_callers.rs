//! Callers that keep a connection idle for most of the time that its last answer announced, and send on
//! it again.

use super::injector::FaultInjector;
use super::invariants::OutcomeLog;
use crate::site::HOST;
use crate::site::SiteCluster;
use httparse::EMPTY_HEADER;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use zinniahatch_base::prelude::*;

const CALLERS_PER_ENTRY: usize = 2;
/// Part of the announced time for which a connection stays idle.
const IDLE_PART: std::ops::Range<f64> = 0.4..0.8;
/// Time that a caller states for a request, in ms.
const TIME_LIMIT_MS: u64 = 6_000;
/// Time after which a request counts as never answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(26);
/// Pause before another connection is opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Time after a stop signal within which an entry VM may still promise to keep a connection.
const STOP_DELAY: Duration = Duration::from_secs(3);
const MAX_HEADERS: usize = 64;
/// Combined with the seed by XOR, so that the draws of the other callers stay.
const SEED_MASK: u64 = 0x0001_d1e5;

/// All callers with idle connections.
pub(crate) struct IdleCallers {
    ended: CancellationToken,
    tasks: Vec<JoinHandle<Vec<LostConnection>>>,
}

/// A connection that was lost within the time that its last answer announced.
#[derive(Clone, Debug)]
struct LostConnection {
    /// Index of the entry VM.
    entry: usize,
    /// The attempt that was sent on it, or would have been next.
    attempt: String,
    announced: Duration,
    /// When the last answer was complete.
    answered_at: Instant,
    lost_at: Instant,
    /// Whether the attempt was sent.
    sent: bool,
}

impl IdleCallers {
    /// Starts the callers.
    pub(crate) fn start(seed: u64, site: &SiteCluster, log: &Arc<OutcomeLog>) -> Self {
        let ended = CancellationToken::new();
        let tasks = (0..site.entries.len() * CALLERS_PER_ENTRY).map(|number| {
            let entry = number % site.entries.len();
            let caller = IdleCaller {
                name: format!("idle{number}"),
                entry,
                front: site.entries[entry].addresses[0].clone(),
                sent: 0,
                log: Arc::clone(log),
                ended: ended.clone(),
                random: StdRng::seed_from_u64((seed ^ SEED_MASK) * 1_000 + number as u64),
            };
            tokio::spawn(caller.run())
        });
        let tasks = tasks.collect();
        Self { ended, tasks }
    }

    /// Lets each caller send once more and checks that no connection was lost before its time.
    ///
    /// A planned stop closes idle connections, and may cross a request on one, but not one that was
    /// passed on to a replica.
    pub(crate) async fn check(
        self,
        site: &SiteCluster,
        injector: &FaultInjector,
        log: &OutcomeLog,
    ) {
        self.ended.cancel();
        let mut lost = Vec::new();
        for task in self.tasks {
            lost.extend(task.await.expect("a caller does not panic"));
        }
        let runs = site.all_runs();
        for connection in lost {
            let stops = injector.stops.iter();
            let stopped = stops.clone().any(|(entry, at)| {
                *entry == connection.entry
                    && *at <= connection.lost_at
                    && *at + STOP_DELAY >= connection.answered_at
            });
            if stopped && !runs.contains_key(&*connection.attempt) {
                continue;
            }
            let name = &site.entries[connection.entry].name;
            let what = if connection.sent {
                "was sent on"
            } else {
                "was to use"
            };
            log.record_violation(format!(
                "{} {what} a connection that {name} closed after {:?} of {:?}",
                connection.attempt,
                connection.lost_at - connection.answered_at,
                connection.announced
            ));
        }
    }
}

struct IdleCaller {
    name: String,
    entry: usize,
    front: Box<str>,
    /// Number of requests that it sent.
    sent: u32,
    log: Arc<OutcomeLog>,
    ended: CancellationToken,
    random: StdRng,
}

impl IdleCaller {
    async fn run(mut self) -> Vec<LostConnection> {
        let mut lost = Vec::new();
        while !self.ended.is_cancelled() {
            if let Ok(stream) = TcpStream::connect(&*self.front).await {
                lost.extend(self.use_connection(stream).await);
            }
            sleep(RECONNECT_PAUSE).await;
        }
        lost
    }

    /// Sends on a connection, with idle times between, until it is closed; returns how it was lost if it
    /// was to be kept.
    async fn use_connection(&mut self, mut stream: TcpStream) -> Option<LostConnection> {
        let mut kept: Option<(Duration, Instant)> = None;
        loop {
            self.sent += 1;
            let attempt = format!("{}-{}", self.name, self.sent);
            let lose = |(announced, answered_at), sent| LostConnection {
                entry: self.entry,
                attempt: attempt.clone(),
                announced,
                answered_at,
                lost_at: Instant::now(),
                sent,
            };
            if let Some((announced, answered_at)) = kept {
                let idle = announced.mul_f64(self.random.random_range(IDLE_PART));
                let mut byte = [0];
                tokio::select! {
                    _ = stream.peek(&mut byte) => return Some(lose((announced, answered_at), false)),
                    () = sleep(idle) => {}
                    () = self.ended.cancelled() => {}
                }
            }
            self.log.record_sent(&attempt);
            let answered = timeout(ANSWER_LIMIT, exchange(&mut stream, &attempt)).await;
            let Ok(Some(answer)) = answered else {
                return kept.map(|kept| lose(kept, true));
            };
            if self.ended.is_cancelled() {
                return None;
            }
            kept = Some((answer.keep_alive?, Instant::now()));
        }
    }
}

/// A complete answer.
struct CompleteAnswer {
    /// Time for which the connection stays open, unless it is to be closed.
    keep_alive: Option<Duration>,
}

/// Sends a request and reads its answer; returns `None` if there is none.
async fn exchange(stream: &mut TcpStream, attempt: &str) -> Option<CompleteAnswer> {
    let request = format!(
        "GET /plain/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Time-Remaining: {TIME_LIMIT_MS}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return Some(answer);
        }
        let read = stream.read_buf(&mut bytes).await;
        read.ok().filter(|count| *count > 0)?;
    }
}

fn parse_answer(bytes: &[u8]) -> Option<CompleteAnswer> {
    let mut lines = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let Ok(httparse::Status::Complete(used)) = parsed.parse(bytes) else {
        return None;
    };
    let text = |name: &str| {
        let mut headers = parsed.headers.iter();
        let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok()
    };
    let whole = match text("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => bytes.len() >= used + length,
        None => bytes.ends_with(b"0\r\n\r\n"),
    };
    let seconds = text("keep-alive").and_then(|value| value.strip_prefix("timeout=")?.parse().ok());
    whole.then_some(CompleteAnswer {
        keep_alive: seconds.map(Duration::from_secs),
    })
}
