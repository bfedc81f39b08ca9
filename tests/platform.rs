//! The platform's front on loopback.

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

async fn open(name: &str) -> (Site, SocketAddr) {
    open_with(name, limits(400)).await
}

async fn open_with(name: &str, limits: ConnectionLimits) -> (Site, SocketAddr) {
    let site = Site::start(name).await;
    let front: Rc<dyn Front> = Rc::new(Platform::new(limits));
    let at = site.open(front).await;
    (site, at)
}

fn headers(id: u64) -> String {
    format!("X-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 412.5\r\n")
}

#[test]
fn a_request_goes_its_whole_way() {
    run(async {
        let (site, at) = open("whole_way").await;
        let mut client = Client::connect(at).await;
        assert_eq!(client.ask("GET", "/alive", "").await.status, 200);
        let answer = client.ask("GET", CLIP, &headers(1)).await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"bytes of 7f3a9c21e0b4d655 part 3"[..]));
        let same = client.ask("GET", CLIP, &(headers(2) + "If-None-Match: \"t1\"\r\n")).await;
        assert_eq!((same.status, same.body.len()), (304, 0));
        let seen: Vec<_> = CACHES.iter().flat_map(|id| site.endpoints[id].asked.borrow().clone()).collect();
        assert_eq!(seen.len(), 2);
        let by_id = |id: &str| seen.iter().find(|fields| fields["id"] == id).unwrap();
        let first = by_id("0000000000000001");
        assert_eq!((first["c"].as_str(), first["p"].as_str()), ("clip", "3"));
        assert_eq!((first["next"].as_str(), first["ways"].as_str()), ("s-000000a0", "ride"));
        assert!(first["w"].parse::<u32>().unwrap() <= 1_500);
        assert_eq!(by_id("0000000000000002")["cached"], "t1");
    });
}

#[test]
fn a_write_goes_to_the_origin_with_its_key_and_body() {
    run(async {
        let (site, at) = open("write").await;
        let mut client = Client::connect(at).await;
        let head = headers(3) + "X-Dedupe-Key: 5c0f6e\r\nContent-Length: 5\r\n";
        let text = format!("PUT /ops/post/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: o\r\n{head}\r\nhello");
        client.write(text.as_bytes()).await;
        assert_eq!(client.read(false).await.unwrap().status, 200);
        let asked = site.endpoints[&ORIGIN].asked.borrow();
        assert_eq!((asked.len(), asked[0]["i"].as_str()), (1, "5c0f6e"));
    });
}

/// Guards the faults of clients: each has its status, and none reaches an endpoint.
#[test]
fn what_is_no_request_has_its_status() {
    run(async {
        let (site, at) = open("faults").await;
        let good = headers(1);
        let with = |name: &str, value: &str| {
            let others = headers(1)
                .lines()
                .filter(|l| !l.starts_with(name))
                .fold(String::new(), |a, l| a + l + "\r\n");
            format!("{others}{name}: {value}\r\n")
        };
        let body = format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{good}Content-Length: 1\r\n\r\nx");
        let cases = [
            ("GET", "/nothing", good.as_str(), 404),
            ("GET", "/ops/nothing/7f3a9c21e0b4d655", &good, 404),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-3/4", &good, 404),
            ("PUT", CLIP, &good, 405),
            ("GET", "/ops/post/7f3a9c21e0b4d655", &good, 405),
            ("POST", "/alive", "", 405),
            ("GET", "/ops/clip/short/slice-3", &good, 400),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-x", &good, 400),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-+3", &good, 400),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-4294967295", &good, 400),
            ("GET", "/ops/clip/7f3a9c21e0b4d655/slice-", &good, 400),
            ("PUT", "/ops/post/7f3a9c21e0b4d655", &good, 400),
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
            assert_eq!(ask(at, method, target, headers).await.status, status, "{method} {target} {headers}");
        }
        for (bytes, status) in [("\x00\r\n\r\n", 400), ("GET / HTTP/1.1\r\n\r\n", 400), (&body, 400)] {
            let mut client = Client::connect(at).await;
            client.write(bytes.as_bytes()).await;
            let answer = client.read(false).await.unwrap();
            assert_eq!((answer.status, answer.closed), (status, true));
        }
        assert_eq!(site.asked_in_all(), 0);
    });
}

