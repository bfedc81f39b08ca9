//! The endpoints of the engine tests: caches 1 to 6, parents 7 and 8, and the origin 9.

use edge_proxy::endpoint_list::EndpointRecord;
use edge_proxy::endpoint_list::ListedEndpoint;
use edge_proxy::EndpointState;
use std::net::SocketAddrV4;

/// Id of a parent.
#[allow(dead_code)]
pub const PARENT: u32 = 8;

/// The listed endpoint with this id and state. Its port is 5,000 plus its id.
pub fn listed_endpoint(id: u32, state: EndpointState) -> ListedEndpoint {
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
