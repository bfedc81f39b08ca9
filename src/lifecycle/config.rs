//! The configuration of one proxy, as the platform hands it over.

use crate::config_file::{parse_address, read_json, AddressError, ConfigError};
use crate::settings::PlatformSettings;
use crate::wire::discovery_json::InitialState;
use serde::Deserialize;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The fewest descriptors that a proxy can work with.
const MIN_SOCKETS: usize = 32;

/// The configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The proxy's name.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    listen: String,
    /// Seed of what is random: 16 hex digits.
    #[serde(default)]
    seed: String,
    /// What the machine allows.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Where the bulletin listens.
    bulletin: String,
    /// Where the platform and its staff connect, if anywhere.
    #[serde(default)]
    mgmt: Option<String>,
    /// The events of the start.
    #[serde(default)]
    pub known: InitialState,
    /// The settings.
    pub settings: PlatformSettings,
    /// The platform holds the clients' listening socket and hands it over, so that a new process may serve beside
    /// this one.
    #[serde(skip)]
    pub handed_over: bool,
    /// The file that it was read from.
    #[serde(skip)]
    path: PathBuf,
    /// The file's keys, as its values stood.
    #[serde(skip)]
    keys: OwnedValue,
}

/// What the machine allows.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// File descriptors.
    pub sockets: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { sockets: 1_024 }
    }
}

/// A key of `old` that `new` lacks. Items of a list may come and go, but each has the keys that all of them had.
fn lost(old: &OwnedValue, new: &OwnedValue) -> Option<String> {
    if let Some(old) = old.as_object() {
        return old.iter().filter(|(_, value)| !value.is_null()).find_map(|(key, value)| {
            match new.get(key.as_str()).filter(|value| !value.is_null()) {
                None => Some(key.clone()),
                Some(there) => lost(value, there).map(|below| format!("{key}.{below}")),
            }
        });
    }
    let (old, new) = (old.as_array()?, new.as_array()?);
    let all = |key: &String| old.iter().all(|item| item.get(key.as_str()).is_some());
    let keys: Vec<&String> = old.first()?.as_object()?.keys().filter(|key| all(key)).collect();
    new.iter()
        .find_map(|item| keys.iter().find(|key| item.get(key.as_str()).is_none()).map(|key| (*key).clone()))
}

impl Config {
    /// Reads and checks a configuration.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut keys: OwnedValue = read_json(path)?;
        // What is known is long, and is asked for nothing but its own types.
        if let Some(known) = keys.get_mut("known") {
            *known = OwnedValue::default();
        }
        let mut config: Self = read_json(path)?;
        config.keys = keys;
        config.path = path.to_path_buf();
        parse_address(&config.listen).map_err(|reason| ConfigError::field(path, "listen", reason))?;
        parse_address(&config.bulletin).map_err(|reason| ConfigError::field(path, "bulletin", reason))?;
        config.mgmt().map_err(|reason| ConfigError::field(path, "mgmt", reason))?;
        config.seed().map_err(|reason| ConfigError::field(path, "seed", reason))?;
        config.settings.check().map_err(|reason| ConfigError::field(path, "settings", reason))?;
        config.known.events().map_err(|reason| ConfigError::field(path, "known", reason))?;
        if config.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::field(
                path,
                "limits.sockets",
                format!("{} are too few", config.limits.sockets),
            ));
        }
        Ok(config)
    }

    /// Reads and checks the same file as it stands by now. Guards a running proxy against a file that lost a part:
    /// what may be absent at the start would read as its default.
    pub fn again(&self) -> Result<Self, ConfigError> {
        let fresh = Self::read(&self.path)?;
        match lost(&self.keys, &fresh.keys) {
            Some(key) => Err(ConfigError::MissingKey { path: self.path.clone(), key }),
            None => Ok(fresh),
        }
    }

    /// Where clients connect.
    pub fn listen(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.listen)
    }

    /// Where the bulletin listens.
    pub fn bulletin(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.bulletin)
    }

    /// Where the platform and its staff connect: as `NODE_MGMT` says, since a new process may be given the file of
    /// the old one with an address of its own, else as the file says.
    pub fn mgmt(&self) -> Result<Option<SocketAddr>, AddressError> {
        let named = std::env::var("NODE_MGMT").ok().filter(|text| !text.is_empty());
        named.or_else(|| self.mgmt.clone()).as_deref().map(parse_address).transpose()
    }

    /// Seed of what is random.
    pub fn seed(&self) -> Result<u64, String> {
        match self.seed.as_str() {
            "" => Ok(0),
            text => u64::from_str_radix(text, 16).map_err(|e| format!("{text:?}: {e}")),
        }
    }
}
