use super::*;

fn tracker(text: &str) -> Tracker {
    let rule: TrackRule = serde_json::from_str(text).unwrap();
    rule.check().unwrap();
    Tracker::new(rule)
}

#[test]
fn an_object_fails_after_its_delay_and_short_changes_are_ignored() {
    let mut pool = tracker(r#"{"what":"pool","below":0.5,"lower_by":60,"after_ms":500,"back_ms":3000}"#);
    // Out of bounds for 200 ms at a time, which is less than the delay.
    let mut changes = 0;
    for k in 0..100u32 {
        let value = if (k / 2) % 2 == 0 { 0.2 } else { 0.9 };
        changes += u32::from(pool.sample(f64::from(k) * 100.0, Some(value)));
    }
    assert_eq!((changes, pool.failed), (0, false));
    assert!(!pool.sample(20_000.0, Some(0.4)) && !pool.sample(20_499.0, Some(0.4)));
    assert!(pool.sample(20_500.0, Some(0.4)) && pool.failed);
    assert!(!pool.sample(21_000.0, Some(0.5)), "back at its bound, but not for long");
    assert!(
        !pool.sample(23_000.0, None) && pool.failed,
        "unknown: it stays failed, and the wait starts again"
    );
    assert!(!pool.sample(25_000.0, Some(1.0)) && pool.sample(28_000.0, Some(1.0)) && !pool.failed);
}

#[test]
fn the_priority_is_reduced_by_failed_objects_and_at_least_1() {
    let mut all = vec![
        tracker(r#"{"what":"pool","below":0.5,"lower_by":60}"#),
        tracker(r#"{"what":{"grpc":"ads"},"below":0.5,"lower_by":90}"#),
        tracker(r#"{"what":{"file":"/tmp/aside"},"above":0,"fault":true}"#),
    ];
    assert_eq!(TrackedPriority::of(120, &all), TrackedPriority { priority: 120, fault: false });
    all[0].failed = true;
    assert_eq!(TrackedPriority::of(120, &all), TrackedPriority { priority: 60, fault: false });
    all[1].failed = true;
    assert_eq!(TrackedPriority::of(120, &all), TrackedPriority { priority: 1, fault: false });
    all[2].failed = true;
    assert_eq!(TrackedPriority::of(120, &all), TrackedPriority { priority: 1, fault: true });
    assert_eq!(
        TrackedPriority::of(OWNER_PRIORITY, &all),
        TrackedPriority { priority: OWNER_PRIORITY, fault: true },
        "the owner's priority is fixed"
    );
    for bad in [
        r#"{"what":"pool","lower_by":60}"#,
        r#"{"what":"pool","below":1,"above":0,"lower_by":60}"#,
        r#"{"what":"pool","below":0.5}"#,
        r#"{"what":"pool","below":0.5,"lower_by":5,"fault":true}"#,
        r#"{"what":"pool","below":0.5,"lower_by":5,"after_ms":-1}"#,
    ] {
        assert!(serde_json::from_str::<TrackRule>(bad).unwrap().check().is_err(), "{bad}");
    }
}

fn ended(total: u64, rejected: u64) -> EndedRequests {
    EndedRequests { total, rejected }
}

#[test]
fn a_share_is_of_the_requests_that_ended_lately() {
    let mut share = RejectedShare::default();
    assert_eq!(share.sample(0.0, ended(0, 0)), None);
    assert_eq!(share.sample(100.0, ended(10, 10)), None, "too few requests");
    assert_eq!(share.sample(1_000.0, ended(100, 50)), Some(0.5));
    assert_eq!(share.sample(4_000.0, ended(200, 50)), Some(0.0), "the rejections are out of the window");
}
