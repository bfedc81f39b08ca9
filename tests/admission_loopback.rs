//! End-to-end tests of admission control: a proxy process in front of stand-in caches with a limited
//! capacity, and clients with different addresses, one of which sends 100 times as many requests as each of
//! the others.

mod stand_ins;

use stand_ins::slow_cache_fleet::SlowCacheFleet;
use stand_ins::{run, test_dir, unused_tcp_addresses};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::task::spawn_local;

const PROGRAM: &str = env!("CARGO_BIN_EXE_edge-proxy");

/// The result of a request that got a response.
#[derive(Clone, Copy, Debug)]
struct Response {
    status: u16,
    retry_after_ms: Option<f64>,
    latency_ms: f64,
}

/// Sends an ad-post if `write`, otherwise a read, from the address `from`. If `abandon`, closes the
/// connection after sending and returns `None`.
async fn send_request(
    proxy: SocketAddr,
    from: IpAddr,
    id: u64,
    write: bool,
    abandon: bool,
) -> Option<Response> {
    send_request_in_group(proxy, from, id, 0, write, abandon).await
}

/// Like [`send_request`], with `group` as the group of a requested object.
async fn send_request_in_group(
    proxy: SocketAddr,
    from: IpAddr,
    id: u64,
    group: u32,
    write: bool,
    abandon: bool,
) -> Option<Response> {
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
    send_and_receive(proxy, from, &request, abandon).await
}

/// Sends a request that closes its connection, from the address `from`. If `abandon`, closes the connection after
/// sending and returns `None`.
async fn send_and_receive(proxy: SocketAddr, from: IpAddr, request: &str, abandon: bool) -> Option<Response> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(SocketAddr::new(from, 0)).ok()?;
    let start = Instant::now();
    let mut stream = socket.connect(proxy).await.ok()?;
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
    Some(Response { status, retry_after_ms, latency_ms: start.elapsed().as_secs_f64() * 1_000.0 })
}

fn median(mut xs: Vec<f64>) -> f64 {
    xs.sort_by(f64::total_cmp);
    xs[xs.len() / 2]
}

/// The time at which a request ended, its group, and its status, or `None` if there was no response.
type GroupResponse = (Instant, u32, Option<u16>);

/// Generates unique request ids.
#[derive(Clone, Default)]
struct RequestIds(Rc<Cell<u64>>);

