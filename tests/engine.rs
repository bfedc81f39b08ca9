//! Tests of the engine in isolation, with a manual clock and without sockets.

mod endpoints;

use edge_proxy::cache_message::{CacheCommand, CacheReply, CacheRequest, ReplyStatus};
use edge_proxy::clock::Clock;
use edge_proxy::endpoint_list::{Sequenced, WatchEvent};
use edge_proxy::engine::{Effect, Engine, EngineLimits, NextWrite};
use edge_proxy::response_path::ResponsePath;
use edge_proxy::settings::PlatformSettings;
use edge_proxy::state::connections::ConnectionLimits;
use edge_proxy::state::ids::ConnectionId;
use edge_proxy::state::requests::{FinalResponse, IncomingRequest};
use edge_proxy::EndpointState;
use endpoints::{listed_endpoint, PARENT};
use std::rc::Rc;

const START: f64 = 1_764_576_000_000.0;

/// Settings that allow `streams` concurrent requests on a connection.
fn settings(streams: u32) -> PlatformSettings {
    let text = r#"{"classes":[{"name":"clip","deadlineUs":5000000,"promiseUs":600000,"semantics":"pure",
            "worth":2.0},{"name":"post","deadlineUs":3000000,"promiseUs":700000,"semantics":"side_effect",
            "worth":3.0},{"name":"order","deadlineUs":3000000,"promiseUs":700000,"semantics":"token",
            "dedupScope":"all","windowUs":400000,"worth":3.0}],"familyInfo":{"uncached":[false,true,true],"mayPassBy":true,"midKind":1,"rootKind":2,
            "purgeDoneUs":6000000,"seatsByZone":[0,1]},"localities":["hub","town"],"locality":"town",
            "skus":["box","parent","origin"],"siblings":1,"policyLimits":{"cancelling":true,
            "connectTimeoutUs":400000,"sendCap":8,"streamsPerConn":STREAMS,"retryAfter":true,
            "maxRetryAfterUs":500000}}"#;
    simd_json::from_slice(&mut text.replace("STREAMS", &streams.to_string()).into_bytes()).unwrap()
}

/// An engine with a manual clock. The test takes the place of the connection drivers.
struct Harness {
    clock: Clock,
    engine: Engine,
    last_event_number: u64,
}

