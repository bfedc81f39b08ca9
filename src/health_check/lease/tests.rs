use super::*;

#[test]
fn slots_come_once_a_period_and_duties_are_spread_over_it() {
    let period = 2_000.0;
    for duty in 0..50 {
        let at = due_ms(duty, 441_144, period);
        assert_eq!(slot_at(at + 0.01, duty, period), 441_144);
        assert_eq!(slot_at(at - 0.01, duty, period), 441_143);
    }
    let tenths: Vec<usize> = (0..1_000).map(|d| (offset_ms(d, period) / period * 10.0) as usize).collect();
    for tenth in 0..10 {
        let n = tenths.iter().filter(|t| **t == tenth).count();
        assert!((60..140).contains(&n), "{n} of 1,000 duties in tenth {tenth}");
    }
}

#[test]
fn duties_go_to_all_alike_and_a_dead_ones_to_the_rest_alike() {
    let first = |duty, all: &[InstanceId]| {
        *all.iter().find(|me| place(duty, **me, all.iter().copied()) == 0).expect("one is first")
    };
    let (all, rest) = ([1, 2, 3, 4], [1, 2, 4]);
    let mut moved = [0; 5];
    for duty in 0..4_000 {
        let (before, after) = (first(duty, &all), first(duty, &rest));
        if before == 3 {
            moved[usize::from(after)] += 1;
        } else {
            assert_eq!(before, after, "a duty of one that lives moved");
        }
    }
    assert!([1, 2, 4].iter().all(|id| (250..420).contains(&moved[*id])), "{moved:?}");
}
