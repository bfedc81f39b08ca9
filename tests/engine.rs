//! Tests of the engine in isolation, with a manual clock and without sockets.

mod endpoints;

use edge_proxy::cache_message::{CacheCommand, CacheReply, CacheRequest, ReplyStatus};
use edge_proxy::clock::Clock;
use edge_proxy::endpoint_list::{Sequenced, WatchEvent};
use edge_proxy::engine::{Effect, Engine, EngineLimits, NextWrite};
use edge_proxy::response_path::ResponsePath;
use edge_proxy::settings::{PlatformClass, PlatformSettings};
use edge_proxy::state::connections::ConnectionLimits;
use edge_proxy::state::ids::ConnectionId;
use edge_proxy::state::requests::{FinalResponse, IncomingRequest};
use edge_proxy::EndpointState;
use endpoints::{listed_endpoint, PARENT};
use std::rc::Rc;

/// Time at which the manual clock starts, in Unix milliseconds.
const START_MS: f64 = 1_764_576_000_000.0;
/// Time from the submission of a request to its deadline, in milliseconds.
const REQUEST_DEADLINE_MS: f64 = 2_000.0;
/// Class of reads.
const CLIP: &str = "clip";
/// Class of writes without an idempotency key.
const POST: &str = "post";
/// Class of writes with an idempotency key.
const ORDER: &str = "order";
/// Entity tag of all replies.
const REPLY_ETAG: &str = "t";

/// Settings with the classes [`CLIP`], [`POST`] and [`ORDER`], and `streams` concurrent requests per
/// connection.
fn settings(streams: u32) -> PlatformSettings {
    simd_json::from_slice(&mut settings_text(streams).into_bytes()).unwrap()
}

fn settings_text(streams: u32) -> String {
    let text = r#"{"classes":[{"name":"clip","deadlineUs":5000000,"promiseUs":600000,"semantics":"pure",
            "worth":2.0},{"name":"post","deadlineUs":3000000,"promiseUs":700000,"semantics":"side_effect",
            "worth":3.0},{"name":"order","deadlineUs":3000000,"promiseUs":700000,"semantics":"token",
            "dedupScope":"all","windowUs":400000,"worth":3.0}],"familyInfo":{"uncached":[false,true,true],"mayPassBy":true,"midKind":1,"rootKind":2,
            "purgeDoneUs":6000000,"seatsByZone":[0,1]},"localities":["hub","town"],"locality":"town",
            "skus":["box","parent","origin"],"siblings":1,"policyLimits":{"cancelling":true,
            "connectTimeoutUs":400000,"sendCap":8,"streamsPerConn":STREAMS,"retryAfter":true,
            "maxRetryAfterUs":500000}}"#;
    text.replace("STREAMS", &streams.to_string())
}

/// An engine with a manual clock. The test takes the place of the connection drivers.
struct Harness {
    clock: Clock,
    engine: Engine,
    last_event_number: u64,
}

impl Harness {
    /// Creates an engine with the active endpoints `ids`.
    fn new(ids: &[u32]) -> Self {
        let settings = settings(4);
        let clock = Clock::manual(START_MS);
        let connections =
            ConnectionLimits { total: 8, per_endpoint: 4, spread_above: 4, streams_per_connection: 4 };
        let engine =
            Engine::new(clock.clone(), Rc::new(settings), 7, EngineLimits { requests: 9, connections });
        let mut harness = Self { clock, engine, last_event_number: 0 };
        let endpoints = ids.iter().map(|id| listed_endpoint(*id, EndpointState::Active)).collect();
        harness.apply_event(WatchEvent::Endpoints { full: true, endpoints });
        harness
    }

    fn apply_event(&mut self, event: WatchEvent) {
        self.last_event_number += 1;
        self.engine.apply_event(Sequenced { number: self.last_event_number, event });
    }

    /// The class with this name.
    fn class(&self, name: &str) -> Rc<PlatformClass> {
        self.engine.settings().class(name).expect("a class of the settings").clone()
    }

    fn request(&mut self, id: u64, class: &str) {
        let class = self.class(class);
        self.submit(IncomingRequest { id, class, object: 42, group: 17, ..IncomingRequest::default() });
    }

