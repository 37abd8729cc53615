//! Stand-in of the platform's store: items, ranges, watches, transactions and leases.

use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;
use crate::json::base64;
use crate::json::quoted;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order; `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

impl Data {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.history.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.into(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.items.iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) -> bool {
        let ended: Vec<u64> = self.leases.iter()
            .filter(|(_, (since, ttl))| since.elapsed() > *ttl)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    /// Starts the store and returns its address.
    pub fn start(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("an address").to_string();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let store = self.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            if store.data.0.lock().unwrap().expire() {
                store.data.1.notify_all();
            }
        });
        address
    }

    /// Writes a key, as the operator and the servers do.
    pub fn write(&self, key: &str, value: &str) {
        let mut data = self.data.0.lock().unwrap();
        data.revision += 1;
        data.set(key, base64(value.as_bytes()), 0);
        self.data.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut data = self.data.0.lock().unwrap();
        data.revision += 1;
        data.remove(key);
        self.data.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            let (status, body) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.send(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode_query(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.word(0), path) {
            ("GET", "/kv-key") => self.read(&text("key")),
            ("GET", "/kv-range") => self.range(&text("path_prefix"), &text("after")),
            ("GET", "/kv-watch") => self.watch(&text("path_prefix"), number("after"), number("wait_ms")),
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttl_ms").number().clamp(1_000, 600_000);
                let mut data = self.data.0.lock().unwrap();
                data.revision += 1;
                let lease = data.revision;
                data.leases.insert(lease, (Instant::now(), Duration::from_millis(ttl)));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut data = self.data.0.lock().unwrap();
                match data.leases.get_mut(&lease) {
                    Some((since, ttl)) => {
                        *since = Instant::now();
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut data = self.data.0.lock().unwrap();
                data.end_lease(lease);
                self.data.1.notify_all();
                (200, format!("{{\"revision\":{}}}", data.revision))
            }
            _ => (404, "{}".into()),
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap();
        match data.items.get(key) {
            Some(item) => {
                let text = item_text(key, item);
                let text = &text[..text.len() - 1];
                (200, format!("{text},\"store_revision\":{}}}", data.revision))
            }
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap();
        let found: Vec<String> = data.items.iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_text(key, item))
            .collect();
        let page = &found[..found.len().min(PAGE_ITEMS)];
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{},\"store_revision\":{}}}",
            page.join(","), found.len() > PAGE_ITEMS, data.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut data = self.data.0.lock().unwrap();
        loop {
            let events: Vec<String> = data.history.iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quoted(key)),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}", events.join(","), data.revision
                );
                return (200, body);
            }
            data = self.data.1.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut data = self.data.0.lock().unwrap();
        let expected = body.get("expected_rev").list();
        let holds = expected.iter().all(|row| {
            let item = data.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let items: Vec<String> = expected.iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    data.items.get(key).map(|item| item_text(key, item))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let sets = body.get("set_keys").list();
        let unknown = |row: &Json| {
            let lease = row.get("lease").number();
            lease > 0 && !data.leases.contains_key(&lease)
        };
        if sets.iter().any(unknown) {
            return (404, "{}".into());
        }
        data.revision += 1;
        for row in sets {
            let value = row.get("value").text().to_owned();
            data.set(row.get("key").text(), value, row.get("lease").number());
        }
        for key in body.get("remove").list() {
            data.remove(key.text());
        }
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{}}}", data.revision))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"create_rev\":{},\"lease\":{}}}",
        quoted(key), quoted(&item.value), item.revision, item.created, item.lease
    )
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
