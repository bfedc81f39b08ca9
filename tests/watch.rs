//! The watch on the list of members and purges, against a stand-in that breaks off, falls silent, garbles, skips numbers
//! and comes back with old ones. Real connections; what each link brings is scripted.

mod stand_ins;

use stand_ins::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// What a connection brings once its first number is read, and whether it closes then or falls silent.
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

fn frame(no: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    frame.extend(no.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame
}

fn purge(no: u64, group: u16) -> Vec<u8> {
    frame(no, 4, &[&group.to_be_bytes()[..], &(START_MS as u64).to_be_bytes()[..]].concat())
}

/// A watch whose k-th link brings the k-th script, the last one again and again; tells the numbers that connections began with.
fn serve_scripts(listener: TcpListener, scripts: Vec<ScriptedWatch>) -> Rc<RefCell<Vec<u64>>> {
    let connections: Rc<RefCell<Vec<u64>>> = Rc::default();
    let started = connections.clone();
    spawn_local(async move {
        let mut held = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let Ok(last) = stream.read_u64().await else { continue };
            let k = started.borrow().len().min(scripts.len() - 1);
            started.borrow_mut().push(last);
            let _ = stream.write_all(&scripts[k].bytes).await;
            if !scripts[k].closes {
                held.push(stream);
            }
        }
    });
    connections
}

/// A site with a watch on such a service.
async fn site_with_watch(name: &str, scripts: Vec<ScriptedWatch>) -> (Site, Rc<RefCell<Vec<u64>>>) {
    let site = Site::start(name).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let connections = serve_scripts(listener, scripts);
    site.moves.send(at).unwrap();
    (site, connections)
}

fn last_event(site: &Site) -> u64 {
    site.host.with(|e| e.last_event_number())
}

/// Half a frame, then silence with the connection up: the watch reconnects from the last complete frame.
#[test]
fn a_partial_frame_followed_by_silence_is_requested_again() {
    run(async {
        let half =
            ScriptedWatch { bytes: [purge(2, 17), purge(3, 18)[..10].to_vec()].concat(), closes: false };
        let (site, connections) = site_with_watch("half_frame", vec![half, sends(&[purge(3, 18)])]).await;
        until(|| last_event(&site) == 3).await;
        assert_eq!(connections.borrow()[..2], [1, 2]);
        assert_eq!(site.host.with(|e| (e.counters.discovery_events, e.counters.discovery_skipped)), (3, 0));
    });
}

/// The connection is lost in the middle of a frame: nothing of it is applied, and all of it the next time.
#[test]
fn a_connection_lost_within_a_frame_loses_no_event() {
    run(async {
        let cut = ScriptedWatch { bytes: purge(2, 17)[..12].to_vec(), closes: true };
        let (site, connections) = site_with_watch("cut_frame", vec![cut, sends(&[purge(2, 17)])]).await;
        until(|| last_event(&site) == 2).await;
        assert_eq!(connections.borrow()[..2], [1, 1]);
    });
}

/// One frame that cannot be read: requested again in case it was corrupted on its way, then skipped. Before, all that came
/// behind it, drains among them, was never applied.
#[test]
fn a_persistently_unreadable_frame_is_skipped_and_later_events_apply() {
    run(async {
        let bad = frame(2, 3, b"nonsense");
        let (site, connections) = site_with_watch("unreadable", vec![sends(&[bad, purge(3, 18)])]).await;
        until(|| last_event(&site) == 3).await;
        assert_eq!(*connections.borrow(), [1, 1, 1], "so often it may arrive intact");
        assert_eq!(site.host.with(|e| (e.counters.discovery_skipped, e.counters.discovery_events)), (1, 2));
    });
}

