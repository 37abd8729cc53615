//! Open-loop load generator: operations with scheduled send times, each response checked.

use crate::cluster::LabCluster;
use crate::history::HistoryLog;
use crate::history::SendOutcome;
use crate::history::SendRecord;
use crate::test_doubles::text::operation_mark;
use crate::test_doubles::text::plain_response;
use crate::test_doubles::text::response_text;
use crate::users::CallerPlan;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Client;
use reqwest::Response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;

mod sender;

pub use sender::OperationSender;

/// Maximum number of sends of one operation; a further send follows only a "not run" response.
const MAX_SENDS: usize = 4;
/// Maximum number of tries to fetch the kept response of an operation that may run once.
const COLLECT_TRIES: usize = 20;
/// Pause before each of these tries.
const COLLECT_PAUSE: Duration = Duration::from_millis(400);
/// Idempotency keys requested at once.
const KEY_BATCH: usize = 32;

/// Shares of the operation kinds in the load.
#[derive(Clone, Copy, Debug)]
pub struct LoadMix {
    /// Share of streamed model queries.
    pub query: f64,
    /// Share of long model summaries that are not streamed.
    pub summary: f64,
    /// Share of plain look-ups.
    pub lookup: f64,
    /// Share of entries or reorders, which may run once and are bound to their home region.
    pub entry: f64,
}

impl Default for LoadMix {
    fn default() -> Self {
        Self {
            query: 0.3,
            summary: 0.1,
            lookup: 0.4,
            entry: 0.2,
        }
    }
}

/// One kind of operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// A streamed model query.
    Query,
    /// A long model summary that is not streamed.
    Summary,
    /// A plain look-up.
    Lookup,
    /// An entry that may run once.
    Entry,
}

/// Parameters of the load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Time during which operations are sent.
    pub duration: Duration,
    /// Operations per second of a region, as a function of the elapsed fraction of the duration.
    pub rate: fn(region: usize, part: f64) -> f64,
    /// Factor on the rate.
    pub scale: f64,
    /// Shares of the operation kinds.
    pub mix: LoadMix,
    /// Tokens of a query and of a summary.
    pub tokens: (u64, u64),
    /// Bytes of a prompt's shared prefix, for queries and for summaries.
    pub prompt: (usize, usize),
    /// Number of distinct prompt prefixes of each region.
    pub prefixes: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(10),
            rate: |_, _| 10.0,
            scale: 1.0,
            mix: LoadMix::default(),
            tokens: (24, 80),
            prompt: (2_000, 12_000),
            prefixes: 12,
        }
    }
}

type KeysByCaller = BTreeMap<Box<str>, Vec<Box<str>>>;

/// Addresses of the entry VMs and idempotency keys that callers hold.
#[derive(Clone, Debug, Default)]
pub struct EntryDirectory {
    entries: Arc<Mutex<BTreeMap<RegionId, Vec<Box<str>>>>>,
    keys: Arc<Mutex<KeysByCaller>>,
}

/// Generates load on a cluster.
#[derive(Clone)]
pub struct LoadRunner {
    sender: OperationSender,
    callers: Vec<CallerPlan>,
    regions: Vec<RegionId>,
    directory: EntryDirectory,
    next_operation: Arc<AtomicU64>,
    /// Number of operations started so far.
    pub sent: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct EntriesBody {
    entries: Vec<EntryLine>,
    keys: Vec<Box<str>>,
}

#[derive(Deserialize)]
struct EntryLine {
    http: Box<str>,
    region: RegionId,
}

impl EntryDirectory {
    fn entries_in(&self, region: &str) -> Vec<Box<str>> {
        lock(&self.entries).get(region).cloned().unwrap_or_default()
    }
}

impl LoadRunner {
    /// Creates a runner for a cluster.
    pub fn new(cluster: &LabCluster) -> Self {
        let config = crate::cluster::config_of(&cluster.plan);
        let directory = EntryDirectory::default();
        for node in &cluster.nodes {
            lock(&directory.entries)
                .entry(node.region.clone())
                .or_default()
                .push(node.http.clone());
        }
        Self {
            sender: OperationSender::new(
                &cluster.history,
                config,
                cluster.plan.engine,
                cluster.plan.plain,
            ),
            callers: cluster.plan.callers.clone(),
            regions: cluster
                .plan
                .regions
                .iter()
                .map(|region| region.region.clone())
                .collect(),
            directory,
            next_operation: Arc::new(AtomicU64::new(1)),
            sent: Arc::default(),
        }
    }

