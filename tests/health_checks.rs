//! Shared duties in the program itself: three proxy processes that divide the probing of stand-in servers, of which
//! one is killed, others are stopped, and servers fail.

mod stand_ins;

use base64::Engine as _;
use edge_proxy::health_check::config::HealthCheckConfig;
use edge_proxy::health_check::lease::slot_at;
use simd_json::prelude::*;
use stand_ins::probed::Probed;
use stand_ins::slow_box::{unix_ms, SlowFleet};
use stand_ins::{folder, run, Killed};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

const PERIOD_MS: f64 = 500.0;
/// The endpoints of the example's list that are probed, by id.
const MEMBERS: [u32; 3] = [0xc1, 0xc2, 0xa0];

struct Instance {
    process: Killed,
    mgmt: SocketAddr,
}

impl Instance {
    async fn call(&self, path: &str) -> Option<String> {
        let within = Duration::from_secs(1);
        let answer = edge_proxy::purge::wire::call(self.mgmt, "GET", path, b"", within).await.ok()?;
        Some(String::from_utf8_lossy(&answer.body).to_string())
    }

    async fn status(&self) -> simd_json::OwnedValue {
        for _ in 0..500 {
            if let Some(mut text) = self.call("/duties").await.map(String::into_bytes) {
                return simd_json::to_owned_value(&mut text).unwrap();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("no answer at the second address");
    }

    fn signal(&self, name: &str) {
        self.process.signal(name);
    }
}

/// Three instances before a fleet, and the servers that they probe.
async fn three(net: u8, name: &str) -> (Vec<Instance>, Vec<Probed>, [SocketAddr; 3]) {
    let fleet = SlowFleet::start(net, 4, 64, 2).await;
    // The servers answer probes on one port, beside the fleet's own.
    let port = std::net::TcpListener::bind(format!("127.0.{net}.1:0")).unwrap().local_addr().unwrap().port();
    let mut servers = Vec::new();
    for k in 1..=3 {
        servers.push(Probed::start(&format!("127.0.{net}.{k}:{port}")).await);
    }
    let udp = || std::net::UdpSocket::bind(format!("127.0.{net}.10:0")).unwrap().local_addr().unwrap();
    let places = [udp(), udp(), udp()];
    let key = base64::engine::general_purpose::STANDARD.encode([9; 32]);
    let instances = (0..3).map(|k| {
        let dir = folder(&format!("{name}-{k}"));
        let free = || std::net::TcpListener::bind(format!("127.0.{net}.10:0")).unwrap().local_addr().unwrap();
        let (listen, mgmt) = (free(), free());
        let mut text =
            std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
        for (n, at) in (7101..=7104).enumerate() {
            text = text.replace(&format!("127.0.0.1:{at}"), &fleet.addresses[n].to_string());
        }
        let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
        let text = text.replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
        std::fs::write(dir.join("config.json"), text).unwrap();
        std::fs::write(dir.join("duties.key"), &key).unwrap();
        let peers: Vec<String> = (0..3)
            .filter(|n| *n != k)
            .map(|n| format!(r#"{{"id":{},"address":"{}"}}"#, n + 1, places[n]))
            .collect();
        let file = format!(
            r#"{{"id":{},"listen":"{}","peers":[{}],"key_file":"duties.key","probe":{{"http":"/health"}},
                "servers":{{"models":["std","box","parent"],"port":{port}}},"probe_ms":200,
                "period_ms":{PERIOD_MS},"step_ms":60,"dead_ms":400}}"#,
            k + 1,
            places[k],
            peers.join(",")
        );
        std::fs::write(dir.join("duties.json"), file).unwrap();
        let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
        let (config, own) = (dir.join("config.json"), dir.join("duties.json"));
        let args = ["serve", "--config", config.to_str().unwrap(), "--health-checks", own.to_str().unwrap()];
        let child =
            Command::new(env!("CARGO_BIN_EXE_edge-proxy")).args(args).stderr(Stdio::from(log)).spawn();
        Instance { process: Killed(child.unwrap()), mgmt }
    });
    let instances: Vec<Instance> = instances.collect();
    let end = Instant::now() + Duration::from_secs(10);
    while servers.iter().any(|s| s.probes.borrow().len() < 2) {
        assert!(Instant::now() < end, "the servers are not probed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (instances, servers, places)
}

/// No slot of a server was probed twice; returns the longest time between two probes of one.
fn once_a_slot(servers: &[Probed], from: f64, to: f64) -> f64 {
    let mut longest = 0.0f64;
    for (k, server) in servers.iter().enumerate() {
        let probes = server.between(from, to);
        // The duty of a server is its endpoint's id; a probe comes within a slot of its being due.
        let slots: BTreeSet<u64> = probes.iter().map(|at| slot_at(*at, MEMBERS[k], PERIOD_MS)).collect();
        assert_eq!(slots.len(), probes.len(), "server {k} was probed twice in a slot: {probes:?}");
        longest = probes.windows(2).map(|w| w[1] - w[0]).fold(longest, f64::max);
    }
    longest
}

#[test]
fn each_server_is_probed_once_a_period_also_after_an_instance_is_killed() {
    run(async {
        let (mut instances, servers, _) = three(121, "duties-kill").await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let from = unix_ms();
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        let to = unix_ms();
        for server in &servers {
            let n = server.between(from, to).len();
            assert!((7..=9).contains(&n), "{n} probes in eight periods");
        }
        once_a_slot(&servers, from, to);
        let mut ran = Vec::new();
        for instance in &instances {
            ran.push(instance.status().await["figures"]["ran"].as_u64().unwrap());
        }
        assert!(ran.iter().filter(|n| **n > 0).count() >= 2, "the duties are divided: {ran:?}");
        // The one that does most is killed: its duties go on at once.
        let most = (0..3).max_by_key(|k| ran[*k]).unwrap();
        let killed = unix_ms();
        instances[most].process.0.kill().unwrap();
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        let longest = once_a_slot(&servers, killed - 2_000.0, unix_ms());
        assert!(longest < 1_500.0, "a duty was lost for {longest:.0} ms");
        let left = instances.iter().enumerate().find(|(k, _)| *k != most).unwrap().1;
        let living = left.status().await["living"].as_array().map(|a| a.len());
        assert_eq!(living, Some(2), "its silence was noticed");
    });
}

/// Two of three are stopped: the one that is left has no majority, and probes nothing. When they go on, with clocks
/// and minds where they were, nothing is doubled.
#[test]
fn without_a_majority_nothing_is_probed_and_nothing_is_doubled_after() {
    run(async {
        let (instances, servers, places) = three(122, "duties-split").await;
        instances[0].signal("-STOP");
        instances[1].signal("-STOP");
        tokio::time::sleep(Duration::from_millis(400)).await;
        let from = unix_ms();
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let alone: usize = servers.iter().map(|s| s.between(from, unix_ms()).len()).sum();
        assert_eq!(alone, 0, "one alone probed");
        assert!(instances[2].status().await["figures"]["unanswered"].as_u64() > Some(0));
        instances[0].signal("-CONT");
        instances[1].signal("-CONT");
        let from = unix_ms();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        for server in &servers {
            assert!(server.between(from + 500.0, unix_ms()).len() >= 3, "probing goes on");
        }
        once_a_slot(&servers, from, unix_ms());
        // Datagrams of strangers, without a seal, or unreadable, are counted and change nothing.
        let stranger = UdpSocket::bind("127.0.122.30:0").await.unwrap();
        let before = instances[2].status().await["ignored"].as_u64().unwrap();
        for text in [&b"{\"claim\":{\"duty\":193,\"slot\":1}}"[..], b"", b"{", &[0xff; 500]] {
            stranger.send_to(text, places[2]).await.unwrap();
        }
        let end = Instant::now() + Duration::from_secs(2);
        while instances[2].status().await["ignored"].as_u64().unwrap() < before + 4 {
            assert!(Instant::now() < end, "a stranger's words are not counted");
        }
    });
}

/// A server that fails its probes is left by every instance's module, whoever probed it, and taken back.
#[test]
fn what_one_finds_out_all_know() {
    run(async {
        let (instances, servers, _) = three(123, "duties-board").await;
        let ejected = |n: u64| {
            let instances = &instances;
            async move {
                let end = Instant::now() + Duration::from_secs(8);
                for instance in instances {
                    let line = format!("app_pool_ejected {n}\n");
                    while !instance.call("/stats").await.is_some_and(|text| text.contains(&line)) {
                        assert!(Instant::now() < end, "not every instance says {line:?}");
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            }
        };
        ejected(0).await;
        servers[0].status.set(500);
        ejected(1).await;
        servers[1].status.set(0);
        ejected(2).await;
        let down = instances[0].status().await["servers"]["s-000000c1"]["up"].as_bool();
        assert_eq!(down, Some(false));
        servers[0].status.set(200);
        servers[1].status.set(204);
        ejected(0).await;
    });
}

#[test]
fn files_that_cannot_work_are_refused_with_the_field() {
    let dir = folder("duties-files");
    let check = |text: &str| {
        std::fs::write(dir.join("d.json"), text).unwrap();
        HealthCheckConfig::read(&dir.join("d.json")).map(|_| ()).map_err(|e| e.to_string())
    };
    let file = |more: &str| {
        format!(
            r#"{{"id":1,"listen":"127.0.0.1:1","servers":{{"models":["box"]}},"probe":"connect","peers":[{{"id":2,"address":"127.0.0.1:2"}}]{more}}}"#
        )
    };
    assert_eq!(check(&file("")), Ok(()));
    for (text, word) in [
        (file(r#","period_ms":1"#), "period_ms"),
        (file(r#","probe_ms":9000"#), "probe_ms"),
        (file(r#","step_ms":1900"#), "step_ms"),
        (file(r#","fall":0"#), "fall"),
        (file(r#","key_file":"none""#), "key_file"),
        (file("").replace("\"id\":2", "\"id\":1"), "peers"),
        (file("").replace("127.0.0.1:2", "10.0.0.1:2"), "peers"),
        (file("").replace("\"connect\"", "{\"http\":\"health\"}"), "probe"),
        (file("").replace("[\"box\"]", "[]"), "servers"),
        (file(r#","shares":1"#), "shares"),
    ] {
        let reason = check(&text).expect_err(&text);
        assert!(reason.contains(word), "{reason} does not name {word}");
    }
}
