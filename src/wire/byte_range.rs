//! Byte ranges (RFC 9110, section 14).

/// The bytes of a body that a `Range` field selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteRange {
    /// The whole body: the field is invalid or of an unsupported form, and is ignored.
    All,
    /// The bytes from the first offset up to, but not including, the second.
    Part(usize, usize),
    /// The range lies outside the body.
    Unsatisfiable,
}

impl ByteRange {
    /// Parses a `Range` field with one range, for a body of `length` bytes.
    pub fn parse(field: &str, length: usize) -> Self {
        let range = field.strip_prefix("bytes=").and_then(|range| range.trim().split_once('-'));
        let Some((first, last)) = range else { return Self::All };
        let is_digits = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
        if !is_digits(first) || !is_digits(last) || (first.is_empty() && last.is_empty()) {
            return Self::All;
        }
        // A number that overflows its type lies past the end of any body.
        let number = |text: &str| text.parse::<usize>().unwrap_or(usize::MAX);
        if first.is_empty() {
            return match number(last).min(length) {
                0 => Self::Unsatisfiable,
                suffix => Self::Part(length - suffix, length),
            };
        }
        let (first, last) = (number(first), if last.is_empty() { usize::MAX } else { number(last) });
        if last < first {
            Self::All
        } else if first >= length {
            Self::Unsatisfiable
        } else {
            Self::Part(first, last.saturating_add(1).min(length))
        }
    }
}
