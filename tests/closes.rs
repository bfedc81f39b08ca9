//! Races around the close of client and cache connections over loopback. The order of events is forced by
//! waiting on counters, or by writing to blocking sockets between polls of the runtime.

mod stand_ins;

use edge_proxy::clock::Clock;
use edge_proxy::state::arrivals::BacklogEmpty;
use edge_proxy::state::requests::IncomingRequest;
use edge_proxy::wire::client_stream::{ClientStream, Received, MAX_BYTES_AHEAD};
use edge_proxy::wire::closable_listener::{Backlog, ClosableListener};
use edge_proxy::wire::front::{ConnectionLimits, Front};
use edge_proxy::wire::http_codec::HttpCodec;
use edge_proxy::wire::listener::accept;
use edge_proxy::wire::platform::{limits, Platform};
use edge_proxy::wire::timestamped_stream::{moment, TimestampedStream};
use socket2::SockRef;
use stand_ins::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const CLIP: &str = "/ops/clip/7f3a9c21e0b4d655/slice-3";

async fn start_proxy_with_limits(name: &str, limits: ConnectionLimits) -> (TestProxy, SocketAddr) {
    let proxy = TestProxy::start(name).await;
    let front: Rc<dyn Front> = Rc::new(Platform::new(limits));
    let address = proxy.listen(front).await;
    (proxy, address)
}

async fn start_proxy(name: &str) -> (TestProxy, SocketAddr) {
    start_proxy_with_limits(name, limits(400)).await
}

/// A server's side of a connection that did not wait in a backlog.
fn timestamped(server: TcpStream) -> TimestampedStream {
    let clock = Clock::manual(START_MS);
    let backlog = BacklogEmpty::at(moment(&clock));
    TimestampedStream::new(server, clock, backlog)
}

fn get(id: u64) -> String {
    format!(
        "GET {CLIP} HTTP/1.1\r\nHost: o\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 412.5\r\n\r\n"
    )
}

fn cancelled_count(proxy: &TestProxy) -> usize {
    proxy.endpoints.values().map(|cache| cache.cancelled_ids.borrow().len()).sum()
}

// ---- client disconnects ----

/// Bytes that a client sends ahead of its response must not hide its disconnect.
#[test]
fn a_disconnect_after_a_pipelined_request_or_stray_bytes_is_detected() {
    for (k, extra) in [get(2), get(2) + &get(3), "GE".to_string(), "\r\n".to_string()].into_iter().enumerate()
    {
        run(async move {
            let (proxy, address) = start_proxy(&format!("pipelined{k}")).await;
            proxy.script_all(never_reply());
            let mut client = Client::connect(address).await;
            client.write(get(1).as_bytes()).await;
            wait_until(|| proxy.total_requests() == 1).await;
            client.write(extra.as_bytes()).await;
            drop(client);
            wait_until(|| cancelled_count(&proxy) == 1).await;
            assert_eq!(proxy.executor.with(|e| (e.counters.clients_disconnected, e.open_requests())), (1, 0));
            assert_eq!(proxy.total_requests(), 1, "pipelined requests are not forwarded");
        });
    }
}

/// A client that shuts down its sending side no longer reads the response.
#[test]
fn a_half_closed_client_counts_as_disconnected_and_stray_bytes_do_not() {
    run(async {
        let (proxy, address) = start_proxy("half_closed").await;
        proxy.script_all(never_reply());
        let mut stream = BlockingStream::connect(address).unwrap();
        stream.write_all(get(1).as_bytes()).unwrap();
        wait_until(|| proxy.total_requests() == 1).await;
        stream.write_all(b"\r\n\r\nGET").unwrap();
        tokio::task::yield_now().await;
        assert_eq!(
            proxy.executor.with(|e| (e.counters.clients_disconnected, e.open_requests())),
            (0, 1),
            "stray bytes do not count as a disconnect"
        );
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        wait_until(|| cancelled_count(&proxy) == 1).await;
        assert_eq!(proxy.executor.with(|e| e.counters.clients_disconnected), 1);
    });
}

