use super::*;

#[test]
fn slots_start_at_their_due_time_and_checks_are_spread_evenly_over_the_period() {
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
        assert!(
            (60..140).contains(&count),
            "{count} of 1,000 checks are due in tenth {tenth} of the period, expected 60 to 139"
        );
    }
}

#[test]
fn only_the_checks_of_a_failed_instance_are_reassigned_and_evenly() {
    let rank_0_instance = |endpoint, all: &[InstanceId]| {
        *all.iter()
            .find(|id| rank(endpoint, **id, all.iter().copied()) == 0)
            .expect("one instance has rank 0")
    };
    let (all, remaining) = ([1, 2, 3, 4], [1, 2, 4]);
    let mut moved = [0; 5];
    for endpoint in 0..4_000 {
        let (before, after) = (rank_0_instance(endpoint, &all), rank_0_instance(endpoint, &remaining));
        if before == 3 {
            moved[usize::from(after)] += 1;
        } else {
            assert_eq!(before, after, "a check of an instance that did not fail was reassigned");
        }
    }
    assert!(
        [1, 2, 4].iter().all(|id| (250..420).contains(&moved[*id])),
        "reassigned checks per instance are uneven: {moved:?}"
    );
}
