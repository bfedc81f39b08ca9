//! Why a command fails.

use edge_proxy::config_file::{BoxError, ConfigError};
use edge_proxy::lifecycle::error::ServeError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command fails.
#[derive(Debug, Error)]
pub enum CliError {
    /// Neither an option nor the environment names a configuration.
    #[error("no configuration: give --config FILE or set NODE_CONFIG")]
    NoConfiguration,
    /// A configuration file cannot be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The process could not start.
    #[error("{0}")]
    Serve(#[from] ServeError),
    /// The asynchronous runtime could not start.
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// An argument cannot be used.
    #[error("{0}")]
    Argument(BoxError),
    /// The table of gRPC methods cannot be compiled.
    #[error("{0}")]
    GrpcRoutes(BoxError),
    /// The table of gRPC methods has no line for a path.
    #[error("{0:?}: no line of the table")]
    NoGrpcRoute(String),
    /// A header of the command line has no colon.
    #[error("{0:?} is no `name: value`")]
    Header(String),
    /// A call to a proxy's admin address had no answer.
    #[error("{0}")]
    Call(BoxError),
    /// A call to a proxy's admin address was answered with an error.
    #[error("{at} answered {status}: {reason}")]
    Answer {
        /// The address.
        at: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The reason that the answer gives.
        reason: String,
    },
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// A file is not a purge log.
    #[error("{}: not a purge log", .0.display())]
    NotAPurgeLog(PathBuf),
    /// A record of a purge log is damaged.
    #[error("{}: {complete} records whole; at byte {offset}: {reason}", path.display())]
    DamagedPurgeLog {
        /// The file.
        path: PathBuf,
        /// The complete records before it.
        complete: usize,
        /// Where it begins, in bytes from the beginning of the file.
        offset: usize,
        /// What is wrong with it.
        reason: String,
    },
    /// A record cannot be written as JSON.
    #[error("{0}")]
    Json(#[from] simd_json::Error),
}
