//! The engine and its connections against a model, by random steps on a clock that the test sets.

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
use edge_proxy::wire::cache_codec::{LineCodec, MAX_LINE};
use edge_proxy::wire::discovery_codec::{FrameCodec, MAX_FRAME};
use edge_proxy::wire::http_codec::{HttpCodec, Phase};
use edge_proxy::EndpointState;
use endpoints::target;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio_util::codec::Decoder;

const START: f64 = 1_764_576_000_000.0;

/// What the model knows of a connection.
#[derive(Default)]
struct Link {
    up: bool,
    /// Requests written and neither answered nor given up.
    out: BTreeSet<u64>,
    /// Requests given up, whose late answers must end nothing.
    late: BTreeSet<u64>,
    port: u16,
}

struct Model {
    clock: Clock,
    engine: Engine,
    links: BTreeMap<ConnectionId, Link>,
    /// Requests that owe an answer, with the time by which it must come.
    owed: BTreeMap<u64, f64>,
    live: BTreeSet<u32>,
    next_id: u64,
    next_no: u64,
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
        let env: PlatformSettings = simd_json::from_slice(&mut text).unwrap();
        let clock = Clock::manual(START);
        let connections = ConnectionLimits { total: 4, per_endpoint: 2, spread_above: 1, streams: 4 };
        let bounds = EngineLimits { requests: 32, connections };
        let engine = Engine::new(clock.clone(), Rc::new(env), 7, bounds);
        let (links, owed, live) = Default::default();
        let mut model = Self { clock, engine, links, owed, live, next_id: 0, next_no: 0 };
        let ids = [1, 2, 3, 8, 9];
        let endpoints = ids.iter().map(|id| target(*id, EndpointState::Active)).collect();
        model.apply_event(WatchEvent::Endpoints { full: true, endpoints });
        model.live = ids.into();
        model
    }

    fn apply_event(&mut self, event: WatchEvent) {
        self.next_no += 1;
        self.engine.apply_event(Sequenced { number: self.next_no, event });
    }

    /// Does one step; `a` and `b` choose among what there is.
    fn step(&mut self, kind: u8, a: u16, b: u16) {
        let pick = |n: usize| usize::from(a) % n.max(1);
        let conn = self.links.keys().nth(pick(self.links.len())).copied();
        match kind {
            0..=2 => {
                self.next_id += 1;
                let deadline_ms = self.clock.now() + 100.0 + f64::from(b % 1_400);
                let id_text = format!("{:016x}", self.next_id);
                let class = usize::from(b % 3 == 0);
                let ask = IncomingRequest {
                    class,
                    id: self.next_id,
                    id_text,
                    object: u64::from(a % 16),
                    group: u32::from(a % 4),
                    deadline_ms,
                    ..IncomingRequest::default()
                };
                match self.engine.submit(ask) {
                    Ok(()) => assert!(self.owed.insert(self.next_id, deadline_ms).is_none()),
                    Err(_) => assert!(self.owed.len() >= 32),
                }
            }
            3 => {
                if let Some(id) = self.owed.keys().nth(pick(self.owed.len())).copied() {
                    self.owed.remove(&id);
                    self.engine.client_disconnected(id);
                }
            }
            4 | 5 => {
                if let Some((conn, link)) = conn.and_then(|c| self.links.get_mut(&c).map(|l| (c, l))) {
                    if !link.up && b % 4 == 0 {
                        self.links.remove(&conn);
                        self.engine.connection_failed(conn, false);
                    } else if !link.up {
                        link.up = true;
                        self.engine.connection_established(conn);
                    } else if b % 8 == 0 {
                        self.links.remove(&conn);
                        self.engine.connection_lost(conn);
                    }
                }
            }
            6..=9 => {
                if let Some(conn) = conn {
                    self.answer(conn, b);
                }
            }
            10 => {
                let id = [1, 2, 3, 8][pick(4)];
                let state = [EndpointState::Active, EndpointState::Draining, EndpointState::Removed]
                    [usize::from(b) % 3];
                if state == EndpointState::Active {
                    self.live.insert(id);
                } else {
                    self.live.remove(&id);
                }
                self.apply_event(WatchEvent::Endpoints { full: false, endpoints: vec![target(id, state)] });
            }
            11 => {
                let issued = self.clock.now() - 50.0;
                self.apply_event(WatchEvent::Purge {
                    object: None,
                    group: u32::from(a % 4),
                    issued_ms: issued,
                });
            }
            _ => {
                self.clock.advance(f64::from(b % 200));
                self.engine.tick();
            }
        }
        self.process_effects();
    }

    /// An endpoint answers something on a connection: what is out, or what was given up.
    fn answer(&mut self, conn: ConnectionId, b: u16) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let words = [
            ReplyStatus::Served,
            ReplyStatus::Served,
            ReplyStatus::Miss,
            ReplyStatus::Overloaded,
            ReplyStatus::Error,
            ReplyStatus::Expired,
        ];
        let late = b % 5 == 0 && !link.late.is_empty();
        let from = if late { &mut link.late } else { &mut link.out };
        let Some(id) = from.iter().nth(usize::from(b) % from.len().max(1)).copied() else { return };
        from.remove(&id);
        let status = words[usize::from(b / 8) % words.len()];
        let body = format!("{conn}:{id}").into();
        let before = self.engine.open_requests();
        self.engine.handle_response(
            conn,
            CacheReply { entity_tag: Some("t".into()), body, ..CacheReply::new(id, status) },
        );
        assert!(!late || self.engine.open_requests() == before, "a late answer ended a request");
    }

    /// Carries out the effects and writes all there is, until nothing more comes of it.
    fn process_effects(&mut self) {
        loop {
            let up: Vec<ConnectionId> = self.links.iter().filter(|(_, l)| l.up).map(|(c, _)| *c).collect();
            up.into_iter().for_each(|conn| self.write(conn));
            let Some(effect) = self.engine.take_effect() else { break };
            self.effect(effect);
            while let Some(effect) = self.engine.take_effect() {
                self.effect(effect);
            }
        }
        assert_eq!(self.engine.open_requests(), self.owed.len());
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Open { conn, address, .. } => {
                let link = Link { port: address.port(), ..Link::default() };
                assert!(self.links.insert(conn, link).is_none(), "a number was used again");
                assert!(self.links.len() <= 4, "too many connections");
            }
            Effect::Wake(conn) if self.links.get(&conn).is_some_and(|link| link.up) => self.write(conn),
            Effect::Wake(_) => {}
            Effect::Respond(id, answer) => {
                assert!(self.owed.remove(&id).is_some(), "a second answer, or one to nobody");
                if let FinalResponse::Served { body, .. } = answer {
                    assert!(body.ends_with(format!(":{id}").as_bytes()), "another request's bytes");
                }
            }
        }
    }

    fn write(&mut self, conn: ConnectionId) {
        loop {
            let next = self.engine.next_write(conn);
            let Some(link) = self.links.get_mut(&conn) else { return };
            match next {
                NextWrite::Idle => return,
                NextWrite::Close => {
                    assert!(link.out.is_empty(), "closed with requests on it");
                    self.links.remove(&conn);
                    return self.engine.connection_lost(conn);
                }
                NextWrite::Write(CacheCommand::Cancel(text)) => {
                    let id = u64::from_str_radix(&text, 16).unwrap();
                    assert!(link.out.remove(&id), "gave up what was not asked for");
                    link.late.insert(id);
                }
                NextWrite::Write(CacheCommand::Send(get)) => {
                    let id = u64::from_str_radix(&get.id, 16).unwrap();
                    let endpoint = u32::from(link.port - 5_000);
                    assert!(self.live.contains(&endpoint), "a request to a member that drains");
                    assert!(get.fill_source.is_none_or(|s| self.live.contains(&s)), "a source that drains");
                    let left =
                        self.owed.get(&id).expect("written for a request that has ended") - self.clock.now();
                    assert!(get.timeout_ms as f64 <= left.max(1.0), "waits longer than the client");
                    assert!(!link.late.contains(&id), "again on a connection where it was given up");
                    assert!(link.out.insert(id) && link.out.len() <= 4);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn random_steps_keep_every_invariant(steps in prop::collection::vec((0u8..16, any::<u16>(), any::<u16>()), 1..250)) {
        let mut model = Model::new();
        for (kind, a, b) in steps {
            model.step(kind, a, b);
            let now = model.clock.now();
            prop_assert!(model.owed.values().all(|until| now < *until + 200.0), "an answer is overdue");
        }
        // In the end everything is answered, whatever was left hanging.
        model.clock.advance(2_000.0);
        model.engine.tick();
        model.process_effects();
        prop_assert!(model.owed.is_empty());
    }
}

/// A request's bytes, with the lengths of its head and body.
fn request_bytes(body: usize, pad: usize) -> (Vec<u8>, usize) {
    let head = format!("PUT /{} HTTP/1.1\r\nHost: o\r\nContent-Length: {body}\r\n\r\n", "p".repeat(pad));
    let length = head.len();
    ([head.into_bytes(), vec![b'b'; body]].concat(), length)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// A client's connection against a model that knows only how far into which request the bytes have come.
    #[test]
    fn a_clients_connection_is_in_the_state_that_its_bytes_say(
        requests in prop::collection::vec((0usize..300, 0usize..60), 1..6),
        cuts in prop::collection::vec((1usize..120, 0f64..50.0), 1..80),
    ) {
        let clock = Clock::manual(START);
        let mut codec = HttpCodec::new(clock.clone(), 1_000);
        let (mut stream, mut buf) = (Vec::new(), BytesMut::new());
        // Where each request begins, where its body begins, and where it ends.
        let mut bounds = Vec::new();
        for (body, pad) in &requests {
            let (bytes, head) = request_bytes(*body, *pad);
            bounds.push((stream.len(), stream.len() + head, stream.len() + bytes.len()));
            stream.extend(bytes);
        }
        let (mut at, mut whole, mut state) = (0, 0, (Phase::Idle, START));
        for (length, ms) in cuts {
            clock.advance(ms);
            let to = (at + length).min(stream.len());
            buf.extend_from_slice(&stream[at..to]);
            at = to;
            while let Some(request) = codec.decode(&mut buf).unwrap() {
                prop_assert_eq!(request.unwrap().body.len(), requests[whole].0);
                whole += 1;
            }
            prop_assert_eq!(whole, bounds.iter().filter(|(_, _, end)| *end <= at).count());
            let phase = match bounds.get(whole) {
                Some((begin, body, _)) if at > *begin => if at < *body { Phase::Head } else { Phase::Body },
                _ => Phase::Idle,
            };
            // A phase that lasts keeps the time at which it began.
            let began = codec.phase().1;
            prop_assert_eq!(codec.phase().0, phase);
            prop_assert!(began >= state.1 && began <= clock.now());
            prop_assert!(phase != state.0 || whole > 0 || began == state.1);
            state = (phase, began);
        }
    }

    /// Whatever comes, in whatever pieces: an answer, an error or a wait for more, and never a growing buffer.
    #[test]
    fn no_bytes_of_a_member_or_the_bulletin_are_too_strange(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..700), 0..40),
    ) {
        let (mut lines, mut frames) = (LineCodec::default(), FrameCodec);
        let (mut line_bytes, mut frame_bytes) = (BytesMut::new(), BytesMut::new());
        for piece in pieces {
            line_bytes.extend_from_slice(&piece);
            frame_bytes.extend_from_slice(&piece);
            let line = std::iter::from_fn(|| lines.decode(&mut line_bytes).transpose()).find(|r| r.is_err());
            let frame = std::iter::from_fn(|| frames.decode(&mut frame_bytes).transpose()).find(|r| r.is_err());
            if line.is_some() && frame.is_some() {
                return Ok(());
            }
            prop_assert!(line.is_some() || line_bytes.len() <= MAX_LINE);
            prop_assert!(frame.is_some() || frame_bytes.len() <= MAX_FRAME + 4);
        }
    }
}
