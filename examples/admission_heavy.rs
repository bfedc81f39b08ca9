//! Measures fairness between clients on loopback, with and without admission control: a proxy process in
//! front of a stand-in cache fleet with 8 slots at 20 ms per request, ten clients at 10 requests per second
//! each, and optionally one heavy client at 1,000 per second. Prints the latency of the ten clients (p50,
//! p99) and the responses to the heavy client for each of the four combinations.
//!
//!     cargo build --release && cargo run --release --example admission_heavy -- [SECONDS]

#[path = "../tests/stand_ins/slow_cache_fleet.rs"]
mod slow_cache_fleet;

use slow_cache_fleet::SlowCacheFleet;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::task::spawn_local;

async fn get_small_object(proxy: SocketAddr, source: IpAddr, id: u64) -> Option<(u16, f64)> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(SocketAddr::new(source, 0)).ok()?;
    let start = Instant::now();
    let mut stream = socket.connect(proxy).await.ok()?;
    let request = format!(
        "GET /ops/small-object/{:016x} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2000\r\n\
         Connection: close\r\n\r\n",
        id % 500
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    tokio::time::timeout(Duration::from_secs(4), stream.read_to_end(&mut bytes)).await.ok()?.ok()?;
    let status = String::from_utf8_lossy(bytes.get(9..12)?).parse().ok()?;
    Some((status, start.elapsed().as_secs_f64() * 1_000.0))
}

/// Kills the proxy process when dropped.
struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    sorted.get(((sorted.len().max(1) - 1) as f64 * quantile).round() as usize).copied().unwrap_or(0.0)
}

fn main() {
    let seconds: f64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(4.0);
    let program =
        PathBuf::from(std::env::var("EDGE_PROXY").unwrap_or_else(|_| "target/release/edge-proxy".into()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, run(program, seconds));
}

async fn run(program: PathBuf, seconds: f64) {
    let dir = std::env::temp_dir().join(format!("edge-proxy-admission-heavy-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let fleet = SlowCacheFleet::start(74, 4, 8, 20).await;
    println!("| admission | heavy client | others p50 ms | others p99 ms | others served | heavy served | heavy shed |");
    println!("| --- | --- | ---: | ---: | ---: | ---: | ---: |");
    let ids = Rc::new(Cell::new(0u64));
    for admission in [false, true] {
        for heavy in [false, true] {
            let (others, heavy_statuses) =
                measure(&program, &dir, &fleet, admission, heavy, seconds, ids.clone()).await;
            let mut latencies_ms: Vec<f64> =
                others.iter().filter(|(s, _)| *s == 200).map(|(_, t)| *t).collect();
            latencies_ms.sort_by(f64::total_cmp);
            let served = heavy_statuses.iter().filter(|s| **s == 200).count();
            let shed = heavy_statuses.iter().filter(|s| **s == 503 || **s == 429).count();
            println!(
                "| {} | {} | {:.1} | {:.1} | {} of {} | {served} | {shed} |",
                if admission { "on" } else { "off" },
                if heavy { "yes" } else { "no" },
                percentile(&latencies_ms, 0.5),
                percentile(&latencies_ms, 0.99),
                latencies_ms.len(),
                others.len(),
            );
        }
    }
    let _ = std::fs::remove_dir_all(&dir);
}

async fn measure(
    program: &Path,
    dir: &Path,
    fleet: &SlowCacheFleet,
    admission: bool,
    heavy: bool,
    seconds: f64,
    ids: Rc<Cell<u64>>,
) -> (Vec<(u16, f64)>, Vec<u16>) {
    let proxy_address = TcpListener::bind("127.0.74.10:0").unwrap().local_addr().unwrap();
    let mut config_text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    for (index, port) in (7101..=7104).enumerate() {
        config_text = config_text.replace(&format!("127.0.0.1:{port}"), &fleet.addresses[index].to_string());
    }
    let config_text = config_text.replace("127.0.0.1:5050", &proxy_address.to_string());
    let config = dir.join("config.json");
    std::fs::write(&config, config_text).unwrap();
    let admission_config = dir.join("admission.json");
    std::fs::write(&admission_config, r#"{"limit":{"first":8,"least":8,"most":8},"per_client_most":16}"#)
        .unwrap();
    let mut args = vec!["serve".to_string(), "--config".into(), config.display().to_string()];
    if admission {
        args.extend(["--admission".into(), admission_config.display().to_string()]);
    }
    let mut command = Command::new(program);
    command.args(&args).env("EDGE_PROXY_LOG", "warn").stdout(Stdio::null()).stderr(Stdio::null());
    let _proxy = KillOnDrop(command.spawn().unwrap());
    while tokio::net::TcpStream::connect(proxy_address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let next_id = move || {
        ids.set(ids.get() + 1);
        ids.get()
    };
    let heavy_statuses: Rc<RefCell<Vec<u16>>> = Rc::default();
    let end = Instant::now() + Duration::from_secs_f64(seconds + 0.5);
    let mut tasks = Vec::new();
    if heavy {
        for _ in 0..20 {
            let (recorded, next_id) = (heavy_statuses.clone(), next_id.clone());
            tasks.push(spawn_local(async move {
                while Instant::now() < end {
                    let (recorded, id) = (recorded.clone(), next_id());
                    spawn_local(async move {
                        let status = get_small_object(proxy_address, "127.0.75.2".parse().unwrap(), id)
                            .await
                            .map_or(0, |(status, _)| status);
                        recorded.borrow_mut().push(status);
                    });
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }));
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let others: Rc<RefCell<Vec<(u16, f64)>>> = Rc::default();
    for client in 0..10u8 {
        let (recorded, next_id) = (others.clone(), next_id.clone());
        tasks.push(spawn_local(async move {
            let source: IpAddr = format!("127.0.75.{}", 10 + client).parse().unwrap();
            while Instant::now() < end {
                let outcome = get_small_object(proxy_address, source, next_id()).await.unwrap_or((0, 0.0));
                recorded.borrow_mut().push(outcome);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let others = others.borrow().clone();
    let heavy = heavy_statuses.borrow().clone();
    (others, heavy)
}
