//! The HTTP/3 driver: QUIC by `quinn` with `rustls`, HTTP/3 by `h3`, a task for each connection and each request. A
//! connection that ends by its client's word calls its reads off; one that is lost leaves its calls to the shelf.
//! There is no early data (0-RTT), so no request is replayed by the transport (RFC 8470).

use super::call_registry::{CallRegistry, Kept};
use super::config::{Congestion, Http3Config, Limits};
use super::front::Http3Front;
use super::path_estimate::{Link, Sample};
use super::send_scheduler::{Priority, Turns};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::state::requests::FinalResponse;
use crate::wire::http::{HttpAnswer, HttpRequest};
use crate::wire::listener::{Front, Intake, Open, Stop};
use bytes::{Buf, Bytes, BytesMut};
use h3::server::RequestStream;
use h3_quinn::BidiStream;
use http::{Request, Response};
use quinn::crypto::rustls::QuicServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// HTTP/3's code for a connection that ends without a fault (RFC 9114, section 8.1).
const NO_ERROR: u32 = 0x100;
/// Connections beyond this share of their bound must show that they hear what is sent to their address.
const VALIDATE_SHARE: f64 = 0.5;
/// How long a connection whose requests are answered waits for its client's last acknowledgements, in milliseconds.
const FLUSH_MS: f64 = 400.0;

/// What the transport is told.
pub fn server_config(config: &Http3Config) -> Result<quinn::ServerConfig, String> {
    let file = |path: &std::path::Path| {
        let path = config.resolve_beside(path);
        std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))
    };
    let certificates: Result<Vec<_>, _> =
        CertificateDer::pem_slice_iter(&file(&config.certificate)?).collect();
    let certificates = certificates.map_err(|e| format!("{}: {e}", config.certificate.display()))?;
    let key = PrivateKeyDer::from_pem_slice(&file(&config.key)?);
    let key = key.map_err(|e| format!("{}: {e}", config.key.display()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| e.to_string())?
        .with_no_client_auth()
        .with_single_cert(certificates, key);
    let mut tls = tls.map_err(|e| format!("{}: {e}", config.certificate.display()))?;
    tls.alpn_protocols = vec![b"h3".to_vec()];
    tls.max_early_data_size = 0;
    let crypto = QuicServerConfig::try_from(tls).map_err(|e| e.to_string())?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(Arc::new(transport(config)));
    // A device that changes its address keeps its connection (RFC 9000, section 9).
    server.migration(true);
    Ok(server)
}

/// The transport for such links, for either side.
pub fn transport(config: &Http3Config) -> quinn::TransportConfig {
    let (l, p) = (&config.limits, &config.path);
    let mut transport = quinn::TransportConfig::default();
    let idle = quinn::VarInt::from_u32(l.idle_ms as u32);
    transport
        .max_concurrent_bidi_streams(quinn::VarInt::from_u32(l.streams))
        .max_concurrent_uni_streams(quinn::VarInt::from_u32(8))
        .max_idle_timeout(Some(idle.into()))
        .send_window(l.send_bytes)
        .packet_threshold(p.reorder_packets)
        .time_threshold(p.reorder_trips)
        .initial_rtt(duration_from_ms(p.first_rtt_ms));
    match p.congestion {
        Congestion::Bbr => {
            transport.congestion_controller_factory(Arc::new(quinn::congestion::BbrConfig::default()))
        }
        Congestion::Cubic => {
            transport.congestion_controller_factory(Arc::new(quinn::congestion::CubicConfig::default()))
        }
    };
    transport
}

/// Figures of the front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoorFigures {
    /// QUIC connections taken.
    pub connections: u64,
    /// Connections refused, above the bound.
    pub refused: u64,
    /// Connections that were lost without their client's word.
    pub lost: u64,
    /// Requests.
    pub requests: u64,
    /// Requests whose answer could not be handed over whole.
    pub unwritten: u64,
    /// Malformed requests.
    pub malformed: u64,
}

/// The driver, as its tasks share it.
pub struct Driver {
    host: Rc<Executor>,
    front: Rc<Http3Front>,
    keeper: Rc<CallRegistry>,
    limits: Limits,
    open: Cell<usize>,
    figures: Cell<PoorFigures>,
}

