//! HTTP/3 (RFC 9114) over QUIC (RFC 9000) for clients on unreliable networks: a lost packet blocks only its
//! own stream, and a client can reconnect and resume a call. Clients behind networks that block UDP use
//! HTTP/1.1 over TCP, with the same sessions and resumable calls.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`config`], [`settings`] | the configuration file and its sections | files |
//! | [`transport`] | QUIC and TLS configuration | certificate files |
//! | [`response_store`] | bounded store of running calls and completed responses | none |
//! | [`call_registry`] | submits calls to the engine and delivers responses to the waiting clients | tasks |
//! | [`session`] | signed session tokens | none |
//! | [`path_estimate`] | estimated delivery time to a client | none |
//! | [`send_scheduler`] | prioritization of response bodies (RFC 9218) | none |
//! | [`front`] | adds sessions and range requests to another front | none |
//! | [`server`] | accepts QUIC connections | UDP |
//! | `connection`, `request`, `response_body` | one task per connection and per request | UDP |
//! | [`metrics`] | counters and their exposition | none |
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
