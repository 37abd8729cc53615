//! What all stand-ins of backend servers share: slots, leaving, faults, history.

use crate::history::ExecutionRecord;
use crate::history::HistoryLog;
use salvo::Request;
use salvo::Response;
use salvo::http::HeaderName;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::sync::Semaphore;
use zinniahatch_base::prelude::*;

/// Faults of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendFaults {
    /// Streams go silent after this many tokens, on connections that are open now.
    pub silent_after: Option<u64>,
    /// Streams break after this many tokens.
    pub break_after: Option<u64>,
    /// Requests run, and their connection breaks instead of an answer.
    pub lose_answers: u32,
    /// Requests are taken and nothing is ever answered.
    pub frozen: bool,
    /// Slows everything by this factor, where it is above 1.
    pub slow: f64,
}

/// One stand-in.
pub struct FakeBackend {
    /// Its name.
    pub name: ReplicaId,
    /// Its region.
    pub region: RegionId,
    /// Its slots.
    pub slots: u16,
    /// Where it writes what it runs.
    pub history: HistoryLog,
    /// The right to run; as many as slots, and half as many wait inside.
    pub permits: Arc<Semaphore>,
    leaving: Mutex<Option<Instant>>,
    faults: Mutex<BackendFaults>,
}

impl FakeBackend {
    /// Makes a stand-in.
    pub fn new(name: &str, region: &str, slots: u16, history: HistoryLog) -> Arc<Self> {
        Arc::new(Self {
            name: name.into(),
            region: region.into(),
            slots,
            history,
            permits: Arc::new(Semaphore::new(usize::from(slots))),
            leaving: Mutex::default(),
            faults: Mutex::default(),
        })
    }

    /// Gives the requests running.
    pub fn running(&self) -> u16 {
        self.slots
            - self
                .permits
                .available_permits()
                .min(usize::from(self.slots)) as u16
    }

    /// Begins to leave: it still takes what comes, so that the history shows who sent it.
    pub fn leave(&self) {
        *lock(&self.leaving) = Some(Instant::now());
    }

    /// Says whether it leaves.
    pub fn is_leaving(&self) -> bool {
        lock(&self.leaving).is_some()
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        *lock(&self.faults) = faults;
    }

    /// Gives its faults.
    pub fn faults(&self) -> BackendFaults {
        *lock(&self.faults)
    }

    /// Takes one of the answers to lose, if any is left.
    pub fn take_answer_loss(&self) -> bool {
        let mut faults = lock(&self.faults);
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Writes an execution down.
    pub fn record_execution(&self, operation: u64, request: &str) {
        let leaving_for = lock(&self.leaving).map(|at| at.elapsed());
        self.history.add_execution(ExecutionRecord {
            operation,
            request: request.into(),
            replica: self.name.clone(),
            region: self.region.clone(),
            began: self.history.now(),
            leaving_for,
        });
    }
}

/// Gives a header's text.
pub(crate) fn header(request: &Request, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Sets a header.
pub(crate) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// Refuses a request that did not run.
pub(crate) fn refuse(response: &mut Response, leaving: bool) {
    response.status_code(StatusCode::SERVICE_UNAVAILABLE);
    set_header(response, "x-not-run", "1");
    if leaving {
        set_header(response, "x-leaving", "1");
    }
}

/// Breaks the connection in the middle of an answer.
pub(crate) fn abort_response(response: &mut Response) {
    let broken = futures_util::stream::once(async {
        Err::<bytes::Bytes, _>(std::io::Error::other("broken"))
    });
    response.stream(Box::pin(broken));
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