impl Harness {
    /// An engine with these endpoints.
    fn new(ids: &[u32]) -> Self {
        let settings = settings(4);
        let clock = Clock::manual(START);
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

    fn request(&mut self, id: u64, class: usize) {
        self.submit(IncomingRequest { id, class, object: 42, group: 17, ..IncomingRequest::default() });
    }

    fn request_object(&mut self, id: u64, object: u64) {
        self.submit(IncomingRequest { id, object, ..IncomingRequest::default() });
    }

    fn submit(&mut self, request: IncomingRequest) {
        let (deadline_ms, id_text) = (self.clock.now() + 2_000.0, format!("{:016x}", request.id));
        self.engine.submit(IncomingRequest { id_text, deadline_ms, ..request }).unwrap();
    }

    fn advance(&mut self, ms: f64) {
        self.clock.advance(ms);
        self.engine.tick();
    }

    /// Takes all effects and returns the connections to open, with their endpoints.
    fn opened(&mut self) -> Vec<(ConnectionId, u32)> {
        self.effects()
            .into_iter()
            .filter_map(|e| match e {
                Effect::Open { conn, address, .. } => Some((conn, u32::from(address.port() - 5_000))),
                _ => None,
            })
            .collect()
    }

    fn effects(&mut self) -> Vec<Effect> {
        std::iter::from_fn(|| self.engine.take_effect()).collect()
    }

    fn responses(&mut self) -> Vec<(u64, FinalResponse)> {
        let responses = self.effects().into_iter().filter_map(|e| match e {
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
        let (entity_tag, body) = (Some("t".to_string()), "bytes".into());
        self.engine.handle_reply(
            conn,
            CacheReply { entity_tag, response_path, body, ..CacheReply::new(id, status) },
        );
    }

    /// Establishes all connections and replies to all requests: with an error and `response_path` if the
    /// request's fill source is `failing_source`, else with content.
    fn reply_to_all(&mut self, failing_source: Option<u32>, response_path: Option<ResponsePath>) {
        loop {
            let conns: Vec<ConnectionId> = self.effects().iter().filter_map(connection_of).collect();
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

    /// Submits a request and returns the source that its first attempt names.
    fn first_source(&mut self, id: u64) -> Option<u32> {
        self.request_object(id, 42);
        let conns: Vec<ConnectionId> = self.effects().iter().filter_map(connection_of).collect();
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
fn the_age_limit_shrinks_by_the_time_in_the_queue() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.apply_event(WatchEvent::Purge { object: Some(42), group: 0, issued_ms: START - 1_000.0 });
    harness.request(1, 0);
    let (conn, _) = harness.opened()[0];
    harness.advance(300.0);
    harness.engine.connection_established(conn);
    let request = harness.next_request(conn).unwrap();
    // The purge was 1,000 ms before submission; less the router's margin of 10 ms and 300 ms in the queue.
    assert_eq!(request.max_age_ms, 690);
    assert!(request.timeout_ms <= 1_700);
}

#[test]
fn an_exhausted_age_limit_does_not_become_the_limit_of_the_class() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.apply_event(WatchEvent::Purge { object: Some(42), group: 0, issued_ms: START - 50.0 });
    harness.request(1, 0);
    let (conn, _) = harness.opened()[0];
    harness.advance(300.0);
    harness.engine.connection_established(conn);
    assert_eq!(harness.next_request(conn).unwrap().max_age_ms, 1, "0 would select the limit of the class");
}

/// Guards against sending a queued attempt with an age limit from before a purge.
#[test]
fn a_purge_ends_queued_attempts_and_the_router_replaces_them() {
    let mut harness = Harness::new(&[1, 2, PARENT, 9]);
    harness.request(1, 0);
    let first = harness.opened();
    harness.apply_event(WatchEvent::Purge { object: None, group: 17, issued_ms: START - 100.0 });
    let second = harness.opened();
    assert_ne!(first[0].1, second[0].1, "the router chooses another cache for the second attempt");
    harness.engine.connection_established(first[0].0);
    assert_eq!(harness.next_request(first[0].0), None);
    harness.engine.connection_established(second[0].0);
    assert!((1..=100).contains(&harness.next_request(second[0].0).unwrap().max_age_ms));
}

/// Guards against new requests to a draining endpoint, or with a draining source.
#[test]
fn queued_attempts_for_a_draining_endpoint_or_source_are_replaced() {
    for drained in [1, PARENT] {
        // Searches for an object whose cache is 1 and whose parent is 8.
        let (mut harness, conn, object) = (1u64..)
            .find_map(|k| {
                let (mut harness, object) = (Harness::new(&[1, 2, 7, PARENT, 9]), k * 7_919);
                harness.request_object(1, object);
                let (conn, endpoint) = harness.opened()[0];
                harness.engine.connection_established(conn);
                let source = harness.next_request(conn).and_then(|request| request.fill_source);
                (endpoint == 1 && source == Some(PARENT)).then_some((harness, conn, object))
            })
            .unwrap();
        harness.request_object(2, object);
        harness.apply_event(WatchEvent::Endpoints {
            full: false,
            endpoints: vec![listed_endpoint(drained, EndpointState::Draining)],
        });
        assert_eq!(harness.next_request(conn), None, "no new request for draining endpoint {drained}");
        assert_eq!((harness.engine.counters.attempts_stale, harness.engine.open_requests()), (1, 2));
        // The second request gets an attempt that avoids the draining endpoint.
        let (other, _) = harness.opened().first().copied().unwrap_or((conn, 1));
        harness.engine.connection_established(other);
        let request = harness.next_request(other).unwrap();
        assert!(request.id.ends_with('2') && request.fill_source != Some(drained));
    }
}

/// Guards against running a write twice: a written attempt may have run, a queued one has not.
#[test]
fn a_lost_connection_fails_written_attempts_and_retries_queued_ones() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, 1);
    let (conn, endpoint) = harness.opened()[0];
    assert_eq!(endpoint, 9);
    harness.engine.connection_established(conn);
    assert!(harness.next_request(conn).is_some());
    harness.request(2, 1);
    harness.engine.connection_lost(conn);
    let effects: Vec<_> = harness.effects();
    let failed = Effect::Respond(1, FinalResponse::Failed { overdue: false });
    assert!(effects.contains(&failed), "the written attempt may have run and is not retried: {effects:?}");
    let opened = effects.iter().filter(|e| matches!(e, Effect::Open { .. })).count();
    assert_eq!((opened, harness.engine.open_requests()), (1, 1), "the queued attempt gets a new connection");
}

/// Guards against delivering or counting a reply that arrives after its request has ended.
#[test]
fn a_reply_after_the_end_is_dropped() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, 0);
    let (conn, _) = harness.opened()[0];
    harness.engine.connection_established(conn);
    harness.next_request(conn).unwrap();
    harness.engine.client_disconnected(1);
    harness.reply(conn, 1, ReplyStatus::Served);
    harness.reply(conn, 77, ReplyStatus::Served);
    assert!(harness.responses().is_empty());
    assert_eq!((harness.engine.counters.replies_late, harness.engine.counters.served), (2, 0));
}

/// Guards against a 304 response to a client that sent no entity tag.
#[test]
fn not_modified_is_rejected_for_a_request_without_an_entity_tag() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, 0);
    let (conn, _) = harness.opened()[0];
    harness.engine.connection_established(conn);
    harness.next_request(conn).unwrap();
    harness.reply(conn, 1, ReplyStatus::NotModified);
    assert!(harness
        .responses()
        .iter()
        .all(|(_, response)| !matches!(response, FinalResponse::NotModified { .. })));
}

