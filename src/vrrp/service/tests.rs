use super::*;

#[test]
fn listeners_follow_the_state_and_each_command_comes_once() {
    let mut service = Service::new(2, 2_000.0, 10_000.0);
    assert_eq!(service.follow(0.0, State::Backup), []);
    assert_eq!(service.follow(1.0, State::Active), [Command::Open(0), Command::Open(1)]);
    assert_eq!(service.follow(2.0, State::Active), [], "told once");
    service.opened(2.0, 0, true);
    // It gives up before it heard of the second: that one is closed as well.
    assert_eq!(service.follow(3.0, State::Backup), [Command::Close(0), Command::Close(1)]);
    service.opened(4.0, 1, true);
    assert!(!service.is_open(1), "an opening that was overtaken");
    assert_eq!(service.follow(5.0, State::Fault), []);
    assert_eq!(service.follow(6.0, State::Active).len(), 2);
}

#[test]
fn what_cannot_be_opened_is_tried_again_and_in_the_end_it_stands_aside() {
    let mut service = Service::new(1, 2_000.0, 10_000.0);
    let (mut now, mut tries) = (0.0, Vec::new());
    while !service.stands_aside(now) {
        for command in service.follow(now, State::Active) {
            assert_eq!(command, Command::Open(0));
            tries.push(now);
            service.opened(now, 0, false);
        }
        let due = service.due_ms();
        assert!(due > now, "it waits for something");
        now = due;
        service.follow(now, State::Active).into_iter().for_each(|_| {
            tries.push(now);
            service.opened(now, 0, false);
        });
        assert!(now < 9_000.0);
    }
    assert_eq!((now, service.asides), (2_000.0, 1));
    assert!((5..12).contains(&tries.len()), "{tries:?}");
    assert_eq!(service.follow(now, State::Fault), [], "nothing is open");
    assert!(service.stands_aside(11_999.0) && !service.stands_aside(12_000.0));
    // Back, and this time it works.
    assert_eq!(service.follow(13_000.0, State::Active), [Command::Open(0)]);
    service.opened(13_000.0, 0, true);
    assert!(service.is_open(0) && service.follow(20_000.0, State::Active).is_empty());
    assert_eq!((service.due_ms(), service.asides), (f64::INFINITY, 1));
}
