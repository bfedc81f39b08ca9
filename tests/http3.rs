//! HTTP/3 on loopback: clients through a relay that loses, delays, reorders, throttles and cuts, and over TCP, before a
//! stand-in fleet that records what reached it and how often.

mod stand_ins;

use edge_proxy::clock::Clock;
use edge_proxy::engine::executor::Executor;
use edge_proxy::http3::call_registry::CallRegistry;
use edge_proxy::http3::config::Http3Config;
use edge_proxy::http3::front::Http3Front;
use edge_proxy::http3::server::{accept as accept_quic, Http3Server};
use edge_proxy::lifecycle::config::Config;
use edge_proxy::lifecycle::engine_setup::engine;
use edge_proxy::wire::cache_connection::CacheDriver;
use edge_proxy::wire::front::{ConnectionLimits, Front};
use edge_proxy::wire::listener::accept;
use edge_proxy::wire::platform::{self, Platform};
use edge_proxy::wire::shutdown::GracefulShutdown;
use stand_ins::http3_client::{write_certificate, Http3Client, ImpairedLink};
use stand_ins::slow_cache_fleet::SlowCacheFleet;
use stand_ins::{folder, run, KillOnDrop};
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
    fleet: SlowCacheFleet,
    config: Http3Config,
    at: SocketAddr,
    tcp: SocketAddr,
    server: Rc<Http3Server>,
    calls: Rc<CallRegistry>,
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
}

