use super::*;

#[test]
fn a_lossy_path_reserves_at_most_half_of_the_remaining_time_for_delivery() {
    let mut path = PathEstimate::default();
    assert_eq!(path.send_deadline_ms(0.0, 1_500.0, 9e9), 1_500.0, "without a sample, no time is reserved");
    let good = PathSample { rtt_ms: 4.0, sent_packets: 100, lost_packets: 0, window_bytes: 64_000 };
    (0..20).for_each(|_| path.update(good));
    assert!(path.send_deadline_ms(0.0, 1_500.0, 500.0) > 1_490.0);
    let lossy = |rtt_ms| PathSample { rtt_ms, sent_packets: 1_000, lost_packets: 50, window_bytes: 12_000 };
    (0..40).for_each(|index| path.update(lossy(300.0 + 100.0 * f64::from(index % 2))));
    let reserved_ms = 1_500.0 - path.send_deadline_ms(0.0, 1_500.0, 500.0);
    assert!(
        (600.0..=750.0).contains(&reserved_ms),
        "half a round trip, the jitter margin and a retransmission: {reserved_ms}"
    );
    assert_eq!(
        path.send_deadline_ms(0.0, 1_500.0, 9e9),
        750.0,
        "at most half of the remaining time is reserved"
    );
    assert_eq!(path.send_deadline_ms(100.0, 50.0, 0.0), 50.0, "no time is reserved after the deadline");
    assert_eq!(path.loss_rate(), 0.05);
}
