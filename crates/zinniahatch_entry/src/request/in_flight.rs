//! A request in flight: its connection and the load accounting of its replica.

use crate::core::EntryCore;
use crate::request::body_position::BodyPosition;
use crate::request::connection::BackendConnection;
use crate::request::connection::ConnectionError;
use crate::request::connection::ResponseHead;
use crate::request::framing::BodyEnd;
use crate::request::held_memory::HeldBytes;
use crate::request::received::ReceivedRequest;
use crate::request::truncation::Truncation;
use bytes::Bytes;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::ModelSample;
use zinniahatch_route::ReplicaState;
use zinniahatch_route::SendPermit;

/// How often a waiting request checks whether its replica has restarted.
pub(crate) const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Work that a request puts on a replica, and the estimates made when it was assigned.
#[derive(Debug)]
pub(crate) struct AssignedWork {
    pub(crate) replica: ReplicaId,
    /// Number of the request, unique in this process.
    pub(crate) ticket: u64,
    /// Requests and prompt tokens that the request adds to the replica.
    pub(crate) work: InFlightWork,
    /// Prompt tokens that the replica prefills before those of this request.
    pub(crate) tokens_ahead: u32,
    /// Expected wait for a free slot.
    pub(crate) slot_wait: Duration,
    pub(crate) urgent: bool,
    pub(crate) cold: bool,
    /// Whether the first bytes of the response have arrived.
    pub(crate) response_began: bool,
}

/// What was read of a body that is to be read whole.
#[derive(Debug)]
pub(crate) enum BufferedBody {
    /// All of it.
    Whole(Bytes),
    /// The beginning. There is no memory for the rest.
    Begun(Vec<Bytes>),
}

/// A request in flight. Dropping it releases its connection and corrects the load accounting,
/// however the request ended.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    core: Rc<EntryCore>,
    address: SocketAddrV4,
    pub(crate) assigned: Option<AssignedWork>,
    service: ServiceId,
    sent_at: Instant,
    /// Expected time from the send to the first event.
    pub(crate) expected: Duration,
    /// When the head of the response arrived.
    answer_began: Option<Instant>,
    /// When the last bytes of the response arrived, or when the request was sent. Shared with what waits
    /// for the response.
    heard_at: Rc<Cell<Instant>>,
    /// When the last bytes of the body arrived.
    last_bytes_at: Option<Instant>,
    /// How the response marks its end; `None` until its head has arrived.
    body_end: Option<BodyEnd>,
    /// Tag of the version of the replica's software, if it is known.
    pub(crate) software: Option<ShortTag>,
    pub(crate) connection: Option<BackendConnection>,
}

impl InFlightRequest {
    /// Creates the record of a request that goes to an address.
    pub(crate) fn new(
        core: &Rc<EntryCore>,
        address: SocketAddrV4,
        service: &ServiceId,
        expected: Duration,
    ) -> Self {
        Self {
            expected,
            core: Rc::clone(core),
            address,
            assigned: None,
            service: service.clone(),
            sent_at: Instant::now(),
            answer_began: None,
            heard_at: Rc::new(Cell::new(Instant::now())),
            last_bytes_at: None,
            body_end: None,
            software: None,
            connection: None,
        }
    }

    /// Sends a request and reads the head of its response.
    pub(crate) async fn exchange<P: SendPermit>(
        &mut self,
        permit: P,
        request: &ReceivedRequest,
        head: &[u8],
    ) -> Result<ResponseHead, ConnectionError> {
        self.sent_at = Instant::now();
        self.heard_at.set(self.sent_at);
        let Some(connection) = self.connection.as_mut() else {
            return Err(ConnectionError::Broken("no connection".into()));
        };
        let sent = connection.send(permit, head, &request.body).await;
        let messages = &self.core.metrics.messages;
        messages.note_send_wait(self.sent_at.elapsed());
        sent?;
        let head = connection
            .read_replica_head(&request.method, &request.attempt)
            .await
            .inspect_err(|error| self.note_excess(error))?;
        let head = match self.assigned {
            Some(_) => head,
            None => head.framed()?,
        };
        self.body_end = Some(head.body_end);
        let now = Instant::now();
        self.answer_began = Some(now);
        self.heard_at.set(now);
        Ok(head)
    }

    /// Returns how the response marks its end; `None` until its head has arrived.
    pub(crate) fn body_end(&self) -> Option<BodyEnd> {
        self.body_end
    }

    /// Returns how far a body without events has come.
    pub(crate) fn plain_position(&self) -> BodyPosition {
        match self.last_bytes_at {
            Some(_) => BodyPosition::Further,
            None => BodyPosition::Start,
        }
    }

