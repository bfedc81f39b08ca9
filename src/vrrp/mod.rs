//! A virtual router (VRRP version 3, RFC 9568) over unicast UDP. The active router opens the listeners of the
//! virtual addresses; the priority of a router depends on tracked objects.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`message`] | encoding and decoding of advertisements | none |
//! | [`machine`] | the state machine | none |
//! | [`track`] | tracked objects, and the priority and fault state that result from them | none |
//! | [`listeners`] | which listeners to open or close, with backoff | none |
//! | [`config`] | the configuration file | files |
//! | [`host_values`] | values of tracked objects, from the engine, admission control and files | files |
//! | [`virtual_addresses`] | opens and closes the listeners | TCP listeners |
//! | [`router`] | state machine, authentication, peers and counters of a running router | none |
//! | [`driver`] | the task: datagrams and timers | a UDP socket |
//! | `admin` | the admin calls and the metrics | none |
//!
//! Datagrams are authenticated by [`crate::datagram_auth`]. Design note: `docs/design-vrrp.md`. Operator
//! page: `docs/vrrp.md`.

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
