//! The list of endpoints as the platform's discovery service, a registry or the simulator publishes it, in a
//! form that no protocol shapes: records, and the sequenced events that change the list.

use crate::{EndpointId, EndpointState, Micros, ObjectId};
use std::net::SocketAddrV4;

/// One record of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Name of the zone in which it runs.
    pub zone: String,
    /// Name of its kind of machine, by which the settings tell caches, parents and the origin apart.
    pub kind: String,
    /// Whether it may get new work.
    pub state: EndpointState,
    /// When its process started, in Unix microseconds; 0 for long ago.
    pub started_at: Micros,
    /// Its capacity relative to other endpoints, where it is known.
    pub capacity_hint: Option<f64>,
    /// Number of its cell, within which caches drop repeated requests.
    pub cell: u32,
}

/// An endpoint with the address at which it listens.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its record.
    pub record: EndpointRecord,
    /// Where it listens.
    pub address: SocketAddrV4,
}

/// An event of the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// No change: the connection works.
    Heartbeat,
    /// The list of endpoints, or changes of it.
    Endpoints {
        /// The list is complete: endpoints absent from it are removed.
        full: bool,
        /// The endpoints.
        endpoints: Vec<ListedEndpoint>,
    },
    /// A purge of an object or of a group of objects.
    Purge {
        /// The object; none for the whole group.
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
