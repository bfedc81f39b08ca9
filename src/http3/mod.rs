//! HTTP/3 (RFC 9114) over QUIC (RFC 9000), for clients on unreliable networks: a lost packet delays one stream and not
//! the others, and calls outlive their connections. HTTP/1.1 over TCP serves clients that UDP does not reach, with the
//! same sessions and calls.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`config`], [`settings`] | the operator file and its sections | files |
//! | [`transport`] | configuration of QUIC and TLS | certificate files |
//! | [`response_store`] | running calls and kept responses | none |
//! | [`call_registry`] | submits calls to the engine and hands responses to waiting clients | tasks |
//! | [`session`] | session tokens | none |
//! | [`path_estimate`] | estimate of a network path | none |
//! | [`send_scheduler`] | order of response bodies (RFC 9218) | none |
//! | [`front`] | requests and responses, with sessions and ranges | none |
//! | [`server`] | accepts connections | UDP |
//! | `connection`, `request`, `response_body` | the tasks of connections and requests | UDP |
//! | [`metrics`] | counters | none |
//!
//! Design note: `docs/design-http3.md`. Operator page: `docs/http3.md`.

pub mod call_registry;
pub mod config;
mod connection;
pub mod front;
pub mod metrics;
pub mod path_estimate;
mod request;
mod response_body;
pub mod response_store;
pub mod send_scheduler;
pub mod server;
pub mod session;
pub mod settings;
pub mod transport;
