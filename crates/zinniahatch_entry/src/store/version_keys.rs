//! Keeps in the platform's store at which software versions streams of each region may have begun.
//!
//! Failure: all nodes of a region end at once, and with them the memory of which version began each
//! stream; or a node stood still or was cut off, and takes the version that it knows for the only one.
//! A stream therefore begins at a version only once the record of the region names it, and a node
//! concludes that there is no other version only from a read that it sent after it was asked.

use crate::core::EntryCore;
use crate::nodes::roles::holds_role;
use crate::store::updates::reject_items;
use crate::store::updates::reject_value;
use crate::store::watch::wait_for_store;
use crate::store::watch_topic::WatchTopic;
use std::rc::Rc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreItem;
use zinniahatch_platform::StoreTransaction;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::VersionRecord;
use zinniahatch_route::sole_recorded;

/// Prefix of the keys, one for each region.
const KEY_PREFIX: &str = "zinniahatch/versions/";
/// Role name that is hashed to choose the node that writes.
const WRITER_ROLE: &str = "versions";
/// Interval between comparisons with what was written.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a node that is not the writer records a version by itself. It is shorter than the
/// time for which streams avoid a new version while another one serves.
const WRITER_WAIT: Duration = Duration::from_secs(1);
/// Interval at which the writer reads the record again, since other nodes may add to it.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(900);
/// Time limit of a read on which a caller waits.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two reads on which callers wait, so that many of them share one.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a stream waits until a version that serves is recorded.
const RECORD_WAIT: Duration = Duration::from_secs(1);

/// The last read of the records of all regions.
#[derive(Debug, Default)]
pub(crate) struct RecordRead {
    sent: Option<Instant>,
    /// Era of the store and the records; `None` if the read failed.
    found: Option<(u64, BTreeMap<RegionId, VersionRecord>)>,
}

/// What this node has done about the record of its region.
#[derive(Debug, Default)]
struct RecordKeeper {
    /// The record as this node last read or wrote it, and when.
    known: Option<(VersionRecord, Instant)>,
    /// Since when the record lacks a version that serves.
    lacking_since: Option<Instant>,
    /// Versions to be removed once the replicas are known up to a revision, at which the store was
    /// after the streams of these versions had ended.
    to_remove: Option<(StoreRevision, BTreeSet<StreamOrigin>)>,
}

/// Reads and writes the record of the own region until the process ends.
pub(crate) async fn run_version_keeper(core: Rc<EntryCore>) {
    let mut keeper = RecordKeeper::default();
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.record_wanted.notified() => {}
        }
        if let Err(error) = keeper.check(&core).await {
            core.metrics.note_store("versions", error.name());
            core.log.write(
                "versions-not-kept",
                serde_json::json!({"error": error.to_string()}),
            );
            keeper.known = None;
            sleep(RETRY_PAUSE).await;
            wait_for_store(&core).await;
        }
    }
}

impl RecordKeeper {
    /// Compares the versions with the record, and reads or writes it if that is due.
    async fn check(&mut self, core: &EntryCore) -> Result<(), KvError> {
        let now = Instant::now();
        let keep = core.longest_stream.get().limit();
        let is_writer = holds_role(core, WRITER_ROLE, 1);
        let is_old = |(_, at): &(_, Instant)| now.saturating_duration_since(*at) >= REREAD_INTERVAL;
        if !is_writer || self.known.as_ref().is_some_and(is_old) {
            self.known = None;
        }
        let (wants_stored, lacks, none, outdated, removes) = {
            let mut versions = core.versions.borrow_mut();
            versions.note_era(core.store.eras().borrow().unwrap_or_default());
            let (era, recorded) = versions.recorded();
            let outdated = self.known.as_ref().is_none_or(|(record, _)| {
                versions.merged_record(Some(record), era, keep, now) != *record || record.era != era
            });
            (
                versions.wants_stored(keep, now),
                versions.lacks_record(),
                recorded.is_empty(),
                outdated,
                !versions.removable(keep, now).is_empty(),
            )
        };
        if !lacks {
            self.lacking_since = None;
        }
        let waited = lacks
            && now.saturating_duration_since(*self.lacking_since.get_or_insert(now)) >= WRITER_WAIT;
        let writes = is_writer || none || waited;
        if !removes || !is_writer {
            self.to_remove = None;
        }
        let may_remove = self.is_confirmed(core);
        let begins_removal = removes && is_writer && self.to_remove.is_none();
        let due = (is_writer && outdated) || (lacks && writes) || may_remove || begins_removal;
        if wants_stored || due {
            self.sync(core, writes && due, may_remove).await?;
        }
        Ok(())
    }

