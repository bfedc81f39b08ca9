//! What purges say on the wire: JSON bodies over HTTP/1.1, one call on a connection.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /purges` | [`Submit`] | 200 [`Submitted`]; 400 [`Fault`] for a bad selector; 409 where this is no leader; 500 where the log can't be written |
//! | `GET /purges` | | 200 the status of this proxy's purges |
//! | `GET /purges/log?from=N&most=M` | | 200 [`Listing`] of the purges held from `N` on |
//! | `POST /purges/apply` | [`Batch`] | 200 [`Ack`]; 400 for a batch that can't be read; 409 at a leader |
//!
//! The leader calls `POST /purges/apply` on every target, proxies at their second address and boxes at the
//! address that the operator file gives. A target applies the purges that follow what it has, in order, skips
//! those it has, and answers with the highest number that it has applied; it takes nothing after a gap.

use super::active_purges::{Mark, Purge};
use super::selector::Selector;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The largest answer that a call reads, in bytes.
pub const MAX_ANSWER: usize = 4 << 20;
/// The largest body of a purge call that a proxy takes, in bytes: a batch of 256 purges of the longest kind.
pub const MAX_CALL: usize = 262_144;

/// A purge to issue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// What it removes.
    pub sel: Selector,
}

/// The number and time that a purge was given.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submitted {
    /// Its number.
    pub seq: u64,
    /// Its issue time, Unix milliseconds.
    pub issued_ms: f64,
}

/// Purges in order, from the leader to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The leader's name.
    pub leader: String,
    /// The number of the first purge in `entries`, or what would be.
    pub from: u64,
    /// The fleet's `done` mark: every target has applied all up to it.
    pub done: u64,
    /// In place of the purges before `from`, which the leader no longer holds: every copy given out until
    /// the floor's time is to go.
    #[serde(default)]
    pub floor: Option<Mark>,
    /// The purges, in order.
    pub entries: Vec<Purge>,
}

/// A target's answer to a batch.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// The highest number that it has applied, all before it included.
    pub applied: u64,
}

/// The purges held, for `purge list`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The purges, in order.
    pub entries: Vec<Purge>,
    /// The highest number given out or applied.
    pub last: u64,
}

/// What went wrong with a call, in its answer's body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// A sentence.
    pub error: String,
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection came up in time.
    #[error("no connection to {0} in time")]
    ConnectTimeout(SocketAddr),
    /// The connection failed.
    #[error("{0}: {1}")]
    Socket(SocketAddr, std::io::Error),
    /// No whole answer came in time.
    #[error("no whole answer from {0} in time")]
    Timeout(SocketAddr),
    /// The answer can't be read.
    #[error("{0} answered what can't be read: {1}")]
    Malformed(SocketAddr, &'static str),
}

/// An answer: its status and body.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Writes a value as JSON.
pub fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    simd_json::to_vec(value).expect("these types always serialize")
}

/// Reads a value from JSON; the message names what is wrong.
pub fn from_json<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, String> {
    let mut bytes = bytes.to_vec();
    simd_json::from_slice(&mut bytes).map_err(|e| e.to_string())
}

/// One call: connects, writes the request with `Connection: close`, and reads the whole answer, all within
/// `within`.
pub async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    within: Duration,
) -> Result<Answer, CallError> {
    let deadline = tokio::time::Instant::now() + within;
    let connect = tokio::time::timeout_at(deadline, TcpStream::connect(address));
    let mut stream = connect
        .await
        .map_err(|_| CallError::ConnectTimeout(address))?
        .map_err(|e| CallError::Socket(address, e))?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let exchange = async {
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body).await?;
        let mut answer = Vec::new();
        let mut chunk = [0u8; 16_384];
        loop {
            let n = stream.read(&mut chunk).await?;
            if n == 0 {
                return Ok(answer);
            }
            answer.extend_from_slice(&chunk[..n]);
            if answer.len() > MAX_ANSWER {
                return Err(std::io::Error::other("too large"));
            }
            if whole(&answer).is_some() {
                return Ok(answer);
            }
        }
    };
    let bytes = tokio::time::timeout_at(deadline, exchange)
        .await
        .map_err(|_| CallError::Timeout(address))?
        .map_err(|e| CallError::Socket(address, e))?;
    let (status, start, length) =
        whole(&bytes).ok_or(CallError::Malformed(address, "a cut or malformed answer"))?;
    Ok(Answer { status, body: bytes[start..start + length].to_vec() })
}

/// The status, where the body starts and its length, once a whole answer is read.
fn whole(bytes: &[u8]) -> Option<(u16, usize, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(start) = response.parse(bytes).ok()? else { return None };
    let status = response.code?;
    let length = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
    let length: usize = std::str::from_utf8(length?.value).ok()?.trim().parse().ok()?;
    (bytes.len() >= start + length).then_some((status, start, length))
}

#[cfg(test)]
mod tests;
