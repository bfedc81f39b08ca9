//! Surrogate keys: labels that an origin attaches to its responses, as in the `Surrogate-Key` and `Cache-Tag`
//! headers of CDNs. One purge removes all copies that carry a key.

use thiserror::Error;

/// Maximum length of a surrogate key, in bytes.
pub const MAX_SURROGATE_KEY_BYTES: usize = 128;

/// A string is not a valid surrogate key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a tag is 1 to {MAX_SURROGATE_KEY_BYTES} letters, digits or `-._~:`, not `{text}`")]
pub struct SurrogateKeyError {
    /// The text.
    pub text: String,
}

/// A surrogate key: 1 to [`MAX_SURROGATE_KEY_BYTES`] ASCII letters, digits or `-._~:`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SurrogateKey(Box<str>);

impl SurrogateKey {
    /// Creates a key from `text`, or returns an error if it is invalid.
    pub fn new(text: &str) -> Result<Self, SurrogateKeyError> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~:".contains(&b);
        if text.is_empty() || text.len() > MAX_SURROGATE_KEY_BYTES || !text.bytes().all(allowed) {
            return Err(SurrogateKeyError { text: text.to_string() });
        }
        Ok(Self(text.into()))
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