impl Driver {
    /// A driver of a front.
    pub fn new(
        host: Rc<Executor>,
        front: Rc<Http3Front>,
        keeper: Rc<CallRegistry>,
        limits: Limits,
    ) -> Rc<Self> {
        let (open, figures) = Default::default();
        Rc::new(Self { host, front, keeper, limits, open, figures })
    }

    fn count(&self, change: impl FnOnce(&mut PoorFigures)) {
        let mut figures = self.figures.get();
        change(&mut figures);
        self.figures.set(figures);
    }

    /// The figures in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let (f, (s, calls, bytes)) = (self.figures.get(), self.keeper.figures());
        let lines = [
            ("connections_open", self.open.get() as u64),
            ("connections_total", f.connections),
            ("connections_refused_total", f.refused),
            ("connections_lost_total", f.lost),
            ("requests_total", f.requests),
            ("unwritten_total", f.unwritten),
            ("malformed_total", f.malformed),
            ("shelf_calls", calls as u64),
            ("shelf_bytes", bytes as u64),
            ("shelf_taken_total", s.taken),
            ("shelf_joined_total", s.joined),
            ("shelf_answered_total", s.answered),
            ("shelf_conflicts_total", s.conflicts),
            ("shelf_full_total", s.full),
            ("shelf_lost_total", s.lost),
            ("shelf_called_off_total", s.called_off),
            ("shelf_evicted_reads_total", s.evicted[0]),
            ("shelf_evicted_writes_total", s.evicted[1]),
        ];
        lines.iter().map(|(name, n)| format!("poor_{name} {n}\n")).collect()
    }
}

/// Takes connections until `closing`; those that are open go on to their end.
pub async fn accept(driver: Rc<Driver>, endpoint: quinn::Endpoint, stop: Rc<Stop>, closing: Rc<Notify>) {
    loop {
        let incoming = tokio::select! {
            biased;
            () = closing.notified() => break,
            incoming = endpoint.accept() => incoming,
        };
        let Some(incoming) = incoming else { return };
        let (open, most) = (driver.open.get(), driver.limits.connections);
        if open >= most {
            driver.count(|f| f.refused += 1);
            incoming.refuse();
            continue;
        }
        // Guards against addresses that are made up: from some load on each must show that it hears (RFC 9000, 8.1).
        if open as f64 >= VALIDATE_SHARE * most as f64 && !incoming.remote_address_validated() {
            let _ = incoming.retry();
            continue;
        }
        driver.open.set(open + 1);
        driver.count(|f| f.connections += 1);
        driver.host.with(|engine| engine.counters.clients += 1);
        let (own, stop, held) = (driver.clone(), stop.clone(), stop.enter());
        driver.host.spawn("a QUIC connection", async move {
            let _place = Place(own.clone(), held);
            let handshake = timeout(duration_from_ms(own.limits.handshake_ms), incoming).await;
            if let Ok(Ok(connection)) = handshake {
                serve(&own, connection, &stop).await;
            }
        });
    }
    // No new connection; the endpoint lives on for those that are open.
    endpoint.set_server_config(None);
    while driver.open.get() > 0 {
        tokio::time::sleep(duration_from_ms(FLUSH_MS / 8.0)).await;
    }
    endpoint.wait_idle().await;
}