    fn request_object(&mut self, id: u64, object: u64) {
        let class = self.class(CLIP);
        self.submit(IncomingRequest { id, class, object, ..IncomingRequest::default() });
    }

    fn submit(&mut self, request: IncomingRequest) {
        let (deadline_ms, id_text) = (self.clock.now() + REQUEST_DEADLINE_MS, format!("{:016x}", request.id));
        self.engine.submit(IncomingRequest { id_text, deadline_ms, ..request }).unwrap();
    }

    fn advance(&mut self, ms: f64) {
        self.clock.advance(ms);
        self.engine.tick();
    }

    /// Takes all effects and returns the connections to open, with their endpoints.
    fn take_opened(&mut self) -> Vec<(ConnectionId, u32)> {
        self.take_effects()
            .into_iter()
            .filter_map(|effect| match effect {
                Effect::Open { conn, address, .. } => Some((conn, u32::from(address.port() - 5_000))),
                _ => None,
            })
            .collect()
    }

    fn take_effects(&mut self) -> Vec<Effect> {
        std::iter::from_fn(|| self.engine.take_effect()).collect()
    }

    fn take_responses(&mut self) -> Vec<(u64, FinalResponse)> {
        let responses = self.take_effects().into_iter().filter_map(|effect| match effect {
            Effect::Respond(id, response) => Some((id, response)),
            _ => None,
        });
        responses.collect()
    }

    /// The next write on a connection, if it is a request.
    fn next_request(&mut self, conn: ConnectionId) -> Option<CacheRequest> {
        match self.engine.next_write(conn) {
            NextWrite::Write(CacheCommand::Send(request)) => Some(*request),
            _ => None,
        }
    }

    fn reply(&mut self, conn: ConnectionId, id: u64, status: ReplyStatus) {
        self.reply_with_path(conn, id, status, None);
    }

    fn reply_with_path(
        &mut self,
        conn: ConnectionId,
        id: u64,
        status: ReplyStatus,
        response_path: Option<ResponsePath>,
    ) {
        let (entity_tag, body) = (Some(REPLY_ETAG.to_string()), "bytes".into());
        self.engine.handle_reply(
            conn,
            CacheReply { entity_tag, response_path, body, ..CacheReply::new(id, status) },
        );
    }

    /// Establishes all connections and replies to all requests: with an error and `response_path` if the
    /// request's fill source is `failing_source`, else with content.
    fn reply_to_all(&mut self, failing_source: Option<u32>, response_path: Option<ResponsePath>) {
        loop {
            let conns: Vec<ConnectionId> = self.take_effects().iter().filter_map(connection_of).collect();
            if conns.is_empty() {
                return;
            }
            for conn in conns {
                self.engine.connection_established(conn);
                while let Some(request) = self.next_request(conn) {
                    let id = u64::from_str_radix(&request.id, 16).unwrap();
                    if request.fill_source == failing_source {
                        self.reply_with_path(conn, id, ReplyStatus::Error, response_path);
                    } else {
                        self.reply(conn, id, ReplyStatus::Served);
                    }
                }
            }
        }
    }

    /// Submits a request and returns the fill source of its first attempt.
    fn first_source(&mut self, id: u64) -> Option<u32> {
        self.request_object(id, 42);
        let conns: Vec<ConnectionId> = self.take_effects().iter().filter_map(connection_of).collect();
        conns.iter().for_each(|conn| self.engine.connection_established(*conn));
        let written = conns.iter().find_map(|conn| self.next_request(*conn));
        written.expect("an attempt is written").fill_source
    }
}

/// The connection that an effect opens or wakes.
fn connection_of(effect: &Effect) -> Option<ConnectionId> {
    match effect {
        Effect::Open { conn, .. } | Effect::Wake(conn) => Some(*conn),
        Effect::Respond(..) => None,
    }
}

/// Guards against ejecting a parent for failures of the origin behind it. Only errors with the path
/// `OriginFailed` leave the parent in use.
#[test]
fn errors_of_the_origin_leave_the_parent_in_use() {
    let paths = [
        (Some(ResponsePath::OriginFailed), true),
        (None, false),
        (Some(ResponsePath::SourceUnreachable), false),
    ];
    for (response_path, stays_in_use) in paths {
        let mut harness = Harness::new(&[1, 2, 7, PARENT, 9]);
        let parent = harness.first_source(1);
        harness.engine.client_disconnected(1);
        for id in 2..=30 {
            harness.request_object(id, 42);
            harness.reply_to_all(parent, response_path);
            harness.advance(50.0);
        }
        assert_eq!(harness.first_source(31) == parent, stays_in_use, "{response_path:?}");
    }
}

