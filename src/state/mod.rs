//! What the proxy holds in memory, each part bounded: requests that are owed a response, attempts in flight,
//! connections to endpoints, slots of clients, the list of endpoints, maintenance and the counters. No I/O.

pub mod attempts;
pub mod client_slots;
pub mod connections;
pub mod counters;
pub mod deadlines;
pub mod ids;
pub mod maintenance;
pub mod membership;
pub mod requests;
