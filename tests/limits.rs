//! Checks the size of the files under `src/policy` and the paths in `deploy/balancer.toml`.

use std::path::Path;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");
/// Maximum number of non-blank lines in a file.
const MAX_LINES: usize = 400;
/// Maximum length of a line, in characters.
const MAX_LINE_LENGTH: usize = 110;

/// Every file under `src/policy`, recursively, with its text.
fn policy_files() -> Vec<(String, String)> {
    fn collect(folder: &Path, files: &mut Vec<(String, String)>) {
        for entry in std::fs::read_dir(folder).expect("cannot read a folder under src/policy") {
            let path = entry.expect("cannot read an entry of a folder under src/policy").path();
            if path.is_dir() {
                collect(&path, files);
            } else {
                let name = path
                    .strip_prefix(ROOT)
                    .expect("path is not under the manifest folder")
                    .display()
                    .to_string();
                files.push((
                    name,
                    std::fs::read_to_string(&path).expect("source file is not readable as UTF-8"),
                ));
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
    assert!(files.len() > 1, "expected several files under src/policy, found {}", files.len());
    for (name, text) in &files {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{name} has {lines} non-blank lines; at most {MAX_LINES} are allowed");
        for (number, line) in text.lines().enumerate() {
            assert!(
                line.chars().count() <= MAX_LINE_LENGTH,
                "{name}:{} is longer than {MAX_LINE_LENGTH} characters",
                number + 1
            );
        }
    }
    assert!(
        !Path::new(ROOT).join("src/policy.rs").exists(),
        "src/policy.rs must not exist: the module is src/policy/mod.rs"
    );
}

#[test]
fn policy_documentation_names_its_interface() {
    let first_lines: Vec<&str> = include_str!("../src/policy/mod.rs").lines().take(3).collect();
    assert!(
        first_lines.join(" ").contains("interface.rs"),
        "the documentation of src/policy/mod.rs does not name interface.rs: {first_lines:?}"
    );
}

/// The paths in the array `key` of `deploy/balancer.toml`, which stands on one line.
fn deploy_paths(key: &str) -> Vec<&'static str> {
    let text = include_str!("../deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with(key)).expect("deploy/balancer.toml lacks the list");
    // Every other piece between quotation marks is a path.
    line.split('"').skip(1).step_by(2).collect()
}

#[test]
fn paths_in_the_deploy_file_exist() {
    let paths = [deploy_paths("policy"), deploy_paths("node")].concat();
    assert!(paths.len() > 2, "{paths:?}");
    for path in paths {
        assert!(
            Path::new(ROOT).join(path).exists(),
            "{path}, listed in deploy/balancer.toml, does not exist"
        );
    }
}

#[test]
fn the_deploy_file_lists_exactly_the_policy_files() {
    let mut listed = deploy_paths("policy");
    let mut files: Vec<String> = policy_files().into_iter().map(|(name, _)| name).collect();
    listed.sort();
    files.sort();
    assert_eq!(listed, files);
}
