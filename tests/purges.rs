//! End-to-end tests of fleet purges: a leader and a follower as processes, stand-in cache servers on
//! loopback, purge logs on disk, and a leader that is killed during replication.

mod stand_ins;

use edge_proxy::http_client::call;
use edge_proxy::purge::active_purges::{ActivePurges, Purge, RetentionLimits};
use edge_proxy::purge::leader::Leader;
use edge_proxy::purge::service::MAX_CONCURRENT_CALLS;
use edge_proxy::purge::wire::{to_json, Batch};
use edge_proxy::surrogate_key::SurrogateKey;
use simd_json::prelude::*;
use stand_ins::purge_fleet::{
    get_json, leader_config, read_object, submit, wait_until, Fleet, Proxy, PROGRAM,
};
use stand_ins::purge_leader::{create_purge_config, replicate};
use stand_ins::purge_target::{now_ms, PurgeTarget};
use stand_ins::{run, test_dir};
use std::cell::Cell;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

#[test]
fn a_leader_killed_during_replication_resumes_without_gaps_or_reused_sequence_numbers() {
    run(async {
        let fleet = Fleet::start(41).await;
        // The parent acknowledges slowly, so that it lags when the leader is killed.
        fleet.servers[2].ack_delay_ms.set(400);
        let dir = test_dir("purges-kill");
        let _ = std::fs::remove_file(dir.join("edge-1-state.log"));
        let extra_fields = format!(",\"roster_port\":{}", fleet.purge_port);
        let mut leader =
            Proxy::start(&dir, "edge-1", "127.0.41.10", &fleet, &leader_config("edge-1", &extra_fields))
                .await;
        for k in 1..=8 {
            let issued = submit(leader.admin, &format!("tag:t{k}")).await.unwrap();
            assert_eq!(issued.seq, k);
        }
        let (quick, slow) = (&fleet.servers[..2], &fleet.servers[2]);
        wait_until(10, "the quick servers have applied all purges", || {
            quick.iter().all(|server| server.last_applied() == 8)
        })
        .await;
        wait_until(10, "the slow server has applied at least 2 purges", || slow.last_applied() >= 2).await;
        let applied_at_kill = slow.last_applied();
        assert!(
            applied_at_kill < 8,
            "the slow server must not have applied all 8 purges at the kill, has applied {applied_at_kill}"
        );
        leader.kill_and_restart().await;
        wait_until(15, "the slow server catches up", || slow.last_applied() == 8).await;
        assert_eq!(submit(leader.admin, "tag:t9").await.unwrap().seq, 9, "sequence numbers continue");
        wait_until(10, "all servers have applied the new purge", || {
            fleet.caches().iter().all(|server| server.last_applied() == 9)
        })
        .await;
        for server in fleet.caches() {
            assert_eq!(
                *server.observed.applied.borrow(),
                (1..=9).collect::<Vec<u64>>(),
                "{} did not apply every purge once and in order",
                server.name
            );
        }
        for server in quick {
            let received = server.observed.received.borrow();
            assert!(
                (1..=9).all(|seq| received[&seq] == 1),
                "{} got purges again after the restart: {received:?}",
                server.name
            );
        }
        // Only the batch in flight at the kill may be repeated, and nothing is skipped.
        let received = slow.observed.received.borrow().clone();
        let repeats: u32 = received.values().map(|n| n - 1).sum();
        assert!(repeats <= 2, "the slow server got {repeats} purges again: {received:?}");
        assert!((1..applied_at_kill.saturating_sub(1)).all(|seq| received[&seq] == 1), "{received:?}");
        let status = get_json(leader.admin, "/purges").await.unwrap();
        assert_eq!(status["last"].as_u64(), Some(9));
    });
}

