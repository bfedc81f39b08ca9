//! The codec of the platform's cache protocol: lines of space-separated words that end in CR LF, each
//! followed by a body of a stated length. Only this module knows the protocol's words and field names; it
//! maps them to the messages of [`cache_message`](crate::cache_message).

use crate::cache_message::{CacheCommand, CacheReply, CacheRequest, ReplyStatus};
use crate::response_path::ResponsePath;
use crate::surrogate_key::SurrogateKey;
use crate::text::{format_endpoint_id, parse_hex16};
use bytes::{Buf, BufMut, BytesMut};
use std::fmt::Write as _;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

/// The longest line of a reply, in bytes.
pub const MAX_LINE: usize = 4_096;
/// The longest body of a reply, in bytes: the largest object.
pub const MAX_BODY: usize = 240_000;

const LINE_END: &[u8] = b"\r\n";
/// Denotes an empty list of fields.
const NO_FIELDS: &str = "-";

/// The commands and statuses of the protocol.
mod word {
    pub const SEND: &str = "GET";
    pub const CANCEL: &str = "DROP";
    pub const SERVED: &str = "ACK";
    pub const NOT_MODIFIED: &str = "NOMOD";
    pub const MISS: &str = "NOENT";
    pub const OVERLOADED: &str = "AGAIN";
    pub const ERROR: &str = "EIO";
    pub const EXPIRED: &str = "STALE";
    /// The reply to a ping, which the codec discards.
    pub const PING_REPLY: &str = "READY";
}

/// The names of a request's fields.
mod request_field {
    pub const CLASS: &str = "c";
    pub const OBJECT: &str = "k";
    pub const PART: &str = "p";
    pub const TIMEOUT: &str = "w";
    pub const IDEMPOTENCY_KEY: &str = "i";
    pub const FILL_SOURCE: &str = "next";
    pub const RETENTION_RANK: &str = "admit";
    pub const MAX_AGE: &str = "agelim";
    pub const OPTIONS: &str = "ways";
    pub const CLIENT_TAG: &str = "cached";
    pub const GROUP: &str = "g";
}

/// The values of [`request_field::OPTIONS`], joined by `+`.
mod request_option {
    pub const JOIN_FILL: &str = "ride";
    pub const ONLY_IF_CACHED: &str = "have-only";
    pub const BACKGROUND_REFRESH: &str = "update";
}

/// The names of a reply's fields.
mod reply_field {
    pub const ENTITY_TAG: &str = "sum";
    pub const GENERATED_AT: &str = "t0";
    pub const SURROGATE_KEYS: &str = "tags";
    pub const PATH: &str = "note";
}

/// A malformed reply, or a connection that failed.
#[derive(Debug, Error)]
pub enum ReplyError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// A line is longer than [`MAX_LINE`].
    #[error("line is longer than {MAX_LINE} bytes")]
    LineTooLong,
    /// A line is not UTF-8.
    #[error("line is not UTF-8")]
    NotUtf8,
    /// A line has a single word.
    #[error("reply line has no status after the request id")]
    MissingStatus,
    /// A line has words after the length of the body.
    #[error("reply line has more than four words")]
    TooManyWords,
    /// The status is unknown.
    #[error("unknown status {0:?}")]
    UnknownStatus(String),
    /// The request's id is not 16 hex digits.
    #[error("invalid request id {0:?}: expected 16 hex digits")]
    RequestId(String),
    /// The length of the body is not a number.
    #[error("invalid body length {0:?}: expected a decimal number")]
    BodyLength(String),
    /// The body is longer than [`MAX_BODY`].
    #[error("body of {0} bytes exceeds the limit of {MAX_BODY} bytes")]
    BodyTooLarge(usize),
    /// The status allows no body, but the reply has one.
    #[error("body of {0} bytes with a status that allows none")]
    UnexpectedBody(usize),
    /// The body is not followed by a line end.
    #[error("body is not followed by CR LF at its stated length")]
    BodyEnd,
    /// A field has no value, or an invalid one.
    #[error("invalid field {0:?}")]
    Field(String),
}

/// The codec of a connection to a cache: decodes replies, encodes commands.
#[derive(Debug, Default)]
pub struct CacheCodec {
    /// A reply whose body is not complete yet.
    partial: Option<PartialReply>,
    /// Length of the buffer's prefix that is known to contain no line end, so that no byte is searched twice.
    searched: usize,
}

