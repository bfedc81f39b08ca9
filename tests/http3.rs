//! The edge for poor links on loopback: devices over HTTP/3 through a relay that loses, delays, reorders, slows and
//! cuts, and over TCP, before a stand-in fleet that notes what reached it and how often.

mod stand_ins;

use edge_proxy::clock::Clock;
use edge_proxy::engine::executor::Executor;
use edge_proxy::http3::call_registry::CallRegistry;
use edge_proxy::http3::config::Http3Config;
use edge_proxy::http3::front::Http3Front;
use edge_proxy::http3::server::{self, Driver};
use edge_proxy::lifecycle::config::Config;
use edge_proxy::lifecycle::engine_setup::engine;
use edge_proxy::wire::cache_connection::CacheDriver;
use edge_proxy::wire::front::{ConnectionLimits, Front};
use edge_proxy::wire::listener::accept;
use edge_proxy::wire::platform::{self, Platform};
use edge_proxy::wire::shutdown::GracefulShutdown;
use stand_ins::device::{certify, Device, Impaired};
use stand_ins::slow_box::SlowFleet;
use stand_ins::{folder, run, Killed};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

struct Edge {
    fleet: SlowFleet,
    config: Http3Config,
    at: SocketAddr,
    tcp: SocketAddr,
    driver: Rc<Driver>,
    keeper: Rc<CallRegistry>,
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
}

