use super::*;

#[test]
fn a_server_turns_after_results_in_a_row_each_slot_once() {
    let mut board = Board::new(Turns { fall: 3, rise: 2 });
    let mut hear = |slot, ok| board.hear(slot as f64, 7, slot, ok, 1.0);
    assert_eq!((hear(1, false), hear(1, false), hear(1, false)), (None, None, None), "one slot, told thrice");
    assert_eq!((hear(2, false), hear(3, true), hear(4, false), hear(5, false)), (None, None, None, None));
    assert_eq!(hear(6, false), Some(false));
    assert_eq!((hear(7, false), hear(8, true), hear(6, true)), (None, None, None), "late news");
    assert_eq!(hear(9, true), Some(true));
    assert_eq!(board.last(7), 9);
    board.retain(|_| false);
    assert_eq!(board.all().count(), 0);
}
