//! The front's figures in the Prometheus text format (`prometheus-client`), read at the second address.

use super::calls::{CallTable, PoolCounters};
use super::status::{Code, CODES};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::collections::HashMap;

type Labels = Vec<(String, String)>;
type Counters = Family<Labels, Counter>;

/// The metrics, and the figures as they were last told to them.
pub struct Metrics {
    registry: Registry,
    calls: Counters,
    codes: Counters,
    attempts: Counters,
    retries: Counters,
    stale: Counters,
    failed_after_data: Counters,
    shortened: Counters,
    live: Family<Labels, Gauge>,
    avoided: Family<Labels, Gauge>,
    open: Gauge,
    kept: Gauge,
    connections: Gauge,
    /// From a call's head to its response's headers, in seconds.
    pub first_head: Histogram,
    told: HashMap<String, PoolCounters>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("grpc");
        let (calls, codes, attempts, retries, stale) =
            <(Counters, Counters, Counters, Counters, Counters)>::default();
        let (failed_after_data, shortened) = <(Counters, Counters)>::default();
        let (live, avoided) = <(Family<Labels, Gauge>, Family<Labels, Gauge>)>::default();
        let (open, kept, connections) = <(Gauge, Gauge, Gauge)>::default();
        let first_head = Histogram::new(exponential_buckets(0.001, 2.0, 14));
        registry.register("calls", "Calls by outcome: served, refused, failed, left", calls.clone());
        registry.register("status", "Calls by the status that their client got", codes.clone());
        registry.register("attempts", "Attempts made at backends", attempts.clone());
        registry.register("retries", "Second and further attempts", retries.clone());
        registry.register("stale_attempts", "Attempts not sent after all", stale.clone());
        registry.register(
            "failed_after_data",
            "Calls failed after their response began",
            failed_after_data.clone(),
        );
        registry.register(
            "deadlines_shortened",
            "Calls with a deadline of the proxy's own",
            shortened.clone(),
        );
        registry.register("backends_live", "Backends that take new calls", live.clone());
        registry.register("backends_avoided", "Live backends that the module leaves", avoided.clone());
        registry.register("open_calls", "Calls under way", open.clone());
        registry.register("replay_bytes", "Bytes kept for further attempts", kept.clone());
        registry.register("connections", "Connections to backends", connections.clone());
        registry.register(
            "response_head_seconds",
            "From a call's head to its response's",
            first_head.clone(),
        );
        #[rustfmt::skip]
        let metrics = Self {
            registry, calls, codes, attempts, retries, stale, failed_after_data, shortened, live, avoided, open, kept,
            connections, first_head, told: HashMap::new(),
        };
        metrics
    }
}

impl Metrics {
    /// The text, with what came since it was last asked for.
    pub fn text(&mut self, now: f64, calls: &CallTable, connections: usize) -> String {
        for (place, (name, f, live)) in calls.counters().enumerate() {
            let t = self.told.entry(name.to_string()).or_default();
            let pool = ("pool".to_string(), name.to_string());
            let label = |key: &str, value: &str| vec![pool.clone(), (key.to_string(), value.to_string())];
            for (k, outcome) in ["served", "refused", "failed", "left"].iter().enumerate() {
                let more = f.outcomes[k] - t.outcomes[k];
                self.calls.get_or_create(&label("outcome", outcome)).inc_by(more);
            }
            for k in (0..CODES).filter(|k| f.codes[*k] > 0) {
                let code = Code::of(k as u64).name();
                self.codes.get_or_create(&label("code", code)).inc_by(f.codes[k] - t.codes[k]);
            }
            let own = vec![pool.clone()];
            for (family, new, old) in [
                (&self.attempts, f.attempts, t.attempts),
                (&self.retries, f.retries, t.retries),
                (&self.stale, f.stale, t.stale),
                (&self.failed_after_data, f.failed_after_data, t.failed_after_data),
                (&self.shortened, f.shortened, t.shortened),
            ] {
                family.get_or_create(&own).inc_by(new - old);
            }
            *t = f.clone();
            self.live.get_or_create(&own).set(live as i64);
            self.avoided.get_or_create(&own).set(calls.avoided(now, place) as i64);
        }
        self.open.set(calls.open() as i64);
        self.kept.set(calls.kept_bytes() as i64);
        self.connections.set(connections as i64);
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