fn http3_file(dir: &Path, listen: SocketAddr, more: &str) -> PathBuf {
    write_certificate(dir);
    let file = dir.join("http3.json");
    let text = format!(r#"{{"listen":"{listen}","certificate":"cert.pem","key":"key.pem"{more}}}"#);
    std::fs::write(&file, text).unwrap();
    file
}

fn node_file(fleet: &SlowCacheFleet) -> String {
    let mut text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    for (k, at) in (7101..=7104).enumerate() {
        text = text.replace(&format!("127.0.0.1:{at}"), &fleet.addresses[k].to_string());
    }
    text
}

impl Fixture {
    async fn start(net: u8, name: &str, more: &str) -> Self {
        let dir = folder(name);
        let fleet = SlowCacheFleet::start(net, 4, 256, 2).await;
        std::fs::write(dir.join("config.json"), node_file(&fleet)).unwrap();
        let node = Config::read(&dir.join("config.json")).unwrap();
        let clock = Clock::system();
        let (engine, _) = engine(&node, &clock, 0).unwrap();
        let host = Executor::new(clock, engine, CacheDriver);
        spawn_local(host.clone().run_timers());
        let file = http3_file(&dir, format!("127.0.{net}.9:1").parse().unwrap(), more);
        let config = Http3Config::read(&file).unwrap();
        let quic = config.server_config().unwrap();
        let endpoint = quinn::Endpoint::server(quic, format!("127.0.{net}.9:0").parse().unwrap()).unwrap();
        let at = endpoint.local_addr().unwrap();
        let calls = CallRegistry::new(host.clone(), config.resumable_calls.store_limits());
        let inner: Rc<dyn Front> = Rc::new(Platform::new(platform::limits(64)));
        let limits = ConnectionLimits { idle_ms: 5_000.0, ..platform::limits(64) };
        let front = Rc::new(Http3Front::new(inner, limits, config.session_tokens().unwrap(), calls.clone()));
        let server = Http3Server::new(host.clone(), front.clone(), calls.clone(), config.limits.clone());
        let (stop, closing) = (Rc::new(GracefulShutdown::default()), Rc::new(Notify::new()));
        spawn_local(accept_quic(server.clone(), endpoint, stop.clone(), closing.clone()));
        spawn_local(calls.clone().keep());
        let listener = TcpListener::bind(format!("127.0.{net}.9:0")).await.unwrap();
        let tcp = listener.local_addr().unwrap();
        spawn_local(accept(host.clone(), front, listener, stop.clone(), Rc::new(Notify::new())));
        Self { fleet, config, at, tcp, server, calls, stop, closing }
    }

    async fn client(&self) -> Http3Client {
        Http3Client::connect(self.at, &self.config, None).await.unwrap()
    }

    fn metric(&self, name: &str) -> u64 {
        let text = self.server.metrics();
        text.lines().find_map(|l| l.strip_prefix(&format!("poor_{name} "))?.parse().ok()).unwrap()
    }

    fn key_count(&self, id: u64) -> u32 {
        self.fleet.keys.borrow().get(&format!("k{id:x}")).copied().unwrap_or(0)
    }
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn large_body(n: usize) -> Vec<u8> {
    (0..n).map(|k| (k % 251) as u8).collect()
}

const LARGE: [(&str, &str); 2] = [("x-call-id", "00000000000000c1"), ("x-patience-ms", "4000")];
const LARGE_PATH: &str = "/ops/video-part/7f3a9c21e0b4d655/slice-3";

#[test]
fn requests_are_served_over_http3_with_sessions_and_ranges() {
    run(async {
        let fixture = Fixture::start(110, "http3-serve", "").await;
        fixture.fleet.part_bytes.set(200_000);
        let client = fixture.client().await;
        let response = client.small(1, 1_500).await.unwrap();
        assert_eq!(
            (response.status, &response.body[..], response.header("etag")),
            (200, &b"the bytes"[..], Some("\"t1\""))
        );
        let token = client.session.borrow().clone().expect("a session");
        assert!(client.small(2, 1_500).await.unwrap().header("x-session").is_none(), "sent once");
        assert_eq!(client.session.borrow().as_ref(), Some(&token));
        assert_eq!((client.post(3, 1_500).await.unwrap().status, fixture.key_count(3)), (200, 1));
        let response = client.request("GET", LARGE_PATH, &LARGE, b"").await.unwrap();
        assert_eq!((response.status, response.body == large_body(200_000)), (200, true));
        // A range of the same call's response comes from the store; if the client has another copy, it gets the complete one.
        let with = |range, if_range| [LARGE[0], LARGE[1], ("range", range), ("if-range", if_range)];
        let response =
            client.request("GET", LARGE_PATH, &with("bytes=150000-", "\"t1\""), b"").await.unwrap();
        assert_eq!(
            (response.status, response.header("content-range")),
            (206, Some("bytes 150000-199999/200000"))
        );
        assert_eq!(response.body, large_body(200_000)[150_000..]);
        let response =
            client.request("GET", LARGE_PATH, &with("bytes=150000-", "\"t0\""), b"").await.unwrap();
        assert_eq!((response.status, response.body.len()), (200, 200_000));
        let response =
            client.request("GET", LARGE_PATH, &with("bytes=200000-", "\"t1\""), b"").await.unwrap();
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
            // h3 itself resets a stream whose length is wrong.
            let received_status = response.map_or(400, |g| g.status);
            assert_eq!(received_status, status, "{method} {path} {headers:?}");
        }
        let long = vec![b'x'; 60_000];
        let response =
            client.request("PUT", "/ops/ad-post/0000000000000009", &[id, ("x-dedupe-key", "k")], &long).await;
        assert_eq!(response.unwrap().status, 413);
        let same = client.request(
            "GET",
            "/ops/small-object/00000000000000ff",
            &[("x-call-id", "0000000000000001")],
            b"",
        );
        assert_eq!(same.await.unwrap().status, 409, "another request under a call's id");
        assert_eq!(client.small(10, 1_500).await.unwrap().status, 200);
        // A forged token is not accepted: the client gets a session of its own.
        let other = fixture.client().await;
        *other.session.borrow_mut() = Some(format!("{}AA", &token[..token.len() - 2]));
        assert_eq!(other.post(3, 1_500).await.unwrap().status, 200);
        assert!(other.session.borrow().as_ref() != Some(&token), "it got a session of its own");
        assert_eq!(fixture.key_count(3), 2, "under a session of its own it is a call of its own");
    });
}

/// A link is cut while an ad-post runs, and after it has run: the client retries on a new connection, and the caches get
/// the ad-post once.
#[test]
fn an_ad_post_is_executed_once_over_a_link_that_is_cut() {
    run(async {
        let fixture = Fixture::start(111, "http3-post", r#","limits":{"idle_ms":1000}"#).await;
        let link = ImpairedLink::start("127.0.111.20", fixture.at, 3).await;
        let client = Http3Client::connect(link.address, &fixture.config, None).await.unwrap();
        client.small(1, 1_500).await.unwrap();
        let token = client.session.borrow().clone();
        fixture.fleet.work_ms.set(400);
        let client = Rc::new(client);
        let cut = spawn_local({
            let client = client.clone();
            async move { client.post(50, 4_000).await }
        });
        wait_until("the ad-post reached a cache", || fixture.key_count(50) == 1).await;
        link.cut.set(true);
        // A retry on a new connection while it runs, and another once it has completed.
        let reconnected = Http3Client::connect(fixture.at, &fixture.config, token.clone()).await.unwrap();
        let response = reconnected.post(50, 4_000).await.unwrap();
        assert_eq!((response.status, fixture.key_count(50)), (200, 1));
        let response = reconnected.post(50, 4_000).await.unwrap();
        assert_eq!((response.status, fixture.key_count(50)), (200, 1));
        assert!(cut.await.unwrap().is_none(), "the first connection was lost");
        wait_until("it counts as lost", || fixture.metric("connections_lost_total") == 1).await;
        // No client is connected when it completes: its response is kept, and sent over TCP as well.
        link.cut.set(false);
        let gone = Http3Client::connect(link.address, &fixture.config, token.clone()).await.unwrap();
        let lost = spawn_local(async move { gone.post(51, 4_000).await });
        wait_until("the ad-post reached a cache", || fixture.key_count(51) == 1).await;
        link.cut.set(true);
        assert!(lost.await.unwrap().is_none());
        let mut stream = TcpStream::connect(fixture.tcp).await.unwrap();
        let text = format!(
            "PUT /ops/ad-post/{0:016x} HTTP/1.1\r\nHost: e\r\nX-Call-Id: {0:016x}\r\nX-Patience-Ms: 4000\r\n\
             X-Dedupe-Key: k{0:x}\r\nX-Session: {1}\r\nContent-Length: 2\r\nConnection: close\r\n\r\nad",
            51,
            token.clone().unwrap()
        );
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("the bytes"), "{answer}");
        assert_eq!(fixture.key_count(51), 1, "it ran once");
        // The same over TCP alone: a connection that is closed while it runs, then another.
        for _ in 0..2 {
            let mut stream = TcpStream::connect(fixture.tcp).await.unwrap();
            let text = text.replace("0000000000000033", "0000000000000034").replace("k33", "k34");
            stream.write_all(text.as_bytes()).await.unwrap();
            wait_until("it reached a cache", || fixture.key_count(52) == 1).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(fixture.key_count(52), 1);
    });
}

#[test]
fn an_interrupted_response_is_resumed_without_a_second_attempt() {
    run(async {
        let fixture = Fixture::start(112, "http3-clip", r#","limits":{"idle_ms":1500}"#).await;
        fixture.fleet.part_bytes.set(230_000);
        let link = ImpairedLink::start("127.0.112.20", fixture.at, 3).await;
        link.rate.set(400_000.0);
        let client = Http3Client::connect(link.address, &fixture.config, None).await.unwrap();
        let first = client.request_part("GET", LARGE_PATH, &LARGE, b"", 60_000).await.unwrap();
        let have = first.body.len();
        assert!((60_000..230_000).contains(&have), "{have} bytes");
        link.cut.set(true);
        let token = client.session.borrow().clone();
        let reconnected = Http3Client::connect(fixture.at, &fixture.config, token).await.unwrap();
        let range = format!("bytes={have}-");
        let headers = [LARGE[0], LARGE[1], ("range", &range), ("if-range", first.header("etag").unwrap())];
        let rest = reconnected.request("GET", LARGE_PATH, &headers, b"").await.unwrap();
        assert_eq!(rest.status, 206);
        assert_eq!(
            [first.body, rest.body].concat(),
            large_body(230_000),
            "the two parts are the complete response"
        );
        assert_eq!(fixture.fleet.arrivals.borrow().len(), 1, "no second attempt for the rest");
    });
}

#[test]
fn reads_are_cancelled_when_the_client_closes_and_not_when_it_is_lost() {
    run(async {
        let fixture =
            Fixture::start(113, "http3-off", r#","limits":{"idle_ms":1000},"shelf":{"linger_ms":200}"#).await;
        fixture.fleet.work_ms.set(600);
        let client = Rc::new(fixture.client().await);
        let asked = spawn_local({
            let client = client.clone();
            async move { client.small(60, 4_000).await }
        });
        wait_until("it reached a cache", || fixture.fleet.arrivals.borrow().len() == 1).await;
        client.connection.close(0x100u32.into(), b"bye");
        assert!(asked.await.unwrap().is_none());
        wait_until("it was cancelled", || {
            fixture.metric("shelf_called_off_total") == 1 && fixture.fleet.cancelled.get() == 1
        })
        .await;
        // The connection is lost: the call goes on, and its response is kept for the client.
        let link = ImpairedLink::start("127.0.113.20", fixture.at, 3).await;
        let client = Http3Client::connect(link.address, &fixture.config, None).await.unwrap();
        fixture.fleet.work_ms.set(1);
        client.small(61, 4_000).await.unwrap();
        let token = client.session.borrow().clone();
        fixture.fleet.work_ms.set(600);
        let lost = spawn_local(async move { client.small(62, 4_000).await });
        wait_until("it reached a cache", || fixture.fleet.arrivals.borrow().len() == 3).await;
        link.cut.set(true);
        assert!(lost.await.unwrap().is_none());
        let reconnected = Http3Client::connect(fixture.at, &fixture.config, token).await.unwrap();
        assert_eq!(reconnected.small(62, 4_000).await.unwrap().status, 200);
        assert_eq!((fixture.fleet.arrivals.borrow().len(), fixture.metric("shelf_called_off_total")), (3, 1));
        // The client does not return: the call is cancelled after a while.
        fixture.fleet.work_ms.set(3_500);
        link.cut.set(false);
        let client = Http3Client::connect(link.address, &fixture.config, None).await.unwrap();
        let lost = spawn_local(async move { client.small(63, 6_000).await });
        wait_until("it reached a cache", || fixture.fleet.arrivals.borrow().len() >= 4).await;
        link.cut.set(true);
        drop(lost.await.unwrap());
        wait_until("it was cancelled", || fixture.metric("shelf_called_off_total") == 2).await;
        assert_eq!(fixture.calls.usage().calls, 2, "the two kept responses, and nothing else");
    });
}

/// On a slow link small objects requested during a large response do not wait for it, and a client whose address changes
/// keeps its connection.
#[test]
fn small_objects_overtake_a_large_response_and_an_address_may_change() {
    run(async {
        let fixture =
            Fixture::start(114, "http3-turns", r#","limits":{"send_bytes":32768,"turn_bytes":4096}"#).await;
        fixture.fleet.part_bytes.set(230_000);
        let link = ImpairedLink::start("127.0.114.20", fixture.at, 3).await;
        let client = Rc::new(Http3Client::connect(link.address, &fixture.config, None).await.unwrap());
        client.small(1, 1_500).await.unwrap();
        link.rate.set(150_000.0);
        let done: Rc<Cell<Option<Instant>>> = Rc::default();
        let large_task = spawn_local({
            let (client, done) = (client.clone(), done.clone());
            async move {
                let response = client
                    .request("GET", LARGE_PATH, &[LARGE[0], ("x-patience-ms", "9000")], b"")
                    .await
                    .unwrap();
                done.set(Some(Instant::now()));
                response
            }
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut times = Vec::new();
        for id in 0..4 {
            let response = client.small(100 + id, 3_000).await.unwrap();
            assert_eq!(response.status, 200);
            times.push(response.elapsed_ms);
        }
        assert!(done.get().is_none(), "the large response is not complete: small ones took {times:?}");
        let response = large_task.await.unwrap();
        assert_eq!((response.status, response.body == large_body(230_000)), (200, true));
        assert!(
            times.iter().all(|ms| *ms < 700.0),
            "a small object waited for the large response: {times:?}"
        );
        // The client's address changes: its connection stays.
        let socket = std::net::UdpSocket::bind("127.0.114.30:0").unwrap();
        client.endpoint.rebind(socket).unwrap();
        assert_eq!(client.small(200, 3_000).await.unwrap().status, 200);
        assert_eq!(fixture.metric("connections_total"), 1);
    });
}

/// 5 % loss and up to 300 ms of jitter in each direction, compared with a clean link: the share of requests answered in
/// time stays within a tenth, and every ad-post is executed once.
#[test]
fn service_over_an_impaired_link_stays_within_a_tenth_of_a_clean_one() {
    run(async {
        let fixture = Fixture::start(115, "http3-impaired", "").await;
        fixture.fleet.part_bytes.set(60_000);
        let link = ImpairedLink::start("127.0.115.20", fixture.at, 17).await;
        let mut shares = Vec::new();
        for (round, (loss, jitter)) in [(0.0, 0.0), (0.05, 300.0)].into_iter().enumerate() {
            link.loss.set(loss);
            link.jitter_ms.set(jitter);
            let served: Rc<Cell<u32>> = Rc::default();
            let all = 6 * 15;
            let tasks: Vec<_> = (0..6u64)
                .map(|k| {
                    let (served, at, config) = (served.clone(), link.address, fixture.config.clone());
                    spawn_local(async move {
                        let client = Http3Client::connect(at, &config, None).await.unwrap();
                        for n in 0..15u64 {
                            let id = (round as u64 + 1) << 32 | k << 16 | n;
                            let start = Instant::now();
                            let response = match n % 3 {
                                0 => client.post(id, 3_000).await,
                                1 => client.small(id, 3_000).await,
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
                            let timeout_ms = if n % 3 == 2 { 4_000 } else { 3_000 };
                            let in_time = start.elapsed() < Duration::from_millis(timeout_ms);
                            served.set(
                                served.get()
                                    + u32::from(in_time && response.is_some_and(|g| g.status == 200)),
                            );
                        }
                    })
                })
                .collect();
            for task in tasks {
                task.await.unwrap();
            }
            shares.push(f64::from(served.get()) / f64::from(all));
        }
        assert!(link.lost.get() > 20, "{} of {} lost", link.lost.get(), link.forwarded.get());
        assert_eq!(shares[0], 1.0, "the clean link");
        assert!(shares[1] >= 0.9 * shares[0], "served in time: clean {}, impaired {}", shares[0], shares[1]);
        let keys = fixture.fleet.keys.borrow();
        assert!(
            keys.len() == 60 && keys.values().all(|n| *n == 1),
            "an ad-post was executed twice: {keys:?}"
        );
    });
}

#[test]
fn limits_hold_and_a_stop_answers_open_requests() {
    run(async {
        let more = r#","limits":{"connections":2},"shelf":{"calls":3,"per_session":2}"#;
        let fixture = Fixture::start(116, "http3-bounds", more).await;
        let (one, two) = (Rc::new(fixture.client().await), Rc::new(fixture.client().await));
        assert!(
            Http3Client::connect(fixture.at, &fixture.config, None).await.is_none(),
            "a third connection is rejected"
        );
        assert_eq!(fixture.metric("connections_refused_total"), 1);
        fixture.fleet.work_ms.set(300);
        one.small(1, 3_000).await.unwrap();
        let request = |client: &Rc<Http3Client>, id| {
            let client = client.clone();
            spawn_local(async move { client.small(id, 3_000).await })
        };
        let running = [request(&one, 2), request(&one, 3)];
        wait_until("both run", || fixture.fleet.arrivals.borrow().len() == 3).await;
        let response = one.small(4, 3_000).await.unwrap();
        assert!(
            response.status == 503 && response.header("x-come-back-ms").is_some(),
            "the third call of the session: {response:?}"
        );
        assert!(response.elapsed_ms < 150.0, "rejected at once");
        for running in running {
            assert_eq!(running.await.unwrap().unwrap().status, 200);
        }
        // The stop: an open request is answered, then the connections end.
        let last = request(&two, 5);
        wait_until("it reached a cache", || fixture.fleet.arrivals.borrow().len() == 4).await;
        fixture.closing.notify_one();
        fixture.stop.begin();
        assert_eq!(last.await.unwrap().unwrap().status, 200);
        wait_until("every connection ends", || fixture.stop.open_connections() == 0).await;
        assert!(
            Http3Client::connect(fixture.at, &fixture.config, None).await.is_none(),
            "no new connection is accepted"
        );
    });
}

#[test]
fn the_program_serves_reloads_and_stops() {
    run(async {
        let dir = folder("http3-program");
        let fleet = SlowCacheFleet::start(117, 4, 64, 2).await;
        let free = || std::net::TcpListener::bind("127.0.117.9:0").unwrap().local_addr().unwrap();
        let (listen, mgmt) = (free(), free());
        let at = std::net::UdpSocket::bind("127.0.117.9:0").unwrap().local_addr().unwrap();
        let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
        let node = node_file(&fleet).replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
        std::fs::write(dir.join("config.json"), node).unwrap();
        let file = http3_file(&dir, at, "");
        let config = Http3Config::read(&file).unwrap();
        let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
        let node = dir.join("config.json");
        let args = ["serve", "--config", node.to_str().unwrap(), "--http3", file.to_str().unwrap()];
        let child =
            std::process::Command::new(env!("CARGO_BIN_EXE_edge-proxy")).args(args).stderr(log).spawn();
        let mut program = KillOnDrop(child.unwrap());
        while TcpStream::connect(listen).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let client = Rc::new(Http3Client::connect(at, &config, None).await.unwrap());
        assert_eq!(client.small(1, 1_500).await.unwrap().status, 200);
        // SIGHUP loads another certificate; one that cannot be used changes nothing.
        write_certificate(&dir);
        program.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let token = client.session.borrow().clone();
        let fresh = Http3Client::connect(at, &config, token).await.expect("the new certificate");
        assert_eq!(fresh.small(2, 1_500).await.unwrap().status, 200);
        std::fs::write(dir.join("key.pem"), "no key").unwrap();
        program.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(Http3Client::connect(at, &config, None).await.is_some(), "the previous one stays");
        let within = Duration::from_secs(2);
        let stats = edge_proxy::http_client::call(mgmt, "GET", "/stats", b"", within).await.unwrap();
        assert!(String::from_utf8_lossy(&stats.body).contains("poor_requests_total 2"));
        fleet.work_ms.set(900);
        let slow = spawn_local({
            let client = client.clone();
            async move { client.post(9, 3_000).await }
        });
        wait_until("it reached a cache", || fleet.keys.borrow().contains_key("k9")).await;
        program.signal("-TERM");
        assert_eq!(slow.await.unwrap().unwrap().status, 200, "an open request is answered");
        program.exits_successfully().await;
        let log = std::fs::read_to_string(dir.join("proxy.log")).unwrap();
        assert!(log.contains("configuration not reloaded subsystem=\"HTTP/3\""), "{log}");
    });
}
