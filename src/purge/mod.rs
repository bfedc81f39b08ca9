//! Fleet purges: purges by object, group, surrogate key or pattern, numbered by one leader, written down before
//! anybody hears of them, fanned out to every box and proxy, and applied in order everywhere.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`selector`] | what a purge names, and what a copy's name is | none |
//! | [`active_purges`] | which purges bind a copy, the age bound of an attempt, folding past a bound | none |
//! | [`fanout`] | who has been told what, batches, backoff, the fleet's `done` mark | none |
//! | [`age_limit`] | what the engine asks before an attempt's first byte and of each answer | none |
//! | [`log`] | the append-only log with checksums that outlives a crash | a file |
//! | [`book`] | a leader's or follower's state: issue, receive, acknowledge, resume | the log's file |
//! | [`wire`] | the JSON calls over HTTP/1.1, and a small client | sockets |
//! | [`driver`] | the task that sends batches and takes answers | sockets |
//! | [`config`] | the operator file | a file |
//!
//! The design note is `docs/design-fleet-purges.md`; operators read `docs/fleet-purges.md`.

pub mod active_purges;
pub mod age_limit;
pub mod book;
pub mod config;
pub mod driver;
pub mod fanout;
pub mod log;
pub mod selector;
pub mod wire;