    /// Reads some bytes of the response body. Returns `None` at its end.
    pub(crate) async fn read_body(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        let Some(connection) = self.connection.as_mut() else {
            return Ok(None);
        };
        let chunk = connection.read_body().await;
        if matches!(chunk, Ok(Some(_))) {
            self.record_bytes();
        }
        chunk.inspect_err(|error| self.note_excess(error))
    }

    fn note_excess(&self, error: &ConnectionError) {
        self.core
            .note_excess(self.address, self.replica().map(|id| &**id), error);
    }

    /// Waits until bytes of the response body arrive, and keeps them to be read.
    ///
    /// # Errors
    ///
    /// The connection broke, or the replica has restarted.
    pub(crate) async fn wait_for_bytes(&mut self) -> Result<(), Truncation> {
        loop {
            let Some(connection) = self.connection.as_mut() else {
                return Ok(());
            };
            tokio::select! {
                read = connection.wait_for_bytes() => return Ok(read?),
                () = sleep(RESTART_CHECK_INTERVAL) => {}
            }
            if self.is_replica_restarted() {
                return Err(Truncation::ReplicaRestarted);
            }
        }
    }

    /// Reads the whole body, or as much of it as there is memory for.
    ///
    /// Nothing is read of one that states a length without memory for it, unless this node stops: the pace
    /// then decides whether the answer may begin.
    pub(crate) async fn read_whole(
        &mut self,
        length: Option<u64>,
    ) -> Result<BufferedBody, ConnectionError> {
        let core = Rc::clone(&self.core);
        let memory = &core.answer_memory;
        let length = length.map_or(Some(0), |length| usize::try_from(length).ok());
        let mut buffer = length.and_then(|bytes| HeldBytes::with_capacity(memory, bytes));
        if buffer.is_none() && core.answers_due.get().is_some() {
            buffer = HeldBytes::with_capacity(memory, 0);
        }
        let Some(mut buffer) = buffer else {
            return Ok(BufferedBody::Begun(Vec::new()));
        };
        while let Some(chunk) = self.read_body().await? {
            if !buffer.push(memory, &chunk) {
                return Ok(BufferedBody::Begun(vec![buffer.into(), chunk]));
            }
        }
        Ok(BufferedBody::Whole(buffer.into()))
    }

    /// Reads the body to its end and drops it.
    pub(crate) async fn discard_body(&mut self) -> Result<(), ConnectionError> {
        let Some(connection) = self.connection.as_mut() else {
            return Ok(());
        };
        let discarded = connection.discard_body().await;
        discarded.inspect_err(|error| self.note_excess(error))
    }

    /// Records that response bytes arrived. The first of them train the latency model.
    fn record_bytes(&mut self) {
        let now = Instant::now();
        self.heard_at.set(now);
        let previous = self.last_bytes_at.replace(now);
        let Some(assigned) = self.assigned.as_mut() else {
            return;
        };
        let mut replicas = self.core.replicas.borrow_mut();
        // Only engines have prompt tokens, and only their gaps between events depend on the batch.
        let gap = previous
            .filter(|_| assigned.work.tokens > 0)
            .map(|previous| now.saturating_duration_since(previous));
        let is_current = replicas.note_bytes(&assigned.replica, assigned.ticket, gap, now);
        if !is_current || assigned.response_began {
            return;
        }
        assigned.response_began = true;
        replicas.note_first_event(&assigned.replica, assigned.ticket, assigned.work);
        self.core.work_changed.notify_one();
        if assigned.cold {
            return;
        }
        let took = now.saturating_duration_since(self.sent_at);
        let (tokens, tokens_ahead) = (assigned.work.tokens, assigned.tokens_ahead);
        let model = replicas.model(&self.service);
        let expected = model.expected_time(tokens)
            + model.queue_time(tokens_ahead, assigned.urgent)
            + assigned.slot_wait;
        model.learn(ModelSample {
            tokens,
            tokens_ahead,
            slot_wait: assigned.slot_wait,
            urgent: assigned.urgent,
            took,
        });
        if let Some(state) = replicas.get_mut(&assigned.replica) {
            state.note_latency(expected, took);
        }
    }

    /// Records that the response is complete and returns the connection to the pool.
    pub(crate) fn finish(mut self, healthy: bool) {
        self.record_health(healthy);
        self.return_connection();
    }

