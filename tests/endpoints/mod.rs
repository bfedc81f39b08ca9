//! Endpoints for the tests of the engine: 7 and 8 are parents, 9 is the origin, all other ids are caches.

use edge_proxy::endpoint_list::EndpointRecord;
use edge_proxy::endpoint_list::ListedEndpoint;
use edge_proxy::EndpointState;
use std::net::SocketAddrV4;

/// Id of the parent that tests refer to. Unused in some of the test crates that include this module.
#[allow(dead_code)]
pub const PARENT: u32 = 8;

/// A listed endpoint with this id and state, and port 5,000 plus its id.
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
