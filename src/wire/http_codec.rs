//! The server side of HTTP/1.1 (RFC 9112), with limits on the size of every part of a request.

use super::http::{reason_phrase, HttpRequest, HttpResponse};
use crate::clock::Clock;
use crate::state::request_memory::RequestMemory;
use bytes::{Buf, BufMut, BytesMut};
use std::fmt::Write as _;
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio_util::codec::{Decoder, Encoder};

/// The longest head of a request, in bytes.
pub const MAX_HEAD: usize = 16_384;
/// The most header fields of a request.
pub const MAX_HEADERS: usize = 64;
/// The longest body that is copied into the write buffer after its head, in bytes. A longer one is written
/// without a copy, so that a response to a slow client is in memory only once.
pub const MAX_INLINE: usize = 4_096;

/// A malformed or unsupported request: the status to respond with before the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedRequest(pub u16);

/// What a connection is waiting to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The rest of a request's body, whose head is complete.
    Body,
}

/// Decodes requests and encodes responses. Discards all bytes after a request that it rejects.
#[derive(Clone, Debug)]
pub struct HttpCodec {
    clock: Clock,
    max_body: usize,
    phase: Phase,
    phase_started_at: f64,
    pending: Option<PendingRequest>,
    failed: bool,
    memory: Option<ConnectionMemory>,
}

/// The memory from which a connection's requests take theirs.
#[derive(Clone, Debug)]
pub struct ConnectionMemory {
    /// The memory of all requests.
    pub memory: Rc<RequestMemory>,
    /// Notified when the connection's request is displaced.
    pub on_displaced: Rc<Notify>,
}

/// A request whose body is not complete yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: HttpRequest,
    body_length: usize,
}

impl HttpCodec {
    /// A codec that accepts request bodies of at most `max_body` bytes.
    pub fn new(clock: Clock, max_body: usize) -> Self {
        let phase_started_at = clock.now();
        Self {
            clock,
            max_body,
            phase: Phase::Idle,
            phase_started_at,
            pending: None,
            failed: false,
            memory: None,
        }
    }

    /// Limits the memory of requests; `None` for no limit.
    pub fn with_memory(self, memory: Option<ConnectionMemory>) -> Self {
        Self { memory, ..self }
    }

    /// Whether the request whose body is arriving has lost its memory to others.
    pub fn is_displaced(&self) -> bool {
        let reservation = self.pending.as_ref().and_then(|pending| pending.request.reservation.as_ref());
        reservation.is_some_and(|reservation| reservation.is_displaced())
    }

    /// Reserves the memory of a request whose head is complete.
    fn reserve_memory(&self, request: &mut HttpRequest, body_length: usize) -> Result<(), RejectedRequest> {
        let Some(ConnectionMemory { memory, on_displaced }) = &self.memory else { return Ok(()) };
        let bytes = request.head_bytes() + body_length;
        let reservation = memory.reserve(bytes, on_displaced.clone()).ok_or(RejectedRequest(503))?;
        request.reservation = Some(Rc::new(reservation));
        Ok(())
    }

    /// The current time, in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The current phase, and when it began, in Unix milliseconds.
    pub fn phase(&self) -> (Phase, f64) {
        (self.phase, self.phase_started_at)
    }

    /// Restarts the wait for the next request, after a response.
    pub fn restart_wait(&mut self) {
        self.phase_started_at = self.clock.now();
    }

    fn enter(&mut self, phase: Phase) {
        if self.phase != phase {
            (self.phase, self.phase_started_at) = (phase, self.clock.now());
        }
    }

    fn next_request(&mut self, buffer: &mut BytesMut) -> Result<Option<HttpRequest>, RejectedRequest> {
        if self.pending.is_none() {
            self.pending = self.next_head(buffer)?;
        }
        let Some(PendingRequest { mut request, body_length }) = self.pending.take() else { return Ok(None) };
        if buffer.len() < body_length {
            self.enter(Phase::Body);
            buffer.reserve(body_length - buffer.len());
            self.pending = Some(PendingRequest { request, body_length });
            return Ok(None);
        }
        request.body = buffer.split_to(body_length).freeze();
        if let Some(reservation) = &request.reservation {
            reservation.complete();
        }
        self.enter(Phase::Idle);
        Ok(Some(request))
    }

