//! The operator file of gRPC pass-through, `serve --grpc FILE`. Without it there is no such front.

use super::calls::{Backend, Bounds, PoolSpec, ORIGIN_ID};
use super::routes::{Affinity, MethodKind, Route, Routes};
use super::status::Code;
use crate::admission::config::AdmissionConfig;
use crate::config_file::{parse_address, read_json, ConfigError, FieldError};
use crate::interface::{Idempotency, KeyScope, PolicySettings, RequestClass, SlowStart};
use crate::state::connections;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Bounds of the front; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GrpcLimits {
    /// Clients' connections at once.
    pub clients: usize,
    /// Calls at once on one of them.
    pub streams_per_client: u32,
    /// Calls at once.
    pub calls: usize,
    /// Connections to backends at once.
    pub connections: usize,
    /// Connections to one backend.
    pub connections_per_backend: usize,
    /// Calls on a connection to a backend from which on a further one is opened.
    pub spread: usize,
    /// Calls on a connection to a backend.
    pub streams_per_connection: usize,
    /// The longest list of headers, either way.
    pub header_bytes: u32,
    /// The longest message, either way.
    pub message_bytes: u32,
    /// A stream's window, either way: what waits here of one call for a slow reader.
    pub window_bytes: u32,
    /// Bytes of a call's request kept for a further attempt.
    pub replay_bytes: usize,
    /// The same of all calls together.
    pub replay_total_bytes: usize,
    /// Wait for a client's preface and settings.
    pub first_ms: f64,
    /// How long a client's connection may be without a call.
    pub idle_ms: f64,
    /// Wait for a connection to a backend.
    pub connect_ms: f64,
    /// How often a connection to a backend is pinged, and how long it may take to answer.
    pub keepalive_ms: f64,
    /// See `keepalive_ms`.
    pub keepalive_timeout_ms: f64,
    /// How long calls under way may go on after SIGTERM, beside the 0.7 s in which new ones are taken.
    pub stop_ms: f64,
}

impl Default for GrpcLimits {
    fn default() -> Self {
        Self {
            clients: 64,
            streams_per_client: 100,
            calls: 2_048,
            connections: 64,
            connections_per_backend: 2,
            spread: 64,
            streams_per_connection: 100,
            header_bytes: 16_384,
            message_bytes: 4 << 20,
            window_bytes: 256 << 10,
            replay_bytes: 64 << 10,
            replay_total_bytes: 16 << 20,
            first_ms: 5_000.0,
            idle_ms: 300_000.0,
            connect_ms: 400.0,
            keepalive_ms: 10_000.0,
            keepalive_timeout_ms: 3_000.0,
            stop_ms: 2_500.0,
        }
    }
}

/// A backend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendConfig {
    /// Where it listens.
    pub address: String,
    /// It takes nothing new, and finishes what it has.
    #[serde(default)]
    pub draining: bool,
    /// Its size beside the others'.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// Backends from the list of members, as the bulletin or a registry tells it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DiscoveredBackends {
    /// The kind (`model`) of the members that serve the pool.
    pub model: String,
    /// The port on which they take gRPC.
    pub port: u16,
}

/// A pool.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// Its name.
    pub name: String,
    /// Its backends, where they are listed here.
    #[serde(default)]
    pub backends: Vec<BackendConfig>,
    /// Its backends, where the list of members tells them.
    #[serde(rename = "roster", default)]
    pub discovered: Option<DiscoveredBackends>,
    /// The most attempts for a call.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// The longest come-back time told with a refusal, in milliseconds.
    #[serde(rename = "come_back_most_ms", default = "default_max_retry_after_ms")]
    pub max_retry_after_ms: f64,
}

fn default_attempts() -> u32 {
    3
}

fn default_max_retry_after_ms() -> f64 {
    2_000.0
}

/// Whether a method may be repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum IdempotencyConfig {
    /// Repeats do no harm.
    Safe,
    /// It carries a key by which the backends drop repeats.
    Keyed,
    /// It may run once only.
    #[default]
    Never,
}

