//! A model's stream: relayed in whole events, probed when it stalls, resumed when it breaks.

use crate::GatewayCore;
use crate::answer::TokenUsage;
use crate::core::lock;
use crate::dispatch::RunCall;
use crate::headers;
use crate::refusal::CallRefusal;
use crate::run::AnswerSource;
use crate::run::AttemptState;
use crate::run::OpenAnswer;
use crate::run::avoid_source;
use crate::run::cancel;
use crate::run::open_answer;
use crate::run::served_region;
use crate::run::spend_retry;
use crate::sse::EventCutter;
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

/// Probes of one replica before another is asked to go on.
const PROBES: u32 = 2;

/// The source of an answer, which the watchdog may take away.
type SharedSource = Arc<Mutex<Option<AnswerSource>>>;

/// Time after the deadline at which a slot is taken back.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// One model answer on its way.
pub(crate) struct EngineStream {
    core: Arc<GatewayCore>,
    pub(crate) call: Arc<RunCall>,
    state: AttemptState,
    response: Response,
    source: SharedSource,
    watchdog: JoinHandle<()>,
    cutter: EventCutter,
    probes: u32,
    pub(crate) served: RegionId,
    /// Wakes the stream to look whether it stalls. Set anew only when it has rung: a timer for
    /// each event would cost more than the event.
    alarm: Pin<Box<Sleep>>,
    progress: Instant,
}

