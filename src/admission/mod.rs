//! Fair queues at the door: between the fronts and the engine, requests are shared fairly between tenants and,
//! within a tenant, between clients, in bounded memory, and a refusal says when to come back and keeps it.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`fair`] | admit, queue or refuse; deficit round robin; the limit; tickets for coming back | none |
//! | [`gate`] | what the host holds: waiting requests, and the metrics | none |
//! | [`config`] | the operator file | a file |
//!
//! The design note is `docs/design-fair-queues.md`; operators read `docs/fair-queues.md`.

pub mod config;
pub mod control;
pub mod fair;
