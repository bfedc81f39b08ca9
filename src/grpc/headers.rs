//! Headers and trailers of a call: which ones are forwarded, and what they say of its status (gRPC over HTTP/2).

use super::call::LocalStatus;
use super::status::{message, AttemptEnd, Code, Pushback};
use http::{HeaderMap, HeaderValue};

const STATUS: &str = "grpc-status";
const MESSAGE: &str = "grpc-message";
const PUSHBACK: &str = "grpc-retry-pushback-ms";
/// The remaining time of a call.
pub const TIMEOUT: &str = "grpc-timeout";
/// How many attempts of a call came before this one (gRFC A6).
pub const PREVIOUS_ATTEMPTS: &str = "grpc-previous-rpc-attempts";
/// The most milliseconds that are written as a pushback.
const MAX_PUSHBACK_MS: f64 = 1e9;
/// Hop-by-hop headers (RFC 9113, section 8.2.2), and those that this proxy writes itself.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "proxy-connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    TIMEOUT,
    PREVIOUS_ATTEMPTS,
];

/// A header that may stand only once stands more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a header that may stand once is repeated")]
pub struct RepeatedHeader;

/// The headers that are forwarded: all but the hop-by-hop ones and those that `connection` names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP_HEADERS) {
        forwarded.remove(name);
    }
    forwarded
}

/// The trailers of a status that the proxy itself gives.
pub fn trailers_of(status: &LocalStatus) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert(STATUS, HeaderValue::from(u16::from(status.code.number())));
    if let Ok(text) = HeaderValue::from_str(&message(status.message)) {
        trailers.insert(MESSAGE, text);
    }
    add_pushback(&mut trailers, status.pushback);
    trailers
}

/// Adds a retry pushback, unless one is there already.
pub fn add_pushback(trailers: &mut HeaderMap, pushback: Option<Pushback>) {
    let value = match pushback {
        None => return,
        Some(Pushback::Never) => HeaderValue::from_static("-1"),
        Some(Pushback::After(ms)) => HeaderValue::from(ms.ceil().clamp(0.0, MAX_PUSHBACK_MS) as u64),
    };
    trailers.entry(PUSHBACK).or_insert(value);
}

/// The status in a response's last headers, if they hold one.
pub fn status_in(trailers: &HeaderMap) -> Option<AttemptEnd> {
    let code = Code::parse(trailers.get(STATUS)?.as_bytes())?;
    let pushback = trailers.get(PUSHBACK).map(|value| Pushback::parse(value.as_bytes()));
    Some(AttemptEnd::Status(code, pushback))
}

/// Whether the content type is that of gRPC.
pub fn is_grpc(headers: &HeaderMap) -> bool {
    let content_type = headers.get("content-type").map(HeaderValue::as_bytes);
    let suffix = content_type.and_then(|content_type| content_type.strip_prefix(b"application/grpc"));
    suffix.is_some_and(|suffix| suffix.is_empty() || matches!(suffix[0], b'+' | b';' | b' '))
}

/// The value of a header that may stand only once.
pub fn single<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h HeaderValue>, RepeatedHeader> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(RepeatedHeader),
    }
}
