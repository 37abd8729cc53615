//! Counts on their way to the store: sealed, copied to their merger, merged.

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
use zinniahatch_report::CountSheet;
use zinniahatch_report::DeskSheet;
use zinniahatch_report::HourLedger;
use zinniahatch_report::MergeDesk;
use zinniahatch_report::MergeTask;

/// Tries of one write in one round; the next round tries again.
const MOST_TRIES: u32 = 4;
/// Pause between writes, so that one merger asks little of the store at once.
const WRITE_GAP: Duration = Duration::from_millis(20);
/// Merge intervals after which a sheet is sent again to a merger that has not merged it.
const AGAIN_INTERVALS: u32 = 3;

/// What this node has received as a merger.
#[derive(Default)]
pub(crate) struct CountDesk {
    desk: Mutex<MergeDesk>,
    closing: std::sync::atomic::AtomicBool,
}

impl CountDesk {
    /// Takes what a tick gave.
    pub(crate) fn take(&self, core: &GatewayCore, output: TickOutput) {
        for (node, incarnation, note) in output.counts {
            let Ok(sheet) = postcard::from_bytes::<CountSheet>(&note.rows) else {
                count_dropped(core, "counts-unreadable");
                continue;
            };
            let entry = DeskSheet {
                node,
                incarnation,
                number: note.number,
                minute: note.minute,
                last: note.last,
                sheet,
            };
            self.lock().take(note.shard, entry);
        }
        for (shard, incarnation, numbers) in output.merged {
            if incarnation == core.identity.incarnation {
                core.book().merged(shard, &numbers, Instant::now());
            }
        }
        for (node, incarnation) in output.recovered {
            self.lock().note_alive(&node, incarnation);
        }
        for (node, incarnation) in output.failed {
            let noter = core
                .control()
                .role_holder_except(Instant::now(), &duty(0), &node);
            if noter.as_ref() == Some(&core.identity.node) {
                self.lock().note_death(&node, incarnation, epoch_minute());
            }
        }
    }

    /// Says in the sheets sent from now on that none follow.
    pub(crate) fn set_closing(&self) {
        self.closing
            .store(true, std::sync::atomic::Ordering::SeqCst);
    }

    fn lock(&self) -> MutexGuard<'_, MergeDesk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Seals the open counts and sends what is due to its merger.
pub(crate) fn seal_and_send(core: &GatewayCore, desk: &CountDesk) {
    let now = Instant::now();
    let again = core.settings.merge_interval * AGAIN_INTERVALS;
    let due = {
        let control = core.control();
        let mut book = core.book();
        book.seal(epoch_minute());
        book.due(now, again, |shard| control.role_holder(now, &duty(shard)))
    };
    note_states(core);
    let last = desk.closing.load(std::sync::atomic::Ordering::SeqCst);
    let mut control = core.control();
    for (shard, owner, sealed) in due {
        let Ok(rows) = postcard::to_stdvec(&sealed.sheet) else {
            count_dropped(core, "counts-unwritable");
            continue;
        };
        let note = SealedCounts {
            shard,
            number: sealed.number,
            minute: sealed.minute,
            last,
            rows,
        };
        control.send_to(now, &owner, NodeMessage::Counts(note));
    }
    drop(control);
    core.wake.notify_one();
}

/// Shows how far the own sheets are.
fn note_states(core: &GatewayCore) {
    let states = core.book().states();
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

fn count_dropped(core: &GatewayCore, reason: &str) {
    let dropped = &core.counters.messages_dropped;
    dropped.with_label_values(&[reason]).inc();
}

/// Seals at the interval of the settings until the process ends.
pub(crate) async fn run_sealing(core: Arc<GatewayCore>, desk: Arc<CountDesk>) {
    loop {
        sleep(core.settings.seal_interval).await;
        seal_and_send(&core, &desk);
    }
}

/// Merges at the interval of the settings until the process ends.
pub(crate) async fn run_merging(core: Arc<GatewayCore>, desk: Arc<CountDesk>) {
    loop {
        sleep(core.settings.merge_interval).await;
        merge_round(&core, &desk).await;
    }
}

/// Writes everything received to the store.
pub(crate) async fn merge_round(core: &GatewayCore, desk: &CountDesk) {
    let tasks = desk.lock().tasks();
    core.counters.sheets_waiting.set(desk.lock().len() as i64);
    for task in tasks {
        let outcome = merge_task(core, &task).await;
        let merges = &core.counters.merges;
        merges.with_label_values(&[outcome.word()]).inc();
        if outcome.is_done() {
            let told = desk.lock().done(&task);
            let now = Instant::now();
            let mut control = core.control();
            for (node, incarnation, numbers) in told {
                control.send_to(
                    now,
                    &node,
                    NodeMessage::CountsMerged(task.shard, incarnation, numbers),
                );
            }
        }
        sleep(WRITE_GAP).await;
    }
    core.counters.sheets_waiting.set(desk.lock().len() as i64);
}

/// What became of one merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MergeOutcome {
    /// The counts were written.
    Written,
    /// The counts were in the store already.
    Known,
    /// The value in the store cannot be read back; it is left as it is.
    Unreadable,
    /// The store could not be read.
    NotRead,
    /// The store was read, and the counts could not be written.
    NotWritten,
}

impl MergeOutcome {
    const fn word(self) -> &'static str {
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
/// When the answer of the write is lost, the next try reads the value, finds the marks that were
/// written with the counts, and writes nothing.
async fn merge_task(core: &GatewayCore, task: &MergeTask) -> MergeOutcome {
    let store = core.changes.store();
    let key = hour_key(&core.identity.data_centre, task.shard, task.hour);
    let mut outcome = MergeOutcome::NotRead;
    for _ in 0..MOST_TRIES {
        let read = store.get(&key).await;
        core.note_store("report read", &read);
        let Ok(stored) = read else {
            continue;
        };
        outcome = MergeOutcome::NotWritten;
        let (mut ledger, expect) = match &stored {
            None => (HourLedger::default(), 0),
            Some(value) => match serde_json::from_str(&value.value) {
                Ok(ledger) => (ledger, value.revision),
                Err(error) => {
                    warn!("the counts in the store under {key} cannot be read: {error}");
                    return MergeOutcome::Unreadable;
                }
            },
        };
        if !task.apply(&mut ledger) {
            return MergeOutcome::Known;
        }
        let Ok(text) = serde_json::to_string(&ledger) else {
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

fn duty(shard: u16) -> String {
    format!("merge/{shard}")
}

fn owns(core: &GatewayCore, shard: u16) -> bool {
    core.control()
        .role_holder(Instant::now(), &duty(shard))
        .is_some_and(|owner| owner == core.identity.node)
}

/// Deletes hourly counts that are older than the settings keep, once an hour, from one node.
pub(crate) async fn run_retention(core: Arc<GatewayCore>) {
    const ROUND: Duration = Duration::from_secs(3_600);
    const MINUTES_PER_HOUR: u64 = 60;
    loop {
        sleep(ROUND).await;
        if !owns(&core, 0) {
            continue;
        }
        let oldest = (epoch_minute() / MINUTES_PER_HOUR).saturating_sub(core.settings.report_hours);
        let prefix = format!("report/{}/", core.identity.data_centre);
        let store = core.changes.store();
        for key in store.list(&prefix).await.unwrap_or_default() {
            let hour = key
                .rsplit('/')
                .next()
                .and_then(|text| text.parse::<u64>().ok());
            if hour.is_some_and(|hour| hour < oldest) {
                let _ = store.delete(&key).await;
                sleep(WRITE_GAP).await;
            }
        }
    }
}
