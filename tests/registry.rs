//! The endpoint list from a registry, in the program: a proxy process with `--registry`, a stand-in registry that
//! compacts, falls silent for ten seconds, sends duplicate and reordered changes, and answers with malformed bodies, and
//! a stand-in fleet that records which server each request reached and when.

mod stand_ins;

use simd_json::prelude::*;
use stand_ins::registry::Registry;
use stand_ins::slow_cache_fleet::{unix_ms, SlowCacheFleet};
use stand_ins::{folder, run};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

const PROGRAM: &str = env!("CARGO_BIN_EXE_edge-proxy");
const PREFIX: &str = "/calicobeam/members/";
const ENDPOINTS: [(&str, &str, &str); 4] = [
    ("s-000000c1", "town", "box"),
    ("s-000000c2", "town", "box"),
    ("s-000000a0", "hub", "parent"),
    ("s-000000b0", "hub", "origin"),
];

fn endpoint_json(k: usize, at: SocketAddr, state: &str) -> String {
    let (uid, az, model) = ENDPOINTS[k];
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"{az}","model":"{model}","pod_group":0,"state":"{state}","capacity_hint":4,"boot_ms":0}}"#
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

async fn start(net: u8, name: &str, registry: &Registry) -> Proxy {
    let dir = folder(name);
    let ip = format!("127.0.{net}.10");
    let port = || TcpListener::bind(format!("{ip}:0")).unwrap().local_addr().unwrap();
    let (listen, mgmt) = (port(), port());
    let mut text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    // The addresses in the configuration are not those of the fleet: only the registry has them.
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

/// The status of the proxy's registry client.
async fn status(mgmt: SocketAddr) -> Option<simd_json::OwnedValue> {
    let answer =
        edge_proxy::http_client::call(mgmt, "GET", "/registry", b"", Duration::from_secs(1)).await.ok()?;
    let mut body = answer.body;
    simd_json::to_owned_value(&mut body).ok()
}

/// Waits until the proxy has applied `revision`; returns when its list last changed, in Unix milliseconds.
async fn wait_for_revision(mgmt: SocketAddr, revision: i64, seconds: u64) -> f64 {
    let end = unix_ms() + seconds as f64 * 1_000.0;
    while unix_ms() < end {
        if let Some(state) = status(mgmt).await {
            if state["revision"].as_i64().unwrap_or(0) >= revision {
                return state["heard_ms"].as_f64().unwrap_or(0.0);
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("the proxy did not apply revision {revision} within {seconds} s");
}

/// Sends reads through the proxy, for ever, so that every server gets requests.
fn load(listen: SocketAddr, served: Rc<Cell<u64>>) {
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
                    let mut answer = Vec::new();
                    if stream.write_all(request.as_bytes()).await.is_ok()
                        && stream.read_to_end(&mut answer).await.is_ok()
                        && answer.starts_with(b"HTTP/1.1 200")
                    {
                        served.set(served.get() + 1);
                    }
                }
                tokio::time::sleep(Duration::from_millis(4)).await;
            }
        });
    }
}

/// Requests that reached server `k` after a time, in Unix milliseconds.
fn reached_after(fleet: &SlowCacheFleet, k: usize, ms: f64) -> usize {
    fleet.arrivals.borrow().iter().filter(|(b, at)| *b == k && *at > ms).count()
}

#[test]
fn draining_takes_effect_at_once_and_after_ten_seconds_of_silence_and_a_compaction() {
    run(async {
        let fleet = SlowCacheFleet::start(80, 4, 64, 2).await;
        let registry = Registry::start("127.0.80.100").await;
        for (k, at) in fleet.addresses.iter().enumerate() {
            registry.put(&format!("{PREFIX}{}", ENDPOINTS[k].0), &endpoint_json(k, *at, "Ready"));
        }
        let proxy = start(80, "registry-drains", &registry).await;
        wait_for_revision(proxy.mgmt, 4, 10).await;
        let served = Rc::new(Cell::new(0));
        load(proxy.listen, served.clone());
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(
            reached_after(&fleet, 0, 0.0) > 0 && reached_after(&fleet, 1, 0.0) > 0,
            "both caches get requests"
        );

        // An endpoint begins to drain.
        let written = unix_ms();
        let rev = registry
            .put(&format!("{PREFIX}s-000000c1"), &endpoint_json(0, fleet.addresses[0], "Terminating"));
        let at = wait_for_revision(proxy.mgmt, rev, 5).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(reached_after(&fleet, 0, at + 250.0), 0, "the draining server got a request after 250 ms");
        assert!(at - written < 250.0, "applied {:.0} ms after it was written", at - written);

        // Ten seconds of silence, in which the other cache begins to drain and the registry compacts its history.
        registry.fall_silent(Duration::from_secs(10));
        tokio::time::sleep(Duration::from_millis(200)).await;
        let rev = registry
            .put(&format!("{PREFIX}s-000000c2"), &endpoint_json(1, fleet.addresses[1], "Terminating"));
        registry.put(&format!("{PREFIX}s-000000c1"), &endpoint_json(0, fleet.addresses[0], "Ready"));
        registry.compact();
        let before = served.get();
        let at = wait_for_revision(proxy.mgmt, rev + 1, 20).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(
            reached_after(&fleet, 1, at + 250.0),
            0,
            "the server that began to drain meanwhile got a request after 250 ms"
        );
        assert!(reached_after(&fleet, 0, at + 250.0) > 0, "the server that is active again gets requests");
        assert!(served.get() > before, "requests were served throughout");
        let state = status(proxy.mgmt).await.unwrap();
        assert!(state["view"]["resyncs"].as_u64() >= Some(1), "{state:?}");
        assert!(
            state["view"]["found"].as_u64() >= Some(2),
            "the read after the break found both changes: {state:?}"
        );
    });
}

