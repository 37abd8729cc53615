//! The last looks whether a replica has ended, each shared by all requests that broke off together.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::OnceCell;
use zinniahatch_base::prelude::*;

/// Time for which the outcome of a check counts: when a replica ends, all that a node had there breaks off
/// within a few ms, and one connection tells it for all.
const REUSE_TIME: Duration = Duration::from_millis(400);

/// One check, shared by all requests that broke off with it.
#[derive(Clone, Debug)]
struct EndCheck {
    began: Instant,
    refused: Rc<OnceCell<bool>>,
}

/// The last check of each address.
#[derive(Debug, Default)]
pub(crate) struct EndChecks {
    rows: RefCell<BTreeMap<SocketAddrV4, EndCheck>>,
}

impl EndChecks {
    /// Gives the check of an address that is under way or has just been made, or begins one.
    pub(crate) fn check(&self, address: SocketAddrV4, now: Instant) -> Rc<OnceCell<bool>> {
        let mut rows = self.rows.borrow_mut();
        rows.retain(|_, check| now.saturating_duration_since(check.began) <= REUSE_TIME);
        let check = rows.entry(address).or_insert_with(|| EndCheck {
            began: now,
            refused: Rc::default(),
        });
        Rc::clone(&check.refused)
    }
}
