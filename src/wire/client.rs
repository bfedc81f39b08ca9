//! The driver of a client's connection, for both fronts: reads requests, lets the front say what they mean,
//! and writes the one answer that each gets.

use super::http::{BadRequest, HttpAnswer, HttpCodec, HttpRequest, Phase, INLINE_MOST};
use super::WireError;
use crate::clock::span;
use crate::engine::host::Host;
use crate::memory::places::{PlaceId, Places};
use crate::memory::requests::{Ask, Final, NotTaken};
use crate::poor::keeper::{Keeper, Kept};
use crate::poor::shelf::SessionId;
use futures_util::{SinkExt, StreamExt};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// How often a connection that waits for bytes looks at its deadlines, in milliseconds.
const LOOK_MS: f64 = 250.0;
/// The wait after an accept that failed, in milliseconds: most likely for want of descriptors.
const ACCEPT_AGAIN_MS: f64 = 20.0;
/// How often a newcomer that has no place looks for one, in milliseconds.
const ROOM_LOOK_MS: f64 = 20.0;
/// How long, in milliseconds, what a client still sends after its fault is taken in.
const LINGER_MS: f64 = 1_500.0;
/// How much of it is read at once, in bytes.
const SCRAP: usize = 65_536;

/// Bounds of a front's connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Wait for a connection's whole first request, from when it was accepted.
    pub first_ms: f64,
    /// Wait for the first byte of a further request.
    pub idle_ms: f64,
    /// Wait for a whole head from its first byte.
    pub head_ms: f64,
    /// Wait for a whole body from its first byte.
    pub body_ms: f64,
    /// Wait for a client to take a whole answer.
    pub write_ms: f64,
    /// The longest body.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 400,
            first_ms: 5_000.0,
            idle_ms: 30_000.0,
            head_ms: 5_000.0,
            body_ms: 5_000.0,
            write_ms: 10_000.0,
            body_bytes: 48_000,
        }
    }
}

/// What the answer to a request depends on besides its end.
#[derive(Clone, Debug, Default)]
pub struct Context {
    /// Only the head is wanted.
    pub head_only: bool,
    /// The range that is wanted, as it came.
    pub range: Option<String>,
    /// `If-Range`, as it came.
    pub if_range: Option<String>,
    /// `If-None-Match`, as it came.
    pub if_none_match: Option<String>,
    /// A cookie to be set with an answer that gives something.
    pub set_cookie: Option<String>,
    /// `If-Match`, as it came.
    pub if_match: Option<String>,
    /// The session that the request belongs to, where the front has sessions ...
    pub session: Option<SessionId>,
    /// ... and its token, where the client is to be told it.
    pub session_token: Option<String>,
}

/// What a request means to a front.
pub enum Intake {
    /// It is answered without the engine.
    Now(HttpAnswer),
    /// It is for the engine.
    Ask(Box<Ask>, Context),
}

/// A front: what differs between the protocols that clients speak.
pub trait Front {
    /// Its bounds.
    fn limits(&self) -> &Limits;
    /// Parses and authenticates a request that was whole at `now`.
    fn take(&self, host: &Rc<Host>, request: &HttpRequest, now: f64) -> Intake;
    /// Words a final answer.
    fn word(&self, context: &Context, answer: Final) -> HttpAnswer;
    /// Words that a request could not be taken.
    fn not_taken(&self, why: NotTaken) -> HttpAnswer;
    /// Where calls outlive their connection, who keeps them.
    fn keeper(&self) -> Option<&Rc<Keeper>> {
        None
    }
}

/// The state of a stop, shared by all connections.
#[derive(Default)]
pub struct Stop {
    stopping: Cell<bool>,
    /// Connections end after their answer.
    turning_away: Cell<bool>,
    /// Wakes connections that wait for a request.
    wake: Notify,
    /// Connections that are open.
    pub open: Cell<usize>,
}

impl Stop {
    /// Counts a connection as open until what comes back is dropped.
    pub fn enter(self: &Rc<Self>) -> Open {
        Open::new(self.clone())
    }

