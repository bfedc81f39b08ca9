//! The memory of a process while crowds of clients write slowly, stop within requests, or send heads of very many
//! short fields, on each front.

mod stand_ins;

use stand_ins::grpc::{frame, raw_call, ScriptedBackend, PREFACE};
use stand_ins::running::{example_config, RunningProxy};
use stand_ins::{run, test_dir};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// The smallest memory limit of the platform, in MB.
const MEMORY_MB: u64 = 32;
/// The memory of a process of a release build at its start, in MB; that of a test build differs.
const RELEASE_START_MB: u64 = 6;

/// The memory for requests of a process without a memory limit, in MB.
const DEFAULT_REQUEST_MEMORY_MB: u64 = 64;

/// A proxy process.
struct Proxy {
    process: RunningProxy,
    platform: SocketAddr,
    /// Its memory at the start, in MB.
    start_mb: u64,
}

impl Proxy {
    /// Starts a process with [`MEMORY_MB`], with the option and the file of a subsystem if one is given.
    fn start(name: &str, subsystem: Option<(&str, String)>) -> Self {
        Self::start_with_limits(name, &format!(", \"memory_mb\": {MEMORY_MB}"), subsystem)
    }

    fn start_with_limits(name: &str, memory_limit: &str, subsystem: Option<(&str, String)>) -> Self {
        let dir = test_dir(&format!("memory-{name}"));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let platform = listener.local_addr().unwrap();
        let config = dir.join("config.json");
        let text = example_config().replace("127.0.0.1:5050", &platform.to_string());
        let sockets = "\"sockets\": 1024";
        assert!(text.contains(sockets));
        let limits = format!("{sockets}{memory_limit}");
        std::fs::write(&config, text.replace(sockets, &limits)).unwrap();
        let mut arguments = Vec::new();
        if let Some((option, text)) = subsystem {
            let file = dir.join("subsystem.json");
            std::fs::write(&file, text).unwrap();
            arguments.extend([option.to_string(), file.to_str().unwrap().to_string()]);
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let process = RunningProxy::start_inherited(&listener, &config, &arguments);
        let mut proxy = Self { process, platform, start_mb: 0 };
        proxy.start_mb = proxy.peak_memory_mb();
        proxy
    }

    /// The most memory that the process has had, in MB.
    fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.pid())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1_024
    }

    /// The growth of its memory since the start, in MB.
    fn growth_mb(&self, what: &str) -> u64 {
        let (start_mb, peak_mb) = (self.start_mb, self.peak_memory_mb());
        println!("{what}: {start_mb} MB at the start, {peak_mb} MB at the most");
        peak_mb - start_mb
    }

    fn assert_within_limit(&self, what: &str) {
        let growth_mb = self.growth_mb(what);
        assert!(RELEASE_START_MB + growth_mb < MEMORY_MB, "{what}: {growth_mb} MB more than at the start");
    }
}

fn deploy_file(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy").join(name);
    std::fs::read_to_string(path).unwrap()
}

/// Opens connections that each write these bytes and stop, and keeps them open until the proxy has read them.
async fn write_and_stop(address: SocketAddr, connections: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..connections {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let _ = stream.write_all(bytes).await;
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    streams
}

/// Guards against a crowd of connections that stop within a large body, or within a head of many short fields, whose
/// buffers exceed the memory limit.
#[test]
fn connections_that_stop_within_requests_stay_within_the_memory_limit() {
    run(async {
        let proxy = Proxy::start("http", None);
        let body = "x".repeat(47_000);
        let id = "X-Call-Id: 00000000000000a1\r\nX-Dedupe-Key: k1\r\n";
        let fields: String = (0..60).map(|number| format!("f{number}: {}\r\n", "v".repeat(200))).collect();
        let half_body = format!(
            "PUT /ops/ad-post/00000000000000a1 HTTP/1.1\r\nHost: o\r\n{id}{fields}Content-Length: 48000\r\n\r\n{body}"
        );
        let _bodies = write_and_stop(proxy.platform, 400, half_body.as_bytes()).await;
        proxy.assert_within_limit("400 half bodies");
        let short_fields: String = (0..3_000).map(|_| "a:\r\n").collect();
        let heads = format!("GET /alive HTTP/1.1\r\n{short_fields}");
        let _heads = write_and_stop(proxy.platform, 400, heads.as_bytes()).await;
        proxy.assert_within_limit("400 heads of short fields");
    });
}

/// 450 names of fields with two letters.
fn short_names() -> Vec<String> {
    let letters = || "abcdefghijklmnopqrstuvwxyz".chars();
    let names = letters().flat_map(|a| letters().map(move |b| format!("{a}{b}")));
    names.filter(|name| name != "te").take(450).collect()
}

/// Sends 6,400 calls with heads of very many short fields, on 64 connections. The connections stay open for as long
/// as the result is kept.
async fn send_calls_of_short_fields(listen: SocketAddr) -> Vec<OwnedWriteHalf> {
    let names = short_names();
    let calls = (0..100).flat_map(|number| raw_call(2 * number + 1, "/ads.v1.Ads/Get", &names));
    let bytes: Vec<u8> = PREFACE.iter().copied().chain(frame(4, 0, 0, &[])).chain(calls).collect();
    let mut clients = Vec::new();
    for _ in 0..64 {
        let (mut reader, mut writer) = TcpStream::connect(listen).await.unwrap().into_split();
        spawn_local(async move { drop(tokio::io::copy(&mut reader, &mut tokio::io::sink()).await) });
        writer.write_all(&bytes).await.unwrap();
        clients.push(writer);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    clients
}

/// The file of gRPC with one backend, which hangs, and the address at which gRPC listens.
fn grpc_config(backend: &ScriptedBackend) -> (String, SocketAddr) {
    backend.set_script("hang", u32::MAX);
    let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = deploy_file("grpc.json")
        .replace("127.0.0.1:5443", &listen.to_string())
        .replace("127.0.0.1:7601", &backend.address.to_string());
    (config, listen)
}

/// Guards against calls with heads of very many short fields, each of which takes far more memory than its bytes.
#[test]
fn calls_with_many_short_fields_stay_within_the_memory_limit() {
    run(async {
        let backend = ScriptedBackend::start("127.0.0.1:0").await;
        let (config, listen) = grpc_config(&backend);
        let proxy = Proxy::start("grpc", Some(("--grpc", config)));
        let _clients = send_calls_of_short_fields(listen).await;
        proxy.assert_within_limit("6,400 calls of 450 short fields");
    });
}

/// Guards against memory without a bound where the process has no memory limit. Beside its requests the process may
/// take as much as one with [`MEMORY_MB`].
#[test]
fn calls_with_many_short_fields_are_bounded_without_a_memory_limit() {
    run(async {
        let backend = ScriptedBackend::start("127.0.0.1:0").await;
        let (config, listen) = grpc_config(&backend);
        let proxy = Proxy::start_with_limits("grpc-default", "", Some(("--grpc", config)));
        let _clients = send_calls_of_short_fields(listen).await;
        let growth_mb = proxy.growth_mb("6,400 calls without a memory limit");
        assert!(growth_mb < DEFAULT_REQUEST_MEMORY_MB + MEMORY_MB, "{growth_mb} MB more than at the start");
    });
}
