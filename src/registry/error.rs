//! Errors of calls to the registry.

use std::net::SocketAddr;
use thiserror::Error;

/// An error of a call to the registry.
#[derive(Debug, Error)]
#[error("registry {address}: {source}")]
pub struct RegistryError {
    /// Address of the registry.
    pub address: SocketAddr,
    /// Cause of the error.
    pub source: CallFailure,
}

/// Cause of a failed call to the registry.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The connection could not be established or was lost.
    #[error(transparent)]
    Connection(#[from] std::io::Error),
    /// The call timed out.
    #[error("no answer in time")]
    Timeout,
    /// The registry returned an HTTP status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// A watch received neither changes nor progress notifications within the timeout.
    #[error("the watch fell silent")]
    Silent,
    /// The registry canceled the watch.
    #[error("the registry ended the watch")]
    Canceled,
    /// The response is malformed or exceeds a limit.
    #[error(transparent)]
    Malformed(#[from] ProtocolError),
}

impl From<std::io::ErrorKind> for CallFailure {
    fn from(kind: std::io::ErrorKind) -> Self {
        Self::Connection(kind.into())
    }
}

/// A malformed response, or one that exceeds a limit.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The response head is not valid HTTP/1.1.
    #[error(transparent)]
    Http(#[from] httparse::Error),
    /// The response head is too long.
    #[error("an answer's head is too long")]
    HeadTooLong,
    /// The response has no valid `Content-Length`.
    #[error("no length")]
    MissingLength,
    /// The response body is too long.
    #[error("a body of {0} bytes")]
    BodyTooLong(usize),
    /// The response to a watch request is not chunked.
    #[error("a watch whose answer is not in chunks")]
    NotChunked,
    /// The chunk size is malformed.
    #[error("a chunk's size")]
    ChunkSize,
    /// The line with the chunk size is too long.
    #[error("a chunk's size line too long")]
    ChunkSizeTooLong,
    /// A chunk is too long.
    #[error("a chunk too large")]
    ChunkTooLong,
    /// A message line of a watch is too long.
    #[error("a watch line too long")]
    LineTooLong,
    /// The body is not JSON of the expected type.
    #[error(transparent)]
    Json(#[from] simd_json::Error),
    /// A key or value is not valid base64.
    #[error("base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A key is not valid UTF-8.
    #[error("a key that is not UTF-8")]
    KeyNotUtf8,
    /// The registry reported an error on a watch.
    #[error("the watch failed: {0}")]
    WatchFailed(String),
    /// A message of a watch has no result.
    #[error("a line without a result")]
    MissingResult,
}
