//! Admission control: decides whether a request received by a protocol server is forwarded to the engine now,
//! queued or shed. Requests beyond the concurrency limit are queued fairly between tenants and, within a
//! tenant, between clients, in bounded memory. A request that cannot be served in time is shed with a
//! retry-after time at which capacity is reserved for its client.
//!
//! | module | purpose | I/O |
//! | --- | --- | --- |
//! | [`fair_queue`] | the decision: admit, queue or shed | none |
//! | [`decision`] | inputs and results of decisions | none |
//! | [`round_robin`] | the order in which queued requests are released | none |
//! | [`in_flight`] | the admitted requests, counted by client | none |
//! | [`concurrency_limit`] | the maximum number of requests in flight | none |
//! | [`reservations`] | capacity reserved for retries of shed requests | none |
//! | [`bounds`] | the bounds, and the maximum memory that follows from them | none |
//! | [`control`] | the interface of the executor; stores the queued requests | none |
//! | [`metrics`] | metrics in the Prometheus text format | none |
//! | [`config`] | the configuration file | reads a file |
//!
//! Design note: `docs/design-fair-queues.md`. Operator page: `docs/fair-queues.md`.

pub mod bounds;
pub mod concurrency_limit;
pub mod config;
pub mod control;
pub mod decision;
pub mod fair_queue;
pub mod in_flight;
pub mod metrics;
pub mod reservations;
pub mod round_robin;
