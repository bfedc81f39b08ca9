//! Deprecated names of options and arguments. They are still accepted, but not shown in the help.

/// Options of `serve` and `check`: the deprecated name and the current one.
const OPTIONS: [(&str, &str); 4] = [
    ("--door", "--admission"),
    ("--poor", "--http3"),
    ("--duties", "--health-checks"),
    ("--front", "--signed-urls"),
];
/// Actions of `vrrp`.
const VRRP_ACTIONS: [(&str, &str); 2] = [("aside", "step-down"), ("back", "resume")];
/// Subsystems of `show`.
const SUBSYSTEMS: [(&str, &str); 1] = [("duties", "health-checks")];

/// Replaces deprecated names by the current ones in the arguments after the program name. The values of
/// options are left alone: every option of these commands takes a value.
pub fn replace_deprecated_names(mut arguments: Vec<String>) -> Vec<String> {
    let Some((command, rest)) = arguments.split_first_mut() else { return arguments };
    let table: &[(&str, &str)] = match command.as_str() {
        "serve" | "check" => &OPTIONS,
        "vrrp" => &VRRP_ACTIONS,
        "show" => &SUBSYSTEMS,
        _ => return arguments,
    };
    let mut is_option_value = false;
    for argument in rest {
        let is_option = !is_option_value && argument.starts_with("--");
        if !is_option_value {
            replace(argument, table);
        }
        is_option_value = is_option;
    }
    arguments
}

fn replace(argument: &mut String, table: &[(&str, &str)]) {
    if let Some((_, current)) = table.iter().find(|(deprecated, _)| argument == deprecated) {
        *argument = (*current).to_string();
    }
}