    /// Returns whether the replicas are known up to the revision at which versions may be removed.
    fn is_confirmed(&self, core: &EntryCore) -> bool {
        // A node that relies on the store readers of its region reads nothing itself.
        let covered = core.covered(WatchTopic::Replicas);
        let reached = core.replicas_revision.get().max(covered);
        let wanted = self.to_remove.as_ref().map(|(wanted, _)| *wanted);
        wanted.is_some_and(|wanted| reached.is_some_and(|reached| reached >= wanted))
    }

    /// Reads the record of the own region, and writes it if it lacks something and `writes` allows it.
    async fn sync(
        &mut self,
        core: &EntryCore,
        writes: bool,
        may_remove: bool,
    ) -> Result<(), KvError> {
        let key = key_of(core);
        let keep = core.longest_stream.get().limit();
        let absent = core.versions.borrow().removable(keep, Instant::now());
        let listing = core.store.items(&key, READ_TIMEOUT).await?;
        core.metrics.note_store("versions", "read");
        let era = listing.revision.era;
        let item = listing.items.iter().find(|item| *item.key == *key);
        let stored = item.and_then(|item| parse_record(core, item));
        let stored = stored.filter(|record| record.era == era);
        core.log.write(
            "versions-read",
            serde_json::json!({"record": stored, "revision": listing.revision}),
        );
        let now = Instant::now();
        let mut rejected = listing.rejected.iter();
        let undecoded = rejected.find(|item| item.key.as_deref() == Some(&*key));
        reject_items(core, &listing.rejected);
        let is_first = item.is_none() && undecoded.is_none();
        let (wanted, removed) = {
            let mut versions = core.versions.borrow_mut();
            versions.note_era(era);
            if let Some(record) = &stored {
                versions.note_read(record, now);
            }
            let complete = stored.as_ref().filter(|record| record.complete);
            let listed = complete.map(|record| record.versions.iter().copied().collect());
            versions.note_stored(listed);
            let mut wanted = versions.merged_record(stored.as_ref(), era, keep, now);
            if stored.is_none() && !is_first {
                // What was written before the store was restored, or cannot be read, may be missing.
                wanted.complete = versions.has_followed(keep, now);
            }
            let mut removed = BTreeSet::new();
            if let Some((_, confirmed)) = self.to_remove.take().filter(|_| may_remove) {
                removed = versions.removable(keep, now);
                removed.retain(|origin| confirmed.contains(origin));
            }
            wanted.versions.retain(|origin| !removed.contains(origin));
            (wanted, removed)
        };
        core.record_learned.notify_waiters();
        if !may_remove && !absent.is_empty() {
            self.to_remove = Some((listing.revision, absent));
        }
        if stored.as_ref() == Some(&wanted) {
            self.known = Some((wanted, now));
            return Ok(());
        }
        // Without a desired state no stream begins, and it is not known what may be removed.
        if !writes || keep.is_none() {
            return Ok(());
        }
        let written_at = item.map(|item| item.revision);
        let written_at = written_at.or(undecoded.map(|item| item.revision));
        let revision = written_at.unwrap_or_default();
        if write_record(core, &wanted, revision).await? == CommitOutcome::Conflict {
            self.known = None;
            return Ok(());
        }
        let kind = if wanted.complete {
            "versions-kept"
        } else {
            "versions-added"
        };
        core.log.write(
            kind,
            serde_json::json!({"versions": wanted.versions, "removed": removed, "era": era}),
        );
        let named = wanted.versions.iter().copied();
        core.versions.borrow_mut().note_recorded(era, named);
        core.record_learned.notify_waiters();
        self.known = Some((wanted, now));
        Ok(())
    }
}

