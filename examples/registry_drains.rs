//! Measures the registry client on loopback. The first part runs one proxy process against a stand-in
//! registry with random failures (closed connections, compacted history, no responses for up to two seconds)
//! and measures the time from writing each `Terminating` state until the proxy applies it, and the requests
//! the server still gets 250 ms later. The second part runs a hundred registry clients, each with its own
//! engine, in this process for twenty seconds and counts their calls; meanwhile, watches are closed and the
//! history is compacted at random.
//!
//!     cargo build --release && cargo run --release --example registry_drains -- [DRAINS]

#[path = "../tests/stand_ins/registry.rs"]
mod registry;
#[path = "../tests/stand_ins/slow_cache_fleet.rs"]
mod slow_cache_fleet;

use edge_proxy::clock::Clock;
use edge_proxy::engine::executor::Executor;
use edge_proxy::lifecycle::config::Config;
use edge_proxy::registry::config::RegistryConfig;
use edge_proxy::registry::service::{run, RegistryStatus};
use edge_proxy::wire::cache_connection::CacheDriver;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use registry::Registry;
use simd_json::prelude::*;
use slow_cache_fleet::{unix_ms, SlowCacheFleet};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PREFIX: &str = "/calicobeam/members/";
const ENDPOINTS: [(&str, &str, &str); 4] = [
    ("s-000000c1", "town", "box"),
    ("s-000000c2", "town", "box"),
    ("s-000000a0", "hub", "parent"),
    ("s-000000b0", "hub", "origin"),
];

fn endpoint_json(index: usize, address: SocketAddr, state: &str) -> String {
    let (uid, az, model) = ENDPOINTS[index];
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{az}","model":"{model}","pod_group":0,"state":"{state}","capacity_hint":4,"boot_ms":0}}"#
    )
}

fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    sorted.get(((sorted.len().max(1) - 1) as f64 * quantile).round() as usize).copied().unwrap_or(0.0)
}

struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() {
    let drains: usize = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(60);
    let program =
        PathBuf::from(std::env::var("EDGE_PROXY").unwrap_or_else(|_| "target/release/edge-proxy".into()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        measure_drains(program, drains).await;
        measure_call_rate(100, 20).await;
    });
}

fn write_config_files(
    dir: &std::path::Path,
    registry: SocketAddr,
    listen: &str,
    mgmt: Option<&str>,
) -> (PathBuf, PathBuf) {
    let mut text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    let mgmt = mgmt.map(|m| format!("\n  \"mgmt\": \"{m}\",")).unwrap_or_default();
    text = text.replace("\"listen\": \"127.0.0.1:5050\",", &format!("\"listen\": \"{listen}\",{mgmt}"));
    std::fs::write(dir.join("config.json"), text).unwrap();
    let registry_config = format!(
        r#"{{"address":"{registry}","prefix":"{PREFIX}","timeout_ms":1000,"stall_ms":1500,
            "backoff":{{"first_ms":50,"factor":2,"most_ms":1000,"jitter":0.2}}}}"#
    );
    std::fs::write(dir.join("registry.json"), registry_config).unwrap();
    (dir.join("config.json"), dir.join("registry.json"))
}

async fn registry_status(mgmt: SocketAddr) -> Option<simd_json::OwnedValue> {
    let response =
        edge_proxy::http_client::call(mgmt, "GET", "/registry", b"", Duration::from_secs(1)).await.ok()?;
    let mut body = response.body;
    simd_json::to_owned_value(&mut body).ok()
}

