//! The platform's path form: `/ops/CLASS/OBJECT` or `/ops/CLASS/OBJECT/slice-PART`, with the group in the
//! header field `x-set`.

use super::classification::{Classification, RequestClassifier, Target};
use super::http::HttpRequest;
use crate::text::parse_hex16;

const PREFIX: &str = "/ops/";
const PART_PREFIX: &str = "slice-";
const GROUP_FIELD: &str = "x-set";
/// The most digits of a part or group number.
const MAX_DIGITS: usize = 9;

/// Classifies requests by the platform's path form.
#[derive(Clone, Copy, Debug)]
pub struct PlatformPath;

impl PlatformPath {
    /// The class segment of the path, unvalidated; empty if there is none.
    pub(super) fn class_text(request: &HttpRequest) -> &str {
        request.path().split('/').nth(2).unwrap_or_default()
    }

    /// The object segment of the path, unvalidated; empty if there is none.
    pub(super) fn object_text(request: &HttpRequest) -> &str {
        request.path().split('/').nth(3).unwrap_or_default()
    }
}

impl RequestClassifier for PlatformPath {
    fn classify(&self, request: &HttpRequest) -> Classification {
        let Some(mut segments) = request.path().strip_prefix(PREFIX).map(|rest| rest.split('/')) else {
            return Classification::NoMatch;
        };
        let (Some(class), Some(object)) = (segments.next(), segments.next()) else {
            return Classification::NoMatch;
        };
        let part = match segments.next().map(|segment| segment.strip_prefix(PART_PREFIX)) {
            None => Some(0),
            Some(None) => return Classification::NoMatch,
            Some(Some(digits)) => parse_digits(digits),
        };
        if segments.next().is_some() {
            return Classification::NoMatch;
        }
        let group = match request.single_value(GROUP_FIELD) {
            Ok(value) => value.map_or(Some(0), parse_digits),
            Err(_) => None,
        };
        match (parse_hex16(object), part, group) {
            (Some(object), Some(part), Some(group)) => {
                Classification::Target(Target { class: class.to_string(), object, part, group })
            }
            _ => Classification::Malformed,
        }
    }
}

/// Parses an integer that consists of decimal digits only.
fn parse_digits(text: &str) -> Option<u32> {
    let is_plain = (1..=MAX_DIGITS).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    is_plain.then(|| text.parse().ok())?
}
