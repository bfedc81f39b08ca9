use super::*;

#[test]
fn a_sum_halves_in_each_half_life() {
    let mut sum = DecayingSum::default();
    sum.add(0, 100.0, 8.0);
    assert_eq!(sum.value(100, 100.0), 4.0);
    sum.add(200, 100.0, -1.0);
    assert_eq!(sum.value(200, 100.0), 1.0);
    sum.add_up_to(200, 100.0, 5.0, 3.0);
    assert_eq!(sum.value(200, 100.0), 3.0);
    sum.scale(300, 100.0, 0.5);
    assert_eq!(sum.value(300, 100.0), 0.75);
}

#[test]
fn a_sum_with_an_initial_value_does_not_decay_before_its_first_change() {
    let mut sum = DecayingSum::starting_with(5.0);
    assert_eq!(sum.value(1_000_000, 10.0), 5.0);
    sum.add(1_000_000, 10.0, 1.0);
    assert_eq!(sum.value(1_000_010, 10.0), 3.0);
}

#[test]
fn rate_equals_the_rate_of_steady_additions() {
    let mut sum = DecayingSum::default();
    (0..100_000).for_each(|now| sum.add(now, 1_000.0, 0.25));
    assert!((sum.rate(100_000, 1_000.0) - 0.25).abs() < 0.001);
}

#[test]
fn bad_share_includes_the_prior() {
    let mut share = DecayingOutcomes::default();
    assert_eq!(share.bad_share(0, 100.0, 3.0), 0.0);
    share.bad.add(0, 100.0, 2.0);
    share.good.add(0, 100.0, 3.0);
    assert_eq!(share.bad_share(0, 100.0, 3.0), 0.25);
}

#[test]
fn hashes_are_the_same_in_every_build() {
    assert_eq!(mix(0, 0), 0x8209_B480_FAED_1B10);
    assert_eq!(mix(42, 7), 0x6CCA_0C5A_6227_74C3);
    assert!((0..10_000).all(|n| unit_hash(n, 1) > 0.0 && unit_hash(n, 1) < 1.0));
}

#[test]
fn rendezvous_hashing_distributes_keys_by_weight_and_moves_keys_only_to_a_new_node() {
    let first = |key: u64, nodes: &[(u32, f64)]| rendezvous_first(key, nodes.iter().copied());
    let (old, new) = ([(1, 1.0), (2, 3.0)], [(1, 1.0), (2, 3.0), (3, 4.0)]);
    let second = (0..10_000).filter(|key| first(*key, &old) == Some(2)).count();
    assert!((7_300..7_700).contains(&second), "{second}");
    let moved: Vec<u64> = (0..10_000).filter(|key| first(*key, &old) != first(*key, &new)).collect();
    assert!((4_800..5_200).contains(&moved.len()), "{}", moved.len());
    assert!(moved.iter().all(|key| first(*key, &new) == Some(3)));
}

#[test]
fn the_order_begins_with_the_first_node_and_removing_it_keeps_the_order_of_the_others() {
    let order = |key: u64, nodes: &[u32]| -> Vec<u32> {
        let nodes = nodes.iter().map(|n| (*n, 2.0, ()));
        rendezvous_order(key, nodes).into_iter().map(|(node, ())| node).collect()
    };
    for key in 0..100 {
        let all = order(key, &[1, 2, 3, 4]);
        assert_eq!(rendezvous_first(key, [1, 2, 3, 4].map(|n| (n, 2.0)).into_iter()), Some(all[0]));
        let mut left = all[1..].to_vec();
        left.sort();
        assert_eq!(order(key, &left), all[1..]);
    }
}

#[test]
fn an_adaptive_share_changes_by_the_time_between_outcomes_and_stays_within_bounds() {
    const SECOND: crate::Micros = 1_000_000;
    let rates = ShareRates { increase_per_s: 0.25, decay_per_s: std::f64::consts::LN_2, max_gap_s: 1.0 };
    let after = |outcomes: u64| {
        let mut share = AdaptiveShare::<2>::default();
        (1..=outcomes).for_each(|n| share.add(n * SECOND / outcomes, 0, &rates, 0.1, Some(false)));
        share.value()
    };
    // One outcome per second and a hundred per second both halve the share.
    assert!((after(1) - 0.5).abs() < 1e-9 && (after(100) - 0.5).abs() < 1e-9, "{} {}", after(1), after(100));
    let mut share = AdaptiveShare::<2>::default();
    share.add(60 * SECOND, 0, &rates, 0.1, Some(false));
    assert_eq!(share.value(), 0.5, "an outcome counts for one second at most");
    share.add(60 * SECOND, 0, &rates, 0.1, Some(false));
    assert_eq!(share.value(), 0.5, "a second outcome at the same time does not change the share");
    share.add(61 * SECOND, 1, &rates, 0.1, Some(true));
    assert_eq!(share.value(), 0.75, "the other kind is timed separately");
    share.add(62 * SECOND, 0, &rates, 0.1, None);
    share.add(62 * SECOND, 0, &rates, 0.1, Some(false));
    assert_eq!(share.value(), 0.75, "an inconclusive outcome updates the time of the last outcome");
    (63..70).for_each(|n| share.add(n * SECOND, 0, &rates, 0.1, Some(false)));
    assert_eq!(share.value(), 0.1);
    (70..80).for_each(|n| share.add(n * SECOND, 0, &rates, 0.1, Some(true)));
    assert_eq!(share.value(), 1.0);
}

#[test]
fn numbers_repeat_with_their_seed_and_differ_by_purpose() {
    let (mut a, mut b, mut other) = (SeededRandom::new(7), SeededRandom::new(7), SeededRandom::new(7));
    let drawn: Vec<f64> = (0..10).map(|_| a.next(1)).collect();
    assert!(drawn.iter().all(|x| *x == b.next(1)));
    assert!(drawn.iter().all(|x| *x != other.next(2)));
}

#[test]
fn the_level_of_a_bucket_does_not_fall_below_zero() {
    let mut bucket = LeakyBucket::new(0, 10.0);
    assert_eq!(bucket.level(10, 0.5), 5.0);
    bucket.add(10, 0.5, 2.0);
    assert_eq!(bucket.level(12, 0.5), 6.0);
    assert_eq!(bucket.level(1_000, 0.5), 0.0);
}

#[test]
fn mean_and_deviation_follow_their_samples() {
    let mut times = MeanDeviation::new(10.0, 2.0);
    times.add(14.0, 0.5);
    // The deviation is relative to the mean before the sample.
    assert_eq!((times.mean_plus_deviations(0.0), times.mean_plus_deviations(1.0)), (12.0, 15.0));
}

#[test]
fn counts_are_dropped_after_two_spans_or_when_full() {
    let mut counts = RecentCounts::new(100, 2);
    counts.add(0, 7);
    counts.add(100, 7);
    assert_eq!(counts.get(7), 2.0);
    counts.add(200, 8);
    assert_eq!((counts.get(7), counts.get(8)), (1.0, 1.0));
    counts.add(201, 9);
    // Two keys fill a generation; the next `add` starts a new one and drops the oldest.
    counts.add(202, 9);
    assert_eq!((counts.get(7), counts.get(8), counts.get(9)), (0.0, 1.0, 2.0));
}
