//! End-to-end tests of the registry client: endpoint changes, outages, compaction, a restore from a backup,
//! and malformed, duplicate and reordered changes.

mod stand_ins;

use simd_json::prelude::*;
use stand_ins::registry::Registry;
use stand_ins::slow_cache_fleet::{unix_ms, SlowCacheFleet};
use stand_ins::{run, test_dir};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

const PROGRAM: &str = env!("CARGO_BIN_EXE_edge-proxy");
const PREFIX: &str = "/calicobeam/members/";
/// Id, availability zone and model of each endpoint.
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

struct Proxy {
    child: Child,
    listen: SocketAddr,
    mgmt: SocketAddr,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn start_proxy(net: u8, name: &str, registry: &Registry) -> Proxy {
    let dir = test_dir(name);
    let ip = format!("127.0.{net}.10");
    let port = || TcpListener::bind(format!("{ip}:0")).unwrap().local_addr().unwrap();
    let (listen, mgmt) = (port(), port());
    let mut text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    // The configuration keeps the example addresses, on which no cache of this test listens, so that the
    // proxy can only use those from the registry.
    let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\",");
    text = text.replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
    std::fs::write(dir.join("config.json"), text).unwrap();
    let file = format!(
        r#"{{"address":"{}","prefix":"{PREFIX}","timeout_ms":1000,"stall_ms":1500,
            "backoff":{{"first_ms":50,"factor":2,"most_ms":1000,"jitter":0.1}}}}"#,
        registry.address
    );
    std::fs::write(dir.join("registry.json"), file).unwrap();
    let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
    let (config, registry_file) = (dir.join("config.json"), dir.join("registry.json"));
    let args = ["serve", "--config", config.to_str().unwrap(), "--registry", registry_file.to_str().unwrap()];
    let child = Command::new(PROGRAM).args(args).stderr(Stdio::from(log)).spawn().unwrap();
    Proxy { child, listen, mgmt }
}

/// Status of the proxy's registry client.
async fn status(mgmt: SocketAddr) -> Option<simd_json::OwnedValue> {
    let response =
        edge_proxy::http_client::call(mgmt, "GET", "/registry", b"", Duration::from_secs(1)).await.ok()?;
    let mut body = response.body;
    simd_json::to_owned_value(&mut body).ok()
}