/// What the module gives up is answered at once, and says when to come back.
#[test]
fn a_refusal_comes_at_once_with_advice() {
    run(async {
        let (site, at) = open("refusal").await;
        site.all(says("AGAIN"));
        let answer = ask(at, "GET", CLIP, &headers(1)).await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers["x-come-back-ms"].parse::<f64>().unwrap() > 0.0);
        assert_eq!(site.clock.now(), START_MS, "no time has passed");
    });
}

#[test]
fn a_client_that_leaves_has_its_attempt_called_off() {
    run(async {
        let (site, at) = open("leaves").await;
        site.all(silent());
        let mut client = Client::connect(at).await;
        client.write(format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{}\r\n", headers(9)).as_bytes()).await;
        until(|| site.asked_in_all() == 1).await;
        drop(client);
        let dropped = || site.endpoints.values().map(|m| m.dropped.borrow().len()).sum::<usize>();
        until(|| dropped() == 1).await;
        let (left, owed) = site.host.with(|e| (e.counters.clients_disconnected, e.open_requests()));
        assert_eq!((left, owed), (1, 0));
    });
}

/// Guards against an endpoint whose bytes can't be read: its connection ends, and the request goes elsewhere.
#[test]
fn a_member_that_talks_nonsense_is_left() {
    run(async {
        let (site, at) = open("nonsense").await;
        let nonsense: Script = Rc::new(|_| Some(("WHAT", "-".into(), Vec::new())));
        *site.endpoints[&CACHES[0]].script.borrow_mut() = nonsense;
        for id in 1..30u64 {
            let target = format!("/ops/clip/{:016x}/slice-0", id * 7_919);
            assert_eq!(ask(at, "GET", &target, &headers(id)).await.status, 200);
        }
        assert!(site.asked(CACHES[0]) > 0);
        assert!(site.host.with(|e| e.counters.connections_malformed) > 0);
    });
}

/// Guards the client against half an answer that passes for a whole one: a cut at a cache is tried elsewhere,
/// and where everything is cut no body is sent at all.
#[test]
fn a_cut_answer_never_passes_for_whole() {
    run(async {
        let (site, at) = open("cut").await;
        CACHES.iter().for_each(|id| site.endpoints[id].cuts.set(true));
        let answer = ask(at, "GET", CLIP, &headers(1)).await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"bytes of 7f3a9c21e0b4d655 part 3"[..]));
        let (broken, served) = site.host.with(|e| (e.counters.connections_lost, e.counters.served));
        assert_eq!((broken, served), (4, 1), "each cache is asked twice: a break is not its fault");
        site.endpoints.values().for_each(|m| m.cuts.set(true));
        let answer = ask(at, "GET", CLIP, &headers(2)).await;
        assert!(answer.status >= 500 && answer.body.is_empty(), "{answer:?}");
    });
}

/// Guards the rules on what was told: a link that only stays silent is taken for broken, and made anew.
#[test]
fn a_silent_bulletin_is_connected_to_again() {
    run(async {
        let (site, _) = open("silent_bulletin").await;
        // The stand-in never sends the empty frame of each second.
        until(|| site.bulletin.links.borrow().len() == 1).await;
        until(|| site.host.with(|e| e.counters.discovery_connections) >= 2).await;
        assert!(site.host.with(|e| e.counters.discovery_faults) >= 1);
    });
}

