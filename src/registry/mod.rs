//! Client of a key-value registry (etcd's v3 API) that provides the endpoint list: a full read, then a watch
//! from the next revision on, and another full read if those revisions were compacted. The engine applies
//! changes in the same way as those of the discovery service.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`view`] | endpoint list at a revision; handles duplicate, outdated and compacted changes | none |
//! | [`session`] | next step of the client, and backoff | none |
//! | [`codec`] | JSON bodies of range and watch calls | none |
//! | [`client`] | range and watch calls over HTTP/1.1 | sockets |
//! | [`service`] | the client's task and the admin endpoint for its status | sockets |
//! | [`config`] | the configuration file | a file |
//! | [`error`] | error types | none |
//!
//! Design note: `docs/design-registry.md`. Operator page: `docs/registry.md`.

pub mod client;
pub mod codec;
pub mod config;
pub mod error;
pub mod service;
pub mod session;
pub mod view;