fn poor_file(dir: &Path, listen: SocketAddr, more: &str) -> PathBuf {
    certify(dir);
    let file = dir.join("poor.json");
    let text = format!(r#"{{"listen":"{listen}","certificate":"cert.pem","key":"key.pem"{more}}}"#);
    std::fs::write(&file, text).unwrap();
    file
}

fn node_file(fleet: &SlowFleet) -> String {
    let mut text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    for (k, at) in (7101..=7104).enumerate() {
        text = text.replace(&format!("127.0.0.1:{at}"), &fleet.addresses[k].to_string());
    }
    text
}

impl Edge {
    async fn start(net: u8, name: &str, more: &str) -> Self {
        let dir = folder(name);
        let fleet = SlowFleet::start(net, 4, 256, 2).await;
        std::fs::write(dir.join("config.json"), node_file(&fleet)).unwrap();
        let node = Config::read(&dir.join("config.json")).unwrap();
        let clock = Clock::system();
        let (engine, _) = engine(&node, &clock, 0).unwrap();
        let host = Executor::new(clock, engine, CacheDriver);
        spawn_local(host.clone().run_timers());
        let file = poor_file(&dir, format!("127.0.{net}.9:1").parse().unwrap(), more);
        let config = Http3Config::read(&file).unwrap();
        let server = server::server_config(&config).unwrap();
        let endpoint = quinn::Endpoint::server(server, format!("127.0.{net}.9:0").parse().unwrap()).unwrap();
        let at = endpoint.local_addr().unwrap();
        let keeper = CallRegistry::new(host.clone(), config.shelf());
        let inner: Rc<dyn Front> = Rc::new(Platform::new(platform::limits(64)));
        let limits = ConnectionLimits { idle_ms: 5_000.0, ..platform::limits(64) };
        let front = Rc::new(Http3Front::new(inner, limits, config.sessions().unwrap(), keeper.clone()));
        let driver = Driver::new(host.clone(), front.clone(), keeper.clone(), config.limits.clone());
        let (stop, closing) = (Rc::new(GracefulShutdown::default()), Rc::new(Notify::new()));
        spawn_local(server::accept(driver.clone(), endpoint, stop.clone(), closing.clone()));
        spawn_local(keeper.clone().keep());
        let listener = TcpListener::bind(format!("127.0.{net}.9:0")).await.unwrap();
        let tcp = listener.local_addr().unwrap();
        spawn_local(accept(host.clone(), front, listener, stop.clone(), Rc::new(Notify::new())));
        Self { fleet, config, at, tcp, driver, keeper, stop, closing }
    }

    async fn device(&self) -> Device {
        Device::connect(self.at, &self.config, None).await.unwrap()
    }

    fn figure(&self, name: &str) -> u64 {
        let text = self.driver.metrics();
        text.lines().find_map(|l| l.strip_prefix(&format!("poor_{name} "))?.parse().ok()).unwrap()
    }

    fn key_count(&self, id: u64) -> u32 {
        self.fleet.keys.borrow().get(&format!("k{id:x}")).copied().unwrap_or(0)
    }
}

async fn soon(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn clip(n: usize) -> Vec<u8> {
    (0..n).map(|k| (k % 251) as u8).collect()
}

const CLIP: [(&str, &str); 2] = [("x-call-id", "00000000000000c1"), ("x-patience-ms", "4000")];
const CLIP_PATH: &str = "/ops/video-part/7f3a9c21e0b4d655/slice-3";

#[test]
fn requests_are_served_over_http3_with_sessions_and_ranges() {
    run(async {
        let edge = Edge::start(110, "poor-serve", "").await;
        edge.fleet.part_bytes.set(200_000);
        let device = edge.device().await;
        let got = device.small(1, 1_500).await.unwrap();
        assert_eq!((got.status, &got.body[..], got.header("etag")), (200, &b"the bytes"[..], Some("\"t1\"")));
        let token = device.session.borrow().clone().expect("a session");
        assert!(device.small(2, 1_500).await.unwrap().header("x-session").is_none(), "told once");
        assert_eq!(device.session.borrow().as_ref(), Some(&token));
        assert_eq!((device.post(3, 1_500).await.unwrap().status, edge.key_count(3)), (200, 1));
        let got = device.ask("GET", CLIP_PATH, &CLIP, b"").await.unwrap();
        assert_eq!((got.status, got.body == clip(200_000)), (200, true));
        // A part of the same call's answer comes from the shelf; another copy than the one known comes whole.
        let with = |range, if_range| [CLIP[0], CLIP[1], ("range", range), ("if-range", if_range)];
        let got = device.ask("GET", CLIP_PATH, &with("bytes=150000-", "\"t1\""), b"").await.unwrap();
        assert_eq!((got.status, got.header("content-range")), (206, Some("bytes 150000-199999/200000")));
        assert_eq!(got.body, clip(200_000)[150_000..]);
        let got = device.ask("GET", CLIP_PATH, &with("bytes=150000-", "\"t0\""), b"").await.unwrap();
        assert_eq!((got.status, got.body.len()), (200, 200_000));
        let got = device.ask("GET", CLIP_PATH, &with("bytes=200000-", "\"t1\""), b"").await.unwrap();
        assert_eq!((got.status, got.header("content-range")), (416, Some("bytes */200000")));
        assert_eq!((edge.figure("shelf_taken_total"), edge.figure("shelf_answered_total")), (4, 3));
        // What can't be used is refused, and the connection stays.
        let id = ("x-call-id", "0000000000000009");
        for (method, path, headers, body, status) in [
            ("GET", "/nothing", vec![id], &b""[..], 404),
            ("POST", "/ops/small-object/0000000000000009", vec![id], b"", 405),
            ("GET", "/ops/small-object/0000000000000009", vec![], b"", 400),
            ("GET", "/ops/small-object/0000000000000009", vec![id, ("content-length", "7")], b"", 400),
            ("PUT", "/ops/ad-post/0000000000000009", vec![id], b"ad", 400),
        ] {
            let got = device.ask(method, path, &headers, body).await;
            // h3 itself ends a stream whose length is a lie.
            let status_got = got.map_or(400, |g| g.status);
            assert_eq!(status_got, status, "{method} {path} {headers:?}");
        }
        let long = vec![b'x'; 60_000];
        let got =
            device.ask("PUT", "/ops/ad-post/0000000000000009", &[id, ("x-dedupe-key", "k")], &long).await;
        assert_eq!(got.unwrap().status, 413);
        let same = device.ask(
            "GET",
            "/ops/small-object/00000000000000ff",
            &[("x-call-id", "0000000000000001")],
            b"",
        );
        assert_eq!(same.await.unwrap().status, 409, "another request under a call's id");
        assert_eq!(device.small(10, 1_500).await.unwrap().status, 200);
        // A forged session opens nothing: its calls are its own.
        let other = edge.device().await;
        *other.session.borrow_mut() = Some(format!("{}AA", &token[..token.len() - 2]));
        assert_eq!(other.post(3, 1_500).await.unwrap().status, 200);
        assert!(other.session.borrow().as_ref() != Some(&token), "it got a session of its own");
        assert_eq!(edge.key_count(3), 2, "under a session of its own it is a call of its own");
    });
}

/// A link that is cut while an ad-post runs, and after it has run: the device asks again on a new connection, and the
/// boxes hear of it once.
#[test]
fn an_ad_post_runs_once_over_a_link_that_drops() {
    run(async {
        let edge = Edge::start(111, "poor-post", r#","limits":{"idle_ms":1000}"#).await;
        let link = Impaired::start("127.0.111.20", edge.at, 3).await;
        let device = Device::connect(link.address, &edge.config, None).await.unwrap();
        device.small(1, 1_500).await.unwrap();
        let token = device.session.borrow().clone();
        edge.fleet.work_ms.set(400);
        let device = Rc::new(device);
        let cut = spawn_local({
            let device = device.clone();
            async move { device.post(50, 4_000).await }
        });
        soon("the ad-post reached a box", || edge.key_count(50) == 1).await;
        link.cut.set(true);
        // On a new path, while it runs, and again once it has its answer.
        let again = Device::connect(edge.at, &edge.config, token.clone()).await.unwrap();
        let got = again.post(50, 4_000).await.unwrap();
        assert_eq!((got.status, edge.key_count(50)), (200, 1));
        let got = again.post(50, 4_000).await.unwrap();
        assert_eq!((got.status, edge.key_count(50)), (200, 1));
        assert!(cut.await.unwrap().is_none(), "the first connection was lost");
        soon("it counts as lost", || edge.figure("connections_lost_total") == 1).await;
        // Nobody there when it ends: its answer waits for the device, and comes over TCP as well.
        link.cut.set(false);
        let gone = Device::connect(link.address, &edge.config, token.clone()).await.unwrap();
        let lost = spawn_local(async move { gone.post(51, 4_000).await });
        soon("the ad-post reached a box", || edge.key_count(51) == 1).await;
        link.cut.set(true);
        assert!(lost.await.unwrap().is_none());
        let mut stream = TcpStream::connect(edge.tcp).await.unwrap();
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
        assert_eq!(edge.key_count(51), 1, "it ran once");
        // The same over TCP alone: a connection that goes while it runs, then another.
        for _ in 0..2 {
            let mut stream = TcpStream::connect(edge.tcp).await.unwrap();
            let text = text.replace("0000000000000033", "0000000000000034").replace("k33", "k34");
            stream.write_all(text.as_bytes()).await.unwrap();
            soon("it reached a box", || edge.key_count(52) == 1).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(edge.key_count(52), 1);
    });
}

#[test]
fn a_clip_goes_on_where_it_stopped_and_its_boxes_are_asked_once() {
    run(async {
        let edge = Edge::start(112, "poor-clip", r#","limits":{"idle_ms":1500}"#).await;
        edge.fleet.part_bytes.set(230_000);
        let link = Impaired::start("127.0.112.20", edge.at, 3).await;
        link.rate.set(400_000.0);
        let device = Device::connect(link.address, &edge.config, None).await.unwrap();
        let first = device.ask_some("GET", CLIP_PATH, &CLIP, b"", 60_000).await.unwrap();
        let have = first.body.len();
        assert!((60_000..230_000).contains(&have), "{have} bytes");
        link.cut.set(true);
        let token = device.session.borrow().clone();
        let again = Device::connect(edge.at, &edge.config, token).await.unwrap();
        let range = format!("bytes={have}-");
        let headers = [CLIP[0], CLIP[1], ("range", &range), ("if-range", first.header("etag").unwrap())];
        let rest = again.ask("GET", CLIP_PATH, &headers, b"").await.unwrap();
        assert_eq!(rest.status, 206);
        assert_eq!([first.body, rest.body].concat(), clip(230_000), "the two parts make the whole");
        assert_eq!(edge.fleet.arrivals.borrow().len(), 1, "no second attempt for the rest");
    });
}

#[test]
fn a_device_that_says_so_calls_its_reads_off_and_one_that_is_lost_does_not() {
    run(async {
        let edge =
            Edge::start(113, "poor-off", r#","limits":{"idle_ms":1000},"shelf":{"linger_ms":200}"#).await;
        edge.fleet.work_ms.set(600);
        let device = Rc::new(edge.device().await);
        let asked = spawn_local({
            let device = device.clone();
            async move { device.small(60, 4_000).await }
        });
        soon("it reached a box", || edge.fleet.arrivals.borrow().len() == 1).await;
        device.connection.close(0x100u32.into(), b"bye");
        assert!(asked.await.unwrap().is_none());
        soon("it was called off", || {
            edge.figure("shelf_called_off_total") == 1 && edge.fleet.dropped.get() == 1
        })
        .await;
        // Lost: it runs on, and its answer is there for the device.
        let link = Impaired::start("127.0.113.20", edge.at, 3).await;
        let device = Device::connect(link.address, &edge.config, None).await.unwrap();
        edge.fleet.work_ms.set(1);
        device.small(61, 4_000).await.unwrap();
        let token = device.session.borrow().clone();
        edge.fleet.work_ms.set(600);
        let lost = spawn_local(async move { device.small(62, 4_000).await });
        soon("it reached a box", || edge.fleet.arrivals.borrow().len() == 3).await;
        link.cut.set(true);
        assert!(lost.await.unwrap().is_none());
        let again = Device::connect(edge.at, &edge.config, token).await.unwrap();
        assert_eq!(again.small(62, 4_000).await.unwrap().status, 200);
        assert_eq!((edge.fleet.arrivals.borrow().len(), edge.figure("shelf_called_off_total")), (3, 1));
        // Lost for good: called off after its time.
        edge.fleet.work_ms.set(3_500);
        link.cut.set(false);
        let device = Device::connect(link.address, &edge.config, None).await.unwrap();
        let lost = spawn_local(async move { device.small(63, 6_000).await });
        soon("it reached a box", || edge.fleet.arrivals.borrow().len() >= 4).await;
        link.cut.set(true);
        drop(lost.await.unwrap());
        soon("it was called off", || edge.figure("shelf_called_off_total") == 2).await;
        assert_eq!(edge.keeper.figures().1, 2, "the two answers that are kept, and nothing else");
    });
}

/// On a slow link the small objects asked for while a clip comes do not wait for it, and a device whose address
/// changes keeps its connection.
#[test]
fn small_objects_pass_a_clip_and_an_address_may_change() {
    run(async {
        let edge =
            Edge::start(114, "poor-turns", r#","limits":{"send_bytes":32768,"turn_bytes":4096}"#).await;
        edge.fleet.part_bytes.set(230_000);
        let link = Impaired::start("127.0.114.20", edge.at, 3).await;
        let device = Rc::new(Device::connect(link.address, &edge.config, None).await.unwrap());
        device.small(1, 1_500).await.unwrap();
        link.rate.set(150_000.0);
        let done: Rc<Cell<Option<Instant>>> = Rc::default();
        let clip_task = spawn_local({
            let (device, done) = (device.clone(), done.clone());
            async move {
                let got =
                    device.ask("GET", CLIP_PATH, &[CLIP[0], ("x-patience-ms", "9000")], b"").await.unwrap();
                done.set(Some(Instant::now()));
                got
            }
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut times = Vec::new();
        for id in 0..4 {
            let got = device.small(100 + id, 3_000).await.unwrap();
            assert_eq!(got.status, 200);
            times.push(got.took_ms);
        }
        assert!(done.get().is_none(), "the clip is still coming: small ones took {times:?}");
        let got = clip_task.await.unwrap();
        assert_eq!((got.status, got.body == clip(230_000)), (200, true));
        assert!(times.iter().all(|ms| *ms < 700.0), "a small object waited for the clip: {times:?}");
        // The device's address changes: its connection goes on.
        let socket = std::net::UdpSocket::bind("127.0.114.30:0").unwrap();
        device.endpoint.rebind(socket).unwrap();
        assert_eq!(device.small(200, 3_000).await.unwrap().status, 200);
        assert_eq!(edge.figure("connections_total"), 1);
    });
}

/// 5 % loss and up to 300 ms of jitter each way, against the clean link: the share of requests answered in their
/// patience stays within a tenth, and every ad-post runs once.
#[test]
fn service_over_a_poor_link_stays_within_a_tenth_of_a_clean_one() {
    run(async {
        let edge = Edge::start(115, "poor-impaired", "").await;
        edge.fleet.part_bytes.set(60_000);
        let link = Impaired::start("127.0.115.20", edge.at, 17).await;
        let mut shares = Vec::new();
        for (round, (loss, jitter)) in [(0.0, 0.0), (0.05, 300.0)].into_iter().enumerate() {
            link.loss.set(loss);
            link.jitter_ms.set(jitter);
            let served: Rc<Cell<u32>> = Rc::default();
            let all = 6 * 15;
            let tasks: Vec<_> = (0..6u64)
                .map(|k| {
                    let (served, at, config) = (served.clone(), link.address, edge.config.clone());
                    spawn_local(async move {
                        let device = Device::connect(at, &config, None).await.unwrap();
                        for n in 0..15u64 {
                            let id = (round as u64 + 1) << 32 | k << 16 | n;
                            let start = Instant::now();
                            let got = match n % 3 {
                                0 => device.post(id, 3_000).await,
                                1 => device.small(id, 3_000).await,
                                _ => {
                                    let text = format!("{id:016x}");
                                    let headers = [("x-call-id", text.as_str()), ("x-patience-ms", "4000")];
                                    device
                                        .ask("GET", &format!("/ops/video-part/{text}/slice-1"), &headers, b"")
                                        .await
                                }
                            };
                            let patience = if n % 3 == 2 { 4_000 } else { 3_000 };
                            let in_time = start.elapsed() < Duration::from_millis(patience);
                            served.set(
                                served.get() + u32::from(in_time && got.is_some_and(|g| g.status == 200)),
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
        assert!(link.lost.get() > 20, "{} of {} lost", link.lost.get(), link.passed.get());
        assert_eq!(shares[0], 1.0, "the clean link");
        assert!(shares[1] >= 0.9 * shares[0], "served in time: clean {}, poor {}", shares[0], shares[1]);
        let keys = edge.fleet.keys.borrow();
        assert!(keys.len() == 60 && keys.values().all(|n| *n == 1), "an ad-post ran twice: {keys:?}");
    });
}

#[test]
fn bounds_hold_and_a_stop_answers_what_was_taken() {
    run(async {
        let more = r#","limits":{"connections":2},"shelf":{"calls":3,"per_session":2}"#;
        let edge = Edge::start(116, "poor-bounds", more).await;
        let (one, two) = (Rc::new(edge.device().await), Rc::new(edge.device().await));
        assert!(
            Device::connect(edge.at, &edge.config, None).await.is_none(),
            "a third connection is refused"
        );
        assert_eq!(edge.figure("connections_refused_total"), 1);
        edge.fleet.work_ms.set(300);
        one.small(1, 3_000).await.unwrap();
        let ask = |device: &Rc<Device>, id| {
            let device = device.clone();
            spawn_local(async move { device.small(id, 3_000).await })
        };
        let running = [ask(&one, 2), ask(&one, 3)];
        soon("both run", || edge.fleet.arrivals.borrow().len() == 3).await;
        let got = one.small(4, 3_000).await.unwrap();
        assert!(got.status == 503 && got.header("x-come-back-ms").is_some(), "the session's third: {got:?}");
        assert!(got.took_ms < 150.0, "refused at once");
        for running in running {
            assert_eq!(running.await.unwrap().unwrap().status, 200);
        }
        // The stop: a request under way has its answer, then the connections end.
        let last = ask(&two, 5);
        soon("it reached a box", || edge.fleet.arrivals.borrow().len() == 4).await;
        edge.closing.notify_one();
        edge.stop.begin();
        assert_eq!(last.await.unwrap().unwrap().status, 200);
        soon("every connection ends", || edge.stop.open_connections() == 0).await;
        assert!(Device::connect(edge.at, &edge.config, None).await.is_none(), "nobody new is taken");
    });
}

#[test]
fn the_program_serves_reloads_and_stops() {
    run(async {
        let dir = folder("poor-program");
        let fleet = SlowFleet::start(117, 4, 64, 2).await;
        let free = || std::net::TcpListener::bind("127.0.117.9:0").unwrap().local_addr().unwrap();
        let (listen, mgmt) = (free(), free());
        let at = std::net::UdpSocket::bind("127.0.117.9:0").unwrap().local_addr().unwrap();
        let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
        let node = node_file(&fleet).replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
        std::fs::write(dir.join("config.json"), node).unwrap();
        let file = poor_file(&dir, at, "");
        let config = Http3Config::read(&file).unwrap();
        let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
        let node = dir.join("config.json");
        let args = ["serve", "--config", node.to_str().unwrap(), "--http3", file.to_str().unwrap()];
        let child =
            std::process::Command::new(env!("CARGO_BIN_EXE_edge-proxy")).args(args).stderr(log).spawn();
        let mut program = Killed(child.unwrap());
        while TcpStream::connect(listen).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let device = Rc::new(Device::connect(at, &config, None).await.unwrap());
        assert_eq!(device.small(1, 1_500).await.unwrap().status, 200);
        // Another certificate is taken at SIGHUP; one that can't be used changes nothing.
        certify(&dir);
        program.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let token = device.session.borrow().clone();
        let fresh = Device::connect(at, &config, token).await.expect("the new certificate");
        assert_eq!(fresh.small(2, 1_500).await.unwrap().status, 200);
        std::fs::write(dir.join("key.pem"), "no key").unwrap();
        program.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(Device::connect(at, &config, None).await.is_some(), "the one before stays");
        let within = Duration::from_secs(2);
        let stats = edge_proxy::purge::wire::call(mgmt, "GET", "/stats", b"", within).await.unwrap();
        assert!(String::from_utf8_lossy(&stats.body).contains("poor_requests_total 2"));
        fleet.work_ms.set(900);
        let slow = spawn_local({
            let device = device.clone();
            async move { device.post(9, 3_000).await }
        });
        soon("it reached a box", || fleet.keys.borrow().contains_key("k9")).await;
        program.signal("-TERM");
        assert_eq!(slow.await.unwrap().unwrap().status, 200, "what was taken is answered");
        program.ends_well().await;
        let log = std::fs::read_to_string(dir.join("proxy.log")).unwrap();
        assert!(log.contains("configuration not reloaded subsystem=\"HTTP/3\""), "{log}");
    });
}
