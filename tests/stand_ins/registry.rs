//! Stand-in key-value registry on loopback. Implements the part of etcd's v3 JSON gateway that the proxy
//! uses: range calls, and watches with progress notifications and compaction. Simulates faults: closed
//! watches, withheld responses, malformed bodies, and duplicate and reordered changes.
#![allow(dead_code)]

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// A change of a key. `value` is `None` for a deletion.
#[derive(Clone, Debug)]
struct Event {
    revision: i64,
    key: String,
    value: Option<Vec<u8>>,
}

/// State of the registry and the simulated faults.
#[derive(Default)]
pub struct Store {
    pub revision: Cell<i64>,
    kv: RefCell<BTreeMap<String, (Vec<u8>, i64)>>,
    history: RefCell<Vec<Event>>,
    pub compact_revision: Cell<i64>,
    /// Watches end when this number changes.
    watch_generation: Cell<u64>,
    /// Time until which responses and watch messages are withheld.
    unresponsive_until: Cell<Option<Instant>>,
    /// Whether responses and watch messages are malformed.
    pub malformed: Cell<bool>,
    /// Whether watch messages contain their changes twice: in reverse order, then in order.
    pub sends_duplicates: Cell<bool>,
    pub range_calls: Cell<u64>,
    pub watch_calls: Cell<u64>,
    /// Wakes the watches after a change.
    changed: Notify,
}

pub struct Registry {
    pub address: SocketAddr,
    pub store: Rc<Store>,
}

impl Registry {
    pub async fn start(ip: &str) -> Self {
        let listener = TcpListener::bind(format!("{ip}:0")).await.unwrap();
        let registry = Self { address: listener.local_addr().unwrap(), store: Rc::default() };
        let store = registry.store.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve_call(stream, store.clone()));
            }
        });
        registry
    }

    /// Writes a key and returns its revision.
    pub fn put(&self, key: &str, value: &str) -> i64 {
        let store = &self.store;
        let revision = store.revision.get() + 1;
        store.revision.set(revision);
        store.kv.borrow_mut().insert(key.into(), (value.as_bytes().to_vec(), revision));
        store.history.borrow_mut().push(Event {
            revision,
            key: key.into(),
            value: Some(value.as_bytes().to_vec()),
        });
        store.changed.notify_waiters();
        revision
    }

    /// Deletes a key and returns the revision of the deletion.
    pub fn delete(&self, key: &str) -> i64 {
        let store = &self.store;
        let revision = store.revision.get() + 1;
        store.revision.set(revision);
        store.kv.borrow_mut().remove(key);
        store.history.borrow_mut().push(Event { revision, key: key.into(), value: None });
        store.changed.notify_waiters();
        revision
    }

    /// Compacts the history up to the current revision.
    pub fn compact(&self) {
        let store = &self.store;
        store.compact_revision.set(store.revision.get());
        let at = store.compact_revision.get();
        store.history.borrow_mut().retain(|e| e.revision > at);
    }

    /// Simulates a restore from a backup: drops the history, writes the given keys from revision 1 on, and
    /// closes all watches. Returns the new revision.
    pub fn restore(&self, kvs: &[(String, String)]) -> i64 {
        let store = &self.store;
        store.revision.set(0);
        store.compact_revision.set(0);
        store.kv.borrow_mut().clear();
        store.history.borrow_mut().clear();
        for (key, value) in kvs {
            self.put(key, value);
        }
        self.close_watches();
        store.revision.get()
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        self.store.watch_generation.set(self.store.watch_generation.get() + 1);
        self.store.changed.notify_waiters();
    }

    /// Closes all watches and withholds all responses and watch messages for `duration`.
    pub fn stop_responding(&self, duration: Duration) {
        self.store.unresponsive_until.set(Some(Instant::now() + duration));
        self.close_watches();
    }
}

fn is_unresponsive(store: &Store) -> bool {
    store.unresponsive_until.get().is_some_and(|until| Instant::now() < until)
}

fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

fn kv_json(key: &str, value: &[u8], revision: i64) -> String {
    format!(
        r#"{{"key":"{}","value":"{}","mod_revision":"{revision}","create_revision":"{revision}","version":"1"}}"#,
        encode_base64(key.as_bytes()),
        encode_base64(value)
    )
}

/// Extracts and decodes `key` and `range_end` from the body of a call.
fn key_range(body: &str) -> Option<(String, String)> {
    let field = |name: &str| {
        let from = body.find(&format!("\"{name}\":\""))? + name.len() + 4;
        let to = body[from..].find('"')? + from;
        String::from_utf8(STANDARD.decode(&body[from..to]).ok()?).ok()
    };
    Some((field("key")?, field("range_end")?))
}

