//! The operator file of the door, `serve --door FILE`. Without it every request that a front takes goes to the
//! engine at once, as before.

use super::fair::{AdmissionBounds, ClientKey, Limit};
use crate::config_file::{read_json, ConfigError, FieldError};
use ahash::AHashMap;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use serde::Deserialize;
use std::net::IpAddr;
use std::path::{Path, PathBuf};

/// The concurrency limit as the file words it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitConfig {
    /// Requests at once where it starts.
    pub first: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
    /// Whether it moves with outcomes.
    #[serde(default)]
    pub adaptive: bool,
}

/// Tenants that weigh other than the default, by the groups that are theirs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantConfig {
    /// The groups (`X-Set`, or the group of a signed link) that make up the tenant.
    pub groups: Vec<u32>,
    /// Its weight.
    pub weight: f64,
}

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmissionConfig {
    /// The concurrency limit.
    pub limit: LimitConfig,
    /// Requests queued at most.
    #[serde(default = "queue_most")]
    pub queue_most: usize,
    /// Requests queued at most for one client.
    #[serde(default = "per_client_most")]
    pub per_client_most: usize,
    /// Requests queued at most for one tenant.
    #[serde(default = "per_tenant_most")]
    pub per_tenant_most: usize,
    /// Bytes of queued bodies at most.
    #[serde(default = "bytes_most")]
    pub bytes_most: usize,
    /// Tickets held at most.
    #[serde(default = "tickets_most")]
    pub tickets_most: usize,
    /// Share of the door's capacity that tickets may book.
    #[serde(default = "ticket_share")]
    pub ticket_share: f64,
    /// Share of the limit kept for clients with nothing open and nothing waiting.
    #[serde(default = "reserve_share")]
    pub reserve_share: f64,
    /// The least come-back told, in milliseconds.
    #[serde(default = "come_back_least_ms")]
    pub come_back_least_ms: f64,
    /// The longest come-back told, in milliseconds.
    #[serde(default = "come_back_most_ms")]
    pub come_back_most_ms: f64,
    /// Time left below which a request is not queued, in milliseconds.
    #[serde(default = "least_service_ms")]
    pub least_service_ms: f64,
    /// IPv4 addresses count as one client per network of this prefix.
    #[serde(default = "prefix_v4")]
    pub client_prefix_v4: u8,
    /// IPv6 addresses the same.
    #[serde(default = "prefix_v6")]
    pub client_prefix_v6: u8,
    /// Networks whose clients pass the door by, such as the platform's own checks.
    #[serde(default)]
    pub exempt: Vec<IpNet>,
    /// The weight of a tenant that `tenants` does not name.
    #[serde(default = "weight")]
    pub weight: f64,
    /// Tenants that weigh otherwise.
    #[serde(default)]
    pub tenants: Vec<TenantConfig>,
    /// The file that it was read from.
    #[serde(skip)]
    pub path: PathBuf,
}

fn queue_most() -> usize {
    2_048
}
fn per_client_most() -> usize {
    16
}
fn per_tenant_most() -> usize {
    512
}
fn bytes_most() -> usize {
    8 << 20
}
fn tickets_most() -> usize {
    8_192
}
fn ticket_share() -> f64 {
    0.25
}
fn reserve_share() -> f64 {
    0.25
}
fn come_back_least_ms() -> f64 {
    100.0
}
fn come_back_most_ms() -> f64 {
    10_000.0
}
fn least_service_ms() -> f64 {
    50.0
}
fn prefix_v4() -> u8 {
    32
}
fn prefix_v6() -> u8 {
    64
}
fn weight() -> f64 {
    1.0
}

/// Who passes the door by.
#[derive(Clone, Debug, Default)]
pub struct Exempt {
    v4: IpRange<Ipv4Net>,
    v6: IpRange<Ipv6Net>,
}

impl Exempt {
    /// Whether an address passes by.
    pub fn covers(&self, ip: IpAddr) -> bool {
        match ip {
            IpAddr::V4(ip) => self.v4.contains(&ip),
            IpAddr::V6(ip) => self.v6.contains(&ip),
        }
    }
}

impl AdmissionConfig {
    /// Reads and checks the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    /// The same file read again, for SIGHUP.
    pub fn again(&self) -> Result<Self, ConfigError> {
        Self::read(&self.path)
    }