fn key_of(core: &EntryCore) -> String {
    format!("{KEY_PREFIX}{}", core.settings.region)
}

/// Parses a record; `None` if it cannot be read.
fn parse_record(core: &EntryCore, item: &StoreItem) -> Option<VersionRecord> {
    match serde_json::from_slice(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            reject_value(core, &item.key, &error.to_string());
            None
        }
    }
}

async fn write_record(
    core: &EntryCore,
    record: &VersionRecord,
    revision: StoreRevision,
) -> Result<CommitOutcome, KvError> {
    let key = key_of(core);
    let value = serde_json::to_vec(record).unwrap_or_default();
    let transaction = StoreTransaction::new()
        .expect(&key, revision)
        .set(&key, &value, None);
    let outcome = core.store.commit(&transaction).await?;
    let written = match outcome {
        CommitOutcome::Conflict => "conflict",
        _ => "written",
    };
    core.metrics.note_store("versions", written);
    Ok(outcome)
}

/// Returns the only version of a service at which a stream can have begun before this call, by a read
/// of the records of all regions that is sent after it; `None` if that does not show it.
pub(crate) async fn read_sole_version(core: &EntryCore, service: ShortTag) -> Option<StreamOrigin> {
    let asked = Instant::now();
    let mut read = core.record_read.lock().await;
    if read.sent.is_none_or(|sent| sent <= asked) {
        if let Some(sent) = read.sent {
            sleep_until((sent + READ_INTERVAL).into()).await;
        }
        read.sent = Some(Instant::now());
        read.found = None;
        read.found = read_records(core).await;
    }
    let age = read.sent.map(|sent| sent.elapsed());
    let (era, records) = read.found.as_ref()?;
    let regions: BTreeSet<&RegionId> = core.settings.regions.values().collect();
    let sole = sole_recorded(records, regions.into_iter(), service, *era);
    core.log.write(
        "sole-version",
        serde_json::json!({"service": service, "origin": sole, "era": era, "records": records,
            "age_ms": age.map(|age| age.as_millis() as u64)}),
    );
    sole
}

/// Reads the records of all regions, and the era of the store.
async fn read_records(core: &EntryCore) -> Option<(u64, BTreeMap<RegionId, VersionRecord>)> {
    let listing = match core.store.items(KEY_PREFIX, READ_TIMEOUT).await {
        Ok(listing) => listing,
        Err(error) => {
            core.metrics.note_store("versions", error.name());
            core.log.write(
                "versions-not-read",
                serde_json::json!({"error": error.to_string()}),
            );
            return None;
        }
    };
    core.metrics.note_store("versions", "read");
    let mut records = BTreeMap::new();
    for item in &listing.items {
        let region = item.key.strip_prefix(KEY_PREFIX);
        if let Some((region, record)) = region.zip(parse_record(core, item)) {
            records.insert(region.into(), record);
        }
    }
    Some((listing.revision.era, records))
}

/// Waits until a version of a service that serves here is recorded, if none is yet.
pub(crate) async fn wait_for_record(core: &EntryCore, service: ShortTag, deadline: Instant) {
    let until = deadline.min(Instant::now() + RECORD_WAIT);
    loop {
        let learned = core.record_learned.notified();
        if !lacks_recorded(core, service) {
            return;
        }
        core.record_wanted.notify_one();
        tokio::select! {
            () = learned => {}
            () = sleep_until(until.into()) => {
                core.metrics.streams.note_unrecorded();
                core.log.write(
                    "versions-unrecorded",
                    serde_json::json!({"service": service, "waited_ms": RECORD_WAIT.as_millis() as u64}),
                );
                return;
            }
        }
    }
}

/// Returns whether replicas of a service serve here, and no version of them is recorded.
fn lacks_recorded(core: &EntryCore, service: ShortTag) -> bool {
    let versions = core.versions.borrow();
    let (_, recorded) = versions.recorded();
    let replicas = core.replicas.borrow();
    let mut serves = false;
    for state in replicas.rows() {
        if state.origin.service != service || state.leaving.is_some() {
            continue;
        }
        if recorded.contains(&state.origin) {
            return false;
        }
        serves = true;
    }
    serves
}
