//! Where requests go: sessions stay, load spreads, sick and leaving replicas get nothing.

mod common;

use common::AskParts;
use common::card;
use common::entry;
use common::prompt;
use common::regions;
use common::table;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CachedPrefix;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::LeaveReason;
use zinniahatch_route::LocalPlacement;
use zinniahatch_route::MemberTable;
use zinniahatch_route::PromptSize;
use zinniahatch_route::RemoteAttempts;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::choose_local;
use zinniahatch_route::choose_remote;

fn choose(table: &ReplicaTable, parts: &AskParts, now: Instant) -> Option<LocalPlacement> {
    choose_local(
        table,
        &ColdLimiter::default(),
        &regions(),
        &parts.ask(),
        now,
    )
}

#[test]
fn choose_local_keeps_a_session() {
    let now = Instant::now();
    let table = table(&["r1", "r2", "r3", "r4"], now);
    let mut used = BTreeSet::new();
    for session in 0..40 {
        let first = choose(&table, &AskParts::new(prompt(session, 1)), now).unwrap();
        let again = choose(&table, &AskParts::new(prompt(session, 2)), now).unwrap();
        assert_eq!(first.replica, again.replica, "session {session} moved");
        used.insert(first.replica);
    }
    assert_eq!(used.len(), 4, "sessions spread over all replicas");
}

/// A replica of four left and every session moved, so that all prompts were read again at once.
/// Only the sessions of the one that left may move.
#[test]
fn choose_local_moves_only_what_left() {
    let now = Instant::now();
    let mut table = table(&["r1", "r2", "r3", "r4"], now);
    let before: Vec<ReplicaId> = (0..40)
        .map(|session| {
            choose(&table, &AskParts::new(prompt(session, 1)), now)
                .unwrap()
                .replica
        })
        .collect();
    table.get_mut("r2").unwrap().leaving = Some(LeaveReason::Draining);
    for (session, old) in before.iter().enumerate() {
        let parts = AskParts::new(prompt(session as u64, 1));
        let new = choose(&table, &parts, now).unwrap().replica;
        if &**old == "r2" {
            assert_ne!(new, *old);
        } else {
            assert_eq!(new, *old, "session {session} moved without need");
        }
    }
}

/// A burst of one session's requests queued up behind its own replica while the others idled, and
/// its callers waited seconds. Beyond a bounded load a session goes elsewhere.
#[test]
fn choose_local_leaves_a_busy_first_choice() {
    let now = Instant::now();
    let mut table = table(&["r1", "r2"], now);
    let parts = AskParts::new(prompt(7, 1));
    let first = choose(&table, &parts, now).unwrap().replica;
    table.get_mut(&first).unwrap().local_work = InFlightWork {
        requests: 5,
        tokens: 60_000,
        urgent_requests: 0,
        urgent_tokens: 0,
    };
    let second = choose(&table, &parts, now).unwrap();
    assert_ne!(second.replica, first);
    assert_eq!(second.wait, Duration::ZERO);
}

/// All slots of a region were held by long answers. Urgent requests were expected to wait half a second
/// for one and went to other regions, though engines put the common ones off and began after 100 ms.
#[test]
fn choose_local_urgent_does_not_wait_for_common_slots() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    let parts = AskParts::new(prompt(7, 1));
    let mut full = InFlightWork {
        requests: 20,
        ..InFlightWork::default()
    };
    let mut expect = |full: InFlightWork, urgent: bool| {
        table.get_mut("r1").unwrap().local_work = full;
        let mut ask = parts.ask();
        ask.urgent = urgent;
        choose_local(&table, &ColdLimiter::default(), &regions(), &ask, now).unwrap()
    };
    assert!(expect(full, false).slot_wait > Duration::ZERO);
    assert_eq!(expect(full, true).slot_wait, Duration::ZERO);
    full.urgent_requests = 20;
    assert!(expect(full, true).slot_wait > Duration::ZERO);
}

