//! Checks the size of the files under `src/policy` and the paths in the deploy file.

use std::path::Path;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");
/// Maximum number of non-blank lines in a file.
const MAX_LINES: usize = 400;
/// Maximum length of a line, in characters.
const MAX_LINE_LENGTH: usize = 110;

/// Every file under `src/policy`, recursively, with its text.
fn policy_files() -> Vec<(String, String)> {
    fn collect(folder: &Path, files: &mut Vec<(String, String)>) {
        for entry in std::fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                collect(&path, files);
            } else {
                let name = path.strip_prefix(ROOT).expect("under the root").display().to_string();
                files.push((name, std::fs::read_to_string(&path).expect("text")));
            }
        }
    }
    let mut files = Vec::new();
    collect(&Path::new(ROOT).join("src/policy"), &mut files);
    files
}

#[test]
fn policy_files_stay_within_the_line_limits() {
    let files = policy_files();
    assert!(files.len() > 1, "{files:?}");
    for (name, text) in &files {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{name} has {lines} non-blank lines");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_LINE_LENGTH, "{name}:{} is too long", number + 1);
        }
    }
    assert!(!Path::new(ROOT).join("src/policy.rs").exists(), "the module consists of the folder only");
}

/// The documentation of the module refers to the file of its interface.
#[test]
fn policy_documentation_names_its_interface() {
    let head: Vec<&str> = include_str!("../src/policy/mod.rs").lines().take(3).collect();
    assert!(head.join(" ").contains("interface.rs"));
}

/// The paths in a list of the deploy file.
fn deploy_paths(list: &str) -> Vec<&'static str> {
    let text = include_str!("../deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with(list)).expect("the list");
    line.split('"').skip(1).step_by(2).collect()
}

#[test]
fn paths_in_the_deploy_file_exist() {
    let paths = [deploy_paths("policy"), deploy_paths("node")].concat();
    assert!(paths.len() > 2, "{paths:?}");
    for path in paths {
        assert!(Path::new(ROOT).join(path).exists(), "{path}");
    }
}

#[test]
fn the_deploy_file_lists_exactly_the_policy_files() {
    let mut named = deploy_paths("policy");
    let mut files: Vec<String> = policy_files().into_iter().map(|(name, _)| name).collect();
    named.sort();
    files.sort();
    assert_eq!(named, files);
}
