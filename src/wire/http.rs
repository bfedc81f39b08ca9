//! HTTP messages (RFC 9110), complete with their bodies.

use crate::state::request_memory::{head_bytes, RequestReservation};
use bytes::Bytes;
use std::rc::Rc;
use thiserror::Error;

/// A header field that may occur only once is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("header field is repeated")]
pub struct RepeatedField;

/// A complete request.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    /// Method, as received.
    pub method: String,
    /// Target, as received.
    pub target: String,
    /// Header fields in their order, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether the connection persists after the response (RFC 9112, section 9.3).
    pub keep_alive: bool,
    /// Its memory, if that is limited.
    pub reservation: Option<Rc<RequestReservation>>,
}

impl HttpRequest {
    /// An estimate of the memory of the head, in bytes.
    pub fn head_bytes(&self) -> usize {
        let lengths = self.headers.iter().map(|(name, value)| name.len() + value.len());
        head_bytes(lengths.chain([self.method.len() + self.target.len()]))
    }

    /// The path of the target, without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a field that may occur only once; `name` in lower case.
    pub fn single_value(&self, name: &str) -> Result<Option<&str>, RepeatedField> {
        let mut values = self.headers.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let first = values.next();
        match values.next() {
            Some(_) => Err(RepeatedField),
            None => Ok(first),
        }
    }
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Header fields, except `Connection` and `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether only the head is sent; `Content-Length` is then still that of the body.
    pub head_only: bool,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl HttpResponse {
    /// A response with a status and no body.
    pub fn status(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// A response with a status and no body, after which the connection is closed.
    pub fn closing(status: u16) -> Self {
        Self { status, close: true, ..Self::default() }
    }

    /// The bytes that are sent after the head.
    pub fn wire_body(&self) -> Bytes {
        if self.head_only || self.status == 304 {
            Bytes::new()
        } else {
            self.body.clone()
        }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds an entity tag, in quotes.
    pub fn with_entity_tag(self, tag: &str) -> Self {
        self.with_header("ETag", format!("\"{tag}\""))
    }
}

/// The reason phrase of a status.
pub(super) fn reason_phrase(status: u16) -> &'static str {
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
