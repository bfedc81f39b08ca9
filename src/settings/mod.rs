//! The platform's settings as used by the proxy, the decision module and the simulator adapter.
//!
//! `platform_json` deserializes the platform's JSON; `check` validates the settings; `classes` has
//! the request classes, which requests share; `endpoints` determines an endpoint's tier from its record.

mod check;
mod classes;
mod endpoints;
mod platform_json;

pub use check::SettingsError;
pub use classes::PlatformClass;
pub use platform_json::lenient;

use crate::PolicySettings;
use platform_json::PlatformJson;
use serde::Deserialize;
use std::rc::Rc;

/// The settings of a proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "PlatformJson")]
pub struct PlatformSettings {
    classes: Vec<Rc<PlatformClass>>,
    /// The settings of the decision module, without classes.
    policy: PolicySettings,
    /// Names of all zones; the discovery service refers to them by index.
    zones: Vec<String>,
    /// Name of this proxy's zone.
    zone: String,
    /// Names of all kinds of endpoints; the discovery service refers to them by index.
    kinds: Vec<String>,
    origin_kind: Option<String>,
    parent_kind: Option<String>,
    connect_timeout_ms: f64,
    keepalive_ms: f64,
    streams_per_connection: usize,
    drain_grace_ms: f64,
}

impl PlatformSettings {
    /// The settings of the decision module.
    pub fn policy_settings(&self) -> PolicySettings {
        let classes = self.classes.iter().map(|class| class.policy.clone()).collect();
        PolicySettings { classes, ..self.policy.clone() }
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<&Rc<PlatformClass>> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// All classes, in the order of the settings.
    pub fn classes(&self) -> &[Rc<PlatformClass>] {
        &self.classes
    }

    /// Name of the zone at an index.
    pub fn zone_name(&self, index: usize) -> Option<&str> {
        self.zones.get(index).map(String::as_str)
    }

    /// Name of the kind of endpoints at an index.
    pub fn kind_name(&self, index: usize) -> Option<&str> {
        self.kinds.get(index).map(String::as_str)
    }

    /// Time within which a connection must be established, in milliseconds.
    pub fn connect_timeout_ms(&self) -> f64 {
        self.connect_timeout_ms
    }

    /// Time for which a cache keeps an idle connection, in milliseconds.
    pub fn keepalive_ms(&self) -> f64 {
        self.keepalive_ms
    }

    /// Maximum number of concurrent requests on one connection to a cache.
    pub fn streams_per_connection(&self) -> usize {
        self.streams_per_connection
    }

    /// The setting `drainGraceUs` in milliseconds; not used by the proxy.
    pub fn drain_grace_ms(&self) -> f64 {
        self.drain_grace_ms
    }

    /// The longest deadline of all classes, in milliseconds.
    pub fn longest_deadline_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.deadline_ms()).fold(0.0, f64::max)
    }
}
