//! Errors of calls to the registry.

use std::net::SocketAddr;
use thiserror::Error;

/// A call to the registry that failed.
#[derive(Debug, Error)]
#[error("registry {address}: {source}")]
pub struct RegistryError {
    /// The address of the registry.
    pub address: SocketAddr,
    /// What failed.
    pub source: CallFailure,
}

/// What failed in a call to the registry.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// No connection was established, or it broke.
    #[error(transparent)]
    Connection(#[from] std::io::Error),
    /// The call was not complete in time.
    #[error("no answer in time")]
    Timeout,
    /// The registry answered with an error status.
    #[error("status {0}")]
    Status(u16),
    /// A watch had neither changes nor progress notifications for too long.
    #[error("the watch fell silent")]
    Silent,
    /// The registry ended a watch.
    #[error("the registry ended the watch")]
    Canceled,
    /// The answer is malformed or beyond its bounds.
    #[error(transparent)]
    Malformed(#[from] ProtocolError),
}

impl From<std::io::ErrorKind> for CallFailure {
    fn from(kind: std::io::ErrorKind) -> Self {
        Self::Connection(kind.into())
    }
}

/// An answer that is malformed or beyond its bounds.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The head is no HTTP/1.1.
    #[error(transparent)]
    Http(#[from] httparse::Error),
    /// The head is too long.
    #[error("an answer's head is too long")]
    HeadTooLong,
    /// The answer has no `Content-Length`.
    #[error("no length")]
    MissingLength,
    /// The body is too long.
    #[error("a body of {0} bytes")]
    BodyTooLong(usize),
    /// The answer to a watch is not chunked.
    #[error("a watch whose answer is not in chunks")]
    NotChunked,
    /// The size of a chunk is malformed.
    #[error("a chunk's size")]
    ChunkSize,
    /// The line with the size of a chunk is too long.
    #[error("a chunk's size line too long")]
    ChunkSizeTooLong,
    /// A chunk is too long.
    #[error("a chunk too large")]
    ChunkTooLong,
    /// A line of a watch is too long.
    #[error("a watch line too long")]
    LineTooLong,
    /// The body is no JSON of the expected type.
    #[error(transparent)]
    Json(#[from] simd_json::Error),
    /// A key or value is not base64.
    #[error("base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A key is not UTF-8.
    #[error("a key that is not UTF-8")]
    KeyNotUtf8,
    /// The registry reported an error on a watch.
    #[error("the watch failed: {0}")]
    WatchFailed(String),
    /// A line of a watch has no result.
    #[error("a line without a result")]
    MissingResult,
}
