//! The driver of a client's connection, for both fronts: reads requests, lets the front say what they mean,
//! and writes the one answer that each gets.

use super::client_connection::{Link, Read};
use super::front::{ConnectionLimits, Disposition, Front};
use super::http::{BadRequest, HttpCodec, HttpResponse, Phase};
use super::shutdown::{ConnectionGuard, GracefulShutdown};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::resumable_calls::call_registry::{CallRegistry, SubmittedCall};
use crate::resumable_calls::response_store::SessionId;
use crate::state::client_slots::{ClientSlots, SlotId};
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How often a connection that waits for bytes looks at its deadlines, in milliseconds.
const LOOK_MS: f64 = 250.0;
/// The wait after an accept that failed, in milliseconds: most likely for want of descriptors.
const ACCEPT_AGAIN_MS: f64 = 20.0;
/// How often a newcomer that has no place looks for one, in milliseconds.
const ROOM_LOOK_MS: f64 = 20.0;
/// How long after its client has given a request up its answer is still written, in milliseconds: then the place goes
/// to another.
const LATE_WRITE_MS: f64 = 500.0;

/// A front's places, with how to end the connection at each.
struct Door {
    places: RefCell<ClientSlots>,
    ends: RefCell<HashMap<SlotId, Rc<Notify>>>,
    /// A place has become free or idle.
    change: Notify,
}

impl Door {
    fn new(most: usize) -> Rc<Self> {
        let places = RefCell::new(ClientSlots::new(most));
        Rc::new(Self { places, ends: RefCell::default(), change: Notify::new() })
    }

    /// Waits for a place; at the cap the connection that is idle for longest gives up its own.
    async fn enter(self: &Rc<Self>, host: &Rc<Executor>) -> Seat {
        loop {
            let now = host.clock.now();
            if let Some(id) = self.places.borrow_mut().claim(now) {
                let end = Rc::new(Notify::new());
                self.ends.borrow_mut().insert(id, end.clone());
                return Seat { door: self.clone(), id, end, displaced: Cell::new(false) };
            }
            let idle = self.places.borrow_mut().evict_one(now);
            if let Some(end) = idle.and_then(|id| self.ends.borrow().get(&id).cloned()) {
                host.with(|engine| engine.counters.clients_displaced += 1);
                end.notify_one();
            }
            let _ = timeout(duration_from_ms(ROOM_LOOK_MS), self.change.notified()).await;
        }
    }
}

/// A connection's place; it is free again once this is dropped.
struct Seat {
    door: Rc<Door>,
    id: SlotId,
    /// Tells the connection that others need its place.
    end: Rc<Notify>,
    /// It was told.
    displaced: Cell<bool>,
}

impl Seat {
    fn reading(&self, since: f64) {
        self.door.places.borrow_mut().request_started(self.id, since);
    }

    fn busy(&self) {
        self.door.places.borrow_mut().request_open(self.id);
    }

    fn idle(&self, now: f64) {
        self.door.places.borrow_mut().idle(self.id, now);
        self.door.change.notify_one();
    }

    fn done(&self) {
        self.door.places.borrow_mut().finished(self.id);
        self.door.change.notify_one();
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.door.places.borrow_mut().release(self.id);
        self.door.ends.borrow_mut().remove(&self.id);
        self.door.change.notify_one();
    }
}

/// Accepts clients until `closing`; then takes those that the machine has accepted already, and ends.
pub async fn accept(
    host: Rc<Executor>,
    front: Rc<dyn Front>,
    listener: TcpListener,
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
) {
    let door = Door::new(front.limits().connections);
    let mut last = false;
    loop {
        let accepted = if last {
            // Guards requests on connections that the machine took before the stop: they count as taken.
            match timeout(duration_from_ms(1.0), listener.accept()).await {
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
                let open = stop.track_connection();
                // Above the cap one client waits here, the others in the machine's queue.
                let seat = door.enter(&host).await;
                let (task_host, front, stop) = (host.clone(), front.clone(), stop.clone());
                host.spawn("a client's connection", async move {
                    serve(&task_host, &*front, stream, peer.ip(), (&stop, open), &seat).await;
                });
            }
            Err(_) => {
                // Guards against running out of descriptors: the clients wait, the process goes on.
                host.with(|engine| engine.counters.accept_failures += 1);
                tokio::time::sleep(duration_from_ms(ACCEPT_AGAIN_MS)).await;
            }
        }
    }
}

