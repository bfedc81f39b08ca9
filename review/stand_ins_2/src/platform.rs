//! The platform's stand-ins: the bulletin, pop caches, a parent and the origin.

use crate::record::{now_ms, Record};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;

/// An event's number and its frame.
type NumberedFrame = (u64, Vec<u8>);

/// The bulletin: numbered events after the first one, which the configuration holds.
#[derive(Clone)]
pub struct Bulletin {
    pub address: SocketAddr,
    events: Rc<RefCell<Vec<NumberedFrame>>>,
    added: Rc<Notify>,
}

impl Bulletin {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let bulletin =
            Self { address: listener.local_addr().unwrap(), events: Rc::default(), added: Rc::default() };
        let served = bulletin.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(served.clone().serve(stream));
            }
        });
        bulletin
    }

    fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
        let length = (9 + payload.len()) as u32;
        [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], payload].concat()
    }

    /// Tells a purge of an object. Returns the time at which it was issued.
    pub fn purge(&self, object: u64) -> f64 {
        let issued = now_ms() as u64;
        let number = self.events.borrow().len() as u64 + 2;
        let payload = [object.to_be_bytes(), issued.to_be_bytes()].concat();
        self.events.borrow_mut().push((number, Self::frame(number, 3, &payload)));
        self.added.notify_waiters();
        issued as f64
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut last = [0u8; 8];
        if stream.read_exact(&mut last).await.is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(last);
        loop {
            let news: Vec<NumberedFrame> =
                self.events.borrow().iter().filter(|(number, _)| *number > last).cloned().collect();
            for (number, frame) in news {
                if stream.write_all(&frame).await.is_err() {
                    return;
                }
                last = number;
            }
            tokio::select! {
                () = self.added.notified() => {}
                () = tokio::time::sleep(Duration::from_secs(1)) => {
                    if stream.write_all(&Self::frame(last, 0, &[])).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// A request that arrived at a pop cache, parent or origin.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: f64,
    pub id: String,
    pub fields: HashMap<String, String>,
}

impl Arrival {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// The content of an object: what the origin gives out now, for all caches.
#[derive(Default)]
pub struct Content {
    /// When each write ran, by its idempotency key. All servers pass writes to one store.
    pub runs: RefCell<HashMap<String, Vec<f64>>>,
    /// The version of each object; 1 where it is absent.
    pub versions: RefCell<HashMap<String, u32>>,
    /// The bytes of an object.
    pub bytes: Cell<usize>,
}

/// For this long after a write ran its store drops a repeat of the key, in milliseconds.
pub const WRITE_WINDOW_MS: f64 = 2_000.0;

impl Content {
    /// Runs a write with this key, unless it is a repeat. Returns whether it ran.
    fn run(&self, key: &str) -> bool {
        let (now, mut runs) = (now_ms(), self.runs.borrow_mut());
        let of_key = runs.entry(key.to_string()).or_default();
        if of_key.last().is_some_and(|last| now < last + WRITE_WINDOW_MS) {
            return false;
        }
        of_key.push(now);
        true
    }

    pub fn version(&self, object: &str) -> u32 {
        self.versions.borrow().get(object).copied().unwrap_or(1)
    }

    fn body(&self, object: &str, part: &str, version: u32) -> Vec<u8> {
        let mut body = format!("object {object} part {part} version {version}\n").into_bytes();
        body.resize(self.bytes.get().max(body.len()), b'.');
        body
    }
}

/// A copy that a cache keeps.
#[derive(Clone)]
struct Copy {
    version: u32,
    generated_ms: f64,
    /// The group of its object, where requests name it.
    group: String,
}

/// A pop cache, parent or origin. It keeps what it has fetched, answers from a copy that is not older than
/// `agelim`, and fetches a new one from the origin's present content otherwise.
#[derive(Clone)]
pub struct Cache {
    pub name: &'static str,
    pub address: SocketAddr,
    pub arrivals: Rc<RefCell<Vec<Arrival>>>,
    /// How long a request takes, in milliseconds.
    pub service_ms: Rc<Cell<u64>>,
    copies: Rc<RefCell<HashMap<(String, String), Copy>>>,
    content: Rc<Content>,
    record: Record,
    quiet: Rc<Cell<bool>>,
}

impl Cache {
    pub async fn start(name: &'static str, ip: Ipv4Addr, content: &Rc<Content>, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let cache = Self {
            name,
            address: listener.local_addr().unwrap(),
            arrivals: Rc::default(),
            service_ms: Rc::new(Cell::new(5)),
            copies: Rc::default(),
            content: content.clone(),
            record: record.clone(),
            quiet: Rc::default(),
        };
        let served = cache.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(served.clone().serve(stream));
            }
        });
        cache
    }

    /// Leaves single requests out of the record.
    pub fn set_quiet(&self) {
        self.quiet.set(true);
    }

    /// Drops the copies of an object, as all caches do within some seconds of its purge.
    pub fn drop_copies(&self, object: &str) {
        self.copies.borrow_mut().retain(|(other, _), _| other != object);
    }

    /// Drops the copies of a group that are not newer than its purge.
    pub fn drop_group(&self, group: &str, issued_ms: f64) {
        self.copies.borrow_mut().retain(|_, copy| copy.group != group || copy.generated_ms > issued_ms);
    }

    /// The number of copies of this version.
    pub fn copies_of_version(&self, version: u32) -> usize {
        self.copies.borrow().values().filter(|copy| copy.version == version).count()
    }

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (input, output) = stream.into_split();
        let (mut input, output) = (BufReader::new(input), Rc::new(Mutex::new(output)));
        let mut line = String::new();
        while input.read_line(&mut line).await.is_ok_and(|n| n > 0) {
            let words: Vec<String> = line.split_whitespace().map(String::from).collect();
            line.clear();
            match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
                ["PING", tag] => {
                    let _ =
                        output.lock().await.write_all(format!("{tag} READY - 0\r\n\r\n").as_bytes()).await;
                }
                ["GET", id, fields, length] => {
                    let length = length.parse().unwrap_or(0);
                    let mut body = vec![0; length + 2];
                    if input.read_exact(&mut body).await.is_err() {
                        return;
                    }
                    let fields: HashMap<String, String> = fields
                        .split(',')
                        .filter_map(|field| field.split_once('='))
                        .map(|(name, value)| (name.to_string(), value.to_string()))
                        .collect();
                    let arrival = Arrival { at_ms: now_ms(), id: id.into(), fields };
                    if !self.quiet.get() {
                        let class = arrival.field("c");
                        let (object, part) = (arrival.field("k"), arrival.field("p"));
                        let limit = arrival.field("agelim");
                        self.record.line(format!(
                            "{} gets request {id}: class {class}, object {object}, part {part}, agelim {limit:?}, {length} bytes",
                            self.name
                        ));
                    }
                    self.arrivals.borrow_mut().push(arrival.clone());
                    spawn_local(self.clone().answer(arrival, output.clone()));
                }
                _ => {}
            }
        }
    }

    async fn answer(self, arrival: Arrival, output: Rc<Mutex<OwnedWriteHalf>>) {
        let key = arrival.field("i").to_string();
        if !key.is_empty() {
            let ran = self.content.run(&key);
            let ran = if ran { "RUNS it" } else { "drops it as a repeat" };
            self.record.line(format!("{} {ran}: request {}, key {key}", self.name, arrival.id));
        }
        tokio::time::sleep(Duration::from_millis(self.service_ms.get())).await;
        let (object, part) = (arrival.field("k").to_string(), arrival.field("p").to_string());
        let age_limit: f64 = arrival.field("agelim").parse().unwrap_or(0.0);
        let key = (object.clone(), part.clone());
        let kept = self.copies.borrow().get(&key).cloned();
        let will_do = |copy: &Copy| age_limit == 0.0 || now_ms() - copy.generated_ms <= age_limit;
        let copy = kept.filter(will_do).unwrap_or_else(|| Copy {
            version: self.content.version(&object),
            generated_ms: now_ms(),
            group: arrival.field("g").to_string(),
        });
        self.copies.borrow_mut().insert(key, copy.clone());
        let body = self.content.body(&object, &part, copy.version);
        let head = format!(
            "{} ACK sum=v{},t0={} {}\r\n",
            arrival.id,
            copy.version,
            copy.generated_ms as u64,
            body.len()
        );
        let bytes = [head.as_bytes(), &body, b"\r\n"].concat();
        let _ = output.lock().await.write_all(&bytes).await;
    }
}
