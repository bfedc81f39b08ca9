use super::*;

#[test]
fn known_events_are_read_from_json_and_faults_are_named() {
    let text = r#"{"no":42,"items":[{"no":41,"roster":{"rev":7,"all":true,"targets":[{"uid":"s-00c41f7a",
            "endpoint":"10.1.0.9:5050","az":"east","model":"std","pod_group":2,"state":"Ready",
            "capacity_hint":4,"boot_ms":0}]}},{"no":42,"recall":{"item":"7f3a9c21e0b4d655","issued":5}}]}"#;
    let read =
        |text: &str| simd_json::from_slice::<InitialState>(&mut text.as_bytes().to_vec()).unwrap().events();
    let events = read(text).unwrap();
    assert!(
        matches!(&events[0].event, WatchEvent::Endpoints { full: true, endpoints } if endpoints.len() == 1)
    );
    let object = 0x7f3a_9c21_e0b4_d655;
    assert!(
        matches!(events[1].event, WatchEvent::Purge { object: Some(o), issued_ms: 5.0, .. } if o == object)
    );
    let fault = read(&text.replace("10.1.0.9:5050", "nowhere")).unwrap_err();
    assert!(fault.contains("event 41") && fault.contains("endpoint"), "{fault}");
}
