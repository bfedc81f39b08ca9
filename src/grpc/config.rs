//! The operator file of gRPC pass-through, `serve --grpc FILE`. Without the file the front is off.

use super::call_table::Bounds;
use super::pool::{PoolSpec, ORIGIN_ID};
use super::route_compiler::compile;
pub use super::route_compiler::RouteError;
use super::routes::{MethodKind, Routes};
use crate::admission::config::AdmissionConfig;
use crate::config_file::{parse_address, read_json, AddressError, ConfigError, FieldError};
use crate::engine::executor::Backend;
use crate::state::connections;
use http::HeaderName;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

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
    /// Calls on a connection to a backend from which on another connection is opened.
    pub spread: usize,
    /// Calls on a connection to a backend.
    pub streams_per_connection: usize,
    /// The longest list of headers, either way.
    pub header_bytes: u32,
    /// The longest message, either way.
    pub message_bytes: u32,
    /// A stream's window, either way: what waits here of one call for a slow reader.
    pub window_bytes: u32,
    /// Bytes of a call's request that are kept for a retry.
    pub replay_bytes: usize,
    /// Bytes of all calls' requests that are kept for a retry.
    pub replay_total_bytes: usize,
    /// How long a client's preface and settings may take.
    pub first_ms: f64,
    /// How long a client's connection may be without a call.
    pub idle_ms: f64,
    /// How long a connection to a backend may take to be established.
    pub connect_ms: f64,
    /// How often a connection to a backend is pinged.
    pub keepalive_ms: f64,
    /// How long the answer to a ping may take.
    pub keepalive_timeout_ms: f64,
    /// How long open calls may go on after SIGTERM and the 0.7 s in which new ones are accepted.
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
    /// Its address, `ADDRESS:PORT`.
    pub address: String,
    /// Whether it is draining: it gets no new calls and completes those that are open.
    #[serde(default)]
    pub draining: bool,
    /// Its weight relative to the other backends'.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// Backends from the list of endpoints, as discovery or a registry provides it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DiscoveredBackends {
    /// The kind (`model`) of the endpoints that serve the pool.
    pub model: String,
    /// The port on which they serve gRPC.
    pub port: u16,
}

/// A pool.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// Its name.
    pub name: String,
    /// Its backends, where the file lists them.
    #[serde(default)]
    pub backends: Vec<BackendConfig>,
    /// The source of its backends, where they are discovered.
    #[serde(rename = "roster", default)]
    pub discovered: Option<DiscoveredBackends>,
    /// The most attempts for a call.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// The greatest retry pushback of a rejection, in milliseconds.
    #[serde(rename = "come_back_most_ms", default = "default_max_retry_after_ms")]
    pub max_retry_after_ms: f64,
}

fn default_attempts() -> u32 {
    3
}

fn default_max_retry_after_ms() -> f64 {
    2_000.0
}

/// Whether a method is idempotent, in the file's spelling.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum IdempotencyConfig {
    /// The method is idempotent.
    Safe,
    /// Calls carry an idempotency key by which backends drop repetitions.
    Keyed,
    /// The method is not idempotent.
    #[default]
    Never,
}

/// A route: which methods it is for, where they go, and how they may be retried.
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
    /// Whether it is idempotent; `never` by default.
    #[serde(rename = "repeat", default)]
    pub idempotency: IdempotencyConfig,
    /// The header with the idempotency key, where it is `keyed`.
    #[serde(default)]
    pub key: Option<String>,
    /// For how long backends drop repetitions, in milliseconds, where it is `keyed`.
    #[serde(default)]
    pub key_window_ms: f64,
    /// The longest that a call may take, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<f64>,
    /// The latency objective, in milliseconds; for streams until the response begins.
    #[serde(rename = "aim_ms", default = "default_latency_objective_ms")]
    pub latency_objective_ms: f64,
    /// Names of the statuses after which an idempotent method is retried.
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

