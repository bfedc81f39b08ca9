use super::*;

#[test]
fn ids_are_unique_the_capacity_is_enforced_and_requests_are_removed_once() {
    let request = |id| IncomingRequest { id, ..IncomingRequest::default() };
    let mut table = Requests::new(2);
    assert_eq!(table.insert(request(1)), Ok(()));
    assert_eq!(table.insert(request(1)), Err(SubmitError::Duplicate));
    assert_eq!(table.insert(request(2)), Ok(()));
    assert_eq!(table.insert(request(3)), Err(SubmitError::Full));
    assert!(table.remove(1).is_some() && table.remove(1).is_none());
    assert_eq!(table.len(), 1);
}

#[test]
fn a_reused_id_has_its_own_deadline() {
    let request = |deadline_ms| IncomingRequest { id: 1, deadline_ms, ..IncomingRequest::default() };
    let mut table = Requests::new(2);
    table.insert(request(10.0)).unwrap();
    table.remove(1);
    table.insert(request(50.0)).unwrap();
    assert_eq!((table.pop_overdue(20.0), table.next_due()), (None, Some(50.0)));
    assert_eq!(table.pop_overdue(50.0), Some(1));
}
