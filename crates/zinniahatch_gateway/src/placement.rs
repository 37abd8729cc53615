//! Waits for a placement: a slot of this data centre, or a node of another one.

use crate::GatewayCore;
use crate::core::lock;
use crate::refusal::Refusal;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::sync::oneshot;
use zinniahatch_base::prelude::*;
use zinniahatch_control::Placement;
use zinniahatch_control::PlacementQuery;
use zinniahatch_control::SlotPermit;
use zinniahatch_protocol::EntryAddress;

/// A slot in use, which is released when the guard is dropped.
pub(crate) struct SlotGuard {
    core: Arc<GatewayCore>,
    permit: SlotPermit,
    refused: bool,
}

/// Where a request is sent.
pub(crate) enum Assignment {
    /// A slot of this data centre.
    Slot(SlotGuard),
    /// Entry VMs of another data centre, to be tried in order.
    Remote(DataCentreId, Vec<EntryAddress>),
}

/// Result of waiting for an assignment.
type AssignmentResult = Result<Assignment, Box<Refusal>>;

/// Requests that wait for a placement decision.
#[derive(Default)]
pub(crate) struct WaiterTable {
    waiters: Mutex<BTreeMap<u64, oneshot::Sender<AssignmentResult>>>,
}

impl SlotGuard {
    fn new(core: &Arc<GatewayCore>, permit: SlotPermit) -> Self {
        Self {
            core: Arc::clone(core),
            permit,
            refused: false,
        }
    }

    pub(crate) fn replica(&self) -> &ReplicaId {
        &self.permit.replica
    }

    /// Marks that the backend server did not accept the request, so that its duration is not used
    /// as a measurement.
    pub(crate) fn mark_refused(&mut self) {
        self.refused = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let wanted = self
            .core
            .control()
            .finish(Instant::now(), &self.permit, self.refused);
        if wanted {
            self.core.wake.notify_one();
        }
    }
}

/// Removes a waiting request from its queue when its caller disconnects.
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

/// Waits until a request is assigned or refused.
pub(crate) async fn wait_for_assignment(
    core: &Arc<GatewayCore>,
    query: PlacementQuery,
) -> AssignmentResult {
    let receiver = {
        let mut control = core.control();
        let placement = control.place(Instant::now(), &query);
        if placement != Placement::Wait {
            drop(control);
            return to_assignment(core, placement);
        }
        let (sender, receiver) = oneshot::channel();
        lock(&core.waiters.waiters).insert(query.number, sender);
        receiver
    };
    core.wake.notify_one();
    let _guard = WaitGuard {
        core,
        service: &query.service,
        number: query.number,
    };
    match receiver.await {
        Ok(assignment) => assignment,
        Err(_) => Err(Box::new(Refusal::new(ResultCode::QueueFull))),
    }
}

/// Takes a slot of this data centre for a hedge if one is free now.
pub(crate) fn try_assign_now(core: &Arc<GatewayCore>, query: &PlacementQuery) -> Option<SlotGuard> {
    let mut control = core.control();
    match control.place(Instant::now(), query) {
        Placement::Run(permit) => Some(SlotGuard::new(core, permit)),
        Placement::Wait => {
            control.withdraw(&query.service, query.number);
            None
        }
        Placement::Remote(..) | Placement::Refuse(..) => None,
    }
}

impl GatewayCore {
    /// Delivers placement placements to the requests that wait for them.
    pub fn deliver_placements(self: &Arc<Self>, placements: Vec<(u64, Placement)>) {
        for (number, placement) in placements {
            // Converted before the sender is looked up: the slot of an abandoned request is then
            // dropped as a guard and thereby returned.
            let assignment = to_assignment(self, placement);
            let sender = lock(&self.waiters.waiters).remove(&number);
            if let Some(sender) = sender {
                let _ = sender.send(assignment);
            }
        }
    }
}

fn to_assignment(core: &Arc<GatewayCore>, placement: Placement) -> AssignmentResult {
    match placement {
        Placement::Run(permit) => Ok(Assignment::Slot(SlotGuard::new(core, permit))),
        Placement::Remote(data_centre, entries) => Ok(Assignment::Remote(data_centre, entries)),
        Placement::Refuse(code, after) => Err(Box::new(Refusal::retry_after(code, after))),
        Placement::Wait => Err(Box::new(Refusal::new(ResultCode::QueueFull))),
    }
}