/// The greatest time that a field of `limits` may have, in milliseconds.
const MAX_LIMIT_MS: f64 = 3_600_000.0;
/// The most attempts that a pool may allow for a call.
const MAX_ATTEMPTS: u32 = 16;
/// The greatest retry pushback that a pool may allow, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrpcConfig {
    /// Where clients connect.
    pub listen: String,
    /// Bounds.
    #[serde(default)]
    pub limits: GrpcLimits,
    /// Fair queues ahead of unary calls, in the form of the admission file.
    #[serde(rename = "door", default)]
    pub admission: Option<AdmissionConfig>,
    /// The header whose number (0 to 255) is a call's tenant; without it each route is a tenant.
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

    /// Reads and checks the same file again.
    pub fn again(&self) -> Result<Self, ConfigError> {
        let fresh = Self::read(&self.path)?;
        if fresh.listen != self.listen {
            let reason = format!("{:?}: another address needs a new process", fresh.listen);
            return Err(FieldError::new("listen", reason).in_file(&self.path));
        }
        Ok(fresh)
    }

    fn check(&self) -> Result<(), FieldError> {
        parse_address(&self.listen).map_err(|error| FieldError::new("listen", error))?;
        self.limits.check().map_err(|error| FieldError::new("limits", error))?;
        if let Some(admission) = &self.admission {
            let in_door = |FieldError { field, source }| format!("`{field}`: {source}");
            admission.check().map_err(|error| FieldError::new("door", in_door(error)))?;
        }
        let header = self.tenant_header.as_ref();
        if header.is_some_and(|name| HeaderName::from_bytes(name.as_bytes()).is_err()) {
            return Err(FieldError::new("tenant_header", "no header's name"));
        }
        if self.pools.is_empty() {
            return Err(FieldError::new("pools", "none"));
        }
        for (index, pool) in self.pools.iter().enumerate() {
            let is_repeated = self.pools[..index].iter().any(|other| other.name == pool.name);
            let fault = if is_repeated { Err(PoolFault::Name) } else { pool.check() };
            let error = |fault| PoolError { pool: pool.name.clone(), fault };
            fault.map_err(|fault| FieldError::new("pools", error(fault)))?;
        }
        self.compile().map(drop).map_err(|error| FieldError::new("routes", error))
    }

    /// Where clients connect.
    pub fn at(&self) -> SocketAddr {
        parse_address(&self.listen).expect("checked when read")
    }

    /// The table of methods, and the pools with their decision modules' settings.
    pub fn compile(&self) -> Result<(Routes, Vec<PoolSpec>), RouteError> {
        compile(&self.pools, &self.routes)
    }

    /// The backends of a pool that are listed in the file.
    pub fn backends(&self, pool: &PoolConfig) -> Vec<Backend> {
        let parsed = pool.backends.iter().filter_map(|line| Some((parse_address(&line.address).ok()?, line)));
        let mut lines: Vec<(SocketAddr, &BackendConfig)> = parsed.collect();
        lines.sort_by_key(|(address, _)| *address);
        let mut taken = BTreeSet::new();
        let backend = |(address, line): (SocketAddr, &BackendConfig)| {
            // The id follows from the address alone, so that every proxy has the same and the list may change.
            let mut id = crc32fast::hash(address.to_string().as_bytes());
            while id == ORIGIN_ID || !taken.insert(id) {
                id = id.wrapping_add(1);
            }
            Backend { id, address, live: !line.draining, weight: line.weight.unwrap_or(1.0) }
        };
        lines.into_iter().map(backend).collect()
    }

    /// The bounds of open calls.
    pub fn bounds(&self) -> Bounds {
        Bounds { calls: self.limits.calls, replay_total: self.limits.replay_total_bytes }
    }

    /// The bounds of connections to backends.
    pub fn connections(&self) -> connections::ConnectionLimits {
        let limits = &self.limits;
        connections::ConnectionLimits {
            total: limits.connections,
            per_endpoint: limits.connections_per_backend,
            spread_above: limits.spread.min(limits.streams_per_connection),
            streams: limits.streams_per_connection,
        }
    }
}

