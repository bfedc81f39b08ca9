//! The program itself: its command line, its signals, its end.

mod stand_ins;

use stand_ins::running::{example, file, Running, PROGRAM};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};

fn check(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).arg("check").args(arguments).env_remove("NODE_CONFIG").output().unwrap()
}

#[test]
fn the_example_is_in_order_and_faults_are_named_by_field() {
    let good = file("good.json", &example());
    let output = check(&["--config", good.to_str().unwrap()]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let cases = [
        ("\"listen\": \"127.0.0.1:5050\"", "\"listen\": \"here\"", "`listen`"),
        ("\"listen\": \"127.0.0.1:5050\"", "\"listen\": \"0.0.0.0:5050\"", "`listen`"),
        ("\"listen\": \"127.0.0.1:5050\",", "", "listen"),
        ("\"bulletin\": \"127.0.0.1:7070\"", "\"bulletin\": \"127.0.0.1\"", "`bulletin`"),
        ("8c1f30d27a5be964", "not hex", "`seed`"),
        ("\"sockets\": 1024", "\"sockets\": 3", "`limits.sockets`"),
        ("\"locality\": \"town\"", "\"locality\": \"nowhere\"", "`locality`"),
        ("127.0.0.1:7101", "nowhere", "endpoint"),
        ("\"Ready\"", "\"Asleep\"", "state"),
        ("\"deadlineUs\": 5000000", "\"deadlineUs\": 0", "deadlineUs"),
        ("{\n  \"name\"", "{{", "bad.json"),
    ];
    for (from, to, field) in cases {
        assert!(example().contains(from), "{from}");
        let bad = file("bad.json", &example().replacen(from, to, 1));
        let output = check(&["--config", bad.to_str().unwrap()]);
        let message = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success() && message.contains(field), "{to}: {message}");
    }
    let message = String::from_utf8_lossy(&check(&[]).stderr).to_string();
    assert!(message.contains("NODE_CONFIG"), "{message}");
}

#[test]
fn the_signed_urls_file_is_checked_too() {
    let config = file("front-config.json", &example());
    let config = config.to_str().unwrap();
    let k = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8";
    file("keys.json", &format!("{{\"keys\":[{{\"kty\":\"oct\",\"kid\":\"a\",\"k\":\"{k}\"}}]}}"));
    file("no-keys.json", "{\"keys\":[]}");
    let shipped = include_str!("../deploy/signed-urls.json").replace("signed-urls-keys.json", "keys.json");
    let good = file("front.json", &shipped);
    let output = check(&["--config", config, "--signed-urls", good.to_str().unwrap()]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let cases = [
        ("127.0.0.1:8080", "x", "`listen`"),
        ("keys.json", "no-keys.json", "`keys`"),
        ("keys.json", "missing.json", "`keys`"),
        ("marktplein-links", "", "`issuer`"),
        ("\"https\"", "\"ftp\"", "`scheme`"),
        ("2000", "-1", "`leeway_ms`"),
        ("\"connections\": 128", "\"connections\": 1000", "`limits.connections`"),
        ("\"leeway_ms\"", "\"leniency\"", "leniency"),
    ];
    for (from, to, field) in cases {
        let bad = file("bad-front.json", &shipped.replacen(from, to, 1));
        let output = check(&["--config", config, "--signed-urls", bad.to_str().unwrap()]);
        let message = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success() && message.contains(field), "{to}: {message}");
    }
}

