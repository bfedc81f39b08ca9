//! The program as a process whose descriptors are few, whose endpoint watch is down or silent, and that
//! is killed and started again: whatever the order, a request is served in the end, and what must not wait for
//! anything else does not.

mod stand_ins;

use stand_ins::blocking::*;
use stand_ins::running::Running;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Descriptors of a process that is short of them.
const FEW: u32 = 64;
/// Idle clients, more than a process of [`FEW`] descriptors could hold.
const IDLE: usize = 150;

/// A configuration that knows these caches, for a process that is told to have 1,024 descriptors.
fn known(watch: SocketAddr, caches: &[(u32, SocketAddr)], admin: Option<SocketAddr>) -> String {
    let endpoints: Vec<(u32, &str, SocketAddr)> = caches.iter().map(|(id, at)| (*id, "box", *at)).collect();
    let admin = admin.map_or(String::new(), |at| format!(r#""mgmt":"{at}","#));
    stand_ins::config(watch, &endpoints)
        .replace(r#""listen":"127.0.0.1:1","#, &format!(r#""listen":"127.0.0.1:5050",{admin}"#))
}

/// A free address on loopback, with nobody listening there by now.
fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn get(id: u64) -> String {
    format!(
        "GET /ops/clip/{:016x}/slice-3 HTTP/1.1\r\nHost: o\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\n\
         X-Set: 17\r\nX-Heap-Kb: 412.5\r\n\r\n",
        id * 7_919
    )
}

/// Reads one answer whole; its head and its body.
fn read(stream: &mut TcpStream) -> (String, String) {
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("an answer");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).unwrap();
    (head, String::from_utf8(body).unwrap())
}

/// One request on a connection: the status and the body.
fn ask(stream: &mut TcpStream, id: u64) -> (String, String) {
    stream.write_all(get(id).as_bytes()).unwrap();
    let (head, body) = read(stream);
    (head[9..12].to_string(), body)
}

/// Asks until an endpoint of this name serves a request: the proxy hears of changes in its own time.
fn served_by(proxy: &Running, ids: &mut u64, name: &str) {
    loop {
        *ids += 1;
        let (status, body) = ask(&mut proxy.connect(), *ids);
        if (&*status, &*body) == ("200", name) {
            return;
        }
    }
}

fn figure(proxy: &mut Running, name: &str) -> u64 {
    proxy.signal("-USR1");
    let line = proxy.until(&format!("{name} "));
    line.trim().split(' ').next_back().unwrap().parse().unwrap()
}

/// Idle clients fill all that clients may hold while the endpoint watch is down: the dial to an endpoint, the admin
/// address and the watch, once it is back, get their descriptors. Nothing is ever accepted for which there is none.
#[test]
fn idle_clients_leave_descriptors_to_the_watch_the_endpoints_and_the_admin_address() {
    let endpoint = NamedEndpoint::start("one");
    let (watch, admin) = (free(), free());
    let mut proxy =
        Running::start_of(&known(watch, &[(0xc1, endpoint.address)], Some(admin)), "few.json", FEW);
    let idle: Vec<TcpStream> = (0..IDLE).map(|_| proxy.connect()).collect();
    // The dial to the endpoint. An honest client waits for its place behind the others, and gets one.
    assert_eq!(ask(&mut proxy.connect(), 1), ("200".to_string(), "one".to_string()));
    // The admin address.
    let mut call = TcpStream::connect(admin).unwrap();
    call.write_all(b"GET /healthcheck HTTP/1.1\r\nHost: o\r\n\r\n").unwrap();
    assert!(read(&mut call).0.starts_with("HTTP/1.1 200"));
    // The watch comes back and brings a new endpoint, while the idle clients are still there.
    let other = NamedEndpoint::start("two");
    let listener = TcpListener::bind(watch).unwrap();
    let (mut stream, last) = accept_watch(&listener);
    assert_eq!(last, 1);
    let list = [cache_record(0xc2, other.address, 0)].concat();
    stream.write_all(&frame(2, 1, &list)).unwrap();
    served_by(&proxy, &mut 1, "two");
    assert_eq!(figure(&mut proxy, "accept_failures"), 0);
    drop(idle);
    assert!(proxy.alive(&mut proxy.connect()).starts_with("HTTP/1.1 200"));
}

/// A process that starts with discovery down, or accepting connections and never answering, and with few descriptors under a
/// flood of idle clients, is ready at once and serves from what its configuration knows.
#[test]
fn a_process_is_ready_at_once_whatever_discovery_does() {
    for silent in [false, true] {
        let endpoint = NamedEndpoint::start("known");
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let watch = listener.local_addr().unwrap();
        // Accepted by the system and never answered; or refused.
        let _silent = silent.then_some(listener);
        let text = known(watch, &[(0xc1, endpoint.address)], None);
        let name = format!("ready{silent}.json");
        let mut proxy = Running::start_of(&text, &name, FEW);
        for round in 0..2 {
            assert!(proxy.alive(&mut proxy.connect()).starts_with("HTTP/1.1 200"));
            let idle: Vec<TcpStream> = (0..IDLE).map(|_| proxy.connect()).collect();
            assert_eq!(ask(&mut proxy.connect(), 1), ("200".to_string(), "known".to_string()));
            // Its first answer did not wait for a link: none has ever brought anything.
            assert_eq!(figure(&mut proxy, "bulletin_events"), 1);
            if round == 0 {
                // Killed with all its clients, and started again at once at the same address.
                let port = proxy.port;
                proxy.child.kill().unwrap();
                proxy = Running::start_at(port, &text, &name, FEW).expect("the address is free again");
            }
            drop(idle);
        }
    }
}

/// SIGKILL with a connection that was just accepted and one that still waits in the machine's queue, and a start at the
/// same address before the old process is waited for: the new one serves.
#[test]
fn a_kill_right_after_an_accept_and_a_start_at_the_same_address_serves() {
    let endpoint = NamedEndpoint::start("again");
    let text = known(free(), &[(0xc1, endpoint.address)], None);
    let mut proxy = Running::start_of(&text, "again.json", FEW);
    for round in 1..=5 {
        let mut accepted = proxy.connect();
        accepted.write_all(get(round).as_bytes()).unwrap();
        // It is at the endpoint, or not yet taken: both in turn. What the last process had sent may be told late.
        if round % 2 == 0 {
            while endpoint.request_ids.recv_timeout(HANG_TIMEOUT).unwrap() != format!("{round:016x}") {}
        }
        let port = proxy.port;
        proxy.signal("-KILL");
        // The old one may not be gone yet.
        proxy = Running::start_at(port, &text, "again.json", FEW).expect("it takes the address");
        let (status, body) = ask(&mut proxy.connect(), 100 + round);
        assert_eq!((&*status, &*body), ("200", "again"));
        while endpoint.request_ids.recv_timeout(HANG_TIMEOUT).unwrap() != format!("{:016x}", 100 + round) {}
    }
}

/// A start while another process still has the address, as one that was killed and not waited for may: it serves once the
/// address is free.
#[test]
fn a_start_at_an_address_that_is_still_in_use_serves_once_it_is_free() {
    let endpoint = NamedEndpoint::start("late");
    // Who has the address first.
    let ending = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = ending.local_addr().unwrap().port();
    let text = known(free(), &[(0xc1, endpoint.address)], None);
    let mut proxy = Running::spawn_at(port, &text, "in_use.json", FEW);
    assert!(proxy.begins("the address is in use"), "it ended instead of waiting");
    drop(ending);
    proxy.until("serves on");
    assert_eq!(ask(&mut proxy.connect(), 1), ("200".to_string(), "late".to_string()));
}

/// SIGHUP, then a drain of the endpoint that served: the other one serves. And once more the other way round.
#[test]
fn a_drain_after_a_reload_leaves_a_proxy_that_serves() {
    let (one, two) = (NamedEndpoint::start("one"), NamedEndpoint::start("two"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let watch = listener.local_addr().unwrap();
    let text = known(watch, &[(0xc1, one.address), (0xc2, two.address)], None);
    let mut proxy = Running::start_of(&text, "drain.json", 256);
    let (mut stream, _) = accept_watch(&listener);
    let (mut ids, mut no) = (0, 1);
    let mut tell = |stream: &mut TcpStream, record: Vec<u8>| {
        no += 1;
        stream.write_all(&frame(no, 2, &record)).unwrap();
    };
    for (drains, at, serves) in [(0xc1, one.address, "two"), (0xc2, two.address, "one")] {
        let back = if drains == 0xc2 { cache_record(0xc1, one.address, 0) } else { Vec::new() };
        if !back.is_empty() {
            tell(&mut stream, back);
            served_by(&proxy, &mut ids, "one");
        }
        proxy.signal("-HUP");
        proxy.until("configuration reloaded");
        tell(&mut stream, cache_record(drains, at, 1));
        served_by(&proxy, &mut ids, serves);
        // Told by now: nothing more goes to the one that drains.
        for _ in 0..20 {
            ids += 1;
            assert_eq!(ask(&mut proxy.connect(), ids), ("200".to_string(), serves.to_string()));
        }
        proxy.signal("-HUP");
        proxy.until("configuration reloaded");
        served_by(&proxy, &mut ids, serves);
    }
}

/// A watch that brings changes for a while and then falls silent with its connection up; and one that brings a whole list
/// in the middle that replaces all endpoints. The last list told is served from, and the next link goes on from its number.
#[test]
fn a_complete_list_and_a_silence_after_it_leave_a_proxy_that_serves() {
    let (old, new, last) =
        (NamedEndpoint::start("old"), NamedEndpoint::start("new"), NamedEndpoint::start("last"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let watch = listener.local_addr().unwrap();
    let proxy = Running::start_of(&known(watch, &[(0xc1, old.address)], None), "whole.json", 256);
    let mut ids = 0;
    served_by(&proxy, &mut ids, "old");
    let (mut stream, begun) = accept_watch(&listener);
    assert_eq!(begun, 1);
    stream.write_all(&frame(1, 0, &[])).unwrap();
    stream.write_all(&frame(2, 2, &cache_record(0xc2, new.address, 1))).unwrap();
    // The whole list: another endpoint altogether, in two writes with the cut inside a record.
    let list = frame(3, 1, &[cache_record(0xc3, new.address, 0), origin_record(0xb0, new.address)].concat());
    stream.write_all(&list[..30]).unwrap();
    stream.flush().unwrap();
    stream.write_all(&list[30..]).unwrap();
    served_by(&proxy, &mut ids, "new");
    // Silence from here on, with the connection up. The proxy asks again, from the last number.
    let (mut fresh, begun) = accept_watch(&listener);
    assert_eq!(begun, 3);
    served_by(&proxy, &mut ids, "new");
    fresh.write_all(&frame(4, 1, &cache_record(0xc4, last.address, 0))).unwrap();
    served_by(&proxy, &mut ids, "last");
    // A list that says what is known, and once more silence.
    fresh.write_all(&frame(5, 1, &cache_record(0xc4, last.address, 0))).unwrap();
    let (_third, begun) = accept_watch(&listener);
    assert_eq!(begun, 5);
    served_by(&proxy, &mut ids, "last");
    drop(stream);
}

/// Requests in pieces: a byte at a time, cut at every place in turn, and cut inside every CR LF.
#[test]
fn requests_in_pieces_are_served() {
    let endpoint = NamedEndpoint::start("pieces");
    let proxy = Running::start_of(&known(free(), &[(0xc1, endpoint.address)], None), "pieces.json", 256);
    let mut client = proxy.connect();
    client.set_nodelay(true).unwrap();
    let mut id = 1;
    let expected = ("200".to_string(), "pieces".to_string());
    let served = |client: &mut TcpStream| {
        let (head, body) = read(client);
        (head[9..12].to_string(), body)
    };
    for byte in get(id).as_bytes() {
        client.write_all(&[*byte]).unwrap();
        // Each byte is a packet of its own, and most likely a read of its own.
        std::thread::yield_now();
    }
    assert_eq!(served(&mut client), expected);
    for cut in 1..get(id).len() {
        id += 1;
        let text = get(id);
        client.write_all(&text.as_bytes()[..cut]).unwrap();
        if cut % 16 == 0 || text.as_bytes()[cut - 1] == b'\r' {
            // An answer on another connection says that the proxy has seen the first piece by itself.
            assert!(proxy.alive(&mut proxy.connect()).starts_with("HTTP/1.1 200"));
        }
        client.write_all(&text.as_bytes()[cut..]).unwrap();
        assert_eq!(served(&mut client), expected, "cut at {cut}");
    }
}
