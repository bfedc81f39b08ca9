//! Tests of the discovery watch against a scripted service that disconnects, stalls, and sends malformed
//! frames, gaps and repeated events.

mod stand_ins;

use stand_ins::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// The bytes that the service sends on a connection, after which it closes the connection or stays silent.
#[derive(Clone)]
struct ScriptedWatch {
    bytes: Vec<u8>,
    closes: bool,
}

fn sends(frames: &[Vec<u8>]) -> ScriptedWatch {
    ScriptedWatch { bytes: frames.concat(), closes: false }
}

fn sends_and_closes(frames: &[Vec<u8>]) -> ScriptedWatch {
    ScriptedWatch { closes: true, ..sends(frames) }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame
}

fn purge(number: u64, group: u16) -> Vec<u8> {
    frame(number, 4, &[&group.to_be_bytes()[..], &(START_MS as u64).to_be_bytes()[..]].concat())
}

/// Serves the k-th connection by the k-th script, and further connections by the last one. Returns the
/// sequence number that the proxy sent first on each connection.
fn serve_scripts(listener: TcpListener, scripts: Vec<ScriptedWatch>) -> Rc<RefCell<Vec<u64>>> {
    let connections: Rc<RefCell<Vec<u64>>> = Rc::default();
    let recorded_connections = connections.clone();
    spawn_local(async move {
        let mut silent = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let Ok(last) = stream.read_u64().await else { continue };
            let k = recorded_connections.borrow().len().min(scripts.len() - 1);
            recorded_connections.borrow_mut().push(last);
            let _ = stream.write_all(&scripts[k].bytes).await;
            if !scripts[k].closes {
                silent.push(stream);
            }
        }
    });
    connections
}

/// A proxy whose watch is served by scripts.
async fn proxy_with_watch(name: &str, scripts: Vec<ScriptedWatch>) -> (TestProxy, Rc<RefCell<Vec<u64>>>) {
    let proxy = TestProxy::start(name).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = serve_scripts(listener, scripts);
    proxy.discovery_address.send(address).unwrap();
    (proxy, connections)
}

fn last_event(proxy: &TestProxy) -> u64 {
    proxy.executor.with(|e| e.last_event_number())
}

/// After a partial frame and silence, the watch reconnects from the last complete frame.
#[test]
fn a_partial_frame_followed_by_silence_is_requested_again() {
    run(async {
        let partial =
            ScriptedWatch { bytes: [purge(2, 17), purge(3, 18)[..10].to_vec()].concat(), closes: false };
        let (proxy, connections) =
            proxy_with_watch("partial_frame", vec![partial, sends(&[purge(3, 18)])]).await;
        wait_until(|| last_event(&proxy) == 3).await;
        assert_eq!(connections.borrow()[..2], [1, 2]);
        assert_eq!(
            proxy.executor.with(|e| (e.counters.discovery_events, e.counters.discovery_skipped)),
            (3, 0)
        );
    });
}

/// A truncated frame is not applied, and is requested again.
#[test]
fn a_connection_lost_within_a_frame_loses_no_event() {
    run(async {
        let truncated = ScriptedWatch { bytes: purge(2, 17)[..12].to_vec(), closes: true };
        let (proxy, connections) =
            proxy_with_watch("truncated_frame", vec![truncated, sends(&[purge(2, 17)])]).await;
        wait_until(|| last_event(&proxy) == 2).await;
        assert_eq!(connections.borrow()[..2], [1, 1]);
    });
}

/// A frame that is malformed on every connection must not block the events after it.
#[test]
fn a_persistently_malformed_frame_is_skipped_and_later_events_are_applied() {
    run(async {
        let malformed = frame(2, 3, b"nonsense");
        let (proxy, connections) =
            proxy_with_watch("persistently_malformed", vec![sends(&[malformed, purge(3, 18)])]).await;
        wait_until(|| last_event(&proxy) == 3).await;
        assert_eq!(*connections.borrow(), [1, 1, 1], "the malformed event is requested three times");
        assert_eq!(
            proxy.executor.with(|e| (e.counters.discovery_skipped, e.counters.discovery_events)),
            (1, 2)
        );
    });
}

