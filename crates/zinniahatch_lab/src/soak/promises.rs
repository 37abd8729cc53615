//! What must hold in a soak: checked at each answer, and against the books of the replicas at the end.

use super::faults::FaultBoard;
use super::plan::FaultMix;
use crate::site::SiteCluster;
use crate::site::wait_until;
use bytes::Bytes;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Events of a whole stream.
const EVENTS: u32 = super::SHAPE.events;

/// The routes that are called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteKind {
    /// May be repeated, on two replicas at most.
    Plain,
    /// May run once.
    Once,
    /// A stream that may be resumed.
    Stream,
    /// Bound to one region.
    Bound,
}

impl RouteKind {
    /// All of them.
    pub(crate) const ALL: [Self; 4] = [Self::Plain, Self::Once, Self::Stream, Self::Bound];

    /// Gives the route's name, which is also the start of its paths.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::Bound => "bound",
        }
    }
}

/// What a caller saw of a call.
#[derive(Clone, Debug)]
pub(crate) enum CallerSight {
    /// An answer that looked whole.
    Answered {
        status: u16,
        sealed: bool,
        body: Bytes,
    },
    /// The connection broke, or was never made.
    Broken,
    /// Nothing came, long after the caller's time.
    Hung,
    /// The caller left.
    Left,
}

#[derive(Debug, Default)]
struct BookRows {
    /// Entry VMs that were told to stop before they could heed that.
    unheard: u32,
    kinds: BTreeMap<Box<str>, RouteKind>,
    /// Requests of which a caller was told that they did not run.
    not_run: BTreeSet<Box<str>>,
    served: usize,
    refused: usize,
    broken_off: BTreeSet<Box<str>>,
    left: usize,
    broken: Vec<String>,
}

/// What callers saw, and the promises that broke.
#[derive(Debug, Default)]
pub(crate) struct PromiseBook {
    rows: Mutex<BookRows>,
}

impl PromiseBook {
    fn lock(&self) -> MutexGuard<'_, BookRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a broken promise.
    pub(crate) fn note_broken(&self, what: String) {
        self.lock().broken.push(what);
    }

    /// Notes an entry VM that was told to stop before it could heed that.
    pub(crate) fn note_unheard(&self) {
        self.lock().unheard += 1;
    }

    /// Takes the broken promises.
    pub(crate) fn take_broken(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().broken)
    }

    /// Sums up what callers saw.
    pub(crate) fn summary(&self) -> String {
        let rows = self.lock();
        format!(
            "{} calls: {} served, {} refused or failed, {} broken off, {} left, {} stops unheard",
            rows.kinds.len(),
            rows.served,
            rows.refused,
            rows.broken_off.len(),
            rows.left,
            rows.unheard
        )
    }

    /// Notes what a caller saw of a call, and checks it.
    pub(crate) fn note(&self, attempt: &str, kind: RouteKind, sight: &CallerSight) {
        let mut rows = self.lock();
        rows.kinds.insert(attempt.into(), kind);
        let problem = match sight {
            CallerSight::Answered {
                status: 200,
                sealed,
                body,
            } => {
                rows.served += 1;
                judge_success(attempt, kind, *sealed, body)
            }
            CallerSight::Answered { status, sealed, .. } => {
                rows.refused += 1;
                if !*sealed && NOT_RUN.contains(status) {
                    rows.not_run.insert(attempt.into());
                }
                // Every caller's request is proper and its route is there, whatever else happens.
                let denied = !*sealed && matches!(*status, 400..=404 | 413 | 431);
                // Nothing in a site limits callers, so that this is said of requests alone under which
                // replicas ended; none of this caller's ends any.
                let held = !*sealed && *status == 429;
                if held {
                    Some("was held though it ends no replica".into())
                } else {
                    denied.then(|| format!("was denied with {status}"))
                }
            }
            CallerSight::Broken => {
                rows.broken_off.insert(attempt.into());
                None
            }
            CallerSight::Hung => Some("was never answered".into()),
            CallerSight::Left => {
                rows.left += 1;
                None
            }
        };
        if let Some(problem) = problem {
            rows.broken
                .push(format!("{attempt} ({}) {problem}", kind.name()));
        }
    }
}

fn judge_success(attempt: &str, kind: RouteKind, sealed: bool, body: &Bytes) -> Option<String> {
    if !sealed {
        return Some("got a success that no replica gave".into());
    }
    let text = String::from_utf8_lossy(body);
    if kind != RouteKind::Stream {
        let own = text.split('@').next() == Some(attempt);
        return (!own).then(|| format!("got another answer: {text}"));
    }
    let mut expected = String::new();
    for id in 1..=EVENTS {
        expected += &format!("id: {id}\ndata: {attempt}\n\n");
    }
    (text != expected).then(|| format!("got another stream: {text}"))
}

/// Compares the books of the replicas with what callers were told.
///
/// Where a fatal request ended replicas, streams that were cut off say nothing of planned work.
pub(crate) fn check_runs(site: &SiteCluster, mix: FaultMix, fatal: bool, book: &PromiseBook) {
    let runs = site.all_runs();
    let foreign = site.runs_outside("north");
    let mut rows = book.lock();
    let mut found = Vec::new();
    for (attempt, count) in &runs {
        let Some(kind) = rows.kinds.get(attempt) else {
            continue;
        };
        if *kind == RouteKind::Once && *count > 1 {
            found.push(format!("{attempt} (once) ran {count} times"));
        }
        if *kind == RouteKind::Once && rows.not_run.contains(attempt) {
            found.push(format!("{attempt} (once) was told not run, and ran"));
        }
        if *kind == RouteKind::Bound && foreign.contains(attempt) {
            found.push(format!("{attempt} (bound) ran outside its home"));
        }
        if mix == FaultMix::Planned && !fatal && rows.broken_off.contains(attempt) {
            found.push(format!(
                "{attempt} ({}) was cut off by planned work",
                kind.name()
            ));
        }
        // Two replicas are allowed; a third may follow where one of them ended meanwhile.
        if *kind == RouteKind::Plain && *count > 3 {
            found.push(format!("{attempt} (plain) ran {count} times"));
        }
    }
    rows.broken.extend(found);
}

/// Waits until every entry VM serves again by the newest desired state; a fault that lasts shows as a
/// wait in vain.
pub(crate) async fn check_recovery(site: &mut SiteCluster, board: &FaultBoard, book: &PromiseBook) {
    site.replace_crashed().await;
    for index in 0..site.replicas.len() {
        site.register(index, "ready");
    }
    let mut routes = vec!["plain"];
    routes.extend(board.added().last());
    for index in 0..site.entries.len() {
        site.wait_ready(index).await;
        for route in &routes {
            let path = format!("/{route}/x");
            let mut tries = 0;
            wait_until("an entry VM serves after the faults", async || {
                tries += 1;
                let attempt = format!("after-{index}-{route}-{tries}");
                let answer = site.call(index, &path, &attempt).send().await;
                answer.is_ok_and(|answer| answer.status().is_success())
            })
            .await;
        }
    }
    if book.lock().served == 0 {
        book.note_broken("nobody was served".into());
    }
}