struct Place(Rc<Driver>, #[allow(dead_code)] Open);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// What the requests of a connection share.
struct Shared {
    driver: Rc<Driver>,
    connection: quinn::Connection,
    link: RefCell<Link>,
    turns: RefCell<Turns>,
    /// A body ended or moved: others may go.
    turn: Notify,
    open: Cell<usize>,
    ended: Notify,
}

impl Shared {
    /// Looks at the path.
    fn sample(&self) -> Link {
        let path = self.connection.stats().path;
        let rtt_ms = self.connection.rtt().as_secs_f64() * 1_000.0;
        let (sent, lost, window) = (path.sent_packets, path.lost_packets, path.cwnd);
        let mut link = self.link.borrow_mut();
        link.sample(Sample { rtt_ms, sent, lost, window });
        *link
    }

    /// Whether the connection ended by its client's own word.
    fn closed_by_client(&self) -> bool {
        matches!(self.connection.close_reason(), Some(quinn::ConnectionError::ApplicationClosed(_)))
    }
}

async fn serve(driver: &Rc<Driver>, connection: quinn::Connection, stop: &Stop) {
    let shared = Rc::new(Shared {
        driver: driver.clone(),
        connection: connection.clone(),
        link: RefCell::default(),
        turns: RefCell::default(),
        turn: Notify::new(),
        open: Cell::new(0),
        ended: Notify::new(),
    });
    let peer = connection.remote_address().ip();
    let mut builder = h3::server::builder();
    builder.max_field_section_size(driver.limits.header_bytes);
    let built = builder.build::<_, Bytes>(h3_quinn::Connection::new(connection.clone())).await;
    let Ok(mut link) = built else { return };
    let mut leaving = false;
    loop {
        tokio::select! {
            biased;
            accepted = link.accept() => match accepted {
                Ok(Some(resolver)) => {
                    let own = shared.clone();
                    own.open.set(own.open.get() + 1);
                    driver.host.spawn("a request over QUIC", async move {
                        let _open = OpenRequest(own.clone());
                        match timeout(duration_from_ms(own.driver.limits.body_ms), resolver.resolve_request()).await {
                            Ok(Ok((request, stream))) => answer(&own, request, stream, peer).await,
                            _ => own.driver.count(|f| f.malformed += 1),
                        }
                    });
                }
                Ok(None) | Err(_) => break,
            },
            () = stop.begun(), if !leaving => {
                leaving = true;
                // GOAWAY: what was taken is answered, and nothing more is taken.
                if link.shutdown(0).await.is_err() {
                    break;
                }
            }
            () = shared.ended.notified(), if leaving => {}
        }
        if leaving && shared.open.get() == 0 {
            break;
        }
    }
    while shared.open.get() > 0 {
        shared.ended.notified().await;
    }
    match connection.close_reason() {
        None => {
            // The last bytes are on their way: a close would overtake them.
            let _ = timeout(duration_from_ms(FLUSH_MS), connection.closed()).await;
            connection.close(NO_ERROR.into(), b"");
        }
        Some(quinn::ConnectionError::ApplicationClosed(_) | quinn::ConnectionError::LocallyClosed) => {}
        Some(reason) => {
            driver.count(|f| f.lost += 1);
            tracing::debug!(%peer, %reason, "a QUIC connection was lost");
        }
    }
}

struct OpenRequest(Rc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.ended.notify_one();
    }
}

type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// A request as the fronts read it; the status to refuse it with otherwise.
async fn whole(shared: &Shared, request: Request<()>, stream: &mut Stream) -> Result<HttpRequest, u16> {
    let (parts, ()) = request.into_parts();
    let mut read = HttpRequest {
        method: parts.method.as_str().to_string(),
        target: parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_string(),
        keep_alive: true,
        ..HttpRequest::default()
    };
    for (name, value) in &parts.headers {
        let value = value.to_str().map_err(|_| 400u16)?.trim();
        read.headers.push((name.as_str().to_string(), value.to_string()));
    }
    let mut body = BytesMut::new();
    let all = async {
        while let Some(mut chunk) = stream.recv_data().await.map_err(|_| 400u16)? {
            if body.len() + chunk.remaining() > shared.driver.limits.body_bytes {
                return Err(413u16);
            }
            body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        }
        Ok(())
    };
    timeout(duration_from_ms(shared.driver.limits.body_ms), all).await.map_err(|_| 408u16)??;
    let stated = read.single("content-length").map_err(|_| 400u16)?.map(str::to_string);
    if stated.is_some_and(|n| n.parse() != Ok(body.len())) {
        return Err(400);
    }
    read.body = body.freeze();
    Ok(read)
}

