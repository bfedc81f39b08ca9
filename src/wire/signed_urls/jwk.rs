//! The keys of signed URLs, read from a JWK set (RFC 7517).

use base64::prelude::{Engine, BASE64_URL_SAFE_NO_PAD};
use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey};
use serde::Deserialize;
use std::collections::HashMap;
use thiserror::Error;

/// Maximum number of keys in a set, and of retired keys in a key ring.
pub(super) const MAX_KEYS: usize = 64;
/// Minimum size of an HS256 secret, in bytes: the size of the hash output (RFC 7518, section 3.2).
const MIN_SECRET_BYTES: usize = 32;
/// The size of a coordinate and of the private value of a P-256 key, in bytes.
const P256_BYTES: usize = 32;

/// The DER encoding of a P-256 key in PKCS #8 (RFC 5208, RFC 5915), up to the private value.
const P256_DER_PREFIX: [u8; 36] = [
    0x30, 0x81, 0x87, 0x02, 0x01, 0x00, 0x30, 0x13, 0x06, 0x07, 0x2a, 0x86, 0x48, 0xce, 0x3d, 0x02, 0x01,
    0x06, 0x08, 0x2a, 0x86, 0x48, 0xce, 0x3d, 0x03, 0x01, 0x07, 0x04, 0x6d, 0x30, 0x6b, 0x02, 0x01, 0x01,
    0x04, 0x20,
];
/// The DER encoding between the private value and the coordinates.
const P256_DER_MIDDLE: [u8; 6] = [0xa1, 0x44, 0x03, 0x42, 0x00, 0x04];

/// Why a JWK set is invalid.
#[derive(Debug, Error)]
pub enum JwkError {
    /// The text is not a JWK set.
    #[error("not a JWK set: {0}")]
    Malformed(simd_json::Error),
    /// A key is invalid.
    #[error("key at index {index}: {error}")]
    Key {
        /// The key's index in the set.
        index: usize,
        /// Why the key is invalid.
        error: KeyError,
    },
    /// The set has no key of a supported type and use.
    #[error("no key of a supported type (`oct`, or `EC` with `crv` P-256) whose `use` is absent or `sig`")]
    NoKeys,
    /// There are more than `MAX_KEYS` keys.
    #[error("more than {MAX_KEYS} keys")]
    TooManyKeys,
}

/// Why a key is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The algorithm does not match the key's type.
    #[error("`alg` must be HS256 for `oct`, and ES256 for `EC` with `crv` P-256")]
    AlgorithmMismatch,
    /// The key has no id, or an empty one.
    #[error("`kid` is missing or empty")]
    MissingId,
    /// Another key of the set has the same id.
    #[error("duplicate `kid`")]
    DuplicateId,
    /// A member is missing or not base64url.
    #[error("`{0}` is missing or not base64url")]
    NotBase64url(&'static str),
    /// The secret is shorter than `MIN_SECRET_BYTES`.
    #[error("`k` is shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort,
    /// The size of a coordinate is not that of the curve.
    #[error("`x` or `y` is not {P256_BYTES} bytes long")]
    CoordinateLength,
    /// The coordinates are not accepted as a public key.
    #[error("`x` and `y` are not a valid public key")]
    InvalidPublicKey,
    /// The private value is not base64url, or its size is not that of the curve.
    #[error("`d` is not {P256_BYTES} bytes of base64url")]
    PrivateKeyLength,
}

/// Keys by their ids.
pub type KeySet = HashMap<String, Key>;

/// A key, and the algorithm of its type.
#[derive(Clone)]
pub struct Key {
    /// Verifies signatures.
    pub verifying_key: DecodingKey,
    /// Signs renewed tokens; `None` for a public key.
    pub signing_key: Option<EncodingKey>,
    /// The only algorithm that the key is used with.
    pub algorithm: Algorithm,
    /// The secret, or the coordinates of the public key; two keys are the same if these are equal.
    material: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Key material must not be logged.
        write!(f, "Key({:?})", self.algorithm)
    }
}

impl Key {
    pub(super) fn is_same_key(&self, other: &Self) -> bool {
        self.material == other.material
    }
}

#[derive(Deserialize)]
struct JwkSet {
    keys: Vec<Jwk>,
}

