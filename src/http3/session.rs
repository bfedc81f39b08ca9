//! Session tokens, by which a client proves that a call is its own. No I/O.
//!
//! A token is the session's id (16 bytes), the end of its validity (Unix milliseconds, 8 bytes) and the first 16 bytes of
//! an HMAC-SHA256 over them, in URL-safe base64. No state is kept for it: any proxy with the same keys accepts it.

use crate::message_auth::MessageKeys;
use crate::wire::front::SessionId;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;
use thiserror::Error;

/// Label of the signatures, which separates them from other uses of the keys.
const LABEL: &[u8] = b"calicobeam session 1";
/// Length of a session id, in bytes.
const ID_BYTES: usize = 16;
/// Length of the end of validity, in bytes.
const EXPIRY_BYTES: usize = 8;
/// Length of the truncated signature, in bytes.
const SIGNATURE_BYTES: usize = 16;
/// Length of a token before base64, in bytes.
const TOKEN_BYTES: usize = ID_BYTES + EXPIRY_BYTES + SIGNATURE_BYTES;

/// A token that is not valid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// The text is not a token.
    #[error("the text is not a session token")]
    Malformed,
    /// The signature is that of no key.
    #[error("the signature matches no key")]
    WrongSignature,
    /// The token has expired.
    #[error("the token has expired")]
    Expired,
}

/// A session, from its token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Session {
    /// Identifier of the session.
    pub id: SessionId,
    /// When its token expires, in Unix milliseconds.
    pub expires_ms: f64,
}

/// Issues and verifies tokens.
#[derive(Clone, Debug)]
pub struct SessionTokens {
    keys: MessageKeys,
    lifetime_ms: f64,
}

impl SessionTokens {
    /// Creates tokens that are signed by `keys` and valid for `lifetime_ms`.
    pub fn new(keys: MessageKeys, lifetime_ms: f64) -> Self {
        Self { keys, lifetime_ms }
    }

    /// Issues a token of a session at `now`, in Unix milliseconds.
    pub fn issue(&self, now: f64, id: SessionId) -> String {
        let (id, expiry) = (id.to_be_bytes(), ((now + self.lifetime_ms) as u64).to_be_bytes());
        let signature = self.keys.sign(LABEL, &[&id, &expiry]);
        URL_SAFE_NO_PAD.encode([&id[..], &expiry, &signature[..SIGNATURE_BYTES]].concat())
    }

    /// Returns the session of a token.
    pub fn verify(&self, now: f64, token: &str) -> Result<Session, TokenError> {
        let bytes = URL_SAFE_NO_PAD.decode(token).map_err(|_| TokenError::Malformed)?;
        let bytes: [u8; TOKEN_BYTES] = bytes.try_into().map_err(|_| TokenError::Malformed)?;
        let (id, rest) = bytes.split_first_chunk::<ID_BYTES>().expect("a whole token");
        let (expiry, signature) = rest.split_first_chunk::<EXPIRY_BYTES>().expect("a whole token");
        if !self.keys.verify(LABEL, &[id, expiry], signature) {
            return Err(TokenError::WrongSignature);
        }
        let expires_ms = u64::from_be_bytes(*expiry) as f64;
        if now >= expires_ms {
            return Err(TokenError::Expired);
        }
        Ok(Session { id: SessionId::from_be_bytes(*id), expires_ms })
    }

    /// Whether a new token of the session is due: less than half of the lifetime is left.
    pub fn needs_renewal(&self, now: f64, session: &Session) -> bool {
        session.expires_ms - now < self.lifetime_ms / 2.0
    }
}

#[cfg(test)]
mod tests;
