use super::*;

#[test]
fn each_request_is_ended_once_and_the_table_is_bounded() {
    let ask = |id| IncomingRequest { id, ..IncomingRequest::default() };
    let mut table = Requests::new(2);
    assert_eq!(table.take(ask(1)), Ok(()));
    assert_eq!(table.take(ask(1)), Err(AdmitError::Duplicate));
    assert_eq!(table.take(ask(2)), Ok(()));
    assert_eq!(table.take(ask(3)), Err(AdmitError::Full));
    assert!(table.end(1).is_some() && table.end(1).is_none());
    assert_eq!(table.len(), 1);
}

#[test]
fn an_id_that_comes_again_has_its_own_time() {
    let ask = |give_up_ms| IncomingRequest { id: 1, give_up_ms, ..IncomingRequest::default() };
    let mut table = Requests::new(2);
    table.take(ask(10.0)).unwrap();
    table.end(1);
    table.take(ask(50.0)).unwrap();
    assert_eq!((table.overdue(20.0), table.next_due()), (None, Some(50.0)));
    assert_eq!(table.overdue(50.0), Some(1));
}
