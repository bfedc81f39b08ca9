//! A key-value registry with etcd's v3 JSON gateway: range calls and watches. As in etcd, a watch that has to
//! catch up gets the changes in batches, and the header of each message has the store's present revision, not
//! that of the last change in the message. A client resumes after the last change that it got.

use crate::record::Record;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The most revisions in one message to a watch that catches up (etcd's `watchBatchMaxRevs`).
const BATCH_REVISIONS: usize = 1_000;

#[derive(Default)]
struct State {
    revision: Cell<i64>,
    values: RefCell<BTreeMap<String, (String, i64)>>,
    /// Each change: revision, key, value.
    history: RefCell<Vec<(i64, String, String)>>,
    changed: Notify,
    /// Connections end when this is notified.
    cut: Notify,
    /// Whether new connections end at once.
    unreachable: Cell<bool>,
    /// The next watch ends after this number of messages with changes.
    cut_after: Cell<Option<usize>>,
    watches: Cell<usize>,
}

#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    state: Rc<State>,
    record: Record,
}

impl Registry {
    pub async fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let registry =
            Self { address: listener.local_addr().unwrap(), state: Rc::default(), record: record.clone() };
        let served = registry.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if served.state.unreachable.get() {
                    continue;
                }
                let served = served.clone();
                spawn_local(async move {
                    let state = served.state.clone();
                    tokio::select! {
                        biased;
                        () = state.cut.notified() => {}
                        () = served.serve(stream) => {}
                    }
                });
            }
        });
        registry
    }

    pub fn put(&self, key: &str, value: &str) -> i64 {
        let state = &self.state;
        let revision = state.revision.get() + 1;
        state.revision.set(revision);
        state.values.borrow_mut().insert(key.into(), (value.into(), revision));
        state.history.borrow_mut().push((revision, key.into(), value.into()));
        state.changed.notify_waiters();
        revision
    }

    pub fn watches(&self) -> usize {
        self.state.watches.get()
    }

    /// The connections break, and new ones end at once, until [`Self::return_to_service`].
    pub fn go_away(&self) {
        self.state.unreachable.set(true);
        self.state.cut.notify_waiters();
    }

    pub fn return_to_service(&self) {
        self.state.unreachable.set(false);
    }

    /// The next watch breaks after its first message with changes.
    pub fn break_next_watch(&self) {
        self.state.cut_after.set(Some(1));
    }

    async fn serve(self, mut stream: TcpStream) {
        let Some((target, body)) = read_request(&mut stream).await else { return };
        match target.as_str() {
            "/v3/kv/range" => {
                let revision = self.state.revision.get();
                self.record.line(format!("the registry answers a full read at revision {revision}"));
                let values: Vec<String> = {
                    let values = self.state.values.borrow();
                    values.iter().map(|(key, (value, at))| kv(key, value, *at)).collect()
                };
                let json = format!(
                    r#"{{"header":{{"revision":"{revision}"}},"kvs":[{}],"count":"{}"}}"#,
                    values.join(","),
                    values.len()
                );
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    json.len()
                );
                let _ = stream.write_all((head + &json).as_bytes()).await;
            }
            "/v3/watch" => self.watch(stream, start_revision(&body)).await,
            _ => {}
        }
    }

    async fn watch(&self, mut stream: TcpStream, from: i64) {
        let state = &self.state;
        state.watches.set(state.watches.get() + 1);
        let present = state.revision.get();
        self.record.line(format!("a watch begins at revision {from}; the registry is at {present}"));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let created = format!(r#"{{"result":{{"header":{{"revision":"{present}"}},"created":true}}}}"#);
        if stream.write_all(head.as_bytes()).await.is_err() || !chunk(&mut stream, &created).await {
            return;
        }
        let cut_after = state.cut_after.take();
        let (mut next, mut sent) = (from, 0);
        loop {
            let batch: Vec<(i64, String, String)> = state
                .history
                .borrow()
                .iter()
                .filter(|(revision, _, _)| *revision >= next)
                .take(BATCH_REVISIONS)
                .cloned()
                .collect();
            let present = state.revision.get();
            let line = if let (Some(first), Some(last)) = (batch.first(), batch.last()) {
                let (first, last) = (first.0, last.0);
                next = last + 1;
                sent += 1;
                self.record.line(format!(
                    "the registry sends the changes {first} to {last} in a message with revision {present}"
                ));
                let events: Vec<String> = batch
                    .iter()
                    .map(|(at, key, value)| format!(r#"{{"kv":{}}}"#, kv(key, value, *at)))
                    .collect();
                format!(
                    r#"{{"result":{{"header":{{"revision":"{present}"}},"events":[{}]}}}}"#,
                    events.join(",")
                )
            } else {
                format!(r#"{{"result":{{"header":{{"revision":"{present}"}}}}}}"#)
            };
            if !chunk(&mut stream, &line).await {
                return;
            }
            if cut_after == Some(sent) {
                // The message has arrived before the connection breaks.
                tokio::time::sleep(Duration::from_millis(100)).await;
                self.record.line("the connection of the watch breaks");
                return;
            }
            if next <= state.revision.get() {
                // etcd sends the next batch to a watch that catches up after 100 ms.
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
            tokio::select! {
                () = state.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(500)) => {}
            }
        }
    }
}

async fn chunk(stream: &mut TcpStream, line: &str) -> bool {
    let text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let (mut bytes, mut part) = (Vec::new(), [0u8; 4_096]);
    loop {
        let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&part[..n]);
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_string();
        let lower = head.to_lowercase();
        let length: usize =
            lower.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())?;
        if bytes.len() >= end + 4 + length {
            let target = head.split_whitespace().nth(1)?.to_string();
            return Some((target, String::from_utf8_lossy(&bytes[end + 4..]).to_string()));
        }
    }
}

fn start_revision(body: &str) -> i64 {
    let Some(at) = body.find("\"start_revision\"") else { return 0 };
    let digits: String = body[at + 16..]
        .chars()
        .skip_while(|c| !c.is_ascii_digit())
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

fn kv(key: &str, value: &str, revision: i64) -> String {
    format!(
        r#"{{"key":"{}","value":"{}","mod_revision":"{revision}","create_revision":"{revision}","version":"1"}}"#,
        base64(key.as_bytes()),
        base64(value.as_bytes())
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number =
            group.iter().fold(0u32, |number, byte| number << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= group.len() { digit } else { '=' });
        }
    }
    text
}