/// Guards against a 304 response for a copy other than the client's; the reply has the entity tag `t`.
#[test]
fn not_modified_is_accepted_only_for_the_entity_tag_of_the_request() {
    for (client_etag, accepted) in [("t", true), ("u", false)] {
        let mut harness = Harness::new(&[1, PARENT, 9]);
        harness.submit(IncomingRequest {
            id: 1,
            object: 42,
            client_etag: Some(client_etag.into()),
            ..IncomingRequest::default()
        });
        let (conn, _) = harness.opened()[0];
        harness.engine.connection_established(conn);
        assert_eq!(harness.next_request(conn).unwrap().client_etag.as_deref(), Some(client_etag));
        harness.reply(conn, 1, ReplyStatus::NotModified);
        assert_eq!(
            harness.responses().iter().any(|(_, a)| matches!(a, FinalResponse::NotModified { .. })),
            accepted,
            "{client_etag}"
        );
    }
}

/// Guards against taking a duplicate reply for the reply to a later attempt of the same request, which has
/// the same id in the protocol.
#[test]
fn a_second_reply_to_an_ended_attempt_ends_no_later_attempt() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, 0);
    let (conn, endpoint) = harness.opened()[0];
    harness.engine.connection_established(conn);
    harness.next_request(conn).unwrap();
    // The reply is invalid, since the request had no entity tag, and the same cache gets the next attempt.
    harness.reply(conn, 1, ReplyStatus::NotModified);
    let (second, again) = harness.opened()[0];
    assert_eq!((endpoint, again), (1, 1));
    assert_ne!(second, conn);
    assert_eq!(harness.next_request(conn), None);
    harness.engine.connection_established(second);
    harness.next_request(second).unwrap();
    harness.reply(conn, 1, ReplyStatus::Served);
    assert!(harness.responses().is_empty(), "the reply is for the attempt that has ended");
    harness.reply(second, 1, ReplyStatus::Served);
    assert_eq!(harness.responses().len(), 1);
    assert_eq!((harness.engine.counters.replies_late, harness.engine.open_requests()), (1, 0));
}

