//! Persistence of quarantined requests in the platform's store.
//!
//! Failure: all nodes lose power and with it their state, and the request that had crashed replicas
//! crashes three more. Therefore each node that saw one of these crashes stores the request's
//! digest under a lease that expires with the quarantine, and two nodes of each region read these
//! keys at start. Nodes share the result by gossip; no node watches the keys.

use crate::core::EntryCore;
use crate::decision_log::unix_millis;
use crate::nodes::roles::holds_role;
use crate::replicas::quarantine::UpdateSource;
use crate::replicas::quarantine::apply_suspects;
use crate::request::received::content_text;
use crate::store::updates::reject_value;
use crate::store::watch::wait_for_store;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreTransaction;
use zinniahatch_route::ReportedCrash;
use zinniahatch_route::SuspectUpdate;

/// Prefix of the keys.
const KEY_PREFIX: &str = "zinniahatch/quarantine/";
/// Time limit for listing these keys.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of nodes per region that read the keys at start; one of them may fail before it does. The
/// others learn the content by gossip within half a second, and each call to the store has a cost.
const KEY_READERS: usize = 2;
/// Role name that is hashed to rank these nodes.
const KEY_READER_ROLE: &str = "quarantine";
/// Interval between checks whether this node holds that role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(900);
/// Longest lease that the store grants.
const MAX_LEASE: Duration = Duration::from_secs(600);

/// Stored form of a quarantined request.
#[derive(Debug, Serialize, Deserialize)]
struct StoredSuspect {
    content: ContentDigest,
    ends: Vec<StoredCrash>,
}

/// Stored form of a replica crash.
#[derive(Debug, Serialize, Deserialize)]
struct StoredCrash {
    /// The tag of the replica incarnation.
    replica: ShortTag,
    /// Time of the crash, in Unix milliseconds.
    at_ms: u64,
    /// How long the first request with this content had run on the replica.
    ran_ms: u32,
}

/// Reads the keys once, if this node holds that role.
pub(crate) async fn run_quarantine_reader(core: Rc<EntryCore>) {
    while !holds_role(&core, KEY_READER_ROLE, KEY_READERS) {
        sleep(ROLE_CHECK_INTERVAL).await;
    }
    while let Err(error) = read_keys(&core).await {
        pause_after(&core, &error).await;
    }
}

/// Writes changes of this node's quarantine to the store until the process ends.
pub(crate) async fn run_quarantine_writer(core: Rc<EntryCore>) {
    let mut changes = core.quarantine_changed.subscribe();
    loop {
        // The sender lives as long as the process.
        let _ = changes.changed().await;
        while let Err(error) = write_keys(&core).await {
            pause_after(&core, &error).await;
        }
    }
}

async fn pause_after(core: &EntryCore, error: &KvError) {
    core.metrics.note_store("quarantine", "failed");
    core.log.write(
        "quarantine-not-kept",
        serde_json::json!({"error": error.to_string()}),
    );
    sleep(RETRY_PAUSE).await;
    wait_for_store(core).await;
}

async fn read_keys(core: &EntryCore) -> Result<(), KvError> {
    // A stale read costs a tenth of a current one and does not count towards the store's rate
    // limit; it may lag by seconds.
    let listing = core.store.stale_items(KEY_PREFIX, LIST_TIMEOUT).await?;
    core.metrics.note_store("quarantine", "listed");
    let now = unix_millis();
    let mut updates = Vec::new();
    for item in listing.items {
        match serde_json::from_slice::<StoredSuspect>(&item.value) {
            Ok(stored) => updates.push(stored.to_update(now)),
            Err(error) => reject_value(core, &format!("key `{}`: {error}", item.key)),
        }
    }
    apply_suspects(core, &updates, UpdateSource::Store);
    Ok(())
}

async fn write_keys(core: &EntryCore) -> Result<(), KvError> {
    loop {
        let released = core.released_requests.borrow().last().copied();
        if let Some(content) = released {
            let transaction = StoreTransaction::new().remove(&key_of(content));
            core.store.commit(&transaction).await?;
            core.metrics.note_store("quarantine", "removed");
            core.released_requests
                .borrow_mut()
                .retain(|other| *other != content);
            continue;
        }
        let unpersisted = core.suspects.borrow().unpersisted(Instant::now());
        let Some((update, left)) = unpersisted else {
            return Ok(());
        };
        store_suspect(core, &update, left).await?;
    }
}

async fn store_suspect(
    core: &EntryCore,
    update: &SuspectUpdate,
    left: Duration,
) -> Result<(), KvError> {
    let time = left.min(MAX_LEASE).max(core.settings.min_lease);
    let lease = core.store.grant(time).await?;
    let stored = StoredSuspect::from_update(update, unix_millis());
    let value = serde_json::to_vec(&stored).unwrap_or_default();
    let transaction = StoreTransaction::new().set(&key_of(update.content), &value, Some(lease));
    if core.store.commit(&transaction).await? == CommitOutcome::NoLease {
        return Err(KvError::NotExecuted("the lease has expired".into()));
    }
    core.metrics.note_store("quarantine", "kept");
    core.suspects.borrow_mut().note_persisted(update.content);
    core.log.write(
        "quarantine-kept",
        serde_json::json!({"content": content_text(update.content),
            "for_ms": time.as_millis() as u64}),
    );
    Ok(())
}

impl StoredSuspect {
    fn from_update(update: &SuspectUpdate, now: u64) -> Self {
        let crashes = update.crashes.iter().map(|crash| StoredCrash {
            replica: crash.replica,
            at_ms: now.saturating_sub(u64::from(crash.age_ms)),
            ran_ms: crash.ran_ms,
        });
        Self {
            content: update.content,
            ends: crashes.collect(),
        }
    }

    /// Converts to an update. If the system clock stepped back in the meantime, the crashes count
    /// as of now.
    fn to_update(&self, now: u64) -> SuspectUpdate {
        let crashes = self.ends.iter().map(|crash| ReportedCrash {
            replica: crash.replica,
            age_ms: u32::try_from(now.saturating_sub(crash.at_ms)).unwrap_or(u32::MAX),
            ran_ms: crash.ran_ms,
        });
        SuspectUpdate {
            content: self.content,
            crashes: crashes.collect(),
            cleared: None,
        }
    }
}

fn key_of(content: ContentDigest) -> String {
    format!("{KEY_PREFIX}{}", content_text(content))
}
