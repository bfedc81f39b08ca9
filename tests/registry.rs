//! Members from a registry, in the program itself: a proxy process with `--registry`, a stand-in registry that
//! compacts, falls silent for ten seconds, tells changes twice and out of order, and answers garbage, and a
//! stand-in fleet that notes which box each request reached and when.

mod stand_ins;

use simd_json::prelude::*;
use stand_ins::registry::Registry;
use stand_ins::slow_box::{unix_ms, SlowFleet};
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
const MEMBERS: [(&str, &str, &str); 4] = [
    ("s-000000c1", "town", "box"),
    ("s-000000c2", "town", "box"),
    ("s-000000a0", "hub", "parent"),
    ("s-000000b0", "hub", "origin"),
];

fn line(k: usize, at: SocketAddr, state: &str) -> String {
    let (uid, az, model) = MEMBERS[k];
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
    // What the configuration knows at the start is not where the fleet is: the registry must tell.
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

/// The link's state as the proxy tells it.
async fn link(mgmt: SocketAddr) -> Option<simd_json::OwnedValue> {
    let answer =
        edge_proxy::purge::wire::call(mgmt, "GET", "/registry", b"", Duration::from_secs(1)).await.ok()?;
    let mut body = answer.body;
    simd_json::to_owned_value(&mut body).ok()
}

/// Waits until the proxy has heard up to `revision`; returns when it heard it, Unix milliseconds.
async fn heard(mgmt: SocketAddr, revision: i64, seconds: u64) -> f64 {
    let end = unix_ms() + seconds as f64 * 1_000.0;
    while unix_ms() < end {
        if let Some(state) = link(mgmt).await {
            if state["revision"].as_i64().unwrap_or(0) >= revision {
                return state["heard_ms"].as_f64().unwrap_or(0.0);
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("the proxy did not hear revision {revision} within {seconds} s");
}

/// Reads through the proxy, for ever, so that every box is asked.
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

/// Requests that reached box `k` after `ms`.
fn reached_after(fleet: &SlowFleet, k: usize, ms: f64) -> usize {
    fleet.arrivals.borrow().iter().filter(|(b, at)| *b == k && *at > ms).count()
}

#[test]
fn drains_hold_at_once_and_after_ten_seconds_of_silence_and_a_compaction() {
    run(async {
        let fleet = SlowFleet::start(80, 4, 64, 2).await;
        let registry = Registry::start("127.0.80.100").await;
        for (k, at) in fleet.addresses.iter().enumerate() {
            registry.put(&format!("{PREFIX}{}", MEMBERS[k].0), &line(k, *at, "Ready"));
        }
        let proxy = start(80, "registry-drains", &registry).await;
        heard(proxy.mgmt, 4, 10).await;
        let served = Rc::new(Cell::new(0));
        load(proxy.listen, served.clone());
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(
            reached_after(&fleet, 0, 0.0) > 0 && reached_after(&fleet, 1, 0.0) > 0,
            "both caches are asked"
        );

        // A drain, told at once.
        let written = unix_ms();
        let rev = registry.put(&format!("{PREFIX}s-000000c1"), &line(0, fleet.addresses[0], "Terminating"));
        let at = heard(proxy.mgmt, rev, 5).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(reached_after(&fleet, 0, at + 250.0), 0, "the drained box was asked after 250 ms");
        assert!(at - written < 250.0, "heard {:.0} ms after it was written", at - written);

        // Ten seconds of silence, while the other cache drains and the registry compacts its history.
        registry.fall_silent(Duration::from_secs(10));
        tokio::time::sleep(Duration::from_millis(200)).await;
        let rev = registry.put(&format!("{PREFIX}s-000000c2"), &line(1, fleet.addresses[1], "Terminating"));
        registry.put(&format!("{PREFIX}s-000000c1"), &line(0, fleet.addresses[0], "Ready"));
        registry.compact();
        let before = served.get();
        let at = heard(proxy.mgmt, rev + 1, 20).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(
            reached_after(&fleet, 1, at + 250.0),
            0,
            "the box drained meanwhile was asked after 250 ms"
        );
        assert!(reached_after(&fleet, 0, at + 250.0) > 0, "the box back in service is asked again");
        assert!(served.get() > before, "requests were served all along");
        let state = link(proxy.mgmt).await.unwrap();
        assert!(state["view"]["resyncs"].as_u64() >= Some(1), "{state:?}");
        assert!(
            state["view"]["found"].as_u64() >= Some(2),
            "the read after the break found both changes: {state:?}"
        );
    });
}

#[test]
fn doubled_late_and_garbled_changes_leave_the_members_whole() {
    run(async {
        let fleet = SlowFleet::start(81, 4, 64, 2).await;
        let registry = Registry::start("127.0.81.100").await;
        for (k, at) in fleet.addresses.iter().enumerate() {
            registry.put(&format!("{PREFIX}{}", MEMBERS[k].0), &line(k, *at, "Ready"));
        }
        let proxy = start(81, "registry-garbage", &registry).await;
        heard(proxy.mgmt, 4, 10).await;
        let served = Rc::new(Cell::new(0));
        load(proxy.listen, served.clone());
        // Each change comes twice, the later first: the drain must stand, not the Ready before it.
        registry.store.doubled.set(true);
        let key = format!("{PREFIX}s-000000c1");
        registry.put(&key, &line(0, fleet.addresses[0], "Ready"));
        let rev = registry.put(&key, &line(0, fleet.addresses[0], "Terminating"));
        let at = heard(proxy.mgmt, rev, 5).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(reached_after(&fleet, 0, at + 250.0), 0, "a doubled, reordered change undid the drain");
        let state = link(proxy.mgmt).await.unwrap();
        assert!(state["view"]["stale"].as_u64() >= Some(2), "{state:?}");
        // A value that can't be read changes nothing; then a registry that answers only garbage.
        registry.store.doubled.set(false);
        let rev = registry.put(&format!("{PREFIX}s-000000c2"), "{not json");
        heard(proxy.mgmt, rev, 5).await;
        registry.store.garbage.set(true);
        registry.drop_all();
        let before = served.get();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(served.get() > before, "the old members kept serving");
        assert!(
            reached_after(&fleet, 1, unix_ms() - 1_000.0) > 0,
            "the box with a garbled line is still used"
        );
        let state = link(proxy.mgmt).await.unwrap();
        assert!(state["failures"].as_u64() >= Some(1) && state["last_error"].as_str().is_some(), "{state:?}");
        assert!(state["view"]["faults"].as_u64() >= Some(1), "{state:?}");
        assert_eq!(reached_after(&fleet, 0, unix_ms() - 1_000.0), 0, "the drain stands");
        registry.store.garbage.set(false);
        let rev = registry.put(&key, &line(0, fleet.addresses[0], "Ready"));
        heard(proxy.mgmt, rev, 10).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(reached_after(&fleet, 0, unix_ms() - 250.0) > 0, "back in service once the registry mends");
    });
}

/// A registry restored from an older copy tells of revisions below the proxy's: a watch there would wait for ever.
#[test]
fn a_registry_that_begins_anew_is_read_whole() {
    run(async {
        let fleet = SlowFleet::start(84, 4, 64, 2).await;
        let registry = Registry::start("127.0.84.100").await;
        let key = |k: usize| format!("{PREFIX}{}", MEMBERS[k].0);
        for _ in 0..20 {
            for (k, at) in fleet.addresses.iter().enumerate() {
                registry.put(&key(k), &line(k, *at, "Ready"));
            }
        }
        let proxy = start(84, "registry-anew", &registry).await;
        heard(proxy.mgmt, 80, 10).await;
        load(proxy.listen, Rc::new(Cell::new(0)));
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(reached_after(&fleet, 0, 0.0) > 0, "the cache is asked");
        let state = |k| if k == 0 { "Terminating" } else { "Ready" };
        let kvs: Vec<_> = (0..4).map(|k| (key(k), line(k, fleet.addresses[k], state(k)))).collect();
        let rev = registry.restore(&kvs);
        let end = unix_ms() + 5_000.0;
        while link(proxy.mgmt).await.is_none_or(|s| s["revision"].as_i64() != Some(rev)) {
            assert!(unix_ms() < end, "the new history was not read");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let told = link(proxy.mgmt).await.unwrap();
        assert_eq!(told["view"]["resets"].as_u64(), Some(1), "{told:?}");
        let at = told["heard_ms"].as_f64().unwrap();
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(reached_after(&fleet, 0, at + 250.0), 0, "the drain of the new history holds");
        assert!(reached_after(&fleet, 1, at + 250.0) > 0, "the other one serves");
    });
}
