//! Usage accounting: counts of this node on their way to the store.
//!
//! Each node records its counts, seals them every ten seconds and sends a copy to the merger of its
//! region, which writes the region's hour to the store twice a minute. The failure of one node thus
//! loses only its unsealed counts, and the fleet makes only a few writes per minute.

use crate::core::EntryCore;
use crate::nodes::snapshot::post_to_peer;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
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

/// Path at which the merger of a region accepts counts.
pub(crate) const COUNTS_PATH: &str = "/zinnia/counts";
/// Interval between seals, which bounds the counts lost when a node fails.
const SEAL_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between merges into the store.
const MERGE_INTERVAL: Duration = Duration::from_secs(30);
/// Time after which a batch that was not merged is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(90);
/// Maximum attempts of one write per merge; the next merge tries again.
const MAX_ATTEMPTS: u32 = 3;
/// Role name that is hashed to choose the merger.
const MERGER_ROLE: &str = "accounts";
/// The only shard of a region's counts: callers of the platform carry no account, so there are few
/// rows and one value holds them all.
const SHARD: u16 = 0;

/// Message with sealed counts from one node to the merger.
#[derive(Debug, Serialize, Deserialize)]
struct CountsPost {
    node: NodeId,
    incarnation: Incarnation,
    /// Whether this is the last message of the node.
    last: bool,
    /// Number, minute and rows of each batch.
    batches: Vec<(u64, u64, CountTable)>,
}

fn epoch_minute() -> u64 {
    const SECONDS: u64 = 60;
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_secs() / SECONDS)
}

/// Records a finished request of a caller.
///
/// A forwarded request is recorded only by the node that answered the caller.
pub(crate) fn record_request(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    served: &RegionId,
    code: ResultCode,
    first: Option<Duration>,
) {
    const MINUTES: u64 = 60;
    if !request.is_direct() {
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
        tokens_in: u64::from(request.size.tokens_in),
        tokens_out: if answered {
            u64::from(request.size.tokens_out)
        } else {
            0
        },
        ..CountRow::default()
    };
    if let Some(first) = first {
        row.first_byte.record(first);
    }
    row.whole.record(request.arrived.elapsed());
    core.counts.buffer.borrow_mut().add(key, &row);
}

/// Returns the node that merges the counts of this region.
fn merger(core: &EntryCore) -> NodeId {
    let own = core.settings.name.clone();
    let members = core.members.borrow();
    members
        .live_in(&core.settings.region, Instant::now())
        .into_iter()
        .map(|member| member.node.clone())
        .chain(core.is_ready().then(|| own.clone()))
        .max_by_key(|node| rendezvous_rank(MERGER_ROLE, node))
        .unwrap_or(own)
}

/// Seals and sends counts until the process ends.
pub(crate) async fn run_sealing(core: Rc<EntryCore>) {
    loop {
        sleep(SEAL_INTERVAL).await;
        send_counts(&core, false).await;
    }
}

/// Merges until the process ends, with jitter against the mergers of the other regions.
pub(crate) async fn run_merging(core: Rc<EntryCore>) {
    loop {
        let jitter = rand::rng().random_range(0..MERGE_INTERVAL.as_millis() as u64 / 4);
        sleep(MERGE_INTERVAL + Duration::from_millis(jitter)).await;
        merge_all(&core).await;
    }
}

/// Seals the open counts and sends the due batches to the merger.
pub(crate) async fn send_counts(core: &Rc<EntryCore>, last: bool) {
    let node = merger(core);
    let due = {
        let mut buffer = core.counts.buffer.borrow_mut();
        buffer.seal(epoch_minute());
        buffer.take_due(Instant::now(), RESEND_AFTER, |_| Some(node.clone()))
    };
    if due.is_empty() && (!last || core.counts.buffer.borrow().is_flushed()) {
        return;
    }
    let post = CountsPost {
        node: core.settings.name.clone(),
        incarnation: core.incarnation,
        last,
        batches: due
            .into_iter()
            .map(|(_, _, sealed)| (sealed.number, sealed.minute, sealed.counts))
            .collect(),
    };
    let merged = if node == core.settings.name {
        accept(core, post)
    } else {
        let Ok(body) = postcard::to_allocvec(&post) else {
            return;
        };
        let permit = core.members.borrow().permit(&node);
        let Some(response) = post_to_merger(core, permit, &body).await else {
            core.log
                .write("counts-not-taken", serde_json::json!({"merger": node}));
            return;
        };
        postcard::from_bytes(&response).unwrap_or_default()
    };
    let mut buffer = core.counts.buffer.borrow_mut();
    buffer.note_merged(SHARD, &merged, Instant::now());
    core.metrics.set_dropped_sheets(buffer.dropped());
}

