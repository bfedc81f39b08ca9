//! Periodic duties divided among instances: each server is probed once in each slot, by one instance, and every
//! instance hears what came of it. A duty whose instance dies is taken up by the next one.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`slots`] | when each duty is due, and in which order instances try for it | none |
//! | [`votes`] | one grant for each duty's slot: what keeps two from doing it | none |
//! | [`plan`] | the instance: its view of the others, its claims, its votes | none |
//! | [`board`] | what probes say of each server: up or down | none |
//! | [`config`] | the operator file | a file |
//! | [`driver`] | datagrams, probes, and what the engine is told | sockets |
//!
//! The design note is `docs/design-duties.md`; operators read `docs/duties.md`.

pub mod board;
pub mod config;
pub mod driver;
pub mod plan;
pub mod slots;
pub mod votes;
