//! The members that the engine's tests know: caches 1 to 6, parents 7 and 8, the origin 9.

use edge_proxy::settings::EndpointRecord;
use edge_proxy::wire::discovery_event::DiscoveredEndpoint;
use std::net::SocketAddrV4;

/// The parent that both tests use.
#[allow(dead_code)]
pub const PARENT: u32 = 8;

/// An endpoint's line; its port tells its id.
pub fn target(id: u32, lifecycle: &str) -> DiscoveredEndpoint {
    let (zone, model) = match id {
        PARENT | 7 => ("hub", "parent"),
        9 => ("hub", "origin"),
        _ => ("town", "box"),
    };
    let row = EndpointRecord {
        zone: zone.into(),
        model: model.into(),
        lifecycle: lifecycle.into(),
        ready_at_us: 0,
        cache: id,
        power_hint: Some(4.0),
        cohort: 0,
    };
    DiscoveredEndpoint { row, address: SocketAddrV4::new([127, 0, 0, 1].into(), 5_000 + id as u16) }
}
