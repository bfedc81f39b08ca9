//! Keys for message authentication (HMAC-SHA256, RFC 2104) that rotate: a file with one in base64 on each line, of
//! which the first signs and all are accepted. No I/O.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a tag.
pub const TAG: usize = 32;
/// The shortest key, in bytes.
const MIN_KEY: usize = 32;
/// Keys at once at the most: the one that signs, and those on their way out or in.
const MAX_KEYS: usize = 4;

/// Keys: the first signs, all are accepted.
#[derive(Clone)]
pub struct Keys(Vec<Vec<u8>>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl Keys {
    /// Reads keys, one in base64 on each line; lines that are empty or begin with `#` are skipped.
    pub fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
        let mut keys = Vec::new();
        for (k, line) in lines.enumerate() {
            let key = STANDARD.decode(line).map_err(|e| format!("key {}: {e}", k + 1))?;
            if key.len() < MIN_KEY {
                return Err(format!("key {}: {} bytes are fewer than {MIN_KEY}", k + 1, key.len()));
            }
            keys.push(key);
        }
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(format!("{} keys are not within 1 to {MAX_KEYS}", keys.len()));
        }
        Ok(Self(keys))
    }

    /// One key that nobody else knows, good as long as the process.
    pub fn random() -> Self {
        let half = || rand::random::<u128>().to_be_bytes();
        Self(vec![[half(), half()].concat()])
    }

    fn mac(key: &[u8], label: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length will do");
        mac.update(label);
        parts.iter().for_each(|part| mac.update(part));
        mac
    }

    /// The first key's tag over a label, which says what for, and parts of fixed places.
    pub fn sign(&self, label: &[u8], parts: &[&[u8]]) -> [u8; TAG] {
        Self::mac(&self.0[0], label, parts).finalize().into_bytes().into()
    }

    /// Whether a tag, or its first bytes, is that of any key; compared in constant time.
    pub fn verify(&self, label: &[u8], parts: &[&[u8]], tag: &[u8]) -> bool {
        self.0.iter().any(|key| Self::mac(key, label, parts).verify_truncated_left(tag).is_ok())
    }
}

#[cfg(test)]
mod tests;
