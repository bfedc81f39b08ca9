//! Spellings of options and arguments that earlier versions had. They are read as before, and the help does not show
//! them.

/// Options of `serve` and `check`: the old spelling and the present one.
const OPTIONS: [(&str, &str); 4] = [
    ("--door", "--admission"),
    ("--poor", "--http3"),
    ("--duties", "--health-checks"),
    ("--front", "--signed-urls"),
];
/// What `vrrp` does.
const VRRP_ACTIONS: [(&str, &str); 2] = [("aside", "step-down"), ("back", "resume")];
/// Subsystems of `show`.
const SUBSYSTEMS: [(&str, &str); 1] = [("duties", "health-checks")];

/// Replaces old spellings by the present ones in the arguments after the program's name. Values of options stay as they
/// are: every option of these commands takes one.
pub fn replace_old_spellings(mut arguments: Vec<String>) -> Vec<String> {
    let Some((command, rest)) = arguments.split_first_mut() else { return arguments };
    let table: &[(&str, &str)] = match command.as_str() {
        "serve" | "check" => &OPTIONS,
        "vrrp" => &VRRP_ACTIONS,
        "show" => &SUBSYSTEMS,
        _ => return arguments,
    };
    let mut is_field_value = false;
    for argument in rest {
        let is_option = !is_field_value && argument.starts_with("--");
        if !is_field_value {
            replace(argument, table);
        }
        is_field_value = is_option;
    }
    arguments
}

fn replace(argument: &mut String, table: &[(&str, &str)]) {
    if let Some((_, present)) = table.iter().find(|(old, _)| argument == old) {
        *argument = (*present).to_string();
    }
}
