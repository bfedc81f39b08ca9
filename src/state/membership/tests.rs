use super::*;
use crate::settings::EndpointRecord;

fn target(cache: u32, lifecycle: &str, port: u16) -> DiscoveredEndpoint {
    let row = EndpointRecord {
        zone: String::new(),
        model: String::new(),
        lifecycle: lifecycle.into(),
        ready_at_us: 0,
        cache,
        power_hint: None,
        cohort: 0,
    };
    DiscoveredEndpoint { row, address: SocketAddrV4::new([127, 0, 0, 1].into(), port) }
}

#[test]
fn drained_absent_and_moved_members_are_told() {
    let mut roster = Roster::default();
    let start: Vec<_> = [1, 2, 3, 4].map(|id| target(id, "live", 100 + id as u16)).into();
    assert!(roster.update(true, &start).is_empty());
    assert_eq!(roster.update(false, &[target(1, "quiescing", 101)]), [1]);
    let mut gone = roster.update(true, &[target(2, "live", 102), target(3, "live", 99)]);
    gone.sort_unstable();
    assert_eq!(gone, [3, 4]);
    assert_eq!(roster.address(1), None);
    assert_eq!(roster.address(3).map(|a| a.port()), Some(99));
    // A new endpoint at the address of one that has gone.
    assert!(roster.update(false, &[target(9, "live", 101)]).is_empty());
    assert_eq!(roster.address(9).map(|a| a.port()), Some(101));
}
