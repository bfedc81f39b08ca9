//! gRPC proxying over HTTP/2 (RFC 9113) for unary and streaming calls. As for the other fronts, the policy
//! module chooses backends, decides about retries and rejects calls under overload. This module adds the
//! rules of gRPC: how a status classifies an attempt, which requests may be sent again, and deadlines.
//!
//! | module | purpose | I/O |
//! | --- | --- | --- |
//! | [`status`] | status codes, and the classification of attempts | none |
//! | [`timeout`] | parsing and formatting of `grpc-timeout` | none |
//! | [`frames`] | framing of messages | none |
//! | [`headers`] | selection of headers and trailers, and parsing and encoding of the status | none |
//! | [`routes`], [`route_compiler`] | the routing table, and its compilation from the configuration | none |
//! | [`call`] | types of a call, its next step and its outcome | none |
//! | [`pool`] | a pool of backends with its policy instance | none |
//! | [`call_table`] | the open calls: attempts, deadlines, outcomes | none |
//! | [`admission`] | admission control of unary calls | none |
//! | [`config`], [`limits`], [`pool_config`], [`route_config`] | the configuration file | file |
//! | [`metrics`] | Prometheus metrics | none |
//! | [`front`] | state shared by all tasks of the front | none |
//! | [`admin`] | the status endpoint of the admin listener | none |
//! | [`upstream`], [`stream_slots`] | connections to backends, and the streams that they allow | sockets |
//! | [`flow_control`] | HTTP/2 flow control | sockets |
//! | [`request_stream`], [`response_stream`] | the request and response streams of a client | sockets |
//! | [`attempt`], [`attempt_result`] | one attempt of a call, and its result | sockets |
//! | [`call_driver`] | one call, from its request headers to its status | sockets |
//! | [`server`] | listener and client connections | sockets |
//!
//! Design: `docs/design-grpc.md`. Configuration and operation: `docs/grpc.md`.

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
pub mod stream_slots;
pub mod timeout;
pub mod upstream;