impl RequestIds {
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

/// Starts a proxy process with admission control in front of `fleet`, at `127.0.NET.10`. Returns it with its
/// listen and management addresses.
async fn start_proxy(
    fleet: &SlowCacheFleet,
    net: u8,
    name: &str,
    admission_json: &str,
) -> (Proxy, SocketAddr, SocketAddr) {
    let dir = test_dir(name);
    let ip = format!("127.0.{net}.10");
    let [listen, mgmt] = unused_tcp_addresses(&ip);
    let mut text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    for (index, port) in (7101..=7104).enumerate() {
        text = text.replace(&format!("127.0.0.1:{port}"), &fleet.addresses[index].to_string());
    }
    let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
    let text = text.replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
    std::fs::write(dir.join("config.json"), text).unwrap();
    std::fs::write(dir.join("admission.json"), admission_json).unwrap();
    let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
    let (config, admission_file) = (dir.join("config.json"), dir.join("admission.json"));
    let args =
        ["serve", "--config", config.to_str().unwrap(), "--admission", admission_file.to_str().unwrap()];
    let proxy = Proxy(Command::new(PROGRAM).args(args).stderr(Stdio::from(log)).spawn().unwrap());
    // The admin address is opened after the platform listener.
    for _ in 0..500 {
        let is_listening = tokio::net::TcpStream::connect(listen).await.is_ok()
            && tokio::net::TcpStream::connect(mgmt).await.is_ok();
        if is_listening {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (proxy, listen, mgmt)
}

/// The value of a metric at a proxy's admin address; 0 if it is not shown.
async fn metric(admin: SocketAddr, name: &str) -> u64 {
    let response = edge_proxy::http_client::call(admin, "GET", "/stats", b"", Duration::from_secs(2)).await;
    let text = String::from_utf8_lossy(&response.unwrap().body).to_string();
    text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok()).unwrap_or(0)
}

#[test]
fn a_heavy_client_does_not_slow_others_and_a_retry_at_the_retry_after_time_is_served() {
    run(async {
        let fleet = SlowCacheFleet::start(72, 4, 8, 20).await;
        let admission = r#"{"limit":{"first":8,"least":8,"most":8},"reserve_share":0.375,"per_client_most":16,
            "come_back_least_ms":100,"come_back_most_ms":3000}"#;
        let (_proxy, listen, mgmt) = start_proxy(&fleet, 72, "admission-loopback", admission).await;
        let ids = RequestIds::default();
        let next_id = || ids.next();
        // Ten light clients, each sending a request every 100 ms.
        let start_light_clients = |seconds: f64, responses: Rc<RefCell<Vec<Response>>>| {
            let ids = ids.clone();
            (0..10u8).map(move |k| {
                let (responses, ids) = (responses.clone(), ids.clone());
                spawn_local(async move {
                    let from: IpAddr = format!("127.0.73.{}", 10 + k).parse().unwrap();
                    let end = Instant::now() + Duration::from_secs_f64(seconds);
                    while Instant::now() < end {
                        if let Some(response) = send_request(listen, from, ids.next(), false, false).await {
                            responses.borrow_mut().push(response);
                        }
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                })
            })
        };
        let without_heavy: Rc<RefCell<Vec<Response>>> = Rc::default();
        for task in start_light_clients(3.0, without_heavy.clone()).collect::<Vec<_>>() {
            task.await.unwrap();
        }
        // The heavy client sends about 1,000 requests per second, 100 times the rate of a light client.
        let heavy_responses: Rc<RefCell<Vec<Response>>> = Rc::default();
        let heavy_from: IpAddr = "127.0.73.2".parse().unwrap();
        let heavy: Vec<_> = (0..20)
            .map(|_| {
                let (responses, ids) = (heavy_responses.clone(), ids.clone());
                spawn_local(async move {
                    let end = Instant::now() + Duration::from_secs(4);
                    while Instant::now() < end {
                        let id = ids.next();
                        spawn_local({
                            let responses = responses.clone();
                            async move {
                                if let Some(response) =
                                    send_request(listen, heavy_from, id, false, false).await
                                {
                                    responses.borrow_mut().push(response);
                                }
                            }
                        });
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(500)).await;
        // Requests of a burst are shed with retry-after times. The client retries after the longest of them,
        // while the heavy client continues to send.
        let retrying_client = {
            let ids = ids.clone();
            spawn_local(async move {
                let from: IpAddr = "127.0.73.3".parse().unwrap();
                let burst: Vec<_> = (0..40)
                    .map(|_| spawn_local(send_request(listen, from, ids.next(), false, false)))
                    .collect();
                let mut retry_after_times = Vec::new();
                for request in burst {
                    retry_after_times
                        .extend(request.await.unwrap().and_then(|response| response.retry_after_ms));
                }
                let max_retry_after_ms = retry_after_times.iter().copied().fold(0.0, f64::max);
                tokio::time::sleep(Duration::from_secs_f64(max_retry_after_ms / 1_000.0)).await;
                let retry_response = send_request(listen, from, ids.next(), false, false).await;
                (retry_after_times.len(), max_retry_after_ms, retry_response)
            })
        };
        let with_heavy: Rc<RefCell<Vec<Response>>> = Rc::default();
        let tasks: Vec<_> = start_light_clients(3.0, with_heavy.clone()).collect();
        // Ad-posts of the heavy client while its queue is full. One that is shed must not be forwarded, as
        // the client may retry it.
        let mut shed_posts = Vec::new();
        for _ in 0..5 {
            let id = next_id();
            let response = send_request(listen, heavy_from, id, true, false).await.unwrap();
            if response.status == 503 {
                shed_posts.push(id);
            }
            assert!(
                response.status == 503 || response.status == 200,
                "unexpected status of an ad-post: {response:?}"
            );
        }
        // Requests whose client disconnects immediately after sending.
        let abandoned: Vec<u64> = (0..10).map(|_| next_id()).collect();
        for id in &abandoned {
            send_request(listen, "127.0.73.40".parse().unwrap(), *id, false, true).await;
        }
        for task in tasks {
            task.await.unwrap();
        }
        for task in heavy {
            task.await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (shed, max_retry_after_ms, retry_response) = retrying_client.await.unwrap();
        assert!(shed > 0 && max_retry_after_ms >= 100.0, "{shed} shed, retry after {max_retry_after_ms} ms");
        let retry_response = retry_response.expect("the retry got no response");
        assert_eq!(retry_response.status, 200, "retry after {max_retry_after_ms} ms: {retry_response:?}");
        let retry_after_times: Vec<f64> =
            heavy_responses.borrow().iter().filter_map(|response| response.retry_after_ms).collect();
        assert!(
            !retry_after_times.is_empty(),
            "no request of the heavy client was shed with a retry-after time"
        );
        let (without_heavy, with_heavy) = (without_heavy.borrow().clone(), with_heavy.borrow().clone());
        assert!(
            without_heavy.iter().chain(&with_heavy).all(|response| response.status == 200),
            "a request of a light client was not served"
        );
        let (median_without_heavy, median_with_heavy) = (
            median(without_heavy.iter().map(|response| response.latency_ms).collect()),
            median(with_heavy.iter().map(|response| response.latency_ms).collect()),
        );
        let heavy_served = heavy_responses.borrow().iter().filter(|response| response.status == 200).count();
        println!(
            "median latency of the light clients: {median_without_heavy:.1} ms alone, \
             {median_with_heavy:.1} ms with the heavy client; heavy client served {heavy_served} of {}",
            heavy_responses.borrow().len()
        );
        // The slack of 60 ms allows for scheduling delays. Without fair queues the light clients would wait
        // for a second or more.
        assert!(
            median_with_heavy <= (1.2 * median_without_heavy).max(median_without_heavy + 60.0),
            "median latency of the light clients rose from {median_without_heavy:.1} ms to \
             {median_with_heavy:.1} ms"
        );
        assert!(heavy_served > 0, "the heavy client was never served");
        for id in shed_posts {
            assert!(
                !fleet.request_ids.borrow().contains(&format!("{id:016x}")),
                "a shed ad-post was forwarded"
            );
        }
        // Abandoned requests were served, cancelled or removed from the queue. None may remain in flight or
        // queued.
        let metrics =
            edge_proxy::http_client::call(mgmt, "GET", "/stats", b"", Duration::from_secs(2)).await.unwrap();
        let metrics = String::from_utf8_lossy(&metrics.body).to_string();
        let metric = |name: &str| -> Option<u64> {
            metrics.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
        };
        assert_eq!((metric("door_open "), metric("door_queued ")), (Some(0), Some(0)), "{metrics}");
        let left = metric("door_left_total ").unwrap_or(0);
        assert!(
            left <= abandoned.len() as u64,
            "more requests are counted as abandoned than were sent: {metrics}"
        );
    });
}

#[test]
fn a_request_whose_client_disconnects_in_the_queue_is_never_forwarded() {
    run(async {
        let fleet = SlowCacheFleet::start(78, 4, 8, 600).await;
        let admission = r#"{"limit":{"first":1,"least":1,"most":1},"reserve_share":0}"#;
        let (_proxy, listen, mgmt) = start_proxy(&fleet, 78, "admission-disconnect", admission).await;
        let wait_until_metric =
            |name: &'static str, expected: u64| async move { while metric(mgmt, name).await != expected {} };
        let from: IpAddr = "127.0.78.40".parse().unwrap();
        let first = spawn_local(send_request(listen, from, 1, false, false));
        wait_until_metric("door_open ", 1).await;
        let disconnecting = spawn_local(send_request(listen, from, 2, false, false));
        wait_until_metric("door_queued ", 1).await;
        disconnecting.abort();
        wait_until_metric("door_left_total ", 1).await;
        assert_eq!(metric(mgmt, "door_queued ").await, 0);
        let following = spawn_local(send_request(listen, from, 3, false, false));
        assert_eq!(first.await.unwrap().unwrap().status, 200);
        assert_eq!(following.await.unwrap().unwrap().status, 200);
        let was_received = |id: u64| fleet.request_ids.borrow().contains(&format!("{id:016x}"));
        assert_eq!(
            [1, 2, 3].map(was_received),
            [true, false, true],
            "only the request whose client disconnected may be missing at the caches"
        );
    });
}

/// Guards against a fair queue that keeps a client at a tenant where it has no request left: the next release
/// panicked, and the response that caused it was lost.
#[test]
fn a_client_that_leaves_the_queues_of_two_tenants_takes_no_other_response_with_it() {
    run(async {
        let fleet = SlowCacheFleet::start(147, 4, 8, 600).await;
        let admission = r#"{"limit":{"first":1,"least":1,"most":1},"reserve_share":0}"#;
        let (_proxy, listen, mgmt) = start_proxy(&fleet, 147, "admission-two-tenants", admission).await;
        let [running, leaving, waiting]: [IpAddr; 3] =
            [40, 41, 42].map(|host| IpAddr::from([127, 0, 147, host]));
        let wait_until_metric =
            |name: &'static str, expected: u64| async move { while metric(mgmt, name).await != expected {} };
        let first = spawn_local(send_request(listen, running, 1, false, false));
        wait_until_metric("door_open ", 1).await;
        let of_first_tenant = spawn_local(send_request_in_group(listen, leaving, 2, 1, false, false));
        wait_until_metric("door_queued ", 1).await;
        let of_second_tenant = spawn_local(send_request_in_group(listen, leaving, 3, 2, false, false));
        wait_until_metric("door_queued ", 2).await;
        let last = spawn_local(send_request_in_group(listen, waiting, 4, 3, false, false));
        wait_until_metric("door_queued ", 3).await;
        of_first_tenant.abort();
        wait_until_metric("door_left_total ", 1).await;
        of_second_tenant.abort();
        wait_until_metric("door_left_total ", 2).await;
        assert_eq!(first.await.unwrap().map(|response| response.status), Some(200));
        assert_eq!(last.await.unwrap().map(|response| response.status), Some(200));
    });
}

/// Guards against a client that repeats the id of another client's open request and takes its response.
#[test]
fn a_repeated_id_of_an_open_or_queued_request_is_refused_and_its_owner_gets_the_response() {
    run(async {
        let fleet = SlowCacheFleet::start(145, 4, 8, 600).await;
        let admission =
            r#"{"limit":{"first":1,"least":1,"most":1},"reserve_share":0,"exempt":["127.0.146.0/24"]}"#;
        let (_proxy, listen, mgmt) = start_proxy(&fleet, 145, "admission-repeated-id", admission).await;
        let (limited, exempt): (IpAddr, IpAddr) =
            ("127.0.145.40".parse().unwrap(), "127.0.146.40".parse().unwrap());
        let send = |from, id| async move { send_request(listen, from, id, false, false).await };
        let wait_until_received = |id: u64| {
            let received = fleet.request_ids.clone();
            async move {
                while !received.borrow().contains(&format!("{id:016x}")) {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        };
        let status = |response: Option<Response>| response.map(|response| response.status);
        let first = spawn_local(send(limited, 1));
        wait_until_received(1).await;

        // The owner of id 2 passes admission control by, and a client that it limits repeats the id.
        let owner = spawn_local(send(exempt, 2));
        wait_until_received(2).await;
        assert_eq!(status(send(limited, 2).await), Some(409));
        assert_eq!(status(owner.await.unwrap()), Some(200));
        assert_eq!(status(first.await.unwrap()), Some(200));

        // The owner of id 4 is queued behind request 3, and an exempt client repeats the id.
        let third = spawn_local(send(limited, 3));
        wait_until_received(3).await;
        let queued = spawn_local(send(limited, 4));
        while metric(mgmt, "door_queued ").await != 1 {}
        assert_eq!(status(send(exempt, 4).await), Some(409));
        assert_eq!(status(queued.await.unwrap()), Some(200));
        assert_eq!(status(third.await.unwrap()), Some(200));
    });
}

/// Guards against a queued request that is sent as one of another class, because reloads gave its class away.
#[test]
fn a_queued_request_keeps_its_class_over_reloads_of_it_and_of_another_class() {
    run(async {
        let fleet = SlowCacheFleet::start(149, 4, 8, 1_200).await;
        let admission = r#"{"limit":{"first":1,"least":1,"most":1},"reserve_share":0}"#;
        let name = "admission-class";
        let (proxy, listen, mgmt) = start_proxy(&fleet, 149, name, admission).await;
        let wait_until_metric =
            |name: &'static str, expected: u64| async move { while metric(mgmt, name).await != expected {} };
        let [running, queued]: [IpAddr; 2] = [40, 41].map(|host| IpAddr::from([127, 0, 149, host]));
        // A part of a large object, whose attempt may take that long.
        let first = spawn_local(async move {
            let head = "GET /ops/video-part/0000000000000001/slice-0 HTTP/1.1\r\nHost: t\r\n\
                X-Call-Id: 0000000000000001\r\nX-Patience-Ms: 5000\r\nX-Heap-Kb: 6000\r\n\
                Connection: close\r\n\r\n";
            send_and_receive(listen, running, head, false).await
        });
        wait_until_metric("door_open ", 1).await;
        while !fleet.request_ids.borrow().contains(&format!("{:016x}", 1)) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        // Only the first request takes long.
        fleet.work_ms.set(20);
        let ad_post = spawn_local(send_request(listen, queued, 2, true, false));
        wait_until_metric("door_queued ", 1).await;
        // First the queued request's class changes, then the other one.
        let path = test_dir(name).join("config.json");
        for (reloads, former_objective, objective) in [(1, "700000", "710000"), (2, "300000", "310000")] {
            let text = std::fs::read_to_string(&path).unwrap();
            let changed = text.replace(
                &format!("\"promiseUs\": {former_objective}"),
                &format!("\"promiseUs\": {objective}"),
            );
            assert_ne!(text, changed);
            std::fs::write(&path, changed).unwrap();
            let pid = proxy.0.id().to_string();
            assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
            wait_until_metric("app_config_applied_total ", reloads).await;
        }
        assert_eq!(metric(mgmt, "door_queued ").await, 1, "it is queued during both reloads");
        assert_eq!(first.await.unwrap().map(|response| response.status), Some(200));
        assert_eq!(ad_post.await.unwrap().map(|response| response.status), Some(200));
        assert_eq!(fleet.classes_by_id.borrow()[&format!("{:016x}", 2)], "ad-post");
    });
}

#[test]
fn weights_reloaded_by_sighup_apply_within_a_second_and_no_queued_request_is_lost() {
    run(async {
        let fleet = SlowCacheFleet::start(76, 4, 8, 20).await;
        let admission_json = |weight: f64| {
            format!(
                r#"{{"limit":{{"first":8,"least":8,"most":8}},"reserve_share":0,"tenants":[{{"groups":[1],"weight":{weight}}}]}}"#
            )
        };
        let (proxy, listen, _) = start_proxy(&fleet, 76, "admission-reload", &admission_json(1.0)).await;
        let ids = RequestIds::default();
        // 48 clients of two tenants, each with one outstanding request. This exceeds the limit of 8, so the
        // queues are never empty and the weights determine the shares.
        let responses: Rc<RefCell<Vec<GroupResponse>>> = Rc::default();
        let end = Instant::now() + Duration::from_secs(4);
        let loops: Vec<_> = (0..48u8)
            .map(|k| {
                let (responses, ids) = (responses.clone(), ids.clone());
                spawn_local(async move {
                    let group = 1 + u32::from(k % 2);
                    let from: IpAddr = format!("127.0.77.{}", 10 + k).parse().unwrap();
                    while Instant::now() < end {
                        let response =
                            send_request_in_group(listen, from, ids.next(), group, false, false).await;
                        responses.borrow_mut().push((
                            Instant::now(),
                            group,
                            response.map(|response| response.status),
                        ));
                    }
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        std::fs::write(test_dir("admission-reload").join("admission.json"), admission_json(3.0)).unwrap();
        assert!(Command::new("kill").args(["-HUP", &proxy.0.id().to_string()]).status().unwrap().success());
        let reloaded_at = Instant::now();
        for task in loops {
            task.await.unwrap();
        }
        let responses = responses.borrow();
        let served_between = |from: Instant, to: Instant| {
            let served = |group| {
                responses
                    .iter()
                    .filter(|(at, response_group, status)| {
                        *at >= from && *at < to && *response_group == group && *status == Some(200)
                    })
                    .count()
            };
            (served(1), served(2))
        };
        let before = served_between(reloaded_at - Duration::from_millis(1_000), reloaded_at);
        let after = served_between(
            reloaded_at + Duration::from_millis(200),
            reloaded_at + Duration::from_millis(1_200),
        );
        println!("served per tenant before the reload {before:?}, after it {after:?}");
        let ratio = |(first, second): (usize, usize)| first as f64 / second.max(1) as f64;
        assert!((0.7..1.4).contains(&ratio(before)), "shares should be even before the reload: {before:?}");
        assert!(ratio(after) > 2.2, "shares should be three to one after the reload: {after:?}");
        assert!(responses.iter().all(|(_, _, status)| status.is_some()), "a request got no response");
        let log = std::fs::read_to_string(test_dir("admission-reload").join("proxy.log")).unwrap();
        assert!(log.contains("configuration reloaded subsystem=\"admission\""), "{log}");
    });
}