/// How a connection ended.
enum End {
    /// The client is gone: nothing can be owed.
    Gone,
    /// This side ends it, in good order.
    Closed,
}

async fn serve(
    host: &Rc<Executor>,
    front: &dyn Front,
    stream: TcpStream,
    peer: std::net::IpAddr,
    (stop, open): (&Rc<GracefulShutdown>, ConnectionGuard),
    seat: &Seat,
) {
    let codec = HttpCodec::new(host.clock.clone(), front.limits().body_bytes);
    let mut link = Link::new(stream, codec, !front.limits().one_at_a_time);
    let end = converse(host, front, &mut link, peer, stop, seat).await;
    // Nothing is owed here any more; a stop waits for it apart, so that its last bytes arrive.
    drop(open);
    if let End::Closed = end {
        let _lingering = stop.track_lingering();
        seat.done();
        let needed = seat.displaced.get();
        link.end(async {
            if !needed {
                seat.end.notified().await;
            }
        })
        .await;
    }
}

async fn converse(
    host: &Rc<Executor>,
    front: &dyn Front,
    link: &mut Link,
    peer: std::net::IpAddr,
    stop: &GracefulShutdown,
    seat: &Seat,
) -> End {
    let limits = front.limits();
    // Guards the places against a first request that is never sent, or a byte at a time.
    let mut whole_by = Some(host.clock.now() + limits.first_ms);
    loop {
        let read = match next(host, limits, link, stop, seat, whole_by).await {
            Ok(read) => read,
            Err(Phase::Idle) => return End::Closed,
            Err(_) => return part(host, limits, link, seat, 408).await,
        };
        let request = match read {
            None | Some(Err(_)) => return End::Gone,
            Some(Ok(Err(BadRequest(status)))) => {
                host.with(|engine| engine.counters.malformed_requests += 1);
                return part(host, limits, link, seat, status).await;
            }
            Some(Ok(Ok(request))) => request,
        };
        seat.busy();
        whole_by = None;
        let mut write_ms = limits.write_ms;
        let mut answer = match front.interpret(host, &request, host.clock.now()) {
            Disposition::Respond(answer) => answer,
            Disposition::Forward(ask, context) => {
                let ask = IncomingRequest { client: Some(peer), ..*ask };
                let give_up_ms = ask.deadline_ms;
                // One that waited for its place, or behind another request, may have come from a client long gone.
                if link.has_left().await {
                    host.with(|engine| engine.counters.left += 1);
                    return End::Gone;
                }
                let waited = match (front.resumable_calls(), context.session) {
                    (Some(calls), Some(session)) => wait_resumable(calls, session, link, ask).await,
                    _ => wait(host, link, ask).await,
                };
                if limits.one_at_a_time {
                    write_ms = (give_up_ms + LATE_WRITE_MS - host.clock.now()).clamp(1.0, write_ms);
                }
                match waited {
                    Waited::Left => return End::Gone,
                    Waited::AdmitError(reason) => front.reject(reason),
                    Waited::Answer(answer) => front.respond(&context, answer),
                }
            }
        };
        answer.close |= !request.keep_alive || stop.closes_after_response() || link.overrun();
        let close = answer.close;
        if link.write(answer, write_ms).await.is_err() {
            host.with(|engine| engine.counters.unwritten += 1);
            return End::Gone;
        }
        if close {
            return End::Closed;
        }
        link.answered();
        let now = host.clock.now();
        if link.is_ahead() {
            seat.reading(now);
        } else {
            seat.idle(now);
        }
    }
}

