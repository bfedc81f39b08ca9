//! The front's state at the second address: `GET /grpc`.

use super::front::GrpcFront;
use super::pool::Pool;
use crate::wire::http::{HttpRequest, HttpResponse};
use std::net::SocketAddr;

/// The path of the front's state.
const PATH: &str = "/grpc";

/// The front's state, as JSON.
#[derive(serde::Serialize)]
struct Status {
    open: usize,
    connections: usize,
    pools: Vec<PoolStatus>,
}

/// The state of a pool.
#[derive(serde::Serialize)]
struct PoolStatus {
    name: String,
    live: usize,
    avoided: usize,
    backends: Vec<BackendStatus>,
    served: u64,
    refused: u64,
    failed: u64,
    left: u64,
    attempts: u64,
}

/// The state of a backend.
#[derive(serde::Serialize)]
struct BackendStatus {
    address: SocketAddr,
    live: bool,
}

impl PoolStatus {
    fn of(now: f64, pool: &Pool) -> Self {
        let [served, refused, failed, left] = pool.counters.outcomes;
        let backends = pool.backends();
        let backends = backends.map(|backend| BackendStatus { address: backend.address, live: backend.live });
        Self {
            name: pool.name().to_string(),
            live: pool.active_backends(),
            avoided: pool.avoided_backends(now),
            backends: backends.collect(),
            served,
            refused,
            failed,
            left,
            attempts: pool.counters.attempts,
        }
    }
}

impl GrpcFront {
    /// Answers an admin call about the front; none where the call is about something else.
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpResponse> {
        if request.target != PATH {
            return None;
        }
        if request.method != "GET" {
            return Some(HttpResponse::status(405).with("Allow", "GET"));
        }
        let status = self.with(|calls| Status {
            open: calls.open(),
            connections: self.upstream.len(),
            pools: calls.pools().iter().map(|pool| PoolStatus::of(self.now(), pool)).collect(),
        });
        let body = simd_json::to_vec(&status).unwrap_or_default();
        let answer = HttpResponse { body: body.into(), ..HttpResponse::status(200) };
        Some(answer.with("Content-Type", "application/json"))
    }
}
