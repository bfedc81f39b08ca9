use super::*;

#[test]
fn the_retry_delay_grows_to_its_maximum_and_is_reset_by_a_success() {
    let backoff = Backoff { first_ms: 100.0, factor: 2.0, max_ms: 300.0, jitter: 0.0 };
    let mut session = Session::new(backoff, 3_000.0, 1);
    let delays: Vec<f64> = (0..5).map(|_| session.record_failure()).collect();
    assert_eq!(delays, [0.0, 100.0, 200.0, 300.0, 300.0]);
    session.record_success();
    assert_eq!((session.record_failure(), session.record_failure()), (0.0, 100.0));
    assert_eq!(session.next_step(&EndpointView::new()), Step::ReadAll);
}
