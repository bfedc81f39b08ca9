//! Runs a single health check of an endpoint.

use super::config::CheckKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of response bytes after which the check fails if the status is not known.
const MAX_RESPONSE_BYTES: usize = 1_024;
/// Maximum number of response headers that are parsed.
const MAX_HEADERS: usize = 32;

/// Checks the endpoint at `address` and returns whether the check passed. Errors and timeouts are failures.
pub async fn check(address: SocketAddr, kind: &CheckKind, check_timeout: Duration) -> bool {
    let attempt = async {
        let stream = TcpStream::connect(address).await?;
        match kind {
            CheckKind::Connect => Ok(true),
            CheckKind::Http(path) => check_http(stream, address, path).await,
        }
    };
    matches!(timeout(check_timeout, attempt).await, Ok(Ok(true)))
}

/// Sends a `GET` request and returns whether the response has a 2xx status.
async fn check_http(mut stream: TcpStream, address: SocketAddr, path: &str) -> std::io::Result<bool> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut received = Vec::new();
    while received.len() < MAX_RESPONSE_BYTES {
        if let Some(status) = parse_status(&received) {
            return Ok((200..300).contains(&status));
        }
        if stream.read_buf(&mut received).await? == 0 {
            return Ok(false);
        }
    }
    Ok(false)
}

/// Parses the status of a response whose headers may be incomplete.
fn parse_status(received: &[u8]) -> Option<u16> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    // The parser sets the status before it parses the headers, so the result is ignored: headers may be
    // incomplete or too many.
    let _ = response.parse(received);
    response.code
}
