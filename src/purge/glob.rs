//! Glob patterns over the names of copies, with a bounded cost of matching.
//!
//! A copy's name is `/CLASS/OBJECT/PART` (see [`super::selector::copy_name`]). `*` matches any characters
//! within one segment of the name, `?` one character, and a last segment `**` the rest of the name. Character
//! classes, braces and escapes are rejected. A pattern has at most [`MAX_WILDCARDS`] wildcards and
//! [`MAX_PATTERN_BYTES`] bytes. Both limits are checked when it is compiled, and bound the cost of matching
//! a name.

use thiserror::Error;

/// Maximum length of a pattern, in bytes.
pub const MAX_PATTERN_BYTES: usize = 256;
/// Maximum number of wildcards in a pattern: `*`, `?` and a final `**` count one each.
pub const MAX_WILDCARDS: usize = 8;

/// Why a pattern is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GlobError {
    /// The pattern is empty or does not begin with `/`.
    #[error("a pattern begins with `/`, as a copy's name does")]
    NoLeadingSlash,
    /// The pattern has more than [`MAX_PATTERN_BYTES`] bytes.
    #[error("longer than {MAX_PATTERN_BYTES} bytes")]
    TooLong,
    /// The pattern has a space, a control character or a character beyond ASCII.
    #[error("only visible ASCII characters are allowed, no spaces")]
    InvalidCharacter,
    /// The pattern has a character class, a brace or an escape.
    #[error("character classes, braces and escapes are not supported: use `*` and `?`")]
    UnsupportedSyntax,
    /// A segment `**` is followed by another segment.
    #[error("`**` is allowed only as the last segment")]
    DoubleStarNotLast,
    /// `**` is part of a longer segment.
    #[error("`**` must be a whole segment")]
    PartialDoubleStar,
    /// A segment before the last is empty.
    #[error("a segment before the last is empty")]
    EmptySegment,
    /// The pattern has more than [`MAX_WILDCARDS`] wildcards.
    #[error("more than {MAX_WILDCARDS} wildcards")]
    TooManyWildcards,
}

/// One segment of a pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    /// Matches this text only.
    Literal(Box<str>),
    /// Contains `*` or `?`.
    Wildcard(Box<str>),
}

impl Segment {
    fn matches(&self, text: &str) -> bool {
        match self {
            Self::Literal(literal) => **literal == *text,
            Self::Wildcard(pattern) => wildcard_match(pattern.as_bytes(), text.as_bytes()),
        }
    }
}

/// A compiled pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Glob {
    text: Box<str>,
    segments: Vec<Segment>,
    /// Whether the last segment is `**`.
    ends_with_double_star: bool,
}

impl Glob {
    /// Checks and compiles a pattern.
    pub fn new(text: &str) -> Result<Self, GlobError> {
        check_characters(text)?;
        let parts: Vec<&str> = text[1..].split('/').collect();
        let (last, leading) = parts.split_last().expect("split yields at least one part");
        let mut segments = Vec::with_capacity(parts.len());
        let mut wildcards = 0;
        for part in leading {
            if *part == "**" {
                return Err(GlobError::DoubleStarNotLast);
            }
            if part.is_empty() {
                return Err(GlobError::EmptySegment);
            }
            segments.push(compile_segment(part, &mut wildcards)?);
        }
        let ends_with_double_star = *last == "**";
        if ends_with_double_star {
            wildcards += 1;
        } else {
            segments.push(compile_segment(last, &mut wildcards)?);
        }
        if wildcards > MAX_WILDCARDS {
            return Err(GlobError::TooManyWildcards);
        }
        Ok(Self { text: text.into(), segments, ends_with_double_star })
    }

    /// The pattern as given.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The text before the first wildcard, such as `/video-part/7f3a`, with which every matching name begins.
    pub fn literal_prefix(&self) -> &str {
        let end = self.text.find(['*', '?']).unwrap_or(self.text.len());
        &self.text[..end]
    }

    /// Whether the pattern has no wildcards, so that it matches a single name.
    pub fn is_exact(&self) -> bool {
        !self.ends_with_double_star
            && self.segments.iter().all(|segment| matches!(segment, Segment::Literal(_)))
    }

    /// Whether a copy's name matches. The cost is at most the name's length times the pattern's length.
    pub fn matches(&self, name: &str) -> bool {
        let Some(name) = name.strip_prefix('/') else { return false };
        let mut parts = name.split('/');
        for segment in &self.segments {
            if !parts.next().is_some_and(|part| segment.matches(part)) {
                return false;
            }
        }
        self.ends_with_double_star || parts.next().is_none()
    }
}

fn check_characters(text: &str) -> Result<(), GlobError> {
    if !text.starts_with('/') {
        return Err(GlobError::NoLeadingSlash);
    }
    if text.len() > MAX_PATTERN_BYTES {
        return Err(GlobError::TooLong);
    }
    if !text.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(GlobError::InvalidCharacter);
    }
    if text.contains(['[', ']', '{', '}', '\\']) {
        return Err(GlobError::UnsupportedSyntax);
    }
    Ok(())
}

/// Compiles a segment other than `**`, and adds its wildcards to `wildcards`.
fn compile_segment(part: &str, wildcards: &mut usize) -> Result<Segment, GlobError> {
    if part.contains("**") {
        return Err(GlobError::PartialDoubleStar);
    }
    let count = part.bytes().filter(|b| matches!(b, b'*' | b'?')).count();
    *wildcards += count;
    Ok(if count == 0 { Segment::Literal(part.into()) } else { Segment::Wildcard(part.into()) })
}

/// Matches `*` and `?` within one segment, with one backtracking point, the last `*`. The cost is at most the
/// text's length times the pattern's length.
fn wildcard_match(pattern: &[u8], text: &[u8]) -> bool {
    let (mut p, mut t) = (0, 0);
    // The pattern position after the last `*`, and the end of the text that this `*` matches so far.
    let mut backtrack: Option<(usize, usize)> = None;
    while t < text.len() {
        if p < pattern.len() && (pattern[p] == b'?' || pattern[p] == text[t]) {
            p += 1;
            t += 1;
        } else if p < pattern.len() && pattern[p] == b'*' {
            p += 1;
            backtrack = Some((p, t));
        } else if let Some((after_star, matched)) = backtrack {
            p = after_star;
            t = matched + 1;
            backtrack = Some((after_star, t));
        } else {
            return false;
        }
    }
    pattern[p..].iter().all(|b| *b == b'*')
}

#[cfg(test)]
mod tests;
