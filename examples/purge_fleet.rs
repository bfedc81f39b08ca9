//! A measurement of fleet purges on loopback: stand-in cache servers with a thousand tagged objects, a leader and a
//! follower proxy as processes, clients that read through both, a purge every 400 ms, and the leader killed (SIGKILL)
//! halfway and restarted. Every answer's copy is checked against every purge: a request sent more than 500 ms after a
//! purge's issue must not be answered from an older copy.
//!
//!     cargo build --release && cargo run --release --example purge_fleet -- [SECONDS]
//!
//! It prints a table: answers checked, stale answers and their delay, the purge-to-visible delay of each purge (p50, p99,
//! max), and the cost of the leader's restart.

#[path = "../tests/stand_ins/purge_target.rs"]
mod purge_target;

use edge_proxy::purge::selector::{copy_name, CachedCopy, Selector};
use edge_proxy::purge::wire::{call, from_json, Submitted};
use edge_proxy::surrogate_key::SurrogateKey;
use purge_target::{now_ms, Origin, PurgeTarget};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const OBJECTS: usize = 1_000;
const SELLERS: u32 = 50;
const CLIENTS: usize = 12;
const PURGE_EVERY_MS: u64 = 400;
const GRACE_MS: f64 = 500.0;

struct Answer {
    sent_ms: f64,
    object: usize,
    status: u16,
    generated_ms: Option<f64>,
}

fn free(ip: &str) -> SocketAddr {
    TcpListener::bind(format!("{ip}:0")).unwrap().local_addr().unwrap()
}

fn spawn(program: &Path, dir: &Path, name: &str) -> Child {
    let log = std::fs::File::create(dir.join(format!("{name}.err"))).unwrap();
    let config = dir.join(format!("{name}.json"));
    let purges = dir.join(format!("{name}-purges.json"));
    Command::new(program)
        .args(["serve", "--config", config.to_str().unwrap(), "--purges", purges.to_str().unwrap()])
        .env("EDGE_PROXY_LOG", "warn")
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the program: build it with cargo build --release")
}

