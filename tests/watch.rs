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

/// What a link brings once it has told its number; whether it ends then, or falls silent.
#[derive(Clone)]
struct Script {
    bytes: Vec<u8>,
    ends: bool,
}

fn says(frames: &[Vec<u8>]) -> Script {
    Script { bytes: frames.concat(), ends: false }
}

fn breaks(frames: &[Vec<u8>]) -> Script {
    Script { ends: true, ..says(frames) }
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

/// A watch whose k-th link brings the k-th script, the last one again and again; tells the numbers that links began with.
fn scripted(listener: TcpListener, scripts: Vec<Script>) -> Rc<RefCell<Vec<u64>>> {
    let links: Rc<RefCell<Vec<u64>>> = Rc::default();
    let begun = links.clone();
    spawn_local(async move {
        let mut held = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let Ok(last) = stream.read_u64().await else { continue };
            let k = begun.borrow().len().min(scripts.len() - 1);
            begun.borrow_mut().push(last);
            let _ = stream.write_all(&scripts[k].bytes).await;
            if !scripts[k].ends {
                held.push(stream);
            }
        }
    });
    links
}

/// A site whose watch is such a script.
async fn watched(name: &str, scripts: Vec<Script>) -> (Site, Rc<RefCell<Vec<u64>>>) {
    let site = Site::start(name).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let links = scripted(listener, scripts);
    site.moves.send(at).unwrap();
    (site, links)
}

fn last(site: &Site) -> u64 {
    site.host.with(|e| e.last_event_number())
}

/// Half a frame, then silence with the connection up: the link is given up and made anew from the last whole frame.
#[test]
fn half_a_frame_and_then_silence_is_noticed_and_asked_for_again() {
    run(async {
        let half = Script { bytes: [purge(2, 17), purge(3, 18)[..10].to_vec()].concat(), ends: false };
        let (site, links) = watched("half_frame", vec![half, says(&[purge(3, 18)])]).await;
        until(|| last(&site) == 3).await;
        assert_eq!(links.borrow()[..2], [1, 2]);
        assert_eq!(site.host.with(|e| (e.counters.discovery_events, e.counters.discovery_skipped)), (3, 0));
    });
}

/// The connection breaks in the middle of a frame: nothing of it is taken, and all of it the next time.
#[test]
fn a_break_in_the_middle_of_a_frame_loses_nothing() {
    run(async {
        let cut = Script { bytes: purge(2, 17)[..12].to_vec(), ends: true };
        let (site, links) = watched("cut_frame", vec![cut, says(&[purge(2, 17)])]).await;
        until(|| last(&site) == 2).await;
        assert_eq!(links.borrow()[..2], [1, 1]);
    });
}

