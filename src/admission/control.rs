//! The interface of admission control to its users. [`FairQueue`] makes the decisions; this module stores the
//! queued requests, and contains panics of the queue: they may lose the decision about one request, never the
//! responses to others.

use super::config::{AdmissionConfig, ExemptNetworks};
use super::decision::{AdmissionDecision, Arrival, Completion, ExpiredRequest};
use super::fair_queue::FairQueue;
use super::metrics::AdmissionMetrics;
use crate::panics::{contain, Panicked};
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
    /// After a panic, requests may be in `queued` that the queue has forgotten; the next expiry sheds them.
    may_have_forgotten: bool,
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
            may_have_forgotten: false,
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
        let Ok(decision) = contain(|| self.queue.submit(now_ms, arrival)) else {
            self.recover(|queue| queue.forget(arrival.id));
            return Err(NotAdmitted::Shed { retry_after_ms: 0.0 });
        };
        match decision {
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
        let completion = completion(response);
        let released = contain(|| self.queue.complete(now_ms, id, completion));
        let released = released.unwrap_or_else(|Panicked| {
            self.recover(|queue| drop(queue.complete(now_ms, id, completion)));
            self.queued.keys().copied().filter(|id| self.queue.is_in_flight(*id)).collect()
        });
        released.into_iter().filter_map(|id| self.queued.remove(&id)).collect()
    }

    /// Removes a request from the queue after its client disconnected. Returns whether it was queued; if so,
    /// it was not forwarded.
    pub fn remove_disconnected(&mut self, id: RequestId) -> bool {
        let was_queued = self.queued.remove(&id).is_some();
        if contain(|| self.queue.remove_disconnected(id)).is_err() {
            self.recover(|queue| {
                queue.remove_disconnected(id);
            });
        }
        was_queued
    }

    /// Limits the deadlines of all queued requests to a time in Unix milliseconds.
    pub fn limit_deadlines(&mut self, limit_ms: f64) {
        let queued = self.queued.values_mut();
        queued.for_each(|request| request.deadline_ms = request.deadline_ms.min(limit_ms));
        if contain(|| self.queue.limit_deadlines(limit_ms)).is_err() {
            self.recover(|queue| queue.limit_deadlines(limit_ms));
        }
    }

    /// Sheds the queued requests with no more than [`AdmissionConfig::min_service_ms`] left before their
    /// deadline, and returns them.
    pub fn expire(&mut self, now_ms: f64) -> Vec<ExpiredRequest> {
        let expired = contain(|| self.queue.expire(now_ms));
        let mut expired = expired.unwrap_or_else(|Panicked| {
            self.recover(|queue| drop(queue.expire(now_ms)));
            Vec::new()
        });
        expired.iter().for_each(|request| drop(self.queued.remove(&request.id)));
        if std::mem::take(&mut self.may_have_forgotten) {
            expired.extend(self.remove_forgotten());
        }
        expired
    }

    /// Removes the stored requests that the queue has forgotten in a panic, and returns them as shed.
    fn remove_forgotten(&mut self) -> Vec<ExpiredRequest> {
        let queue = &self.queue;
        let forgotten = self.queued.extract_if(|id, _| !queue.is_queued(*id) && !queue.is_in_flight(*id));
        forgotten.map(|(id, _)| ExpiredRequest { id, retry_after_ms: 0.0 }).collect()
    }

    /// Repairs the queue after a panic, then runs `operation`, which is the one that panicked or undoes its part.
    /// If that panics too, the queue forgets all queued requests.
    fn recover(&mut self, operation: impl FnOnce(&mut FairQueue)) {
        tracing::error!("admission control panicked: rebuilding its queue");
        self.queue.counters.panics += 1;
        self.may_have_forgotten = true;
        let repaired = contain(|| {
            self.queue.rebuild_indexes();
            operation(&mut self.queue);
        });
        if repaired.is_err() {
            tracing::error!("admission control panicked again: shedding all queued requests");
            self.queue.counters.panics += 1;
            self.queue.forget_queued();
        }
    }

    /// The earliest time at which [`Self::expire`] has a request to shed, Unix milliseconds.
    pub fn next_expiry_ms(&self) -> Option<f64> {
        match self.may_have_forgotten {
            true => Some(0.0),
            false => self.queue.next_expiry_ms(),
        }
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
