//! A minimal HTTP/1.1 client for JSON calls: one request per connection, with a timeout for the whole call.

use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of a response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 32;
/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16_384;

/// A call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was established in time.
    #[error("connecting to {0} timed out")]
    ConnectTimeout(SocketAddr),
    /// The connection failed.
    #[error("{address}: {source}")]
    Connection {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// No complete response arrived in time.
    #[error("the response from {0} timed out")]
    Timeout(SocketAddr),
    /// The response is larger than [`MAX_RESPONSE_BYTES`].
    #[error("the response from {0} exceeds {MAX_RESPONSE_BYTES} bytes")]
    TooLarge(SocketAddr),
    /// The response is malformed, or the connection ended before it was complete.
    #[error("the response from {0} is malformed or incomplete")]
    Malformed(SocketAddr),
}

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends one request and reads its response. `timeout` bounds the whole call.
pub async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Response, CallError> {
    let deadline = tokio::time::Instant::now() + timeout;
    let mut stream = tokio::time::timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::ConnectTimeout(address))?
        .map_err(|source| CallError::Connection { address, source })?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let exchange = exchange(&mut stream, address, head.as_bytes(), body);
    tokio::time::timeout_at(deadline, exchange).await.map_err(|_| CallError::Timeout(address))?
}

/// Writes a request and reads until its response is complete.
async fn exchange(
    stream: &mut TcpStream,
    address: SocketAddr,
    head: &[u8],
    body: &[u8],
) -> Result<Response, CallError> {
    let connection_error = |source| CallError::Connection { address, source };
    stream.write_all(head).await.map_err(connection_error)?;
    stream.write_all(body).await.map_err(connection_error)?;
    let mut received = Vec::new();
    let mut buffer = [0u8; READ_BUFFER_BYTES];
    loop {
        let n = stream.read(&mut buffer).await.map_err(connection_error)?;
        if n == 0 {
            return Err(CallError::Malformed(address));
        }
        received.extend_from_slice(&buffer[..n]);
        if received.len() > MAX_RESPONSE_BYTES {
            return Err(CallError::TooLarge(address));
        }
        if let Some(response) = parse_complete(&received) {
            return Ok(response);
        }
    }
}

/// Returns the response once its head and whole body have arrived. Only responses with `Content-Length` are
/// supported.
fn parse_complete(received: &[u8]) -> Option<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(start) = response.parse(received).ok()? else { return None };
    let status = response.code?;
    let length = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"))?;
    let length: usize = std::str::from_utf8(length.value).ok()?.trim().parse().ok()?;
    let body = received.get(start..start.checked_add(length)?)?;
    Some(Response { status, body: body.to_vec() })
}

#[cfg(test)]
mod tests;
