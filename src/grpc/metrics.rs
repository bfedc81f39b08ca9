//! Prometheus metrics of the gRPC front, served by the admin listener.

use super::call_table::CallTable;
use super::pool::{Pool, PoolCounters};
use super::status::{Code, CODE_COUNT};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::collections::HashMap;

/// The values of the label `outcome`, in the order of [`super::call::CallOutcome`].
const OUTCOME_LABELS: [&str; 4] = ["served", "refused", "failed", "left"];

type Labels = Vec<(String, String)>;
type Counters = Family<Labels, Counter>;

/// The registered metrics.
pub struct Metrics {
    registry: Registry,
    calls: Counters,
    codes: Counters,
    attempts: Counters,
    retries: Counters,
    not_sent: Counters,
    failed_after_data: Counters,
    deadlines_shortened: Counters,
    panics: Counters,
    live_backends: Family<Labels, Gauge>,
    ejected_backends: Family<Labels, Gauge>,
    open_calls: Gauge,
    replay_bytes: Gauge,
    connections: Gauge,
    /// Time from request headers to response headers, in seconds.
    pub response_head_seconds: Histogram,
    /// The counters of each pool at the last update, by pool name.
    last_reported: HashMap<String, PoolCounters>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("grpc");
        let (calls, codes, attempts, retries, not_sent) =
            <(Counters, Counters, Counters, Counters, Counters)>::default();
        let (failed_after_data, deadlines_shortened, panics) = <(Counters, Counters, Counters)>::default();
        let (live_backends, ejected_backends) = <(Family<Labels, Gauge>, Family<Labels, Gauge>)>::default();
        let (open_calls, replay_bytes, connections) = <(Gauge, Gauge, Gauge)>::default();
        let response_head_seconds = Histogram::new(exponential_buckets(0.001, 2.0, 14));
        registry.register("calls", "Finished calls, by outcome", calls.clone());
        registry.register("status", "Finished calls, by status code sent to the client", codes.clone());
        registry.register("attempts", "Attempts sent to backends", attempts.clone());
        registry.register("retries", "Attempts after the first of a call", retries.clone());
        registry.register(
            "stale_attempts",
            "Attempts not sent because their backend started to drain",
            not_sent.clone(),
        );
        registry.register(
            "failed_after_data",
            "Calls that failed after their response began",
            failed_after_data.clone(),
        );
        registry.register(
            "deadlines_shortened",
            "Calls whose client deadline was shortened to the route's",
            deadlines_shortened.clone(),
        );
        registry.register("panics", "Decisions that panicked", panics.clone());
        registry.register("backends_live", "Backends that accept new calls", live_backends.clone());
        registry.register(
            "backends_avoided",
            "Live backends ejected because of failures",
            ejected_backends.clone(),
        );
        registry.register("open_calls", "Calls in progress", open_calls.clone());
        registry.register("replay_bytes", "Request bytes buffered for retries", replay_bytes.clone());
        registry.register("connections", "Open connections to backends", connections.clone());
        registry.register(
            "response_head_seconds",
            "Time from request headers to response headers",
            response_head_seconds.clone(),
        );
        #[rustfmt::skip]
        let metrics = Self {
            registry, calls, codes, attempts, retries, not_sent, failed_after_data, deadlines_shortened,
            panics, live_backends, ejected_backends, open_calls, replay_bytes, connections, response_head_seconds,
            last_reported: HashMap::new(),
        };
        metrics
    }
}

impl Metrics {
    /// Updates the metrics and encodes them in the Prometheus text format.
    pub fn encode(&mut self, now: f64, calls: &CallTable, connections: usize) -> String {
        for pool in calls.pools() {
            self.update_pool(now, pool);
        }
        self.open_calls.set(calls.open_calls() as i64);
        self.replay_bytes.set(calls.replay_bytes() as i64);
        self.connections.set(connections as i64);
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Adds the increase of a pool's counters since the last update, and sets its gauges.
    fn update_pool(&mut self, now: f64, pool: &Pool) {
        let (name, counters) = (pool.name().to_string(), &pool.counters);
        let last = self.last_reported.entry(name.clone()).or_default();
        let pool_label = ("pool".to_string(), name);
        let labels = |key: &str, value: &str| vec![pool_label.clone(), (key.to_string(), value.to_string())];
        for (index, outcome) in OUTCOME_LABELS.iter().enumerate() {
            let increase = counters.outcomes[index] - last.outcomes[index];
            self.calls.get_or_create(&labels("outcome", outcome)).inc_by(increase);
        }
        for index in (0..CODE_COUNT).filter(|index| counters.codes[*index] > 0) {
            let code = Code::from_number(index as u64).name();
            let increase = counters.codes[index] - last.codes[index];
            self.codes.get_or_create(&labels("code", code)).inc_by(increase);
        }
        let labels = vec![pool_label];
        for (family, count, last_count) in [
            (&self.attempts, counters.attempts, last.attempts),
            (&self.retries, counters.retries, last.retries),
            (&self.not_sent, counters.not_sent, last.not_sent),
            (&self.failed_after_data, counters.failed_after_data, last.failed_after_data),
            (&self.deadlines_shortened, counters.deadlines_shortened, last.deadlines_shortened),
            (&self.panics, counters.panics, last.panics),
        ] {
            family.get_or_create(&labels).inc_by(count - last_count);
        }
        *last = counters.clone();
        self.live_backends.get_or_create(&labels).set(pool.active_backends() as i64);
        self.ejected_backends.get_or_create(&labels).set(pool.ejected_backends(now) as i64);
    }
}
