//! The selector of a purge: one object, a group, a surrogate key, a pattern over the names of copies, or
//! every copy.
//!
//! A copy's name is `/CLASS/OBJECT/PART`, the object in 16 lower-case hex digits, the part in decimal: for
//! instance `/video-part/7f3a9c21e0b4d655/3`. It is derived from the request, so it is the same at every
//! proxy and cache server.

use super::glob::{Glob, GlobError};
use crate::surrogate_key::{SurrogateKey, SurrogateKeyError};
use crate::ObjectId;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The highest valid group number.
pub const MAX_GROUP: u32 = 65_535;
/// Number of hex digits of an object.
const OBJECT_DIGITS: usize = 16;
/// Maximum number of digits of a group.
const MAX_GROUP_DIGITS: usize = 5;

/// Why a string is not a valid selector.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SelectorError {
    /// The string is empty, or nothing follows the kind.
    #[error("an empty selector: give object:HEX16, group:N, tag:KEY, pattern:/GLOB or everything")]
    Empty,
    /// The kind before the colon is unknown.
    #[error("unknown selector kind `{0}`: use object, group, tag, pattern or everything")]
    UnknownKind(String),
    /// The object is not 16 lower-case hex digits.
    #[error("an object is 16 lower-case hex digits, not `{0}`")]
    Object(String),
    /// The group is not a number within its bounds.
    #[error("a group is a number from 0 to {MAX_GROUP}, not `{0}`")]
    Group(String),
    /// The surrogate key is rejected.
    #[error(transparent)]
    SurrogateKey(#[from] SurrogateKeyError),
    /// The pattern is rejected.
    #[error("pattern `{pattern}`: {source}")]
    Pattern {
        /// The pattern.
        pattern: String,
        /// Why it is rejected.
        source: GlobError,
    },
}

/// Which copies a purge covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// Every part of one object.
    Object(ObjectId),
    /// Every object of a group.
    Group(u32),
    /// Every copy with this surrogate key.
    SurrogateKey(SurrogateKey),
    /// Every copy whose name matches this pattern.
    Pattern(Glob),
    /// Every copy.
    Everything,
}

impl Selector {
    /// Whether this selector matches a copy.
    pub fn covers(&self, copy: &CachedCopy<'_>) -> bool {
        match self {
            Self::Object(object) => *object == copy.object,
            Self::Group(group) => *group == copy.group,
            Self::SurrogateKey(key) => copy.surrogate_keys.contains(key),
            Self::Pattern(glob) => glob.matches(copy.name),
            Self::Everything => true,
        }
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    /// Parses `object:HEX16`, `group:N`, `tag:KEY`, `pattern:/GLOB` or `everything`.
    fn from_str(text: &str) -> Result<Self, SelectorError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(SelectorError::Empty);
        }
        if text == "everything" {
            return Ok(Self::Everything);
        }
        let (kind, value) =
            text.split_once(':').ok_or_else(|| SelectorError::UnknownKind(text.to_string()))?;
        if value.is_empty() {
            return Err(SelectorError::Empty);
        }
        match kind {
            "object" => parse_object(value).map(Self::Object),
            "group" => parse_group(value).map(Self::Group),
            "tag" => Ok(Self::SurrogateKey(SurrogateKey::new(value)?)),
            "pattern" => match Glob::new(value) {
                Ok(glob) => Ok(Self::Pattern(glob)),
                Err(source) => Err(SelectorError::Pattern { pattern: value.to_string(), source }),
            },
            other => Err(SelectorError::UnknownKind(other.to_string())),
        }
    }
}

fn parse_object(text: &str) -> Result<ObjectId, SelectorError> {
    let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let well_formed = text.len() == OBJECT_DIGITS && text.bytes().all(is_lower_hex);
    let object = well_formed.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    object.ok_or_else(|| SelectorError::Object(text.to_string()))
}

fn parse_group(text: &str) -> Result<u32, SelectorError> {
    let well_formed =
        (1..=MAX_GROUP_DIGITS).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    let group = well_formed.then(|| text.parse().ok()).flatten().filter(|group| *group <= MAX_GROUP);
    group.ok_or_else(|| SelectorError::Group(text.to_string()))
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Object(object) => write!(f, "object:{object:016x}"),
            Self::Group(group) => write!(f, "group:{group}"),
            Self::SurrogateKey(key) => write!(f, "tag:{}", key.as_str()),
            Self::Pattern(glob) => write!(f, "pattern:{}", glob.as_str()),
            Self::Everything => f.write_str("everything"),
        }
    }
}

impl serde::Serialize for Selector {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Selector {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The properties of a cached copy that selectors match on.
#[derive(Clone, Copy, Debug)]
pub struct CachedCopy<'a> {
    /// Its name, `/CLASS/OBJECT/PART`.
    pub name: &'a str,
    /// The object.
    pub object: ObjectId,
    /// The object's group.
    pub group: u32,
    /// Its surrogate keys, as far as they are known.
    pub surrogate_keys: &'a [SurrogateKey],
}

/// The name of a copy: `/CLASS/OBJECT/PART`.
pub fn copy_name(class: &str, object: ObjectId, part: u32) -> String {
    format!("/{class}/{object:016x}/{part}")
}

#[cfg(test)]
mod tests;
