//! The configuration of one proxy, as the platform hands it over. The keys of the file are mapped to the names of this
//! module here.

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

/// The fewest file descriptors with which a proxy can work.
const MIN_DESCRIPTORS: usize = 32;
/// The file descriptors that a proxy may hold where the file does not name a number.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// The environment variable that names the admin address, before the file does: a new process may be given the file of
/// the old one with an address of its own.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_MGMT";
/// The base in which the seed is written.
const SEED_RADIX: u32 = 16;

/// The configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The proxy's name.
    #[serde(default)]
    pub name: String,
    /// The address of the platform's front.
    #[serde(rename = "listen")]
    listen_address: String,
    /// The seed of random numbers: 16 hex digits.
    #[serde(default)]
    seed: String,
    /// The limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The address of the discovery service.
    #[serde(rename = "bulletin")]
    discovery_address: String,
    /// The admin address, if there is one.
    #[serde(rename = "mgmt", default)]
    admin_address: Option<String>,
    /// The endpoint list at the start.
    #[serde(rename = "known", default)]
    pub initial_state: InitialState,
    /// The settings.
    pub settings: PlatformSettings,
    /// The platform holds the listening socket of the platform's front and hands it over, so that a new process may
    /// serve beside this one.
    #[serde(skip)]
    pub handed_over: bool,
    /// The file that it was read from.
    #[serde(skip)]
    path: PathBuf,
    /// The JSON of the file, without the initial state.
    #[serde(skip)]
    document: OwnedValue,
}

/// The limits of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// The file descriptors that it may hold.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { max_descriptors: DEFAULT_DESCRIPTORS }
    }
}

/// A seed that is no hexadecimal number.
#[derive(Debug, Error)]
#[error("{text:?}: {source}")]
pub struct SeedError {
    text: String,
    source: ParseIntError,
}

/// Too few file descriptors for a proxy to work with.
#[derive(Debug, Error)]
#[error("{0} are too few")]
struct TooFewDescriptors(usize);

impl Config {
    /// Reads and checks a configuration.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut document: OwnedValue = read_json(path)?;
        // The initial state is long, and its keys may change between two reads.
        if let Some(initial_state) = document.get_mut("known") {
            *initial_state = OwnedValue::default();
        }
        let mut config: Self = read_json(path)?;
        config.document = document;
        config.path = path.to_path_buf();
        config.check()?;
        Ok(config)
    }

    /// Reads and checks the same file as it stands by now. Guards a running proxy against a file that lost a key: a key
    /// that may be absent at the start would read as its default.
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

    /// The address of the platform's front.
    pub fn listen_address(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.listen_address)
    }

    /// The address of the discovery service.
    pub fn discovery_address(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.discovery_address)
    }

    /// The admin address, if there is one.
    pub fn admin_address(&self) -> Result<Option<SocketAddr>, AddressError> {
        let variable = std::env::var(ADMIN_ADDRESS_VARIABLE).ok().filter(|text| !text.is_empty());
        variable.or_else(|| self.admin_address.clone()).as_deref().map(parse_address).transpose()
    }

    /// The seed of random numbers; 0 where the file has none.
    pub fn seed(&self) -> Result<u64, SeedError> {
        match self.seed.as_str() {
            "" => Ok(0),
            text => u64::from_str_radix(text, SEED_RADIX)
                .map_err(|source| SeedError { text: text.to_string(), source }),
        }
    }
}

/// A key of `old` that `new` lacks. Items of a list may come and go, but each has the keys that all old ones had.
fn missing_key(old: &OwnedValue, new: &OwnedValue) -> Option<String> {
    if let Some(old) = old.as_object() {
        return old.iter().filter(|(_, value)| !value.is_null()).find_map(|(key, value)| {
            match new.get(key.as_str()).filter(|value| !value.is_null()) {
                None => Some(key.clone()),
                Some(present) => missing_key(value, present).map(|below| format!("{key}.{below}")),
            }
        });
    }
    let (old, new) = (old.as_array()?, new.as_array()?);
    let is_in_all = |key: &String| old.iter().all(|item| item.get(key.as_str()).is_some());
    let keys: Vec<&String> = old.first()?.as_object()?.keys().filter(|key| is_in_all(key)).collect();
    new.iter()
        .find_map(|item| keys.iter().find(|key| item.get(key.as_str()).is_none()).map(|key| (*key).clone()))
}
