//! Rotatable keys for message authentication (HMAC-SHA256, RFC 2104). No I/O.
//!
//! A key file has one base64 key per line. The first key signs; all keys verify. Empty lines and lines that
//! begin with `#` are skipped.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Length of a signature, in bytes.
pub const SIGNATURE_BYTES: usize = 32;
/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 32;
/// Maximum number of keys in a file: the signing key, and keys that are being rotated in or out.
const MAX_KEYS: usize = 4;

/// The text of a key file is invalid.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A line is not valid base64.
    #[error("key {number}: {source}")]
    Encoding {
        /// Number of the key, from 1.
        number: usize,
        /// The decoder's error.
        source: base64::DecodeError,
    },
    /// A key is shorter than the minimum length.
    #[error("key {number}: {length} bytes are fewer than the minimum of {MIN_KEY_BYTES}")]
    TooShort {
        /// Number of the key, from 1.
        number: usize,
        /// Length of the key, in bytes.
        length: usize,
    },
    /// The number of keys is out of range.
    #[error("{count} keys; 1 to {MAX_KEYS} are allowed")]
    Count {
        /// The number of keys.
        count: usize,
    },
}

/// A set of keys: the first signs, all verify.
#[derive(Clone)]
pub struct MessageKeys(Vec<Vec<u8>>);

impl std::fmt::Debug for MessageKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl MessageKeys {
    /// Parses the text of a key file.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
        let keys = lines.enumerate().map(|(index, line)| decode_key(index + 1, line));
        let keys = keys.collect::<Result<Vec<_>, _>>()?;
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeyError::Count { count: keys.len() });
        }
        Ok(Self(keys))
    }

    /// Generates a random key that is unique to this process.
    pub fn random() -> Self {
        let half = || rand::random::<u128>().to_be_bytes();
        Self(vec![[half(), half()].concat()])
    }

    /// Signs a label and message parts with the first key. The label separates uses of the keys. Parts are
    /// not delimited: all but one must have a fixed length.
    pub fn sign(&self, label: &[u8], parts: &[&[u8]]) -> [u8; SIGNATURE_BYTES] {
        compute_mac(&self.0[0], label, parts).finalize().into_bytes().into()
    }

    /// Whether `signature`, possibly truncated, matches any key. Compares in constant time.
    pub fn verify(&self, label: &[u8], parts: &[&[u8]], signature: &[u8]) -> bool {
        self.0.iter().any(|key| compute_mac(key, label, parts).verify_truncated_left(signature).is_ok())
    }
}

/// Decodes the key on one line.
fn decode_key(number: usize, line: &str) -> Result<Vec<u8>, KeyError> {
    let key = STANDARD.decode(line).map_err(|source| KeyError::Encoding { number, source })?;
    if key.len() < MIN_KEY_BYTES {
        return Err(KeyError::TooShort { number, length: key.len() });
    }
    Ok(key)
}

/// Computes the HMAC of a label and message parts.
fn compute_mac(key: &[u8], label: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts a key of any length");
    mac.update(label);
    parts.iter().for_each(|part| mac.update(part));
    mac
}

#[cfg(test)]
mod tests;
