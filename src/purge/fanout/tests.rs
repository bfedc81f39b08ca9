use super::*;

fn fanout(names: &[&str]) -> FanOut {
    let bounds = FanOutBounds { batch_most: 2, heartbeat_ms: 500.0, timeout_ms: 100.0 };
    let mut fan = FanOut::new(Backoff { jitter: 0.0, ..Backoff::default() }, bounds, 7);
    fan.set_targets(0.0, names.iter().map(|n| (n.to_string(), Standing::Listed)));
    fan
}

#[test]
fn each_target_gets_what_follows_its_acknowledgement_in_batches() {
    let mut fan = fanout(&["a", "b"]);
    fan.hold(1, 3);
    let sends = fan.due(0.0);
    assert_eq!(sends.len(), 2);
    assert_eq!((sends[0].from, sends[0].through), (1, 2));
    assert!(fan.due(1.0).is_empty(), "one batch at a time");
    assert_eq!(fan.answered("a", 2, 2.0), Heard::Moved { from: 0, to: 2 });
    let next = fan.due(2.0);
    assert_eq!((next[0].target.as_str(), next[0].from, next[0].through), ("a", 3, 3));
    assert_eq!(fan.done(), 0, "b has acknowledged nothing yet");
}

#[test]
fn a_failing_target_waits_longer_each_time_and_is_not_dropped() {
    let mut fan = fanout(&["a"]);
    fan.hold(1, 1);
    fan.due(0.0);
    fan.failed("a", 0.0);
    assert!(fan.due(99.0).is_empty());
    assert_eq!(fan.due(100.0).len(), 1);
    fan.failed("a", 100.0);
    assert!(fan.due(299.0).is_empty());
    assert_eq!(fan.due(300.0).len(), 1);
    // No answer at all: after twice the time-out the batch counts as failed.
    assert!(fan.due(450.0).is_empty());
    assert_eq!(fan.due(501.0).len(), 0);
    assert_eq!(fan.peers()["a"].failures, 3);
    assert!(fan.due(900.0).is_empty());
    assert_eq!(fan.due(901.0).len(), 1, "tried again 400 ms after it was given up");
    assert_eq!(fan.answered("a", 1, 902.0), Heard::Moved { from: 0, to: 1 });
    assert_eq!(fan.done(), 1);
}

#[test]
fn a_target_behind_what_is_held_gets_a_floor_and_one_that_lost_state_is_told_again() {
    let mut fan = fanout(&["a", "b"]);
    fan.hold(5, 6);
    let sends = fan.due(0.0);
    assert!(sends.iter().all(|s| s.floor && s.from == 5));
    fan.answered("a", 6, 1.0);
    fan.answered("b", 6, 1.0);
    fan.due(600.0);
    assert_eq!(fan.answered("a", 0, 601.0), Heard::Lost { had: 6, has: 0 });
    assert_eq!(fan.answered("b", 9, 601.0), Heard::Ahead { has: 9 });
    assert_eq!(fan.due(601.0)[0].from, 5);
}

#[test]
fn a_gone_target_stops_counting_and_comes_back_with_nothing() {
    let mut fan = fanout(&["a", "b"]);
    fan.hold(1, 1);
    fan.due(0.0);
    fan.answered("a", 1, 1.0);
    assert_eq!(fan.done(), 0);
    fan.set_targets(2.0, [("a".to_string(), Standing::Listed)]);
    assert_eq!(fan.done(), 1);
    fan.set_targets(3.0, [("a".to_string(), Standing::Listed), ("b".to_string(), Standing::Draining)]);
    assert_eq!(fan.done(), 0);
    assert_eq!(fan.due(3.0)[0].target, "b");
}
