use super::*;

#[test]
fn the_earliest_is_first_and_obsolete_ones_are_dropped() {
    let mut times = Deadlines::default();
    [(30.0, 3), (10.0, 1), (20.0, 2)].into_iter().for_each(|(at, what)| times.push(at, what));
    let stands = |what, _| what != 1;
    assert_eq!(times.next_due(stands), Some(20.0));
    assert_eq!(times.pop_due(19.0, stands), None);
    assert_eq!(times.pop_due(30.0, stands), Some(2));
    assert_eq!(times.pop_due(30.0, stands), Some(3));
    assert_eq!(times.next_due(stands), None);
}
