use super::*;

#[test]
fn a_poor_link_asks_for_its_answers_earlier_within_reason() {
    let mut link = Link::default();
    assert_eq!(link.give_up_ms(0.0, 1_500.0, 9e9), 1_500.0, "nothing is known");
    let good = Sample { rtt_ms: 4.0, sent: 100, lost: 0, window: 64_000 };
    (0..20).for_each(|_| link.sample(good));
    assert!(link.give_up_ms(0.0, 1_500.0, 500.0) > 1_490.0);
    let poor = |rtt_ms| Sample { rtt_ms, sent: 1_000, lost: 50, window: 12_000 };
    (0..40).for_each(|k| link.sample(poor(300.0 + 100.0 * f64::from(k % 2))));
    let small = 1_500.0 - link.give_up_ms(0.0, 1_500.0, 500.0);
    assert!((600.0..=750.0).contains(&small), "half a trip, its deviation and one more: {small}");
    assert_eq!(link.give_up_ms(0.0, 1_500.0, 9e9), 750.0, "never more than half");
    assert_eq!(link.give_up_ms(100.0, 50.0, 0.0), 50.0, "already over");
    assert_eq!(link.loss(), 0.05);
}
