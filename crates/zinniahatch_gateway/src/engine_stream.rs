//! Streamed model responses: relayed in complete events, probed on a stall, resumed after a
//! failure.

use crate::GatewayCore;
use crate::core::lock;
use crate::dispatch::OutboundRequest;
use crate::headers;
use crate::refusal::Refusal;
use crate::response::TokenUsage;
use crate::run::AttemptState;
use crate::run::AvoidedSource;
use crate::run::OpenResponse;
use crate::run::ResponseSource;
use crate::run::avoid_source;
use crate::run::cancel;
use crate::run::open_response;
use crate::run::served_region;
use crate::run::take_retry;
use crate::sse::EventSplitter;
use crate::sse::EventTooLarge;
use bytes::Bytes;
use reqwest::Response;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Sleep;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;

/// Number of probes of one replica before another one continues the stream.
const MAX_PROBES: u32 = 2;

/// Bytes of the body of an error that its caller is told.
const MAX_ERROR_BYTES: usize = 500;

/// Source of a response, which the watchdog task may take and release.
type SharedSource = Arc<Mutex<Option<ResponseSource>>>;

/// Time after the deadline at which the watchdog releases the slot.
const WATCHDOG_DELAY: Duration = Duration::from_secs(1);

/// What happened while the stream waited for events.
enum StreamStep {
    /// The current connection delivered bytes, ended or broke.
    Read(reqwest::Result<Option<Bytes>>),
    /// The stream goes on on another connection.
    Moved,
    /// The stream goes on waiting on the current connection.
    Stayed,
}

/// A streamed model response in progress.
pub(crate) struct EngineStream {
    core: Arc<GatewayCore>,
    pub(crate) outbound: Arc<OutboundRequest>,
    state: AttemptState,
    response: Response,
    source: SharedSource,
    watchdog: JoinHandle<()>,
    splitter: EventSplitter,
    probes: u32,
    pub(crate) served: RegionId,
    /// Wakes the stream to check for a stall. It is reset only after it has fired: resetting a
    /// timer for each event would cost more than handling the event.
    stall_timer: Pin<Box<Sleep>>,
    last_progress: Instant,
}

impl EngineStream {
    /// Opens a stream and waits until the response begins.
    pub(crate) async fn open(
        core: &Arc<GatewayCore>,
        outbound: Arc<OutboundRequest>,
    ) -> Result<Self, Box<Refusal>> {
        let mut state = AttemptState::default();
        let open = open_response(core, &outbound, &mut state, outbound.resume).await?;
        if !open.response.status().is_success() {
            let status = open.response.status();
            let text = read_start(open.response, outbound.deadline).await;
            return Err(Box::new(Refusal::detail(
                ResultCode::BackendError,
                &format!("{status}: {text}"),
            )));
        }
        let served = served_region(core, &open.response);
        let source: SharedSource = Arc::new(Mutex::new(Some(open.source)));
        let watchdog = tokio::spawn(release_after_deadline(
            Arc::clone(core),
            Arc::clone(&source),
            outbound.deadline,
        ));
        Ok(Self {
            core: Arc::clone(core),
            outbound,
            state,
            response: open.response,
            source,
            watchdog,
            splitter: EventSplitter::default(),
            probes: 0,
            served,
            stall_timer: Box::pin(sleep(Duration::ZERO)),
            last_progress: Instant::now(),
        })
    }

