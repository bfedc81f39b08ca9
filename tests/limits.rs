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
