//! Getting a slot: at once, after a wait, or in another data centre.

use crate::GatewayCore;
use crate::core::lock;
use crate::refusal::CallRefusal;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::sync::oneshot;
use zinniahatch_base::prelude::*;
use zinniahatch_control::Placement;
use zinniahatch_control::PlacementQuery;
use zinniahatch_control::SlotPermit;
use zinniahatch_protocol::EntryAddress;

/// A slot in use; given back when dropped.
pub(crate) struct SlotGuard {
    core: Arc<GatewayCore>,
    ticket: SlotPermit,
    refused: bool,
}

/// Where a request goes.
pub(crate) enum CallPlace {
    /// A slot of this data centre.
    Slot(SlotGuard),
    /// One of these nodes of another data centre.
    Away(DataCentreId, Vec<EntryAddress>),
}

/// What a request learns of its place.
type PlaceResult = Result<CallPlace, Box<CallRefusal>>;

/// Requests that wait for a decision of the tables.
#[derive(Default)]
pub(crate) struct WaiterTable {
    waiters: Mutex<BTreeMap<u64, oneshot::Sender<PlaceResult>>>,
}

impl SlotGuard {
    fn new(core: &Arc<GatewayCore>, ticket: SlotPermit) -> Self {
        Self {
            core: Arc::clone(core),
            ticket,
            refused: false,
        }
    }

    pub(crate) fn replica(&self) -> &ReplicaId {
        &self.ticket.replica
    }

    /// Notes that the backend server took no work, so the time says nothing about it.
    pub(crate) fn mark_refused(&mut self) {
        self.refused = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let wanted = self
            .core
            .control()
            .finish(Instant::now(), &self.ticket, self.refused);
        if wanted {
            self.core.wake.notify_one();
        }
    }
}

/// Takes a waiting request out of its queue when its caller goes away.
struct WaitGuard<'a> {
    core: &'a GatewayCore,
    service: &'a str,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if lock(&self.core.waiters.waiters)
            .remove(&self.number)
            .is_some()
        {
            self.core.control().withdraw(self.service, self.number);
        }
    }
}

/// Gets a place for a request.
pub(crate) async fn find_place(core: &Arc<GatewayCore>, ask: PlacementQuery) -> PlaceResult {
    let receiver = {
        let mut control = core.control();
        let placement = control.place(Instant::now(), &ask);
        if placement != Placement::Wait {
            drop(control);
            return convert(core, placement);
        }
        let (sender, receiver) = oneshot::channel();
        lock(&core.waiters.waiters).insert(ask.number, sender);
        receiver
    };
    core.wake.notify_one();
    let _guard = WaitGuard {
        core,
        service: &ask.service,
        number: ask.number,
    };
    match receiver.await {
        Ok(place) => place,
        Err(_) => Err(Box::new(CallRefusal::new(ResultCode::QueueFull))),
    }
}

/// Gets a slot of this data centre if one is free now, for a hedge.
pub(crate) fn find_now(core: &Arc<GatewayCore>, ask: &PlacementQuery) -> Option<SlotGuard> {
    let mut control = core.control();
    match control.place(Instant::now(), ask) {
        Placement::Run(ticket) => Some(SlotGuard::new(core, ticket)),
        Placement::Wait => {
            control.withdraw(&ask.service, ask.number);
            None
        }
        Placement::Remote(..) | Placement::Refuse(..) => None,
    }
}

impl GatewayCore {
    /// Hands the decisions of the tables to the requests that wait for them.
    pub fn hand_out(self: &Arc<Self>, decisions: Vec<(u64, Placement)>) {
        for (number, placement) in decisions {
            // Converted before the sender is looked up: a slot whose request has gone is then
            // dropped as a guard and so given back.
            let place = convert(self, placement);
            let sender = lock(&self.waiters.waiters).remove(&number);
            if let Some(sender) = sender {
                let _ = sender.send(place);
            }
        }
    }
}

fn convert(core: &Arc<GatewayCore>, placement: Placement) -> PlaceResult {
    match placement {
        Placement::Run(ticket) => Ok(CallPlace::Slot(SlotGuard::new(core, ticket))),
        Placement::Remote(data_centre, entries) => Ok(CallPlace::Away(data_centre, entries)),
        Placement::Refuse(code, after) => Err(Box::new(CallRefusal::retry_after(code, after))),
        Placement::Wait => Err(Box::new(CallRefusal::new(ResultCode::QueueFull))),
    }
}