/// A link to the bulletin that ends is made anew from the last number, and nothing is taken twice.
#[test]
fn the_bulletin_is_followed_across_a_cut() {
    run(async {
        let (site, _) = open("bulletin").await;
        let no = site.bulletin.purge(17, START_MS as u64);
        until(|| site.host.with(|e| e.last_event_number()) == no).await;
        site.bulletin.cut();
        until(|| site.bulletin.links.borrow().len() == 2).await;
        let no = site.bulletin.purge(18, START_MS as u64);
        until(|| site.host.with(|e| e.last_event_number()) == no).await;
        assert_eq!(*site.bulletin.links.borrow(), [1, no - 1]);
        assert_eq!(site.host.with(|e| e.counters.discovery_events), 3);
    });
}

#[test]
fn a_stop_answers_all_that_was_taken() {
    run(async {
        let (site, at) = open("stop").await;
        let go: Rc<std::cell::Cell<bool>> = Rc::default();
        site.all(silent());
        let mut busy = Client::connect(at).await;
        busy.write(format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{}\r\n", headers(1)).as_bytes()).await;
        until(|| site.asked_in_all() == 1).await;
        let mut idle = Client::connect(at).await;
        assert_eq!(idle.ask("GET", "/alive", "").await.status, 200);
        // In the machine's queue already, and not accepted yet, when the stop comes.
        let mut queued = Client::connect(at).await;
        queued.write(b"GET /alive HTTP/1.1\r\nHost: o\r\n\r\n").await;
        site.closing.notify_one();
        site.stop.begin();
        assert_eq!(queued.read(false).await.unwrap().status, 200);
        assert!(idle.read(false).await.is_none(), "an idle connection ends");
        assert_eq!(site.stop.open_connections(), 1, "the busy one stays");
        let waits = spawn_local(async move { busy.read(false).await.unwrap() });
        while !waits.is_finished() {
            site.pass(20.0);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let answer = waits.await.unwrap();
        assert!(answer.closed && matches!(answer.status, 503 | 504), "{answer:?}");
        until(|| site.stop.open_connections() == 0).await;
        go.set(true);
    });
}

/// Guards the process against a panic in one connection's task.
#[test]
fn a_panic_in_a_task_ends_nothing_else() {
    run(async {
        let (site, at) = open("panic").await;
        site.host.spawn("a test", async { panic!("on purpose") });
        until(|| site.host.with(|e| e.counters.panics) == 1).await;
        assert_eq!(ask(at, "GET", CLIP, &headers(1)).await.status, 200);
    });
}

/// Guards clients that ask against those that hold every place and say nothing, or asked once and stayed.
#[test]
fn silent_and_parked_clients_make_room_at_the_cap() {
    run(async {
        let (site, at) = open_with("room", limits(3)).await;
        site.all(silent());
        let mut busy = Client::connect(at).await;
        busy.write(format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{}\r\n", headers(1)).as_bytes()).await;
        until(|| site.asked_in_all() == 1).await;
        let mut parked = Client::connect(at).await;
        assert_eq!(parked.ask("GET", "/alive", "").await.status, 200);
        let mut quiet = Client::connect(at).await;
        until(|| site.host.with(|e| e.counters.client_connections) == 3).await;
        site.pass(150.0);
        let mut third = Client::connect(at).await;
        assert_eq!(third.ask("GET", "/alive", "").await.status, 200);
        assert!(quiet.read(false).await.is_none(), "the one that never asked goes first");
        let mut fourth = Client::connect(at).await;
        assert_eq!(fourth.ask("GET", "/alive", "").await.status, 200);
        assert!(parked.read(false).await.is_none(), "then the one that is idle for longest");
        assert_eq!(third.ask("GET", "/alive", "").await.status, 200);
        assert_eq!(
            site.host.with(|e| (e.counters.client_connections_evicted, e.counters.clients_disconnected)),
            (2, 0)
        );
        drop(busy);
    });
}

/// Guards the places against a first request that never comes, or a byte at a time.
#[test]
fn a_first_request_has_one_deadline_from_the_accept() {
    run(async {
        let (site, at) = open("first").await;
        let mut quiet = Client::connect(at).await;
        let mut drip = Client::connect(at).await;
        for byte in b"PUT /o" {
            drip.write(&[*byte]).await;
            site.pass(380.0);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        drip.write(b"ps/post/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\n").await;
        until(|| site.host.with(|e| e.counters.client_connections) == 2).await;
        site.pass(380.0);
        assert!(quiet.read(false).await.is_none());
        assert_eq!(drip.read(false).await.unwrap().status, 408);
        assert_eq!(site.host.with(|e| e.counters.client_connections_too_slow), 2);
    });
}

/// Guards the answer to a body that is far too long against a reset by what is still unread.
#[test]
fn the_answer_to_a_body_that_is_too_long_arrives() {
    run(async {
        let (_site, at) = open("long_body").await;
        let mut client = Client::connect(at).await;
        let length = 8_000_000;
        let head =
            format!("PUT /ops/post/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: o\r\nContent-Length: {length}\r\n\r\n");
        client.write(head.as_bytes()).await;
        client.write(&vec![b'x'; length]).await;
        let answer = client.read(false).await.unwrap();
        assert_eq!((answer.status, answer.closed), (413, true));
    });
}

/// Guards the rules on what was told: when the configuration names another bulletin, the link goes there at once
/// and from the last number; a configuration that can't be used changes nothing.
#[test]
fn the_bulletins_link_moves_with_the_configuration() {
    run(async {
        let (site, at) = open("moves").await;
        let no = site.bulletin.purge(17, START_MS as u64);
        until(|| site.host.with(|e| e.last_event_number()) == no).await;
        let path = folder("moves").join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, "{").unwrap();
        reload_config(&site.host, &site.config, &site.moves);
        assert_eq!(site.host.with(|e| e.counters.reload_failures), 1);
        let other = Bulletin::start().await;
        let (from, to) = (site.bulletin.address.to_string(), other.address.to_string());
        std::fs::write(&path, text.replace(&from, &to)).unwrap();
        reload_config(&site.host, &site.config, &site.moves);
        until(|| !other.links.borrow().is_empty()).await;
        assert_eq!(*other.links.borrow(), [no]);
        assert_eq!(site.bulletin.links.borrow().len(), 1);
        assert_eq!(ask(at, "GET", CLIP, &headers(1)).await.status, 200);
        assert_eq!(site.host.with(|e| (e.counters.discovery_moves, e.counters.discovery_faults)), (1, 0));
    });
}

/// Guards a running proxy when its settings change: a new class is served, one that is gone is not, and a request
/// under way keeps the class under which it came.
#[test]
fn settings_change_while_requests_are_under_way() {
    run(async {
        let (site, at) = open("settings").await;
        let path = folder("settings").join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        site.all(silent());
        let mut under_way = Client::connect(at).await;
        let head = headers(1);
        under_way.write(format!("GET {CLIP} HTTP/1.1\r\nHost: o\r\n{head}\r\n").as_bytes()).await;
        until(|| site.asked_in_all() == 1).await;
        // `clip` becomes `film`, which may not be repeated, and fewer attempts are allowed.
        let fresh = text.replace("\"name\":\"clip\"", "\"name\":\"film\"");
        let fresh =
            fresh.replacen("\"pure\"", "\"side_effect\"", 1).replace("\"sendCap\":8", "\"sendCap\":1");
        std::fs::write(&path, fresh).unwrap();
        reload_config(&site.host, &site.config, &site.moves);
        assert_eq!(site.host.with(|e| (e.counters.reloads, e.counters.reload_failures)), (1, 0));
        site.all(says("EIO"));
        assert_eq!(ask(at, "GET", CLIP, &headers(2)).await.status, 404);
        let film = CLIP.replace("clip", "film");
        let before = site.asked_in_all();
        assert_eq!(
            ask(at, "GET", &film, &headers(3)).await.status,
            502,
            "it may have run, and is not repeated"
        );
        assert_eq!(site.asked_in_all(), before + 1);
        let thumb = CLIP.replace("clip", "thumb");
        assert_eq!(ask(at, "GET", &thumb, &headers(4)).await.status, 503);
        assert_eq!(site.asked_in_all(), before + 2, "one attempt each");
        site.pass(2_000.0);
        assert_eq!(under_way.read(false).await.unwrap().status, 503, "as a request that does no harm");
        // The old class comes back in its place.
        site.all(holds());
        std::fs::write(&path, &text).unwrap();
        reload_config(&site.host, &site.config, &site.moves);
        assert_eq!(site.host.with(|e| e.settings().class_index("clip")), Some(0));
        assert_eq!(ask(at, "GET", CLIP, &headers(5)).await.status, 200);
        assert_eq!(ask(at, "GET", &film, &headers(6)).await.status, 404);
    });
}

/// Guards against a file that is broken in whatever way: nothing of it is taken.
#[test]
fn a_broken_configuration_changes_nothing() {
    run(async {
        let (site, at) = open("broken").await;
        let path = folder("broken").join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        let fresh = text.replace("\"name\":\"clip\"", "\"name\":\"film\"");
        let cases = [
            String::new(),
            fresh[..fresh.len() / 2].to_string(),
            fresh.replace("\"sendCap\":8,", ""),
            fresh.replace("\"semantics\":\"pure\",", ""),
            fresh.replacen("\"worth\":2.0", "\"worthy\":2.0", 1),
            fresh.replace("\"purgeDoneUs\":6000000,", ""),
            fresh.replace("\"rules\"", "\"rule\""),
            fresh.replace("\"sendCap\":8", "\"sendCap\":0"),
            fresh.replace("\"sendCap\":8", "\"sendCap\":-1"),
            fresh.replace("\"sendCap\":8", "\"sendCap\":\"8\""),
            fresh.replace("\"deadlineUs\":5000000", "\"deadlineUs\":0"),
            fresh.replace("\"deadlineUs\":5000000", "\"deadlineUs\":-5"),
            fresh.replace("\"deadlineUs\":5000000", "\"deadlineUs\":null"),
        ];
        for (k, case) in cases.iter().enumerate() {
            assert_ne!(*case, fresh, "case {k} changes nothing");
            std::fs::write(&path, case).unwrap();
            reload_config(&site.host, &site.config, &site.moves);
            assert_eq!(site.host.with(|e| e.counters.reload_failures), k as u64 + 1, "{case}");
        }
        assert_eq!(ask(at, "GET", CLIP, &headers(1)).await.status, 200);
        std::fs::write(&path, fresh).unwrap();
        reload_config(&site.host, &site.config, &site.moves);
        assert_eq!(site.host.with(|e| e.counters.reloads), 1);
    });
}

/// Guards impatient clients: the margin is a part of their time, not all of it.
#[test]
fn a_short_patience_leaves_time_for_an_attempt() {
    run(async {
        let (site, at) = open("impatient").await;
        let short = headers(1).replace("1500", "40");
        assert_eq!(ask(at, "GET", CLIP, &short).await.status, 200);
        let waits: Vec<_> = CACHES.iter().flat_map(|id| site.endpoints[id].asked.borrow().clone()).collect();
        assert_eq!(waits[0]["w"], "36");
    });
}

/// Guards all that shares a connection with an answer that stops short: it will not go on, the connection is left,
/// and the request is asked again at the same cache, which holds the copy.
#[test]
fn an_answer_that_stops_short_is_not_waited_for() {
    run(async {
        let (site, at) = open("stops").await;
        site.endpoints.values().for_each(|m| m.stops.set(1));
        let answer = ask(at, "GET", CLIP, &headers(1)).await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"bytes of 7f3a9c21e0b4d655 part 3"[..]));
        assert_eq!(
            site.host.with(|e| (e.counters.connections_stalled, e.counters.attempts_timed_out)),
            (1, 0)
        );
        let asked: Vec<_> = CACHES.iter().map(|id| site.asked(*id)).collect();
        assert!(asked.contains(&2), "twice at the same cache: {asked:?}");
    });
}
