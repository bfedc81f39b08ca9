//! Admission control between the fronts and the engine: requests are queued fairly between tenants and, within a
//! tenant, between clients, in bounded memory, and a shed request has a retry-after time that is kept.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`fair_queue`] | decides: admit, queue or shed | none |
//! | [`round_robin`] | the order in which queued requests are released | none |
//! | [`concurrency_limit`] | how many requests may be in flight | none |
//! | [`reservations`] | retry-after times that are reserved for clients | none |
//! | [`bounds`] | the bounds, and the memory that they allow | none |
//! | [`control`] | the decisions with the queued requests, as the executor uses them | none |
//! | [`metrics`] | metrics in the Prometheus text format | none |
//! | [`config`] | the operator file | a file |
//!
//! The design note is `docs/design-fair-queues.md`; operators read `docs/fair-queues.md`.

pub mod bounds;
pub mod concurrency_limit;
pub mod config;
pub mod control;
pub mod decision;
pub mod fair_queue;
pub mod metrics;
pub mod reservations;
pub mod round_robin;