    /// What is wrong, by field.
    pub fn check(&self) -> Result<(), FieldError> {
        let l = self.limit;
        let weight_ok = |w: f64| w.is_finite() && (0.01..=100.0).contains(&w);
        let mut groups = std::collections::BTreeSet::new();
        for tenant in &self.tenants {
            if !weight_ok(tenant.weight) || tenant.groups.is_empty() {
                return Err(FieldError::new("tenants", "each has groups and a weight from 0.01 to 100"));
            }
            if let Some(twice) = tenant.groups.iter().find(|g| !groups.insert(**g)) {
                return Err(FieldError::new("tenants", format!("group {twice} stands in two tenants")));
            }
        }
        let within = |v: f64, low: f64, high: f64| v.is_finite() && v >= low && v <= high;
        let checks: [(&'static str, bool, &str); 12] = [
            (
                "limit",
                l.least >= 1.0 && l.least <= l.first && l.first <= l.most && l.most <= 100_000.0,
                "1 <= least <= first <= most <= 100,000",
            ),
            ("queue_most", (1..=1_000_000).contains(&self.queue_most), "1 to 1,000,000"),
            ("per_client_most", (1..=self.queue_most).contains(&self.per_client_most), "1 to queue_most"),
            ("per_tenant_most", (1..=self.queue_most).contains(&self.per_tenant_most), "1 to queue_most"),
            ("bytes_most", (1..=1 << 32).contains(&self.bytes_most), "1 to 4 GiB"),
            ("tickets_most", (1..=10_000_000).contains(&self.tickets_most), "1 to 10,000,000"),
            ("ticket_share", within(self.ticket_share, 0.0, 1.0), "0 to 1"),
            ("reserve_share", within(self.reserve_share, 0.0, 0.9), "0 to 0.9"),
            (
                "come_back_least_ms",
                within(self.come_back_least_ms, 1.0, self.come_back_most_ms),
                "1 to come_back_most_ms",
            ),
            ("come_back_most_ms", within(self.come_back_most_ms, 1.0, 3_600_000.0), "1 to 3,600,000"),
            ("least_service_ms", within(self.least_service_ms, 0.0, 60_000.0), "0 to 60,000"),
            ("weight", weight_ok(self.weight), "0.01 to 100"),
        ];
        if self.client_prefix_v4 > 32 || self.client_prefix_v6 > 128 {
            return Err(FieldError::new("client_prefix_v4", "at most 32, and 128 for client_prefix_v6"));
        }
        match checks.into_iter().find(|(_, ok, _)| !ok) {
            Some((field, _, bound)) => Err(FieldError::new(field, format!("out of bounds: {bound}"))),
            None => Ok(()),
        }
    }

    /// The door's bounds.
    pub fn bounds(&self) -> AdmissionBounds {
        AdmissionBounds {
            queue_most: self.queue_most,
            per_client_most: self.per_client_most,
            per_tenant_most: self.per_tenant_most,
            bytes_most: self.bytes_most,
            tickets_most: self.tickets_most,
            ticket_share: self.ticket_share,
            reserve_share: self.reserve_share,
            come_back_least_ms: self.come_back_least_ms,
            come_back_most_ms: self.come_back_most_ms,
            least_service_ms: self.least_service_ms,
        }
    }

    /// The concurrency limit.
    pub fn limit(&self) -> Limit {
        let l = self.limit;
        Limit { first: l.first, least: l.least, most: l.most, adaptive: l.adaptive }
    }

    /// Weights by tenant, a tenant being known by its first group.
    pub fn weights(&self) -> AHashMap<u32, f64> {
        self.tenants.iter().map(|t| (t.groups[0], t.weight)).collect()
    }

    /// The tenant of a group: the first group of a tenant that names it, or the group itself.
    pub fn tenant_of(&self, group: u32) -> u32 {
        self.tenants.iter().find(|t| t.groups.contains(&group)).map_or(group, |t| t.groups[0])
    }

    /// The exempt networks as sets.
    pub fn exempt(&self) -> Exempt {
        let mut exempt = Exempt::default();
        for net in &self.exempt {
            match net {
                IpNet::V4(net) => {
                    exempt.v4.add(net.trunc());
                }
                IpNet::V6(net) => {
                    exempt.v6.add(net.trunc());
                }
            }
        }
        exempt.v4.simplify();
        exempt.v6.simplify();
        exempt
    }

    /// The client of an address: its network at the operator's prefix.
    pub fn client_of(&self, ip: IpAddr) -> ClientKey {
        match ip {
            IpAddr::V4(ip) => {
                let net = Ipv4Net::new(ip, self.client_prefix_v4).map_or(ip, |n| n.network());
                (1u128 << 96) | u128::from(u32::from(net))
            }
            IpAddr::V6(ip) => {
                let net = Ipv6Net::new(ip, self.client_prefix_v6).map_or(ip, |n| n.network());
                u128::from(net)
            }
        }
    }
}
