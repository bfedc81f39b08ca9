use super::PathNote;
use crate::CacheStatus;

/// Every word stands at the simulator's number of the same meaning, and both lead to the same note of the module.
#[test]
fn words_and_numbers_name_the_same_notes() {
    let expected = [
        ("HIT", CacheStatus::Hit),
        ("MISS", CacheStatus::Filled),
        ("MISS_ORIGIN", CacheStatus::Filled),
        ("COLLAPSED", CacheStatus::Filled),
        ("STALE", CacheStatus::Hit),
        ("UP_BUSY", CacheStatus::SourceFailed),
        ("UP_DOWN", CacheStatus::SourceFailed),
        ("UP_MISS", CacheStatus::NotAtSource),
        ("NO_FILL", CacheStatus::FillLimitReached),
        ("ORIGIN_ERR", CacheStatus::OriginFailed),
    ];
    for (number, (word, note)) in (1..).zip(expected) {
        let by_word = PathNote::from_word(word);
        assert!(by_word.is_some(), "{word}");
        assert_eq!(by_word, PathNote::from_number(number), "{word}");
        assert_eq!(CacheStatus::from(by_word), note, "{word}");
    }
}

#[test]
fn what_is_unknown_says_nothing() {
    for number in [0, 11, u64::MAX] {
        assert_eq!(CacheStatus::from(PathNote::from_number(number)), CacheStatus::Unknown, "{number}");
    }
    for word in ["", "hit", "HITS", "1", "ORIGIN_ERR "] {
        assert_eq!(CacheStatus::from(PathNote::from_word(word)), CacheStatus::Unknown, "{word:?}");
    }
}