/// Posts counts to the merger and returns the body of its response.
async fn post_to_merger(
    core: &Rc<EntryCore>,
    permit: Option<NodePermit>,
    body: &[u8],
) -> Option<Vec<u8>> {
    post_to_peer(core, permit?, COUNTS_PATH, body).await
}

/// Accepts counts that another node posted and returns the body of the response.
pub(crate) fn accept_post(core: &EntryCore, body: &[u8]) -> Option<Vec<u8>> {
    let post = postcard::from_bytes::<CountsPost>(body).ok()?;
    postcard::to_allocvec(&accept(core, post)).ok()
}

/// Accepts counts and returns the numbers of the node's batches that have been merged since its
/// last message.
fn accept(core: &EntryCore, post: CountsPost) -> Vec<u64> {
    let mut queue = core.counts.merging.borrow_mut();
    for (number, minute, counts) in post.batches {
        queue.insert(
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
    let mut unacknowledged = core.counts.unacknowledged.borrow_mut();
    unacknowledged
        .remove(&(post.node, post.incarnation))
        .unwrap_or_default()
}

/// Records that a node failed, so that reports show the minutes after its last counts as a gap.
pub(crate) fn record_node_failure(core: &EntryCore, node: &NodeId, incarnation: Incarnation) {
    if merger(core) != core.settings.name {
        return;
    }
    let mut queue = core.counts.merging.borrow_mut();
    queue.record_failure(node, incarnation, epoch_minute());
}

/// Writes all received counts to the store.
pub(crate) async fn merge_all(core: &Rc<EntryCore>) {
    let tasks = core.counts.merging.borrow().tasks();
    for task in tasks {
        if !merge_task(core, &task).await {
            core.log
                .write("counts-not-merged", serde_json::json!({"hour": task.hour}));
            continue;
        }
        let merged = core.counts.merging.borrow_mut().complete(&task);
        let mut unacknowledged = core.counts.unacknowledged.borrow_mut();
        for (node, incarnation, numbers) in merged {
            if node == core.settings.name && incarnation == core.incarnation {
                let mut buffer = core.counts.buffer.borrow_mut();
                buffer.note_merged(SHARD, &numbers, Instant::now());
                continue;
            }
            unacknowledged
                .entry((node, incarnation))
                .or_default()
                .extend(numbers);
        }
    }
}

/// Merges one task by compare-and-swap.
///
/// When the response to a write is lost, the next attempt reads the value, finds the batch numbers
/// that were written along with the counts, and writes nothing.
async fn merge_task(core: &Rc<EntryCore>, task: &MergeTask) -> bool {
    let key = format!("{ACCOUNTS_PREFIX}{}/{}", core.settings.region, task.hour);
    for _ in 0..MAX_ATTEMPTS {
        let Ok(stored) = StoreClient::get(&core.store, &key).await else {
            core.metrics.note_store("counts", "failed");
            continue;
        };
        let (mut hourly, expect) = match &stored {
            None => (HourlyCounts::default(), 0),
            Some(value) => match serde_json::from_str(&value.value) {
                Ok(hourly) => (hourly, value.revision),
                Err(_) => return false,
            },
        };
        if !task.apply(&mut hourly) {
            return true;
        }
        let Ok(text) = serde_json::to_string(&hourly) else {
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

/// Sends the last counts of a node that stops, and merges them itself if it is the merger.
pub(crate) async fn flush_counts(core: &Rc<EntryCore>) {
    send_counts(core, true).await;
    merge_all(core).await;
}
