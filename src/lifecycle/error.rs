//! Why a process cannot start.

use crate::config_file::BoxError;
use crate::purge::log::LogError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a process cannot start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A value of the configuration cannot be used.
    #[error("field `{field}`: {source}")]
    Field {
        /// The field.
        field: &'static str,
        /// What is wrong with its value.
        source: BoxError,
    },
    /// An address cannot be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The listening socket that the platform hands over cannot be used.
    #[error("the socket that was handed over: {0}")]
    HandedOverSocket(#[source] std::io::Error),
    /// The signals of the process cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] std::io::Error),
    /// The purge log cannot be used.
    #[error("{0}")]
    PurgeLog(#[from] LogError),
}

impl ServeError {
    /// Makes an error of the field `field` from its cause, for `map_err`.
    pub fn field<E: Into<BoxError>>(field: &'static str) -> impl Fn(E) -> Self {
        move |source| Self::Field { field, source: source.into() }
    }
}