    /// Sends all operations of a plan and waits until each has ended.
    pub async fn run(&self, plan: &LoadPlan) {
        let mut random = StdRng::seed_from_u64(plan.seed);
        let refresh = tokio::spawn(self.clone().refresh_entries());
        let started = tokio::time::Instant::now();
        let begin = self.sender.history.now();
        let mut tasks = JoinSet::new();
        let mut schedule: Vec<(Duration, usize)> = Vec::new();
        for region in 0..self.regions.len() {
            let mut at = 0.0;
            while at < plan.duration.as_secs_f64() {
                let part = at / plan.duration.as_secs_f64();
                let rate = ((plan.rate)(region, part) * plan.scale).max(1e-3);
                at += -(1.0 - random.random::<f64>()).ln() / rate;
                schedule.push((Duration::from_secs_f64(at), region));
            }
        }
        schedule.sort();
        schedule.retain(|(at, _)| *at < plan.duration);
        for (at, region) in schedule {
            sleep_until(started + at).await;
            let job = self.draw(&mut random, plan, region, begin + at);
            self.sent.fetch_add(1, Ordering::Relaxed);
            let runner = self.clone();
            tasks.spawn(async move { runner.run_operation(job).await });
        }
        while tasks.join_next().await.is_some() {}
        refresh.abort();
    }

    fn draw(
        &self,
        random: &mut StdRng,
        plan: &LoadPlan,
        region: usize,
        scheduled: Duration,
    ) -> OperationJob {
        let home = &self.regions[region];
        let own: Vec<&CallerPlan> = self
            .callers
            .iter()
            .filter(|caller| caller.home == *home)
            .collect();
        let caller = own[random.random_range(0..own.len())].clone();
        let mix = plan.mix;
        let draw = random.random::<f64>() * (mix.query + mix.summary + mix.lookup + mix.entry);
        let kind = if draw < mix.query {
            OperationKind::Query
        } else if draw < mix.query + mix.summary {
            OperationKind::Summary
        } else if draw < mix.query + mix.summary + mix.lookup {
            OperationKind::Lookup
        } else {
            OperationKind::Entry
        };
        let prefix = random.random_range(0..plan.prefixes);
        let (tokens, size) = match kind {
            OperationKind::Query => (plan.tokens.0, plan.prompt.0),
            OperationKind::Summary => (plan.tokens.1, plan.prompt.1),
            OperationKind::Lookup | OperationKind::Entry => (0, 0),
        };
        OperationJob {
            number: self.next_operation.fetch_add(1, Ordering::Relaxed),
            caller,
            kind,
            scheduled,
            tokens,
            prompt: prompt_text(home, prefix, size),
            first_entry: random.random_range(0..64),
        }
    }

    /// Sends an operation up to `MAX_SENDS` times, until its response says anything but "not run".
    async fn run_operation(&self, job: OperationJob) {
        let mut key = None;
        for turn in 0..MAX_SENDS {
            let entries = self.directory.entries_in(&job.caller.home);
            if entries.is_empty() {
                sleep(Duration::from_millis(200)).await;
                continue;
            }
            let entry = entries[(job.first_entry + turn) % entries.len()].clone();
            if job.kind == OperationKind::Entry && key.is_none() {
                key = self.take_key(&job.caller, &entry).await;
                if key.is_none() {
                    continue;
                }
            }
            let Some(record) = self.sender.send(&job, &entry, key.as_deref()).await else {
                continue;
            };
            let end = record.end.clone();
            let code = record.code;
            self.sender.history.add_send(record);
            match end {
                SendOutcome::Told(Execution::NotRun) => {
                    if code == ResultCode::KeyForeign.number()
                        || code == ResultCode::KeyBuried.number()
                    {
                        key = None;
                    }
                    sleep(Duration::from_millis(150 << turn)).await;
                }
                SendOutcome::Told(Execution::Unknown) | SendOutcome::NoAnswer
                    if job.kind == OperationKind::Entry =>
                {
                    return self.collect(&job, key.as_deref()).await;
                }
                SendOutcome::Whole { .. }
                | SendOutcome::Told(_)
                | SendOutcome::CutOff
                | SendOutcome::FalseEnd
                | SendOutcome::NoAnswer => return,
            }
        }
    }

