//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

/// Filters the logs; `info` where it is not set.
const FILTER_VARIABLE: &str = "EDGE_PROXY_LOG";
/// The name of [`FILTER_VARIABLE`] in earlier versions.
const OLD_FILTER_VARIABLE: &str = "CALICOBEAM_LOG";
/// `json` for one JSON object a line.
const FORMAT_VARIABLE: &str = "EDGE_PROXY_LOG_FORMAT";
/// The name of [`FORMAT_VARIABLE`] in earlier versions.
const OLD_FORMAT_VARIABLE: &str = "CALICOBEAM_LOG_FORMAT";

/// Starts logging as the environment asks for it.
pub fn start() {
    let variable = set_or_old(FILTER_VARIABLE, OLD_FILTER_VARIABLE);
    let filter = EnvFilter::try_from_env(variable).unwrap_or_else(|_| EnvFilter::new("info"));
    let variable = set_or_old(FORMAT_VARIABLE, OLD_FORMAT_VARIABLE);
    let json = std::env::var(variable).is_ok_and(|format| format == "json");
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    if json {
        logs.json().init();
    } else {
        logs.with_target(false).init();
    }
}

/// The variable `name` where it is set, or else its old name.
fn set_or_old(name: &'static str, old: &'static str) -> &'static str {
    match std::env::var_os(name) {
        Some(_) => name,
        None => old,
    }
}
