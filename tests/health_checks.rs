//! End-to-end tests of shared health checks: three proxy processes, with failing processes and endpoints.

mod stand_ins;

use base64::Engine as _;
use edge_proxy::health_check::config::HealthCheckConfig;
use edge_proxy::health_check::lease::slot_at;
use simd_json::prelude::*;
use stand_ins::checked_endpoint::CheckedEndpoint;
use stand_ins::slow_cache_fleet::{unix_ms, SlowCacheFleet};
use stand_ins::{run, test_dir, KillOnDrop};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

const PERIOD_MS: f64 = 500.0;
/// Ids of the checked endpoints in `examples/config.json`.
const ENDPOINTS: [u32; 3] = [0xc1, 0xc2, 0xa0];

struct Instance {
    process: KillOnDrop,
    mgmt: SocketAddr,
}

impl Instance {
    async fn get(&self, path: &str) -> Option<String> {
        let timeout = Duration::from_secs(1);
        let response = edge_proxy::http_client::call(self.mgmt, "GET", path, b"", timeout).await.ok()?;
        Some(String::from_utf8_lossy(&response.body).to_string())
    }

    async fn status(&self) -> simd_json::OwnedValue {
        for _ in 0..500 {
            if let Some(mut text) = self.get("/duties").await.map(String::into_bytes) {
                return simd_json::to_owned_value(&mut text).unwrap();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("no response at the admin address");
    }

    fn signal(&self, name: &str) {
        self.process.signal(name);
    }
}

/// Starts stand-in caches, three endpoints that respond to health checks, and three proxies that share the
/// checks. Waits until every endpoint was checked twice. Returns the proxies, the endpoints and the addresses
/// on which the proxies receive datagrams.
async fn start_instances(net: u8, name: &str) -> (Vec<Instance>, Vec<CheckedEndpoint>, [SocketAddr; 3]) {
    let fleet = SlowCacheFleet::start(net, 4, 64, 2).await;
    // Health checks use a separate port, which is the same at all endpoints.
    let port = std::net::TcpListener::bind(format!("127.0.{net}.1:0")).unwrap().local_addr().unwrap().port();
    let mut endpoints = Vec::new();
    for k in 1..=3 {
        endpoints.push(CheckedEndpoint::start(&format!("127.0.{net}.{k}:{port}")).await);
    }
    // Keep all sockets open until every port is allocated, so that no port is allocated twice.
    let udp = [(); 3].map(|()| std::net::UdpSocket::bind(format!("127.0.{net}.10:0")).unwrap());
    let tcp = [(); 6].map(|()| std::net::TcpListener::bind(format!("127.0.{net}.10:0")).unwrap());
    let instance_addresses = udp.each_ref().map(|socket| socket.local_addr().unwrap());
    let tcp_addresses = tcp.each_ref().map(|listener| listener.local_addr().unwrap());
    drop((udp, tcp));
    let key = base64::engine::general_purpose::STANDARD.encode([9; 32]);
    let instances = (0..3).map(|k| {
        let dir = test_dir(&format!("{name}-{k}"));
        let (listen, mgmt) = (tcp_addresses[2 * k], tcp_addresses[2 * k + 1]);
        let mut text =
            std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
        for (index, port) in (7101..=7104).enumerate() {
            text = text.replace(&format!("127.0.0.1:{port}"), &fleet.addresses[index].to_string());
        }
        let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
        let text = text.replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
        std::fs::write(dir.join("config.json"), text).unwrap();
        std::fs::write(dir.join("health-checks.key"), &key).unwrap();
        let peers: Vec<String> = (0..3)
            .filter(|n| *n != k)
            .map(|n| format!(r#"{{"id":{},"address":"{}"}}"#, n + 1, instance_addresses[n]))
            .collect();
        let health_check_json = format!(
            r#"{{"id":{},"listen":"{}","peers":[{}],"key_file":"health-checks.key","probe":{{"http":"/health"}},
                "servers":{{"models":["std","box","parent"],"port":{port}}},"probe_ms":200,
                "period_ms":{PERIOD_MS},"step_ms":60,"dead_ms":400}}"#,
            k + 1,
            instance_addresses[k],
            peers.join(",")
        );
        std::fs::write(dir.join("health-checks.json"), health_check_json).unwrap();
        let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
        let (config, file) = (dir.join("config.json"), dir.join("health-checks.json"));
        let args = ["serve", "--config", config.to_str().unwrap(), "--health-checks", file.to_str().unwrap()];
        let child =
            Command::new(env!("CARGO_BIN_EXE_edge-proxy")).args(args).stderr(Stdio::from(log)).spawn();
        Instance { process: KillOnDrop(child.unwrap()), mgmt }
    });
    let instances: Vec<Instance> = instances.collect();
    let deadline = Instant::now() + Duration::from_secs(10);
    while endpoints.iter().any(|endpoint| endpoint.checks.borrow().len() < 2) {
        assert!(Instant::now() < deadline, "not every endpoint was checked twice in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (instances, endpoints, instance_addresses)
}

/// Asserts that no endpoint was checked twice in a slot. Returns the longest interval between two checks of
/// an endpoint, in milliseconds.
fn assert_one_check_per_slot(endpoints: &[CheckedEndpoint], from: f64, to: f64) -> f64 {
    let mut longest_interval_ms = 0.0f64;
    for (k, endpoint) in endpoints.iter().enumerate() {
        let checks = endpoint.checks_between(from, to);
        // Assumes that a check arrives within the slot in which it is due.
        let slots: BTreeSet<u64> = checks.iter().map(|at| slot_at(*at, ENDPOINTS[k], PERIOD_MS)).collect();
        assert_eq!(slots.len(), checks.len(), "endpoint {k} was checked twice in a slot: {checks:?}");
        longest_interval_ms = checks.windows(2).map(|w| w[1] - w[0]).fold(longest_interval_ms, f64::max);
    }
    longest_interval_ms
}

#[test]
fn each_endpoint_is_checked_once_per_period_and_checks_continue_after_an_instance_is_killed() {
    run(async {
        let (mut instances, endpoints, _) = start_instances(121, "health-checks-kill").await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let from = unix_ms();
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        let to = unix_ms();
        for endpoint in &endpoints {
            let n = endpoint.checks_between(from, to).len();
            assert!((7..=9).contains(&n), "an endpoint was checked {n} times in 8 periods");
        }
        assert_one_check_per_slot(&endpoints, from, to);
        let mut checks_run = Vec::new();
        for instance in &instances {
            checks_run.push(instance.status().await["figures"]["ran"].as_u64().unwrap());
        }
        assert!(
            checks_run.iter().filter(|n| **n > 0).count() >= 2,
            "checks per instance: {checks_run:?}; at least two should run checks"
        );
        // After the instance that ran the most checks is killed, the others take over its checks.
        let busiest = (0..3).max_by_key(|k| checks_run[*k]).unwrap();
        let killed_ms = unix_ms();
        instances[busiest].process.0.kill().unwrap();
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        let longest_interval_ms = assert_one_check_per_slot(&endpoints, killed_ms - 2_000.0, unix_ms());
        assert!(longest_interval_ms < 1_500.0, "no check for {longest_interval_ms:.0} ms");
        let remaining = instances.iter().enumerate().find(|(k, _)| *k != busiest).unwrap().1;
        let live_instances = remaining.status().await["living"].as_array().map(|a| a.len());
        assert_eq!(live_instances, Some(2), "expected two live instances after one was killed");
    });
}

/// Guards against checks without a majority, and against duplicate checks after paused instances resume with
/// outdated state.
#[test]
fn no_check_runs_without_a_majority_and_none_runs_twice_after_it_is_restored() {
    run(async {
        let (instances, endpoints, instance_addresses) = start_instances(122, "health-checks-majority").await;
        instances[0].signal("-STOP");
        instances[1].signal("-STOP");
        tokio::time::sleep(Duration::from_millis(400)).await;
        let from = unix_ms();
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let checks_without_majority: usize =
            endpoints.iter().map(|endpoint| endpoint.checks_between(from, unix_ms()).len()).sum();
        assert_eq!(checks_without_majority, 0, "an instance without a majority ran a check");
        assert!(
            instances[2].status().await["figures"]["unanswered"].as_u64() > Some(0),
            "no vote request timed out"
        );
        instances[0].signal("-CONT");
        instances[1].signal("-CONT");
        let from = unix_ms();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        for endpoint in &endpoints {
            assert!(endpoint.checks_between(from + 500.0, unix_ms()).len() >= 3, "checks did not resume");
        }
        assert_one_check_per_slot(&endpoints, from, unix_ms());
        // Datagrams from unknown senders are rejected and counted, whatever their content.
        let unknown_sender = UdpSocket::bind("127.0.122.30:0").await.unwrap();
        let before = instances[2].status().await["ignored"].as_u64().unwrap();
        for text in [&b"{\"claim\":{\"duty\":193,\"slot\":1}}"[..], b"", b"{", &[0xff; 500]] {
            unknown_sender.send_to(text, instance_addresses[2]).await.unwrap();
        }
        let deadline = Instant::now() + Duration::from_secs(2);
        while instances[2].status().await["ignored"].as_u64().unwrap() < before + 4 {
            assert!(Instant::now() < deadline, "a datagram from an unknown sender was not counted");
        }
    });
}

/// Guards against results that are applied only by the instance that ran the check.
#[test]
fn every_instance_applies_the_result_of_a_check() {
    run(async {
        let (instances, endpoints, _) = start_instances(123, "health-checks-results").await;
        let wait_for_ejected = |n: u64| {
            let instances = &instances;
            async move {
                let deadline = Instant::now() + Duration::from_secs(8);
                for instance in instances {
                    let line = format!("app_pool_ejected {n}\n");
                    while !instance.get("/stats").await.is_some_and(|text| text.contains(&line)) {
                        assert!(Instant::now() < deadline, "not every instance reports {line:?}");
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            }
        };
        wait_for_ejected(0).await;
        endpoints[0].status.set(500);
        wait_for_ejected(1).await;
        endpoints[1].status.set(0);
        wait_for_ejected(2).await;
        let up = instances[0].status().await["servers"]["s-000000c1"]["up"].as_bool();
        assert_eq!(up, Some(false));
        endpoints[0].status.set(200);
        endpoints[1].status.set(204);
        wait_for_ejected(0).await;
    });
}

#[test]
fn an_invalid_configuration_is_rejected_with_the_name_of_the_field() {
    let dir = test_dir("health-checks-files");
    let read = |text: &str| {
        std::fs::write(dir.join("health-checks.json"), text).unwrap();
        HealthCheckConfig::read(&dir.join("health-checks.json")).map(|_| ()).map_err(|e| e.to_string())
    };
    let config_with = |extra_fields: &str| {
        format!(
            r#"{{"id":1,"listen":"127.0.0.1:1","servers":{{"models":["box"]}},"probe":"connect","peers":[{{"id":2,"address":"127.0.0.1:2"}}]{extra_fields}}}"#
        )
    };
    assert_eq!(read(&config_with("")), Ok(()));
    for (text, field) in [
        (config_with(r#","period_ms":1"#), "period_ms"),
        (config_with(r#","probe_ms":9000"#), "probe_ms"),
        (config_with(r#","step_ms":1900"#), "step_ms"),
        (config_with(r#","fall":0"#), "fall"),
        (config_with(r#","key_file":"none""#), "key_file"),
        (config_with("").replace("\"id\":2", "\"id\":1"), "peers"),
        (config_with("").replace("127.0.0.1:2", "10.0.0.1:2"), "peers"),
        (config_with("").replace("\"connect\"", "{\"http\":\"health\"}"), "probe"),
        (config_with("").replace("[\"box\"]", "[]"), "servers"),
        (config_with(r#","shares":1"#), "shares"),
    ] {
        let reason = read(&text).expect_err(&text);
        assert!(reason.contains(field), "{reason} does not name {field}");
    }
}
