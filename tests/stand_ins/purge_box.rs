//! A stand-in box for fleet purges, on loopback: it keeps tagged copies, answers the pop caches' line protocol
//! with each copy's birth (`t0`) and tags, fills what it lacks or may not serve from a shared stand-in origin, and
//! takes `POST /purges/apply` at a second address as a real box would, applying purges in order with its own
//! ledger. It can be made unreachable, slow to acknowledge, or deaf to `agelim`. The bytes of every answer say
//! which copy they are, so that a client can check each answer's age.
#![allow(dead_code)]

use edge_proxy::purge::active_purges::{Ledger, LedgerBounds};
use edge_proxy::purge::selector::{copy_name, Copy, Tag};
use edge_proxy::purge::wire::{from_json, to_json, Ack, Batch};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The system's Unix time in milliseconds, as the proxy's clock tells it.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

/// The tags of objects, the same at every box: the stand-in origin's catalogue.
#[derive(Default)]
pub struct Origin {
    pub tags: RefCell<HashMap<u64, Vec<Tag>>>,
    /// Copies given out.
    pub fills: Cell<u64>,
}

/// A copy held by a box.
#[derive(Clone, Debug)]
pub struct Held {
    pub name: String,
    pub born_ms: f64,
    pub tags: Vec<Tag>,
    pub group: u32,
}

/// What a box has done, for a test to look at.
#[derive(Default)]
pub struct Seen {
    /// The numbers of the purges it applied, in the order applied.
    pub applied: RefCell<Vec<u64>>,
    /// How often each number came in a batch, repeats included.
    pub received: RefCell<HashMap<u64, u32>>,
    /// Batches taken.
    pub batches: Cell<u64>,
    /// Floors taken.
    pub floors: Cell<u64>,
    /// Reads answered.
    pub reads: Cell<u64>,
}

/// A stand-in box.
pub struct PurgeBox {
    pub name: String,
    pub lines: SocketAddr,
    pub purges: SocketAddr,
    pub store: Rc<RefCell<HashMap<(u64, u32), Held>>>,
    pub ledger: Rc<RefCell<Ledger>>,
    pub seen: Rc<Seen>,
    /// Its purge address takes nothing: connections end at once.
    pub unreachable: Rc<Cell<bool>>,
    /// How long each batch waits before its answer, in milliseconds.
    pub ack_delay_ms: Rc<Cell<u64>>,
    /// Serves what it holds whatever `agelim` says, as a box with a bug would.
    pub deaf: Rc<Cell<bool>>,
    /// Keeps nothing and gives every copy out new, as the origin does.
    pub fresh_only: Rc<Cell<bool>>,
}

