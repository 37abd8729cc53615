//! Usage counts on their way to the store: sealed, sent to the merger of their shard, and merged.

use crate::clock::epoch_minute;
use log::warn;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_control::TickOutput;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_gateway::hour_key;
use zinniahatch_platform::PutOutcome;
use zinniahatch_platform::StoreClient;
use zinniahatch_protocol::NodeMessage;
use zinniahatch_protocol::SealedCounts;
use zinniahatch_report::CountTable;
use zinniahatch_report::HourlyCounts;
use zinniahatch_report::MergeQueue;
use zinniahatch_report::MergeTask;
use zinniahatch_report::ReceivedBatch;

/// Attempts of one write in one round; the next round tries again.
const MAX_ATTEMPTS: u32 = 4;
/// Pause between writes; limits the load that one merger puts on the store.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Merge intervals after which a batch that its merger has not confirmed is sent again.
const RESEND_INTERVALS: u32 = 3;

/// Counts that this node has received as a merger, and whether it is shutting down.
#[derive(Default)]
pub(crate) struct CountMerger {
    queue: Mutex<MergeQueue>,
    closing: std::sync::atomic::AtomicBool,
}

impl CountMerger {
    /// Applies the output of a tick: received batches, confirmations, and changes of node liveness.
    pub(crate) fn apply_output(&self, core: &GatewayCore, output: TickOutput) {
        for (node, incarnation, sealed) in output.counts {
            let Ok(counts) = postcard::from_bytes::<CountTable>(&sealed.rows) else {
                count_dropped_message(core, "counts-unreadable");
                continue;
            };
            let batch = ReceivedBatch {
                node,
                incarnation,
                number: sealed.number,
                minute: sealed.minute,
                last: sealed.last,
                counts,
            };
            self.lock().insert(sealed.shard, batch);
        }
        for (shard, incarnation, numbers) in output.merged {
            if incarnation == core.identity.incarnation {
                core.counts().note_merged(shard, &numbers, Instant::now());
            }
        }
        for (node, incarnation) in output.recovered {
            self.lock().record_recovery(&node, incarnation);
        }
        for (node, incarnation) in output.failed {
            let recorder = core
                .control()
                .role_holder_except(Instant::now(), &role(0), &node);
            if recorder.as_ref() == Some(&core.identity.node) {
                self.lock()
                    .record_failure(&node, incarnation, epoch_minute());
            }
        }
    }

    /// Marks the batches sent from now on as the last ones of this node.
    pub(crate) fn set_closing(&self) {
        self.closing
            .store(true, std::sync::atomic::Ordering::SeqCst);
    }

    fn lock(&self) -> MutexGuard<'_, MergeQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Seals the open counts and sends the due batches to their mergers.
pub(crate) fn seal_and_send(core: &GatewayCore, merger: &CountMerger) {
    let now = Instant::now();
    let timeout = core.settings.merge_interval * RESEND_INTERVALS;
    let due = {
        let control = core.control();
        let mut buffer = core.counts();
        buffer.seal(epoch_minute());
        buffer.take_due(now, timeout, |shard| control.role_holder(now, &role(shard)))
    };
    update_metrics(core);
    let last = merger.closing.load(std::sync::atomic::Ordering::SeqCst);
    let mut control = core.control();
    for (shard, owner, sealed) in due {
        let Ok(rows) = postcard::to_stdvec(&sealed.counts) else {
            count_dropped_message(core, "counts-unwritable");
            continue;
        };
        let message = SealedCounts {
            shard,
            number: sealed.number,
            minute: sealed.minute,
            last,
            rows,
        };
        control.send_to(now, &owner, NodeMessage::Counts(message));
    }
    drop(control);
    core.wake.notify_one();
}

/// Updates the metrics of this node's sealed batches.
fn update_metrics(core: &GatewayCore) {
    let states = core.counts().states();
    let counts = [
        ("unsent", states.unsent),
        ("sent", states.sent),
        ("merged", states.merged),
    ];
    for (state, count) in counts {
        let gauge = core.counters.own_sheets.with_label_values(&[state]);
        gauge.set(count as i64);
    }
    let age = states
        .oldest
        .map_or(0, |oldest| epoch_minute().saturating_sub(oldest));
    core.counters.sheet_age.set(age as i64);
}

fn count_dropped_message(core: &GatewayCore, reason: &str) {
    let dropped = &core.counters.messages_dropped;
    dropped.with_label_values(&[reason]).inc();
}

/// Seals and sends at the configured interval until the process ends.
pub(crate) async fn run_sealing(core: Arc<GatewayCore>, merger: Arc<CountMerger>) {
    loop {
        sleep(core.settings.seal_interval).await;
        seal_and_send(&core, &merger);
    }
}

/// Merges at the configured interval until the process ends.
pub(crate) async fn run_merging(core: Arc<GatewayCore>, merger: Arc<CountMerger>) {
    loop {
        sleep(core.settings.merge_interval).await;
        merge_round(&core, &merger).await;
    }
}

/// Writes all received batches to the store and confirms them to their senders.
pub(crate) async fn merge_round(core: &GatewayCore, merger: &CountMerger) {
    let tasks = merger.lock().tasks();
    core.counters.sheets_waiting.set(merger.lock().len() as i64);
    for task in tasks {
        let outcome = merge_task(core, &task).await;
        let merges = &core.counters.merges;
        merges.with_label_values(&[outcome.as_str()]).inc();
        if outcome.is_done() {
            let merged = merger.lock().complete(&task);
            let now = Instant::now();
            let mut control = core.control();
            for (node, incarnation, numbers) in merged {
                control.send_to(
                    now,
                    &node,
                    NodeMessage::CountsMerged(task.shard, incarnation, numbers),
                );
            }
        }
        sleep(WRITE_PAUSE).await;
    }
    core.counters.sheets_waiting.set(merger.lock().len() as i64);
}

/// Outcome of one merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MergeOutcome {
    /// The counts were written.
    Written,
    /// The counts were in the store already.
    Known,
    /// The stored value cannot be parsed; it is left unchanged.
    Unreadable,
    /// The store could not be read.
    NotRead,
    /// The store was read, but the counts could not be written.
    NotWritten,
}