/// Guards against executing a write twice whose id comes again after its client has left, or after its response.
#[test]
fn a_write_whose_id_comes_again_is_not_forwarded_again() {
    run(async {
        let (proxy, address) = start_proxy("write_again").await;
        let put = |id: u64| {
            format!(
                "PUT /ops/post/{id:016x} HTTP/1.1\r\nHost: o\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\n\
                 X-Dedupe-Key: k{id}\r\nContent-Length: 2\r\n\r\nad"
            )
        };
        proxy.script_all(never_reply());
        let mut client = Client::connect(address).await;
        client.write(put(1).as_bytes()).await;
        wait_until(|| proxy.total_requests() == 1).await;
        drop(client);
        wait_until(|| proxy.executor.with(|e| e.counters.clients_disconnected) == 1).await;
        let mut again = Client::connect(address).await;
        again.write(put(1).as_bytes()).await;
        assert_eq!(again.read(false).await.unwrap().status, 409);
        assert_eq!(proxy.total_requests(), 1);
        // Reads may come again.
        for expected in [2, 3] {
            let mut reader = Client::connect(address).await;
            reader.write(get(3).as_bytes()).await;
            wait_until(|| proxy.total_requests() == expected).await;
            drop(reader);
            wait_until(|| proxy.executor.with(|e| e.open_requests()) == 0).await;
        }
    });
}

/// The client writes and closes before the proxy, which runs on the test's thread, accepts the connection.
#[test]
fn a_request_whose_client_closed_before_the_accept_is_not_forwarded() {
    run(async {
        let (proxy, address) = start_proxy("closed_before_accept").await;
        for id in 1..=20 {
            let mut stream = BlockingStream::connect(address).unwrap();
            stream.write_all(get(id).as_bytes()).unwrap();
        }
        wait_until(|| proxy.executor.with(|e| e.counters.clients_disconnected) == 20).await;
        assert_eq!((proxy.total_requests(), proxy.executor.with(|e| e.counters.requests)), (0, 0));
        assert_eq!(send_request(address, "GET", "/alive", "").await.status, 200);
    });
}

/// A client that waits for a connection slot fills the socket buffers after its request and closes. The proxy
/// must read to the end of its stream before it forwards the request.
#[test]
fn a_request_whose_client_flooded_and_closed_while_queued_is_not_forwarded() {
    for pipelining in [false, true] {
        run(async move {
            let limits = ConnectionLimits { one_at_a_time: !pipelining, ..limits(1) };
            let (proxy, address) =
                start_proxy_with_limits(&format!("flood_while_queued{pipelining}"), limits).await;
            proxy.script_all(never_reply());
            let mut first = Client::connect(address).await;
            first.write(get(1).as_bytes()).await;
            wait_until(|| proxy.total_requests() == 1).await;
            // The kernel accepts this connection; the proxy does not read it while the only slot is taken.
            let mut second = BlockingStream::connect(address).unwrap();
            second.write_all(get(2).as_bytes()).unwrap();
            flood(&mut second).await;
            drop(second);
            wait_until(|| proxy.executor.with(|e| e.counters.client_connections) == 2).await;
            drop(first);
            wait_until(|| proxy.shutdown.open_or_lingering() == 0).await;
            assert_eq!(
                proxy.executor.with(|e| (e.counters.clients_disconnected, e.counters.requests)),
                (2, 1)
            );
            assert_eq!(proxy.total_requests(), 1);
        });
    }
}

/// A listener with a full backlog, to which a connect hangs until it times out.
fn unresponsive_listener() -> (socket2::Socket, Vec<socket2::Socket>, SocketAddr) {
    let tcp = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let listener = tcp();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let connect = || {
        let socket = tcp();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&address.into());
        socket
    };
    let pending = (0..4).map(|_| connect()).collect();
    (listener, pending, address)
}