    /// Returns whether the end marker was received; only then is the response complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.splitter.done
    }

    pub(crate) fn usage(&self) -> TokenUsage {
        self.splitter.usage()
    }

    /// Returns the next complete events, or `None` after the end marker.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Box<Refusal>> {
        loop {
            if self.splitter.done {
                self.finish();
                return Ok(None);
            }
            // The timer is not polled while bytes are always ready.
            if Instant::now() >= self.outbound.deadline {
                return Err(Box::new(Refusal::new(ResultCode::DeadlineRunning)));
            }
            let step = tokio::select! {
                biased;
                chunk = self.response.chunk() => StreamStep::Read(chunk),
                () = &mut self.stall_timer => {
                    let now = Instant::now();
                    if now >= self.outbound.deadline {
                        return Err(Box::new(Refusal::new(ResultCode::DeadlineRunning)));
                    }
                    let stalled = self.last_progress + self.stall_after();
                    if now < stalled {
                        let next = stalled.min(self.outbound.deadline);
                        self.stall_timer.as_mut().reset(next.into());
                        continue;
                    }
                    self.leave_stalled().await
                }
            };
            match step {
                StreamStep::Read(Ok(Some(chunk))) => {
                    self.last_progress = Instant::now();
                    match self.splitter.push(chunk) {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => {
                            self.probes = 0;
                            return Ok(Some(events));
                        }
                        Err(EventTooLarge) => self.recover("too_large").await?,
                    }
                }
                StreamStep::Read(Ok(None)) => self.recover("ended early").await?,
                StreamStep::Read(Err(_)) => self.recover("broken").await?,
                StreamStep::Moved | StreamStep::Stayed => {}
            }
            self.last_progress = Instant::now();
            self.stall_timer.as_mut().reset(self.last_progress.into());
        }
    }

    /// Looks for a way on from a connection that delivers nothing: a new connection to the same
    /// replica, or another replica. The connection is kept until one of them goes on.
    async fn leave_stalled(&mut self) -> StreamStep {
        self.count_resume("stalled");
        self.probes += 1;
        if self.probes <= MAX_PROBES {
            let probe = self.probe_replica();
            tokio::select! {
                biased;
                chunk = self.response.chunk() => return StreamStep::Read(chunk),
                resumed = probe => if let Some(response) = resumed {
                    self.splitter.reset();
                    self.response = response;
                    return StreamStep::Moved;
                }
            }
        }
        if self.outbound.at_most_once {
            return StreamStep::Stayed;
        }
        self.move_elsewhere().await
    }

    /// Requests the remainder from another replica, and cancels the current run once that one has
    /// answered.
    async fn move_elsewhere(&mut self) -> StreamStep {
        let avoided = {
            let source = lock(&self.source);
            source
                .as_ref()
                .map(|source| avoid_source(&mut self.state, source))
        };
        let granted = take_retry(
            &self.core,
            &self.outbound,
            &mut self.state,
            "resume",
            ResultCode::AnswerCutOff,
        );
        if granted.is_err() {
            return self.stay(avoided);
        }
        let resume = self.outbound.resume + self.splitter.events;
        let opened = tokio::select! {
            biased;
            chunk = self.response.chunk() => {
                self.stay(avoided);
                return StreamStep::Read(chunk);
            }
            opened = open_response(&self.core, &self.outbound, &mut self.state, resume) => opened,
        };
        let Some(open) = opened
            .ok()
            .filter(|open| open.response.status().is_success())
        else {
            return self.stay(avoided);
        };
        self.cancel("resumed elsewhere");
        self.switch_to(open);
        StreamStep::Moved
    }

    /// Goes on waiting for the current source, which may be chosen again.
    fn stay(&mut self, avoided: Option<AvoidedSource>) -> StreamStep {
        if let Some(avoided) = avoided {
            avoided.allow(&mut self.state);
        }
        self.probes = 0;
        StreamStep::Stayed
    }

    fn switch_to(&mut self, open: OpenResponse) {
        self.splitter.reset();
        self.served = served_region(&self.core, &open.response);
        self.response = open.response;
        *lock(&self.source) = Some(open.source);
        self.probes = 0;
    }

    fn count_resume(&self, reason: &str) {
        let resumes = &self.core.counters.resumes;
        resumes.with_label_values(&[reason]).inc();
    }

    /// Continues after the last event of a connection that is gone, on the same replica over a new
    /// one or on another replica.
    async fn recover(&mut self, reason: &str) -> Result<(), Box<Refusal>> {
        self.count_resume(reason);
        self.splitter.reset();
        self.probes += 1;
        if self.probes <= MAX_PROBES
            && let Some(response) = self.probe_replica().await
        {
            self.response = response;
            return Ok(());
        }
        if self.outbound.at_most_once {
            return Err(Box::new(Refusal::new(ResultCode::AnswerCutOff)));
        }
        self.cancel("resumed elsewhere");
        let source = lock(&self.source).take();
        if let Some(source) = source {
            avoid_source(&mut self.state, &source);
        }
        take_retry(
            &self.core,
            &self.outbound,
            &mut self.state,
            "resume",
            ResultCode::AnswerCutOff,
        )?;
        let resume = self.outbound.resume + self.splitter.events;
        let open = open_response(&self.core, &self.outbound, &mut self.state, resume).await?;
        if !open.response.status().is_success() {
            return Err(Box::new(Refusal::new(ResultCode::AnswerCutOff)));
        }
        self.switch_to(open);
        Ok(())
    }

    /// Requests the remainder from the same replica over a new connection.
    ///
    /// A connection whose state a middlebox has dropped delivers nothing and reports no error,
    /// while new connections work. The connection pool is therefore not used here.
    fn probe_replica(&self) -> impl Future<Output = Option<Response>> + use<> {
        let limit = self.stall_after();
        let from = self.outbound.resume + self.splitter.events;
        let sent = self.replica_and_attempt().map(|(address, id)| {
            let url = format!("{address}/v1/requests/{id}/stream");
            let request = self.core.unpooled_client.get(url).query(&[("from", from)]);
            (id, request.send())
        });
        async move {
            let (id, sending) = sent?;
            let response = timeout(limit, sending).await.ok()?.ok()?;
            let same = headers::text(response.headers(), headers::BACKEND_REQUEST) == Some(&*id);
            (response.status().is_success() && same).then_some(response)
        }
    }

    /// Returns the time without data after which the stream is probed.
    ///
    /// The first token takes longer, because the whole prompt must be processed before it. A
    /// response from another data centre gets the longest time, so that the node there resumes
    /// first.
    fn stall_after(&self) -> Duration {
        const FIRST_TOKEN: u32 = 3;
        const REMOTE: u32 = 4;
        let stall = self.outbound.config.preset().stall_after;
        match &*lock(&self.source) {
            Some(ResponseSource::Remote(_)) => stall * REMOTE,
            Some(ResponseSource::Slot(..)) if self.splitter.events == 0 => stall * FIRST_TOKEN,
            Some(ResponseSource::Slot(..)) | None => stall,
        }
    }

    /// Returns the replica's address and its id of the attempt, if a replica of this data centre
    /// serves the request.
    fn replica_and_attempt(&self) -> Option<(Box<str>, Box<str>)> {
        match &*lock(&self.source) {
            Some(ResponseSource::Slot(_, address, id)) => Some((address.clone(), id.clone())),
            Some(ResponseSource::Remote(_)) | None => None,
        }
    }

    fn finish(&mut self) {
        let source = lock(&self.source).take();
        let Some(ResponseSource::Slot(guard, _, _)) = source else {
            return;
        };
        if let Some(prefix) = self.outbound.prefix {
            let replica = tag_of(guard.replica());
            let prompt = self.usage().prompt_tokens.max(self.outbound.prompt);
            let mut control = self.core.control();
            control
                .prefix_caches_mut()
                .record(Instant::now(), prefix, replica, prompt);
        }
    }

    fn cancel(&self, reason: &str) {
        if let Some((address, id)) = self.replica_and_attempt() {
            cancel(&self.core, &address, &id, reason);
        }
    }
}

impl Drop for EngineStream {
    fn drop(&mut self) {
        self.watchdog.abort();
        if !self.splitter.done {
            self.cancel("given up");
        }
    }
}

/// Reads the start of a body, until a deadline at most.
async fn read_start(mut response: Response, deadline: Instant) -> String {
    let mut start = Vec::new();
    while start.len() < MAX_ERROR_BYTES {
        let Ok(Ok(Some(chunk))) = timeout_at(deadline.into(), response.chunk()).await else {
            break;
        };
        let wanted = chunk.len().min(MAX_ERROR_BYTES - start.len());
        start.extend_from_slice(&chunk[..wanted]);
    }
    String::from_utf8_lossy(&start).into_owned()
}

/// Releases the slot when the deadline has passed.
///
/// If the caller does not read its response, the stream is not polled and never checks its
/// deadline; without this task the slot would be held forever.
async fn release_after_deadline(core: Arc<GatewayCore>, source: SharedSource, deadline: Instant) {
    sleep_until((deadline + WATCHDOG_DELAY).into()).await;
    let taken = lock(&source).take();
    if let Some(ResponseSource::Slot(guard, address, id)) = taken {
        drop(guard);
        cancel(&core, &address, &id, "not read");
    }
}