#[test]
fn signals_log_counters_and_stop_the_process_gracefully() {
    let mut proxy = Running::start("signals.json", 256);
    let mut client = proxy.connect();
    assert!(proxy.alive(&mut client).starts_with("HTTP/1.1 200 OK"));
    proxy.signal("-USR1");
    assert_eq!(proxy.until("clients").trim(), "clients 1");
    proxy.signal("-HUP");
    proxy.signal("-TERM");
    proxy.until("stops");
    // New connections are still accepted for a while.
    assert!(proxy.alive(&mut proxy.connect()).starts_with("HTTP/1.1 200 OK"));
    assert_eq!(proxy.until("clients").trim(), "clients 2");
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

/// SIGTERM twice, with SIGHUP between them, while every endpoint hangs: what was in flight, what was half read and what
/// came on a connection of the last moments is answered whole, once, and the process ends well.
#[test]
fn a_stop_that_is_asked_for_twice_answers_all_that_was_taken() {
    // Endpoints that take connections and never answer.
    let hanging = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = hanging.local_addr().unwrap().to_string();
    let text = (7101..=7104).fold(example(), |text, k| text.replace(&format!("127.0.0.1:{k}"), &at));
    let mut proxy = Running::start_of(&text, "twice.json", 256);
    // An attempt of this class times out after 1.3 s, well after the listeners close, 0.7 s after the signal.
    let get = |id: u64| {
        format!(
            "GET /ops/video-part/{:016x} HTTP/1.1\r\nHost: o\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 5000\r\n\
             X-Set: 1\r\n\r\n",
            id * 7_919
        )
    };
    let mut flying = proxy.connect();
    flying.write_all(get(1).as_bytes()).unwrap();
    let (endpoint, _) = hanging.accept().unwrap();
    let mut line = String::new();
    BufReader::new(&endpoint).read_line(&mut line).unwrap();
    assert!(line.starts_with("GET 0000000000000001 "), "it is at an endpoint: {line}");
    let mut half = proxy.connect();
    half.write_all(&get(2).as_bytes()[..40]).unwrap();
    proxy.signal("-TERM");
    proxy.until("stops");
    proxy.signal("-HUP");
    proxy.signal("-TERM");
    half.write_all(&get(2).as_bytes()[40..]).unwrap();
    let mut late = proxy.connect();
    late.write_all(get(3).as_bytes()).unwrap();
    for client in [&mut flying, &mut half, &mut late] {
        let mut answer = String::new();
        client.read_to_string(&mut answer).expect("no reset");
        let status = answer.get(9..12).unwrap_or_default().to_string();
        assert!(["429", "503", "504", "502"].contains(&status.as_str()), "{answer}");
        assert_eq!(
            (answer.matches("HTTP/1.1 ").count(), answer.contains("Connection: close")),
            (1, true),
            "{answer}"
        );
    }
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

/// Guards the process against running out of descriptors: clients wait, and are served once there is room.
#[test]
fn a_lack_of_descriptors_ends_nothing() {
    let mut proxy = Running::start("descriptors.json", 256);
    // The system allows fewer from now on than the process counted on.
    rlimit::prlimit(proxy.id(), rlimit::Resource::NOFILE, Some((24, 24)), None).unwrap();
    let mut held: Vec<TcpStream> = (0..60).map(|_| proxy.connect()).collect();
    // The first is served; the last waits in the machine's queue until others leave.
    assert!(proxy.alive(&mut held[0]).starts_with("HTTP/1.1 200 OK"));
    let mut last = held.pop().unwrap();
    drop(held);
    assert!(proxy.alive(&mut last).starts_with("HTTP/1.1 200 OK"));
    proxy.signal("-USR1");
    let failures = proxy.until("accept_failures");
    assert_ne!(failures.trim(), "accept_failures 0");
    proxy.signal("-TERM");
    proxy.until("stops");
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

/// Guards a running proxy on SIGHUP: it takes the new address of the bulletin, keeps the old one where the file
/// can't be used, and goes on serving.
#[test]
fn sighup_reloads_the_configuration() {
    let bulletin = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut proxy = Running::start("reload.json", 256);
    let path = stand_ins::folder("process").join("reload.json");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "nonsense").unwrap();
    proxy.signal("-HUP");
    proxy.until("configuration not reloaded");
    let at = bulletin.local_addr().unwrap().to_string();
    std::fs::write(&path, text.replace("127.0.0.1:7070", &at)).unwrap();
    proxy.signal("-HUP");
    let mut last = [0; 8];
    bulletin.accept().unwrap().0.read_exact(&mut last).unwrap();
    assert!(u64::from_be_bytes(last) > 0, "from the last number that is known");
    assert!(proxy.alive(&mut proxy.connect()).starts_with("HTTP/1.1 200 OK"));
}

/// Guards an upgrade: a new process serves on the socket that the platform holds while the old one still does, the
/// old one ends after SIGTERM with all it had answered, and nobody who connects meanwhile is turned away.
#[test]
fn a_new_process_serves_on_the_socket_that_is_handed_over() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let config = file("handed.json", &example().replace("127.0.0.1:5050", &format!("127.0.0.1:{port}")));
    let start = || {
        let socket = std::os::fd::OwnedFd::from(listener.try_clone().unwrap());
        let script = "exec \"$0\" serve --config \"$1\" 3<&0 </dev/null";
        let mut child = Command::new("sh")
            .args(["-c", script, PROGRAM, config.to_str().unwrap()])
            .env("NODE_INHERITED_FD", "3")
            .stdin(Stdio::from(socket))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let errors = BufReader::new(child.stderr.take().unwrap());
        let mut running = Running { child, errors, port };
        running.until("serves on");
        running
    };
    let mut old = start();
    let mut kept = old.connect();
    assert!(old.alive(&mut kept).starts_with("HTTP/1.1 200 OK"));
    let mut new = start();
    old.signal("-TERM");
    old.until("stops");
    let last = old.alive(&mut kept);
    assert!(last.starts_with("HTTP/1.1 200 OK") && last.contains("Connection: close"), "{last}");
    assert!(new.alive(&mut new.connect()).starts_with("HTTP/1.1 200 OK"));
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    assert!(new.alive(&mut new.connect()).starts_with("HTTP/1.1 200 OK"));
    new.signal("-USR1");
    assert_ne!(new.until("clients").trim(), "clients 0");
}
