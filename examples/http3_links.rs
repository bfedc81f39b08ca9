//! Measures HTTP/3 on loopback: the proxy in front of a stand-in cache fleet, and clients behind a relay that
//! drops 5 % of the datagrams and delays each by up to 300 ms, with several path settings. Then measures the
//! cost of a call in the response store. Each client sends REQUESTS requests per setting.
//!
//!     cargo build --release && cargo run --release --example http3_links -- [REQUESTS]

#[path = "../tests/stand_ins/http3_client.rs"]
mod http3_client;
#[path = "../tests/stand_ins/slow_cache_fleet.rs"]
mod slow_cache_fleet;

use edge_proxy::http3::config::Http3Config;
use edge_proxy::http3::response_store::{AttachOutcome, CallKey, ResponseStore, StoreLimits};
use edge_proxy::state::requests::FinalResponse;
use hdrhistogram::Histogram;
use http3_client::{write_certificate, Http3Client, ImpairedLink};
use slow_cache_fleet::SlowCacheFleet;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};

const CLIENTS: u64 = 8;

struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Results with one combination of link and path settings. Histograms are in milliseconds.
struct Measurement {
    small: Histogram<u64>,
    large: Histogram<u64>,
    /// Small objects requested during a large response on the same connection.
    during_large: Histogram<u64>,
    requests: u32,
    in_time: u32,
    received_twice: usize,
}

fn start_proxy(
    dir: &Path,
    fleet: &SlowCacheFleet,
    quic_address: std::net::SocketAddr,
    path_settings: &str,
) -> (KillOnDrop, Http3Config) {
    let program =
        PathBuf::from(std::env::var("EDGE_PROXY").unwrap_or_else(|_| "target/release/edge-proxy".into()));
    let listen = std::net::TcpListener::bind("127.0.120.9:0").unwrap().local_addr().unwrap();
    let mut node_config =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    for (index, port) in (7101..=7104).enumerate() {
        node_config = node_config.replace(&format!("127.0.0.1:{port}"), &fleet.addresses[index].to_string());
    }
    std::fs::write(dir.join("config.json"), node_config.replace("127.0.0.1:5050", &listen.to_string()))
        .unwrap();
    let http3_config = dir.join("http3.json");
    let text = format!(
        r#"{{"listen":"{quic_address}","certificate":"cert.pem","key":"key.pem","path":{path_settings}}}"#
    );
    std::fs::write(&http3_config, text).unwrap();
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(dir.join("config.json")).arg("--http3").arg(&http3_config);
    let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    while std::net::TcpStream::connect(listen).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(Duration::from_millis(50));
    (KillOnDrop(child), Http3Config::read(&http3_config).unwrap())
}