/// One frame that nobody can read: asked for again in case it was garbled on its way, then skipped. Before, all that came
/// behind it, drains among them, was never heard of.
#[test]
fn a_frame_that_stays_unreadable_is_skipped_and_what_follows_is_taken() {
    run(async {
        let bad = frame(2, 3, b"nonsense");
        let (site, links) = watched("unreadable", vec![says(&[bad, purge(3, 18)])]).await;
        until(|| last(&site) == 3).await;
        assert_eq!(*links.borrow(), [1, 1, 1], "so often it may come whole");
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

/// A drain that stands beside an endpoint of an unknown zone binds from the first time that it is told.
#[test]
fn a_drain_beside_a_record_that_cannot_be_read_binds_at_once() {
    run(async {
        let site = Site::start("beside").await;
        let at = site.endpoints[&CACHES[0]].address;
        let changes = [record(0xdd, 0, 99, at), record(CACHES[0], 1, 1, at)].concat();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let links = scripted(listener, vec![says(&[frame(2, 2, &changes), purge(3, 18)])]);
        let live = |site: &Site| site.host.endpoints_of_kind("box").len();
        let takes = |site: &Site| site.host.backends("box", 1).iter().filter(|b| b.live).count();
        assert_eq!((live(&site), takes(&site)), (2, 2));
        site.moves.send(to).unwrap();
        until(|| takes(&site) == 1).await;
        assert_eq!(
            (links.borrow().len(), last(&site)),
            (1, 1),
            "at the first time, though its number stays open"
        );
        until(|| last(&site) == 3).await;
        assert_eq!((live(&site), takes(&site)), (2, 1));
    });
}

/// A kind of event of a later day is passed over, and its number counts.
#[test]
fn an_unknown_kind_of_event_leaves_no_gap() {
    run(async {
        let (site, links) = watched("later_kind", vec![says(&[frame(2, 77, b"later"), purge(3, 18)])]).await;
        until(|| last(&site) == 3).await;
        assert_eq!((links.borrow().len(), site.host.with(|e| e.counters.discovery_gaps)), (1, 0));
    });
}

/// A frame that was garbled once is not skipped.
#[test]
fn a_frame_that_comes_whole_the_second_time_is_taken() {
    run(async {
        let scripts = vec![says(&[frame(2, 3, b"nonsense")]), says(&[purge(2, 17)])];
        let (site, _) = watched("garbled_once", scripts).await;
        until(|| last(&site) == 2).await;
        assert_eq!(site.host.with(|e| (e.counters.discovery_skipped, e.counters.discovery_events)), (0, 2));
    });
}

/// A number far ahead, as one that was garbled is: taken at its word, all that follows would count as old.
#[test]
fn a_garbled_number_does_not_make_all_that_follows_old() {
    run(async {
        let scripts = vec![says(&[purge(1 << 40, 17)]), says(&[purge(2, 17), purge(3, 18)])];
        let (site, links) = watched("garbled_number", scripts).await;
        until(|| last(&site) == 3).await;
        assert_eq!(*links.borrow(), [1, 1]);
        assert_eq!(site.host.with(|e| (e.counters.discovery_gaps, e.counters.discovery_events)), (1, 3));
    });
}

/// Numbers that are really missing do not stop the watch.
#[test]
fn a_gap_that_stays_is_taken_as_it_is() {
    run(async {
        let (site, links) = watched("gap", vec![says(&[purge(5, 17), purge(6, 18)])]).await;
        until(|| last(&site) == 6).await;
        assert_eq!(*links.borrow(), [1, 1, 1]);
        assert_eq!(site.host.with(|e| e.counters.discovery_gaps), 2);
    });
}

/// Events told twice, and a watch that comes back with older numbers, change nothing; what is new is taken.
#[test]
fn old_numbers_change_nothing() {
    run(async {
        let scripts = vec![
            breaks(&[purge(2, 17), purge(2, 17), purge(3, 18)]),
            says(&[purge(1, 16), purge(2, 17), purge(3, 18), purge(4, 19)]),
        ];
        let (site, links) = watched("old_numbers", scripts).await;
        until(|| last(&site) == 4).await;
        assert_eq!(*links.borrow(), [1, 3]);
        assert_eq!(site.host.with(|e| e.counters.discovery_events), 4);
    });
}

/// A watch that is down at the start: what the configuration knows is served from, and the link comes up once it can.
#[test]
fn a_watch_that_is_down_at_the_start_is_found_later() {
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
        let links = scripted(TcpListener::bind(at).await.unwrap(), vec![says(&[purge(2, 17)])]);
        until(|| last(&site) == 2).await;
        assert_eq!(*links.borrow(), [1]);
    });
}

/// The configuration names another watch while the old one holds a connect or says nothing: the new one is asked at once.
#[test]
fn a_move_ends_a_link_that_is_silent_or_waits() {
    run(async {
        let (site, first) = watched("moves_away", vec![says(&[])]).await;
        until(|| first.borrow().len() == 1).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let second = scripted(listener, vec![says(&[purge(2, 17)])]);
        site.moves.send(at).unwrap();
        until(|| last(&site) == 2).await;
        assert_eq!((first.borrow().len(), second.borrow().clone()), (1, vec![1]));
        assert_eq!(
            site.host.with(|e| e.counters.discovery_faults),
            0,
            "it did not wait for the silence to end"
        );
    });
}
