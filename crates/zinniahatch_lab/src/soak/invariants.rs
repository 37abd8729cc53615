//! Invariants of a soak, checked on each response and against the requests recorded by the replicas
//! at the end.

use super::injector::FaultInjector;
use super::plan::FaultMix;
use crate::site::SiteCluster;
use crate::site::wait_until;
use bytes::Bytes;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;

/// Response statuses which guarantee that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Number of events of a complete stream.
const EVENTS: u32 = super::SHAPE.events;

/// The routes to which callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteKind {
    /// Idempotent; may run on at most two replicas.
    Plain,
    /// Must run at most once.
    Once,
    /// A resumable stream.
    Stream,
    /// Bound to its home region.
    Bound,
    /// A stream that must run at most once.
    StreamOnce,
}

impl RouteKind {
    /// All routes. The last is drawn only in soaks with answers of several forms, so that the draws
    /// of the others stay.
    const ALL: [Self; 5] = [
        Self::Plain,
        Self::Once,
        Self::Stream,
        Self::Bound,
        Self::StreamOnce,
    ];

    /// Returns the routes to which callers send.
    pub(crate) fn drawn(answer_forms: bool) -> &'static [Self] {
        if answer_forms {
            &Self::ALL
        } else {
            &Self::ALL[..4]
        }
    }

    /// Returns whether the answers are streams.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::StreamOnce)
    }

    /// Returns whether a request must run at most once.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::StreamOnce)
    }

    /// Returns the route's name, which is also the first segment of its paths.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::Bound => "bound",
            Self::StreamOnce => "stream-once",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub(crate) enum CallOutcome {
    /// A response arrived that looks complete; `sealed` says whether it carries a replica's seal, `late`
    /// whether the caller's time limit was over.
    Answered {
        status: u16,
        sealed: bool,
        late: bool,
        body: Bytes,
    },
    /// The connection could not be opened.
    Unconnected,
    /// The connection broke.
    Disconnected,
    /// The connection broke once the caller's time limit was over.
    OutOfTime,
    /// No response arrived until long after the caller's time limit.
    TimedOut,
    /// The caller abandoned the request.
    Abandoned,
}

/// A request that ended without an answer before its caller's time was over.
#[derive(Clone, Debug)]
pub(crate) struct LostCall {
    pub(crate) attempt: Box<str>,
    pub(crate) kind: RouteKind,
    /// Address of the entry VM to which the caller sent it.
    pub(crate) front: Box<str>,
    pub(crate) sent_at: Instant,
    pub(crate) lost_at: Instant,
    /// The status, if the entry VM gave up on it.
    pub(crate) status: Option<u16>,
}

/// An event of a stream whose replicas name their version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    /// Its id; 0 if it has none.
    pub(crate) id: u32,
    /// The attempt that brought the first event of the stream.
    pub(crate) first_attempt: Box<str>,
    /// The version of the replica that made it.
    pub(crate) version: Box<str>,
}

impl StreamEvent {
    /// Parses an event; `first` is the first one of its stream, if this is another one.
    pub(crate) fn parse(text: &str, first: Option<&Self>) -> Self {
        let (id, data) = text.split_once('\n').unwrap_or_default();
        let id = id.strip_prefix("id: ").and_then(|id| id.parse().ok());
        let data = data.strip_prefix("data: ").unwrap_or_default();
        let (attempt, version) = data.rsplit_once(' ').unwrap_or_default();
        Self {
            id: id.unwrap_or(0),
            first_attempt: first
                .map_or_else(|| attempt.into(), |first| first.first_attempt.clone()),
            version: version.into(),
        }
    }
}

/// A stream that its caller followed over several requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct FollowedStream {
    /// All events, in the order in which they came.
    pub(crate) events: Vec<StreamEvent>,
    /// Requests that took the stream up again, and how many of them brought further events.
    pub(crate) taken_up: u32,
    pub(crate) went_on: u32,
    /// Whether the last request ended as complete.
    pub(crate) whole: bool,
    /// Whether it was never answered.
    pub(crate) hung: bool,
}

impl FollowedStream {
    /// Returns what is wrong with the stream, if anything is.
    fn problem(&self) -> Option<String> {
        if self.hung {
            return Some("was never answered".into());
        }
        let versions: BTreeSet<&str> = self.events.iter().map(|event| &*event.version).collect();
        if versions.len() > 1 {
            return Some(format!("holds events of versions {versions:?}"));
        }
        let ids = self.events.iter().map(|event| event.id);
        if !ids.eq(1..=self.events.len() as u32) {
            return Some(format!("has a gap or a repetition: {:?}", self.events));
        }
        let short = self.whole && self.events.len() < EVENTS as usize;
        short.then(|| format!("looks whole after {} events", self.events.len()))
    }
}

