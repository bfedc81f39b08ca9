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
    #[error("call timed out")]
    Timeout,
    /// The registry returned an HTTP status other than 200.
    #[error("unexpected HTTP status {0}")]
    Status(u16),
    /// A watch received neither changes nor progress notifications within the timeout.
    #[error("no watch message within the idle timeout")]
    WatchIdle,
    /// The registry canceled the watch.
    #[error("the registry canceled the watch")]
    WatchCanceled,
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
    MalformedHead(#[from] httparse::Error),
    /// The response head is too long.
    #[error("response head too long")]
    HeadTooLong,
    /// The response has no valid `Content-Length`.
    #[error("response has no valid Content-Length header")]
    MissingLength,
    /// The response body is too long.
    #[error("response body too long: {0} bytes")]
    BodyTooLong(usize),
    /// The response to a watch request lacks `Transfer-Encoding: chunked`.
    #[error("response to a watch request is not chunked")]
    NotChunked,
    /// The chunk size is malformed.
    #[error("malformed chunk size")]
    MalformedChunkSize,
    /// The line with the chunk size is too long.
    #[error("chunk size line too long")]
    ChunkSizeLineTooLong,
    /// A chunk is too long.
    #[error("chunk too long")]
    ChunkTooLong,
    /// A message line of a watch is too long.
    #[error("watch message too long")]
    WatchLineTooLong,
    /// The body is not JSON of the expected type.
    #[error(transparent)]
    Json(#[from] simd_json::Error),
    /// A key or value is not valid base64.
    #[error("invalid base64 in a key or value: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A key is not valid UTF-8.
    #[error("key is not valid UTF-8")]
    KeyNotUtf8,
    /// The registry reported an error on a watch.
    #[error("the registry reported an error on the watch: {0}")]
    WatchFailed(String),
    /// A message of a watch has neither a result nor an error.
    #[error("watch message has neither `result` nor `error`")]
    MissingResult,
}
