//! The interface of admission control to the executor. [`FairQueue`] makes the decisions; this module stores
//! the queued requests.

use super::config::{AdmissionConfig, ExemptNetworks};
use super::decision::{AdmissionDecision, Arrival, Completion, ExpiredRequest};
use super::fair_queue::FairQueue;
use super::metrics::AdmissionMetrics;
use crate::state::requests::{FinalResponse, IncomingRequest};
use crate::RequestId;
use ahash::AHashMap;

/// Why a request is neither admitted nor queued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NotAdmitted {
    /// The request was shed.
    Shed {
        /// When the client should retry, in milliseconds from now.
        retry_after_ms: f64,
    },
    /// A request with this id is already queued or in flight.
    Duplicate,
}

/// Admits, queues or sheds requests, and stores the queued ones.
pub struct AdmissionControl {
    queue: FairQueue,
    config: AdmissionConfig,
    exempt: ExemptNetworks,
    queued: AHashMap<RequestId, IncomingRequest>,
    metrics: AdmissionMetrics,
}

impl AdmissionControl {
    /// Creates admission control. `metrics_prefix` is prepended to the names of its metrics.
    pub fn new(config: AdmissionConfig, metrics_prefix: &str) -> Self {
        Self {
            queue: FairQueue::new(config.bounds(), config.limit, config.weights()),
            exempt: config.exempt_networks(),
            config,
            queued: AHashMap::new(),
            metrics: AdmissionMetrics::new(metrics_prefix),
        }
    }

    /// Applies the weights and exempt networks of a reloaded configuration; queued requests are kept. Changed
    /// bounds and a changed concurrency limit take effect only after a restart.
    pub fn reconfigure(&mut self, config: AdmissionConfig) {
        self.queue.set_weights(config.weights());
        self.exempt = config.exempt_networks();
        self.config = config;
    }

    /// The number of queued requests as a fraction of the maximum in force.
    pub fn queue_fill(&self) -> f64 {
        self.queue.fill()
    }

    /// Decides on a newly received request. Returns the request if it must be forwarded to the engine now,
    /// or `None` if it was queued. Requests without a client address and those from exempt networks are
    /// always forwarded.
    pub fn submit(
        &mut self,
        now_ms: f64,
        request: IncomingRequest,
    ) -> Result<Option<IncomingRequest>, NotAdmitted> {
        let Some(ip) = request.client.filter(|ip| !self.exempt.contains(*ip)) else {
            return Ok(Some(request));
        };
        let arrival = Arrival {
            id: request.id,
            client: self.config.client_key(ip),
            tenant: self.config.tenant_of(request.group),
            deadline_ms: request.deadline_ms,
            body_bytes: request.body.len(),
        };
        match self.queue.submit(now_ms, arrival) {
            AdmissionDecision::Admit => Ok(Some(request)),
            AdmissionDecision::Queue => {
                self.queued.insert(request.id, request);
                Ok(None)
            }
            AdmissionDecision::Shed { retry_after_ms, .. } => Err(NotAdmitted::Shed { retry_after_ms }),
            AdmissionDecision::Duplicate => Err(NotAdmitted::Duplicate),
        }
    }

    /// Handles the end of an admitted request, with its response if it has one. Returns the queued requests
    /// that must be forwarded to the engine now.
    pub fn complete(
        &mut self,
        now_ms: f64,
        id: RequestId,
        response: Option<&FinalResponse>,
    ) -> Vec<IncomingRequest> {
        let released = self.queue.complete(now_ms, id, completion(response));
        released.into_iter().filter_map(|id| self.queued.remove(&id)).collect()
    }

    /// Removes a request from the queue after its client disconnected. Returns whether it was queued; if so,
    /// it was not forwarded.
    pub fn remove_disconnected(&mut self, id: RequestId) -> bool {
        self.queued.remove(&id);
        self.queue.remove_disconnected(id)
    }

    /// Limits the deadlines of all queued requests to a time in Unix milliseconds.
    pub fn limit_deadlines(&mut self, limit_ms: f64) {
        let queued = self.queued.values_mut();
        queued.for_each(|request| request.deadline_ms = request.deadline_ms.min(limit_ms));
        self.queue.limit_deadlines(limit_ms);
    }

    /// Sheds the queued requests with no more than [`AdmissionConfig::min_service_ms`] left before their
    /// deadline, and returns them.
    pub fn expire(&mut self, now_ms: f64) -> Vec<ExpiredRequest> {
        let expired = self.queue.expire(now_ms);
        expired.iter().for_each(|request| drop(self.queued.remove(&request.id)));
        expired
    }

    /// The earliest time at which [`Self::expire`] has a request to shed, Unix milliseconds.
    pub fn next_expiry_ms(&self) -> Option<f64> {
        self.queue.next_expiry_ms()
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn metrics(&mut self) -> String {
        self.metrics.scrape(&self.queue)
    }
}

fn completion(response: Option<&FinalResponse>) -> Completion {
    match response {
        Some(FinalResponse::Served { .. } | FinalResponse::NotModified { .. }) => Completion::Succeeded,
        Some(FinalResponse::Rejected { .. } | FinalResponse::Failed { overdue: true }) => {
            Completion::Overloaded
        }
        _ => Completion::Other,
    }
}

#[cfg(test)]
mod tests;
