use super::*;

#[test]
fn slots_are_a_period_apart_and_checks_are_spread_over_it() {
    let period = 2_000.0;
    for endpoint in 0..50 {
        let at = Lease { endpoint, slot: 441_144 }.due_ms(period);
        assert_eq!(slot_at(at + 0.01, endpoint, period), 441_144);
        assert_eq!(slot_at(at - 0.01, endpoint, period), 441_143);
    }
    let tenths: Vec<usize> =
        (0..1_000).map(|endpoint| (offset_ms(endpoint, period) / period * 10.0) as usize).collect();
    for tenth in 0..10 {
        let n = tenths.iter().filter(|t| **t == tenth).count();
        assert!((60..140).contains(&n), "{n} of 1,000 checks in tenth {tenth}");
    }
}

#[test]
fn checks_are_spread_evenly_and_those_of_a_failed_instance_too() {
    let first = |endpoint, all: &[InstanceId]| {
        *all.iter()
            .find(|me| rank(endpoint, **me, all.iter().copied()) == 0)
            .expect("one instance has rank 0")
    };
    let (all, rest) = ([1, 2, 3, 4], [1, 2, 4]);
    let mut moved = [0; 5];
    for endpoint in 0..4_000 {
        let (before, after) = (first(endpoint, &all), first(endpoint, &rest));
        if before == 3 {
            moved[usize::from(after)] += 1;
        } else {
            assert_eq!(before, after, "a check of a live instance moved");
        }
    }
    assert!([1, 2, 4].iter().all(|id| (250..420).contains(&moved[*id])), "{moved:?}");
}
