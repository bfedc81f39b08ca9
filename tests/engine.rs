//! The engine by itself, on a clock that the test sets: what it guards against between the module and a socket.

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
use endpoints::{target, PARENT};
use std::rc::Rc;

const START: f64 = 1_764_576_000_000.0;

/// Settings with a bound on a connection's requests.
fn env(streams: u32) -> PlatformSettings {
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

struct Bench {
    clock: Clock,
    engine: Engine,
    no: u64,
}

impl Bench {
    /// An engine with these endpoints.
    fn new(ids: &[u32]) -> Self {
        let env = env(4);
        let clock = Clock::manual(START);
        let connections = ConnectionLimits { total: 8, per_endpoint: 4, spread_above: 4, streams: 4 };
        let engine = Engine::new(clock.clone(), Rc::new(env), 7, EngineLimits { requests: 9, connections });
        let mut bench = Self { clock, engine, no: 0 };
        let endpoints = ids.iter().map(|id| target(*id, EndpointState::Active)).collect();
        bench.apply_event(WatchEvent::Endpoints { full: true, endpoints });
        bench
    }

    fn apply_event(&mut self, event: WatchEvent) {
        self.no += 1;
        self.engine.apply_event(Sequenced { number: self.no, event });
    }

    fn request(&mut self, id: u64, class: usize) {
        self.submit(IncomingRequest { id, class, object: 42, group: 17, ..IncomingRequest::default() });
    }

    fn request_object(&mut self, id: u64, object: u64) {
        self.submit(IncomingRequest { id, object, ..IncomingRequest::default() });
    }

    fn submit(&mut self, ask: IncomingRequest) {
        let (deadline_ms, id_text) = (self.clock.now() + 2_000.0, format!("{:016x}", ask.id));
        self.engine.submit(IncomingRequest { id_text, deadline_ms, ..ask }).unwrap();
    }

    fn advance(&mut self, ms: f64) {
        self.clock.advance(ms);
        self.engine.tick();
    }

    /// The connections that are to be opened, with their endpoints.
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
        let answers = self.effects().into_iter().filter_map(|e| match e {
            Effect::Respond(id, answer) => Some((id, answer)),
            _ => None,
        });
        answers.collect()
    }

    fn get(&mut self, conn: ConnectionId) -> Option<CacheRequest> {
        match self.engine.next_write(conn) {
            NextWrite::Write(CacheCommand::Send(get)) => Some(*get),
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
        path: Option<ResponsePath>,
    ) {
        let (entity_tag, body) = (Some("t".to_string()), "bytes".into());
        self.engine
            .handle_response(conn, CacheReply { entity_tag, path, body, ..CacheReply::new(id, status) });
    }

    /// Connects all that is opened, and answers each attempt that is written: with an error and this note where it
    /// names the source `failing`, else with the bytes.
    fn answer_all(&mut self, failing: Option<u32>, note: Option<ResponsePath>) {
        loop {
            let conns: Vec<ConnectionId> = self.effects().iter().filter_map(connection_of).collect();
            if conns.is_empty() {
                return;
            }
            for conn in conns {
                self.engine.connection_established(conn);
                while let Some(get) = self.get(conn) {
                    let id = u64::from_str_radix(&get.id, 16).unwrap();
                    if get.fill_source == failing {
                        self.reply_with_path(conn, id, ReplyStatus::Error, note);
                    } else {
                        self.reply(conn, id, ReplyStatus::Served);
                    }
                }
            }
        }
    }

    /// The source that the first attempt of a new request names.
    fn first_source(&mut self, id: u64) -> Option<u32> {
        self.request_object(id, 42);
        let conns: Vec<ConnectionId> = self.effects().iter().filter_map(connection_of).collect();
        conns.iter().for_each(|conn| self.engine.connection_established(*conn));
        let written = conns.iter().find_map(|conn| self.get(*conn));
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

/// Guards parents against blame for what the origin did: errors whose notes say that the origin failed behind the
/// parent leave the object's parent in use, and the same errors without a note, or blaming the source, do not.
#[test]
fn errors_of_the_origin_leave_the_parent_in_use() {
    let notes = [
        (Some(ResponsePath::OriginFailed), true),
        (None, false),
        (Some(ResponsePath::SourceUnreachable), false),
    ];
    for (note, stays) in notes {
        let mut b = Bench::new(&[1, 2, 7, PARENT, 9]);
        let home = b.first_source(1);
        b.engine.client_disconnected(1);
        for id in 2..=30 {
            b.request_object(id, 42);
            b.answer_all(home, note);
            b.advance(50.0);
        }
        assert_eq!(b.first_source(31) == home, stays, "{note:?}");
    }
}

/// Guards the rule on purges: a copy ages while the attempt waits for its connection.
#[test]
fn the_age_limit_shrinks_by_the_time_in_the_queue() {
    let mut b = Bench::new(&[1, PARENT, 9]);
    b.apply_event(WatchEvent::Purge { object: Some(42), group: 0, issued_ms: START - 1_000.0 });
    b.request(1, 0);
    let (conn, _) = b.opened()[0];
    b.advance(300.0);
    b.engine.connection_established(conn);
    let get = b.get(conn).unwrap();
    // 1,000 ms ago, less the module's margin of 10 and the 300 in the queue.
    assert_eq!(get.max_age_ms, 690);
    assert!(get.timeout_ms <= 1_700);
}

#[test]
fn the_age_limit_never_becomes_the_classs_own() {
    let mut b = Bench::new(&[1, PARENT, 9]);
    b.apply_event(WatchEvent::Purge { object: Some(42), group: 0, issued_ms: START - 50.0 });
    b.request(1, 0);
    let (conn, _) = b.opened()[0];
    b.advance(300.0);
    b.engine.connection_established(conn);
    assert_eq!(b.get(conn).unwrap().max_age_ms, 1, "0 would allow any age");
}

/// Guards the rule on purges: an attempt that waits was bounded before the purge was told.
#[test]
fn a_purge_returns_queued_attempts_to_the_decision_module() {
    let mut b = Bench::new(&[1, 2, PARENT, 9]);
    b.request(1, 0);
    let first = b.opened();
    b.apply_event(WatchEvent::Purge { object: None, group: 17, issued_ms: START - 100.0 });
    let second = b.opened();
    assert_ne!(first[0].1, second[0].1, "the module takes another cache for a second try");
    b.engine.connection_established(first[0].0);
    assert_eq!(b.get(first[0].0), None);
    b.engine.connection_established(second[0].0);
    assert!((1..=100).contains(&b.get(second[0].0).unwrap().max_age_ms));
}

/// Guards the rule on drains, for the endpoint that an attempt waits for and for the source that it names.
#[test]
fn attempts_queued_for_a_draining_endpoint_or_source_are_ordered_anew() {
    for drained in [1, PARENT] {
        // An object whose cache is 1 and whose home is the parent 8, found by looking at a first request for it.
        let (mut b, conn, object) = (1u64..)
            .find_map(|k| {
                let (mut b, object) = (Bench::new(&[1, 2, 7, PARENT, 9]), k * 7_919);
                b.request_object(1, object);
                let (conn, endpoint) = b.opened()[0];
                b.engine.connection_established(conn);
                let source = b.get(conn).and_then(|get| get.fill_source);
                (endpoint == 1 && source == Some(PARENT)).then_some((b, conn, object))
            })
            .unwrap();
        b.request_object(2, object);
        b.apply_event(WatchEvent::Endpoints {
            full: false,
            endpoints: vec![target(drained, EndpointState::Draining)],
        });
        assert_eq!(b.get(conn), None, "nothing new is written for member {drained}");
        assert_eq!((b.engine.counters.attempts_stale, b.engine.open_requests()), (1, 2));
        // The second one is on its way by other endpoints.
        let (other, _) = b.opened().first().copied().unwrap_or((conn, 1));
        b.engine.connection_established(other);
        let get = b.get(other).unwrap();
        assert!(get.id.ends_with('2') && get.fill_source != Some(drained));
    }
}

/// Guards writes that may take effect once: what broke after its first byte may have run, what waited has not.
#[test]
fn a_lost_connection_separates_what_may_have_run_from_what_has_not() {
    let mut b = Bench::new(&[1, PARENT, 9]);
    b.request(1, 1);
    let (conn, endpoint) = b.opened()[0];
    assert_eq!(endpoint, 9);
    b.engine.connection_established(conn);
    assert!(b.get(conn).is_some());
    b.request(2, 1);
    b.engine.connection_lost(conn);
    let answers: Vec<_> = b.effects();
    let failed = Effect::Respond(1, FinalResponse::Failed { overdue: false });
    assert!(answers.contains(&failed), "it may have run, so it is not tried again: {answers:?}");
    let again = answers.iter().filter(|e| matches!(e, Effect::Open { .. })).count();
    assert_eq!((again, b.engine.open_requests()), (1, 1), "the other one goes out again");
}

/// Guards against an answer that crosses the end of its request: nobody gets it, and nothing is counted twice.
#[test]
fn a_reply_after_the_end_is_dropped() {
    let mut b = Bench::new(&[1, PARENT, 9]);
    b.request(1, 0);
    let (conn, _) = b.opened()[0];
    b.engine.connection_established(conn);
    b.get(conn).unwrap();
    b.engine.client_disconnected(1);
    b.reply(conn, 1, ReplyStatus::Served);
    b.reply(conn, 77, ReplyStatus::Served);
    assert!(b.responses().is_empty());
    assert_eq!((b.engine.counters.replies_late, b.engine.counters.served), (2, 0));
}

/// Guards against bytes for a client that no cache gave for this request.
#[test]
fn an_endpoint_cannot_confirm_a_copy_that_was_not_named() {
    let mut b = Bench::new(&[1, PARENT, 9]);
    b.request(1, 0);
    let (conn, _) = b.opened()[0];
    b.engine.connection_established(conn);
    b.get(conn).unwrap();
    b.reply(conn, 1, ReplyStatus::NotModified);
    assert!(b.responses().iter().all(|(_, answer)| !matches!(answer, FinalResponse::NotModified { .. })));
}

/// The copy that holds must be the very one that the request named.
#[test]
fn an_endpoint_cannot_confirm_another_copy_than_the_one_named() {
    for (told, holds) in [("t", true), ("u", false)] {
        let mut b = Bench::new(&[1, PARENT, 9]);
        b.submit(IncomingRequest {
            id: 1,
            object: 42,
            client_etag: Some(told.into()),
            ..IncomingRequest::default()
        });
        let (conn, _) = b.opened()[0];
        b.engine.connection_established(conn);
        assert_eq!(b.get(conn).unwrap().client_tag.as_deref(), Some(told));
        b.reply(conn, 1, ReplyStatus::NotModified);
        assert_eq!(
            b.responses().iter().any(|(_, a)| matches!(a, FinalResponse::NotModified { .. })),
            holds,
            "{told}"
        );
    }
}

/// An endpoint that answers twice: the second answer must not pass for that of a later attempt of the same request, which
/// has the same id. So a request never goes twice onto one connection.
#[test]
fn a_second_reply_to_an_ended_attempt_ends_no_later_attempt() {
    let mut b = Bench::new(&[1, PARENT, 9]);
    b.request(1, 0);
    let (conn, endpoint) = b.opened()[0];
    b.engine.connection_established(conn);
    b.get(conn).unwrap();
    // Nothing was named, so it is spoilt, and the same cache is asked again.
    b.reply(conn, 1, ReplyStatus::NotModified);
    let (second, again) = b.opened()[0];
    assert_eq!((endpoint, again), (1, 1));
    assert_ne!(second, conn);
    assert_eq!(b.get(conn), None);
    b.engine.connection_established(second);
    b.get(second).unwrap();
    b.reply(conn, 1, ReplyStatus::Served);
    assert!(b.responses().is_empty(), "it crossed the end of its attempt");
    b.reply(second, 1, ReplyStatus::Served);
    assert_eq!(b.responses().len(), 1);
    assert_eq!((b.engine.counters.replies_late, b.engine.open_requests()), (1, 0));
}

/// A client that leaves while its request waits for a dial, or behind others on a connection: never sent on.
#[test]
fn a_queued_request_whose_client_disconnected_is_never_written() {
    let mut b = Bench::new(&[1, PARENT, 9]);
    b.request(1, 0);
    b.request(2, 0);
    let (conn, _) = b.opened()[0];
    b.engine.client_disconnected(1);
    b.engine.connection_established(conn);
    assert!(b.get(conn).is_some_and(|get| get.id.ends_with('2')), "the dial was for both");
    b.engine.client_disconnected(2);
    assert!(
        matches!(b.engine.next_write(conn), NextWrite::Write(CacheCommand::Cancel(_))),
        "it was written, and is called off"
    );
    assert_eq!(
        (b.engine.next_write(conn), b.engine.open_requests(), b.responses().len()),
        (NextWrite::Idle, 0, 0)
    );
    assert_eq!((b.engine.counters.attempts_written, b.engine.counters.clients_disconnected), (1, 2));
}

/// An endpoint that reads nothing: what has no byte out waits on, and every rule is looked at again before its first byte.
#[test]
fn a_blocked_write_is_checked_again_before_its_first_byte() {
    let waiting = || {
        let mut b = Bench::new(&[1, PARENT, 9]);
        b.request(1, 0);
        let (conn, _) = b.opened()[0];
        b.engine.connection_established(conn);
        b.get(conn).unwrap();
        b.engine.write_blocked(conn, 1);
        assert_eq!(b.engine.counters.attempts_written, 0);
        (b, conn)
    };
    let (mut b, conn) = waiting();
    assert!(b.get(conn).is_some(), "nothing has changed");
    let (mut b, conn) = waiting();
    b.apply_event(WatchEvent::Endpoints { full: false, endpoints: vec![target(1, EndpointState::Draining)] });
    assert_eq!((b.get(conn), b.engine.counters.attempts_stale), (None, 1), "its member drains");
    let (mut b, conn) = waiting();
    b.engine.client_disconnected(1);
    assert_eq!(
        b.engine.next_write(conn),
        NextWrite::Idle,
        "its client left, and nothing is to be called off"
    );
    let (mut b, conn) = waiting();
    b.advance(1_999.5);
    assert!(
        !matches!(b.engine.next_write(conn), NextWrite::Write(CacheCommand::Send(_))),
        "its time is over"
    );
}

/// A keyed write that may have run is repeated only as long as its key is remembered, counted to the first byte.
#[test]
fn a_repeat_whose_key_window_closes_while_it_is_queued_is_never_sent() {
    for (waits_ms, sent) in [(90.0, true), (120.0, false)] {
        let mut b = Bench::new(&[1, PARENT, 9]);
        b.request(1, 2);
        let (first, _) = b.opened()[0];
        b.engine.connection_established(first);
        b.get(first).unwrap();
        b.advance(300.0);
        b.reply(first, 1, ReplyStatus::Error);
        // 300 of the window's 400 ms are gone. The connection for the repeat comes up late.
        let (second, _) = b.opened()[0];
        b.advance(waits_ms);
        b.engine.connection_established(second);
        assert_eq!(b.get(second).is_some(), sent, "{waits_ms} ms");
        if !sent {
            let answers = b.responses();
            assert!(
                matches!(answers[..], [(1, FinalResponse::Failed { .. })]),
                "not refused, it may have run: {answers:?}"
            );
        }
    }
}

/// SIGHUP brings another bound on the requests of a connection: it holds for the connections that are up as well.
#[test]
fn the_limit_on_a_connections_requests_follows_the_settings() {
    let mut b = Bench::new(&[1]);
    b.engine.reconfigure(env(1));
    b.effects();
    (1..=9).for_each(|id| b.request(id, 0));
    assert_eq!(b.opened().len(), 4, "so many as a member may have");
    assert!(b.engine.counters.attempts_unplaced >= 5, "each has one, the others none");
}

/// Guards against a machine that vanished: its open connections stay silent for ever, and only a new one tells.
#[test]
fn a_connection_on_which_attempts_time_out_gets_nothing_new() {
    let mut b = Bench::new(&[1]);
    for id in 1..=2 {
        b.request(id, 0);
    }
    let (conn, _) = b.opened()[0];
    b.engine.connection_established(conn);
    while b.get(conn).is_some() {}
    for _ in 0..40 {
        b.advance(50.0);
    }
    let timed_out = b.engine.counters.attempts_timed_out;
    assert!(timed_out >= 2, "{timed_out}");
    b.effects();
    b.request(3, 0);
    let opened = b.opened();
    assert!(opened.iter().all(|(fresh, _)| *fresh != conn));
    let mut next = b.engine.next_write(conn);
    while matches!(next, NextWrite::Write(CacheCommand::Cancel(_))) {
        next = b.engine.next_write(conn);
    }
    assert_eq!(next, NextWrite::Close);
}

/// Guards the one answer that each request is owed, whatever no endpoint ever says.
#[test]
fn each_request_is_answered_once_and_in_time() {
    let mut b = Bench::new(&[1, 2, PARENT, 9]);
    for id in 1..=5 {
        b.request(id, (id % 2) as usize);
    }
    let mut answered = Vec::new();
    for _ in 0..200 {
        let opened: Vec<_> = b.effects();
        for effect in opened {
            match effect {
                Effect::Open { conn, .. } => b.engine.connection_established(conn),
                Effect::Respond(id, _) => answered.push(id),
                Effect::Wake(_) => {}
            }
        }
        for conn in 1..40 {
            while b.get(conn).is_some() {}
        }
        b.advance(10.0);
    }
    answered.extend(b.responses().into_iter().map(|(id, _)| id));
    answered.sort_unstable();
    assert_eq!(answered, [1, 2, 3, 4, 5]);
    assert_eq!(b.engine.counters.overdue, 0, "the module itself ended them");
}

/// Guards a request whose connection ends before its first byte: it never ran, and a fresh connection to the same
/// endpoint tells whether that lives. Only so many times, though.
#[test]
fn unwritten_attempts_migrate_to_a_new_connection_at_once() {
    let mut b = Bench::new(&[1, PARENT, 9]);
    b.request(1, 0);
    for moves in 1..=2 {
        let (conn, endpoint) = b.opened()[0];
        b.engine.connection_established(conn);
        b.engine.connection_lost(conn);
        assert_eq!(
            (endpoint, b.engine.counters.attempts_migrated, b.engine.counters.attempts),
            (1, moves, 1)
        );
    }
    let (conn, endpoint) = b.opened()[0];
    b.engine.connection_lost(conn);
    assert_eq!((endpoint, b.engine.counters.attempts_migrated, b.engine.counters.attempts), (1, 2, 2));
    assert_eq!(b.engine.open_requests(), 1, "the module has sent it elsewhere");
}

/// Guards the memory against settings that change often: a place that nothing uses any more goes to the next class.
#[test]
fn indexes_of_classes_are_reused() {
    let env = |name: &str| -> PlatformSettings {
        let text = format!(
            r#"{{"classes":[{{"name":"clip","deadlineUs":5,"promiseUs":6,"semantics":"pure"}},
            {{"name":"{name}","deadlineUs":5,"promiseUs":6,"semantics":"pure"}}],"familyInfo":{{"uncached":[false,true]}}}}"#
        );
        simd_json::from_slice(&mut text.into_bytes()).unwrap()
    };
    let mut now = env("a");
    for round in 0..50 {
        let name = format!("b{round}");
        now = env(&name).with_class_indexes_of(&now, |_| false);
        assert_eq!(now.class_index("clip"), Some(0));
        let place = now.class_index(&name).unwrap();
        assert!(place < 4 && now.is_write(place) && !now.is_write(0), "{place}");
    }
    let kept = env("z").with_class_indexes_of(&now, |_| true);
    assert_eq!(kept.class_index("z"), Some((0..).take_while(|k| now.class_name(*k).is_some()).count()));
}
