//! Stand-ins for VRRP on loopback UDP: a relay between two routers that loses datagrams or partitions them, and a client
//! of a virtual address that retries when its connection is refused or ends without a response.
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

/// Two sockets between two routers. A datagram that one receives from its router leaves by the other to the other router.
pub struct Relay {
    /// The peers of the first and of the second router.
    pub sides: [SocketAddr; 2],
    /// Share of datagrams that is lost.
    pub loss: Rc<Cell<f64>>,
    /// Datagrams forwarded.
    pub forwarded: Rc<Cell<u64>>,
    /// Datagrams lost.
    pub lost: Rc<Cell<u64>>,
    /// All forwarded datagrams, for a replay.
    pub recorded: Rc<RefCell<Vec<Vec<u8>>>>,
}

impl Relay {
    pub async fn start(ip: &str, routers: [SocketAddr; 2], seed: u64) -> Self {
        let bind = || UdpSocket::bind(format!("{ip}:0"));
        let sockets = [Rc::new(bind().await.unwrap()), Rc::new(bind().await.unwrap())];
        let sides = [sockets[0].local_addr().unwrap(), sockets[1].local_addr().unwrap()];
        let relay = Self {
            sides,
            loss: Rc::default(),
            forwarded: Rc::default(),
            lost: Rc::default(),
            recorded: Rc::default(),
        };
        for k in 0..2 {
            let (from, to, at) = (sockets[k].clone(), sockets[1 - k].clone(), routers[1 - k]);
            let (loss, forwarded, lost, recorded) =
                (relay.loss.clone(), relay.forwarded.clone(), relay.lost.clone(), relay.recorded.clone());
            let mut rng = SmallRng::seed_from_u64(seed + k as u64);
            spawn_local(async move {
                let mut bytes = [0u8; 512];
                loop {
                    // An error is that of an earlier send to a failed router.
                    let Ok((n, _)) = from.recv_from(&mut bytes).await else { continue };
                    if rng.random_range(0.0..1.0) < loss.get() {
                        lost.set(lost.get() + 1);
                        continue;
                    }
                    forwarded.set(forwarded.get() + 1);
                    recorded.borrow_mut().push(bytes[..n].to_vec());
                    let _ = to.send_to(&bytes[..n], at).await;
                }
            });
        }
        relay
    }
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// Status of its response, or none if there was none in time.
    pub status: Option<u16>,
    /// Connections that were refused or ended before a byte of a response.
    pub retries: u32,
    /// Whether the response was truncated or followed by further bytes.
    pub malformed: bool,
    pub began: Instant,
    pub ended: Instant,
}

/// Sends one request to a virtual address, and retries within its timeout until there is a response.
pub async fn send_request(at: SocketAddr, id: u64, write: bool, timeout: Duration) -> RequestOutcome {
    let began = Instant::now();
    let mut outcome = RequestOutcome { status: None, retries: 0, malformed: false, began, ended: began };
    while began.elapsed() < timeout {
        let left = (timeout - began.elapsed()).as_millis();
        let head = if write {
            format!("PUT /ops/ad-post/{id:016x} HTTP/1.1\r\nX-Dedupe-Key: k{id:x}\r\nContent-Length: 2\r\n")
        } else {
            format!("GET /ops/small-object/{:016x} HTTP/1.1\r\n", id % 211)
        };
        let request = format!(
            "{head}Host: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: {left}\r\nConnection: close\r\n\r\n{}",
            if write { "ad" } else { "" }
        );
        let once = async {
            let mut stream = TcpStream::connect(at).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut response = Vec::new();
            let complete = stream.read_to_end(&mut response).await.is_ok();
            (!response.is_empty()).then_some((response, complete))
        };
        if let Ok(Some((response, complete))) = tokio::time::timeout(timeout - began.elapsed(), once).await {
            let text = String::from_utf8_lossy(&response);
            let body = text.split("\r\n\r\n").nth(1).unwrap_or_default().len();
            let length = text
                .lines()
                .find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
            outcome.status = text.get(9..12).and_then(|s| s.parse().ok());
            outcome.malformed = !complete || length != Some(body) || text.matches("HTTP/1.1 ").count() != 1;
            break;
        }
        outcome.retries += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    outcome.ended = Instant::now();
    outcome
}

/// Clients of a virtual address, until they are stopped. Every third request is an ad-post.
pub struct Load {
    pub ended: Rc<RefCell<Vec<(u64, bool, RequestOutcome)>>>,
    stop: Rc<Cell<bool>>,
    clients: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    pub fn start(at: SocketAddr, clients: u64, timeout: Duration) -> Self {
        let (ended, stop): (Rc<RefCell<Vec<_>>>, Rc<Cell<bool>>) = Default::default();
        let tasks = (0..clients).map(|k| {
            let (ended, stop) = (ended.clone(), stop.clone());
            spawn_local(async move {
                let mut n = 0u64;
                while !stop.get() {
                    n += 1;
                    let (id, write) = ((k + 1) << 32 | n, n % 3 == 0);
                    let end = send_request(at, id, write, timeout).await;
                    ended.borrow_mut().push((id, write, end));
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        });
        let clients = tasks.collect();
        Self { ended, stop, clients }
    }

    /// Stops the clients and returns all requests with their outcomes.
    pub async fn stop(self) -> Vec<(u64, bool, RequestOutcome)> {
        self.stop.set(true);
        for client in self.clients {
            client.await.unwrap();
        }
        let ended = self.ended.borrow().clone();
        ended
    }
}
