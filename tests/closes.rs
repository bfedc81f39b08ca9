//! The instants at which something ends on a client's or a member's connection: what is owed then, and that nothing
//! else is lost. Real loopback connections; the bad order is forced by barriers, or by writing from outside the runtime.

mod stand_ins;

use edge_proxy::clock::Clock;
use edge_proxy::state::requests::IncomingRequest;
use edge_proxy::wire::client_stream::{ClientStream, Received, MAX_AHEAD};
use edge_proxy::wire::front::{ConnectionLimits, Front};
use edge_proxy::wire::http_codec::HttpCodec;
use edge_proxy::wire::platform::{limits, Platform};
use socket2::SockRef;
use stand_ins::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as Blocking};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const CLIP: &str = "/ops/clip/7f3a9c21e0b4d655/slice-3";

async fn open_with(name: &str, limits: ConnectionLimits) -> (Site, SocketAddr) {
    let site = Site::start(name).await;
    let front: Rc<dyn Front> = Rc::new(Platform::new(limits));
    let at = site.open(front).await;
    (site, at)
}

async fn open(name: &str) -> (Site, SocketAddr) {
    open_with(name, limits(400)).await
}

fn get(id: u64) -> String {
    format!(
        "GET {CLIP} HTTP/1.1\r\nHost: o\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 412.5\r\n\r\n"
    )
}

fn dropped(site: &Site) -> usize {
    site.endpoints.values().map(|m| m.dropped.borrow().len()).sum()
}

// ---- the client has left ----

/// What a client sent ahead of its answer must not hide that it left: before, one early request ended the reading.
#[test]
fn a_client_that_leaves_behind_a_pipelined_request_or_stray_bytes_is_noticed() {
    for (k, ahead) in [get(2), get(2) + &get(3), "GE".to_string(), "\r\n".to_string()].into_iter().enumerate()
    {
        run(async move {
            let (site, at) = open(&format!("ahead{k}")).await;
            site.all(silent());
            let mut client = Client::connect(at).await;
            client.write(get(1).as_bytes()).await;
            until(|| site.asked_in_all() == 1).await;
            client.write(ahead.as_bytes()).await;
            drop(client);
            until(|| dropped(&site) == 1).await;
            assert_eq!(site.host.with(|e| (e.counters.clients_disconnected, e.open_requests())), (1, 0));
            assert_eq!(site.asked_in_all(), 1, "nothing of what came ahead is sent on");
        });
    }
}

/// The same where the client only ended its side: it reads no answer any more, as the platform's clients do.
#[test]
fn a_half_closed_client_counts_as_gone_and_stray_bytes_do_not() {
    run(async {
        let (site, at) = open("half").await;
        site.all(silent());
        let mut stream = Blocking::connect(at).unwrap();
        stream.write_all(get(1).as_bytes()).unwrap();
        until(|| site.asked_in_all() == 1).await;
        stream.write_all(b"\r\n\r\nGET").unwrap();
        tokio::task::yield_now().await;
        assert_eq!(
            site.host.with(|e| (e.counters.clients_disconnected, e.open_requests())),
            (0, 1),
            "bytes are no leaving"
        );
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        until(|| dropped(&site) == 1).await;
        assert_eq!(site.host.with(|e| e.counters.clients_disconnected), 1);
    });
}

/// A request whose client was gone before it was read is never sent on: the client wrote and closed before the proxy's
/// thread, which is this test's, could accept.
#[test]
fn a_request_of_a_client_that_is_gone_already_is_never_sent_on() {
    run(async {
        let (site, at) = open("gone_already").await;
        for id in 1..=20 {
            let mut stream = Blocking::connect(at).unwrap();
            stream.write_all(get(id).as_bytes()).unwrap();
        }
        until(|| site.host.with(|e| e.counters.clients_disconnected) == 20).await;
        assert_eq!((site.asked_in_all(), site.host.with(|e| e.counters.requests)), (0, 0));
        assert_eq!(ask(at, "GET", "/alive", "").await.status, 200);
    });
}

