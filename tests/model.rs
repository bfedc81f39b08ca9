//! Property tests: the engine against a model under random steps on a manual clock, and the codecs under
//! random input.

mod endpoints;

use bytes::BytesMut;
use edge_proxy::cache_message::{CacheCommand, CacheReply, ReplyStatus};
use edge_proxy::clock::Clock;
use edge_proxy::endpoint_list::{Sequenced, WatchEvent};
use edge_proxy::engine::{Effect, Engine, EngineLimits, NextWrite};
use edge_proxy::settings::PlatformSettings;
use edge_proxy::state::connections::ConnectionLimits;
use edge_proxy::state::ids::ConnectionId;
use edge_proxy::state::requests::{FinalResponse, IncomingRequest};
use edge_proxy::wire::cache_codec::{CacheCodec, MAX_LINE};
use edge_proxy::wire::discovery_codec::{FrameCodec, MAX_FRAME};
use edge_proxy::wire::http_codec::{HttpCodec, Phase};
use edge_proxy::EndpointState;
use endpoints::listed_endpoint;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio_util::codec::Decoder;

/// Time at which the manual clock starts, in Unix milliseconds.
const START_MS: f64 = 1_764_576_000_000.0;
/// Maximum number of open requests.
const MAX_REQUESTS: usize = 32;
/// Maximum number of connections to all endpoints.
const MAX_CONNECTIONS: usize = 4;
/// Maximum number of requests in flight on a connection.
const MAX_IN_FLIGHT: usize = 4;

/// The model's state of a connection.
#[derive(Default)]
struct ModelConnection {
    established: bool,
    /// Requests written and neither answered nor cancelled.
    in_flight: BTreeSet<u64>,
    /// Cancelled requests. Late replies to them must end no request.
    cancelled: BTreeSet<u64>,
    port: u16,
}

/// The engine under test, and the state that it is expected to have.
struct Model {
    clock: Clock,
    engine: Engine,
    connections: BTreeMap<ConnectionId, ModelConnection>,
    /// Requests without a response, with their deadlines.
    open: BTreeMap<u64, f64>,
    active_endpoints: BTreeSet<u32>,
    last_request_id: u64,
    last_event_number: u64,
}

