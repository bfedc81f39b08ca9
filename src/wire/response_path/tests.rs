use super::PathNote;
use crate::Note;

/// Every word stands at the simulator's number of the same meaning, and both lead to the same note of the module.
#[test]
fn words_and_numbers_name_the_same_notes() {
    let expected = [
        ("HIT", Note::Hit),
        ("MISS", Note::Filled),
        ("MISS_ORIGIN", Note::Filled),
        ("COLLAPSED", Note::Filled),
        ("STALE", Note::Hit),
        ("UP_BUSY", Note::SourceFailed),
        ("UP_DOWN", Note::SourceFailed),
        ("UP_MISS", Note::SourceLacks),
        ("NO_FILL", Note::NoFillPlace),
        ("ORIGIN_ERR", Note::OriginFailed),
    ];
    for (number, (word, note)) in (1..).zip(expected) {
        let by_word = PathNote::from_word(word);
        assert!(by_word.is_some(), "{word}");
        assert_eq!(by_word, PathNote::from_number(number), "{word}");
        assert_eq!(Note::from(by_word), note, "{word}");
    }
}

#[test]
fn what_is_unknown_says_nothing() {
    for number in [0, 11, u64::MAX] {
        assert_eq!(Note::from(PathNote::from_number(number)), Note::Silent, "{number}");
    }
    for word in ["", "hit", "HITS", "1", "ORIGIN_ERR "] {
        assert_eq!(Note::from(PathNote::from_word(word)), Note::Silent, "{word:?}");
    }
}
