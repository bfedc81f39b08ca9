use super::*;

#[test]
fn a_slot_starts_when_its_check_is_due_and_checks_are_spread_over_the_period() {
    let period = 2_000.0;
    for endpoint in 0..50 {
        let due_ms = Lease { endpoint, slot: 441_144 }.due_ms(period);
        assert_eq!(slot_at(due_ms + 0.01, endpoint, period), 441_144);
        assert_eq!(slot_at(due_ms - 0.01, endpoint, period), 441_143);
    }
    let tenths: Vec<usize> =
        (0..1_000).map(|endpoint| (offset_ms(endpoint, period) / period * 10.0) as usize).collect();
    for tenth in 0..10 {
        let count = tenths.iter().filter(|other| **other == tenth).count();
        assert!((60..140).contains(&count), "{count} of 1,000 checks in tenth {tenth}");
    }
}

#[test]
fn the_checks_of_a_failed_instance_are_distributed_evenly_and_all_others_stay() {
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
            assert_eq!(before, after, "a check of an instance that did not fail was reassigned");
        }
    }
    assert!([1, 2, 4].iter().all(|id| (250..420).contains(&moved[*id])), "{moved:?}");
}
