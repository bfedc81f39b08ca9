//! Sessions: by its token a device shows that a call is its own. A token is the session's number and its end under a
//! tag (HMAC-SHA256, its first 16 bytes), in URL-safe base64; nothing is held for it here, and any proxy with the same
//! keys takes it. No I/O.

use super::response_store::SessionId;
use crate::message_auth::MessageKeys;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;
use thiserror::Error;

const LABEL: &[u8] = b"calicobeam session 1";
const TAG_BYTES: usize = 16;
const BYTES: usize = 16 + 8 + TAG_BYTES;

/// Why a token opens no session.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadToken {
    /// It is not spelled as one.
    #[error("not a session's token")]
    Malformed,
    /// No key fits its tag.
    #[error("a token that no key fits")]
    Wrong,
    /// Its end has passed.
    #[error("a token past its end")]
    Expired,
}

/// A session as its token tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Session {
    /// Its number.
    pub id: SessionId,
    /// When its token ends, Unix milliseconds.
    pub until_ms: f64,
}

/// Makes and opens tokens.
#[derive(Clone, Debug)]
pub struct Sessions {
    keys: MessageKeys,
    /// How long a token is good, in milliseconds.
    last_ms: f64,
}

impl Sessions {
    /// Sessions by these keys.
    pub fn new(keys: MessageKeys, last_ms: f64) -> Self {
        Self { keys, last_ms }
    }

    /// A token for a session, good from `now` on.
    pub fn token(&self, now: f64, id: SessionId) -> String {
        let (id, until) = (id.to_be_bytes(), ((now + self.last_ms) as u64).to_be_bytes());
        let tag = self.keys.sign(LABEL, &[&id, &until]);
        URL_SAFE_NO_PAD.encode([&id[..], &until, &tag[..TAG_BYTES]].concat())
    }

    /// The session of a token.
    pub fn open(&self, now: f64, text: &str) -> Result<Session, BadToken> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| BadToken::Malformed)?;
        let bytes: [u8; BYTES] = bytes.try_into().map_err(|_| BadToken::Malformed)?;
        let (id, rest) = bytes.split_at(16);
        let (until, tag) = rest.split_at(8);
        if !self.keys.verify(LABEL, &[id, until], tag) {
            return Err(BadToken::Wrong);
        }
        let until_ms = u64::from_be_bytes(until.try_into().expect("8 bytes")) as f64;
        if now >= until_ms {
            return Err(BadToken::Expired);
        }
        Ok(Session { id: SessionId::from_be_bytes(id.try_into().expect("16 bytes")), until_ms })
    }

    /// Whether a session's token is to be made anew: less than half of its time is left.
    pub fn is_old(&self, now: f64, session: &Session) -> bool {
        session.until_ms - now < self.last_ms / 2.0
    }
}

#[cfg(test)]
mod tests;
