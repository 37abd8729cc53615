//! Proving that this node knows of all keys that were taken away.
//!
//! One node of a region asks the store once a second whether the operators' keys changed, and tells the others with
//! its cards; where the proof that a node knows grows old, it asks by itself. The nodes are ranked, and each waits a
//! little longer than the one before: the death of the first costs a fraction of a second and no agreement.

use crate::core::EntryCore;
use crate::nodes::duty::ranked_above;
use crate::store::news::take_event;
use crate::store::news::take_listing;
use crate::store::watch::wait_for_store;
use crate::store::watch_topic::WatchTopic;
use rand::RngExt;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::KvError;
use zinniahatch_route::ToldProof;

/// Pause between looks at the age of the proof.
const LOOK_TIME: Duration = Duration::from_millis(100);
/// Age of a proof, as a part of the operators' bound, at which the first node asks for another: of 5 s, 1.25 s.
const ASK_PART: f64 = 0.25;
/// The same that each node waits longer than the one ranked before it, of 5 s 0.6 s: it has to hear first what that
/// one was told, and cards come every 0.5 s. And the longest age at which any asks.
const RANK_PART: f64 = 0.12;
const LAST_PART: f64 = 0.55;
/// The same over which the nodes that are ranked last are spread.
const LAST_SPREAD: f64 = 0.1;
/// The duty by which the nodes of a region are ranked.
const PROVER_DUTY: &str = "keys";
/// Limit of a call; a store that is merely slow answers within it.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed call, and the jitter that keeps the nodes apart.
const RETRY_TIME: Duration = Duration::from_millis(400);
const RETRY_JITTER: std::ops::Range<f64> = 0.6..1.4;

/// Asks for proofs until the process ends.
pub(crate) async fn run_prover(core: Rc<EntryCore>) {
    loop {
        sleep(LOOK_TIME).await;
        if !is_due(&core) {
            continue;
        }
        wait_for_store(&core).await;
        // The scout's own call may have brought one.
        if !is_due(&core) {
            continue;
        }
        if let Err(error) = prove(&core).await {
            core.metrics.note_store("prove", "failed");
            core.note_store_failure();
            core.log.write(
                "proof-failed",
                serde_json::json!({"error": error.to_string(), "age_ms": age_ms(&core)}),
            );
            sleep(RETRY_TIME.mul_f64(rand::rng().random_range(RETRY_JITTER))).await;
        }
    }
}

fn age_ms(core: &EntryCore) -> Option<u64> {
    let age = core.proofs.borrow().age(core.clock.now())?;
    Some(age.as_millis() as u64)
}

/// Tells whether it falls to this node to ask now.
fn is_due(core: &EntryCore) -> bool {
    let Some(bound) = core.settings.bounds.revoke else {
        return false;
    };
    if !core.identities.borrow().is_guarded() {
        return false;
    }
    let Some(age) = core.proofs.borrow().age(core.clock.now()) else {
        return true;
    };
    let above = ranked_above(core, PROVER_DUTY) as f64;
    let others = core.members.borrow().names_in(&core.settings.region).len();
    let part = (ASK_PART + RANK_PART * above).min(LAST_PART);
    // Where all that are ranked first are cut off, the others do not ask in one moment.
    let apart = LAST_SPREAD * above / others.max(1) as f64;
    age >= bound.mul_f64(part + apart)
}

/// Asks the store what changed of the operators' keys.
async fn prove(core: &Rc<EntryCore>) -> Result<(), KvError> {
    let sent = core.clock.now();
    let Some(after) = core.operator_revision.get() else {
        let listing = core
            .store
            .items(WatchTopic::Operator.prefix(), CALL_TIME)
            .await?;
        let revision = take_listing(core, WatchTopic::Operator, listing);
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
        answer => answer?,
    };
    core.metrics.note_store("prove", "done");
    let now = Instant::now();
    for event in changes.events {
        take_event(core, event, now);
    }
    core.operator_revision
        .set(Some(changes.revision.max(after)));
    note_proof(core, sent);
    Ok(())
}

/// Notes that the store has shown this node all that the operators wrote, in answer to a call sent at a moment.
pub(crate) fn note_proof(core: &EntryCore, sent: Duration) {
    let version = core.version();
    // A store that came back from an older copy shows an older version as the newest; who follows a newer one
    // knows better.
    let heard = core.members.borrow().newest_version(Instant::now());
    let mut proofs = core.proofs.borrow_mut();
    proofs.note(version.max(heard), sent, version);
}

/// Takes a proof that another node told; `asked` is when this one had asked it.
pub(crate) fn hear_proof(core: &EntryCore, told: ToldProof, asked: Duration) {
    let version = core.version();
    core.proofs.borrow_mut().hear(told, asked, version);
}