impl PurgeBox {
    /// A box with its two listeners at `ip`, the purge one at `purge_port` (0 for any).
    pub async fn start(name: &str, ip: &str, purge_port: u16, origin: Rc<Origin>) -> Self {
        let lines = TcpListener::bind(format!("{ip}:0")).await.unwrap();
        let purges = TcpListener::bind(format!("{ip}:{purge_port}")).await.unwrap();
        let boxed = Self {
            name: name.to_string(),
            lines: lines.local_addr().unwrap(),
            purges: purges.local_addr().unwrap(),
            store: Rc::default(),
            ledger: Rc::new(RefCell::new(Ledger::new(LedgerBounds::default()))),
            seen: Rc::default(),
            unreachable: Rc::default(),
            ack_delay_ms: Rc::default(),
            deaf: Rc::default(),
            fresh_only: Rc::default(),
        };
        let (store, ledger, seen) = (boxed.store.clone(), boxed.ledger.clone(), boxed.seen.clone());
        let modes = (boxed.deaf.clone(), boxed.fresh_only.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = lines.accept().await {
                let (store, ledger, seen, modes) =
                    (store.clone(), ledger.clone(), seen.clone(), modes.clone());
                spawn_local(Self::serve(stream, store, ledger, seen, modes, origin.clone()));
            }
        });
        let (store, ledger, seen) = (boxed.store.clone(), boxed.ledger.clone(), boxed.seen.clone());
        let (unreachable, delay) = (boxed.unreachable.clone(), boxed.ack_delay_ms.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = purges.accept().await {
                if unreachable.get() {
                    drop(stream);
                    continue;
                }
                spawn_local(Self::apply(stream, store.clone(), ledger.clone(), seen.clone(), delay.get()));
            }
        });
        boxed
    }

    /// The highest number applied.
    pub fn applied(&self) -> u64 {
        self.ledger.borrow().applied()
    }

    async fn serve(
        stream: TcpStream,
        store: Rc<RefCell<HashMap<(u64, u32), Held>>>,
        ledger: Rc<RefCell<Ledger>>,
        seen: Rc<Seen>,
        (deaf, fresh_only): (Rc<Cell<bool>>, Rc<Cell<bool>>),
        origin: Rc<Origin>,
    ) {
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut line = String::new();
        while read.read_line(&mut line).await.is_ok_and(|n| n > 0) {
            let words: Vec<String> = line.split_whitespace().map(String::from).collect();
            line.clear();
            if words.len() != 4 || words[0] != "GET" {
                continue;
            }
            let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
            if read.read_exact(&mut body).await.is_err() {
                return;
            }
            let fields: HashMap<&str, &str> = words[2].split(',').filter_map(|f| f.split_once('=')).collect();
            let object = u64::from_str_radix(fields["k"], 16).unwrap();
            let part: u32 = fields["p"].parse().unwrap();
            let group: u32 = fields.get("g").map_or(0, |g| g.parse().unwrap());
            let agelim: f64 = fields.get("agelim").map_or(0.0, |a| a.parse().unwrap());
            let name = copy_name(fields["c"], object, part);
            let now = now_ms();
            let usable = |held: &Held| {
                let copy = Copy { name: &name, object, group: held.group, tags: &held.tags };
                let young = agelim == 0.0 || now - held.born_ms <= agelim;
                (young || deaf.get()) && ledger.borrow().purges(&copy, held.born_ms).is_none()
            };
            let kept =
                store.borrow().get(&(object, part)).filter(|h| !fresh_only.get() && usable(h)).cloned();
            let held = kept.unwrap_or_else(|| {
                origin.fills.set(origin.fills.get() + 1);
                let tags = origin.tags.borrow().get(&object).cloned().unwrap_or_default();
                let held = Held { name: name.clone(), born_ms: now, tags, group };
                store.borrow_mut().insert((object, part), held.clone());
                held
            });
            seen.reads.set(seen.reads.get() + 1);
            let bytes = format!("object={object:016x} part={part} born={:.3}", held.born_ms);
            let tags: Vec<&str> = held.tags.iter().map(Tag::as_str).collect();
            let tags = if tags.is_empty() { String::new() } else { format!(",tags={}", tags.join("+")) };
            let head = format!(
                "{} ACK sum={:x},t0={:.3}{tags} {}\r\n",
                words[1],
                held.born_ms.to_bits() ^ object,
                held.born_ms,
                bytes.len()
            );
            let answer = [head.as_bytes(), bytes.as_bytes(), b"\r\n"].concat();
            if write.write_all(&answer).await.is_err() {
                return;
            }
        }
    }

    async fn apply(
        mut stream: TcpStream,
        store: Rc<RefCell<HashMap<(u64, u32), Held>>>,
        ledger: Rc<RefCell<Ledger>>,
        seen: Rc<Seen>,
        delay_ms: u64,
    ) {
        let Some(body) = read_call(&mut stream).await else { return };
        let Ok(batch) = from_json::<Batch>(&body) else {
            let _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await;
            return;
        };
        seen.batches.set(seen.batches.get() + 1);
        {
            let mut ledger = ledger.borrow_mut();
            if let Some(floor) = batch.floor.filter(|f| f.seq >= ledger.applied() && batch.from == f.seq + 1)
            {
                ledger.apply_floor(floor);
                seen.floors.set(seen.floors.get() + 1);
            }
            for purge in &batch.entries {
                *seen.received.borrow_mut().entry(purge.seq).or_default() += 1;
                if ledger.apply(purge) == edge_proxy::purge::active_purges::Applied::New {
                    seen.applied.borrow_mut().push(purge.seq);
                }
            }
            // A purge removes what it covers and is no younger than it; newer copies stay.
            store.borrow_mut().retain(|(object, _), held| {
                let copy = Copy { name: &held.name, object: *object, group: held.group, tags: &held.tags };
                ledger.purges(&copy, held.born_ms).is_none()
            });
            ledger.retire(batch.done, now_ms());
        }
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let body = to_json(&Ack { applied: ledger.borrow().applied() });
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        let _ = stream.write_all(&[head.as_bytes(), &body].concat()).await;
    }
}

/// Reads one HTTP request's body, by its `Content-Length`.
pub async fn read_call(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut chunk = [0u8; 8_192];
    loop {
        let n = stream.read(&mut chunk).await.ok()?;
        if n == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..n]);
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let length: usize =
            head.lines().find_map(|l| l.strip_prefix("content-length:"))?.trim().parse().ok()?;
        if bytes.len() >= end + 4 + length {
            return Some(bytes[end + 4..end + 4 + length].to_vec());
        }
    }
}
