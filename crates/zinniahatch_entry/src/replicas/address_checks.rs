//! Recent checks of replicas' addresses, each shared by all requests that ask for it.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::OnceCell;
use zinniahatch_base::prelude::*;

/// How long the result of a check is reused. When a replica crashes or falls silent, all of a node's
/// requests to it notice within a few milliseconds, and one connection attempt answers for all.
const REUSE_PERIOD: Duration = Duration::from_millis(400);

/// One check, shared by all requests that ask for it together.
#[derive(Clone, Debug)]
struct AddressCheck {
    began: Instant,
    outcome: Rc<OnceCell<bool>>,
}

/// The most recent check of each address.
#[derive(Debug, Default)]
pub(crate) struct AddressChecks {
    recent: RefCell<BTreeMap<SocketAddrV4, AddressCheck>>,
}

impl AddressChecks {
    /// Returns the check of an address if one is running or recent, or else starts one.
    pub(crate) fn check(&self, address: SocketAddrV4, now: Instant) -> Rc<OnceCell<bool>> {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|_, check| now.saturating_duration_since(check.began) <= REUSE_PERIOD);
        let check = recent.entry(address).or_insert_with(|| AddressCheck {
            began: now,
            outcome: Rc::default(),
        });
        Rc::clone(&check.outcome)
    }
}