/// A client that waits for its place, sends more behind its request than the machine holds for one that nobody reads, and
/// closes: its end stands behind all that, and its request is never sent on once its turn comes.
#[test]
fn a_client_that_left_behind_a_flood_before_its_turn_is_never_sent_on() {
    for pipelines in [false, true] {
        run(async move {
            let limits = ConnectionLimits { one_at_a_time: !pipelines, ..limits(1) };
            let (site, at) = open_with(&format!("before_turn{pipelines}"), limits).await;
            site.all(silent());
            let mut first = Client::connect(at).await;
            first.write(get(1).as_bytes()).await;
            until(|| site.asked_in_all() == 1).await;
            // Accepted, and nothing read of it while the only place is taken.
            let mut second = Blocking::connect(at).unwrap();
            second.write_all(get(2).as_bytes()).unwrap();
            flood(&mut second).await;
            drop(second);
            until(|| site.host.with(|e| e.counters.client_connections) == 2).await;
            drop(first);
            until(|| site.stop.open_or_lingering() == 0).await;
            assert_eq!(site.host.with(|e| (e.counters.clients_disconnected, e.counters.requests)), (2, 1));
            assert_eq!(site.asked_in_all(), 1);
        });
    }
}

/// A listener that completes no further connection: its queue is full, and a dial to it hangs until it gives up.
fn hangs() -> (socket2::Socket, Vec<socket2::Socket>, SocketAddr) {
    let tcp = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let listener = tcp();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let at = listener.local_addr().unwrap().as_socket().unwrap();
    let fill = || {
        let socket = tcp();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&at.into());
        socket
    };
    let filled = (0..4).map(|_| fill()).collect();
    (listener, filled, at)
}

/// Clients that leave while the dial to their endpoint is under way, closed or reset, with a further request ahead or not:
/// nothing is sent once the dial has failed, and nothing is owed.
#[test]
fn clients_that_leave_while_a_dial_hangs_have_nothing_sent_on() {
    for (k, (ahead, reset)) in
        [(false, false), (false, true), (true, false), (true, true)].into_iter().enumerate()
    {
        run(async move {
            let (site, at) = open(&format!("hanging{k}")).await;
            let (_listener, _filled, cache) = hangs();
            site.bulletin.state(CACHES[0], cache, 0, 0);
            site.bulletin.state(CACHES[1], cache, 0, 2);
            until(|| site.host.with(|e| e.last_event_number()) == 3).await;
            // Two wait for the same dial.
            let clients: Vec<Blocking> = (1..=2)
                .map(|id| {
                    let mut stream = Blocking::connect(at).unwrap();
                    stream.write_all(get(id).as_bytes()).unwrap();
                    if ahead {
                        stream.write_all(get(10 + id).as_bytes()).unwrap();
                    }
                    stream
                })
                .collect();
            until(|| site.host.with(|e| e.counters.attempts) == 2).await;
            assert_eq!(site.host.with(|e| e.counters.connection_failures), 0, "the dial is under way");
            for stream in clients {
                if reset {
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                }
            }
            until(|| site.host.with(|e| e.counters.clients_disconnected) == 2).await;
            assert_eq!(
                site.host.with(|e| (e.open_requests(), e.counters.connection_failures)),
                (0, 0),
                "before the dial ends"
            );
            until(|| site.host.with(|e| e.counters.connection_failures) > 0).await;
            tokio::task::yield_now().await;
            assert_eq!((site.asked_in_all(), site.host.with(|e| e.counters.attempts)), (0, 2));
        });
    }
}

/// Clients that leave behind others at an endpoint that never answers: each is called off at once, and an endpoint that fails
/// afterwards is no cause for a further attempt.
#[test]
fn clients_that_left_get_no_further_attempt_when_their_member_fails() {
    run(async {
        let (site, at) = open("no_further").await;
        site.all(silent());
        let mut clients = Vec::new();
        for id in 1..=12 {
            let mut client = Client::connect(at).await;
            client.write(get(id).as_bytes()).await;
            clients.push(client);
        }
        until(|| site.asked_in_all() == 12).await;
        let attempts = site.host.with(|e| e.counters.attempts);
        drop(clients);
        until(|| dropped(&site) == 12).await;
        // Every time limit passes.
        (0..40).for_each(|_| site.pass(100.0));
        until(|| site.host.with(|e| e.open_requests()) == 0).await;
        assert_eq!((site.asked_in_all(), site.host.with(|e| e.counters.attempts)), (12, attempts));
    });
}

