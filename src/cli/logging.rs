//! Sets up structured logging to standard error.

use tracing_subscriber::EnvFilter;

/// Environment variable with the log filter; `info` if unset.
const FILTER_VARIABLE: &str = "EDGE_PROXY_LOG";
/// Deprecated name of [`FILTER_VARIABLE`].
const DEPRECATED_FILTER_VARIABLE: &str = "CALICOBEAM_LOG";
/// Environment variable with the log format; `json` for one JSON object per line.
const FORMAT_VARIABLE: &str = "EDGE_PROXY_LOG_FORMAT";
/// Deprecated name of [`FORMAT_VARIABLE`].
const DEPRECATED_FORMAT_VARIABLE: &str = "CALICOBEAM_LOG_FORMAT";

/// Initializes logging from the environment.
pub fn start() {
    let variable = set_or_deprecated(FILTER_VARIABLE, DEPRECATED_FILTER_VARIABLE);
    let filter = EnvFilter::try_from_env(variable).unwrap_or_else(|_| EnvFilter::new("info"));
    let variable = set_or_deprecated(FORMAT_VARIABLE, DEPRECATED_FORMAT_VARIABLE);
    let json = std::env::var(variable).is_ok_and(|format| format == "json");
    let subscriber =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    if json {
        subscriber.json().init();
    } else {
        subscriber.with_target(false).init();
    }
}

/// Returns `name` if that variable is set, otherwise its deprecated name.
fn set_or_deprecated(name: &'static str, deprecated: &'static str) -> &'static str {
    match std::env::var_os(name) {
        Some(_) => name,
        None => deprecated,
    }
}
