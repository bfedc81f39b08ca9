//! Measures gRPC proxying on loopback: sends the same calls to a stand-in server directly and through the
//! proxy process, alternating between the two so that both run under the same machine load. Stops after
//! ROUNDS rounds.
//!
//!     cargo build --release && cargo run --release --example grpc_load -- [ROUNDS]
//!
//! Unary: sequential calls, from 1 client and then from 32. Ping-pong: 16 bidirectional streams, where each
//! message is sent after the echo of the one before. Flood: 4 server streams of 1,000-byte messages at full
//! speed.

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

const UNARY_CALLS: usize = 20_000;
const CONCURRENT_CLIENTS: usize = 32;
/// Calls made with a single client.
const SINGLE_CLIENT_CALLS: usize = 4_000;
const PING_PONG_STREAMS: usize = 16;
const PINGS_PER_STREAM: usize = 500;
const FLOOD_STREAMS: usize = 4;
const MESSAGES_PER_FLOOD: usize = 10_000;

struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

struct Measurement {
    latency_us: Histogram<u64>,
    failed: u64,
    duration: Duration,
}

async fn unary(address: SocketAddr, clients: usize, calls: usize) -> Measurement {
    let recorded = Rc::new(RefCell::new((Histogram::new(3).unwrap(), 0)));
    let start = Instant::now();
    let tasks: Vec<_> = (0..clients)
        .map(|_| {
            let recorded = recorded.clone();
            spawn_local(async move {
                let client = GrpcClient::connect(address).await;
                for _ in 0..calls / clients {
                    let response = client.call("/b.Bench/Unary", &[], message(64)).await;
                    let mut recorded = recorded.borrow_mut();
                    recorded.0.record((response.elapsed_ms * 1_000.0) as u64).unwrap();
                    recorded.1 += u64::from(response.status() != 0);
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    let recorded = recorded.borrow();
    Measurement { latency_us: recorded.0.clone(), failed: recorded.1, duration: start.elapsed() }
}

async fn ping_pong(address: SocketAddr) -> Measurement {
    let recorded = Rc::new(RefCell::new((Histogram::new(3).unwrap(), 0)));
    let start = Instant::now();
    let streams: Vec<_> = (0..PING_PONG_STREAMS)
        .map(|_| {
            let recorded = recorded.clone();
            spawn_local(async move {
                let client = GrpcClient::connect(address).await;
                let (response, mut stream) =
                    client.begin("/b.Bench/Chat", &[("x-script", "echo")]).await.unwrap();
                let ping = message(64);
                stream.send_data(ping.clone().into(), false).unwrap();
                let mut sent = Instant::now();
                let mut body = response.await.unwrap().into_body();
                let (mut received_bytes, mut echoes) = (0, 0);
                while echoes < PINGS_PER_STREAM {
                    let Some(Ok(chunk)) = body.data().await else {
                        recorded.borrow_mut().1 += 1;
                        return;
                    };
                    let _ = body.flow_control().release_capacity(chunk.len());
                    received_bytes += chunk.len();
                    if received_bytes == ping.len() {
                        recorded.borrow_mut().0.record(sent.elapsed().as_micros() as u64).unwrap();
                        (received_bytes, echoes) = (0, echoes + 1);
                        let last = echoes == PINGS_PER_STREAM;
                        let next = if last { Default::default() } else { ping.clone().into() };
                        stream.send_data(next, last).unwrap();
                        sent = Instant::now();
                    }
                }
                let trailers = match body.data().await {
                    None => body.trailers().await.ok().flatten(),
                    Some(_) => None,
                };
                let ok = trailers.is_some_and(|t| t.get("grpc-status").is_some_and(|v| v == "0"));
                recorded.borrow_mut().1 += u64::from(!ok);
            })
        })
        .collect();
    for stream in streams {
        stream.await.unwrap();
    }
    let recorded = recorded.borrow();
    Measurement { latency_us: recorded.0.clone(), failed: recorded.1, duration: start.elapsed() }
}

/// Returns the throughput in megabytes per second and the number of failed streams.
async fn flood(address: SocketAddr) -> (f64, u64) {
    let start = Instant::now();
    let streams: Vec<_> = (0..FLOOD_STREAMS)
        .map(|_| {
            spawn_local(async move {
                let client = GrpcClient::connect(address).await;
                let script = format!("read head flood:{MESSAGES_PER_FLOOD} status:0");
                let (response, mut stream) =
                    client.begin("/b.Bench/Watch", &[("x-script", &script)]).await.unwrap();
                stream.send_data(message(1).into(), true).unwrap();
                let response = receive_response(response).await;
                (response.body.len(), u64::from(response.status() != 0))
            })
        })
        .collect();
    let (mut total_bytes, mut total_failed) = (0, 0);
    for stream in streams {
        let (bytes, failed) = stream.await.unwrap();
        (total_bytes, total_failed) = (total_bytes + bytes, total_failed + failed);
    }
    (total_bytes as f64 / 1e6 / start.elapsed().as_secs_f64(), total_failed)
}

fn main() {
    let rounds: usize = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(3);
    let program =
        PathBuf::from(std::env::var("EDGE_PROXY").unwrap_or_else(|_| "target/release/edge-proxy".into()));
    // The stand-in server runs on a separate thread.
    let (address_sender, address_receiver) = mpsc::channel();
    std::thread::spawn(move || {
        LocalSet::new().block_on(&runtime(), async {
            let server = ScriptedBackend::start("127.0.93.1:0").await;
            address_sender.send(server.address).unwrap();
            // Keeps the server running until the process ends.
            loop {
                tokio::time::sleep(Duration::from_secs(1)).await;
                server.calls.borrow_mut().shrink_to_fit();
            }
        });
    });
    let server: SocketAddr = address_receiver.recv().unwrap();
    let dir = std::env::temp_dir().join(format!("edge-proxy-grpc-load-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let free_address = || std::net::TcpListener::bind("127.0.93.9:0").unwrap().local_addr().unwrap();
    let (http_address, grpc_address) = (free_address(), free_address());
    let config =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    std::fs::write(dir.join("config.json"), config.replace("127.0.0.1:5050", &http_address.to_string()))
        .unwrap();
    let grpc_config = format!(
        r#"{{"listen":"{grpc_address}","pools":[{{"name":"b","backends":[{{"address":"{server}"}}]}}],"routes":[
            {{"method":"/b.Bench/Unary","pool":"b","kind":"unary","repeat":"safe","deadline_ms":5000}},
            {{"method":"/b.Bench/*","pool":"b"}}]}}"#
    );
    std::fs::write(dir.join("grpc.json"), grpc_config).unwrap();
    let mut command = Command::new(&program);
    command
        .arg("serve")
        .arg("--config")
        .arg(dir.join("config.json"))
        .arg("--grpc")
        .arg(dir.join("grpc.json"));
    let _proxy = KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
    while std::net::TcpStream::connect(grpc_address).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
    LocalSet::new().block_on(&runtime(), async {
        println!("| workload | path | throughput (calls or messages per second, or MB/s) | p50 us | p99 us | failed |");
        println!("| --- | --- | ---: | ---: | ---: | ---: |");
        let paths = [("direct", server), ("proxy", grpc_address)];
        let mut totals: Vec<(Measurement, Measurement, Measurement)> = Vec::new();
        let mut floods = Vec::new();
        for (_, address) in paths {
            // Warms up both paths; not measured.
            unary(address, CONCURRENT_CLIENTS, UNARY_CALLS).await;
        }
        for round in 0..rounds {
            for (index, (_, address)) in paths.iter().enumerate() {
                let single = unary(*address, 1, SINGLE_CLIENT_CALLS).await;
                let (unary_new, ping_new, flood_new) = (
                    unary(*address, CONCURRENT_CLIENTS, UNARY_CALLS).await,
                    ping_pong(*address).await,
                    flood(*address).await,
                );
                if round == 0 {
                    totals.push((single, unary_new, ping_new));
                    floods.push((flood_new.0, flood_new.1, 1.0));
                } else {
                    let (single_client, unary, ping) = &mut totals[index];
                    for (sum, new) in [(single_client, single), (unary, unary_new), (ping, ping_new)] {
                        sum.latency_us.add(&new.latency_us).unwrap();
                        sum.failed += new.failed;
                        sum.duration += new.duration;
                    }
                    floods[index] =
                        (floods[index].0 + flood_new.0, floods[index].1 + flood_new.1, floods[index].2 + 1.0);
                }
            }
        }
        for (index, (name, _)) in paths.iter().enumerate() {
            let (single_client, unary, ping) = &totals[index];
            let rows = [
                ("unary, 1 client", single_client),
                ("unary, 32 clients", unary),
                ("ping-pong, 16 streams", ping),
            ];
            for (workload, measurement) in rows {
                println!(
                    "| {workload} | {name} | {:.0} | {} | {} | {} |",
                    measurement.latency_us.len() as f64 / measurement.duration.as_secs_f64(),
                    measurement.latency_us.value_at_quantile(0.5),
                    measurement.latency_us.value_at_quantile(0.99),
                    measurement.failed
                );
            }
            println!(
                "| flood, 4 streams | {name} | {:.0} MB/s | | | {} |",
                floods[index].0 / floods[index].2,
                floods[index].1
            );
        }
    });
    let _ = std::fs::remove_dir_all(&dir);
}