#[test]
fn overlapping_purges_apply_in_order_everywhere() {
    run(async {
        let fleet = Fleet::start(42).await;
        let dir = test_dir("purges-order");
        for file in ["lead-state.log", "follow-state.log"] {
            let _ = std::fs::remove_file(dir.join(file));
        }
        let follower_config = "{\"role\":\"follower\",\"name\":\"follow\",\"state\":\"follow-state.log\"}";
        let follower = Proxy::start(&dir, "follow", "127.0.42.11", &fleet, follower_config).await;
        let extra_fields = format!(
            ",\"roster_port\":{},\"targets\":[{{\"name\":\"follow\",\"address\":\"{}\"}}]",
            fleet.purge_port, follower.admin
        );
        let leader =
            Proxy::start(&dir, "lead", "127.0.42.10", &fleet, &leader_config("lead", &extra_fields)).await;
        // A follower applies nothing beyond a gap.
        let batch_after_gap = Batch {
            leader: "lead".into(),
            from: 2,
            low_water_mark: 0,
            cutoff: None,
            purges: vec![Purge { seq: 2, issued_ms: now_ms(), selector: "tag:x".parse().unwrap() }],
        };
        let answer =
            call(follower.admin, "POST", "/purges/apply", &to_json(&batch_after_gap), Duration::from_secs(2))
                .await
                .unwrap();
        assert_eq!((answer.status, String::from_utf8_lossy(&answer.body).as_ref()), (200, "{\"applied\":0}"));
        // A surrogate key and a pattern that cover the same object.
        fleet.origin.surrogate_keys.borrow_mut().insert(0x11, vec![SurrogateKey::new("seller-1").unwrap()]);
        assert_eq!(submit(leader.admin, "tag:seller-1").await.unwrap().seq, 1);
        assert_eq!(submit(leader.admin, "pattern:/small-object/00000000000000*").await.unwrap().seq, 2);
        wait_until(10, "every cache server has applied both purges", || {
            fleet.caches().iter().all(|server| server.last_applied() == 2)
        })
        .await;
        for server in fleet.caches() {
            assert_eq!(*server.observed.applied.borrow(), [1, 2], "{}", server.name);
        }
        let mut listed = None;
        for _ in 0..500 {
            listed = get_json(follower.admin, "/purges/log").await;
            if listed.as_ref().is_some_and(|l| l["entries"].as_array().is_some_and(|e| e.len() == 2)) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let listed = listed.unwrap();
        let entries = listed["entries"].as_array().unwrap();
        let order: Vec<(u64, &str)> =
            entries.iter().map(|e| (e["seq"].as_u64().unwrap(), e["sel"].as_str().unwrap())).collect();
        assert_eq!(order, [(1, "tag:seller-1"), (2, "pattern:/small-object/00000000000000*")]);
        let status = get_json(leader.admin, "/purges").await.unwrap();
        assert_eq!(status["targets"]["follow"]["acked"].as_u64(), Some(2));
    });
}

/// Reads the objects repeatedly for `duration_ms`, and asserts that every copy was generated after
/// `issued_ms`. Returns the numbers of successful and failed reads.
async fn assert_reads_newer_than(
    issued_ms: f64,
    duration_ms: f64,
    listen: SocketAddr,
    objects: &[u64],
    last_call_id: &Cell<u64>,
) -> (u32, u32) {
    let (mut served, mut failed) = (0, 0);
    let end_ms = now_ms() + duration_ms;
    while now_ms() < end_ms {
        for object in objects {
            match read_object(listen, *object, 7, last_call_id).await {
                Some((200, Some(generated_ms))) => {
                    assert!(
                        generated_ms > issued_ms,
                        "object {object:016x}: got a copy generated at {generated_ms}, purged at {issued_ms}"
                    );
                    served += 1;
                }
                _ => failed += 1,
            }
        }
    }
    (served, failed)
}

/// The objects and generation times of a server's cached copies that are newer than `issued_ms`.
fn copies_newer_than(issued_ms: f64, server: &PurgeTarget) -> Vec<(u64, f64)> {
    let store = server.store.borrow();
    let copies = store.iter().map(|((object, _), copy)| (*object, copy.generated_ms));
    copies.filter(|(_, generated_ms)| *generated_ms > issued_ms).collect()
}

#[test]
fn unreachable_targets_catch_up_and_retain_copies_newer_than_the_purge() {
    run(async {
        let fleet = Fleet::start(43).await;
        let dir = test_dir("purges-unreachable");
        let _ = std::fs::remove_file(dir.join("lead-state.log"));
        let extra_fields = format!(",\"roster_port\":{}", fleet.purge_port);
        let leader =
            Proxy::start(&dir, "lead", "127.0.43.10", &fleet, &leader_config("lead", &extra_fields)).await;
        let last_call_id = Cell::new(0);
        let objects: Vec<u64> = (0x100..0x140).collect();
        for object in &objects {
            fleet.tag(*object, "seller-7");
            assert_eq!(read_object(leader.listen, *object, 7, &last_call_id).await.map(|a| a.0), Some(200));
        }
        for server in fleet.caches() {
            server.unreachable.set(true);
        }
        // One server ignores the age limit, as a faulty cache server would.
        fleet.servers[0].ignores_age_limit.set(true);
        let purge = submit(leader.admin, "tag:seller-7").await.unwrap();
        let (served, failed) =
            assert_reads_newer_than(purge.issued_ms, 3_000.0, leader.listen, &objects, &last_call_id).await;
        // No server applied the purge, but clients got no purged copies because the proxy checks each reply.
        assert!(fleet.caches().iter().all(|server| server.last_applied() == 0));
        assert!(served > 0, "served {served}, failed {failed}");
        let status = get_json(leader.admin, "/purges").await.unwrap();
        assert_eq!(status["done"].as_u64(), Some(0));
        let newer: Vec<Vec<(u64, f64)>> =
            fleet.caches().iter().map(|server| copies_newer_than(purge.issued_ms, server)).collect();
        assert!(newer.iter().any(|n| !n.is_empty()), "servers that respect the age limit fetched new copies");
        for server in fleet.caches() {
            server.unreachable.set(false);
        }
        wait_until(10, "the servers have caught up", || {
            fleet.caches().iter().all(|server| server.last_applied() == 1)
        })
        .await;
        for (server, newer) in fleet.caches().iter().zip(newer) {
            let store = server.store.borrow();
            for (object, generated_ms) in newer {
                assert_eq!(
                    store.get(&(object, 0)).map(|copy| copy.generated_ms),
                    Some(generated_ms),
                    "{} dropped a newer copy",
                    server.name
                );
            }
            assert!(
                store.values().all(|copy| copy.generated_ms > purge.issued_ms),
                "{} retained a purged copy",
                server.name
            );
        }
        let mut done = None;
        for _ in 0..300 {
            done = get_json(leader.admin, "/purges").await.and_then(|s| s["done"].as_u64());
            if done == Some(1) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(done, Some(1));
    });
}

#[test]
fn a_torn_or_corrupt_log_keeps_its_valid_prefix_and_reuses_no_sequence_number() {
    let dir = test_dir("purges-log");
    let config = create_purge_config(&dir, "leader", "{\"name\":\"a\",\"address\":\"127.0.0.1:9\"}");
    let path = config.log_path.clone().unwrap();
    let _ = std::fs::remove_file(&path);
    let (mut active, mut target) =
        (ActivePurges::new(RetentionLimits::default()), ActivePurges::new(RetentionLimits::default()));
    let mut leader = Leader::open(&config, &mut active, 1_000.0, 1).unwrap();
    for k in 1..=5 {
        leader.submit(format!("tag:t{k}").parse().unwrap(), &mut active, 1_000.0 + k as f64).unwrap();
    }
    replicate(&mut leader, &mut active, &mut target, 2_000.0);
    replicate(&mut leader, &mut active, &mut target, 2_001.0);
    replicate(&mut leader, &mut active, &mut target, 2_002.0);
    assert_eq!(target.last_applied(), 5);
    drop(leader);

    // A torn write is truncated, and nothing else changes.
    let intact = std::fs::read(&path).unwrap();
    std::fs::write(&path, &intact[..intact.len() - 3]).unwrap();
    let mut active = ActivePurges::new(RetentionLimits::default());
    let mut leader = Leader::open(&config, &mut active, 3_000.0, 1).unwrap();
    let status = leader.status(&active);
    let tail = status.truncated.clone().expect("the torn tail is detected");
    assert!(tail.is_torn_write() && tail.offset as usize == std::fs::metadata(&path).unwrap().len() as usize);
    assert_eq!((status.last_seq, active.last_applied(), active.cutoff()), (5, 5, None));
    assert_eq!(leader.submit("tag:t6".parse().unwrap(), &mut active, 3_001.0).unwrap().seq, 6);
    replicate(&mut leader, &mut active, &mut target, 3_002.0);
    assert_eq!(target.last_applied(), 6);
    drop(leader);

    // A corrupt record in the middle: the records after it are lost, among them purges that may have been
    // sent.
    let mut bytes = std::fs::read(&path).unwrap();
    let corrupt = bytes.len() / 2;
    bytes[corrupt] ^= 0x55;
    std::fs::write(&path, &bytes).unwrap();
    let mut active = ActivePurges::new(RetentionLimits::default());
    let mut leader = Leader::open(&config, &mut active, 4_000.0, 1).unwrap();
    let status = leader.status(&active);
    let tail = status.truncated.clone().expect("the corrupt record is detected");
    assert!(!tail.is_torn_write(), "{tail:?}");
    // The file is longer than the magic (8 bytes): the records before the corrupt one remain.
    assert!((tail.offset as usize) <= corrupt && std::fs::metadata(&path).unwrap().len() > 8);
    assert!(
        status.last_seq > 6,
        "sequence numbers that may have been issued must be skipped; last_seq is {}",
        status.last_seq
    );
    assert!(
        active.cutoff().is_some_and(|cutoff| cutoff.issued_ms >= 4_000.0),
        "every older copy counts as purged"
    );
    let next = leader.submit("tag:t7".parse().unwrap(), &mut active, 4_001.0).unwrap().seq;
    assert!(next > 6);
    replicate(&mut leader, &mut active, &mut target, 4_002.0);
    replicate(&mut leader, &mut active, &mut target, 4_003.0);
    assert_eq!(target.last_applied(), next, "the target has applied the cutoff and the new purge");
    assert!(target.cutoff().is_some_and(|cutoff| cutoff.issued_ms >= 4_000.0));
}

#[test]
fn invalid_purge_submissions_are_rejected_without_issuing_a_purge() {
    run(async {
        let fleet = Fleet::start(44).await;
        let dir = test_dir("purges-invalid");
        let _ = std::fs::remove_file(dir.join("lead-state.log"));
        let leader = Proxy::start(&dir, "lead", "127.0.44.10", &fleet, &leader_config("lead", "")).await;
        let admin = leader.admin.to_string();
        let cases = [
            ("", "empty selector"),
            ("pattern:/a/**/b", "last segment"),
            ("pattern:video/*", "begins with `/`"),
            ("colour:red", "unknown selector kind"),
            ("tag:a b", "a tag is"),
            ("object:xyz", "16 lower-case hex digits"),
        ];
        for (selector, reason) in cases {
            let out =
                Command::new(PROGRAM).args(["purge", "submit", "--at", &admin, selector]).output().unwrap();
            let message = String::from_utf8_lossy(&out.stderr);
            assert!(!out.status.success() && message.contains(reason), "{selector:?}: {message}");
        }
        for body in ["{\"sel\":\"pattern:/[ab]\"}", "{\"sel\":\"tag:x\",\"more\":1}", "not json", "{}"] {
            let answer =
                call(leader.admin, "POST", "/purges", body.as_bytes(), Duration::from_secs(2)).await.unwrap();
            assert_eq!(answer.status, 400, "{body}");
            assert!(String::from_utf8_lossy(&answer.body).contains("error"));
        }
        let status = get_json(leader.admin, "/purges").await.unwrap();
        assert_eq!((status["last"].as_u64(), status["figures"]["issued"].as_u64()), (Some(0), Some(0)));
        let log = dir.join("lead-state.log");
        let out = Command::new(PROGRAM).args(["purge", "log", log.to_str().unwrap()]).output().unwrap();
        assert!(out.status.success() && out.stdout.is_empty(), "{}", String::from_utf8_lossy(&out.stderr));
        // The next valid purge gets the first sequence number.
        let out =
            Command::new(PROGRAM).args(["purge", "submit", "--at", &admin, "group:3"]).output().unwrap();
        assert!(String::from_utf8_lossy(&out.stdout).contains("\"seq\":1"), "{out:?}");
    });
}

/// Guards against exhausting the file descriptors by calls to unresponsive targets: concurrent calls stay
/// within `MAX_CONCURRENT_CALLS`, and clients are still served.
#[test]
fn unresponsive_targets_do_not_exhaust_file_descriptors() {
    const TARGETS: usize = 1_024;
    // Allowance for short-lived connections: the discovery stream and admin calls.
    const MAX_SHORT_LIVED_CONNECTIONS: usize = 8;
    run(async {
        let fleet = Fleet::start(47).await;
        let dir = test_dir("purges-hanging");
        let _ = std::fs::remove_file(dir.join("edge-1-state.log"));
        let listener = tokio::net::TcpListener::bind("127.0.47.20:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let targets: Vec<String> =
            (0..TARGETS).map(|k| format!(r#"{{"name":"t{k}","address":"{address}"}}"#)).collect();
        let extra_fields = format!(r#","targets":[{}]"#, targets.join(","));
        let config =
            leader_config("edge-1", &extra_fields).replace("\"timeout_ms\":2000", "\"timeout_ms\":200");
        let leader = Proxy::start(&dir, "edge-1", "127.0.47.10", &fleet, &config).await;
        let count_descriptors = || {
            let list = std::fs::read_dir(format!("/proc/{}/fd", leader.child.id())).unwrap();
            list.count()
        };
        let (mut max_descriptors, mut connections, last_call_id) = (0, Vec::new(), Cell::new(0));
        for call_index in 0..3 * MAX_CONCURRENT_CALLS {
            // Kept open, so that a call ends only by the proxy's timeout.
            connections.push(listener.accept().await.unwrap());
            max_descriptors = max_descriptors.max(count_descriptors());
            if call_index % MAX_CONCURRENT_CALLS == 0 {
                assert_eq!(
                    read_object(leader.listen, call_index as u64, 17, &last_call_id).await.unwrap().0,
                    200
                );
            }
        }
        assert!(
            max_descriptors >= MAX_CONCURRENT_CALLS,
            "expected {MAX_CONCURRENT_CALLS} or more descriptors, one per permit, counted {max_descriptors}"
        );
        // The other descriptors (standard streams, runtime, listeners, log) are fewer than
        // `MAX_CONCURRENT_CALLS`.
        assert!(
            max_descriptors < 2 * MAX_CONCURRENT_CALLS + MAX_SHORT_LIVED_CONNECTIONS,
            "{max_descriptors} descriptors while {TARGETS} targets hang"
        );
    });
}
