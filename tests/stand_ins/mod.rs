//! Stand-ins for all that a proxy talks to, on loopback: pop caches, the bulletin, clients. The proxy itself
//! runs in the test's own thread, on a clock that the test sets.
#![allow(dead_code)]

use edge_proxy::clock::Clock;
use edge_proxy::engine::executor::Executor;
use edge_proxy::engine::Engine;
use edge_proxy::lifecycle::config::Config;
use edge_proxy::lifecycle::engine_setup::engine;
use edge_proxy::settings::PlatformSettings;
use edge_proxy::wire::cache_connection::CacheDriver;
use edge_proxy::wire::discovery;
use edge_proxy::wire::front::Front;
use edge_proxy::wire::listener::accept;
use edge_proxy::wire::shutdown::GracefulShutdown;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;

pub mod checked_endpoint;
pub mod grpc;
pub mod http3_client;
pub mod purge_target;
pub mod registry;
pub mod running;
pub mod slow_cache_fleet;
pub mod threads;
pub mod vrrp_peer;

/// The time at which every test begins.
pub const START_MS: f64 = 1_764_576_000_000.0;
pub const PARENT: u32 = 0xa0;
pub const ORIGIN: u32 = 0xb0;
pub const CACHES: [u32; 2] = [0xc1, 0xc2];

/// Runs a test's tasks on one thread. The bound only ends a test that hangs; no verdict depends on it.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded =
        async { tokio::time::timeout(Duration::from_secs(60), test).await.expect("the test hangs") };
    tokio::task::LocalSet::new().block_on(&runtime, bounded);
}

/// Waits for something that must come to be.
pub async fn until(what: impl Fn() -> bool) {
    while !what() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// How a stand-in cache answers: by the word, the fields and the body; `None` is never.
pub type Script = Rc<dyn Fn(&HashMap<String, String>) -> Option<(&'static str, String, Vec<u8>)>>;

/// A pop cache, parent or origin, with the fields of every request that reached it.
pub struct Cache {
    pub address: SocketAddr,
    pub asked: Rc<RefCell<Vec<HashMap<String, String>>>>,
    pub dropped: Rc<RefCell<Vec<String>>>,
    pub connections: Rc<Cell<usize>>,
    pub script: Rc<RefCell<Script>>,
    /// Answers end in their middle, and the connection with them.
    pub cuts: Rc<Cell<bool>>,
    /// So many answers stop in their middle, and the connection stays open.
    pub stops: Rc<Cell<u32>>,
}

/// The bytes that every stand-in holds for an object's part.
pub fn content(fields: &HashMap<String, String>) -> Vec<u8> {
    format!("bytes of {} part {}", fields["k"], fields["p"]).into_bytes()
}

/// Answers with the bytes under the tag `t1`.
pub fn holds() -> Script {
    Rc::new(|fields| match fields.get("cached").map(String::as_str) {
        Some("t1") => Some(("NOMOD", "sum=t1,t0=5".into(), Vec::new())),
        _ => Some(("ACK", "sum=t1,t0=5,load=inflight:1".into(), content(fields))),
    })
}

/// Answers with one word.
pub fn says(word: &'static str) -> Script {
    Rc::new(move |_| Some((word, "-".into(), Vec::new())))
}

/// Never answers.
pub fn silent() -> Script {
    Rc::new(|_| None)
}

impl Cache {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let cache = Self {
            address: listener.local_addr().unwrap(),
            asked: Rc::default(),
            dropped: Rc::default(),
            connections: Rc::default(),
            script: Rc::new(RefCell::new(holds())),
            cuts: Rc::default(),
            stops: Rc::default(),
        };
        let stops = cache.stops.clone();
        let (asked, dropped) = (cache.asked.clone(), cache.dropped.clone());
        let (connections, script, cuts) =
            (cache.connections.clone(), cache.script.clone(), cache.cuts.clone());
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                connections.set(connections.get() + 1);
                spawn_local(Self::serve(
                    stream,
                    asked.clone(),
                    dropped.clone(),
                    script.clone(),
                    cuts.clone(),
                    stops.clone(),
                ));
            }
        });
        cache
    }

    async fn serve(
        stream: TcpStream,
        asked: Rc<RefCell<Vec<HashMap<String, String>>>>,
        dropped: Rc<RefCell<Vec<String>>>,
        script: Rc<RefCell<Script>>,
        cuts: Rc<Cell<bool>>,
        stops: Rc<Cell<u32>>,
    ) {
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        while stream.read_line(&mut line).await.is_ok_and(|n| n > 0) {
            let words: Vec<String> = line.split_whitespace().map(String::from).collect();
            line.clear();
            if words.len() == 2 && words[0] == "DROP" {
                dropped.borrow_mut().push(words[1].clone());
            }
            if words.len() != 4 || words[0] != "GET" {
                continue;
            }
            let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
            stream.read_exact(&mut body).await.unwrap();
            let fields = words[2].split(',').filter_map(|f| f.split_once('='));
            let mut fields: HashMap<_, _> = fields.map(|(n, v)| (n.to_string(), v.to_string())).collect();
            fields.insert("id".into(), words[1].clone());
            let script = script.borrow().clone();
            let answer = script(&fields);
            asked.borrow_mut().push(fields);
            if let Some((word, fields, body)) = answer {
                let head = format!("{} {word} {fields} {}\r\n", words[1], body.len());
                let bytes = [head.as_bytes(), &body, b"\r\n"].concat();
                if cuts.get() {
                    let _ = stream.write_all(&bytes[..head.len() + body.len() / 2]).await;
                    return;
                }
                if stops.get() > 0 {
                    stops.set(stops.get() - 1);
                    let _ = stream.write_all(&bytes[..head.len() + body.len() / 2]).await;
                    continue;
                }
                let _ = stream.write_all(&bytes).await;
            }
        }
    }
}

