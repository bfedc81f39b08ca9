//! Protocol-independent model of the endpoint list that the platform's discovery service, a registry or the
//! simulator publishes: records, and the sequenced events that change the list.

use crate::{EndpointId, EndpointState, Micros, ObjectId};
use std::net::SocketAddrV4;

/// One record of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine type, from which the settings derive its tier: cache, parent or origin.
    pub kind: String,
    /// Whether it may receive new requests.
    pub state: EndpointState,
    /// When its process started, in Unix microseconds; 0 means long ago.
    pub started_at: Micros,
    /// Its capacity relative to other endpoints, if known.
    pub capacity_hint: Option<f64>,
    /// Number of its cell, the group of caches that deduplicate requests among themselves.
    pub cell: u32,
}

/// An endpoint with its listen address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its record.
    pub record: EndpointRecord,
    /// Its listen address.
    pub address: SocketAddrV4,
}

/// An event of the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// No change; the connection is alive.
    Heartbeat,
    /// The complete endpoint list, or changes to it.
    Endpoints {
        /// Whether the list is complete: endpoints absent from it are then removed.
        full: bool,
        /// The endpoints.
        endpoints: Vec<ListedEndpoint>,
    },
    /// A purge of an object or of a group of objects.
    Purge {
        /// The object; `None` for the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: u32,
        /// When the purge was issued, in Unix milliseconds.
        issued_ms: f64,
    },
}

/// An event with its sequence number.
#[derive(Clone, Debug, PartialEq)]
pub struct Sequenced {
    /// Its sequence number.
    pub number: u64,
    /// The event.
    pub event: WatchEvent,
}
