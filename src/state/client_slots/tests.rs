use super::*;

#[test]
fn the_silent_go_first_then_the_longest_idle_and_never_the_busy() {
    let mut places = Places::new(4);
    let ids: Vec<_> = [0.0, 10.0, 20.0, 30.0].iter().map(|now| places.take(*now).unwrap()).collect();
    assert_eq!(places.take(40.0), None);
    assert_eq!(places.make_room(50.0), None, "all have just come");
    places.busy(ids[0]);
    places.idle(ids[0], 45.0);
    places.busy(ids[1]);
    places.idle(ids[1], 44.0);
    places.busy(ids[2]);
    assert_eq!(places.make_room(140.0), Some(ids[3]), "it has never asked");
    assert_eq!(places.make_room(140.0), None, "one is on its way out");
    places.leave(ids[3]);
    assert_eq!(places.make_room(141.0), Some(ids[1]), "idle for longest");
    places.leave(ids[1]);
    places.done(ids[0]);
    assert_eq!(places.make_room(141.0), Some(ids[0]));
    places.leave(ids[0]);
    assert_eq!(places.make_room(9_999.0), None, "its request is open");
    assert!(places.take(9_999.0).is_some());
}
