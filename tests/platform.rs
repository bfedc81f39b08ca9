//! End-to-end tests of the platform's front on loopback.

mod stand_ins;

use edge_proxy::lifecycle::subsystems::reload_config;
use edge_proxy::wire::front::{ConnectionLimits, Front};
use edge_proxy::wire::platform::{limits, Platform};
use stand_ins::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

const CLIP: &str = "/ops/clip/7f3a9c21e0b4d655/slice-3";

async fn start_proxy(name: &str) -> (TestProxy, SocketAddr) {
    start_proxy_with_limits(name, limits(400)).await
}

async fn start_proxy_with_limits(name: &str, limits: ConnectionLimits) -> (TestProxy, SocketAddr) {
    let proxy = TestProxy::start(name).await;
    let front: Rc<dyn Front> = Rc::new(Platform::new(limits));
    let address = proxy.listen(front).await;
    (proxy, address)
}

fn headers(id: u64) -> String {
    format!("X-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 412.5\r\n")
}

#[test]
fn a_request_is_forwarded_to_a_cache_and_its_response_returned() {
    run(async {
        let (proxy, address) = start_proxy("forwarded").await;
        let mut client = Client::connect(address).await;
        assert_eq!(client.send_request("GET", "/alive", "").await.status, 200);
        let response = client.send_request("GET", CLIP, &headers(1)).await;
        assert_eq!((response.status, &response.body[..]), (200, &b"bytes of 7f3a9c21e0b4d655 part 3"[..]));
        let unchanged = client.send_request("GET", CLIP, &(headers(2) + "If-None-Match: \"t1\"\r\n")).await;
        assert_eq!((unchanged.status, unchanged.body.len()), (304, 0));
        let requests: Vec<_> =
            CACHES.iter().flat_map(|id| proxy.endpoints[id].requests.borrow().clone()).collect();
        assert_eq!(requests.len(), 2);
        let by_id = |id: &str| requests.iter().find(|fields| fields["id"] == id).unwrap();
        let first = by_id("0000000000000001");
        assert_eq!((first["c"].as_str(), first["p"].as_str()), ("clip", "3"));
        assert_eq!((first["next"].as_str(), first["ways"].as_str()), ("s-000000a0", "ride"));
        assert!(first["w"].parse::<u32>().unwrap() <= 1_500);
        assert_eq!(by_id("0000000000000002")["cached"], "t1");
    });
}

#[test]
fn a_write_goes_to_the_origin_with_its_idempotency_key() {
    run(async {
        let (proxy, address) = start_proxy("write").await;
        let mut client = Client::connect(address).await;
        let head = headers(3) + "X-Dedupe-Key: 5c0f6e\r\nContent-Length: 5\r\n";
        let text = format!("PUT /ops/post/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: o\r\n{head}\r\nhello");
        client.write(text.as_bytes()).await;
        assert_eq!(client.read(false).await.unwrap().status, 200);
        let requests = proxy.endpoints[&ORIGIN].requests.borrow();
        assert_eq!((requests.len(), requests[0]["i"].as_str()), (1, "5c0f6e"));
    });
}

