//! A stand-in of the platform's store: items, ranges, watches, transactions and leases.
//!
//! It is always sound. Values are kept as the base64 text in which they come and go.

use crate::web::{answer, base64, read_request, Json, Request};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    create_rev: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and whether it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// Whether the store turns the machines of a listener away, with 503.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    pub fn set_closed(&self, closed: bool) {
        self.0.store(closed, Ordering::SeqCst);
    }

    fn is_closed(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn set(&mut self, key: &str, value: &str, lease: u64) {
        let create_rev = self.items.get(key).map_or(self.revision, |item| item.create_rev);
        let item = Item { value: value.to_string(), revision: self.revision, create_rev, lease };
        self.items.insert(key.to_string(), item.clone());
        self.history.push((self.revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_rev\":{},\"lease\":{}}}",
        item.value, item.revision, item.create_rev, item.lease
    )
}

impl Store {
    /// Serves on a free port, and returns the address and the gate of the machines that use it.
    pub fn serve(&self) -> (SocketAddr, Gate) {
        let gate = Gate::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let (store, passes) = (self.clone(), gate.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, passes) = (store.clone(), passes.clone());
                thread::spawn(move || store.run(stream, &passes));
            }
        });
        let store = self.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            store.state.0.lock().unwrap().expire();
            store.state.1.notify_all();
        });
        (address, gate)
    }

    /// Writes an item, as operators and replicas do.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.set(key, &base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    /// Removes an item, as operators do, and as the store does for replicas that are gone.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }

    fn run(&self, stream: TcpStream, gate: &Gate) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.respond(&request, gate);
            if answer(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request, gate: &Gate) -> (u16, String) {
        if gate.is_closed() {
            return (503, "{}".to_string());
        }
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => {
                let state = self.state.0.lock().unwrap();
                match state.items.get(&text("key")) {
                    Some(item) => (200, item_text(&text("key"), item)),
                    None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
                }
            }
            ("GET", "/kv-range") => {
                let state = self.state.0.lock().unwrap();
                let (prefix, after) = (text("path_prefix"), text("after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found.map(|(key, item)| item_text(key, item)).collect();
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{}}}", state.revision))
            }
            ("GET", "/kv-watch") => self.watch(&text("path_prefix"), number("after"), number("wait_ms"), gate),
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => {
                let mut state = self.state.0.lock().unwrap();
                state.last_lease += 1;
                let (lease, ttl) = (state.last_lease, body.number("ttl_ms"));
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            (method, path) => {
                let (call, lease) = path.rsplit_once('/').unwrap_or_default();
                let lease = lease.parse().unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                let Some((time, until)) = state.leases.get_mut(&lease) else {
                    return (404, "{}".to_string());
                };
                let ttl = time.as_millis();
                *until = Instant::now() + *time;
                if (method, call) == ("DELETE", "/kv-lease-end") {
                    state.end_lease(lease);
                }
                (200, format!("{{\"ttl_ms\":{ttl}}}"))
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64, gate: &Gate) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            if gate.is_closed() {
                return (503, "{}".to_string());
            }
            let new = state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = new
                .map(|(at, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"store_revision\":{}}}", state.revision));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let expected = body.list("expected_rev");
        let holds = |row: &Json| {
            let found = state.items.get(row.text("key")).map_or(0, |item| item.revision);
            found == row.number("revision")
        };
        if !expected.iter().all(holds) {
            let known = expected.iter().filter_map(|row| {
                let key = row.text("key");
                state.items.get(key).map(|item| item_text(key, item))
            });
            let known: Vec<String> = known.collect();
            return (412, format!("{{\"items\":[{}]}}", known.join(",")));
        }
        let sets = body.list("set_keys");
        if sets.iter().any(|row| row.number("lease") != 0 && !state.leases.contains_key(&row.number("lease"))) {
            return (404, "{}".to_string());
        }
        state.revision += 1;
        for row in sets {
            state.set(row.text("key"), row.text("value"), row.number("lease"));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                state.remove(key);
            }
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}
