//! Forwards a stream as it arrives and resumes it at another replica if the route allows that.

use crate::core::EntryCore;
use crate::counts::counting::record_request;
use crate::nodes::stream_origins::note_begun;
use crate::replicas::crash_detection::handle_connection_break;
use crate::replicas::part_quarantine::note_sound_answer;
use crate::replicas::quarantine::note_complete_response;
use crate::request::events::EventSplitter;
use crate::request::failover::SilenceEnd;
use crate::request::failover::SilenceWait;
use crate::request::failover::WaitedConnection;
use crate::request::framing::BodyEnd;
use crate::request::held_memory::HeldBytes;
use crate::request::held_memory::MemoryReservation;
use crate::request::in_flight::InFlightRequest;
use crate::request::in_flight::RESTART_CHECK_INTERVAL;
use crate::request::late_stop::note_answer_time;
use crate::request::plan::InFlightGuard;
use crate::request::plan::RequestPlan;
use crate::request::plan::RequestProgress;
use crate::request::received::ReceivedRequest;
use crate::request::resume::AbandonReason;
use crate::request::resume::BrokenStream;
use crate::request::resume::resume;
use crate::request::truncation::Truncation;
use crate::request::truncation::check_end;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_route::SURVIVAL_TIME;
use zinniahatch_route::StreamFailover;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::take_up_time;

/// Size of a buffer for an event up to which its memory is not reserved.
const MAX_UNRESERVED_EVENT_BYTES: usize = 16 << 10;
/// Maximum bytes of a part in which a large event is queued. What a caller reads slowly is mostly not
/// queued, and the replica is not read on.
const MAX_PART_BYTES: usize = 8 << 10;

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
    /// Whether the response is a stream of events; any other one is passed on as it is.
    pub(crate) has_events: bool,
    /// Whether the response is a server error.
    pub(crate) failed: bool,
    /// Position of the response relative to its events.
    pub(crate) splitter: EventSplitter,
    /// Memory of the event that is being read.
    pub(crate) event_memory: Option<MemoryReservation>,
    /// Whether the caller has a part of an event, so that no other replica can go on.
    pub(crate) split_event: bool,
    /// How the current replica's response marks its end.
    pub(crate) body_end: Option<BodyEnd>,
    /// Decides when another replica is looked for.
    pub(crate) failover: StreamFailover,
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
    /// The replica's response ended early.
    Broken(Truncation),
}

/// Why forwarding paused.
enum ForwardStop {
    /// Nothing more will come on this connection.
    Ended(RelayEnd),
    /// Nothing has come for some time.
    Silent,
}

impl StreamRelay {
    /// Forwards a stream to its end, beginning with what was read of it.
    pub(crate) async fn run(mut self, mut in_flight: InFlightRequest, begun: Vec<Bytes>) {
        let mut begun = begun.into_iter();
        let end = loop {
            let connection = WaitedConnection::of_response(&in_flight, &self.progress);
            let end = match self.forward_events(&mut in_flight, &mut begun).await {
                ForwardStop::Silent => match self.outlast_silence(in_flight).await {
                    Ok(next) => {
                        in_flight = next;
                        continue;
                    }
                    Err(end) => end,
                },
                ForwardStop::Ended(RelayEnd::Broken(truncation)) => {
                    self.handle_break(in_flight, &truncation).await;
                    RelayEnd::Broken(truncation)
                }
                ForwardStop::Ended(end) => {
                    self.settle(in_flight, &end);
                    break end;
                }
            };
            match self.resume(end, connection).await {
                Ok(next) => in_flight = next,
                Err(end) => break end,
            }
        };
        self.finish(&end);
    }

    /// Waits until a silent stream goes on, on its connection or another one.
    async fn outlast_silence(
        &mut self,
        in_flight: InFlightRequest,
    ) -> Result<InFlightRequest, RelayEnd> {
        let (core, request, plan) = (&self.core, &self.request, &self.plan);
        let mut connection = WaitedConnection::of_response(&in_flight, &self.progress);
        let wait = SilenceWait {
            core,
            request,
            plan,
            progress: &mut self.progress,
            failover: &mut self.failover,
            connection: &mut connection,
            last_event: self.splitter.last_id(),
        };
        let reading = async move {
            let mut in_flight = in_flight;
            let read = in_flight.wait_for_bytes().await;
            (read, in_flight)
        };
        let end = tokio::select! {
            biased;
            () = self.sender.closed() => return Err(RelayEnd::CallerGone),
            end = wait.run(reading, |(read, _)| read.is_err()) => end,
            () = sleep_until(plan.deadline_tokio()) => return Err(RelayEnd::Deadline),
        };
        let (answer, broken) = match end {
            SilenceEnd::Spoke((Ok(()), in_flight)) => return Ok(in_flight),
            SilenceEnd::Spoke(broken) => (None, Some(broken)),
            SilenceEnd::Moved { answer, broken } => (Some(answer), broken),
            SilenceEnd::Lost => (None, None),
        };
        let mut truncation = Truncation::Silent;
        if let Some((Err(error), in_flight)) = broken {
            truncation = error;
            self.handle_break(in_flight, &truncation).await;
        } else if answer.is_none() {
            self.note_truncated(&truncation);
        }
        self.splitter.discard_partial();
        answer
            .map(|answer| answer.1)
            .ok_or(RelayEnd::Broken(truncation))
    }

