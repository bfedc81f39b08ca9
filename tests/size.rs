//! Tests of large fleets: lists of 1,024 endpoints and 1,024 proxies are accepted, the number of threads does
//! not grow, and memory stays within the limit. The last test prints its measurements:
//! `cargo test --test size -- --nocapture`.

mod stand_ins;

use edge_proxy::health_check::config::HealthCheckConfig;
use edge_proxy::vrrp::config::VrrpConfig;
use stand_ins::blocking::*;
use stand_ins::running::RunningProxy;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Number of endpoints, and of proxies, in a large fleet.
const LARGE_FLEET: u32 = 1_024;
/// Number of endpoints with which the large fleet is compared.
const SMALL_FLEET: u32 = 10;
/// Number of requests to each fleet, each for another object.
const REQUESTS: u64 = 2_000;
/// Memory limit of the deployment for one proxy, in kilobytes.
const MEMORY_LIMIT_KB: u64 = 192 * 1_024;
/// Number of the watch frame with the endpoint list.
const LIST_NUMBER: u64 = 2;
/// Kind of a watch frame with a full endpoint list.
const FULL_LIST: u8 = 1;

/// Guards against limits on the number of peers that are too low for a fleet of 1,024 proxies.
#[test]
fn health_check_and_vrrp_configs_accept_1024_peers() {
    let folder = stand_ins::test_dir("size");
    let address = |k: u32| format!("127.0.{}.{}:5100", 1 + k / 250, 1 + k % 250);
    let peers: Vec<String> =
        (0..LARGE_FLEET).map(|k| format!(r#"{{"id":{},"address":"{}"}}"#, k + 2, address(k))).collect();
    let text = format!(
        r#"{{"id":1,"listen":"127.0.0.1:1","servers":{{"models":["box"]}},"probe":"connect","step_ms":50,"peers":[{}]}}"#,
        peers.join(",")
    );
    std::fs::write(folder.join("health-checks.json"), text).unwrap();
    let health_checks = HealthCheckConfig::read(&folder.join("health-checks.json")).unwrap();
    assert_eq!(health_checks.peer_addresses().count(), LARGE_FLEET as usize);
    let peers: Vec<String> = (0..LARGE_FLEET).map(|k| format!("{:?}", address(k))).collect();
    let text = format!(
        r#"{{"listen":"127.0.0.1:5100","peers":[{}],"vrid":7,"priority":100,"addresses":["127.1.0.1"]}}"#,
        peers.join(",")
    );
    std::fs::write(folder.join("vrrp.json"), text).unwrap();
    VrrpConfig::read(&folder.join("vrrp.json")).unwrap();
}

/// The process's number of threads, resident memory in kilobytes and number of file descriptors.
fn resource_usage(proxy: &RunningProxy) -> (u64, u64, usize) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.pid())).unwrap();
    let status_field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    };
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", proxy.pid())).unwrap().count();
    (status_field("Threads:"), status_field("VmRSS:"), descriptors)
}

/// Requests `REQUESTS` objects in sequence, with ids from `first` on, and returns how many were served.
fn send_requests(proxy: &RunningProxy, first: u64) -> usize {
    let mut writer = proxy.connect();
    let mut reader = BufReader::new(writer.try_clone().unwrap());
    let request_is_served = |id: u64| {
        let object = id.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let text = format!(
            "GET /ops/clip/{object:016x}/slice-0 HTTP/1.1\r\nHost: o\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 1500\r\n\
             X-Set: {}\r\nX-Heap-Kb: 412.5\r\n\r\n",
            id % 256
        );
        writer.write_all(text.as_bytes()).unwrap();
        let (mut line, mut length) = (String::new(), 0);
        reader.read_line(&mut line).unwrap();
        let is_served = line.starts_with("HTTP/1.1 200");
        while line != "\r\n" {
            line.clear();
            reader.read_line(&mut line).unwrap();
            length = line.strip_prefix("Content-Length: ").map_or(length, |n| n.trim().parse().unwrap());
        }
        reader.read_exact(&mut vec![0; length]).unwrap();
        is_served
    };
    (first..first + REQUESTS).map(request_is_served).filter(|is_served| *is_served).count()
}

/// Starts a proxy in a fleet of `LARGE_FLEET` proxies, and sends it a list of `endpoint_count` caches and an
/// origin, all at `address`.
fn start_proxy(endpoint_count: u32, address: SocketAddr) -> (RunningProxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = stand_ins::config(listener.local_addr().unwrap(), &[(0xffff, "box", address)])
        .replace(r#""listen":"127.0.0.1:1""#, r#""listen":"127.0.0.1:5050""#)
        .replace(r#""siblings":1"#, &format!(r#""siblings":{LARGE_FLEET}"#))
        .replace(
            r#""seatsByZone":[0,1]"#,
            &format!(r#""seatsByZone":[{},{}]"#, LARGE_FLEET / 2, LARGE_FLEET / 2),
        );
    let proxy = RunningProxy::start_with_config(&text, &format!("size{endpoint_count}.json"), 1_024);
    let (mut stream, _) = accept_watch(&listener);
    let caches = (0..endpoint_count).flat_map(|k| cache_record(0x1000 + k, address, 0));
    stream
        .write_all(&frame(
            LIST_NUMBER,
            FULL_LIST,
            &caches.chain(origin_record(0xb0, address)).collect::<Vec<u8>>(),
        ))
        .unwrap();
    (proxy, stream)
}

/// Guards against a number of threads that grows with the endpoints, and against exceeding the memory limit.
#[test]
fn a_thousand_endpoints_need_no_more_threads_and_stay_within_the_memory_limit() {
    let endpoint = NamedEndpoint::start("large");
    let measure = |endpoint_count: u32| {
        let (mut proxy, _watch) = start_proxy(endpoint_count, endpoint.address);
        proxy.signal("-USR1");
        proxy.wait_for_log("bulletin_events");
        let idle = resource_usage(&proxy);
        let served = send_requests(&proxy, 1);
        let busy = resource_usage(&proxy);
        proxy.signal("-USR1");
        let connections: usize =
            proxy.wait_for_log("connections ").trim().split(' ').next_back().unwrap().parse().unwrap();
        println!(
            "{endpoint_count} endpoints: idle {idle:?}, after {REQUESTS} requests {busy:?} (threads, resident KB, descriptors); \
             {served} served over {connections} connections to endpoints"
        );
        let ((idle_threads, ..), (busy_threads, resident_kb, _)) = (idle, busy);
        assert!(
            served as u64 > REQUESTS * 9 / 10,
            "{served} of {REQUESTS} requests were served, more than 90% are expected"
        );
        assert!(
            resident_kb < MEMORY_LIMIT_KB,
            "resident memory is {resident_kb} KB, the limit is {MEMORY_LIMIT_KB} KB"
        );
        ((idle_threads, busy_threads), connections)
    };
    let (small_threads, small_connections) = measure(SMALL_FLEET);
    let (large_threads, large_connections) = measure(LARGE_FLEET);
    assert_eq!(
        small_threads, large_threads,
        "number of threads (idle, busy) with {SMALL_FLEET} and with {LARGE_FLEET} endpoints"
    );
    assert!(
        large_connections > 5 * small_connections,
        "expected more than 5 times the {small_connections} connections of the small fleet, \
         got {large_connections}"
    );
}
