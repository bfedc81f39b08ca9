//! The pop caches' protocol: lines of words that end in CR LF, with bodies of a stated length.

use super::response_path::PathNote;
use super::WireError;
use crate::surrogate_key::SurrogateKey;
pub use crate::text::{endpoint_id, endpoint_text, hex16, is_value};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt::Write as _;
use tokio_util::codec::{Decoder, Encoder};

/// The longest line that a pop cache may send.
pub const MAX_LINE: usize = 4_096;
/// The largest body that a pop cache may send: the largest object.
pub const MAX_BODY: usize = 240_000;

/// How a pop cache ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// The bytes.
    Ack,
    /// The client's copy is the one.
    Nomod,
    /// A miss: it never ran.
    Noent,
    /// Full: it never ran.
    Again,
    /// An error: it may have run.
    Eio,
    /// Over before it came: it never ran.
    Stale,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Id of the request.
    pub id: u64,
    /// How it ended.
    pub word: Word,
    /// Tag of the copy, where there is one.
    pub tag: Option<String>,
    /// The Unix millisecond at which the origin gave out this copy.
    pub born: Option<f64>,
    /// The copy's surrogate keys, where the endpoint tells them (`tags=a+b`, boxes that take fleet purges).
    pub tags: Vec<SurrogateKey>,
    /// What it says of the path it took; none where it says nothing that is known.
    pub note: Option<PathNote>,
    /// The bytes.
    pub body: Bytes,
}

/// A request to a pop cache.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Get {
    /// Id, as the client wrote it.
    pub id: String,
    /// Class.
    pub class: String,
    /// Object, as the client wrote it.
    pub object: String,
    /// Part.
    pub part: u32,
    /// How long an answer is waited for, in milliseconds.
    pub wait_ms: u64,
    /// Idempotency key.
    pub key: Option<String>,
    /// Where a miss is filled from.
    pub source: Option<u32>,
    /// Rank at which the object is kept.
    pub keep: u8,
    /// The oldest copy that will do, in milliseconds; 0 is the class's own bound.
    pub max_age_ms: u64,
    /// Join a fill under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// Renew an ageing copy behind.
    pub revalidate: bool,
    /// Bare tag of the client's copy.
    pub cached: Option<String>,
    /// The object's group, told to boxes that take fleet purges by group; none on the platform.
    pub group: Option<u32>,
    /// Body of a write.
    pub body: Bytes,
}

/// What is written to a pop cache.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// A request.
    Get(Box<Get>),
    /// Gives a request up.
    Drop(String),
}

/// Both directions of a connection to a pop cache.
#[derive(Debug, Default)]
pub struct LineCodec {
    /// An answer whose body is not whole yet, with the body's length.
    partial: Option<(Reply, usize)>,
    /// How much of the buffer holds no line's end, so that no byte is searched twice.
    searched: usize,
}

impl LineCodec {
    /// Whether it is in the middle of an answer; `buf` is what is read and not yet decoded.
    pub fn within(&self, buf: &[u8]) -> bool {
        // The end of an empty body may come with the next answer.
        self.partial.is_some() || !b"\r\n".starts_with(buf)
    }

    fn line(&mut self, text: &str) -> Result<Option<(Reply, usize)>, WireError> {
        let mut words = text.split(' ');
        let (Some(id), Some(word)) = (words.next(), words.next()) else {
            return Err(WireError::Malformed("an answer of one word"));
        };
        let word = match word {
            "ACK" => Word::Ack,
            "NOMOD" => Word::Nomod,
            "NOENT" => Word::Noent,
            "AGAIN" => Word::Again,
            "EIO" => Word::Eio,
            "STALE" => Word::Stale,
            "READY" => return Ok(None),
            _ => return Err(WireError::Malformed("an unknown answer")),
        };
        let id = hex16(id).ok_or(WireError::Malformed("an answer's id"))?;
        let (fields, length) = (words.next().unwrap_or("-"), words.next().unwrap_or("0"));
        if words.next().is_some() {
            return Err(WireError::Malformed("too many words"));
        }
        let length: usize = length.parse().map_err(|_| WireError::Malformed("an answer's length"))?;
        if length > MAX_BODY {
            return Err(WireError::TooLarge("an answer's body"));
        }
        let (mut tag, mut born, mut tags, mut note) = (None, None, Vec::new(), None);
        for field in fields.split(',').filter(|f| *f != "-") {
            // A note only helps to place blame: one that can't be read, even without a value, costs no answer.
            if field == "note" {
                continue;
            }
            let (name, value) = field.split_once('=').ok_or(WireError::Malformed("a field"))?;
            match name {
                "note" => note = PathNote::from_word(value),
                "sum" => tag = Some(value.to_string()),
                "t0" => born = Some(value.parse().map_err(|_| WireError::Malformed("t0"))?),
                "tags" => {
                    let each = value
                        .split('+')
                        .map(|text| SurrogateKey::new(text).map_err(|_| WireError::Malformed("a tag")));
                    tags = each.collect::<Result<_, _>>()?;
                }
                _ => {}
            }
        }
        if word != Word::Ack && length > 0 {
            return Err(WireError::Malformed("a body where none belongs"));
        }
        Ok(Some((Reply { id, word, tag, born, tags, note, body: Bytes::new() }, length)))
    }
}

