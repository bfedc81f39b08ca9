//! The duties' task: the other instances' datagrams, the plan's acts, the probes themselves, and what the engine is
//! told of members that turned.

use super::config::{HealthCheckConfig, Probe};
use super::health_status::{Board, Standing};
use super::lease::{DutyId, InstanceId, Slot};
use super::scheduler::{Act, Message, Plan, PlanFigures};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::text::format_endpoint_id;
use crate::vrrp::auth::Seals;
use crate::wire::http::{HttpRequest, HttpResponse};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// What the datagrams' seals are for.
pub const LABEL: &[u8] = b"calicobeam duties 1";
/// The longest datagram.
const MAX_DATAGRAM: usize = 512;
/// How often the list of endpoints is looked at, in milliseconds.
const LOOK_MS: f64 = 100.0;
/// How long after a result it is told once more, in milliseconds: a datagram may get lost.
const TELL_AGAIN_MS: f64 = 100.0;
/// Probes at once: each takes a descriptor, and there may be more servers than those.
pub const MAX_PROBES: usize = 64;
/// The most of a probe's answer that is read.
const MAX_ANSWER: usize = 1_024;

/// Shared duties, as their task and the second address share them.
pub struct HealthChecker {
    host: Rc<Executor>,
    config: HealthCheckConfig,
    socket: UdpSocket,
    plan: RefCell<Plan>,
    board: RefCell<Board>,
    seals: RefCell<Option<Seals>>,
    servers: RefCell<BTreeMap<DutyId, SocketAddr>>,
    roster_seen: Cell<u64>,
    ignored: Cell<u64>,
    /// The other instances' addresses.
    others: BTreeMap<InstanceId, SocketAddr>,
    /// Bounds the probes under way.
    probes: Semaphore,
}

impl HealthChecker {
    /// Shared duties of an operator file, over a socket that is bound where it says.
    pub fn new(host: Rc<Executor>, config: HealthCheckConfig, socket: UdpSocket) -> Result<Rc<Self>, String> {
        let seals = config
            .keys()
            .map_err(|error| error.to_string())?
            .map(|keys| Seals::labelled(keys, config.clock_skew_ms, LABEL));
        let others: BTreeMap<InstanceId, SocketAddr> = config.others().into_iter().collect();
        let plan = Plan::new(host.clock.now(), config.id, others.keys().copied(), config.times());
        host.with(|engine| engine.share_probes());
        Ok(Rc::new(Self {
            plan: RefCell::new(plan),
            board: RefCell::new(Board::new(config.turns())),
            seals: RefCell::new(seals),
            servers: RefCell::default(),
            roster_seen: Cell::new(u64::MAX),
            ignored: Cell::new(0),
            others,
            probes: Semaphore::new(MAX_PROBES),
            host,
            config,
            socket,
        }))
    }

    fn now(&self) -> f64 {
        self.host.clock.now()
    }

    /// Takes the keys as their file stands by now.
    pub fn rekey(&self) -> Result<(), String> {
        let keys = self.config.keys().map_err(|error| error.to_string())?;
        match (&mut *self.seals.borrow_mut(), keys) {
            (Some(seals), Some(keys)) => seals.rekey(keys),
            _ => return Ok(()),
        }
        Ok(())
    }

    /// Takes the list of endpoints, where it changed.
    fn list(&self) {
        let changes = self.host.roster_changes();
        if self.roster_seen.replace(changes) == changes {
            return;
        }
        let mut servers = BTreeMap::new();
        for model in &self.config.servers.models {
            for (id, at) in self.host.endpoints(model) {
                let port = self.config.servers.port.unwrap_or(at.port());
                servers.insert(id, SocketAddr::new(at.ip(), port));
            }
        }
        self.plan.borrow_mut().list(self.now(), servers.keys().copied());
        self.board.borrow_mut().retain(|duty| servers.contains_key(&duty));
        *self.servers.borrow_mut() = servers;
    }

    async fn send(&self, to: InstanceId, message: &Message) {
        let Some(at) = self.others.get(&to) else { return };
        let text = simd_json::to_vec(message).unwrap_or_default();
        let text = match &mut *self.seals.borrow_mut() {
            Some(seals) => seals.seal(self.now(), text),
            None => text,
        };
        // An instance that is down is found out by its silence.
        let _ = self.socket.send_to(&text, at).await;
    }

    async fn tell(&self, message: &Message) {
        for id in self.others.keys() {
            self.send(*id, message).await;
        }
    }

