//! Admission control in service: the fair queue's decisions and the queued requests themselves.

use super::config::{AdmissionConfig, Exempt};
use super::decision::{AdmissionDecision, Arrival, Completion, ExpiredRequest};
use super::fair_queue::FairQueue;
use super::metrics::AdmissionMetrics;
use crate::state::requests::{FinalResponse, IncomingRequest};
use crate::RequestId;
use ahash::AHashMap;

/// Why a request is neither admitted nor queued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NotAdmitted {
    /// It was shed.
    Shed {
        /// When the client should retry, in milliseconds from now.
        retry_after_ms: f64,
    },
    /// A request of that id is queued or in flight already.
    Duplicate,
}

/// Admission control.
pub struct AdmissionControl {
    queue: FairQueue,
    config: AdmissionConfig,
    exempt: Exempt,
    queued: AHashMap<RequestId, IncomingRequest>,
    metrics: AdmissionMetrics,
}

impl AdmissionControl {
    /// Admission control of an operator file, whose metrics' names begin with `metrics_prefix`.
    pub fn new(config: AdmissionConfig, metrics_prefix: &str) -> Self {
        Self {
            queue: FairQueue::new(config.bounds(), config.limit, config.weights()),
            exempt: config.exempt(),
            config,
            queued: AHashMap::new(),
            metrics: AdmissionMetrics::new(metrics_prefix),
        }
    }

    /// Puts other weights and exempt networks in force; nothing that is queued is lost. Bounds and the limit stay until
    /// the process is restarted.
    pub fn reconfigure(&mut self, config: AdmissionConfig) {
        self.queue.set_weights(config.weights());
        self.exempt = config.exempt();
        self.config = config;
    }

    /// The share of the queue that is full, 0 to 1.
    pub fn queue_fill(&self) -> f64 {
        self.queue.queued() as f64 / self.config.max_queued.max(1) as f64
    }

    /// A request arrives. `Some` is the request where it goes to the engine now; `None` where it is queued here.
    pub fn arrive(
        &mut self,
        now_ms: f64,
        request: IncomingRequest,
    ) -> Result<Option<IncomingRequest>, NotAdmitted> {
        let Some(ip) = request.client.filter(|ip| !self.exempt.contains(*ip)) else {
            return Ok(Some(request));
        };
        let arrival = Arrival {
            id: request.id,
            client: self.config.client_of(ip),
            tenant: self.config.tenant_of(request.group),
            give_up_ms: request.deadline_ms,
            body_bytes: request.body.len(),
        };
        match self.queue.arrive(now_ms, arrival) {
            AdmissionDecision::Admit => Ok(Some(request)),
            AdmissionDecision::Queue => {
                self.queued.insert(request.id, request);
                Ok(None)
            }
            AdmissionDecision::Shed { retry_after_ms, .. } => Err(NotAdmitted::Shed { retry_after_ms }),
            AdmissionDecision::Duplicate => Err(NotAdmitted::Duplicate),
        }
    }

    /// An admitted request ended with this response, or without one. Returns the requests that go to the engine now.
    pub fn completed(
        &mut self,
        now_ms: f64,
        id: RequestId,
        response: Option<&FinalResponse>,
    ) -> Vec<IncomingRequest> {
        let released = self.queue.completed(now_ms, id, completion(response));
        released.into_iter().filter_map(|id| self.queued.remove(&id)).collect()
    }

    /// A client disconnected. Returns whether its request was queued here, so that nothing was sent.
    pub fn disconnected(&mut self, id: RequestId) -> bool {
        self.queued.remove(&id);
        self.queue.disconnected(id)
    }

    /// Sheds the queued requests whose deadline has come.
    pub fn expire(&mut self, now_ms: f64) -> Vec<ExpiredRequest> {
        let expired = self.queue.expire(now_ms);
        expired.iter().for_each(|request| drop(self.queued.remove(&request.id)));
        expired
    }

    /// When the next queued request's deadline comes, Unix milliseconds.
    pub fn next_deadline(&self) -> Option<f64> {
        self.queue.next_deadline()
    }

    /// The metrics, in the Prometheus text format.
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