fn start_revision_of(body: &str) -> i64 {
    let Some(from) = body.find("\"start_revision\":\"") else { return 0 };
    let from = from + 18;
    body[from..].split('"').next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut chunk = [0u8; 4_096];
    loop {
        let n = stream.read(&mut chunk).await.ok()?;
        if n == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..n]);
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_string();
        let length: usize = head
            .to_lowercase()
            .lines()
            .find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok())?;
        if bytes.len() >= end + 4 + length {
            let target = head.split_whitespace().nth(1)?.to_string();
            return Some((target, String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]).to_string()));
        }
    }
}

async fn serve_call(mut stream: TcpStream, store: Rc<Store>) {
    let Some((target, body)) = read_request(&mut stream).await else { return };
    while is_unresponsive(&store) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    match target.as_str() {
        "/v3/kv/range" => {
            store.range_calls.set(store.range_calls.get() + 1);
            let Some((key, end)) = key_range(&body) else { return };
            let revision = store.revision.get();
            let kvs: Vec<String> =
                store.kv.borrow().range(key..end).map(|(k, (v, r))| kv_json(k, v, *r)).collect();
            let json = if store.malformed.get() {
                "{\"header\":{\"revision\":".to_string()
            } else {
                format!(
                    r#"{{"header":{{"revision":"{revision}"}},"kvs":[{}],"count":"{}"}}"#,
                    kvs.join(","),
                    kvs.len()
                )
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                json.len()
            );
            let _ = stream.write_all(format!("{head}{json}").as_bytes()).await;
        }
        "/v3/watch" => {
            store.watch_calls.set(store.watch_calls.get() + 1);
            let Some((key, end)) = key_range(&body) else { return };
            serve_watch(stream, store, key, end, start_revision_of(&body)).await;
        }
        _ => {
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
        }
    }
}

async fn write_chunk(stream: &mut TcpStream, line: &str) -> bool {
    let data = format!("{line}\n");
    stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).await.is_ok()
}

async fn serve_watch(mut stream: TcpStream, store: Rc<Store>, key: String, end: String, start_revision: i64) {
    let generation = store.watch_generation.get();
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(head).await.is_err() {
        return;
    }
    let revision = store.revision.get();
    if start_revision <= store.compact_revision.get() {
        let line = format!(
            r#"{{"result":{{"header":{{"revision":"{revision}"}},"canceled":true,"compact_revision":"{}","cancel_reason":"mvcc: required revision has been compacted"}}}}"#,
            store.compact_revision.get()
        );
        let _ = write_chunk(&mut stream, &line).await;
        let _ = stream.write_all(b"0\r\n\r\n").await;
        return;
    }
    let created = format!(r#"{{"result":{{"header":{{"revision":"{revision}"}},"created":true}}}}"#);
    if !write_chunk(&mut stream, &created).await {
        return;
    }
    let mut next = start_revision;
    while store.watch_generation.get() == generation {
        if !is_unresponsive(&store) {
            let line = watch_line(&store, &key, &end, next);
            next = store.revision.get() + 1;
            if !write_chunk(&mut stream, &line).await {
                return;
            }
        }
        tokio::select! {
            () = store.changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(500)) => {}
        }
    }
}

/// A watch message with all changes of a key range from a revision on, or a progress notification if there
/// are none.
fn watch_line(store: &Store, key: &str, end: &str, from: i64) -> String {
    if store.malformed.get() {
        return "{\"result\":{\"events\":[{\"kv\":".to_string();
    }
    let revision = store.revision.get();
    let history = store.history.borrow();
    let is_included = |e: &&Event| e.revision >= from && e.key.as_str() >= key && e.key.as_str() < end;
    let mut events: Vec<String> = history.iter().filter(is_included).map(event_json).collect();
    if events.is_empty() {
        return format!(r#"{{"result":{{"header":{{"revision":"{revision}"}}}}}}"#);
    }
    if store.sends_duplicates.get() {
        let reversed: Vec<String> = events.iter().rev().cloned().collect();
        events = reversed.into_iter().chain(events).collect();
    }
    format!(r#"{{"result":{{"header":{{"revision":"{revision}"}},"events":[{}]}}}}"#, events.join(","))
}

fn event_json(event: &Event) -> String {
    match &event.value {
        Some(value) => format!(r#"{{"kv":{}}}"#, kv_json(&event.key, value, event.revision)),
        None => format!(
            r#"{{"type":"DELETE","kv":{{"key":"{}","mod_revision":"{}"}}}}"#,
            encode_base64(event.key.as_bytes()),
            event.revision
        ),
    }
}
