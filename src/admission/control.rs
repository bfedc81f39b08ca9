//! What the host holds of the door: the fair queue's decisions, the requests that wait, the operator file, and
//! the door's metrics in the Prometheus text format (`prometheus-client`), read at the second address.

use super::config::{AdmissionConfig, Exempt};
use super::fair::{AdmissionFigures, Arrival, Ending, FairQueue, Refusal, Verdict};
use crate::state::requests::{FinalResponse, IncomingRequest};
use crate::RequestId;
use ahash::AHashMap;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// The door's metrics.
struct Metrics {
    registry: Registry,
    admitted: Counter,
    released: Counter,
    refused: Family<Vec<(String, String)>, Counter>,
    left: Counter,
    tickets: Counter,
    honoured: Counter,
    unbooked: Counter,
    expired: Counter,
    depth: Family<Vec<(String, String)>, Gauge>,
    open: Gauge,
    queued: Gauge,
    limit: Gauge<f64, AtomicU64>,
    bytes: Gauge,
    /// The figures as last told to the metrics, so that each scrape adds what came since.
    told: AdmissionFigures,
}

impl Metrics {
    fn new(prefix: &str) -> Self {
        let mut registry = Registry::with_prefix(prefix);
        let (admitted, released, left) = (Counter::default(), Counter::default(), Counter::default());
        let (tickets, honoured, unbooked, expired) = Default::default();
        let refused = Family::default();
        let depth = Family::default();
        let (open, queued, limit, bytes) = Default::default();
        registry.register("admitted", "Requests admitted at once", Clone::clone(&admitted));
        registry.register("released", "Requests admitted after they waited", Clone::clone(&released));
        registry.register("refused", "Requests refused at the door, by reason", Clone::clone(&refused));
        registry.register("left", "Requests whose client left while they waited", Clone::clone(&left));
        registry.register("tickets", "Come-back times booked with a refusal", Clone::clone(&tickets));
        registry.register(
            "tickets_honoured",
            "Clients that came back with a ticket and went ahead",
            Clone::clone(&honoured),
        );
        registry.register(
            "come_back_unbooked",
            "Refusals after which no time could be booked",
            Clone::clone(&unbooked),
        );
        registry.register("tickets_expired", "Tickets that ran out unused", Clone::clone(&expired));
        registry.register("depth", "Requests waiting, by tenant", Clone::clone(&depth));
        registry.register("open", "Requests admitted and not yet ended", Clone::clone(&open));
        registry.register("queued", "Requests waiting", Clone::clone(&queued));
        registry.register(
            "limit",
            "Requests admitted at once at most, as the limit stands",
            Clone::clone(&limit),
        );
        registry.register("memory_bytes", "Bytes the door holds, bodies excluded", Clone::clone(&bytes));
        #[rustfmt::skip]
        let metrics = Self {
            registry, admitted, released, refused, left, tickets, honoured, unbooked, expired, depth, open, queued,
            limit, bytes, told: AdmissionFigures::default(),
        };
        metrics
    }
}

/// A door in service.
pub struct AdmissionControl {
    queue: FairQueue,
    config: AdmissionConfig,
    exempt: Exempt,
    waiting: AHashMap<RequestId, IncomingRequest>,
    metrics: Metrics,
}

impl AdmissionControl {
    /// A door of an operator file, whose metrics' names begin with `prefix`.
    pub fn new(config: AdmissionConfig, prefix: &str) -> Self {
        let queue = FairQueue::new(config.bounds(), config.limit(), config.weight, config.weights());
        let exempt = config.exempt();
        Self { queue, config, exempt, waiting: AHashMap::new(), metrics: Metrics::new(prefix) }
    }

    /// Takes the file anew: other weights hold from the next round, and nothing that waits is lost. Bounds and
    /// the limit need a new process.
    pub fn reconfigure(&mut self, config: AdmissionConfig) {
        self.queue.reweigh(config.weight, config.weights());
        self.exempt = config.exempt();
        self.config = config;
    }

