//! The keys that links are signed with: a JWK set (RFC 7517), and what a rotation leaves behind.

use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey};
use serde::Deserialize;
use std::collections::HashMap;
use thiserror::Error;

/// The most keys of a set, and the most that a ring still holds after they were rotated out.
const MAX_KEYS: usize = 64;
/// The shortest secret, in bytes: RFC 7518 asks as many of HS256 as its hash is long.
const MIN_SECRET: usize = 32;

/// What stands before, and between, the numbers of a P-256 key in PKCS #8 (RFC 5208, RFC 5915).
const P256_HEAD: [u8; 36] = [
    0x30, 0x81, 0x87, 0x02, 0x01, 0x00, 0x30, 0x13, 0x06, 0x07, 0x2a, 0x86, 0x48, 0xce, 0x3d, 0x02, 0x01,
    0x06, 0x08, 0x2a, 0x86, 0x48, 0xce, 0x3d, 0x03, 0x01, 0x07, 0x04, 0x6d, 0x30, 0x6b, 0x02, 0x01, 0x01,
    0x04, 0x20,
];
const P256_MIDDLE: [u8; 6] = [0xa1, 0x44, 0x03, 0x42, 0x00, 0x04];

/// What is wrong with a set of keys.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeysError {
    /// The text is no JWK set.
    #[error("not a JWK set: {0}")]
    Malformed(String),
    /// One of its keys can't be used.
    #[error("key {0}: {1}")]
    Key(usize, &'static str),
    /// It holds no key that can be used, or too many.
    #[error("{0}")]
    Count(&'static str),
}

/// A key with the one algorithm that its type allows.
#[derive(Clone)]
pub struct Key {
    /// What signatures are checked with.
    pub key: DecodingKey,
    /// What renewed tokens are signed with, where the set holds it.
    pub signing: Option<EncodingKey>,
    /// How.
    pub algorithm: Algorithm,
    material: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Never the key itself.
        write!(f, "Key({:?})", self.algorithm)
    }
}

#[derive(Deserialize)]
struct Set {
    keys: Vec<Jwk>,
}

#[derive(Deserialize)]
struct Jwk {
    kty: String,
    kid: Option<String>,
    #[serde(rename = "use")]
    purpose: Option<String>,
    alg: Option<String>,
    crv: Option<String>,
    k: Option<String>,
    x: Option<String>,
    y: Option<String>,
    d: Option<String>,
}

/// Bytes of unpadded base64url, in its one spelling.
pub fn base64url(text: &str) -> Option<Vec<u8>> {
    let (mut out, mut held, mut bits) = (Vec::with_capacity(text.len() * 3 / 4), 0u32, 0);
    for byte in text.bytes() {
        let value = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'-' => 62,
            b'_' => 63,
            _ => return None,
        };
        held = held << 6 | u32::from(value);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((held >> bits) as u8);
            held &= (1 << bits) - 1;
        }
    }
    (bits < 6 && held == 0).then_some(out)
}

impl Jwk {
    /// The key, or `None` for a type that this proxy has no use for.
    fn key(&self, place: usize) -> Result<Option<(String, Key)>, KeysError> {
        let fault = |reason| KeysError::Key(place, reason);
        let algorithm = match (self.kty.as_str(), self.crv.as_deref()) {
            ("oct", _) => Algorithm::HS256,
            ("EC", Some("P-256")) => Algorithm::ES256,
            _ => return Ok(None),
        };
        if self.purpose.as_deref().is_some_and(|purpose| purpose != "sig") {
            return Ok(None);
        }
        let name = if algorithm == Algorithm::HS256 { "HS256" } else { "ES256" };
        if self.alg.as_deref().is_some_and(|alg| alg != name) {
            return Err(fault("`alg` is not that of its type"));
        }
        let kid = self.kid.clone().filter(|kid| !kid.is_empty()).ok_or(fault("no `kid`"))?;
        let part = |text: &Option<String>, reason| text.as_deref().and_then(base64url).ok_or(fault(reason));
        let key = if algorithm == Algorithm::HS256 {
            let secret = part(&self.k, "`k` is not base64url")?;
            if secret.len() < MIN_SECRET {
                return Err(fault("`k` is too short"));
            }
            let signing = Some(EncodingKey::from_secret(&secret));
            Key { key: DecodingKey::from_secret(&secret), signing, algorithm, material: secret }
        } else {
            let (x, y) = (part(&self.x, "`x` is not base64url")?, part(&self.y, "`y` is not base64url")?);
            if x.len() != 32 || y.len() != 32 {
                return Err(fault("a coordinate has not 32 bytes"));
            }
            let (tx, ty) = (self.x.as_deref().unwrap_or_default(), self.y.as_deref().unwrap_or_default());
            let key = DecodingKey::from_ec_components(tx, ty).map_err(|_| fault("not a point"))?;
            let signing = match &self.d {
                None => None,
                Some(text) => {
                    let d = base64url(text).filter(|d| d.len() == 32).ok_or(fault("`d` has not 32 bytes"))?;
                    Some(EncodingKey::from_ec_der(&[&P256_HEAD[..], &d, &P256_MIDDLE, &x, &y].concat()))
                }
            };
            Key { key, signing, algorithm, material: [x, y].concat() }
        };
        Ok(Some((kid, key)))
    }
}

