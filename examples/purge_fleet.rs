//! Measures fleet-wide purges on loopback: stand-in cache servers with a thousand tagged objects, a leader
//! and a follower proxy process, clients that read through both, a purge every 400 ms, and a leader that is
//! killed (SIGKILL) halfway and restarted. Every response is checked against every purge: a request sent more
//! than 500 ms after a purge was issued must not be served from a copy generated before it.
//!
//!     cargo build --release && cargo run --release --example purge_fleet -- [SECONDS]
//!
//! Prints a table: responses checked, stale responses, the purge-to-visible delay (p50, p99, max), and the
//! recovery after the leader's restart.

#[path = "../tests/stand_ins/purge_target.rs"]
mod purge_target;

use edge_proxy::http_client::call;
use edge_proxy::purge::selector::{copy_name, CachedCopy, Selector};
use edge_proxy::purge::wire::{from_json, SubmitResponse};
use edge_proxy::surrogate_key::SurrogateKey;
use purge_target::{bind_to_one_port, now_ms, Origin, PurgeTarget};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

const OBJECTS: usize = 1_000;
const SELLERS: u32 = 50;
const CLIENTS: usize = 12;
const PURGE_INTERVAL_MS: u64 = 400;
const MAX_STALE_MS: f64 = 500.0;
/// Endpoints of the example's configuration: two caches, a parent and the origin.
const ENDPOINTS: [&str; 4] = ["s-000000c1", "s-000000c2", "s-000000a0", "s-000000b0"];
/// Index of the server that acknowledges slowly, so that it lags behind when the leader is killed.
const SLOW_SERVER: usize = 1;
const SLOW_ACK_MS: u64 = 700;
/// Timeout for servers to catch up, in milliseconds.
const MAX_CATCH_UP_MS: f64 = 10_000.0;

struct Response {
    sent_ms: f64,
    object: usize,
    status: u16,
    generated_ms: Option<f64>,
}

struct IssuedPurge {
    seq: u64,
    issued_ms: f64,
    selector: Selector,
}

struct Object {
    id: u64,
    key: SurrogateKey,
}

/// Observations of the clients and of the task that issues purges.
#[derive(Default)]
struct Recorded {
    responses: RefCell<Vec<Response>>,
    purges: RefCell<Vec<IssuedPurge>>,
    rejected_submissions: Cell<u64>,
}

/// A proxy process, killed when dropped.
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

fn free_address(ip: &str) -> SocketAddr {
    TcpListener::bind(format!("{ip}:0")).unwrap().local_addr().unwrap()
}

fn spawn_proxy(program: &Path, dir: &Path, name: &str) -> Child {
    let log = std::fs::File::create(dir.join(format!("{name}.err"))).unwrap();
    let config = dir.join(format!("{name}.json"));
    let purges = dir.join(format!("{name}-purges.json"));
    Command::new(program)
        .args(["serve", "--config", config.to_str().unwrap(), "--purges", purges.to_str().unwrap()])
        .env("EDGE_PROXY_LOG", "warn")
        .stderr(Stdio::from(log))
        .spawn()
        .expect("could not start the proxy; build it with cargo build --release")
}

