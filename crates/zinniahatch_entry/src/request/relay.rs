//! Passing a stream on as it arrives, and resuming it at another replica where that is allowed.

use crate::core::EntryCore;
use crate::counts::counting::record_request;
use crate::replicas::crash_detection::handle_channel_break;
use crate::replicas::quarantine::note_complete_answer;
use crate::request::events::EventSplitter;
use crate::request::open_call::OpenCall;
use crate::request::plan::CallCount;
use crate::request::plan::CallCourse;
use crate::request::plan::CallPlan;
use crate::request::received::ReceivedCall;
use crate::request::resume::resume;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;

/// How often a stream looks whether its replica has gone silent.
const LOOK_TIME: Duration = Duration::from_millis(250);

/// A stream on its way to its caller.
pub(crate) struct StreamRelay {
    pub(crate) core: Rc<EntryCore>,
    pub(crate) call: Rc<ReceivedCall>,
    pub(crate) plan: Rc<CallPlan>,
    pub(crate) course: CallCourse,
    pub(crate) sender: Sender<Bytes>,
    /// Tells the answer's body whether what was sent is all.
    pub(crate) whole: Rc<Cell<bool>>,
    /// Counts the stream as in progress until it ends.
    pub(crate) guard: CallCount,
    /// Time from arrival to the first event.
    pub(crate) first: Option<Duration>,
    /// Longest pause between events so far.
    pub(crate) pause: Duration,
    /// When the last event came.
    pub(crate) last: Option<Instant>,
    /// Pieces passed on so far, about one for each event.
    pub(crate) events: u32,
}

/// Why a stream stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// It is whole.
    Whole,
    /// The caller left.
    CallerGone,
    /// Its time is over.
    Deadline,
    /// The replica broke off.
    Broken(Box<str>),
    /// The replica went silent.
    Silent,
}

impl StreamRelay {
    /// Passes on a stream to its end.
    pub(crate) async fn run(mut self, mut open: OpenCall) {
        let mut splitter = EventSplitter::after(self.call.last_event.clone());
        let end = loop {
            let end = self.pass(&mut open, &mut splitter).await;
            let reason: Box<str> = match &end {
                RelayEnd::Broken(reason) => reason.clone(),
                RelayEnd::Silent => "the replica is silent".into(),
                _ => break end,
            };
            open.fail();
            if end != RelayEnd::Silent {
                handle_channel_break(&self.core, &self.call, &open, &reason).await;
            }
            if !self.plan.route.resumable {
                break end;
            }
            splitter.drop_torn();
            // The old run must stop before another goes on: its channel is closed first.
            drop(open);
            let resumed = resume(
                &self.core,
                &self.call,
                &self.plan,
                &mut self.course,
                splitter.last_id(),
                &reason,
            )
            .await;
            let Some(next) = resumed else {
                self.finish(&end);
                return;
            };
            open = next;
        };
        if end == RelayEnd::Whole {
            self.note_length();
            note_complete_answer(&self.core, &self.call);
            open.finish(true);
        } else {
            drop(open);
        }
        self.finish(&end);
    }

    fn finish(self, end: &RelayEnd) {
        let result = match end {
            RelayEnd::Whole => ResultCode::Answered,
            RelayEnd::CallerGone => ResultCode::CallerGone,
            RelayEnd::Deadline => ResultCode::DeadlineRunning,
            RelayEnd::Broken(_) | RelayEnd::Silent => ResultCode::AnswerCutOff,
        };
        self.core
            .metrics
            .note_answer(&self.plan.service, result.name());
        let served = self.course.served(&self.core);
        record_request(
            &self.core, &self.call, &self.plan, &served, result, self.first,
        );
        let millis = |time: Duration| time.as_millis() as u64;
        self.core.log.write(
            "stream-end",
            serde_json::json!({"request": self.call.attempt, "direct": self.call.is_direct(),
                "route": self.plan.route.name, "result": result.number(),
                "end": format!("{end:?}"), "sends": self.course.sends, "events": self.events,
                "first_ms": self.first.map(millis), "pause_ms": millis(self.pause),
                "took_ms": millis(self.call.arrived.elapsed()),
                "goal_ms": millis(self.plan.route.goal),
                "pause_limit_ms": millis(self.plan.route.pause_limit)}),
        );
        self.whole.set(*end == RelayEnd::Whole);
        drop(self.guard);
    }

    /// Learns how long answers are, from one that did not begin in the middle.
    fn note_length(&self) {
        if self.call.last_event.is_none() {
            let mut replicas = self.core.replicas.borrow_mut();
            replicas.note_length(&self.plan.service, &self.call.size, self.events);
        }
    }

    /// Notes that an event goes on to the caller.
    fn note_event(&mut self) {
        let now = Instant::now();
        self.events += 1;
        if let Some(last) = self.last.replace(now) {
            self.pause = self.pause.max(now.saturating_duration_since(last));
            return;
        }
        let first = now.saturating_duration_since(self.call.arrived);
        self.first = Some(first);
        self.core
            .metrics
            .note_first_event(&self.plan.service, first);
    }

    async fn pass(&mut self, open: &mut OpenCall, splitter: &mut EventSplitter) -> RelayEnd {
        let resumable = self.plan.route.resumable;
        let mut look = Instant::now() + LOOK_TIME;
        loop {
            let piece = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayEnd::CallerGone,
                piece = open.read_body() => piece,
                () = sleep_until(self.plan.deadline_tokio()) => return RelayEnd::Deadline,
                () = sleep_until(look.into()), if resumable => {
                    look = Instant::now() + LOOK_TIME;
                    if open.is_suspect() {
                        return RelayEnd::Silent;
                    }
                    continue;
                }
            };
            let bytes = match piece {
                Ok(Some(bytes)) => bytes,
                Ok(None) if resumable && splitter.is_torn() => {
                    return RelayEnd::Broken("ended inside an event".into());
                }
                Ok(None) => return RelayEnd::Whole,
                Err(error) => return RelayEnd::Broken(error.to_string().into()),
            };
            let ready = if resumable {
                splitter.push(&bytes)
            } else {
                Some(bytes)
            };
            let Some(ready) = ready else {
                continue;
            };
            self.note_event();
            match timeout_at(self.plan.deadline_tokio(), self.sender.send(ready)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return RelayEnd::CallerGone,
                Err(_) => return RelayEnd::Deadline,
            }
        }
    }
}