/// A session's shared parts were read again by each replica that the load pushed it to, a third of
/// all reading. A replica that lacks them names the one that keeps them, and copies.
#[test]
fn choose_local_copies_from_the_keeper() {
    let now = Instant::now();
    let mut table = table(&["r1", "r2"], now);
    let mut parts = AskParts::new(prompt(7, 1));
    parts.copy_token = Duration::from_micros(2);
    let first = choose(&table, &parts, now).unwrap().replica;
    let read = CachedPrefix {
        replica: entry(&first, "a").incarnation().tag(),
        parts: parts.size.parts[..2].to_vec(),
    };
    table.apply_cached_prefixes(&[read], |_| 100_000);
    let at_home = choose(&table, &parts, now).unwrap();
    assert_eq!((at_home.tokens, at_home.copy_from), (3_000, None));
    table.get_mut(&first).unwrap().local_work.tokens = 60_000;
    let elsewhere = choose(&table, &parts, now).unwrap();
    assert_ne!(elsewhere.replica, first);
    assert_eq!(elsewhere.tokens, 3_000, "only its own part is read");
    assert_eq!(elsewhere.copy_from, Some(first));
}

#[test]
fn choose_local_without_replicas_for_new_work() {
    let now = Instant::now();
    let parts = AskParts::new(PromptSize::default());
    assert!(choose(&table(&[], now), &parts, now).is_none());

    let mut leaving = table(&["r1"], now);
    leaving.get_mut("r1").unwrap().leaving = Some(LeaveReason::Draining);
    assert!(choose(&leaving, &parts, now).is_none());

    let mut evacuated = table(&["r1"], now);
    evacuated.set_evacuated(&["a".into()].into(), 1.into(), now);
    assert!(choose(&evacuated, &parts, now).is_none());

    let mut unreached = table(&["r1"], now);
    unreached
        .get_mut("r1")
        .unwrap()
        .health
        .note_unreachable(now);
    assert!(choose(&unreached, &parts, now).is_none());

    let mut far = ReplicaTable::default();
    far.upsert(entry("r1", "b"), now);
    assert!(
        choose(&far, &parts, now).is_none(),
        "another region's replica"
    );
}

/// A replica was taken away with two seconds' notice and cut off every answer that was longer.
/// It gets only what ends before.
#[test]
fn choose_local_with_short_notice() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.get_mut("r1").unwrap().terminates_at = Some(now + Duration::from_secs(2));
    let parts = AskParts::new(PromptSize::default());
    assert!(
        choose(&table, &parts, now).is_none(),
        "the deadline is in five seconds"
    );
}

/// A region's nodes sent their whole load to a replica that had just started; it crashed. Over any
/// second and over all nodes a cold replica gets no more than its bound.
#[test]
fn choose_local_bounds_a_cold_replica() {
    let start = Instant::now();
    let names = ["n1", "n2", "n3", "n4", "n5"];
    let peers: BTreeSet<NodeId> = names.iter().map(|name| (*name).into()).collect();
    let bound = 6.3;
    let mut sent: Vec<Instant> = Vec::new();
    let mut gates: Vec<ColdLimiter> = names.iter().map(|_| ColdLimiter::default()).collect();
    for step in 0..400_u64 {
        let now = start + Duration::from_millis(step * 10);
        for (name, gate) in names.iter().zip(&mut gates) {
            let share = ColdLimiter::share(bound, "r1", name, &peers);
            if gate.allows("r1", share, now) {
                gate.note(&"r1".into(), now);
                sent.push(now);
            }
        }
    }
    for (index, first) in sent.iter().enumerate() {
        let within = sent[index..]
            .iter()
            .take_while(|at| at.duration_since(*first) < Duration::from_secs(1))
            .count();
        assert!(within as f64 <= bound, "{within} in one second");
    }
    assert!(sent.len() >= 12, "the bound is also used: {}", sent.len());
}

