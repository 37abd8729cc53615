//! Who got what: counts of this node on their way to the store.
//!
//! Each node counts, seals its counts every ten seconds and hands a copy to the merger of its
//! region, which writes the region's hour to the store twice a minute. So the death of one node
//! loses what it had not yet sealed, and the fleet asks the store for a few writes a minute.

use crate::core::EntryCore;
use crate::nodes::snapshot::ask_peer;
use crate::request::plan::CallPlan;
use crate::request::received::ReceivedCall;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rank_member;
use zinniahatch_platform::PutOutcome;
use zinniahatch_platform::StoreClient;
use zinniahatch_report::ACCOUNTS_PREFIX;
use zinniahatch_report::CountKey;
use zinniahatch_report::CountRow;
use zinniahatch_report::CountTable;
use zinniahatch_report::HourlyCounts;
use zinniahatch_report::MergeTask;
use zinniahatch_report::ReceivedBatch;
use zinniahatch_route::NodePermit;

/// Path at which the merger of a region takes counts.
pub(crate) const COUNTS_PATH: &str = "/zinnia/counts";
/// Pause between seals: what the death of a node can lose.
const SEAL_PAUSE: Duration = Duration::from_secs(10);
/// Pause between merges into the store.
const MERGE_PAUSE: Duration = Duration::from_secs(30);
/// Time after which a sheet is sent again to a merger that has not merged it.
const AGAIN_TIME: Duration = Duration::from_secs(90);
/// Tries of one write in one round; the next round tries again.
const MOST_TRIES: u32 = 3;
/// The duty whose owner merges.
const MERGE_DUTY: &str = "accounts";
/// The one shard of a region's counts; the platform's callers carry no account, so that rows are
/// few and one value holds them.
const SHARD: u16 = 0;

/// Counts as they travel between nodes.
#[derive(Debug, Serialize, Deserialize)]
struct CountsPost {
    node: NodeId,
    incarnation: Incarnation,
    /// Whether no counts follow.
    last: bool,
    /// Number, minute and rows of each sheet.
    sheets: Vec<(u64, u64, CountTable)>,
}

fn epoch_minute() -> u64 {
    const SECONDS: u64 = 60;
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_secs() / SECONDS)
}

/// Counts the end of a request of a caller.
///
/// A request that was handed over is counted where its caller was answered, once.
pub(crate) fn count(
    core: &EntryCore,
    call: &ReceivedCall,
    plan: &CallPlan,
    served: &RegionId,
    code: ResultCode,
    first: Option<Duration>,
) {
    const MINUTES: u64 = 60;
    if !call.is_direct() {
        return;
    }
    let key = CountKey {
        hour: epoch_minute() / MINUTES,
        account: plan.account_name().unwrap_or(&plan.route.name).into(),
        caller: core.settings.data_centre.clone(),
        home: core.settings.region.clone(),
        served: served.clone(),
        service: plan.service.clone(),
        preset: core.preset.borrow().name.clone(),
        code: code.number(),
    };
    let answered = code == ResultCode::Answered;
    let mut row = CountRow {
        requests: 1,
        tokens_in: u64::from(call.size.tokens_in),
        tokens_out: if answered {
            u64::from(call.size.tokens_out)
        } else {
            0
        },
        ..CountRow::default()
    };
    if let Some(first) = first {
        row.first_byte.record(first);
    }
    row.whole.record(call.arrived.elapsed());
    core.counts.book.borrow_mut().add(key, &row);
}

/// Gives the node that merges the counts of this region, and where it listens.
fn merger(core: &EntryCore) -> NodeId {
    let own = core.settings.name.clone();
    let members = core.members.borrow();
    members
        .live_in(&core.settings.region, Instant::now())
        .into_iter()
        .map(|card| card.node.clone())
        .chain(core.is_ready().then(|| own.clone()))
        .max_by_key(|node| rank_member(MERGE_DUTY, node))
        .unwrap_or(own)
}

/// Seals and hands over until the process ends.
pub(crate) async fn run_sealing(core: Rc<EntryCore>) {
    loop {
        sleep(SEAL_PAUSE).await;
        hand_over(&core, false).await;
    }
}

/// Merges until the process ends, a little apart from the other regions' mergers.
pub(crate) async fn run_merging(core: Rc<EntryCore>) {
    loop {
        let jitter = rand::rng().random_range(0..MERGE_PAUSE.as_millis() as u64 / 4);
        sleep(MERGE_PAUSE + Duration::from_millis(jitter)).await;
        merge_all(&core).await;
    }
}

