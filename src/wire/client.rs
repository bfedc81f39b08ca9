//! The driver of a client's connection, for both fronts: reads requests, lets the front say what they mean,
//! and writes the one answer that each gets.

use super::http::{BadRequest, HttpAnswer, HttpCodec, HttpRequest, Phase, INLINE_MOST};
use super::WireError;
use crate::clock::span;
use crate::engine::host::Host;
use crate::memory::requests::{Ask, Final, NotTaken};
use futures_util::{SinkExt, StreamExt};
use serde::Deserialize;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// How often a connection that waits for bytes looks at its deadlines, in milliseconds.
const LOOK_MS: f64 = 250.0;
/// The wait after an accept that failed, in milliseconds: most likely for want of descriptors.
const ACCEPT_AGAIN_MS: f64 = 20.0;

/// Bounds of a front's connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Wait for the first byte of a request.
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
}

/// The state of a stop, shared by all connections.
#[derive(Default)]
pub struct Stop {
    stopping: Cell<bool>,
    /// Wakes connections that wait for a request.
    wake: Notify,
    /// Connections that are open.
    pub open: Cell<usize>,
}

impl Stop {
    /// From now on connections end after their answer, and those without an open request at once.
    pub fn begin(&self) {
        self.stopping.set(true);
        self.wake.notify_waiters();
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
    let places = std::sync::Arc::new(Semaphore::new(front.limits().connections.max(1)));
    let mut last = false;
    loop {
        // The cap comes before the accept: a client above it waits in the machine's queue.
        let Ok(place) = places.clone().acquire_owned().await else { return };
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
            Ok((stream, _)) => {
                host.with(|engine| engine.counters.clients += 1);
                let (task_host, front, stop) = (host.clone(), front.clone(), stop.clone());
                host.spawn("a client's connection", async move {
                    let _place = place;
                    let _open = Open::new(stop.clone());
                    let _ = serve(&task_host, &*front, stream, &stop).await;
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

struct Open(Rc<Stop>);

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

async fn serve(host: &Rc<Host>, front: &dyn Front, stream: TcpStream, stop: &Stop) -> Result<(), WireError> {
    let _ = stream.set_nodelay(true);
    let limits = front.limits();
    let mut link = Framed::new(stream, HttpCodec::new(host.clock.clone(), limits.body_bytes));
    let mut early: Option<Read> = None;
    loop {
        let read = match early.take() {
            Some(read) => read,
            None => match next(host, limits, &mut link, stop).await {
                Ok(read) => read,
                Err(Phase::Idle) => return Ok(()),
                Err(_) => return write(host, limits, &mut link, HttpAnswer::closing(408)).await,
            },
        };
        let request = match read {
            None => return Ok(()),
            Some(Err(error)) => return Err(error),
            Some(Ok(Err(BadRequest(status)))) => {
                host.with(|engine| engine.counters.malformed_requests += 1);
                write(host, limits, &mut link, HttpAnswer::closing(status)).await?;
                return linger(&mut link).await;
            }
            Some(Ok(Ok(request))) => request,
        };
        let mut answer = match front.take(host, &request, host.clock.now()) {
            Intake::Now(answer) => answer,
            Intake::Ask(ask, context) => match wait(host, &mut link, *ask, &mut early).await {
                Waited::Left => return Ok(()),
                Waited::NotTaken(why) => front.not_taken(why),
                Waited::Answer(answer) => front.word(&context, answer),
            },
        };
        answer.close |= !request.keep_alive || stop.stopping.get();
        let close = answer.close;
        write(host, limits, &mut link, answer).await?;
        link.codec_mut().answered();
        if close {
            return Ok(());
        }
    }
}

/// Waits for the next request; `Err` says in which phase the client took too long, or that the proxy stops.
async fn next(host: &Rc<Host>, limits: &Limits, link: &mut Link, stop: &Stop) -> Result<Read, Phase> {
    loop {
        tokio::select! {
            biased;
            read = timeout(span(LOOK_MS), link.next()) => if let Ok(read) = read {
                return Ok(read);
            },
            () = stop.wake.notified() => {}
        }
        let (phase, since) = link.codec().phase();
        let most = match phase {
            Phase::Idle => limits.idle_ms,
            Phase::Head => limits.head_ms,
            Phase::Body => limits.body_ms,
        };
        if host.clock.now() - since > most || (phase == Phase::Idle && stop.stopping.get()) {
            return Err(phase);
        }
    }
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

/// Takes in for a moment what a client still sends, so that the answer to its fault isn't lost to a reset.
async fn linger(link: &mut Link) -> Result<(), WireError> {
    let stream = link.get_mut();
    stream.shutdown().await?;
    let mut scrap = [0u8; 4_096];
    let drain = async {
        for _ in 0..64 {
            if !matches!(stream.read(&mut scrap).await, Ok(n) if n > 0) {
                break;
            }
        }
    };
    let _ = timeout(span(LOOK_MS), drain).await;
    Ok(())
}
