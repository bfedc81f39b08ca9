//! The operator file of fleet purges, `serve --purges FILE`. Without it a proxy takes the platform's purges from
//! the bulletin alone and none of this runs.

use super::active_purges::LedgerBounds;
use super::fanout::{Backoff, FanOutBounds};
use crate::config_file::{parse_address, read_json, ConfigError, FieldError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What a proxy is in its fleet's purges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Numbers the purges, keeps the log, and fans it out.
    Leader,
    /// Takes purges from the leader, in order.
    Follower,
}

/// A target that the operator names.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    /// Its name, unique among the targets.
    pub name: String,
    /// Where it takes `POST /purges/apply`: a proxy's second address, or a box's purge address.
    pub address: String,
}

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PurgeConfig {
    /// This proxy's role.
    pub role: Role,
    /// This proxy's name, as the leader's batches and the logs give it.
    pub name: String,
    /// The log file, which outlives the process; absent: memory only, and a restart knows nothing.
    #[serde(default)]
    pub state: Option<PathBuf>,
    /// The targets that the leader tells (boxes and other proxies).
    #[serde(default)]
    pub targets: Vec<TargetConfig>,
    /// Where set, every cache and parent of the roster is a target too, at its own address with this port.
    #[serde(default)]
    pub roster_port: Option<u16>,
    /// How long a purge is held after its issue at least, in milliseconds.
    #[serde(default = "hold_ms")]
    pub hold_ms: f64,
    /// Purges that bind at most; past it the oldest fold into a floor.
    #[serde(default = "held_most")]
    pub held_most: usize,
    /// Purges that the leader's log holds at most; a target that lacks older ones gets a floor.
    #[serde(default = "queue_most")]
    pub queue_most: usize,
    /// Purges in one batch at most.
    #[serde(default = "batch_most")]
    pub batch_most: usize,
    /// Time between empty batches to a target that has all, in milliseconds.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: f64,
    /// How long a target's answer is waited for, in milliseconds.
    #[serde(default = "timeout_ms")]
    pub timeout_ms: f64,
    /// The wait after a target's failures.
    #[serde(default)]
    pub backoff: Backoff,
    /// The size at which the log is written anew, in bytes.
    #[serde(default = "compact_bytes")]
    pub compact_bytes: u64,
    /// Objects whose tags the proxy remembers from answers, at most.
    #[serde(default = "tags_most")]
    pub tags_most: usize,
    /// The file that it was read from.
    #[serde(skip)]
    pub path: PathBuf,
}

fn hold_ms() -> f64 {
    6_000.0
}
fn held_most() -> usize {
    100_000
}
fn queue_most() -> usize {
    10_000
}
fn batch_most() -> usize {
    256
}
fn heartbeat_ms() -> f64 {
    500.0
}
fn timeout_ms() -> f64 {
    1_000.0
}
fn compact_bytes() -> u64 {
    4 << 20
}
fn tags_most() -> usize {
    65_536
}

impl PurgeConfig {
    /// Reads and checks the file. A state path that is not absolute is taken beside the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        if let Some(state) = &config.state {
            config.state = Some(path.parent().unwrap_or(Path::new("")).join(state));
        }
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    /// What is wrong, by field.
    pub fn check(&self) -> Result<(), FieldError> {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._:".contains(&b);
        let name_ok = |name: &str| !name.is_empty() && name.len() <= 64 && name.bytes().all(plain);
        if !name_ok(&self.name) {
            return Err(FieldError::new("name", "1 to 64 letters, digits or -._:"));
        }
        let mut names = std::collections::BTreeSet::new();
        for target in &self.targets {
            if !name_ok(&target.name) || !names.insert(target.name.as_str()) || target.name == self.name {
                return Err(FieldError::new(
                    "targets",
                    format!("{:?}: names are plain, unique and not this proxy's", target.name),
                ));
            }
            parse_address(&target.address).map_err(|reason| FieldError::new("targets", reason))?;
        }
        if self.role == Role::Follower && (!self.targets.is_empty() || self.roster_port.is_some()) {
            return Err(FieldError::new("targets", "only the leader tells targets"));
        }
        let within = |v: f64, low: f64, high: f64| v.is_finite() && v >= low && v <= high;
        let checks: [(&'static str, bool, &str); 10] = [
            ("hold_ms", within(self.hold_ms, 500.0, 3_600_000.0), "500 to 3,600,000"),
            ("held_most", (1..=10_000_000).contains(&self.held_most), "1 to 10,000,000"),
            ("queue_most", (1..=10_000_000).contains(&self.queue_most), "1 to 10,000,000"),
            ("batch_most", (1..=1_024).contains(&self.batch_most), "1 to 1,024"),
            ("heartbeat_ms", within(self.heartbeat_ms, 10.0, 60_000.0), "10 to 60,000"),
            ("timeout_ms", within(self.timeout_ms, 10.0, 60_000.0), "10 to 60,000"),
            ("backoff", self.backoff_ok(), "first_ms 1 to most_ms, factor 1 to 10, jitter 0 to 1"),
            ("compact_bytes", (4_096..=1 << 30).contains(&self.compact_bytes), "4,096 to 1 GiB"),
            ("tags_most", (1..=10_000_000).contains(&self.tags_most), "1 to 10,000,000"),
            ("roster_port", self.roster_port != Some(0), "a port from 1"),
        ];
        match checks.into_iter().find(|(_, ok, _)| !ok) {
            Some((field, _, bound)) => Err(FieldError::new(field, format!("out of bounds: {bound}"))),
            None => Ok(()),
        }
    }

    fn backoff_ok(&self) -> bool {
        let b = self.backoff;
        b.first_ms >= 1.0
            && b.most_ms >= b.first_ms
            && b.most_ms <= 600_000.0
            && (1.0..=10.0).contains(&b.factor)
            && (0.0..=1.0).contains(&b.jitter)
    }

    /// The operator's targets with their addresses.
    pub fn fixed_targets(&self) -> Vec<(String, SocketAddr)> {
        let at = |t: &TargetConfig| parse_address(&t.address).ok().map(|a| (t.name.clone(), a));
        self.targets.iter().filter_map(at).collect()
    }

    /// The bounds of the ledger.
    pub fn ledger_bounds(&self) -> LedgerBounds {
        LedgerBounds { most: self.held_most, hold_ms: self.hold_ms }
    }

    /// The bounds of the fan-out.
    pub fn fanout_bounds(&self) -> FanOutBounds {
        FanOutBounds {
            batch_most: self.batch_most,
            heartbeat_ms: self.heartbeat_ms,
            timeout_ms: self.timeout_ms,
        }
    }
}
