use super::ResponsePath;
use crate::CacheStatus;

/// Guards against names and simulator numbers that disagree.
#[test]
fn names_and_numbers_map_to_the_same_status() {
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
    for (number, (name, status)) in (1..).zip(expected) {
        let by_name = ResponsePath::from_name(name);
        assert!(by_name.is_some(), "{name}");
        assert_eq!(by_name, ResponsePath::from_number(number), "{name}");
        assert_eq!(CacheStatus::from(by_name), status, "{name}");
    }
}

#[test]
fn unknown_paths_have_unknown_status() {
    for number in [0, 11, u64::MAX] {
        assert_eq!(CacheStatus::from(ResponsePath::from_number(number)), CacheStatus::Unknown, "{number}");
    }
    for name in ["", "hit", "HITS", "1", "ORIGIN_ERR "] {
        assert_eq!(CacheStatus::from(ResponsePath::from_name(name)), CacheStatus::Unknown, "{name:?}");
    }
}