/// Guards against forwarding a queued request whose client has disconnected.
#[test]
fn a_queued_request_whose_client_disconnected_is_never_written() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, 0);
    harness.request(2, 0);
    let (conn, _) = harness.opened()[0];
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
        (harness.engine.next_write(conn), harness.engine.open_requests(), harness.responses().len()),
        (NextWrite::Idle, 0, 0)
    );
    assert_eq!(
        (harness.engine.counters.attempts_written, harness.engine.counters.clients_disconnected),
        (1, 2)
    );
}

/// Guards against sending a stale attempt after a write that blocked before its first byte.
#[test]
fn a_blocked_write_is_checked_again_before_its_first_byte() {
    let blocked = || {
        let mut harness = Harness::new(&[1, PARENT, 9]);
        harness.request(1, 0);
        let (conn, _) = harness.opened()[0];
        harness.engine.connection_established(conn);
        harness.next_request(conn).unwrap();
        harness.engine.write_blocked(conn, 1);
        assert_eq!(harness.engine.counters.attempts_written, 0);
        (harness, conn)
    };
    let (mut harness, conn) = blocked();
    assert!(harness.next_request(conn).is_some(), "nothing has changed");
    let (mut harness, conn) = blocked();
    harness.apply_event(WatchEvent::Endpoints {
        full: false,
        endpoints: vec![listed_endpoint(1, EndpointState::Draining)],
    });
    assert_eq!(
        (harness.next_request(conn), harness.engine.counters.attempts_stale),
        (None, 1),
        "its endpoint is draining"
    );
    let (mut harness, conn) = blocked();
    harness.engine.client_disconnected(1);
    assert_eq!(
        harness.engine.next_write(conn),
        NextWrite::Idle,
        "its client disconnected before anything was written"
    );
    let (mut harness, conn) = blocked();
    harness.advance(1_999.5);
    assert!(
        !matches!(harness.engine.next_write(conn), NextWrite::Write(CacheCommand::Send(_))),
        "its deadline has passed"
    );
}

/// Guards against retrying a write after the endpoints have forgotten its idempotency key.
#[test]
fn a_retry_whose_key_window_closes_while_it_is_queued_is_never_sent() {
    for (queued_ms, sent) in [(90.0, true), (120.0, false)] {
        let mut harness = Harness::new(&[1, PARENT, 9]);
        harness.request(1, 2);
        let (first, _) = harness.opened()[0];
        harness.engine.connection_established(first);
        harness.next_request(first).unwrap();
        harness.advance(300.0);
        harness.reply(first, 1, ReplyStatus::Error);
        // 300 ms of the key window's 400 ms have passed when the retry is queued.
        let (second, _) = harness.opened()[0];
        harness.advance(queued_ms);
        harness.engine.connection_established(second);
        assert_eq!(harness.next_request(second).is_some(), sent, "{queued_ms} ms");
        if !sent {
            let responses = harness.responses();
            assert!(
                matches!(responses[..], [(1, FinalResponse::Failed { .. })]),
                "failed, not rejected, since it may have run: {responses:?}"
            );
        }
    }
}

/// Guards against keeping the old limit on concurrent requests of a connection after a reload.
#[test]
fn the_limit_on_a_connections_requests_follows_the_settings() {
    let mut harness = Harness::new(&[1]);
    harness.engine.reconfigure(settings(1));
    harness.effects();
    (1..=9).for_each(|id| harness.request(id, 0));
    assert_eq!(harness.opened().len(), 4, "the limit on connections per endpoint");
    assert!(
        harness.engine.counters.attempts_unplaced >= 5,
        "one attempt per connection, none for the others"
    );
}