/// Guards against serving a purged copy after the attempt waited for its connection.
#[test]
fn the_maximum_age_is_reduced_by_the_time_in_the_queue() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.apply_event(WatchEvent::Purge { object: Some(42), group: 0, issued_ms: START_MS - 1_000.0 });
    harness.request(1, CLIP);
    let (conn, _) = harness.take_opened()[0];
    harness.advance(300.0);
    harness.engine.connection_established(conn);
    let request = harness.next_request(conn).unwrap();
    // The purge was 1,000 ms before submission; less the router's margin of 10 ms and 300 ms in the queue.
    assert_eq!(request.max_age_ms, 690);
    assert!(
        request.timeout_ms <= 1_700,
        "the time-out is reduced by the time in the queue: {}",
        request.timeout_ms
    );
}

#[test]
fn an_exhausted_age_limit_does_not_become_the_limit_of_the_class() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.apply_event(WatchEvent::Purge { object: Some(42), group: 0, issued_ms: START_MS - 50.0 });
    harness.request(1, CLIP);
    let (conn, _) = harness.take_opened()[0];
    harness.advance(300.0);
    harness.engine.connection_established(conn);
    assert_eq!(harness.next_request(conn).unwrap().max_age_ms, 1, "0 would select the limit of the class");
}

/// Guards against sending a queued attempt with an age limit from before a purge.
#[test]
fn a_purge_ends_queued_attempts_and_the_router_replaces_them() {
    let mut harness = Harness::new(&[1, 2, PARENT, 9]);
    harness.request(1, CLIP);
    let first = harness.take_opened();
    harness.apply_event(WatchEvent::Purge { object: None, group: 17, issued_ms: START_MS - 100.0 });
    let second = harness.take_opened();
    assert_ne!(first[0].1, second[0].1, "the router chooses another cache for the second attempt");
    harness.engine.connection_established(first[0].0);
    assert_eq!(harness.next_request(first[0].0), None);
    harness.engine.connection_established(second[0].0);
    assert!((1..=100).contains(&harness.next_request(second[0].0).unwrap().max_age_ms));
}

/// Guards against new requests to a draining endpoint, or with a draining source.
#[test]
fn queued_attempts_for_a_draining_endpoint_or_source_are_replaced() {
    for draining in [1, PARENT] {
        // Searches for an object that the router sends to cache 1 with `PARENT` as the fill source. The ids
        // are multiples of a prime.
        let (mut harness, conn, object) = (1u64..)
            .find_map(|k| {
                let (mut harness, object) = (Harness::new(&[1, 2, 7, PARENT, 9]), k * 7_919);
                harness.request_object(1, object);
                let (conn, endpoint) = harness.take_opened()[0];
                harness.engine.connection_established(conn);
                let source = harness.next_request(conn).and_then(|request| request.fill_source);
                (endpoint == 1 && source == Some(PARENT)).then_some((harness, conn, object))
            })
            .unwrap();
        harness.request_object(2, object);
        harness.apply_event(WatchEvent::Endpoints {
            full: false,
            endpoints: vec![listed_endpoint(draining, EndpointState::Draining)],
        });
        assert_eq!(
            harness.next_request(conn),
            None,
            "no request goes to, or is filled from, draining endpoint {draining}"
        );
        assert_eq!(harness.engine.counters.attempts_stale, 1);
        assert_eq!(harness.engine.open_requests(), 2);
        // The second request gets an attempt that avoids the draining endpoint.
        let (replacement, _) = harness.take_opened().first().copied().unwrap_or((conn, 1));
        harness.engine.connection_established(replacement);
        let request = harness.next_request(replacement).unwrap();
        assert!(request.id.ends_with('2') && request.fill_source != Some(draining));
    }
}

