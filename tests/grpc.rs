//! The gRPC front on loopback, against scripted backends that return every status, truncate, reset and stall,
//! and clients that cancel calls and violate the protocol.

mod stand_ins;

use edge_proxy::clock::Clock;
use edge_proxy::engine::executor::Executor;
use edge_proxy::grpc::call_table::{CallTable, CallTableLimits};
use edge_proxy::grpc::config::GrpcConfig;
use edge_proxy::grpc::front::GrpcFront;
use edge_proxy::grpc::server::{abort_calls_at_shutdown, accept, run_housekeeping};
use edge_proxy::lifecycle::config::Config;
use edge_proxy::lifecycle::engine_setup::engine;
use edge_proxy::wire::cache_connection::CacheDriver;
use edge_proxy::wire::closable_listener::ClosableListener;
use edge_proxy::wire::shutdown::GracefulShutdown;
use stand_ins::grpc::{frame, message, raw_call, receive_response, GrpcClient, ScriptedBackend, PREFACE};
use stand_ins::supervisor::PlatformStop;
use stand_ins::{run, test_dir, unused_tcp_addresses, START_MS};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

const ROUTES: &str = r#"[
    {"method":"/t.Safe/*","pool":"p","kind":"unary","repeat":"safe","deadline_ms":2000,"aim_ms":200},
    {"method":"/t.Once/*","pool":"p","kind":"unary","deadline_ms":2000,"aim_ms":200},
    {"method":"/t.Key/*","pool":"p","kind":"unary","repeat":"keyed","key":"x-key","key_window_ms":5000,"deadline_ms":2000},
    {"method":"/t.Brief/*","pool":"p","kind":"unary","repeat":"keyed","key":"x-key","key_window_ms":500,"deadline_ms":4000,"aim_ms":1500},
    {"method":"/t.Patient/*","pool":"p","kind":"unary","repeat":"safe","deadline_ms":4000,"aim_ms":1500},
    {"method":"/t.Sticky/*","pool":"p","kind":"unary","repeat":"safe","deadline_ms":2000,"affinity":"header:x-user"},
    {"method":"/t.Stream/*","pool":"p","repeat":"safe"},
    {"method":"/t.Short/*","pool":"p","kind":"unary","repeat":"safe","deadline_ms":300,"aim_ms":100}
]"#;

struct TestProxy {
    front: Rc<GrpcFront>,
    address: SocketAddr,
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
    backends: Vec<ScriptedBackend>,
    dir: std::path::PathBuf,
}

