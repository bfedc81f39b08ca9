//! Client for two calls of etcd's v3 JSON gateway, each on an HTTP/1.1 connection of its own: range, which
//! reads all keys with a prefix, and watch, whose messages arrive in a chunked response. The sizes of
//! response heads, range bodies and watch lines are limited.

use super::codec::{
    decode_range, decode_watch_line, range_request, watch_request, RangeResponse, WatchResponse,
};
use super::error::{CallFailure, ProtocolError, RegistryError};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum size of the response body of a range call, in bytes.
pub const MAX_RANGE_BODY_BYTES: usize = 16 << 20;
/// Maximum length of a line and of a chunk in a watch response, in bytes.
pub const MAX_WATCH_LINE_BYTES: usize = 4 << 20;
/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;
/// Maximum number of response headers.
const MAX_HEADERS: usize = 32;
/// Maximum length of the first line of a chunk, which contains its size, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 64;
/// Size of the buffer for one read from the socket, in bytes.
const READ_BUFFER_BYTES: usize = 16_384;
const CRLF: &[u8] = b"\r\n";

/// Reads all keys with a prefix. `call_timeout` limits the whole call.
pub async fn read_range(
    address: SocketAddr,
    prefix: &str,
    call_timeout: Duration,
) -> Result<RangeResponse, RegistryError> {
    let read = async {
        let request = post_request(address, "/v3/kv/range", &range_request(prefix));
        let mut response = Response::open(address, request, call_timeout).await?;
        let mut body = response.read_body(MAX_RANGE_BODY_BYTES).await?;
        Ok(decode_range(&mut body)?)
    };
    let result = timeout(call_timeout, read).await.unwrap_or(Err(CallFailure::Timeout));
    result.map_err(|source| RegistryError { address, source })
}

/// An open watch of all keys with a prefix.
pub struct Watch {
    address: SocketAddr,
    response: Response,
    /// Body bytes that were received but not yet decoded.
    unparsed: Vec<u8>,
}

impl Watch {
    /// Opens a watch for changes from a revision on. `call_timeout` applies separately to connecting
    /// and to reading the response head.
    pub async fn open(
        address: SocketAddr,
        prefix: &str,
        from_revision: i64,
        call_timeout: Duration,
    ) -> Result<Self, RegistryError> {
        let request = post_request(address, "/v3/watch", &watch_request(prefix, from_revision));
        let opened = Response::open(address, request, call_timeout).await;
        let response = opened.and_then(|response| match response.chunked {
            true => Ok(response),
            false => Err(ProtocolError::NotChunked.into()),
        });
        let response = response.map_err(|source| RegistryError { address, source })?;
        Ok(Self { address, response, unparsed: Vec::new() })
    }

    /// Waits for the next message, without a timeout. The watch can't be used after an error.
    pub async fn next(&mut self) -> Result<WatchResponse, RegistryError> {
        let address = self.address;
        self.next_response().await.map_err(|source| RegistryError { address, source })
    }

