use super::*;

fn tracker_from_json(json: &str) -> Tracker {
    let rule: TrackRule = serde_json::from_str(json).unwrap();
    rule.check().unwrap();
    Tracker::new(rule)
}

#[test]
fn an_object_fails_after_its_delay_and_shorter_violations_are_ignored() {
    let mut pool =
        tracker_from_json(r#"{"what":"pool","below":0.5,"lower_by":60,"after_ms":500,"back_ms":3000}"#);
    // Out of bounds for 200 ms at a time, which is less than the delay.
    let mut transitions = 0;
    for sample in 0..100u32 {
        let value = if (sample / 2) % 2 == 0 { 0.2 } else { 0.9 };
        transitions += u32::from(pool.sample(f64::from(sample) * 100.0, Some(value)));
    }
    assert_eq!((transitions, pool.failed), (0, false));
    assert!(!pool.sample(20_000.0, Some(0.4)) && !pool.sample(20_499.0, Some(0.4)));
    assert!(pool.sample(20_500.0, Some(0.4)) && pool.failed);
    assert!(!pool.sample(21_000.0, Some(0.5)), "within bounds, but for less than the delay");
    assert!(
        !pool.sample(23_000.0, None) && pool.failed,
        "an unknown value keeps the state and restarts the delay"
    );
    assert!(!pool.sample(25_000.0, Some(1.0)) && pool.sample(28_000.0, Some(1.0)) && !pool.failed);
}

#[test]
fn failed_objects_reduce_the_priority_to_no_less_than_1_and_invalid_rules_are_rejected() {
    let mut trackers = vec![
        tracker_from_json(r#"{"what":"pool","below":0.5,"lower_by":60}"#),
        tracker_from_json(r#"{"what":{"grpc":"ads"},"below":0.5,"lower_by":90}"#),
        tracker_from_json(r#"{"what":{"file":"/tmp/aside"},"above":0,"fault":true}"#),
    ];
    assert_eq!(TrackingEffect::compute(120, &trackers), TrackingEffect { priority: 120, fault: false });
    trackers[0].failed = true;
    assert_eq!(TrackingEffect::compute(120, &trackers), TrackingEffect { priority: 60, fault: false });
    trackers[1].failed = true;
    assert_eq!(TrackingEffect::compute(120, &trackers), TrackingEffect { priority: 1, fault: false });
    trackers[2].failed = true;
    assert_eq!(TrackingEffect::compute(120, &trackers), TrackingEffect { priority: 1, fault: true });
    assert_eq!(
        TrackingEffect::compute(OWNER_PRIORITY, &trackers),
        TrackingEffect { priority: OWNER_PRIORITY, fault: true },
        "the owner's priority is not reduced"
    );
    for invalid_rule in [
        r#"{"what":"pool","lower_by":60}"#,
        r#"{"what":"pool","below":1,"above":0,"lower_by":60}"#,
        r#"{"what":"pool","below":0.5}"#,
        r#"{"what":"pool","below":0.5,"lower_by":5,"fault":true}"#,
        r#"{"what":"pool","below":0.5,"lower_by":5,"after_ms":-1}"#,
    ] {
        assert!(serde_json::from_str::<TrackRule>(invalid_rule).unwrap().check().is_err(), "{invalid_rule}");
    }
}

fn ended(total: u64, rejected: u64) -> EndedRequests {
    EndedRequests { total, rejected }
}

#[test]
fn the_rejected_share_excludes_requests_that_ended_before_the_window() {
    let mut share = RejectedShare::default();
    assert_eq!(share.sample(0.0, ended(0, 0)), None);
    assert_eq!(share.sample(100.0, ended(10, 10)), None, "too few requests");
    assert_eq!(share.sample(1_000.0, ended(100, 50)), Some(0.5));
    assert_eq!(share.sample(4_000.0, ended(200, 50)), Some(0.0), "the rejections ended before the window");
}
