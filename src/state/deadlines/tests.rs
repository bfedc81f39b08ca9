use super::*;

#[test]
fn the_earliest_deadline_is_first_and_obsolete_ones_are_dropped() {
    let mut deadlines = Deadlines::default();
    [(30.0, 3), (10.0, 1), (20.0, 2)].into_iter().for_each(|(due_ms, item)| deadlines.push(due_ms, item));
    let is_current = |item, _| item != 1;
    assert_eq!(deadlines.next_due(is_current), Some(20.0));
    assert_eq!(deadlines.pop_due(19.0, is_current), None);
    assert_eq!(deadlines.pop_due(30.0, is_current), Some(2));
    assert_eq!(deadlines.pop_due(30.0, is_current), Some(3));
    assert_eq!(deadlines.next_due(is_current), None);
}
