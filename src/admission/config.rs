//! The configuration file of admission control, `serve --admission FILE`. Without it, every request is
//! forwarded to the engine immediately.

use super::bounds::AdmissionBounds;
use super::concurrency_limit::LimitSettings;
use super::decision::{ClientKey, TenantId};
use super::round_robin::Weights;
use crate::config_file::{read_json, ConfigError, FieldError};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The allowed range of weights.
const WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=100.0;
/// The largest allowed concurrency limit, in requests.
const MAX_LIMIT: f64 = 100_000.0;
/// The upper limit of `queue_most`.
const MAX_QUEUED_LIMIT: usize = 1_000_000;
/// The upper limit of `bytes_most`.
const MAX_QUEUED_BYTES_LIMIT: usize = 1 << 32;
/// The upper limit of `tickets_most`.
const MAX_RESERVATIONS_LIMIT: usize = 10_000_000;
/// The upper limit of `come_back_most_ms`, in milliseconds.
const MAX_RETRY_AFTER_LIMIT_MS: f64 = 3_600_000.0;
/// The upper limit of `least_service_ms`, in milliseconds.
const MIN_SERVICE_LIMIT_MS: f64 = 60_000.0;
/// The upper limit of `reserve_share`.
const MAX_LIGHT_CLIENT_SHARE: f64 = 0.9;
/// Set in the keys of IPv4 clients. It places them in `0:1::/96`, a range that is reserved by the IETF and
/// not used by IPv6 clients.
const IPV4_CLIENT: ClientKey = 1 << 96;

/// Why a value of the file is invalid.
#[derive(Debug, Error)]
pub enum BadValue {
    /// A tenant lists no group, or its weight is outside the allowed range.
    #[error("every tenant needs at least one group and a weight from 0.01 to 100")]
    Tenant,
    /// A group is listed more than once.
    #[error("group {0} is listed more than once")]
    DuplicateGroup(u32),
    /// A prefix length exceeds the address length of its family.
    #[error("`client_prefix_v4` must be at most 32, and `client_prefix_v6` at most 128")]
    Prefix,
    /// A number is outside its allowed range.
    #[error("value is outside the allowed range: {0}")]
    OutOfBounds(&'static str),
}

/// A tenant with its own weight.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantConfig {
    /// The groups of the tenant: values of the `X-Set` header or groups of signed URLs.
    pub groups: Vec<u32>,
    /// The tenant's share of the capacity, relative to the weights of the other tenants.
    pub weight: f64,
}

/// The contents of the configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmissionConfig {
    /// The concurrency limit.
    pub limit: LimitSettings,
    /// The maximum number of queued requests.
    #[serde(rename = "queue_most", default = "max_queued")]
    pub max_queued: usize,
    /// The maximum number of queued requests of one client.
    #[serde(rename = "per_client_most", default = "max_queued_per_client")]
    pub max_queued_per_client: usize,
    /// The maximum number of queued requests of one tenant.
    #[serde(rename = "per_tenant_most", default = "max_queued_per_tenant")]
    pub max_queued_per_tenant: usize,
    /// The maximum total size of the bodies of queued requests, in bytes.
    #[serde(rename = "bytes_most", default = "max_queued_bytes")]
    pub max_queued_bytes: usize,
    /// The maximum number of reservations.
    #[serde(rename = "tickets_most", default = "max_reservations")]
    pub max_reservations: usize,
    /// The share of the capacity that may be reserved.
    #[serde(rename = "ticket_share", default = "reservation_share")]
    pub reservation_share: f64,
    /// The share of the concurrency limit kept for clients with no request in flight or queued.
    #[serde(rename = "reserve_share", default = "light_client_share")]
    pub light_client_share: f64,
    /// The shortest retry-after time, in milliseconds.
    #[serde(rename = "come_back_least_ms", default = "min_retry_after_ms")]
    pub min_retry_after_ms: f64,
    /// The longest retry-after time, in milliseconds.
    #[serde(rename = "come_back_most_ms", default = "max_retry_after_ms")]
    pub max_retry_after_ms: f64,
    /// The time that must remain before the deadline of a request when it leaves the queue, in milliseconds.
    /// A request is shed if it is not expected to meet this, or if it no longer meets it while queued.
    #[serde(rename = "least_service_ms", default = "min_service_ms")]
    pub min_service_ms: f64,
    /// The prefix length at which IPv4 addresses are grouped into one client.
    #[serde(default = "client_prefix_v4")]
    pub client_prefix_v4: u8,
    /// The prefix length at which IPv6 addresses are grouped into one client.
    #[serde(default = "client_prefix_v6")]
    pub client_prefix_v6: u8,
    /// Networks whose requests bypass admission control, such as the networks of health checkers.
    #[serde(default)]
    pub exempt: Vec<IpNet>,
    /// The weight of tenants that are not listed in `tenants`.
    #[serde(rename = "weight", default = "default_weight")]
    pub default_weight: f64,
    /// Tenants with their own weight.
    #[serde(default)]
    pub tenants: Vec<TenantConfig>,
    /// The file that the configuration was read from.
    #[serde(skip)]
    pub path: PathBuf,
}