/// Guards against running a write twice: a written attempt may have run, a queued one has not.
#[test]
fn a_lost_connection_fails_written_attempts_and_retries_queued_ones() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, POST);
    let (conn, endpoint) = harness.take_opened()[0];
    assert_eq!(endpoint, 9, "writes go to the origin");
    harness.engine.connection_established(conn);
    assert!(harness.next_request(conn).is_some());
    harness.request(2, POST);
    harness.engine.connection_lost(conn);
    let effects: Vec<_> = harness.take_effects();
    let failed = Effect::Respond(1, FinalResponse::Failed { overdue: false });
    assert!(effects.contains(&failed), "the written attempt may have run and is not retried: {effects:?}");
    let opened = effects.iter().filter(|effect| matches!(effect, Effect::Open { .. })).count();
    assert_eq!((opened, harness.engine.open_requests()), (1, 1), "the queued attempt gets a new connection");
}

/// Guards against delivering or counting a reply that arrives after its request has ended.
#[test]
fn a_reply_after_the_end_of_its_request_is_dropped() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, CLIP);
    let (conn, _) = harness.take_opened()[0];
    harness.engine.connection_established(conn);
    harness.next_request(conn).unwrap();
    harness.engine.client_disconnected(1);
    harness.reply(conn, 1, ReplyStatus::Served);
    // A reply to a request that was never sent.
    harness.reply(conn, 77, ReplyStatus::Served);
    assert!(harness.take_responses().is_empty());
    assert_eq!((harness.engine.counters.replies_late, harness.engine.counters.served), (2, 0));
}

/// Guards against a 304 response to a client that sent no entity tag.
#[test]
fn not_modified_is_malformed_for_a_request_without_an_entity_tag() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, CLIP);
    let (conn, _) = harness.take_opened()[0];
    harness.engine.connection_established(conn);
    harness.next_request(conn).unwrap();
    harness.reply(conn, 1, ReplyStatus::NotModified);
    assert!(harness
        .take_responses()
        .iter()
        .all(|(_, response)| !matches!(response, FinalResponse::NotModified { .. })));
}

/// Guards against a 304 response for a copy other than the client's.
#[test]
fn not_modified_is_accepted_only_for_the_entity_tag_of_the_request() {
    for (client_etag, accepted) in [(REPLY_ETAG, true), ("u", false)] {
        let mut harness = Harness::new(&[1, PARENT, 9]);
        let class = harness.class(CLIP);
        harness.submit(IncomingRequest {
            id: 1,
            class,
            object: 42,
            client_etag: Some(client_etag.into()),
            ..IncomingRequest::default()
        });
        let (conn, _) = harness.take_opened()[0];
        harness.engine.connection_established(conn);
        assert_eq!(harness.next_request(conn).unwrap().client_etag.as_deref(), Some(client_etag));
        harness.reply(conn, 1, ReplyStatus::NotModified);
        assert_eq!(
            harness
                .take_responses()
                .iter()
                .any(|(_, response)| matches!(response, FinalResponse::NotModified { .. })),
            accepted,
            "entity tag {client_etag} of the client, {REPLY_ETAG} of the reply"
        );
    }
}

/// Guards against taking a duplicate reply for the reply to a later attempt of the same request, which has
/// the same id in the protocol.
#[test]
fn a_duplicate_reply_does_not_end_a_later_attempt() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, CLIP);
    let (conn, endpoint) = harness.take_opened()[0];
    harness.engine.connection_established(conn);
    harness.next_request(conn).unwrap();
    // The reply is invalid, since the request had no entity tag, and the same cache gets the next attempt.
    harness.reply(conn, 1, ReplyStatus::NotModified);
    let (second, second_endpoint) = harness.take_opened()[0];
    assert_eq!((endpoint, second_endpoint), (1, 1));
    assert_ne!(second, conn);
    assert_eq!(harness.next_request(conn), None);
    harness.engine.connection_established(second);
    harness.next_request(second).unwrap();
    harness.reply(conn, 1, ReplyStatus::Served);
    assert!(harness.take_responses().is_empty(), "the reply is for the attempt that has ended");
    harness.reply(second, 1, ReplyStatus::Served);
    assert_eq!(harness.take_responses().len(), 1);
    assert_eq!((harness.engine.counters.replies_late, harness.engine.open_requests()), (1, 0));
}

