//! Persistence of quarantined requests and prompt parts in the platform's store.
//!
//! Failure: all nodes lose power and with it their state, and what had crashed replicas crashes three
//! more. Therefore each node that saw one of these crashes stores the digest under a lease that expires
//! with the quarantine, and two nodes of each region read these keys at start. Nodes share the result
//! by gossip; no node watches the keys.

use crate::core::EntryCore;
use crate::decision_log::unix_millis;
use crate::nodes::roles::holds_role;
use crate::replicas::part_quarantine::apply_part_updates;
use crate::replicas::quarantine::UpdateSource;
use crate::replicas::quarantine::apply_suspects;
use crate::request::received::content_text;
use crate::request::received::part_text;
use crate::store::updates::reject_items;
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
use zinniahatch_route::AnswerAges;
use zinniahatch_route::PartUpdate;
use zinniahatch_route::ReportedCrash;
use zinniahatch_route::ReportedPartCrash;
use zinniahatch_route::ScopedPart;
use zinniahatch_route::SuspectUpdate;

/// Prefix of the keys of requests and parts, which are listed in one call.
const LIST_PREFIX: &str = "zinniahatch/quarantine";
/// Prefix of the keys of requests.
const REQUEST_PREFIX: &str = "zinniahatch/quarantine/";
/// Prefix of the keys of prompt parts.
const PART_PREFIX: &str = "zinniahatch/quarantined-parts/";
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

/// Stored form of a quarantined prompt part.
#[derive(Debug, Serialize, Deserialize)]
struct StoredPart {
    part: ScopedPart,
    crashes: Vec<StoredPartCrash>,
    callers: Vec<ShortTag>,
    companions: Vec<PromptPartId>,
}

/// Stored form of a replica crash while the part was there.
#[derive(Debug, Serialize, Deserialize)]
struct StoredPartCrash {
    /// The tag of the replica incarnation.
    replica: ShortTag,
    /// Time of the crash, in Unix milliseconds.
    at_ms: u64,
    /// How long answers on the part had been written there, if any had begun.
    answered_ms: Option<AnswerAges>,
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
    core.metrics.note_store("quarantine", error.name());
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
    let listing = core.store.stale_items(LIST_PREFIX, LIST_TIMEOUT).await?;
    core.metrics.note_store("quarantine", "listed");
    reject_items(core, &listing.rejected);
    let now = unix_millis();
    let mut updates = Vec::new();
    let mut part_updates = Vec::new();
    for item in listing.items {
        let read = if item.key.starts_with(PART_PREFIX) {
            serde_json::from_slice::<StoredPart>(&item.value)
                .map(|stored| part_updates.push(stored.to_update(now)))
        } else {
            serde_json::from_slice::<StoredSuspect>(&item.value)
                .map(|stored| updates.push(stored.to_update(now)))
        };
        if let Err(error) = read {
            reject_value(core, &item.key, &error.to_string());
        }
    }
    apply_suspects(core, &updates, UpdateSource::Store);
    apply_part_updates(core, &part_updates, UpdateSource::Store, false);
    Ok(())
}

async fn write_keys(core: &EntryCore) -> Result<(), KvError> {
    loop {
        let released = core.released_requests.borrow().last().copied();
        if let Some(content) = released {
            remove_key(core, &request_key(content)).await?;
            core.released_requests
                .borrow_mut()
                .retain(|other| *other != content);
            continue;
        }
        let released_part = core.released_parts.borrow().last().copied();
        if let Some(part) = released_part {
            remove_key(core, &part_key(part)).await?;
            core.released_parts
                .borrow_mut()
                .retain(|other| *other != part);
            continue;
        }
        let unpersisted = core.suspects.borrow().unpersisted(Instant::now());
        if let Some((update, left)) = unpersisted {
            let stored = StoredSuspect::from_update(&update, unix_millis());
            let key = request_key(update.content);
            store_value(core, &key, &stored, left).await?;
            core.suspects.borrow_mut().note_persisted(update.content);
            continue;
        }
        let unpersisted_part = core.part_suspects.borrow().unpersisted(Instant::now());
        let Some((update, left)) = unpersisted_part else {
            return Ok(());
        };
        let stored = StoredPart::from_update(&update, unix_millis());
        store_value(core, &part_key(update.part), &stored, left).await?;
        core.part_suspects.borrow_mut().note_persisted(update.part);
    }
}

async fn remove_key(core: &EntryCore, key: &str) -> Result<(), KvError> {
    let transaction = StoreTransaction::new().remove(key);
    core.store.commit(&transaction).await?;
    core.metrics.note_store("quarantine", "removed");
    Ok(())
}

async fn store_value(
    core: &EntryCore,
    key: &str,
    stored: &impl Serialize,
    left: Duration,
) -> Result<(), KvError> {
    let time = left.min(MAX_LEASE).max(core.settings.min_lease);
    let lease = core.store.grant(time).await?;
    let value = serde_json::to_vec(stored).unwrap_or_default();
    let transaction = StoreTransaction::new().set(key, &value, Some(lease));
    if core.store.commit(&transaction).await? == CommitOutcome::NoLease {
        return Err(KvError::NotExecuted("the lease has expired".into()));
    }
    core.metrics.note_store("quarantine", "kept");
    core.log.write(
        "quarantine-kept",
        serde_json::json!({"key": key, "for_ms": time.as_millis() as u64}),
    );
    Ok(())
}

/// Returns the age of a stored crash. If the system clock stepped back in the meantime, it counts as
/// of now.
fn age_ms(at_ms: u64, now: u64) -> u32 {
    u32::try_from(now.saturating_sub(at_ms)).unwrap_or(u32::MAX)
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

    fn to_update(&self, now: u64) -> SuspectUpdate {
        let crashes = self.ends.iter().map(|crash| ReportedCrash {
            replica: crash.replica,
            age_ms: age_ms(crash.at_ms, now),
            ran_ms: crash.ran_ms,
        });
        SuspectUpdate {
            content: self.content,
            crashes: crashes.collect(),
            cleared: None,
        }
    }
}

impl StoredPart {
    fn from_update(update: &PartUpdate, now: u64) -> Self {
        let crashes = update.crashes.iter().map(|crash| StoredPartCrash {
            replica: crash.replica,
            at_ms: now.saturating_sub(u64::from(crash.age_ms)),
            answered_ms: crash.answered_ms,
        });
        Self {
            part: update.part,
            crashes: crashes.collect(),
            callers: update.callers.clone(),
            companions: update.companions.clone(),
        }
    }

    fn to_update(&self, now: u64) -> PartUpdate {
        let crashes = self.crashes.iter().map(|crash| ReportedPartCrash {
            replica: crash.replica,
            age_ms: age_ms(crash.at_ms, now),
            answered_ms: crash.answered_ms,
        });
        PartUpdate {
            part: self.part,
            crashes: crashes.collect(),
            sound: None,
            cleared: Vec::new(),
            callers: self.callers.clone(),
            companions: self.companions.clone(),
        }
    }
}

fn request_key(content: ContentDigest) -> String {
    format!("{REQUEST_PREFIX}{}", content_text(content))
}

fn part_key(part: ScopedPart) -> String {
    format!("{PART_PREFIX}{}-{:08x}", part_text(part.id), part.scope)
}
