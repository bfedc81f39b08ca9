//! The operator file of the registry client, `serve --registry FILE`. Without it the list of members comes
//! from the bulletin alone.

use crate::backoff::Backoff;
use crate::config_file::{parse_address, read_json, ConfigError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryConfig {
    /// Where the registry's JSON gateway listens.
    pub address: String,
    /// The prefix under which each endpoint is a key, its value the endpoint's JSON line.
    pub prefix: String,
    /// How long a call may take, in milliseconds.
    #[serde(default = "timeout_ms")]
    pub timeout_ms: f64,
    /// Silence on a watch after which it counts as broken, in milliseconds; the registry is asked for progress
    /// notes, which must come more often.
    #[serde(default = "stall_ms")]
    pub stall_ms: f64,
    /// The wait after failures.
    #[serde(default)]
    pub backoff: Backoff,
}

fn timeout_ms() -> f64 {
    2_000.0
}
fn stall_ms() -> f64 {
    3_000.0
}

impl RegistryConfig {
    /// Reads and checks the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let config: Self = read_json(path)?;
        parse_address(&config.address).map_err(|reason| ConfigError::field(path, "address", reason))?;
        if config.prefix.is_empty() || config.prefix.len() > 256 {
            return Err(ConfigError::field(path, "prefix", "1 to 256 bytes"));
        }
        let within = |v: f64, low: f64, high: f64| v.is_finite() && v >= low && v <= high;
        if !within(config.timeout_ms, 10.0, 60_000.0) {
            return Err(ConfigError::field(path, "timeout_ms", "10 to 60,000"));
        }
        if !within(config.stall_ms, 100.0, 3_600_000.0) {
            return Err(ConfigError::field(path, "stall_ms", "100 to 3,600,000"));
        }
        if !config.backoff.is_valid() {
            return Err(ConfigError::field(path, "backoff", Backoff::BOUNDS));
        }
        Ok(config)
    }

    /// The registry's address.
    pub fn at(&self) -> SocketAddr {
        parse_address(&self.address).expect("checked when read")
    }
}
