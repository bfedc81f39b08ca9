//! Tests of the gRPC call table without I/O, with random sequences of calls, attempt results, backend changes
//! and disconnects from fixed seeds, and of the validation of the configuration file.

use edge_proxy::engine::executor::Backend;
use edge_proxy::grpc::call::{AttemptTarget, CallId, CallOutcome, Directive, NewCall};
use edge_proxy::grpc::call_table::{CallTable, CallTableLimits};
use edge_proxy::grpc::config::GrpcConfig;
use edge_proxy::grpc::routes::{MethodKind, Route};
use edge_proxy::grpc::status::{AttemptEnd, Code, Pushback};
use edge_proxy::Idempotency;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::rc::Rc;

fn call_table_and_routes() -> (CallTable, Vec<Rc<Route>>) {
    let routes = [("safe", ""), ("never", ""), ("keyed", r#","key":"x-key","key_window_ms":900"#)];
    let routes = routes.iter().flat_map(|(repeat, extra_fields)| {
        ["unary", "stream"].map(|kind| {
            format!(
                r#"{{"method":"/t.{repeat}/{kind}","pool":"p","kind":"{kind}","repeat":"{repeat}"{extra_fields},"deadline_ms":3000}}"#
            )
        })
    });
    let text = format!(
        r#"{{"listen":"127.0.0.1:1","pools":[{{"name":"p","backends":[{{"address":"127.0.0.1:2"}}]}}],"routes":[{}]}}"#,
        routes.collect::<Vec<_>>().join(",")
    );
    let file = std::env::temp_dir().join(format!(
        "edge-proxy-grpc-calls-{}-{:?}.json",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::write(&file, text).unwrap();
    let config = GrpcConfig::read(&file).unwrap();
    let _ = std::fs::remove_file(&file);
    let (routes, pools) = config.compile().unwrap();
    let limits = CallTableLimits { open_calls: 40, replay_bytes: 5_000 };
    (CallTable::new(pools, limits, 9), routes.routes().iter().cloned().map(Rc::new).collect())
}

fn backends(live: &[bool]) -> Vec<Backend> {
    let backend = |(k, live): (usize, &bool)| Backend {
        id: k as u32,
        address: format!("127.0.0.{}:7000", k + 1).parse().unwrap(),
        live: *live,
        weight: 1.0,
    };
    live.iter().enumerate().map(backend).collect()
}

struct OpenCall {
    route: Rc<Route>,
    target: AttemptTarget,
    started_ms: f64,
    allowed_ms: f64,
    committed: bool,
    may_have_run: bool,
    attempts: u32,
    replayable: bool,
}

/// Runs a random sequence of events and checks the invariants. Returns how often each kind of end occurred.
fn run_random_events(seed: u64) -> HashMap<String, u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut calls, routes) = call_table_and_routes();
    let mut live = vec![true; 4];
    let mut now = 1e6;
    calls.set_backends(now, 0, &backends(&live));
    let mut open: HashMap<CallId, OpenCall> = HashMap::new();
    let (mut started, mut ended, mut disconnected, mut end_counts) =
        (0u64, 0u64, 0u64, HashMap::<String, u32>::new());
    for step in 0..4_000 {
        now += rng.random_range(0.0..20.0);
        let ids: Vec<CallId> = open.keys().copied().collect();
        let chosen = (!ids.is_empty()).then(|| ids[rng.random_range(0..ids.len())]);
        // Checks a directive against the state of its call. Returns whether it ends the call.
        let mut check_directive = |open: &mut HashMap<CallId, OpenCall>,
                                   id,
                                   mut call: OpenCall,
                                   directive,
                                   live: &[bool],
                                   past_deadline: bool| {
            match directive {
                Directive::StartAttempt(target) => {
                    assert!(!call.committed, "a committed call was retried");
                    assert!(live[target.backend as usize], "a draining backend was chosen");
                    assert!(
                        call.route.idempotency != Idempotency::NotIdempotent || !call.may_have_run,
                        "a non-idempotent call was retried although it may have been processed"
                    );
                    assert!(call.replayable, "a request that was not buffered was retried");
                    assert!(!past_deadline, "an attempt was started after the deadline");
                    assert_eq!(target.attempt, call.attempts, "attempts are numbered consecutively");
                    call.attempts += 1;
                    assert!(call.attempts <= 3, "the attempt limit was exceeded");
                    call.target = target;
                    open.insert(id, call);
                    false
                }
                Directive::ForwardStatus { outcome, .. } => {
                    *end_counts.entry(format!("forwarded {outcome:?}")).or_default() += 1;
                    true
                }
                Directive::Respond(status) => {
                    assert_ne!(status.code, Code::OK, "the proxy never generates OK");
                    let non_idempotent_may_have_run =
                        call.route.idempotency == Idempotency::NotIdempotent && call.may_have_run;
                    assert!(
                        !non_idempotent_may_have_run || status.outcome != CallOutcome::Rejected,
                        "a call that may have been processed was reported as rejected: {status:?}"
                    );
                    *end_counts.entry(format!("generated {:?}", status.outcome)).or_default() += 1;
                    true
                }
            }
        };
        match rng.random_range(0..10) {
            0..=3 if step < 3_600 => {
                let route = routes[rng.random_range(0..routes.len())].clone();
                let timeout_ms = (rng.random_range(0..3) > 0).then(|| rng.random_range(1.0..4_000.0));
                let new_call =
                    NewCall { route: route.clone(), affinity_hash: None, timeout_ms, received_ms: now };
                let allowed_ms = new_call.allowed_ms();
                assert!(
                    allowed_ms <= 3_000.0 && timeout_ms.is_none_or(|t| allowed_ms <= t),
                    "a deadline was extended"
                );
                let (id, directive) = calls.begin(now, new_call);
                started += 1;
                let target =
                    AttemptTarget { attempt: 0, backend: 0, address: "127.0.0.1:1".parse().unwrap() };
                let (committed, may_have_run, attempts, replayable) = (false, false, 0, true);
                let call = OpenCall {
                    route,
                    target,
                    started_ms: now,
                    allowed_ms,
                    committed,
                    may_have_run,
                    attempts,
                    replayable,
                };
                ended += u64::from(check_directive(&mut open, id, call, directive, &live, false));
            }
            4 => {
                let k = rng.random_range(0..live.len());
                live[k] = !live[k];
                calls.set_backends(now, 0, &backends(&live));
            }
            5 => {
                let Some(id) = chosen.filter(|_| rng.random_range(0..3) == 0) else { continue };
                open.remove(&id);
                calls.client_disconnected(now, id);
                disconnected += 1;
            }
            6 => {
                let Some(id) = chosen else { continue };
                let call = open.get_mut(&id).unwrap();
                let max_bytes = 800;
                call.replayable &= calls.reserve_replay(id, rng.random_range(1..500), max_bytes);
                assert!(calls.replay_bytes() <= 5_000, "the retry buffer limit was exceeded");
            }
            7 => {
                let Some(id) = chosen else { continue };
                let call = open.get_mut(&id).unwrap();
                call.committed = true;
                calls.commit(now, id);
            }
            _ => {
                let Some(id) = chosen else { continue };
                let mut call = open.remove(&id).unwrap();
                let remaining_ms = calls.remaining_attempt_ms(now, id);
                if let Some(remaining_ms) = remaining_ms {
                    assert!(
                        live[call.target.backend as usize],
                        "an attempt to a draining backend was allowed"
                    );
                    assert!(
                        remaining_ms <= call.started_ms + call.allowed_ms - now + 1e-6,
                        "an attempt got more time than its call has"
                    );
                }
                let past_deadline = now >= call.started_ms + call.allowed_ms;
                let ends = [
                    AttemptEnd::Status(Code::from_number(rng.random_range(0..17)), None),
                    AttemptEnd::Status(Code::OK, None),
                    AttemptEnd::Status(Code::UNAVAILABLE, Some(Pushback::After(100.0))),
                    AttemptEnd::HttpStatus(503),
                    AttemptEnd::Reset(2),
                    AttemptEnd::Unprocessed,
                    AttemptEnd::NoConnection { local: false },
                    AttemptEnd::NotSent,
                    AttemptEnd::ConnectionLost,
                    AttemptEnd::Truncated,
                    AttemptEnd::Malformed,
                    AttemptEnd::TimedOut,
                ];
                let mut end = ends[rng.random_range(0..ends.len())];
                if call.committed
                    && matches!(
                        end,
                        AttemptEnd::NotSent | AttemptEnd::NoConnection { .. } | AttemptEnd::Unprocessed
                    )
                {
                    end = AttemptEnd::ConnectionLost;
                }
                if past_deadline {
                    end = AttemptEnd::TimedOut;
                }
                let unprocessed = matches!(
                    end,
                    AttemptEnd::NotSent | AttemptEnd::NoConnection { .. } | AttemptEnd::Unprocessed
                );
                call.may_have_run |= !unprocessed;
                let directive = calls.attempt_ended(now, id, end);
                if call.committed {
                    assert!(
                        !matches!(directive, Directive::StartAttempt(_)),
                        "a committed call was retried: {end:?}"
                    );
                }
                if end == AttemptEnd::Status(Code::OK, None) {
                    let served =
                        Directive::ForwardStatus { outcome: CallOutcome::Served, retry_after_ms: None };
                    assert_eq!(directive, served);
                }
                ended += u64::from(check_directive(&mut open, id, call, directive, &live, past_deadline));
            }
        }
        assert_eq!(calls.open_calls(), open.len(), "a call is open until its end");
    }
    assert_eq!(started, ended + disconnected + open.len() as u64, "a call ends exactly once");
    for (id, _) in open {
        calls.client_disconnected(now, id);
    }
    assert_eq!((calls.open_calls(), calls.replay_bytes()), (0, 0), "calls and buffers are released");
    let counters = &calls.pools()[0].counters;
    assert_eq!(counters.outcomes.iter().sum::<u64>(), started, "a call is counted exactly once");
    end_counts
}

#[test]
fn random_event_sequences_preserve_the_invariants_of_calls() {
    let mut end_counts = HashMap::<String, u32>::new();
    for seed in 0..20 {
        run_random_events(seed).into_iter().for_each(|(end, n)| *end_counts.entry(end).or_default() += n);
    }
    for end in [
        "forwarded Served",
        "forwarded Rejected",
        "forwarded Failed",
        "generated Rejected",
        "generated Failed",
    ] {
        assert!(end_counts.get(end).is_some_and(|n| *n > 20), "{end}: {end_counts:?}");
    }
}

#[test]
fn streams_time_out_only_at_the_deadline_and_long_streams_do_not_eject_backends() {
    let (mut calls, routes) = call_table_and_routes();
    calls.set_backends(0.0, 0, &backends(&[true, true]));
    let route = |kind, idempotency| {
        routes.iter().find(|r| r.kind == kind && r.idempotency == idempotency).unwrap().clone()
    };
    let new_call = |route: Rc<Route>| NewCall {
        route,
        affinity_hash: Some(7),
        timeout_ms: Some(2_000.0),
        received_ms: 0.0,
    };
    // Only a unary attempt has a timeout before the call's deadline.
    let (unary, _) = calls.begin(0.0, new_call(route(MethodKind::Unary, Idempotency::Idempotent)));
    let (stream, _) = calls.begin(0.0, new_call(route(MethodKind::Stream, Idempotency::Idempotent)));
    assert!(calls.timeout_at_ms(unary) < 1_900.0, "{}", calls.timeout_at_ms(unary));
    assert_eq!(calls.timeout_at_ms(stream), 1_960.0, "the client timeout less the return margin");
    calls.commit(50.0, unary);
    assert_eq!(calls.timeout_at_ms(unary), 1_960.0, "a committed attempt has until the call's deadline");
    // The duration of streams does not get their backends ejected.
    for n in 0..50 {
        let now = f64::from(n) * 10_000.0;
        let new_call = NewCall {
            timeout_ms: None,
            received_ms: now,
            ..new_call(route(MethodKind::Stream, Idempotency::Idempotent))
        };
        let (id, directive) = calls.begin(now, new_call);
        let Directive::StartAttempt(target) = directive else { panic!("{directive:?}") };
        calls.commit(now + 5.0, id);
        let directive = calls.attempt_ended(now + 2_900.0, id, AttemptEnd::Status(Code::OK, None));
        assert!(matches!(directive, Directive::ForwardStatus { outcome: CallOutcome::Served, .. }));
        assert_eq!((target.attempt, calls.pools()[0].ejected_backends(now)), (0, 0), "stream {n}");
    }
}

#[test]
fn invalid_files_are_rejected_with_the_name_of_the_field() {
    let check = |text: &str| {
        let file = std::env::temp_dir().join(format!("edge-proxy-grpc-invalid-{}.json", std::process::id()));
        std::fs::write(&file, text).unwrap();
        GrpcConfig::read(&file).map(|_| ()).map_err(|e| e.to_string())
    };
    let file = |pool: &str, route: &str, extra_fields: &str| {
        format!(
            r#"{{"listen":"127.0.0.1:5443"{extra_fields},"pools":[{{"name":"p",{pool}}}],"routes":[{{"pool":"p",{route}}}]}}"#
        )
    };
    let (pool, route) = (r#""backends":[{"address":"127.0.0.1:2"}]"#, r#""method":"/a.B/C""#);
    assert_eq!(check(&file(pool, route, "")), Ok(()));
    for (text, expected) in [
        (file(r#""backends":[]"#, route, ""), "exactly one of `backends` and `roster`"),
        (
            file(r#""backends":[{"address":"127.0.0.1:2"},{"address":"127.0.0.1:2"}]"#, route, ""),
            "127.0.0.1:2 is listed more than once",
        ),
        (file(r#""backends":[{"address":"127.0.0.1:2","weight":0}]"#, route, ""), "weight"),
        (file(r#""backends":[{"address":"example:2"}]"#, route, ""), "pools"),
        (file(pool, r#""method":"a.B/C""#, ""), "`/Service/Method`"),
        (file(pool, r#""method":"/a.B/C","kind":"unary""#, ""), "deadline_ms"),
        (file(pool, r#""method":"/a.B/C","repeat":"keyed""#, ""), "`key`"),
        (file(pool, r#""method":"/a.B/C","retry":["BUSY"]"#, ""), "`retry`"),
        (file(pool, r#""method":"/a.B/C","retry":["OK"]"#, ""), "`retry`"),
        (file(pool, r#""method":"/a.B/C","affinity":"cookie""#, ""), "`affinity`"),
        (file(pool, r#""method":"/a.B/C","aim_ms":0"#, ""), "`aim_ms`"),
        (file(pool, r#""method":"/a.B/C","shape":"unary""#, ""), "shape"),
        (file(pool, route, r#","limits":{"header_bytes":10}"#), "header_bytes"),
        (file(pool, route, r#","door":{"limit":{"first":1,"least":2,"most":3}}"#), "door"),
        (file(pool, route, r#","tenant_header":"a b""#), "tenant_header"),
    ] {
        let reason = check(&text).expect_err(&text);
        assert!(reason.contains(expected), "{reason:?} does not contain {expected:?}");
    }
}
