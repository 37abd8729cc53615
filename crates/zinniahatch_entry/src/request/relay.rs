//! Forwards a stream as it arrives and resumes it at another replica if the route allows that.

use crate::core::EntryCore;
use crate::counts::counting::record_request;
use crate::replicas::crash_detection::handle_connection_break;
use crate::replicas::quarantine::note_complete_response;
use crate::request::connection::BodyEnd;
use crate::request::event_scanner::EventScanner;
use crate::request::events::EventSplitter;
use crate::request::in_flight::InFlightRequest;
use crate::request::plan::InFlightGuard;
use crate::request::plan::RequestPlan;
use crate::request::plan::RequestProgress;
use crate::request::received::ReceivedRequest;
use crate::request::resume::resume;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;

/// How often a stream checks whether its replica has gone silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A stream being forwarded to its caller.
pub(crate) struct StreamRelay {
    pub(crate) core: Rc<EntryCore>,
    pub(crate) request: Rc<ReceivedRequest>,
    pub(crate) plan: Rc<RequestPlan>,
    pub(crate) progress: RequestProgress,
    pub(crate) sender: Sender<Bytes>,
    /// Tells the response body whether the chunks sent so far form the complete stream.
    pub(crate) complete: Rc<Cell<bool>>,
    /// Counts the stream as in flight until it ends.
    pub(crate) guard: InFlightGuard,
    /// Time from the request's arrival to the first event.
    pub(crate) first_event: Option<Duration>,
    /// Longest gap between events so far.
    pub(crate) longest_gap: Duration,
    /// Time of the last event.
    pub(crate) last_event_at: Option<Instant>,
    /// Number of chunks forwarded so far, about one per event.
    pub(crate) events: u32,
    /// Position of the current replica's response relative to its events.
    pub(crate) scanner: EventScanner,
    /// How that response marks its end.
    pub(crate) body_end: Option<BodyEnd>,
}

/// Why a stream stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// The stream is complete.
    Whole,
    /// The caller closed its connection.
    CallerGone,
    /// The deadline passed.
    Deadline,
    /// The connection to the replica broke.
    Broken(Box<str>),
    /// The replica went silent.
    Silent,
}

impl StreamRelay {
    /// Forwards a stream to its end.
    pub(crate) async fn run(mut self, mut in_flight: InFlightRequest) {
        let mut splitter = EventSplitter::after(self.request.last_event.clone());
        let end = loop {
            let end = self.forward_events(&mut in_flight, &mut splitter).await;
            let reason: Box<str> = match &end {
                RelayEnd::Broken(reason) => reason.clone(),
                RelayEnd::Silent => "the replica went silent".into(),
                _ => break end,
            };
            in_flight.record_failure();
            if end != RelayEnd::Silent {
                handle_connection_break(&self.core, &self.request, &in_flight, &reason).await;
            }
            if !self.plan.route.resumable {
                break end;
            }
            splitter.discard_partial();
            // The previous run must stop before another replica continues, so its connection is
            // closed first.
            drop(in_flight);
            let resumed = resume(
                &self.core,
                &self.request,
                &self.plan,
                &mut self.progress,
                splitter.last_id(),
                &reason,
            )
            .await;
            let Some(next) = resumed else {
                self.finish(&end);
                return;
            };
            in_flight = next;
        };
        if end == RelayEnd::Whole {
            self.record_length();
            note_complete_response(&self.core, &self.request);
            in_flight.finish(true);
        } else {
            drop(in_flight);
        }
        self.finish(&end);
    }

    fn finish(mut self, end: &RelayEnd) {
        self.plan.return_charge(&self.core, &mut self.progress);
        let result = match end {
            RelayEnd::Whole => ResultCode::Answered,
            RelayEnd::CallerGone => ResultCode::CallerGone,
            RelayEnd::Deadline => ResultCode::DeadlineRunning,
            RelayEnd::Broken(_) | RelayEnd::Silent => ResultCode::AnswerCutOff,
        };
        self.core
            .metrics
            .note_response(&self.plan.service, result.name());
        let served = self.progress.serving_region(&self.core);
        record_request(
            &self.core,
            &self.request,
            &self.plan,
            &served,
            result,
            self.first_event,
        );
        let millis = |time: Duration| time.as_millis() as u64;
        self.core.log.write(
            "stream-end",
            serde_json::json!({"request": self.request.attempt, "direct": self.request.is_direct(),
                "route": self.plan.route.name, "result": result.number(),
                "end": format!("{end:?}"), "framing": self.body_end.map(BodyEnd::name),
                "inside_event": self.scanner.is_inside_event(), "sends": self.progress.sends, "events": self.events,
                "first_ms": self.first_event.map(millis), "pause_ms": millis(self.longest_gap),
                "took_ms": millis(self.request.arrived.elapsed()),
                "goal_ms": millis(self.plan.route.goal),
                "pause_limit_ms": millis(self.plan.route.pause_limit)}),
        );
        self.complete.set(*end == RelayEnd::Whole);
        drop(self.guard);
    }

    /// Updates the estimate of response lengths, unless this stream began in the middle.
    fn record_length(&self) {
        if self.request.last_event.is_none() {
            let mut replicas = self.core.replicas.borrow_mut();
            replicas.note_length(&self.plan.service, &self.request.size, self.events);
        }
    }

    /// Records that an event is forwarded to the caller.
    fn record_event(&mut self) {
        let now = Instant::now();
        self.events += 1;
        if let Some(last_event_at) = self.last_event_at.replace(now) {
            self.longest_gap = self
                .longest_gap
                .max(now.saturating_duration_since(last_event_at));
            return;
        }
        let first_event = now.saturating_duration_since(self.request.arrived);
        self.first_event = Some(first_event);
        self.core
            .metrics
            .note_first_event(&self.plan.service, first_event);
    }

    async fn forward_events(
        &mut self,
        in_flight: &mut InFlightRequest,
        splitter: &mut EventSplitter,
    ) -> RelayEnd {
        let resumable = self.plan.route.resumable;
        self.scanner = EventScanner::at_start();
        self.body_end = in_flight.body_end();
        let mut next_check = Instant::now() + SILENCE_CHECK_INTERVAL;
        loop {
            let chunk = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayEnd::CallerGone,
                chunk = in_flight.read_body() => chunk,
                () = sleep_until(self.plan.deadline_tokio()) => return RelayEnd::Deadline,
                () = sleep_until(next_check.into()), if resumable => {
                    next_check = Instant::now() + SILENCE_CHECK_INTERVAL;
                    if in_flight.is_suspect() {
                        return RelayEnd::Silent;
                    }
                    continue;
                }
            };
            let bytes = match chunk {
                Ok(Some(bytes)) => bytes,
                Ok(None) if resumable && splitter.has_partial() => {
                    return RelayEnd::Broken("the stream ended inside an event".into());
                }
                Ok(None) => return RelayEnd::Whole,
                Err(error) => return RelayEnd::Broken(error.to_string().into()),
            };
            self.scanner.push(&bytes);
            let ready = if resumable {
                splitter.push(&bytes)
            } else {
                Some(bytes)
            };
            let Some(ready) = ready else {
                continue;
            };
            self.record_event();
            match timeout_at(self.plan.deadline_tokio(), self.sender.send(ready)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return RelayEnd::CallerGone,
                Err(_) => return RelayEnd::Deadline,
            }
        }
    }
}