/// Waits for the next request; `Err` says in which phase the client took too long, or that its place is needed
/// or the proxy stops.
async fn next(
    host: &Rc<Executor>,
    limits: &ConnectionLimits,
    link: &mut Link,
    stop: &GracefulShutdown,
    seat: &Seat,
    whole_by: Option<f64>,
) -> Result<Read, Phase> {
    loop {
        let now = host.clock.now();
        let look = whole_by.map_or(LOOK_MS, |by| (by - now).clamp(1.0, LOOK_MS));
        tokio::select! {
            // What has come is read before anything else is heeded: a request may cross the end of its place.
            biased;
            read = timeout(duration_from_ms(look), link.next()) => if let Ok(read) = read {
                return Ok(read);
            },
            () = stop.begins() => {}
            () = seat.end.notified() => seat.displaced.set(true),
        }
        let (phase, since) = link.phase();
        if phase != Phase::Idle {
            seat.reading(since);
        }
        let most = match phase {
            Phase::Idle => limits.idle_ms,
            Phase::Head => limits.head_ms,
            Phase::Body => limits.body_ms,
        };
        let now = host.clock.now();
        let too_slow = whole_by.is_some_and(|by| now >= by);
        host.with(|engine| engine.counters.clients_too_slow += u64::from(too_slow));
        let idle_ends = phase == Phase::Idle && stop.has_begun();
        if too_slow || now - since > most || idle_ends || seat.displaced.get() {
            // Guards a request that came in this very moment: the machine may hold it already.
            return link.last_look().await.ok_or(phase);
        }
    }
}

/// Answers a fault, after which nothing more can be read.
async fn part(
    host: &Rc<Executor>,
    limits: &ConnectionLimits,
    link: &mut Link,
    seat: &Seat,
    status: u16,
) -> End {
    seat.busy();
    match link.write(HttpResponse::closing(status), limits.write_ms).await {
        Ok(()) => End::Closed,
        Err(_) => {
            host.with(|engine| engine.counters.unwritten += 1);
            End::Gone
        }
    }
}

enum Waited {
    Answer(FinalResponse),
    AdmitError(AdmitError),
    Left,
}

/// Waits for a request's answer, with an eye on whether the client leaves.
async fn wait(host: &Rc<Executor>, link: &mut Link, ask: IncomingRequest) -> Waited {
    let id = ask.id;
    let mut answer = match host.submit(ask) {
        Ok(answer) => answer,
        Err(reason) => return Waited::AdmitError(reason),
    };
    // Guards against a panic in this task leaving the request open.
    let mut guard = Leaving { host, id: Some(id) };
    tokio::select! {
        biased;
        done = &mut answer => {
            guard.id = None;
            Waited::Answer(done.unwrap_or(FinalResponse::Failed { overdue: false }))
        }
        () = link.left() => Waited::Left,
    }
}

/// Waits for the response of a call that outlives its connection. Over TCP a client that leaves cannot be distinguished
/// from a lost connection, so the call goes on.
async fn wait_resumable(
    calls: &Rc<CallRegistry>,
    session: SessionId,
    link: &mut Link,
    ask: IncomingRequest,
) -> Waited {
    let mut pending = match calls.submit(session, ask) {
        Err(reason) => return Waited::AdmitError(reason),
        Ok(SubmittedCall::Completed(response)) => return Waited::Answer(response),
        Ok(SubmittedCall::Running(pending)) => pending,
    };
    tokio::select! {
        biased;
        response = pending.response() => Waited::Answer(response),
        () = link.left() => Waited::Left,
    }
}

struct Leaving<'a> {
    host: &'a Rc<Executor>,
    id: Option<u64>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.host.client_disconnected(id);
        }
    }
}
