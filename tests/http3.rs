//! End-to-end tests of HTTP/3 on loopback. Clients connect directly, over an impaired UDP link or over TCP; a
//! stand-in cache fleet counts the requests that reach it.

mod stand_ins;

use edge_proxy::clock::Clock;
use edge_proxy::engine::executor::Executor;
use edge_proxy::http3::call_registry::CallRegistry;
use edge_proxy::http3::config::Http3Config;
use edge_proxy::http3::front::Http3Front;
use edge_proxy::http3::server::{accept as accept_quic, Http3Server};
use edge_proxy::lifecycle::config::Config;
use edge_proxy::lifecycle::engine_setup::engine;
use edge_proxy::state::request_memory::RequestMemory;
use edge_proxy::wire::cache_connection::CacheDriver;
use edge_proxy::wire::classification::{Classification, RequestClassifier};
use edge_proxy::wire::closable_listener::ClosableListener;
use edge_proxy::wire::front::{ConnectionLimits, Front};
use edge_proxy::wire::http::HttpRequest;
use edge_proxy::wire::listener::accept;
use edge_proxy::wire::platform::{self, Platform};
use edge_proxy::wire::shutdown::GracefulShutdown;
use stand_ins::http3_client::{write_certificate, Http3Client, ImpairedLink};
use stand_ins::slow_cache_fleet::{unix_ms, SlowCacheFleet};
use stand_ins::supervisor::PlatformStop;
use stand_ins::{run, test_dir, unused_tcp_addresses, KillOnDrop};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

struct Fixture {
    executor: Rc<Executor>,
    fleet: SlowCacheFleet,
    platform: Rc<Platform>,
    config: Http3Config,
    quic_address: SocketAddr,
    tcp_address: SocketAddr,
    server: Rc<Http3Server>,
    calls: Rc<CallRegistry>,
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
}

