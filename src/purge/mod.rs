//! Fleet purges: invalidation of cached copies by object, group, surrogate key or pattern, at every cache
//! server and proxy of an installation. One leader assigns sequence numbers, writes each purge to its log
//! before sending it, and replicates the log; followers and cache servers apply the purges in that order.
//!
//! | module | concern | I/O |
//! | --- | --- | --- |
//! | [`selector`], [`glob`] | which cached copies a purge covers | none |
//! | [`active_purges`], `index` | the active purges, their retention, lookup by copy | none |
//! | [`age_limit`] | the age limit of attempts and the check of replies | none |
//! | [`fanout`] | replication: batches, acknowledgements, retries, low-water mark | none |
//! | [`log_record`] | the records of the log and their encoding | none |
//! | [`log`] | the append-only log, which several processes write under a lock | a file |
//! | [`leader`], [`follower`], [`replica`] | issuing, applying and acknowledging purges | the log |
//! | `journal`, `logged_state` | the log with its sequence numbers; the state that it contains | the log |
//! | [`wire`] | the JSON bodies of the HTTP calls | none |
//! | [`service`] | the calls at the admin address and the sending task | sockets |
//! | [`config`] | the configuration file | a file |
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
pub mod log_record;
mod logged_state;
pub mod metrics;
pub mod replica;
pub mod selector;
pub mod service;
pub mod wire;