#[derive(Deserialize)]
struct Jwk {
    #[serde(rename = "kty")]
    key_type: String,
    #[serde(rename = "kid")]
    id: Option<String>,
    #[serde(rename = "use")]
    purpose: Option<String>,
    #[serde(rename = "alg")]
    algorithm: Option<String>,
    #[serde(rename = "crv")]
    curve: Option<String>,
    #[serde(rename = "k")]
    secret: Option<String>,
    x: Option<String>,
    y: Option<String>,
    #[serde(rename = "d")]
    private_value: Option<String>,
}

/// Decodes unpadded base64url (RFC 4648, section 5); rejects non-canonical encodings.
pub fn decode_base64url(text: &str) -> Option<Vec<u8>> {
    BASE64_URL_SAFE_NO_PAD.decode(text).ok()
}

/// Decodes a required member of a JWK.
fn decode_member(text: &Option<String>, name: &'static str) -> Result<Vec<u8>, KeyError> {
    text.as_deref().and_then(decode_base64url).ok_or(KeyError::NotBase64url(name))
}

impl Jwk {
    /// The key with its id; `None` if its type or purpose is not supported.
    fn key(&self) -> Result<Option<(String, Key)>, KeyError> {
        let (algorithm, name) = match (self.key_type.as_str(), self.curve.as_deref()) {
            ("oct", _) => (Algorithm::HS256, "HS256"),
            ("EC", Some("P-256")) => (Algorithm::ES256, "ES256"),
            _ => return Ok(None),
        };
        if self.purpose.as_deref().is_some_and(|purpose| purpose != "sig") {
            return Ok(None);
        }
        if self.algorithm.as_deref().is_some_and(|alg| alg != name) {
            return Err(KeyError::AlgorithmMismatch);
        }
        let id = self.id.clone().filter(|id| !id.is_empty()).ok_or(KeyError::MissingId)?;
        let key = if algorithm == Algorithm::HS256 { self.hmac_key()? } else { self.p256_key()? };
        Ok(Some((id, key)))
    }

    fn hmac_key(&self) -> Result<Key, KeyError> {
        let secret = decode_member(&self.secret, "k")?;
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeyError::SecretTooShort);
        }
        Ok(Key {
            verifying_key: DecodingKey::from_secret(&secret),
            signing_key: Some(EncodingKey::from_secret(&secret)),
            algorithm: Algorithm::HS256,
            material: secret,
        })
    }

    fn p256_key(&self) -> Result<Key, KeyError> {
        let (x, y) = (decode_member(&self.x, "x")?, decode_member(&self.y, "y")?);
        if x.len() != P256_BYTES || y.len() != P256_BYTES {
            return Err(KeyError::CoordinateLength);
        }
        let (x_text, y_text) = (self.x.as_deref().unwrap_or_default(), self.y.as_deref().unwrap_or_default());
        let verifying_key =
            DecodingKey::from_ec_components(x_text, y_text).map_err(|_| KeyError::InvalidPublicKey)?;
        let signing_key = self.private_value.as_deref().map(|text| {
            let private_value =
                decode_base64url(text).filter(|private_value| private_value.len() == P256_BYTES);
            let private_value = private_value.ok_or(KeyError::PrivateKeyLength)?;
            let der = [&P256_DER_PREFIX[..], &private_value, &P256_DER_MIDDLE, &x, &y].concat();
            Ok(EncodingKey::from_ec_der(&der))
        });
        let signing_key = signing_key.transpose()?;
        Ok(Key { verifying_key, signing_key, algorithm: Algorithm::ES256, material: [x, y].concat() })
    }
}

/// Parses a JWK set. Keys of unsupported types or uses are skipped (RFC 7517, section 5).
pub fn parse_key_set(text: &[u8]) -> Result<KeySet, JwkError> {
    let set: JwkSet = simd_json::from_slice(&mut text.to_vec()).map_err(JwkError::Malformed)?;
    let mut keys = KeySet::new();
    for (index, jwk) in set.keys.iter().enumerate() {
        let error = |error| JwkError::Key { index, error };
        if let Some((id, key)) = jwk.key().map_err(error)? {
            if keys.insert(id, key).is_some() {
                return Err(error(KeyError::DuplicateId));
            }
        }
    }
    match keys.len() {
        0 => Err(JwkError::NoKeys),
        count if count > MAX_KEYS => Err(JwkError::TooManyKeys),
        _ => Ok(keys),
    }
}

#[cfg(test)]
mod tests;