async fn wait_for_admin(mgmt: SocketAddr) {
    for _ in 0..1_000 {
        if call(mgmt, "GET", "/purges", b"", Duration::from_secs(1)).await.is_ok_and(|a| a.status == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the proxy at {mgmt} did not answer GET /purges with 200 in 1,000 attempts");
}

/// Requests an object; returns the status (0 if there was no response) and the generation time of the copy.
async fn get_small_object(listen: SocketAddr, object: u64, call_id: u64) -> (u16, Option<f64>) {
    let attempt = async {
        let mut stream = tokio::net::TcpStream::connect(listen).await.ok()?;
        let request = format!(
            "GET /ops/small-object/{object:016x} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {call_id:016x}\r\n\
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

/// Returns the last purge that a target has acknowledged, as reported by the leader.
async fn acknowledged_purge(mgmt: SocketAddr, target: &str) -> Option<u64> {
    use simd_json::prelude::*;
    let response = call(mgmt, "GET", "/purges", b"", Duration::from_secs(1)).await.ok()?;
    let mut body = response.body;
    let status = simd_json::to_owned_value(&mut body).ok()?;
    status["targets"][target]["acked"].as_u64()
}

fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    sorted[((sorted.len() - 1) as f64 * quantile).round() as usize]
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
    let objects = Rc::new(create_objects());
    let servers = start_servers(&objects).await;
    let port = servers[0].purge_address.port();
    let follower_file = r#"{"role":"follower","name":"follower","state":"follower.log"}"#;
    let follower = start_proxy(&program, &dir, "follower", "127.0.60.11", &servers, follower_file).await;
    let leader_file = format!(
        r#"{{"role":"leader","name":"leader","state":"leader.log","roster_port":{port},"heartbeat_ms":200,
            "targets":[{{"name":"follower","address":"{}"}}]}}"#,
        follower.mgmt
    );
    let mut leader = start_proxy(&program, &dir, "leader", "127.0.60.10", &servers, &leader_file).await;

    let recorded = Rc::new(Recorded::default());
    let start_ms = now_ms();
    let end_ms = start_ms + seconds as f64 * 1_000.0;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let listen = if client % 2 == 0 { leader.listen } else { follower.listen };
            spawn_local(read_until(end_ms, client as u64, listen, objects.clone(), recorded.clone()))
        })
        .collect();
    let purge_task =
        spawn_local(purge_until(end_ms - 1_000.0, leader.mgmt, objects.clone(), recorded.clone()));
    tokio::time::sleep(Duration::from_millis(seconds * 500)).await;
    let restart = kill_and_restart(&program, &dir, &mut leader, &servers, &recorded).await;
    for task in clients {
        task.await.unwrap();
    }
    purge_task.await.unwrap();
    let caught_up_ms = wait_until_caught_up(&servers, &recorded).await;

    println!("| metric | value |");
    println!("| --- | ---: |");
    println!("| run | {seconds} s, {OBJECTS} objects tagged by {SELLERS} sellers, {CLIENTS} clients, two proxies, four stand-in cache servers |");
    print_staleness(&objects, &recorded);
    print_restart(&restart, start_ms);
    print_replication(&servers, &recorded, caught_up_ms);
    let _ = std::fs::remove_dir_all(&dir);
}

fn create_objects() -> Vec<Object> {
    let mut rng = SmallRng::seed_from_u64(11);
    let key = |index: usize| SurrogateKey::new(&format!("seller-{}", index as u32 % SELLERS)).unwrap();
    (0..OBJECTS).map(|index| Object { id: rng.random::<u64>(), key: key(index) }).collect()
}

/// Starts the stand-in cache servers, which all listen for purges on the same port of their own IP addresses.
async fn start_servers(objects: &[Object]) -> Vec<PurgeTarget> {
    let origin = Rc::new(Origin::default());
    for object in objects {
        origin.surrogate_keys.borrow_mut().insert(object.id, vec![object.key.clone()]);
    }
    let mut servers = Vec::new();
    let ips: Vec<String> = (1..=ENDPOINTS.len()).map(|host| format!("127.0.60.{host}")).collect();
    for (name, listener) in ENDPOINTS.iter().zip(bind_to_one_port(&ips).await) {
        servers.push(PurgeTarget::start(name, listener, origin.clone()).await);
    }
    servers[3].always_generates.set(true);
    servers[SLOW_SERVER].ack_delay_ms.set(SLOW_ACK_MS);
    servers
}

/// Starts a proxy with the example configuration, pointed at these cache servers.
async fn start_proxy(
    program: &Path,
    dir: &Path,
    name: &str,
    ip: &str,
    servers: &[PurgeTarget],
    purges_file: &str,
) -> Proxy {
    let (listen, mgmt) = (free_address(ip), free_address(ip));
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    let mut config = std::fs::read_to_string(example).unwrap().replace(
        "\"listen\": \"127.0.0.1:5050\",",
        &format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{mgmt}\","),
    );
    for (server, port) in servers.iter().zip(7101..) {
        config = config.replace(&format!("127.0.0.1:{port}"), &server.cache_address.to_string());
    }
    std::fs::write(dir.join(format!("{name}.json")), config).unwrap();
    std::fs::write(dir.join(format!("{name}-purges.json")), purges_file).unwrap();
    let child = spawn_proxy(program, dir, name);
    wait_for_admin(mgmt).await;
    Proxy { child, listen, mgmt }
}