/// Guards against forwarding a queued request whose client has disconnected.
#[test]
fn a_queued_request_whose_client_disconnected_is_never_written() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, CLIP);
    harness.request(2, CLIP);
    let (conn, _) = harness.take_opened()[0];
    harness.engine.client_disconnected(1);
    harness.engine.connection_established(conn);
    assert!(
        harness.next_request(conn).is_some_and(|request| request.id.ends_with('2')),
        "the connection serves both requests"
    );
    harness.engine.client_disconnected(2);
    assert!(
        matches!(harness.engine.next_write(conn), NextWrite::Write(CacheCommand::Cancel(_))),
        "the written request is cancelled at the endpoint"
    );
    assert_eq!(
        (harness.engine.next_write(conn), harness.engine.open_requests(), harness.take_responses().len()),
        (NextWrite::Idle, 0, 0)
    );
    assert_eq!(
        (harness.engine.counters.attempts_written, harness.engine.counters.clients_disconnected),
        (1, 2)
    );
}

/// Guards against sending a stale attempt after a write that blocked before its first byte.
#[test]
fn a_blocked_attempt_is_checked_again_before_it_is_written() {
    let with_blocked_write = || {
        let mut harness = Harness::new(&[1, PARENT, 9]);
        harness.request(1, CLIP);
        let (conn, _) = harness.take_opened()[0];
        harness.engine.connection_established(conn);
        harness.next_request(conn).unwrap();
        harness.engine.write_blocked(conn, 1);
        assert_eq!(harness.engine.counters.attempts_written, 0);
        (harness, conn)
    };
    let (mut harness, conn) = with_blocked_write();
    assert!(harness.next_request(conn).is_some(), "nothing has changed");
    let (mut harness, conn) = with_blocked_write();
    harness.apply_event(WatchEvent::Endpoints {
        full: false,
        endpoints: vec![listed_endpoint(1, EndpointState::Draining)],
    });
    assert_eq!(
        (harness.next_request(conn), harness.engine.counters.attempts_stale),
        (None, 1),
        "its endpoint is draining"
    );
    let (mut harness, conn) = with_blocked_write();
    harness.engine.client_disconnected(1);
    assert_eq!(
        harness.engine.next_write(conn),
        NextWrite::Idle,
        "its client disconnected before anything was written"
    );
    let (mut harness, conn) = with_blocked_write();
    // 0.5 ms are left until the deadline, less than the 1 ms that a write needs.
    harness.advance(1_999.5);
    assert!(
        !matches!(harness.engine.next_write(conn), NextWrite::Write(CacheCommand::Send(_))),
        "too little time is left until its deadline"
    );
}

/// Guards against retrying a write after the endpoints have forgotten its idempotency key.
#[test]
fn a_retry_queued_past_the_end_of_its_key_window_is_not_sent() {
    for (queued_ms, sent) in [(90.0, true), (120.0, false)] {
        let mut harness = Harness::new(&[1, PARENT, 9]);
        harness.request(1, ORDER);
        let (first, _) = harness.take_opened()[0];
        harness.engine.connection_established(first);
        harness.next_request(first).unwrap();
        harness.advance(300.0);
        harness.reply(first, 1, ReplyStatus::Error);
        // 300 ms of the key window's 400 ms have passed when the retry is queued.
        let (second, _) = harness.take_opened()[0];
        harness.advance(queued_ms);
        harness.engine.connection_established(second);
        assert_eq!(harness.next_request(second).is_some(), sent, "{queued_ms} ms");
        if !sent {
            let responses = harness.take_responses();
            assert!(
                matches!(responses[..], [(1, FinalResponse::Failed { .. })]),
                "the first attempt may have run, so the request must fail and not be rejected: {responses:?}"
            );
        }
    }
}

/// Guards against keeping the old limit on concurrent requests of a connection after a reload.
#[test]
fn reconfigure_changes_the_limit_of_requests_per_connection() {
    let mut harness = Harness::new(&[1]);
    harness.engine.reconfigure(settings(1));
    harness.take_effects();
    (1..=9).for_each(|id| harness.request(id, CLIP));
    assert_eq!(harness.take_opened().len(), 4, "the limit on connections per endpoint");
    assert!(
        harness.engine.counters.attempts_unplaced >= 5,
        "requests beyond one per connection are not placed, got {} unplaced attempts",
        harness.engine.counters.attempts_unplaced
    );
}

