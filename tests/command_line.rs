//! The command line of the program: names of options, arguments and environment variables, and the deprecated
//! names that are still accepted.

mod stand_ins;

use stand_ins::running::PROGRAM;
use stand_ins::KillOnDrop;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Deprecated options of `serve` and `check`, the current ones, and a configuration file for each.
const OPTIONS: [(&str, &str, &str); 4] = [
    ("--door", "--admission", "door.json"),
    ("--poor", "--http3", "poor.json"),
    ("--duties", "--health-checks", "duties.json"),
    ("--front", "--signed-urls", "signed-urls.json"),
];
/// Time limit for a process to start listening.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates a folder for a test with copies of the operators' files and their keys.
fn workspace(test: &str) -> PathBuf {
    let folder = stand_ins::test_dir(&format!("command_line_{test}"));
    for source in ["tests/fixtures/operator-files", "tests/fixtures/keys"] {
        for entry in std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join(source)).unwrap() {
            let entry = entry.unwrap();
            std::fs::copy(entry.path(), folder.join(entry.file_name())).unwrap();
        }
    }
    folder
}

fn run_program(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).current_dir(folder).env_remove("NODE_CONFIG").output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).to_string()
}

/// Asserts that `check` and `serve` accept an option by both of its names.
fn assert_both_names_accepted(test: &str, deprecated: &str) {
    let folder = workspace(test);
    let (_, current, file) = OPTIONS.into_iter().find(|(name, ..)| *name == deprecated).unwrap();
    std::fs::write(folder.join("bad.json"), "{ \"unknown\": 1 }").unwrap();
    let mut messages = Vec::new();
    for option in [deprecated, current] {
        let output = run_program(&folder, &["check", "--config", "config.json", option, file]);
        assert!(output.status.success(), "{option}: {}", stderr(&output));
        for command in ["check", "serve"] {
            let output = run_program(&folder, &[command, "--config", "config.json", option, "bad.json"]);
            let message = stderr(&output);
            assert!(!output.status.success(), "{command} {option}");
            assert!(
                message.contains("bad.json") && message.contains("unknown"),
                "{command} {option}: {message}"
            );
            messages.push(message);
        }
    }
    assert!(messages.windows(2).all(|pair| pair[0] == pair[1]), "{messages:?}");
}

#[test]
fn deprecated_option_door_is_accepted_for_admission() {
    assert_both_names_accepted("door", "--door");
}

#[test]
fn deprecated_option_poor_is_accepted_for_http3() {
    assert_both_names_accepted("poor", "--poor");
}

#[test]
fn deprecated_option_duties_is_accepted_for_health_checks() {
    assert_both_names_accepted("duties", "--duties");
}

#[test]
fn deprecated_option_front_is_accepted_for_signed_urls() {
    assert_both_names_accepted("front", "--front");
}

/// Runs the program and returns the request line that it sends to the admin address.
fn admin_request(arguments: &[&str]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let admin = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}").unwrap();
        line
    });
    let output = Command::new(PROGRAM).args(arguments).args(["--at", &address]).output().unwrap();
    // Unblocks the admin thread if the program did not connect.
    let _ = TcpStream::connect(&address);
    assert!(output.status.success(), "{arguments:?}: {}", stderr(&output));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{}\n");
    admin.join().unwrap().trim_end().to_string()
}

#[test]
fn deprecated_vrrp_action_aside_is_accepted_for_step_down() {
    assert_eq!(admin_request(&["vrrp", "aside"]), "POST /vrrp/aside HTTP/1.1");
    assert_eq!(admin_request(&["vrrp", "step-down"]), "POST /vrrp/aside HTTP/1.1");
}

#[test]
fn deprecated_vrrp_action_back_is_accepted_for_resume() {
    assert_eq!(admin_request(&["vrrp", "back"]), "POST /vrrp/back HTTP/1.1");
    assert_eq!(admin_request(&["vrrp", "resume"]), "POST /vrrp/back HTTP/1.1");
}

#[test]
fn deprecated_subsystem_duties_is_accepted_for_health_checks() {
    assert_eq!(admin_request(&["show", "duties"]), "GET /duties HTTP/1.1");
    assert_eq!(admin_request(&["show", "health-checks"]), "GET /duties HTTP/1.1");
}

#[test]
fn show_requests_the_admin_call_of_each_subsystem() {
    for name in ["registry", "grpc", "vrrp", "purges"] {
        assert_eq!(admin_request(&["show", name]), format!("GET /{name} HTTP/1.1"));
    }
    assert_eq!(admin_request(&["vrrp", "status"]), "GET /vrrp HTTP/1.1");
}

#[test]
fn option_values_are_not_treated_as_deprecated_names() {
    let folder = workspace("values");
    std::fs::copy(folder.join("config.json"), folder.join("--door")).unwrap();
    let output = run_program(&folder, &["check", "--config", "--door", "--door", "door.json"]);
    assert!(output.status.success(), "{}", stderr(&output));
    let output = run_program(&folder, &["check", "--config", "--poor"]);
    assert!(stderr(&output).contains("--poor"), "{}", stderr(&output));
}

