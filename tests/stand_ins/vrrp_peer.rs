//! Stand-ins for VRRP on loopback UDP: a relay between two routers that loses datagrams or parts them, and a caller
//! of a virtual address that asks again where its connection is refused or ends without an answer.
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

/// Two sockets between two routers: what comes to one from its router leaves by the other to the other router.
pub struct Relay {
    /// What the first and the second router have as their peer.
    pub sides: [SocketAddr; 2],
    /// The share of datagrams that is lost.
    pub loss: Rc<Cell<f64>>,
    /// Datagrams that passed and that were lost.
    pub passed: Rc<Cell<u64>>,
    pub lost: Rc<Cell<u64>>,
    /// All datagrams that passed, for a replay.
    pub kept: Rc<RefCell<Vec<Vec<u8>>>>,
}

impl Relay {
    pub async fn start(ip: &str, routers: [SocketAddr; 2], seed: u64) -> Self {
        let bind = || UdpSocket::bind(format!("{ip}:0"));
        let sockets = [Rc::new(bind().await.unwrap()), Rc::new(bind().await.unwrap())];
        let sides = [sockets[0].local_addr().unwrap(), sockets[1].local_addr().unwrap()];
        let relay = Self {
            sides,
            loss: Rc::default(),
            passed: Rc::default(),
            lost: Rc::default(),
            kept: Rc::default(),
        };
        for k in 0..2 {
            let (from, to, at) = (sockets[k].clone(), sockets[1 - k].clone(), routers[1 - k]);
            let (loss, passed, lost, kept) =
                (relay.loss.clone(), relay.passed.clone(), relay.lost.clone(), relay.kept.clone());
            let mut rng = SmallRng::seed_from_u64(seed + k as u64);
            spawn_local(async move {
                let mut bytes = [0u8; 512];
                loop {
                    // An error here is one of an earlier send to a router that is down.
                    let Ok((n, _)) = from.recv_from(&mut bytes).await else { continue };
                    if rng.random_range(0.0..1.0) < loss.get() {
                        lost.set(lost.get() + 1);
                        continue;
                    }
                    passed.set(passed.get() + 1);
                    kept.borrow_mut().push(bytes[..n].to_vec());
                    let _ = to.send_to(&bytes[..n], at).await;
                }
            });
        }
        relay
    }
}

/// What became of one request.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// The status of its one answer; none where none came in its time.
    pub status: Option<u16>,
    /// Connections refused, or ended before a byte of an answer.
    pub asked_again: u32,
    /// Bytes came after the answer's end, or the answer was cut.
    pub spoilt: bool,
    pub began: Instant,
    pub ended: Instant,
}

/// One request at a virtual address, asked again as long as nothing of an answer came, within its patience.
pub async fn ask(at: SocketAddr, id: u64, write: bool, patience: Duration) -> Ended {
    let began = Instant::now();
    let mut ended = Ended { status: None, asked_again: 0, spoilt: false, began, ended: began };
    while began.elapsed() < patience {
        let left = (patience - began.elapsed()).as_millis();
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
            let mut answer = Vec::new();
            let whole = stream.read_to_end(&mut answer).await.is_ok();
            (!answer.is_empty()).then_some((answer, whole))
        };
        if let Ok(Some((answer, whole))) = tokio::time::timeout(patience - began.elapsed(), once).await {
            let text = String::from_utf8_lossy(&answer);
            let body = text.split("\r\n\r\n").nth(1).unwrap_or_default().len();
            let length = text
                .lines()
                .find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
            ended.status = text.get(9..12).and_then(|s| s.parse().ok());
            ended.spoilt = !whole || length != Some(body) || text.matches("HTTP/1.1 ").count() != 1;
            break;
        }
        ended.asked_again += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    ended.ended = Instant::now();
    ended
}

/// Callers at a virtual address until told to end; every third request is an ad-post.
pub struct Load {
    pub ended: Rc<RefCell<Vec<(u64, bool, Ended)>>>,
    stop: Rc<Cell<bool>>,
    callers: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    pub fn start(at: SocketAddr, callers: u64, patience: Duration) -> Self {
        let (ended, stop): (Rc<RefCell<Vec<_>>>, Rc<Cell<bool>>) = Default::default();
        let tasks = (0..callers).map(|k| {
            let (ended, stop) = (ended.clone(), stop.clone());
            spawn_local(async move {
                let mut n = 0u64;
                while !stop.get() {
                    n += 1;
                    let (id, write) = ((k + 1) << 32 | n, n % 3 == 0);
                    let end = ask(at, id, write, patience).await;
                    ended.borrow_mut().push((id, write, end));
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        });
        let callers = tasks.collect();
        Self { ended, stop, callers }
    }

    /// Ends the load and gives all that ended.
    pub async fn stop(self) -> Vec<(u64, bool, Ended)> {
        self.stop.set(true);
        for caller in self.callers {
            caller.await.unwrap();
        }
        let ended = self.ended.borrow().clone();
        ended
    }
}
