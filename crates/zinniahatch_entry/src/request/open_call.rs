//! A request on its way: its channel, and the books that are kept of it.

use crate::core::EntryCore;
use crate::request::channel::AnswerHead;
use crate::request::channel::BackendChannel;
use crate::request::channel::ChannelError;
use crate::request::received::ReceivedCall;
use bytes::Bytes;
use bytes::BytesMut;
use std::net::SocketAddrV4;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::ModelSample;
use zinniahatch_route::ReplicaState;
use zinniahatch_route::SendPermit;

/// What is noted of a replica while it works on a request.
#[derive(Debug)]
pub(crate) struct ReplicaNote {
    pub(crate) replica: ReplicaId,
    pub(crate) ticket: u64,
    pub(crate) work: InFlightWork,
    pub(crate) ahead: u32,
    pub(crate) queue: Duration,
    pub(crate) urgent: bool,
    pub(crate) cold: bool,
    pub(crate) first_seen: bool,
}

/// A request on its way; however it ends, the books are put right when this is dropped.
#[derive(Debug)]
pub(crate) struct OpenCall {
    core: Rc<EntryCore>,
    address: SocketAddrV4,
    pub(crate) note: Option<ReplicaNote>,
    service: ServiceId,
    sent_at: Instant,
    /// When the last bytes of the answer came.
    heard_at: Option<Instant>,
    pub(crate) channel: Option<BackendChannel>,
}

impl OpenCall {
    /// Starts the books of a request that goes to an address.
    pub(crate) fn new(core: &Rc<EntryCore>, address: SocketAddrV4, service: &ServiceId) -> Self {
        Self {
            core: Rc::clone(core),
            address,
            note: None,
            service: service.clone(),
            sent_at: Instant::now(),
            heard_at: None,
            channel: None,
        }
    }

    /// Sends a request and reads the head of its answer.
    pub(crate) async fn exchange<P: SendPermit>(
        &mut self,
        permit: P,
        call: &ReceivedCall,
        head: &[u8],
    ) -> Result<AnswerHead, ChannelError> {
        self.sent_at = Instant::now();
        let Some(channel) = self.channel.as_mut() else {
            return Err(ChannelError::Broken("no channel".into()));
        };
        channel.send(permit, head, &call.body).await?;
        channel.read_head(&call.method, &call.attempt).await
    }

    /// Reads some of the answer's body; none at its end.
    pub(crate) async fn read_body(&mut self) -> Result<Option<Bytes>, ChannelError> {
        let Some(channel) = self.channel.as_mut() else {
            return Ok(None);
        };
        let piece = channel.read_body().await;
        if matches!(piece, Ok(Some(_))) {
            self.note_event();
        }
        piece
    }

    /// Reads the whole body.
    pub(crate) async fn read_whole(&mut self) -> Result<Bytes, ChannelError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.read_body().await? {
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Notes bytes of the answer; the first teach the model.
    fn note_event(&mut self) {
        let Some(note) = self.note.as_mut() else {
            return;
        };
        let now = Instant::now();
        let before = self.heard_at.replace(now);
        let mut replicas = self.core.replicas.borrow_mut();
        // Only engines have tokens to read, and only their pauses tell of a batch.
        let pause = before
            .filter(|_| note.work.tokens > 0)
            .map(|before| now.saturating_duration_since(before));
        let lives = replicas.note_bytes(&note.replica, note.ticket, pause, now);
        if !lives || note.first_seen {
            return;
        }
        note.first_seen = true;
        replicas.note_first_event(&note.replica, note.ticket, note.work);
        self.core.work_changed.notify_one();
        if note.cold {
            return;
        }
        let took = now.saturating_duration_since(self.sent_at);
        let (tokens, tokens_ahead) = (note.work.tokens, note.ahead);
        let model = replicas.model(&self.service);
        let expected =
            model.expected_time(tokens) + model.queue_time(tokens_ahead, note.urgent) + note.queue;
        model.learn(ModelSample {
            tokens,
            tokens_ahead,
            queue: note.queue,
            urgent: note.urgent,
            took,
        });
        if let Some(belief) = replicas.get_mut(&note.replica) {
            belief.note_latency(expected, took);
        }
    }

    /// Notes that the answer is whole and gives the channel back.
    pub(crate) fn finish(mut self, good: bool) {
        self.note_health(good);
        self.give_back();
    }

    /// Gives a channel back on which nothing was sent.
    pub(crate) fn give_back(&mut self) {
        if let Some(channel) = self.channel.take() {
            self.core.pool.give(self.address, channel, Instant::now());
        }
    }

    /// Notes a failure of the replica.
    pub(crate) fn fail(&self) {
        self.note_health(false);
    }

    fn note_health(&self, good: bool) {
        let Some(note) = &self.note else {
            return;
        };
        let now = Instant::now();
        let mut replicas = self.core.replicas.borrow_mut();
        let Some(belief) = replicas.replica_for_ticket(&note.replica, note.ticket) else {
            return;
        };
        if !good {
            belief.health.note_failure(now);
            return;
        }
        belief.health.note_success(now);
        let held = now.saturating_duration_since(self.sent_at);
        replicas.model(&self.service).learn_slot_time(held);
    }

    /// Gives the belief of the replica's life that works on the request, to change.
    pub(crate) fn with_replica(&self, change: impl FnOnce(&mut ReplicaState)) {
        let Some(note) = &self.note else {
            return;
        };
        let mut replicas = self.core.replicas.borrow_mut();
        if let Some(belief) = replicas.replica_for_ticket(&note.replica, note.ticket) {
            change(belief);
        }
    }

    /// Tells whether the replica has gone silent on everything that this node has there, or has started
    /// again since.
    pub(crate) fn is_suspect(&self) -> bool {
        let Some(note) = &self.note else {
            return false;
        };
        let mut replicas = self.core.replicas.borrow_mut();
        replicas
            .replica_for_ticket(&note.replica, note.ticket)
            .is_none_or(|belief| belief.health.is_suspect(Instant::now()))
    }

    /// Gives when the request was sent.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Gives how long the request has been where it was sent.
    pub(crate) fn ran(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Logs that the channel broke off under the request, and what this node had on the replica.
    pub(crate) fn log_break(&self, call: &ReceivedCall, reason: &str) {
        let Some(note) = &self.note else {
            return;
        };
        let own = {
            let replicas = self.core.replicas.borrow();
            replicas.get(&note.replica).map(|belief| belief.local_work)
        };
        self.core.log.write(
            "channel-broke",
            serde_json::json!({"request": call.attempt, "content": call.content_text(),
                "replica": note.replica, "reason": reason, "began": note.first_seen,
                "ran_ms": self.ran().as_millis() as u64,
                "own_requests": own.map(|work| work.requests)}),
        );
    }

    /// Gives the address that the request went to.
    pub(crate) fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Gives the replica, where the request went to one.
    pub(crate) fn replica(&self) -> Option<&ReplicaId> {
        self.note.as_ref().map(|note| &note.replica)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if self.channel.take().is_some() {
            self.core.pool.lose(self.address);
        }
        let Some(note) = &self.note else {
            return;
        };
        self.core.replicas.borrow_mut().note_ended(
            &note.replica,
            note.ticket,
            note.work,
            note.first_seen,
        );
        self.core.work_changed.notify_one();
    }
}
