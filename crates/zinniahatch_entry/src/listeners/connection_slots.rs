//! How many connections each listener may have open, so that file descriptors are left for replicas, the store
//! and the other listeners.

use super::ListenerKind;
use crate::core::EntryCore;
use crate::request::ingress::RequestSource;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// File descriptors that are not for sockets.
const RESERVED_FILES: u32 = 200;
/// Parts of the other file descriptors that connections of callers, connections of other nodes and those to the
/// directory may take.
const FRONT_PART: f64 = 0.5;
const PEER_PART: f64 = 0.2;
const DIRECTORY_PART: f64 = 0.08;
/// Part of them for each of the other listeners.
const OTHER_PART: f64 = 0.02;

/// The connections that listeners may still accept.
#[derive(Debug)]
pub(crate) struct ConnectionSlots {
    front: Arc<Semaphore>,
    peer: Arc<Semaphore>,
    directory: Arc<Semaphore>,
    readiness: Arc<Semaphore>,
    control: Arc<Semaphore>,
}

impl ConnectionSlots {
    /// Divides the file descriptors of a process.
    pub(crate) fn new(open_files: u32) -> Self {
        let sockets = open_files - RESERVED_FILES.min(open_files / 2);
        let slots = |part| {
            let count = (f64::from(sockets) * part) as usize;
            Arc::new(Semaphore::new(count))
        };
        Self {
            front: slots(FRONT_PART),
            peer: slots(PEER_PART),
            directory: slots(DIRECTORY_PART),
            readiness: slots(OTHER_PART),
            control: slots(OTHER_PART),
        }
    }

    fn of_kind(&self, kind: ListenerKind) -> &Arc<Semaphore> {
        match kind {
            ListenerKind::Calls(RequestSource::Front) => &self.front,
            ListenerKind::Calls(RequestSource::Peer) => &self.peer,
            ListenerKind::Directory => &self.directory,
            ListenerKind::Readiness => &self.readiness,
            ListenerKind::Control => &self.control,
        }
    }
}

/// Waits until a listener may have another connection; returns its slot, or `None` if slots are no longer
/// given.
pub(super) async fn take_slot(
    core: &EntryCore,
    kind: ListenerKind,
) -> Option<OwnedSemaphorePermit> {
    let slots = core.connection_slots.of_kind(kind);
    if let Ok(slot) = Arc::clone(slots).try_acquire_owned() {
        return Some(slot);
    }
    core.metrics.callers.note_full(kind.name());
    core.log.write(
        "connections-full",
        serde_json::json!({"duty": format!("{kind:?}"), "stages": core.connections.stages()}),
    );
    Arc::clone(slots).acquire_owned().await.ok()
}
