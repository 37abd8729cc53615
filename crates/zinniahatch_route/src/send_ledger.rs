//! The sends of one request that replicas may have received, and those charged to a retry budget.
//!
//! The first send of a request is free. Every further one is charged to the retry budget of the node
//! that the caller is connected to. A node to which the request was forwarded reports the sends that
//! it did not charge itself.

use crate::budget::RetryCharge;

/// Account of the sends of one request.
#[derive(Debug, Default)]
pub struct SendLedger {
    /// Sends that a replica may have received and that no budget was charged for.
    uncharged: u32,
    /// A charge for the next send.
    charge: Option<RetryCharge>,
}

impl SendLedger {
    /// Records sends that replicas may have received. The first of them uses up the charge.
    pub fn record_received(&mut self, sends: u32) {
        let charged = u32::from(sends > 0 && self.charge.take().is_some());
        self.uncharged = self.uncharged.saturating_add(sends - charged);
    }

    /// Records a charge for the next send.
    pub fn record_charge(&mut self, charge: RetryCharge) {
        self.charge = Some(charge);
    }

    /// Returns the sends that no budget was charged for, including the free first one.
    pub fn uncharged(&self) -> u32 {
        self.uncharged
    }
}
