//! The members that the engine's tests know: caches 1 to 6, parents 7 and 8, the origin 9.

use edge_proxy::endpoint_list::EndpointRecord;
use edge_proxy::endpoint_list::ListedEndpoint;
use edge_proxy::EndpointState;
use std::net::SocketAddrV4;

/// The parent that both tests use.
#[allow(dead_code)]
pub const PARENT: u32 = 8;

/// An endpoint's line; its port tells its id.
pub fn target(id: u32, state: EndpointState) -> ListedEndpoint {
    let (zone, kind) = match id {
        PARENT | 7 => ("hub", "parent"),
        9 => ("hub", "origin"),
        _ => ("town", "box"),
    };
    let record = EndpointRecord {
        zone: zone.into(),
        kind: kind.into(),
        state,
        started_at: 0,
        id,
        capacity_hint: Some(4.0),
        cell: 0,
    };
    ListedEndpoint { record, address: SocketAddrV4::new([127, 0, 0, 1].into(), 5_000 + id as u16) }
}
