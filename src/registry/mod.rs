//! Client of a key-value registry (etcd's v3 API) that provides the endpoint list. It reads all endpoints,
//! then watches for changes from the next revision on, and reads all endpoints again if those revisions were
//! compacted. The engine handles these changes like those from the discovery service.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`view`] | endpoint list at a revision; handles duplicate, outdated and compacted changes | none |
//! | [`session`] | whether the client reads all endpoints or watches next, and the retry delay | none |
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
