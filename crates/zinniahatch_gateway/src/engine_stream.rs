//! Streamed model responses: relayed in complete events, probed on a stall, resumed after a
//! failure.

use crate::GatewayCore;
use crate::core::lock;
use crate::dispatch::OutboundRequest;
use crate::headers;
use crate::refusal::Refusal;
use crate::response::TokenUsage;
use crate::run::AttemptState;
use crate::run::OpenResponse;
use crate::run::ResponseSource;
use crate::run::avoid_source;
use crate::run::cancel;
use crate::run::open_response;
use crate::run::served_region;
use crate::run::take_retry;
use crate::sse::EventSplitter;
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
use zinniahatch_base::prelude::*;

/// Number of probes of one replica before another one continues the stream.
const MAX_PROBES: u32 = 2;

/// Source of a response, which the watchdog task may take and release.
type SharedSource = Arc<Mutex<Option<ResponseSource>>>;

/// Time after the deadline at which the watchdog releases the slot.
const WATCHDOG_DELAY: Duration = Duration::from_secs(1);

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
            let text: String = open
                .response
                .text()
                .await
                .unwrap_or_default()
                .chars()
                .take(500)
                .collect();
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
            let reason = tokio::select! {
                biased;
                chunk = self.response.chunk() => match chunk {
                    Ok(Some(chunk)) => {
                        self.last_progress = Instant::now();
                        self.probes = 0;
                        let events = self.splitter.push(chunk);
                        if events.is_empty() {
                            continue;
                        }
                        return Ok(Some(events));
                    }
                    Ok(None) => "ended early",
                    Err(_) => "broken"
                },
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
                    "stalled"
                }
            };
            self.recover(reason).await?;
            self.last_progress = Instant::now();
            self.stall_timer.as_mut().reset(self.last_progress.into());
        }
    }

    /// Continues after the last event, on the same replica over a new connection or on another
    /// replica.
    async fn recover(&mut self, reason: &str) -> Result<(), Box<Refusal>> {
        self.core
            .counters
            .resumes
            .with_label_values(&[reason])
            .inc();
        self.splitter.reset();
        self.probes += 1;
        if self.probes <= MAX_PROBES && self.resume_same_replica().await {
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
        let OpenResponse { response, source } =
            open_response(&self.core, &self.outbound, &mut self.state, resume).await?;
        if !response.status().is_success() {
            return Err(Box::new(Refusal::new(ResultCode::AnswerCutOff)));
        }
        self.served = served_region(&self.core, &response);
        self.response = response;
        *lock(&self.source) = Some(source);
        self.probes = 0;
        Ok(())
    }

    /// Requests the remainder from the same replica over a new connection.
    ///
    /// A connection whose state a middlebox has dropped delivers nothing and reports no error,
    /// while new connections work. The connection pool is therefore not used here.
    async fn resume_same_replica(&mut self) -> bool {
        let Some((address, id)) = self.replica_and_attempt() else {
            return false;
        };
        let from = self.outbound.resume + self.splitter.events;
        let request = self
            .core
            .unpooled_client
            .get(format!("{address}/v1/requests/{id}/stream"))
            .query(&[("from", from)]);
        let Ok(Ok(response)) = timeout(self.stall_after(), request.send()).await else {
            return false;
        };
        let same = headers::text(response.headers(), headers::BACKEND_REQUEST) == Some(&*id);
        if !response.status().is_success() || !same {
            return false;
        }
        self.response = response;
        true
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