/// A frame with its number.
type Frame = (u64, Vec<u8>);

/// The bulletin: sends each link the frames after the number that it writes.
pub struct Bulletin {
    pub address: SocketAddr,
    frames: Rc<RefCell<Vec<Frame>>>,
    news: Rc<Notify>,
    cut: Rc<Notify>,
    /// The numbers that links began with.
    pub links: Rc<RefCell<Vec<u64>>>,
}

impl Bulletin {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bulletin = Self {
            address,
            frames: Rc::default(),
            news: Rc::default(),
            cut: Rc::default(),
            links: Rc::default(),
        };
        let (frames, news) = (bulletin.frames.clone(), bulletin.news.clone());
        let (links, cut) = (bulletin.links.clone(), bulletin.cut.clone());
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let Ok(mut last) = stream.read_u64().await else { continue };
                links.borrow_mut().push(last);
                loop {
                    let next: Vec<_> = frames.borrow().iter().filter(|(no, _)| *no > last).cloned().collect();
                    for (no, frame) in next {
                        last = no;
                        stream.write_all(&frame).await.unwrap();
                    }
                    tokio::select! {
                        () = news.notified() => {}
                        () = cut.notified() => break,
                    }
                }
            }
        });
        bulletin
    }

    fn push(&self, kind: u8, payload: &[u8]) -> u64 {
        let no = self.frames.borrow().len() as u64 + 2;
        let mut frame = (payload.len() as u32 + 9).to_be_bytes().to_vec();
        frame.extend(no.to_be_bytes());
        frame.push(kind);
        frame.extend(payload);
        self.frames.borrow_mut().push((no, frame));
        self.news.notify_one();
        no
    }

    /// Tells of one endpoint's state: 0 ready, 1 draining, 2 gone.
    pub fn state(&self, id: u32, at: SocketAddr, kind: u8, state: u8) -> u64 {
        let mut record = id.to_be_bytes().to_vec();
        record.extend([127, 0, 0, 1]);
        record.extend(at.port().to_be_bytes());
        record.extend([state, if kind == 0 { 1 } else { 0 }, kind]);
        record.extend(0u16.to_be_bytes());
        record.extend(4_000u32.to_be_bytes());
        record.extend(0u64.to_be_bytes());
        self.push(2, &record)
    }

    /// Tells of a purge of a group.
    pub fn purge(&self, group: u16, issued: u64) -> u64 {
        self.push(4, &[&group.to_be_bytes()[..], &issued.to_be_bytes()[..]].concat())
    }

    /// Ends the link that is up.
    pub fn cut(&self) {
        self.cut.notify_one();
    }
}

