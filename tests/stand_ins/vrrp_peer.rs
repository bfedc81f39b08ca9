//! Test doubles for VRRP: a relay between two routers that drops datagrams, and HTTP clients of a virtual
//! address that retry when a connection is refused or closed without a response.
#![allow(dead_code)]

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::spawn_local;

/// Forwards datagrams between two routers through two UDP sockets: each router sends to one socket, and the
/// other socket forwards to the other router.
pub struct Relay {
    /// Peer address to configure in the first and in the second router.
    pub peer_addresses: [SocketAddr; 2],
    /// Probability that a datagram is dropped.
    pub loss_rate: Rc<Cell<f64>>,
    /// Number of datagrams forwarded.
    pub forwarded: Rc<Cell<u64>>,
    /// Number of datagrams dropped.
    pub dropped: Rc<Cell<u64>>,
    /// All forwarded datagrams, to be replayed.
    pub recorded: Rc<RefCell<Vec<Vec<u8>>>>,
}

impl Relay {
    pub async fn start(ip: &str, routers: [SocketAddr; 2], seed: u64) -> Self {
        let bind = || UdpSocket::bind(format!("{ip}:0"));
        let sockets = [Rc::new(bind().await.unwrap()), Rc::new(bind().await.unwrap())];
        let peer_addresses = [sockets[0].local_addr().unwrap(), sockets[1].local_addr().unwrap()];
        let relay = Self {
            peer_addresses,
            loss_rate: Rc::default(),
            forwarded: Rc::default(),
            dropped: Rc::default(),
            recorded: Rc::default(),
        };
        for index in 0..2 {
            let (from, to, router) = (sockets[index].clone(), sockets[1 - index].clone(), routers[1 - index]);
            let (loss_rate, forwarded, dropped, recorded) = (
                relay.loss_rate.clone(),
                relay.forwarded.clone(),
                relay.dropped.clone(),
                relay.recorded.clone(),
            );
            let mut rng = SmallRng::seed_from_u64(seed + index as u64);
            spawn_local(async move {
                let mut buffer = [0u8; 512];
                loop {
                    // A receive error reports the failure of an earlier send to a stopped router.
                    let Ok((length, _)) = from.recv_from(&mut buffer).await else { continue };
                    if rng.random_range(0.0..1.0) < loss_rate.get() {
                        dropped.set(dropped.get() + 1);
                        continue;
                    }
                    forwarded.set(forwarded.get() + 1);
                    recorded.borrow_mut().push(buffer[..length].to_vec());
                    let _ = to.send_to(&buffer[..length], router).await;
                }
            });
        }
        relay
    }
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// Status of the response, or `None` if there was no response within the timeout.
    pub status: Option<u16>,
    /// Number of connections that were refused, or closed before the first byte of a response.
    pub retries: u32,
    /// Whether the response was truncated or followed by excess data.
    pub malformed: bool,
    pub started_at: Instant,
    pub ended_at: Instant,
}

/// Sends one request to a virtual address, with retries until there is a response or the timeout expires.
pub async fn send_request(
    virtual_address: SocketAddr,
    id: u64,
    is_write: bool,
    timeout: Duration,
) -> RequestOutcome {
    let started_at = Instant::now();
    let mut outcome =
        RequestOutcome { status: None, retries: 0, malformed: false, started_at, ended_at: started_at };
    while started_at.elapsed() < timeout {
        let remaining_ms = (timeout - started_at.elapsed()).as_millis();
        let head = if is_write {
            format!("PUT /ops/ad-post/{id:016x} HTTP/1.1\r\nX-Dedupe-Key: k{id:x}\r\nContent-Length: 2\r\n")
        } else {
            format!("GET /ops/small-object/{:016x} HTTP/1.1\r\n", id % 211)
        };
        let request = format!(
            "{head}Host: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: {remaining_ms}\r\n\
             Connection: close\r\n\r\n{}",
            if is_write { "ad" } else { "" }
        );
        let exchange = async {
            let mut stream = TcpStream::connect(virtual_address).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut response = Vec::new();
            let complete = stream.read_to_end(&mut response).await.is_ok();
            (!response.is_empty()).then_some((response, complete))
        };
        if let Ok(Some((response, complete))) =
            tokio::time::timeout(timeout - started_at.elapsed(), exchange).await
        {
            let text = String::from_utf8_lossy(&response);
            let body_length = text.split("\r\n\r\n").nth(1).unwrap_or_default().len();
            let content_length = text
                .lines()
                .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
            outcome.status = text.get(9..12).and_then(|status| status.parse().ok());
            outcome.malformed =
                !complete || content_length != Some(body_length) || text.matches("HTTP/1.1 ").count() != 1;
            break;
        }
        outcome.retries += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    outcome.ended_at = Instant::now();
    outcome
}

/// Concurrent clients of a virtual address. Every third request of a client is an ad-post.
pub struct LoadGenerator {
    /// Id of each completed request, whether it was an ad-post, and its outcome.
    pub outcomes: Rc<RefCell<Vec<(u64, bool, RequestOutcome)>>>,
    stop: Rc<Cell<bool>>,
    clients: Vec<tokio::task::JoinHandle<()>>,
}

impl LoadGenerator {
    pub fn start(virtual_address: SocketAddr, client_count: u64, timeout: Duration) -> Self {
        let (outcomes, stop): (Rc<RefCell<Vec<_>>>, Rc<Cell<bool>>) = Default::default();
        let tasks = (0..client_count).map(|client| {
            let (outcomes, stop) = (outcomes.clone(), stop.clone());
            spawn_local(async move {
                let mut sequence = 0u64;
                while !stop.get() {
                    sequence += 1;
                    let (id, is_write) = ((client + 1) << 32 | sequence, sequence.is_multiple_of(3));
                    let outcome = send_request(virtual_address, id, is_write, timeout).await;
                    outcomes.borrow_mut().push((id, is_write, outcome));
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        });
        let clients = tasks.collect();
        Self { outcomes, stop, clients }
    }

    /// Stops the clients after their current requests and returns all outcomes.
    pub async fn stop(self) -> Vec<(u64, bool, RequestOutcome)> {
        self.stop.set(true);
        for client in self.clients {
            client.await.unwrap();
        }
        let outcomes = self.outcomes.borrow().clone();
        outcomes
    }
}
