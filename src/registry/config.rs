//! Configuration file of the registry client, `serve --registry FILE`. Without this file, the endpoint list
//! comes from the discovery service.

use crate::backoff::Backoff;
use crate::config_file::{parse_address, read_json, ConfigError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Contents of the configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryConfig {
    /// Address of the registry's JSON gateway.
    pub address: String,
    /// Prefix of the endpoints' keys. The value of each key is the JSON of one endpoint.
    pub prefix: String,
    /// Timeout of a range call, and of opening a watch, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: f64,
    /// Idle timeout of a watch, in milliseconds. Must be longer than the registry's interval of progress
    /// notifications.
    #[serde(default = "default_idle_timeout_ms", rename = "stall_ms")]
    pub idle_timeout_ms: f64,
    /// Delays between retries.
    #[serde(default)]
    pub backoff: Backoff,
}

fn default_timeout_ms() -> f64 {
    2_000.0
}
fn default_idle_timeout_ms() -> f64 {
    3_000.0
}

impl RegistryConfig {
    /// Reads and validates the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let config: Self = read_json(path)?;
        parse_address(&config.address).map_err(|error| ConfigError::field(path, "address", error))?;
        if config.prefix.is_empty() || config.prefix.len() > 256 {
            return Err(ConfigError::field(path, "prefix", "must be 1 to 256 bytes long"));
        }
        let is_in_range = |value: f64, min: f64, max: f64| value.is_finite() && value >= min && value <= max;
        if !is_in_range(config.timeout_ms, 10.0, 60_000.0) {
            return Err(ConfigError::field(path, "timeout_ms", "must be 10 to 60,000"));
        }
        if !is_in_range(config.idle_timeout_ms, 100.0, 3_600_000.0) {
            return Err(ConfigError::field(path, "stall_ms", "must be 100 to 3,600,000"));
        }
        if !config.backoff.is_valid() {
            return Err(ConfigError::field(path, "backoff", Backoff::BOUNDS));
        }
        Ok(config)
    }

    /// Address of the registry's JSON gateway.
    pub fn socket_address(&self) -> SocketAddr {
        parse_address(&self.address).expect("validated when the file was read")
    }
}
