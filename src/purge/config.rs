//! The configuration file of fleet purges, `serve --purges FILE`. Without it a proxy applies only the
//! platform's purges, which arrive on the discovery stream.

use super::active_purges::RetentionLimits;
use super::fanout::{FanOutLimits, TargetStatus};
use crate::backoff::Backoff;
use crate::config_file::{parse_address, read_json, resolve_relative_path, ConfigError, FieldError};
use crate::engine::CacheServer;
use crate::EndpointState;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Maximum length of the name of a proxy or target, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum configurable delay between retries, in milliseconds.
const MAX_BACKOFF_MS: f64 = 600_000.0;

/// The role of a proxy in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Assigns sequence numbers, writes the log, and replicates it.
    Leader,
    /// Applies the leader's purges in order.
    Follower,
}

/// A target in the configuration file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    /// The target's name, unique among the targets.
    pub name: String,
    /// The address of its `POST /purges/apply`: a proxy's admin address, or a cache server's purge address.
    pub address: String,
}

/// A target of the leader: a cache server or another proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The target's name, unique among the targets.
    pub name: String,
    /// The address of its `POST /purges/apply`.
    pub address: SocketAddr,
    /// Its state in the endpoint list; always `Listed` for a target of the configuration file.
    pub status: TargetStatus,
}

impl From<CacheServer> for Target {
    fn from(server: CacheServer) -> Self {
        let status = match server.state {
            EndpointState::Active => TargetStatus::Listed,
            EndpointState::Draining | EndpointState::Removed => TargetStatus::Draining,
        };
        Self { name: server.name, address: server.address, status }
    }
}

/// The configuration of fleet purges, as read from its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PurgeConfig {
    /// The role of this proxy.
    pub role: Role,
    /// The name of this proxy in batches and in `GET /purges`.
    pub name: String,
    /// The path of the purge log; without it all state is in memory and lost at a restart.
    #[serde(default, rename = "state")]
    pub log_path: Option<PathBuf>,
    /// The leader's targets in addition to those of the endpoint list.
    #[serde(default)]
    pub targets: Vec<TargetConfig>,
    /// If set, every cache and parent in the endpoint list is a target too, at its own IP address and this
    /// port.
    #[serde(default, rename = "roster_port")]
    pub endpoint_port: Option<u16>,
    /// Minimum time that a purge stays active after its issue, in milliseconds.
    #[serde(default = "default_min_retention_ms", rename = "hold_ms")]
    pub min_retention_ms: f64,
    /// Maximum number of active purges; beyond it the oldest are merged into a cutoff.
    #[serde(default = "default_max_active", rename = "held_most")]
    pub max_active: usize,
    /// Maximum number of purges that the leader retains for its targets; a target that lacks older ones gets
    /// a cutoff.
    #[serde(default = "default_max_retained", rename = "queue_most")]
    pub max_retained: usize,
    /// Maximum number of purges in a batch.
    #[serde(default = "default_max_batch", rename = "batch_most")]
    pub max_batch: usize,
    /// Time between heartbeats to a target that is up to date, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: f64,
    /// Timeout of a call to a target, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: f64,
    /// The delays between retries to a failing target.
    #[serde(default)]
    pub backoff: Backoff,
    /// The size beyond which the log is compacted, in bytes.
    #[serde(default = "default_compact_bytes")]
    pub compact_bytes: u64,
    /// Maximum number of objects whose surrogate keys are cached from replies.
    #[serde(default = "default_max_tagged_objects", rename = "tags_most")]
    pub max_tagged_objects: usize,
    /// The path of this file.
    #[serde(skip)]
    pub path: PathBuf,
}

fn default_min_retention_ms() -> f64 {
    6_000.0
}
fn default_max_active() -> usize {
    100_000
}
fn default_max_retained() -> usize {
    10_000
}
fn default_max_batch() -> usize {
    256
}
fn default_heartbeat_ms() -> f64 {
    500.0
}
fn default_timeout_ms() -> f64 {
    1_000.0
}
fn default_compact_bytes() -> u64 {
    4 << 20
}
fn default_max_tagged_objects() -> usize {
    65_536
}