async fn up(mgmt: SocketAddr) {
    for _ in 0..1_000 {
        if call(mgmt, "GET", "/purges", b"", Duration::from_secs(1)).await.is_ok_and(|a| a.status == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("a proxy did not come up");
}

async fn fetch(listen: SocketAddr, object: u64, serial: u64) -> (u16, Option<f64>) {
    let attempt = async {
        let mut stream = tokio::net::TcpStream::connect(listen).await.ok()?;
        let request = format!(
            "GET /ops/small-object/{object:016x} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {serial:016x}\r\n\
             X-Patience-Ms: 2000\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.ok()?;
        let text = String::from_utf8_lossy(&bytes).to_string();
        let status = text.get(9..12)?.parse().ok()?;
        Some((status, text.split("born=").nth(1).and_then(|b| b.trim().parse().ok())))
    };
    tokio::time::timeout(Duration::from_secs(3), attempt).await.ok().flatten().unwrap_or((0, None))
}

/// A target's acknowledgement, by the leader's status.
async fn acknowledged(mgmt: SocketAddr, target: &str) -> Option<u64> {
    use simd_json::prelude::*;
    let answer = call(mgmt, "GET", "/purges", b"", Duration::from_secs(1)).await.ok()?;
    let mut body = answer.body;
    let status = simd_json::to_owned_value(&mut body).ok()?;
    status["targets"][target]["acked"].as_u64()
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    sorted[((sorted.len() - 1) as f64 * share).round() as usize]
}

fn main() {
    let seconds: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(20);
    let program =
        PathBuf::from(std::env::var("EDGE_PROXY").unwrap_or_else(|_| "target/release/edge-proxy".into()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, run(program, seconds));
}

async fn run(program: PathBuf, seconds: u64) {
    let dir = std::env::temp_dir().join(format!("edge-proxy-purge-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let mut rng = SmallRng::seed_from_u64(11);
    let origin = Rc::new(Origin::default());
    let objects: Vec<(u64, SurrogateKey)> = (0..OBJECTS)
        .map(|k| (rng.random::<u64>(), SurrogateKey::new(&format!("seller-{}", k as u32 % SELLERS)).unwrap()))
        .collect();
    for (object, tag) in &objects {
        origin.surrogate_keys.borrow_mut().insert(*object, vec![tag.clone()]);
    }
    let port = free("127.0.60.1").port();
    let mut servers = Vec::new();
    for (k, name) in ["s-000000c1", "s-000000c2", "s-000000a0", "s-000000b0"].iter().enumerate() {
        servers.push(PurgeTarget::start(name, &format!("127.0.60.{}", k + 1), port, origin.clone()).await);
    }
    servers[3].always_generates.set(true);
    // One server acknowledges slowly, so that it is behind when the leader is killed.
    servers[1].ack_delay_ms.set(700);
    let example =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
    let mut addresses = Vec::new();
    for (name, ip) in [("leader", "127.0.60.10"), ("follower", "127.0.60.11")] {
        let (listen, mgmt) = (free(ip), free(ip));
        let mut text = example.replace(
            "\"listen\": \"127.0.0.1:5050\",",
            &format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\","),
        );
        for (k, at) in (7101..=7104).enumerate() {
            text = text.replace(&format!("127.0.0.1:{at}"), &servers[k].cache_address.to_string());
        }
        std::fs::write(dir.join(format!("{name}.json")), text).unwrap();
        addresses.push((listen, mgmt));
    }
    let (follower_listen, follower_mgmt) = addresses[1];
    let (leader_listen, leader_mgmt) = addresses[0];
    std::fs::write(
        dir.join("follower-purges.json"),
        r#"{"role":"follower","name":"follower","state":"follower.log"}"#,
    )
    .unwrap();
    let leader_file = format!(
        r#"{{"role":"leader","name":"leader","state":"leader.log","roster_port":{port},"heartbeat_ms":200,
            "targets":[{{"name":"follower","address":"{follower_mgmt}"}}]}}"#
    );
    std::fs::write(dir.join("leader-purges.json"), leader_file).unwrap();
    let mut follower = spawn(&program, &dir, "follower");
    up(follower_mgmt).await;
    let leader = Rc::new(RefCell::new(spawn(&program, &dir, "leader")));
    up(leader_mgmt).await;

    let answers: Rc<RefCell<Vec<Answer>>> = Rc::default();
    let purges: Rc<RefCell<Vec<(Submitted, Selector)>>> = Rc::default();
    let rejected_submits = Rc::new(Cell::new(0u64));
    let end = now_ms() + seconds as f64 * 1_000.0;
    let objects = Rc::new(objects);
    let mut tasks = Vec::new();
    for client in 0..CLIENTS {
        let (answers, objects) = (answers.clone(), objects.clone());
        let listen = if client % 2 == 0 { leader_listen } else { follower_listen };
        tasks.push(tokio::task::spawn_local(async move {
            let mut rng = SmallRng::seed_from_u64(client as u64);
            let mut serial = (client as u64) << 40;
            while now_ms() < end {
                let object = rng.random_range(0..OBJECTS);
                serial += 1;
                let sent_ms = now_ms();
                let (status, generated_ms) = fetch(listen, objects[object].0, serial).await;
                answers.borrow_mut().push(Answer { sent_ms, object, status, generated_ms });
            }
        }));
    }
    let issuing = {
        let (purges, objects, rejected) = (purges.clone(), objects.clone(), rejected_submits.clone());
        tokio::task::spawn_local(async move {
            let mut rng = SmallRng::seed_from_u64(99);
            while now_ms() < end - 1_000.0 {
                let selector = if rng.random_range(0..10) < 7 {
                    format!("tag:seller-{}", rng.random_range(0..SELLERS))
                } else {
                    let hex = format!("{:016x}", objects[rng.random_range(0..OBJECTS)].0);
                    format!("pattern:/small-object/{}*", &hex[..2])
                };
                let body = format!("{{\"sel\":\"{selector}\"}}");
                match call(leader_mgmt, "POST", "/purges", body.as_bytes(), Duration::from_secs(1)).await {
                    Ok(answer) if answer.status == 200 => {
                        let submitted: Submitted = from_json(&answer.body).unwrap();
                        purges.borrow_mut().push((submitted, selector.parse().unwrap()));
                    }
                    _ => rejected.set(rejected.get() + 1),
                }
                tokio::time::sleep(Duration::from_millis(PURGE_EVERY_MS)).await;
            }
        })
    };
    // Halfway, the leader is killed and restarted a second later.
    tokio::time::sleep(Duration::from_millis(seconds * 500)).await;
    let killed_ms = now_ms();
    let behind_at_kill: Vec<u64> = servers.iter().map(|b| b.applied()).collect();
    let last_at_kill = purges.borrow().last().map_or(0, |p| p.0.seq);
    leader.borrow_mut().kill().unwrap();
    leader.borrow_mut().wait().unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    *leader.borrow_mut() = spawn(&program, &dir, "leader");
    up(leader_mgmt).await;
    let restarted_ms = now_ms();
    let mut acked_at_restart = None;
    while now_ms() < restarted_ms + 10_000.0 {
        let acked = acknowledged(leader_mgmt, "s-000000c2").await;
        acked_at_restart = acked_at_restart.or(acked);
        if acked.is_some_and(|a| a >= last_at_kill) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let resumed_ms = now_ms() - restarted_ms;
    for task in tasks {
        task.await.unwrap();
    }
    issuing.await.unwrap();
    let (last, last_issued) = purges.borrow().last().map_or((0, now_ms()), |p| (p.0.seq, p.0.issued_ms));
    while servers[..3].iter().any(|b| b.applied() < last) && now_ms() < last_issued + 10_000.0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let caught_up_ms = now_ms() - last_issued;
    let repeats: u64 = servers[..3]
        .iter()
        .map(|b| b.observed.received.borrow().values().map(|n| u64::from(n - 1)).sum::<u64>())
        .sum();
    let twice = servers[..3].iter().any(|b| {
        let applied = b.observed.applied.borrow();
        applied.windows(2).any(|w| w[1] != w[0] + 1)
    });

    // Every answer against every purge.
    let purges = purges.borrow();
    let answers = answers.borrow();
    let names: Vec<String> = objects.iter().map(|(o, _)| copy_name("small-object", *o, 0)).collect();
    let mut visible = vec![0.0f64; purges.len()];
    let (mut stale, mut late, mut served) = (0u64, Vec::new(), 0u64);
    for answer in answers.iter() {
        let Some(generated_ms) = answer.generated_ms.filter(|_| answer.status == 200) else { continue };
        served += 1;
        let (object, key) = &objects[answer.object];
        let keys = [key.clone()];
        let copy =
            CachedCopy { name: &names[answer.object], object: *object, group: 0, surrogate_keys: &keys };
        let mut worst: Option<f64> = None;
        for (k, (purge, selector)) in purges.iter().enumerate() {
            if purge.issued_ms >= generated_ms && purge.issued_ms < answer.sent_ms && selector.covers(&copy) {
                let by = answer.sent_ms - purge.issued_ms;
                visible[k] = visible[k].max(by);
                worst = Some(worst.map_or(by, |w: f64| w.max(by)));
            }
        }
        if let Some(by) = worst {
            stale += 1;
            late.push(by);
        }
    }
    let mut visible_sorted = visible.clone();
    visible_sorted.sort_by(f64::total_cmp);
    late.sort_by(f64::total_cmp);
    let over = late.iter().filter(|by| **by > GRACE_MS).count();
    let failed = answers.iter().filter(|a| a.status != 200).count();
    println!("| what | figure |");
    println!("| --- | ---: |");
    println!("| run | {seconds} s, {OBJECTS} objects tagged by {SELLERS} sellers, {CLIENTS} clients, two proxies, four stand-in cache servers |");
    println!(
        "| purges issued | {} ({} submissions rejected while the leader was down) |",
        purges.len(),
        rejected_submits.get()
    );
    println!("| answers checked | {} ({served} served, {failed} not served) |", answers.len());
    println!("| answers from a copy older than a purge sent before them | {stale} |");
    println!("| of those, sent more than 500 ms after the purge | {over} |");
    println!(
        "| purge-to-visible delay p50 / p99 / max, ms | {:.1} / {:.1} / {:.1} |",
        percentile(&visible_sorted, 0.5),
        percentile(&visible_sorted, 0.99),
        visible_sorted.last().copied().unwrap_or(0.0)
    );
    println!(
        "| leader killed at | {:.1} s, purge {last_at_kill} issued; servers had applied {behind_at_kill:?} |",
        (killed_ms - (end - seconds as f64 * 1_000.0)) / 1_000.0
    );
    println!(
        "| the slow server's acknowledgement in the log of the restarted leader | {acked_at_restart:?} |"
    );
    println!("| the slow server acknowledged all purges of before the kill, after the restart | {resumed_ms:.0} ms |");
    println!("| all servers had applied the last purge ({last}), after its issue | {caught_up_ms:.0} ms |");
    println!("| purges repeated to servers | {repeats} |");
    println!("| a server applied a number twice or skipped one | {twice} |");
    let _ = follower.kill();
    let _ = follower.wait();
    let _ = leader.borrow_mut().kill();
    let _ = leader.borrow_mut().wait();
    let _ = std::fs::remove_dir_all(&dir);
}