    /// The fair queue, for figures and tests.
    pub fn queue(&self) -> &FairQueue {
        &self.queue
    }

    /// The share of the queue that is full.
    pub fn fullness(&self) -> f64 {
        self.queue.queued() as f64 / self.config.queue_most.max(1) as f64
    }

    /// A request comes to the door. One that is queued is held here until it is let in or refused.
    pub fn arrive(&mut self, now_ms: f64, ask: IncomingRequest) -> (Verdict, Option<IncomingRequest>) {
        let exempt = ask.client.is_none_or(|ip| self.exempt.covers(ip));
        if exempt {
            return (Verdict::Admit, Some(ask));
        }
        let client = self.config.client_of(ask.client.expect("checked above"));
        let tenant = self.config.tenant_of(ask.group);
        let arrival =
            Arrival { id: ask.id, client, tenant, give_up_ms: ask.deadline_ms, bytes: ask.body.len() };
        match self.queue.arrive(now_ms, arrival) {
            Verdict::Queue => {
                self.waiting.insert(ask.id, ask);
                (Verdict::Queue, None)
            }
            verdict => (verdict, Some(ask)),
        }
    }

    /// An admitted request ended with this answer; returns those that go to the engine now.
    pub fn ended(
        &mut self,
        now_ms: f64,
        id: RequestId,
        answer: Option<&FinalResponse>,
    ) -> Vec<IncomingRequest> {
        let ending = match answer {
            Some(FinalResponse::Served { .. } | FinalResponse::NotModified { .. }) => Ending::Answered,
            Some(FinalResponse::Rejected { .. } | FinalResponse::Failed { overdue: true }) => {
                Ending::Overloaded
            }
            _ => Ending::Other,
        };
        let released = self.queue.ended(now_ms, id, ending);
        released.into_iter().filter_map(|id| self.waiting.remove(&id)).collect()
    }

    /// A client left. Returns whether its request was waiting here, in which case nothing is owed and nothing
    /// was sent.
    pub fn left(&mut self, id: RequestId) -> bool {
        self.waiting.remove(&id);
        self.queue.left(id)
    }

    /// Waiting requests whose time is over by now, each with its come-back time.
    pub fn expired(&mut self, now_ms: f64) -> Vec<(RequestId, f64)> {
        let expired = self.queue.expired(now_ms);
        expired.iter().for_each(|(id, _)| drop(self.waiting.remove(id)));
        expired
    }

    /// When a waiting request's time is over next.
    pub fn next_due(&mut self) -> Option<f64> {
        self.queue.next_due()
    }

    /// The metrics, in the Prometheus text format.
    pub fn figures(&mut self) -> String {
        let (f, m) = (self.queue.figures, &mut self.metrics);
        let t = m.told;
        m.admitted.inc_by(f.admitted - t.admitted);
        m.released.inc_by(f.released - t.released);
        m.left.inc_by(f.left - t.left);
        m.tickets.inc_by(f.tickets - t.tickets);
        m.honoured.inc_by(f.honoured - t.honoured);
        m.unbooked.inc_by(f.unbooked - t.unbooked);
        m.expired.inc_by(f.expired - t.expired);
        let reasons = [Refusal::Client, Refusal::Tenant, Refusal::Full, Refusal::Time, Refusal::Waited];
        for reason in reasons {
            let label = vec![("reason".to_string(), reason.word().to_string())];
            m.refused.get_or_create(&label).inc_by(f.refused[reason as usize] - t.refused[reason as usize]);
        }
        m.told = f;
        m.depth.clear();
        for (tenant, depth) in self.queue.depths() {
            m.depth.get_or_create(&vec![("tenant".to_string(), tenant.to_string())]).set(depth as i64);
        }
        m.open.set(self.queue.open() as i64);
        m.queued.set(self.queue.queued() as i64);
        m.limit.set(self.queue.limit());
        m.bytes.set(self.queue.heap_bytes() as i64);
        let mut text = String::new();
        let _ = encode(&mut text, &m.registry);
        text
    }
}