/// Clients close or reset, with or without a pipelined request, while the connect to their endpoint is
/// pending: nothing is sent or retried once it fails.
#[test]
fn requests_of_clients_that_disconnect_during_a_hanging_connect_are_not_forwarded() {
    for (k, (pipelined, reset)) in
        [(false, false), (false, true), (true, false), (true, true)].into_iter().enumerate()
    {
        run(async move {
            let (proxy, address) = start_proxy(&format!("hanging_connect{k}")).await;
            let (_listener, _pending, cache) = unresponsive_listener();
            proxy.discovery.send_state(CACHES[0], cache, 0, 0);
            proxy.discovery.send_state(CACHES[1], cache, 0, 2);
            wait_until(|| proxy.executor.with(|e| e.last_event_number()) == 3).await;
            // Both requests wait for the same pending connect.
            let clients: Vec<BlockingStream> = (1..=2)
                .map(|id| {
                    let mut stream = BlockingStream::connect(address).unwrap();
                    stream.write_all(get(id).as_bytes()).unwrap();
                    if pipelined {
                        stream.write_all(get(10 + id).as_bytes()).unwrap();
                    }
                    stream
                })
                .collect();
            wait_until(|| proxy.executor.with(|e| e.counters.attempts) == 2).await;
            assert_eq!(proxy.executor.with(|e| e.counters.connection_failures), 0, "the connect is pending");
            for stream in clients {
                if reset {
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                }
            }
            wait_until(|| proxy.executor.with(|e| e.counters.clients_disconnected) == 2).await;
            assert_eq!(
                proxy.executor.with(|e| (e.open_requests(), e.counters.connection_failures)),
                (0, 0),
                "the disconnects are detected before the connect fails"
            );
            wait_until(|| proxy.executor.with(|e| e.counters.connection_failures) > 0).await;
            tokio::task::yield_now().await;
            assert_eq!((proxy.total_requests(), proxy.executor.with(|e| e.counters.attempts)), (0, 2));
        });
    }
}

/// Requests of disconnected clients are cancelled at once, and are not retried when their endpoint fails
/// afterwards.
#[test]
fn requests_of_disconnected_clients_are_not_retried() {
    run(async {
        let (proxy, address) = start_proxy("disconnect_no_retry").await;
        proxy.script_all(never_reply());
        let mut clients = Vec::new();
        for id in 1..=12 {
            let mut client = Client::connect(address).await;
            client.write(get(id).as_bytes()).await;
            clients.push(client);
        }
        wait_until(|| proxy.total_requests() == 12).await;
        let attempts = proxy.executor.with(|e| e.counters.attempts);
        drop(clients);
        wait_until(|| cancelled_count(&proxy) == 12).await;
        // Longer than every timeout.
        (0..40).for_each(|_| proxy.advance_clock(100.0));
        wait_until(|| proxy.executor.with(|e| e.open_requests()) == 0).await;
        assert_eq!((proxy.total_requests(), proxy.executor.with(|e| e.counters.attempts)), (12, attempts));
    });
}

#[test]
fn pipelined_requests_are_each_answered_once() {
    run(async {
        let (proxy, address) = start_proxy("pipelined_responses").await;
        let mut client = Client::connect(address).await;
        client.write((get(1) + &get(2) + &get(3)).as_bytes()).await;
        for _ in 0..3 {
            assert_eq!(client.read(false).await.unwrap().status, 200);
        }
        assert_eq!(proxy.total_requests(), 3);
    });
}

