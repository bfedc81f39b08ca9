//! What a purge names: one object, a group, a surrogate key (a tag, as CDNs use `Surrogate-Key` or `Cache-Tag`),
//! a pattern over copies' names, or every copy.
//!
//! A copy's name is `/CLASS/OBJECT/PART`, the object in 16 lower-case hex digits, the part in decimal: for
//! instance `/video-part/7f3a9c21e0b4d655/3`. It is the same at every proxy and box, since all of it stands in
//! the request that a proxy sends on.
//!
//! Patterns are globs whose cost is bounded when they are submitted, never while serving: `*` matches a run of
//! characters within one step of the name, `?` one character, and a last step `**` all that follows. At most
//! [`MAX_WILDCARDS`] wildcards and [`MAX_PATTERN`] bytes, so that matching a name costs at most a few hundred
//! steps. Classes of characters, braces and escapes are refused.

use crate::ObjectId;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The longest pattern, in bytes.
pub const MAX_PATTERN: usize = 256;
/// The most wildcards in a pattern: `*`, `?` and a final `**` count one each.
pub const MAX_WILDCARDS: usize = 8;
/// The longest tag, in bytes.
pub const MAX_TAG: usize = 128;
/// The highest group number.
pub const MAX_GROUP: u32 = 65_535;

/// Why a selector is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SelectorError {
    /// Nothing was given.
    #[error("an empty selector: give object:HEX16, group:N, tag:KEY, pattern:/GLOB or everything")]
    Empty,
    /// The kind before the colon is not known.
    #[error("unknown selector kind `{0}`: use object, group, tag, pattern or everything")]
    Kind(String),
    /// An object that is not 16 hex digits.
    #[error("an object is 16 hex digits, not `{0}`")]
    Object(String),
    /// A group that is not a plain number within bounds.
    #[error("a group is a number from 0 to {MAX_GROUP}, not `{0}`")]
    Group(String),
    /// A tag that is empty, too long or has characters outside letters, digits and `-._~:`.
    #[error("a tag is 1 to {MAX_TAG} letters, digits or `-._~:`, not `{0}`")]
    Tag(String),
    /// A pattern whose form or cost is out of bounds.
    #[error("pattern `{pattern}`: {reason}")]
    Pattern {
        /// The pattern as given.
        pattern: String,
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// A surrogate key, checked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tag(Box<str>);

impl Tag {
    /// A tag from its text: 1 to [`MAX_TAG`] letters, digits or `-._~:`.
    pub fn new(text: &str) -> Result<Self, SelectorError> {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~:".contains(&b);
        if text.is_empty() || text.len() > MAX_TAG || !text.bytes().all(plain) {
            return Err(SelectorError::Tag(text.to_string()));
        }
        Ok(Self(text.into()))
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One step of a pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Matches this text alone.
    Literal(Box<str>),
    /// Has `*` or `?` in it.
    Wild(Box<str>),
}

/// A bounded glob over copies' names. See the module's page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Glob {
    text: Box<str>,
    steps: Vec<Step>,
    /// A last step `**`: all that follows matches.
    rest: bool,
}

impl Glob {
    /// Checks and compiles a pattern.
    pub fn new(text: &str) -> Result<Self, SelectorError> {
        let fault = |reason| Err(SelectorError::Pattern { pattern: text.to_string(), reason });
        if text.is_empty() || !text.starts_with('/') {
            return fault("a pattern begins with `/`, as a copy's name does");
        }
        if text.len() > MAX_PATTERN {
            return fault("longer than 256 bytes");
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return fault("only visible ASCII characters, no spaces");
        }
        if text.contains(['[', ']', '{', '}', '\\']) {
            return fault("classes, braces and escapes are not supported: use `*` and `?`");
        }
        let mut steps = Vec::new();
        let mut rest = false;
        let mut wildcards = 0;
        let parts: Vec<&str> = text[1..].split('/').collect();
        for (place, part) in parts.iter().enumerate() {
            if *part == "**" {
                if place + 1 != parts.len() {
                    return fault("`**` may stand only as the last step");
                }
                rest = true;
                wildcards += 1;
                continue;
            }
            if part.contains("**") {
                return fault("`**` must be a whole step");
            }
            if part.is_empty() && place + 1 != parts.len() {
                return fault("an empty step");
            }
            let wild = part.bytes().filter(|b| *b == b'*' || *b == b'?').count();
            wildcards += wild;
            steps.push(if wild == 0 { Step::Literal((*part).into()) } else { Step::Wild((*part).into()) });
        }
        if wildcards > MAX_WILDCARDS {
            return fault("more than 8 wildcards");
        }
        Ok(Self { text: text.into(), steps, rest })
    }

    /// The pattern as given.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// What stands before the first wildcard, such as `/video-part/7f3a`: every name that matches begins with
    /// it. A pattern without wildcards is all stem.
    pub fn stem(&self) -> &str {
        let end = self.text.find(['*', '?']).unwrap_or(self.text.len());
        &self.text[..end]
    }

    /// Whether the pattern has no wildcard: it names one copy.
    pub fn is_exact(&self) -> bool {
        !self.rest && self.steps.iter().all(|s| matches!(s, Step::Literal(_)))
    }

    /// Whether a copy's name matches. The cost is at most the name's length times the wildcards of a step.
    pub fn matches(&self, name: &str) -> bool {
        let Some(name) = name.strip_prefix('/') else { return false };
        let mut parts = name.split('/');
        for step in &self.steps {
            let Some(part) = parts.next() else { return false };
            let fits = match step {
                Step::Literal(text) => **text == *part,
                Step::Wild(glob) => wild_match(glob.as_bytes(), part.as_bytes()),
            };
            if !fits {
                return false;
            }
        }
        self.rest || parts.next().is_none()
    }
}

/// `*` and `?` within one step, by the greedy way with one point to go back to: linear for one `*`, and at most
/// the length times the wildcards otherwise.
fn wild_match(glob: &[u8], text: &[u8]) -> bool {
    let (mut g, mut t) = (0, 0);
    let mut back: Option<(usize, usize)> = None;
    while t < text.len() {
        if g < glob.len() && (glob[g] == b'?' || glob[g] == text[t]) {
            g += 1;
            t += 1;
        } else if g < glob.len() && glob[g] == b'*' {
            back = Some((g, t));
            g += 1;
        } else if let Some((bg, bt)) = back {
            g = bg + 1;
            t = bt + 1;
            back = Some((bg, bt + 1));
        } else {
            return false;
        }
    }
    glob[g..].iter().all(|b| *b == b'*')
}

/// What a purge removes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// Every part of one object.
    Object(ObjectId),
    /// Every object of a group, as the platform's `X-Set` names it.
    Group(u32),
    /// Every copy that carries this surrogate key.
    Tag(Tag),
    /// Every copy whose name matches.
    Pattern(Glob),
    /// Every copy: what a target that fell too far behind gets in place of the purges that were folded.
    Everything,
}