#[derive(Debug, Default)]
struct OutcomeRecords {
    /// Entry VMs that were asked to stop before they could handle the signal.
    missed_stops: u32,
    routes: BTreeMap<Box<str>, RouteKind>,
    /// When callers sent each request.
    sent: BTreeMap<Box<str>, Instant>,
    lost: Vec<LostCall>,
    unconnected: usize,
    /// Requests that were reported to their callers as not run.
    not_run: BTreeSet<Box<str>>,
    served: usize,
    refused: usize,
    disconnected: BTreeSet<Box<str>>,
    abandoned: usize,
    out_of_time: usize,
    /// Requests that took a stream up again, and how many of them brought further events.
    taken_up: u32,
    went_on: u32,
    violations: Vec<String>,
}

/// Outcomes seen by callers, and the invariants that were violated.
#[derive(Debug, Default)]
pub(crate) struct OutcomeLog {
    records: Mutex<OutcomeRecords>,
}

impl OutcomeLog {
    fn lock(&self) -> MutexGuard<'_, OutcomeRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violated invariant.
    pub(crate) fn record_violation(&self, violation: String) {
        self.lock().violations.push(violation);
    }

    /// Counts an entry VM that was asked to stop before it could handle the signal.
    pub(crate) fn record_missed_stop(&self) {
        self.lock().missed_stops += 1;
    }

    /// Records that a caller sends a request now.
    pub(crate) fn record_sent(&self, attempt: &str) {
        self.lock().sent.insert(attempt.into(), Instant::now());
    }

    /// Returns when callers sent each request.
    pub(crate) fn sent_requests(&self) -> BTreeMap<Box<str>, Instant> {
        self.lock().sent.clone()
    }

    /// Returns the requests that ended without an answer.
    pub(crate) fn lost_calls(&self) -> Vec<LostCall> {
        self.lock().lost.clone()
    }

    /// Takes the recorded violations.
    pub(crate) fn take_violations(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().violations)
    }

    /// Summarises the outcomes in one line.
    pub(crate) fn summary(&self) -> String {
        let records = self.lock();
        format!(
            "{} calls: {} served, {} refused or failed, {} not connected, {} broken off, {} out of time, {} left, {} stops unheard, {} of {} \
             went on",
            records.routes.len(),
            records.served,
            records.refused,
            records.unconnected,
            records.disconnected.len(),
            records.out_of_time,
            records.abandoned,
            records.missed_stops,
            records.went_on,
            records.taken_up
        )
    }

    /// Records a stream that its caller followed, and checks it.
    pub(crate) fn record_followed(&self, attempt: &str, followed: &FollowedStream) {
        let mut records = self.lock();
        records.routes.insert(attempt.into(), RouteKind::Stream);
        records.taken_up += followed.taken_up;
        records.went_on += followed.went_on;
        if followed.whole {
            records.served += 1;
        } else {
            records.refused += 1;
        }
        if let Some(problem) = followed.problem() {
            records
                .violations
                .push(format!("{attempt} (followed stream) {problem}"));
        }
    }

    /// Records the outcome of a request and checks it.
    pub(crate) fn record(
        &self,
        attempt: &str,
        kind: RouteKind,
        front: &str,
        outcome: &CallOutcome,
    ) {
        let mut records = self.lock();
        records.routes.insert(attempt.into(), kind);
        let status = match outcome {
            CallOutcome::Answered {
                status,
                sealed: false,
                late: false,
                ..
            } => Some(*status),
            _ => None,
        };
        if matches!(outcome, CallOutcome::Disconnected) || status.is_some_and(gives_up) {
            let lost = LostCall {
                attempt: attempt.into(),
                kind,
                front: front.into(),
                sent_at: records.sent[attempt],
                lost_at: Instant::now(),
                status,
            };
            records.lost.push(lost);
        }
        let problem = match outcome {
            CallOutcome::Answered {
                status: 200,
                sealed,
                body,
                ..
            } => {
                records.served += 1;
                check_success(attempt, kind, *sealed, body)
            }
            CallOutcome::Answered { status, sealed, .. } => {
                records.refused += 1;
                if !*sealed && NOT_RUN.contains(status) {
                    records.not_run.insert(attempt.into());
                }
                // All requests are valid and their routes always exist, whatever faults are active.
                let denied = !*sealed && matches!(*status, 400..=404 | 413 | 431);
                // The site has no rate limits for callers, so that 429 can only mean quarantine, and
                // none of these requests crashes a replica.
                let quarantined = !*sealed && *status == 429;
                if quarantined {
                    Some("was held though it ends no replica".into())
                } else {
                    denied.then(|| format!("was denied with {status}"))
                }
            }
            CallOutcome::Unconnected => {
                records.unconnected += 1;
                None
            }
            CallOutcome::Disconnected => {
                records.disconnected.insert(attempt.into());
                None
            }
            CallOutcome::OutOfTime => {
                records.out_of_time += 1;
                None
            }
            CallOutcome::TimedOut => Some("was never answered".into()),
            CallOutcome::Abandoned => {
                records.abandoned += 1;
                None
            }
        };
        if let Some(problem) = problem {
            records
                .violations
                .push(format!("{attempt} ({}) {problem}", kind.name()));
        }
    }
}

