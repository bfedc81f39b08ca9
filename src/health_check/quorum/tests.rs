use super::*;

#[test]
fn a_slot_is_granted_once_and_never_after_a_later_one() {
    let mut votes = Votes::new(0.0, 100.0);
    assert!(!votes.ask(99.0, 7, 10, 10, 1), "it may have granted that before it started");
    assert!(votes.ask(100.0, 7, 10, 10, 1) && votes.ask(101.0, 7, 10, 10, 1), "asked again");
    assert!(!votes.ask(101.0, 7, 10, 10, 2), "it is another's");
    assert!(votes.ask(102.0, 8, 10, 10, 2), "another duty");
    assert!(votes.ask(200.0, 7, 11, 10, 2), "a clock that is ahead");
    assert!(!votes.ask(200.0, 7, 12, 10, 2) && !votes.ask(200.0, 7, 8, 10, 2), "one that is far off");
    assert!(votes.ask(201.0, 7, 10, 11, 1) && !votes.ask(201.0, 7, 10, 11, 3));
    for slot in 12..40 {
        assert!(votes.ask(300.0, 7, slot, slot, 3));
        assert!(!votes.ask(300.0, 7, slot - 1, slot, 9), "over");
    }
    assert!(votes.granted[&7].len() <= REMEMBERED);
    votes.retain(|duty| duty == 8);
    assert_eq!((votes.holder(7, 39), votes.holder(8, 10)), (None, Some(2)));
}
