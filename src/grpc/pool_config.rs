//! Pools of the operator file of gRPC pass-through, and their backends.

use super::pool::ORIGIN_ID;
use crate::config_file::{parse_address, AddressError};
use crate::engine::executor::Backend;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;

/// The most attempts that a pool may allow for a call.
const MAX_ATTEMPTS: u32 = 16;
/// The greatest retry pushback that a pool may allow, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

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

/// A pool of the file that cannot be used.
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
    /// Checks the pool by itself.
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

    /// The backends that the file lists.
    pub fn listed_backends(&self) -> Vec<Backend> {
        let parsed = self.backends.iter().filter_map(|line| Some((parse_address(&line.address).ok()?, line)));
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
}
