//! The limits that the module's readers set.

/// At most 950 lines that are not blank, none longer than 110 characters.
#[test]
fn policy_stays_within_its_limits() {
    let text = include_str!("../src/policy.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 950, "src/policy.rs has {lines} lines that are not blank");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "src/policy.rs line {} is too long", number + 1);
    }
}

/// The head of the module names the file of its interface.
#[test]
fn policy_names_its_interface() {
    let head: Vec<&str> = include_str!("../src/policy.rs").lines().take(3).collect();
    assert!(head.join(" ").contains("interface.rs"));
}

/// What the deploy file names as the module and the proxy is there.
#[test]
fn the_deploy_file_names_what_exists() {
    let text = include_str!("../deploy/balancer.toml");
    let lists = text.lines().filter(|line| line.starts_with("policy") || line.starts_with("node"));
    let paths: Vec<&str> = lists.flat_map(|line| line.split('"').skip(1).step_by(2)).collect();
    assert!(paths.len() > 2, "{paths:?}");
    for path in paths {
        assert!(std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(path).exists(), "{path}");
    }
}