/// What a request's answer is, and how urgent; none where its client left.
async fn answered(shared: &Shared, request: &HttpRequest, peer: IpAddr) -> Option<(HttpAnswer, Priority)> {
    let driver = &shared.driver;
    let now = driver.host.clock.now();
    let (mut ask, context) = match driver.front.take(&driver.host, request, now) {
        Intake::Now(answer) => return Some((answer, Priority { urgency: 0, incremental: false })),
        Intake::IncomingRequest(ask, context) => (ask, context),
    };
    let env = driver.host.settings();
    // Writes first, then what is small; a clip's parts share what is left. The client's own word counts more.
    let base = match (env.is_write(ask.class), ask.part) {
        (true, _) => Priority { urgency: 1, incremental: false },
        (false, 0) => Priority { urgency: 2, incremental: false },
        (false, _) => Priority { urgency: 5, incremental: true },
    };
    let said = request.single("priority").ok().flatten();
    let priority = said.map_or(base, |text| Priority::parse(text, base));
    ask.client = Some(peer);
    ask.deadline_ms = shared.sample().give_up_ms(now, ask.deadline_ms, ask.size_kb * 1_024.0);
    let Some(session) = context.session else { return Some((HttpAnswer::status(500), base)) };
    let last = match driver.keeper.ask(session, *ask) {
        Err(reason) => return Some((driver.front.not_taken(reason), priority)),
        Ok(Kept::Now(last)) => last,
        Ok(Kept::Wait(heard, hold)) => tokio::select! {
            biased;
            heard = heard => {
                hold.heard();
                heard.unwrap_or(FinalResponse::Failed { overdue: false })
            }
            _ = shared.connection.closed() => {
                // Its client's own word calls a read off; a link that was lost leaves it to the shelf.
                if shared.closed_by_client() {
                    hold.cancelled();
                }
                return None;
            }
        },
    };
    Some((driver.front.word(&context, last), priority))
}

async fn answer(shared: &Rc<Shared>, request: Request<()>, mut stream: Stream, peer: IpAddr) {
    let driver = &shared.driver;
    driver.count(|f| f.requests += 1);
    let head_only = request.method() == http::Method::HEAD;
    let (answer, priority) = match whole(shared, request, &mut stream).await {
        Ok(request) => match answered(shared, &request, peer).await {
            Some(answer) => answer,
            None => return,
        },
        Err(status) => {
            driver.count(|f| f.malformed += 1);
            driver.host.with(|engine| engine.counters.malformed_requests += 1);
            (HttpAnswer::status(status), Priority { urgency: 0, incremental: false })
        }
    };
    let mut response = Response::builder().status(answer.status);
    for (name, value) in &answer.headers {
        response = response.header(*name, value);
    }
    let body = if head_only { Bytes::new() } else { answer.wire_body() };
    if answer.status != 304 {
        response = response.header("content-length", answer.body.len());
    }
    let Ok(response) = response.body(()) else { return };
    if write(shared, response, body, priority, &mut stream).await.is_err() {
        driver.count(|f| f.unwritten += 1);
        driver.host.with(|engine| engine.counters.unwritten += 1);
    }
}

/// A body's place among the others, given up however its writing ends.
struct Body<'a>(&'a Shared, u64);

impl Drop for Body<'_> {
    fn drop(&mut self) {
        self.0.turns.borrow_mut().end(self.1);
        self.0.turn.notify_waiters();
    }
}

async fn write(
    shared: &Shared,
    response: Response<()>,
    mut body: Bytes,
    priority: Priority,
    stream: &mut Stream,
) -> Result<(), h3::error::StreamError> {
    let now = || shared.driver.host.clock.now();
    stream.send_response(response).await?;
    let id = shared.turns.borrow_mut().begin(now(), priority);
    let _place = Body(shared, id);
    while !body.is_empty() {
        loop {
            let (may, again) = {
                let turns = shared.turns.borrow();
                (turns.may(now(), id), turns.look_again_ms())
            };
            if may {
                break;
            }
            let _ = timeout(duration_from_ms(again), shared.turn.notified()).await;
        }
        let part = body.split_to(body.len().min(shared.driver.limits.turn_bytes));
        stream.send_data(part).await?;
        shared.turns.borrow_mut().moved(now(), id);
    }
    stream.finish().await
}