/// Invalid requests must not reach an endpoint.
#[test]
fn an_invalid_request_gets_its_error_status() {
    run(async {
        let (proxy, address) = start_proxy("invalid_requests").await;
        let valid_headers = headers(1);
        let with = |name: &str, value: &str| {
            let others = headers(1)
                .lines()
                .filter(|l| !l.starts_with(name))
                .fold(String::new(), |a, l| a + l + "\r\n");
            format!("{others}{name}: {value}\r\n")
        };
        let get_with_body =
            format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{valid_headers}Content-Length: 1\r\n\r\nx");
        let cases = [
            ("GET", "/nothing", valid_headers.as_str(), 404),
            ("GET", "/ops/nothing/7f3a9c21e0b4d655", &valid_headers, 404),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-3/4", &valid_headers, 404),
            ("PUT", CLIP, &valid_headers, 405),
            ("GET", "/ops/post/7f3a9c21e0b4d655", &valid_headers, 405),
            ("POST", "/alive", "", 405),
            ("GET", "/ops/clip/short/slice-3", &valid_headers, 400),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-x", &valid_headers, 400),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-+3", &valid_headers, 400),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-4294967295", &valid_headers, 400),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-", &valid_headers, 400),
            ("PUT", "/ops/post/7f3a9c21e0b4d655", &valid_headers, 400),
            ("PUT", "/ops/post/7f3a9c21e0b4d655", &with("X-Dedupe-Key", &"k".repeat(65)), 400),
            ("GET", CLIP, &with("X-Set", "256"), 400),
            ("GET", CLIP, &with("X-Set", "-1"), 400),
            ("GET", CLIP, &with("X-Set", "1.5"), 400),
            ("GET", CLIP, &with("X-Heap-Kb", "inf"), 400),
            ("GET", CLIP, &with("X-Heap-Kb", "1e300"), 400),
            ("GET", CLIP, &with("X-Heap-Kb", "99999999999"), 400),
            ("GET", CLIP, &with("X-Patience-Ms", "-5"), 400),
            ("GET", CLIP, &with("X-Patience-Ms", "99999999999"), 400),
            ("GET", CLIP, "X-Patience-Ms: 1500\r\n", 400),
            ("GET", CLIP, "X-Call-Id: 1\r\n", 400),
            ("GET", CLIP, "X-Call-Id: 0000000000000001\r\nX-Patience-Ms: NaN\r\n", 400),
            ("GET", CLIP, "X-Call-Id: 0000000000000001\r\nX-Call-Id: 0000000000000002\r\n", 400),
            ("GET", CLIP, "X-Call-Id: 0000000000000001\r\nX-Dedupe-Key: a,b=c\r\n", 400),
        ];
        for (method, target, headers, status) in cases {
            assert_eq!(
                send_request(address, method, target, headers).await.status,
                status,
                "{method} {target} {headers}"
            );
        }
        for (bytes, status) in [("\x00\r\n\r\n", 400), ("GET / HTTP/1.1\r\n\r\n", 400), (&get_with_body, 400)]
        {
            let mut client = Client::connect(address).await;
            client.write(bytes.as_bytes()).await;
            let response = client.read(false).await.unwrap();
            assert_eq!((response.status, response.closed), (status, true));
        }
        assert_eq!(proxy.total_requests(), 0);
    });
}

#[test]
fn a_rejection_is_immediate_and_has_a_retry_after() {
    run(async {
        let (proxy, address) = start_proxy("rejection").await;
        proxy.script_all(reply_status("AGAIN"));
        let response = send_request(address, "GET", CLIP, &headers(1)).await;
        assert_eq!(response.status, 503);
        assert!(response.headers["x-come-back-ms"].parse::<f64>().unwrap() > 0.0);
        assert_eq!(proxy.clock.now(), START_MS, "the rejection does not wait on the clock");
    });
}

