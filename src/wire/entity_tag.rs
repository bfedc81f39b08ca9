//! Entity tags (RFC 9110, section 8.8.3). Inside the proxy a tag is kept without its quotes.

use crate::text::is_field_value;

/// The longest tag, in bytes.
const MAX_TAG: usize = 128;

/// How tags are compared (RFC 9110, section 8.8.3.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Weak tags match nothing.
    Strong,
    /// Weak tags match like strong ones.
    Weak,
}

/// The tag of an `If-None-Match` field; `None` where it has several tags, or one that the cache protocol
/// cannot carry.
pub fn parse_single_tag(field: &str) -> Option<String> {
    let tag = field.strip_prefix("W/").unwrap_or(field).strip_prefix('"')?.strip_suffix('"')?;
    (is_field_value(tag) && !tag.contains('"') && tag.len() <= MAX_TAG).then(|| tag.to_string())
}

/// Whether a list of tags contains a tag. `*` contains every tag.
pub fn list_contains(list: &str, tag: &str, comparison: Comparison) -> bool {
    let matches = |listed: &str| {
        let opaque = listed.strip_prefix("W/").filter(|_| comparison == Comparison::Weak).unwrap_or(listed);
        opaque.strip_prefix('"').and_then(|opaque| opaque.strip_suffix('"')) == Some(tag)
    };
    list.trim() == "*" || list.split(',').map(str::trim).any(matches)
}
