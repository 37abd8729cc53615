//! Recent checks of replicas' addresses, each shared by all requests that ask for it.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::OnceCell;
use zinniahatch_base::prelude::*;

/// One check, shared by all requests that ask for it together.
#[derive(Clone, Debug)]
struct AddressCheck {
    began: Instant,
    outcome: Rc<OnceCell<bool>>,
}

/// The most recent check of each address.
#[derive(Debug)]
pub(crate) struct AddressChecks {
    /// How long the result of a check is reused.
    reuse_period: Duration,
    recent: RefCell<BTreeMap<SocketAddrV4, AddressCheck>>,
}

impl AddressChecks {
    /// Creates an empty record of checks whose results are reused for a time.
    pub(crate) fn new(reuse_period: Duration) -> Self {
        Self {
            reuse_period,
            recent: RefCell::default(),
        }
    }

    /// Returns the check of an address if one is running or recent, or else starts one.
    pub(crate) fn check(&self, address: SocketAddrV4, now: Instant) -> Rc<OnceCell<bool>> {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|_, check| now.saturating_duration_since(check.began) <= self.reuse_period);
        let check = recent.entry(address).or_insert_with(|| AddressCheck {
            began: now,
            outcome: Rc::default(),
        });
        Rc::clone(&check.outcome)
    }
}
