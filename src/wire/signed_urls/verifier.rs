//! The verification of tokens: signature, claims, and the URI that a token opens.

use super::jwk::{decode_base64url, Key};
use super::key_ring::KeyRing;
use super::renewal::Renewal;
use super::uri_container;
use jsonwebtoken::{decode, decode_header, Validation};
use serde::Deserialize;
use thiserror::Error;

/// The claims that a token may mark as critical: those that are understood and verified here.
const UNDERSTOOD_CLAIMS: [&str; 10] =
    ["iss", "exp", "nbf", "iat", "sub", "cdniv", "cdniuc", "cdniets", "cdnistt", "cdnistd"];
/// The version of URI signing (RFC 9246, section 2.1.11).
const VERSION: f64 = 1.0;
/// The transports of renewed tokens (RFC 9246, section 2.1.17).
const NO_RENEWAL: f64 = 0.0;
const RENEWAL_BY_COOKIE: f64 = 1.0;

/// Why a token opens nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TokenError {
    /// It cannot be parsed.
    #[error("the token cannot be parsed")]
    Malformed,
    /// It does not open this request at this time.
    #[error("the token does not open this request")]
    Forbidden,
}

impl TokenError {
    /// The status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Forbidden => 403,
        }
    }
}

/// The claims that are verified. Those that must be rejected where they cannot be verified are parsed as present.
#[derive(Debug, Deserialize)]
pub(super) struct Claims {
    #[serde(rename = "iss")]
    issuer: Option<String>,
    #[serde(rename = "exp")]
    expires_s: Option<f64>,
    #[serde(rename = "nbf")]
    not_before_s: Option<f64>,
    #[serde(rename = "aud")]
    audience: Option<Present>,
    #[serde(rename = "jti")]
    nonce: Option<Present>,
    #[serde(rename = "cdniv")]
    version: Option<f64>,
    #[serde(rename = "cdnicrit")]
    critical: Option<String>,
    #[serde(rename = "cdniip")]
    client_ip: Option<Present>,
    #[serde(rename = "cdniuc")]
    uri_container: Option<String>,
    #[serde(rename = "cdniets")]
    pub(super) renewal_s: Option<f64>,
    #[serde(rename = "cdnistt")]
    renewal_transport: Option<f64>,
    #[serde(rename = "cdnistd")]
    pub(super) renewal_path_segments: Option<f64>,
}

/// A value of any type, of which only its presence matters.
#[derive(Debug, Deserialize)]
#[serde(from = "serde::de::IgnoredAny")]
struct Present;

impl From<serde::de::IgnoredAny> for Present {
    fn from(_: serde::de::IgnoredAny) -> Self {
        Self
    }
}

impl Claims {
    fn has_unsupported_critical_claim(&self) -> bool {
        let critical = self.critical.iter().flat_map(|names| names.split(',')).map(str::trim);
        critical.into_iter().any(|name| !UNDERSTOOD_CLAIMS.contains(&name))
    }

    /// Whether it has a claim that cannot be verified here: RFC 9246 has such tokens rejected.
    fn has_unverifiable_claim(&self) -> bool {
        [&self.audience, &self.nonce, &self.client_ip].iter().any(|claim| claim.is_some())
    }

    /// Whether the token is valid at `now`, in Unix milliseconds, with clocks that differ by `leeway_ms`.
    fn is_valid_at(&self, now: f64, leeway_ms: f64) -> bool {
        let is_current = self.expires_s.is_some_and(|expires| now < expires * 1_000.0 + leeway_ms);
        is_current && self.not_before_s.is_none_or(|from| now >= from * 1_000.0 - leeway_ms)
    }
}

/// The URI of a request, as tokens name it.
#[derive(Clone, Copy, Debug)]
pub struct SignedUri<'a> {
    /// The URI that the token must open.
    pub requested: &'a str,
    /// A URI that the same token must not open.
    pub excluded: &'a str,
}

/// Verifies tokens.
#[derive(Debug)]
pub struct TokenVerifier {
    /// The keys.
    pub keys: KeyRing,
    /// The one issuer whose tokens are accepted.
    pub issuer: String,
    /// How far clocks may differ, in milliseconds.
    pub leeway_ms: f64,
}

impl TokenVerifier {
    /// Verifies that a token opens a URI at `now`, in Unix milliseconds; returns its renewal, if it asks for one.
    pub fn verify(&self, token: &str, uri: SignedUri<'_>, now: f64) -> Result<Option<Renewal>, TokenError> {
        let mut parts = token.split('.');
        let shape = (parts.next(), parts.next(), parts.next(), parts.next());
        let (Some(header), Some(payload), Some(_), None) = shape else { return Err(TokenError::Malformed) };
        // A header with critical extensions is rejected (RFC 7515, section 4.1.11): none is supported.
        if has_critical_extensions(header)? {
            return Err(TokenError::Forbidden);
        }
        let header = decode_header(token).map_err(|_| TokenError::Forbidden)?;
        let key_id = header.kid.ok_or(TokenError::Forbidden)?;
        let mut keys = self.keys.find(&key_id, now).filter(|key| key.algorithm == header.alg);
        let claims = keys.find_map(|key| verify_signature(token, key)).ok_or(TokenError::Forbidden)?;
        self.verify_claims(&claims, uri, now)?;
        match claims.renewal_transport {
            None | Some(NO_RENEWAL) => Ok(None),
            Some(RENEWAL_BY_COOKIE) => {
                let signer = self.keys.signer(&key_id);
                let renewal = signer.and_then(|signer| Renewal::sign(payload, &claims, &signer, now));
                renewal.ok_or(TokenError::Forbidden).map(Some)
            }
            Some(_) => Err(TokenError::Forbidden),
        }
    }

    fn verify_claims(&self, claims: &Claims, uri: SignedUri<'_>, now: f64) -> Result<(), TokenError> {
        // A missing version is the first one; any other is not understood.
        let is_acceptable = claims.version.is_none_or(|version| version == VERSION)
            && !claims.has_unsupported_critical_claim()
            && !claims.has_unverifiable_claim()
            && claims.issuer.as_deref() == Some(&self.issuer)
            && claims.is_valid_at(now, self.leeway_ms);
        if !is_acceptable {
            return Err(TokenError::Forbidden);
        }
        let container = claims.uri_container.as_deref().ok_or(TokenError::Forbidden)?;
        let opens = uri_container::contains(container, uri.requested)?
            && !uri_container::contains(container, uri.excluded)?;
        opens.then_some(()).ok_or(TokenError::Forbidden)
    }
}

/// The claims of a token whose signature a key verifies, by the key's own algorithm: a token must not choose how it is
/// verified.
fn verify_signature(token: &str, key: &Key) -> Option<Claims> {
    let mut validation = Validation::new(key.algorithm);
    // The claims are verified here, by the proxy's clock.
    (validation.validate_exp, validation.validate_nbf, validation.validate_aud) = (false, false, false);
    validation.required_spec_claims.clear();
    decode::<Claims>(token, &key.verifying, &validation).ok().map(|token| token.claims)
}

/// Whether a token's header has the member `crit`.
fn has_critical_extensions(header: &str) -> Result<bool, TokenError> {
    #[derive(Deserialize)]
    struct Extensions {
        crit: Option<Present>,
    }
    let mut text = decode_base64url(header).ok_or(TokenError::Malformed)?;
    let header: Extensions = simd_json::from_slice(&mut text).map_err(|_| TokenError::Malformed)?;
    Ok(header.crit.is_some())
}
