use super::*;

#[test]
fn requests_spread_over_connections_up_to_the_limits() {
    let mut connections = Connections::new(ConnectionLimits {
        total: 3,
        per_endpoint: 2,
        spread_above: 1,
        streams_per_connection: 2,
    });
    let mut place = |endpoint, id: u64| {
        let placement = connections.place(endpoint, id, 0.0);
        if let Placement::Existing(conn) | Placement::New(conn) = placement {
            connections.get_mut(conn).unwrap().queue.push_back(AttemptId { request: id, number: 0 });
        }
        placement
    };
    assert_eq!(place(7, 1), Placement::New(1));
    assert_eq!(place(7, 2), Placement::New(2));
    assert_eq!(place(7, 3), Placement::Existing(1));
    assert_eq!(place(7, 4), Placement::Existing(2));
    assert_eq!(place(7, 5), Placement::Unavailable);
    assert_eq!(place(8, 6), Placement::New(3));
    assert_eq!(place(9, 7), Placement::Unavailable);
}

#[test]
fn an_idle_connection_is_evicted_for_an_endpoint_without_one() {
    let mut connections = Connections::new(ConnectionLimits {
        total: 2,
        per_endpoint: 2,
        spread_above: 1,
        streams_per_connection: 1,
    });
    for (endpoint, used) in [(7, 5.0), (8, 3.0)] {
        let Placement::New(conn) = connections.place(endpoint, 1, used) else {
            panic!("no new connection was opened")
        };
        connections.get_mut(conn).unwrap().established = true;
    }
    assert_eq!(connections.place(9, 1, 9.0), Placement::Unavailable);
    assert_eq!(connections.evict(7), None, "the endpoint has a connection");
    assert_eq!(connections.evict(9), Some(2), "the connection idle for longest");
    assert_eq!(connections.place(9, 1, 9.0), Placement::New(3));
    connections.get_mut(1).unwrap().queue.push_back(AttemptId { request: 1, number: 0 });
    assert_eq!(connections.evict(10), None, "no other connection is idle");
}

/// Guards against a late reply to one attempt ending the next attempt of the same request.
#[test]
fn a_cancelled_request_is_not_sent_again_on_its_connection() {
    let mut connections = Connections::new(ConnectionLimits {
        total: 9,
        per_endpoint: 9,
        spread_above: 9,
        streams_per_connection: 9,
    });
    let Placement::New(conn) = connections.place(7, 1, 0.0) else { panic!("no new connection was opened") };
    connections.get_mut(conn).unwrap().cancel(1, String::new());
    assert_eq!(connections.place(7, 2, 0.0), Placement::Existing(conn));
    assert_eq!(connections.place(7, 1, 0.0), Placement::New(conn + 1));
    let connection = connections.get_mut(conn).unwrap();
    (10..10 + 2 * MAX_EXCLUDED as u64).for_each(|id| connection.cancel(id, String::new()));
    assert_eq!(connection.excluded.len(), MAX_EXCLUDED);
}
