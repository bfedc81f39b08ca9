//! The second address on loopback: health, figures, and maintenance of members by hand.

mod stand_ins;

use edge_proxy::lifecycle::maintenance::MaintenanceFile;
use edge_proxy::wire::admin::AdminFront;
use edge_proxy::wire::front::Front;
use edge_proxy::wire::platform::{limits, Platform};
use stand_ins::*;
use std::net::SocketAddr;
use std::rc::Rc;

async fn open(name: &str) -> (TestProxy, SocketAddr, SocketAddr) {
    let site = TestProxy::start(name).await;
    let store = MaintenanceFile::at(test_dir(name).join("maintenance.json"));
    let front: Rc<dyn Front> = Rc::new(AdminFront::new(Box::new(move |host: &_| store.write(host))));
    let calls = site.listen(front).await;
    let front: Rc<dyn Front> = Rc::new(Platform::new(limits(400)));
    let at = site.listen(front).await;
    (site, at, calls)
}

fn headers(id: u64) -> String {
    format!("X-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 412.5\r\n")
}

async fn clips(at: SocketAddr, ids: std::ops::Range<u64>) {
    for id in ids {
        let answer =
            send_request(at, "GET", &format!("/ops/clip/{:016x}/slice-0", id * 7_919), &headers(id)).await;
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn calls_are_answered_with_yes_or_no_and_end_their_connection() {
    run(async {
        let (_site, _, calls) = open("calls").await;
        // A caller that never completes its call keeps nobody waiting.
        let mut silent = Vec::new();
        for _ in 0..10 {
            silent.push(Client::connect(calls).await);
        }
        let cases = [
            ("GET", "/healthcheck", 200),
            ("GET", "/stats", 200),
            ("POST", "/pop-caches/s-000000c1/maint", 200),
            ("POST", "/pop-caches/s-000000c1/maint", 200),
            ("POST", "/pop-caches/s-000000c1/ready", 200),
            ("POST", "/pop-caches/s-000000c1/ready", 200),
            ("POST", "/pop-caches/s-0000ffff/maint", 404),
            ("POST", "/pop-caches/s-0000ffff/ready", 404),
            ("POST", "/pop-caches/c1/maint", 404),
            ("POST", "/pop-caches/s-000000c1/other", 404),
            ("GET", "/pop-caches/s-000000c1/maint", 405),
            ("POST", "/healthcheck", 405),
            ("GET", "/", 404),
        ];
        for (method, target, status) in cases {
            let answer = send_request(calls, method, target, "").await;
            assert_eq!((answer.status, answer.closed), (status, true), "{method} {target}");
        }
    });
}

/// Guards the figures: each end of a request is counted once, under its class, and every class is listed.
#[test]
fn the_figures_tell_what_became_of_each_class() {
    run(async {
        let (site, at, calls) = open("figures").await;
        clips(at, 1..4).await;
        site.script_all(reply_status("EIO"));
        let failed = send_request(at, "GET", "/ops/clip/00000000000000aa", &headers(9)).await.status;
        assert_eq!(failed, 503, "a safe request is refused once its attempts are spent");
        let text = String::from_utf8(send_request(calls, "GET", "/stats", "").await.body).unwrap();
        let figure = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
            line.unwrap_or_else(|| panic!("no {name} in {text}")).parse::<u64>().unwrap()
        };
        assert_eq!(figure("app_ok_total{kind=\"clip\"}"), 3);
        assert_eq!(figure("app_shed_total{kind=\"clip\"}"), 1);
        assert_eq!(figure("app_errors_total{kind=\"clip\"}"), 0);
        assert_eq!(figure("app_tries_total{kind=\"clip\"}"), site.total_requests() as u64);
        assert_eq!(figure("app_ok_total{kind=\"post\"}"), 0);
        assert_eq!((figure("app_active"), figure("app_pool_size")), (0, 2));
        assert_eq!((figure("app_config_applied_total"), figure("app_config_rejected_total")), (0, 0));
        send_request(calls, "POST", "/pop-caches/s-000000c2/maint", "").await;
        let text = String::from_utf8(send_request(calls, "GET", "/stats", "").await.body).unwrap();
        assert!(text.contains("app_pool_ejected 1\n"), "{text}");
    });
}

/// Guards the rule on drains: what is out of use by hand gets nothing, as a request or as a source, whatever the
/// bulletin lists; and the rule on cold starts: put back, it gets a part of its own at first, but something.
#[test]
fn a_member_out_of_use_gets_nothing_until_it_is_put_back() {
    run(async {
        let (site, at, calls) = open("maintenance").await;
        let (first, parent) = (CACHES[0], PARENT);
        clips(at, 1..20).await;
        assert!(site.request_count(first) > 0);
        for id in [first, parent] {
            send_request(calls, "POST", &format!("/pop-caches/s-{id:08x}/maint"), "").await;
        }
        let (before, later) = (site.request_count(first), site.request_count(CACHES[1]));
        // The list names it as ready once more.
        let line = edge_proxy::endpoint_list::EndpointRecord {
            zone: "town".into(),
            kind: "box".into(),
            state: edge_proxy::EndpointState::Active,
            started_at: 0,
            id: first,
            capacity_hint: Some(4.0),
            cell: 0,
        };
        let SocketAddr::V4(address) = site.endpoints[&first].address else { panic!() };
        let targets = vec![edge_proxy::endpoint_list::ListedEndpoint { record: line, address }];
        let news = edge_proxy::endpoint_list::WatchEvent::Endpoints { full: false, endpoints: targets };
        site.executor.with(|engine| {
            engine.apply_event(edge_proxy::endpoint_list::Sequenced { number: 99, event: news })
        });
        clips(at, 100..120).await;
        assert_eq!(site.request_count(first), before);
        let asked = site.endpoints[&CACHES[1]].requests.borrow()[later..].to_vec();
        assert!(asked.len() >= 20 && asked.iter().all(|fields| fields["next"] != "s-000000a0"));
        // Another process of this proxy takes that over.
        let other = TestProxy::start("maintenance_other").await;
        let store = MaintenanceFile::at(test_dir("maintenance").join("maintenance.json"));
        store.load(&other.executor);
        assert!(other.executor.with(|engine| engine.maintenance().is_out_of_use(first)));
        site.advance_clock(10_000.0);
        send_request(calls, "POST", &format!("/pop-caches/s-{first:08x}/ready"), "").await;
        clips(at, 200..260).await;
        let back = site.request_count(first) - before;
        assert!((1..20).contains(&back), "a part of its slice, not all at once: {back} of 60");
        store.load(&other.executor);
        assert!(!other.executor.with(|engine| engine.maintenance().is_out_of_use(first)));
    });
}
