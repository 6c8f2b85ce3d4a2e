//! Stand-in of the platform's metadata store: items, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Conn, Head, json_response};

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease_id: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as it was written, or `None` if it was removed.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease_id: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease_id,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, i)| i.lease_id == id)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::default(),
        };
        let handler = store.clone();
        http::serve(
            listener,
            Arc::new(move |conn, head, body| handler.handle(conn, &head, &body)),
        );
        store
    }

    /// Writes an item as the operator or a worker; returns when it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    fn handle(&self, conn: &mut Conn, head: &Head, body: &[u8]) -> io::Result<()> {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let response = match path {
            "/api/kv-range" => self.range(query),
            "/api/kv-watch" => self.watch(query),
            "/api/kv-txn" => self.txn(&String::from_utf8_lossy(body)),
            "/api/kv-lease" => self.lease(&String::from_utf8_lossy(body)),
            _ => match path.strip_prefix("/api/kv-keep/") {
                Some(id) => self.keep(id),
                None => json_response("404 Not Found", "{}"),
            },
        };
        conn.write(&response)
    }

    fn range(&self, query: &str) -> Vec<u8> {
        let prefix = parameter(query, "prefix");
        let after = parameter(query, "after");
        let mut state = self.shared.0.lock().unwrap();
        state.end_leases();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let entries: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        json_response(
            "200 OK",
            &format!(
                "{{\"entries\":[{}],\"truncated\":false,\"at\":{}}}",
                entries.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, query: &str) -> Vec<u8> {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            state.end_leases();
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
                return json_response("200 OK", &body);
            }
            let pause = (until - now).min(Duration::from_millis(200));
            state = changed.wait_timeout(state, pause).unwrap().0;
        }
    }

    /// Only unconditional writes of single items are understood, as the daemons make them.
    fn txn(&self, body: &str) -> Vec<u8> {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = json_text(body, "key");
        let value = json_text(body, "value");
        let lease_id = json_number(body, "lease_id").unwrap_or(0);
        state.end_leases();
        if lease_id != 0 && !state.leases.contains_key(&lease_id) {
            return json_response("404 Not Found", "{}");
        }
        if let (Some(key), Some(value)) = (key, value) {
            state.put(&key, value, lease_id);
        }
        changed.notify_all();
        json_response("200 OK", &format!("{{\"revision\":{}}}", state.revision))
    }

    fn lease(&self, body: &str) -> Vec<u8> {
        let ttl = Duration::from_millis(json_number(body, "ttl_ms").unwrap_or(1000));
        let mut state = self.shared.0.lock().unwrap();
        state.last_lease += 1;
        let id = state.last_lease;
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        let body = format!("{{\"lease_id\":{id},\"ttl_ms\":{}}}", ttl.as_millis());
        json_response("200 OK", &body)
    }

    fn keep(&self, id: &str) -> Vec<u8> {
        let mut state = self.shared.0.lock().unwrap();
        state.end_leases();
        let lease = id
            .parse()
            .ok()
            .and_then(|id: u64| state.leases.get_mut(&id));
        match lease {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                json_response("200 OK", &format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => json_response("404 Not Found", "{}"),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease_id\":{}}}",
        item.value, item.revision, item.created, item.lease_id
    )
}

fn parameter(query: &str, name: &str) -> String {
    let value = query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
    percent_decode(value.unwrap_or(""))
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).filter(|_| bytes[i] == b'%');
        let hex = hex.and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                i += 3;
            }
            None => {
                decoded.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// The text of a field in a flat JSON document without escapes.
pub fn json_text(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let rest = rest.strip_prefix('"')?;
    Some(rest.split_once('"')?.0.to_owned())
}

pub fn json_number(body: &str, name: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(ALPHABET[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
