//! The path of a response: where a cache's bytes came from, or where a fill failed.
//!
//! The cache protocol names it in the field `note`, the simulator numbers the same names from 1. The settings
//! (`familyInfo.notesGiven`) announce how much of it caches report; a path that was not announced is used all
//! the same.

use crate::CacheStatus;

/// The path of one response, in the terms of RFC 9211 where it has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePath {
    /// The cache had a fresh copy.
    Hit,
    /// The cache filled the copy from its source's copy.
    FilledFromSource,
    /// The cache filled the copy, and the source forwarded to the origin.
    FilledFromOrigin,
    /// The request joined a fill in progress; on a miss, there is one.
    Collapsed,
    /// The cache served a copy that was no longer fresh.
    StaleHit,
    /// The source rejected the fill.
    SourceBusy,
    /// The source was not reached, broke off or was too slow.
    SourceUnreachable,
    /// The source has no copy.
    NotAtSource,
    /// The cache is at its limit of concurrent fills.
    FillLimitReached,
    /// The origin failed behind the parent.
    OriginFailed,
}

impl ResponsePath {
    /// Each path with its name in the cache protocol, in the order of the simulator's numbers, which begin at
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

    /// The path of a name in the cache protocol; none for an unknown name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::NAMES.iter().find(|(known, _)| *known == name).map(|(_, path)| *path)
    }

    /// The path of a number of the simulator; none for 0 and for numbers past the last.
    pub fn from_number(number: u64) -> Option<Self> {
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        Self::NAMES.get(index).map(|(_, path)| *path)
    }
}

impl From<Option<ResponsePath>> for CacheStatus {
    /// The status for the policy; [`CacheStatus::Unknown`] where a response has no known path.
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