/// Returns whether an entry VM's own answer gives up on a request before its time is over.
fn gives_up(status: u16) -> bool {
    matches!(status, 500..=599) && !matches!(status, 503 | 504)
}

fn check_success(attempt: &str, kind: RouteKind, sealed: bool, body: &Bytes) -> Option<String> {
    if !sealed {
        return Some("got a success that no replica gave".into());
    }
    let text = String::from_utf8_lossy(body);
    if !kind.is_stream() {
        let own = text.split('@').next() == Some(attempt);
        return (!own).then(|| format!("got another answer: {text}"));
    }
    let mut expected = String::new();
    for id in 1..=EVENTS {
        expected += &format!("id: {id}\ndata: {attempt}\n\n");
    }
    (text != expected).then(|| format!("got another stream: {text}"))
}

/// Compares the requests recorded by the replicas with the outcomes that callers saw.
///
/// With `replicas_fail`, replicas have crashed or broken off answers, so that streams cut off under
/// planned operations are no violation.
pub(crate) fn check_runs(site: &SiteCluster, mix: FaultMix, replicas_fail: bool, log: &OutcomeLog) {
    let runs = site.all_runs();
    let outside_home = site.runs_outside("north");
    let mut records = log.lock();
    let mut violations = Vec::new();
    for (attempt, count) in &runs {
        let Some(kind) = records.routes.get(attempt) else {
            continue;
        };
        if kind.runs_once() && *count > 1 {
            violations.push(format!("{attempt} (once) ran {count} times"));
        }
        if kind.runs_once() && records.not_run.contains(attempt) {
            violations.push(format!("{attempt} (once) was told not run, and ran"));
        }
        if *kind == RouteKind::Bound && outside_home.contains(attempt) {
            violations.push(format!("{attempt} (bound) ran outside its home"));
        }
        if mix == FaultMix::Planned && !replicas_fail && records.disconnected.contains(attempt) {
            violations.push(format!(
                "{attempt} ({}) was cut off by planned work",
                kind.name()
            ));
        }
        // Two replicas are allowed, and a third where one of them ended meanwhile.
        if *kind == RouteKind::Plain && *count > 3 {
            violations.push(format!("{attempt} (plain) ran {count} times"));
        }
    }
    records.violations.extend(violations);
}

/// Waits until every entry VM serves the newest desired state; an entry VM that does not recover
/// makes the wait time out.
pub(crate) async fn check_recovery(
    site: &mut SiteCluster,
    injector: &FaultInjector,
    log: &OutcomeLog,
) {
    site.replace_crashed().await;
    for index in 0..site.replicas.len() {
        site.register(index, "ready");
    }
    let mut routes = vec!["plain"];
    routes.extend(injector.added_routes().last());
    for index in 0..site.entries.len() {
        site.wait_ready(index).await;
        for route in &routes {
            let path = format!("/{route}/x");
            let mut tries = 0;
            wait_until("an entry VM serves after the faults", async || {
                tries += 1;
                let attempt = format!("after-{index}-{route}-{tries}");
                let response = site.request(index, &path, &attempt).send().await;
                response.is_ok_and(|response| response.status().is_success())
            })
            .await;
        }
    }
    if log.lock().served == 0 {
        log.record_violation("nobody was served".into());
    }
}
