use super::*;

#[test]
fn each_request_is_removed_once_and_the_table_is_bounded() {
    let request = |id| IncomingRequest { id, ..IncomingRequest::default() };
    let mut table = Requests::new(2);
    assert_eq!(table.admit(request(1)), Ok(()));
    assert_eq!(table.admit(request(1)), Err(AdmitError::Duplicate));
    assert_eq!(table.admit(request(2)), Ok(()));
    assert_eq!(table.admit(request(3)), Err(AdmitError::Full));
    assert!(table.remove(1).is_some() && table.remove(1).is_none());
    assert_eq!(table.len(), 1);
}

#[test]
fn a_reused_id_has_its_own_deadline() {
    let request = |deadline_ms| IncomingRequest { id: 1, deadline_ms, ..IncomingRequest::default() };
    let mut table = Requests::new(2);
    table.admit(request(10.0)).unwrap();
    table.remove(1);
    table.admit(request(50.0)).unwrap();
    assert_eq!((table.pop_overdue(20.0), table.next_due()), (None, Some(50.0)));
    assert_eq!(table.pop_overdue(50.0), Some(1));
}
