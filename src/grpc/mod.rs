//! gRPC pass-through over HTTP/2 (RFC 9113): unary and streaming calls with their trailers, behind the same decision module
//! as every other front. The decision module chooses the backend, decides about retries and rejects calls. What gRPC adds
//! is decided here: how a status classifies an attempt, what may be sent twice, and how much time is left.
//!
//! | module | what it does | I/O |
//! | --- | --- | --- |
//! | [`status`] | status codes, and the classification of an attempt's end | none |
//! | [`timeout`] | `grpc-timeout`, parsed and written | none |
//! | [`frames`] | length-prefixed messages in a stream of bytes | none |
//! | [`headers`] | headers and trailers: which are forwarded, and the status in them | none |
//! | [`routes`], [`route_compiler`] | the table of methods, and how it is made from the file | none |
//! | [`call`] | what a call is, what its driver does next, how it ends | none |
//! | [`pool`] | a pool of backends with its decision module | none |
//! | [`call_table`] | the open calls: attempts, deadlines, ends | none |
//! | [`admission`] | fair queues ahead of unary calls | none |
//! | [`config`], [`limits`], [`pool_config`], [`route_config`] | the operator file | a file |
//! | [`metrics`] | metrics in the Prometheus text format | none |
//! | [`front`] | the state that all tasks of the front share | none |
//! | [`admin`] | the front's state at the second address | none |
//! | [`upstream`] | connections to backends | sockets |
//! | [`flow_control`] | sending within the receiver's window | sockets |
//! | [`request_stream`], [`response_stream`] | the two halves of a call at its client | sockets |
//! | [`attempt`], [`attempt_result`] | one attempt of a call, and how it ended | sockets |
//! | [`call_driver`] | one call, from its head to its end | sockets |
//! | [`server`] | clients' connections | sockets |
//!
//! The design note is `docs/design-grpc.md`; operators read `docs/grpc.md`.

pub mod admin;
pub mod admission;
pub mod attempt;
pub mod attempt_result;
pub mod call;
pub mod call_driver;
pub mod call_table;
pub mod config;
pub mod flow_control;
pub mod frames;
pub mod front;
pub mod headers;
pub mod limits;
pub mod metrics;
pub mod pool;
pub mod pool_config;
pub mod request_stream;
pub mod response_stream;
pub mod route_compiler;
pub mod route_config;
pub mod routes;
pub mod server;
pub mod status;
pub mod timeout;
pub mod upstream;
