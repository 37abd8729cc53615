//! Proofs that this node knows of all revoked keys.
//!
//! One node of a region polls the store once per second for changes of the operators' keys, and
//! sends the proof to the others with its heartbeats. A node whose proof grows old queries the
//! store itself. The nodes are ranked, and each waits a little longer than the one before it: the
//! failure of the first costs a fraction of a second and needs no agreement protocol.

use crate::core::EntryCore;
use crate::nodes::roles::nodes_ranked_above;
use crate::store::updates::apply_event;
use crate::store::updates::apply_listing;
use crate::store::watch::wait_for_store;
use crate::store::watch_topic::WatchTopic;
use rand::RngExt;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::KvError;
use zinniahatch_route::FreshnessProof;

/// Interval between checks of the proof's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age at which the first node requests a new proof, as a fraction of the operators' bound:
/// 1.25 s of 5 s.
const FIRST_AGE_FRACTION: f64 = 0.25;
/// Extra age for each rank, as a fraction of the bound: 0.6 s of 5 s. A node first has to receive
/// the proof of the one ranked before it, and heartbeats come every 0.5 s. `MAX_AGE_FRACTION` is
/// the highest age at which any node requests a proof.
const AGE_FRACTION_PER_RANK: f64 = 0.12;
const MAX_AGE_FRACTION: f64 = 0.55;
/// Range of ages over which the requests of the last ranks are spread, as a fraction of the bound.
const MAX_AGE_SPREAD: f64 = 0.1;
/// Role name that is hashed to rank the nodes of a region.
const PROVER_ROLE: &str = "keys";
/// Time limit of a call; a store that is merely slow answers within it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed call, and the jitter that spreads the nodes.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
const RETRY_JITTER: std::ops::Range<f64> = 0.6..1.4;

/// Requests proofs until the process ends.
pub(crate) async fn run_freshness_prover(core: Rc<EntryCore>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if !is_due(&core) {
            continue;
        }
        wait_for_store(&core).await;
        // The listing or watch of the recovery probe may have brought a proof.
        if !is_due(&core) {
            continue;
        }
        if let Err(error) = request_proof(&core).await {
            core.metrics.note_store("prove", error.name());
            core.note_store_failure();
            core.log.write(
                "proof-failed",
                serde_json::json!({"error": error.to_string(), "age_ms": age_ms(&core)}),
            );
            sleep(RETRY_PAUSE.mul_f64(rand::rng().random_range(RETRY_JITTER))).await;
        }
    }
}

fn age_ms(core: &EntryCore) -> Option<u64> {
    let age = core.key_freshness.borrow().age(core.clock.now())?;
    Some(age.as_millis() as u64)
}

/// Returns whether this node has to request a proof now.
fn is_due(core: &EntryCore) -> bool {
    let Some(bound) = core.settings.bounds.revoke else {
        return false;
    };
    if !core.identities.borrow().requires_key() {
        return false;
    }
    let Some(age) = core.key_freshness.borrow().age(core.clock.now()) else {
        return true;
    };
    let above = nodes_ranked_above(core, PROVER_ROLE) as f64;
    let others = core.members.borrow().names_in(&core.settings.region).len();
    let fraction = (FIRST_AGE_FRACTION + AGE_FRACTION_PER_RANK * above).min(MAX_AGE_FRACTION);
    // If all nodes of the first ranks are cut off, the others do not send their requests at the
    // same time.
    let spread = MAX_AGE_SPREAD * above / others.max(1) as f64;
    age >= bound.mul_f64(fraction + spread)
}

/// Reads changes of the operators' keys from the store.
async fn request_proof(core: &Rc<EntryCore>) -> Result<(), KvError> {
    let sent = core.clock.now();
    let Some(after) = core.operator_revision.get() else {
        let listing = core
            .store
            .items(WatchTopic::Operator.prefix(), CALL_TIMEOUT)
            .await?;
        let revision = apply_listing(core, WatchTopic::Operator, listing);
        core.operator_revision.set(Some(revision));
        note_proof(core, sent);
        return Ok(());
    };
    let prefix = WatchTopic::Operator.prefix();
    let changes = match core.store.changes(prefix, after, Duration::ZERO).await {
        Err(KvError::Compacted) => {
            core.operator_revision.set(None);
            return Ok(());
        }
        Err(error @ KvError::Excess(_)) => {
            core.operator_revision.set(None);
            return Err(error);
        }
        result => result?,
    };
    core.metrics.note_store("prove", "done");
    let now = Instant::now();
    for event in changes.events {
        apply_event(core, event, now);
    }
    core.operator_revision
        .set(Some(changes.revision.max(after)));
    note_proof(core, sent);
    Ok(())
}

/// Records that the store returned everything that operators wrote, in answer to a call sent at
/// `sent`.
pub(crate) fn note_proof(core: &EntryCore, sent: Duration) {
    let version = core.version();
    // A store restored from an older backup presents an older version as the newest; a node with a
    // newer version must not take that as a proof.
    let newest = core.members.borrow().newest_version(Instant::now());
    let mut proofs = core.key_freshness.borrow_mut();
    proofs.record(version.max(newest), sent, version);
}

/// Merges a proof from another node.
///
/// `sent_after` is a time before the other node sent the proof; the age in the proof counts back
/// from that time.
pub(crate) fn apply_proof(core: &EntryCore, proof: FreshnessProof, sent_after: Duration) {
    let version = core.version();
    core.key_freshness
        .borrow_mut()
        .merge(proof, sent_after, version);
}
