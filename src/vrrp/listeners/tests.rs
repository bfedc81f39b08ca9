use super::*;

#[test]
fn listeners_follow_the_state_and_each_command_is_given_once() {
    let mut listeners = ListenerSet::new(2, 2_000.0, 10_000.0);
    assert_eq!(listeners.follow(0.0, State::Backup), []);
    assert_eq!(listeners.follow(1.0, State::Active), [ListenerCommand::Open(0), ListenerCommand::Open(1)]);
    assert_eq!(listeners.follow(2.0, State::Active), [], "given once");
    listeners.opened(2.0, 0, true);
    // The router ceases to be active before the second result is known: that listener is closed too.
    assert_eq!(listeners.follow(3.0, State::Backup), [ListenerCommand::Close(0), ListenerCommand::Close(1)]);
    listeners.opened(4.0, 1, true);
    assert!(!listeners.is_open(1), "the result came after the command to close");
    assert_eq!(listeners.follow(5.0, State::Fault), []);
    assert_eq!(listeners.follow(6.0, State::Active).len(), 2);
}

#[test]
fn a_listener_that_cannot_be_opened_is_retried_until_the_router_steps_down() {
    let mut listeners = ListenerSet::new(1, 2_000.0, 10_000.0);
    let (mut now, mut attempts) = (0.0, Vec::new());
    while !listeners.has_stepped_down(now) {
        for command in listeners.follow(now, State::Active) {
            assert_eq!(command, ListenerCommand::Open(0));
            attempts.push(now);
            listeners.opened(now, 0, false);
        }
        let due = listeners.due_ms();
        assert!(due > now, "there is a next attempt");
        now = due;
        listeners.follow(now, State::Active).into_iter().for_each(|_| {
            attempts.push(now);
            listeners.opened(now, 0, false);
        });
        assert!(now < 9_000.0);
    }
    assert_eq!((now, listeners.step_downs()), (2_000.0, 1));
    assert!((5..12).contains(&attempts.len()), "{attempts:?}");
    assert_eq!(listeners.follow(now, State::Fault), [], "nothing is open");
    assert!(listeners.has_stepped_down(11_999.0) && !listeners.has_stepped_down(12_000.0));
    // The router becomes active again, and the listener can be opened.
    assert_eq!(listeners.follow(13_000.0, State::Active), [ListenerCommand::Open(0)]);
    listeners.opened(13_000.0, 0, true);
    assert!(listeners.is_open(0) && listeners.follow(20_000.0, State::Active).is_empty());
    assert_eq!((listeners.due_ms(), listeners.step_downs()), (f64::INFINITY, 1));
}
