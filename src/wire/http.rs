//! HTTP/1.1 as a server speaks it: one request at a time, with a bound on everything.

use crate::clock::Clock;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt::Write as _;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// The longest head of a request.
pub const MAX_HEAD: usize = 16_384;
/// The most headers of a request.
pub const MAX_HEADERS: usize = 64;

/// The longest body that is copied behind its head; a longer one is written as it is held, so that an answer
/// that waits for a slow client is in memory once.
pub const MAX_INLINE: usize = 4_096;

/// A request, whole.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    /// Method, as it came.
    pub method: String,
    /// Target, as it came.
    pub target: String,
    /// Headers in their order, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// The client wants the connection kept.
    pub keep_alive: bool,
}

impl HttpRequest {
    /// A header that may come once; `Err` where it came more often.
    pub fn single(&self, name: &str) -> Result<Option<&str>, &'static str> {
        let mut values = self.headers.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let first = values.next();
        if values.next().is_some() {
            return Err("a header came twice");
        }
        Ok(first)
    }
}

/// An answer, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers besides those of the connection and the length.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Only the head is sent, with the length that the body would have.
    pub head_only: bool,
    /// The connection ends with it.
    pub close: bool,
}

impl HttpResponse {
    /// An answer of a status alone.
    pub fn status(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// An answer to what can't be read, after which nothing more can be.
    pub fn closing(status: u16) -> Self {
        Self { status, close: true, ..Self::default() }
    }

    /// What goes onto the wire behind the head.
    pub fn wire_body(&self) -> Bytes {
        if self.head_only || self.status == 304 {
            Bytes::new()
        } else {
            self.body.clone()
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// The reason phrase of a status.
fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        206 => "Partial Content",
        304 => "Not Modified",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        416 => "Range Not Satisfiable",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}

/// What a client sent in place of a request: how to answer it before the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadRequest(pub u16);

/// What a connection's reader is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
}

/// The server's side of a connection, fed bytes. After a fault it reads nothing more.
#[derive(Clone, Debug)]
pub struct HttpCodec {
    clock: Clock,
    body_most: usize,
    phase: Phase,
    since: f64,
    pending: Option<(HttpRequest, usize)>,
    faulty: bool,
}

impl HttpCodec {
    /// A connection whose requests may bring bodies of this length at most.
    pub fn new(clock: Clock, body_most: usize) -> Self {
        let since = clock.now();
        Self { clock, body_most, phase: Phase::Idle, since, pending: None, faulty: false }
    }

    /// What it waits for, and since when.
    pub fn phase(&self) -> (Phase, f64) {
        (self.phase, self.since)
    }

    /// Restarts the wait for the next request, after a response.
    pub fn restart_wait(&mut self) {
        self.since = self.clock.now();
    }

    fn enter(&mut self, phase: Phase) {
        if self.phase != phase {
            (self.phase, self.since) = (phase, self.clock.now());
        }
    }

    fn head(&mut self, buf: &mut BytesMut) -> Result<Option<(HttpRequest, usize)>, BadRequest> {
        // Empty lines before a request are skipped, as RFC 9112 asks.
        while buf.starts_with(b"\r\n") {
            buf.advance(2);
        }
        if buf.is_empty() {
            self.enter(Phase::Idle);
            return Ok(None);
        }
        self.enter(Phase::Head);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(buf) {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD => length,
            Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(BadRequest(431)),
            Err(_) => return Err(BadRequest(400)),
        };
        let mut request = HttpRequest {
            method: parsed.method.unwrap_or_default().to_string(),
            target: parsed.path.unwrap_or_default().to_string(),
            ..HttpRequest::default()
        };
        for header in parsed.headers.iter() {
            let value = std::str::from_utf8(header.value).map_err(|_| BadRequest(400))?.trim();
            request.headers.push((header.name.to_ascii_lowercase(), value.to_string()));
        }
        let modern = parsed.version == Some(1);
        buf.advance(length);
        let once = |name| request.single(name).map_err(|_| BadRequest(400));
        let connection = request
            .headers
            .iter()
            .filter(|(n, _)| n == "connection")
            .flat_map(|(_, v)| v.split(','))
            .map(str::trim);
        let (mut close, mut keep) = (false, false);
        for option in connection {
            close |= option.eq_ignore_ascii_case("close");
            keep |= option.eq_ignore_ascii_case("keep-alive");
        }
        let keep_alive = !close && (modern || keep);
        if once("host")?.is_none() && modern {
            return Err(BadRequest(400));
        }
        // Guards against requests smuggled past by two ideas of a body's end: one length, or none.
        if once("transfer-encoding")?.is_some() {
            return Err(BadRequest(if once("content-length")?.is_some() { 400 } else { 501 }));
        }
        let body = match once("content-length")? {
            None => 0,
            Some(text) if !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) => {
                text.parse::<usize>().map_err(|_| BadRequest(413))?
            }
            Some(_) => return Err(BadRequest(400)),
        };
        if body > self.body_most {
            return Err(BadRequest(413));
        }
        request.keep_alive = keep_alive;
        Ok(Some((request, body)))
    }

    fn next(&mut self, buf: &mut BytesMut) -> Result<Option<HttpRequest>, BadRequest> {
        if self.pending.is_none() {
            self.pending = self.head(buf)?;
        }
        let Some((mut request, length)) = self.pending.take() else { return Ok(None) };
        if buf.len() < length {
            self.enter(Phase::Body);
            buf.reserve(length - buf.len());
            self.pending = Some((request, length));
            return Ok(None);
        }
        request.body = buf.split_to(length).freeze();
        self.enter(Phase::Idle);
        Ok(Some(request))
    }
}

impl Decoder for HttpCodec {
    type Item = Result<HttpRequest, BadRequest>;
    type Error = io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Self::Item>, io::Error> {
        if self.faulty {
            buf.clear();
            return Ok(None);
        }
        match self.next(buf) {
            Ok(request) => Ok(request.map(Ok)),
            Err(bad) => {
                self.faulty = true;
                Ok(Some(Err(bad)))
            }
        }
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<Self::Item>, io::Error> {
        self.decode(buf)
    }
}

impl Encoder<HttpResponse> for HttpCodec {
    type Error = io::Error;

    fn encode(&mut self, answer: HttpResponse, out: &mut BytesMut) -> Result<(), io::Error> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", answer.status, reason(answer.status));
        for (name, value) in &answer.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if answer.status != 304 {
            let _ = write!(head, "Content-Length: {}\r\n", answer.body.len());
        }
        head.push_str(if answer.close { "Connection: close\r\n\r\n" } else { "\r\n" });
        let body = answer.wire_body();
        let inline = if body.len() <= MAX_INLINE { &body[..] } else { &[] };
        out.reserve(head.len() + inline.len());
        out.put_slice(head.as_bytes());
        out.put_slice(inline);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
