//! Signed token renewal (RFC 9246, section 3): a response sets a cookie with a new token that expires later.

use super::jwk::{decode_base64url, Key};
use super::key_ring::Signer;
use super::verifier::Claims;
use super::TOKEN_PARAMETER;
use jsonwebtoken::{encode, Header};
use simd_json::prelude::*;

/// Maximum validity of a renewed token, in seconds.
const MAX_VALIDITY_S: f64 = 86_400.0;
/// Maximum number of path segments in a cookie's scope.
const MAX_PATH_SEGMENTS: f64 = 16.0;

/// A renewed token and the attributes of its cookie.
#[derive(Clone, Debug, PartialEq)]
pub struct Renewal {
    token: String,
    /// Validity from the time of renewal, in seconds.
    validity_s: f64,
    /// Number of leading path segments in the cookie's scope; 0 for all paths.
    path_segments: usize,
}

impl Renewal {
    /// Signs the claims of a token again with a new expiry time; `payload` is the token's base64url-encoded
    /// payload. `None` if the renewal claims are missing or invalid, or if signing fails.
    pub(super) fn sign(payload: &str, claims: &Claims, signer: &Signer<'_>, now: f64) -> Option<Self> {
        let validity_s = claims.renewal_s.filter(|s| (1.0..=MAX_VALIDITY_S).contains(s))?;
        let path_segments = claims.renewal_path_segments.unwrap_or(0.0);
        if !(0.0..=MAX_PATH_SEGMENTS).contains(&path_segments) || path_segments.fract() != 0.0 {
            return None;
        }
        let mut text = decode_base64url(payload)?;
        let mut body = simd_json::to_owned_value(&mut text).ok()?;
        body.try_insert("exp", (now / 1_000.0 + validity_s).floor() as u64);
        let Signer { key_id, key: Key { algorithm, signing_key, .. } } = signer;
        let header = Header { kid: Some(key_id.to_string()), ..Header::new(*algorithm) };
        let token = encode(&header, &body, signing_key.as_ref()?).ok()?;
        Some(Self { token, validity_s, path_segments: path_segments as usize })
    }

    /// The value of `Set-Cookie` in the response to a request for `path`.
    pub(super) fn cookie(&self, path: &str, secure: bool) -> String {
        let segments: Vec<&str> = path.split('/').skip(1).take(self.path_segments).collect();
        let secure = if secure { "; Secure" } else { "" };
        let (scope, max_age) = (segments.join("/"), self.validity_s.floor());
        format!("{TOKEN_PARAMETER}={}; Path=/{scope}; Max-Age={max_age}; HttpOnly{secure}", self.token)
    }
}
