//! gRPC pass-through over HTTP/2 (RFC 9113): unary and streaming calls, trailers intact, behind the same decision
//! module as every other front. Which backend, whether to try again and what to refuse are the module's; what
//! gRPC adds to that (what a status says of an attempt, what may be sent twice, how long is left) is decided here.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`status`] | status codes, what HTTP and HTTP/2 errors mean as one, what they say to the module | none |
//! | [`timeout`] | `grpc-timeout`, read and written, never longer than it came | none |
//! | [`frames`] | messages in a stream of bytes: where one is cut, how many, how long | none |
//! | [`routes`] | which method goes where, and what it may | none |
//! | [`calls`] | every call from its head to its one end: attempts, deadlines, what is final | none |
//! | [`admission`] | fair queues ahead of unary calls | none |
//! | [`config`] | the operator file | a file |
//! | [`metrics`] | figures in the Prometheus text format | none |
//! | [`upstream`] | connections to backends | sockets |
//! | [`relay`] | one call's bytes, both ways | sockets |
//! | [`server`] | clients' connections | sockets |
//!
//! The design note is `docs/design-grpc.md`; operators read `docs/grpc.md`.

pub mod admission;
pub mod calls;
pub mod config;
pub mod frames;
pub mod metrics;
pub mod relay;
pub mod routes;
pub mod server;
pub mod status;
pub mod timeout;
pub mod upstream;