fn max_queued() -> usize {
    2_048
}
fn max_queued_per_client() -> usize {
    16
}
fn max_queued_per_tenant() -> usize {
    512
}
fn max_queued_bytes() -> usize {
    8 << 20
}
fn max_reservations() -> usize {
    8_192
}
fn reservation_share() -> f64 {
    0.25
}
fn light_client_share() -> f64 {
    0.25
}
fn min_retry_after_ms() -> f64 {
    100.0
}
fn max_retry_after_ms() -> f64 {
    10_000.0
}
fn min_service_ms() -> f64 {
    50.0
}
fn client_prefix_v4() -> u8 {
    32
}
fn client_prefix_v6() -> u8 {
    64
}
fn default_weight() -> f64 {
    1.0
}

/// The networks whose requests bypass admission control.
#[derive(Clone, Debug, Default)]
pub struct ExemptNetworks {
    v4: IpRange<Ipv4Net>,
    v6: IpRange<Ipv6Net>,
}

impl ExemptNetworks {
    /// Creates the union of `networks`.
    fn new(networks: &[IpNet]) -> Self {
        let mut exempt = Self::default();
        for network in networks {
            match network {
                IpNet::V4(network) => drop(exempt.v4.add(network.trunc())),
                IpNet::V6(network) => drop(exempt.v6.add(network.trunc())),
            }
        }
        exempt.v4.simplify();
        exempt.v6.simplify();
        exempt
    }

    /// Whether `ip` is in one of the networks.
    pub fn contains(&self, ip: IpAddr) -> bool {
        match ip {
            IpAddr::V4(ip) => self.v4.contains(&ip),
            IpAddr::V6(ip) => self.v6.contains(&ip),
        }
    }
}

fn is_in_range(value: f64, min: f64, max: f64) -> bool {
    value.is_finite() && value >= min && value <= max
}

impl AdmissionConfig {
    /// Reads and validates the file at `path`.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    /// Reads and validates the same file again.
    pub fn reload(&self) -> Result<Self, ConfigError> {
        Self::read(&self.path)
    }

    /// Validates all values. The error names the first invalid field.
    pub fn check(&self) -> Result<(), FieldError> {
        self.check_tenants().map_err(|reason| FieldError::new("tenants", reason))?;
        if self.client_prefix_v4 > 32 || self.client_prefix_v6 > 128 {
            return Err(FieldError::new("client_prefix_v4", BadValue::Prefix));
        }
        self.check_queues()?;
        self.check_shares_and_times()
    }

    fn check_tenants(&self) -> Result<(), BadValue> {
        let mut groups = BTreeSet::new();
        for tenant in &self.tenants {
            if !WEIGHT_RANGE.contains(&tenant.weight) || tenant.groups.is_empty() {
                return Err(BadValue::Tenant);
            }
            if let Some(group) = tenant.groups.iter().find(|group| !groups.insert(**group)) {
                return Err(BadValue::DuplicateGroup(*group));
            }
        }
        Ok(())
    }