async fn measure_path(
    dir: &Path,
    path_settings: &str,
    loss: f64,
    jitter_ms: f64,
    requests: u64,
    round: u64,
) -> Measurement {
    let fleet = SlowCacheFleet::start(119, 4, 256, 4).await;
    fleet.part_bytes.set(120_000);
    let quic_address = std::net::UdpSocket::bind("127.0.120.9:0").unwrap().local_addr().unwrap();
    let (_proxy, config) = start_proxy(dir, &fleet, quic_address, path_settings);
    let link = ImpairedLink::start("127.0.120.20", quic_address, 5 + round).await;
    link.loss_rate.set(loss);
    link.jitter_ms.set(jitter_ms);
    let histogram = || Histogram::<u64>::new(3).unwrap();
    let measurement = Measurement {
        small: histogram(),
        large: histogram(),
        during_large: histogram(),
        requests: 0,
        in_time: 0,
        received_twice: 0,
    };
    let measurement = Rc::new(RefCell::new(measurement));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|k| {
            let (measurement, config, address) = (measurement.clone(), config.clone(), link.address);
            spawn_local(async move {
                let mut client = None;
                while client.is_none() {
                    client = Http3Client::connect(address, &config, None).await;
                }
                let client = Rc::new(client.unwrap());
                for n in 0..requests {
                    let id = round << 40 | k << 24 | n << 4;
                    let start = Instant::now();
                    let (response, timeout_ms, kind) = match n % 3 {
                        0 => (client.put_ad_post(id, 3_000).await, 3_000, 0),
                        1 => (client.get_small_object(id, 3_000).await, 3_000, 0),
                        _ => {
                            // A large response, and a small object during it on the same connection.
                            let during_large = spawn_local({
                                let (client, measurement) = (client.clone(), measurement.clone());
                                async move {
                                    tokio::time::sleep(Duration::from_millis(50)).await;
                                    let start = Instant::now();
                                    let response = client.get_small_object(id | 1, 3_000).await;
                                    let ok = response.is_some_and(|response| response.status == 200);
                                    let mut measurement = measurement.borrow_mut();
                                    measurement.requests += 1;
                                    measurement.in_time +=
                                        u32::from(ok && start.elapsed() < Duration::from_millis(3_000));
                                    measurement
                                        .during_large
                                        .record(start.elapsed().as_millis() as u64)
                                        .unwrap();
                                }
                            });
                            let text = format!("{id:016x}");
                            let headers = [("x-call-id", text.as_str()), ("x-patience-ms", "5000")];
                            let path = format!("/ops/video-part/{text}/slice-1");
                            let response = client.request("GET", &path, &headers, b"").await;
                            during_large.await.unwrap();
                            (response, 5_000, 1)
                        }
                    };
                    let elapsed_ms = match &response {
                        Some(response) => response.elapsed_ms as u64,
                        None => start.elapsed().as_millis() as u64,
                    };
                    let mut measurement = measurement.borrow_mut();
                    measurement.requests += 1;
                    measurement.in_time += u32::from(
                        response.is_some_and(|response| response.status == 200) && elapsed_ms < timeout_ms,
                    );
                    if kind == 0 {
                        measurement.small.record(elapsed_ms).unwrap();
                    } else {
                        measurement.large.record(elapsed_ms).unwrap();
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.await.unwrap();
    }
    measurement.borrow_mut().received_twice =
        fleet.requests_by_idempotency_key.borrow().values().filter(|n| **n > 1).count();
    Rc::try_unwrap(measurement).ok().unwrap().into_inner()
}

fn measure_store() {
    let limits = StoreLimits {
        max_calls: 8_192,
        max_calls_per_session: 64,
        max_bytes: 64 << 20,
        cancel_after_ms: 5_000.0,
        keep_read_ms: 10_000.0,
        keep_write_ms: 60_000.0,
    };
    let (mut store, calls) = (ResponseStore::new(limits), 400_000u64);
    let response = FinalResponse::Served { entity_tag: None, body: vec![1u8; 600].into() };
    let (start, mut max_bytes) = (Instant::now(), 0);
    for n in 0..calls {
        let (now, key) = (n as f64 / 4.0, CallKey { session: u128::from(n % 2_000), call: n });
        assert_eq!(store.attach(now, key, n, n % 3 == 0), AttachOutcome::Started);
        store.complete(now + 0.1, key, &response);
        assert!(matches!(store.attach(now + 0.2, key, n, n % 3 == 0), AttachOutcome::Completed(_)));
        max_bytes = max_bytes.max(store.bytes());
    }
    let ns = start.elapsed().as_nanos() as f64 / calls as f64;
    println!(
        "store: {ns:.0} ns for a call, its response and a retry; limit {} calls; at most \
         {max_bytes} bytes held",
        limits.max_calls
    );
}

fn main() {
    let requests: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(24);
    let dir = std::env::temp_dir().join(format!("edge-proxy-http3-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    write_certificate(&dir);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        println!("| link | path | requests | in time | small p50 / p99 ms | during a large response p50 / p99 ms | response of 120 KB p50 / p99 ms | ad-posts received twice |");
        println!("| --- | --- | ---: | ---: | --- | --- | --- | ---: |");
        let bbr = r#"{"congestion":"bbr"}"#;
        let cubic = r#"{"congestion":"cubic"}"#;
        let rfc9002 = r#"{"congestion":"cubic","reorder_packets":3,"reorder_trips":1.125}"#;
        let rounds = [
            ("clean", "bbr, 32 packets", bbr, 0.0, 0.0),
            ("5 %, 300 ms", "cubic, 3 packets (RFC 9002)", rfc9002, 0.05, 300.0),
            ("5 %, 300 ms", "cubic, 32 packets", cubic, 0.05, 300.0),
            ("5 %, 300 ms", "bbr, 32 packets", bbr, 0.05, 300.0),
        ];
        for (round, (link, name, path, loss, jitter)) in rounds.into_iter().enumerate() {
            let measurement = measure_path(&dir, path, loss, jitter, requests, round as u64 + 1).await;
            let p50_p99 =
                |h: &Histogram<u64>| format!("{} / {}", h.value_at_quantile(0.5), h.value_at_quantile(0.99));
            println!(
                "| {link} | {name} | {} | {:.3} | {} | {} | {} | {} |",
                measurement.requests,
                f64::from(measurement.in_time) / f64::from(measurement.requests),
                p50_p99(&measurement.small),
                p50_p99(&measurement.during_large),
                p50_p99(&measurement.large),
                measurement.received_twice
            );
        }
    });
    measure_store();
    let _ = std::fs::remove_dir_all(&dir);
}
