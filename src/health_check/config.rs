//! Configuration file of the shared health checks, `serve --health-checks FILE`. Shared health checks are
//! disabled without it.
//!
//! Keys that differ from the field names are part of the file format and must not change.

use super::health_status::HealthThresholds;
use super::lease::InstanceId;
use super::scheduler::{SchedulerTimes, MAX_RANK};
use crate::config_file::{
    parse_address, read_json, read_message_keys, ConfigError, FieldError, KeyFileError,
};
use crate::message_auth::MessageKeys;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Maximum number of peers in the file.
pub const MAX_PEERS: usize = 4_096;
/// Number of times an undecided vote request is sent per rank delay.
const REQUESTS_PER_RANK_DELAY: f64 = 4.0;
/// Timeout of a vote request, in rank delays.
const REQUEST_TIMEOUT_RANK_DELAYS: f64 = 2.0;
/// Number of heartbeats sent per failure timeout.
const HEARTBEATS_PER_FAILURE_TIMEOUT: f64 = 4.0;

/// Another instance that shares the health checks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Id of the peer, unique among all instances. Every file must give an instance the same id.
    pub id: InstanceId,
    /// Address on which the peer receives datagrams.
    pub address: String,
}

/// Type of health check.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CheckKind {
    /// TCP connect; passes if the connection is established.
    Connect,
    /// HTTP/1.1 `GET` of this path; passes if the status is 2xx.
    Http(String),
}

/// Selection of the endpoints to check, by model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSelector {
    /// Endpoint models to check.
    pub models: Vec<String>,
    /// Port to check. Defaults to the port of each endpoint.
    #[serde(default)]
    pub port: Option<u16>,
}

/// Contents of the configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthCheckConfig {
    /// Id of this instance.
    pub id: InstanceId,
    /// Address on which this instance receives datagrams.
    pub listen: String,
    /// The other instances.
    pub peers: Vec<Peer>,
    /// File with the keys that authenticate datagrams. Datagrams are not authenticated without it.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Maximum clock skew between instances, in milliseconds.
    #[serde(default = "default_clock_skew_ms")]
    pub clock_skew_ms: f64,
    /// The endpoints to check.
    #[serde(rename = "servers")]
    pub endpoints: EndpointSelector,
    /// Type of health check.
    #[serde(rename = "probe")]
    pub check: CheckKind,
    /// Timeout of a check, in milliseconds.
    #[serde(rename = "probe_ms", default = "default_check_timeout_ms")]
    pub check_timeout_ms: f64,
    /// Interval between checks of an endpoint, in milliseconds.
    #[serde(default = "default_period_ms")]
    pub period_ms: f64,
    /// Delay between the vote requests of successive ranks, in milliseconds.
    #[serde(rename = "step_ms", default = "default_rank_delay_ms")]
    pub rank_delay_ms: f64,
    /// Time since the latest message of an instance after which it counts as failed, in milliseconds.
    #[serde(rename = "dead_ms", default = "default_failure_timeout_ms")]
    pub failure_timeout_ms: f64,
    /// Consecutive failed checks after which an endpoint becomes unhealthy.
    #[serde(default = "default_threshold")]
    pub fall: u32,
    /// Consecutive passed checks after which an endpoint becomes healthy.
    #[serde(default = "default_threshold")]
    pub rise: u32,
    /// Path from which the file was read.
    #[serde(skip)]
    pub path: PathBuf,
}

fn default_clock_skew_ms() -> f64 {
    5_000.0
}

fn default_check_timeout_ms() -> f64 {
    1_000.0
}

fn default_period_ms() -> f64 {
    2_000.0
}

fn default_rank_delay_ms() -> f64 {
    200.0
}

fn default_failure_timeout_ms() -> f64 {
    1_500.0
}

fn default_threshold() -> u32 {
    2
}

