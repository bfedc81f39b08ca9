use super::*;

#[test]
fn the_latest_call_takes_effect_and_old_returns_are_dropped() {
    let mut all = Maintenance::default();
    let at = |out_of_use, at_ms| MaintenanceCall { out_of_use, at_ms };
    assert!(!all.record(7, at(false, 1.0)), "the endpoint is in use already");
    assert!(all.record(7, at(true, 2.0)) && all.is_out_of_use(7));
    assert!(!all.record(7, at(true, 3.0)));
    assert!(!all.record(7, at(false, 1.0)), "an older call");
    assert!(all.record(7, at(false, 4.0)) && !all.is_out_of_use(7));
    all.forget_old_returns(4.0 + RETURN_RETENTION_MS - 1.0);
    assert_eq!(all.iter().count(), 1);
    all.forget_old_returns(4.0 + RETURN_RETENTION_MS);
    assert_eq!(all.iter().count(), 0);
}
