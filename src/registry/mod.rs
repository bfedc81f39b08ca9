//! The endpoint list from a key-value registry with revisions and watches, as in etcd's v3 API: a full read, then a watch
//! from the revision after it, and a full read again where revisions were compacted away. The engine applies every change
//! as it applies those of the discovery service.
//!
//! | module | concern | I/O |
//! | --- | --- | --- |
//! | [`view`] | endpoints by revision: duplicate, outdated and compacted changes | none |
//! | [`session`] | the next step, and backoff | none |
//! | [`codec`] | the JSON bodies of range and watch | none |
//! | [`client`] | the calls over HTTP/1.1 | sockets |
//! | [`service`] | the task, and its status | sockets |
//! | [`config`] | the operator file | a file |
//! | [`error`] | errors of calls | none |
//!
//! The design note is `docs/design-registry.md`, the operators' page `docs/registry.md`.

pub mod client;
pub mod codec;
pub mod config;
pub mod error;
pub mod service;
pub mod session;
pub mod view;
