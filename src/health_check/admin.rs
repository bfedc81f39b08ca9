//! Admin endpoint `GET /duties` and metrics of the shared health checks. The path, the JSON keys and the
//! metric names are a stable interface.

use super::driver::HealthChecker;
use super::health_status::EndpointHealth;
use super::lease::InstanceId;
use super::scheduler::SchedulerMetrics;
use crate::text::format_endpoint_id;
use crate::wire::http::{HttpRequest, HttpResponse};
use serde::Serialize;
use std::collections::BTreeMap;

/// Path of the admin endpoint.
const STATUS_PATH: &str = "/duties";

/// Response body of the admin endpoint.
#[derive(Serialize)]
struct HealthCheckStatus {
    id: InstanceId,
    majority: usize,
    #[serde(rename = "living")]
    live_instances: Vec<InstanceId>,
    #[serde(rename = "figures")]
    metrics: SchedulerMetrics,
    #[serde(rename = "ignored")]
    rejected_datagrams: u64,
    #[serde(rename = "servers")]
    endpoints: BTreeMap<String, EndpointHealth>,
}

impl HealthChecker {
    /// Handles admin requests for `/duties`. Returns `None` for other paths.
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpResponse> {
        if request.target != STATUS_PATH {
            return None;
        }
        if request.method != "GET" {
            return Some(HttpResponse::status(405).with_header("Allow", "GET"));
        }
        let body = simd_json::to_vec(&self.status()).unwrap_or_default();
        let response = HttpResponse { body: body.into(), ..HttpResponse::status(200) };
        Some(response.with_header("Content-Type", "application/json"))
    }

    fn status(&self) -> HealthCheckStatus {
        let (scheduler, health) = (self.scheduler.borrow(), self.health.borrow());
        HealthCheckStatus {
            id: self.config.id,
            majority: scheduler.majority(),
            live_instances: scheduler.live_instances(self.now()).collect(),
            metrics: scheduler.metrics,
            rejected_datagrams: self.rejected_datagrams.get(),
            endpoints: health.iter().map(|(id, health)| (format_endpoint_id(id), *health)).collect(),
        }
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let scheduler = self.scheduler.borrow();
        let metrics = scheduler.metrics;
        let lines = [
            ("instances_living", scheduler.live_instances(self.now()).count() as u64),
            ("servers", self.endpoints.borrow().len() as u64),
            ("servers_down", self.health.borrow().unhealthy_count() as u64),
            ("ran_total", metrics.checks_run),
            ("stood_in_total", metrics.failovers),
            ("claims_total", metrics.vote_requests),
            ("outvoted_total", metrics.outvoted),
            ("unanswered_total", metrics.timed_out),
            ("heard_total", metrics.results_received),
            ("ignored_total", self.rejected_datagrams.get()),
        ];
        lines.iter().map(|(name, value)| format!("duties_{name} {value}\n")).collect()
    }
}