/// Guards against sending more attempts on a connection whose endpoint became unreachable without closing it.
#[test]
fn a_connection_whose_attempts_time_out_gets_no_new_attempts() {
    let mut harness = Harness::new(&[1]);
    for id in 1..=2 {
        harness.request(id, CLIP);
    }
    let (conn, _) = harness.take_opened()[0];
    harness.engine.connection_established(conn);
    while harness.next_request(conn).is_some() {}
    for _ in 0..40 {
        harness.advance(50.0);
    }
    let timed_out = harness.engine.counters.attempts_timed_out;
    assert!(timed_out >= 2, "expected at least 2 timed-out attempts, got {timed_out}");
    harness.take_effects();
    harness.request(3, CLIP);
    let opened = harness.take_opened();
    assert!(opened.iter().all(|(new, _)| *new != conn));
    let mut next = harness.engine.next_write(conn);
    while matches!(next, NextWrite::Write(CacheCommand::Cancel(_))) {
        next = harness.engine.next_write(conn);
    }
    assert_eq!(next, NextWrite::Close);
}

/// Guards against a missing or second response when no endpoint ever replies.
#[test]
fn each_request_gets_one_response_before_its_deadline() {
    let mut harness = Harness::new(&[1, 2, PARENT, 9]);
    for id in 1..=5 {
        harness.request(id, [CLIP, POST][(id % 2) as usize]);
    }
    let mut answered = Vec::new();
    for _ in 0..200 {
        let effects: Vec<_> = harness.take_effects();
        for effect in effects {
            match effect {
                Effect::Open { conn, .. } => harness.engine.connection_established(conn),
                Effect::Respond(id, _) => answered.push(id),
                Effect::Wake(_) => {}
            }
        }
        // More ids than the test opens connections.
        for conn in 1..40 {
            while harness.next_request(conn).is_some() {}
        }
        harness.advance(10.0);
    }
    answered.extend(harness.take_responses().into_iter().map(|(id, _)| id));
    answered.sort_unstable();
    assert_eq!(answered, [1, 2, 3, 4, 5]);
    assert_eq!(
        harness.engine.counters.overdue, 0,
        "the router ended every request; none was left to the engine's safeguard"
    );
}

/// Guards against requests that are still open when a stopping process is killed: none may have a deadline, or an
/// attempt a timeout, after the limit, whether it was submitted before the limit was set or after.
#[test]
fn no_request_or_attempt_outlasts_a_limit_on_deadlines() {
    let mut harness = Harness::new(&[1, 2, PARENT, 9]);
    harness.request(1, CLIP);
    harness.request(2, POST);
    harness.engine.limit_deadlines(START_MS + 500.0);
    harness.advance(100.0);
    harness.request(3, CLIP);
    let mut conns: Vec<ConnectionId> = harness.take_effects().iter().filter_map(connection_of).collect();
    conns.dedup();
    conns.iter().for_each(|conn| harness.engine.connection_established(*conn));
    let mut written = 0;
    for conn in conns {
        while let Some(request) = harness.next_request(conn) {
            assert!(request.timeout_ms <= 400, "request {} waits for {} ms", request.id, request.timeout_ms);
            written += 1;
        }
    }
    assert_eq!(written, 3);
    harness.advance(399.0);
    assert!(harness.take_responses().is_empty());
    harness.advance(1.0);
    let mut responses = harness.take_responses();
    responses.sort_by_key(|(id, _)| *id);
    assert!(
        matches!(
            responses[..],
            [
                (1, FinalResponse::Rejected { .. }),
                (2, FinalResponse::Failed { .. }),
                (3, FinalResponse::Rejected { .. })
            ]
        ),
        "{responses:?}"
    );
    harness.request(4, CLIP);
    assert!(matches!(harness.take_responses()[..], [(4, FinalResponse::Rejected { .. })]));
    let metrics = harness.engine.metrics();
    assert!(metrics.contains("app_ended_without_reply_total{reason=\"shutdown\"} 4"), "{metrics}");
    assert_eq!(harness.engine.counters.overdue, 0, "the router ends every request");
}