impl MergeOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Written => "written",
            Self::Known => "known",
            Self::Unreadable => "unreadable",
            Self::NotRead => "not-read",
            Self::NotWritten => "not-written",
        }
    }

    const fn is_done(self) -> bool {
        matches!(self, Self::Written | Self::Known)
    }
}

/// Merges one task by compare-and-swap.
///
/// If the response to a write is lost, the next attempt reads the value, finds the batch numbers that
/// were written with the counts, and writes nothing.
async fn merge_task(core: &GatewayCore, task: &MergeTask) -> MergeOutcome {
    let store = core.config_updater.store();
    let key = hour_key(&core.identity.data_centre, task.shard, task.hour);
    let mut outcome = MergeOutcome::NotRead;
    for _ in 0..MAX_ATTEMPTS {
        let read = store.get(&key).await;
        core.note_store("report read", &read);
        let Ok(stored) = read else {
            continue;
        };
        outcome = MergeOutcome::NotWritten;
        let (mut hourly, expect) = match &stored {
            None => (HourlyCounts::default(), 0),
            Some(value) => match serde_json::from_str(&value.value) {
                Ok(hourly) => (hourly, value.revision),
                Err(error) => {
                    warn!("stored counts under {key} cannot be parsed: {error}");
                    return MergeOutcome::Unreadable;
                }
            },
        };
        if !task.apply(&mut hourly) {
            return MergeOutcome::Known;
        }
        let Ok(text) = serde_json::to_string(&hourly) else {
            return MergeOutcome::NotWritten;
        };
        let written = store.put(&key, &text, Some(expect), None).await;
        core.note_store("report write", &written);
        if matches!(written, Ok(PutOutcome::Done(_))) {
            return MergeOutcome::Written;
        }
    }
    outcome
}

/// Returns the name of the role whose holder merges a shard.
fn role(shard: u16) -> String {
    format!("merge/{shard}")
}

fn is_merger(core: &GatewayCore, shard: u16) -> bool {
    core.control()
        .role_holder(Instant::now(), &role(shard))
        .is_some_and(|owner| owner == core.identity.node)
}

/// Deletes hourly counts that are older than the configured retention, once an hour.
///
/// Only the merger of shard 0 does so.
pub(crate) async fn run_retention(core: Arc<GatewayCore>) {
    const INTERVAL: Duration = Duration::from_secs(3_600);
    const MINUTES_PER_HOUR: u64 = 60;
    loop {
        sleep(INTERVAL).await;
        if !is_merger(&core, 0) {
            continue;
        }
        let oldest = (epoch_minute() / MINUTES_PER_HOUR).saturating_sub(core.settings.report_hours);
        let prefix = format!("report/{}/", core.identity.data_centre);
        let store = core.config_updater.store();
        for key in store.list(&prefix).await.unwrap_or_default() {
            let hour = key
                .rsplit('/')
                .next()
                .and_then(|text| text.parse::<u64>().ok());
            if hour.is_some_and(|hour| hour < oldest) {
                let _ = store.delete(&key).await;
                sleep(WRITE_PAUSE).await;
            }
        }
    }
}