impl HealthCheckConfig {
    /// Reads and validates the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        config.validate().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    fn validate(&self) -> Result<(), FieldError> {
        self.validate_addresses()?;
        self.keys().map_err(|error| FieldError::new("key_file", error))?;
        if self.endpoints.models.is_empty() || self.endpoints.port == Some(0) {
            return Err(FieldError::new(
                "servers",
                "`models` must not be empty, and `port` must be 1 to 65,535",
            ));
        }
        if let CheckKind::Http(path) = &self.check {
            if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()) {
                return Err(FieldError::new(
                    "probe",
                    format!(
                        "HTTP path {path:?} must begin with `/` and contain only visible ASCII characters"
                    ),
                ));
            }
        }
        self.validate_numbers()
    }

    fn validate_addresses(&self) -> Result<(), FieldError> {
        let own = parse_address(&self.listen).map_err(|error| FieldError::new("listen", error))?;
        let (mut ids, mut addresses) = (BTreeSet::from([self.id]), BTreeSet::from([own]));
        for peer in &self.peers {
            let address = parse_address(&peer.address).map_err(|error| FieldError::new("peers", error))?;
            if !ids.insert(peer.id) || !addresses.insert(address) {
                let reason = format!(
                    "peer {} at {address}: the id or address is that of another peer or of this instance",
                    peer.id
                );
                return Err(FieldError::new("peers", reason));
            }
        }
        if self.peers.len() > MAX_PEERS {
            let reason = format!("{} peers exceed the maximum of {MAX_PEERS}", self.peers.len());
            return Err(FieldError::new("peers", reason));
        }
        match addresses.iter().find(|address| !address.ip().is_loopback()) {
            Some(address) => Err(FieldError::new("peers", format!("{address} must be a loopback address"))),
            None => Ok(()),
        }
    }

    fn validate_numbers(&self) -> Result<(), FieldError> {
        let ranks = self.peers.len().min(MAX_RANK) as f64;
        // All ranks must be able to request the lease, and the last request to time out, within one period.
        let max_rank_delay_ms = self.period_ms / (ranks + REQUEST_TIMEOUT_RANK_DELAYS);
        let bounds = [
            ("clock_skew_ms", self.clock_skew_ms, 1.0, 3_600_000.0),
            ("period_ms", self.period_ms, 100.0, 3_600_000.0),
            ("probe_ms", self.check_timeout_ms, 10.0, self.period_ms),
            ("step_ms", self.rank_delay_ms, 10.0, max_rank_delay_ms),
            ("dead_ms", self.failure_timeout_ms, 100.0, 3_600_000.0),
            ("fall", f64::from(self.fall), 1.0, 100.0),
            ("rise", f64::from(self.rise), 1.0, 100.0),
        ];
        for (field, value, min, max) in bounds {
            if !value.is_finite() || !(min..=max).contains(&value) {
                return Err(FieldError::new(field, format!("{value} is outside the range {min} to {max}")));
            }
        }
        Ok(())
    }

    /// Address on which this instance receives datagrams.
    pub fn listen_address(&self) -> SocketAddr {
        parse_address(&self.listen).expect("validated when the file was read")
    }

    /// Ids and addresses of the peers.
    pub fn peer_addresses(&self) -> impl Iterator<Item = (InstanceId, SocketAddr)> + '_ {
        let address = |peer: &Peer| parse_address(&peer.address).expect("validated when the file was read");
        self.peers.iter().map(move |peer| (peer.id, address(peer)))
    }

    /// Intervals and timeouts of the scheduler.
    pub fn scheduler_times(&self) -> SchedulerTimes {
        SchedulerTimes {
            period_ms: self.period_ms,
            rank_delay_ms: self.rank_delay_ms,
            retry_interval_ms: self.rank_delay_ms / REQUESTS_PER_RANK_DELAY,
            request_timeout_ms: self.rank_delay_ms * REQUEST_TIMEOUT_RANK_DELAYS,
            heartbeat_interval_ms: self.failure_timeout_ms / HEARTBEATS_PER_FAILURE_TIMEOUT,
            failure_timeout_ms: self.failure_timeout_ms,
        }
    }

    /// Thresholds of consecutive results at which the health of an endpoint changes.
    pub fn thresholds(&self) -> HealthThresholds {
        HealthThresholds { fall: self.fall, rise: self.rise }
    }

    /// Reads the keys that authenticate datagrams if `key_file` is set.
    pub fn keys(&self) -> Result<Option<MessageKeys>, KeyFileError> {
        self.key_file.as_ref().map(|file| read_message_keys(&self.path, file)).transpose()
    }
}