fn record(id: u32, state: u8, zone: u8, at: SocketAddr) -> Vec<u8> {
    let mut record = id.to_be_bytes().to_vec();
    record.extend([127, 0, 0, 1]);
    record.extend(at.port().to_be_bytes());
    record.extend([state, zone, 0, 0, 0]);
    record.extend(4_000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    record
}

/// A drain beside an endpoint of an unknown zone takes effect the first time that it arrives.
#[test]
fn a_drain_beside_an_unreadable_record_takes_effect_at_once() {
    run(async {
        let site = Site::start("beside").await;
        let at = site.endpoints[&CACHES[0]].address;
        let changes = [record(0xdd, 0, 99, at), record(CACHES[0], 1, 1, at)].concat();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let connections = serve_scripts(listener, vec![sends(&[frame(2, 2, &changes), purge(3, 18)])]);
        let live = |site: &Site| site.host.endpoints_of_kind("box").len();
        let takes = |site: &Site| site.host.backends("box", 1).iter().filter(|b| b.live).count();
        assert_eq!((live(&site), takes(&site)), (2, 2));
        site.moves.send(to).unwrap();
        until(|| takes(&site) == 1).await;
        assert_eq!(
            (connections.borrow().len(), last_event(&site)),
            (1, 1),
            "the first time, though its number stays open"
        );
        until(|| last_event(&site) == 3).await;
        assert_eq!((live(&site), takes(&site)), (2, 1));
    });
}

/// An event of an unknown kind is ignored, and its number counts.
#[test]
fn an_unknown_kind_of_event_leaves_no_gap() {
    run(async {
        let (site, connections) =
            site_with_watch("later_kind", vec![sends(&[frame(2, 77, b"later"), purge(3, 18)])]).await;
        until(|| last_event(&site) == 3).await;
        assert_eq!((connections.borrow().len(), site.host.with(|e| e.counters.discovery_gaps)), (1, 0));
    });
}

/// A frame that was corrupted once is not skipped.
#[test]
fn a_frame_corrupted_once_is_applied_on_retry() {
    run(async {
        let scripts = vec![sends(&[frame(2, 3, b"nonsense")]), sends(&[purge(2, 17)])];
        let (site, _) = site_with_watch("garbled_once", scripts).await;
        until(|| last_event(&site) == 2).await;
        assert_eq!(site.host.with(|e| (e.counters.discovery_skipped, e.counters.discovery_events)), (0, 2));
    });
}

/// A number far ahead, as a corrupted one is: if it were accepted, all later events would count as stale.
#[test]
fn a_corrupted_sequence_number_does_not_discard_later_events() {
    run(async {
        let scripts = vec![sends(&[purge(1 << 40, 17)]), sends(&[purge(2, 17), purge(3, 18)])];
        let (site, connections) = site_with_watch("garbled_number", scripts).await;
        until(|| last_event(&site) == 3).await;
        assert_eq!(*connections.borrow(), [1, 1]);
        assert_eq!(site.host.with(|e| (e.counters.discovery_gaps, e.counters.discovery_events)), (1, 3));
    });
}

/// Numbers that are really missing do not stop the watch.
#[test]
fn a_persistent_gap_is_accepted() {
    run(async {
        let (site, connections) = site_with_watch("gap", vec![sends(&[purge(5, 17), purge(6, 18)])]).await;
        until(|| last_event(&site) == 6).await;
        assert_eq!(*connections.borrow(), [1, 1, 1]);
        assert_eq!(site.host.with(|e| e.counters.discovery_gaps), 2);
    });
}

/// Repeated events, and a watch that comes back with older numbers, change nothing; new events are applied.
#[test]
fn stale_sequence_numbers_change_nothing() {
    run(async {
        let scripts = vec![
            sends_and_closes(&[purge(2, 17), purge(2, 17), purge(3, 18)]),
            sends(&[purge(1, 16), purge(2, 17), purge(3, 18), purge(4, 19)]),
        ];
        let (site, connections) = site_with_watch("old_numbers", scripts).await;
        until(|| last_event(&site) == 4).await;
        assert_eq!(*connections.borrow(), [1, 3]);
        assert_eq!(site.host.with(|e| e.counters.discovery_events), 4);
    });
}

/// A watch that is down at the start: requests are served from the configured list, and the watch is established later.
#[test]
fn a_watch_that_is_down_at_the_start_is_established_later() {
    run(async {
        let site = Site::start("down_at_start").await;
        let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at: SocketAddr = gone.local_addr().unwrap();
        drop(gone);
        site.moves.send(at).unwrap();
        until(|| site.host.with(|e| e.counters.discovery_faults) >= 4).await;
        let front: Rc<dyn edge_proxy::wire::front::Front> =
            Rc::new(edge_proxy::wire::platform::Platform::new(edge_proxy::wire::platform::limits(400)));
        let listen = site.open(front).await;
        let headers =
            "X-Call-Id: 0000000000000001\r\nX-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 412.5\r\n";
        assert_eq!(ask(listen, "GET", "/alive", "").await.status, 200);
        assert_eq!(ask(listen, "GET", "/ops/clip/7f3a9c21e0b4d655/slice-3", headers).await.status, 200);
        let connections = serve_scripts(TcpListener::bind(at).await.unwrap(), vec![sends(&[purge(2, 17)])]);
        until(|| last_event(&site) == 2).await;
        assert_eq!(*connections.borrow(), [1]);
    });
}

/// The configuration names another address while the old connection is silent or still connecting: the new one is used at once.
#[test]
fn an_address_change_ends_a_silent_or_connecting_watch() {
    run(async {
        let (site, first) = site_with_watch("moves_away", vec![sends(&[])]).await;
        until(|| first.borrow().len() == 1).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let second = serve_scripts(listener, vec![sends(&[purge(2, 17)])]);
        site.moves.send(at).unwrap();
        until(|| last_event(&site) == 2).await;
        assert_eq!((first.borrow().len(), second.borrow().clone()), (1, vec![1]));
        assert_eq!(
            site.host.with(|e| e.counters.discovery_faults),
            0,
            "it did not wait for the silence to end"
        );
    });
}