/// Bytes that cannot be parsed, sent while a request is open, must not be buffered without limit or count as
/// a disconnect.
#[test]
fn a_flood_after_a_request_is_discarded_and_the_response_is_sent() {
    run(async {
        let (proxy, address) = start_proxy("flood").await;
        proxy.script_all(never_reply());
        let mut client = Client::connect(address).await;
        client.write(get(1).as_bytes()).await;
        wait_until(|| proxy.total_requests() == 1).await;
        client.write(&vec![b'x'; 400_000]).await;
        let response = spawn_local(async move { client.read(false).await.unwrap() });
        while !response.is_finished() {
            proxy.advance_clock(20.0);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let response = response.await.unwrap();
        assert!(response.closed && matches!(response.status, 429 | 503 | 504), "{response:?}");
        assert_eq!(proxy.executor.with(|e| e.counters.clients_disconnected), 0);
    });
}

/// Writes until `MAX_FLOOD_BYTES` are sent or every socket buffer up to the proxy stays full.
async fn flood(stream: &mut BlockingStream) {
    /// More than the socket buffers of a loopback connection hold.
    const MAX_FLOOD_BYTES: usize = 16 << 20;
    /// Consecutive failed writes, 1 ms apart, after which the buffers count as full.
    const BLOCKED_WRITES: u32 = 50;
    stream.set_nonblocking(true).unwrap();
    let (mut sent, mut blocked) = (0, 0);
    while sent < MAX_FLOOD_BYTES && blocked < BLOCKED_WRITES {
        match stream.write(&[b'x'; 65_536]) {
            Ok(length) => (sent, blocked) = (sent + length, 0),
            Err(_) => {
                blocked += 1;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

/// The proxy must keep reading once its buffer is full, or it never reaches the end of the stream. It once
/// stopped at 16 KiB on a front with pipelining, and noticed no close behind a full receive window.
#[test]
fn a_disconnect_after_a_flood_is_detected_with_and_without_pipelining() {
    for (pipelining, reset) in [(false, false), (false, true), (true, false), (true, true)] {
        run(async move {
            let limits = ConnectionLimits { one_at_a_time: !pipelining, ..limits(400) };
            let (proxy, address) =
                start_proxy_with_limits(&format!("disconnect_after_flood{pipelining}{reset}"), limits).await;
            proxy.script_all(never_reply());
            let mut stream = BlockingStream::connect(address).unwrap();
            stream.write_all(get(1).as_bytes()).unwrap();
            wait_until(|| proxy.total_requests() == 1).await;
            flood(&mut stream).await;
            assert_eq!(
                proxy.executor.with(|e| (e.counters.clients_disconnected, e.open_requests())),
                (0, 1),
                "a flood does not count as a disconnect"
            );
            if reset {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(stream);
            wait_until(|| cancelled_count(&proxy) == 1).await;
            assert_eq!(proxy.executor.with(|e| (e.counters.clients_disconnected, e.open_requests())), (1, 0));
            assert_eq!(proxy.total_requests(), 1, "no further request was forwarded");
        });
    }
}

/// Completely buffered requests are read in order; bytes after a discarded one must not be parsed as
/// requests.
#[test]
fn pipelined_requests_beyond_the_buffer_limit_are_discarded() {
    run(async {
        let (mut client, server) = connected_pair().await;
        let codec = HttpCodec::new(Clock::manual(START_MS), 100);
        let mut stream = ClientStream::new(timestamped(server), codec, true);
        let length = get(1).len();
        let sent: String = (1..=4 * (MAX_BYTES_AHEAD / length) as u64).map(get).collect();
        client.write_all(sent.as_bytes()).await.unwrap();
        client.shutdown().await.unwrap();
        // `disconnected` returns at the end of the stream, once all bytes were read.
        let mut received = 0;
        loop {
            let Received::Request(request) = stream.next().await else { panic!("no request") };
            received += 1;
            assert_eq!(request.request.single_value("x-call-id"), Ok(Some(&*format!("{received:016x}"))));
            stream.disconnected().await;
            if stream.is_overrun() {
                break;
            }
        }
        let received_bytes = received * length;
        assert!(
            received_bytes > MAX_BYTES_AHEAD / 2 && received_bytes <= MAX_BYTES_AHEAD + 2 * length,
            "{received_bytes} bytes of requests"
        );
    });
}

// ---- closes by the proxy ----

/// Requests that arrive after the proxy shut down its side must not be forwarded, nor cause a reset.
#[test]
fn requests_sent_after_the_proxy_closes_an_idle_connection_are_neither_forwarded_nor_reset() {
    run(async {
        let (proxy, address) = start_proxy("request_after_close").await;
        let mut client = BlockingStream::connect(address).unwrap();
        client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        client.write_all(b"GET /alive HTTP/1.1\r\nHost: o\r\n\r\n").unwrap();
        wait_until(|| proxy.executor.with(|e| e.counters.client_connections) == 1).await;
        let mut response = [0; 4_096];
        let read = spawn_local(async move { (client.read(&mut response).unwrap(), client) });
        let (length, mut client) = read.await.unwrap();
        assert!(length > 0);
        proxy.shutdown.begin();
        wait_until(|| proxy.shutdown.open_connections() == 0).await;
        // The proxy has shut down its side.
        for id in 1..=50 {
            client.write_all(get(id).as_bytes()).expect("the proxy reset the connection");
            tokio::task::yield_now().await;
        }
        assert_eq!(client.read(&mut [0; 64]).expect("the connection failed before the end of the stream"), 0);
        assert_eq!(proxy.total_requests(), 0);
        drop(client);
        wait_until(|| proxy.shutdown.open_or_lingering() == 0).await;
    });
}

/// A request in the socket's receive buffer when a shutdown closes idle connections counts as received.
#[test]
fn a_request_that_arrives_as_the_shutdown_begins_is_answered() {
    for round in 0..8u64 {
        run(async move {
            let (proxy, address) = start_proxy(&format!("request_at_shutdown{round}")).await;
            let mut client = Client::connect(address).await;
            assert_eq!(client.send_request("GET", "/alive", "").await.status, 200);
            let mut client = client.into_blocking();
            // A blocking write: the runtime has not polled the socket when the shutdown begins.
            client.write_all(get(1).as_bytes()).unwrap();
            proxy.shutdown.begin();
            let response = Client::from_blocking(client)
                .read(false)
                .await
                .expect("the connection closed before a response");
            assert!(response.status == 200 && response.closed, "{response:?}");
        });
    }
}

/// Unread bytes from the client must not cause a reset that loses the response (lingering close).
#[test]
fn connection_close_is_honoured_after_the_complete_response() {
    run(async {
        let (proxy, address) = start_proxy("connection_close").await;
        let body = vec![b'y'; 200_000];
        let content = body.clone();
        proxy.script_all(Rc::new(move |_| Some(("ACK", "sum=t1,t0=5".into(), content.clone()))));
        let mut client = BlockingStream::connect(address).unwrap();
        let request = get(1).replace("Host: o\r\n", "Host: o\r\nConnection: close\r\n");
        client.write_all(request.as_bytes()).unwrap();
        // The proxy has not read these bytes when it closes the connection.
        client.write_all(&vec![b'z'; 100_000]).unwrap();
        client.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(client).unwrap();
        let mut got = Vec::new();
        client.read_to_end(&mut got).await.expect("the connection was reset because of unread bytes");
        assert!(got.starts_with(b"HTTP/1.1 200") && got.ends_with(&body));
    });
}

/// Nagle's algorithm would delay the end of small responses.
#[test]
fn client_connections_have_tcp_nodelay() {
    run(async {
        let (proxy, address) = start_proxy("nodelay").await;
        assert_eq!(send_request(address, "GET", "/alive", "").await.status, 200);
        let (_client, server) = connected_pair().await;
        // A second descriptor of the same socket.
        let duplicate = server.as_fd().try_clone_to_owned().unwrap();
        let codec = HttpCodec::new(proxy.clock.clone(), 100);
        let _stream = ClientStream::new(timestamped(server), codec, false);
        assert!(SockRef::from(&duplicate).tcp_nodelay().unwrap());
    });
}

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (client, listener.accept().await.unwrap().0)
}

// ---- slow clients ----

/// Clients with partial requests must not keep others out at the connection limit.
#[test]
fn a_partial_request_is_evicted_when_every_slot_is_taken() {
    run(async {
        let (proxy, address) = start_proxy_with_limits("partial", limits(3)).await;
        let mut partial = Vec::new();
        for _ in 0..3 {
            let mut client = Client::connect(address).await;
            client.write(b"GET /al").await;
            partial.push(client);
        }
        wait_until(|| proxy.executor.with(|e| e.counters.client_connections) == 3).await;
        tokio::task::yield_now().await;
        proxy.advance_clock(600.0);
        let mut another = Client::connect(address).await;
        assert_eq!(another.send_request("GET", "/alive", "").await.status, 200);
        assert_eq!(proxy.executor.with(|e| e.counters.client_connections_evicted), 1);
    });
}

/// A client that reads no response must not keep its slot beyond its stated wait, even with a longer write
/// limit.
#[test]
fn a_client_that_reads_no_response_loses_its_slot() {
    run(async {
        let (proxy, address) =
            start_proxy_with_limits("unread", ConnectionLimits { write_ms: 1e7, ..limits(400) }).await;
        let body = vec![b'y'; 240_000];
        proxy.script_all(Rc::new(move |_| Some(("ACK", "sum=t1,t0=5".into(), body.clone()))));
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(2_048).unwrap();
        let mut stream = socket.connect(address).await.unwrap();
        // More responses than the socket buffers hold.
        let request_text = |id: u64| get(id).replace("X-Patience-Ms: 1500", "X-Patience-Ms: 300");
        for id in 1..=40 {
            stream.write_all(request_text(id).as_bytes()).await.unwrap();
        }
        wait_until(|| proxy.executor.with(|e| e.counters.responses_unwritten) == 1).await;
        wait_until(|| proxy.shutdown.open_or_lingering() == 0).await;
    });
}

// ---- caches ----

/// A reset, or a failed write, must not discard a reply that arrived before it.
#[test]
fn a_reply_that_arrived_before_a_reset_is_used() {
    for round in 0..12 {
        run(async move {
            let (proxy, address) = start_proxy(&format!("reset{round}")).await;
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let cache = listener.local_addr().unwrap();
            proxy.discovery.send_state(CACHES[0], cache, 0, 0);
            proxy.discovery.send_state(CACHES[1], cache, 0, 2);
            wait_until(|| proxy.executor.with(|e| e.last_event_number()) == 3).await;
            let endpoint = spawn_local(async move {
                let (stream, _) = listener.accept().await.unwrap();
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                stream.read_line(&mut line).await.unwrap();
                let id = line.split(' ').nth(1).unwrap().to_string();
                let response = format!("{id} ACK sum=t1,t0=5 5\r\nhello\r\n");
                (stream.into_inner(), response)
            });
            let mut first = Client::connect(address).await;
            first.write(get(1).as_bytes()).await;
            let (stream, response) = endpoint.await.unwrap();
            let mut stream = stream.into_std().unwrap();
            stream.set_nonblocking(false).unwrap();
            // The runtime does not poll between the complete reply, the reset and the second request.
            stream.write_all(response.as_bytes()).unwrap();
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            drop(stream);
            let (deadline_ms, id_text) = (START_MS + 1_500.0, format!("{:016x}", 2));
            let second = IncomingRequest {
                id: 2,
                id_text,
                object: 0x7f3a_9c21_e0b4_d655,
                deadline_ms,
                ..IncomingRequest::default()
            };
            let _second = proxy.executor.submit(second).unwrap();
            let response = first.read(false).await.unwrap();
            assert_eq!((response.status, &response.body[..]), (200, &b"hello"[..]));
        });
    }
}

/// Guards against a deadline that is counted from the read of a request that waited for a connection slot, or in the
/// listen backlog, in place of its arrival.
#[test]
fn the_time_passed_on_excludes_the_wait_for_a_connection_slot_and_in_the_listen_backlog() {
    /// How long the requests wait, in milliseconds.
    const WAIT_MS: f64 = 400.0;
    /// The most that the wait passed on may exceed what the client has left, in milliseconds.
    const SLACK_MS: f64 = 150.0;
    run(async {
        let (proxy, address) = start_proxy_with_limits("backlog_wait", limits(1)).await;
        proxy.script_all(never_reply());
        let mut busy = Client::connect(address).await;
        busy.write(get(1).as_bytes()).await;
        wait_until(|| proxy.total_requests() == 1).await;
        // The first of these is accepted and waits for the slot, the second stays in the backlog.
        let mut waiting = Vec::new();
        for id in [2, 3] {
            let mut client = Client::connect(address).await;
            client.write(get(id).as_bytes()).await;
            waiting.push(client);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        proxy.advance_clock(WAIT_MS);
        drop(busy);
        for (served, client) in waiting.into_iter().enumerate() {
            wait_until(|| proxy.total_requests() == 2 + served).await;
            drop(client);
        }
        for cache in proxy.endpoints.values() {
            for request in cache.requests.borrow().iter().filter(|request| !request["id"].ends_with('1')) {
                let wait_ms: f64 = request["w"].parse().unwrap();
                assert!(
                    wait_ms <= 1_500.0 - WAIT_MS + SLACK_MS,
                    "passed on for {}: {wait_ms} ms",
                    request["id"]
                );
            }
        }
    });
}

/// Guards against requests that were read behind another one and are dropped when the response to that one closes
/// the connection during a shutdown.
#[test]
fn pipelined_requests_that_were_read_are_answered_during_a_shutdown() {
    for (pipelining, begun) in [(false, false), (false, true), (true, false), (true, true)] {
        run(async move {
            let limits = ConnectionLimits { one_at_a_time: !pipelining, ..limits(400) };
            let name = format!("pipelined_at_shutdown{pipelining}{begun}");
            let (proxy, address) = start_proxy_with_limits(&name, limits).await;
            proxy.script_all(never_reply());
            let mut client = Client::connect(address).await;
            client.write((get(1) + &get(2) + &get(3)).as_bytes()).await;
            wait_until(|| proxy.total_requests() == 1).await;
            match begun {
                true => proxy.shutdown.begin(),
                false => proxy.shutdown.set_close_after_response(),
            }
            let closed = spawn_local(async move {
                let mut closed = Vec::new();
                while let Some(response) = client.read(false).await {
                    closed.push(response.closed);
                }
                closed
            });
            while !closed.is_finished() {
                proxy.advance_clock(20.0);
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            assert_eq!(closed.await.unwrap(), [false, false, true], "pipelining {pipelining}, begun {begun}");
        });
    }
}

/// Guards against an old process of an upgrade that goes on accepting connections after SIGTERM, although the new
/// process has more time for their requests.
#[test]
fn a_closing_listener_accepts_its_backlog_only_if_no_other_process_does() {
    for (backlog, accepted) in [(Backlog::Accept, 5), (Backlog::Leave, 0)] {
        run(async move {
            let proxy = TestProxy::start(&format!("backlog_{backlog:?}")).await;
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            // The runtime has not polled the listener when it closes.
            let _connections: Vec<_> = (0..5).map(|_| BlockingStream::connect(address).unwrap()).collect();
            proxy.closing.notify_one();
            let front: Rc<dyn Front> = Rc::new(Platform::new(limits(400)));
            let listener = ClosableListener::new(listener, proxy.closing.clone()).with_backlog(backlog);
            accept(proxy.executor.clone(), front, listener, proxy.shutdown.clone()).await;
            assert_eq!(proxy.executor.with(|e| e.counters.client_connections), accepted, "{backlog:?}");
        });
    }
}
