use super::*;
use crate::purge::active_purges::Purge;

#[test]
fn a_tag_learned_from_one_answer_bounds_the_next_attempt() {
    let mut guard = Guard::new(LedgerBounds::default(), 2);
    let tag = [Tag::new("seller-9").unwrap()];
    guard.ledger.apply(&Purge { seq: 1, issued_ms: 1_000.0, sel: "tag:seller-9".parse().unwrap() });
    assert_eq!(guard.bound(2_000.0, "video-part", 5, 0, 0, 0), 0, "the tags are not known yet");
    assert!(guard.removes("video-part", 5, 0, 0, Some(900.0), &tag).is_some());
    assert_eq!(guard.bound(2_000.0, "video-part", 5, 1, 0, 0), 990);
    assert_eq!(guard.bound(2_000.0, "video-part", 5, 1, 0, 500), 500, "a purge only lowers a bound");
    assert!(guard.removes("video-part", 5, 1, 0, Some(1_001.0), &tag).is_none());
    assert!(guard.removes("video-part", 5, 1, 0, None, &tag).is_none(), "no birth, no verdict");
    assert_eq!(guard.figures, GuardFigures { bounded: 1, stale_answers: 1 });
}
