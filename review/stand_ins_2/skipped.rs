//! The store turns the machines of one region away for some seconds, while it serves the others and the replicas.

use crate::fleet::{Call, Fleet, REGION, ZONE};
use crate::site::{give_up, Record};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time for which the store turns machines away, at most 9 s on the site.
const AWAY: Duration = Duration::from_secs(9);
/// `contact_ms`, `drain_ms` and `recovery_s` of the site.
const CONTACT: Duration = Duration::from_millis(6_000);
const DRAIN: Duration = Duration::from_millis(4_000);
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which a replica goes on beyond `drain_ms`: "many seconds".
const LINGER: Duration = Duration::from_secs(12);
/// Time after which processes that were killed are started again.
const DOWN: Duration = Duration::from_millis(1_400);

/// DRAIN: a replica of the region reports that it is draining while the machines of the region are turned away.
pub fn drain(record: &Arc<Record>, trouble: bool) -> bool {
    let fleet = Fleet::start(record);
    let clients = fleet.clients(record);
    thread::sleep(Duration::from_secs(8));
    let leaving = &fleet.replicas[REGION * 2];
    let away = Duration::from_secs(5);
    let began = Instant::now();
    if trouble {
        fleet.gate.set_closed(true);
        record.note("the store answers the machines of the region with 503");
    }
    thread::sleep(Duration::from_secs(3));
    leaving.drain(&fleet.store, ZONE);
    let accepted = Instant::now();
    thread::sleep((began + away).saturating_duration_since(Instant::now()));
    fleet.gate.set_closed(false);
    let in_touch = Instant::now() + CONTACT;
    record.note("the store serves the machines of the region");
    thread::sleep((accepted + DRAIN + LINGER).saturating_duration_since(Instant::now()));
    leaving.crash();
    thread::sleep(Duration::from_secs(2));
    let calls = clients.stop();
    let bound = in_touch.max(accepted + DRAIN);
    let arrivals = leaving.arrivals();
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > bound).collect();
    for (at, attempt) in late.iter().take(20) {
        let after = at.saturating_duration_since(accepted).as_millis();
        record.note(&format!("request {attempt} reached replica {} {after} ms after the store's answer", leaving.name));
    }
    note_calls(record, &calls);
    record.note(&format!(
        "{} requests reached the draining replica later than 4 s after the store had accepted its report, from machines \
         that had been served by the store for 6 s",
        late.len()
    ));
    if calls.iter().filter(|call| call.served).count() * 2 < calls.len() || arrivals.is_empty() {
        give_up(record, "most requests weren't served");
    }
    finish(record, "DRAIN", !late.is_empty())
}

/// RECOVER: all processes are killed while the machines of the region are turned away.
pub fn recover(record: &Arc<Record>, trouble: bool) -> bool {
    let mut fleet = Fleet::start(record);
    let clients = fleet.clients(record);
    thread::sleep(Duration::from_secs(8));
    let fault = Instant::now();
    if trouble {
        if std::env::var("AWAY").is_ok_and(|value| value == "0") {
            record.note("the store goes on to serve all machines");
        } else {
            fleet.gate.set_closed(true);
            record.note("the store answers the machines of the region with 503");
        }
        thread::sleep(Duration::from_millis(500));
        fleet.change_config();
        record.note("the store has accepted a desired state");
        thread::sleep(Duration::from_millis(50));
        for entry in &mut fleet.entries {
            entry.kill();
        }
        record.note("all processes are killed");
        thread::sleep(DOWN);
        for entry in &mut fleet.entries {
            entry.restart();
        }
        record.note("all processes are started again");
    }
    thread::sleep((fault + AWAY).saturating_duration_since(Instant::now()));
    fleet.gate.set_closed(false);
    let back = Instant::now();
    record.note("the store serves all machines");
    thread::sleep(RECOVERY + Duration::from_secs(12));
    for entry in &fleet.entries {
        let ready = if entry.is_ready() { "ready" } else { "not ready" };
        record.note(&format!("{} is {ready}", entry.name));
    }
    let calls = clients.stop();
    note_calls(record, &calls);
    let before = share(calls.iter().filter(|call| call.sent < fault));
    let after = share(calls.iter().filter(|call| call.sent > back + RECOVERY));
    record.note(&format!(
        "served before the final fault: {} of {}; later than 12 s after the machines are back and the store serves them: {} of {}",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 < 20 {
        give_up(record, "too little was served before, or asked after");
    }
    finish(record, "RECOVER", after.0 * 4 < after.1)
}

/// Returns how many requests were served, and how many there were.
fn share<'a>(calls: impl Iterator<Item = &'a Call>) -> (usize, usize) {
    calls.fold((0, 0), |(served, all), call| (served + usize::from(call.served), all + 1))
}

fn note_calls(record: &Record, calls: &[Call]) {
    let (served, all) = share(calls.iter());
    record.note(&format!("clients sent {all} requests, of which {served} were served"));
    let unserved = calls.iter().filter(|call| !call.served);
    for call in unserved.take(10) {
        record.note(&format!("not served: {:?}", call.attempts));
    }
}

fn finish(record: &Record, rule: &str, broken: bool) -> bool {
    record.note(&format!("{rule} {}", if broken { "is broken" } else { "holds" }));
    broken
}