impl FromStr for Selector {
    type Err = SelectorError;

    /// Reads `object:HEX16`, `group:N`, `tag:KEY`, `pattern:/GLOB` or `everything`.
    fn from_str(text: &str) -> Result<Self, SelectorError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(SelectorError::Empty);
        }
        if text == "everything" {
            return Ok(Self::Everything);
        }
        let (kind, value) = text.split_once(':').ok_or_else(|| SelectorError::Kind(text.to_string()))?;
        if value.is_empty() {
            return Err(SelectorError::Empty);
        }
        match kind {
            "object" => {
                let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
                let plain = value.len() == 16 && value.bytes().all(hex);
                let object = plain.then(|| u64::from_str_radix(value, 16).ok()).flatten();
                object.map(Self::Object).ok_or_else(|| SelectorError::Object(value.to_string()))
            }
            "group" => {
                let plain = (1..=5).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_digit());
                let group = plain.then(|| value.parse::<u32>().ok()).flatten().filter(|g| *g <= MAX_GROUP);
                group.map(Self::Group).ok_or_else(|| SelectorError::Group(value.to_string()))
            }
            "tag" => Tag::new(value).map(Self::Tag),
            "pattern" => Glob::new(value).map(Self::Pattern),
            other => Err(SelectorError::Kind(other.to_string())),
        }
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Object(object) => write!(f, "object:{object:016x}"),
            Self::Group(group) => write!(f, "group:{group}"),
            Self::Tag(tag) => write!(f, "tag:{}", tag.as_str()),
            Self::Pattern(glob) => write!(f, "pattern:{}", glob.as_str()),
            Self::Everything => f.write_str("everything"),
        }
    }
}

impl serde::Serialize for Selector {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Selector {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A copy as a purge sees it.
#[derive(Clone, Copy, Debug)]
pub struct Copy<'a> {
    /// Its name, `/CLASS/OBJECT/PART`.
    pub name: &'a str,
    /// The object.
    pub object: ObjectId,
    /// The object's group.
    pub group: u32,
    /// The surrogate keys that it carries, as far as they are known.
    pub tags: &'a [Tag],
}

/// The name of a copy: `/CLASS/OBJECT/PART`.
pub fn copy_name(class: &str, object: ObjectId, part: u32) -> String {
    format!("/{class}/{object:016x}/{part}")
}

impl Selector {
    /// Whether this selector covers a copy.
    pub fn covers(&self, copy: &Copy<'_>) -> bool {
        match self {
            Self::Object(object) => *object == copy.object,
            Self::Group(group) => *group == copy.group,
            Self::Tag(tag) => copy.tags.contains(tag),
            Self::Pattern(glob) => glob.matches(copy.name),
            Self::Everything => true,
        }
    }
}

#[cfg(test)]
mod tests;
