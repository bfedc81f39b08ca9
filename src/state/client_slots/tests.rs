use super::*;

#[test]
fn silent_connections_are_evicted_first_then_the_longest_idle_and_never_busy_ones() {
    let mut slots = ClientSlots::new(4);
    let ids: Vec<_> = [0.0, 10.0, 20.0, 30.0].iter().map(|now| slots.claim(*now).unwrap()).collect();
    assert_eq!(slots.claim(40.0), None);
    assert_eq!(slots.evict_one(50.0), None, "all are new");
    slots.request_open(ids[0]);
    slots.request_answered(ids[0], 45.0);
    slots.request_open(ids[1]);
    slots.request_answered(ids[1], 44.0);
    slots.request_open(ids[2]);
    assert_eq!(slots.evict_one(140.0), Some(ids[3]), "it never sent a request");
    assert_eq!(slots.evict_one(140.0), None, "an evicted connection is still closing");
    slots.release(ids[3]);
    assert_eq!(slots.evict_one(141.0), Some(ids[1]), "idle for longest after a request");
    slots.release(ids[1]);
    slots.closed(ids[0]);
    assert_eq!(slots.evict_one(141.0), Some(ids[0]));
    slots.release(ids[0]);
    assert_eq!(slots.evict_one(9_999.0), None, "its request is open");
    assert!(slots.claim(9_999.0).is_some());
}