    fn note_truncated(&self, truncation: &Truncation) {
        let streams = &self.core.metrics.streams;
        streams.note_truncated(&self.plan.service, truncation);
    }

    /// Handles a connection that broke, and closes it: its run must have stopped before another
    /// replica goes on.
    async fn handle_break(&self, in_flight: InFlightRequest, truncation: &Truncation) {
        let (core, request, plan) = (&self.core, &self.request, &self.plan);
        self.note_truncated(truncation);
        in_flight.record_failure();
        if truncation.may_be_crash() {
            let reason = truncation.to_string();
            handle_connection_break(core, request, plan, &in_flight, &reason).await;
        }
    }

    /// Resumes a broken stream, if its route allows that; otherwise returns how it ends.
    async fn resume(
        &mut self,
        end: RelayEnd,
        connection: WaitedConnection,
    ) -> Result<InFlightRequest, RelayEnd> {
        let RelayEnd::Broken(truncation) = &end else {
            return Err(end);
        };
        if !self.may_resume() {
            return Err(end);
        }
        self.splitter.discard_partial();
        let broken = BrokenStream {
            connection,
            last_event: self.splitter.last_id(),
            reason: &truncation.to_string(),
            caller: &self.sender,
        };
        let (core, request, plan) = (&self.core, &self.request, &self.plan);
        match resume(core, request, plan, &mut self.progress, &broken).await {
            Ok(resumed) => {
                self.failover = plan.stream_failover(&self.progress, resumed.expected);
                Ok(resumed)
            }
            Err(AbandonReason::CallerGone) => Err(RelayEnd::CallerGone),
            Err(_) => Err(end),
        }
    }

    /// Releases the connection of a stream that has ended.
    fn settle(&self, in_flight: InFlightRequest, end: &RelayEnd) {
        if *end != RelayEnd::Whole {
            return;
        }
        self.record_length();
        note_complete_response(&self.core, &self.request);
        self.note_sound(&in_flight);
        note_answer_time(&self.core, &self.plan, &in_flight);
        in_flight.finish(!self.failed);
    }

    /// Records that the replica outlived the answer so far.
    fn note_sound(&self, in_flight: &InFlightRequest) {
        if let Some(began) = in_flight.answer_began() {
            note_sound_answer(&self.core, &self.request, &self.plan, began);
        }
    }