/// A bound that is out of its range.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("`{name}` {value} is not within {min} to {max}")]
pub struct LimitError {
    name: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl GrpcLimits {
    fn check(&self) -> Result<(), LimitError> {
        let ranges = [
            ("clients", self.clients as f64, 1.0, 65_536.0),
            ("streams_per_client", f64::from(self.streams_per_client), 1.0, 10_000.0),
            ("calls", self.calls as f64, 1.0, 1e6),
            ("connections", self.connections as f64, 1.0, 65_536.0),
            ("connections_per_backend", self.connections_per_backend as f64, 1.0, 64.0),
            ("spread", self.spread as f64, 1.0, 10_000.0),
            ("streams_per_connection", self.streams_per_connection as f64, 1.0, 10_000.0),
            ("header_bytes", f64::from(self.header_bytes), 1_024.0, 1_048_576.0),
            ("message_bytes", f64::from(self.message_bytes), 1_024.0, 1_073_741_824.0),
            ("window_bytes", f64::from(self.window_bytes), 65_535.0, 16_777_216.0),
            ("replay_bytes", self.replay_bytes as f64, 0.0, 16_777_216.0),
            ("replay_total_bytes", self.replay_total_bytes as f64, 0.0, 1_073_741_824.0),
            ("first_ms", self.first_ms, 100.0, MAX_LIMIT_MS),
            ("idle_ms", self.idle_ms, 1_000.0, MAX_LIMIT_MS),
            ("connect_ms", self.connect_ms, 10.0, MAX_LIMIT_MS),
            ("keepalive_ms", self.keepalive_ms, 100.0, MAX_LIMIT_MS),
            ("keepalive_timeout_ms", self.keepalive_timeout_ms, 50.0, MAX_LIMIT_MS),
            ("stop_ms", self.stop_ms, 0.0, MAX_LIMIT_MS),
        ];
        for (name, value, min, max) in ranges {
            let is_within = value.is_finite() && value >= min && value <= max;
            if !is_within {
                return Err(LimitError { name, value, min, max });
            }
        }
        Ok(())
    }
}

/// A pool of the file that cannot be used.
#[derive(Debug, Error)]
#[error("{pool:?}: {fault}")]
pub struct PoolError {
    pool: String,
    #[source]
    fault: PoolFault,
}

/// What is wrong with a pool.
#[derive(Debug, Error)]
pub enum PoolFault {
    /// Its name is empty or that of another pool.
    #[error("the name is empty or comes twice")]
    Name,
    /// It has neither `backends` nor `roster`, or both.
    #[error("either `backends` or `roster`")]
    Backends,
    /// Some of its backends have a weight and others have none.
    #[error("`weight` of all backends or of none")]
    Weights,
    /// A backend's address cannot be used.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// An address stands twice.
    #[error("{0} comes twice")]
    Repeated(SocketAddr),
    /// A backend's weight is not above 0.
    #[error("the weight of {0} is not above 0")]
    Weight(SocketAddr),
    /// `attempts` is out of its range.
    #[error("`attempts` 1 to 16")]
    Attempts,
    /// `come_back_most_ms` is out of its range.
    #[error("`come_back_most_ms` 0 to 60,000")]
    MaxRetryAfter,
}

impl PoolConfig {
    fn check(&self) -> Result<(), PoolFault> {
        if self.name.is_empty() {
            return Err(PoolFault::Name);
        }
        if self.backends.is_empty() == self.discovered.is_none() {
            return Err(PoolFault::Backends);
        }
        let weighted = self.backends.iter().filter(|backend| backend.weight.is_some()).count();
        if weighted != 0 && weighted != self.backends.len() {
            return Err(PoolFault::Weights);
        }
        let mut addresses = BTreeSet::new();
        for backend in &self.backends {
            let address = parse_address(&backend.address)?;
            if !addresses.insert(address) {
                return Err(PoolFault::Repeated(address));
            }
            if backend.weight.is_some_and(|weight| !(weight.is_finite() && weight > 0.0)) {
                return Err(PoolFault::Weight(address));
            }
        }
        if !(1..=MAX_ATTEMPTS).contains(&self.attempts) {
            return Err(PoolFault::Attempts);
        }
        if !(0.0..=MAX_RETRY_AFTER_MS).contains(&self.max_retry_after_ms) {
            return Err(PoolFault::MaxRetryAfter);
        }
        Ok(())
    }
}