    fn next_head(&mut self, buffer: &mut BytesMut) -> Result<Option<PendingRequest>, RejectedRequest> {
        // Empty lines before a request are skipped (RFC 9112, section 2.2).
        while buffer.starts_with(b"\r\n") {
            buffer.advance(2);
        }
        if buffer.is_empty() {
            self.enter(Phase::Idle);
            return Ok(None);
        }
        self.enter(Phase::Head);
        let Some(Head { mut request, is_http_1_1 }) = Head::parse(buffer)? else { return Ok(None) };
        request.keep_alive = is_persistent(&request, is_http_1_1);
        if single_value(&request, "host")?.is_none() && is_http_1_1 {
            return Err(RejectedRequest(400));
        }
        let body_length = body_length(&request)?;
        if body_length > self.max_body {
            return Err(RejectedRequest(413));
        }
        self.reserve_memory(&mut request, body_length)?;
        Ok(Some(PendingRequest { request, body_length }))
    }
}

/// The head of a request.
struct Head {
    request: HttpRequest,
    is_http_1_1: bool,
}

impl Head {
    /// Takes a head out of the buffer; `None` where it is not complete.
    fn parse(buffer: &mut BytesMut) -> Result<Option<Self>, RejectedRequest> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD => length,
            Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RejectedRequest(431)),
            Err(_) => return Err(RejectedRequest(400)),
        };
        let mut request = HttpRequest {
            method: parsed.method.unwrap_or_default().to_string(),
            target: parsed.path.unwrap_or_default().to_string(),
            ..HttpRequest::default()
        };
        for header in parsed.headers.iter() {
            let value = std::str::from_utf8(header.value).map_err(|_| RejectedRequest(400))?.trim();
            request.headers.push((header.name.to_ascii_lowercase(), value.to_string()));
        }
        let is_http_1_1 = parsed.version == Some(1);
        buffer.advance(length);
        Ok(Some(Self { request, is_http_1_1 }))
    }
}

fn single_value<'r>(request: &'r HttpRequest, name: &str) -> Result<Option<&'r str>, RejectedRequest> {
    request.single_value(name).map_err(|_| RejectedRequest(400))
}

/// Whether the connection persists after the response (RFC 9112, section 9.3).
fn is_persistent(request: &HttpRequest, is_http_1_1: bool) -> bool {
    let fields = request.headers.iter().filter(|(name, _)| name == "connection");
    let (mut close, mut keep_alive) = (false, false);
    for option in fields.flat_map(|(_, value)| value.split(',')).map(str::trim) {
        close |= option.eq_ignore_ascii_case("close");
        keep_alive |= option.eq_ignore_ascii_case("keep-alive");
    }
    !close && (is_http_1_1 || keep_alive)
}

/// The length of a request's body (RFC 9112, section 6.3). Transfer codings are not supported, and ambiguous
/// framing is rejected, which prevents request smuggling.
fn body_length(request: &HttpRequest) -> Result<usize, RejectedRequest> {
    let has_coding = single_value(request, "transfer-encoding")?.is_some();
    let length = single_value(request, "content-length")?;
    match length {
        Some(_) if has_coding => Err(RejectedRequest(400)),
        None if has_coding => Err(RejectedRequest(501)),
        None => Ok(0),
        Some(text) if !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) => {
            text.parse().map_err(|_| RejectedRequest(413))
        }
        Some(_) => Err(RejectedRequest(400)),
    }
}

impl Decoder for HttpCodec {
    type Item = Result<HttpRequest, RejectedRequest>;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        if self.failed {
            buffer.clear();
            return Ok(None);
        }
        let next = self.next_request(buffer);
        self.failed = next.is_err();
        Ok(next.transpose())
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        self.decode(buffer)
    }
}

impl Encoder<HttpResponse> for HttpCodec {
    type Error = io::Error;

    fn encode(&mut self, response: HttpResponse, out: &mut BytesMut) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", response.status, reason_phrase(response.status));
        for (name, value) in &response.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if response.status != 304 {
            let _ = write!(head, "Content-Length: {}\r\n", response.body.len());
        }
        head.push_str(if response.close { "Connection: close\r\n\r\n" } else { "\r\n" });
        let body = response.wire_body();
        let inline = if body.len() <= MAX_INLINE { &body[..] } else { &[] };
        out.reserve(head.len() + inline.len());
        out.put_slice(head.as_bytes());
        out.put_slice(inline);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