#[test]
fn the_help_shows_only_the_current_names() {
    let folder = workspace("help");
    let cases: [(&str, &[&str], &[&str]); 4] = [
        (
            "serve",
            &["--admission", "--http3", "--health-checks", "--signed-urls"],
            &["--door", "--poor", "--duties", "--front"],
        ),
        (
            "check",
            &["--admission", "--http3", "--health-checks", "--signed-urls"],
            &["--door", "--poor", "--duties", "--front"],
        ),
        ("vrrp", &["step-down", "resume"], &["aside", "`back`"]),
        ("show", &["health-checks"], &["duties"]),
    ];
    for (command, current, deprecated) in cases {
        let output = run_program(&folder, &[command, "--help"]);
        assert!(output.status.success(), "{command}: {}", stderr(&output));
        let help = String::from_utf8_lossy(&output.stdout).to_string();
        current.iter().for_each(|name| assert!(help.contains(name), "{command}, {name}: {help}"));
        deprecated.iter().for_each(|name| assert!(!help.contains(name), "{command}, {name}: {help}"));
    }
}

#[test]
fn an_unknown_argument_fails_and_refers_to_the_help() {
    let folder = workspace("unknown");
    let output = run_program(&folder, &["serve", "--unknown"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("--help"), "{}", stderr(&output));
    let output = run_program(&folder, &["vrrp", "away", "--at", "127.0.0.1:1"]);
    assert!(stderr(&output).contains("\"away\""), "{}", stderr(&output));
}

/// Runs the proxy with these environment variables, stops it once it listens, and returns its log.
fn run_and_read_log(test: &str, variables: &[(&str, &str)]) -> String {
    let folder = workspace(test);
    let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let config = std::fs::read_to_string(folder.join("config.json")).unwrap();
    let config = config.replace("127.0.0.1:5050", &format!("127.0.0.1:{port}"));
    std::fs::write(folder.join("serve.json"), config).unwrap();
    let mut command = Command::new(PROGRAM);
    command.args(["serve", "--config", "serve.json"]).current_dir(&folder).env("TMPDIR", &folder);
    for name in ["EDGE_PROXY_LOG", "EDGE_PROXY_LOG_FORMAT", "CALICOBEAM_LOG", "CALICOBEAM_LOG_FORMAT"] {
        command.env_remove(name);
    }
    let mut process =
        KillOnDrop(command.envs(variables.iter().copied()).stderr(Stdio::piped()).spawn().unwrap());
    let deadline = Instant::now() + START_TIMEOUT;
    while TcpStream::connect(("127.0.0.1", port)).is_err() {
        assert!(Instant::now() < deadline, "the process does not listen");
        std::thread::sleep(Duration::from_millis(20));
    }
    process.signal("-TERM");
    let mut log = String::new();
    process.0.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(process.0.wait().unwrap().success(), "{log}");
    log
}

fn is_json(log: &str) -> bool {
    log.lines().next().is_some_and(|line| serde_json::from_str::<serde_json::Value>(line).is_ok())
}

#[test]
fn the_log_is_text_at_level_info_if_no_variable_is_set() {
    let log = run_and_read_log("log_unset", &[]);
    assert!(log.contains("serves on") && !is_json(&log), "{log}");
}

#[test]
fn edge_proxy_log_filters_the_log() {
    let log = run_and_read_log("log_filter", &[("EDGE_PROXY_LOG", "error")]);
    assert!(log.is_empty(), "{log}");
}

#[test]
fn calicobeam_log_filters_the_log_if_edge_proxy_log_is_unset() {
    let filtered = run_and_read_log("log_old_filter", &[("CALICOBEAM_LOG", "error")]);
    assert!(filtered.is_empty(), "{filtered}");
    let both =
        run_and_read_log("log_both_filters", &[("CALICOBEAM_LOG", "error"), ("EDGE_PROXY_LOG", "info")]);
    assert!(both.contains("serves on"), "{both}");
}

#[test]
fn edge_proxy_log_format_selects_json() {
    let log = run_and_read_log("log_format", &[("EDGE_PROXY_LOG_FORMAT", "json")]);
    assert!(log.contains("serves on") && is_json(&log), "{log}");
}

#[test]
fn calicobeam_log_format_selects_json_if_edge_proxy_log_format_is_unset() {
    let deprecated = run_and_read_log("log_old_format", &[("CALICOBEAM_LOG_FORMAT", "json")]);
    assert!(deprecated.contains("serves on") && is_json(&deprecated), "{deprecated}");
    let both = run_and_read_log(
        "log_both_formats",
        &[("CALICOBEAM_LOG_FORMAT", "json"), ("EDGE_PROXY_LOG_FORMAT", "text")],
    );
    assert!(both.contains("serves on") && !is_json(&both), "{both}");
}
