//! Tests of routing rules: classification by the deployed rules, rejection of invalid files, and reload.

mod stand_ins;

use edge_proxy::rules::config::RulesConfig;
use edge_proxy::rules::table::Rules;
use edge_proxy::wire::classification::{Classification, RequestClassifier};
use edge_proxy::wire::http::HttpRequest;
use edge_proxy::wire::platform_path::PlatformPath;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use stand_ins::slow_cache_fleet::SlowCacheFleet;
use stand_ins::{run, test_dir, KillOnDrop};
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn deployed_rules() -> Rules {
    RulesConfig::read(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/rules.json"))).unwrap().1
}

/// A random request, either as clients send it or malformed.
fn random_request(rng: &mut SmallRng) -> HttpRequest {
    let mut pick = |list: &[&str]| list[rng.random_range(0..list.len())].to_string();
    let base = pick(&["/ops/", "/ops/", "/ops/", "/ops/", "/ops", "/op/", "ops/", "//ops/", ""]);
    let class = pick(&["video-part", "small-object", "ad-post", "none", "", "a/b"]);
    let object = pick(&[
        "7f3a9c21e0b4d655",
        "00000000000000ff",
        "7F3A9C21E0B4D655",
        "7f3a9c21e0b4d65",
        "",
        "+f3a9c21e0b4d655",
    ]);
    let part = pick(&[
        "",
        "",
        "/slice-3",
        "/slice-0",
        "/slice-65536",
        "/slice-",
        "/slice-x",
        "/slice-1234567890",
        "/part-3",
        "/slice-3/",
        "/",
    ]);
    let query = pick(&["", "", "?a=1", "?", "?/slice-9"]);
    let mut headers = vec![("x-call-id".to_string(), "1".to_string())];
    for _ in 0..rng.random_range(0..3) {
        let mut pick = |list: &[&str]| list[rng.random_range(0..list.len())].to_string();
        headers.push(("x-set".into(), pick(&["17", "0", "256", "", "-1", "x", "1234567890"])));
    }
    HttpRequest {
        method: "GET".into(),
        target: format!("{base}{class}/{object}{part}{query}"),
        headers,
        ..HttpRequest::default()
    }
}

#[test]
fn deployed_rules_classify_requests_like_the_built_in_path_form() {
    let rules = deployed_rules();
    let mut rng = SmallRng::seed_from_u64(21);
    let (mut targets, mut malformed, mut unmatched) = (0, 0, 0);
    for _ in 0..200_000 {
        let request = random_request(&mut rng);
        let mut steps = 0;
        let (by_rules, by_path_form) =
            (rules.classify(&request, &mut steps), PlatformPath.classify(&request));
        // The path form rejects an empty `X-Set`; `default` in the rules treats it as absent.
        let has_empty_group_header = request.headers.iter().any(|(n, v)| n == "x-set" && v.is_empty());
        if !has_empty_group_header {
            assert_eq!(by_rules, by_path_form, "{request:?}");
        }
        assert!(steps <= rules.max_cost(), "{steps} steps, expected at most {}", rules.max_cost());
        match by_path_form {
            Classification::Target(_) => targets += 1,
            Classification::Malformed => malformed += 1,
            Classification::NoMatch => unmatched += 1,
        }
    }
    assert!(
        targets > 2_000 && malformed > 2_000 && unmatched > 2_000,
        "{targets} targets, {malformed} malformed and {unmatched} unmatched requests; expected more than \
         2,000 of each"
    );
}

#[test]
fn invalid_files_are_rejected_with_the_rule_and_the_location() {
    let file = test_dir("rules-bad").join("rules.json");
    let read_rules = |rule: &str, other_fields: &str| {
        std::fs::write(&file, format!(r#"{{{other_fields}"rules":[{rule}]}}"#)).unwrap();
        RulesConfig::read(&file).map(|_| ()).map_err(|e| e.to_string())
    };
    let rule = |when: &str, object: &str| {
        format!(r#"{{"when":{:?},"class":"\"small-object\"","object":{object:?}}}"#, when)
    };
    assert_eq!(read_rules(&rule("true", "hash(path)"), ""), Ok(()));
    for (text, other_fields, expected) in [
        (rule("path", "hash(path)"), "", "rule 1, `when`"),
        (rule("true", "path"), "", "rule 1, `object`"),
        (rule("true", "hash(path"), "", "at byte"),
        (rule("true", "hash(nothing)"), "", "nothing"),
        (rule("contains(path, query)", "hash(path)"), r#""cost_most":1000,"#, "cost"),
        (rule("f(1) == 1", "hash(path)"), r#""define":["f(n: int) = f(n)"],"#, "calls itself"),
        (String::new(), "", "expected 1 to 256"),
    ] {
        let reason = read_rules(&text, other_fields).expect_err(&text);
        assert!(reason.contains(expected), "{reason} does not contain {expected}");
    }
}

/// A rules file replaces the built-in path form, SIGHUP reloads it, and an invalid file leaves the old
/// rules in force.
#[test]
fn a_rules_file_replaces_the_path_form_and_is_reloaded_at_sighup() {
    run(async {
        let dir = test_dir("rules-program");
        let fleet = SlowCacheFleet::start(125, 4, 64, 2).await;
        let unused_address = || std::net::TcpListener::bind("127.0.125.9:0").unwrap().local_addr().unwrap();
        let listen = unused_address();
        let mut text =
            std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap();
        for (index, port) in (7101..=7104).enumerate() {
            text = text.replace(&format!("127.0.0.1:{port}"), &fleet.addresses[index].to_string());
        }
        std::fs::write(dir.join("config.json"), text.replace("127.0.0.1:5050", &listen.to_string())).unwrap();
        let write_rules = |prefix: &str| {
            let text = format!(
                r#"{{"rules":[{{"when":"starts(path, \"{prefix}\") && ends(path, \".jpg\")","class":"\"small-object\"",
                    "object":"hash(lower(path))","group":"try(int(header(\"x-set\")), 0)"}}]}}"#
            );
            std::fs::write(dir.join("rules.json"), text).unwrap();
        };
        write_rules("/photos/");
        let log = std::fs::File::create(dir.join("proxy.log")).unwrap();
        let (config, file) = (dir.join("config.json"), dir.join("rules.json"));
        let args = ["serve", "--config", config.to_str().unwrap(), "--rules", file.to_str().unwrap()];
        let child =
            std::process::Command::new(env!("CARGO_BIN_EXE_edge-proxy")).args(args).stderr(log).spawn();
        let proxy = KillOnDrop(child.unwrap());
        while TcpStream::connect(listen).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let get_status = |target: &'static str, id: u64| async move {
            let mut stream = TcpStream::connect(listen).await.unwrap();
            let text = format!(
                "GET {target} HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nConnection: close\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await.unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).await.unwrap();
            response.get(9..12).unwrap_or_default().to_string()
        };
        assert_eq!(get_status("/photos/Cat.jpg", 1).await, "200");
        assert_eq!(
            get_status("/ops/small-object/7f3a9c21e0b4d655", 2).await,
            "404",
            "the built-in path form still applies"
        );
        write_rules("/pictures/");
        proxy.signal("-HUP");
        let deadline = Instant::now() + Duration::from_secs(5);
        let mut id = 10;
        while get_status("/pictures/cat.jpg", id).await != "200" {
            assert!(Instant::now() < deadline, "the rules were not reloaded");
            id += 1;
        }
        std::fs::write(dir.join("rules.json"), r#"{"rules":[{"when":"1","class":"1","object":"1"}]}"#)
            .unwrap();
        proxy.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(
            get_status("/pictures/cat.jpg", 99).await,
            "200",
            "an invalid file replaced the rules in force"
        );
        let log = std::fs::read_to_string(dir.join("proxy.log")).unwrap();
        assert!(
            log.contains("configuration not reloaded subsystem=\"rules\"") && log.contains("rule 1, `when`"),
            "{log}"
        );
    });
}
