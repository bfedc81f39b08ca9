//! The configuration file of one proxy, written by the platform. Maps the file's keys to the names used in
//! the code.

use crate::config_file::{parse_address, read_json, AddressError, BoxError, ConfigError};
use crate::settings::PlatformSettings;
use crate::wire::discovery_json::InitialState;
use serde::Deserialize;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Minimum limit on file descriptors.
const MIN_DESCRIPTORS: usize = 32;
/// Bytes in an MB of the platform's memory limit.
const BYTES_PER_MB: f64 = 1_048_576.0;
/// The share of the memory limit that the requests of clients may use. The program, its other state and the
/// responses need the rest.
const REQUEST_MEMORY_SHARE: f64 = 0.25;
/// The memory for requests of a process without a memory limit, in bytes.
const DEFAULT_REQUEST_MEMORY_BYTES: usize = 64 << 20;
/// Default limit on file descriptors.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Environment variable that overrides the admin address of the file, so that the old and the new process of
/// an upgrade can share a file but not the address.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_MGMT";
const SEED_RADIX: u32 = 16;

/// The contents of the configuration file.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Name of the proxy.
    #[serde(default)]
    pub name: String,
    /// The listen address of the platform's front.
    #[serde(rename = "listen")]
    listen_address: String,
    /// The random seed, in hexadecimal.
    #[serde(default)]
    seed: String,
    /// The limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The address of the discovery service.
    #[serde(rename = "bulletin")]
    discovery_address: String,
    /// The admin address, if any.
    #[serde(rename = "mgmt", default)]
    admin_address: Option<String>,
    /// The endpoint list and the purges at startup.
    #[serde(rename = "known", default)]
    pub initial_state: InitialState,
    /// The platform settings.
    pub settings: PlatformSettings,
    /// Whether the front's listening socket was inherited from the platform. A new process may then serve on
    /// the same socket at the same time.
    #[serde(skip)]
    pub handed_over: bool,
    /// The path of the configuration file.
    #[serde(skip)]
    path: PathBuf,
    /// The JSON document of the file, without the initial state.
    #[serde(skip)]
    document: OwnedValue,
}

/// The limits of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Maximum number of open file descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// The memory above which the platform kills the process, in MB, if it has such a limit; 0 means none.
    #[serde(rename = "memory_mb")]
    pub max_memory_mb: Option<f64>,
}

impl ProcessLimits {
    /// The memory for the requests that clients send, in bytes.
    pub fn request_memory_bytes(&self) -> usize {
        let limit_mb = self.max_memory_mb.filter(|limit_mb| *limit_mb > 0.0);
        let of_limit = |limit_mb| (limit_mb * BYTES_PER_MB * REQUEST_MEMORY_SHARE) as usize;
        limit_mb.map_or(DEFAULT_REQUEST_MEMORY_BYTES, of_limit)
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { max_descriptors: DEFAULT_DESCRIPTORS, max_memory_mb: None }
    }
}

/// The seed is not a hexadecimal number.
#[derive(Debug, Error)]
#[error("{text:?} is not a hexadecimal number of at most 64 bits: {source}")]
pub struct SeedError {
    text: String,
    source: ParseIntError,
}

/// The limit on file descriptors is below the minimum.
#[derive(Debug, Error)]
#[error("{0} file descriptors are fewer than the minimum of {MIN_DESCRIPTORS}")]
struct TooFewDescriptors(usize);

impl Config {
    /// Reads and validates a configuration file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut document: OwnedValue = read_json(path)?;
        // Dropped because it is large and because its keys may change between two reads.
        if let Some(initial_state) = document.get_mut("known") {
            *initial_state = OwnedValue::default();
        }
        let mut config: Self = read_json(path)?;
        config.document = document;
        config.path = path.to_path_buf();
        config.check()?;
        Ok(config)
    }

    /// Reads and validates the same file again. Rejects a file that has lost a key, as an optional key would
    /// silently revert to its default.
    pub fn reload(&self) -> Result<Self, ConfigError> {
        let fresh = Self::read(&self.path)?;
        match missing_key(&self.document, &fresh.document) {
            Some(key) => Err(ConfigError::MissingKey { path: self.path.clone(), key }),
            None => Ok(fresh),
        }
    }

    fn check(&self) -> Result<(), ConfigError> {
        let path = &self.path;
        self.listen_address().map_err(|reason| ConfigError::field(path, "listen", reason))?;
        self.discovery_address().map_err(|reason| ConfigError::field(path, "bulletin", reason))?;
        self.admin_address().map_err(|reason| ConfigError::field(path, "mgmt", reason))?;
        self.seed().map_err(|reason| ConfigError::field(path, "seed", reason))?;
        self.settings.check().map_err(|reason| ConfigError::field(path, "settings", reason))?;
        self.initial_state.events().map_err(|reason| ConfigError::field(path, "known", reason))?;
        let max_descriptors = self.limits.max_descriptors;
        if max_descriptors < MIN_DESCRIPTORS {
            let reason: BoxError = TooFewDescriptors(max_descriptors).into();
            return Err(ConfigError::field(path, "limits.sockets", reason));
        }
        Ok(())
    }

    /// The listen address of the platform's front.
    pub fn listen_address(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.listen_address)
    }

    /// The address of the discovery service.
    pub fn discovery_address(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.discovery_address)
    }

    /// The admin address, if any.
    pub fn admin_address(&self) -> Result<Option<SocketAddr>, AddressError> {
        let variable = std::env::var(ADMIN_ADDRESS_VARIABLE).ok().filter(|text| !text.is_empty());
        variable.or_else(|| self.admin_address.clone()).as_deref().map(parse_address).transpose()
    }

    /// The random seed; 0 if the file has none.
    pub fn seed(&self) -> Result<u64, SeedError> {
        match self.seed.as_str() {
            "" => Ok(0),
            text => u64::from_str_radix(text, SEED_RADIX)
                .map_err(|source| SeedError { text: text.to_string(), source }),
        }
    }
}

/// Returns the path of a key that is in `old` but not in `new`. Items of a list may be added and removed, but
/// each new item must have the keys that all old items share.
fn missing_key(old: &OwnedValue, new: &OwnedValue) -> Option<String> {
    if let Some(old) = old.as_object() {
        return old.iter().filter(|(_, value)| !value.is_null()).find_map(|(key, value)| {
            match new.get(key.as_str()).filter(|value| !value.is_null()) {
                None => Some(key.clone()),
                Some(present) => missing_key(value, present).map(|rest| format!("{key}.{rest}")),
            }
        });
    }
    let (old, new) = (old.as_array()?, new.as_array()?);
    let is_common = |key: &String| old.iter().all(|item| item.get(key.as_str()).is_some());
    let keys: Vec<&String> = old.first()?.as_object()?.keys().filter(|key| is_common(key)).collect();
    new.iter()
        .find_map(|item| keys.iter().find(|key| item.get(key.as_str()).is_none()).map(|key| (*key).clone()))
}
