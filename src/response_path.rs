//! The path of a response: where its body came from, or where a cache fill failed.
//!
//! The cache protocol carries its name in the field `note`; the simulator numbers the same names from 1. The
//! settings (`familyInfo.notesGiven`) announce which paths caches report; other paths are accepted as well.

use crate::CacheStatus;

/// Where a response's body came from, or why its fill failed. Terms follow RFC 9211 where possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePath {
    /// The cache had a fresh copy.
    Hit,
    /// The source served the fill from its own copy.
    FilledFromSource,
    /// The source fetched the object from the origin for the fill.
    FilledFromOrigin,
    /// The request was collapsed into a fill in progress.
    Collapsed,
    /// The cache served a stale copy.
    StaleHit,
    /// The source rejected the fill.
    SourceBusy,
    /// The source was unreachable, lost the connection or was too slow.
    SourceUnreachable,
    /// The source has no copy.
    NotAtSource,
    /// The cache reached its limit of concurrent fills.
    FillLimitReached,
    /// The parent's request to the origin failed.
    OriginFailed,
}

impl ResponsePath {
    /// Each path with its name in the cache protocol, in the order of the simulator's numbers, which start at
    /// 1.
    const NAMES: [(&'static str, Self); 10] = [
        ("HIT", Self::Hit),
        ("MISS", Self::FilledFromSource),
        ("MISS_ORIGIN", Self::FilledFromOrigin),
        ("COLLAPSED", Self::Collapsed),
        ("STALE", Self::StaleHit),
        ("UP_BUSY", Self::SourceBusy),
        ("UP_DOWN", Self::SourceUnreachable),
        ("UP_MISS", Self::NotAtSource),
        ("NO_FILL", Self::FillLimitReached),
        ("ORIGIN_ERR", Self::OriginFailed),
    ];

    /// Looks up a name of the cache protocol. Returns `None` for an unknown name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::NAMES.iter().find(|(candidate, _)| *candidate == name).map(|(_, path)| *path)
    }

    /// Looks up a number of the simulator. Returns `None` for 0 and for numbers past the last.
    pub fn from_number(number: u64) -> Option<Self> {
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        Self::NAMES.get(index).map(|(_, path)| *path)
    }
}

impl From<Option<ResponsePath>> for CacheStatus {
    /// Maps a path to the status that the policy uses; [`CacheStatus::Unknown`] for an unknown path.
    fn from(path: Option<ResponsePath>) -> Self {
        let Some(path) = path else { return Self::Unknown };
        match path {
            ResponsePath::Hit | ResponsePath::StaleHit => Self::Hit,
            ResponsePath::FilledFromSource | ResponsePath::FilledFromOrigin | ResponsePath::Collapsed => {
                Self::Filled
            }
            ResponsePath::SourceBusy | ResponsePath::SourceUnreachable => Self::SourceFailed,
            ResponsePath::NotAtSource => Self::NotAtSource,
            ResponsePath::FillLimitReached => Self::FillLimitReached,
            ResponsePath::OriginFailed => Self::OriginFailed,
        }
    }
}

#[cfg(test)]
mod tests;
