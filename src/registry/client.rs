//! Calls of etcd's v3 API over HTTP/1.1, one on a connection: the read of a prefix, and a watch, which is one long
//! chunked answer. Every read is bounded: the head of an answer, a line of a watch, the body of a range.

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

/// The largest answer to a range call, in bytes.
pub const MAX_RANGE: usize = 16 << 20;
/// The longest line of a watch, in bytes.
pub const MAX_LINE: usize = 4 << 20;
/// The longest head of an answer, in bytes.
const MAX_HEAD: usize = 16_384;
/// The most headers of an answer.
const MAX_HEADERS: usize = 32;
/// The longest line with the size of a chunk, in bytes.
const MAX_CHUNK_SIZE_LINE: usize = 64;
/// Bytes read at once.
const READ_BUFFER: usize = 16_384;
/// The end of a line in HTTP/1.1.
const CRLF: &[u8] = b"\r\n";

/// Reads every key under a prefix. `call_timeout` bounds the whole call.
pub async fn read_range(
    address: SocketAddr,
    prefix: &str,
    call_timeout: Duration,
) -> Result<RangeResponse, RegistryError> {
    let read = async {
        let request = post(address, "/v3/kv/range", &range_request(prefix));
        let mut answer = Answer::open(address, request, call_timeout).await?;
        let mut body = answer.body(MAX_RANGE).await?;
        Ok(decode_range(&mut body)?)
    };
    let result = timeout(call_timeout, read).await.unwrap_or(Err(CallFailure::Timeout));
    result.map_err(|source| RegistryError { address, source })
}

/// A watch of a prefix.
pub struct Watch {
    address: SocketAddr,
    answer: Answer,
    /// Received bytes of lines that were not yet returned.
    lines: Vec<u8>,
}

impl Watch {
    /// Opens a watch for the changes from a revision on. `call_timeout` bounds the connection and the answer's head,
    /// each.
    pub async fn open(
        address: SocketAddr,
        prefix: &str,
        from_revision: i64,
        call_timeout: Duration,
    ) -> Result<Self, RegistryError> {
        let request = post(address, "/v3/watch", &watch_request(prefix, from_revision));
        let opened = Answer::open(address, request, call_timeout).await;
        let answer = opened.and_then(|answer| match answer.chunked {
            true => Ok(answer),
            false => Err(ProtocolError::NotChunked.into()),
        });
        let answer = answer.map_err(|source| RegistryError { address, source })?;
        Ok(Self { address, answer, lines: Vec::new() })
    }

    /// Waits for the next message, without a time-out. An error ends the watch.
    pub async fn next(&mut self) -> Result<WatchResponse, RegistryError> {
        let address = self.address;
        self.next_line().await.map_err(|source| RegistryError { address, source })
    }

    async fn next_line(&mut self) -> Result<WatchResponse, CallFailure> {
        loop {
            if let Some(end) = self.lines.iter().position(|byte| *byte == b'\n') {
                let mut line: Vec<u8> = self.lines.drain(..=end).collect();
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return Ok(decode_watch_line(&mut line)?);
            }
            if self.lines.len() > MAX_LINE {
                return Err(ProtocolError::LineTooLong.into());
            }
            let chunk = self.answer.chunk().await?;
            if chunk.is_empty() {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.lines.extend_from_slice(&chunk);
        }
    }
}

fn post(address: SocketAddr, target: &str, body: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The parts of an answer's head that are used.
struct Head {
    status: u16,
    chunked: bool,
    content_length: Option<usize>,
}

/// An answer, read as it arrives.
struct Answer {
    stream: TcpStream,
    received: Vec<u8>,
    chunked: bool,
    content_length: Option<usize>,
}

impl Answer {
    /// Sends a request and reads the head of its answer.
    async fn open(address: SocketAddr, request: String, call_timeout: Duration) -> Result<Self, CallFailure> {
        let connect = timeout(call_timeout, TcpStream::connect(address));
        let mut stream = connect.await.map_err(|_| CallFailure::Timeout)??;
        let _ = stream.set_nodelay(true);
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Self { stream, received: Vec::new(), chunked: false, content_length: None };
        let head = timeout(call_timeout, answer.head()).await.map_err(|_| CallFailure::Timeout)??;
        if head.status != 200 {
            return Err(CallFailure::Status(head.status));
        }
        Ok(Self { chunked: head.chunked, content_length: head.content_length, ..answer })
    }

    async fn receive(&mut self) -> Result<(), CallFailure> {
        let mut buffer = [0u8; READ_BUFFER];
        let n = self.stream.read(&mut buffer).await?;
        if n == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.received.extend_from_slice(&buffer[..n]);
        Ok(())
    }

    async fn head(&mut self) -> Result<Head, CallFailure> {
        loop {
            if let Some((head, length)) = parse_head(&self.received)? {
                self.received.drain(..length);
                return Ok(head);
            }
            if self.received.len() > MAX_HEAD {
                return Err(ProtocolError::HeadTooLong.into());
            }
            self.receive().await?;
        }
    }

    /// The whole body of an answer with a length.
    async fn body(&mut self, max_length: usize) -> Result<Vec<u8>, CallFailure> {
        let length = self.content_length.ok_or(ProtocolError::MissingLength)?;
        if length > max_length {
            return Err(ProtocolError::BodyTooLong(length).into());
        }
        while self.received.len() < length {
            self.receive().await?;
        }
        Ok(self.received.drain(..length).collect())
    }

    /// The next chunk of a chunked answer; an empty one at its end.
    async fn chunk(&mut self) -> Result<Vec<u8>, CallFailure> {
        loop {
            if let Some(chunk) = self.take_chunk()? {
                return Ok(chunk);
            }
            self.receive().await?;
        }
    }

    /// Takes a chunk from the received bytes, once it is complete.
    fn take_chunk(&mut self) -> Result<Option<Vec<u8>>, ProtocolError> {
        let Some(size_end) = self.received.windows(CRLF.len()).position(|window| window == CRLF) else {
            return match self.received.len() > MAX_CHUNK_SIZE_LINE {
                true => Err(ProtocolError::ChunkSizeTooLong),
                false => Ok(None),
            };
        };
        let size = chunk_size(&self.received[..size_end])?;
        if size > MAX_LINE {
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

/// Parses the head of an answer, once it is complete; returns it with its length in bytes.
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

/// Parses the line with the size of a chunk, in hex; extensions after `;` are ignored.
fn chunk_size(line: &[u8]) -> Result<usize, ProtocolError> {
    let line = std::str::from_utf8(line).map_err(|_| ProtocolError::ChunkSize)?;
    let digits = line.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(digits, 16).map_err(|_| ProtocolError::ChunkSize)
}