impl Model {
    fn new() -> Self {
        let mut text = br#"{"classes":[{"name":"clip","deadlineUs":5000000,"promiseUs":600000,"semantics":"pure",
            "worth":2.0},{"name":"post","deadlineUs":3000000,"promiseUs":2000000,"semantics":"token",
            "dedupScope":"all","windowUs":2000000,"worth":3.0}],"familyInfo":{"uncached":[false,true],"mayPassBy":true,"midKind":1,"rootKind":2,"purgeDoneUs":6000000,
            "seatsByZone":[0,1]},"localities":["hub","town"],"locality":"town","skus":["box","parent","origin"],
            "siblings":1,"policyLimits":{"cancelling":true,"connectTimeoutUs":400000,"sendCap":8,
            "streamsPerConn":4}}"#
            .to_vec();
        let settings: PlatformSettings = simd_json::from_slice(&mut text).unwrap();
        let clock = Clock::manual(START_MS);
        let connections = ConnectionLimits {
            total: MAX_CONNECTIONS,
            per_endpoint: 2,
            spread_above: 1,
            streams_per_connection: MAX_IN_FLIGHT,
        };
        let limits = EngineLimits { requests: MAX_REQUESTS, connections };
        let engine = Engine::new(clock.clone(), Rc::new(settings), 7, limits);
        let (connections, open, active_endpoints) = Default::default();
        let mut model = Self {
            clock,
            engine,
            connections,
            open,
            active_endpoints,
            last_request_id: 0,
            last_event_number: 0,
        };
        let ids = [1, 2, 3, 8, 9];
        let endpoints = ids.iter().map(|id| listed_endpoint(*id, EndpointState::Active)).collect();
        model.apply_event(WatchEvent::Endpoints { full: true, endpoints });
        model.active_endpoints = ids.into();
        model
    }

    fn apply_event(&mut self, event: WatchEvent) {
        self.last_event_number += 1;
        self.engine.apply_event(Sequenced { number: self.last_event_number, event });
    }

    /// Does one random step: `kind` selects what happens, `a` and `b` its parameters.
    fn step(&mut self, kind: u8, a: u16, b: u16) {
        let pick = |n: usize| usize::from(a) % n.max(1);
        let conn = self.connections.keys().nth(pick(self.connections.len())).copied();
        match kind {
            // A client submits a request.
            0..=2 => {
                self.last_request_id += 1;
                let deadline_ms = self.clock.now() + 100.0 + f64::from(b % 1_400);
                let id_text = format!("{:016x}", self.last_request_id);
                let class = self.engine.settings().classes()[usize::from(b.is_multiple_of(3))].clone();
                let request = IncomingRequest {
                    class,
                    id: self.last_request_id,
                    id_text,
                    object: u64::from(a % 16),
                    group: u32::from(a % 4),
                    deadline_ms,
                    ..IncomingRequest::default()
                };
                match self.engine.submit(request) {
                    Ok(()) => assert!(self.open.insert(self.last_request_id, deadline_ms).is_none()),
                    Err(_) => assert!(
                        self.open.len() >= MAX_REQUESTS,
                        "a request was refused although the table is not full"
                    ),
                }
            }
            // A client disconnects.
            3 => {
                if let Some(id) = self.open.keys().nth(pick(self.open.len())).copied() {
                    self.open.remove(&id);
                    self.engine.client_disconnected(id);
                }
            }
            // A connect fails or completes, or an established connection is lost.
            4 | 5 => {
                if let Some((conn, connection)) =
                    conn.and_then(|conn| self.connections.get_mut(&conn).map(|connection| (conn, connection)))
                {
                    if !connection.established && b.is_multiple_of(4) {
                        self.connections.remove(&conn);
                        self.engine.connection_failed(conn, false);
                    } else if !connection.established {
                        connection.established = true;
                        self.engine.connection_established(conn);
                    } else if b.is_multiple_of(8) {
                        self.connections.remove(&conn);
                        self.engine.connection_lost(conn);
                    }
                }
            }
            // An endpoint replies.
            6..=9 => {
                if let Some(conn) = conn {
                    self.reply(conn, b);
                }
            }
            // An endpoint changes its state.
            10 => {
                let id = [1, 2, 3, 8][pick(4)];
                let state = [EndpointState::Active, EndpointState::Draining, EndpointState::Removed]
                    [usize::from(b) % 3];
                if state == EndpointState::Active {
                    self.active_endpoints.insert(id);
                } else {
                    self.active_endpoints.remove(&id);
                }
                self.apply_event(WatchEvent::Endpoints {
                    full: false,
                    endpoints: vec![listed_endpoint(id, state)],
                });
            }
            // A group is purged.
            11 => {
                let issued_ms = self.clock.now() - 50.0;
                self.apply_event(WatchEvent::Purge { object: None, group: u32::from(a % 4), issued_ms });
            }
            // Time passes.
            _ => {
                self.clock.advance(f64::from(b % 200));
                self.engine.tick();
            }
        }
        self.process_effects();
    }

    /// Replies on a connection to a request in flight or to a cancelled one; `random` selects the request and
    /// the status.
    fn reply(&mut self, conn: ConnectionId, random: u16) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let statuses = [
            ReplyStatus::Served,
            ReplyStatus::Served,
            ReplyStatus::Miss,
            ReplyStatus::Overloaded,
            ReplyStatus::Error,
            ReplyStatus::Expired,
        ];
        let late = random.is_multiple_of(5) && !connection.cancelled.is_empty();
        let candidates = if late { &mut connection.cancelled } else { &mut connection.in_flight };
        let Some(id) = candidates.iter().nth(usize::from(random) % candidates.len().max(1)).copied() else {
            return;
        };
        candidates.remove(&id);
        let status = statuses[usize::from(random / 8) % statuses.len()];
        let body = format!("{conn}:{id}").into();
        let open_before = self.engine.open_requests();
        self.engine.handle_reply(
            conn,
            CacheReply { entity_tag: Some("t".into()), body, ..CacheReply::new(id, status) },
        );
        assert!(!late || self.engine.open_requests() == open_before, "a late reply ended a request");
    }

    /// Carries out effects and writes on all connections until neither causes new effects.
    fn process_effects(&mut self) {
        loop {
            let established: Vec<ConnectionId> = self
                .connections
                .iter()
                .filter(|(_, connection)| connection.established)
                .map(|(conn, _)| *conn)
                .collect();
            established.into_iter().for_each(|conn| self.write_pending(conn));
            let Some(effect) = self.engine.take_effect() else { break };
            self.apply_effect(effect);
            while let Some(effect) = self.engine.take_effect() {
                self.apply_effect(effect);
            }
        }
        assert_eq!(
            self.engine.open_requests(),
            self.open.len(),
            "the engine and the model disagree on the number of open requests"
        );
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Open { conn, address, .. } => {
                let connection = ModelConnection { port: address.port(), ..ModelConnection::default() };
                assert!(self.connections.insert(conn, connection).is_none(), "a connection id was reused");
                assert!(
                    self.connections.len() <= MAX_CONNECTIONS,
                    "{} connections, at most {MAX_CONNECTIONS} are allowed",
                    self.connections.len()
                );
            }
            Effect::Wake(conn)
                if self.connections.get(&conn).is_some_and(|connection| connection.established) =>
            {
                self.write_pending(conn)
            }
            Effect::Wake(_) => {}
            Effect::Respond(id, response) => {
                assert!(self.open.remove(&id).is_some(), "a response to a request that is not open");
                if let FinalResponse::Served { body, .. } = response {
                    assert!(body.ends_with(format!(":{id}").as_bytes()), "the content of another request");
                }
            }
        }
    }

    /// Takes and checks the next writes of a connection until it is idle or closed.
    fn write_pending(&mut self, conn: ConnectionId) {
        loop {
            let next = self.engine.next_write(conn);
            let Some(connection) = self.connections.get_mut(&conn) else { return };
            match next {
                NextWrite::Idle => return,
                NextWrite::Close => {
                    assert!(connection.in_flight.is_empty(), "closed with requests in flight");
                    self.connections.remove(&conn);
                    return self.engine.connection_lost(conn);
                }
                NextWrite::Write(CacheCommand::Cancel(text)) => {
                    let id = u64::from_str_radix(&text, 16).unwrap();
                    assert!(connection.in_flight.remove(&id), "cancelled a request that is not in flight");
                    connection.cancelled.insert(id);
                }
                NextWrite::Write(CacheCommand::Send(request)) => {
                    let id = u64::from_str_radix(&request.id, 16).unwrap();
                    let endpoint = u32::from(connection.port - 5_000);
                    assert!(
                        self.active_endpoints.contains(&endpoint),
                        "request {id} was sent to endpoint {endpoint}, which is not active"
                    );
                    assert!(
                        request.fill_source.is_none_or(|source| self.active_endpoints.contains(&source)),
                        "request {id} has a fill source that is not active: {:?}",
                        request.fill_source
                    );
                    let time_left_ms =
                        self.open.get(&id).expect("written after the request has ended") - self.clock.now();
                    assert!(
                        request.timeout_ms as f64 <= time_left_ms.max(1.0),
                        "time-out of {} ms, but {time_left_ms} ms are left until the deadline",
                        request.timeout_ms
                    );
                    assert!(
                        !connection.cancelled.contains(&id),
                        "sent again on a connection where it was cancelled"
                    );
                    assert!(
                        connection.in_flight.insert(id),
                        "request {id} was written twice on connection {conn}"
                    );
                    assert!(
                        connection.in_flight.len() <= MAX_IN_FLIGHT,
                        "{} requests in flight, at most {MAX_IN_FLIGHT} are allowed",
                        connection.in_flight.len()
                    );
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_engine_agrees_with_the_model_after_random_steps(
        steps in prop::collection::vec((0u8..16, any::<u16>(), any::<u16>()), 1..250),
    ) {
        let mut model = Model::new();
        for (kind, a, b) in steps {
            model.step(kind, a, b);
            let now = model.clock.now();
            // A step advances the clock by less than 200 ms.
            prop_assert!(
                model.open.values().all(|deadline| now < *deadline + 200.0),
                "a request is open 200 ms after its deadline"
            );
        }
        // After all deadlines, no request may be open.
        model.clock.advance(2_000.0);
        model.engine.tick();
        model.process_effects();
        prop_assert!(model.open.is_empty(), "requests without a response: {:?}", model.open);
    }
}

/// A PUT request with a body of `body_length` bytes and a path of `path_length` letters; returns its bytes
/// and the length of its head.
fn request_bytes(body_length: usize, path_length: usize) -> (Vec<u8>, usize) {
    let head = format!(
        "PUT /{} HTTP/1.1\r\nHost: o\r\nContent-Length: {body_length}\r\n\r\n",
        "p".repeat(path_length)
    );
    let head_length = head.len();
    ([head.into_bytes(), vec![b'b'; body_length]].concat(), head_length)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Compares the codec's phase with one derived from the number of bytes received.
    #[test]
    fn the_phase_of_a_client_connection_follows_from_the_bytes_received(
        requests in prop::collection::vec((0usize..300, 0usize..60), 1..6),
        chunks in prop::collection::vec((1usize..120, 0f64..50.0), 1..80),
    ) {
        let clock = Clock::manual(START_MS);
        let mut codec = HttpCodec::new(clock.clone(), 1_000);
        let (mut stream, mut buf) = (Vec::new(), BytesMut::new());
        // Offsets of each request's start, body and end.
        let mut offsets = Vec::new();
        for (body_length, path_length) in &requests {
            let (bytes, head_length) = request_bytes(*body_length, *path_length);
            offsets.push((stream.len(), stream.len() + head_length, stream.len() + bytes.len()));
            stream.extend(bytes);
        }
        let (mut received, mut decoded, mut previous) = (0, 0, (Phase::Idle, START_MS));
        for (length, pause_ms) in chunks {
            clock.advance(pause_ms);
            let end = (received + length).min(stream.len());
            buf.extend_from_slice(&stream[received..end]);
            received = end;
            while let Some(request) = codec.decode(&mut buf).unwrap() {
                prop_assert_eq!(request.unwrap().body.len(), requests[decoded].0);
                decoded += 1;
            }
            prop_assert_eq!(decoded, offsets.iter().filter(|(_, _, end)| *end <= received).count());
            let phase = match offsets.get(decoded) {
                Some((begin, body, _)) if received > *begin => {
                    if received < *body { Phase::Head } else { Phase::Body }
                }
                _ => Phase::Idle,
            };
            // The start of the phase is never earlier than before and, before the first whole request,
            // changes only with the phase.
            let phase_start = codec.phase().1;
            prop_assert_eq!(codec.phase().0, phase);
            prop_assert!(phase_start >= previous.1 && phase_start <= clock.now());
            prop_assert!(phase != previous.0 || decoded > 0 || phase_start == previous.1);
            previous = (phase, phase_start);
        }
    }

    /// Guards against panics and unbounded buffers on arbitrary input from endpoints or the discovery
    /// service.
    #[test]
    fn arbitrary_input_is_decoded_or_rejected_within_the_buffer_limits(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..700), 0..40),
    ) {
        let (mut line_codec, mut frame_codec) = (CacheCodec::default(), FrameCodec);
        let (mut line_bytes, mut frame_bytes) = (BytesMut::new(), BytesMut::new());
        for chunk in chunks {
            line_bytes.extend_from_slice(&chunk);
            frame_bytes.extend_from_slice(&chunk);
            let line_error = std::iter::from_fn(|| line_codec.decode(&mut line_bytes).transpose())
                .find(|reply| reply.is_err());
            let frame_error = std::iter::from_fn(|| frame_codec.decode(&mut frame_bytes).transpose())
                .find(|frame| frame.is_err());
            if line_error.is_some() && frame_error.is_some() {
                return Ok(());
            }
            prop_assert!(line_error.is_some() || line_bytes.len() <= MAX_LINE);
            // The length field is 4 bytes.
            prop_assert!(frame_error.is_some() || frame_bytes.len() <= MAX_FRAME + 4);
        }
    }
}