    /// Waits until the stop has begun.
    pub async fn begun(&self) {
        while !self.stopping.get() {
            self.wake.notified().await;
        }
    }

    /// From now on connections end after their answer.
    pub fn turn_away(&self) {
        self.turning_away.set(true);
    }

    /// From now on connections end after their answer, and those without an open request at once.
    pub fn begin(&self) {
        self.turn_away();
        self.stopping.set(true);
        self.wake.notify_waiters();
    }
}

/// A front's places, with how to end the connection at each.
struct Door {
    places: RefCell<Places>,
    ends: RefCell<HashMap<PlaceId, Rc<Notify>>>,
    /// A place has become free or idle.
    change: Notify,
}

impl Door {
    fn new(most: usize) -> Rc<Self> {
        let places = RefCell::new(Places::new(most));
        Rc::new(Self { places, ends: RefCell::default(), change: Notify::new() })
    }

    /// Waits for a place; at the cap the connection that is idle for longest gives up its own.
    async fn enter(self: &Rc<Self>, host: &Rc<Host>) -> Seat {
        loop {
            let now = host.clock.now();
            if let Some(id) = self.places.borrow_mut().take(now) {
                let end = Rc::new(Notify::new());
                self.ends.borrow_mut().insert(id, end.clone());
                return Seat { door: self.clone(), id, end };
            }
            let idle = self.places.borrow_mut().make_room(now);
            if let Some(end) = idle.and_then(|id| self.ends.borrow().get(&id).cloned()) {
                host.with(|engine| engine.counters.clients_displaced += 1);
                end.notify_one();
            }
            let _ = timeout(span(ROOM_LOOK_MS), self.change.notified()).await;
        }
    }
}

/// A connection's place; it is free again once this is dropped.
struct Seat {
    door: Rc<Door>,
    id: PlaceId,
    /// Tells the connection that others need its place.
    end: Rc<Notify>,
}

impl Seat {
    fn busy(&self) {
        self.door.places.borrow_mut().busy(self.id);
    }

    fn idle(&self, now: f64) {
        self.door.places.borrow_mut().idle(self.id, now);
        self.door.change.notify_one();
    }

    fn done(&self) {
        self.door.places.borrow_mut().done(self.id);
        self.door.change.notify_one();
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.door.places.borrow_mut().leave(self.id);
        self.door.ends.borrow_mut().remove(&self.id);
        self.door.change.notify_one();
    }
}

/// Accepts clients until `closing`; then takes those that the machine has accepted already, and ends.
pub async fn accept(
    host: Rc<Host>,
    front: Rc<dyn Front>,
    listener: TcpListener,
    stop: Rc<Stop>,
    closing: Rc<Notify>,
) {
    let door = Door::new(front.limits().connections);
    let mut last = false;
    loop {
        let accepted = if last {
            // Guards requests on connections that the machine took before the stop: they count as taken.
            match timeout(span(1.0), listener.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => return,
            }
        } else {
            tokio::select! {
                biased;
                () = closing.notified() => {
                    last = true;
                    continue;
                }
                accepted = listener.accept() => accepted,
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                host.with(|engine| engine.counters.clients += 1);
                let open = Open::new(stop.clone());
                // Above the cap one client waits here, the others in the machine's queue.
                let seat = door.enter(&host).await;
                let (task_host, front, stop) = (host.clone(), front.clone(), stop.clone());
                host.spawn("a client's connection", async move {
                    let _open = open;
                    let _ = serve(&task_host, &*front, stream, peer.ip(), &stop, &seat).await;
                });
            }
            Err(_) => {
                // Guards against running out of descriptors: the clients wait, the process goes on.
                host.with(|engine| engine.counters.accept_failures += 1);
                tokio::time::sleep(span(ACCEPT_AGAIN_MS)).await;
            }
        }
    }
}

/// A connection that a stop waits for.
pub struct Open(Rc<Stop>);

