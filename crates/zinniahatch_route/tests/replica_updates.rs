//! Replica updates between store readers and the other nodes of a region, over links that lose them.

mod common;

use common::entry;
use proptest::prelude::*;
use std::time::Instant;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CoverageClaim;
use zinniahatch_route::ReadRange;
use zinniahatch_route::ReadScope;
use zinniahatch_route::ReaderCoverage;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::UpdateOutbox;

const MAX_UPDATES: usize = 4;

/// A step of a reader.
#[derive(Clone, Debug)]
enum Step {
    /// Reads some changes, each a write or a removal.
    Read(Vec<bool>),
    /// Sends what is pending; tells for each datagram whether it is lost.
    Send(Vec<bool>),
    /// Leaves out what it reads, as it does not hold the role for a moment.
    Skip,
}

fn steps() -> impl Strategy<Value = Vec<(usize, Step)>> {
    let step = prop_oneof![
        4 => prop::collection::vec(any::<bool>(), 0..12).prop_map(Step::Read),
        4 => prop::collection::vec(prop::bool::weighted(0.2), 0..6).prop_map(Step::Send),
        1 => Just(Step::Skip),
    ];
    prop::collection::vec((0..2_usize, step), 0..40)
}

proptest! {
    /// Guards against a node that takes itself for current although it lacks a replica that leaves.
    #[test]
    fn covered_changes_were_received(steps in steps()) {
        let now = Instant::now();
        // The changes of the store: each revision writes or removes one replica.
        let mut changes: Vec<bool> = Vec::new();
        let mut read = [0_usize; 2];
        let mut outboxes = [UpdateOutbox::default(), UpdateOutbox::default()];
        let scope = ReadScope::Region("north".into());
        let mut coverage = ReaderCoverage::new(scope.clone());
        coverage.note_covered(&CoverageClaim::new(scope.clone(), 0.into()));
        let mut received: BTreeSet<u64> = BTreeSet::new();
        for (reader, step) in steps {
            let outbox = &mut outboxes[reader];
            match step {
                Step::Read(more) => {
                    changes.extend(more);
                    let after = read[reader] as u64;
                    for (number, written) in changes.iter().enumerate().skip(read[reader]) {
                        let revision = StoreRevision::from(number as u64 + 1);
                        let id = format!("r{number}");
                        if *written {
                            outbox.push_written(ReplicaEntry { revision, ..entry(&id, "a") });
                        } else {
                            outbox.push_removed(id.into(), revision);
                        }
                    }
                    read[reader] = changes.len();
                    let upto = changes.len() as u64;
                    outbox.note_read(ReadRange { after: after.into(), upto: upto.into() });
                }
                Step::Skip => {
                    outbox.note_gap();
                    changes.push(true);
                    read[reader] = changes.len();
                }
                Step::Send(losses) => {
                    for lost in losses {
                        let Some((updates, range)) = outbox.take_batch(MAX_UPDATES) else {
                            break;
                        };
                        if lost {
                            continue;
                        }
                        received.extend(updates.written.iter().map(|entry| entry.revision.number));
                        received.extend(updates.removed.iter().map(|(_, revision)| revision.number));
                        if let Some(range) = range {
                            coverage.note_range(&scope, range, now);
                        }
                    }
                }
            }
            let covered = coverage.covered().unwrap_or_default().number;
            let lacking = (1..=covered).find(|number| !received.contains(number));
            prop_assert_eq!(lacking, None, "covered up to {}", covered);
        }
    }
}