async fn read_forever(listen: SocketAddr, first_id: u64) {
    let mut id = first_id;
    loop {
        id += 1;
        let request = format!(
            "GET /ops/small-object/{:016x} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 1000\r\n\
             Connection: close\r\n\r\n",
            id % 97
        );
        if let Ok(mut stream) = tokio::net::TcpStream::connect(listen).await {
            let mut response = Vec::new();
            let _ = stream.write_all(request.as_bytes()).await;
            let _ = stream.read_to_end(&mut response).await;
        }
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
}

/// Number of registry failures injected before drains, by kind.
#[derive(Default)]
struct InjectedFailures {
    closed: u32,
    compacted: u32,
    unresponsive: u32,
}

impl InjectedFailures {
    /// Injects a random failure, or none; returns whether the caller must compact the history after the next
    /// change.
    fn inject(&mut self, registry: &Registry, rng: &mut SmallRng) -> bool {
        match rng.random_range(0..20) {
            0..=4 => {
                registry.close_watches();
                self.closed += 1;
            }
            5..=7 => {
                registry.stop_responding(Duration::from_millis(300));
                self.compacted += 1;
                return true;
            }
            8..=9 => {
                registry.stop_responding(Duration::from_millis(rng.random_range(500..2_000)));
                self.unresponsive += 1;
            }
            _ => {}
        }
        false
    }
}

/// Waits until the proxy has applied a revision; returns the time of its last update, in Unix milliseconds.
async fn wait_for_revision(mgmt: SocketAddr, revision: i64) -> f64 {
    loop {
        let status = registry_status(mgmt).await;
        if status.as_ref().and_then(|s| s["revision"].as_i64()).unwrap_or(0) >= revision {
            return status.and_then(|s| s["heard_ms"].as_f64()).unwrap_or(0.0);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn measure_drains(program: PathBuf, drains: usize) {
    let dir = std::env::temp_dir().join(format!("edge-proxy-registry-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let fleet = SlowCacheFleet::start(82, 4, 64, 2).await;
    let registry = Registry::start("127.0.82.100").await;
    let put = |k: usize, state| {
        let key = format!("{PREFIX}{}", ENDPOINTS[k].0);
        registry.put(&key, &endpoint_json(k, fleet.addresses[k], state))
    };
    (0..ENDPOINTS.len()).for_each(|k| {
        put(k, "Ready");
    });
    let free_address = || TcpListener::bind("127.0.82.10:0").unwrap().local_addr().unwrap();
    let (listen, mgmt) = (free_address(), free_address());
    let (config, registry_config) =
        write_config_files(&dir, registry.address, &listen.to_string(), Some(&mgmt.to_string()));
    let mut command = Command::new(&program);
    command.args([
        "serve",
        "--config",
        config.to_str().unwrap(),
        "--registry",
        registry_config.to_str().unwrap(),
    ]);
    let _proxy = KillOnDrop(
        command.env("EDGE_PROXY_LOG", "warn").stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap(),
    );
    wait_for_revision(mgmt, 4).await;
    for k in 0..4u64 {
        tokio::task::spawn_local(read_forever(listen, k << 40));
    }
    let mut rng = SmallRng::seed_from_u64(5);
    let mut failures = InjectedFailures::default();
    let (mut delays, mut requests_after) = (Vec::new(), 0usize);
    for n in 0..drains {
        let k = n % 2;
        let must_compact = failures.inject(&registry, &mut rng);
        let written_ms = unix_ms();
        let revision = put(k, "Terminating");
        if must_compact {
            // The proxy is disconnected, so it can learn of the compacted change only by a full read.
            registry.compact();
        }
        let applied_ms = wait_for_revision(mgmt, revision).await;
        delays.push(applied_ms - written_ms);
        tokio::time::sleep(Duration::from_millis(400)).await;
        requests_after += fleet
            .arrivals
            .borrow()
            .iter()
            .filter(|(cache, received_ms)| *cache == k && *received_ms > applied_ms + 250.0)
            .count();
        put(k, "Ready");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    delays.sort_by(f64::total_cmp);
    print_drains(&delays, &failures, requests_after, &registry_status(mgmt).await.unwrap());
    let _ = std::fs::remove_dir_all(&dir);
}

fn print_drains(
    delays: &[f64],
    failures: &InjectedFailures,
    requests_after: usize,
    status: &simd_json::OwnedValue,
) {
    println!("| drains | closed / compacted / unresponsive | write to apply p50 ms | p99 ms | max ms | requests 250 ms after | full reads (resyncs) |");
    println!("| ---: | --- | ---: | ---: | ---: | ---: | ---: |");
    println!(
        "| {} | {} / {} / {} | {:.1} | {:.1} | {:.1} | {requests_after} | {} ({}) |",
        delays.len(),
        failures.closed,
        failures.compacted,
        failures.unresponsive,
        percentile(delays, 0.5),
        percentile(delays, 0.99),
        delays.last().copied().unwrap_or(0.0),
        status["view"]["reads"].as_u64().unwrap_or(0),
        status["view"]["resyncs"].as_u64().unwrap_or(0),
    );
}

async fn measure_call_rate(proxies: usize, seconds: u64) {
    let dir = std::env::temp_dir().join(format!("edge-proxy-registry-many-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let registry = Registry::start("127.0.83.100").await;
    for (k, endpoint) in ENDPOINTS.iter().enumerate() {
        let at: SocketAddr = format!("127.0.83.{}:7000", k + 1).parse().unwrap();
        registry.put(&format!("{PREFIX}{}", endpoint.0), &endpoint_json(k, at, "Ready"));
    }
    let (config, registry_config) = write_config_files(&dir, registry.address, "127.0.83.10:1", None);
    let (config, registry_config) =
        (Config::read(&config).unwrap(), RegistryConfig::read(&registry_config).unwrap());
    let mut statuses = Vec::new();
    for n in 0..proxies {
        let clock = Clock::system();
        let (engine, _) = edge_proxy::lifecycle::engine_setup::engine(&config, &clock, 0).unwrap();
        let executor = Executor::new(clock, engine, CacheDriver);
        executor.with(|engine| engine.use_registry());
        let status = Rc::new(RefCell::new(RegistryStatus::default()));
        statuses.push(status.clone());
        tokio::task::spawn_local(run(executor, registry_config.clone(), status, n as u64));
    }
    let start = std::time::Instant::now();
    let (ranges, watches) = (registry.store.range_calls.get(), registry.store.watch_calls.get());
    let mut rng = SmallRng::seed_from_u64(9);
    let mut changes = 0;
    while start.elapsed() < Duration::from_secs(seconds) {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let k = rng.random_range(0..2);
        let at: SocketAddr = format!("127.0.83.{}:7000", k + 1).parse().unwrap();
        let state = if rng.random_range(0..2) == 0 { "Terminating" } else { "Ready" };
        registry.put(&format!("{PREFIX}{}", ENDPOINTS[k].0), &endpoint_json(k, at, state));
        changes += 1;
        if rng.random_range(0..4) == 0 {
            registry.close_watches();
        }
        if rng.random_range(0..10) == 0 {
            registry.compact();
        }
    }
    let wall = start.elapsed().as_secs_f64();
    let ranges = registry.store.range_calls.get() - ranges;
    let watches = registry.store.watch_calls.get() - watches;
    let outdated =
        statuses.iter().filter(|status| status.borrow().revision < registry.store.revision.get() - 1).count();
    println!();
    println!("| simulated proxies | seconds | changes | ranges | watches | calls per second per proxy | outdated at the end |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    println!(
        "| {proxies} | {wall:.0} | {changes} | {ranges} | {watches} | {:.3} | {outdated} |",
        (ranges + watches) as f64 / proxies as f64 / wall
    );
    let _ = std::fs::remove_dir_all(&dir);
}
