//! Logging of configuration reloads.

use crate::config_file::BoxError;
use std::path::Path;

/// Logs the result of reloading a subsystem's files. After a failure the previous configuration remains
/// active.
pub fn log_reload(subsystem: &'static str, file: &Path, result: Result<(), BoxError>) {
    match result {
        Ok(()) => tracing::info!(subsystem, file = %file.display(), "configuration reloaded"),
        Err(reason) => tracing::warn!(subsystem, %reason, "configuration not reloaded"),
    }
}
