//! gRPC pass-through on loopback: stand-in servers that answer with every status, cut, reset and stall, and stand-in
//! callers that cancel and break the rules.

mod stand_ins;

use edge_proxy::clock::Clock;
use edge_proxy::engine::executor::Executor;
use edge_proxy::grpc::config::GrpcConfig;
use edge_proxy::grpc::front::GrpcFront;
use edge_proxy::grpc::server::{abort_calls_at_shutdown, accept, run_housekeeping};
use edge_proxy::lifecycle::config::Config;
use edge_proxy::lifecycle::engine_setup::engine;
use edge_proxy::wire::cache_connection::CacheDriver;
use edge_proxy::wire::shutdown::GracefulShutdown;
use stand_ins::grpc::{finish, msg, Caller, GrpcBox};
use stand_ins::{folder, run, START_MS};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

const ROUTES: &str = r#"[
    {"method":"/t.Safe/*","pool":"p","kind":"unary","repeat":"safe","deadline_ms":2000,"aim_ms":200},
    {"method":"/t.Once/*","pool":"p","kind":"unary","deadline_ms":2000,"aim_ms":200},
    {"method":"/t.Key/*","pool":"p","kind":"unary","repeat":"keyed","key":"x-key","key_window_ms":5000,"deadline_ms":2000},
    {"method":"/t.Sticky/*","pool":"p","kind":"unary","repeat":"safe","deadline_ms":2000,"affinity":"header:x-user"},
    {"method":"/t.Stream/*","pool":"p","repeat":"safe"},
    {"method":"/t.Short/*","pool":"p","kind":"unary","repeat":"safe","deadline_ms":300,"aim_ms":100}
]"#;

struct Edge {
    front: Rc<GrpcFront>,
    at: SocketAddr,
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
    boxes: Vec<GrpcBox>,
    dir: std::path::PathBuf,
}

