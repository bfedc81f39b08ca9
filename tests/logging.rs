//! The log of a process whose reader has stopped. Real processes.

mod stand_ins;

use stand_ins::running::{example_config, write_file, PROGRAM};
use stand_ins::{unused_tcp_addresses, KillOnDrop};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// More than the pipe and the lines that wait hold.
const REQUESTS: u32 = 6_000;
/// The most that a request may take.
const LIMIT: Duration = Duration::from_secs(2);

/// Sends a request on a new connection and returns the response.
fn request(to: SocketAddr, target: &str) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let head = format!("GET {target} HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap_or_else(|error| panic!("no response to {target}: {error}"));
    response
}

/// Guards against requests that wait because a log line can't be written: the pipe of standard error is full, and
/// nobody reads it.
#[test]
fn requests_are_served_while_nobody_reads_the_log() {
    let [listen, admin] = unused_tcp_addresses("127.0.0.1");
    let addresses = format!("\"listen\": \"{listen}\",\n  \"mgmt\": \"{admin}\",");
    let config = example_config().replace("\"listen\": \"127.0.0.1:5050\",", &addresses);
    let config = write_file("logging.json", &config);
    let mut process = Command::new(PROGRAM)
        .args(["serve", "--config", config.to_str().unwrap()])
        .env("EDGE_PROXY_LOG", "info,edge_proxy=debug")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(process.stderr.take().unwrap());
    let mut process = KillOnDrop(process);
    let mut line = String::new();
    while !line.contains("serves on") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the log ended");
    }
    for _ in 0..REQUESTS {
        assert!(request(listen, "/alive").starts_with("HTTP/1.1 200 "));
    }
    let metrics = request(admin, "/stats");
    let dropped = metrics.lines().find_map(|line| line.strip_prefix("app_log_lines_dropped_total "));
    let dropped: u64 = dropped.expect("the metric of dropped lines").trim().parse().unwrap();
    assert!(dropped > 0, "lines are dropped rather than requests delayed");
    // It also ends.
    let stopped = Instant::now();
    process.signal("-TERM");
    while process.0.try_wait().unwrap().is_none() {
        assert!(stopped.elapsed() < Duration::from_secs(5), "the process does not end");
        std::thread::sleep(Duration::from_millis(10));
    }
    drop(log);
}