/// A proxy with two caches, a parent and an origin.
pub struct Site {
    pub clock: Clock,
    pub host: Rc<Executor>,
    pub env: Rc<PlatformSettings>,
    pub endpoints: HashMap<u32, Cache>,
    pub bulletin: Bulletin,
    pub config: Config,
    /// Where the bulletin is, as the configuration says.
    pub moves: watch::Sender<SocketAddr>,
    pub stop: Rc<GracefulShutdown>,
    pub closing: Rc<Notify>,
}

/// A folder of this test's own.
pub fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The text of a configuration. Endpoints are `(id, kind, address)`.
pub fn config(bulletin: SocketAddr, endpoints: &[(u32, &str, SocketAddr)]) -> String {
    let line = |(id, kind, at): &(u32, &str, SocketAddr)| {
        let zone = if *kind == "box" { "town" } else { "hub" };
        format!(
            r#"{{"uid":"s-{id:08x}","endpoint":"{at}","az":"{zone}","model":"{kind}","pod_group":0,
                "state":"Ready","capacity_hint":4,"boot_ms":0}}"#
        )
    };
    let targets: Vec<String> = endpoints.iter().map(line).collect();
    let targets = targets.join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","limits":{{"sockets":1024}},
        "bulletin":"{bulletin}","unknown":[1],
        "known":{{"no":1,"items":[{{"no":1,"roster":{{"rev":1,"all":true,"targets":[{targets}]}}}}]}},
        "settings":{{"classes":[
          {{"name":"clip","aimStretch":1.6,"deadlineUs":5000000,"promiseUs":600000,"semantics":"pure",
            "dedupScope":"all","windowUs":5000000,"worth":2.0}},
          {{"name":"thumb","deadlineUs":200000,"promiseUs":100000,"semantics":"pure",
            "dedupScope":"all","windowUs":200000,"worth":1.0}},
          {{"name":"post","deadlineUs":3000000,"promiseUs":700000,"semantics":"token",
            "dedupScope":"all","windowUs":2000000,"worth":3.0}}],
        "familyInfo":{{"uncached":[false,false,true],"mayPassBy":true,"midKind":1,"rootKind":2,"joins":true,
          "purgeDoneUs":6000000,"purgeSlackUs":500000,"seatsByZone":[0,1],"flowKbPerS":3800.0,
          "parentFloor":0.06,"upperColdUs":20000000,"parentBreaksAt":2.0}},
        "localities":["hub","town"],"locality":"town","skus":["box","parent","origin"],"siblings":1,
        "policyLimits":{{"cancelling":true,"connectTimeoutUs":400000,"keepaliveUs":30000000,
          "maxRetryAfterUs":500000,"retryAfter":true,"sendCap":8,"streamsPerConn":32}},
        "rules":{{"drainGraceUs":250000,"fallMultiple":2.5,"rampTimeUs":16000000,"startCapacity":0.16,
          "tipAfterUs":3000000}},"weightKind":"silent","newKey":{{}}}}}}"#
    )
}

impl Site {
    /// Starts everything but a front. `name` is the test's own.
    pub async fn start(name: &str) -> Self {
        let bulletin = Bulletin::start().await;
        let mut endpoints = HashMap::new();
        let mut lines = Vec::new();
        for (id, kind) in [(CACHES[0], "box"), (CACHES[1], "box"), (PARENT, "parent"), (ORIGIN, "origin")] {
            let cache = Cache::start().await;
            lines.push((id, kind, cache.address));
            endpoints.insert(id, cache);
        }
        let path = folder(name).join("config.json");
        std::fs::write(&path, config(bulletin.address, &lines)).unwrap();
        let config = Config::read(&path).unwrap();
        let clock = Clock::manual(START_MS);
        let (engine, env) = engine(&config, &clock, 0).unwrap();
        let host = Executor::new(clock.clone(), engine, CacheDriver);
        spawn_local(host.clone().run_timers());
        let (moves, told) = watch::channel(config.discovery_address().unwrap());
        spawn_local(discovery::run(host.clone(), told));
        let (stop, closing) = Default::default();
        Self { clock, host, env, endpoints, bulletin, config, moves, stop, closing }
    }

