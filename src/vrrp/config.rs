//! The configuration file of a virtual router, `serve --vrrp FILE`. Without it, the proxy runs no virtual
//! router.
//!
//! Keys of the file that differ from the field names are kept for compatibility with existing files.

use super::machine::RouterSettings;
use super::message::OWNER_PRIORITY;
use super::track::{TrackRule, TrackedObject};
use crate::config_file::{
    parse_address, read_json, read_message_keys, ConfigError, FieldError, KeyFileError,
};
use crate::message_auth::MessageKeys;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Upper bound of the durations in the file, in milliseconds.
const MAX_DURATION_MS: f64 = 3_600_000.0;

/// The front that serves a listener of a virtual address.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FrontKind {
    /// The platform's front.
    Platform,
    /// The front for signed URLs.
    Signed,
    /// The gRPC front.
    Grpc,
}

/// A listener of a virtual address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VirtualListenerConfig {
    /// Socket address to listen at while the router is active.
    pub address: String,
    /// Front that serves the connections.
    pub front: FrontKind,
}

impl VirtualListenerConfig {
    /// The parsed socket address.
    pub fn socket_address(&self) -> SocketAddr {
        parse_address(&self.address).expect("validated by `VrrpConfig::read`")
    }
}

/// The configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VrrpConfig {
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
    vrid: u8,
    priority: u8,
    #[serde(default = "default_interval_cs")]
    interval_cs: u16,
    #[serde(default = "default_preempt")]
    preempt: bool,
    addresses: Vec<Ipv4Addr>,
    #[serde(default)]
    preempt_delay_ms: f64,
    #[serde(default = "default_down_intervals")]
    down_intervals: u8,
    #[serde(rename = "flaps_most", default)]
    max_activations: usize,
    #[serde(default = "default_hold_ms")]
    flap_hold_ms: f64,
    /// File with the keys that authenticate advertisements; without it, advertisements are not authenticated.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Maximum difference between the clocks of a peer and this proxy if advertisements are authenticated, in
    /// milliseconds.
    #[serde(default = "default_clock_skew_ms")]
    pub clock_skew_ms: f64,
    /// Listeners to open while the router is active.
    #[serde(rename = "serve", default)]
    pub listeners: Vec<VirtualListenerConfig>,
    /// How long an active router may have a listener that is not open before it steps down, in milliseconds.
    #[serde(rename = "open_patience_ms", default = "default_open_timeout_ms")]
    pub open_timeout_ms: f64,
    /// How long a router that stepped down because of its listeners stays out of the election, in
    /// milliseconds.
    #[serde(rename = "aside_ms", default = "default_hold_ms")]
    pub step_down_ms: f64,
    /// Rules that reduce the priority or put the router into the fault state.
    #[serde(rename = "track", default)]
    pub track_rules: Vec<TrackRule>,
    /// Path of the file.
    #[serde(skip)]
    pub path: PathBuf,
}

fn default_interval_cs() -> u16 {
    100
}

fn default_preempt() -> bool {
    true
}

fn default_down_intervals() -> u8 {
    3
}

fn default_hold_ms() -> f64 {
    10_000.0
}

fn default_clock_skew_ms() -> f64 {
    5_000.0
}

fn default_open_timeout_ms() -> f64 {
    2_000.0
}

/// The enabled subsystems of the process that a virtual router may depend on.
#[derive(Clone, Debug, Default)]
pub struct EnabledSubsystems {
    /// Whether the front for signed URLs is enabled.
    pub signed_urls: bool,
    /// Names of the gRPC pools; empty if gRPC is disabled.
    pub grpc_pools: Vec<String>,
    /// Whether admission control is enabled.
    pub admission: bool,
    /// Whether the registry client is enabled.
    pub registry: bool,
}

/// A reference in the configuration file to a disabled subsystem, or to a gRPC pool that is not configured.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DisabledSubsystem {
    /// The front that a listener refers to is disabled.
    #[error("`serve`: the front for {address} is disabled")]
    Front {
        /// Address of the listener.
        address: String,
    },
    /// The subsystem that provides the value of a tracked object is disabled, or the gRPC pool is not
    /// configured.
    #[error(
        "`track`: {object} is not available: its subsystem is disabled or the gRPC pool is not configured"
    )]
    TrackedObject {
        /// The object.
        object: TrackedObject,
    },
}