    /// Fetches the kept response of an operation whose first response did not arrive.
    async fn collect(&self, job: &OperationJob, key: Option<&str>) {
        let Some(key) = key else {
            return;
        };
        for turn in 0..COLLECT_TRIES {
            sleep(COLLECT_PAUSE).await;
            let entries = self.directory.entries_in(&job.caller.home);
            let Some(entry) = entries
                .get((job.first_entry + turn) % entries.len().max(1))
                .cloned()
            else {
                continue;
            };
            let Some(record) = self.sender.collect(job, &entry, key).await else {
                continue;
            };
            let settled = matches!(record.end, SendOutcome::Whole { .. })
                || record.code == ResultCode::KeyBuried.number();
            if settled {
                self.sender.history.add_send(record);
                return;
            }
            if record.code != ResultCode::StillRunning.number() {
                return;
            }
        }
    }

    async fn take_key(&self, caller: &CallerPlan, entry: &str) -> Option<Box<str>> {
        if let Some(key) = lock(&self.directory.keys)
            .get_mut(&caller.key)
            .and_then(Vec::pop)
        {
            return Some(key);
        }
        let body = self.fetch_entries(caller, entry, KEY_BATCH).await?;
        let mut keys = body.keys;
        let key = keys.pop();
        lock(&self.directory.keys)
            .entry(caller.key.clone())
            .or_default()
            .extend(keys);
        key
    }

    async fn fetch_entries(
        &self,
        caller: &CallerPlan,
        entry: &str,
        keys: usize,
    ) -> Option<EntriesBody> {
        let request = self
            .sender
            .client
            .get(format!("http://{entry}/v1/entries"))
            .query(&[("keys", keys)])
            .bearer_auth(&caller.key)
            .timeout(Duration::from_secs(2));
        let response = request.send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json().await.ok()
    }

    /// Queries every second which entry VMs to use, as callers do.
    async fn refresh_entries(self) {
        let mut turn = 0;
        loop {
            for caller in &self.callers {
                let known = self.directory.entries_in(&caller.home);
                let Some(entry) = known.get(turn % known.len().max(1)) else {
                    continue;
                };
                let Some(body) = self.fetch_entries(caller, entry, 0).await else {
                    continue;
                };
                let own: Vec<Box<str>> = body
                    .entries
                    .iter()
                    .filter(|line| line.region == caller.home)
                    .map(|line| line.http.clone())
                    .collect();
                if !own.is_empty() {
                    lock(&self.directory.entries).insert(caller.home.clone(), own);
                }
            }
            turn += 1;
            sleep(Duration::from_secs(1)).await;
        }
    }
}

/// One operation to send.
#[derive(Clone, Debug)]
pub struct OperationJob {
    /// Number of the operation, unique within a run.
    pub number: u64,
    /// The sending caller.
    pub caller: CallerPlan,
    /// Kind of the operation.
    pub kind: OperationKind,
    /// Scheduled send time, from which delays are measured.
    pub scheduled: Duration,
    /// Number of tokens requested.
    pub tokens: u64,
    /// Shared prefix of the prompt.
    pub prompt: String,
    /// Index of the entry VM tried first.
    pub first_entry: usize,
}

fn prompt_text(region: &str, prefix: u64, size: usize) -> String {
    let line = format!("dossier {prefix} of {region}; ");
    let mut text = String::with_capacity(size + line.len());
    while text.len() < size {
        text.push_str(&line);
    }
    text
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
