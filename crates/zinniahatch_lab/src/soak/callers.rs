//! Callers that keep calling through all faults, on connections that they keep open.

use super::promises::CallerSight;
use super::promises::PromiseBook;
use super::promises::RouteKind;
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

/// Time for a connection and for the directory, as the platform's callers have it.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// How long a caller waits for an answer, in ms.
const PATIENCE: std::ops::Range<u64> = 1_500..6_000;
/// Time beyond the caller's own after which a call counts as never answered. Far more than a call may
/// take, since the machine may be busy and entry VMs are paused for seconds.
const HANG_TIME: Duration = Duration::from_secs(20);
/// Pause between two calls of a caller, in ms.
const PAUSE: std::ops::Range<u64> = 5..120;
/// Calls on one connection before a caller asks the directory again. Some stay long, so that they still
/// call an entry VM that is about to stop.
const STAY: std::ops::Range<u32> = 2..80;
/// One caller in so many leaves in the middle of a stream.
const LEAVERS: u32 = 10;

/// All callers of a run.
pub(crate) struct CallerCrowd {
    ended: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl CallerCrowd {
    /// Starts them.
    pub(crate) fn start(
        seed: u64,
        count: usize,
        site: &SiteCluster,
        book: &Arc<PromiseBook>,
    ) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let entries: Vec<SiteDoor> = site
            .entries
            .iter()
            .map(|entry| SiteDoor {
                directory: entry.addresses[3].clone(),
                region: entry.region,
            })
            .collect();
        let tasks = (0..count).map(|number| {
            let caller = SoakCaller {
                name: format!("c{number}"),
                doors: entries.clone(),
                region: entries[number % entries.len()].region,
                book: Arc::clone(book),
                ended: Arc::clone(&ended),
                random: StdRng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64),
                client: Client::builder()
                    .connect_timeout(CONNECT_TIME)
                    .no_proxy()
                    .build()
                    .unwrap_or_default(),
            };
            tokio::spawn(caller.run())
        });
        let tasks = tasks.collect();
        Self { ended, tasks }
    }

    /// Lets each caller finish its call, and waits for that.
    pub(crate) async fn stop(self) {
        self.ended.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.expect("a caller ran to its end");
        }
    }
}

/// Where an entry VM listens.
#[derive(Clone, Debug)]
struct SiteDoor {
    directory: Box<str>,
    region: &'static str,
}

struct SoakCaller {
    name: String,
    doors: Vec<SiteDoor>,
    region: &'static str,
    book: Arc<PromiseBook>,
    ended: Arc<AtomicBool>,
    random: StdRng,
    client: Client,
}

impl SoakCaller {
    async fn run(mut self) {
        let mut number = 0;
        while !self.ended.load(Ordering::SeqCst) {
            let Some(front) = self.resolve().await else {
                sleep(Duration::from_millis(self.random.random_range(PAUSE))).await;
                continue;
            };
            for _ in 0..self.random.random_range(STAY) {
                number += 1;
                let kept = self.call(&front, number).await;
                sleep(Duration::from_millis(self.random.random_range(PAUSE))).await;
                if !kept || self.ended.load(Ordering::SeqCst) {
                    break;
                }
            }
        }
    }

    /// Asks up to three directories, those of the own region first.
    async fn resolve(&mut self) -> Option<Box<str>> {
        let mut doors: Vec<&SiteDoor> = self.doors.iter().collect();
        doors.sort_by_key(|door| door.region != self.region);
        for door in doors.iter().take(3) {
            let url = format!(
                "http://{}/resolve?name={HOST}&region={}&zone={}-a",
                door.directory, self.region, self.region
            );
            let asked = async { self.client.get(url).send().await?.bytes().await };
            let Ok(Ok(body)) = timeout(CONNECT_TIME, asked).await else {
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

    /// Makes a call; tells whether the connection is good for another.
    async fn call(&mut self, front: &str, number: u32) -> bool {
        let kinds = RouteKind::ALL;
        let kind = kinds[self.random.random_range(0..kinds.len())];
        let attempt = format!("{}-{number}", self.name);
        let patience = Duration::from_millis(self.random.random_range(PATIENCE));
        let leaves = kind == RouteKind::Stream && self.random.random_range(0..LEAVERS) == 0;
        let limit = if leaves {
            Duration::from_millis(self.random.random_range(1..250))
        } else {
            patience + HANG_TIME
        };
        let request = self
            .client
            .get(format!("http://{front}/{}/x", kind.name()))
            .header("host", HOST)
            .header("x-attempt-id", &attempt)
            .header("x-time-remaining", patience.as_millis().to_string());
        let answered = timeout(limit, async {
            let answer = request.send().await?;
            let head = (answer.status(), answer.headers().clone());
            // What came of a broken answer does not count as one.
            let body = answer.bytes().await?;
            Ok::<_, reqwest::Error>((head, body))
        })
        .await;
        let sight = match answered {
            Ok(Ok(((status, headers), body))) => CallerSight::Answered {
                status: status.as_u16(),
                sealed: headers.contains_key("x-server-seal"),
                body,
            },
            Ok(Err(_)) => CallerSight::Broken,
            Err(_) if leaves => CallerSight::Left,
            Err(_) => CallerSight::Hung,
        };
        let kept = matches!(&sight, CallerSight::Answered { status, .. } if *status == 200);
        self.book.note(&attempt, kind, &sight);
        kept
    }
}
