//! Admission control in the program itself: a proxy process before a stand-in fleet of fixed capacity, a
//! heavy client sending a hundred times the others' rate, each client from an address of its own.

mod stand_ins;

use stand_ins::slow_box::SlowFleet;
use stand_ins::{folder, run};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::task::spawn_local;

const PROGRAM: &str = env!("CARGO_BIN_EXE_edge-proxy");

/// What a client got: the status, the retry-after time where it was shed, and how long it took.
#[derive(Clone, Copy, Debug)]
struct Got {
    status: u16,
    retry_after_ms: Option<f64>,
    took_ms: f64,
}

/// One request from `from`; `abandon` closes the connection right after writing it.
async fn ask(proxy: SocketAddr, from: IpAddr, id: u64, write: bool, abandon: bool) -> Option<Got> {
    ask_of(proxy, from, id, 0, write, abandon).await
}

/// The same, for an object of `group`.
async fn ask_of(
    proxy: SocketAddr,
    from: IpAddr,
    id: u64,
    group: u32,
    write: bool,
    abandon: bool,
) -> Option<Got> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(SocketAddr::new(from, 0)).ok()?;
    let start = Instant::now();
    let mut stream = socket.connect(proxy).await.ok()?;
    let request = if write {
        format!(
            "PUT /ops/ad-post/{id:016x} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2000\r\n\
             X-Dedupe-Key: k{id}\r\nContent-Length: 2\r\nConnection: close\r\n\r\nad"
        )
    } else {
        format!(
            "GET /ops/small-object/{:016x} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2000\r\n\
             X-Set: {group}\r\nConnection: close\r\n\r\n",
            id % 500
        )
    };
    stream.write_all(request.as_bytes()).await.ok()?;
    if abandon {
        return None;
    }
    let mut bytes = Vec::new();
    tokio::time::timeout(Duration::from_secs(4), stream.read_to_end(&mut bytes)).await.ok()?.ok()?;
    let text = String::from_utf8_lossy(&bytes).to_string();
    let status = text.get(9..12)?.parse().ok()?;
    let retry_after_ms = text
        .lines()
        .find_map(|l| l.strip_prefix("X-Come-Back-Ms: ").or_else(|| l.strip_prefix("x-come-back-ms: ")))
        .and_then(|v| v.trim().parse().ok());
    Some(Got { status, retry_after_ms, took_ms: start.elapsed().as_secs_f64() * 1_000.0 })
}

fn median(mut xs: Vec<f64>) -> f64 {
    xs.sort_by(f64::total_cmp);
    xs[xs.len() / 2]
}

/// When an answer came, for which group, and its status.
type Heard = (Instant, u32, Option<u16>);

/// Call ids, new each time.
#[derive(Clone, Default)]
struct Ids(Rc<Cell<u64>>);

impl Ids {
    fn next(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }
}

