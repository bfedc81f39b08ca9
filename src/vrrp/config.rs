//! The operator file of a virtual router, `serve --vrrp FILE`. Without it no packet is sent.

use super::machine::Settings;
use super::message::OWNER;
use super::track::{TrackSpec, What};
use crate::config_file::{parse_address, read_json, read_keys_beside, ConfigError, FieldError, KeyFileError};
use crate::message_auth::MessageKeys;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Which front a listener of a virtual address belongs to.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FrontKind {
    /// The platform's front.
    Platform,
    /// The second front, signed URLs.
    Signed,
    /// gRPC pass-through.
    Grpc,
}

/// A listener of a virtual address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServeConfig {
    /// Where it listens while the router is active.
    pub address: String,
    /// For which front.
    pub front: FrontKind,
}

impl ServeConfig {
    /// Its address.
    pub fn at(&self) -> SocketAddr {
        parse_address(&self.address).expect("checked when read")
    }
}

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VrrpConfig {
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
    vrid: u8,
    priority: u8,
    #[serde(default = "interval")]
    interval_cs: u16,
    #[serde(default = "yes")]
    preempt: bool,
    addresses: Vec<Ipv4Addr>,
    #[serde(default)]
    preempt_delay_ms: f64,
    #[serde(default = "down")]
    down_intervals: u8,
    #[serde(default)]
    flaps_most: usize,
    #[serde(default = "hold")]
    flap_hold_ms: f64,
    /// The file with the keys that seal advertisements; without it they are the RFC's alone.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// How far a peer's clock may be from this one where advertisements are sealed, in milliseconds.
    #[serde(default = "skew")]
    pub clock_skew_ms: f64,
    /// The listeners that are open while the router is active.
    #[serde(default)]
    pub serve: Vec<ServeConfig>,
    /// How long not all of them may be open while it is active, in milliseconds, before it stands aside ...
    #[serde(default = "patience")]
    pub open_patience_ms: f64,
    /// ... and for how long it does.
    #[serde(default = "hold")]
    pub aside_ms: f64,
    /// What lowers the priority.
    #[serde(default)]
    pub track: Vec<TrackSpec>,
    /// The file.
    #[serde(skip)]
    pub path: PathBuf,
}

fn interval() -> u16 {
    100
}
fn yes() -> bool {
    true
}
fn down() -> u8 {
    3
}
fn hold() -> f64 {
    10_000.0
}
fn skew() -> f64 {
    5_000.0
}
fn patience() -> f64 {
    2_000.0
}

impl VrrpConfig {
    /// Reads and checks the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    /// Reads and checks the same file as it stands by now.
    pub fn again(&self) -> Result<Self, ConfigError> {
        let fresh = Self::read(&self.path)?;
        let same = |c: &Self| (c.listen, c.vrid, c.serve.iter().map(ServeConfig::at).collect::<Vec<_>>());
        if same(&fresh) != same(self) {
            let reason = "`listen`, `vrid` and `serve` need a new process";
            return Err(FieldError::new("listen", reason).in_file(&self.path));
        }
        Ok(fresh)
    }

    fn check(&self) -> Result<(), FieldError> {
        self.router().check().map_err(|(field, reason)| FieldError::new(field, reason))?;
        self.keys().map_err(|reason| FieldError::new("key_file", reason))?;
        let mut seen = Vec::new();
        for listener in &self.serve {
            let at = parse_address(&listener.address).map_err(|reason| FieldError::new("serve", reason))?;
            if !self.addresses.iter().any(|virt| at.ip() == std::net::IpAddr::V4(*virt)) {
                return Err(FieldError::new("serve", format!("{at} is on none of `addresses`")));
            }
            if seen.contains(&at) || at.port() == 0 {
                return Err(FieldError::new("serve", format!("{at} comes twice, or has no port")));
            }
            seen.push(at);
        }
        for track in &self.track {
            track.check().map_err(|reason| FieldError::new("track", reason))?;
            if self.priority == OWNER && !track.fault {
                return Err(FieldError::new(
                    "track",
                    "the owner's priority is fixed: only `fault` goes with 255",
                ));
            }
        }
        let within = |ms: f64| ms.is_finite() && (1.0..=3_600_000.0).contains(&ms);
        for (field, ms) in [
            ("clock_skew_ms", self.clock_skew_ms),
            ("open_patience_ms", self.open_patience_ms),
            ("aside_ms", self.aside_ms),
        ] {
            if !within(ms) {
                return Err(FieldError::new(field, format!("{ms} is not within 1 to 3,600,000")));
            }
        }
        Ok(())
    }

    /// What the other parts of the configuration must bring for what is served and tracked, if anything lacks.
    pub fn check_with(
        &self,
        signed: bool,
        grpc: &[String],
        door: bool,
        registry: bool,
    ) -> Result<(), String> {
        for listener in &self.serve {
            let there = match listener.front {
                FrontKind::Platform => true,
                FrontKind::Signed => signed,
                FrontKind::Grpc => !grpc.is_empty(),
            };
            if !there {
                return Err(format!("`serve`: {} is for a front that is off", listener.address));
            }
        }
        for track in &self.track {
            let there = match &track.what {
                What::Door => door,
                What::Registry => registry,
                What::Grpc(pool) => grpc.contains(pool),
                What::Pool | What::Refused | What::File(_) => true,
            };
            if !there {
                return Err(format!("`track`: {:?} is of a subsystem that is off", track.what));
            }
        }
        Ok(())
    }

    /// The router's own settings.
    pub fn router(&self) -> Settings {
        Settings {
            listen: self.listen,
            peers: self.peers.clone(),
            vrid: self.vrid,
            priority: self.priority,
            interval_cs: self.interval_cs,
            preempt: self.preempt,
            addresses: self.addresses.clone(),
            preempt_delay_ms: self.preempt_delay_ms,
            down_intervals: self.down_intervals,
            flaps_most: self.flaps_most,
            flap_hold_ms: self.flap_hold_ms,
        }
    }

    /// The keys that seal advertisements, read anew, where there is a file for them.
    pub fn keys(&self) -> Result<Option<MessageKeys>, KeyFileError> {
        self.key_file.as_ref().map(|file| read_keys_beside(&self.path, file)).transpose()
    }
}
