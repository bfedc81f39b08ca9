//! Measures the cost of classification rules: a million classifications by the deployed rules and by the
//! built-in code are timed, and the results for 4,096 requests compared; then requests are sent over loopback
//! to a proxy without rules and to one with them, alternating between the two. REQUESTS is the number of
//! requests to each proxy.
//!
//!     cargo build --release && cargo run --release --example rules_load -- [REQUESTS]

#[path = "../tests/stand_ins/slow_cache_fleet.rs"]
mod slow_cache_fleet;

use edge_proxy::rules::config::RulesConfig;
use edge_proxy::wire::classification::RequestClassifier;
use edge_proxy::wire::http::HttpRequest;
use edge_proxy::wire::platform_path::PlatformPath;
use hdrhistogram::Histogram;
use slow_cache_fleet::SlowCacheFleet;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const RULES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/rules.json");
const EVALUATIONS: u64 = 1_000_000;
const CONNECTIONS: u64 = 8;

struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn measure_classification() {
    let (_, rules) = RulesConfig::read(Path::new(RULES)).unwrap();
    let requests: Vec<HttpRequest> = (0..4_096u64)
        .map(|n| HttpRequest {
            method: "GET".into(),
            target: format!(
                "/ops/video-part/{:016x}/slice-{}",
                n.wrapping_mul(0x9E37_79B9_7F4A_7C15),
                n % 40
            ),
            headers: vec![("x-call-id".into(), format!("{n:016x}")), ("x-set".into(), (n % 200).to_string())],
            ..HttpRequest::default()
        })
        .collect();
    let (mut max_steps, mut mismatches) = (0u64, 0u64);
    let start = Instant::now();
    for n in 0..EVALUATIONS {
        let mut steps = 0;
        std::hint::black_box(rules.classify(&requests[(n % 4_096) as usize], &mut steps));
        max_steps = max_steps.max(steps);
    }
    let rules_duration = start.elapsed();
    let start = Instant::now();
    for n in 0..EVALUATIONS {
        std::hint::black_box(PlatformPath.classify(&requests[(n % 4_096) as usize]));
    }
    let built_in_duration = start.elapsed();
    for request in &requests {
        mismatches += u64::from(rules.classify(request, &mut 0) != PlatformPath.classify(request));
    }
    let ns = |d: Duration| d.as_nanos() as f64 / EVALUATIONS as f64;
    println!(
        "{EVALUATIONS} classifications: {:.0} ns by rules, {:.0} ns by code; at most {max_steps} steps, bound {}; {mismatches} of 4,096 requests classified differently",
        ns(rules_duration),
        ns(built_in_duration),
        rules.max_cost()
    );
}

/// Results of the requests to one proxy.
struct Measurement {
    latency_us: Histogram<u64>,
    duration: Duration,
    not_served: u64,
}

impl Measurement {
    fn add(&mut self, other: Measurement) {
        self.latency_us.add(other.latency_us).unwrap();
        self.duration += other.duration;
        self.not_served += other.not_served;
    }
}

/// Sends requests over [`CONNECTIONS`] connections, one at a time on each.
async fn measure_proxy(address: SocketAddr, requests: u64, id_prefix: u64) -> Measurement {
    let recorded = Rc::new(RefCell::new((Histogram::<u64>::new(3).unwrap(), 0)));
    let start = Instant::now();
    let tasks: Vec<_> = (0..CONNECTIONS)
        .map(|k| {
            let recorded = recorded.clone();
            tokio::task::spawn_local(async move {
                let mut stream = TcpStream::connect(address).await.unwrap();
                let _ = stream.set_nodelay(true);
                let mut response = vec![0u8; 4_096];
                for n in 0..requests / CONNECTIONS {
                    let (id, start) = (id_prefix << 40 | k << 32 | n, Instant::now());
                    let request = format!(
                        "GET /ops/small-object/{:016x} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nX-Set: 7\r\n\r\n",
                        n % 997
                    );
                    stream.write_all(request.as_bytes()).await.unwrap();
                    let length = stream.read(&mut response).await.unwrap();
                    let mut recorded = recorded.borrow_mut();
                    recorded.0.record(start.elapsed().as_micros() as u64).unwrap();
                    recorded.1 += u64::from(!response[..length].starts_with(b"HTTP/1.1 200"));
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    let recorded = recorded.borrow();
    Measurement { latency_us: recorded.0.clone(), duration: start.elapsed(), not_served: recorded.1 }
}

fn main() {
    measure_classification();
    let requests: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(60_000);
    let program =
        PathBuf::from(std::env::var("EDGE_PROXY").unwrap_or_else(|_| "target/release/edge-proxy".into()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, measure_loopback(&program, requests));
}

/// Starts a proxy in front of a fleet, with or without rules.
fn start_proxy(
    program: &Path,
    dir: &Path,
    fleet: &SlowCacheFleet,
    rules: Option<&str>,
) -> (KillOnDrop, SocketAddr) {
    let listen = std::net::TcpListener::bind("127.0.126.9:0").unwrap().local_addr().unwrap();
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    let mut config = std::fs::read_to_string(example).unwrap().replace("127.0.0.1:5050", &listen.to_string());
    for (address, port) in fleet.addresses.iter().zip(7101..) {
        config = config.replace(&format!("127.0.0.1:{port}"), &address.to_string());
    }
    let config_file = dir.join(format!("config-{}.json", listen.port()));
    std::fs::write(&config_file, config).unwrap();
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(config_file);
    if let Some(rules) = rules {
        command.arg("--rules").arg(rules);
    }
    let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    (KillOnDrop(child), listen)
}

/// Measures a proxy without rules and one with them, alternating between the two.
async fn measure_loopback(program: &Path, requests: u64) {
    let dir = std::env::temp_dir().join(format!("edge-proxy-rules-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let fleet = SlowCacheFleet::start(126, 4, 256, 0).await;
    let proxies = [start_proxy(program, &dir, &fleet, None), start_proxy(program, &dir, &fleet, Some(RULES))];
    for (_, address) in &proxies {
        while std::net::TcpStream::connect(address).is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    let mut totals: Vec<Measurement> = Vec::new();
    for round in 0..4u64 {
        for (index, (_, address)) in proxies.iter().enumerate() {
            let measured = measure_proxy(*address, requests / 4, round * 2 + index as u64 + 1).await;
            match totals.get_mut(index) {
                None => totals.push(measured),
                Some(total) => total.add(measured),
            }
        }
    }
    println!("| classification | requests | per second | p50 / p99 us | not served |");
    println!("| --- | ---: | ---: | --- | ---: |");
    for (name, total) in ["by code", "by rules"].iter().zip(&totals) {
        println!(
            "| {name} | {} | {:.0} | {} / {} | {} |",
            total.latency_us.len(),
            total.latency_us.len() as f64 / total.duration.as_secs_f64(),
            total.latency_us.value_at_quantile(0.5),
            total.latency_us.value_at_quantile(0.99),
            total.not_served
        );
    }
    let _ = std::fs::remove_dir_all(&dir);
}
