//! The router's task: its peers' datagrams, its timers, what is tracked, and the listeners of the virtual addresses.
//! What is to be done is the [`Machine`]'s and the [`Service`]'s word.

use super::config::{FrontKind, VrrpConfig};
use super::machine::{Machine, State};
use super::message::{Advertisement, LABEL, STOPS};
use super::service::{Command, Service};
use super::track::{standing, Rate, Track, What};
use crate::clock::duration_from_ms;
use crate::datagram_auth::{AuthError, DatagramAuth};
use crate::engine::executor::Executor;
use crate::wire::http::{HttpRequest, HttpResponse};
use crate::wire::shutdown::GracefulShutdown;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::Notify;

/// How often what is tracked is looked at, in milliseconds.
const LOOK_MS: f64 = 100.0;
/// The machine's queue of connections that are not yet taken.
const BACKLOG: u32 = 1_024;

/// Serves a front's clients on a listener until `closing`; `stop` ends what it has taken.
pub type Accept = Box<dyn Fn(FrontKind, TcpListener, Rc<GracefulShutdown>, Rc<Notify>)>;

/// Tells the number of a thing that is tracked, at this time, where it says anything now.
pub type Ask = Box<dyn Fn(&What) -> Option<f64>>;

/// A virtual address's listener as long as it is open, and what it has taken after that.
struct Opened {
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug, serde::Serialize)]
struct Peer {
    heard_ms: f64,
    priority: u8,
}

/// Figures of the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RouterFigures {
    /// Times that it became active.
    pub became_active: u64,
    /// Times that it gave the state up.
    pub gave_up: u64,
    /// Datagrams sent and taken.
    pub sent: u64,
    /// Advertisements taken.
    pub received: u64,
    /// Datagrams that are no advertisement.
    pub malformed: u64,
    /// Datagrams whose seal is missing or wrong.
    pub unsealed: u64,
    /// Datagrams whose number came before or is too old.
    pub replayed: u64,
    /// Datagrams from an address that is no peer's.
    pub strangers: u64,
    /// Advertisements of another virtual router, or of other addresses.
    pub mismatched: u64,
    /// Advertisements of another active one while this one was: a split that one of both ends.
    pub splits: u64,
    /// Times that a listener could not be opened.
    pub open_failures: u64,
}

/// A virtual router, as its task and the second address share it.
pub struct VirtualRouter {
    host: Rc<Executor>,
    config: RefCell<VrrpConfig>,
    machine: RefCell<Machine>,
    service: RefCell<Service>,
    tracks: RefCell<Vec<Track>>,
    seals: RefCell<Option<DatagramAuth>>,
    peers: RefCell<BTreeMap<SocketAddr, Peer>>,
    opened: RefCell<BTreeMap<usize, Opened>>,
    /// Listeners that were closed and whose clients still have answers to come.
    closed: RefCell<Vec<Rc<GracefulShutdown>>>,
    accept: Accept,
    ask: Ask,
    /// Its operator said that it is to stand aside.
    put_aside: Cell<bool>,
    since_ms: Cell<f64>,
    /// Something changed that the task is to look at.
    wake: Notify,
    /// Its figures.
    pub figures: Cell<RouterFigures>,
}

impl VirtualRouter {
    /// A router of an operator file, not yet started.
    pub fn new(host: Rc<Executor>, config: VrrpConfig, accept: Accept, ask: Ask) -> Result<Rc<Self>, String> {
        let seals = config
            .keys()
            .map_err(|error| error.to_string())?
            .map(|keys| DatagramAuth::new(keys, config.clock_skew_ms, LABEL));
        let service = Service::new(config.serve.len(), config.open_patience_ms, config.aside_ms);
        Ok(Rc::new(Self {
            machine: RefCell::new(Machine::new(config.router())),
            service: RefCell::new(service),
            tracks: RefCell::new(config.track.iter().cloned().map(Track::new).collect()),
            seals: RefCell::new(seals),
            peers: RefCell::default(),
            opened: RefCell::default(),
            closed: RefCell::default(),
            put_aside: Cell::new(false),
            since_ms: Cell::new(host.clock.now()),
            wake: Notify::new(),
            figures: Cell::default(),
            config: RefCell::new(config),
            host,
            accept,
            ask,
        }))
    }

    fn count(&self, change: impl FnOnce(&mut RouterFigures)) {
        let mut figures = self.figures.get();
        change(&mut figures);
        self.figures.set(figures);
    }

    /// The state.
    pub fn state(&self) -> State {
        self.machine.borrow().state()
    }