fn file(dir: &Path, listen: SocketAddr, backends: &[(SocketAddr, bool)], limits: &str) -> GrpcConfig {
    let backends: Vec<String> = backends
        .iter()
        .map(|(at, draining)| format!(r#"{{"address":"{at}","draining":{draining}}}"#))
        .collect();
    let text = format!(
        r#"{{"listen":"{listen}","limits":{limits},"pools":[{{"name":"p","backends":[{}]}}],"routes":{ROUTES}}}"#,
        backends.join(",")
    );
    std::fs::write(dir.join("grpc.json"), text).unwrap();
    GrpcConfig::read(&dir.join("grpc.json")).unwrap()
}

fn host(clock: Clock) -> Rc<Executor> {
    let config =
        Config::read(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json"))).unwrap();
    let (engine, _) = engine(&config, &clock, 0).unwrap();
    Executor::new(clock, engine, CacheDriver)
}

impl Edge {
    async fn start(name: &str, boxes: usize, limits: &str) -> Self {
        let mut all = Vec::new();
        for _ in 0..boxes {
            all.push(GrpcBox::start("127.0.90.1:0").await);
        }
        Self::with(Clock::system(), name, all, limits).await
    }

    /// Three boxes whose choice is the same in every run: it hangs on their addresses, here in a network of the
    /// test's own, and on the time, since evidence and saved retries fade.
    async fn certain(clock: &Clock, name: &str, network: u8) -> Self {
        let mut all = Vec::new();
        for place in 1..=3 {
            all.push(GrpcBox::start(&format!("127.0.{network}.{place}:9090")).await);
        }
        Self::with(clock.clone(), name, all, "{}").await
    }

    async fn with(clock: Clock, name: &str, all: Vec<GrpcBox>, limits: &str) -> Self {
        let listener = TcpListener::bind("127.0.90.9:0").await.unwrap();
        let (at, dir) = (listener.local_addr().unwrap(), folder(name));
        let mut backends: Vec<_> = all.iter().map(|b| (b.address, false)).collect();
        if all.is_empty() {
            backends.push(("127.0.90.1:1".parse().unwrap(), false));
        }
        let config = file(&dir, at, &backends, limits);
        let front = GrpcFront::new(host(clock), config, 5).unwrap();
        let (stop, closing) = (Rc::new(GracefulShutdown::default()), Rc::new(Notify::new()));
        spawn_local(accept(front.clone(), listener, stop.clone(), closing.clone()));
        spawn_local(run_housekeeping(front.clone()));
        spawn_local(abort_calls_at_shutdown(front.clone(), stop.clone()));
        Self { front, at, stop, closing, boxes: all, dir }
    }

    fn reached(&self) -> usize {
        self.boxes.iter().map(GrpcBox::count).sum()
    }

    /// A line of the figures.
    fn figure(&self, line: &str) -> u64 {
        let text = self.front.metrics();
        text.lines().find_map(|l| l.strip_prefix(line)?.trim().parse().ok()).unwrap_or(0)
    }

    fn outcome(&self, name: &str) -> u64 {
        self.figure(&format!("grpc_calls_total{{pool=\"p\",outcome=\"{name}\"}}"))
    }
}

/// Waits until a condition holds, for two seconds at the most.
async fn soon(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(2);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn calls_pass_whole_in_every_shape_with_trailers_and_metadata_intact() {
    run(async {
        let edge = Edge::start("grpc-shapes", 2, "{}").await;
        let caller = Caller::connect(edge.at).await;
        let headers = [("x-user", "u1"), ("x-bin", "AAEC"), ("grpc-timeout", "1500m")];
        let got = caller.call("/t.Safe/Get", &headers, msg(10)).await;
        assert_eq!((got.http, got.status(), &got.body), (200, 0, &msg(8)), "{got:?}");
        assert_eq!(
            (got.header("x-trail-bin"), got.header("grpc-message")),
            (Some("AAEC"), Some("of%20the%20box"))
        );
        assert_eq!(got.head.get("x-box").unwrap(), "yes");
        let seen = edge.boxes.iter().find_map(|b| b.calls.borrow().first().cloned()).unwrap();
        assert_eq!((seen.path.as_str(), &seen.body, seen.whole), ("/t.Safe/Get", &msg(10), true));
        assert_eq!((seen.header("x-bin"), seen.header("te")), (Some("AAEC"), Some("trailers")));
        assert_eq!(seen.header("content-type"), Some("application/grpc+proto"));
        let left = edge_proxy::grpc::timeout::parse(seen.header("grpc-timeout").unwrap()).unwrap();
        assert!(left <= 1_460.0 && left > 100.0, "no longer than the client's less the way back: {left}");

        // Server streaming, beyond every window; then client and bidirectional streaming.
        let got = caller.call("/t.Stream/Watch", &[("x-act", "read head flood:3000 status:0")], msg(1)).await;
        assert_eq!((got.status(), got.body.len()), (0, 3_000 * 1_005));
        let big: Vec<u8> = (0..1_500).flat_map(|_| msg(1_000)).collect();
        let (response, mut stream) = caller.begin("/t.Stream/Put", &[("x-act", "echo")]).await.unwrap();
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
        let got = finish(response).await;
        assert_eq!(
            (got.status(), got.body.len(), got.body == big),
            (0, big.len(), true),
            "both ways at once"
        );
        assert_eq!(edge.outcome("served"), 3);
        assert_eq!(edge.figure("grpc_replay_bytes"), 0, "nothing is kept of calls that have ended");
    });
}

/// Each status, as the whole answer and after data: passed on as it came, counted for what it is, and tried again
/// only where that is allowed.
#[test]
fn every_status_is_passed_on_and_counted_for_what_it_is() {
    run(async {
        let edge = Edge::start("grpc-status", 1, "{}").await;
        let caller = Caller::connect(edge.at).await;
        for code in 0..=17 {
            let before =
                (edge.reached(), edge.outcome("served"), edge.outcome("refused"), edge.outcome("failed"));
            let act = format!("read status:{code}");
            let got = caller.call("/t.Once/Do", &[("x-act", &act)], msg(3)).await;
            assert_eq!(
                (got.status(), got.header("x-trail-bin")),
                (code, Some("AAEC")),
                "trailers-only: {got:?}"
            );
            let act = format!("read head msg:9 status:{code}");
            let got = caller.call("/t.Safe/Do", &[("x-act", &act)], msg(3)).await;
            assert_eq!((got.status(), got.header("x-trail-bin"), got.body.len()), (code, Some("AAEC"), 14));
            let after =
                (edge.reached(), edge.outcome("served"), edge.outcome("refused"), edge.outcome("failed"));
            let ok = u64::from(code == 0) * 2;
            assert_eq!(after, (before.0 + 2, before.1 + ok, before.2, before.3 + 2 - ok), "status {code}");
        }
        assert_eq!(edge.figure("grpc_failed_after_data_total{pool=\"p\"}"), 17);
        // UNAVAILABLE as the whole answer to what may be repeated: tried again, then refused as it came.
        let got = caller.call("/t.Safe/Do", &[("x-act", "read status:14")], msg(3)).await;
        assert_eq!((got.status(), edge.outcome("refused")), (14, 1));
        assert!(got.header("grpc-retry-pushback-ms").is_some(), "a refusal says when to come back: {got:?}");
        // Where the server says when to come back, nobody comes before.
        let before = edge.reached();
        let got = caller.call("/t.Safe/Do", &[("x-act", "read push:700 status:14")], msg(3)).await;
        assert_eq!((got.header("grpc-retry-pushback-ms"), edge.reached() - before), (Some("700"), 1));
    });
}

#[test]
fn another_backend_takes_what_one_did_not_and_nothing_runs_twice() {
    run(async {
        let clock = Clock::manual(START_MS);
        let edge = Edge::certain(&clock, "grpc-retry", 92).await;
        let caller = Caller::connect(edge.at).await;
        for (what, act) in [
            ("unavailable", "status:14"),
            ("reset", "rst:2"),
            ("cut without a status", "read end"),
            ("not gRPC", "read http:503"),
            ("killed", "read kill"),
        ] {
            edge.boxes.iter().for_each(|b| b.does(act, 0));
            let mut tried = 0;
            for k in 0..12 {
                clock.advance(50.0);
                edge.boxes[k % 3].does(act, 1);
                let before = edge.reached();
                let got = caller.call("/t.Safe/Get", &[], msg(700)).await;
                // A cut after the response has begun is the client's to see; before, it is tried again.
                let committed = act.ends_with("end");
                assert!(got.status() == 0 || (committed && got.status() == 13), "{what}: {got:?}");
                tried += edge.reached() - before - 1;
                edge.boxes[k % 3].does(act, 0);
            }
            assert!(tried > 0 || act.ends_with("end"), "{what}: no second attempt was needed");
        }
        let again: Vec<_> = edge.boxes.iter().flat_map(|b| b.calls.borrow().clone()).collect();
        let again: Vec<_> =
            again.iter().filter(|a| a.header("grpc-previous-rpc-attempts").is_some()).collect();
        assert!(
            !again.is_empty() && again.iter().all(|a| a.body == msg(700)),
            "the request came whole again"
        );

        // What may run once only: a reset, a cut and a kill end it; REFUSED_STREAM does not.
        for (act, status) in [("read rst:2", 13), ("read http:503", 14), ("read kill", 14), ("status:14", 14)]
        {
            clock.advance(50.0);
            edge.boxes.iter().for_each(|b| b.does(act, u32::MAX));
            let before = edge.reached();
            let got = caller.call("/t.Once/Do", &[], msg(5)).await;
            assert_eq!((got.status(), edge.reached() - before), (status, 1), "{act}: {got:?}");
            let told = got.header("grpc-retry-pushback-ms");
            assert!(told == Some("-1") || act.starts_with("status"), "{act}: nothing is promised: {got:?}");
        }
        edge.boxes.iter().for_each(|b| b.does("rst:7", 0));
        let mut refused = 0;
        for k in 0..9 {
            clock.advance(50.0);
            edge.boxes[k % 3].does("rst:7", 1);
            let before = edge.reached();
            let got = caller.call("/t.Once/Do", &[], msg(5)).await;
            assert_eq!(got.status(), 0, "a refused stream surely did not run: {got:?}");
            refused += edge.reached() - before - 1;
            edge.boxes[k % 3].does("rst:7", 0);
        }
        assert!(refused > 0, "some stream was refused");
    });
}

#[test]
fn a_deadline_is_never_stretched_and_what_is_late_is_called_off() {
    run(async {
        let edge = Edge::start("grpc-deadline", 3, "{}").await;
        let caller = Caller::connect(edge.at).await;
        edge.boxes.iter().for_each(|b| b.does("read hang", u32::MAX));
        // The client's own, the route's shorter one, and a stream's whose response had begun.
        for (path, timeout, most) in
            [("/t.Safe/Get", "400m", 400.0), ("/t.Short/Get", "5S", 300.0), ("/t.Once/Do", "200m", 200.0)]
        {
            let got = caller.call(path, &[("grpc-timeout", timeout)], msg(5)).await;
            // What may be repeated is refused once no further attempt fits; what may have run has failed.
            let told = if path == "/t.Once/Do" { 4 } else { 14 };
            assert!(got.status() == told || got.status() == 4, "{path}: {got:?}");
            assert!(got.took_ms <= most + 150.0, "{path}: {} ms of {most}", got.took_ms);
        }
        assert_eq!(edge.figure("grpc_deadlines_shortened_total{pool=\"p\"}"), 1);
        let calls: Vec<_> = edge.boxes.iter().flat_map(|b| b.calls.borrow().clone()).collect();
        assert!(calls.len() > 2, "second attempts were made within the time");
        for call in &calls {
            let told = edge_proxy::grpc::timeout::parse(call.header("grpc-timeout").unwrap()).unwrap();
            assert!(told <= 360.0, "an attempt was told {told} ms");
        }
        edge.boxes.iter().for_each(|b| b.does("read head msg:4 hang", u32::MAX));
        let got = caller.call("/t.Stream/Watch", &[("grpc-timeout", "250m")], msg(5)).await;
        assert_eq!((got.status(), got.body.len()), (4, 9), "what had come stays: {got:?}");
        let all = || edge.boxes.iter().all(|b| b.calls.borrow().iter().all(|a| a.reset));
        soon("every attempt was called off", all).await;
    });
}

#[test]
fn a_client_that_cancels_calls_its_attempt_off_and_is_owed_nothing() {
    run(async {
        let edge = Edge::start("grpc-cancel", 1, "{}").await;
        let caller = Caller::connect(edge.at).await;
        for act in ["read head msg:4 hang", "hang"] {
            let (response, mut stream) = caller.begin("/t.Stream/Watch", &[("x-act", act)]).await.unwrap();
            stream.send_data(msg(2).into(), false).unwrap();
            let reached = edge.reached();
            soon("the call reached the box", || edge.reached() > reached || reached > 0).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            stream.send_reset(h2::Reason::CANCEL);
            drop(response);
            soon("the box saw the reset", || edge.boxes[0].calls.borrow().iter().all(|a| a.reset)).await;
        }
        soon("both count as left", || edge.outcome("left") == 2).await;
        // A whole connection that goes takes its calls with it.
        let gone = Caller::connect(edge.at).await;
        let pending =
            spawn_local(async move { gone.call("/t.Stream/Watch", &[("x-act", "read hang")], msg(1)).await });
        soon("it reached the box", || edge.reached() == 3).await;
        pending.abort();
        soon("its call is called off", || edge.boxes[0].calls.borrow()[2].reset).await;
        assert_eq!(edge.front.with(|calls| calls.open()), 0);
        assert_eq!(edge.outcome("failed") + edge.outcome("served"), 0);
    });
}

#[test]
fn cut_and_malformed_streams_fail_clearly_on_either_side() {
    run(async {
        let edge = Edge::start("grpc-cut", 1, r#"{"message_bytes":2048,"header_bytes":4096}"#).await;
        let caller = Caller::connect(edge.at).await;
        for (act, status) in [
            ("read head msg:9 part:40 status:0", 13),
            ("read head msg:9 part:40 rst:2", 13),
            ("read head msg:9 rst:8", 1),
            ("read head msg:9 end", 13),
            ("read head raw:9 status:0", 13),
            ("read head msg:3000 status:0", 13),
            ("read head msg:9 kill", 14),
            ("read http:404", 12),
        ] {
            let got = caller.call("/t.Once/Do", &[("x-act", act)], msg(3)).await;
            assert_eq!(got.status(), status, "{act}: {got:?}");
        }
        assert_eq!(edge.outcome("served"), 0);
        // The client's side: a request cut within a message, one that is too long, a bad prefix.
        for (body, status) in [(msg(40)[..20].to_vec(), 13), (msg(3_000), 8), (vec![7; 9], 13)] {
            let got = caller.call("/t.Once/Do", &[], body).await;
            assert_eq!(got.status(), status, "{got:?}");
        }
        soon("no box takes a broken request for whole", || {
            edge.boxes[0].calls.borrow().iter().skip(8).all(|a| !a.whole)
        })
        .await;
        // Heads that can't be used: each a clear status, and the connection stays.
        for (path, headers, status) in [
            ("/t.None/Do", vec![], 12),
            ("/t.Safe", vec![], 12),
            ("/t.Safe/Get", vec![("grpc-timeout", "soon")], 13),
            ("/t.Safe/Get", vec![("grpc-timeout", "1S"), ("grpc-timeout", "9S")], 13),
            ("/t.Key/Put", vec![], 3),
        ] {
            let before = edge.reached();
            let got = caller.call(path, &headers, msg(1)).await;
            assert_eq!((got.status(), edge.reached()), (status, before), "{path} {headers:?}: {got:?}");
        }
        assert_eq!(caller.call("/t.Key/Put", &[("x-key", "k1")], msg(1)).await.status(), 0);
        let long = "x".repeat(9_000);
        let got = caller.call("/t.Safe/Get", &[("x-long", &long)], msg(1)).await;
        assert!(got.http == 431 || got.error.is_some(), "{got:?}");
        let got = caller.call("/t.Safe/Get", &[], msg(1)).await;
        assert_eq!(got.status(), 0, "the connection goes on after an oversized head: {got:?}");
        // Frames that break RFC 9113 end their connection with GOAWAY, and nobody else's.
        let mut raw = TcpStream::connect(edge.at).await.unwrap();
        raw.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").await.unwrap();
        // DATA on stream 0.
        raw.write_all(b"\0\0\x01\0\0\0\0\0\0x").await.unwrap();
        let mut answer = Vec::new();
        tokio::time::timeout(Duration::from_secs(2), raw.read_to_end(&mut answer)).await.unwrap().unwrap();
        assert!(answer.windows(5).any(|w| w[0] == 0 && w[3] == 7), "no GOAWAY in {answer:?}");
        assert_eq!(caller.call("/t.Safe/Get", &[], msg(1)).await.status(), 0);
        let mut raw = TcpStream::connect(edge.at).await.unwrap();
        raw.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        let read = tokio::time::timeout(Duration::from_secs(2), raw.read_to_end(&mut Vec::new())).await;
        assert!(read.is_ok(), "a client of another protocol is let go at once");
    });
}

#[test]
fn a_drained_backend_gets_nothing_new_and_finishes_what_it_has() {
    run(async {
        let edge = Edge::start("grpc-drain", 2, "{}").await;
        let caller = Caller::connect(edge.at).await;
        let first = edge.boxes[0].address;
        // A stream on each box, held open over the drain.
        let mut streams = Vec::new();
        while edge.boxes.iter().any(|b| b.count() == 0) {
            streams.push(caller.begin("/t.Stream/Chat", &[("x-act", "echo")]).await.unwrap());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let drained = |on| {
            let backends: Vec<_> = edge.boxes.iter().map(|b| (b.address, on && b.address == first)).collect();
            edge.front.reconfigure(file(&edge.dir, edge.at, &backends, "{}")).unwrap();
        };
        drained(true);
        let before = edge.boxes[0].count();
        for _ in 0..40 {
            assert_eq!(caller.call("/t.Safe/Get", &[], msg(2)).await.status(), 0);
        }
        assert_eq!(edge.boxes[0].count(), before, "a drained backend was named");
        for (response, mut stream) in streams {
            stream.send_data(msg(6).into(), true).unwrap();
            let got = finish(response).await;
            assert_eq!((got.status(), got.body), (0, msg(6)), "streams under way are finished");
        }
        soon("its connections end", || edge.front.upstream.len() == 1).await;
        // A file that can't be used changes nothing; then the backend is back.
        std::fs::write(edge.dir.join("grpc.json"), "{\"listen\":").unwrap();
        assert!(GrpcConfig::read(&edge.dir.join("grpc.json")).is_err());
        drained(false);
        for _ in 0..40 {
            assert_eq!(caller.call("/t.Safe/Get", &[], msg(2)).await.status(), 0);
        }
        assert!(edge.boxes[0].count() > before, "it is back");
        // GOAWAY: what is open is finished, and the next calls go onto a fresh connection.
        let connections = edge.boxes[0].connections.get() + edge.boxes[1].connections.get();
        let slow = spawn_local({
            let caller = caller.clone();
            async move {
                caller.call("/t.Once/Do", &[("x-act", "read sleep:150 head msg:1 status:0")], msg(2)).await
            }
        });
        tokio::time::sleep(Duration::from_millis(40)).await;
        edge.boxes.iter().for_each(GrpcBox::go_away);
        for _ in 0..20 {
            assert_eq!(
                caller.call("/t.Once/Do", &[], msg(2)).await.status(),
                0,
                "no call is lost to a GOAWAY"
            );
        }
        assert_eq!(slow.await.unwrap().status(), 0);
        assert!(edge.boxes[0].connections.get() + edge.boxes[1].connections.get() > connections);
    });
}

#[test]
fn affinity_holds_a_failing_backend_is_left_and_none_at_all_is_told_at_once() {
    run(async {
        let clock = Clock::manual(START_MS);
        let edge = Edge::certain(&clock, "grpc-health", 91).await;
        let caller = Caller::connect(edge.at).await;
        let spread = |edge: &Edge| edge.boxes.iter().map(GrpcBox::count).collect::<Vec<_>>();
        for _ in 0..10 {
            assert_eq!(caller.call("/t.Sticky/Get", &[("x-user", "u7")], msg(2)).await.status(), 0);
        }
        assert_eq!(spread(&edge).iter().filter(|n| **n > 0).count(), 1, "one user, one backend");
        for _ in 0..60 {
            assert_eq!(caller.call("/t.Safe/Get", &[], msg(2)).await.status(), 0);
        }
        assert!(spread(&edge).iter().all(|n| *n >= 8), "calls by themselves spread: {:?}", spread(&edge));
        // One backend fails with everything: the module leaves it.
        edge.boxes[1].does("status:13", u32::MAX);
        for _ in 0..60 {
            clock.advance(5.0);
            caller.call("/t.Safe/Get", &[], msg(2)).await;
        }
        let (before, mut failed) = (edge.boxes[1].count(), 0);
        for _ in 0..60 {
            clock.advance(5.0);
            failed += u32::from(caller.call("/t.Safe/Get", &[], msg(2)).await.status() != 0);
        }
        let named = edge.boxes[1].count() - before;
        assert!(
            named <= 8 && failed <= 8,
            "{named} of 60 calls went to the failing backend, {failed} failed"
        );
        // All drain: refused at once, with a time to come back.
        let backends: Vec<_> = edge.boxes.iter().map(|b| (b.address, true)).collect();
        edge.front.reconfigure(file(&edge.dir, edge.at, &backends, "{}")).unwrap();
        let got = caller.call("/t.Once/Do", &[], msg(2)).await;
        assert_eq!(got.status(), 14);
        assert!(
            got.took_ms < 100.0 && got.header("grpc-retry-pushback-ms").is_some_and(|ms| ms != "-1"),
            "{got:?}"
        );
    });
}

#[test]
fn bounds_hold_and_a_stop_answers_every_call() {
    run(async {
        let edge =
            Edge::start("grpc-stop", 1, r#"{"calls":4,"clients":2,"stop_ms":300,"replay_bytes":1000}"#).await;
        let caller = Caller::connect(edge.at).await;
        let mut open = Vec::new();
        for _ in 0..4 {
            let (response, mut stream) = caller.begin("/t.Stream/Chat", &[("x-act", "echo")]).await.unwrap();
            stream.send_data(msg(900).into(), false).unwrap();
            open.push((response, stream));
        }
        soon("four calls are open", || edge.front.with(|calls| calls.open()) == 4).await;
        let got = caller.call("/t.Safe/Get", &[], msg(1)).await;
        assert_eq!(
            (got.status(), got.header("grpc-retry-pushback-ms")),
            (14, Some("300")),
            "the fifth is refused"
        );
        // At the cap an idle connection makes room for a newcomer.
        let _idle = Caller::connect(edge.at).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        let third = Caller::connect(edge.at).await;
        let got = tokio::time::timeout(Duration::from_secs(2), third.call("/t.Safe/Get", &[], msg(1))).await;
        assert_eq!(got.expect("a place").status(), 14, "it is let in, and told that calls are full");
        // The stop: one call ends by itself, the others are ended after the time they have.
        edge.closing.notify_one();
        edge.stop.begin();
        let (response, mut stream) = open.remove(0);
        stream.send_data(Default::default(), true).unwrap();
        assert_eq!(finish(response).await.status(), 0);
        for (response, _stream) in open {
            let got = finish(response).await;
            assert_eq!((got.status(), got.body.len()), (14, 905), "a final answer, at the stop too: {got:?}");
        }
        soon("every connection ends", || edge.stop.open_connections() == 0).await;
    });
}

/// The list of members, as the bulletin or a registry tells it, feeds a pool; a drain holds at once, also for a call
/// that already waits for its connection.
#[test]
fn a_pool_from_the_list_of_members_follows_its_drains() {
    run(async {
        let edge = Edge::start("grpc-roster", 0, "{}").await;
        // The file says the port once for the whole pool.
        let one = GrpcBox::start("127.0.91.1:0").await;
        let port = one.address.port();
        let two = GrpcBox::start(&format!("127.0.91.2:{port}")).await;
        let text = format!(
            r#"{{"listen":"{}","pools":[{{"name":"p","roster":{{"model":"box","port":{port}}}}}],"routes":{ROUTES}}}"#,
            edge.at
        );
        std::fs::write(edge.dir.join("grpc.json"), text).unwrap();
        let host = edge.front.executor.clone();
        let line = |uid: u32, state: &str| {
            let ip = if uid == 0xc1 { "127.0.91.1" } else { "127.0.91.2" };
            let text = format!(
                r#"{{"uid":"s-{uid:08x}","endpoint":"{ip}:7001","az":"town","model":"box","state":"{state}"}}"#
            );
            edge_proxy::wire::discovery_json::EndpointJson::parse(text.as_bytes()).unwrap()
        };
        host.with(|engine| engine.apply_endpoints(true, vec![line(0xc1, "Ready"), line(0xc2, "Ready")]));
        edge.front.reconfigure(GrpcConfig::read(&edge.dir.join("grpc.json")).unwrap()).unwrap();
        let caller = Caller::connect(edge.at).await;
        let go = |n: usize| {
            let caller = caller.clone();
            async move {
                for _ in 0..n {
                    assert_eq!(caller.call("/t.Safe/Get", &[], msg(2)).await.status(), 0);
                }
            }
        };
        go(40).await;
        assert!(one.count() > 5 && two.count() > 5, "both are asked: {} and {}", one.count(), two.count());
        host.with(|engine| engine.apply_endpoints(false, vec![line(0xc1, "Terminating")]));
        let before = one.count();
        go(40).await;
        assert_eq!(one.count(), before, "a drained member was asked");
        host.with(|engine| engine.apply_endpoints(false, vec![line(0xc1, "Ready")]));
        host.with(|engine| engine.set_out_of_use(0xc2, true));
        let before = two.count();
        go(40).await;
        assert_eq!(two.count(), before, "maintenance by hand counts as well");
    });
}

/// The door's fair queues ahead of unary calls: what is beyond the limit waits or is refused with a time to come
/// back, a stream passes by, and a client that leaves while it waits is never sent on.
#[test]
fn unary_calls_go_through_fair_queues_and_streams_pass_by() {
    run(async {
        let edge = Edge::start("grpc-door", 1, "{}").await;
        let text = std::fs::read_to_string(edge.dir.join("grpc.json")).unwrap();
        let door =
            r#"{"door":{"limit":{"first":2,"least":2,"most":2},"per_client_most":3,"reserve_share":0},"#;
        std::fs::write(edge.dir.join("grpc.json"), text.replacen('{', door, 1)).unwrap();
        let config = GrpcConfig::read(&edge.dir.join("grpc.json")).unwrap();
        let listener = TcpListener::bind("127.0.90.9:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let front = GrpcFront::new(host(Clock::system()), config, 5).unwrap();
        spawn_local(accept(front.clone(), listener, edge.stop.clone(), Rc::new(Notify::new())));
        let caller = Caller::connect(at).await;
        let act = "read sleep:100 head msg:1 status:0";
        let call = |path: &'static str| {
            let caller = caller.clone();
            spawn_local(async move { caller.call(path, &[("x-act", act)], msg(2)).await })
        };
        let burst: Vec<_> = (0..8).map(|_| call("/t.Safe/Get")).collect();
        let stream = call("/t.Stream/Watch");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(edge.boxes[0].count(), 3, "two unary calls and the stream");
        // One that waits and leaves; its place goes to the next.
        let before = front.metrics();
        assert!(before.contains("grpc_door_queued 3"), "{before}");
        let (mut served, mut refused) = (0, 0);
        for got in burst {
            let got = got.await.unwrap();
            match got.status() {
                0 => served += 1,
                14 => {
                    refused += 1;
                    assert!(got.took_ms < 95.0, "refused at once: {got:?}");
                    assert!(got.header("grpc-retry-pushback-ms").is_some(), "{got:?}");
                }
                _ => panic!("{got:?}"),
            }
        }
        assert_eq!((served, refused, stream.await.unwrap().status()), (5, 3, 0));
        // Callers that leave while they wait.
        let burst: Vec<_> = (0..4).map(|_| call("/t.Safe/Get")).collect();
        tokio::time::sleep(Duration::from_millis(30)).await;
        let reached = edge.boxes[0].count();
        let quick = Caller::connect(at).await;
        let (response, mut waiting) = quick.begin("/t.Once/Do", &[("x-gone", "1")]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        waiting.send_reset(h2::Reason::CANCEL);
        drop(response);
        for got in burst {
            assert!(matches!(got.await.unwrap().status(), 0 | 14));
        }
        let sent = |a: &stand_ins::grpc::Arrival| a.header("x-gone").is_some();
        assert!(
            !edge.boxes[0].calls.borrow().iter().skip(reached).any(sent),
            "a call whose client left was sent"
        );
        soon("the door is empty", || front.metrics().contains("grpc_door_open 0")).await;
        assert!(front.metrics().contains("grpc_door_queued 0"));
    });
}

/// The program itself: `serve --grpc`, its figures, its file read again at SIGHUP, and a stop with a call under way.
#[test]
fn the_program_serves_reloads_and_stops() {
    run(async {
        let dir = folder("grpc-program");
        let (one, two) = (GrpcBox::start("127.0.92.1:0").await, GrpcBox::start("127.0.92.1:0").await);
        let port = || std::net::TcpListener::bind("127.0.92.9:0").unwrap().local_addr().unwrap();
        let (listen, mgmt, grpc) = (port(), port(), port());
        let text =
            std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
        let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
        std::fs::write(dir.join("config.json"), text.replace("\"listen\": \"127.0.0.1:5050\",", &addresses))
            .unwrap();
        file(&dir, grpc, &[(one.address, false), (two.address, true)], "{}");
        let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
        let (config, own) = (dir.join("config.json"), dir.join("grpc.json"));
        let args = ["serve", "--config", config.to_str().unwrap(), "--grpc", own.to_str().unwrap()];
        let program =
            std::process::Command::new(env!("CARGO_BIN_EXE_edge-proxy")).args(args).stderr(log).spawn();
        let mut program = stand_ins::KillOnDrop(program.unwrap());
        while TcpStream::connect(grpc).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let caller = Caller::connect(grpc).await;
        assert_eq!(caller.call("/t.Safe/Get", &[], msg(2)).await.status(), 0);
        // SIGHUP: the other backend takes over, and a file that can't be used changes nothing.
        file(&dir, grpc, &[(one.address, true), (two.address, false)], "{}");
        program.signal("-HUP");
        let end = Instant::now() + Duration::from_secs(5);
        while two.count() == 0 {
            assert!(Instant::now() < end, "the file was not read again");
            assert_eq!(caller.call("/t.Safe/Get", &[], msg(2)).await.status(), 0);
        }
        std::fs::write(dir.join("grpc.json"), "{").unwrap();
        program.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let before = one.count();
        assert_eq!(caller.call("/t.Safe/Get", &[], msg(2)).await.status(), 0);
        assert_eq!(one.count(), before, "the file before stays");
        let ask = |path: &'static str| async move {
            let answer =
                edge_proxy::http_client::call(mgmt, "GET", path, b"", Duration::from_secs(2)).await.unwrap();
            String::from_utf8_lossy(&answer.body).to_string()
        };
        let figures = ask("/stats").await;
        assert!(figures.contains("grpc_calls_total{pool=\"p\",outcome=\"served\"}"), "{figures}");
        let status = ask("/grpc").await;
        assert!(status.contains(&format!("{{\"address\":\"{}\",\"live\":true}}", two.address)), "{status}");
        // SIGTERM with a call under way: it has its whole answer, then the process ends.
        let slow = spawn_local({
            let caller = caller.clone();
            let act = [("x-act", "read sleep:900 head msg:5 status:0")];
            async move { caller.call("/t.Once/Do", &act, msg(2)).await }
        });
        let reached = two.count();
        while two.count() == reached {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        program.signal("-TERM");
        let got = slow.await.unwrap();
        assert_eq!((got.status(), got.body), (0, msg(5)));
        program.exits_successfully().await;
        let log = std::fs::read_to_string(dir.join("proxy.log")).unwrap();
        assert!(log.contains("configuration not reloaded subsystem=\"gRPC\""), "{log}");
    });
}
