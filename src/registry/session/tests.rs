use super::*;

#[test]
fn failures_wait_longer_each_time_up_to_the_most_and_an_answer_starts_over() {
    let backoff = Backoff { first_ms: 100.0, factor: 2.0, max_ms: 300.0, jitter: 0.0 };
    let mut session = Session::new(backoff, 3_000.0, 1);
    let waits: Vec<f64> = (0..5).map(|_| session.failed()).collect();
    assert_eq!(waits, [0.0, 100.0, 200.0, 300.0, 300.0]);
    session.heard();
    assert_eq!((session.failed(), session.failed()), (0.0, 100.0));
    assert_eq!(session.step(&MemberView::new()), Step::Read);
}
