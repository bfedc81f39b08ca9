use super::*;

#[test]
fn health_changes_after_consecutive_contrary_results_of_different_slots() {
    let mut status = HealthStatus::new(HealthThresholds { fall: 3, rise: 2 });
    let mut apply =
        |slot, passed| status.apply(slot as f64, CheckResult { endpoint: 7, slot, passed, duration_ms: 1.0 });
    assert_eq!(
        (apply(1, false), apply(1, false), apply(1, false)),
        (None, None, None),
        "repeated results of one slot should count once"
    );
    assert_eq!((apply(2, false), apply(3, true), apply(4, false), apply(5, false)), (None, None, None, None));
    assert_eq!(apply(6, false), Some(false));
    assert_eq!(
        (apply(7, false), apply(8, true), apply(6, true)),
        (None, None, None),
        "a result of an earlier slot should be ignored"
    );
    assert_eq!(apply(9, true), Some(true));
    assert_eq!(status.last_slot(7), 9);
    status.retain(|_| false);
    assert_eq!(status.iter().count(), 0);
}
