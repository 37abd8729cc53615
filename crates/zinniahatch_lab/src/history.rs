//! The history of a run: one record for each attempt of a caller and each execution.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;

/// Identifies one intended operation of a caller across all its attempts.
pub type OperationId = u64;

/// Outcome of one attempt as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// A complete response.
    Whole {
        /// Whether the content is the expected one of the operation.
        right: bool,
    },
    /// A refusal or failure, with what it says about the execution.
    Told(Execution),
    /// The response was truncated, and the caller could tell.
    CutOff,
    /// The response ended normally but without its end marker.
    FalseEnd,
    /// The connection failed or closed before any response.
    NoAnswer,
}

/// One attempt at an operation.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// The operation.
    pub operation: OperationId,
    /// The account.
    pub account: AccountId,
    /// The account's home region.
    pub home: RegionId,
    /// The service.
    pub service: ServiceId,
    /// Whether the operation may run in the home region only.
    pub bound: bool,
    /// Whether the operation may run at most once.
    pub once: bool,
    /// The region of the entry VM that it was sent to.
    pub sent_to: RegionId,
    /// The address of that entry VM.
    pub entry: Box<str>,
    /// Whether it fetches the stored response of an earlier attempt instead of starting a request.
    pub collects: bool,
    /// Intended send time, from the start of the run.
    pub scheduled: Duration,
    /// When the outcome was known, from the start of the run.
    pub ended: Duration,
    /// Delay from the intended send time to the first byte.
    pub first_byte: Option<Duration>,
    /// The request id assigned by the system.
    pub request: RequestId,
    /// The number of the result code; 0 if none was received.
    pub code: u16,
    /// The region that served.
    pub served: RegionId,
    /// The outcome.
    pub end: SendOutcome,
    /// The connection error, if there was no response.
    pub problem: Box<str>,
    /// Cost by the price list, for complete responses.
    pub cost: f64,
    /// Tokens generated.
    pub tokens: u64,
}

impl SendRecord {
    /// Returns whether the system must have counted this attempt as a request.
    ///
    /// Fetching the stored response of an earlier request does not count as one.
    pub fn is_counted(&self) -> bool {
        let ended = matches!(self.end, SendOutcome::CutOff | SendOutcome::NoAnswer);
        !self.collects && (self.code != 0 || ended)
    }
}

/// One execution at a backend server.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// The operation, read from the request's content.
    pub operation: OperationId,
    /// The request id assigned by the system.
    pub request: RequestId,
    /// The backend server.
    pub replica: ReplicaId,
    /// Its region.
    pub region: RegionId,
    /// Start time, from the start of the run.
    pub began: Duration,
    /// How long the backend server had been draining by then; `None` if it was not.
    pub leaving_for: Option<Duration>,
}

/// All records of a run.
#[derive(Debug, Default)]
pub struct HistoryData {
    /// Attempts, in the order in which they ended.
    pub sends: Vec<SendRecord>,
    /// Executions, in the order in which they started.
    pub executions: Vec<ExecutionRecord>,
}

/// A history that can be written by many tasks.
#[derive(Clone, Debug)]
pub struct HistoryLog {
    started: Instant,
    data: Arc<Mutex<HistoryData>>,
}

impl Default for HistoryLog {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            data: Arc::default(),
        }
    }
}

impl HistoryLog {
    /// Returns the time elapsed since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the start of the run.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Adds an attempt.
    pub fn add_send(&self, record: SendRecord) {
        self.with(|data| data.sends.push(record));
    }

    /// Adds an execution.
    pub fn add_execution(&self, record: ExecutionRecord) {
        self.with(|data| data.executions.push(record));
    }

    /// Runs a closure with exclusive access to the data.
    pub fn with<T>(&self, action: impl FnOnce(&mut HistoryData) -> T) -> T {
        let mut data = self.data.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut data)
    }
}
