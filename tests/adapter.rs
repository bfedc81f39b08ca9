//! The simulator adapter as a process, with message transcripts as input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on a transcript.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    // The adapter may exit before it has read all input, on an invalid line.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter exits")
}

/// Runs the adapter on a transcript, asserts that it succeeds, and returns its output lines.
fn output_lines(input: &str) -> Vec<String> {
    let output = run(input);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    String::from_utf8(output.stdout).unwrap().lines().map(String::from).collect()
}

fn batch(at: u64, events: &[String]) -> String {
    let events: String = events.iter().map(|e| format!("{e}\n")).collect();
    format!("{{\"cmd\":\"Clock\",\"timeUs\":{at}}}\n{events}{{\"cmd\":\"Eob\"}}\n\n")
}

const SETTINGS: &str = r#"{"classes":[{"aimStretch":2.0,"deadlineUs":5000000,"dedupScope":"all",
"lateWorth":0.15,"name":"clip","promiseUs":500000,"semantics":"pure","streaming":false,
"windowUs":5000000,"worth":2.0},
{"deadlineUs":3000000,"dedupScope":"all","lateWorth":0.0,"name":"order","promiseUs":700000,
"semantics":"token","streaming":false,"windowUs":6000000,"worth":3.0}],"discovery":"push",
"family":"edge","familyInfo":{"maxAgeUs":[0,0],"uncached":[false,true],"mayPassBy":true,"midKind":1,
"rootKind":2,"joins":true,"lateral":"location","notesGiven":"hit","purgeDoneUs":6000000,
"purgeSlackUs":500000,"parentFloor":0.08,"parentBreaksAt":2.0,"upperColdUs":20000000,"seatsByZone":[0,1],
"someNewKey":[1,2]},"localities":["hub","town"],"locality":"town","myNumber":0,"policyLimits":
{"cancelling":true,"maxRetryAfterUs":500000,"parallelTries":true,"retryAfter":true,"sendCap":6},
"rules":{"drainGraceUs":500000,"fallMultiple":3.0,"rampTimeUs":15000000,"startCapacity":0.2,
"tipAfterUs":2000000},"siblings":1,"skus":["box","parent","origin"],"weightKind":"nominal"}"#;

fn open_message(instance: u64) -> String {
    format!("{{\"cmd\":\"OpenInstance\",\"i\":{instance},\"seed\":9,\"env\":{}}}", SETTINGS.replace('\n', ""))
}

fn record(zone: &str, model: &str, cache: u32) -> String {
    format!(
        "{{\"zone\":\"{zone}\",\"model\":\"{model}\",\"lifecycle\":\"live\",\"readyAtUs\":null,\
         \"cache\":{cache},\"powerHint\":6,\"cohort\":0}}"
    )
}

fn table_message() -> String {
    let records = [
        record("town", "box", 101),
        record("town", "box", 102),
        record("hub", "parent", 201),
        record("hub", "origin", 301),
    ];
    format!("{{\"cmd\":\"Table\",\"sheet\":3,\"records\":[{}]}}", records.join(","))
}

fn endpoints_message(instance: u64) -> String {
    format!("{{\"cmd\":\"Members\",\"i\":{instance},\"sheet\":3,\"mode\":\"warm_copy\",\"index\":1}}")
}

fn request_message(instance: u64, id: u64, class: &str) -> String {
    format!(
        "{{\"cmd\":\"JobIn\",\"i\":{instance},\"requestId\":\"{id:016x}\",\"band\":\"{class}\",\
         \"account\":null,\"asset\":77,\"giveUpAtUs\":4000000,\"kbytes\":null,\"setNo\":3,\
         \"slice\":0,\"bitmap\":0}}"
    )
}

fn attempt_ended_message(instance: u64, id: u64, hop: u32, status: &str, closed: bool) -> String {
    format!(
        "{{\"cmd\":\"Settled\",\"i\":{instance},\"requestId\":\"{id:016x}\",\"cache\":101,\"hop\":{hop},\
         \"detail\":0,\"status\":\"{status}\",\"tookUs\":2000,\"closed\":{closed},\"pressure\":null}}"
    )
}

fn parse_json(line: &str) -> serde_json::Value {
    serde_json::from_str(line).expect("an action in JSON")
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(output_lines(&batch(5, &[])), ["{\"cmd\":\"End\"}"]);
    assert!(output_lines("").is_empty());
}

#[test]
fn misses_are_filled_from_the_parent_and_a_failed_attempt_is_retried_at_the_other_cache() {
    let start = batch(1_000, &[open_message(0), table_message(), endpoints_message(0)]);
    let out = output_lines(
        &(start
            + &batch(2_000, &[request_message(0, 7, "clip")])
            + &batch(4_000, &[attempt_ended_message(0, 7, 0, "C", false)])),
    );
    let sent: Vec<_> = out.iter().map(|l| parse_json(l)).filter(|v| v["cmd"] == "LookAndFill").collect();
    assert_eq!(sent.len(), 2, "{out:?}");
    assert_eq!(sent[0]["requestId"], "0000000000000007");
    assert_eq!((&sent[0]["source"], &sent[0]["i"]), (&201.into(), &0.into()));
    assert_ne!(sent[0]["cache"], sent[1]["cache"], "retried at the same cache");
    assert!(sent[0]["capUs"].as_u64() > Some(0));
    assert_eq!(out.iter().filter(|l| l.contains("\"End\"")).count(), 3);
}

#[test]
fn an_uncacheable_request_is_forwarded_to_the_origin() {
    let start = batch(
        1_000,
        &[open_message(0), table_message(), endpoints_message(0), request_message(0, 8, "order")],
    );
    let out = output_lines(&start);
    let sent: Vec<_> = out.iter().map(|l| parse_json(l)).filter(|v| v["cmd"] == "Place").collect();
    assert_eq!((sent.len(), &sent[0]["cache"]), (1, &301.into()));
}

