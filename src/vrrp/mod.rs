//! VRRP in service: one virtual router (RFC 9568) over unicast UDP, whose state opens and closes the virtual
//! addresses' listeners, and whose priority follows what is tracked.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`message`] | the advertisement's bytes | none |
//! | [`machine`] | the state machine, with moving priority, fault, delay and hold | none |
//! | [`track`] | what is tracked, and the priority that follows | none |
//! | [`service`] | which listeners are to be open, and when to try again or stand aside | none |
//! | [`config`] | the operator file | a file |
//! | [`driver`] | the router's task, its peers' datagrams, and the listeners | sockets |
//!
//! The design note is `docs/design-vrrp.md`; operators read `docs/vrrp.md`.

pub mod config;
pub mod driver;
pub mod machine;
pub mod message;
pub mod service;
pub mod track;