impl PurgeConfig {
    /// Reads and checks the file. A relative log path is resolved against the file's directory.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        config.log_path = config.log_path.map(|log_path| resolve_relative_path(path, &log_path));
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    /// Checks every field. Errors name fields by their keys in the file.
    pub fn check(&self) -> Result<(), FieldError> {
        if !is_valid_name(&self.name) {
            return Err(FieldError::new(
                "name",
                format!("{:?}: must be 1 to {MAX_NAME_BYTES} ASCII letters, digits or `-._:`", self.name),
            ));
        }
        self.check_targets()?;
        self.check_bounds()
    }

    fn check_targets(&self) -> Result<(), FieldError> {
        let mut names = BTreeSet::new();
        for target in &self.targets {
            let unique = target.name != self.name && names.insert(target.name.as_str());
            if !is_valid_name(&target.name) || !unique {
                return Err(FieldError::new(
                    "targets",
                    format!(
                        "{:?}: a target's name must be 1 to {MAX_NAME_BYTES} ASCII letters, digits or \
                         `-._:`, unique among the targets, and not this proxy's name",
                        target.name
                    ),
                ));
            }
            parse_address(&target.address).map_err(|error| FieldError::new("targets", error))?;
        }
        if self.role == Role::Follower && (!self.targets.is_empty() || self.endpoint_port.is_some()) {
            return Err(FieldError::new(
                "targets",
                "`targets` and `roster_port` must not be set with the role `follower`",
            ));
        }
        Ok(())
    }

    fn check_bounds(&self) -> Result<(), FieldError> {
        let is_within = |value: f64, min: f64, max: f64| value.is_finite() && value >= min && value <= max;
        let is_backoff_valid = self.backoff.is_valid() && self.backoff.max_ms <= MAX_BACKOFF_MS;
        let checks: [(&'static str, bool, &str); 10] = [
            ("hold_ms", is_within(self.min_retention_ms, 500.0, 3_600_000.0), "500 to 3,600,000"),
            ("held_most", (1..=10_000_000).contains(&self.max_active), "1 to 10,000,000"),
            ("queue_most", (1..=10_000_000).contains(&self.max_retained), "1 to 10,000,000"),
            ("batch_most", (1..=1_024).contains(&self.max_batch), "1 to 1,024"),
            ("heartbeat_ms", is_within(self.heartbeat_ms, 10.0, 60_000.0), "10 to 60,000"),
            ("timeout_ms", is_within(self.timeout_ms, 10.0, 60_000.0), "10 to 60,000"),
            ("backoff", is_backoff_valid, Backoff::BOUNDS),
            ("compact_bytes", (4_096..=1 << 30).contains(&self.compact_bytes), "4,096 to 1 GiB"),
            ("tags_most", (1..=10_000_000).contains(&self.max_tagged_objects), "1 to 10,000,000"),
            ("roster_port", self.endpoint_port != Some(0), "1 to 65,535"),
        ];
        match checks.into_iter().find(|(_, ok, _)| !ok) {
            Some((field, _, bounds)) => Err(FieldError::new(field, format!("out of bounds: {bounds}"))),
            None => Ok(()),
        }
    }

    /// The targets listed in the file.
    pub fn configured_targets(&self) -> Vec<Target> {
        let target = |configured: &TargetConfig| {
            let address = parse_address(&configured.address).ok()?;
            Some(Target { name: configured.name.clone(), address, status: TargetStatus::Listed })
        };
        self.targets.iter().filter_map(target).collect()
    }

    /// The limits of the active purges.
    pub fn retention_limits(&self) -> RetentionLimits {
        RetentionLimits { max_active: self.max_active, min_retention_ms: self.min_retention_ms }
    }

    /// The limits of the fan-out.
    pub fn fanout_limits(&self) -> FanOutLimits {
        FanOutLimits {
            max_batch: self.max_batch,
            heartbeat_ms: self.heartbeat_ms,
            timeout_ms: self.timeout_ms,
        }
    }
}

/// Whether a string is a valid name: 1 to [`MAX_NAME_BYTES`] ASCII letters, digits or `-._:`.
fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._:".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
