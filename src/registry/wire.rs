//! The registry's published wire form: etcd's v3 API through its JSON gateway, HTTP/1.1. Keys and values are
//! base64, 64-bit numbers are JSON strings; a watch is one long answer in chunks, a JSON object a line.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /v3/kv/range` | `{"key", "range_end"}` | `{"header":{"revision"}, "kvs":[{"key","value","mod_revision"}]}` |
//! | `POST /v3/watch` | `{"create_request":{"key","range_end","start_revision","progress_notify"}}` | chunks of `{"result":{"header","created"|"events"|"canceled","compact_revision"}}` |
//!
//! Every read is bounded: an answer's head, a line of the watch, a range's body.

use super::view::{Change, Kv};
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The largest answer to a range, in bytes.
pub const MAX_RANGE: usize = 16 << 20;
/// The longest line of a watch, in bytes.
pub const MAX_LINE: usize = 4 << 20;
/// The longest head of an answer, in bytes.
const MAX_HEAD: usize = 16_384;

/// Why a call to the registry failed.
#[derive(Debug, Error)]
pub enum RegistryError {
    /// No connection, or it broke.
    #[error("registry {0}: {1}")]
    Socket(SocketAddr, std::io::Error),
    /// A watch told nothing for too long, or the registry ended it.
    #[error("registry {0}: {1}")]
    Broken(SocketAddr, &'static str),
    /// Nothing came in time.
    #[error("registry {0}: no answer in time")]
    Timeout(SocketAddr),
    /// It answered with another status.
    #[error("registry {0}: status {1}")]
    Status(SocketAddr, u16),
    /// What it sent can't be read.
    #[error("registry {0}: {1}")]
    Garbage(SocketAddr, String),
}

fn number<'de, D: Deserializer<'de>>(d: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(String),
        Number(i64),
    }
    match Option::<Either>::deserialize(d)? {
        None => Ok(0),
        Some(Either::Number(n)) => Ok(n),
        Some(Either::Text(text)) => text.parse().map_err(serde::de::Error::custom),
    }
}

#[derive(Debug, Default, Deserialize)]
struct Header {
    #[serde(default, deserialize_with = "number")]
    revision: i64,
}

#[derive(Debug, Deserialize)]
struct WireKv {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "number")]
    mod_revision: i64,
}

#[derive(Debug, Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<WireKv>,
}

#[derive(Debug, Deserialize)]
struct WireEvent {
    #[serde(default, rename = "type")]
    kind: Option<String>,
    kv: WireKv,
}

#[derive(Debug, Deserialize)]
struct WatchResult {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default, deserialize_with = "number")]
    compact_revision: i64,
    #[serde(default)]
    events: Vec<WireEvent>,
}

#[derive(Debug, Deserialize)]
struct WatchLine {
    result: Option<WatchResult>,
    error: Option<simd_json::OwnedValue>,
}

/// What a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The watch stands, from the revision asked for; the registry itself stands at this one.
    Created(i64),
    /// Changes, up to the revision.
    Changes(i64, Vec<Change>),
    /// Nothing changed up to the revision: the link works.
    Progress(i64),
    /// The revisions asked for were compacted away, up to this one.
    Compacted(i64),
    /// The registry ended the watch for another reason.
    Canceled,
}

fn decode(addr: SocketAddr, text: &str) -> Result<String, RegistryError> {
    let bytes = STANDARD.decode(text).map_err(|e| RegistryError::Garbage(addr, format!("base64: {e}")))?;
    String::from_utf8(bytes).map_err(|_| RegistryError::Garbage(addr, "a key that is not UTF-8".into()))
}

fn kv(addr: SocketAddr, wire: WireKv) -> Result<Kv, RegistryError> {
    let value =
        STANDARD.decode(&wire.value).map_err(|e| RegistryError::Garbage(addr, format!("base64: {e}")))?;
    Ok(Kv { key: decode(addr, &wire.key)?, value, mod_revision: wire.mod_revision })
}

