//! Sets up structured logging to standard error. Lines are written by a thread of their own: a reader that stops
//! must not hold up requests. Lines beyond a bound are dropped and counted.

use edge_proxy::engine::executor::MetricsSource;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The most lines that wait to be written.
const MAX_WAITING_LINES: usize = 4_096;

/// Environment variable with the log filter; `info` if unset.
const FILTER_VARIABLE: &str = "EDGE_PROXY_LOG";
/// Deprecated name of [`FILTER_VARIABLE`].
const DEPRECATED_FILTER_VARIABLE: &str = "CALICOBEAM_LOG";
/// Environment variable with the log format; `json` for one JSON object per line.
const FORMAT_VARIABLE: &str = "EDGE_PROXY_LOG_FORMAT";
/// Deprecated name of [`FORMAT_VARIABLE`].
const DEPRECATED_FORMAT_VARIABLE: &str = "CALICOBEAM_LOG_FORMAT";

/// The log. Dropping it writes the lines that still wait, for as long as they are read, and about a second at most.
pub struct Log {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Log {
    /// The metric of lines that were dropped, in the Prometheus text format.
    pub fn metrics(&self) -> MetricsSource {
        let dropped = self.dropped.clone();
        Box::new(move || format!("app_log_lines_dropped_total {}\n", dropped.dropped_lines()))
    }
}

/// Initializes logging from the environment. Panics are logged too.
pub fn start() -> Log {
    let variable = set_or_deprecated(FILTER_VARIABLE, DEPRECATED_FILTER_VARIABLE);
    let filter = EnvFilter::try_from_env(variable).unwrap_or_else(|_| EnvFilter::new("info"));
    let variable = set_or_deprecated(FORMAT_VARIABLE, DEPRECATED_FORMAT_VARIABLE);
    let json = std::env::var(variable).is_ok_and(|format| format == "json");
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let dropped = writer.error_counter();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_ansi(false);
    if json {
        subscriber.json().init();
    } else {
        subscriber.with_target(false).init();
    }
    std::panic::set_hook(Box::new(|panic| {
        let backtrace = std::backtrace::Backtrace::capture();
        tracing::error!(%backtrace, "{panic}");
    }));
    Log { dropped, _writer: guard }
}

/// Returns `name` if that variable is set, otherwise its deprecated name.
fn set_or_deprecated(name: &'static str, deprecated: &'static str) -> &'static str {
    match std::env::var_os(name) {
        Some(_) => name,
        None => deprecated,
    }
}