/// Requests random objects and records the responses.
async fn read_until(
    end_ms: f64,
    client: u64,
    listen: SocketAddr,
    objects: Rc<Vec<Object>>,
    recorded: Rc<Recorded>,
) {
    let mut rng = SmallRng::seed_from_u64(client);
    let mut call_id = client << 40;
    while now_ms() < end_ms {
        let object = rng.random_range(0..OBJECTS);
        call_id += 1;
        let sent_ms = now_ms();
        let (status, generated_ms) = get_small_object(listen, objects[object].id, call_id).await;
        recorded.responses.borrow_mut().push(Response { sent_ms, object, status, generated_ms });
    }
}

/// Issues a purge every [`PURGE_INTERVAL_MS`] and records it.
async fn purge_until(end_ms: f64, leader: SocketAddr, objects: Rc<Vec<Object>>, recorded: Rc<Recorded>) {
    let mut rng = SmallRng::seed_from_u64(99);
    while now_ms() < end_ms {
        let selector = if rng.random_range(0..10) < 7 {
            format!("tag:seller-{}", rng.random_range(0..SELLERS))
        } else {
            let hex = format!("{:016x}", objects[rng.random_range(0..OBJECTS)].id);
            format!("pattern:/small-object/{}*", &hex[..2])
        };
        let body = format!("{{\"sel\":\"{selector}\"}}");
        match call(leader, "POST", "/purges", body.as_bytes(), Duration::from_secs(1)).await {
            Ok(response) if response.status == 200 => {
                let SubmitResponse { seq, issued_ms } = from_json(&response.body).unwrap();
                let selector = selector.parse().unwrap();
                recorded.purges.borrow_mut().push(IssuedPurge { seq, issued_ms, selector });
            }
            _ => recorded.rejected_submissions.set(recorded.rejected_submissions.get() + 1),
        }
        tokio::time::sleep(Duration::from_millis(PURGE_INTERVAL_MS)).await;
    }
}

/// Observations of the leader's kill and restart.
struct Restart {
    killed_ms: f64,
    last_seq: u64,
    applied_at_kill: Vec<u64>,
    /// The first purge number that the restarted leader reported as acknowledged by the slow server.
    recovered_acknowledgement: Option<u64>,
    /// Time from the restart until the slow server had acknowledged all purges issued before the kill.
    catch_up_ms: f64,
}

