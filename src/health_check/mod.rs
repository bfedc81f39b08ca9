//! Health checks shared among proxy instances: one instance checks each endpoint once per period and sends
//! the result to all others. If that instance fails, another one takes over its checks.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`lease`] | due time of each check, and the rank of each instance as a candidate for its lease | none |
//! | [`quorum`] | votes, which ensure that a lease has at most one holder | none |
//! | [`scheduler`] | vote requests and replies, liveness of the other instances, and which checks this instance runs | none |
//! | [`health_status`] | health of each endpoint, derived from the check results | none |
//! | [`message`] | datagram format of the messages between instances | none |
//! | [`config`] | the configuration file | a file |
//! | [`checker`] | a single health check of an endpoint | a TCP connection |
//! | [`driver`] | the task: exchanges datagrams, runs checks, reports to the engine | a UDP socket |
//! | `admin` | the admin endpoint and the metrics | none |
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