    fn check_queues(&self) -> Result<(), FieldError> {
        let LimitSettings { initial, min, max, .. } = self.limit;
        let limit_is_ordered = min >= 1.0 && min <= initial && initial <= max && max <= MAX_LIMIT;
        let per_queue = 1..=self.max_queued;
        require("limit", limit_is_ordered, "1 <= least <= first <= most <= 100,000")?;
        require("queue_most", (1..=MAX_QUEUED_LIMIT).contains(&self.max_queued), "1 to 1,000,000")?;
        require("per_client_most", per_queue.contains(&self.max_queued_per_client), "1 to queue_most")?;
        require("per_tenant_most", per_queue.contains(&self.max_queued_per_tenant), "1 to queue_most")?;
        require("bytes_most", (1..=MAX_QUEUED_BYTES_LIMIT).contains(&self.max_queued_bytes), "1 to 4 GiB")?;
        require(
            "tickets_most",
            (1..=MAX_RESERVATIONS_LIMIT).contains(&self.max_reservations),
            "1 to 10,000,000",
        )
    }

    fn check_shares_and_times(&self) -> Result<(), FieldError> {
        let (min_retry, max_retry) = (self.min_retry_after_ms, self.max_retry_after_ms);
        require("ticket_share", is_in_range(self.reservation_share, 0.0, 1.0), "0 to 1")?;
        require(
            "reserve_share",
            is_in_range(self.light_client_share, 0.0, MAX_LIGHT_CLIENT_SHARE),
            "0 to 0.9",
        )?;
        require("come_back_least_ms", is_in_range(min_retry, 1.0, max_retry), "1 to come_back_most_ms")?;
        require(
            "come_back_most_ms",
            is_in_range(max_retry, 1.0, MAX_RETRY_AFTER_LIMIT_MS),
            "1 to 3,600,000",
        )?;
        require(
            "least_service_ms",
            is_in_range(self.min_service_ms, 0.0, MIN_SERVICE_LIMIT_MS),
            "0 to 60,000",
        )?;
        require("weight", WEIGHT_RANGE.contains(&self.default_weight), "0.01 to 100")
    }

    /// The bounds of the queues and reservations.
    pub fn bounds(&self) -> AdmissionBounds {
        AdmissionBounds {
            max_queued: self.max_queued,
            max_queued_per_client: self.max_queued_per_client,
            max_queued_per_tenant: self.max_queued_per_tenant,
            max_queued_bytes: self.max_queued_bytes,
            max_reservations: self.max_reservations,
            reservation_share: self.reservation_share,
            light_client_share: self.light_client_share,
            min_retry_after_ms: self.min_retry_after_ms,
            max_retry_after_ms: self.max_retry_after_ms,
            min_service_ms: self.min_service_ms,
        }
    }

    /// The default weight, and the weights of the listed tenants by tenant id.
    pub fn weights(&self) -> Weights {
        let by_tenant = self.tenants.iter().map(|tenant| (tenant.groups[0], tenant.weight)).collect();
        Weights { default: self.default_weight, by_tenant }
    }

    /// The tenant that lists `group`. A group that no tenant lists is a tenant of its own.
    pub fn tenant_of(&self, group: u32) -> TenantId {
        let tenant = self.tenants.iter().find(|tenant| tenant.groups.contains(&group));
        tenant.map_or(group, |tenant| tenant.groups[0])
    }

    /// The networks whose requests bypass admission control.
    pub fn exempt_networks(&self) -> ExemptNetworks {
        ExemptNetworks::new(&self.exempt)
    }

    /// The client of an address: its network at the configured prefix length.
    pub fn client_key(&self, ip: IpAddr) -> ClientKey {
        match ip {
            IpAddr::V4(ip) => {
                let network = Ipv4Net::new(ip, self.client_prefix_v4).map_or(ip, |net| net.network());
                IPV4_CLIENT | ClientKey::from(u32::from(network))
            }
            IpAddr::V6(ip) => {
                let network = Ipv6Net::new(ip, self.client_prefix_v6).map_or(ip, |net| net.network());
                ClientKey::from(network)
            }
        }
    }
}

/// Returns an error for `field` unless `is_valid`. `allowed` is the allowed range as text.
fn require(field: &'static str, is_valid: bool, allowed: &'static str) -> Result<(), FieldError> {
    if is_valid {
        return Ok(());
    }
    Err(FieldError::new(field, BadValue::OutOfBounds(allowed)))
}
