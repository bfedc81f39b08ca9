//! The URI container of a token: the URIs that the token grants access to (RFC 9246, section 2.1.15).

use super::jwk::decode_base64url;
use super::verifier::TokenError;
use regex::{Regex, RegexBuilder};
use sha2::{Digest, Sha256};

/// Maximum size of a compiled regular expression, in bytes.
const MAX_REGEX_BYTES: usize = 65_536;

/// Whether a container matches a URI, by its hash (RFC 6920, URL segment form) or by a regular expression
/// that must match the whole URI.
pub(super) fn contains(container: &str, uri: &str) -> Result<bool, TokenError> {
    if let Some(hash) = container.strip_prefix("hash:") {
        let digest = hash.strip_prefix("sha-256;").ok_or(TokenError::Forbidden)?;
        let expected = decode_base64url(digest).ok_or(TokenError::Forbidden)?;
        return Ok(expected[..] == Sha256::digest(uri.as_bytes())[..]);
    }
    let pattern = container.strip_prefix("regex:").ok_or(TokenError::Forbidden)?;
    // The pattern must also compile on its own: one such as `x)|(?:.*` compiles only inside the group and
    // would escape the anchors.
    compile(pattern)?;
    Ok(compile(&format!("^(?:{pattern})$"))?.is_match(uri))
}

fn compile(pattern: &str) -> Result<Regex, TokenError> {
    let regex = RegexBuilder::new(pattern).size_limit(MAX_REGEX_BYTES).build();
    regex.map_err(|_| TokenError::Forbidden)
}
