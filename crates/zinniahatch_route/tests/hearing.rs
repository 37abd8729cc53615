//! What replicas say of themselves in their answers, and what of it is believed.

mod common;

use common::entry;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::AnswerProof;
use zinniahatch_route::ColdGate;
use zinniahatch_route::HeardNotice;
use zinniahatch_route::NamedLeaving;
use zinniahatch_route::NoticeEffect;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaNotice;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::Withheld;

const LEAVING: ReplicaNotice = ReplicaNotice {
    leaving: NamedLeaving::Leaving,
    rest: zinniahatch_route::NamedRest::Absent,
    rate_limit: zinniahatch_route::NamedLimit::Absent,
    load: None,
    cold_for: None,
};

fn life(born: u64, revision: Revision) -> ReplicaEntry {
    ReplicaEntry {
        born,
        revision: revision.into(),
        ..entry("r", "a")
    }
}

fn hear(
    table: &mut ReplicaTable,
    notice: &ReplicaNotice,
    proof: AnswerProof,
    now: Instant,
) -> NoticeEffect {
    let heard = HeardNotice {
        replica: life(1, 0).life().tag(),
        notice,
        proof,
        sent: now,
    };
    table.hear(&heard, now)
}

fn withheld(table: &mut ReplicaTable, now: Instant) -> Option<Withheld> {
    let claim = table.claim(&mut ColdGate::default(), "r", 0, now);
    claim.and_then(|claim| table.permit(claim)).err()
}

/// What the store or another node says after a replica has said that it leaves.
#[derive(Clone, Copy, Debug)]
enum LaterWord {
    Ready,
    Lapsed,
    Listed,
    OlderEra,
    Neighbour,
}

/// Guards against a leaving that something undoes in the life that said so.
#[test_case(LaterWord::Ready; "ready")]
#[test_case(LaterWord::Lapsed; "lapsed_and_written_again")]
#[test_case(LaterWord::Listed; "listed")]
#[test_case(LaterWord::OlderEra; "store_came_back_older")]
#[test_case(LaterWord::Neighbour; "neighbour_that_is_behind")]
fn leaving_is_for_the_life(word: LaterWord) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    assert!(hear(&mut table, &LEAVING, AnswerProof::Sealed, now).leaving);
    assert!(!hear(&mut table, &LEAVING, AnswerProof::Sealed, now).leaving);
    match word {
        LaterWord::Ready => {
            table.upsert(life(1, 11), now);
        }
        LaterWord::Lapsed => {
            table.vanish("r", 11.into(), now);
            table.tick(now);
            assert_eq!(table.rows().count(), 0);
            table.upsert(life(1, 12), now);
        }
        LaterWord::Listed => {
            table.relist(vec![life(1, 10)], 12.into(), now);
        }
        LaterWord::OlderEra => {
            let revision = StoreRevision { era: 1, number: 3 };
            table.upsert(
                ReplicaEntry {
                    revision,
                    ..life(1, 0)
                },
                now,
            );
        }
        LaterWord::Neighbour => {
            table.note_store_trouble(now);
            table.learn(vec![life(1, 10)], &[], now);
        }
    }
    assert_eq!(withheld(&mut table, now), Some(Withheld::Leaving));
}

/// Guards against a new life that is left alone for what the one before it said.
#[test]
fn next_life_does_not_leave() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    hear(&mut table, &LEAVING, AnswerProof::Sealed, now);
    table.upsert(life(2, 11), now);
    assert_eq!(withheld(&mut table, now), None);
    // An answer of the life before that was late.
    let effect = hear(&mut table, &LEAVING, AnswerProof::Sealed, now);
    assert_eq!(effect, NoticeEffect::default());
    assert!(!table.hear_leaving(&life(1, 0).life()));
    assert_eq!(withheld(&mut table, now), None);
}

/// Guards against a claim that outlives what it was taken for.
#[test]
fn claim_lapses_where_the_replica_says_that_it_leaves() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let claim = table.claim(&mut ColdGate::default(), "r", 0, now).unwrap();
    hear(&mut table, &LEAVING, AnswerProof::Named, now);
    assert_eq!(table.permit(claim).unwrap_err(), Withheld::Leaving);
}

/// Guards against nodes that go on sending to a replica which told another one that it leaves.
#[test]
fn news_of_a_neighbour_count() {
    let now = Instant::now();
    let mut told = ReplicaTable::default();
    told.upsert(life(1, 10), now);
    hear(&mut told, &LEAVING, AnswerProof::Sealed, now);
    let mut other = ReplicaTable::default();
    other.upsert(life(1, 10), now);
    assert_ne!(told.leaving_digest(), other.leaving_digest());
    for life in told.said_leaving() {
        assert!(other.hear_leaving(life));
    }
    assert_eq!(told.leaving_digest(), other.leaving_digest());
    assert_eq!(withheld(&mut other, now), Some(Withheld::Leaving));
}
