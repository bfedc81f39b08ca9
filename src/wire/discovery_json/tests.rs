use super::*;

#[test]
fn initial_state_is_parsed_and_errors_name_the_event_and_field() {
    let text = r#"{"no":42,"items":[{"no":41,"roster":{"rev":7,"all":true,"targets":[{"uid":"s-00c41f7a",
            "endpoint":"10.1.0.9:5050","az":"east","model":"std","pod_group":2,"state":"Ready",
            "capacity_hint":4,"boot_ms":0}]}},{"no":42,"recall":{"item":"7f3a9c21e0b4d655","issued":5}}]}"#;
    let parse =
        |text: &str| simd_json::from_slice::<InitialState>(&mut text.as_bytes().to_vec()).unwrap().events();
    let events = parse(text).unwrap();
    assert!(
        matches!(&events[0].event, WatchEvent::Endpoints { full: true, endpoints } if endpoints.len() == 1)
    );
    let object = 0x7f3a_9c21_e0b4_d655;
    assert!(
        matches!(events[1].event, WatchEvent::Purge { object: Some(o), issued_ms: 5.0, .. } if o == object)
    );
    let error = parse(&text.replace("10.1.0.9:5050", "nowhere")).unwrap_err().to_string();
    assert!(error.contains("event 41") && error.contains("endpoint"), "{error}");
}
