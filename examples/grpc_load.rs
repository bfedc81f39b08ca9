//! Measures gRPC proxying on loopback: sends the same calls to a stand-in server directly and through the proxy
//! process, alternating between the two so that both run under the same machine load. The number of calls is fixed.
//!
//!     cargo build --release && cargo run --release --example grpc_load -- [ROUNDS]
//!
//! Unary: sequential calls, from 1 client and then from 32. Ping-pong: 16 bidirectional streams, where each message
//! is sent after the echo of the one before. Flood: 4 server streams of 1,000-byte messages at full speed.

#[path = "../tests/stand_ins/grpc.rs"]
mod grpc;

use grpc::{message, receive_response, GrpcClient, ScriptedBackend};
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};

const UNARY: usize = 20_000;
const CALLERS: usize = 32;
/// Calls made with a single client.
const ALONE: usize = 4_000;
const STREAMS: usize = 16;
const PINGS: usize = 500;
const FLOODS: usize = 4;
const FLOOD: usize = 10_000;

struct Running(std::process::Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

struct Seen {
    times: Histogram<u64>,
    failed: u64,
    took: Duration,
}

async fn unary(at: SocketAddr, callers: usize, calls: usize) -> Seen {
    let times = Rc::new(RefCell::new((Histogram::new(3).unwrap(), 0)));
    let start = Instant::now();
    let callers: Vec<_> = (0..callers)
        .map(|_| {
            let times = times.clone();
            spawn_local(async move {
                let caller = GrpcClient::connect(at).await;
                for _ in 0..calls / callers {
                    let got = caller.call("/b.Bench/Unary", &[], message(64)).await;
                    let mut times = times.borrow_mut();
                    times.0.record((got.took_ms * 1_000.0) as u64).unwrap();
                    times.1 += u64::from(got.status() != 0);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.unwrap();
    }
    let seen = times.borrow();
    Seen { times: seen.0.clone(), failed: seen.1, took: start.elapsed() }
}

async fn ping_pong(at: SocketAddr) -> Seen {
    let times = Rc::new(RefCell::new((Histogram::new(3).unwrap(), 0)));
    let start = Instant::now();
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| {
            let times = times.clone();
            spawn_local(async move {
                let caller = GrpcClient::connect(at).await;
                let (response, mut stream) =
                    caller.begin("/b.Bench/Chat", &[("x-script", "echo")]).await.unwrap();
                let ping = message(64);
                stream.send_data(ping.clone().into(), false).unwrap();
                let mut sent = Instant::now();
                let mut body = response.await.unwrap().into_body();
                let (mut have, mut back) = (0, 0);
                while back < PINGS {
                    let Some(Ok(chunk)) = body.data().await else {
                        times.borrow_mut().1 += 1;
                        return;
                    };
                    let _ = body.flow_control().release_capacity(chunk.len());
                    have += chunk.len();
                    if have == ping.len() {
                        times.borrow_mut().0.record(sent.elapsed().as_micros() as u64).unwrap();
                        (have, back) = (0, back + 1);
                        let last = back == PINGS;
                        let next = if last { Default::default() } else { ping.clone().into() };
                        stream.send_data(next, last).unwrap();
                        sent = Instant::now();
                    }
                }
                let status = match body.data().await {
                    None => body.trailers().await.ok().flatten(),
                    Some(_) => None,
                };
                let ok = status.is_some_and(|t| t.get("grpc-status").is_some_and(|v| v == "0"));
                times.borrow_mut().1 += u64::from(!ok);
            })
        })
        .collect();
    for stream in streams {
        stream.await.unwrap();
    }
    let seen = times.borrow();
    Seen { times: seen.0.clone(), failed: seen.1, took: start.elapsed() }
}

/// Returns the throughput in megabytes per second and the number of failed streams.
async fn flood(at: SocketAddr) -> (f64, u64) {
    let start = Instant::now();
    let streams: Vec<_> = (0..FLOODS)
        .map(|_| {
            spawn_local(async move {
                let caller = GrpcClient::connect(at).await;
                let act = format!("read head flood:{FLOOD} status:0");
                let (response, mut stream) =
                    caller.begin("/b.Bench/Watch", &[("x-script", &act)]).await.unwrap();
                stream.send_data(message(1).into(), true).unwrap();
                let got = receive_response(response).await;
                (got.body.len(), u64::from(got.status() != 0))
            })
        })
        .collect();
    let (mut bytes, mut failed) = (0, 0);
    for stream in streams {
        let (b, f) = stream.await.unwrap();
        (bytes, failed) = (bytes + b, failed + f);
    }
    (bytes as f64 / 1e6 / start.elapsed().as_secs_f64(), failed)
}

fn main() {
    let rounds: usize = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(3);
    let program =
        PathBuf::from(std::env::var("EDGE_PROXY").unwrap_or_else(|_| "target/release/edge-proxy".into()));
    // The stand-in server runs on a separate thread.
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        LocalSet::new().block_on(&runtime(), async {
            let server = ScriptedBackend::start("127.0.93.1:0").await;
            tell.send(server.address).unwrap();
            loop {
                tokio::time::sleep(Duration::from_secs(1)).await;
                server.calls.borrow_mut().shrink_to_fit();
            }
        });
    });
    let server: SocketAddr = told.recv().unwrap();
    let dir = std::env::temp_dir().join(format!("edge-proxy-grpc-load-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let free = || std::net::TcpListener::bind("127.0.93.9:0").unwrap().local_addr().unwrap();
    let (listen, edge) = (free(), free());
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    std::fs::write(dir.join("config.json"), text.replace("127.0.0.1:5050", &listen.to_string())).unwrap();
    let file = format!(
        r#"{{"listen":"{edge}","pools":[{{"name":"b","backends":[{{"address":"{server}"}}]}}],"routes":[
            {{"method":"/b.Bench/Unary","pool":"b","kind":"unary","repeat":"safe","deadline_ms":5000}},
            {{"method":"/b.Bench/*","pool":"b"}}]}}"#
    );
    std::fs::write(dir.join("grpc.json"), file).unwrap();
    let mut command = Command::new(&program);
    command
        .arg("serve")
        .arg("--config")
        .arg(dir.join("config.json"))
        .arg("--grpc")
        .arg(dir.join("grpc.json"));
    let _proxy = Running(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
    while std::net::TcpStream::connect(edge).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
    LocalSet::new().block_on(&runtime(), async {
        println!("| workload | path | calls or messages per second | p50 us | p99 us | failed |");
        println!("| --- | --- | ---: | ---: | ---: | ---: |");
        let ways = [("direct", server), ("proxy", edge)];
        let mut all: Vec<(Seen, Seen, Seen)> = Vec::new();
        let mut floods = Vec::new();
        for (_, at) in ways {
            // Warms up both paths; not measured.
            unary(at, CALLERS, UNARY).await;
        }
        for round in 0..rounds {
            for (k, (_, at)) in ways.iter().enumerate() {
                let one = unary(*at, 1, ALONE).await;
                let (u, p, f) = (unary(*at, CALLERS, UNARY).await, ping_pong(*at).await, flood(*at).await);
                if round == 0 {
                    all.push((one, u, p));
                    floods.push((f.0, f.1, 1.0));
                } else {
                    let (alone, unary, ping) = &mut all[k];
                    for (sum, new) in [(alone, one), (unary, u), (ping, p)] {
                        sum.times.add(&new.times).unwrap();
                        sum.failed += new.failed;
                        sum.took += new.took;
                    }
                    floods[k] = (floods[k].0 + f.0, floods[k].1 + f.1, floods[k].2 + 1.0);
                }
            }
        }
        for (k, (name, _)) in ways.iter().enumerate() {
            let (alone, unary, ping) = &all[k];
            let rows =
                [("unary, 1 caller", alone), ("unary, 32 callers", unary), ("ping-pong, 16 streams", ping)];
            for (what, seen) in rows {
                println!(
                    "| {what} | {name} | {:.0} | {} | {} | {} |",
                    seen.times.len() as f64 / seen.took.as_secs_f64(),
                    seen.times.value_at_quantile(0.5),
                    seen.times.value_at_quantile(0.99),
                    seen.failed
                );
            }
            println!(
                "| flood, 4 streams | {name} | {:.0} MB/s | | | {} |",
                floods[k].0 / floods[k].2,
                floods[k].1
            );
        }
    });
    let _ = std::fs::remove_dir_all(&dir);
}