/// A node started anew, knew nobody, and took the whole bound of a cold replica for itself while the
/// others used their parts: eight requests in a second where six are allowed.
#[test]
fn share_of_a_node_that_knows_nobody() {
    let bound = 6.3;
    let names = ["n1", "n2"];
    let known: BTreeSet<NodeId> = names.iter().map(|name| (*name).into()).collect();
    let fresh = ColdLimiter::share(bound, "r1", "n3", &BTreeSet::new());
    let others = names.map(|name| ColdLimiter::share(bound, "r1", name, &known));
    let sum = fresh + others.iter().sum::<usize>();
    assert!(sum as f64 <= bound, "{sum} of {bound}");
}

#[test]
fn choose_away_takes_the_sooner_region() {
    let now = Instant::now();
    let mut members = MemberTable::default();
    members.update(card("s1", "south", 400, 2), true, now);
    members.update(card("w1", "west", 50, 2), true, now);
    members.update(card("w2", "west", 60, 2), true, now);
    members.update(card("e1", "east", 0, 0), true, now);
    let table = ReplicaTable::default();
    let parts = AskParts::new(PromptSize::default());
    let names =
        |list: &[&str]| -> BTreeSet<Box<str>> { list.iter().map(|name| (*name).into()).collect() };
    let away = |allowed: &[&str], regions: &[&str], nodes: &[&str]| {
        let allowed = names(allowed);
        let tried = RemoteAttempts {
            regions: names(regions),
            nodes: names(nodes),
        };
        choose_remote(&members, &table, &parts.ask(), &allowed, &tried, 0, now)
            .map(|choice| choice.node)
    };
    assert_eq!(away(&[], &[], &[]).as_deref(), Some("w1"));
    assert_eq!(
        away(&["south"], &[], &[]).as_deref(),
        Some("s1"),
        "homes bind"
    );
    assert_eq!(away(&[], &["west"], &[]).as_deref(), Some("s1"));
    assert_eq!(away(&["east"], &[], &[]), None, "no sound replica there");
    let other = away(&[], &[], &["w1"]);
    assert_eq!(other.as_deref(), Some("w2"), "another node of the region");
    let later = now + Duration::from_secs(3);
    assert!(
        choose_remote(
            &members,
            &table,
            &parts.ask(),
            &BTreeSet::new(),
            &RemoteAttempts::default(),
            0,
            later
        )
        .is_none(),
        "silent nodes get nothing"
    );
}

/// Thirty nodes heard in one datagram that one of forty replicas was idle, and all sent there before
/// they heard of each other: five long prompts lay ahead of each other while others idled.
#[test]
fn choose_local_spreads_before_news_arrives() {
    let now = Instant::now();
    let ids: Vec<String> = (0..40).map(|number| format!("r{number:02}")).collect();
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut table = table(&names, now);
    for (number, belief) in table.rows_mut().enumerate() {
        belief.local_work.tokens = if number == 7 { 0 } else { 20_000 };
    }
    let mut counts: BTreeMap<ReplicaId, usize> = BTreeMap::new();
    for node in 0..30 {
        let parts = AskParts::new(prompt(node, node));
        let mut ask = parts.ask();
        ask.draw = node.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let choice = choose_local(&table, &ColdLimiter::default(), &regions(), &ask, now).unwrap();
        *counts.entry(choice.replica).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 10, "{most} of 30 at one replica");
}

/// A replica turned five times slower and went on answering. Half of its session's prompts began late, since
/// its queue was no longer than those of others. What its answers took sends new ones to another choice.
#[test]
fn choose_local_leaves_a_replica_that_turned_slow() {
    let now = Instant::now();
    let mut table = table(&["r1", "r2", "r3", "r4"], now);
    let parts = AskParts::new(prompt(7, 1));
    let first = choose(&table, &parts, now).unwrap();
    for _ in 0..10 {
        let slow = table.get_mut(&first.replica).unwrap();
        slow.note_latency(first.expected, first.expected * 5);
    }
    let other = choose(&table, &parts, now).unwrap();
    assert_ne!(other.replica, first.replica);
    // As fast as before, it has its session back.
    for _ in 0..60 {
        let healed = table.get_mut(&first.replica).unwrap();
        healed.note_latency(first.expected, first.expected);
    }
    assert_eq!(choose(&table, &parts, now).unwrap().replica, first.replica);
}