impl EngineStream {
    /// Gets an answer to begin.
    pub(crate) async fn open(
        core: &Arc<GatewayCore>,
        call: Arc<RunCall>,
    ) -> Result<Self, Box<CallRefusal>> {
        let mut state = AttemptState::default();
        let open = open_answer(core, &call, &mut state, call.resume).await?;
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
            return Err(Box::new(CallRefusal::detail(
                ResultCode::BackendError,
                &format!("{status}: {text}"),
            )));
        }
        let served = served_region(core, &open.response);
        let source: SharedSource = Arc::new(Mutex::new(Some(open.source)));
        let watchdog = tokio::spawn(watch(Arc::clone(core), Arc::clone(&source), call.deadline));
        Ok(Self {
            core: Arc::clone(core),
            call,
            state,
            response: open.response,
            source,
            watchdog,
            cutter: EventCutter::default(),
            probes: 0,
            served,
            alarm: Box::pin(sleep(Duration::ZERO)),
            progress: Instant::now(),
        })
    }

    /// Says whether the end mark was seen; only then is the answer whole.
    pub(crate) fn is_whole(&self) -> bool {
        self.cutter.done
    }

    pub(crate) fn usage(&self) -> TokenUsage {
        self.cutter.usage()
    }

    /// Gives the next whole events, or `None` after the end mark.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Box<CallRefusal>> {
        loop {
            if self.cutter.done {
                self.finish();
                return Ok(None);
            }
            let reason = tokio::select! {
                biased;
                chunk = self.response.chunk() => match chunk {
                    Ok(Some(chunk)) => {
                        self.progress = Instant::now();
                        self.probes = 0;
                        let events = self.cutter.take(chunk);
                        if events.is_empty() {
                            continue;
                        }
                        return Ok(Some(events));
                    }
                    Ok(None) => "ended early",
                    Err(_) => "broken",
                },
                () = &mut self.alarm => {
                    let now = Instant::now();
                    if now >= self.call.deadline {
                        return Err(Box::new(CallRefusal::new(ResultCode::DeadlineRunning)));
                    }
                    let stalled = self.progress + self.stall_after();
                    if now < stalled {
                        let next = stalled.min(self.call.deadline);
                        self.alarm.as_mut().reset(next.into());
                        continue;
                    }
                    "stalled"
                }
            };
            self.recover(reason).await?;
            self.progress = Instant::now();
            self.alarm.as_mut().reset(self.progress.into());
        }
    }

    /// Goes on from the last event: on the same replica over a new connection, or on another one.
    async fn recover(&mut self, reason: &str) -> Result<(), Box<CallRefusal>> {
        self.core
            .counters
            .resumes
            .with_label_values(&[reason])
            .inc();
        self.cutter.reset();
        self.probes += 1;
        if self.probes <= PROBES && self.resume_there().await {
            return Ok(());
        }
        if self.call.once {
            return Err(Box::new(CallRefusal::new(ResultCode::AnswerCutOff)));
        }
        self.cancel("resumed elsewhere");
        let source = lock(&self.source).take();
        if let Some(source) = source {
            avoid_source(&mut self.state, &source);
        }
        spend_retry(
            &self.core,
            &self.call,
            &mut self.state,
            "resume",
            ResultCode::AnswerCutOff,
        )?;
        let resume = self.call.resume + self.cutter.events;
        let OpenAnswer { response, source } =
            open_answer(&self.core, &self.call, &mut self.state, resume).await?;
        if !response.status().is_success() {
            return Err(Box::new(CallRefusal::new(ResultCode::AnswerCutOff)));
        }
        self.served = served_region(&self.core, &response);
        self.response = response;
        *lock(&self.source) = Some(source);
        self.probes = 0;
        Ok(())
    }

    /// Asks the same replica for the rest over a new connection.
    ///
    /// A connection that a middlebox has forgotten delivers nothing and reports nothing, while
    /// new ones work; the pool is therefore not used here.
    async fn resume_there(&mut self) -> bool {
        let Some((address, id)) = self.slot_names() else {
            return false;
        };
        let from = self.call.resume + self.cutter.events;
        let request = self
            .core
            .once_client
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

    /// Gives the silence after which the stream is probed.
    ///
    /// The first token waits for the whole prompt to be read. An answer from another data centre
    /// stalls later, so that the node there resumes first.
    fn stall_after(&self) -> Duration {
        const FIRST_TOKEN: u32 = 3;
        const AWAY: u32 = 4;
        let stall = self.call.config.preset().stall_after;
        match &*lock(&self.source) {
            Some(AnswerSource::Away(_)) => stall * AWAY,
            Some(AnswerSource::Slot(..)) if self.cutter.events == 0 => stall * FIRST_TOKEN,
            Some(AnswerSource::Slot(..)) | None => stall,
        }
    }

    /// Gives the address of the replica and the id that it knows, if one of this data centre
    /// answers.
    fn slot_names(&self) -> Option<(Box<str>, Box<str>)> {
        match &*lock(&self.source) {
            Some(AnswerSource::Slot(_, address, id)) => Some((address.clone(), id.clone())),
            Some(AnswerSource::Away(_)) | None => None,
        }
    }

    fn finish(&mut self) {
        let source = lock(&self.source).take();
        let Some(AnswerSource::Slot(guard, _, _)) = source else {
            return;
        };
        if let Some(prefix) = self.call.prefix {
            let replica = tag_of(guard.replica());
            let prompt = self.usage().prompt_tokens.max(self.call.prompt);
            let mut control = self.core.control();
            control
                .prefix_caches_mut()
                .record(Instant::now(), prefix, replica, prompt);
        }
    }

    fn cancel(&self, reason: &str) {
        if let Some((address, id)) = self.slot_names() {
            cancel(&self.core, &address, &id, reason);
        }
    }
}

impl Drop for EngineStream {
    fn drop(&mut self) {
        self.watchdog.abort();
        if !self.cutter.done {
            self.cancel("given up");
        }
    }
}

/// Takes the slot back when the deadline has passed.
///
/// A caller that does not read its answer keeps the stream from being polled, so the stream's own
/// look at its deadline never comes; without this its slot would be held for ever.
async fn watch(core: Arc<GatewayCore>, source: SharedSource, deadline: Instant) {
    sleep_until((deadline + WATCH_SLACK).into()).await;
    let taken = lock(&source).take();
    if let Some(AnswerSource::Slot(guard, address, id)) = taken {
        drop(guard);
        cancel(&core, &address, &id, "not read");
    }
}