fn record(id: u32, state: u8, zone: u8, address: SocketAddr) -> Vec<u8> {
    let mut record = id.to_be_bytes().to_vec();
    record.extend([127, 0, 0, 1]);
    record.extend(address.port().to_be_bytes());
    record.extend([state, zone, 0, 0, 0]);
    record.extend(4_000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    record
}

/// A drain must not wait until a malformed record in the same frame is skipped.
#[test]
fn a_drain_in_a_frame_with_a_malformed_record_applies_at_once() {
    run(async {
        let proxy = TestProxy::start("drain_with_malformed_record").await;
        let cache_address = proxy.endpoints[&CACHES[0]].address;
        let changes = [record(0xdd, 0, 99, cache_address), record(CACHES[0], 1, 1, cache_address)].concat();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let watch_address = listener.local_addr().unwrap();
        let connections = serve_scripts(listener, vec![sends(&[frame(2, 2, &changes), purge(3, 18)])]);
        let listed = |proxy: &TestProxy| proxy.executor.endpoints_of_kind("box").len();
        let selectable =
            |proxy: &TestProxy| proxy.executor.backends("box", 1).iter().filter(|b| b.live).count();
        assert_eq!((listed(&proxy), selectable(&proxy)), (2, 2));
        proxy.discovery_address.send(watch_address).unwrap();
        wait_until(|| selectable(&proxy) == 1).await;
        assert_eq!(
            (connections.borrow().len(), last_event(&proxy)),
            (1, 1),
            "applied on the first connection, without counting the event"
        );
        wait_until(|| last_event(&proxy) == 3).await;
        assert_eq!((listed(&proxy), selectable(&proxy)), (2, 1));
    });
}

/// An event kind of a later protocol version is ignored, but its sequence number counts as received.
#[test]
fn an_event_of_an_unknown_kind_leaves_no_gap() {
    run(async {
        let (proxy, connections) =
            proxy_with_watch("later_kind", vec![sends(&[frame(2, 77, b"later"), purge(3, 18)])]).await;
        wait_until(|| last_event(&proxy) == 3).await;
        assert_eq!((connections.borrow().len(), proxy.executor.with(|e| e.counters.discovery_gaps)), (1, 0));
    });
}

#[test]
fn a_frame_corrupted_once_is_applied_on_retry() {
    run(async {
        let scripts = vec![sends(&[frame(2, 3, b"nonsense")]), sends(&[purge(2, 17)])];
        let (proxy, _) = proxy_with_watch("corrupted_once", scripts).await;
        wait_until(|| last_event(&proxy) == 2).await;
        assert_eq!(
            proxy.executor.with(|e| (e.counters.discovery_skipped, e.counters.discovery_events)),
            (0, 2)
        );
    });
}

/// Accepting a corrupted, too large sequence number would discard all later events as already applied.
#[test]
fn a_corrupted_sequence_number_does_not_discard_later_events() {
    run(async {
        let scripts = vec![sends(&[purge(1 << 40, 17)]), sends(&[purge(2, 17), purge(3, 18)])];
        let (proxy, connections) = proxy_with_watch("corrupted_number", scripts).await;
        wait_until(|| last_event(&proxy) == 3).await;
        assert_eq!(*connections.borrow(), [1, 1]);
        assert_eq!(proxy.executor.with(|e| (e.counters.discovery_gaps, e.counters.discovery_events)), (1, 3));
    });
}

/// Events that the service has lost must not stop the watch.
#[test]
fn a_persistent_gap_is_accepted() {
    run(async {
        let (proxy, connections) = proxy_with_watch("gap", vec![sends(&[purge(5, 17), purge(6, 18)])]).await;
        wait_until(|| last_event(&proxy) == 6).await;
        assert_eq!(*connections.borrow(), [1, 1, 1]);
        assert_eq!(proxy.executor.with(|e| e.counters.discovery_gaps), 2);
    });
}

/// Repeated and older events are ignored; new events are applied.
#[test]
fn repeated_events_are_ignored_and_new_ones_applied() {
    run(async {
        let scripts = vec![
            sends_and_closes(&[purge(2, 17), purge(2, 17), purge(3, 18)]),
            sends(&[purge(1, 16), purge(2, 17), purge(3, 18), purge(4, 19)]),
        ];
        let (proxy, connections) = proxy_with_watch("repeated_events", scripts).await;
        wait_until(|| last_event(&proxy) == 4).await;
        assert_eq!(*connections.borrow(), [1, 3]);
        assert_eq!(proxy.executor.with(|e| e.counters.discovery_events), 4);
    });
}

/// Requests are served from the configured endpoints until the service is up.
#[test]
fn the_watch_connects_once_a_service_that_was_down_at_startup_is_up() {
    run(async {
        let proxy = TestProxy::start("down_at_start").await;
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = unused.local_addr().unwrap();
        drop(unused);
        proxy.discovery_address.send(address).unwrap();
        wait_until(|| proxy.executor.with(|e| e.counters.discovery_faults) >= 4).await;
        let front: Rc<dyn edge_proxy::wire::front::Front> =
            Rc::new(edge_proxy::wire::platform::Platform::new(edge_proxy::wire::platform::limits(400)));
        let front_address = proxy.listen(front).await;
        let headers =
            "X-Call-Id: 0000000000000001\r\nX-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 412.5\r\n";
        assert_eq!(send_request(front_address, "GET", "/alive", "").await.status, 200);
        assert_eq!(
            send_request(front_address, "GET", "/ops/clip/7f3a9c21e0b4d655/slice-3", headers).await.status,
            200
        );
        let connections =
            serve_scripts(TcpListener::bind(address).await.unwrap(), vec![sends(&[purge(2, 17)])]);
        wait_until(|| last_event(&proxy) == 2).await;
        assert_eq!(*connections.borrow(), [1]);
    });
}

/// The watch must not wait for the old connection to time out.
#[test]
fn an_address_change_replaces_a_silent_connection_at_once() {
    run(async {
        let (proxy, first) = proxy_with_watch("address_change", vec![sends(&[])]).await;
        wait_until(|| first.borrow().len() == 1).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let second = serve_scripts(listener, vec![sends(&[purge(2, 17)])]);
        proxy.discovery_address.send(address).unwrap();
        wait_until(|| last_event(&proxy) == 2).await;
        assert_eq!((first.borrow().len(), second.borrow().clone()), (1, vec![1]));
        assert_eq!(
            proxy.executor.with(|e| e.counters.discovery_faults),
            0,
            "the old connection did not time out first"
        );
    });
}