    /// Returns the connection to the pool.
    pub(crate) fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.core
                .pool
                .release(self.address, connection, Instant::now());
        }
    }

    /// Records a failure of the replica.
    pub(crate) fn record_failure(&self) {
        self.record_health(false);
    }

    fn record_health(&self, healthy: bool) {
        let Some(assigned) = &self.assigned else {
            return;
        };
        let now = Instant::now();
        let mut replicas = self.core.replicas.borrow_mut();
        let Some(state) = replicas.replica_for_ticket(&assigned.replica, assigned.ticket) else {
            return;
        };
        if !healthy {
            state.health.note_failure(now);
            return;
        }
        state.health.note_success(now);
        let duration = now.saturating_duration_since(self.sent_at);
        replicas.model(&self.service).learn_slot_time(duration);
    }

    /// Calls `change` with the state of the replica, if it is still the same incarnation that
    /// serves the request.
    pub(crate) fn update_replica(&self, change: impl FnOnce(&mut ReplicaState)) {
        let Some(assigned) = &self.assigned else {
            return;
        };
        let mut replicas = self.core.replicas.borrow_mut();
        if let Some(state) = replicas.replica_for_ticket(&assigned.replica, assigned.ticket) {
            change(state);
        }
    }

    /// Returns whether the replica has restarted since it was sent the request.
    pub(crate) fn is_replica_restarted(&self) -> bool {
        let Some(assigned) = &self.assigned else {
            return false;
        };
        let mut replicas = self.core.replicas.borrow_mut();
        replicas
            .replica_for_ticket(&assigned.replica, assigned.ticket)
            .is_none()
    }

    /// Returns whether another incarnation of the replica is known.
    pub(crate) fn is_replica_reborn(&self) -> bool {
        let Some(assigned) = &self.assigned else {
            return false;
        };
        let replicas = self.core.replicas.borrow();
        let state = replicas.get(&assigned.replica);
        state.is_some_and(|state| !state.has_request(assigned.ticket))
    }

    /// Returns when bytes last arrived on the connection, or when the request was sent, kept up to date
    /// while the request is in flight.
    pub(crate) fn heard_at(&self) -> Rc<Cell<Instant>> {
        Rc::clone(&self.heard_at)
    }

    /// Returns when the request was sent.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Returns the time since the request was sent.
    pub(crate) fn time_in_flight(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Returns when the head of the response arrived; `None` if it has not.
    pub(crate) fn answer_began(&self) -> Option<Instant> {
        self.answer_began
    }

    /// Returns the time since the response began; `None` if its head has not arrived.
    pub(crate) fn answered_for(&self) -> Option<Duration> {
        self.answer_began.map(|began| began.elapsed())
    }

    /// Logs that the connection broke during the request, and how many requests of this node the
    /// replica had.
    pub(crate) fn log_break(&self, request: &ReceivedRequest, reason: &str) {
        let Some(assigned) = &self.assigned else {
            return;
        };
        let local_work = {
            let replicas = self.core.replicas.borrow();
            replicas
                .get(&assigned.replica)
                .map(|state| state.local_work)
        };
        self.core.log.write(
            "channel-broke",
            serde_json::json!({"request": request.attempt, "content": request.content_text(), "parts": request.parts_text(),
                "replica": assigned.replica, "reason": reason, "began": assigned.response_began,
                "answered_ms": self.answered_for().map(|time| time.as_millis() as u64),
                "ran_ms": self.time_in_flight().as_millis() as u64,
                "own_requests": local_work.map(|work| work.requests)}),
        );
    }

    /// Counts and logs a request whose connection is closed before the end of its response.
    fn note_given_up(&self) {
        let kind = if self.assigned.is_some() {
            "replica"
        } else {
            "node"
        };
        self.core.metrics.retries.note_given_up(kind);
        self.core.log.write(
            "given-up",
            serde_json::json!({"address": self.address.to_string(), "replica": self.replica(),
                "sent_ms": self.sent_at.elapsed().as_millis() as u64,
                "answered_ms": self.answered_for().map(|time| time.as_millis() as u64)}),
        );
    }

    /// Returns the address that the request was sent to.
    pub(crate) fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Returns the replica, if the request was sent to one.
    pub(crate) fn replica(&self) -> Option<&ReplicaId> {
        self.assigned.as_ref().map(|assigned| &assigned.replica)
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.core.pool.note_closed(self.address);
            if connection.is_exchanging() {
                self.note_given_up();
            }
        }
        let Some(assigned) = &self.assigned else {
            return;
        };
        self.core.replicas.borrow_mut().note_ended(
            &assigned.replica,
            assigned.ticket,
            assigned.work,
            assigned.response_began,
        );
        self.core.work_changed.notify_one();
    }
}
