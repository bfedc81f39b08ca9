//! The events of the discovery stream: changes of the endpoint list and purges, each with a sequence number.

use crate::settings::EndpointRecord;
use std::net::SocketAddrV4;

/// An endpoint with the address at which it listens.
#[derive(Clone, Debug)]
pub struct DiscoveredEndpoint {
    /// Its line of the list.
    pub row: EndpointRecord,
    /// Where it listens.
    pub address: SocketAddrV4,
}

/// What an event says.
#[derive(Clone, Debug)]
pub enum WatchEvent {
    /// Nothing new; the link works.
    Heartbeat,
    /// The list: all of it, or what changed.
    Endpoints {
        /// Endpoints that are absent have gone.
        full: bool,
        /// The endpoints.
        targets: Vec<DiscoveredEndpoint>,
    },
    /// A purge of an object, or of a group.
    Purge {
        /// The object, or none for the group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// The Unix millisecond of the purge.
        issued: f64,
    },
}

/// A numbered event.
#[derive(Clone, Debug)]
pub struct Sequenced {
    /// Its number.
    pub sequence: u64,
    /// What it says.
    pub event: WatchEvent,
}
