//! The proxy's in-memory state, each part of bounded size: open requests, attempts in flight, connections to
//! endpoints, slots of client connections, the endpoint list, maintenance calls and counters. Does no I/O.

pub mod arrivals;
pub mod attempts;
pub mod client_slots;
pub mod connections;
pub mod counters;
pub mod deadlines;
pub mod ids;
pub mod maintenance;
pub mod membership;
pub mod recent_writes;
pub mod request_memory;
pub mod requests;
