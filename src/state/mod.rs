//! What is kept in memory, each part bounded: requests that owe an answer, attempts, connections to members,
//! places of clients, the roster and the counters.

pub mod attempts;
pub mod client_slots;
pub mod connections;
pub mod counters;
pub mod deadlines;
pub mod maintenance;
pub mod membership;
pub mod requests;
