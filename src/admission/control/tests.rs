//! Tests of the queued requests that admission control stores, across reloads and panics.

use super::*;

fn config(json: &str) -> AdmissionConfig {
    serde_json::from_str(json).expect("the configuration is valid")
}

fn request(id: RequestId, client: u8, group: u32) -> IncomingRequest {
    IncomingRequest {
        id,
        group,
        deadline_ms: 60_000.0,
        client: Some([10, 0, 0, client].into()),
        ..IncomingRequest::default()
    }
}

/// Submits a request that must be queued.
fn queue(admission: &mut AdmissionControl, request: IncomingRequest) {
    let id = request.id;
    assert!(matches!(admission.submit(0.0, request), Ok(None)), "request {id} is queued");
}

/// Guards against a fill that is measured by a bound which takes effect only after a restart.
#[test]
fn the_fill_of_the_queue_is_relative_to_the_bound_in_force_also_after_a_reload() {
    let limit = r#""limit":{"first":1,"least":1,"most":1},"reserve_share":0"#;
    let mut admission = AdmissionControl::new(config(&format!(r#"{{"queue_most":8,{limit}}}"#)), "test");
    assert!(matches!(admission.submit(0.0, request(1, 1, 0)), Ok(Some(_))));
    (2..=5).for_each(|id| queue(&mut admission, request(id, 2, 0)));
    assert_eq!(admission.queue_fill(), 0.5);
    admission.reconfigure(config(&format!(r#"{{"queue_most":2,{limit}}}"#)));
    assert_eq!(admission.queue_fill(), 0.5);
}