fn write_config(dir: &Path, listen: SocketAddr, backends: &[(SocketAddr, bool)], limits: &str) -> GrpcConfig {
    let backends: Vec<String> = backends
        .iter()
        .map(|(address, draining)| format!(r#"{{"address":"{address}","draining":{draining}}}"#))
        .collect();
    let text = format!(
        r#"{{"listen":"{listen}","limits":{limits},"pools":[{{"name":"p","backends":[{}]}}],"routes":{ROUTES}}}"#,
        backends.join(",")
    );
    std::fs::write(dir.join("grpc.json"), text).unwrap();
    GrpcConfig::read(&dir.join("grpc.json")).unwrap()
}

fn executor(clock: Clock) -> Rc<Executor> {
    let config =
        Config::read(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json"))).unwrap();
    let (engine, _) = engine(&config, &clock, 0).unwrap();
    Executor::new(clock, engine, CacheDriver)
}

impl TestProxy {
    async fn start(name: &str, backend_count: usize, limits: &str) -> Self {
        let mut backends = Vec::new();
        for _ in 0..backend_count {
            backends.push(ScriptedBackend::start("127.0.90.1:0").await);
        }
        Self::start_with(Clock::system(), name, backends, limits).await
    }

    /// Starts three backends for a test with reproducible routing, which depends on the backends' addresses
    /// and on the clock: outlier detection and the retry budget change with time.
    async fn start_reproducible(clock: &Clock, name: &str, network: u8) -> Self {
        let mut backends = Vec::new();
        for host_number in 1..=3 {
            backends.push(ScriptedBackend::start(&format!("127.0.{network}.{host_number}:9090")).await);
        }
        Self::start_with(clock.clone(), name, backends, "{}").await
    }

    async fn start_with(clock: Clock, name: &str, backends: Vec<ScriptedBackend>, limits: &str) -> Self {
        let listener = TcpListener::bind("127.0.90.9:0").await.unwrap();
        let (address, dir) = (listener.local_addr().unwrap(), test_dir(name));
        let mut addresses: Vec<_> = backends.iter().map(|b| (b.address, false)).collect();
        if backends.is_empty() {
            addresses.push(("127.0.90.1:1".parse().unwrap(), false));
        }
        let config = write_config(&dir, address, &addresses, limits);
        let front = GrpcFront::new(executor(clock), config, 5).unwrap();
        let (stop, closing) = (Rc::new(GracefulShutdown::default()), Rc::new(Notify::new()));
        let listener = ClosableListener::new(listener, closing.clone());
        spawn_local(accept(front.clone(), listener, stop.clone()));
        spawn_local(run_housekeeping(front.clone()));
        spawn_local(abort_calls_at_shutdown(front.clone(), stop.clone()));
        Self { front, address, stop, closing, backends, dir }
    }

    fn received_calls(&self) -> usize {
        self.backends.iter().map(ScriptedBackend::call_count).sum()
    }

    /// The value of a metric, by its name and labels; 0 if it is missing.
    fn metric(&self, series: &str) -> u64 {
        let text = self.front.metrics();
        text.lines().find_map(|l| l.strip_prefix(series)?.trim().parse().ok()).unwrap_or(0)
    }

    fn calls_with_outcome(&self, name: &str) -> u64 {
        self.metric(&format!("grpc_calls_total{{pool=\"p\",outcome=\"{name}\"}}"))
    }
}

/// Polls a condition until it holds; panics after two seconds.
async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(2);
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for the condition: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a call that loses its status because a reload removed its method while it was open.
#[test]
fn an_open_call_whose_method_is_removed_is_retried_as_its_route_says() {
    run(async {
        let proxy = TestProxy::start("grpc_removed_method", 2, "{}").await;
        let client = GrpcClient::connect(proxy.address).await;
        // The first attempt fails once the route is gone, the second is served.
        proxy.backends.iter().for_each(|backend| backend.set_script("read sleep:200 status:14", 1));
        let method = "/t.Patient/Get";
        let call = spawn_local({
            let client = client.clone();
            async move { client.call(method, &[], message(1)).await }
        });
        wait_until("the call has arrived", || proxy.received_calls() == 1).await;
        let called = usize::from(proxy.backends[0].call_count() == 0);
        proxy.backends[1 - called].set_script("", 0);
        let routes: Vec<serde_json::Value> = serde_json::from_str(ROUTES).unwrap();
        let without_method = serde_json::to_string(&routes[..1]).unwrap();
        let backends: Vec<_> = proxy.backends.iter().map(|backend| (backend.address, false)).collect();
        write_config(&proxy.dir, proxy.address, &backends, "{}");
        let text = std::fs::read_to_string(proxy.dir.join("grpc.json")).unwrap();
        let text = text.replace(ROUTES, &without_method);
        std::fs::write(proxy.dir.join("grpc.json"), text).unwrap();
        proxy.front.reconfigure(GrpcConfig::read(&proxy.dir.join("grpc.json")).unwrap()).unwrap();
        assert_eq!(client.call(method, &[], message(1)).await.status(), 12, "the method is gone");
        let response = call.await.unwrap();
        assert_eq!(response.status(), 0, "{response:?}");
        assert_eq!(proxy.received_calls(), 2);
    });
}

/// Guards against a call that is reset without a status because its handling panicked.
#[test]
fn a_panic_in_the_handling_of_a_call_ends_it_with_the_status_internal() {
    run(async {
        let proxy = TestProxy::start("grpc_panic", 1, "{}").await;
        let client = GrpcClient::connect(proxy.address).await;
        // A table without the pools to which the routes point.
        let limits = CallTableLimits { open_calls: 8, replay_bytes: 0 };
        let intact =
            proxy.front.with_calls(|calls| std::mem::replace(calls, CallTable::new(Vec::new(), limits, 1)));
        assert_eq!(client.call("/t.Safe/Get", &[], message(1)).await.status(), 13);
        assert_eq!(proxy.front.executor.with(|engine| engine.counters.panics), 1);
        proxy.front.with_calls(|calls| *calls = intact);
        assert_eq!(client.call("/t.Safe/Get", &[], message(1)).await.status(), 0);
    });
}

#[test]
fn unary_and_streaming_calls_keep_messages_metadata_and_trailers() {
    run(async {
        let proxy = TestProxy::start("grpc-forwarding", 2, "{}").await;
        let client = GrpcClient::connect(proxy.address).await;
        let headers = [("x-user", "u1"), ("x-bin", "AAEC"), ("grpc-timeout", "1500m")];
        let got = client.call("/t.Safe/Get", &headers, message(10)).await;
        assert_eq!((got.http_status, got.status(), &got.body), (200, 0, &message(8)), "{got:?}");
        assert_eq!(
            (got.header("x-trail-bin"), got.header("grpc-message")),
            (Some("AAEC"), Some("from%20the%20backend"))
        );
        assert_eq!(got.headers.get("x-backend").unwrap(), "yes");
        let received = proxy.backends.iter().find_map(|b| b.calls.borrow().first().cloned()).unwrap();
        assert_eq!(
            (received.path.as_str(), &received.body, received.complete),
            ("/t.Safe/Get", &message(10), true)
        );
        assert_eq!((received.header("x-bin"), received.header("te")), (Some("AAEC"), Some("trailers")));
        assert_eq!(received.header("content-type"), Some("application/grpc+proto"));
        let timeout_ms = edge_proxy::grpc::timeout::parse(received.header("grpc-timeout").unwrap()).unwrap();
        assert!(
            timeout_ms <= 1_460.0 && timeout_ms > 100.0,
            "client timeout less the return margin: {timeout_ms}"
        );

        // Server streaming, with more data than all flow-control windows; then bidirectional streaming.
        let got = client
            .call("/t.Stream/Watch", &[("x-script", "read head flood:3000 status:0")], message(1))
            .await;
        assert_eq!((got.status(), got.body.len()), (0, 3_000 * 1_005));
        let big: Vec<u8> = (0..1_500).flat_map(|_| message(1_000)).collect();
        let (response, mut stream) = client.begin("/t.Stream/Put", &[("x-script", "echo")]).await.unwrap();
        let sent = big.clone();
        spawn_local(async move {
            for part in sent.chunks(10_000) {
                stream.reserve_capacity(part.len());
                while stream.capacity() < part.len() {
                    if std::future::poll_fn(|cx| stream.poll_capacity(cx)).await.is_none() {
                        return;
                    }
                }
                stream.send_data(part.to_vec().into(), false).unwrap();
            }
            stream.send_data(Default::default(), true).unwrap();
        });
        let got = receive_response(response).await;
        assert_eq!(
            (got.status(), got.body.len(), got.body == big),
            (0, big.len(), true),
            "bidirectional streaming"
        );
        assert_eq!(proxy.calls_with_outcome("served"), 3);
        assert_eq!(proxy.metric("grpc_replay_bytes"), 0, "ended calls release their retry buffers");
    });
}

/// Guards against altered statuses, wrong outcome counts and retries that are not allowed, for each status as
/// a "Trailers-Only" response and after data.
#[test]
fn every_backend_status_is_forwarded_and_counted_by_outcome() {
    run(async {
        let proxy = TestProxy::start("grpc-status", 1, "{}").await;
        let client = GrpcClient::connect(proxy.address).await;
        for code in 0..=17 {
            let before = (
                proxy.received_calls(),
                proxy.calls_with_outcome("served"),
                proxy.calls_with_outcome("refused"),
                proxy.calls_with_outcome("failed"),
            );
            let script = format!("read status:{code}");
            let got = client.call("/t.Once/Do", &[("x-script", &script)], message(3)).await;
            assert_eq!(
                (got.status(), got.header("x-trail-bin")),
                (code, Some("AAEC")),
                "trailers-only: {got:?}"
            );
            let script = format!("read head msg:9 status:{code}");
            let got = client.call("/t.Safe/Do", &[("x-script", &script)], message(3)).await;
            assert_eq!((got.status(), got.header("x-trail-bin"), got.body.len()), (code, Some("AAEC"), 14));
            let after = (
                proxy.received_calls(),
                proxy.calls_with_outcome("served"),
                proxy.calls_with_outcome("refused"),
                proxy.calls_with_outcome("failed"),
            );
            let ok = u64::from(code == 0) * 2;
            assert_eq!(after, (before.0 + 2, before.1 + ok, before.2, before.3 + 2 - ok), "status {code}");
        }
        assert_eq!(proxy.metric("grpc_failed_after_data_total{pool=\"p\"}"), 17);
        // A "Trailers-Only" UNAVAILABLE to an idempotent method: retried, then forwarded and counted as
        // rejected.
        let got = client.call("/t.Safe/Do", &[("x-script", "read status:14")], message(3)).await;
        assert_eq!((got.status(), proxy.calls_with_outcome("refused")), (14, 1));
        assert!(got.header("grpc-retry-pushback-ms").is_some(), "a rejection has a retry pushback: {got:?}");
        // A retry pushback from the backend is forwarded, and the proxy does not retry.
        let before = proxy.received_calls();
        let got = client.call("/t.Safe/Do", &[("x-script", "read pushback:700 status:14")], message(3)).await;
        assert_eq!((got.header("grpc-retry-pushback-ms"), proxy.received_calls() - before), (Some("700"), 1));
    });
}

#[test]
fn failed_attempts_are_retried_unless_a_non_idempotent_call_may_have_run() {
    run(async {
        let clock = Clock::manual(START_MS);
        let proxy = TestProxy::start_reproducible(&clock, "grpc-retry", 92).await;
        let client = GrpcClient::connect(proxy.address).await;
        for (what, script) in [
            ("unavailable", "status:14"),
            ("reset", "rst:2"),
            ("cut without a status", "read end"),
            ("not gRPC", "read http:503"),
            ("killed", "read kill"),
        ] {
            proxy.backends.iter().for_each(|b| b.set_script(script, 0));
            let mut retries = 0;
            for k in 0..12 {
                clock.advance(50.0);
                proxy.backends[k % 3].set_script(script, 1);
                let before = proxy.received_calls();
                let got = client.call("/t.Safe/Get", &[], message(700)).await;
                // A call is committed once its response has begun, so a truncated response is not retried.
                let committed = script.ends_with("end");
                assert!(got.status() == 0 || (committed && got.status() == 13), "{what}: {got:?}");
                retries += proxy.received_calls() - before - 1;
                proxy.backends[k % 3].set_script(script, 0);
            }
            assert!(retries > 0 || script.ends_with("end"), "{what}: no call was retried");
        }
        let received: Vec<_> = proxy.backends.iter().flat_map(|b| b.calls.borrow().clone()).collect();
        let retried: Vec<_> =
            received.iter().filter(|call| call.header("grpc-previous-rpc-attempts").is_some()).collect();
        assert!(
            !retried.is_empty() && retried.iter().all(|call| call.body == message(700)),
            "retries repeat the whole request"
        );

        // Non-idempotent methods are not retried after an ambiguous end, only after REFUSED_STREAM.
        for (script, status) in
            [("read rst:2", 13), ("read http:503", 14), ("read kill", 14), ("status:14", 14)]
        {
            clock.advance(50.0);
            proxy.backends.iter().for_each(|b| b.set_script(script, u32::MAX));
            let before = proxy.received_calls();
            let got = client.call("/t.Once/Do", &[], message(5)).await;
            assert_eq!((got.status(), proxy.received_calls() - before), (status, 1), "{script}: {got:?}");
            let pushback = got.header("grpc-retry-pushback-ms");
            assert!(
                pushback == Some("-1") || script.starts_with("status"),
                "{script}: the client is told not to retry: {got:?}"
            );
        }
        proxy.backends.iter().for_each(|b| b.set_script("rst:7", 0));
        let mut refused = 0;
        for k in 0..9 {
            clock.advance(50.0);
            proxy.backends[k % 3].set_script("rst:7", 1);
            let before = proxy.received_calls();
            let got = client.call("/t.Once/Do", &[], message(5)).await;
            assert_eq!(got.status(), 0, "a refused stream is retried: {got:?}");
            refused += proxy.received_calls() - before - 1;
            proxy.backends[k % 3].set_script("rst:7", 0);
        }
        assert!(refused > 0, "no stream was refused");
    });
}

#[test]
fn deadlines_are_never_extended_and_late_attempts_are_reset() {
    run(async {
        let proxy = TestProxy::start("grpc-deadline", 3, "{}").await;
        let client = GrpcClient::connect(proxy.address).await;
        proxy.backends.iter().for_each(|b| b.set_script("read hang", u32::MAX));
        // The client's timeout, the route's shorter deadline, and a non-idempotent method.
        for (path, timeout, max_ms) in
            [("/t.Safe/Get", "400m", 400.0), ("/t.Short/Get", "5S", 300.0), ("/t.Once/Do", "200m", 200.0)]
        {
            let got = client.call(path, &[("grpc-timeout", timeout)], message(5)).await;
            // Idempotent calls are rejected if there is no time for a retry; non-idempotent calls fail.
            let expected = if path == "/t.Once/Do" { 4 } else { 14 };
            assert!(got.status() == expected || got.status() == 4, "{path}: {got:?}");
            assert!(
                got.elapsed_ms <= max_ms + 150.0,
                "{path}: took {} ms, expected at most {max_ms} ms plus 150 ms",
                got.elapsed_ms
            );
        }
        assert_eq!(proxy.metric("grpc_deadlines_shortened_total{pool=\"p\"}"), 1);
        let calls: Vec<_> = proxy.backends.iter().flat_map(|b| b.calls.borrow().clone()).collect();
        assert!(calls.len() > 2, "no call was retried within its deadline");
        for call in &calls {
            let timeout_ms = edge_proxy::grpc::timeout::parse(call.header("grpc-timeout").unwrap()).unwrap();
            assert!(timeout_ms <= 360.0, "an attempt got a timeout of {timeout_ms} ms");
        }
        proxy.backends.iter().for_each(|b| b.set_script("read head msg:4 hang", u32::MAX));
        let got = client.call("/t.Stream/Watch", &[("grpc-timeout", "250m")], message(5)).await;
        assert_eq!(
            (got.status(), got.body.len()),
            (4, 9),
            "the message sent before the deadline was not forwarded: {got:?}"
        );
        let all_reset = || proxy.backends.iter().all(|b| b.calls.borrow().iter().all(|call| call.reset));
        wait_until("every attempt is reset", all_reset).await;
    });
}

#[test]
fn a_cancelled_call_resets_its_attempt_and_counts_as_disconnected() {
    run(async {
        let proxy = TestProxy::start("grpc-cancel", 1, "{}").await;
        let client = GrpcClient::connect(proxy.address).await;
        for script in ["read head msg:4 hang", "hang"] {
            let (response, mut stream) =
                client.begin("/t.Stream/Watch", &[("x-script", script)]).await.unwrap();
            stream.send_data(message(2).into(), false).unwrap();
            let earlier_calls = proxy.received_calls();
            wait_until("the call reaches the backend", || {
                proxy.received_calls() > earlier_calls || earlier_calls > 0
            })
            .await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            stream.send_reset(h2::Reason::CANCEL);
            drop(response);
            wait_until("the backend sees the reset", || {
                proxy.backends[0].calls.borrow().iter().all(|call| call.reset)
            })
            .await;
        }
        wait_until("both calls count as disconnected", || proxy.calls_with_outcome("left") == 2).await;
        // A client connection that closes cancels its calls.
        let closing_client = GrpcClient::connect(proxy.address).await;
        let pending = spawn_local(async move {
            closing_client.call("/t.Stream/Watch", &[("x-script", "read hang")], message(1)).await
        });
        wait_until("the call reaches the backend", || proxy.received_calls() == 3).await;
        pending.abort();
        wait_until("the attempt is reset", || proxy.backends[0].calls.borrow()[2].reset).await;
        assert_eq!(proxy.front.with_calls(|calls| calls.open_calls()), 0);
        assert_eq!(proxy.calls_with_outcome("failed") + proxy.calls_with_outcome("served"), 0);
    });
}

#[test]
fn invalid_responses_requests_and_connections_are_rejected_with_the_specified_status() {
    run(async {
        let proxy =
            TestProxy::start("grpc-protocol-errors", 1, r#"{"message_bytes":2048,"header_bytes":4096}"#)
                .await;
        let client = GrpcClient::connect(proxy.address).await;
        for (script, status) in [
            ("read head msg:9 partial:40 status:0", 13),
            ("read head msg:9 partial:40 rst:2", 13),
            ("read head msg:9 rst:8", 1),
            ("read head msg:9 end", 13),
            ("read head garbage:9 status:0", 13),
            ("read head msg:3000 status:0", 13),
            ("read head msg:9 kill", 14),
            ("read http:404", 12),
        ] {
            let got = client.call("/t.Once/Do", &[("x-script", script)], message(3)).await;
            assert_eq!(got.status(), status, "{script}: {got:?}");
        }
        assert_eq!(proxy.calls_with_outcome("served"), 0);
        // Requests that are truncated within a message, exceed the size limit or have an invalid prefix.
        for (body, status) in [(message(40)[..20].to_vec(), 13), (message(3_000), 8), (vec![7; 9], 13)] {
            let got = client.call("/t.Once/Do", &[], body).await;
            assert_eq!(got.status(), status, "{got:?}");
        }
        wait_until("no backend sees an invalid request as complete", || {
            proxy.backends[0].calls.borrow().iter().skip(8).all(|call| !call.complete)
        })
        .await;
        // Invalid request headers: each gets its status, and the connection stays open.
        for (path, headers, status) in [
            ("/t.None/Do", vec![], 12),
            ("/t.Safe", vec![], 12),
            ("/t.Safe/Get", vec![("grpc-timeout", "soon")], 13),
            ("/t.Safe/Get", vec![("grpc-timeout", "1S"), ("grpc-timeout", "9S")], 13),
            ("/t.Key/Put", vec![], 3),
        ] {
            let before = proxy.received_calls();
            let got = client.call(path, &headers, message(1)).await;
            assert_eq!(
                (got.status(), proxy.received_calls()),
                (status, before),
                "{path} {headers:?}: {got:?}"
            );
        }
        assert_eq!(client.call("/t.Key/Put", &[("x-key", "k1")], message(1)).await.status(), 0);
        let long = "x".repeat(9_000);
        let got = client.call("/t.Safe/Get", &[("x-long", &long)], message(1)).await;
        assert!(got.http_status == 431 || got.error.is_some(), "{got:?}");
        let got = client.call("/t.Safe/Get", &[], message(1)).await;
        assert_eq!(got.status(), 0, "the connection stays open after oversized headers: {got:?}");
        // Protocol errors end their own connection with GOAWAY and no other.
        let mut raw = TcpStream::connect(proxy.address).await.unwrap();
        raw.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").await.unwrap();
        // DATA on stream 0.
        raw.write_all(b"\0\0\x01\0\0\0\0\0\0x").await.unwrap();
        let mut answer = Vec::new();
        tokio::time::timeout(Duration::from_secs(2), raw.read_to_end(&mut answer)).await.unwrap().unwrap();
        assert!(answer.windows(5).any(|w| w[0] == 0 && w[3] == 7), "no GOAWAY in {answer:?}");
        assert_eq!(client.call("/t.Safe/Get", &[], message(1)).await.status(), 0);
        let mut raw = TcpStream::connect(proxy.address).await.unwrap();
        raw.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        let read = tokio::time::timeout(Duration::from_secs(2), raw.read_to_end(&mut Vec::new())).await;
        assert!(read.is_ok(), "a connection with another protocol is not closed");
    });
}

#[test]
fn a_draining_backend_gets_no_new_calls_and_completes_open_ones() {
    run(async {
        let proxy = TestProxy::start("grpc-drain", 2, "{}").await;
        let client = GrpcClient::connect(proxy.address).await;
        let first = proxy.backends[0].address;
        // Open streams on both backends, kept open during the drain.
        let mut streams = Vec::new();
        while proxy.backends.iter().any(|b| b.call_count() == 0) {
            streams.push(client.begin("/t.Stream/Chat", &[("x-script", "echo")]).await.unwrap());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let set_draining = |draining| {
            let backends: Vec<_> =
                proxy.backends.iter().map(|b| (b.address, draining && b.address == first)).collect();
            proxy.front.reconfigure(write_config(&proxy.dir, proxy.address, &backends, "{}")).unwrap();
        };
        set_draining(true);
        let before = proxy.backends[0].call_count();
        for _ in 0..40 {
            assert_eq!(client.call("/t.Safe/Get", &[], message(2)).await.status(), 0);
        }
        assert_eq!(proxy.backends[0].call_count(), before, "a draining backend got a new call");
        for (response, mut stream) in streams {
            stream.send_data(message(6).into(), true).unwrap();
            let got = receive_response(response).await;
            assert_eq!((got.status(), got.body), (0, message(6)), "open streams are completed");
        }
        wait_until("connections to the draining backend close", || proxy.front.upstream.len() == 1).await;
        // An invalid file is rejected; afterwards the backend is enabled again.
        std::fs::write(proxy.dir.join("grpc.json"), "{\"listen\":").unwrap();
        assert!(GrpcConfig::read(&proxy.dir.join("grpc.json")).is_err());
        set_draining(false);
        for _ in 0..40 {
            assert_eq!(client.call("/t.Safe/Get", &[], message(2)).await.status(), 0);
        }
        assert!(proxy.backends[0].call_count() > before, "the backend gets calls again");
        // After a GOAWAY, open calls are completed and new calls use a new connection.
        let connections = proxy.backends[0].connections.get() + proxy.backends[1].connections.get();
        let slow = spawn_local({
            let client = client.clone();
            async move {
                client
                    .call("/t.Once/Do", &[("x-script", "read sleep:150 head msg:1 status:0")], message(2))
                    .await
            }
        });
        tokio::time::sleep(Duration::from_millis(40)).await;
        proxy.backends.iter().for_each(ScriptedBackend::go_away);
        for _ in 0..20 {
            assert_eq!(
                client.call("/t.Once/Do", &[], message(2)).await.status(),
                0,
                "a call failed because of a GOAWAY"
            );
        }
        assert_eq!(slow.await.unwrap().status(), 0);
        assert!(proxy.backends[0].connections.get() + proxy.backends[1].connections.get() > connections);
    });
}

/// Two backends, A and B. B allows one stream at a time.
struct BusyBackend {
    proxy: TestProxy,
    client: GrpcClient,
}

impl BusyBackend {
    async fn start(name: &str) -> Self {
        let proxy = TestProxy::start(name, 2, Self::LIMITS).await;
        proxy.backends[1].max_streams.set(1);
        let client = GrpcClient::connect(proxy.address).await;
        Self { proxy, client }
    }

    const LIMITS: &str = r#"{"connections_per_backend":1}"#;

    /// Sets which of the backends drain.
    fn set_draining(&self, draining: [bool; 2]) {
        let backends: Vec<_> =
            self.proxy.backends.iter().map(|backend| backend.address).zip(draining).collect();
        let config = write_config(&self.proxy.dir, self.proxy.address, &backends, Self::LIMITS);
        self.proxy.front.reconfigure(config).unwrap();
    }

    /// Starts a call that occupies B until it is aborted; A drains meanwhile.
    async fn occupy_b(&self) -> JoinHandle<()> {
        self.set_draining([true, false]);
        let client = self.client.clone();
        let call =
            async move { drop(client.call("/t.Stream/Hang", &[("x-script", "hang")], message(1)).await) };
        let call = spawn_local(call);
        wait_until("the call occupies B", || self.calls_at_b() == 1).await;
        call
    }

    /// Waits until this number of attempts was started.
    async fn wait_for_attempts(&self, count: u64) {
        let attempts = || self.proxy.metric("grpc_attempts_total{pool=\"p\"}");
        wait_until("an attempt was started", || attempts() == count).await;
    }

    fn calls_at_a(&self) -> usize {
        self.proxy.backends[0].call_count()
    }

    fn calls_at_b(&self) -> usize {
        self.proxy.backends[1].call_count()
    }
}

/// Guards against repeating a keyed call after its key's window, because the call waited for a stream meanwhile.
#[test]
fn a_keyed_call_that_waits_for_a_stream_is_not_repeated_after_its_key_window() {
    run(async {
        let busy = BusyBackend::start("grpc-key-window").await;
        busy.set_draining([false, true]);
        let client = busy.client.clone();
        let headers = [("x-key", "k1"), ("x-script", "read hang")];
        let call = spawn_local(async move { client.call("/t.Brief/Post", &headers, message(1)).await });
        wait_until("the call runs at A", || busy.calls_at_a() == 1).await;
        let first_sent = Instant::now();
        let occupying_call = busy.occupy_b().await;
        busy.proxy.backends[0].kill();
        busy.wait_for_attempts(3).await;
        tokio::time::sleep_until((first_sent + Duration::from_millis(550)).into()).await;
        occupying_call.abort();
        wait_until("B is free", || busy.proxy.backends[1].calls.borrow()[0].reset).await;
        let response = call.await.unwrap();
        assert_eq!((busy.calls_at_a(), busy.calls_at_b()), (1, 1), "{response:?}");
        assert!(response.elapsed_ms >= 500.0, "the call did not wait: {response:?}");
        assert_eq!((response.status(), response.header("grpc-retry-pushback-ms")), (14, Some("-1")));
    });
}

/// Guards against sending a call to a backend that began to drain while the call waited for a stream.
#[test]
fn a_call_that_waits_for_a_stream_goes_elsewhere_when_its_backend_drains() {
    run(async {
        let busy = BusyBackend::start("grpc-drain-wait").await;
        let _occupying_call = busy.occupy_b().await;
        let client = busy.client.clone();
        let call = spawn_local(async move { client.call("/t.Patient/Get", &[], message(1)).await });
        busy.wait_for_attempts(2).await;
        busy.set_draining([false, true]);
        let response = call.await.unwrap();
        assert_eq!((response.status(), busy.calls_at_a(), busy.calls_at_b()), (0, 1, 1), "{response:?}");
        assert!(response.elapsed_ms < 1_500.0, "{response:?}");
    });
}

#[test]
fn calls_follow_affinity_failing_backends_are_ejected_and_draining_pools_reject() {
    run(async {
        let clock = Clock::manual(START_MS);
        let proxy = TestProxy::start_reproducible(&clock, "grpc-health", 91).await;
        let client = GrpcClient::connect(proxy.address).await;
        let calls_per_backend =
            |proxy: &TestProxy| proxy.backends.iter().map(ScriptedBackend::call_count).collect::<Vec<_>>();
        for _ in 0..10 {
            assert_eq!(client.call("/t.Sticky/Get", &[("x-user", "u7")], message(2)).await.status(), 0);
        }
        assert_eq!(
            calls_per_backend(&proxy).iter().filter(|n| **n > 0).count(),
            1,
            "calls of one user go to one backend"
        );
        for _ in 0..60 {
            assert_eq!(client.call("/t.Safe/Get", &[], message(2)).await.status(), 0);
        }
        assert!(
            calls_per_backend(&proxy).iter().all(|n| *n >= 8),
            "calls without affinity are spread: {:?}",
            calls_per_backend(&proxy)
        );
        // A backend that fails all calls is ejected.
        proxy.backends[1].set_script("status:13", u32::MAX);
        for _ in 0..60 {
            clock.advance(5.0);
            client.call("/t.Safe/Get", &[], message(2)).await;
        }
        let (before, mut failed) = (proxy.backends[1].call_count(), 0);
        for _ in 0..60 {
            clock.advance(5.0);
            failed += u32::from(client.call("/t.Safe/Get", &[], message(2)).await.status() != 0);
        }
        let failing_calls = proxy.backends[1].call_count() - before;
        assert!(
            failing_calls <= 8 && failed <= 8,
            "{failing_calls} of 60 calls went to the failing backend, {failed} failed"
        );
        // If all backends drain, calls are rejected at once with a retry pushback.
        let backends: Vec<_> = proxy.backends.iter().map(|b| (b.address, true)).collect();
        proxy.front.reconfigure(write_config(&proxy.dir, proxy.address, &backends, "{}")).unwrap();
        let got = client.call("/t.Once/Do", &[], message(2)).await;
        assert_eq!(got.status(), 14);
        assert!(
            got.elapsed_ms < 100.0 && got.header("grpc-retry-pushback-ms").is_some_and(|ms| ms != "-1"),
            "{got:?}"
        );
    });
}

#[test]
fn excess_calls_are_rejected_and_shutdown_ends_every_call_with_a_status() {
    run(async {
        let proxy =
            TestProxy::start("grpc-stop", 1, r#"{"calls":4,"clients":2,"stop_ms":300,"replay_bytes":1000}"#)
                .await;
        let client = GrpcClient::connect(proxy.address).await;
        let mut open = Vec::new();
        for _ in 0..4 {
            let (response, mut stream) =
                client.begin("/t.Stream/Chat", &[("x-script", "echo")]).await.unwrap();
            stream.send_data(message(900).into(), false).unwrap();
            open.push((response, stream));
        }
        wait_until("four calls are open", || proxy.front.with_calls(|calls| calls.open_calls()) == 4).await;
        let got = client.call("/t.Safe/Get", &[], message(1)).await;
        assert_eq!(
            (got.status(), got.header("grpc-retry-pushback-ms")),
            (14, Some("300")),
            "the fifth call is rejected"
        );
        // At the connection limit, an idle connection closes to make room for a new one.
        let _idle = GrpcClient::connect(proxy.address).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        let third = GrpcClient::connect(proxy.address).await;
        let got =
            tokio::time::timeout(Duration::from_secs(2), third.call("/t.Safe/Get", &[], message(1))).await;
        assert_eq!(
            got.expect("the new connection is accepted").status(),
            14,
            "the connection is accepted, and its call rejected"
        );
        // At shutdown one call completes; the others are aborted after the grace period.
        proxy.closing.notify_one();
        proxy.stop.begin();
        let (response, mut stream) = open.remove(0);
        stream.send_data(Default::default(), true).unwrap();
        assert_eq!(receive_response(response).await.status(), 0);
        for (response, _stream) in open {
            let got = receive_response(response).await;
            assert_eq!(
                (got.status(), got.body.len()),
                (14, 905),
                "aborted calls get a final status: {got:?}"
            );
        }
        wait_until("all connections close", || proxy.stop.open_connections() == 0).await;
    });
}

/// Guards against calls to a new backend that reach the process of a former one with the same address.
#[test]
fn a_new_backend_at_the_address_of_one_that_has_gone_gets_a_connection_of_its_own() {
    run(async {
        let proxy = TestProxy::start("grpc-replaced", 0, "{}").await;
        let backend = ScriptedBackend::start("127.0.94.1:0").await;
        let text = format!(
            r#"{{"listen":"{}","pools":[{{"name":"p","roster":{{"model":"box","port":{}}}}}],"routes":{ROUTES}}}"#,
            proxy.address,
            backend.address.port()
        );
        std::fs::write(proxy.dir.join("grpc.json"), text).unwrap();
        let list_only = |uid: u32| {
            let text = format!(
                r#"{{"uid":"s-{uid:08x}","endpoint":"127.0.94.1:7001","az":"town","model":"box","state":"Ready"}}"#
            );
            let endpoint = edge_proxy::wire::discovery_json::EndpointJson::parse(text.as_bytes()).unwrap();
            proxy.front.executor.with(|engine| engine.apply_endpoints(true, vec![endpoint]));
        };
        list_only(0xc1);
        proxy.front.reconfigure(GrpcConfig::read(&proxy.dir.join("grpc.json")).unwrap()).unwrap();
        let client = GrpcClient::connect(proxy.address).await;
        assert_eq!(client.call("/t.Safe/Get", &[], message(1)).await.status(), 0);
        let (response, mut open) = client.begin("/t.Stream/Chat", &[("x-script", "echo")]).await.unwrap();
        wait_until("the call is open", || backend.call_count() == 2).await;
        assert_eq!(backend.connections.get(), 1);
        // The former process has gone from the list, and its connection is still open.
        list_only(0xc5);
        assert_eq!(client.call("/t.Safe/Get", &[], message(1)).await.status(), 0);
        assert_eq!(backend.connections.get(), 2, "the call went to the former process");
        open.send_data(message(6).into(), true).unwrap();
        assert_eq!(receive_response(response).await.status(), 0, "its open call is completed");
        wait_until("its connection closes", || proxy.front.upstream.len() == 1).await;
    });
}

/// Guards against new calls to discovered backends that are draining or out of use.
#[test]
fn a_discovered_pool_stops_using_draining_and_disabled_backends() {
    run(async {
        let proxy = TestProxy::start("grpc-discovered", 0, "{}").await;
        // All backends of a discovered pool have the same port.
        let first = ScriptedBackend::start("127.0.91.1:0").await;
        let port = first.address.port();
        let second = ScriptedBackend::start(&format!("127.0.91.2:{port}")).await;
        let text = format!(
            r#"{{"listen":"{}","pools":[{{"name":"p","roster":{{"model":"box","port":{port}}}}}],"routes":{ROUTES}}}"#,
            proxy.address
        );
        std::fs::write(proxy.dir.join("grpc.json"), text).unwrap();
        let executor = proxy.front.executor.clone();
        let endpoint = |uid: u32, state: &str| {
            let ip = if uid == 0xc1 { "127.0.91.1" } else { "127.0.91.2" };
            let text = format!(
                r#"{{"uid":"s-{uid:08x}","endpoint":"{ip}:7001","az":"town","model":"box","state":"{state}"}}"#
            );
            edge_proxy::wire::discovery_json::EndpointJson::parse(text.as_bytes()).unwrap()
        };
        executor.with(|engine| {
            engine.apply_endpoints(true, vec![endpoint(0xc1, "Ready"), endpoint(0xc2, "Ready")])
        });
        proxy.front.reconfigure(GrpcConfig::read(&proxy.dir.join("grpc.json")).unwrap()).unwrap();
        let client = GrpcClient::connect(proxy.address).await;
        let make_calls = |n: usize| {
            let client = client.clone();
            async move {
                for _ in 0..n {
                    assert_eq!(client.call("/t.Safe/Get", &[], message(2)).await.status(), 0);
                }
            }
        };
        make_calls(40).await;
        assert!(
            first.call_count() > 5 && second.call_count() > 5,
            "both backends get calls: {} and {}",
            first.call_count(),
            second.call_count()
        );
        executor.with(|engine| engine.apply_endpoints(false, vec![endpoint(0xc1, "Terminating")]));
        let before = first.call_count();
        make_calls(40).await;
        assert_eq!(first.call_count(), before, "a draining backend got a call");
        executor.with(|engine| engine.apply_endpoints(false, vec![endpoint(0xc1, "Ready")]));
        executor.with(|engine| engine.set_out_of_use(0xc2, true));
        let before = second.call_count();
        make_calls(40).await;
        assert_eq!(second.call_count(), before, "a backend that is out of use got a call");
    });
}

/// Guards against unary calls that exceed the concurrency limit, streams that are queued, rejections without
/// a retry pushback, and attempts for clients that disconnected while queued.
#[test]
fn unary_calls_above_the_limit_are_queued_or_rejected_and_streams_are_not() {
    run(async {
        let proxy = TestProxy::start("grpc-admission", 1, "{}").await;
        let text = std::fs::read_to_string(proxy.dir.join("grpc.json")).unwrap();
        let admission =
            r#"{"door":{"limit":{"first":2,"least":2,"most":2},"per_client_most":3,"reserve_share":0},"#;
        std::fs::write(proxy.dir.join("grpc.json"), text.replacen('{', admission, 1)).unwrap();
        let config = GrpcConfig::read(&proxy.dir.join("grpc.json")).unwrap();
        let listener = TcpListener::bind("127.0.90.9:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let front = GrpcFront::new(executor(Clock::system()), config, 5).unwrap();
        let listener = ClosableListener::new(listener, Rc::new(Notify::new()));
        spawn_local(accept(front.clone(), listener, proxy.stop.clone()));
        let client = GrpcClient::connect(address).await;
        let script = "read sleep:100 head msg:1 status:0";
        let call = |path: &'static str| {
            let client = client.clone();
            spawn_local(async move { client.call(path, &[("x-script", script)], message(2)).await })
        };
        let burst: Vec<_> = (0..8).map(|_| call("/t.Safe/Get")).collect();
        let stream = call("/t.Stream/Watch");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(proxy.backends[0].call_count(), 3, "two unary calls and the stream");
        let before = front.metrics();
        assert!(before.contains("grpc_door_queued 3"), "{before}");
        let (mut served, mut refused) = (0, 0);
        for got in burst {
            let got = got.await.unwrap();
            match got.status() {
                0 => served += 1,
                14 => {
                    refused += 1;
                    assert!(got.elapsed_ms < 95.0, "the rejection took too long: {got:?}");
                    assert!(got.header("grpc-retry-pushback-ms").is_some(), "{got:?}");
                }
                _ => panic!("{got:?}"),
            }
        }
        assert_eq!((served, refused, stream.await.unwrap().status()), (5, 3, 0));
        // A client that cancels its call while the call is queued.
        let burst: Vec<_> = (0..4).map(|_| call("/t.Safe/Get")).collect();
        tokio::time::sleep(Duration::from_millis(30)).await;
        let earlier_calls = proxy.backends[0].call_count();
        let cancelling_client = GrpcClient::connect(address).await;
        let (response, mut queued_stream) =
            cancelling_client.begin("/t.Once/Do", &[("x-cancelled", "1")]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        queued_stream.send_reset(h2::Reason::CANCEL);
        drop(response);
        for got in burst {
            assert!(matches!(got.await.unwrap().status(), 0 | 14));
        }
        let sent = |call: &stand_ins::grpc::ReceivedCall| call.header("x-cancelled").is_some();
        assert!(
            !proxy.backends[0].calls.borrow().iter().skip(earlier_calls).any(sent),
            "a call was sent after its client cancelled it"
        );
        wait_until("all permits are released", || front.metrics().contains("grpc_door_open 0")).await;
        assert!(front.metrics().contains("grpc_door_queued 0"));
    });
}

/// Guards against a process started with `serve --grpc` that lacks metrics or status, ignores SIGHUP or cuts
/// open calls at SIGTERM.
#[test]
fn the_process_serves_calls_reloads_on_sighup_and_drains_on_sigterm() {
    run(async {
        let dir = test_dir("grpc-process");
        let (first, second) =
            (ScriptedBackend::start("127.0.92.1:0").await, ScriptedBackend::start("127.0.92.1:0").await);
        let [listen, mgmt, grpc] = unused_tcp_addresses("127.0.92.9");
        let text =
            std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
        let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
        std::fs::write(dir.join("config.json"), text.replace("\"listen\": \"127.0.0.1:5050\",", &addresses))
            .unwrap();
        write_config(&dir, grpc, &[(first.address, false), (second.address, true)], "{}");
        let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
        let (config, grpc_config) = (dir.join("config.json"), dir.join("grpc.json"));
        let args = ["serve", "--config", config.to_str().unwrap(), "--grpc", grpc_config.to_str().unwrap()];
        let process =
            std::process::Command::new(env!("CARGO_BIN_EXE_edge-proxy")).args(args).stderr(log).spawn();
        let mut process = stand_ins::KillOnDrop(process.unwrap());
        while TcpStream::connect(grpc).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let client = GrpcClient::connect(grpc).await;
        assert_eq!(client.call("/t.Safe/Get", &[], message(2)).await.status(), 0);
        // SIGHUP applies a changed file; an invalid one changes nothing.
        write_config(&dir, grpc, &[(first.address, true), (second.address, false)], "{}");
        process.signal("-HUP");
        let deadline = Instant::now() + Duration::from_secs(5);
        while second.call_count() == 0 {
            assert!(Instant::now() < deadline, "the file was not reloaded");
            assert_eq!(client.call("/t.Safe/Get", &[], message(2)).await.status(), 0);
        }
        std::fs::write(dir.join("grpc.json"), "{").unwrap();
        process.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let before = first.call_count();
        assert_eq!(client.call("/t.Safe/Get", &[], message(2)).await.status(), 0);
        assert_eq!(first.call_count(), before, "the previous configuration stays in force");
        let admin_get = |path: &'static str| async move {
            let answer =
                edge_proxy::http_client::call(mgmt, "GET", path, b"", Duration::from_secs(2)).await.unwrap();
            String::from_utf8_lossy(&answer.body).to_string()
        };
        let metrics = admin_get("/stats").await;
        assert!(metrics.contains("grpc_calls_total{pool=\"p\",outcome=\"served\"}"), "{metrics}");
        let status = admin_get("/grpc").await;
        assert!(
            status.contains(&format!("{{\"address\":\"{}\",\"live\":true}}", second.address)),
            "{status}"
        );
        // At SIGTERM an open call gets its complete response before the process ends.
        let slow = spawn_local({
            let client = client.clone();
            let script = [("x-script", "read sleep:900 head msg:5 status:0")];
            async move { client.call("/t.Once/Do", &script, message(2)).await }
        });
        let earlier_calls = second.call_count();
        while second.call_count() == earlier_calls {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        process.signal("-TERM");
        let got = slow.await.unwrap();
        assert_eq!((got.status(), got.body), (0, message(5)));
        process.exits_successfully().await;
        let log = std::fs::read_to_string(dir.join("proxy.log")).unwrap();
        assert!(log.contains("configuration not reloaded subsystem=\"gRPC\""), "{log}");
    });
}

/// Guards against calls that a stopping process leaves without a status at a SIGKILL that comes early because all
/// deadlines of the platform are short: forwarded calls, open streams, and calls in the queue of admission control.
#[test]
fn calls_get_a_status_before_the_earliest_sigkill() {
    run(async {
        let dir = test_dir("grpc-kill");
        let backend = ScriptedBackend::start("127.0.93.1:0").await;
        let [listen, grpc] = unused_tcp_addresses("127.0.93.9");
        let example = include_str!("../examples/config.json").replace("127.0.0.1:5050", &listen.to_string());
        let text =
            example.replace("Us\": 5000000", "Us\": 1000000").replace("Us\": 3000000", "Us\": 1000000");
        std::fs::write(dir.join("config.json"), text).unwrap();
        write_config(&dir, grpc, &[(backend.address, false)], "{}");
        let config = std::fs::read_to_string(dir.join("grpc.json")).unwrap();
        let config =
            config.replace("{\"listen\"", r#"{"door":{"limit":{"first":1,"least":1,"most":1}},"listen""#);
        std::fs::write(dir.join("grpc.json"), config.replace("\"deadline_ms\":2000", "\"deadline_ms\":9000"))
            .unwrap();
        let process = std::process::Command::new(env!("CARGO_BIN_EXE_edge-proxy"))
            .args(["serve", "--config", dir.join("config.json").to_str().unwrap()])
            .args(["--grpc", dir.join("grpc.json").to_str().unwrap()])
            .spawn();
        let process = stand_ins::KillOnDrop(process.unwrap());
        while TcpStream::connect(grpc).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let client = GrpcClient::connect(grpc).await;
        let (stream_response, _stream) =
            client.begin("/t.Stream/Chat", &[("x-script", "echo")]).await.unwrap();
        let call = || {
            let client = client.clone();
            let script = [("x-script", "read sleep:9000 head msg:5 status:0")];
            spawn_local(async move { client.call("/t.Once/Do", &script, message(2)).await })
        };
        let calls: Vec<_> = (0..3).map(|_| call()).collect();
        wait_until("the first call and the stream reach the backend", || backend.call_count() == 2).await;
        let _stop = PlatformStop::begin(&process.0, Duration::from_secs(1));
        for call in calls {
            assert_eq!(call.await.expect("the call got no status").status(), 14);
        }
        assert_eq!(receive_response(stream_response).await.status(), 14);
    });
}

/// Guards against calls that are forwarded after their client has closed the connection, because much that it sent
/// is still unread. The client writes and closes before the proxy, which runs on the test's thread, accepts.
#[test]
fn a_call_whose_client_closed_with_much_unread_is_not_forwarded() {
    run(async {
        let proxy = TestProxy::start("grpc-closed-unread", 1, "{}").await;
        let accepted = || proxy.front.executor.with(|engine| engine.counters.client_connections);
        let call = [PREFACE.to_vec(), frame(4, 0, 0, &[]), raw_call(1, "/t.Safe/Get", &[])].concat();
        let mut open = std::net::TcpStream::connect(proxy.address).unwrap();
        std::io::Write::write_all(&mut open, &call).unwrap();
        wait_until("a call of a client that stays is forwarded", || proxy.received_calls() == 1).await;
        drop(open);
        for (number, kilobytes) in (2..).zip([0, 16, 256, 1_000, 2_000, 4_000]) {
            let mut stream = std::net::TcpStream::connect(proxy.address).unwrap();
            std::io::Write::write_all(&mut stream, &call).unwrap();
            stream.set_nonblocking(true).unwrap();
            let pings = frame(6, 1, 0, &[0; 8]).repeat(kilobytes * 1_024 / 17);
            // The kernel takes as much as its buffers hold.
            let _ = std::io::Write::write(&mut stream, &pings);
            drop(stream);
            wait_until("the connection is accepted", || accepted() == number).await;
            wait_until("the connection has ended", || proxy.stop.open_connections() == 0).await;
            assert_eq!(proxy.received_calls(), 1, "{kilobytes} KB unread");
        }
    });
}
