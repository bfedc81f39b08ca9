//! A panic in the handling of one request, forced through the interfaces that the proxy is built from, loses that
//! request's response at most; its client gets an error. On real connections.

mod stand_ins;

use edge_proxy::cache_message::CacheReply;
use edge_proxy::engine::purge_filter::{PurgeFilter, RequestedCopy};
use edge_proxy::wire::classification::{Classification, RequestClassifier, Target};
use edge_proxy::wire::front::Front;
use edge_proxy::wire::http::HttpRequest;
use edge_proxy::wire::platform::{limits, Platform};
use stand_ins::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

const OBJECT: &str = "7f3a9c21e0b4d655";
/// The part whose handling panics.
const FAULTY_PART: u32 = 3;
/// The part to which no cache replies.
const SILENT_PART: u32 = 4;

/// Where a [`FaultyFilter`] panics.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    BeforeTheWrite,
    AtTheReply,
}

/// A filter of purges that panics for [`FAULTY_PART`].
struct FaultyFilter(Fault);

impl FaultyFilter {
    fn panic_at(&self, fault: Fault, part: u32) {
        assert!(self.0 != fault || part != FAULTY_PART, "intentional panic");
    }
}

impl PurgeFilter for FaultyFilter {
    fn max_age_ms(&mut self, _: f64, copy: RequestedCopy<'_>, requested_ms: u64) -> u64 {
        self.panic_at(Fault::BeforeTheWrite, copy.part);
        requested_ms
    }

    fn purge_of_reply(&mut self, copy: RequestedCopy<'_>, _: &CacheReply) -> Option<u64> {
        self.panic_at(Fault::AtTheReply, copy.part);
        None
    }
}

async fn start_proxy(name: &str) -> (TestProxy, Rc<Platform>, SocketAddr) {
    let proxy = TestProxy::start(name).await;
    let platform = Rc::new(Platform::new(limits(400)));
    let front: Rc<dyn Front> = platform.clone();
    let address = proxy.listen(front).await;
    (proxy, platform, address)
}

fn target(part: u32) -> String {
    format!("/ops/clip/{OBJECT}/slice-{part}")
}

fn headers(id: u64) -> String {
    format!("X-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\nX-Set: 17\r\n")
}

fn panics(proxy: &TestProxy) -> u64 {
    proxy.executor.with(|engine| engine.counters.panics)
}

/// Plays a panic at `fault` while a request for another part of the object is open at the same cache.
async fn panic_beside_an_open_request(name: &str, fault: Fault) {
    let (proxy, _, address) = start_proxy(name).await;
    proxy.executor.with(|engine| engine.set_purge_filter(Rc::new(RefCell::new(FaultyFilter(fault)))));
    proxy.script_all(Rc::new(|fields| match fields["p"] == SILENT_PART.to_string() {
        true => None,
        false => Some(("ACK", "sum=t1,t0=5".into(), content(fields))),
    }));
    let mut open = Client::connect(address).await;
    let silent = format!("GET {} HTTP/1.1\r\nHost: o\r\n{}\r\n", target(SILENT_PART), headers(1));
    open.write(silent.as_bytes()).await;
    wait_until(|| proxy.total_requests() == 1).await;

    let mut client = Client::connect(address).await;
    assert_eq!(client.send_request("GET", &target(FAULTY_PART), &headers(2)).await.status, 502);
    assert_eq!(panics(&proxy), 1);
    let following = client.send_request("GET", &target(5), &headers(3)).await;
    assert_eq!((following.status, following.body), (200, format!("bytes of {OBJECT} part 5").into_bytes()));

    let lost = proxy.executor.with(|engine| engine.counters.connections_lost);
    assert_eq!(lost, 0, "the connection of the open request stays");
    let requests = CACHES.iter().flat_map(|id| proxy.endpoints[id].requests.borrow().clone());
    let sent_again = requests.filter(|fields| fields["p"] == SILENT_PART.to_string()).count();
    assert_eq!(sent_again, 1, "the open request is not sent again");
    assert_eq!(proxy.executor.with(|engine| engine.open_requests()), 1);
}

/// Guards against a panic at a reply that ends the cache's connection with all requests on it.
#[test]
fn a_panic_at_a_reply_fails_its_request_alone() {
    run(panic_beside_an_open_request("panic_at_reply", Fault::AtTheReply));
}

/// Guards against a panic before a write that ends the cache's connection with all requests on it.
#[test]
fn a_panic_before_a_write_fails_its_request_alone() {
    run(panic_beside_an_open_request("panic_before_write", Fault::BeforeTheWrite));
}

/// Classifies by the platform's path, and panics for [`FAULTY_PART`].
struct FaultyClassifier;

impl RequestClassifier for FaultyClassifier {
    fn classify(&self, request: &HttpRequest) -> Classification {
        let part = request.target.rsplit('-').next().and_then(|part| part.parse().ok()).unwrap_or(0);
        assert_ne!(part, FAULTY_PART, "intentional panic");
        Classification::Target(Target { class: "clip".into(), object: 42, part, group: 17 })
    }
}

/// Guards against a client's connection that closes without a response, and loses the requests read behind it.
#[test]
fn a_panic_while_a_request_is_read_answers_it_with_an_error_and_serves_the_next_one() {
    run(async {
        let (proxy, platform, address) = start_proxy("panic_at_request").await;
        platform.set_classifier(Some(Rc::new(FaultyClassifier)));
        let mut client = Client::connect(address).await;
        let request = |id, part| format!("GET {} HTTP/1.1\r\nHost: o\r\n{}\r\n", target(part), headers(id));
        client.write((request(1, FAULTY_PART) + &request(2, 5)).as_bytes()).await;
        assert_eq!(client.read(false).await.expect("a response").status, 500);
        assert_eq!(client.read(false).await.expect("a response").status, 200);
        assert_eq!(panics(&proxy), 1);
    });
}
