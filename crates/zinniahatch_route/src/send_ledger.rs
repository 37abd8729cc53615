//! The sends of one request that replicas may have received, and those charged to a retry budget.
//!
//! The first send of a request is free. Every further one is charged to the retry budget of the node
//! that the caller is connected to, before it is sent. A node to which the request was forwarded
//! reports the sends that it did not charge itself.

use crate::retry_budget::RetryBudget;
use crate::retry_budget::RetryCharge;
use zinniahatch_base::prelude::*;

/// Account of the sends of one request.
#[derive(Debug, Default)]
pub struct SendLedger {
    /// Sends that a replica may have received and that no budget was charged for.
    uncharged: u32,
    /// A charge for the next send.
    charge: Option<RetryCharge>,
}

impl SendLedger {
    /// Returns whether the next send must be charged.
    pub fn needs_charge(&self) -> bool {
        self.uncharged > 0 && self.charge.is_none()
    }

    /// Charges the next send; returns whether the budget allows that.
    pub fn charge_send(&mut self, budget: &mut RetryBudget, now: Instant) -> bool {
        if self.needs_charge() {
            self.charge = budget.try_take(now);
        }
        !self.needs_charge()
    }

    /// Records sends that replicas may have received. The first of them uses up the charge.
    ///
    /// Returns how many of them are neither charged nor the free first send of the request.
    pub fn record_received(&mut self, sends: u32) -> u32 {
        let charged = u32::from(sends > 0 && self.charge.take().is_some());
        let before = self.uncharged.max(1);
        self.uncharged = self.uncharged.saturating_add(sends - charged);
        self.uncharged.saturating_sub(before)
    }

    /// Returns whether a charge was taken for a send that is still to come.
    pub fn has_charge(&self) -> bool {
        self.charge.is_some()
    }

    /// Gives back the charge of a send that no replica received, after the last send.
    pub fn return_charge(&mut self, budget: &mut RetryBudget) {
        if let Some(charge) = self.charge.take() {
            budget.give_back(charge);
        }
    }

    /// Returns the sends that no budget was charged for, including the free first one.
    pub fn uncharged(&self) -> u32 {
        self.uncharged
    }
}