impl Open {
    fn new(stop: Rc<Stop>) -> Self {
        stop.open.set(stop.open.get() + 1);
        Self(stop)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

type Link = Framed<TcpStream, HttpCodec>;
type Read = Option<Result<Result<HttpRequest, BadRequest>, WireError>>;

async fn serve(
    host: &Rc<Host>,
    front: &dyn Front,
    stream: TcpStream,
    peer: std::net::IpAddr,
    stop: &Stop,
    seat: &Seat,
) -> Result<(), WireError> {
    let _ = stream.set_nodelay(true);
    let limits = front.limits();
    let mut link = Framed::new(stream, HttpCodec::new(host.clock.clone(), limits.body_bytes));
    let mut early: Option<Read> = None;
    // Guards the places against a first request that is never sent, or a byte at a time.
    let mut whole_by = Some(host.clock.now() + limits.first_ms);
    loop {
        let read = match early.take() {
            Some(read) => read,
            None => match next(host, limits, &mut link, stop, seat, whole_by).await {
                Ok(read) => read,
                Err(Phase::Idle) => return Ok(()),
                Err(_) => return part(host, limits, &mut link, seat, 408).await,
            },
        };
        let request = match read {
            None => return Ok(()),
            Some(Err(error)) => return Err(error),
            Some(Ok(Err(BadRequest(status)))) => {
                host.with(|engine| engine.counters.malformed_requests += 1);
                return part(host, limits, &mut link, seat, status).await;
            }
            Some(Ok(Ok(request))) => request,
        };
        seat.busy();
        whole_by = None;
        let mut answer = match front.take(host, &request, host.clock.now()) {
            Intake::Now(answer) => answer,
            Intake::Ask(ask, context) => {
                let ask = Ask { client: Some(peer), ..*ask };
                let waited = match (front.keeper(), context.session) {
                    (Some(keeper), Some(session)) => {
                        wait_kept(keeper, session, &mut link, ask, &mut early).await
                    }
                    _ => wait(host, &mut link, ask, &mut early).await,
                };
                match waited {
                    Waited::Left => return Ok(()),
                    Waited::NotTaken(why) => front.not_taken(why),
                    Waited::Answer(answer) => front.word(&context, answer),
                }
            }
        };
        let fault = answer.close;
        answer.close |= !request.keep_alive || stop.turning_away.get();
        let close = answer.close;
        write(host, limits, &mut link, answer).await?;
        if fault {
            return linger(&mut link, seat).await;
        }
        if close {
            return Ok(());
        }
        link.codec_mut().answered();
        if early.is_none() {
            seat.idle(host.clock.now());
        }
    }
}

/// Waits for the next request; `Err` says in which phase the client took too long, or that its place is needed
/// or the proxy stops.
async fn next(
    host: &Rc<Host>,
    limits: &Limits,
    link: &mut Link,
    stop: &Stop,
    seat: &Seat,
    whole_by: Option<f64>,
) -> Result<Read, Phase> {
    let mut displaced = false;
    loop {
        let now = host.clock.now();
        let look = whole_by.map_or(LOOK_MS, |by| (by - now).clamp(1.0, LOOK_MS));
        tokio::select! {
            // What has come is read before anything else is heeded: a request may cross the end of its place.
            biased;
            read = timeout(span(look), link.next()) => if let Ok(read) = read {
                return Ok(read);
            },
            () = stop.wake.notified() => {}
            () = seat.end.notified() => displaced = true,
        }
        let (phase, since) = link.codec().phase();
        if phase != Phase::Idle {
            seat.busy();
        }
        let most = match phase {
            Phase::Idle => limits.idle_ms,
            Phase::Head => limits.head_ms,
            Phase::Body => limits.body_ms,
        };
        let now = host.clock.now();
        let too_slow = whole_by.is_some_and(|by| now >= by);
        host.with(|engine| engine.counters.clients_too_slow += u64::from(too_slow));
        let idle_ends = phase == Phase::Idle && (displaced || stop.stopping.get());
        if too_slow || now - since > most || idle_ends {
            return Err(phase);
        }
    }
}

/// Answers a fault, after which nothing more can be read, and ends the connection.
async fn part(
    host: &Rc<Host>,
    limits: &Limits,
    link: &mut Link,
    seat: &Seat,
    status: u16,
) -> Result<(), WireError> {
    seat.busy();
    write(host, limits, link, HttpAnswer::closing(status)).await?;
    linger(link, seat).await
}

enum Waited {
    Answer(Final),
    NotTaken(NotTaken),
    Left,
}

/// Waits for a request's answer, with an eye on whether the client leaves.
async fn wait(host: &Rc<Host>, link: &mut Link, ask: Ask, early: &mut Option<Read>) -> Waited {
    let id = ask.id;
    let mut answer = match host.ask(ask) {
        Ok(answer) => answer,
        Err(why) => return Waited::NotTaken(why),
    };
    // Guards against a panic in this task leaving the request open.
    let mut guard = Leaving { host, id: Some(id) };
    loop {
        tokio::select! {
            biased;
            done = &mut answer => {
                guard.id = None;
                return Waited::Answer(done.unwrap_or(Final::Failed { overdue: false }));
            }
            read = link.next(), if early.is_none() => match read {
                None | Some(Err(_)) => return Waited::Left,
                // The next request came early: it waits, and nothing more is read.
                read => *early = Some(read),
            }
        }
    }
}

/// The same where calls outlive their connection: over TCP a client that leaves can't be told from a link that was
/// lost, so the call goes on for its time.
async fn wait_kept(
    keeper: &Rc<Keeper>,
    session: SessionId,
    link: &mut Link,
    ask: Ask,
    early: &mut Option<Read>,
) -> Waited {
    let (mut answer, hold) = match keeper.ask(session, ask) {
        Err(why) => return Waited::NotTaken(why),
        Ok(Kept::Now(answer)) => return Waited::Answer(answer),
        Ok(Kept::Wait(answer, hold)) => (answer, hold),
    };
    loop {
        tokio::select! {
            biased;
            done = &mut answer => {
                hold.heard();
                return Waited::Answer(done.unwrap_or(Final::Failed { overdue: false }));
            }
            read = link.next(), if early.is_none() => match read {
                None | Some(Err(_)) => return Waited::Left,
                read => *early = Some(read),
            }
        }
    }
}

struct Leaving<'a> {
    host: &'a Rc<Host>,
    id: Option<u64>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.host.left(id);
        }
    }
}