/// What a method may.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// `/Service/Method`, `/Service/*` or `*`.
    pub method: String,
    /// The name of its pool.
    pub pool: String,
    /// Unary, or a stream (the default).
    #[serde(default)]
    pub kind: MethodKind,
    /// Whether it may be repeated; `never` by default.
    #[serde(rename = "repeat", default)]
    pub idempotency: IdempotencyConfig,
    /// The header with the key, where it is `keyed`.
    #[serde(default)]
    pub key: Option<String>,
    /// For how long backends drop repeats, in milliseconds, where it is `keyed`.
    #[serde(default)]
    pub key_window_ms: f64,
    /// The longest that a call may take, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<f64>,
    /// Answers within this time are good, in milliseconds; for streams until the response begins.
    #[serde(rename = "aim_ms", default = "default_latency_objective_ms")]
    pub latency_objective_ms: f64,
    /// Names of the statuses after which it is tried again, where it may be repeated.
    #[serde(default = "default_retry")]
    pub retry: Vec<String>,
    /// `call`, `method` or `header:NAME`.
    #[serde(default = "default_affinity")]
    pub affinity: String,
}

fn default_latency_objective_ms() -> f64 {
    500.0
}

fn default_retry() -> Vec<String> {
    vec!["UNAVAILABLE".into()]
}

fn default_affinity() -> String {
    "call".into()
}

/// The longest time that the module is told of, in milliseconds, where a call has no end of its own.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrpcConfig {
    /// Where clients connect.
    pub listen: String,
    /// Bounds.
    #[serde(default)]
    pub limits: GrpcLimits,
    /// Fair queues ahead of unary calls, worded as the door's own file.
    #[serde(rename = "door", default)]
    pub admission: Option<AdmissionConfig>,
    /// The header whose number (0 to 255) is a call's tenant at the door; without it each route is a tenant.
    #[serde(default)]
    pub tenant_header: Option<String>,
    /// The pools.
    pub pools: Vec<PoolConfig>,
    /// The methods.
    pub routes: Vec<RouteConfig>,
    /// The file.
    #[serde(skip)]
    pub path: PathBuf,
}