/// Waits until the proxy has applied `revision`. Returns the time at which its endpoint list last
/// changed, in Unix milliseconds.
async fn wait_for_revision(mgmt: SocketAddr, revision: i64, seconds: u64) -> f64 {
    let deadline_ms = unix_ms() + seconds as f64 * 1_000.0;
    while unix_ms() < deadline_ms {
        if let Some(client_status) = status(mgmt).await {
            if client_status["revision"].as_i64().unwrap_or(0) >= revision {
                return client_status["heard_ms"].as_f64().unwrap_or(0.0);
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("the proxy did not apply revision {revision} within {seconds} s");
}

/// Continuously sends requests through the proxy and counts the successful ones in `served`.
fn generate_load(listen: SocketAddr, served: Rc<Cell<u64>>) {
    for k in 0..4u64 {
        let served = served.clone();
        spawn_local(async move {
            let mut id = k << 40;
            loop {
                id += 1;
                let request = format!(
                    "GET /ops/small-object/{:016x} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 1000\r\n\
                     Connection: close\r\n\r\n",
                    id % 97
                );
                if let Ok(mut stream) = tokio::net::TcpStream::connect(listen).await {
                    let mut response = Vec::new();
                    if stream.write_all(request.as_bytes()).await.is_ok()
                        && stream.read_to_end(&mut response).await.is_ok()
                        && response.starts_with(b"HTTP/1.1 200")
                    {
                        served.set(served.get() + 1);
                    }
                }
                tokio::time::sleep(Duration::from_millis(4)).await;
            }
        });
    }
}

/// Number of requests that cache `index` received after `after_ms` (Unix milliseconds).
fn requests_after(fleet: &SlowCacheFleet, index: usize, after_ms: f64) -> usize {
    fleet
        .arrivals
        .borrow()
        .iter()
        .filter(|(cache, arrived_ms)| *cache == index && *arrived_ms > after_ms)
        .count()
}

#[test]
fn draining_takes_effect_within_250_ms_even_after_an_outage_with_compaction() {
    run(async {
        let fleet = SlowCacheFleet::start(80, 4, 64, 2).await;
        let registry = Registry::start("127.0.80.100").await;
        for (index, address) in fleet.addresses.iter().enumerate() {
            registry
                .put(&format!("{PREFIX}{}", ENDPOINTS[index].0), &endpoint_json(index, *address, "Ready"));
        }
        let proxy = start_proxy(80, "registry-drains", &registry).await;
        wait_for_revision(proxy.mgmt, 4, 10).await;
        let served = Rc::new(Cell::new(0));
        generate_load(proxy.listen, served.clone());
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(
            requests_after(&fleet, 0, 0.0) > 0 && requests_after(&fleet, 1, 0.0) > 0,
            "both caches should receive requests"
        );

        // An endpoint starts to drain.
        let written_ms = unix_ms();
        let revision = registry
            .put(&format!("{PREFIX}s-000000c1"), &endpoint_json(0, fleet.addresses[0], "Terminating"));
        let applied_ms = wait_for_revision(proxy.mgmt, revision, 5).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(
            requests_after(&fleet, 0, applied_ms + 250.0),
            0,
            "the draining cache received a request more than 250 ms after the change was applied"
        );
        assert!(
            applied_ms - written_ms < 250.0,
            "the change was applied {:.0} ms after it was written, expected less than 250 ms",
            applied_ms - written_ms
        );

        // While the registry doesn't respond for 10 s, the other cache starts to drain and the history is
        // compacted.
        registry.stop_responding(Duration::from_secs(10));
        tokio::time::sleep(Duration::from_millis(200)).await;
        let revision = registry
            .put(&format!("{PREFIX}s-000000c2"), &endpoint_json(1, fleet.addresses[1], "Terminating"));
        registry.put(&format!("{PREFIX}s-000000c1"), &endpoint_json(0, fleet.addresses[0], "Ready"));
        registry.compact();
        let before = served.get();
        let applied_ms = wait_for_revision(proxy.mgmt, revision + 1, 20).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(
            requests_after(&fleet, 1, applied_ms + 250.0),
            0,
            "the cache that started to drain during the outage received a request more than 250 ms after \
             the change was applied"
        );
        assert!(
            requests_after(&fleet, 0, applied_ms + 250.0) > 0,
            "the cache that is active again should receive requests"
        );
        assert!(served.get() > before, "no requests were served after the outage began");
        let client_status = status(proxy.mgmt).await.unwrap();
        assert!(client_status["view"]["resyncs"].as_u64() >= Some(1), "{client_status:?}");
        assert!(
            client_status["view"]["found"].as_u64() >= Some(2),
            "the full read after the outage must find both changes: {client_status:?}"
        );
    });
}

#[test]
fn duplicate_reordered_and_malformed_changes_leave_the_endpoint_list_intact() {
    run(async {
        let fleet = SlowCacheFleet::start(81, 4, 64, 2).await;
        let registry = Registry::start("127.0.81.100").await;
        for (index, address) in fleet.addresses.iter().enumerate() {
            registry
                .put(&format!("{PREFIX}{}", ENDPOINTS[index].0), &endpoint_json(index, *address, "Ready"));
        }
        let proxy = start_proxy(81, "registry-malformed", &registry).await;
        wait_for_revision(proxy.mgmt, 4, 10).await;
        let served = Rc::new(Cell::new(0));
        generate_load(proxy.listen, served.clone());
        // Duplicate and reordered changes must not make the endpoint active again.
        registry.store.sends_duplicates.set(true);
        let key = format!("{PREFIX}s-000000c1");
        registry.put(&key, &endpoint_json(0, fleet.addresses[0], "Ready"));
        let revision = registry.put(&key, &endpoint_json(0, fleet.addresses[0], "Terminating"));
        let applied_ms = wait_for_revision(proxy.mgmt, revision, 5).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(
            requests_after(&fleet, 0, applied_ms + 250.0),
            0,
            "an outdated change made the draining endpoint active again"
        );
        let client_status = status(proxy.mgmt).await.unwrap();
        assert!(client_status["view"]["stale"].as_u64() >= Some(2), "{client_status:?}");
        // One malformed value, then malformed responses to all calls.
        registry.store.sends_duplicates.set(false);
        let revision = registry.put(&format!("{PREFIX}s-000000c2"), "{not json");
        wait_for_revision(proxy.mgmt, revision, 5).await;
        registry.store.malformed.set(true);
        registry.close_watches();
        let before = served.get();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(served.get() > before, "no request was served while the registry's responses were malformed");
        assert!(
            requests_after(&fleet, 1, unix_ms() - 1_000.0) > 0,
            "the cache with a malformed value should still receive requests"
        );
        let client_status = status(proxy.mgmt).await.unwrap();
        assert!(
            client_status["failures"].as_u64() >= Some(1) && client_status["last_error"].as_str().is_some(),
            "{client_status:?}"
        );
        assert!(client_status["view"]["faults"].as_u64() >= Some(1), "{client_status:?}");
        assert_eq!(requests_after(&fleet, 0, unix_ms() - 1_000.0), 0, "the cache should remain draining");
        registry.store.malformed.set(false);
        let revision = registry.put(&key, &endpoint_json(0, fleet.addresses[0], "Ready"));
        wait_for_revision(proxy.mgmt, revision, 10).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(
            requests_after(&fleet, 0, unix_ms() - 250.0) > 0,
            "the cache should receive requests again once the registry has recovered"
        );
    });
}

/// Guards against a watch that resumes above the revision of a restored registry and misses its changes.
#[test]
fn a_registry_restored_from_a_backup_causes_a_full_read() {
    run(async {
        let fleet = SlowCacheFleet::start(84, 4, 64, 2).await;
        let registry = Registry::start("127.0.84.100").await;
        let key = |index: usize| format!("{PREFIX}{}", ENDPOINTS[index].0);
        for _ in 0..20 {
            for (index, address) in fleet.addresses.iter().enumerate() {
                registry.put(&key(index), &endpoint_json(index, *address, "Ready"));
            }
        }
        let proxy = start_proxy(84, "registry-restored", &registry).await;
        wait_for_revision(proxy.mgmt, 80, 10).await;
        generate_load(proxy.listen, Rc::new(Cell::new(0)));
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(requests_after(&fleet, 0, 0.0) > 0, "the cache should receive requests");
        let state = |index| if index == 0 { "Terminating" } else { "Ready" };
        let kvs: Vec<_> = (0..4)
            .map(|index| (key(index), endpoint_json(index, fleet.addresses[index], state(index))))
            .collect();
        let revision = registry.restore(&kvs);
        let deadline_ms = unix_ms() + 5_000.0;
        while status(proxy.mgmt).await.is_none_or(|s| s["revision"].as_i64() != Some(revision)) {
            assert!(unix_ms() < deadline_ms, "the endpoints of the restored registry were not read");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let reported = status(proxy.mgmt).await.unwrap();
        assert_eq!(reported["view"]["resets"].as_u64(), Some(1), "{reported:?}");
        let applied_ms = reported["heard_ms"].as_f64().unwrap();
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(
            requests_after(&fleet, 0, applied_ms + 250.0),
            0,
            "the cache that drains in the restored registry received a request more than 250 ms after \
             the change was applied"
        );
        assert!(requests_after(&fleet, 1, applied_ms + 250.0) > 0, "the other cache should receive requests");
    });
}
