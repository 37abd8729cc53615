//! Keys of quarantined requests in the platform's store.
//!
//! Failure: all nodes lose power, and with them what they know; the request that had ended replicas ends
//! three more. Each node that saw one of the ends keeps the content in the store, under a lease that lapses with
//! the quarantine, and two nodes of each region read these keys when they start. Nodes tell each other of what they
//! know; nobody watches the keys.

use crate::core::EntryCore;
use crate::decision_log::unix_millis;
use crate::nodes::duty::has_duty;
use crate::replicas::quarantine::NewsSource;
use crate::replicas::quarantine::hear_suspects;
use crate::request::received::content_text;
use crate::store::news::reject;
use crate::store::watch::wait_for_store;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreCommit;
use zinniahatch_route::ReportedCrash;
use zinniahatch_route::SuspectUpdate;

/// Start of the keys.
const PREFIX: &str = "zinniahatch/quarantine/";
/// Time for a listing of these keys.
const LIST_TIME: Duration = Duration::from_millis(1_500);
/// Nodes of a region that read the keys when they start; one of them may die before it does. The others hear of
/// them by the cards, within half a second, and each call to the store has its price.
const KEY_READERS: usize = 2;
/// The duty by which these are ranked.
const KEY_DUTY: &str = "quarantine";
/// Pause between looks whether this node has that duty.
const DUTY_LOOK: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_TIME: Duration = Duration::from_millis(900);
/// Longest lease that the store gives.
const LONGEST_LEASE: Duration = Duration::from_secs(600);

/// What a key says.
#[derive(Debug, Serialize, Deserialize)]
struct KeptSuspect {
    content: ContentDigest,
    ends: Vec<KeptEnd>,
}

/// The end of a replica as a key says it.
#[derive(Debug, Serialize, Deserialize)]
struct KeptEnd {
    /// The tag of the replica's life.
    replica: ShortTag,
    /// When it ended, in Unix milliseconds.
    at_ms: u64,
    /// How long the first request of the content had been there.
    ran_ms: u32,
}

/// Reads the keys once, where that falls to this node.
pub(crate) async fn run_key_reader(core: Rc<EntryCore>) {
    while !has_duty(&core, KEY_DUTY, KEY_READERS) {
        sleep(DUTY_LOOK).await;
    }
    while let Err(error) = read_keys(&core).await {
        pause_after(&core, &error).await;
    }
}

/// Keeps what this node holds in the store, until the process ends.
pub(crate) async fn run_key_writer(core: Rc<EntryCore>) {
    let mut changes = core.quarantined.subscribe();
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
    sleep(RETRY_TIME).await;
    wait_for_store(core).await;
}

async fn read_keys(core: &EntryCore) -> Result<(), KvError> {
    // A read that may be seconds old costs a tenth and does not count towards the store's rate.
    let listing = core.store.old_items(PREFIX, LIST_TIME).await?;
    core.metrics.note_store("quarantine", "listed");
    let now = unix_millis();
    let mut news = Vec::new();
    for item in listing.items {
        match serde_json::from_slice::<KeptSuspect>(&item.value) {
            Ok(kept) => news.push(kept.news(now)),
            Err(error) => reject(core, &format!("key `{}`: {error}", item.key)),
        }
    }
    hear_suspects(core, &news, NewsSource::Store);
    Ok(())
}

async fn write_keys(core: &EntryCore) -> Result<(), KvError> {
    loop {
        let released = core.released.borrow().last().copied();
        if let Some(content) = released {
            let commit = StoreCommit::new().remove(&key_of(content));
            core.store.commit(&commit).await?;
            core.metrics.note_store("quarantine", "removed");
            core.released.borrow_mut().retain(|other| *other != content);
            continue;
        }
        let unkept = core.suspects.borrow().unpersisted(Instant::now());
        let Some((news, left)) = unkept else {
            return Ok(());
        };
        keep(core, &news, left).await?;
    }
}

async fn keep(core: &EntryCore, news: &SuspectUpdate, left: Duration) -> Result<(), KvError> {
    let time = left.min(LONGEST_LEASE).max(core.settings.lease_least);
    let lease = core.store.grant(time).await?;
    let kept = KeptSuspect::of(news, unix_millis());
    let value = serde_json::to_vec(&kept).unwrap_or_default();
    let commit = StoreCommit::new().set(&key_of(news.content), &value, Some(lease));
    if core.store.commit(&commit).await? == CommitOutcome::NoLease {
        return Err(KvError::NotDone("the lease has lapsed".into()));
    }
    core.metrics.note_store("quarantine", "kept");
    core.suspects.borrow_mut().note_persisted(news.content);
    core.log.write(
        "quarantine-kept",
        serde_json::json!({"content": content_text(news.content),
            "for_ms": time.as_millis() as u64}),
    );
    Ok(())
}

impl KeptSuspect {
    fn of(news: &SuspectUpdate, now: u64) -> Self {
        let ends = news.crashes.iter().map(|end| KeptEnd {
            replica: end.replica,
            at_ms: now.saturating_sub(u64::from(end.age_ms)),
            ran_ms: end.ran_ms,
        });
        Self {
            content: news.content,
            ends: ends.collect(),
        }
    }

    /// Gives it as news. Where the time of day stepped back meanwhile the ends count as of now.
    fn news(&self, now: u64) -> SuspectUpdate {
        let ends = self.ends.iter().map(|end| ReportedCrash {
            replica: end.replica,
            age_ms: u32::try_from(now.saturating_sub(end.at_ms)).unwrap_or(u32::MAX),
            ran_ms: end.ran_ms,
        });
        SuspectUpdate {
            content: self.content,
            crashes: ends.collect(),
            cleared: None,
        }
    }
}

fn key_of(content: ContentDigest) -> String {
    format!("{PREFIX}{}", content_text(content))
}