    /// Takes the operator file anew: priority, keys, what is tracked, delays. One that can't be used changes nothing.
    pub fn reconfigure(&self, fresh: VrrpConfig) -> Result<(), String> {
        let keys = fresh.keys().map_err(|error| error.to_string())?;
        match (&mut *self.seals.borrow_mut(), keys) {
            (Some(seals), Some(keys)) => seals.set_keys(keys),
            (seals, keys) => *seals = keys.map(|keys| DatagramAuth::new(keys, fresh.clock_skew_ms, LABEL)),
        }
        let mut tracks = self.tracks.borrow_mut();
        let fresh_tracks = fresh.track.iter().cloned().map(|spec| {
            // What is bad by now stays bad, until it was back for its time.
            let old = tracks.iter().find(|t| t.spec.what == spec.what);
            Track::counting_as(old.is_some_and(|t| t.bad), spec)
        });
        *tracks = fresh_tracks.collect();
        self.machine.borrow_mut().reconfigure(fresh.router());
        *self.config.borrow_mut() = fresh;
        self.wake.notify_one();
        Ok(())
    }

    /// Stands aside, or comes back as a backup, as its operator says.
    pub fn put_aside(&self, aside: bool) {
        self.put_aside.set(aside);
        self.wake.notify_one();
    }

    /// Takes nobody new on the virtual addresses; what was taken is answered.
    pub fn close_all(&self) {
        let open: Vec<usize> = self.opened.borrow().keys().copied().collect();
        open.into_iter().for_each(|k| self.close(k));
    }

    /// Clients' connections of the virtual addresses, open and closed, that still have answers to come.
    pub fn busy(&self) -> usize {
        self.closed.borrow_mut().retain(|stop| stop.open_connections() > 0);
        let open: usize = self.opened.borrow().values().map(|o| o.stop.open_connections()).sum();
        open + self.closed.borrow().iter().map(|stop| stop.open_connections()).sum::<usize>()
    }

    fn close(&self, k: usize) {
        if let Some(Opened { stop, closing }) = self.opened.borrow_mut().remove(&k) {
            // What the machine has taken counts as taken; idle clients go, the others with their answer.
            closing.notify_one();
            stop.begin();
            self.closed.borrow_mut().retain(|stop| stop.open_connections() > 0);
            self.closed.borrow_mut().push(stop);
        }
    }

    fn open(&self, k: usize) -> bool {
        let listener = self.config.borrow().serve[k].clone();
        match bind(listener.at()) {
            Ok(socket) => {
                let (stop, closing) = (Rc::new(GracefulShutdown::default()), Rc::new(Notify::new()));
                (self.accept)(listener.front, socket, stop.clone(), closing.clone());
                self.opened.borrow_mut().insert(k, Opened { stop, closing });
                tracing::info!(address = listener.address, "virtual router: the address is served");
                true
            }
            Err(error) => {
                self.count(|f| f.open_failures += 1);
                tracing::warn!(address = listener.address, %error, "virtual router: the address can't be served");
                false
            }
        }
    }

    /// Lets the listeners follow the state.
    fn follow(&self) {
        let (now, state) = (self.host.clock.now(), self.state());
        let commands = self.service.borrow_mut().follow(now, state);
        for command in commands {
            match command {
                Command::Open(k) => {
                    let ok = self.open(k);
                    self.service.borrow_mut().opened(now, k, ok);
                }
                Command::Close(k) => self.close(k),
            }
        }
    }

    /// Looks at what is tracked; what comes back is to be sent.
    fn look(&self) -> Vec<Advertisement> {
        let now = self.host.clock.now();
        let mut tracks = self.tracks.borrow_mut();
        for track in tracks.iter_mut() {
            let value = (self.ask)(&track.spec.what);
            if track.sample(now, value) {
                tracing::warn!(what = ?track.spec.what, value, bad = track.bad, "virtual router: a tracked thing turned");
            }
        }
        let (priority, fault) = standing(self.config.borrow().router().priority, &tracks);
        let fault = fault || self.put_aside.get() || self.service.borrow().stands_aside(now);
        let mut machine = self.machine.borrow_mut();
        let told = [machine.set_priority(now, priority), machine.set_fault(now, fault)];
        told.into_iter().flatten().collect()
    }