/// Guards against fills from an overloaded origin: after it rejected a request, the parent serves only from
/// its cache.
#[test]
fn the_parent_serves_only_cached_copies_after_the_origin_rejected() {
    let start = batch(
        1_000,
        &[open_message(0), table_message(), endpoints_message(0), request_message(0, 8, "order")],
    );
    let before = output_lines(&(start.clone() + &batch(3_000_000, &[request_message(0, 9, "clip")])));
    let after = output_lines(
        &(start
            + &batch(
                3_000_000,
                &[attempt_ended_message(0, 8, 0, "F", false), request_message(0, 9, "clip")],
            )),
    );
    let clip = |out: &[String]| {
        let sent = out.iter().map(|l| parse_json(l)).find(|v| v["cmd"] == "LookAndFill").expect("an attempt");
        (sent["source"].clone(), sent["how"].clone())
    };
    assert_eq!(clip(&before), (201.into(), 1.into()), "joins a fill");
    assert_eq!(
        clip(&after),
        (201.into(), 3.into()),
        "joins a fill, and the source serves only a cached copy"
    );
}

#[test]
fn a_purge_and_a_timeout_at_the_deadline_are_translated() {
    let purge = "{\"cmd\":\"Outdated\",\"i\":0,\"asset\":77,\"familyId\":3,\"ageSpanUs\":85000}".to_string();
    let start = batch(
        1_000_000,
        &[open_message(0), table_message(), endpoints_message(0), purge, request_message(0, 9, "clip")],
    );
    let out = output_lines(&(start + &batch(4_000_000, &[attempt_ended_message(0, 9, 0, "T", false)])));
    let sent = out.iter().map(|l| parse_json(l)).find(|v| v["cmd"] == "LookAndFill").expect("an attempt");
    assert!((1..=85_000).contains(&sent["ageSpanUs"].as_u64().unwrap()));
    let last = out.iter().map(|l| parse_json(l)).find(|v| v["cmd"] == "OverloadReply").expect("a rejection");
    assert_eq!(last["requestId"], "0000000000000009");
}

#[test]
fn instances_are_independent_and_may_restart_within_a_batch() {
    let close = "{\"cmd\":\"Teardown\",\"i\":0}".to_string();
    let events = [
        open_message(0),
        table_message(),
        endpoints_message(0),
        open_message(1),
        endpoints_message(1),
        request_message(0, 7, "clip"),
        request_message(1, 7, "clip"),
    ];
    let restart = [
        close,
        attempt_ended_message(0, 7, 0, "T", false),
        open_message(0),
        endpoints_message(0),
        request_message(0, 7, "clip"),
    ];
    let out = output_lines(&(batch(1_000, &events) + &batch(2_000, &restart)));
    let sent: Vec<_> = out.iter().map(|l| parse_json(l)).filter(|v| v["cmd"] == "LookAndFill").collect();
    let instances: Vec<_> = sent.iter().map(|v| v["i"].as_u64().unwrap()).collect();
    assert_eq!(instances, [0, 1, 0]);
    assert_eq!(sent[0]["cache"], sent[2]["cache"]);
    assert_eq!(sent[0]["capUs"], sent[2]["capUs"], "state of the closed instance was kept");
}

#[test]
fn unknown_messages_and_keys_and_late_events_are_ignored() {
    let late = [
        "{\"cmd\":\"NewThing\",\"i\":0,\"x\":[1]}".to_string(),
        "{\"cmd\":\"Elapsed\",\"i\":0,\"ctx\":12345,\"extra\":{}}".to_string(),
        "{\"cmd\":\"Heard\",\"i\":0,\"originPeer\":1,\"blob\":\"hi\"}".to_string(),
        "{\"cmd\":\"Probed\",\"i\":0,\"cache\":101,\"status\":\"S\",\"tookUs\":5,\"pressure\":{\"x\":1.5}}"
            .to_string(),
        "{\"cmd\":\"Abandoned\",\"i\":0,\"requestId\":\"00000000000000ff\"}".to_string(),
        attempt_ended_message(0, 255, 0, "S", true),
        attempt_ended_message(9, 255, 0, "S", true),
    ];
    let start = batch(1_000, &[open_message(0), table_message(), endpoints_message(0)]);
    assert_eq!(output_lines(&(start + &batch(2_000, &late))).len(), 2);
}

#[test]
fn an_invalid_line_ends_the_process_and_is_named_by_number() {
    let clock = "{\"cmd\":\"Clock\",\"timeUs\":1000}\n";
    let bad = [
        ("not json", 2),
        ("{\"cmd\":\"Elapsed\",\"i\":0}", 2),
        ("{\"cmd\":\"Settled\",\"i\":0,\"requestId\":\"xyz\",\"hop\":0,\"status\":\"S\"}", 2),
        ("{\"i\":0}", 2),
        ("{\"cmd\":\"Clock\",\"timeUs\":2000}", 2),
    ];
    for (line, number) in bad {
        let output = run(&format!("{clock}{line}\n{{\"cmd\":\"Eob\"}}\n"));
        let errors = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success(), "{line}");
        assert!(errors.contains(&format!("line {number}")), "{line}: {errors}");
        assert!(output.stdout.is_empty(), "{line}: partial reply");
    }
    let output = run("{\"cmd\":\"Eob\"}\n");
    assert!(!output.status.success() && String::from_utf8_lossy(&output.stderr).contains("outside a batch"));
    assert!(!run(clock).status.success(), "input that ends inside a batch");
}
