//! `.ci/verdict`: what passes beside a list of tests that are known to fail, and what does not.

use std::path::PathBuf;
use std::process::Command;

/// The output of a run in which one test of two files fails.
const RUN: &str = "     Running unittests src/lib.rs (target/debug/deps/edge_proxy-1)
test clock::tests::counts ... ok
test result: ok. 1 passed; 0 failed
     Running tests/closes.rs (target/debug/deps/closes-2)
test a_close ... ok
test a_reset ... FAILED
test result: FAILED. 1 passed; 1 failed
error: 1 target failed:
    `--test closes`
";

/// Whether a run passes with this list, and what the script prints.
fn verdict(name: &str, listed: &str, output: &str, status: &str) -> (bool, String) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{name}"));
    std::fs::create_dir_all(&dir).unwrap();
    let (list, out) = (dir.join("KNOWN-RED.txt"), dir.join("output"));
    std::fs::write(&list, listed).unwrap();
    std::fs::write(&out, output).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/verdict");
    let done = Command::new("bash").args([script.into(), list, out, status.into()]).output().unwrap();
    (done.status.success(), String::from_utf8_lossy(&done.stdout).into_owned())
}

#[test]
fn a_listed_test_that_fails_is_printed_and_passes() {
    let list =
        "# why\n\ntests/closes.rs a_reset | cargo test --test closes, seed 7 | resets are late | issue 20\n";
    let (passes, said) = verdict("listed", list, RUN, "101");
    assert!(passes, "{said}");
    assert!(said.contains("known red: tests/closes.rs a_reset | cargo test --test closes, seed 7 | resets are late | issue 20"), "{said}");
}

#[test]
fn a_failing_test_that_is_not_listed_fails_the_run() {
    let list = "tests/other.rs a_reset | cargo test | another file | issue 20\n";
    let (passes, said) = verdict("other", list, RUN, "101");
    assert!(!passes && said.contains("failed: tests/closes.rs a_reset"), "{said}");
    assert!(!verdict("none", "", RUN, "101").0);
}

#[test]
fn a_listed_test_that_passes_or_does_not_exist_fails_the_run() {
    for test in ["tests/closes.rs a_close", "tests/closes.rs a_dream"] {
        let list = format!(
            "tests/closes.rs a_reset | cargo test | late | issue 20\n{test} | cargo test | late | issue 20\n"
        );
        let (passes, said) = verdict("passing", &list, RUN, "101");
        assert!(!passes && said.contains(&format!("does not exist: {test}")), "{said}");
    }
}

#[test]
fn more_than_three_entries_or_an_incomplete_one_fail_the_run() {
    let line = "tests/closes.rs a_reset | cargo test | late | issue 20\n";
    assert!(!verdict("four", &line.repeat(4), RUN, "101").0);
    for incomplete in
        ["", "| cargo test", "| cargo test | late", "| cargo test | late |", "| cargo test | | issue 20"]
    {
        let (passes, said) =
            verdict("incomplete", &format!("tests/closes.rs a_reset {incomplete}\n"), RUN, "101");
        assert!(!passes && said.contains("lacks the command"), "{incomplete:?}: {said}");
    }
}

#[test]
fn a_run_that_did_not_build_or_ran_nothing_fails() {
    let list = "tests/closes.rs a_reset | cargo test | late | issue 20\n";
    assert!(!verdict("nothing", list, "", "101").0);
    let broken =
        format!("{RUN}error: could not compile `edge-proxy` (test \"grpc\") due to 1 previous error\n");
    assert!(!verdict("broken", list, &broken, "101").0);
}
