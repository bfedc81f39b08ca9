//! The operator file of shared duties, `serve --duties FILE`. Without it nothing is probed.

use super::health_status::Turns;
use super::lease::InstanceId;
use super::scheduler::{Times, LAST_PLACE};
use crate::config_file::{parse_address, read_json, read_keys_beside, ConfigError, FieldError, KeyFileError};
use crate::message_auth::MessageKeys;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The most other instances: as many proxies as an installation may have, several times over.
pub const MAX_PEERS: usize = 4_096;

/// An instance that takes part.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number, the same in every instance's file.
    pub id: InstanceId,
    /// Where it takes the others' datagrams.
    pub address: String,
}

/// How a server is probed.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Probe {
    /// A connection that comes up.
    Connect,
    /// `GET` of this path over HTTP/1.1, answered with 2xx.
    Http(String),
}

/// The servers that are probed: endpoints of the list, by their kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Kinds (`model`) of endpoints.
    pub models: Vec<String>,
    /// The port on which they answer probes; their own, where it is not told.
    #[serde(default)]
    pub port: Option<u16>,
}

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthCheckConfig {
    /// This instance's number.
    pub id: InstanceId,
    /// Where it takes the others' datagrams.
    pub listen: String,
    /// The other instances.
    pub peers: Vec<Peer>,
    /// The file with the keys that seal datagrams; without it they are not sealed.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// How far a peer's clock may be off, in milliseconds.
    #[serde(default = "skew")]
    pub clock_skew_ms: f64,
    /// What is probed.
    pub servers: Servers,
    /// How.
    pub probe: Probe,
    /// How long a probe may take, in milliseconds.
    #[serde(default = "probe_ms")]
    pub probe_ms: f64,
    /// Between two probes of a server, in milliseconds.
    #[serde(default = "period")]
    pub period_ms: f64,
    /// How much later each next instance claims, in milliseconds.
    #[serde(default = "step")]
    pub step_ms: f64,
    /// Silence after which an instance is left out of the order, in milliseconds.
    #[serde(default = "dead")]
    pub dead_ms: f64,
    /// Failures in a row until a server is down, and answers until it is up.
    #[serde(default = "fall")]
    pub fall: u32,
    /// See `fall`.
    #[serde(default = "rise")]
    pub rise: u32,
    /// The file.
    #[serde(skip)]
    pub path: PathBuf,
}

fn skew() -> f64 {
    5_000.0
}
fn probe_ms() -> f64 {
    1_000.0
}
fn period() -> f64 {
    2_000.0
}
fn step() -> f64 {
    200.0
}
fn dead() -> f64 {
    1_500.0
}
fn fall() -> u32 {
    2
}
fn rise() -> u32 {
    2
}

impl HealthCheckConfig {
    /// Reads and checks the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    fn check(&self) -> Result<(), FieldError> {
        let own = parse_address(&self.listen).map_err(|reason| FieldError::new("listen", reason))?;
        let (mut ids, mut places) = (BTreeSet::from([self.id]), BTreeSet::from([own]));
        for peer in &self.peers {
            let at = parse_address(&peer.address).map_err(|reason| FieldError::new("peers", reason))?;
            if !ids.insert(peer.id) || !places.insert(at) {
                return Err(FieldError::new(
                    "peers",
                    format!("{} at {at} comes twice, or is this instance", peer.id),
                ));
            }
        }
        if self.peers.len() > MAX_PEERS {
            return Err(FieldError::new("peers", format!("{} are more than {MAX_PEERS}", self.peers.len())));
        }
        if let Some(far) = places.iter().find(|at| !at.ip().is_loopback()) {
            return Err(FieldError::new("peers", format!("{far}: it is carried over loopback only")));
        }
        self.keys().map_err(|reason| FieldError::new("key_file", reason))?;
        if self.servers.models.is_empty() || self.servers.port == Some(0) {
            return Err(FieldError::new("servers", "`models` names kinds, and a `port` is not 0"));
        }
        if let Probe::Http(path) = &self.probe {
            if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()) {
                return Err(FieldError::new("probe", format!("{path:?} is no path")));
            }
        }
        let checks: [(&'static str, f64, f64, f64); 7] = [
            ("clock_skew_ms", self.clock_skew_ms, 1.0, 3_600_000.0),
            ("period_ms", self.period_ms, 100.0, 3_600_000.0),
            ("probe_ms", self.probe_ms, 10.0, self.period_ms),
            ("step_ms", self.step_ms, 10.0, self.period_ms / (self.peers.len().min(LAST_PLACE) as f64 + 2.0)),
            ("dead_ms", self.dead_ms, 100.0, 3_600_000.0),
            ("fall", f64::from(self.fall), 1.0, 100.0),
            ("rise", f64::from(self.rise), 1.0, 100.0),
        ];
        match checks.into_iter().find(|(_, v, low, high)| !(v.is_finite() && v >= low && v <= high)) {
            Some((field, v, low, high)) => {
                Err(FieldError::new(field, format!("{v} is not within {low} to {high}")))
            }
            None => Ok(()),
        }
    }

    /// Where it takes the others' datagrams.
    pub fn at(&self) -> SocketAddr {
        parse_address(&self.listen).expect("checked when read")
    }

    /// The other instances, by number.
    pub fn others(&self) -> Vec<(InstanceId, SocketAddr)> {
        let at = |peer: &Peer| parse_address(&peer.address).expect("checked when read");
        self.peers.iter().map(|peer| (peer.id, at(peer))).collect()
    }

    /// The plan's times.
    pub fn times(&self) -> Times {
        Times {
            period_ms: self.period_ms,
            step_ms: self.step_ms,
            again_ms: self.step_ms / 4.0,
            claim_ms: 2.0 * self.step_ms,
            beat_ms: self.dead_ms / 4.0,
            dead_ms: self.dead_ms,
        }
    }

    /// When a server turns.
    pub fn turns(&self) -> Turns {
        Turns { fall: self.fall, rise: self.rise }
    }

    /// The keys that seal datagrams, where there is a file for them.
    pub fn keys(&self) -> Result<Option<MessageKeys>, KeyFileError> {
        self.key_file.as_ref().map(|file| read_keys_beside(&self.path, file)).transpose()
    }
}
