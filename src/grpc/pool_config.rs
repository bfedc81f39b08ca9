//! Configuration of pools and their backends.

use super::pool::ORIGIN_ID;
use crate::config_file::{parse_address, AddressError};
use crate::engine::executor::Backend;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;

/// Largest value of `attempts`.
const MAX_ATTEMPTS: u32 = 16;
/// Largest value of `come_back_most_ms`, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// A statically configured backend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendConfig {
    /// The address, `ADDRESS:PORT`.
    pub address: String,
    /// Whether the backend is draining: it gets no new calls, and its open calls are completed.
    #[serde(default)]
    pub draining: bool,
    /// The weight, relative to the other backends'.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// Backends taken from the endpoint list, which discovery or a registry provides.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DiscoveredBackends {
    /// The `model` of the endpoints that belong to the pool.
    pub model: String,
    /// The port of their gRPC server.
    pub port: u16,
}

/// A pool of backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// The pool's name, unique in the file.
    pub name: String,
    /// The backends, unless they are discovered.
    #[serde(default)]
    pub backends: Vec<BackendConfig>,
    /// Selects the backends from the endpoint list.
    #[serde(rename = "roster", default)]
    pub discovered: Option<DiscoveredBackends>,
    /// Maximum number of attempts per call.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Maximum retry pushback of a rejection, in milliseconds.
    #[serde(rename = "come_back_most_ms", default = "default_max_retry_after_ms")]
    pub max_retry_after_ms: f64,
}

fn default_attempts() -> u32 {
    3
}

fn default_max_retry_after_ms() -> f64 {
    2_000.0
}

/// An invalid pool.
#[derive(Debug, Error)]
#[error("{pool:?}: {fault}")]
pub struct PoolError {
    /// The pool's name.
    pub pool: String,
    /// What is wrong with it.
    #[source]
    pub fault: PoolFault,
}

/// What is wrong with a pool.
#[derive(Debug, Error)]
pub enum PoolFault {
    /// The name is empty or that of another pool.
    #[error("the name must be unique and not empty")]
    Name,
    /// The pool has neither `backends` nor `roster`, or both.
    #[error("exactly one of `backends` and `roster` is required")]
    Backends,
    /// Only some of the backends have a weight.
    #[error("`weight` must be set for all backends or for none")]
    Weights,
    /// A backend's address is invalid.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// Two backends have the same address.
    #[error("backend {0} is listed more than once")]
    DuplicateAddress(SocketAddr),
    /// A backend's weight is not above 0.
    #[error("the weight of {0} must be a finite number above 0")]
    Weight(SocketAddr),
    /// `attempts` is out of its range.
    #[error("`attempts` must be between 1 and 16")]
    Attempts,
    /// `come_back_most_ms` is out of its range.
    #[error("`come_back_most_ms` must be between 0 and 60,000")]
    MaxRetryAfter,
}

impl PoolConfig {
    /// Validates the pool. Does not check whether another pool has the same name.
    pub fn check(&self) -> Result<(), PoolFault> {
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
                return Err(PoolFault::DuplicateAddress(address));
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

    /// The statically configured backends.
    pub fn listed_backends(&self) -> Vec<Backend> {
        let parsed =
            self.backends.iter().filter_map(|config| Some((parse_address(&config.address).ok()?, config)));
        let mut configs: Vec<(SocketAddr, &BackendConfig)> = parsed.collect();
        configs.sort_by_key(|(address, _)| *address);
        let mut used_ids = BTreeSet::new();
        let backend = |(address, config): (SocketAddr, &BackendConfig)| {
            // The id is derived from the address, so it is the same on every proxy and after a reload.
            let mut id = crc32fast::hash(address.to_string().as_bytes());
            while id == ORIGIN_ID || !used_ids.insert(id) {
                id = id.wrapping_add(1);
            }
            Backend { id, address, live: !config.draining, weight: config.weight.unwrap_or(1.0) }
        };
        configs.into_iter().map(backend).collect()
    }
}