impl Decoder for LineCodec {
    type Item = Reply;
    type Error = WireError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Reply>, WireError> {
        loop {
            if let Some((reply, length)) = self.partial.take() {
                if buf.len() < length + 2 {
                    buf.reserve(length + 2 - buf.len());
                    self.partial = Some((reply, length));
                    return Ok(None);
                }
                let body = buf.split_to(length).freeze();
                if &buf[..2] != b"\r\n" {
                    return Err(WireError::Malformed("a body's end"));
                }
                buf.advance(2);
                return Ok(Some(Reply { body, ..reply }));
            }
            let from = self.searched.saturating_sub(1);
            let Some(end) = buf[from..].windows(2).position(|w| w == b"\r\n").map(|k| from + k) else {
                self.searched = buf.len();
                if buf.len() > MAX_LINE {
                    return Err(WireError::TooLarge("a line"));
                }
                return Ok(None);
            };
            self.searched = 0;
            if end > MAX_LINE {
                return Err(WireError::TooLarge("a line"));
            }
            let line = buf.split_to(end + 2);
            if end == 0 {
                continue;
            }
            let text =
                std::str::from_utf8(&line[..end]).map_err(|_| WireError::Malformed("a line's bytes"))?;
            match self.line(text)? {
                // The end of an empty body is skipped as an empty line, so nothing is waited for.
                Some((reply, 0)) => return Ok(Some(reply)),
                other => self.partial = other,
            }
        }
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<Reply>, WireError> {
        // A cut answer is none: what is left at the end of a connection is dropped with it.
        self.decode(buf)
    }
}

impl Encoder<Command> for LineCodec {
    type Error = WireError;

    fn encode(&mut self, command: Command, out: &mut BytesMut) -> Result<(), WireError> {
        let get = match command {
            Command::Drop(id) => {
                out.reserve(id.len() + 8);
                out.put_slice(b"DROP ");
                out.put_slice(id.as_bytes());
                out.put_slice(b"\r\n");
                return Ok(());
            }
            Command::Get(get) => get,
        };
        let mut head =
            format!("GET {} c={},k={},p={},w={}", get.id, get.class, get.object, get.part, get.wait_ms);
        let mut field = |name: &str, value: &str| {
            let _ = write!(head, ",{name}={value}");
        };
        if let Some(key) = &get.key {
            field("i", key);
        }
        if let Some(source) = get.source {
            field("next", &endpoint_text(source));
        }
        if get.keep > 0 {
            field("admit", &get.keep.to_string());
        }
        if get.max_age_ms > 0 {
            field("agelim", &get.max_age_ms.to_string());
        }
        let words = [(get.join, "ride"), (get.only_if_cached, "have-only"), (get.revalidate, "update")];
        let ways: Vec<&str> = words.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !ways.is_empty() {
            field("ways", &ways.join("+"));
        }
        if let Some(tag) = &get.cached {
            field("cached", tag);
        }
        if let Some(group) = get.group {
            field("g", &group.to_string());
        }
        let _ = write!(head, " {}\r\n", get.body.len());
        out.reserve(head.len() + get.body.len() + 2);
        out.put_slice(head.as_bytes());
        out.put_slice(&get.body);
        out.put_slice(b"\r\n");
        Ok(())
    }
}

#[cfg(test)]
mod tests;
