//! The cases.

use crate::http::wait_for;
use crate::replica::event;
use crate::site::Answer;
use crate::site::Call;
use crate::site::HOST;
use crate::site::PLACES;
use crate::site::Site;
use crate::site::send;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// Whether the case has its disruption.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case and returns its exit code.
pub fn run(name: &str, folder: &str) -> i32 {
    match name {
        "silent-channel" => silent_channel(folder),
        "short-notice" => short_notice(folder),
        "planned-stop" => planned_stop(folder),
        _ => NOT_RUN,
    }
}

/// A route of the desired state.
fn route(name: &str, kind: &str, service: &str, attempts: u32, resumable: bool, timeout_ms: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":500,\"priority\":2,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"affinity\":false,\"resumable\":{resumable},\"gap_target_ms\":300,\
         \"home_regions\":[]}}"
    )
}

fn config(version: u32, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\
                 \"tls\":false,\"warmup_s\":0.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// TWICE: the open channels between an entry VM and a server go silent while the server is in the
/// middle of its answer to a request that isn't idempotent.
fn silent_channel(folder: &str) -> i32 {
    const REQUESTS: usize = 4;
    const TIME_MS: u64 = 5_000;
    let routes = [route("sample-lookup", "non_idempotent", "register-portal", 2, false, 5_000)];
    let mut site = Site::start(&config(7, &routes, &["register-portal"]));
    for (zone, region) in PLACES {
        site.add_server(&format!("i-{region}"), "register-portal", zone, 0);
        site.add_entry((zone, region));
    }
    if !site.wait_ready() {
        return NOT_RUN;
    }
    let entry = site.entries[0].front.clone();
    let ask = |attempt: &str, path: &str| {
        let asked = Call { entry: &entry, method: "POST", path, attempt, time_ms: TIME_MS };
        send(&site.record, &asked, None)
    };
    for number in 0..5 {
        let answer = ask(&format!("before-{number}"), "/sample-lookup/a?work=30&rest=0");
        if answer.status != 200 {
            site.write_record(folder);
            return NOT_RUN;
        }
    }
    let attempts: Vec<String> = (0..REQUESTS).map(|number| format!("lookup-{number}")).collect();
    thread::scope(|scope| {
        for attempt in &attempts {
            scope.spawn(|| ask(attempt, "/sample-lookup/a?work=30&rest=200"));
        }
        if has_trouble() {
            // The server has sent the head and the first half of its answers by then.
            sleep(Duration::from_millis(130));
            site.servers[0].link.silence_open();
            site.record.note("the open channels to server i-lisboa go silent");
        }
    });
    let mut twice = 0;
    for attempt in &attempts {
        let runs = site.runs_of(attempt);
        site.record.note(format!("{attempt} was run {} times: {runs:?}", runs.len()));
        twice += usize::from(runs.len() > 1);
    }
    site.record.note(format!("TWICE: {twice} of {REQUESTS} requests that are not idempotent ran more than once"));
    site.write_record(folder);
    if twice > 0 { BROKEN } else { HELD }
}

/// MIXED, ORDER: a server that is removed at short notice is gone while answers without a length run.
fn short_notice(folder: &str) -> i32 {
    const STREAMS: usize = 140;
    const EVENTS: u64 = 58;
    const GAP_MS: u64 = 75;
    const NOTICE_MS: u64 = 2_000;
    let routes = [
        route("finding-query", "streaming", "register-llm", 2, true, 15_000),
        route("dossier-summary", "streaming", "register-llm", 1, false, 15_000),
    ];
    let mut site = Site::start(&config(7, &routes, &["register-llm"]));
    // As on the sheet: nine servers and seven entry VMs in three regions.
    for ((zone, region), (servers, entries)) in PLACES.into_iter().zip([(4, 3), (3, 2), (2, 2)]) {
        for number in 0..servers {
            site.add_server(&format!("i-{region}-{number}"), "register-llm", zone, 20);
        }
        for _ in 0..entries {
            site.add_entry((zone, region));
        }
    }
    if !site.wait_ready() {
        return NOT_RUN;
    }
    let fronts: Vec<String> = site.entries.iter().take(3).map(|entry| entry.front.clone()).collect();
    let record = site.record.clone();
    let path = |kind: &str| format!("/{kind}/q/events?count={EVENTS}&gap={GAP_MS}");
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, entry) = (record.clone(), fronts[number % fronts.len()].clone());
            let kind = if number % 2 == 0 { "finding-query" } else { "dossier-summary" };
            let path = path(kind);
            sleep(Duration::from_millis(15));
            thread::spawn(move || {
                let attempt = format!("{kind}-{number}");
                let asked = Call { entry: &entry, method: "POST", path: &path, attempt: &attempt, time_ms: 15_000 };
                let answer = send(&record, &asked, None);
                (attempt, answer)
            })
        })
        .collect();
    if has_trouble() {
        site.register(0, &format!("\"draining\",\"remaining_ms\":{NOTICE_MS}"));
        sleep(Duration::from_millis(NOTICE_MS));
        site.end_server(0);
        site.store.remove(&format!("servers/{}", site.servers[0].id));
    }
    let answers: Vec<(String, Answer)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let mut torn = 0;
    for (attempt, answer) in &answers {
        let whole: String = (1..=EVENTS).map(|id| event(attempt, id, EVENTS)).collect();
        if answer.status == 200 && answer.complete && answer.body != whole.as_bytes() {
            torn += 1;
            let events = String::from_utf8_lossy(&answer.body).matches("data: ").count();
            let runs = site.runs_of(attempt);
            site.record.note(format!(
                "{attempt} ended as complete with {events} of {EVENTS} events; run by {runs:?}"
            ));
        }
    }
    let served = answers.iter().filter(|(_, answer)| answer.status == 200 && answer.complete).count();
    site.record.note(format!(
        "{served} of {STREAMS} streams ended as complete; ORDER: {torn} of them before their last event"
    ));
    site.write_record(folder);
    if torn > 0 { BROKEN } else if served * 2 < STREAMS { NOT_RUN } else { HELD }
}

