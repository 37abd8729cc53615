//! The history of a run: one record for each send, answer and execution.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;

/// Names one intended operation of a caller, over all its sends.
pub type OperationId = u64;

/// What a caller knows after one send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// A whole answer, and whether it was the right one.
    Whole {
        /// Whether the content is that of the operation.
        right: bool,
    },
    /// A refusal or failure with the execution that it claims.
    Told(Execution),
    /// The answer broke off, visibly.
    CutOff,
    /// The answer ended as if whole, without its end mark.
    FalseEnd,
    /// No connection, or a broken one before any answer.
    NoAnswer,
}

/// One send of an operation.
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
    /// Whether the operation is bound to its home.
    pub bound: bool,
    /// Whether the operation may run at most once.
    pub once: bool,
    /// The region of the entry VM that it was sent to.
    pub sent_to: RegionId,
    /// The address of that entry VM.
    pub entry: Box<str>,
    /// Whether it collects the kept answer of an earlier send, and so is no request of its own.
    pub collects: bool,
    /// When it was meant to be sent, from the start of the run.
    pub scheduled: Duration,
    /// When the end was seen, from the start of the run.
    pub ended: Duration,
    /// Delay from the intended send to the first byte.
    pub first_byte: Option<Duration>,
    /// The request id that the system gave.
    pub request: RequestId,
    /// The number of the result code; 0 where none was seen.
    pub code: u16,
    /// The region that served.
    pub served: RegionId,
    /// What the caller knows.
    pub end: SendOutcome,
    /// The error of the connection where it gave no answer.
    pub problem: Box<str>,
    /// Cost by the price list, for whole answers.
    pub cost: f64,
    /// Tokens generated.
    pub tokens: u64,
}

impl SendRecord {
    /// Says whether this is a request that the system must have counted.
    ///
    /// Collecting the kept answer of an earlier request is none.
    pub fn is_counted(&self) -> bool {
        let ended = matches!(self.end, SendOutcome::CutOff | SendOutcome::NoAnswer);
        !self.collects && (self.code != 0 || ended)
    }
}

/// One execution at a backend server.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// The operation, as the request's content names it.
    pub operation: OperationId,
    /// The request id that the system gave.
    pub request: RequestId,
    /// The backend server.
    pub replica: ReplicaId,
    /// Its region.
    pub region: RegionId,
    /// When it began, from the start of the run.
    pub began: Duration,
    /// How long before the beginning the backend server was marked as leaving.
    pub leaving_for: Option<Duration>,
}

/// Everything that happened.
#[derive(Debug, Default)]
pub struct HistoryData {
    /// Sends, in the order of their ends.
    pub sends: Vec<SendRecord>,
    /// Executions, in the order of their beginnings.
    pub executions: Vec<ExecutionRecord>,
}

/// A history that many tasks write.
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
    /// Gives the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Gives the start of the run.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Adds a send.
    pub fn add_send(&self, record: SendRecord) {
        self.with(|data| data.sends.push(record));
    }

    /// Adds an execution.
    pub fn add_execution(&self, record: ExecutionRecord) {
        self.with(|data| data.executions.push(record));
    }

    /// Reads or changes the data.
    pub fn with<T>(&self, action: impl FnOnce(&mut HistoryData) -> T) -> T {
        let mut data = self.data.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut data)
    }
}
