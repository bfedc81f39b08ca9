use super::*;

/// The proxies of a fleet must not all reconnect at the same time while the service is down: once, all of
/// them reconnected every 50 ms, in step, for as long as it was down.
#[test]
fn backoff_grows_is_bounded_and_has_jitter() {
    let backoffs = |random| {
        [1, 2, 3, 4, 40].map(|connections_without_frame| {
            WatchState { connections_without_frame, ..WatchState::default() }.backoff_ms(random)
        })
    };
    assert_eq!(backoffs(0.0), [50.0, 100.0, 200.0, 240.0, 240.0]);
    assert_eq!(backoffs(1.0), [25.0, 50.0, 100.0, 120.0, 120.0]);
    let after_event = |random| WatchState::default().backoff_ms(random);
    assert_eq!((after_event(0.0), after_event(1.0)), (0.0, INITIAL_BACKOFF_MS));
}

#[test]
fn failures_are_counted_per_event() {
    let mut state = WatchState::default();
    assert_eq!([7, 7, 8, 7, 7, 7].map(|number| state.count_failure(number)), [1, 2, 1, 1, 2, 3]);
}
