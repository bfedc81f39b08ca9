//! Signed session tokens, which authorize a client to resume the calls of its session. No I/O.
//!
//! A token is the session id (16 bytes), the expiry time (Unix milliseconds, 8 bytes) and the first 16 bytes
//! of an HMAC-SHA256 over both, in unpadded URL-safe base64. Tokens are stateless: any proxy with the same
//! keys accepts them.

use crate::message_auth::MessageKeys;
use crate::wire::front::SessionId;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;
use thiserror::Error;

/// Domain separation label of the signatures.
const LABEL: &[u8] = b"calicobeam session 1";
/// Length of a session id, in bytes.
const ID_BYTES: usize = 16;
/// Length of the expiry time, in bytes.
const EXPIRY_BYTES: usize = 8;
/// Length of the truncated signature, in bytes.
const SIGNATURE_BYTES: usize = 16;
/// Length of a token before base64 encoding, in bytes.
const TOKEN_BYTES: usize = ID_BYTES + EXPIRY_BYTES + SIGNATURE_BYTES;

/// Reason why a token is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// The text is not base64 or has the wrong length.
    #[error("malformed session token")]
    Malformed,
    /// The signature matches none of the keys.
    #[error("the signature of the session token matches no key")]
    WrongSignature,
    /// The token has expired.
    #[error("the session token has expired")]
    Expired,
}

/// A session, as stated by a verified token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Session {
    /// Identifier of the session.
    pub id: SessionId,
    /// Expiry time of the token, in Unix milliseconds.
    pub expires_ms: f64,
}

/// Issues and verifies session tokens.
#[derive(Clone, Debug)]
pub struct SessionTokens {
    keys: MessageKeys,
    lifetime_ms: f64,
}

impl SessionTokens {
    /// Creates an issuer whose tokens are signed with `keys` and valid for `lifetime_ms`.
    pub fn new(keys: MessageKeys, lifetime_ms: f64) -> Self {
        Self { keys, lifetime_ms }
    }

    /// Issues a token for a session at `now`, in Unix milliseconds.
    pub fn issue(&self, now: f64, id: SessionId) -> String {
        let (id, expiry) = (id.to_be_bytes(), ((now + self.lifetime_ms) as u64).to_be_bytes());
        let signature = self.keys.sign(LABEL, &[&id, &expiry]);
        URL_SAFE_NO_PAD.encode([&id[..], &expiry, &signature[..SIGNATURE_BYTES]].concat())
    }

    /// Verifies a token at `now`, in Unix milliseconds, and returns its session.
    pub fn verify(&self, now: f64, token: &str) -> Result<Session, TokenError> {
        let bytes = URL_SAFE_NO_PAD.decode(token).map_err(|_| TokenError::Malformed)?;
        let bytes: [u8; TOKEN_BYTES] = bytes.try_into().map_err(|_| TokenError::Malformed)?;
        let (id, rest) = bytes
            .split_first_chunk::<ID_BYTES>()
            .expect("the array holds an id, an expiry time and a signature");
        let (expiry, signature) = rest
            .split_first_chunk::<EXPIRY_BYTES>()
            .expect("the array holds an id, an expiry time and a signature");
        if !self.keys.verify(LABEL, &[id, expiry], signature) {
            return Err(TokenError::WrongSignature);
        }
        let expires_ms = u64::from_be_bytes(*expiry) as f64;
        if now >= expires_ms {
            return Err(TokenError::Expired);
        }
        Ok(Session { id: SessionId::from_be_bytes(*id), expires_ms })
    }

    /// Whether the session's token should be replaced: less than half of its lifetime is left.
    pub fn needs_renewal(&self, now: f64, session: &Session) -> bool {
        session.expires_ms - now < self.lifetime_ms / 2.0
    }
}

#[cfg(test)]
mod tests;