impl VrrpConfig {
    /// Reads and validates the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    /// Reads and validates the file again. Returns an error if a field changed that requires a restart.
    pub fn reload(&self) -> Result<Self, ConfigError> {
        let reloaded = Self::read(&self.path)?;
        if reloaded.fixed_fields() != self.fixed_fields() {
            let reason = "`listen`, `vrid` and the addresses of `serve` cannot change without a restart";
            return Err(FieldError::new("listen", reason).in_file(&self.path));
        }
        Ok(reloaded)
    }

    /// The values that require a restart to change: `listen`, `vrid` and the addresses of `serve`.
    fn fixed_fields(&self) -> (SocketAddr, u8, Vec<SocketAddr>) {
        let listeners = self.listeners.iter().map(VirtualListenerConfig::socket_address);
        (self.listen, self.vrid, listeners.collect())
    }

    fn check(&self) -> Result<(), FieldError> {
        self.router_settings().check()?;
        self.keys().map_err(|error| FieldError::new("key_file", error))?;
        self.check_listeners()?;
        self.check_track_rules()?;
        let durations = [
            ("clock_skew_ms", self.clock_skew_ms),
            ("open_patience_ms", self.open_timeout_ms),
            ("aside_ms", self.step_down_ms),
        ];
        for (field, ms) in durations {
            if !ms.is_finite() || !(1.0..=MAX_DURATION_MS).contains(&ms) {
                return Err(FieldError::new(field, format!("{ms} is not between 1 and {MAX_DURATION_MS}")));
            }
        }
        Ok(())
    }

    fn check_listeners(&self) -> Result<(), FieldError> {
        let error = |reason: String| Err(FieldError::new("serve", reason));
        let mut seen = Vec::new();
        for listener in &self.listeners {
            let address =
                parse_address(&listener.address).map_err(|error| FieldError::new("serve", error))?;
            if !self.addresses.iter().any(|virtual_ip| address.ip() == IpAddr::V4(*virtual_ip)) {
                return error(format!("the IP address of {address} is not listed in `addresses`"));
            }
            if seen.contains(&address) || address.port() == 0 {
                return error(format!("{address} is listed more than once or has port 0"));
            }
            seen.push(address);
        }
        Ok(())
    }

    fn check_track_rules(&self) -> Result<(), FieldError> {
        for rule in &self.track_rules {
            rule.check().map_err(|error| FieldError::new("track", error))?;
            if self.priority == OWNER_PRIORITY && !rule.fault {
                let reason =
                    "priority 255 (address owner) cannot be reduced; use `fault` instead of `lower_by`";
                return Err(FieldError::new("track", reason));
            }
        }
        Ok(())
    }

    /// Checks that the subsystems used by the listeners and the tracked objects are enabled, and that tracked
    /// gRPC pools are configured.
    pub fn check_dependencies(&self, enabled: &EnabledSubsystems) -> Result<(), DisabledSubsystem> {
        let is_front_enabled = |listener: &&VirtualListenerConfig| match listener.front {
            FrontKind::Platform => true,
            FrontKind::Signed => enabled.signed_urls,
            FrontKind::Grpc => !enabled.grpc_pools.is_empty(),
        };
        if let Some(listener) = self.listeners.iter().find(|listener| !is_front_enabled(listener)) {
            return Err(DisabledSubsystem::Front { address: listener.address.clone() });
        }
        let is_object_enabled = |rule: &&TrackRule| match &rule.object {
            TrackedObject::AdmissionQueue => enabled.admission,
            TrackedObject::Registry => enabled.registry,
            TrackedObject::GrpcPool(pool) => enabled.grpc_pools.contains(pool),
            TrackedObject::CachePool | TrackedObject::RejectedShare | TrackedObject::File(_) => true,
        };
        if let Some(rule) = self.track_rules.iter().find(|rule| !is_object_enabled(rule)) {
            return Err(DisabledSubsystem::TrackedObject { object: rule.object.clone() });
        }
        Ok(())
    }

    /// The settings of the state machine.
    pub fn router_settings(&self) -> RouterSettings {
        RouterSettings {
            listen: self.listen,
            peers: self.peers.clone(),
            vrid: self.vrid,
            priority: self.priority,
            interval_cs: self.interval_cs,
            preempt: self.preempt,
            addresses: self.addresses.clone(),
            preempt_delay_ms: self.preempt_delay_ms,
            down_intervals: self.down_intervals,
            max_activations: self.max_activations,
            flap_hold_ms: self.flap_hold_ms,
        }
    }

    /// Reads the keys that authenticate advertisements, if a key file is configured.
    pub fn keys(&self) -> Result<Option<MessageKeys>, KeyFileError> {
        self.key_file.as_ref().map(|file| read_message_keys(&self.path, file)).transpose()
    }
}