/// Writes an answer whole or ends the connection: its stated length tells the client of a cut.
async fn write(
    host: &Rc<Host>,
    limits: &Limits,
    link: &mut Link,
    answer: HttpAnswer,
) -> Result<(), WireError> {
    let body = Some(answer.wire_body()).filter(|body| body.len() > INLINE_MOST);
    let all = async {
        link.send(answer).await?;
        if let Some(body) = body {
            link.get_mut().write_all(&body).await?;
        }
        Ok(())
    };
    match timeout(span(limits.write_ms), all).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => {
            host.with(|engine| engine.counters.unwritten += 1);
            Err(error)
        }
        Err(_) => {
            host.with(|engine| engine.counters.unwritten += 1);
            Err(WireError::Socket(std::io::ErrorKind::TimedOut.into()))
        }
    }
}

/// Takes in what a client still sends, so that its answer isn't lost to a reset: bounded in time, and only as
/// long as nobody needs the place.
async fn linger(link: &mut Link, seat: &Seat) -> Result<(), WireError> {
    seat.done();
    let stream = link.get_mut();
    stream.shutdown().await?;
    let drain = async {
        let mut scrap = vec![0u8; SCRAP];
        while matches!(stream.read(&mut scrap).await, Ok(n) if n > 0) {}
    };
    tokio::select! {
        _ = timeout(span(LINGER_MS), drain) => {}
        () = seat.end.notified() => {}
    }
    Ok(())
}