/// Guards against sending more attempts on connections to a machine that has vanished without closing them.
#[test]
fn a_connection_on_which_attempts_time_out_gets_nothing_new() {
    let mut harness = Harness::new(&[1]);
    for id in 1..=2 {
        harness.request(id, 0);
    }
    let (conn, _) = harness.opened()[0];
    harness.engine.connection_established(conn);
    while harness.next_request(conn).is_some() {}
    for _ in 0..40 {
        harness.advance(50.0);
    }
    let timed_out = harness.engine.counters.attempts_timed_out;
    assert!(timed_out >= 2, "{timed_out}");
    harness.effects();
    harness.request(3, 0);
    let opened = harness.opened();
    assert!(opened.iter().all(|(new, _)| *new != conn));
    let mut next = harness.engine.next_write(conn);
    while matches!(next, NextWrite::Write(CacheCommand::Cancel(_))) {
        next = harness.engine.next_write(conn);
    }
    assert_eq!(next, NextWrite::Close);
}

/// Guards against a missing or second response when no endpoint ever replies.
#[test]
fn each_request_is_answered_once_and_in_time() {
    let mut harness = Harness::new(&[1, 2, PARENT, 9]);
    for id in 1..=5 {
        harness.request(id, (id % 2) as usize);
    }
    let mut answered = Vec::new();
    for _ in 0..200 {
        let opened: Vec<_> = harness.effects();
        for effect in opened {
            match effect {
                Effect::Open { conn, .. } => harness.engine.connection_established(conn),
                Effect::Respond(id, _) => answered.push(id),
                Effect::Wake(_) => {}
            }
        }
        for conn in 1..40 {
            while harness.next_request(conn).is_some() {}
        }
        harness.advance(10.0);
    }
    answered.extend(harness.responses().into_iter().map(|(id, _)| id));
    answered.sort_unstable();
    assert_eq!(answered, [1, 2, 3, 4, 5]);
    assert_eq!(harness.engine.counters.overdue, 0, "the router ended them");
}

/// Guards against failing an attempt whose connection was lost before its first byte, and against migrating it
/// without limit.
#[test]
fn unwritten_attempts_migrate_to_a_new_connection_at_once() {
    let mut harness = Harness::new(&[1, PARENT, 9]);
    harness.request(1, 0);
    for moves in 1..=2 {
        let (conn, endpoint) = harness.opened()[0];
        harness.engine.connection_established(conn);
        harness.engine.connection_lost(conn);
        assert_eq!(
            (endpoint, harness.engine.counters.attempts_migrated, harness.engine.counters.attempts),
            (1, moves, 1)
        );
    }
    let (conn, endpoint) = harness.opened()[0];
    harness.engine.connection_lost(conn);
    assert_eq!(
        (endpoint, harness.engine.counters.attempts_migrated, harness.engine.counters.attempts),
        (1, 2, 2)
    );
    assert_eq!(harness.engine.open_requests(), 1, "the router has sent another attempt");
}

/// Guards against growth of the class table with every change of settings.
#[test]
fn indexes_of_classes_are_reused() {
    let settings = |name: &str| -> PlatformSettings {
        let text = format!(
            r#"{{"classes":[{{"name":"clip","deadlineUs":5,"promiseUs":6,"semantics":"pure"}},
            {{"name":"{name}","deadlineUs":5,"promiseUs":6,"semantics":"pure"}}],"familyInfo":{{"uncached":[false,true]}}}}"#
        );
        simd_json::from_slice(&mut text.into_bytes()).unwrap()
    };
    let mut current = settings("a");
    for round in 0..50 {
        let name = format!("b{round}");
        current = settings(&name).with_class_indexes_of(&current, |_| false);
        assert_eq!(current.class_index("clip"), Some(0));
        let index = current.class_index(&name).unwrap();
        assert!(index < 4 && current.is_write(index) && !current.is_write(0), "{index}");
    }
    let next = settings("z").with_class_indexes_of(&current, |_| true);
    assert_eq!(next.class_index("z"), Some((0..).take_while(|k| current.class_name(*k).is_some()).count()));
}
