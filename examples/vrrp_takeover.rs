//! Measures VRRP takeovers on loopback: two proxy processes share a virtual address under client load, and
//! the active one is repeatedly killed (SIGKILL) and restarted. Stops after KILLS kills.
//!
//!     cargo build --release && cargo run --release --example vrrp_takeover -- [KILLS]

#[path = "../tests/stand_ins/slow_cache_fleet.rs"]
mod slow_cache_fleet;
#[path = "../tests/stand_ins/vrrp_peer.rs"]
mod vrrp_peer;

use simd_json::prelude::*;
use slow_cache_fleet::SlowCacheFleet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use vrrp_peer::LoadGenerator;

const CLIENT_TIMEOUT: Duration = Duration::from_millis(5_000);

struct Proxy {
    child: Child,
    mgmt: SocketAddr,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address(ip: &str) -> SocketAddr {
    std::net::TcpListener::bind(format!("{ip}:0")).unwrap().local_addr().unwrap()
}

fn start_proxy(
    program: &Path,
    dir: &Path,
    index: usize,
    fleet: &SlowCacheFleet,
    routers: [SocketAddr; 2],
    virtual_address: SocketAddr,
) -> Proxy {
    let (listen, mgmt) = (free_address("127.0.102.10"), free_address("127.0.102.10"));
    let mut config_text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    for (n, port) in (7101..=7104).enumerate() {
        config_text = config_text.replace(&format!("127.0.0.1:{port}"), &fleet.addresses[n].to_string());
    }
    let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
    let (config, vrrp_config) =
        (dir.join(format!("config-{index}.json")), dir.join(format!("vrrp-{index}.json")));
    std::fs::write(&config, config_text.replace("\"listen\": \"127.0.0.1:5050\",", &addresses)).unwrap();
    // Without preemption, a restarted router stays backup until the active one is killed.
    let vrrp_text = format!(
        r#"{{"listen":"{}","peers":["{}"],"vrid":7,"priority":{},"interval_cs":20,"down_intervals":8,"preempt":false,
            "addresses":["{}"],"serve":[{{"address":"{virtual_address}","front":"platform"}}]}}"#,
        routers[index],
        routers[1 - index],
        [120, 100][index],
        virtual_address.ip()
    );
    std::fs::write(&vrrp_config, vrrp_text).unwrap();
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(config).arg("--vrrp").arg(vrrp_config);
    Proxy { child: command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap(), mgmt }
}

async fn vrrp_state(proxy: &Proxy) -> Option<String> {
    let timeout = Duration::from_secs(1);
    let mut body = edge_proxy::http_client::call(proxy.mgmt, "GET", "/vrrp", b"", timeout).await.ok()?.body;
    let status = simd_json::to_owned_value(&mut body).ok()?;
    status["state"].as_str().map(String::from)
}

async fn wait_for_state(proxy: &Proxy, expected: &str) {
    let end = Instant::now() + Duration::from_secs(10);
    while vrrp_state(proxy).await.as_deref() != Some(expected) {
        assert!(
            Instant::now() < end,
            "the router at {} did not become {expected} within ten seconds",
            proxy.mgmt
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * quantile).round() as usize]
}

fn main() {
    let kills: usize = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(20);
    let program =
        PathBuf::from(std::env::var("EDGE_PROXY").unwrap_or_else(|_| "target/release/edge-proxy".into()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let dir = std::env::temp_dir().join(format!("edge-proxy-takeover-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let fleet = SlowCacheFleet::start(102, 4, 512, 4).await;
        let virtual_address = free_address("127.1.102.1");
        let udp = || std::net::UdpSocket::bind("127.0.102.10:0").unwrap().local_addr().unwrap();
        let routers = [udp(), udp()];
        let mut proxies =
            [0, 1].map(|index| start_proxy(&program, &dir, index, &fleet, routers, virtual_address));
        wait_for_state(&proxies[0], "active").await;
        wait_for_state(&proxies[1], "backup").await;
        let load = LoadGenerator::start(virtual_address, 16, CLIENT_TIMEOUT);
        let (mut takeover_ms, mut first_response_ms, mut active) = (Vec::new(), Vec::new(), 0);
        for _ in 0..kills {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let killed = Instant::now();
            proxies[active].child.kill().unwrap();
            wait_for_state(&proxies[1 - active], "active").await;
            takeover_ms.push(killed.elapsed().as_secs_f64() * 1_000.0);
            tokio::time::sleep(Duration::from_millis(200)).await;
            let first = load
                .outcomes
                .borrow()
                .iter()
                .filter(|(_, _, e)| e.ended_at > killed)
                .map(|(_, _, e)| e.ended_at)
                .min();
            first_response_ms.push(first.map_or(f64::NAN, |t| (t - killed).as_secs_f64() * 1_000.0));
            let restarted = start_proxy(&program, &dir, active, &fleet, routers, virtual_address);
            proxies[active] = restarted;
            wait_for_state(&proxies[active], "backup").await;
            active = 1 - active;
        }
        let outcomes = load.stop().await;
        takeover_ms.sort_by(f64::total_cmp);
        first_response_ms.sort_by(f64::total_cmp);
        let failed = outcomes.iter().filter(|(_, _, e)| e.status != Some(200) || e.malformed).count();
        let retried = outcomes.iter().filter(|(_, _, e)| e.retries > 0).count();
        let posts = outcomes.iter().filter(|(_, write, _)| *write).count();
        let keys = fleet.requests_by_idempotency_key.borrow();
        let receive_count = |id: u64| keys.get(&format!("k{id:x}")).copied().unwrap_or(0);
        let received_twice_without_retry =
            outcomes.iter().filter(|(id, write, e)| *write && e.retries == 0 && receive_count(*id) > 1).count();
        let received_twice_after_retry =
            outcomes.iter().filter(|(id, write, e)| *write && e.retries > 0 && receive_count(*id) > 1).count();
        println!("| kills | takeover p50 / p99 / max ms | first response after the kill p50 / max ms | requests | failed | retried | ad-posts | received twice without a client retry | received twice after a client retry |");
        println!("| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
        println!(
            "| {kills} | {:.0} / {:.0} / {:.0} | {:.0} / {:.0} | {} | {failed} | {retried} | {posts} | {received_twice_without_retry} | {received_twice_after_retry} |",
            percentile(&takeover_ms, 0.5),
            percentile(&takeover_ms, 0.99),
            percentile(&takeover_ms, 1.0),
            percentile(&first_response_ms, 0.5),
            percentile(&first_response_ms, 1.0),
            outcomes.len(),
        );
        let _ = std::fs::remove_dir_all(&dir);
    });
}