/// Kills the leader with SIGKILL and restarts it one second later.
async fn kill_and_restart(
    program: &Path,
    dir: &Path,
    leader: &mut Proxy,
    servers: &[PurgeTarget],
    recorded: &Recorded,
) -> Restart {
    let killed_ms = now_ms();
    let applied_at_kill = servers.iter().map(PurgeTarget::last_applied).collect();
    let last_seq = recorded.purges.borrow().last().map_or(0, |purge| purge.seq);
    leader.child.kill().unwrap();
    leader.child.wait().unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    leader.child = spawn_proxy(program, dir, "leader");
    wait_for_admin(leader.mgmt).await;
    let restarted_ms = now_ms();
    let mut recovered_acknowledgement = None;
    while now_ms() < restarted_ms + MAX_CATCH_UP_MS {
        let acknowledged = acknowledged_purge(leader.mgmt, ENDPOINTS[SLOW_SERVER]).await;
        recovered_acknowledgement = recovered_acknowledgement.or(acknowledged);
        if acknowledged.is_some_and(|seq| seq >= last_seq) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let catch_up_ms = now_ms() - restarted_ms;
    Restart { killed_ms, last_seq, applied_at_kill, recovered_acknowledgement, catch_up_ms }
}

/// Waits until all caches have applied the last purge; returns the time since it was issued, in milliseconds.
async fn wait_until_caught_up(servers: &[PurgeTarget], recorded: &Recorded) -> f64 {
    let last = recorded.purges.borrow().last().map(|purge| (purge.seq, purge.issued_ms));
    let (last_seq, issued_ms) = last.unwrap_or_else(|| (0, now_ms()));
    let is_behind = || servers[..3].iter().any(|server| server.last_applied() < last_seq);
    while is_behind() && now_ms() < issued_ms + MAX_CATCH_UP_MS {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    now_ms() - issued_ms
}

/// Compares every response with every purge: a copy generated before a purge that covers it is stale.
fn print_staleness(objects: &[Object], recorded: &Recorded) {
    let (responses, purges) = (recorded.responses.borrow(), recorded.purges.borrow());
    let mut visible_ms = vec![0.0f64; purges.len()];
    let mut stale_ms = Vec::new();
    let served = |response: &&Response| response.status == 200 && response.generated_ms.is_some();
    for response in responses.iter().filter(served) {
        let Object { id, key } = &objects[response.object];
        let (name, keys) = (copy_name("small-object", *id, 0), [key.clone()]);
        let copy = CachedCopy { name: &name, object: *id, group: 0, surrogate_keys: &keys };
        let mut max_delay_ms = None;
        for (purge, visible_ms) in purges.iter().zip(&mut visible_ms) {
            let is_older = response.generated_ms.is_some_and(|generated_ms| purge.issued_ms >= generated_ms);
            if is_older && purge.issued_ms < response.sent_ms && purge.selector.covers(&copy) {
                let delay_ms = response.sent_ms - purge.issued_ms;
                *visible_ms = visible_ms.max(delay_ms);
                max_delay_ms = Some(max_delay_ms.map_or(delay_ms, |max: f64| max.max(delay_ms)));
            }
        }
        stale_ms.extend(max_delay_ms);
    }
    visible_ms.sort_by(f64::total_cmp);
    let served = responses.iter().filter(served).count();
    let failed = responses.iter().filter(|response| response.status != 200).count();
    let too_stale = stale_ms.iter().filter(|delay_ms| **delay_ms > MAX_STALE_MS).count();
    println!(
        "| purges issued | {} ({} submissions rejected while the leader was down) |",
        purges.len(),
        recorded.rejected_submissions.get()
    );
    println!("| responses checked | {} ({served} served, {failed} not served) |", responses.len());
    println!("| responses from a copy that was purged before the request was sent | {} |", stale_ms.len());
    println!("| of those, sent more than 500 ms after the purge | {too_stale} |");
    println!(
        "| purge-to-visible delay p50 / p99 / max, ms | {:.1} / {:.1} / {:.1} |",
        percentile(&visible_ms, 0.5),
        percentile(&visible_ms, 0.99),
        visible_ms.last().copied().unwrap_or(0.0)
    );
}

fn print_restart(restart: &Restart, start_ms: f64) {
    println!(
        "| leader killed at | {:.1} s, purge {} issued; servers had applied {:?} |",
        (restart.killed_ms - start_ms) / 1_000.0,
        restart.last_seq,
        restart.applied_at_kill
    );
    println!(
        "| last purge acknowledged by the slow server, recovered by the restarted leader | {:?} |",
        restart.recovered_acknowledgement
    );
    println!(
        "| time from the restart until the slow server acknowledged all earlier purges | {:.0} ms |",
        restart.catch_up_ms
    );
}

fn print_replication(servers: &[PurgeTarget], recorded: &Recorded, caught_up_ms: f64) {
    let last_seq = recorded.purges.borrow().last().map_or(0, |purge| purge.seq);
    let caches = &servers[..3];
    let repeats = |server: &PurgeTarget| {
        server.observed.received.borrow().values().map(|count| u64::from(count - 1)).sum::<u64>()
    };
    let out_of_order =
        |server: &PurgeTarget| server.observed.applied.borrow().windows(2).any(|pair| pair[1] != pair[0] + 1);
    println!(
        "| time from issuing the last purge ({last_seq}) until all caches had applied it | {caught_up_ms:.0} ms |"
    );
    println!("| repeated deliveries of a purge to a cache | {} |", caches.iter().map(repeats).sum::<u64>());
    println!("| any cache applied a purge twice or skipped one | {} |", caches.iter().any(out_of_order));
}