/// Pipelined requests are answered in their order, each once, and none goes out before its turn.
#[test]
fn pipelined_requests_wait_for_their_turn() {
    run(async {
        let (site, at) = open("turns").await;
        let mut client = Client::connect(at).await;
        client.write((get(1) + &get(2) + &get(3)).as_bytes()).await;
        for _ in 0..3 {
            assert_eq!(client.read(false).await.unwrap().status, 200);
        }
        assert_eq!(site.asked_in_all(), 3);
    });
}

/// A flood of bytes behind an open request is bounded, does not hide the leaving, and its answer ends the connection.
#[test]
fn a_flood_behind_a_request_is_thrown_away_and_the_answer_still_comes() {
    run(async {
        let (site, at) = open("flood").await;
        site.all(silent());
        let mut client = Client::connect(at).await;
        client.write(get(1).as_bytes()).await;
        until(|| site.asked_in_all() == 1).await;
        client.write(&vec![b'x'; 400_000]).await;
        let answer = spawn_local(async move { client.read(false).await.unwrap() });
        while !answer.is_finished() {
            site.pass(20.0);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let answer = answer.await.unwrap();
        assert!(answer.closed && matches!(answer.status, 429 | 503 | 504), "{answer:?}");
        assert_eq!(site.host.with(|e| e.counters.clients_disconnected), 0);
    });
}

/// Writes behind an open request for as long as the machine takes it: either the proxy reads on, or every buffer between
/// is full and whatever follows, the end of the client's side too, waits behind it.
async fn flood(stream: &mut Blocking) {
    /// More than the buffers of a loopback connection hold, in bytes.
    const FLOOD: usize = 16 << 20;
    /// Looks at a connection that takes nothing, a millisecond apart, after which it is full.
    const FULL_LOOKS: u32 = 50;
    stream.set_nonblocking(true).unwrap();
    let (mut sent, mut full) = (0, 0);
    while sent < FLOOD && full < FULL_LOOKS {
        match stream.write(&[b'x'; 65_536]) {
            Ok(length) => (sent, full) = (sent + length, 0),
            Err(_) => {
                full += 1;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

/// The end of the client's side behind more than is held: on a front whose clients pipeline, reading stopped at 16 KiB, so
/// a close behind a full receive window was never noticed, and a reset only by a look every 100 ms.
#[test]
fn a_client_that_leaves_behind_a_flood_is_noticed_on_either_front() {
    for (pipelines, reset) in [(false, false), (false, true), (true, false), (true, true)] {
        run(async move {
            let limits = ConnectionLimits { one_at_a_time: !pipelines, ..limits(400) };
            let (site, at) = open_with(&format!("behind_flood{pipelines}{reset}"), limits).await;
            site.all(silent());
            let mut stream = Blocking::connect(at).unwrap();
            stream.write_all(get(1).as_bytes()).unwrap();
            until(|| site.asked_in_all() == 1).await;
            flood(&mut stream).await;
            assert_eq!(
                site.host.with(|e| (e.counters.clients_disconnected, e.open_requests())),
                (0, 1),
                "a flood is no leaving"
            );
            if reset {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(stream);
            until(|| dropped(&site) == 1).await;
            assert_eq!(site.host.with(|e| (e.counters.clients_disconnected, e.open_requests())), (1, 0));
            assert_eq!(site.asked_in_all(), 1, "nothing further was sent");
        });
    }
}

/// A client that pipelines more than is held: what is held whole is answered in order, the last answer announces the end,
/// and nothing behind it is taken for a request.
#[test]
fn requests_pipelined_beyond_what_is_held_are_answered_up_to_the_bound() {
    run(async {
        let (mut client, theirs) = pair().await;
        let codec = HttpCodec::new(Clock::manual(START_MS), 100);
        let mut link = ClientStream::new(theirs, codec, true);
        let length = get(1).len();
        let sent: String = (1..=4 * (MAX_AHEAD / length) as u64).map(get).collect();
        client.write_all(sent.as_bytes()).await.unwrap();
        client.shutdown().await.unwrap();
        // Its end says that all was read.
        let mut answered = 0;
        loop {
            let Received::Request(request) = link.next().await else { panic!("no request") };
            answered += 1;
            assert_eq!(request.single("x-call-id"), Ok(Some(&*format!("{answered:016x}"))));
            link.left().await;
            if link.is_overrun() {
                break;
            }
        }
        let held = answered * length;
        assert!(held > MAX_AHEAD / 2 && held <= MAX_AHEAD + 2 * length, "{held} bytes of requests");
    });
}

// ---- closes ----

/// An idle connection that the proxy ends while a request crosses it: the client reads a clean end, no reset, and what
/// came after the shutdown is never sent on.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_never_sent_on_nor_reset() {
    run(async {
        let (site, at) = open("crossing").await;
        let mut client = Blocking::connect(at).unwrap();
        client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        client.write_all(b"GET /alive HTTP/1.1\r\nHost: o\r\n\r\n").unwrap();
        until(|| site.host.with(|e| e.counters.client_connections) == 1).await;
        let mut answer = [0; 4_096];
        let read = spawn_local(async move { (client.read(&mut answer).unwrap(), client) });
        let (length, mut client) = read.await.unwrap();
        assert!(length > 0);
        site.stop.begin();
        until(|| site.stop.open_connections() == 0).await;
        // The proxy has shut its side down.
        for id in 1..=50 {
            client.write_all(get(id).as_bytes()).expect("no reset");
            tokio::task::yield_now().await;
        }
        assert_eq!(client.read(&mut [0; 64]).expect("a clean end"), 0);
        assert_eq!(site.asked_in_all(), 0);
        drop(client);
        until(|| site.stop.open_or_lingering() == 0).await;
    });
}

/// A request that the machine holds when a stop ends idle connections was taken: it is answered.
#[test]
fn a_request_that_came_in_the_moment_of_the_stop_is_answered() {
    for round in 0..8u64 {
        run(async move {
            let (site, at) = open(&format!("moment{round}")).await;
            let mut client = Client::connect(at).await;
            assert_eq!(client.ask("GET", "/alive", "").await.status, 200);
            let mut client = client.into_blocking();
            // Written while the proxy's thread is here: its runtime has not been told of the bytes when the stop begins.
            client.write_all(get(1).as_bytes()).unwrap();
            site.stop.begin();
            let answer = Client::of(client).read(false).await.expect("an answer");
            assert!(answer.status == 200 && answer.closed, "{answer:?}");
        });
    }
}

/// `Connection: close` on a request is honoured behind its answer, with a lingering close.
#[test]
fn a_client_that_asks_for_the_close_gets_it_with_its_answer_whole() {
    run(async {
        let (site, at) = open("asked_close").await;
        let body = vec![b'y'; 200_000];
        let whole = body.clone();
        site.all(Rc::new(move |_| Some(("ACK", "sum=t1,t0=5".into(), whole.clone()))));
        let mut client = Blocking::connect(at).unwrap();
        let request = get(1).replace("Host: o\r\n", "Host: o\r\nConnection: close\r\n");
        client.write_all(request.as_bytes()).unwrap();
        // More behind it, unread when the proxy closes.
        client.write_all(&vec![b'z'; 100_000]).unwrap();
        client.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(client).unwrap();
        let mut got = Vec::new();
        client.read_to_end(&mut got).await.expect("no reset over unread bytes");
        assert!(got.starts_with(b"HTTP/1.1 200") && got.ends_with(&body));
    });
}

/// Every client's connection has `TCP_NODELAY`.
#[test]
fn small_writes_are_not_held_back() {
    run(async {
        let (site, at) = open("nodelay").await;
        assert_eq!(ask(at, "GET", "/alive", "").await.status, 200);
        let (_mine, theirs) = pair().await;
        // A second descriptor of the same socket.
        let same = theirs.as_fd().try_clone_to_owned().unwrap();
        let codec = HttpCodec::new(site.clock.clone(), 100);
        let _link = ClientStream::new(theirs, codec, false);
        assert!(SockRef::from(&same).tcp_nodelay().unwrap());
    });
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mine = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (mine, listener.accept().await.unwrap().0)
}

// ---- floods and slow clients ----

/// Requests that come a byte at a time hold every place: the one that is on its way in for longest gives up its own.
#[test]
fn half_requests_that_hold_every_place_make_room() {
    run(async {
        let (site, at) = open_with("drips", limits(3)).await;
        let mut drips = Vec::new();
        for _ in 0..3 {
            let mut drip = Client::connect(at).await;
            drip.write(b"GET /al").await;
            drips.push(drip);
        }
        until(|| site.host.with(|e| e.counters.client_connections) == 3).await;
        tokio::task::yield_now().await;
        site.pass(600.0);
        let mut honest = Client::connect(at).await;
        assert_eq!(honest.ask("GET", "/alive", "").await.status, 200);
        assert_eq!(site.host.with(|e| e.counters.client_connections_evicted), 1);
    });
}

/// A client that never reads its answer holds its place no longer than it said that it would wait, and half a second.
#[test]
fn a_client_that_does_not_read_its_answer_gives_its_place_up() {
    run(async {
        let (site, at) = open_with("unread", ConnectionLimits { write_ms: 1e7, ..limits(400) }).await;
        let body = vec![b'y'; 240_000];
        site.all(Rc::new(move |_| Some(("ACK", "sum=t1,t0=5".into(), body.clone()))));
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(2_048).unwrap();
        let mut stream = socket.connect(at).await.unwrap();
        // So many answers that no buffer of the machine holds them.
        let ask = |id: u64| get(id).replace("X-Patience-Ms: 1500", "X-Patience-Ms: 300");
        for id in 1..=40 {
            stream.write_all(ask(id).as_bytes()).await.unwrap();
        }
        until(|| site.host.with(|e| e.counters.responses_unwritten) == 1).await;
        until(|| site.stop.open_or_lingering() == 0).await;
    });
}

// ---- members ----

/// An endpoint that answers and then resets: the answer came whole, whatever the writing meets meanwhile.
#[test]
fn an_answer_that_came_before_the_reset_counts() {
    for round in 0..12 {
        run(async move {
            let (site, at) = open(&format!("reset{round}")).await;
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let cache = listener.local_addr().unwrap();
            site.bulletin.state(CACHES[0], cache, 0, 0);
            site.bulletin.state(CACHES[1], cache, 0, 2);
            until(|| site.host.with(|e| e.last_event_number()) == 3).await;
            let endpoint = spawn_local(async move {
                let (stream, _) = listener.accept().await.unwrap();
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                stream.read_line(&mut line).await.unwrap();
                let id = line.split(' ').nth(1).unwrap().to_string();
                let answer = format!("{id} ACK sum=t1,t0=5 5\r\nhello\r\n");
                (stream.into_inner(), answer)
            });
            let mut first = Client::connect(at).await;
            first.write(get(1).as_bytes()).await;
            let (stream, answer) = endpoint.await.unwrap();
            let mut stream = stream.into_std().unwrap();
            stream.set_nonblocking(false).unwrap();
            // In one turn of the proxy's thread: the whole answer, a reset, and something more to write there.
            stream.write_all(answer.as_bytes()).unwrap();
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            drop(stream);
            let (give_up_ms, id_text) = (START_MS + 1_500.0, format!("{:016x}", 2));
            let second = IncomingRequest {
                id: 2,
                id_text,
                object: 0x7f3a_9c21_e0b4_d655,
                deadline_ms: give_up_ms,
                ..IncomingRequest::default()
            };
            let _second = site.host.submit(second).unwrap();
            let answer = first.read(false).await.unwrap();
            assert_eq!((answer.status, &answer.body[..]), (200, &b"hello"[..]));
        });
    }
}