/// Guards against requests that stay open at the end of a shutdown because the wall clock has stepped back.
#[test]
fn a_limit_of_now_ends_all_requests_while_the_clock_stands_still() {
    let mut harness = Harness::new(&[1, 2, PARENT, 9]);
    harness.engine.limit_deadlines(START_MS + 3_500.0);
    (1..=6).for_each(|id| harness.request(id, [CLIP, POST, ORDER][(id % 3) as usize]));
    harness.engine.limit_deadlines(START_MS);
    harness.engine.tick();
    let mut ids: Vec<u64> = harness.take_responses().into_iter().map(|(id, _)| id).collect();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2, 3, 4, 5, 6]);
    assert_eq!(harness.engine.open_requests(), 0);
}

/// Guards against failing an attempt whose connection was lost before its first byte, and against migrating
/// it without limit.
#[test]
fn unwritten_attempts_migrate_to_a_new_connection_at_most_twice() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, CLIP);
    for migrations in 1..=2 {
        let (conn, endpoint) = harness.take_opened()[0];
        harness.engine.connection_established(conn);
        harness.engine.connection_lost(conn);
        assert_eq!(
            (endpoint, harness.engine.counters.attempts_migrated, harness.engine.counters.attempts),
            (1, migrations, 1)
        );
    }
    let (conn, endpoint) = harness.take_opened()[0];
    harness.engine.connection_lost(conn);
    assert_eq!(
        (endpoint, harness.engine.counters.attempts_migrated, harness.engine.counters.attempts),
        (1, 2, 2)
    );
    assert_eq!(harness.engine.open_requests(), 1, "the router has sent another attempt");
}

/// [`settings`] with another name and latency objective of the class [`POST`].
fn settings_with_class(name: &str, latency_objective_us: u64) -> PlatformSettings {
    let post = r#""post","deadlineUs":3000000,"promiseUs":700000"#;
    let other = format!(r#""{name}","deadlineUs":3000000,"promiseUs":{latency_objective_us}"#);
    let text = settings_text(4).replace(post, &other);
    assert!(text.contains(name));
    simd_json::from_slice(&mut text.into_bytes()).unwrap()
}

/// Guards against a class table that grows at every reload, and classes that outlive their requests.
#[test]
fn a_reload_keeps_unchanged_classes_and_drops_those_that_no_request_holds() {
    let mut harness = Harness::new(&[1, 9]);
    harness.engine.reconfigure(settings_with_class("a", 700_000));
    let clip = harness.class("clip");
    let mut former = Rc::downgrade(&harness.class("a"));
    for round in 0..50 {
        let name = format!("b{round}");
        harness.engine.reconfigure(settings_with_class(&name, 700_000));
        assert!(Rc::ptr_eq(&harness.class("clip"), &clip), "an unchanged class stays the same object");
        assert!(former.upgrade().is_none(), "the removed class is held by nothing");
        assert_eq!(harness.engine.settings().classes().len(), 3);
        let class = harness.class(&name);
        assert!(class.is_write() && !clip.is_write());
        former = Rc::downgrade(&class);
    }
}

/// Guards against a request that is sent as one of another class after reloads.
#[test]
fn a_request_keeps_the_class_under_which_it_arrived_over_any_number_of_reloads() {
    let mut harness = Harness::new(&[1, 9]);
    harness.engine.reconfigure(settings_with_class("a", 700_000));
    // The request waits outside the engine, as in the queue of admission control.
    let waiting = IncomingRequest { id: 1, class: harness.class("a"), object: 42, ..Default::default() };
    for round in 0..10 {
        harness.engine.reconfigure(settings_with_class("a", 700_001 + round));
        harness.engine.reconfigure(settings_with_class("c", 700_001 + round));
    }
    harness.submit(waiting);
    let opened = harness.take_opened();
    harness.engine.connection_established(opened[0].0);
    let request = harness.next_request(opened[0].0).expect("the request is sent");
    assert_eq!((request.class.as_str(), request.fill_source, opened[0].1), ("a", None, 9));
    harness.reply(opened[0].0, 1, ReplyStatus::Served);
    assert!(matches!(harness.take_responses()[..], [(1, FinalResponse::Served { .. })]));
}
