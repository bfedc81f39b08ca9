//! The error type of all commands.

use edge_proxy::config_file::{BoxError, ConfigError};
use edge_proxy::lifecycle::error::ServeError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error that makes a command fail.
#[derive(Debug, Error)]
pub enum CliError {
    /// Neither an option nor the environment names a configuration.
    #[error("no configuration: give --config FILE or set NODE_CONFIG")]
    NoConfiguration,
    /// A configuration file is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The proxy failed to start.
    #[error("{0}")]
    Serve(#[from] ServeError),
    /// The asynchronous runtime failed to start.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// An argument is invalid.
    #[error("{0}")]
    Argument(BoxError),
    /// The gRPC routes are invalid.
    #[error("{0}")]
    GrpcRoutes(BoxError),
    /// No gRPC route matches a path.
    #[error("no gRPC route matches {0:?}")]
    NoGrpcRoute(String),
    /// A header argument has no colon.
    #[error("header {0:?} is not of the form `name: value`")]
    Header(String),
    /// A call to a proxy's admin address failed without a response.
    #[error("{0}")]
    Call(BoxError),
    /// A call to a proxy's admin address returned an error response.
    #[error("{at} returned {status}: {reason}")]
    ErrorResponse {
        /// The address.
        at: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The error message of the response, or its body.
        reason: String,
    },
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A file is not a purge log.
    #[error("{}: not a purge log: the file signature is missing", .0.display())]
    NotAPurgeLog(PathBuf),
    /// A purge log contains a corrupt record.
    #[error(
        "{}: {valid_records} valid records, then a corrupt one at byte {offset}: {reason}",
        path.display()
    )]
    CorruptPurgeLog {
        /// The file.
        path: PathBuf,
        /// Number of valid records before the corrupt one.
        valid_records: usize,
        /// Offset of the corrupt record in the file, in bytes.
        offset: usize,
        /// Why the record is corrupt.
        reason: String,
    },
    /// A record cannot be serialized as JSON.
    #[error("{0}")]
    Json(#[from] simd_json::Error),
}
