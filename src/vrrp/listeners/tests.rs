use super::*;

#[test]
fn listeners_are_open_only_while_active_and_each_command_is_returned_once() {
    let mut listeners = ListenerSet::new(2, 2_000.0, 10_000.0);
    assert_eq!(listeners.apply_state(0.0, State::Backup), []);
    assert_eq!(
        listeners.apply_state(1.0, State::Active),
        [ListenerCommand::Open(0), ListenerCommand::Open(1)]
    );
    assert_eq!(listeners.apply_state(2.0, State::Active), [], "the commands were already returned");
    listeners.record_open_result(2.0, 0, true);
    // The router ceases to be active before the second result is known: that listener is closed too.
    assert_eq!(
        listeners.apply_state(3.0, State::Backup),
        [ListenerCommand::Close(0), ListenerCommand::Close(1)]
    );
    listeners.record_open_result(4.0, 1, true);
    assert!(!listeners.is_open(1), "the result came after the command to close");
    assert_eq!(listeners.apply_state(5.0, State::Fault), []);
    assert_eq!(listeners.apply_state(6.0, State::Active).len(), 2);
}

#[test]
fn a_listener_that_cannot_be_opened_is_retried_until_step_down_and_on_the_next_activation() {
    let mut listeners = ListenerSet::new(1, 2_000.0, 10_000.0);
    let (mut now, mut attempts) = (0.0, Vec::new());
    while !listeners.must_step_down(now) {
        for command in listeners.apply_state(now, State::Active) {
            assert_eq!(command, ListenerCommand::Open(0));
            attempts.push(now);
            listeners.record_open_result(now, 0, false);
        }
        let due = listeners.due_ms();
        assert!(due > now, "another attempt is scheduled");
        now = due;
        listeners.apply_state(now, State::Active).into_iter().for_each(|_| {
            attempts.push(now);
            listeners.record_open_result(now, 0, false);
        });
        assert!(now < 9_000.0, "the router did not step down by {now} ms");
    }
    assert_eq!((now, listeners.step_downs()), (2_000.0, 1));
    assert!((5..12).contains(&attempts.len()), "{attempts:?}");
    assert_eq!(listeners.apply_state(now, State::Fault), [], "no listener is open");
    assert!(listeners.must_step_down(11_999.0) && !listeners.must_step_down(12_000.0));
    // The router becomes active again, and the listener can be opened.
    assert_eq!(listeners.apply_state(13_000.0, State::Active), [ListenerCommand::Open(0)]);
    listeners.record_open_result(13_000.0, 0, true);
    assert!(listeners.is_open(0) && listeners.apply_state(20_000.0, State::Active).is_empty());
    assert_eq!((listeners.due_ms(), listeners.step_downs()), (f64::INFINITY, 1));
}
