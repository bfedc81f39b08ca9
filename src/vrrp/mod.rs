//! A virtual router (VRRP version 3, RFC 9568) over unicast UDP: its state opens and closes the listeners of the virtual
//! addresses, and its priority follows tracked objects.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`message`] | the advertisement on the wire | none |
//! | [`machine`] | the state machine | none |
//! | [`track`] | tracked objects and the priority that follows | none |
//! | [`listeners`] | which listeners are open, and backoff | none |
//! | [`config`] | the operator file | a file |
//! | [`host_values`] | values of tracked objects that the proxy itself knows | files |
//! | [`virtual_addresses`] | opens and closes the listeners | TCP listeners |
//! | [`router`] | the router: state machine, authentication, peers, counters | none |
//! | [`driver`] | the task: datagrams and timers | a UDP socket |
//! | `admin` | the admin calls and the metrics | none |
//!
//! Datagrams are authenticated by [`crate::datagram_auth`]. Design note: `docs/design-vrrp.md`. Operator page:
//! `docs/vrrp.md`.

mod admin;
pub mod config;
pub mod driver;
pub mod host_values;
pub mod listeners;
pub mod machine;
pub mod message;
pub mod router;
pub mod track;
pub mod virtual_addresses;