    async fn carry_out(self: &Rc<Self>, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Tell(message) => self.tell(&message).await,
                Act::Answer(to, message) => self.send(to, &message).await,
                Act::Run(duty, slot) => {
                    let own = self.clone();
                    self.host.spawn("a probe", async move { own.probe(duty, slot).await });
                }
            }
        }
    }

    /// Probes a server, once, and tells what came of it.
    async fn probe(&self, duty: DutyId, slot: Slot) {
        let Some(at) = self.servers.borrow().get(&duty).copied() else { return };
        let _place = self.probes.acquire().await;
        let start = self.now();
        let ok =
            timeout(duration_from_ms(self.config.probe_ms), reach(at, &self.config.probe)).await == Ok(true);
        let took_ms = self.now() - start;
        self.hear(duty, slot, ok, took_ms);
        let message = Message::Result { duty, slot, ok, took_ms };
        self.tell(&message).await;
        tokio::time::sleep(duration_from_ms(TELL_AGAIN_MS)).await;
        self.tell(&message).await;
    }

    /// Notes a result, and tells the engine where it turned an endpoint.
    fn hear(&self, duty: DutyId, slot: Slot, ok: bool, took_ms: f64) {
        if !self.servers.borrow().contains_key(&duty) || !took_ms.is_finite() {
            return;
        }
        let turned = self.board.borrow_mut().hear(self.now(), duty, slot, ok, took_ms);
        if let Some(up) = turned {
            tracing::warn!(endpoint = %format_endpoint_id(duty), up, "duties: a member turned by its probes");
            self.host.with(|engine| engine.probed(duty, up));
        }
    }

    /// A datagram's message and its sender; none where it is not heeded.
    fn read(&self, from: SocketAddr, datagram: &[u8]) -> Option<(InstanceId, Message)> {
        let id = self.others.iter().find(|(_, at)| **at == from).map(|(id, _)| *id);
        let read = || {
            let id = id?;
            let mut text = match &mut *self.seals.borrow_mut() {
                Some(seals) => seals.open(self.now(), from, datagram).ok()?.to_vec(),
                None => datagram.to_vec(),
            };
            Some((id, simd_json::from_slice(&mut text).ok()?))
        };
        let read = read();
        if read.is_none() {
            self.ignored.set(self.ignored.get() + 1);
            if self.ignored.get().is_power_of_two() {
                tracing::warn!(%from, so_far = self.ignored.get(), "duties: a datagram is not heeded");
            }
        }
        read
    }

    /// The plan's figures.
    pub fn figures(&self) -> PlanFigures {
        self.plan.borrow().figures
    }

    /// The figures in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let (f, now) = (self.figures(), self.now());
        let down = self.board.borrow().all().filter(|(_, s)| !s.up).count();
        let lines = [
            ("instances_living", self.plan.borrow().living(now).count() as u64),
            ("servers", self.servers.borrow().len() as u64),
            ("servers_down", down as u64),
            ("ran_total", f.ran),
            ("stood_in_total", f.stood_in),
            ("claims_total", f.claims),
            ("outvoted_total", f.outvoted),
            ("unanswered_total", f.unanswered),
            ("heard_total", f.heard),
            ("ignored_total", self.ignored.get()),
        ];
        lines.iter().map(|(name, n)| format!("duties_{name} {n}\n")).collect()
    }

    /// Answers `GET /duties` at the second address.
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpResponse> {
        if request.target != "/duties" {
            return None;
        }
        if request.method != "GET" {
            return Some(HttpResponse::status(405).with("Allow", "GET"));
        }
        let (plan, board, now) = (self.plan.borrow(), self.board.borrow(), self.now());
        let status = Status {
            id: self.config.id,
            majority: plan.majority(),
            living: plan.living(now).collect(),
            figures: plan.figures,
            ignored: self.ignored.get(),
            servers: board.all().map(|(duty, standing)| (format_endpoint_id(duty), *standing)).collect(),
        };
        let body = simd_json::to_vec(&status).unwrap_or_default();
        Some(
            HttpResponse { body: body.into(), ..HttpResponse::status(200) }
                .with("Content-Type", "application/json"),
        )
    }
}

/// The duties' state, in words for people.
#[derive(serde::Serialize)]
struct Status {
    id: InstanceId,
    majority: usize,
    living: Vec<InstanceId>,
    figures: PlanFigures,
    ignored: u64,
    servers: BTreeMap<String, Standing>,
}

/// Whether a server answers a probe as it should.
async fn reach(at: SocketAddr, probe: &Probe) -> bool {
    let Ok(mut stream) = TcpStream::connect(at).await else { return false };
    let Probe::Http(path) = probe else { return true };
    let text = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    let mut answer = Vec::new();
    while answer.len() < MAX_ANSWER {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        // The status line is enough: a head of any length follows it.
        let _ = response.parse(&answer);
        if let Some(code) = response.code {
            return (200..300).contains(&code);
        }
        if !matches!(stream.read_buf(&mut answer).await, Ok(n) if n > 0) {
            return false;
        }
    }
    false
}

/// Does the duties for ever.
pub async fn run(duties: Rc<HealthChecker>) {
    let mut bytes = [0u8; MAX_DATAGRAM];
    let mut look_ms = f64::NEG_INFINITY;
    loop {
        let now = duties.now();
        if now >= look_ms {
            look_ms = now + LOOK_MS;
            duties.list();
        }
        let acts = duties.plan.borrow_mut().tick(now);
        duties.carry_out(acts).await;
        let due = duties.plan.borrow().next_due(now).min(look_ms);
        tokio::select! {
            () = tokio::time::sleep(duration_from_ms((due - now).max(1.0))) => {}
            got = duties.socket.recv_from(&mut bytes) => {
                // An error here is one of an earlier send to an instance that is down.
                let Ok((length, from)) = got else { continue };
                let Some((id, message)) = duties.read(from, &bytes[..length]) else { continue };
                if let Message::Result { duty, slot, ok, took_ms } = message {
                    duties.hear(duty, slot, ok, took_ms);
                }
                let acts = duties.plan.borrow_mut().receive(duties.now(), id, &message);
                duties.carry_out(acts).await;
            }
        }
    }
}
