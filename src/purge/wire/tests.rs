use super::*;

#[test]
fn a_batch_round_trips_and_unknown_fields_and_invalid_selectors_are_rejected() {
    let batch = Batch {
        leader: "edge-1".into(),
        from: 4,
        low_water_mark: 2,
        cutoff: Some(PurgeStamp { seq: 3, issued_ms: 9.0 }),
        purges: vec![Purge { seq: 4, issued_ms: 10.0, selector: "pattern:/a/*".parse().unwrap() }],
    };
    assert_eq!(from_json::<Batch>(&to_json(&batch)).unwrap(), batch);
    assert!(from_json::<SubmitRequest>(br#"{"sel":"tag:a","when":1}"#).is_err());
    let error = from_json::<SubmitRequest>(br#"{"sel":"pattern:/a/**/b"}"#).unwrap_err().to_string();
    assert!(error.contains("last segment"), "{error}");
}
