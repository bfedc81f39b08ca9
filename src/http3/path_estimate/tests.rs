use super::*;

#[test]
fn a_response_over_a_lossy_path_is_due_earlier_within_limits() {
    let mut path = PathEstimate::default();
    assert_eq!(path.send_deadline_ms(0.0, 1_500.0, 9e9), 1_500.0, "no sample");
    let good = PathSample { rtt_ms: 4.0, sent_packets: 100, lost_packets: 0, window_bytes: 64_000 };
    (0..20).for_each(|_| path.update(good));
    assert!(path.send_deadline_ms(0.0, 1_500.0, 500.0) > 1_490.0);
    let lossy = |rtt_ms| PathSample { rtt_ms, sent_packets: 1_000, lost_packets: 50, window_bytes: 12_000 };
    (0..40).for_each(|k| path.update(lossy(300.0 + 100.0 * f64::from(k % 2))));
    let small = 1_500.0 - path.send_deadline_ms(0.0, 1_500.0, 500.0);
    assert!((600.0..=750.0).contains(&small), "half a round trip, its deviation and one more: {small}");
    assert_eq!(path.send_deadline_ms(0.0, 1_500.0, 9e9), 750.0, "never more than half");
    assert_eq!(path.send_deadline_ms(100.0, 50.0, 0.0), 50.0, "already past");
    assert_eq!(path.loss_rate(), 0.05);
}
