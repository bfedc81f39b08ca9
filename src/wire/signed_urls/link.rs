//! The path of a link: which part of which object it names.

use crate::settings::PlatformSettings;
use crate::text::parse_hex16;
use thiserror::Error;

/// The highest number of a group.
const MAX_GROUP: u32 = 255;

/// A path that names no part of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// There is no such resource.
    #[error("no such path or class")]
    NotFound,
    /// A segment has no valid value, or not in its one spelling.
    #[error("a segment of the path has no valid value")]
    Malformed,
}

impl LinkError {
    /// The status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::NotFound => 404,
            Self::Malformed => 400,
        }
    }
}

/// What a link names.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MediaLink {
    /// Index of the class in the settings.
    pub class: usize,
    /// The group.
    pub group: u32,
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u32,
    /// Size of the part in KB; 0 where unknown.
    pub size_kb: f64,
}

/// Parses an integer in its one spelling.
fn parse_integer(text: &str) -> Option<u32> {
    text.parse().ok().filter(|number: &u32| number.to_string() == text)
}

/// Parses a size in its one spelling.
fn parse_size(text: &str) -> Option<f64> {
    let size = text.parse::<f64>().ok().filter(|size| size.is_finite() && *size > 0.0)?;
    (size.to_string() == text).then_some(size)
}

impl MediaLink {
    /// Parses a path.
    pub(super) fn parse(path: &str, settings: &PlatformSettings) -> Result<Self, LinkError> {
        let segments = path.strip_prefix("/media/").ok_or(LinkError::NotFound)?;
        let segments: Vec<&str> = segments.split('/').collect();
        let (class, group, object, part, size) = match segments[..] {
            [class, group, object, part] => (class, group, object, part, None),
            [class, group, object, part, size] => (class, group, object, part, Some(size)),
            _ => return Err(LinkError::NotFound),
        };
        let class = settings.class_index(class).filter(|class| !settings.is_write(*class));
        let class = class.ok_or(LinkError::NotFound)?;
        let group = parse_integer(group).filter(|group| *group <= MAX_GROUP).ok_or(LinkError::Malformed)?;
        let is_lower = !object.bytes().any(|b| b.is_ascii_uppercase());
        let object = parse_hex16(object).filter(|_| is_lower).ok_or(LinkError::Malformed)?;
        let part = parse_integer(part).ok_or(LinkError::Malformed)?;
        let size_kb = match size {
            None => 0.0,
            Some(text) => parse_size(text).ok_or(LinkError::Malformed)?,
        };
        Ok(Self { class, group, object, part, size_kb })
    }

    /// The same link in another group.
    pub(super) fn in_other_group(&self) -> Self {
        Self { group: (self.group + 1) % (MAX_GROUP + 1), ..self.clone() }
    }

    /// The path.
    pub(super) fn path(&self, settings: &PlatformSettings) -> String {
        let class = settings.class_name(self.class).unwrap_or_default();
        let path = format!("/media/{class}/{}/{:016x}/{}", self.group, self.object, self.part);
        if self.size_kb > 0.0 {
            format!("{path}/{}", self.size_kb)
        } else {
            path
        }
    }
}
