//! Finding out whether a replica has ended when a channel to it breaks off.
//!
//! A channel breaks for many reasons: a replica that fails some requests resets them, links lose packets,
//! leaving replicas close what is idle. Only a machine without a listener refuses a connection, so that alone
//! counts as the end of the replica. Loss of power refuses nothing.

use crate::core::EntryCore;
use crate::replicas::quarantine::note_replica_end;
use crate::request::connection::BackendConnection;
use crate::request::connection::ConnectionError;
use crate::request::in_flight::InFlightRequest;
use crate::request::received::ReceivedRequest;
use std::net::SocketAddrV4;
use std::rc::Rc;
use zinniahatch_base::prelude::*;

/// Time for the connection; the refusal of a machine in the same region takes a millisecond, and streams
/// that broke off wait for it before they go on elsewhere.
const CHECK_TIME: Duration = Duration::from_millis(60);
/// Time for which a connection that was made is watched. A process that is about to end may still take one after
/// it has closed the others; the request that ended it went uncounted then, and what ran beside it was held.
const WATCH_TIME: Duration = Duration::from_millis(20);

/// Notes that a channel broke off under a request; where its replica has ended, the request is suspected.
pub(crate) async fn note_break(
    core: &Rc<EntryCore>,
    call: &ReceivedRequest,
    open: &InFlightRequest,
    reason: &str,
) {
    let Some(replica) = open.replica() else {
        return;
    };
    let ran = open.time_in_flight();
    open.log_break(call, reason);
    let life = {
        let replicas = core.replicas.borrow();
        // One that said that it leaves may end under its requests, none of which is the cause.
        let belief = replicas
            .get(replica)
            .filter(|belief| belief.leaving.is_none());
        belief.map(|belief| (belief.tag, belief.entry.address))
    };
    let Some((tag, address)) = life else {
        return;
    };
    let check = core.crash_checks.check(address, Instant::now());
    let refused = *check.get_or_init(|| is_refused(core, address)).await;
    if !refused {
        return;
    }
    open.update_replica(|belief| belief.health.note_unreachable(Instant::now()));
    note_replica_end(core, call, replica, tag, ran);
}

/// Tells whether nobody listens at an address, by a second connection where the first one ends at once.
async fn has_no_listener(address: SocketAddrV4) -> bool {
    match BackendConnection::connect(address, CHECK_TIME).await {
        Err(error) => error == ConnectionError::Refused,
        Ok(channel) if !channel.closes_within(WATCH_TIME).await => false,
        Ok(_) => {
            let again = BackendConnection::connect(address, CHECK_TIME).await;
            again.is_err_and(|error| error == ConnectionError::Refused)
        }
    }
}

async fn is_refused(core: &Rc<EntryCore>, address: SocketAddrV4) -> bool {
    let refused = has_no_listener(address).await;
    if refused {
        core.pool.close_idle(address);
        core.metrics.note_replica_end();
        core.log.write(
            "replica-ended",
            serde_json::json!({"address": address.to_string()}),
        );
    }
    refused
}