/// The end of a prefix's range, as etcd takes it: the prefix with its last byte one higher.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn request(addr: SocketAddr, target: &str, body: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A connection whose answer is read bit by bit.
struct Answer {
    addr: SocketAddr,
    stream: TcpStream,
    buf: Vec<u8>,
    chunked: bool,
    length: Option<usize>,
}

impl Answer {
    async fn open(addr: SocketAddr, text: String, within: Duration) -> Result<Self, RegistryError> {
        let connect = tokio::time::timeout(within, TcpStream::connect(addr));
        let mut stream = connect
            .await
            .map_err(|_| RegistryError::Timeout(addr))?
            .map_err(|e| RegistryError::Socket(addr, e))?;
        let _ = stream.set_nodelay(true);
        stream.write_all(text.as_bytes()).await.map_err(|e| RegistryError::Socket(addr, e))?;
        let mut answer = Self { addr, stream, buf: Vec::new(), chunked: false, length: None };
        let head =
            tokio::time::timeout(within, answer.head()).await.map_err(|_| RegistryError::Timeout(addr))??;
        let (status, chunked, length) = head;
        if status != 200 {
            return Err(RegistryError::Status(addr, status));
        }
        (answer.chunked, answer.length) = (chunked, length);
        Ok(answer)
    }

    async fn fill(&mut self) -> Result<(), RegistryError> {
        let mut chunk = [0u8; 16_384];
        let n = self.stream.read(&mut chunk).await.map_err(|e| RegistryError::Socket(self.addr, e))?;
        if n == 0 {
            let closed = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
            return Err(RegistryError::Socket(self.addr, closed));
        }
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(())
    }

    async fn head(&mut self) -> Result<(u16, bool, Option<usize>), RegistryError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            let parsed =
                response.parse(&self.buf).map_err(|e| RegistryError::Garbage(self.addr, e.to_string()))?;
            if let httparse::Status::Complete(end) = parsed {
                let status = response.code.unwrap_or(0);
                let value = |name: &str| {
                    response
                        .headers
                        .iter()
                        .find(|h| h.name.eq_ignore_ascii_case(name))
                        .map(|h| h.value.to_vec())
                };
                let chunked = value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case(b"chunked"));
                let length =
                    value("content-length").and_then(|v| String::from_utf8(v).ok()?.trim().parse().ok());
                self.buf.drain(..end);
                return Ok((status, chunked, length));
            }
            if self.buf.len() > MAX_HEAD {
                return Err(RegistryError::Garbage(self.addr, "an answer's head is too long".into()));
            }
            self.fill().await?;
        }
    }

    /// The whole body of an answer with a length.
    async fn body(&mut self, most: usize) -> Result<Vec<u8>, RegistryError> {
        let length = self.length.ok_or_else(|| RegistryError::Garbage(self.addr, "no length".into()))?;
        if length > most {
            return Err(RegistryError::Garbage(self.addr, format!("a body of {length} bytes")));
        }
        while self.buf.len() < length {
            self.fill().await?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// The next chunk's data of a chunked answer; an empty one at its end.
    async fn chunk(&mut self) -> Result<Vec<u8>, RegistryError> {
        let addr = self.addr;
        let garbage = move |reason: &str| RegistryError::Garbage(addr, reason.to_string());
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let size = std::str::from_utf8(&self.buf[..end]).map_err(|_| garbage("a chunk's size"))?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| garbage("a chunk's size"))?;
                if size > MAX_LINE {
                    return Err(garbage("a chunk too large"));
                }
                if self.buf.len() >= end + 2 + size + 2 {
                    let data: Vec<u8> = self.buf[end + 2..end + 2 + size].to_vec();
                    self.buf.drain(..end + 4 + size);
                    return Ok(data);
                }
            } else if self.buf.len() > 64 {
                return Err(garbage("a chunk's size line too long"));
            }
            self.fill().await?;
        }
    }
}