/// LOST: an entry VM gets SIGTERM while a client still reads an answer.
fn planned_stop(folder: &str) -> i32 {
    const CLIENTS: usize = 4;
    const TIME_MS: u64 = 15_000;
    /// Length of an answer, and bytes a second at which a client reads: 10 Mbit/s.
    const SIZE: u64 = 8 << 20;
    const PACE: u64 = 1_250_000;
    let routes = [route("register-export", "non_idempotent", "register-portal", 1, false, 15_000)];
    let mut site = Site::start(&config(7, &routes, &["register-portal"]));
    for (zone, region) in PLACES {
        site.add_server(&format!("i-{region}"), "register-portal", zone, 0);
        site.add_entry((zone, region));
    }
    site.add_entry(PLACES[0]);
    if !site.wait_ready() {
        return NOT_RUN;
    }
    let entry = site.entries[0].front.clone();
    let path = format!("/register-export/a?work=30&rest=0&size={SIZE}");
    let record = site.record.clone();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, entry, path) = (record.clone(), entry.clone(), path.clone());
            thread::spawn(move || {
                let attempt = format!("export-{number}");
                let asked = Call { entry: &entry, method: "POST", path: &path, attempt: &attempt, time_ms: TIME_MS };
                let answer = send(&record, &asked, Some(PACE));
                (attempt, answer)
            })
        })
        .collect();
    sleep(Duration::from_millis(500));
    if has_trouble() {
        site.signal_entry(0, "-TERM");
        let ended = wait_for(Duration::from_secs(12), || site.entry_ended(0));
        site.record.note(if ended { "entry VM 0 has ended" } else { "entry VM 0 goes on" });
    }
    let answers: Vec<(String, Answer)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let mut lost = 0;
    for (attempt, answer) in &answers {
        if !site.runs_of(attempt).is_empty() && !answer.complete {
            lost += 1;
            site.record.note(format!("{attempt} was passed on and its channel ended without a complete answer"));
        }
    }
    site.record.note(format!("LOST: {lost} of {CLIENTS} requests"));
    site.write_record(folder);
    if lost > 0 { BROKEN } else { HELD }
}
