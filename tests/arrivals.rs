//! A request's time counts from its arrival. Real processes that are stopped (SIGSTOP) while requests arrive, so
//! that these lie unread in the kernel, as on a machine that is busy for a moment.

mod stand_ins;

use stand_ins::grpc::{message, GrpcClient, ScriptedBackend};
use stand_ins::running::{example_config, write_file, RunningProxy};
use stand_ins::{run, unused_tcp_addresses, wait_until, Cache, Client};
use std::net::SocketAddr;
use std::time::Duration;

/// How long requests lie unread.
const UNREAD: Duration = Duration::from_millis(400);
/// How long clients wait, in milliseconds.
const PATIENCE_MS: f64 = 1_500.0;
/// The most that a time passed on may exceed what the client has left, in milliseconds.
const SLACK_MS: f64 = 150.0;

fn assert_is_left(passed_on_ms: f64, what: &str) {
    let left_ms = PATIENCE_MS - UNREAD.as_secs_f64() * 1_000.0;
    assert!(passed_on_ms <= left_ms + SLACK_MS, "{what}: {passed_on_ms} ms passed on of {left_ms}");
    assert!(passed_on_ms > left_ms / 2.0, "{what}: {passed_on_ms} ms passed on of {left_ms}");
}

/// A request for a part so large that its attempt may take all of the time that is left.
fn get(id: u64) -> String {
    format!(
        "GET /ops/video-part/{id:016x}/slice-0 HTTP/1.1\r\nHost: o\r\nX-Call-Id: {id:016x}\r\n\
        X-Patience-Ms: 1500\r\nX-Heap-Kb: 6000\r\n\r\n"
    )
}

/// Guards against a deadline that is counted from the read of a request, on an open connection, on one in the listen
/// backlog, and for a request behind another one.
#[test]
fn the_time_passed_on_excludes_the_time_for_which_a_request_lay_unread() {
    run(async {
        let mut text = example_config();
        let mut caches = Vec::new();
        for port in 7101..=7104 {
            let cache = Cache::start().await;
            text = text.replace(&format!("127.0.0.1:{port}"), &cache.address.to_string());
            caches.push(cache);
        }
        let proxy = RunningProxy::start_with_config(&text, "arrivals.json", 256);
        let address = SocketAddr::from(([127, 0, 0, 1], proxy.port));
        let mut open = Client::connect(address).await;
        open.write(get(1).as_bytes()).await;
        assert_eq!(open.read(false).await.unwrap().status, 200);

        proxy.signal("-STOP");
        open.write(get(2).as_bytes()).await;
        let mut new = Client::connect(address).await;
        new.write((get(3) + &get(4)).as_bytes()).await;
        tokio::time::sleep(UNREAD).await;
        proxy.signal("-CONT");
        assert_eq!(open.read(false).await.unwrap().status, 200);
        for _ in [3, 4] {
            assert_eq!(new.read(false).await.unwrap().status, 200);
        }
        let requests = || caches.iter().flat_map(|cache| cache.requests.borrow().clone());
        for id in 2..=4 {
            let request = requests().find(|fields| fields["id"] == format!("{id:016x}")).unwrap();
            assert_is_left(request["w"].parse().unwrap(), &format!("request {id}"));
        }
        // Nothing is taken from a request that is read at once.
        assert_eq!(open.send_request("GET", "/alive", "").await.status, 200);
        open.write(get(5).as_bytes()).await;
        assert_eq!(open.read(false).await.unwrap().status, 200);
        let request = requests().find(|fields| fields["id"] == format!("{:016x}", 5)).unwrap();
        assert!(request["w"].parse::<f64>().unwrap() > PATIENCE_MS - 2.0 * SLACK_MS);
    });
}

/// Guards against a deadline of gRPC that is counted from the read of a call.
#[test]
fn the_timeout_of_a_call_excludes_the_time_for_which_it_lay_unread() {
    run(async {
        let backend = ScriptedBackend::start("127.0.152.1:0").await;
        let [listen, grpc] = unused_tcp_addresses("127.0.152.9");
        let config = example_config().replace("127.0.0.1:5050", &listen.to_string());
        let config = write_file("arrivals-grpc-platform.json", &config);
        let grpc_config = serde_json::json!({
            "listen": grpc.to_string(),
            "pools": [{ "name": "p", "backends": [{ "address": backend.address.to_string() }] }],
            "routes": [{ "method": "/t.Once/*", "pool": "p", "kind": "unary", "deadline_ms": 9000 }],
        });
        let grpc_config = write_file("arrivals-grpc.json", &grpc_config.to_string());
        let process = std::process::Command::new(stand_ins::running::PROGRAM)
            .args(["serve", "--config", config.to_str().unwrap(), "--grpc", grpc_config.to_str().unwrap()])
            .stderr(std::process::Stdio::null())
            .spawn();
        let process = stand_ins::KillOnDrop(process.unwrap());
        while tokio::net::TcpStream::connect(grpc).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let client = GrpcClient::connect(grpc).await;
        let timeout = [("grpc-timeout", "1500m")];
        assert_eq!(client.call("/t.Once/Do", &timeout, message(1)).await.status(), 0);
        process.signal("-STOP");
        let call = tokio::task::spawn_local(async move {
            client.call("/t.Once/Do", &[("grpc-timeout", "1500m")], message(1)).await
        });
        tokio::time::sleep(UNREAD).await;
        process.signal("-CONT");
        assert_eq!(call.await.unwrap().status(), 0);
        wait_until(|| backend.call_count() == 2).await;
        let calls = backend.calls.borrow();
        let passed_on = calls[1].header("grpc-timeout").expect("a timeout").to_string();
        let (number, unit) = passed_on.split_at(passed_on.len() - 1);
        let unit_ms = match unit {
            "m" => 1.0,
            "u" => 0.001,
            other => panic!("unexpected unit {other} of {passed_on}"),
        };
        assert_is_left(number.parse::<f64>().unwrap() * unit_ms, "the call");
    });
}