#[test]
fn a_client_disconnect_cancels_its_attempt() {
    run(async {
        let (proxy, address) = start_proxy("client_disconnect").await;
        proxy.script_all(never_reply());
        let mut client = Client::connect(address).await;
        client.write(format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{}\r\n", headers(9)).as_bytes()).await;
        wait_until(|| proxy.total_requests() == 1).await;
        drop(client);
        let cancelled_count =
            || proxy.endpoints.values().map(|cache| cache.cancelled_ids.borrow().len()).sum::<usize>();
        wait_until(|| cancelled_count() == 1).await;
        let (disconnected, open_requests) =
            proxy.executor.with(|e| (e.counters.clients_disconnected, e.open_requests()));
        assert_eq!((disconnected, open_requests), (1, 0));
    });
}

/// A malformed reply closes the connection and must not fail the request.
#[test]
fn a_request_with_a_malformed_reply_is_retried_on_another_endpoint() {
    run(async {
        let (proxy, address) = start_proxy("malformed").await;
        let malformed: Script = Rc::new(|_| Some(("WHAT", "-".into(), Vec::new())));
        *proxy.endpoints[&CACHES[0]].script.borrow_mut() = malformed;
        for id in 1..30u64 {
            let target = format!("/ops/clip/{:016x}/slice-0", id * 7_919);
            assert_eq!(send_request(address, "GET", &target, &headers(id)).await.status, 200);
        }
        assert!(proxy.request_count(CACHES[0]) > 0);
        assert!(proxy.executor.with(|e| e.counters.connections_malformed) > 0);
    });
}

/// A truncated reply is retried, and where every reply is truncated the client gets an error without a body.
#[test]
fn a_truncated_reply_is_never_served_as_complete() {
    run(async {
        let (proxy, address) = start_proxy("truncated_reply").await;
        CACHES.iter().for_each(|id| proxy.endpoints[id].truncate_and_close.set(true));
        let response = send_request(address, "GET", CLIP, &headers(1)).await;
        assert_eq!((response.status, &response.body[..]), (200, &b"bytes of 7f3a9c21e0b4d655 part 3"[..]));
        let (lost, served) = proxy.executor.with(|e| (e.counters.connections_lost, e.counters.served));
        assert_eq!(
            (lost, served),
            (4, 1),
            "each cache is tried twice: a lost connection does not rule out a retry at the same cache"
        );
        proxy.endpoints.values().for_each(|cache| cache.truncate_and_close.set(true));
        let response = send_request(address, "GET", CLIP, &headers(2)).await;
        assert!(response.status >= 500 && response.body.is_empty(), "{response:?}");
    });
}

/// A watch connection that is silent for too long counts as broken.
#[test]
fn a_silent_watch_connection_is_replaced() {
    run(async {
        let (proxy, _) = start_proxy("silent_watch").await;
        // The test's discovery service sends no heartbeats.
        wait_until(|| proxy.discovery.connections.borrow().len() == 1).await;
        wait_until(|| proxy.executor.with(|e| e.counters.discovery_connections) >= 2).await;
        assert!(proxy.executor.with(|e| e.counters.discovery_faults) >= 1);
    });
}

/// A reconnect must not lose an event or apply one twice.
#[test]
fn a_watch_resumes_from_the_last_event_after_a_disconnect() {
    run(async {
        let (proxy, _) = start_proxy("watch_resumes").await;
        let number = proxy.discovery.send_purge(17, START_MS as u64);
        wait_until(|| proxy.executor.with(|e| e.last_event_number()) == number).await;
        proxy.discovery.disconnect();
        wait_until(|| proxy.discovery.connections.borrow().len() == 2).await;
        let number = proxy.discovery.send_purge(18, START_MS as u64);
        wait_until(|| proxy.executor.with(|e| e.last_event_number()) == number).await;
        assert_eq!(*proxy.discovery.connections.borrow(), [1, number - 1]);
        assert_eq!(proxy.executor.with(|e| e.counters.discovery_events), 3);
    });
}

#[test]
fn a_graceful_shutdown_answers_every_received_request() {
    run(async {
        let (proxy, address) = start_proxy("graceful_shutdown").await;
        let go: Rc<std::cell::Cell<bool>> = Rc::default();
        proxy.script_all(never_reply());
        let mut busy = Client::connect(address).await;
        busy.write(format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{}\r\n", headers(1)).as_bytes()).await;
        wait_until(|| proxy.total_requests() == 1).await;
        let mut idle = Client::connect(address).await;
        assert_eq!(idle.send_request("GET", "/alive", "").await.status, 200);
        // This connection is still in the listener's backlog when the shutdown begins.
        let mut queued = Client::connect(address).await;
        queued.write(b"GET /alive HTTP/1.1\r\nHost: o\r\n\r\n").await;
        proxy.closing.notify_one();
        proxy.shutdown.begin();
        assert_eq!(queued.read(false).await.unwrap().status, 200);
        assert!(idle.read(false).await.is_none(), "an idle connection is closed");
        assert_eq!(
            proxy.shutdown.open_connections(),
            1,
            "only the connection with an open request stays open"
        );
        let pending = spawn_local(async move { busy.read(false).await.unwrap() });
        while !pending.is_finished() {
            proxy.advance_clock(20.0);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let response = pending.await.unwrap();
        assert!(response.closed && matches!(response.status, 503 | 504), "{response:?}");
        wait_until(|| proxy.shutdown.open_connections() == 0).await;
        go.set(true);
    });
}

#[test]
fn a_panic_in_one_task_is_counted_and_requests_are_still_served() {
    run(async {
        let (proxy, address) = start_proxy("panic").await;
        proxy.executor.spawn("test task", async { panic!("intentional panic") });
        wait_until(|| proxy.executor.with(|e| e.counters.panics) == 1).await;
        assert_eq!(send_request(address, "GET", CLIP, &headers(1)).await.status, 200);
    });
}

/// Clients without an open request must not keep others out at the connection limit.
#[test]
fn silent_and_idle_connections_are_evicted_at_the_limit() {
    run(async {
        let (proxy, address) = start_proxy_with_limits("eviction", limits(3)).await;
        proxy.script_all(never_reply());
        let mut busy = Client::connect(address).await;
        busy.write(format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{}\r\n", headers(1)).as_bytes()).await;
        wait_until(|| proxy.total_requests() == 1).await;
        let mut idle = Client::connect(address).await;
        assert_eq!(idle.send_request("GET", "/alive", "").await.status, 200);
        let mut silent = Client::connect(address).await;
        wait_until(|| proxy.executor.with(|e| e.counters.client_connections) == 3).await;
        proxy.advance_clock(150.0);
        let mut fourth = Client::connect(address).await;
        assert_eq!(fourth.send_request("GET", "/alive", "").await.status, 200);
        assert!(silent.read(false).await.is_none(), "the connection without a request is evicted first");
        let mut fifth = Client::connect(address).await;
        assert_eq!(fifth.send_request("GET", "/alive", "").await.status, 200);
        assert!(
            idle.read(false).await.is_none(),
            "the connection that was idle for longest is evicted second"
        );
        assert_eq!(fourth.send_request("GET", "/alive", "").await.status, 200);
        assert_eq!(
            proxy.executor.with(|e| (e.counters.client_connections_evicted, e.counters.clients_disconnected)),
            (2, 0)
        );
        drop(busy);
    });
}

/// A client that sends nothing, or a byte at a time, must not keep its slot.
#[test]
fn the_first_request_has_one_deadline_from_the_accept() {
    run(async {
        let (proxy, address) = start_proxy("first").await;
        let mut silent = Client::connect(address).await;
        let mut slow = Client::connect(address).await;
        for byte in b"PUT /o" {
            slow.write(&[*byte]).await;
            proxy.advance_clock(380.0);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        slow.write(b"ps/post/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\n").await;
        wait_until(|| proxy.executor.with(|e| e.counters.client_connections) == 2).await;
        proxy.advance_clock(380.0);
        assert!(silent.read(false).await.is_none());
        assert_eq!(slow.read(false).await.unwrap().status, 408);
        assert_eq!(proxy.executor.with(|e| e.counters.client_connections_too_slow), 2);
    });
}

/// Unread bytes of the body must not cause a reset that loses the response.
#[test]
fn the_response_to_a_body_that_is_too_long_arrives() {
    run(async {
        let (_proxy, address) = start_proxy("long_body").await;
        let mut client = Client::connect(address).await;
        let length = 8_000_000;
        let head =
            format!("PUT /ops/post/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: o\r\nContent-Length: {length}\r\n\r\n");
        client.write(head.as_bytes()).await;
        client.write(&vec![b'x'; length]).await;
        let response = client.read(false).await.unwrap();
        assert_eq!((response.status, response.closed), (413, true));
    });
}

/// The watch on the new address starts from the last event; an invalid configuration changes nothing.
#[test]
fn the_watch_reconnects_when_a_reload_changes_the_discovery_address() {
    run(async {
        let (proxy, address) = start_proxy("discovery_address_change").await;
        let number = proxy.discovery.send_purge(17, START_MS as u64);
        wait_until(|| proxy.executor.with(|e| e.last_event_number()) == number).await;
        let path = test_dir("discovery_address_change").join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, "{").unwrap();
        reload_config(&proxy.executor, &proxy.config, &proxy.discovery_address);
        assert_eq!(proxy.executor.with(|e| e.counters.reload_failures), 1);
        let other = DiscoveryServer::start().await;
        let (from, to) = (proxy.discovery.address.to_string(), other.address.to_string());
        std::fs::write(&path, text.replace(&from, &to)).unwrap();
        reload_config(&proxy.executor, &proxy.config, &proxy.discovery_address);
        wait_until(|| !other.connections.borrow().is_empty()).await;
        assert_eq!(*other.connections.borrow(), [number]);
        assert_eq!(proxy.discovery.connections.borrow().len(), 1);
        assert_eq!(send_request(address, "GET", CLIP, &headers(1)).await.status, 200);
        assert_eq!(
            proxy.executor.with(|e| (e.counters.discovery_address_changes, e.counters.discovery_faults)),
            (1, 0)
        );
    });
}

/// A new class is served, a removed one is not, and an open request keeps the class with which it arrived.
#[test]
fn a_reload_applies_to_new_requests_only() {
    run(async {
        let (proxy, address) = start_proxy("settings").await;
        let path = test_dir("settings").join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        proxy.script_all(never_reply());
        let mut open_request = Client::connect(address).await;
        let head = headers(1);
        open_request.write(format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{head}\r\n").as_bytes()).await;
        wait_until(|| proxy.total_requests() == 1).await;
        // `clip` becomes `film`, which must not be retried, and fewer attempts are allowed.
        let changed = text.replace("\"name\":\"clip\"", "\"name\":\"film\"");
        let changed =
            changed.replacen("\"pure\"", "\"side_effect\"", 1).replace("\"sendCap\":8", "\"sendCap\":1");
        std::fs::write(&path, changed).unwrap();
        reload_config(&proxy.executor, &proxy.config, &proxy.discovery_address);
        assert_eq!(proxy.executor.with(|e| (e.counters.reloads, e.counters.reload_failures)), (1, 0));
        proxy.script_all(reply_status("EIO"));
        assert_eq!(send_request(address, "GET", CLIP, &headers(2)).await.status, 404);
        let film = CLIP.replace("clip", "film");
        let before = proxy.total_requests();
        assert_eq!(
            send_request(address, "GET", &film, &headers(3)).await.status,
            502,
            "it may have been executed, so it is not retried"
        );
        assert_eq!(proxy.total_requests(), before + 1);
        let thumb = CLIP.replace("clip", "thumb");
        assert_eq!(send_request(address, "GET", &thumb, &headers(4)).await.status, 503);
        assert_eq!(proxy.total_requests(), before + 2, "`sendCap` 1 allows a single attempt");
        proxy.advance_clock(2_000.0);
        assert_eq!(
            open_request.read(false).await.unwrap().status,
            503,
            "the open request keeps its idempotent class"
        );
        // Restores the original configuration.
        proxy.script_all(serve_content());
        std::fs::write(&path, &text).unwrap();
        reload_config(&proxy.executor, &proxy.config, &proxy.discovery_address);
        let settings = proxy.executor.settings();
        let classes: Vec<&str> = settings.classes().iter().map(|class| class.name()).collect();
        assert_eq!(classes, ["clip", "thumb", "post"], "removed classes leave nothing behind");
        assert_eq!(send_request(address, "GET", CLIP, &headers(5)).await.status, 200);
        assert_eq!(send_request(address, "GET", &film, &headers(6)).await.status, 404);
    });
}

/// No part of an invalid file may be applied.
#[test]
fn an_invalid_configuration_changes_nothing() {
    run(async {
        let (proxy, address) = start_proxy("invalid_configuration").await;
        let path = test_dir("invalid_configuration").join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        let changed = text.replace("\"name\":\"clip\"", "\"name\":\"film\"");
        let cases = [
            String::new(),
            changed[..changed.len() / 2].to_string(),
            changed.replace("\"sendCap\":8,", ""),
            changed.replace("\"semantics\":\"pure\",", ""),
            changed.replacen("\"worth\":2.0", "\"worthy\":2.0", 1),
            changed.replace("\"purgeDoneUs\":6000000,", ""),
            changed.replace("\"rules\"", "\"rule\""),
            changed.replace("\"sendCap\":8", "\"sendCap\":0"),
            changed.replace("\"sendCap\":8", "\"sendCap\":-1"),
            changed.replace("\"sendCap\":8", "\"sendCap\":\"8\""),
            changed.replace("\"deadlineUs\":5000000", "\"deadlineUs\":0"),
            changed.replace("\"deadlineUs\":5000000", "\"deadlineUs\":-5"),
            changed.replace("\"deadlineUs\":5000000", "\"deadlineUs\":null"),
        ];
        for (k, case) in cases.iter().enumerate() {
            assert_ne!(*case, changed, "case {k}: the replaced text is not in the configuration");
            std::fs::write(&path, case).unwrap();
            reload_config(&proxy.executor, &proxy.config, &proxy.discovery_address);
            assert_eq!(proxy.executor.with(|e| e.counters.reload_failures), k as u64 + 1, "{case}");
        }
        assert_eq!(send_request(address, "GET", CLIP, &headers(1)).await.status, 200);
        std::fs::write(&path, changed).unwrap();
        reload_config(&proxy.executor, &proxy.config, &proxy.discovery_address);
        assert_eq!(proxy.executor.with(|e| e.counters.reloads), 1);
    });
}

/// The network margin is at most 10% of the client's wait.
#[test]
fn a_short_client_wait_leaves_time_for_an_attempt() {
    run(async {
        let (proxy, address) = start_proxy("short_client_wait").await;
        let short = headers(1).replace("1500", "40");
        assert_eq!(send_request(address, "GET", CLIP, &short).await.status, 200);
        let requests: Vec<_> =
            CACHES.iter().flat_map(|id| proxy.endpoints[id].requests.borrow().clone()).collect();
        assert_eq!(requests[0]["w"], "36");
    });
}

/// A stalled reply blocks the other requests on its connection, so the connection is closed and the request
/// is retried at once on the same cache.
#[test]
fn a_stalled_reply_is_retried_at_once() {
    run(async {
        let (proxy, address) = start_proxy("stalled_reply").await;
        proxy.endpoints.values().for_each(|cache| cache.truncate_next.set(1));
        let response = send_request(address, "GET", CLIP, &headers(1)).await;
        assert_eq!((response.status, &response.body[..]), (200, &b"bytes of 7f3a9c21e0b4d655 part 3"[..]));
        assert_eq!(
            proxy.executor.with(|e| (e.counters.connections_stalled, e.counters.attempts_timed_out)),
            (1, 0)
        );
        let counts: Vec<_> = CACHES.iter().map(|id| proxy.request_count(*id)).collect();
        assert!(counts.contains(&2), "the same cache is tried twice: {counts:?}");
    });
}
