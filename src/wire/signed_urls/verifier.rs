//! Token verification: the signature, the claims and the requested URI.

use super::jwk::{decode_base64url, Key};
use super::key_ring::KeyRing;
use super::renewal::Renewal;
use super::uri_container;
use jsonwebtoken::{decode, decode_header, Validation};
use serde::Deserialize;
use thiserror::Error;

/// The claims that a token may mark as critical.
const SUPPORTED_CLAIMS: [&str; 10] =
    ["iss", "exp", "nbf", "iat", "sub", "cdniv", "cdniuc", "cdniets", "cdnistt", "cdnistd"];
/// The supported version of the claim set, `cdniv` (RFC 9246, section 2.1.11).
const SUPPORTED_VERSION: f64 = 1.0;
// The supported values of `cdnistt`, the transport of renewed tokens (RFC 9246, section 2.1.17).
const NO_RENEWAL: f64 = 0.0;
const RENEWAL_BY_COOKIE: f64 = 1.0;

/// Why a token is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The token is not a well-formed JWT.
    #[error("the token is malformed")]
    Malformed,
    /// The token is invalid, expired or issued for another URI.
    #[error("the token does not authorize this request")]
    Forbidden,
}

impl TokenError {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Forbidden => 403,
        }
    }
}

/// The claims that are evaluated, and unsupported claims whose presence causes a token to be rejected.
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
    jwt_id: Option<Present>,
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

/// A claim or header parameter of any type, parsed only for its presence.
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
        critical.into_iter().any(|name| !SUPPORTED_CLAIMS.contains(&name))
    }

    /// Whether the token has a claim that restricts its use but is not supported: `aud`, `jti` or `cdniip`.
    fn has_unverifiable_claim(&self) -> bool {
        [&self.audience, &self.jwt_id, &self.client_ip].iter().any(|claim| claim.is_some())
    }

    /// Whether the token is valid at `now`, in Unix milliseconds, with a permitted clock skew of `leeway_ms`.
    fn is_valid_at(&self, now: f64, leeway_ms: f64) -> bool {
        let is_unexpired = self.expires_s.is_some_and(|expires| now < expires * 1_000.0 + leeway_ms);
        is_unexpired && self.not_before_s.is_none_or(|from| now >= from * 1_000.0 - leeway_ms)
    }
}

/// The absolute URIs that a token is checked against.
#[derive(Clone, Copy, Debug)]
pub struct SignedUri<'a> {
    /// The URI of the request, which the token must match.
    pub requested: &'a str,
    /// A URI that the token must not match, so that patterns that are too broad are rejected.
    pub excluded: &'a str,
}

/// Verifies tokens of one issuer.
#[derive(Debug)]
pub struct TokenVerifier {
    /// The keys that verify tokens and sign renewed ones.
    pub keys: KeyRing,
    /// The only accepted value of the claim `iss`.
    pub issuer: String,
    /// Permitted clock skew, in milliseconds.
    pub leeway_ms: f64,
}

impl TokenVerifier {
    /// Verifies that a token grants access to a URI at `now`, in Unix milliseconds. Returns the renewed token
    /// if the claims request one.
    pub fn verify(&self, token: &str, uri: SignedUri<'_>, now: f64) -> Result<Option<Renewal>, TokenError> {
        let mut parts = token.split('.');
        let jwt = (parts.next(), parts.next(), parts.next(), parts.next());
        let (Some(header), Some(payload), Some(_), None) = jwt else { return Err(TokenError::Malformed) };
        // No critical extension is supported, so a header that lists any is rejected (RFC 7515, section
        // 4.1.11).
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
        // A missing version means version 1; no other version is supported.
        let is_acceptable = claims.version.is_none_or(|version| version == SUPPORTED_VERSION)
            && !claims.has_unsupported_critical_claim()
            && !claims.has_unverifiable_claim()
            && claims.issuer.as_deref() == Some(&self.issuer)
            && claims.is_valid_at(now, self.leeway_ms);
        if !is_acceptable {
            return Err(TokenError::Forbidden);
        }
        let container = claims.uri_container.as_deref().ok_or(TokenError::Forbidden)?;
        let is_granted = uri_container::contains(container, uri.requested)?
            && !uri_container::contains(container, uri.excluded)?;
        is_granted.then_some(()).ok_or(TokenError::Forbidden)
    }
}

/// Verifies a token's signature with a key and returns the claims. The algorithm is the key's: a token must
/// not choose how it is verified.
fn verify_signature(token: &str, key: &Key) -> Option<Claims> {
    let mut validation = Validation::new(key.algorithm);
    // The caller verifies the claims against the proxy's own clock.
    (validation.validate_exp, validation.validate_nbf, validation.validate_aud) = (false, false, false);
    validation.required_spec_claims.clear();
    decode::<Claims>(token, &key.verifying_key, &validation).ok().map(|token| token.claims)
}

/// Whether a token's header has the parameter `crit`.
fn has_critical_extensions(header: &str) -> Result<bool, TokenError> {
    #[derive(Deserialize)]
    struct Extensions {
        crit: Option<Present>,
    }
    let mut text = decode_base64url(header).ok_or(TokenError::Malformed)?;
    let header: Extensions = simd_json::from_slice(&mut text).map_err(|_| TokenError::Malformed)?;
    Ok(header.crit.is_some())
}
