//! The command line of the program itself: the names of its options, arguments and variables, and the earlier spellings
//! that are still read.

mod stand_ins;

use stand_ins::running::PROGRAM;
use stand_ins::KillOnDrop;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Old options of `serve` and `check`, the present ones, and an operator file for each.
const OPTIONS: [(&str, &str, &str); 4] = [
    ("--door", "--admission", "door.json"),
    ("--poor", "--http3", "poor.json"),
    ("--duties", "--health-checks", "duties.json"),
    ("--front", "--signed-urls", "signed-urls.json"),
];
/// How long a process may take to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A folder of a test's own with copies of the operators' files and the keys that they name.
fn workspace(test: &str) -> PathBuf {
    let folder = stand_ins::folder(&format!("command_line_{test}"));
    for source in ["tests/fixtures/operator-files", "tests/fixtures/keys"] {
        for entry in std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join(source)).unwrap() {
            let entry = entry.unwrap();
            std::fs::copy(entry.path(), folder.join(entry.file_name())).unwrap();
        }
    }
    folder
}

fn program(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).current_dir(folder).env_remove("NODE_CONFIG").output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).to_string()
}

/// `check` and `serve` read the file of an option in both of its spellings.
fn reads_both_spellings(test: &str, old: &str) {
    let folder = workspace(test);
    let (_, present, file) = OPTIONS.into_iter().find(|(other, ..)| *other == old).unwrap();
    std::fs::write(folder.join("bad.json"), "{ \"unknown\": 1 }").unwrap();
    let mut messages = Vec::new();
    for option in [old, present] {
        let output = program(&folder, &["check", "--config", "config.json", option, file]);
        assert!(output.status.success(), "{option}: {}", stderr(&output));
        for command in ["check", "serve"] {
            let output = program(&folder, &[command, "--config", "config.json", option, "bad.json"]);
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
fn door_is_read_as_admission() {
    reads_both_spellings("door", "--door");
}

#[test]
fn poor_is_read_as_http3() {
    reads_both_spellings("poor", "--poor");
}

#[test]
fn duties_is_read_as_health_checks() {
    reads_both_spellings("duties", "--duties");
}

#[test]
fn front_is_read_as_signed_urls() {
    reads_both_spellings("front", "--front");
}

/// The request line that the program sends to the admin address for these arguments.
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
    // Ends the wait of a stand-in that was not called.
    let _ = TcpStream::connect(&address);
    assert!(output.status.success(), "{arguments:?}: {}", stderr(&output));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{}\n");
    admin.join().unwrap().trim_end().to_string()
}

#[test]
fn aside_is_read_as_step_down() {
    assert_eq!(admin_request(&["vrrp", "aside"]), "POST /vrrp/aside HTTP/1.1");
    assert_eq!(admin_request(&["vrrp", "step-down"]), "POST /vrrp/aside HTTP/1.1");
}

#[test]
fn back_is_read_as_resume() {
    assert_eq!(admin_request(&["vrrp", "back"]), "POST /vrrp/back HTTP/1.1");
    assert_eq!(admin_request(&["vrrp", "resume"]), "POST /vrrp/back HTTP/1.1");
}

#[test]
fn show_duties_is_read_as_show_health_checks() {
    assert_eq!(admin_request(&["show", "duties"]), "GET /duties HTTP/1.1");
    assert_eq!(admin_request(&["show", "health-checks"]), "GET /duties HTTP/1.1");
}

#[test]
fn the_other_subsystems_are_shown_by_their_admin_calls() {
    for name in ["registry", "grpc", "vrrp", "purges"] {
        assert_eq!(admin_request(&["show", name]), format!("GET /{name} HTTP/1.1"));
    }
    assert_eq!(admin_request(&["vrrp", "status"]), "GET /vrrp HTTP/1.1");
}

#[test]
fn values_are_not_mistaken_for_old_spellings() {
    let folder = workspace("values");
    std::fs::copy(folder.join("config.json"), folder.join("--door")).unwrap();
    let output = program(&folder, &["check", "--config", "--door", "--door", "door.json"]);
    assert!(output.status.success(), "{}", stderr(&output));
    let output = program(&folder, &["check", "--config", "--poor"]);
    assert!(stderr(&output).contains("--poor"), "{}", stderr(&output));
}

#[test]
fn the_help_shows_the_present_spellings_alone() {
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
    for (command, present, old) in cases {
        let output = program(&folder, &[command, "--help"]);
        assert!(output.status.success(), "{command}: {}", stderr(&output));
        let help = String::from_utf8_lossy(&output.stdout).to_string();
        present.iter().for_each(|name| assert!(help.contains(name), "{command}, {name}: {help}"));
        old.iter().for_each(|name| assert!(!help.contains(name), "{command}, {name}: {help}"));
    }
}

#[test]
fn an_unknown_argument_fails_with_a_hint_at_the_help() {
    let folder = workspace("unknown");
    let output = program(&folder, &["serve", "--unknown"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("--help"), "{}", stderr(&output));
    let output = program(&folder, &["vrrp", "away", "--at", "127.0.0.1:1"]);
    assert!(stderr(&output).contains("\"away\""), "{}", stderr(&output));
}

/// The whole log of a process that serves with these variables until it is stopped.
fn log(test: &str, variables: &[(&str, &str)]) -> String {
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
    let by = Instant::now() + START_TIMEOUT;
    while TcpStream::connect(("127.0.0.1", port)).is_err() {
        assert!(Instant::now() < by, "the process does not listen");
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
fn the_log_is_text_from_info_where_no_variable_is_set() {
    let log = log("log_unset", &[]);
    assert!(log.contains("serves on") && !is_json(&log), "{log}");
}

#[test]
fn edge_proxy_log_filters_the_log() {
    let log = log("log_filter", &[("EDGE_PROXY_LOG", "error")]);
    assert!(log.is_empty(), "{log}");
}

#[test]
fn calicobeam_log_filters_the_log_where_edge_proxy_log_is_unset() {
    let filtered = log("log_old_filter", &[("CALICOBEAM_LOG", "error")]);
    assert!(filtered.is_empty(), "{filtered}");
    let both = log("log_both_filters", &[("CALICOBEAM_LOG", "error"), ("EDGE_PROXY_LOG", "info")]);
    assert!(both.contains("serves on"), "{both}");
}

#[test]
fn edge_proxy_log_format_chooses_json() {
    let log = log("log_format", &[("EDGE_PROXY_LOG_FORMAT", "json")]);
    assert!(log.contains("serves on") && is_json(&log), "{log}");
}

#[test]
fn calicobeam_log_format_chooses_json_where_edge_proxy_log_format_is_unset() {
    let old = log("log_old_format", &[("CALICOBEAM_LOG_FORMAT", "json")]);
    assert!(old.contains("serves on") && is_json(&old), "{old}");
    let both =
        log("log_both_formats", &[("CALICOBEAM_LOG_FORMAT", "json"), ("EDGE_PROXY_LOG_FORMAT", "text")]);
    assert!(both.contains("serves on") && !is_json(&both), "{both}");
}
