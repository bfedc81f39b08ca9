//! Health checks shared among instances: each endpoint is checked once per period by one instance, and all instances
//! apply the result. If an instance fails, the next one runs its checks.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`lease`] | when each check is due, and the order of instances as candidates for its lease | none |
//! | [`quorum`] | the votes that ensure one lease holder | none |
//! | [`scheduler`] | vote requests, votes, live instances, checks to run | none |
//! | [`health_status`] | health of each endpoint by the results | none |
//! | [`message`] | messages between instances | none |
//! | [`config`] | the operator file | a file |
//! | [`checker`] | one health check of an endpoint | a connection |
//! | [`driver`] | the task: datagrams, checks, reports to the engine | a UDP socket |
//! | `admin` | the admin call and the metrics | none |
//!
//! Design note: `docs/design-health-checks.md`. Operator page: `docs/health-checks.md`.

mod admin;
pub mod checker;
pub mod config;
pub mod driver;
pub mod health_status;
pub mod lease;
pub mod message;
pub mod quorum;
pub mod scheduler;
