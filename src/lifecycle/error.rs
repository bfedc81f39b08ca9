//! Errors that prevent the process from starting.

use crate::config_file::BoxError;
use crate::purge::log::LogError;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that prevents the process from starting.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A value of the configuration is invalid.
    #[error("field `{field}`: {source}")]
    Field {
        /// The field.
        field: &'static str,
        /// What is wrong with its value.
        source: BoxError,
    },
    /// A socket cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The inherited listening socket cannot be used.
    #[error("cannot use the inherited listening socket: {0}")]
    InheritedSocket(#[source] std::io::Error),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] std::io::Error),
    /// The purge log cannot be used.
    #[error("{0}")]
    PurgeLog(#[from] LogError),
}

impl ServeError {
    /// Returns a closure that wraps a cause as an error of the field `field`, for `map_err`.
    pub fn field<E: Into<BoxError>>(field: &'static str) -> impl Fn(E) -> Self {
        move |source| Self::Field { field, source: source.into() }
    }
}