/// A reply without its body.
#[derive(Debug)]
struct PartialReply {
    reply: CacheReply,
    body_length: usize,
}

impl CacheCodec {
    /// Whether the codec is in the middle of a reply; `buffer` holds the bytes that are not yet decoded.
    pub fn is_within_reply(&self, buffer: &[u8]) -> bool {
        // The line end after an empty body may arrive together with the next reply.
        self.partial.is_some() || !LINE_END.starts_with(buffer)
    }

    /// Takes the next line, without its line end, out of the buffer.
    fn next_line(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, ReplyError> {
        let start = self.searched.saturating_sub(1);
        let end = buffer[start..].windows(LINE_END.len()).position(|bytes| bytes == LINE_END);
        let length = end.map_or(buffer.len(), |offset| start + offset);
        if length > MAX_LINE {
            return Err(ReplyError::LineTooLong);
        }
        if end.is_none() {
            self.searched = buffer.len();
            return Ok(None);
        }
        self.searched = 0;
        let line = buffer.split_to(length);
        buffer.advance(LINE_END.len());
        Ok(Some(line))
    }
}

impl PartialReply {
    /// Parses the line of a reply; `None` for the reply to a ping.
    fn parse(line: &str) -> Result<Option<Self>, ReplyError> {
        let mut words = line.split(' ');
        let (Some(id), Some(status)) = (words.next(), words.next()) else {
            return Err(ReplyError::MissingStatus);
        };
        let Some(status) = parse_status(status)? else { return Ok(None) };
        let request_id = parse_hex16(id).ok_or_else(|| ReplyError::RequestId(id.to_string()))?;
        let (fields, body_length) = (words.next().unwrap_or(NO_FIELDS), words.next().unwrap_or("0"));
        if words.next().is_some() {
            return Err(ReplyError::TooManyWords);
        }
        let body_length = parse_body_length(body_length, status)?;
        let mut reply = CacheReply::new(request_id, status);
        fields.split(',').filter(|field| *field != NO_FIELDS).try_for_each(|field| {
            parse_field(field, &mut reply).ok_or_else(|| ReplyError::Field(field.to_string()))
        })?;
        Ok(Some(Self { reply, body_length }))
    }

    /// The number of bytes of the body and its line end that are not in the buffer yet.
    fn missing_bytes(&self, buffer: &BytesMut) -> usize {
        (self.body_length + LINE_END.len()).saturating_sub(buffer.len())
    }