fn write_http3_config(dir: &Path, listen: SocketAddr, extra_fields: &str) -> PathBuf {
    write_certificate(dir);
    let file = dir.join("http3.json");
    let text = format!(r#"{{"listen":"{listen}","certificate":"cert.pem","key":"key.pem"{extra_fields}}}"#);
    std::fs::write(&file, text).unwrap();
    file
}

fn proxy_config_text(fleet: &SlowCacheFleet) -> String {
    let mut text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    for (index, port) in (7101..=7104).enumerate() {
        text = text.replace(&format!("127.0.0.1:{port}"), &fleet.addresses[index].to_string());
    }
    text
}

impl Fixture {
    async fn start(subnet: u8, name: &str, extra_fields: &str) -> Self {
        let dir = test_dir(name);
        let fleet = SlowCacheFleet::start(subnet, 4, 256, 2).await;
        std::fs::write(dir.join("config.json"), proxy_config_text(&fleet)).unwrap();
        let proxy_config = Config::read(&dir.join("config.json")).unwrap();
        let clock = Clock::system();
        let (engine, _) = engine(&proxy_config, &clock, 0).unwrap();
        let executor = Executor::new(clock, engine, CacheDriver);
        spawn_local(executor.clone().run_timers());
        let file = write_http3_config(&dir, format!("127.0.{subnet}.9:1").parse().unwrap(), extra_fields);
        let config = Http3Config::read(&file).unwrap();
        let quic = config.server_config().unwrap();
        let endpoint = quinn::Endpoint::server(quic, format!("127.0.{subnet}.9:0").parse().unwrap()).unwrap();
        let quic_address = endpoint.local_addr().unwrap();
        let calls = CallRegistry::new(executor.clone(), config.resumable_calls.store_limits());
        let platform = Rc::new(Platform::new(platform::limits(64)));
        let inner: Rc<dyn Front> = platform.clone();
        let limits = ConnectionLimits { idle_ms: 5_000.0, ..platform::limits(64) };
        let front = Rc::new(Http3Front::new(inner, limits, config.session_tokens().unwrap(), calls.clone()));
        let server = Http3Server::new(executor.clone(), front.clone(), calls.clone(), config.limits.clone());
        let (stop, closing) = (Rc::new(GracefulShutdown::default()), Rc::new(Notify::new()));
        spawn_local(accept_quic(server.clone(), endpoint, stop.clone(), closing.clone()));
        spawn_local(calls.clone().run_expiry());
        let listener = TcpListener::bind(format!("127.0.{subnet}.9:0")).await.unwrap();
        let tcp_address = listener.local_addr().unwrap();
        let listener = ClosableListener::new(listener, Rc::new(Notify::new()));
        spawn_local(accept(executor.clone(), front, listener, stop.clone()));
        Self { executor, fleet, platform, config, quic_address, tcp_address, server, calls, stop, closing }
    }

    fn server_memory(&self) -> Rc<RequestMemory> {
        self.executor.request_memory.clone()
    }

    async fn client(&self) -> Http3Client {
        Http3Client::connect(self.quic_address, &self.config, None).await.unwrap()
    }

    fn metric(&self, name: &str) -> u64 {
        let text = self.server.metrics();
        text.lines().find_map(|l| l.strip_prefix(&format!("poor_{name} "))?.parse().ok()).unwrap()
    }

    /// Reloads the configuration with another latency objective of a class.
    fn change_class(&self, name: &str, former_objective: u64, objective: u64) {
        let path = test_dir(name).join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        let [former, changed] =
            [former_objective, objective].map(|objective| format!("\"promiseUs\": {objective}"));
        assert!(text.contains(&former));
        std::fs::write(&path, text.replace(&former, &changed)).unwrap();
        let settings = Config::read(&path).unwrap().settings;
        self.executor.with(|engine| engine.reconfigure(settings));
    }

    fn execution_count(&self, id: u64) -> u32 {
        self.fleet.requests_by_idempotency_key.borrow().get(&format!("k{id:x}")).copied().unwrap_or(0)
    }
}

async fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out waiting until {condition}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn large_body(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

const LARGE_HEADERS: [(&str, &str); 2] = [("x-call-id", "00000000000000c1"), ("x-patience-ms", "4000")];
const LARGE_PATH: &str = "/ops/video-part/7f3a9c21e0b4d655/slice-3";

/// Guards against a kept response that a request of another class gets, because reloads gave the class away.
#[test]
fn a_kept_response_belongs_to_its_class_over_reloads() {
    run(async {
        let name = "http3-kept-class";
        let fixture = Fixture::start(150, name, "").await;
        let client = fixture.client().await;
        let response = client.get_small_object(1, 1_500).await.unwrap();
        assert_eq!((response.status, &response.body[..]), (200, &b"the bytes"[..]));
        fixture.change_class(name, 300_000, 310_000);
        fixture.change_class(name, 600_000, 610_000);
        let headers = [("x-call-id", "0000000000000001"), ("x-patience-ms", "1500")];
        let other_class = "/ops/video-part/0000000000000001/slice-0";
        let response = client.request("GET", other_class, &headers, b"").await.unwrap();
        assert_eq!(response.status, 409, "another request with the id of a kept one");
        let repeat = client.get_small_object(1, 1_500).await.unwrap();
        assert_eq!((repeat.status, &repeat.body[..]), (200, &b"the bytes"[..]), "the class only changed");
    });
}

/// Guards against a retry that is refused as another request, because a reload changed its class meanwhile.
#[test]
fn a_retry_after_a_reload_of_its_class_gets_the_response_of_its_running_call() {
    run(async {
        let name = "http3-retried-class";
        let fixture = Fixture::start(151, name, "").await;
        let client = fixture.client().await;
        client.get_small_object(1, 1_500).await.unwrap();
        let token = client.session.borrow().clone();
        fixture.fleet.work_ms.set(300);
        let lost = spawn_local(async move { client.put_ad_post(90, 2_500).await });
        wait_until("the ad-post reaches a cache", || fixture.execution_count(90) == 1).await;
        lost.abort();
        fixture.change_class(name, 700_000, 710_000);
        let again = Http3Client::connect(fixture.quic_address, &fixture.config, token).await.unwrap();
        let response = again.put_ad_post(90, 2_500).await.unwrap();
        assert_eq!((response.status, fixture.execution_count(90)), (200, 1));
    });
}

/// A classifier that panics.
struct FaultyClassifier;

impl RequestClassifier for FaultyClassifier {
    fn classify(&self, _: &HttpRequest) -> Classification {
        panic!("intentional panic")
    }
}

/// Guards against a stream that ends without a response because the handling of its request panicked.
#[test]
fn a_panic_in_the_handling_of_a_request_answers_it_with_an_error() {
    run(async {
        let fixture = Fixture::start(148, "http3-panic", "").await;
        let client = fixture.client().await;
        fixture.platform.set_classifier(Some(Rc::new(FaultyClassifier)));
        assert_eq!(client.get_small_object(1, 1_500).await.unwrap().status, 500);
        assert_eq!(fixture.executor.with(|engine| engine.counters.panics), 1);
        fixture.platform.set_classifier(None);
        assert_eq!(client.get_small_object(2, 1_500).await.unwrap().status, 200);
    });
}

#[test]
fn valid_requests_are_served_with_sessions_and_ranges_and_invalid_ones_are_rejected() {
    run(async {
        let fixture = Fixture::start(110, "http3-serve", "").await;
        fixture.fleet.part_bytes.set(200_000);
        let client = fixture.client().await;
        let response = client.get_small_object(1, 1_500).await.unwrap();
        assert_eq!(
            (response.status, &response.body[..], response.header("etag")),
            (200, &b"the bytes"[..], Some("\"t1\""))
        );
        let token = client.session.borrow().clone().expect("no session token received");
        assert!(
            client.get_small_object(2, 1_500).await.unwrap().header("x-session").is_none(),
            "a client with a valid token gets no new one"
        );
        assert_eq!(client.session.borrow().as_ref(), Some(&token));
        assert_eq!(
            (client.put_ad_post(3, 1_500).await.unwrap().status, fixture.execution_count(3)),
            (200, 1)
        );
        let response = client.request("GET", LARGE_PATH, &LARGE_HEADERS, b"").await.unwrap();
        assert_eq!((response.status, response.body == large_body(200_000)), (200, true));
        // A range of a completed call is served from the store, unless `If-Range` names another version.
        let range_headers =
            |range, if_range| [LARGE_HEADERS[0], LARGE_HEADERS[1], ("range", range), ("if-range", if_range)];
        let response =
            client.request("GET", LARGE_PATH, &range_headers("bytes=150000-", "\"t1\""), b"").await.unwrap();
        assert_eq!(
            (response.status, response.header("content-range")),
            (206, Some("bytes 150000-199999/200000"))
        );
        assert_eq!(response.body, large_body(200_000)[150_000..]);
        let response =
            client.request("GET", LARGE_PATH, &range_headers("bytes=150000-", "\"t0\""), b"").await.unwrap();
        assert_eq!((response.status, response.body.len()), (200, 200_000));
        let response =
            client.request("GET", LARGE_PATH, &range_headers("bytes=200000-", "\"t1\""), b"").await.unwrap();
        assert_eq!((response.status, response.header("content-range")), (416, Some("bytes */200000")));
        assert_eq!((fixture.metric("shelf_taken_total"), fixture.metric("shelf_answered_total")), (4, 3));
        // Invalid requests are rejected, and the connection stays open.
        let id = ("x-call-id", "0000000000000009");
        for (method, path, headers, body, status) in [
            ("GET", "/nothing", vec![id], &b""[..], 404),
            ("POST", "/ops/small-object/0000000000000009", vec![id], b"", 405),
            ("GET", "/ops/small-object/0000000000000009", vec![], b"", 400),
            ("GET", "/ops/small-object/0000000000000009", vec![id, ("content-length", "7")], b"", 400),
            ("PUT", "/ops/ad-post/0000000000000009", vec![id], b"ad", 400),
        ] {
            let response = client.request(method, path, &headers, body).await;
            // h3 itself resets a stream whose body does not match `content-length`.
            let received_status = response.map_or(400, |response| response.status);
            assert_eq!(received_status, status, "{method} {path} {headers:?}");
        }
        let too_long_body = vec![b'x'; 60_000];
        let response = client
            .request("PUT", "/ops/ad-post/0000000000000009", &[id, ("x-dedupe-key", "k")], &too_long_body)
            .await;
        assert_eq!(response.unwrap().status, 413);
        let conflicting = client.request(
            "GET",
            "/ops/small-object/00000000000000ff",
            &[("x-call-id", "0000000000000001")],
            b"",
        );
        assert_eq!(
            conflicting.await.unwrap().status,
            409,
            "a different request with the id of a stored call"
        );
        assert_eq!(client.get_small_object(10, 1_500).await.unwrap().status, 200);
        // A forged token is rejected: the client gets a new session.
        let other_client = fixture.client().await;
        *other_client.session.borrow_mut() = Some(format!("{}AA", &token[..token.len() - 2]));
        assert_eq!(other_client.put_ad_post(3, 1_500).await.unwrap().status, 200);
        assert!(other_client.session.borrow().as_ref() != Some(&token), "a new session was issued");
        assert_eq!(fixture.execution_count(3), 2, "the same call id in another session is another call");
    });
}

/// Guards against executing a write twice if the client retries it after its connection was lost, while the
/// write runs or after it has completed.
#[test]
fn an_ad_post_is_executed_once_if_the_link_fails() {
    run(async {
        let fixture = Fixture::start(111, "http3-post", r#","limits":{"idle_ms":1000}"#).await;
        let link = ImpairedLink::start("127.0.111.20", fixture.quic_address, 3).await;
        let client = Http3Client::connect(link.address, &fixture.config, None).await.unwrap();
        client.get_small_object(1, 1_500).await.unwrap();
        let token = client.session.borrow().clone();
        fixture.fleet.work_ms.set(400);
        let client = Rc::new(client);
        let interrupted = spawn_local({
            let client = client.clone();
            async move { client.put_ad_post(50, 4_000).await }
        });
        wait_until("the ad-post reaches a cache", || fixture.execution_count(50) == 1).await;
        link.down.set(true);
        // One retry on a new connection while the ad-post runs, and another after it has completed.
        let reconnected =
            Http3Client::connect(fixture.quic_address, &fixture.config, token.clone()).await.unwrap();
        let response = reconnected.put_ad_post(50, 4_000).await.unwrap();
        assert_eq!((response.status, fixture.execution_count(50)), (200, 1));
        let response = reconnected.put_ad_post(50, 4_000).await.unwrap();
        assert_eq!((response.status, fixture.execution_count(50)), (200, 1));
        assert!(interrupted.await.unwrap().is_none(), "the first connection was lost");
        wait_until("the connection is counted as lost", || fixture.metric("connections_lost_total") == 1)
            .await;
        // The link fails while the ad-post runs, and the client retries over TCP after it has completed.
        link.down.set(false);
        let disconnecting = Http3Client::connect(link.address, &fixture.config, token.clone()).await.unwrap();
        let interrupted = spawn_local(async move { disconnecting.put_ad_post(51, 4_000).await });
        wait_until("the ad-post reaches a cache", || fixture.execution_count(51) == 1).await;
        link.down.set(true);
        assert!(interrupted.await.unwrap().is_none());
        let mut stream = TcpStream::connect(fixture.tcp_address).await.unwrap();
        let text = format!(
            "PUT /ops/ad-post/{0:016x} HTTP/1.1\r\nHost: e\r\nX-Call-Id: {0:016x}\r\nX-Patience-Ms: 4000\r\n\
             X-Dedupe-Key: k{0:x}\r\nX-Session: {1}\r\nContent-Length: 2\r\nConnection: close\r\n\r\nad",
            51,
            token.clone().unwrap()
        );
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("the bytes"), "{response}");
        assert_eq!(fixture.execution_count(51), 1, "the ad-post was executed once");
        // Over TCP only: the first connection is closed while the ad-post runs, and a second one retries.
        for _ in 0..2 {
            let mut stream = TcpStream::connect(fixture.tcp_address).await.unwrap();
            // The same request with the id 52 (0x34) instead of 51 (0x33).
            let text = text.replace("0000000000000033", "0000000000000034").replace("k33", "k34");
            stream.write_all(text.as_bytes()).await.unwrap();
            wait_until("the request reaches a cache", || fixture.execution_count(52) == 1).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(fixture.execution_count(52), 1);
    });
}

/// Guards against executing a write again that was rejected after it may have run, once endpoints no longer drop
/// repeats by its idempotency key.
#[test]
fn a_rejected_ad_post_that_may_have_run_is_not_executed_again_after_its_key_window() {
    /// The example configuration's `windowUs` of ad-posts, and the tolerance of time limits on sockets.
    const KEY_WINDOW_MS: f64 = 2_050.0;
    run(async {
        let fixture = Fixture::start(148, "http3-rejected-post", "").await;
        fixture.fleet.fails.set(true);
        let client = fixture.client().await;
        assert_eq!(client.put_ad_post(70, 1_000).await.unwrap().status, 503, "it ran and failed");
        let first_ms = fixture.fleet.arrivals.borrow().first().unwrap().1;
        let executions = fixture.execution_count(70);
        assert_eq!(client.put_ad_post(70, 1_000).await.unwrap().status, 503, "a retry within the key window");
        let executions_in_window = fixture.execution_count(70);
        assert!(executions >= 1 && executions_in_window > executions, "the retry was not executed");
        let remaining_ms = first_ms + KEY_WINDOW_MS - unix_ms();
        assert!(remaining_ms > 0.0, "the retry took longer than the key window");
        tokio::time::sleep(Duration::from_secs_f64(remaining_ms / 1_000.0)).await;
        let late = client.put_ad_post(70, 1_000).await.unwrap();
        assert_eq!((late.status, fixture.execution_count(70)), (502, executions_in_window));
    });
}

#[test]
fn an_interrupted_response_is_resumed_without_a_second_attempt() {
    run(async {
        let fixture = Fixture::start(112, "http3-resume", r#","limits":{"idle_ms":1500}"#).await;
        fixture.fleet.part_bytes.set(230_000);
        let link = ImpairedLink::start("127.0.112.20", fixture.quic_address, 3).await;
        link.bytes_per_second.set(400_000.0);
        let client = Http3Client::connect(link.address, &fixture.config, None).await.unwrap();
        let first = client.request_prefix("GET", LARGE_PATH, &LARGE_HEADERS, b"", 60_000).await.unwrap();
        let received = first.body.len();
        assert!((60_000..230_000).contains(&received), "{received} bytes");
        link.down.set(true);
        let token = client.session.borrow().clone();
        let reconnected = Http3Client::connect(fixture.quic_address, &fixture.config, token).await.unwrap();
        let range = format!("bytes={received}-");
        let headers = [
            LARGE_HEADERS[0],
            LARGE_HEADERS[1],
            ("range", &range),
            ("if-range", first.header("etag").unwrap()),
        ];
        let rest = reconnected.request("GET", LARGE_PATH, &headers, b"").await.unwrap();
        assert_eq!(rest.status, 206);
        assert_eq!(
            [first.body, rest.body].concat(),
            large_body(230_000),
            "the two parts are the complete response"
        );
        assert_eq!(fixture.fleet.arrivals.borrow().len(), 1, "the remaining range caused a second attempt");
    });
}

#[test]
fn reads_are_cancelled_when_the_client_closes_the_connection_and_not_when_it_is_lost() {
    run(async {
        let fixture =
            Fixture::start(113, "http3-cancel", r#","limits":{"idle_ms":1000},"shelf":{"linger_ms":200}"#)
                .await;
        fixture.fleet.work_ms.set(600);
        let client = Rc::new(fixture.client().await);
        let pending = spawn_local({
            let client = client.clone();
            async move { client.get_small_object(60, 4_000).await }
        });
        wait_until("the request reaches a cache", || fixture.fleet.arrivals.borrow().len() == 1).await;
        client.connection.close(0x100u32.into(), b"bye");
        assert!(pending.await.unwrap().is_none());
        wait_until("the call is cancelled", || {
            fixture.metric("shelf_called_off_total") == 1 && fixture.fleet.cancelled.get() == 1
        })
        .await;
        // If the connection is lost, the call continues and its response is stored for the client.
        let link = ImpairedLink::start("127.0.113.20", fixture.quic_address, 3).await;
        let client = Http3Client::connect(link.address, &fixture.config, None).await.unwrap();
        fixture.fleet.work_ms.set(1);
        client.get_small_object(61, 4_000).await.unwrap();
        let token = client.session.borrow().clone();
        fixture.fleet.work_ms.set(600);
        let interrupted = spawn_local(async move { client.get_small_object(62, 4_000).await });
        wait_until("the request reaches a cache", || fixture.fleet.arrivals.borrow().len() == 3).await;
        link.down.set(true);
        assert!(interrupted.await.unwrap().is_none());
        let reconnected = Http3Client::connect(fixture.quic_address, &fixture.config, token).await.unwrap();
        assert_eq!(reconnected.get_small_object(62, 4_000).await.unwrap().status, 200);
        assert_eq!((fixture.fleet.arrivals.borrow().len(), fixture.metric("shelf_called_off_total")), (3, 1));
        // If the client does not reconnect, the call is cancelled after `linger_ms`.
        fixture.fleet.work_ms.set(3_500);
        link.down.set(false);
        let client = Http3Client::connect(link.address, &fixture.config, None).await.unwrap();
        let interrupted = spawn_local(async move { client.get_small_object(63, 6_000).await });
        wait_until("the request reaches a cache", || fixture.fleet.arrivals.borrow().len() >= 4).await;
        link.down.set(true);
        drop(interrupted.await.unwrap());
        wait_until("the call is cancelled", || fixture.metric("shelf_called_off_total") == 2).await;
        assert_eq!(fixture.calls.usage().calls, 2, "only the two stored responses remain");
    });
}

/// Guards against a large response delaying small ones on a slow link, and against losing a connection when
/// the client's address changes.
#[test]
fn small_objects_are_not_delayed_by_a_large_response_and_connections_migrate() {
    run(async {
        let fixture =
            Fixture::start(114, "http3-priorities", r#","limits":{"send_bytes":32768,"turn_bytes":4096}"#)
                .await;
        fixture.fleet.part_bytes.set(230_000);
        let link = ImpairedLink::start("127.0.114.20", fixture.quic_address, 3).await;
        let client = Rc::new(Http3Client::connect(link.address, &fixture.config, None).await.unwrap());
        client.get_small_object(1, 1_500).await.unwrap();
        link.bytes_per_second.set(150_000.0);
        let large_response_received_at: Rc<Cell<Option<Instant>>> = Rc::default();
        let large_task = spawn_local({
            let (client, large_response_received_at) = (client.clone(), large_response_received_at.clone());
            async move {
                let response = client
                    .request("GET", LARGE_PATH, &[LARGE_HEADERS[0], ("x-patience-ms", "9000")], b"")
                    .await
                    .unwrap();
                large_response_received_at.set(Some(Instant::now()));
                response
            }
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut elapsed_ms = Vec::new();
        for id in 0..4 {
            let response = client.get_small_object(100 + id, 3_000).await.unwrap();
            assert_eq!(response.status, 200);
            elapsed_ms.push(response.elapsed_ms);
        }
        assert!(
            large_response_received_at.get().is_none(),
            "the large response completed before the small ones, which took {elapsed_ms:?}"
        );
        let response = large_task.await.unwrap();
        assert_eq!((response.status, response.body == large_body(230_000)), (200, true));
        assert!(
            elapsed_ms.iter().all(|ms| *ms < 700.0),
            "a small object waited for the large response: {elapsed_ms:?}"
        );
        // The connection migrates to the client's new address.
        let socket = std::net::UdpSocket::bind("127.0.114.30:0").unwrap();
        client.endpoint.rebind(socket).unwrap();
        assert_eq!(client.get_small_object(200, 3_000).await.unwrap().status, 200);
        assert_eq!(fixture.metric("connections_total"), 1);
    });
}

/// Compares a link with 5 % loss and up to 300 ms of jitter in each direction with a clean one. Guards
/// against late responses and duplicate writes on unreliable networks.
#[test]
fn an_impaired_link_serves_at_least_90_percent_of_the_requests_in_time() {
    run(async {
        let fixture = Fixture::start(115, "http3-impaired", "").await;
        fixture.fleet.part_bytes.set(60_000);
        let link = ImpairedLink::start("127.0.115.20", fixture.quic_address, 17).await;
        let mut shares = Vec::new();
        for (round, (loss_rate, jitter_ms)) in [(0.0, 0.0), (0.05, 300.0)].into_iter().enumerate() {
            link.loss_rate.set(loss_rate);
            link.jitter_ms.set(jitter_ms);
            let served: Rc<Cell<u32>> = Rc::default();
            let total = 6 * 15;
            let tasks: Vec<_> = (0..6u64)
                .map(|client_index| {
                    let (served, address, config) = (served.clone(), link.address, fixture.config.clone());
                    spawn_local(async move {
                        let client = Http3Client::connect(address, &config, None).await.unwrap();
                        for sequence in 0..15u64 {
                            let id = (round as u64 + 1) << 32 | client_index << 16 | sequence;
                            let start = Instant::now();
                            let response = match sequence % 3 {
                                0 => client.put_ad_post(id, 3_000).await,
                                1 => client.get_small_object(id, 3_000).await,
                                _ => {
                                    let text = format!("{id:016x}");
                                    let headers = [("x-call-id", text.as_str()), ("x-patience-ms", "4000")];
                                    client
                                        .request(
                                            "GET",
                                            &format!("/ops/video-part/{text}/slice-1"),
                                            &headers,
                                            b"",
                                        )
                                        .await
                                }
                            };
                            let timeout_ms = if sequence % 3 == 2 { 4_000 } else { 3_000 };
                            let in_time = start.elapsed() < Duration::from_millis(timeout_ms);
                            served.set(
                                served.get()
                                    + u32::from(
                                        in_time && response.is_some_and(|response| response.status == 200),
                                    ),
                            );
                        }
                    })
                })
                .collect();
            for task in tasks {
                task.await.unwrap();
            }
            shares.push(f64::from(served.get()) / f64::from(total));
        }
        assert!(
            link.dropped.get() > 20,
            "{} dropped, {} forwarded",
            link.dropped.get(),
            link.forwarded.get()
        );
        assert_eq!(shares[0], 1.0, "some requests on the clean link were not served in time");
        assert!(shares[1] >= 0.9 * shares[0], "served in time: clean {}, impaired {}", shares[0], shares[1]);
        let keys = fixture.fleet.requests_by_idempotency_key.borrow();
        assert!(
            keys.len() == 60 && keys.values().all(|count| *count == 1),
            "expected 60 ad-posts, each executed once: {keys:?}"
        );
    });
}

#[test]
fn limits_are_enforced_and_shutdown_answers_open_requests() {
    run(async {
        let extra_fields = r#","limits":{"connections":2},"shelf":{"calls":3,"per_session":2}"#;
        let fixture = Fixture::start(116, "http3-limits", extra_fields).await;
        let (first, second) = (Rc::new(fixture.client().await), Rc::new(fixture.client().await));
        assert!(
            Http3Client::connect(fixture.quic_address, &fixture.config, None).await.is_none(),
            "a third connection is rejected"
        );
        assert_eq!(fixture.metric("connections_refused_total"), 1);
        fixture.fleet.work_ms.set(300);
        first.get_small_object(1, 3_000).await.unwrap();
        let request = |client: &Rc<Http3Client>, id| {
            let client = client.clone();
            spawn_local(async move { client.get_small_object(id, 3_000).await })
        };
        let running = [request(&first, 2), request(&first, 3)];
        wait_until("both requests reach a cache", || fixture.fleet.arrivals.borrow().len() == 3).await;
        let response = first.get_small_object(4, 3_000).await.unwrap();
        assert!(
            response.status == 503 && response.header("x-come-back-ms").is_some(),
            "the third call of the session is rejected: {response:?}"
        );
        assert!(response.elapsed_ms < 150.0, "rejected without delay");
        for running in running {
            assert_eq!(running.await.unwrap().unwrap().status, 200);
        }
        // Graceful shutdown: the open request is answered, then the connections are closed.
        let last = request(&second, 5);
        wait_until("the request reaches a cache", || fixture.fleet.arrivals.borrow().len() == 4).await;
        fixture.closing.notify_one();
        fixture.stop.begin();
        assert_eq!(last.await.unwrap().unwrap().status, 200);
        wait_until("all connections are closed", || fixture.stop.open_connections() == 0).await;
        assert!(
            Http3Client::connect(fixture.quic_address, &fixture.config, None).await.is_none(),
            "no new connection is accepted"
        );
    });
}

/// A proxy process with HTTP/3 in front of stand-in caches.
struct Program {
    process: KillOnDrop,
    mgmt: SocketAddr,
    quic_address: SocketAddr,
    config: Http3Config,
    fleet: SlowCacheFleet,
}

impl Program {
    /// Starts the process at `127.0.NET.9` with its files in `dir`.
    async fn start(net: u8, dir: &Path) -> Self {
        let fleet = SlowCacheFleet::start(net, 4, 64, 2).await;
        let ip = format!("127.0.{net}.9");
        let [listen, mgmt] = unused_tcp_addresses(&ip);
        let quic_address = std::net::UdpSocket::bind(format!("{ip}:0")).unwrap().local_addr().unwrap();
        let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
        let config_text = proxy_config_text(&fleet).replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
        std::fs::write(dir.join("config.json"), config_text).unwrap();
        let http3_config_path = write_http3_config(dir, quic_address, "");
        let config = Http3Config::read(&http3_config_path).unwrap();
        let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
        let child = std::process::Command::new(env!("CARGO_BIN_EXE_edge-proxy"))
            .args(["serve", "--config", dir.join("config.json").to_str().unwrap()])
            .args(["--http3", http3_config_path.to_str().unwrap()])
            .stderr(log)
            .spawn();
        let process = KillOnDrop(child.unwrap());
        while TcpStream::connect(listen).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self { process, mgmt, quic_address, config, fleet }
    }
}

#[test]
fn the_program_serves_http3_reloads_certificates_and_stops_gracefully() {
    run(async {
        let dir = test_dir("http3-program");
        let Program { mut process, mgmt, quic_address, config, fleet } = Program::start(117, &dir).await;
        let client = Rc::new(Http3Client::connect(quic_address, &config, None).await.unwrap());
        assert_eq!(client.get_small_object(1, 1_500).await.unwrap().status, 200);
        // SIGHUP loads a new certificate; an invalid one is ignored.
        write_certificate(&dir);
        process.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let token = client.session.borrow().clone();
        let reconnected = Http3Client::connect(quic_address, &config, token)
            .await
            .expect("connection with the new certificate");
        assert_eq!(reconnected.get_small_object(2, 1_500).await.unwrap().status, 200);
        std::fs::write(dir.join("key.pem"), "not a PEM file").unwrap();
        process.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(
            Http3Client::connect(quic_address, &config, None).await.is_some(),
            "the previous certificate stays in use"
        );
        let timeout = Duration::from_secs(2);
        let stats = edge_proxy::http_client::call(mgmt, "GET", "/stats", b"", timeout).await.unwrap();
        assert!(String::from_utf8_lossy(&stats.body).contains("poor_requests_total 2"));
        fleet.work_ms.set(900);
        let slow = spawn_local({
            let client = client.clone();
            async move { client.put_ad_post(9, 3_000).await }
        });
        wait_until("the request reaches a cache", || {
            fleet.requests_by_idempotency_key.borrow().contains_key("k9")
        })
        .await;
        process.signal("-TERM");
        assert_eq!(slow.await.unwrap().unwrap().status, 200, "an open request is answered");
        process.exits_successfully().await;
        let log = std::fs::read_to_string(dir.join("proxy.log")).unwrap();
        assert!(log.contains("configuration not reloaded subsystem=\"HTTP/3\""), "{log}");
    });
}

/// Guards against calls that a stopping process leaves unanswered at the earliest SIGKILL, since their clients wait
/// for longer.
#[test]
fn calls_are_answered_before_the_earliest_sigkill() {
    run(async {
        let dir = test_dir("http3-kill");
        let Program { process, quic_address, config, fleet, .. } = Program::start(118, &dir).await;
        let client = Rc::new(Http3Client::connect(quic_address, &config, None).await.unwrap());
        // Deadlines of 1 s let SIGKILL come 1.7 s after SIGTERM; an attempt times out after 1.2 s.
        let text = std::fs::read_to_string(dir.join("config.json")).unwrap();
        let text = text.replace("Us\": 5000000", "Us\": 1000000").replace("Us\": 3000000", "Us\": 1000000");
        let text = text.replace("\"promiseUs\": 700000", "\"promiseUs\": 1000000");
        std::fs::write(dir.join("config.json"), text).unwrap();
        process.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(client.get_small_object(1, 1_500).await.unwrap().status, 200);
        fleet.work_ms.set(9_000);
        let _stop = PlatformStop::begin(&process.0, Duration::from_secs(1));
        tokio::time::sleep(Duration::from_millis(500)).await;
        let calls: Vec<_> = (2..5)
            .map(|id| {
                let client = client.clone();
                spawn_local(async move { client.put_ad_post(id, 9_000).await })
            })
            .collect();
        for call in calls {
            let status = call.await.unwrap().expect("the call got no answer").status;
            assert!(matches!(status, 502 | 503), "{status}");
        }
    });
}

/// Guards against requests over QUIC that take more memory than the process has for them.
#[test]
fn a_request_that_does_not_fit_into_the_memory_is_rejected_and_later_ones_are_served() {
    run(async {
        let fixture = Fixture::start(149, "http3-memory", "").await;
        let memory = &fixture.server_memory();
        let client = fixture.client().await;
        memory.set_max_bytes(10);
        assert_eq!(client.put_ad_post(80, 1_000).await.unwrap().status, 503);
        assert_eq!((memory.rejected(), fixture.execution_count(80)), (1, 0));
        memory.set_max_bytes(100_000);
        assert_eq!(client.put_ad_post(81, 1_000).await.unwrap().status, 200);
        assert_eq!((memory.used_bytes(), memory.displaced()), (0, 0));
        // A write that goes on without its client keeps its memory until it has ended.
        fixture.fleet.work_ms.set(400);
        let call = fixture.client().await;
        let connection = call.connection.clone();
        let call = spawn_local(async move { call.put_ad_post(82, 4_000).await });
        wait_until("the ad-post reaches a cache", || fixture.execution_count(82) == 1).await;
        connection.close(0x100u32.into(), b"bye");
        assert!(call.await.unwrap().is_none());
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(memory.used_bytes() > 0, "the running write has no memory");
        wait_until("the write has ended", || memory.used_bytes() == 0).await;
    });
}
