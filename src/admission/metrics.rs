//! The metrics of admission control, in the Prometheus text format.

use super::decision::{AdmissionCounters, ShedReason, TenantId};
use super::fair_queue::FairQueue;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// The label names and values of a metric.
type Labels = Vec<(String, String)>;

/// The metrics of admission control and their registry.
pub struct AdmissionMetrics {
    registry: Registry,
    admitted: Counter,
    released: Counter,
    shed: Family<Labels, Counter>,
    abandoned: Counter,
    reserved: Counter,
    reservations_used: Counter,
    unreserved: Counter,
    reservations_expired: Counter,
    panics: Counter,
    depth: Family<Labels, Gauge>,
    in_flight: Gauge,
    queued: Gauge,
    limit: Gauge<f64, AtomicU64>,
    heap_bytes: Gauge,
    /// The counters at the last scrape; the next one adds the difference to the registered metrics.
    last_scrape: AdmissionCounters,
}

impl AdmissionMetrics {
    /// Registers metrics whose names begin with `prefix`.
    pub fn new(prefix: &str) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(prefix),
            admitted: Counter::default(),
            released: Counter::default(),
            shed: Family::default(),
            abandoned: Counter::default(),
            reserved: Counter::default(),
            reservations_used: Counter::default(),
            unreserved: Counter::default(),
            reservations_expired: Counter::default(),
            panics: Counter::default(),
            depth: Family::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            limit: Gauge::default(),
            heap_bytes: Gauge::default(),
            last_scrape: AdmissionCounters::default(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("admitted", "Requests admitted at once", self.admitted.clone());
        registry.register("released", "Requests admitted after they were queued", self.released.clone());
        registry.register("refused", "Requests shed, by reason", self.shed.clone());
        registry.register(
            "left",
            "Requests whose client disconnected while they were queued",
            self.abandoned.clone(),
        );
        registry.register("tickets", "Retry-after times reserved for a client", self.reserved.clone());
        registry.register(
            "tickets_honoured",
            "Reservations used by a retry in time",
            self.reservations_used.clone(),
        );
        registry.register(
            "come_back_unbooked",
            "Requests shed without a reserved retry-after time",
            self.unreserved.clone(),
        );
        registry.register(
            "tickets_expired",
            "Reservations that expired unused",
            self.reservations_expired.clone(),
        );
        registry.register("panics", "Operations that panicked", self.panics.clone());
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        registry.register("depth", "Requests queued, by tenant", self.depth.clone());
        registry.register("open", "Admitted requests in flight", self.in_flight.clone());
        registry.register("queued", "Requests queued", self.queued.clone());
        registry.register("limit", "Current concurrency limit", self.limit.clone());
        registry.register(
            "memory_bytes",
            "Estimated heap bytes, without request bodies",
            self.heap_bytes.clone(),
        );
    }

    /// Updates the metrics from `queue` and encodes them in the Prometheus text format. Counters increase
    /// by their change since the last scrape.
    pub fn scrape(&mut self, queue: &FairQueue) -> String {
        self.add_counters(queue.counters);
        self.depth.clear();
        for (tenant, depth) in queue.queued_by_tenant() {
            self.depth.get_or_create(&tenant_label(tenant)).set(depth as i64);
        }
        self.in_flight.set(queue.in_flight() as i64);
        self.queued.set(queue.queued() as i64);
        self.limit.set(queue.limit());
        self.heap_bytes.set(queue.heap_bytes() as i64);
        let mut text = String::new();
        // Formatting into a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn add_counters(&mut self, current: AdmissionCounters) {
        let previous = std::mem::replace(&mut self.last_scrape, current);
        self.admitted.inc_by(current.admitted - previous.admitted);
        self.released.inc_by(current.released - previous.released);
        self.abandoned.inc_by(current.abandoned - previous.abandoned);
        self.reserved.inc_by(current.reserved - previous.reserved);
        self.reservations_used.inc_by(current.reservations_used - previous.reservations_used);
        self.unreserved.inc_by(current.unreserved - previous.unreserved);
        self.reservations_expired.inc_by(current.reservations_expired - previous.reservations_expired);
        self.panics.inc_by(current.panics - previous.panics);
        for reason in ShedReason::ALL {
            let shed = current.shed_for(reason) - previous.shed_for(reason);
            self.shed.get_or_create(&reason_label(reason)).inc_by(shed);
        }
    }
}

fn reason_label(reason: ShedReason) -> Labels {
    vec![("reason".to_string(), reason.label().to_string())]
}

fn tenant_label(tenant: TenantId) -> Labels {
    vec![("tenant".to_string(), tenant.to_string())]
}