/// Reads a JWK set. Types of keys that are of no use here are skipped, as RFC 7517 asks.
pub fn read(text: &[u8]) -> Result<HashMap<String, Key>, KeysError> {
    let set: Set =
        simd_json::from_slice(&mut text.to_vec()).map_err(|e| KeysError::Malformed(e.to_string()))?;
    let mut keys = HashMap::new();
    for (place, jwk) in set.keys.iter().enumerate() {
        if let Some((kid, key)) = jwk.key(place)? {
            if keys.insert(kid, key).is_some() {
                return Err(KeysError::Key(place, "a `kid` stands twice"));
            }
        }
    }
    match keys.len() {
        0 => Err(KeysError::Count("no key that can be used")),
        n if n > MAX_KEYS => Err(KeysError::Count("too many keys")),
        _ => Ok(keys),
    }
}

/// The keys of now, and those rotated out a while ago.
#[derive(Debug)]
pub struct KeyRing {
    keys: HashMap<String, Key>,
    /// With the time until which each is good.
    old: Vec<(String, Key, f64)>,
    overlap_ms: f64,
}

impl KeyRing {
    /// A ring of these keys; one that is rotated out is good for `overlap_ms` more.
    pub fn new(keys: HashMap<String, Key>, overlap_ms: f64) -> Self {
        Self { keys, old: Vec::new(), overlap_ms }
    }

    /// Takes a new set. Guards the links that were issued a moment before it: what it lacks stays good for the
    /// overlap.
    pub fn rotate(&mut self, keys: HashMap<String, Key>, now: f64) {
        let until = now + self.overlap_ms;
        self.old.retain(|(_, _, until)| now < *until);
        for (kid, key) in std::mem::replace(&mut self.keys, keys) {
            if self.keys.get(&kid).is_none_or(|k| k.material != key.material) {
                self.old.push((kid, key, until));
            }
        }
        let most = self.old.len().saturating_sub(MAX_KEYS);
        self.old.drain(..most);
    }

    /// What a renewed token is signed with, and that key's name: the present key of the name, or, where that name
    /// was rotated out, the first present one that can sign. Guards a clip that is watched across a rotation.
    pub fn signer<'a>(&'a self, kid: &'a str) -> Option<(&'a str, &'a Key)> {
        let able = |key: &Key| key.signing.is_some();
        match self.keys.get(kid) {
            Some(key) => able(key).then_some((kid, key)),
            None => {
                let all = self.keys.iter().filter(|(_, key)| able(key));
                all.min_by_key(|(name, _)| *name).map(|(name, key)| (name.as_str(), key))
            }
        }
    }

    /// The keys of a name that are good at `now`, that of the present set first.
    pub fn find<'a>(&'a self, kid: &'a str, now: f64) -> impl Iterator<Item = &'a Key> {
        let old = self.old.iter().filter(move |(k, _, until)| k == kid && now < *until);
        self.keys.get(kid).into_iter().chain(old.map(|(_, key, _)| key))
    }
}

#[cfg(test)]
mod tests;