/// Reads every key under a prefix, with the revision at which the read stands.
pub async fn range(
    addr: SocketAddr,
    prefix: &str,
    within: Duration,
) -> Result<(i64, Vec<Kv>), RegistryError> {
    let body = format!(
        r#"{{"key":"{}","range_end":"{}"}}"#,
        STANDARD.encode(prefix),
        STANDARD.encode(range_end(prefix))
    );
    let read = async {
        let mut answer = Answer::open(addr, request(addr, "/v3/kv/range", &body), within).await?;
        let mut bytes = answer.body(MAX_RANGE).await?;
        let parsed: RangeAnswer =
            simd_json::from_slice(&mut bytes).map_err(|e| RegistryError::Garbage(addr, e.to_string()))?;
        let kvs = parsed.kvs.into_iter().map(|w| kv(addr, w)).collect::<Result<Vec<_>, _>>()?;
        Ok((parsed.header.revision, kvs))
    };
    tokio::time::timeout(within, read).await.map_err(|_| RegistryError::Timeout(addr))?
}

/// A watch that stands.
pub struct Watch {
    answer: Answer,
    lines: Vec<u8>,
}

impl Watch {
    /// Asks for the changes under a prefix from `start_revision` on, with progress notes.
    pub async fn open(
        addr: SocketAddr,
        prefix: &str,
        start: i64,
        within: Duration,
    ) -> Result<Self, RegistryError> {
        let body = format!(
            r#"{{"create_request":{{"key":"{}","range_end":"{}","start_revision":"{start}","progress_notify":true}}}}"#,
            STANDARD.encode(prefix),
            STANDARD.encode(range_end(prefix))
        );
        let answer = Answer::open(addr, request(addr, "/v3/watch", &body), within).await?;
        if !answer.chunked {
            return Err(RegistryError::Garbage(addr, "a watch whose answer is not in chunks".into()));
        }
        Ok(Self { answer, lines: Vec::new() })
    }

    /// The next thing the watch tells; waits for it as long as it takes. An error ends the watch.
    pub async fn next(&mut self) -> Result<Told, RegistryError> {
        let addr = self.answer.addr;
        loop {
            if let Some(end) = self.lines.iter().position(|b| *b == b'\n') {
                let mut line: Vec<u8> = self.lines.drain(..=end).collect();
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return parse(addr, &mut line);
            }
            if self.lines.len() > MAX_LINE {
                return Err(RegistryError::Garbage(addr, "a watch line too long".into()));
            }
            let data = self.answer.chunk().await?;
            if data.is_empty() {
                let ended = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
                return Err(RegistryError::Socket(addr, ended));
            }
            self.lines.extend_from_slice(&data);
        }
    }
}

fn parse(addr: SocketAddr, line: &mut [u8]) -> Result<Told, RegistryError> {
    let parsed: WatchLine =
        simd_json::from_slice(line).map_err(|e| RegistryError::Garbage(addr, e.to_string()))?;
    if let Some(error) = parsed.error {
        return Err(RegistryError::Garbage(addr, format!("the watch failed: {error}")));
    }
    let result =
        parsed.result.ok_or_else(|| RegistryError::Garbage(addr, "a line without a result".into()))?;
    if result.canceled {
        return Ok(match result.compact_revision {
            0 => Told::Canceled,
            at => Told::Compacted(at),
        });
    }
    if result.created {
        return Ok(Told::Created(result.header.revision));
    }
    if result.events.is_empty() {
        return Ok(Told::Progress(result.header.revision));
    }
    let mut changes = Vec::with_capacity(result.events.len());
    for event in result.events {
        let deleted = event.kind.as_deref() == Some("DELETE");
        let kv = kv(addr, event.kv)?;
        changes.push(if deleted {
            Change::Delete { key: kv.key, revision: kv.mod_revision }
        } else {
            Change::Put(kv)
        });
    }
    Ok(Told::Changes(result.header.revision, changes))
}

#[cfg(test)]
mod tests;
