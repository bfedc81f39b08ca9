//! Surrogate keys: the labels that an origin gives to its responses, as CDNs carry them in `Surrogate-Key` or
//! `Cache-Tag`, so that one purge removes every copy with a label.

use thiserror::Error;

/// The longest surrogate key, in bytes.
pub const MAX_SURROGATE_KEY: usize = 128;

/// A text that is no surrogate key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a tag is 1 to {MAX_SURROGATE_KEY} letters, digits or `-._~:`, not `{text}`")]
pub struct SurrogateKeyError {
    /// The text.
    pub text: String,
}

/// A surrogate key: 1 to [`MAX_SURROGATE_KEY`] ASCII letters, digits or `-._~:`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SurrogateKey(Box<str>);

impl SurrogateKey {
    /// Checks a text.
    pub fn new(text: &str) -> Result<Self, SurrogateKeyError> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~:".contains(&b);
        if text.is_empty() || text.len() > MAX_SURROGATE_KEY || !text.bytes().all(allowed) {
            return Err(SurrogateKeyError { text: text.to_string() });
        }
        Ok(Self(text.into()))
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
