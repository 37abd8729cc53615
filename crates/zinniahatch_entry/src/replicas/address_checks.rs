//! Recent checks whether a replica has crashed, shared by all requests that it interrupted.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::OnceCell;
use zinniahatch_base::prelude::*;

/// How long the result of a check is reused. When a replica crashes, all of a node's requests to it
/// break off within a few milliseconds, and one connection attempt answers for all of them.
const REUSE_PERIOD: Duration = Duration::from_millis(400);

/// One check, shared by all requests that were interrupted together.
#[derive(Clone, Debug)]
struct CrashCheck {
    began: Instant,
    refused: Rc<OnceCell<bool>>,
}

/// The most recent check of each address.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    recent: RefCell<BTreeMap<SocketAddrV4, CrashCheck>>,
}

impl CrashChecks {
    /// Returns the check of an address if one is running or recent, or else starts one.
    pub(crate) fn check(&self, address: SocketAddrV4, now: Instant) -> Rc<OnceCell<bool>> {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|_, check| now.saturating_duration_since(check.began) <= REUSE_PERIOD);
        let check = recent.entry(address).or_insert_with(|| CrashCheck {
            began: now,
            refused: Rc::default(),
        });
        Rc::clone(&check.refused)
    }
}
