//! Admin endpoint `GET /grpc`: the state of the gRPC front as JSON.

use super::front::GrpcFront;
use super::pool::Pool;
use crate::wire::http::{HttpRequest, HttpResponse};
use std::net::SocketAddr;

const STATUS_PATH: &str = "/grpc";

/// The body of a response to `GET /grpc`.
#[derive(serde::Serialize)]
struct FrontStatus {
    open: usize,
    connections: usize,
    pools: Vec<PoolStatus>,
}

#[derive(serde::Serialize)]
struct PoolStatus {
    name: String,
    live: usize,
    #[serde(rename = "avoided")]
    ejected: usize,
    backends: Vec<BackendStatus>,
    served: u64,
    #[serde(rename = "refused")]
    rejected: u64,
    failed: u64,
    #[serde(rename = "left")]
    client_disconnected: u64,
    attempts: u64,
}

#[derive(serde::Serialize)]
struct BackendStatus {
    address: SocketAddr,
    live: bool,
}

impl PoolStatus {
    fn new(now: f64, pool: &Pool) -> Self {
        let [served, rejected, failed, client_disconnected] = pool.counters.outcomes;
        let backends = pool.backends();
        let backends = backends.map(|backend| BackendStatus { address: backend.address, live: backend.live });
        Self {
            name: pool.name().to_string(),
            live: pool.active_backends(),
            ejected: pool.ejected_backends(now),
            backends: backends.collect(),
            served,
            rejected,
            failed,
            client_disconnected,
            attempts: pool.counters.attempts,
        }
    }
}

impl GrpcFront {
    /// Handles an admin request for the front's status. Returns `None` for any other target.
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpResponse> {
        if request.target != STATUS_PATH {
            return None;
        }
        if request.method != "GET" {
            return Some(HttpResponse::status(405).with_header("Allow", "GET"));
        }
        let status = self.with_calls(|calls| FrontStatus {
            open: calls.open_calls(),
            connections: self.upstream.len(),
            pools: calls.pools().iter().map(|pool| PoolStatus::new(self.now(), pool)).collect(),
        });
        let body = simd_json::to_vec(&status).unwrap_or_default();
        let response = HttpResponse { body: body.into(), ..HttpResponse::status(200) };
        Some(response.with_header("Content-Type", "application/json"))
    }
}
