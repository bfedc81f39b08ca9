use super::*;

fn fanout(names: &[&str]) -> FanOut {
    let limits = FanOutLimits { max_batch: 2, heartbeat_ms: 500.0, timeout_ms: 100.0 };
    let mut fanout = FanOut::new(Backoff { jitter: 0.0, ..Backoff::default() }, limits, 7);
    fanout.set_targets(0.0, names.iter().map(|n| (n.to_string(), TargetStatus::Listed)));
    fanout
}

#[test]
fn each_target_gets_the_purges_after_its_acknowledgement_in_batches() {
    let mut fanout = fanout(&["a", "b"]);
    fanout.set_retained(1, 3);
    let batches = fanout.take_due_batches(0.0);
    assert_eq!(batches.len(), 2);
    assert_eq!((batches[0].from, batches[0].through), (1, 2));
    assert!(fanout.take_due_batches(1.0).is_empty(), "one batch at a time");
    assert_eq!(fanout.acknowledge("a", batches[0].id, 2, 2.0), AckOutcome::Advanced { from: 0, to: 2 });
    let next = fanout.take_due_batches(2.0);
    assert_eq!((next[0].target.as_str(), next[0].from, next[0].through), ("a", 3, 3));
    assert_eq!(fanout.low_water_mark(), 0, "b has acknowledged nothing yet");
}

#[test]
fn a_failing_target_is_retried_with_backoff_and_not_dropped() {
    let mut fanout = fanout(&["a"]);
    fanout.set_retained(1, 1);
    let first = fanout.take_due_batches(0.0);
    fanout.record_failure("a", first[0].id, 0.0);
    assert!(fanout.take_due_batches(99.0).is_empty());
    let second = fanout.take_due_batches(100.0);
    assert_eq!(second.len(), 1);
    fanout.record_failure("a", second[0].id, 100.0);
    assert!(fanout.take_due_batches(299.0).is_empty());
    assert_eq!(fanout.take_due_batches(300.0).len(), 1);
    // Without an answer the batch counts as failed after twice the timeout.
    assert!(fanout.take_due_batches(450.0).is_empty());
    assert_eq!(fanout.take_due_batches(501.0).len(), 0);
    assert_eq!(fanout.targets()["a"].failures, 3);
    assert!(fanout.take_due_batches(900.0).is_empty());
    let retry = fanout.take_due_batches(901.0);
    assert_eq!(retry.len(), 1, "retried 400 ms after the failure");
    assert_eq!(fanout.acknowledge("a", retry[0].id, 1, 902.0), AckOutcome::Advanced { from: 0, to: 1 });
    assert_eq!(fanout.low_water_mark(), 1);
}

#[test]
fn targets_behind_the_retained_purges_get_a_cutoff_and_targets_that_lost_their_state_are_resent_purges() {
    let mut fanout = fanout(&["a", "b"]);
    fanout.set_retained(5, 6);
    let batches = fanout.take_due_batches(0.0);
    assert!(batches.iter().all(|batch| batch.with_cutoff && batch.from == 5));
    fanout.acknowledge("a", batches[0].id, 6, 1.0);
    fanout.acknowledge("b", batches[1].id, 6, 1.0);
    let heartbeats = fanout.take_due_batches(600.0);
    assert_eq!(fanout.acknowledge("a", heartbeats[0].id, 0, 601.0), AckOutcome::Regressed { from: 6, to: 0 });
    assert_eq!(
        fanout.acknowledge("b", heartbeats[1].id, 9, 601.0),
        AckOutcome::BeyondLog { acknowledged: 9 }
    );
    assert_eq!(fanout.take_due_batches(601.0)[0].from, 5);
}

#[test]
fn a_removed_target_does_not_hold_back_the_low_water_mark_and_restarts_at_zero_when_listed_again() {
    let mut fanout = fanout(&["a", "b"]);
    fanout.set_retained(1, 1);
    let batches = fanout.take_due_batches(0.0);
    fanout.acknowledge("a", batches[0].id, 1, 1.0);
    assert_eq!(fanout.low_water_mark(), 0);
    fanout.set_targets(2.0, [("a".to_string(), TargetStatus::Listed)]);
    assert_eq!(fanout.low_water_mark(), 1);
    fanout.set_targets(
        3.0,
        [("a".to_string(), TargetStatus::Listed), ("b".to_string(), TargetStatus::Draining)],
    );
    assert_eq!(fanout.low_water_mark(), 0);
    assert_eq!(fanout.take_due_batches(3.0)[0].target, "b");
}

/// Guards against a target that seems to have lost its state, and gets a cutoff: a late answer to a batch that
/// counts as failed was taken for the answer to the next one.
#[test]
fn a_late_answer_or_failure_of_a_failed_batch_does_not_count_for_the_next_one() {
    let mut fanout = fanout(&["a"]);
    fanout.set_retained(1, 1);
    let late = fanout.take_due_batches(0.0);
    assert!(fanout.take_due_batches(201.0).is_empty(), "the first batch counts as failed");
    let retry = fanout.take_due_batches(301.0);
    assert_eq!(fanout.acknowledge("a", late[0].id, 0, 302.0), AckOutcome::Unexpected);
    fanout.record_failure("a", late[0].id, 303.0);
    assert_eq!(fanout.targets()["a"].failures, 1, "the failure is counted once");
    assert_eq!(fanout.acknowledge("a", retry[0].id, 1, 304.0), AckOutcome::Advanced { from: 0, to: 1 });
}
