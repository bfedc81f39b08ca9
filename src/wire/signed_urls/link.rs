//! The path of a signed URL, which names a part of an object.

use crate::settings::{PlatformClass, PlatformSettings};
use crate::text::parse_hex16;
use std::rc::Rc;
use thiserror::Error;

/// The highest group number accepted in a signed URL.
const MAX_GROUP: u32 = 255;

/// Why a path does not name a part of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MediaPathError {
    /// The path does not start with `/media/` or has the wrong number of segments, or its class is unknown or
    /// for writes.
    #[error("the path is not a media path, or its class is unknown or for writes")]
    NotFound,
    /// The group, object, part or size is invalid or not in canonical form.
    #[error("the group, object, part or size is invalid or not in canonical form")]
    Malformed,
}

impl MediaPathError {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::NotFound => 404,
            Self::Malformed => 400,
        }
    }
}

/// The parsed path of a signed URL.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MediaPath {
    /// Index of the object class in the settings.
    pub class: Rc<PlatformClass>,
    /// The number of the object's purge group.
    pub group: u32,
    /// The object's id.
    pub object: u64,
    /// The index of the part.
    pub part: u32,
    /// The size of the part in KB; 0 if unknown.
    pub size_kb: f64,
}

/// Parses an integer in canonical form: no sign and no leading zeros.
fn parse_integer(text: &str) -> Option<u32> {
    text.parse().ok().filter(|number: &u32| number.to_string() == text)
}

/// Parses a positive size, written exactly as `f64` displays it.
fn parse_size(text: &str) -> Option<f64> {
    let size = text.parse::<f64>().ok().filter(|size| size.is_finite() && *size > 0.0)?;
    (size.to_string() == text).then_some(size)
}

impl MediaPath {
    pub(super) fn parse(path: &str, settings: &PlatformSettings) -> Result<Self, MediaPathError> {
        let segments = path.strip_prefix("/media/").ok_or(MediaPathError::NotFound)?;
        let segments: Vec<&str> = segments.split('/').collect();
        let (class, group, object, part, size) = match segments[..] {
            [class, group, object, part] => (class, group, object, part, None),
            [class, group, object, part, size] => (class, group, object, part, Some(size)),
            _ => return Err(MediaPathError::NotFound),
        };
        let class = settings.class(class).filter(|class| !class.is_write());
        let class = class.cloned().ok_or(MediaPathError::NotFound)?;
        let group =
            parse_integer(group).filter(|group| *group <= MAX_GROUP).ok_or(MediaPathError::Malformed)?;
        let is_lowercase = !object.bytes().any(|b| b.is_ascii_uppercase());
        let object = parse_hex16(object).filter(|_| is_lowercase).ok_or(MediaPathError::Malformed)?;
        let part = parse_integer(part).ok_or(MediaPathError::Malformed)?;
        let size_kb = match size {
            None => 0.0,
            Some(text) => parse_size(text).ok_or(MediaPathError::Malformed)?,
        };
        Ok(Self { class, group, object, part, size_kb })
    }

    /// The same part in the next group; group 0 follows [`MAX_GROUP`].
    pub(super) fn in_next_group(&self) -> Self {
        Self { group: (self.group + 1) % (MAX_GROUP + 1), ..self.clone() }
    }

    /// Formats the path in canonical form.
    pub(super) fn path(&self) -> String {
        let class = self.class.name();
        let path = format!("/media/{class}/{}/{:016x}/{}", self.group, self.object, self.part);
        if self.size_kb > 0.0 {
            format!("{path}/{}", self.size_kb)
        } else {
            path
        }
    }
}