    /// Takes the body and its line end out of a buffer that holds both.
    fn complete(self, buffer: &mut BytesMut) -> Result<CacheReply, ReplyError> {
        let body = buffer.split_to(self.body_length).freeze();
        if !buffer.starts_with(LINE_END) {
            return Err(ReplyError::BodyEnd);
        }
        buffer.advance(LINE_END.len());
        Ok(CacheReply { body, ..self.reply })
    }
}

/// Parses the status of a reply; `None` for the reply to a ping.
fn parse_status(text: &str) -> Result<Option<ReplyStatus>, ReplyError> {
    Ok(Some(match text {
        word::SERVED => ReplyStatus::Served,
        word::NOT_MODIFIED => ReplyStatus::NotModified,
        word::MISS => ReplyStatus::Miss,
        word::OVERLOADED => ReplyStatus::Overloaded,
        word::ERROR => ReplyStatus::Error,
        word::EXPIRED => ReplyStatus::Expired,
        word::PING_REPLY => return Ok(None),
        _ => return Err(ReplyError::UnknownStatus(text.to_string())),
    }))
}

fn parse_body_length(text: &str, status: ReplyStatus) -> Result<usize, ReplyError> {
    let length = text.parse().map_err(|_| ReplyError::BodyLength(text.to_string()))?;
    if length > MAX_BODY {
        return Err(ReplyError::BodyTooLarge(length));
    }
    if status != ReplyStatus::Served && length > 0 {
        return Err(ReplyError::UnexpectedBody(length));
    }
    Ok(length)
}

/// Sets a field of a reply; `None` where its value is invalid. Unknown fields are ignored.
fn parse_field(field: &str, reply: &mut CacheReply) -> Option<()> {
    // The path is only used to attribute failures: a malformed one, even without a value, does not invalidate
    // the reply.
    if field == reply_field::PATH {
        return Some(());
    }
    let (name, value) = field.split_once('=')?;
    match name {
        reply_field::PATH => reply.response_path = ResponsePath::from_name(value),
        reply_field::ENTITY_TAG => reply.entity_tag = Some(value.to_string()),
        reply_field::GENERATED_AT => reply.generated_at_ms = Some(value.parse().ok()?),
        reply_field::SURROGATE_KEYS => {
            let keys = value.split('+').map(|text| SurrogateKey::new(text).ok());
            reply.surrogate_keys = keys.collect::<Option<_>>()?;
        }
        _ => {}
    }
    Some(())
}

impl Decoder for CacheCodec {
    type Item = CacheReply;
    type Error = ReplyError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<CacheReply>, ReplyError> {
        loop {
            let missing_bytes = self.partial.as_ref().map_or(0, |partial| partial.missing_bytes(buffer));
            if missing_bytes > 0 {
                buffer.reserve(missing_bytes);
                return Ok(None);
            }
            if let Some(partial) = self.partial.take() {
                return partial.complete(buffer).map(Some);
            }
            let Some(line) = self.next_line(buffer)? else { return Ok(None) };
            if line.is_empty() {
                continue;
            }
            let text = std::str::from_utf8(&line).map_err(|_| ReplyError::NotUtf8)?;
            match PartialReply::parse(text)? {
                // The line end after an empty body is skipped as an empty line, so the reply is complete now.
                Some(PartialReply { reply, body_length: 0 }) => return Ok(Some(reply)),
                partial => self.partial = partial,
            }
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<CacheReply>, ReplyError> {
        // A truncated reply is dropped with its connection.
        self.decode(buffer)
    }
}

impl Encoder<CacheCommand> for CacheCodec {
    type Error = ReplyError;

    fn encode(&mut self, command: CacheCommand, out: &mut BytesMut) -> Result<(), ReplyError> {
        match command {
            CacheCommand::Cancel(id) => {
                out.reserve(word::CANCEL.len() + 1 + id.len() + LINE_END.len());
                out.put_slice(word::CANCEL.as_bytes());
                out.put_u8(b' ');
                out.put_slice(id.as_bytes());
                out.put_slice(LINE_END);
            }
            CacheCommand::Send(request) => {
                let line = request_line(&request);
                out.reserve(line.len() + request.body.len() + LINE_END.len());
                out.put_slice(line.as_bytes());
                out.put_slice(&request.body);
                out.put_slice(LINE_END);
            }
        }
        Ok(())
    }
}

/// The line of a request, with its line end. Optional fields without a value are omitted.
fn request_line(request: &CacheRequest) -> String {
    let CacheRequest { id, class, object, part, timeout_ms, .. } = request;
    let mut line = format!(
        "{} {id} {}={class},{}={object},{}={part},{}={timeout_ms}",
        word::SEND,
        request_field::CLASS,
        request_field::OBJECT,
        request_field::PART,
        request_field::TIMEOUT,
    );
    let mut field = |name: &str, value: &str| {
        let _ = write!(line, ",{name}={value}");
    };
    if let Some(key) = &request.idempotency_key {
        field(request_field::IDEMPOTENCY_KEY, key);
    }
    if let Some(source) = request.fill_source {
        field(request_field::FILL_SOURCE, &format_endpoint_id(source));
    }
    if request.retention_rank > 0 {
        field(request_field::RETENTION_RANK, &request.retention_rank.to_string());
    }
    if request.max_age_ms > 0 {
        field(request_field::MAX_AGE, &request.max_age_ms.to_string());
    }
    let options = request_options(request);
    if !options.is_empty() {
        field(request_field::OPTIONS, &options.join("+"));
    }
    if let Some(tag) = &request.client_etag {
        field(request_field::CLIENT_TAG, tag);
    }
    if let Some(group) = request.group {
        field(request_field::GROUP, &group.to_string());
    }
    let _ = write!(line, " {}\r\n", request.body.len());
    line
}

fn request_options(request: &CacheRequest) -> Vec<&'static str> {
    let options = [
        (request.join_fill, request_option::JOIN_FILL),
        (request.only_if_cached, request_option::ONLY_IF_CACHED),
        (request.revalidate, request_option::BACKGROUND_REFRESH),
    ];
    options.into_iter().filter_map(|(is_set, name)| is_set.then_some(name)).collect()
}

#[cfg(test)]
mod tests;
