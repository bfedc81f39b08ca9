//! What a cache says of the path that an answer took: where its bytes came from, or where a fill failed.
//!
//! The cache protocol writes it as a word in the field `note`; the simulator's wire counts the same words from 1. The
//! settings (`familyInfo.notesGiven`) announce how much is told: all of it, only hits and fills, or nothing. A note
//! that was not announced is taken like one that was.

use crate::CacheStatus;

/// What one answer says of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathNote {
    /// The cache held a fresh copy.
    Hit,
    /// Filled from the source's copy.
    Miss,
    /// Filled, and the origin was asked for it.
    MissOrigin,
    /// Joined a fill under way; with a miss, one is under way.
    Collapsed,
    /// The cache held a copy past its fresh time, and served that.
    Stale,
    /// The source refused the fill.
    SourceBusy,
    /// The source was not reached, broke off or was too slow.
    SourceDown,
    /// The source lacks the object.
    SourceMiss,
    /// The cache has no place for a further fill.
    NoFill,
    /// The origin failed behind the parent.
    OriginError,
}

impl PathNote {
    /// Each note with its word in the cache protocol, in the order of the simulator's numbers, which begin at 1.
    const WORDS: [(&'static str, Self); 10] = [
        ("HIT", Self::Hit),
        ("MISS", Self::Miss),
        ("MISS_ORIGIN", Self::MissOrigin),
        ("COLLAPSED", Self::Collapsed),
        ("STALE", Self::Stale),
        ("UP_BUSY", Self::SourceBusy),
        ("UP_DOWN", Self::SourceDown),
        ("UP_MISS", Self::SourceMiss),
        ("NO_FILL", Self::NoFill),
        ("ORIGIN_ERR", Self::OriginError),
    ];

    /// The note of a word of the cache protocol; none where the word is unknown.
    pub fn from_word(word: &str) -> Option<Self> {
        let entry = Self::WORDS.iter().find(|(known, _)| *known == word)?;
        Some(entry.1)
    }

    /// The note of a number of the simulator's wire; none for 0 and for numbers past the last.
    pub fn from_number(number: u64) -> Option<Self> {
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        let entry = Self::WORDS.get(index)?;
        Some(entry.1)
    }
}

impl From<Option<PathNote>> for CacheStatus {
    /// What the decision module is told; [`CacheStatus::Unknown`] where an answer carries no note that is known.
    fn from(note: Option<PathNote>) -> Self {
        let Some(note) = note else { return Self::Unknown };
        match note {
            PathNote::Hit | PathNote::Stale => Self::Hit,
            PathNote::Miss | PathNote::MissOrigin | PathNote::Collapsed => Self::Filled,
            PathNote::SourceBusy | PathNote::SourceDown => Self::SourceFailed,
            PathNote::SourceMiss => Self::NotAtSource,
            PathNote::NoFill => Self::FillLimitReached,
            PathNote::OriginError => Self::OriginFailed,
        }
    }
}

#[cfg(test)]
mod tests;
