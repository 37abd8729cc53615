//! Keeps in the platform's store what began streams while their service has several versions.
//!
//! Failure: all nodes end at once, and with them the memory of which version began each stream.

use crate::core::EntryCore;
use crate::store::updates::reject_items;
use crate::store::updates::reject_value;
use crate::store::watch::wait_for_store;
use std::rc::Rc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreLeaseId;
use zinniahatch_platform::StoreListing;
use zinniahatch_platform::StoreTransaction;
use zinniahatch_route::StreamBatch;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::recorded_origin;
use zinniahatch_route::shard_of;

/// Prefix of the keys, which go on with the part of the streams and the name of the batch.
const KEY_PREFIX: &str = "zinniahatch/streams/";
/// Interval between writes; streams that are younger do not outlive all nodes.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a lease is granted beyond that of the first batch, so that later ones share it.
const LEASE_SLACK: Duration = Duration::from_secs(10);
/// Longest lease that the store grants.
const MAX_LEASE: Duration = Duration::from_secs(600);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(900);
/// Time limit of each page of a read on which a caller waits.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of all pages of a read, for which other callers wait too.
const READ_LIMIT: Duration = Duration::from_secs(2);
/// Time between two reads of a part, so that many callers share one.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a read is kept for later callers.
const KEEP_TIME: Duration = Duration::from_secs(10);

/// The last read of a part of the streams.
#[derive(Debug, Default)]
pub(crate) struct StreamRead {
    /// When the last read was begun, also one on which its caller did not wait to the end.
    tried: Option<Instant>,
    sent: Option<Instant>,
    era: u64,
    batches: Vec<StreamBatch>,
}

/// What a node needs to write batches.
#[derive(Debug, Default)]
struct StreamRecorder {
    /// The lease of the last batches, and a time at which it has not ended.
    lease: Option<(StoreLeaseId, Instant)>,
    /// Number of batches written.
    written: u64,
}

/// Writes the streams that this node was told of until the process ends.
pub(crate) async fn run_stream_recorder(core: Rc<EntryCore>) {
    let mut recorder = StreamRecorder::default();
    let mut ticks = interval(WRITE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        drop_old_reads(&core);
        let now = Instant::now();
        let Some((batches, left)) = core.record_outbox.borrow_mut().take(now) else {
            continue;
        };
        if let Err(error) = recorder.write(&core, &batches, left).await {
            core.metrics.note_store("streams", error.name());
            core.log.write(
                "streams-not-recorded",
                serde_json::json!({"error": error.to_string()}),
            );
            recorder.lease = None;
            let left = left.saturating_sub(now.elapsed());
            let outbox = &core.record_outbox;
            outbox.borrow_mut().put_back(&batches, left, Instant::now());
            sleep(RETRY_PAUSE).await;
            wait_for_store(&core).await;
        }
    }
}

impl StreamRecorder {
    async fn write(
        &mut self,
        core: &EntryCore,
        batches: &BTreeMap<u8, StreamBatch>,
        left: Duration,
    ) -> Result<(), KvError> {
        let lease = self.lease_for(core, left).await?;
        let name = core.origin();
        let mut transaction = StoreTransaction::new();
        let mut streams = 0;
        for (shard, batch) in batches {
            let batch = StreamBatch {
                era: lease.era,
                ..batch.clone()
            };
            streams += batch.len();
            self.written += 1;
            let key = format!("{KEY_PREFIX}{shard}/{name:x}-{}", self.written);
            let value = postcard::to_allocvec(&batch).unwrap_or_default();
            transaction = transaction.set(&key, &value, Some(lease));
        }
        match core.store.commit(&transaction).await? {
            CommitOutcome::Done(_) => {}
            CommitOutcome::Conflict | CommitOutcome::NoLease => {
                return Err(KvError::NotExecuted("the lease has expired".into()));
            }
        }
        core.metrics.note_store("streams", "written");
        core.log.write(
            "streams-recorded",
            serde_json::json!({"streams": streams, "batches": batches.len(), "era": lease.era}),
        );
        Ok(())
    }

    /// Returns a lease that lasts for at least `left`.
    async fn lease_for(
        &mut self,
        core: &EntryCore,
        left: Duration,
    ) -> Result<StoreLeaseId, KvError> {
        let now = Instant::now();
        let left = left.min(MAX_LEASE);
        if let Some((lease, until)) = self.lease
            && now + left <= until
        {
            return Ok(lease);
        }
        let time = (left + LEASE_SLACK).max(core.settings.min_lease);
        let time = time.min(MAX_LEASE);
        let lease = core.store.grant(time).await?;
        core.metrics.note_store("streams", "leased");
        self.lease = Some((lease, now + time));
        Ok(lease)
    }
}

/// Returns what began a stream, by a read of its part of the store that is sent after this call
/// unless an earlier one shows it; `None` if it does not show it.
pub(crate) async fn read_recorded(core: &EntryCore, stream: ContentDigest) -> Option<StreamOrigin> {
    let asked = Instant::now();
    let shard = shard_of(stream);
    let mut read = core.stream_reads[usize::from(shard)].lock().await;
    let found = recorded_origin(&read.batches, stream, read.era);
    if found.is_some() || read.sent.is_some_and(|sent| sent > asked) {
        return found;
    }
    if let Some(tried) = read.tried {
        sleep_until((tried + READ_INTERVAL).into()).await;
    }
    read.tried = Some(Instant::now());
    if let Some(newer) = read_shard(core, shard).await {
        *read = newer;
    }
    recorded_origin(&read.batches, stream, read.era)
}

/// Reads a part of the streams; `None` if the store does not tell it in time.
async fn read_shard(core: &EntryCore, shard: u8) -> Option<StreamRead> {
    let sent = Instant::now();
    let prefix = format!("{KEY_PREFIX}{shard}/");
    let reading = timeout(READ_LIMIT, core.store.items(&prefix, READ_TIMEOUT));
    let (outcome, error) = match reading.await {
        Ok(Ok(listing)) => return Some(decode_shard(core, shard, sent, &listing)),
        Ok(Err(error)) => (error.name(), error.to_string()),
        Err(error) => ("failed", error.to_string()),
    };
    core.metrics.note_store("streams", outcome);
    core.log
        .write("streams-not-read", serde_json::json!({"error": error}));
    None
}

fn decode_shard(core: &EntryCore, shard: u8, sent: Instant, listing: &StoreListing) -> StreamRead {
    core.metrics.note_store("streams", "read");
    reject_items(core, &listing.rejected);
    let mut batches = Vec::new();
    for item in &listing.items {
        match postcard::from_bytes(&item.value) {
            Ok(batch) => batches.push(batch),
            Err(error) => reject_value(core, &item.key, &error.to_string()),
        }
    }
    let era = listing.revision.era;
    let streams: usize = batches.iter().map(StreamBatch::len).sum();
    core.log.write(
        "streams-read",
        serde_json::json!({"shard": shard, "batches": batches.len(), "streams": streams,
            "era": era, "took_ms": sent.elapsed().as_millis() as u64}),
    );
    StreamRead {
        tried: Some(sent),
        sent: Some(sent),
        era,
        batches,
    }
}

/// Frees reads that no caller has needed lately.
fn drop_old_reads(core: &EntryCore) {
    for read in &core.stream_reads {
        let Ok(mut read) = read.try_lock() else {
            continue;
        };
        if read.sent.is_some_and(|sent| sent.elapsed() > KEEP_TIME) {
            *read = StreamRead::default();
        }
    }
}