    /// Takes a datagram; what comes back is to be sent.
    fn take(&self, from: SocketAddr, datagram: &[u8]) -> Option<Advertisement> {
        let now = self.host.clock.now();
        let config = self.config.borrow();
        let set = config.router();
        if !set.peers.contains(&from) {
            self.count(|f| f.strangers += 1);
            return None;
        }
        let message = match &mut *self.seals.borrow_mut() {
            None => datagram,
            Some(seals) => match seals.verify(now, from, datagram) {
                Ok(message) => message,
                Err(reason) => {
                    let old = matches!(reason, AuthError::Replayed | AuthError::ClockSkew);
                    self.count(|f| if old { f.replayed += 1 } else { f.unsealed += 1 });
                    self.complain(from, &reason);
                    return None;
                }
            },
        };
        let ad = match Advertisement::decode(message) {
            Ok(ad) => ad,
            Err(reason) => {
                self.count(|f| f.malformed += 1);
                self.host.with(|engine| engine.counters.vrrp_malformed += 1);
                self.complain(from, &reason);
                return None;
            }
        };
        if ad.vrid != set.vrid || ad.addresses != set.addresses {
            self.count(|f| f.mismatched += 1);
            self.complain(from, &"another virtual router, or other addresses");
            return None;
        }
        self.count(|f| f.received += 1);
        self.host.with(|engine| engine.counters.vrrp_received += 1);
        self.peers.borrow_mut().insert(from, Peer { heard_ms: now, priority: ad.priority });
        if self.state() == State::Active && ad.priority != STOPS {
            self.count(|f| f.splits += 1);
        }
        self.machine.borrow_mut().receive(now, from, &ad)
    }

    /// Says once for each power of two what is wrong with what comes: a peer gone wild must not fill the log.
    fn complain(&self, from: SocketAddr, reason: &dyn std::fmt::Display) {
        let f = self.figures.get();
        let all = f.malformed + f.unsealed + f.replayed + f.mismatched;
        if all.is_power_of_two() {
            tracing::warn!(%from, %reason, so_far = all, "virtual router: a datagram is not heeded");
        }
    }

    /// Answers calls at the second address: `GET /vrrp`, `POST /vrrp/aside`, `POST /vrrp/back`.
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let post = match request.target.as_str() {
            "/vrrp" => false,
            "/vrrp/aside" | "/vrrp/back" => true,
            _ => return None,
        };
        let allowed = if post { "POST" } else { "GET" };
        if request.method != allowed {
            return Some(HttpResponse::status(405).with("Allow", allowed));
        }
        if post {
            self.put_aside(request.target == "/vrrp/aside");
        }
        let body = simd_json::to_vec(&self.status()).unwrap_or_default();
        Some(
            HttpResponse { body: body.into(), ..HttpResponse::status(200) }
                .with("Content-Type", "application/json"),
        )
    }

    fn status(&self) -> Status {
        let (now, config, machine) = (self.host.clock.now(), self.config.borrow(), self.machine.borrow());
        let (service, tracks) = (self.service.borrow(), self.tracks.borrow());
        let tracked = |t: &Track| Tracked { what: format!("{:?}", t.spec.what), value: t.value, bad: t.bad };
        let served = config.serve.iter().enumerate().map(|(k, s)| Served {
            address: s.address.clone(),
            front: s.front,
            open: service.is_open(k),
        });
        let peers = self.peers.borrow().iter().map(|(at, p)| (at.to_string(), *p)).collect();
        Status {
            vrid: config.router().vrid,
            state: machine.state(),
            since_ms: self.since_ms.get(),
            priority: machine.priority(),
            configured: config.router().priority,
            put_aside: self.put_aside.get(),
            could_not_serve: service.stands_aside(now),
            preempts_from_ms: Some(machine.hold_ms()).filter(|at| *at > now),
            takeover_within_ms: config.router().takeover_ms(machine.priority()),
            serve: served.collect(),
            track: tracks.iter().map(tracked).collect(),
            peers,
            figures: self.figures.get(),
        }
    }

    /// The figures in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let f = self.figures.get();
        let state = match self.state() {
            State::Initialize => 0,
            State::Backup => 1,
            State::Active => 2,
            State::Fault => 3,
        };
        let lines = [
            ("state", state),
            ("priority", u64::from(self.machine.borrow().priority())),
            ("became_active_total", f.became_active),
            ("gave_up_total", f.gave_up),
            ("sent_total", f.sent),
            ("received_total", f.received),
            ("malformed_total", f.malformed),
            ("unsealed_total", f.unsealed),
            ("replayed_total", f.replayed),
            ("strangers_total", f.strangers),
            ("mismatched_total", f.mismatched),
            ("splits_total", f.splits),
            ("open_failures_total", f.open_failures),
            ("asides_total", self.service.borrow().asides),
        ];
        lines.iter().map(|(name, n)| format!("vrrp_{name} {n}\n")).collect()
    }
}