/// Seals the open counts and hands what is due to the merger.
pub(crate) async fn hand_over(core: &Rc<EntryCore>, last: bool) {
    let node = merger(core);
    let due = {
        let mut book = core.counts.book.borrow_mut();
        book.seal(epoch_minute());
        book.take_due(Instant::now(), AGAIN_TIME, |_| Some(node.clone()))
    };
    if due.is_empty() && (!last || core.counts.book.borrow().is_flushed()) {
        return;
    }
    let post = CountsPost {
        node: core.settings.name.clone(),
        incarnation: core.incarnation,
        last,
        sheets: due
            .into_iter()
            .map(|(_, _, sealed)| (sealed.number, sealed.minute, sealed.counts))
            .collect(),
    };
    let merged = if node == core.settings.name {
        take(core, post)
    } else {
        let Ok(body) = postcard::to_allocvec(&post) else {
            return;
        };
        let permit = core.members.borrow().permit(&node);
        let Some(answer) = ask_merger(core, permit, &body).await else {
            core.log
                .write("counts-not-taken", serde_json::json!({"merger": node}));
            return;
        };
        postcard::from_bytes(&answer).unwrap_or_default()
    };
    let mut book = core.counts.book.borrow_mut();
    book.note_merged(SHARD, &merged, Instant::now());
    core.metrics.set_dropped_sheets(book.dropped());
}

/// Posts counts to the node that merges them; gives its answer's body.
async fn ask_merger(
    core: &Rc<EntryCore>,
    permit: Option<NodePermit>,
    body: &[u8],
) -> Option<Vec<u8>> {
    ask_peer(core, permit?, COUNTS_PATH, body).await
}

/// Takes counts that another node posted; gives the answer's body.
pub(crate) fn take_post(core: &EntryCore, body: &[u8]) -> Option<Vec<u8>> {
    let post = postcard::from_bytes::<CountsPost>(body).ok()?;
    postcard::to_allocvec(&take(core, post)).ok()
}

/// Takes counts; gives the numbers of earlier ones that are in the store.
fn take(core: &EntryCore, post: CountsPost) -> Vec<u64> {
    let mut desk = core.counts.merging.borrow_mut();
    for (number, minute, counts) in post.sheets {
        desk.insert(
            SHARD,
            ReceivedBatch {
                node: post.node.clone(),
                incarnation: post.incarnation,
                number,
                minute,
                last: post.last,
                counts,
            },
        );
    }
    let mut told = core.counts.told.borrow_mut();
    told.remove(&(post.node, post.incarnation))
        .unwrap_or_default()
}

/// Notes that a node died, so that the minutes after its last counts are named in reports.
pub(crate) fn note_death(core: &EntryCore, node: &NodeId, incarnation: Incarnation) {
    if merger(core) != core.settings.name {
        return;
    }
    let mut desk = core.counts.merging.borrow_mut();
    desk.note_death(node, incarnation, epoch_minute());
}

/// Writes all that was received to the store.
pub(crate) async fn merge_all(core: &Rc<EntryCore>) {
    let tasks = core.counts.merging.borrow().tasks();
    for task in tasks {
        if !merge_task(core, &task).await {
            core.log
                .write("counts-not-merged", serde_json::json!({"hour": task.hour}));
            continue;
        }
        let done = core.counts.merging.borrow_mut().complete(&task);
        let mut told = core.counts.told.borrow_mut();
        for (node, incarnation, numbers) in done {
            if node == core.settings.name && incarnation == core.incarnation {
                let mut book = core.counts.book.borrow_mut();
                book.note_merged(SHARD, &numbers, Instant::now());
                continue;
            }
            told.entry((node, incarnation)).or_default().extend(numbers);
        }
    }
}

/// Merges one task by compare-and-swap.
///
/// When the answer of the write is lost, the next try reads the value, finds the marks that were
/// written with the counts, and writes nothing.
async fn merge_task(core: &Rc<EntryCore>, task: &MergeTask) -> bool {
    let key = format!("{ACCOUNTS_PREFIX}{}/{}", core.settings.region, task.hour);
    for _ in 0..MOST_TRIES {
        let Ok(stored) = StoreClient::get(&core.store, &key).await else {
            core.metrics.note_store("counts", "failed");
            continue;
        };
        let (mut ledger, expect) = match &stored {
            None => (HourlyCounts::default(), 0),
            Some(value) => match serde_json::from_str(&value.value) {
                Ok(ledger) => (ledger, value.revision),
                Err(_) => return false,
            },
        };
        if !task.apply(&mut ledger) {
            return true;
        }
        let Ok(text) = serde_json::to_string(&ledger) else {
            return false;
        };
        let written = core.store.put(&key, &text, Some(expect), None).await;
        if matches!(written, Ok(PutOutcome::Done(_))) {
            core.metrics.note_store("counts", "done");
            return true;
        }
        core.metrics.note_store("counts", "failed");
    }
    false
}

/// Hands over the last counts of a node that stops; where it merges, writes them itself.
pub(crate) async fn settle(core: &Rc<EntryCore>) {
    hand_over(core, true).await;
    merge_all(core).await;
}
