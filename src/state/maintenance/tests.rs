use super::*;

#[test]
fn the_latest_call_takes_effect_and_expired_calls_are_dropped() {
    let mut maintenance = Maintenance::default();
    let call = |out_of_use, at_ms| MaintenanceCall { out_of_use, at_ms };
    assert!(!maintenance.record(7, call(false, 1.0)), "the endpoint is in use already");
    assert!(maintenance.record(7, call(true, 2.0)) && maintenance.is_out_of_use(7));
    assert!(!maintenance.record(7, call(true, 3.0)));
    assert!(!maintenance.record(7, call(false, 1.0)), "an older call");
    assert!(maintenance.record(7, call(false, 4.0)) && !maintenance.is_out_of_use(7));
    maintenance.drop_expired_calls(4.0 + RETURN_RETENTION_MS - 1.0);
    assert_eq!(maintenance.iter().count(), 1);
    maintenance.drop_expired_calls(4.0 + RETURN_RETENTION_MS);
    assert_eq!(maintenance.iter().count(), 0);
}
