//! The log lines of a reload.

use crate::config_file::BoxError;
use std::path::Path;

/// Logs whether a subsystem's files were read again and are in force. A reload that fails leaves the old ones in force.
pub fn log_reload(subsystem: &'static str, file: &Path, result: Result<(), BoxError>) {
    match result {
        Ok(()) => tracing::info!(subsystem, file = %file.display(), "configuration reloaded"),
        Err(reason) => tracing::warn!(subsystem, %reason, "configuration not reloaded"),
    }
}
