//! Edge for poor links: HTTP/3 (RFC 9114) over QUIC (RFC 9000), where a lost packet holds up one stream and not the
//! others, and plain HTTP/1.1 where UDP does not get through, both with calls that outlive a connection: a device
//! whose link drops asks again under the same call id, and gets the answer of the one call that was taken.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`response_store`] | calls and answers that outlive their connection, bounded | none |
//! | [`session`] | the tokens by which a device shows that a call is its own | none |
//! | [`path_estimate`] | what a link is like, and how much earlier an answer must be on its way | none |
//! | [`send_scheduler`] | whose body goes next on a connection (RFC 9218) | none |
//! | [`config`] | the operator file | files |
//! | [`front`] | the front: another front's requests, with sessions and ranges | none |
//! | [`call_registry`] | the shelf between the fronts' drivers and the engine | none |
//! | [`server`] | the HTTP/3 driver | sockets |
//!
//! The design note is `docs/design-http3.md`; operators read `docs/http3.md`.

pub mod call_registry;
pub mod config;
pub mod front;
pub mod path_estimate;
pub mod response_store;
pub mod send_scheduler;
pub mod server;
pub mod session;