    async fn next_response(&mut self) -> Result<WatchResponse, CallFailure> {
        loop {
            if let Some(end) = self.unparsed.iter().position(|byte| *byte == b'\n') {
                let mut line: Vec<u8> = self.unparsed.drain(..=end).collect();
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return Ok(decode_watch_line(&mut line)?);
            }
            if self.unparsed.len() > MAX_WATCH_LINE_BYTES {
                return Err(ProtocolError::WatchLineTooLong.into());
            }
            let chunk = self.response.read_chunk().await?;
            if chunk.is_empty() {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.unparsed.extend_from_slice(&chunk);
        }
    }
}

fn post_request(address: SocketAddr, target: &str, body: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Fields of a response head that the client uses.
struct Head {
    status: u16,
    chunked: bool,
    content_length: Option<usize>,
}

/// A response whose head has been read or is being read; the body is read on demand.
struct Response {
    stream: TcpStream,
    received: Vec<u8>,
    chunked: bool,
    content_length: Option<usize>,
}

impl Response {
    /// Connects, sends a request and reads the response head. Fails unless the status is 200.
    async fn open(address: SocketAddr, request: String, call_timeout: Duration) -> Result<Self, CallFailure> {
        let connect = timeout(call_timeout, TcpStream::connect(address));
        let mut stream = connect.await.map_err(|_| CallFailure::Timeout)??;
        let _ = stream.set_nodelay(true);
        stream.write_all(request.as_bytes()).await?;
        let mut response = Self { stream, received: Vec::new(), chunked: false, content_length: None };
        let head = timeout(call_timeout, response.read_head()).await.map_err(|_| CallFailure::Timeout)??;
        if head.status != 200 {
            return Err(CallFailure::Status(head.status));
        }
        Ok(Self { chunked: head.chunked, content_length: head.content_length, ..response })
    }

    async fn fill_buffer(&mut self) -> Result<(), CallFailure> {
        let mut buffer = [0u8; READ_BUFFER_BYTES];
        let n = self.stream.read(&mut buffer).await?;
        if n == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.received.extend_from_slice(&buffer[..n]);
        Ok(())
    }

    async fn read_head(&mut self) -> Result<Head, CallFailure> {
        loop {
            if let Some((head, length)) = parse_head(&self.received)? {
                self.received.drain(..length);
                return Ok(head);
            }
            if self.received.len() > MAX_HEAD_BYTES {
                return Err(ProtocolError::HeadTooLong.into());
            }
            self.fill_buffer().await?;
        }
    }

    /// Reads the whole body of a response with a `Content-Length`.
    async fn read_body(&mut self, max_length: usize) -> Result<Vec<u8>, CallFailure> {
        let length = self.content_length.ok_or(ProtocolError::MissingLength)?;
        if length > max_length {
            return Err(ProtocolError::BodyTooLong(length).into());
        }
        while self.received.len() < length {
            self.fill_buffer().await?;
        }
        Ok(self.received.drain(..length).collect())
    }

    /// Reads the next chunk of a chunked response. An empty chunk marks the end of the body.
    async fn read_chunk(&mut self) -> Result<Vec<u8>, CallFailure> {
        loop {
            if let Some(chunk) = self.take_chunk()? {
                return Ok(chunk);
            }
            self.fill_buffer().await?;
        }
    }

    /// Removes the first chunk from the received bytes if it is complete.
    fn take_chunk(&mut self) -> Result<Option<Vec<u8>>, ProtocolError> {
        let Some(size_end) = self.received.windows(CRLF.len()).position(|window| window == CRLF) else {
            return match self.received.len() > MAX_CHUNK_SIZE_LINE_BYTES {
                true => Err(ProtocolError::ChunkSizeLineTooLong),
                false => Ok(None),
            };
        };
        let size = parse_chunk_size(&self.received[..size_end])?;
        if size > MAX_WATCH_LINE_BYTES {
            return Err(ProtocolError::ChunkTooLong);
        }
        let start = size_end + CRLF.len();
        let end = start + size + CRLF.len();
        if self.received.len() < end {
            return Ok(None);
        }
        let chunk = self.received[start..start + size].to_vec();
        self.received.drain(..end);
        Ok(Some(chunk))
    }
}

/// Parses a response head if it is complete, and returns it with its length in bytes.
fn parse_head(received: &[u8]) -> Result<Option<(Head, usize)>, ProtocolError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = response.parse(received)? else { return Ok(None) };
    let value = |name: &str| {
        response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(|h| h.value)
    };
    let head = Head {
        status: response.code.unwrap_or(0),
        chunked: value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case(b"chunked")),
        content_length: value("content-length")
            .and_then(|v| std::str::from_utf8(v).ok()?.trim().parse().ok()),
    };
    Ok(Some((head, length)))
}

/// Parses the hexadecimal size on the first line of a chunk. Ignores chunk extensions, which follow a `;`.
fn parse_chunk_size(line: &[u8]) -> Result<usize, ProtocolError> {
    let line = std::str::from_utf8(line).map_err(|_| ProtocolError::MalformedChunkSize)?;
    let digits = line.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(digits, 16).map_err(|_| ProtocolError::MalformedChunkSize)
}
