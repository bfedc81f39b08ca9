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

impl AdmissionControl {
    /// Makes the next release panic.
    pub(crate) fn corrupt(&mut self) {
        self.queue.corrupt();
    }
}

const LIMIT_OF_ONE: &str = r#"{"limit":{"first":1,"least":1,"most":1},"reserve_share":0}"#;

/// Admission control with request 1 in flight and requests 2 to 4 queued, each of a client and tenant of its own.
fn with_three_queued() -> AdmissionControl {
    let mut admission = AdmissionControl::new(config(LIMIT_OF_ONE), "test");
    assert!(matches!(admission.submit(0.0, request(1, 1, 1)), Ok(Some(_))));
    (2..=4).for_each(|id| queue(&mut admission, request(id, id as u8, id as u32)));
    admission
}

fn ids(requests: &[IncomingRequest]) -> Vec<RequestId> {
    requests.iter().map(|request| request.id).collect()
}

/// Guards against queued requests that are lost in a panic of the queue.
#[test]
fn after_a_panic_of_the_queue_all_queued_requests_are_released_in_their_order() {
    let mut admission = with_three_queued();
    for ended in 1..4 {
        admission.corrupt();
        assert_eq!(ids(&admission.complete(10.0, ended, None)), [ended + 1]);
        assert_eq!(admission.queue.counters.panics, ended);
    }
    assert!(admission.complete(10.0, 4, None).is_empty());
    assert!(matches!(admission.submit(10.0, request(5, 1, 1)), Ok(Some(_))), "there is capacity again");
}

/// Guards against a request that gets no decision after a panic, and takes the queued ones with it.
#[test]
fn a_request_whose_decision_panics_is_shed_and_the_queued_ones_stay() {
    let mut admission = with_three_queued();
    let short_of_time = || IncomingRequest { deadline_ms: 1.0, ..request(9, 9, 9) };
    let is_shed = |decision| matches!(decision, Err(NotAdmitted::Shed { .. }));
    assert!(is_shed(admission.submit(0.0, short_of_time())), "and gets a reservation");
    admission.queue.corrupt_bounds();
    assert!(is_shed(admission.submit(0.0, short_of_time())));
    assert_eq!(admission.queue.counters.panics, 1);
    assert!(admission.expire(0.0).is_empty(), "no other request is shed");
    for ended in 1..4 {
        assert_eq!(ids(&admission.complete(10.0, ended, None)), [ended + 1]);
    }
}

/// Guards against requests that wait for ever in a queue that can't be repaired.
#[test]
fn all_queued_requests_are_shed_at_once_if_the_queue_panics_again_after_its_repair() {
    let mut admission = with_three_queued();
    admission.recover(|_| panic!("intentional panic"));
    assert!(admission.next_expiry_ms().is_some_and(|due_ms| due_ms <= 0.0), "due at once");
    let mut shed: Vec<RequestId> = admission.expire(0.0).iter().map(|request| request.id).collect();
    shed.sort_unstable();
    assert_eq!(shed, [2, 3, 4]);
    assert_eq!(admission.next_expiry_ms(), None);
    assert!(admission.complete(10.0, 1, None).is_empty());
    assert!(matches!(admission.submit(10.0, request(5, 1, 1)), Ok(Some(_))), "there is capacity again");
}