/// The router's state, in words for people.
#[derive(serde::Serialize)]
struct Status {
    vrid: u8,
    state: State,
    since_ms: f64,
    priority: u8,
    configured: u8,
    put_aside: bool,
    could_not_serve: bool,
    preempts_from_ms: Option<f64>,
    takeover_within_ms: f64,
    serve: Vec<Served>,
    track: Vec<Tracked>,
    peers: BTreeMap<String, Peer>,
    figures: RouterFigures,
}

#[derive(serde::Serialize)]
struct Served {
    address: String,
    front: FrontKind,
    open: bool,
}

#[derive(serde::Serialize)]
struct Tracked {
    what: String,
    value: Option<f64>,
    bad: bool,
}

/// Binds a virtual address's listener. Another active one on this machine may have it as well (SO_REUSEPORT), as two
/// hosts may that both claim an address: each connection goes to one of them.
fn bind(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Numbers of things that the host itself knows; the others are the caller's.
pub fn host_value(host: &Rc<Executor>, rate: &RefCell<Rate>, what: &What) -> Option<f64> {
    let now = host.clock.now();
    match what {
        What::Pool => host.with(|engine| engine.usable_cache_share()),
        What::Refused => {
            let (all, those) = host.with(|engine| {
                let c = &engine.counters;
                (c.served + c.not_modified + c.rejected + c.failed, c.rejected + c.failed)
            });
            rate.borrow_mut().share(now, all, those)
        }
        What::Door => host.with_admission(|admission| admission.queue_fill()),
        What::File(path) => Some(f64::from(u8::from(path.exists()))),
        What::Registry | What::Grpc(_) => None,
    }
}

/// Runs a virtual router until `stop`. Its listeners stay open then, for as long as the process takes clients.
pub async fn run(router: Rc<VirtualRouter>, socket: UdpSocket, stop: Rc<Notify>) {
    let host = router.host.clone();
    let clock = host.clock.clone();
    let mut bytes = [0u8; 512];
    let mut state = State::Initialize;
    let mut look_ms = clock.now();
    let first = router.machine.borrow_mut().start(clock.now());
    let mut say: Vec<Advertisement> = first.into_iter().collect();
    loop {
        for ad in say.drain(..) {
            send(&router, &socket, &ad).await;
        }
        let now = clock.now();
        if router.state() != state {
            let was = std::mem::replace(&mut state, router.state());
            router.since_ms.set(now);
            host.with(|engine| engine.counters.vrrp_changes += 1);
            router.count(|f| {
                f.became_active += u64::from(state == State::Active);
                f.gave_up += u64::from(was == State::Active);
            });
            let priority = router.machine.borrow().priority();
            tracing::info!(
                vrid = router.config.borrow().router().vrid,
                ?state,
                ?was,
                priority,
                "virtual router changed state"
            );
            if state == State::Initialize {
                return;
            }
        }
        router.follow();
        let due = router.machine.borrow().due_ms().min(look_ms).min(router.service.borrow().due_ms());
        tokio::select! {
            () = stop.notified() => say.extend(router.machine.borrow_mut().stop()),
            () = router.wake.notified() => look_ms = now,
            () = tokio::time::sleep(duration_from_ms(due - now)) => {
                let now = clock.now();
                say.extend(router.machine.borrow_mut().tick(now));
                if now >= look_ms {
                    look_ms = now + LOOK_MS;
                    say.extend(router.look());
                }
            }
            // An error of an earlier send that comes back here says nothing: a peer that is down is found out by its
            // silence.
            got = socket.recv_from(&mut bytes) => if let Ok((length, from)) = got {
                say.extend(router.take(from, &bytes[..length]));
            },
        }
    }
}

async fn send(router: &VirtualRouter, socket: &UdpSocket, ad: &Advertisement) {
    let peers = router.config.borrow().router().peers;
    for peer in peers {
        // Each datagram has a number of its own.
        let text = ad.encode();
        let text = match &mut *router.seals.borrow_mut() {
            Some(seals) => seals.sign(router.host.clock.now(), text),
            None => text,
        };
        // A peer that is down is found out by its silence.
        let sent = socket.send_to(&text, peer).await.is_ok();
        router.count(|f| f.sent += u64::from(sent));
        router.host.with(|engine| engine.counters.vrrp_sent += u64::from(sent));
    }
}