#[test]
fn duplicate_reordered_and_malformed_changes_leave_the_endpoint_list_intact() {
    run(async {
        let fleet = SlowCacheFleet::start(81, 4, 64, 2).await;
        let registry = Registry::start("127.0.81.100").await;
        for (k, at) in fleet.addresses.iter().enumerate() {
            registry.put(&format!("{PREFIX}{}", ENDPOINTS[k].0), &endpoint_json(k, *at, "Ready"));
        }
        let proxy = start(81, "registry-malformed", &registry).await;
        wait_for_revision(proxy.mgmt, 4, 10).await;
        let served = Rc::new(Cell::new(0));
        load(proxy.listen, served.clone());
        // Each change arrives twice, the later one first: the endpoint must remain draining.
        registry.store.duplicates.set(true);
        let key = format!("{PREFIX}s-000000c1");
        registry.put(&key, &endpoint_json(0, fleet.addresses[0], "Ready"));
        let rev = registry.put(&key, &endpoint_json(0, fleet.addresses[0], "Terminating"));
        let at = wait_for_revision(proxy.mgmt, rev, 5).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(
            reached_after(&fleet, 0, at + 250.0),
            0,
            "a duplicate, reordered change ended the draining"
        );
        let state = status(proxy.mgmt).await.unwrap();
        assert!(state["view"]["stale"].as_u64() >= Some(2), "{state:?}");
        // A malformed value has no effect; then every answer of the registry is malformed.
        registry.store.duplicates.set(false);
        let rev = registry.put(&format!("{PREFIX}s-000000c2"), "{not json");
        wait_for_revision(proxy.mgmt, rev, 5).await;
        registry.store.malformed.set(true);
        registry.drop_all();
        let before = served.get();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(served.get() > before, "the endpoints of before continue to serve");
        assert!(
            reached_after(&fleet, 1, unix_ms() - 1_000.0) > 0,
            "the server with a malformed value still gets requests"
        );
        let state = status(proxy.mgmt).await.unwrap();
        assert!(state["failures"].as_u64() >= Some(1) && state["last_error"].as_str().is_some(), "{state:?}");
        assert!(state["view"]["faults"].as_u64() >= Some(1), "{state:?}");
        assert_eq!(reached_after(&fleet, 0, unix_ms() - 1_000.0), 0, "the endpoint remains draining");
        registry.store.malformed.set(false);
        let rev = registry.put(&key, &endpoint_json(0, fleet.addresses[0], "Ready"));
        wait_for_revision(proxy.mgmt, rev, 10).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(
            reached_after(&fleet, 0, unix_ms() - 250.0) > 0,
            "active again once the registry has recovered"
        );
    });
}

/// A registry restored from an older copy has revisions below the proxy's, where a watch would wait for ever.
#[test]
fn a_registry_restored_from_an_older_copy_is_read_completely() {
    run(async {
        let fleet = SlowCacheFleet::start(84, 4, 64, 2).await;
        let registry = Registry::start("127.0.84.100").await;
        let key = |k: usize| format!("{PREFIX}{}", ENDPOINTS[k].0);
        for _ in 0..20 {
            for (k, at) in fleet.addresses.iter().enumerate() {
                registry.put(&key(k), &endpoint_json(k, *at, "Ready"));
            }
        }
        let proxy = start(84, "registry-restored", &registry).await;
        wait_for_revision(proxy.mgmt, 80, 10).await;
        load(proxy.listen, Rc::new(Cell::new(0)));
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(reached_after(&fleet, 0, 0.0) > 0, "the cache gets requests");
        let state = |k| if k == 0 { "Terminating" } else { "Ready" };
        let kvs: Vec<_> = (0..4).map(|k| (key(k), endpoint_json(k, fleet.addresses[k], state(k)))).collect();
        let rev = registry.restore(&kvs);
        let end = unix_ms() + 5_000.0;
        while status(proxy.mgmt).await.is_none_or(|s| s["revision"].as_i64() != Some(rev)) {
            assert!(unix_ms() < end, "the new history was not read");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let reported = status(proxy.mgmt).await.unwrap();
        assert_eq!(reported["view"]["resets"].as_u64(), Some(1), "{reported:?}");
        let at = reported["heard_ms"].as_f64().unwrap();
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(reached_after(&fleet, 0, at + 250.0), 0, "the draining state of the new history applies");
        assert!(reached_after(&fleet, 1, at + 250.0) > 0, "the other one serves");
    });
}
