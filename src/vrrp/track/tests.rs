use super::*;

fn track(text: &str) -> Track {
    let spec: TrackSpec = serde_json::from_str(text).unwrap();
    spec.check().unwrap();
    Track::new(spec)
}

#[test]
fn a_thing_turns_after_its_time_and_a_flicker_changes_nothing() {
    let mut pool = track(r#"{"what":"pool","below":0.5,"lower_by":60,"after_ms":500,"back_ms":3000}"#);
    // Out of its bound every other 200 ms: never long enough.
    let mut turned = 0;
    for k in 0..100u32 {
        let value = if (k / 2) % 2 == 0 { 0.2 } else { 0.9 };
        turned += u32::from(pool.sample(f64::from(k) * 100.0, Some(value)));
    }
    assert_eq!((turned, pool.bad), (0, false));
    assert!(!pool.sample(20_000.0, Some(0.4)) && !pool.sample(20_499.0, Some(0.4)));
    assert!(pool.sample(20_500.0, Some(0.4)) && pool.bad);
    assert!(!pool.sample(21_000.0, Some(0.5)), "back at its bound, but not for long");
    assert!(!pool.sample(23_000.0, None) && pool.bad, "not known: it stays, and the wait begins anew");
    assert!(!pool.sample(25_000.0, Some(1.0)) && pool.sample(28_000.0, Some(1.0)) && !pool.bad);
}

#[test]
fn the_priority_is_the_base_less_what_is_bad_and_never_none() {
    let mut all = vec![
        track(r#"{"what":"pool","below":0.5,"lower_by":60}"#),
        track(r#"{"what":{"grpc":"ads"},"below":0.5,"lower_by":90}"#),
        track(r#"{"what":{"file":"/tmp/aside"},"above":0,"fault":true}"#),
    ];
    assert_eq!(standing(120, &all), (120, false));
    all[0].bad = true;
    assert_eq!(standing(120, &all), (60, false));
    all[1].bad = true;
    assert_eq!(standing(120, &all), (1, false));
    all[2].bad = true;
    assert_eq!(standing(120, &all), (1, true));
    assert_eq!(standing(OWNER, &all), (OWNER, true), "the owner's priority is fixed");
    for bad in [
        r#"{"what":"pool","lower_by":60}"#,
        r#"{"what":"pool","below":1,"above":0,"lower_by":60}"#,
        r#"{"what":"pool","below":0.5}"#,
        r#"{"what":"pool","below":0.5,"lower_by":5,"fault":true}"#,
        r#"{"what":"pool","below":0.5,"lower_by":5,"after_ms":-1}"#,
    ] {
        assert!(serde_json::from_str::<TrackSpec>(bad).unwrap().check().is_err(), "{bad}");
    }
}

#[test]
fn a_share_is_of_what_ended_lately() {
    let mut rate = Rate::default();
    assert_eq!(rate.share(0.0, 0, 0), None);
    assert_eq!(rate.share(100.0, 10, 10), None, "too few to tell");
    assert_eq!(rate.share(1_000.0, 100, 50), Some(0.5));
    assert_eq!(rate.share(4_000.0, 200, 50), Some(0.0), "the bad time is over");
}
