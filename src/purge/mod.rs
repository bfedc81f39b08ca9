//! Fleet purges: purges by object, group, surrogate key or pattern for every cache server and proxy of an installation.
//! One leader numbers them, logs them before any target gets them, and replicates the log; every follower and cache
//! server applies them in order.
//!
//! | module | concern | I/O |
//! | --- | --- | --- |
//! | [`selector`], [`glob`] | the copies that a purge removes | none |
//! | [`active_purges`], `index` | the purges in force, retention, lookup by copy | none |
//! | [`age_limit`] | the age limit of attempts and the check of answers | none |
//! | [`fanout`] | replication: batches, acknowledgements, backoff, the low-water mark | none |
//! | [`log`] | the append-only log with checksums | a file |
//! | [`leader`], [`follower`], [`replica`] | issuing, applying and acknowledging purges | the log |
//! | `journal`, `recovery` | the log with its positions, and the state after a restart | the log |
//! | [`wire`] | the JSON bodies of the calls | none |
//! | [`service`] | the calls at the admin address and the sending task | sockets |
//! | [`config`] | the operator file | a file |
//! | [`metrics`] | counters and status | none |
//!
//! The design note is `docs/design-fleet-purges.md`, the operators' page `docs/fleet-purges.md`.

pub mod active_purges;
pub mod age_limit;
pub mod config;
pub mod fanout;
pub mod follower;
pub mod glob;
mod index;
mod journal;
pub mod leader;
pub mod log;
pub mod metrics;
mod recovery;
pub mod replica;
pub mod selector;
pub mod service;
pub mod wire;
