//! The configuration of one proxy, as the platform hands it over.

use crate::message_auth::Keys;
use crate::settings::PlatformSettings;
use crate::wire::discovery_codec::InitialState;
use serde::Deserialize;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The text is not what it should be.
    #[error("{}: {error}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What, where.
        error: String,
    },
    /// A key is gone that the file had at the start.
    #[error("{}: key `{key}` is gone", path.display())]
    Lost {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
    },
    /// A field's value can't be used.
    #[error("{}: field `{field}`: {reason}", path.display())]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What is wrong.
        reason: String,
    },
}

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

/// Reads a JSON file into a type.
pub fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let mut text =
        std::fs::read(path).map_err(|error| ConfigError::Unreadable { path: path.to_path_buf(), error })?;
    simd_json::from_slice(&mut text)
        .map_err(|error| ConfigError::Malformed { path: path.to_path_buf(), error: error.to_string() })
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

/// A file that is named beside another one.
pub fn beside(path: &Path, file: &Path) -> PathBuf {
    path.parent().map_or_else(|| file.to_path_buf(), |dir| dir.join(file))
}

/// Reads the keys of a file that is named beside another one.
pub fn keys_beside(path: &Path, file: &Path) -> Result<Keys, String> {
    let file = beside(path, file);
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    Keys::parse(&text).map_err(|reason| format!("{}: {reason}", file.display()))
}

/// An IPv4 address that is one host's own.
pub fn address(text: &str) -> Result<SocketAddr, String> {
    match text.parse::<SocketAddr>() {
        Ok(at) if at.ip() == Ipv4Addr::UNSPECIFIED => Err(format!("{text:?} is not one address")),
        Ok(at) => Ok(at),
        Err(error) => Err(format!("{text:?}: {error}")),
    }
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
        let field = |field, reason| ConfigError::Field { path: path.to_path_buf(), field, reason };
        address(&config.listen).map_err(|reason| field("listen", reason))?;
        address(&config.bulletin).map_err(|reason| field("bulletin", reason))?;
        config.mgmt().map_err(|reason| field("mgmt", reason))?;
        config.seed().map_err(|reason| field("seed", reason))?;
        config.settings.check().map_err(|reason| field("settings", reason))?;
        let events = config.known.events().map_err(|reason| field("known", reason))?;
        for event in events {
            config.settings.check_event(&event).map_err(|reason| field("known", reason))?;
        }
        if config.limits.sockets < MIN_SOCKETS {
            return Err(field("limits.sockets", format!("{} are too few", config.limits.sockets)));
        }
        Ok(config)
    }

    /// Reads and checks the same file as it stands by now. Guards a running proxy against a file that lost a part:
    /// what may be absent at the start would read as its default.
    pub fn again(&self) -> Result<Self, ConfigError> {
        let fresh = Self::read(&self.path)?;
        match lost(&self.keys, &fresh.keys) {
            Some(key) => Err(ConfigError::Lost { path: self.path.clone(), key }),
            None => Ok(fresh),
        }
    }

    /// Where clients connect.
    pub fn listen(&self) -> Result<SocketAddr, String> {
        address(&self.listen)
    }

    /// Where the bulletin listens.
    pub fn bulletin(&self) -> Result<SocketAddr, String> {
        address(&self.bulletin)
    }

    /// Where the platform and its staff connect: as `NODE_MGMT` says, since a new process may be given the file of
    /// the old one with an address of its own, else as the file says.
    pub fn mgmt(&self) -> Result<Option<SocketAddr>, String> {
        let named = std::env::var("NODE_MGMT").ok().filter(|text| !text.is_empty());
        named.or_else(|| self.mgmt.clone()).as_deref().map(address).transpose()
    }

    /// Seed of what is random.
    pub fn seed(&self) -> Result<u64, String> {
        match self.seed.as_str() {
            "" => Ok(0),
            text => u64::from_str_radix(text, 16).map_err(|e| format!("{text:?}: {e}")),
        }
    }
}