struct Proxy(Child);

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A proxy process with admission control before `fleet`, at `127.0.NET.10`; returns it with its two addresses.
async fn proxy(fleet: &SlowFleet, net: u8, name: &str, admission: &str) -> (Proxy, SocketAddr, SocketAddr) {
    let dir = folder(name);
    let ip = format!("127.0.{net}.10");
    let port = |ip: &str| TcpListener::bind(format!("{ip}:0")).unwrap().local_addr().unwrap();
    let (listen, mgmt) = (port(&ip), port(&ip));
    let mut text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    for (k, at) in (7101..=7104).enumerate() {
        text = text.replace(&format!("127.0.0.1:{at}"), &fleet.addresses[k].to_string());
    }
    let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
    let text = text.replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
    std::fs::write(dir.join("config.json"), text).unwrap();
    std::fs::write(dir.join("admission.json"), admission).unwrap();
    let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
    let (config, file) = (dir.join("config.json"), dir.join("admission.json"));
    let args = ["serve", "--config", config.to_str().unwrap(), "--admission", file.to_str().unwrap()];
    let proxy = Proxy(Command::new(PROGRAM).args(args).stderr(Stdio::from(log)).spawn().unwrap());
    for _ in 0..500 {
        if tokio::net::TcpStream::connect(listen).await.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (proxy, listen, mgmt)
}

#[test]
fn a_heavy_client_leaves_other_clients_their_latency_and_its_retry_after_times_are_kept() {
    run(async {
        let fleet = SlowFleet::start(72, 4, 8, 20).await;
        let admission = r#"{"limit":{"first":8,"least":8,"most":8},"reserve_share":0.375,"per_client_most":16,
            "come_back_least_ms":100,"come_back_most_ms":3000}"#;
        let (_proxy, listen, mgmt) = proxy(&fleet, 72, "admission-loopback", admission).await;
        let ids = Ids::default();
        let next = || ids.next();
        // The others: ten clients, each a request every 100 ms.
        let others = |seconds: f64, got: Rc<RefCell<Vec<Got>>>| {
            let ids = ids.clone();
            (0..10u8).map(move |k| {
                let (got, ids) = (got.clone(), ids.clone());
                spawn_local(async move {
                    let from: IpAddr = format!("127.0.73.{}", 10 + k).parse().unwrap();
                    let end = Instant::now() + Duration::from_secs_f64(seconds);
                    while Instant::now() < end {
                        if let Some(answer) = ask(listen, from, ids.next(), false, false).await {
                            got.borrow_mut().push(answer);
                        }
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                })
            })
        };
        let alone: Rc<RefCell<Vec<Got>>> = Rc::default();
        for task in others(3.0, alone.clone()).collect::<Vec<_>>() {
            task.await.unwrap();
        }
        // Now with the heavy client: twenty loops, each a request every 20 ms, a hundred times one other's rate.
        let heavy_got: Rc<RefCell<Vec<Got>>> = Rc::default();
        let heavy_from: IpAddr = "127.0.73.2".parse().unwrap();
        let heavy: Vec<_> = (0..20)
            .map(|_| {
                let (got, ids) = (heavy_got.clone(), ids.clone());
                spawn_local(async move {
                    let end = Instant::now() + Duration::from_secs(4);
                    while Instant::now() < end {
                        let id = ids.next();
                        spawn_local({
                            let got = got.clone();
                            async move {
                                if let Some(answer) = ask(listen, heavy_from, id, false, false).await {
                                    got.borrow_mut().push(answer);
                                }
                            }
                        });
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(500)).await;
        // A client that asks for too much at once is shed with a retry-after time, and retries then,
        // while the heavy client still presses.
        let returner = {
            let ids = ids.clone();
            spawn_local(async move {
                let from: IpAddr = "127.0.73.3".parse().unwrap();
                let burst: Vec<_> =
                    (0..40).map(|_| spawn_local(ask(listen, from, ids.next(), false, false))).collect();
                let mut waits = Vec::new();
                for request in burst {
                    waits.extend(request.await.unwrap().and_then(|g| g.retry_after_ms));
                }
                let wait = waits.iter().copied().fold(0.0, f64::max);
                tokio::time::sleep(Duration::from_secs_f64(wait / 1_000.0)).await;
                let later = ask(listen, from, ids.next(), false, false).await;
                (waits.len(), wait, later)
            })
        };
        let crowded: Rc<RefCell<Vec<Got>>> = Rc::default();
        let tasks: Vec<_> = others(3.0, crowded.clone()).collect();
        // An ad-post of the heavy client, whose queue is full: a final rejection, and never forwarded.
        let mut shed_posts = Vec::new();
        for _ in 0..5 {
            let id = next();
            let got = ask(listen, heavy_from, id, true, false).await.unwrap();
            if got.status == 503 {
                shed_posts.push(id);
            }
            assert!(got.status == 503 || got.status == 200, "{got:?}");
        }
        // Clients that close while they wait: their places are freed.
        let abandoned: Vec<u64> = (0..10).map(|_| next()).collect();
        for id in &abandoned {
            ask(listen, "127.0.73.40".parse().unwrap(), *id, false, true).await;
        }
        for task in tasks {
            task.await.unwrap();
        }
        for task in heavy {
            task.await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (shed, wait, later) = returner.await.unwrap();
        assert!(shed > 0 && wait >= 100.0, "{shed} shed, retry after {wait} ms");
        let later = later.expect("an answer");
        assert_eq!(later.status, 200, "given {wait} ms, it retried and got {later:?}");
        let waits: Vec<f64> = heavy_got.borrow().iter().filter_map(|g| g.retry_after_ms).collect();
        assert!(!waits.is_empty(), "the heavy client was shed with a retry-after time");
        let (alone, crowded) = (alone.borrow().clone(), crowded.borrow().clone());
        assert!(alone.iter().chain(&crowded).all(|g| g.status == 200), "the others were all served");
        let (base, with) = (
            median(alone.iter().map(|g| g.took_ms).collect()),
            median(crowded.iter().map(|g| g.took_ms).collect()),
        );
        let heavy_served = heavy_got.borrow().iter().filter(|g| g.status == 200).count();
        println!("others alone {base:.1} ms, beside the heavy client {with:.1} ms; heavy served {heavy_served} of {}", heavy_got.borrow().len());
        // A fifth of the delay is 5 ms, which a busy machine adds by itself: `examples/admission_heavy.rs` measures that. Here
        // it is told apart from admission control that does not hold, where the others wait behind a queue of a second and more.
        assert!(
            with <= (1.2 * base).max(base + 60.0),
            "the others' median went from {base:.1} ms to {with:.1} ms"
        );
        assert!(heavy_served > 0, "the heavy client still had its share");
        for id in shed_posts {
            assert!(!fleet.seen.borrow().contains(&format!("{id:016x}")), "a shed ad-post was forwarded");
        }
        // Each abandoned request was forwarded before its client disconnected, cancelled in the engine, or dropped in
        // the queue; whichever it was, it holds no place any more.
        let figures =
            edge_proxy::http_client::call(mgmt, "GET", "/stats", b"", Duration::from_secs(2)).await.unwrap();
        let figures = String::from_utf8_lossy(&figures.body).to_string();
        let figure = |name: &str| -> Option<u64> {
            figures.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
        };
        assert_eq!((figure("door_open "), figure("door_queued ")), (Some(0), Some(0)), "{figures}");
        let left = figure("door_left_total ").unwrap_or(0);
        assert!(left <= abandoned.len() as u64, "{figures}");
    });
}

/// A client that closes while its request is queued: its place is free at once, the next request is admitted, and
/// nothing of it is ever forwarded.
#[test]
fn a_request_whose_client_disconnects_in_the_queue_is_never_forwarded() {
    run(async {
        let fleet = SlowFleet::start(78, 4, 8, 600).await;
        let admission = r#"{"limit":{"first":1,"least":1,"most":1},"reserve_share":0}"#;
        let (_proxy, listen, mgmt) = proxy(&fleet, 78, "admission-disconnect", admission).await;
        let figure = |name: &'static str| async move {
            let got = edge_proxy::http_client::call(mgmt, "GET", "/stats", b"", Duration::from_secs(2)).await;
            let text = String::from_utf8_lossy(&got.unwrap().body).to_string();
            text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse::<u64>().ok()).unwrap_or(0)
        };
        let reaches = |name: &'static str, wanted: u64| async move { while figure(name).await != wanted {} };
        let from: IpAddr = "127.0.78.40".parse().unwrap();
        let first = spawn_local(ask(listen, from, 1, false, false));
        reaches("door_open ", 1).await;
        let leaving = spawn_local(ask(listen, from, 2, false, false));
        reaches("door_queued ", 1).await;
        leaving.abort();
        reaches("door_left_total ", 1).await;
        assert_eq!(figure("door_queued ").await, 0);
        let next = spawn_local(ask(listen, from, 3, false, false));
        assert_eq!(first.await.unwrap().unwrap().status, 200);
        assert_eq!(next.await.unwrap().unwrap().status, 200);
        let seen = |id: u64| fleet.seen.borrow().contains(&format!("{id:016x}"));
        assert_eq!([1, 2, 3].map(seen), [true, false, true]);
    });
}

#[test]
fn a_weight_reloaded_by_sighup_holds_within_a_second_and_no_queued_request_is_lost() {
    run(async {
        let fleet = SlowFleet::start(76, 4, 8, 20).await;
        let file = |w: f64| {
            format!(
                r#"{{"limit":{{"first":8,"least":8,"most":8}},"reserve_share":0,"tenants":[{{"groups":[1],"weight":{w}}}]}}"#
            )
        };
        let (proxy, listen, _) = proxy(&fleet, 76, "admission-reload", &file(1.0)).await;
        let ids = Ids::default();
        // Two tenants, 24 clients each, every client with one request out at all times: more than either is ever let in,
        // so that the queues decide, whatever a client takes to come again.
        let got: Rc<RefCell<Vec<Heard>>> = Rc::default();
        let end = Instant::now() + Duration::from_secs(4);
        let loops: Vec<_> = (0..48u8)
            .map(|k| {
                let (got, ids) = (got.clone(), ids.clone());
                spawn_local(async move {
                    let group = 1 + u32::from(k % 2);
                    let from: IpAddr = format!("127.0.77.{}", 10 + k).parse().unwrap();
                    while Instant::now() < end {
                        let answer = ask_of(listen, from, ids.next(), group, false, false).await;
                        got.borrow_mut().push((Instant::now(), group, answer.map(|g| g.status)));
                    }
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        std::fs::write(folder("admission-reload").join("admission.json"), file(3.0)).unwrap();
        assert!(Command::new("kill").args(["-HUP", &proxy.0.id().to_string()]).status().unwrap().success());
        let reweighed = Instant::now();
        for task in loops {
            task.await.unwrap();
        }
        let got = got.borrow();
        let share = |from: Instant, to: Instant| {
            let served = |group| {
                got.iter()
                    .filter(|(at, g, s)| *at >= from && *at < to && *g == group && *s == Some(200))
                    .count()
            };
            (served(1), served(2))
        };
        let before = share(reweighed - Duration::from_millis(1_000), reweighed);
        let after = share(reweighed + Duration::from_millis(200), reweighed + Duration::from_millis(1_200));
        println!("served before {before:?}, after {after:?}");
        let ratio = |(a, b): (usize, usize)| a as f64 / b.max(1) as f64;
        assert!((0.7..1.4).contains(&ratio(before)), "even shares before: {before:?}");
        assert!(ratio(after) > 2.2, "three to one within a second: {after:?}");
        assert!(got.iter().all(|(_, _, status)| status.is_some()), "every request had its answer");
        let log = std::fs::read_to_string(folder("admission-reload").join("proxy.log")).unwrap();
        assert!(log.contains("configuration reloaded subsystem=\"admission\""), "{log}");
    });
}