impl GrpcConfig {
    /// Reads and checks the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        let field = |error: FieldError| error.in_file(path);
        config.check().map_err(field)?;
        Ok(config)
    }

    /// Reads and checks the same file as it stands by now.
    pub fn again(&self) -> Result<Self, ConfigError> {
        let fresh = Self::read(&self.path)?;
        if fresh.listen != self.listen {
            let reason = format!("{:?}: another address needs a new process", fresh.listen);
            return Err(FieldError::new("listen", reason).in_file(&self.path));
        }
        Ok(fresh)
    }

    fn check(&self) -> Result<(), FieldError> {
        parse_address(&self.listen).map_err(|reason| FieldError::new("listen", reason))?;
        let l = &self.limits;
        let within = |name, v: f64, low: f64, high: f64| {
            let ok = v.is_finite() && v >= low && v <= high;
            ok.then_some(()).ok_or_else(|| {
                let reason = format!("`{name}` {v} is not within {low} to {high}");
                FieldError::new("limits", reason)
            })
        };
        within("clients", l.clients as f64, 1.0, 65_536.0)?;
        within("streams_per_client", f64::from(l.streams_per_client), 1.0, 10_000.0)?;
        within("calls", l.calls as f64, 1.0, 1e6)?;
        within("connections", l.connections as f64, 1.0, 65_536.0)?;
        within("connections_per_backend", l.connections_per_backend as f64, 1.0, 64.0)?;
        within("spread", l.spread as f64, 1.0, 10_000.0)?;
        within("streams_per_connection", l.streams_per_connection as f64, 1.0, 10_000.0)?;
        within("header_bytes", f64::from(l.header_bytes), 1_024.0, 1_048_576.0)?;
        within("message_bytes", f64::from(l.message_bytes), 1_024.0, 1_073_741_824.0)?;
        within("window_bytes", f64::from(l.window_bytes), 65_535.0, 16_777_216.0)?;
        within("replay_bytes", l.replay_bytes as f64, 0.0, 16_777_216.0)?;
        within("replay_total_bytes", l.replay_total_bytes as f64, 0.0, 1_073_741_824.0)?;
        for (name, ms, low) in [
            ("first_ms", l.first_ms, 100.0),
            ("idle_ms", l.idle_ms, 1_000.0),
            ("connect_ms", l.connect_ms, 10.0),
            ("keepalive_ms", l.keepalive_ms, 100.0),
            ("keepalive_timeout_ms", l.keepalive_timeout_ms, 50.0),
            ("stop_ms", l.stop_ms, 0.0),
        ] {
            within(name, ms, low, 3_600_000.0)?;
        }
        if let Some(admission) = &self.admission {
            admission.check().map_err(|FieldError { field, source }| {
                FieldError::new("door", format!("`{field}`: {source}"))
            })?;
        }
        if self.tenant_header.as_ref().is_some_and(|n| http::HeaderName::from_bytes(n.as_bytes()).is_err()) {
            return Err(FieldError::new("tenant_header", "no header's name"));
        }
        if self.pools.is_empty() {
            return Err(FieldError::new("pools", "none"));
        }
        for (k, pool) in self.pools.iter().enumerate() {
            let bad = |reason: String| FieldError::new("pools", format!("{:?}: {reason}", pool.name));
            if pool.name.is_empty() || self.pools[..k].iter().any(|p| p.name == pool.name) {
                return Err(bad("the name is empty or comes twice".into()));
            }
            if pool.backends.is_empty() == pool.discovered.is_none() {
                return Err(bad("either `backends` or `roster`".into()));
            }
            let weighed = pool.backends.iter().filter(|b| b.weight.is_some()).count();
            if weighed != 0 && weighed != pool.backends.len() {
                return Err(bad("`weight` of all backends or of none".into()));
            }
            let mut seen = BTreeSet::new();
            for b in &pool.backends {
                let at = parse_address(&b.address).map_err(|error| bad(error.to_string()))?;
                if !seen.insert(at) {
                    return Err(bad(format!("{at} comes twice")));
                }
                if b.weight.is_some_and(|w| !(w.is_finite() && w > 0.0)) {
                    return Err(bad(format!("the weight of {at} is not above 0")));
                }
            }
            if !(1..=16).contains(&pool.attempts) {
                return Err(bad("`attempts` 1 to 16".into()));
            }
            if !(pool.max_retry_after_ms >= 0.0 && pool.max_retry_after_ms <= 60_000.0) {
                return Err(bad("`come_back_most_ms` 0 to 60,000".into()));
            }
        }
        self.compile().map(|_| ()).map_err(|reason| FieldError::new("routes", reason))
    }

    /// Where clients connect.
    pub fn at(&self) -> SocketAddr {
        parse_address(&self.listen).expect("checked when read")
    }

    /// The table of methods, and what the module is told of each pool.
    pub fn compile(&self) -> Result<(Routes, Vec<PoolSpec>), String> {
        let mut routes = Routes::default();
        let mut classes: Vec<Vec<RequestClass>> = vec![Vec::new(); self.pools.len()];
        for line in &self.routes {
            let bad = |reason: String| format!("{:?}: {reason}", line.method);
            let pool = self.pools.iter().position(|p| p.name == line.pool);
            let pool = pool.ok_or_else(|| bad(format!("no pool {:?}", line.pool)))?;
            let deadline = line.deadline_ms.unwrap_or(MAX_DEADLINE_MS);
            if !(deadline.is_finite() && (1.0..=MAX_DEADLINE_MS).contains(&deadline)) {
                return Err(bad("`deadline_ms` 1 to a day".into()));
            }
            if line.kind == MethodKind::Unary && line.deadline_ms.is_none() {
                return Err(bad("a unary method needs `deadline_ms`".into()));
            }
            if !(line.latency_objective_ms.is_finite()
                && line.latency_objective_ms >= 1.0
                && line.latency_objective_ms <= deadline)
            {
                return Err(bad("`aim_ms` 1 to the deadline".into()));
            }
            let header = |name: &str| {
                let name = http::HeaderName::from_bytes(name.as_bytes());
                name.map(|n| n.as_str().to_string()).map_err(|_| bad("no header's name".into()))
            };
            let (idempotency, key) = match (line.idempotency, &line.key) {
                (IdempotencyConfig::Safe, None) => (Idempotency::Idempotent, None),
                (IdempotencyConfig::Never, None) => (Idempotency::NotIdempotent, None),
                (IdempotencyConfig::Keyed, Some(name)) if line.key_window_ms > 0.0 => {
                    (Idempotency::WithKey, Some(header(name)?))
                }
                _ => return Err(bad("`key` and `key_window_ms` go with `keyed`, and only there".into())),
            };
            let retry: Option<Vec<Code>> = line.retry.iter().map(|name| Code::named(name)).collect();
            let retry = retry.filter(|codes| !codes.contains(&Code::OK));
            let retry = retry.ok_or_else(|| bad("`retry` names statuses other than OK".into()))?;
            let affinity = match line.affinity.split_once(':') {
                None if line.affinity == "call" => Affinity::Call,
                None if line.affinity == "method" => Affinity::Method,
                Some(("header", name)) => Affinity::Header(header(name)?),
                _ => return Err(bad("`affinity` is `call`, `method` or `header:NAME`".into())),
            };
            let us = |ms: f64| (ms * 1_000.0) as u64;
            let class = classes[pool].len();
            classes[pool].push(RequestClass {
                latency_objective: us(line.latency_objective_ms),
                latency_stretch: 0.0,
                deadline: us(deadline),
                idempotency,
                key_scope: KeyScope::All,
                key_window: us(line.key_window_ms),
                priority_weight: 1.0,
                fresh_lifetime: 0,
                stale_while_revalidate: 0,
                uncacheable: true,
            });
            let (kind, deadline_ms) = (line.kind, line.deadline_ms);
            let route = Route { pool, class, kind, idempotency, key, deadline_ms, retry, affinity };
            routes.add(&line.method, route).map_err(|e| e.to_string())?;
        }
        let specs = self
            .pools
            .iter()
            .zip(classes)
            .map(|(pool, classes)| PoolSpec { name: pool.name.clone(), settings: settings(pool, classes) });
        Ok((routes, specs.collect()))
    }

    /// The backends of a pool that are listed in the file.
    pub fn backends(&self, pool: &PoolConfig) -> Vec<Backend> {
        let mut taken = BTreeSet::new();
        let mut lines: Vec<(SocketAddr, &BackendConfig)> =
            pool.backends.iter().filter_map(|b| Some((parse_address(&b.address).ok()?, b))).collect();
        lines.sort_by_key(|(at, _)| *at);
        let backends = lines.into_iter().map(|(address, b)| {
            // An id by the address alone, so that every proxy agrees on it and a list may change.
            let mut id = crc32fast::hash(address.to_string().as_bytes());
            while id == ORIGIN_ID || !taken.insert(id) {
                id = id.wrapping_add(1);
            }
            Backend { id, address, live: !b.draining, weight: b.weight.unwrap_or(1.0) }
        });
        backends.collect()
    }

    /// The bounds of calls.
    pub fn bounds(&self) -> Bounds {
        Bounds { calls: self.limits.calls, replay_total: self.limits.replay_total_bytes }
    }

    /// The bounds of connections to backends.
    pub fn connections(&self) -> connections::Bounds {
        let l = &self.limits;
        connections::Bounds {
            total: l.connections,
            endpoint: l.connections_per_backend,
            spread: l.spread.min(l.streams_per_connection),
            streams: l.streams_per_connection,
        }
    }
}

/// What the module is told of a pool: its backends take all there is, warm from the start, and nothing is kept.
fn settings(pool: &PoolConfig, classes: Vec<RequestClass>) -> PolicySettings {
    let warm =
        SlowStart { initial_capacity: 1.0, ramp_duration: 0, overload_multiple: 1.0, overload_window: 0 };
    PolicySettings {
        classes,
        fleet_size: 1,
        local_fleet_size: 1,
        client_kb_per_s: 0.0,
        weights_known: pool.backends.iter().any(|b| b.weight.is_some()),
        can_join_fills: false,
        can_bypass_caches: false,
        reports_cache_status: false,
        purge_completion: 0,
        max_attempts: pool.attempts,
        can_cancel: true,
        can_check_health: false,
        max_retry_after: (pool.max_retry_after_ms * 1_000.0) as u64,
        watch_endpoints: false,
        cache_slow_start: warm,
        parent_slow_start: warm,
    }
}
