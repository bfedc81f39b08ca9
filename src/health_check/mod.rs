//! Periodic duties divided among instances: each server is probed once in each slot, by one instance, and every
//! instance hears what came of it. A duty whose instance dies is taken up by the next one.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`lease`] | when each duty is due, and in which order instances try for it | none |
//! | [`quorum`] | one grant for each duty's slot: what keeps two from doing it | none |
//! | [`scheduler`] | the instance: its view of the others, its claims, its votes | none |
//! | [`health_status`] | what probes say of each server: up or down | none |
//! | [`config`] | the operator file | a file |
//! | [`driver`] | datagrams, probes, and what the engine is told | sockets |
//!
//! The design note is `docs/design-health-checks.md`; operators read `docs/health-checks.md`.

pub mod config;
pub mod driver;
pub mod health_status;
pub mod lease;
pub mod quorum;
pub mod scheduler;