    /// Opens a front and tells where.
    pub async fn open(&self, front: Rc<dyn Front>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        spawn_local(accept(self.host.clone(), front, listener, self.stop.clone(), self.closing.clone()));
        at
    }

    /// Lets time pass, at once.
    pub fn pass(&self, ms: f64) {
        self.clock.advance(ms);
        self.host.with(Engine::tick);
    }

    /// All endpoints answer alike from now on.
    pub fn all(&self, script: Script) {
        self.endpoints.values().for_each(|m| *m.script.borrow_mut() = script.clone());
    }

    /// How many requests reached an endpoint.
    pub fn asked(&self, id: u32) -> usize {
        self.endpoints[&id].asked.borrow().len()
    }

    /// How many requests reached all endpoints.
    pub fn asked_in_all(&self) -> usize {
        self.endpoints.values().map(|m| m.asked.borrow().len()).sum()
    }
}

/// An answer as a client read it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The proxy ended the connection after it.
    pub closed: bool,
}

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub async fn connect(at: SocketAddr) -> Self {
        Self { stream: BufReader::new(TcpStream::connect(at).await.unwrap()) }
    }

    /// A client of a connection that was used from outside the runtime.
    pub fn of(stream: std::net::TcpStream) -> Self {
        stream.set_nonblocking(true).unwrap();
        Self { stream: BufReader::new(TcpStream::from_std(stream).unwrap()) }
    }

    /// Its connection, to be used from outside the runtime: what is written then, no task has seen yet.
    pub fn into_blocking(self) -> std::net::TcpStream {
        assert!(self.stream.buffer().is_empty());
        let stream = self.stream.into_inner().into_std().unwrap();
        stream.set_nonblocking(false).unwrap();
        stream
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).await.unwrap();
    }

    /// Reads one answer; `head` says that it has no body whatever its length.
    pub async fn read(&mut self, head: bool) -> Option<Answer> {
        let mut line = String::new();
        if self.stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let mut answer = Answer { status: line.split(' ').nth(1)?.parse().ok()?, ..Answer::default() };
        loop {
            line.clear();
            self.stream.read_line(&mut line).await.ok()?;
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            answer.headers.insert(name.to_ascii_lowercase(), value.to_string());
        }
        let length = answer.headers.get("content-length").map_or(0, |l| l.parse().unwrap());
        answer.body = vec![0; if head { 0 } else { length }];
        self.stream.read_exact(&mut answer.body).await.ok()?;
        answer.closed = answer.headers.get("connection").is_some_and(|c| c == "close");
        if answer.closed {
            let mut rest = Vec::new();
            let _ = self.stream.read_to_end(&mut rest).await;
            assert!(rest.is_empty(), "more than one answer: {rest:?}");
        }
        Some(answer)
    }

    /// One request, one answer.
    pub async fn ask(&mut self, method: &str, target: &str, headers: &str) -> Answer {
        let text = format!("{method} {target} HTTP/1.1\r\nHost: media.test\r\n{headers}\r\n");
        self.write(text.as_bytes()).await;
        self.read(method == "HEAD").await.expect("an answer")
    }
}

/// One request on a connection of its own.
pub async fn ask(at: SocketAddr, method: &str, target: &str, headers: &str) -> Answer {
    Client::connect(at).await.ask(method, target, headers).await
}

/// A process that ends with its test.
pub struct Killed(pub std::process::Child);

impl Killed {
    /// Sends it a signal, `-TERM` for instance.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(std::process::Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Waits for its end, for ten seconds at the most; it must have ended well.
    pub async fn ends_well(&mut self) {
        let end = std::time::Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return assert!(status.success(), "{status}");
            }
            assert!(std::time::Instant::now() < end, "the process does not end");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Killed {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