    fn finish(mut self, end: &RelayEnd) {
        self.plan.return_charge(&self.core, &mut self.progress);
        let result = match end {
            RelayEnd::Whole if self.failed => ResultCode::BackendError,
            RelayEnd::Whole => ResultCode::Answered,
            RelayEnd::CallerGone => ResultCode::CallerGone,
            RelayEnd::Deadline => ResultCode::DeadlineRunning,
            RelayEnd::Broken(_) => ResultCode::AnswerCutOff,
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
                "inside_event": self.splitter.has_partial(), "sends": self.progress.sends, "events": self.events,
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
        if self.has_events && self.request.last_event.is_none() {
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

    /// Returns whether another replica may continue the stream.
    fn may_resume(&self) -> bool {
        self.plan.route.resumable && self.has_events && !self.split_event
    }

    async fn forward_events(
        &mut self,
        in_flight: &mut InFlightRequest,
        begun: &mut impl Iterator<Item = Bytes>,
    ) -> ForwardStop {
        self.body_end = in_flight.body_end();
        let mut restart_check = Instant::now() + RESTART_CHECK_INTERVAL;
        let mut survival_noted = false;
        for bytes in begun {
            if let Err(end) = self.forward(in_flight, bytes).await {
                return ForwardStop::Ended(end);
            }
        }
        loop {
            let resumable = self.may_resume();
            let silent_at = self.failover.silent_at();
            let chunk = tokio::select! {
                biased;
                () = self.sender.closed() => return ForwardStop::Ended(RelayEnd::CallerGone),
                chunk = in_flight.read_body() => chunk,
                () = sleep_until(self.plan.deadline_tokio()) => {
                    return ForwardStop::Ended(RelayEnd::Deadline);
                }
                () = sleep_until(silent_at.into()), if resumable => return ForwardStop::Silent,
                () = sleep_until(restart_check.into()), if resumable => {
                    restart_check = Instant::now() + RESTART_CHECK_INTERVAL;
                    if in_flight.is_replica_restarted() {
                        let truncation = Truncation::ReplicaRestarted;
                        return ForwardStop::Ended(RelayEnd::Broken(truncation));
                    }
                    continue;
                }
            };
            let bytes = match chunk {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return ForwardStop::Ended(self.end_of_body(in_flight).await),
                Err(error) => {
                    return ForwardStop::Ended(RelayEnd::Broken(error.into()));
                }
            };
            self.failover.on_bytes(Instant::now());
            if !survival_noted && in_flight.answered_for() >= Some(SURVIVAL_TIME) {
                survival_noted = true;
                self.note_sound(in_flight);
            }
            if let Err(end) = self.forward(in_flight, bytes).await {
                return ForwardStop::Ended(end);
            }
        }
    }

    /// Forwards what has become ready with some bytes of the response.
    async fn forward(&mut self, in_flight: &InFlightRequest, bytes: Bytes) -> Result<(), RelayEnd> {
        let resumable = self.may_resume();
        let ready = if resumable {
            let whole = self.splitter.push(&bytes);
            whole
                .map(|events| self.hold_events(events))
                .or_else(|| self.reserve_event())
        } else {
            self.splitter.follow(&bytes);
            Some(bytes)
        };
        let Some(mut ready) = ready else {
            return Ok(());
        };
        if resumable && self.first_event.is_none() {
            self.record_origin(in_flight);
        }
        self.record_event();
        while ready.len() > MAX_PART_BYTES {
            self.send(ready.split_to(MAX_PART_BYTES)).await?;
        }
        self.send(ready).await?;
        // While the caller read nothing, the replica was not read either.
        self.failover.on_bytes(Instant::now());
        Ok(())
    }

    /// Keeps the memory of events reserved until they are sent.
    fn hold_events(&mut self, events: Bytes) -> Bytes {
        match self.event_memory.take() {
            Some(reservation) => HeldBytes::new(events, reservation).into(),
            None => events,
        }
    }

    /// Reserves memory for the event that is being read. If there is too little, returns what there is of it,
    /// which is forwarded in parts from then on.
    fn reserve_event(&mut self) -> Option<Bytes> {
        let size = self.splitter.buffer_size();
        if size <= MAX_UNRESERVED_EVENT_BYTES {
            return None;
        }
        let memory = &self.core.answer_memory;
        let granted = match &mut self.event_memory {
            Some(reservation) => reservation.grow_to(memory, size),
            none => {
                *none = memory.reserve(size);
                none.is_some()
            }
        };
        if granted {
            return None;
        }
        let core = &self.core;
        core.log_memory_full(memory, &self.request.attempt, size);
        self.split_event = true;
        let begun = self.splitter.take_rest()?;
        Some(self.hold_events(begun))
    }

    /// Records what began the stream, whose first event its caller gets now.
    fn record_origin(&mut self, in_flight: &InFlightRequest) {
        let (core, request, plan) = (&self.core, &self.request, &self.plan);
        let served = StreamOrigin::new(&plan.service, in_flight.software);
        let began = *self.progress.began.get_or_insert(served);
        if !request.is_direct() || !began.is_known() {
            return;
        }
        let stated = request.time_left.unwrap_or_default();
        let until = request.arrived + take_up_time(plan.route.timeout).max(stated);
        note_begun(core, request.stream(), began, until, plan.route.is_split());
    }

    /// Handles the end of a response as its framing marks it.
    async fn end_of_body(&mut self, in_flight: &InFlightRequest) -> RelayEnd {
        let position = if self.has_events {
            self.splitter.position()
        } else {
            in_flight.plain_position()
        };
        let ended = check_end(&self.core, &self.request, &self.plan, in_flight, position).await;
        if let Err(truncation) = ended {
            return RelayEnd::Broken(truncation);
        }
        match self.splitter.take_rest() {
            Some(rest) => self.send(rest).await.err().unwrap_or(RelayEnd::Whole),
            None => RelayEnd::Whole,
        }
    }

    async fn send(&self, bytes: Bytes) -> Result<(), RelayEnd> {
        match timeout_at(self.plan.deadline_tokio(), self.sender.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(RelayEnd::CallerGone),
            Err(_) => Err(RelayEnd::Deadline),
        }
    }
}
