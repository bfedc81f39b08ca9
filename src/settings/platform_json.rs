//! The platform's settings JSON. Unknown keys are ignored; an optional key that is absent or null reads as
//! its type's default.

use super::{PlatformClass, PlatformSettings};
use crate::{Idempotency, KeyScope, Micros, PolicySettings, RequestClass, SlowStart};
use serde::{Deserialize, Deserializer};
use std::rc::Rc;

/// Default time within which a connection must be established, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 400.0;
/// Default time for which a cache keeps an idle connection, in milliseconds.
const DEFAULT_KEEPALIVE_MS: f64 = 30_000.0;
/// Upper bound of the concurrent requests on one connection to a cache.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;

/// Deserializes null as the type's default; with `#[serde(default)]`, an absent key as well.
pub fn lenient<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}

/// The settings object.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct PlatformJson {
    classes: Vec<ClassJson>,
    #[serde(default, deserialize_with = "lenient")]
    discovery: String,
    #[serde(rename = "familyInfo", default, deserialize_with = "lenient")]
    family: FamilyJson,
    #[serde(rename = "localities", default, deserialize_with = "lenient")]
    zones: Vec<String>,
    #[serde(rename = "locality", default, deserialize_with = "lenient")]
    zone: String,
    #[serde(rename = "policyLimits", default, deserialize_with = "lenient")]
    limits: LimitsJson,
    #[serde(rename = "rules", default, deserialize_with = "lenient")]
    slow_start: SlowStartJson,
    #[serde(rename = "siblings", default, deserialize_with = "lenient")]
    fleet_size: u32,
    #[serde(rename = "skus", default, deserialize_with = "lenient")]
    kinds: Vec<String>,
    #[serde(default, deserialize_with = "lenient")]
    weight_kind: String,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
struct ClassJson {
    name: String,
    #[serde(rename = "aimStretch", default, deserialize_with = "lenient")]
    latency_stretch: f64,
    #[serde(rename = "deadlineUs")]
    deadline: Micros,
    #[serde(rename = "dedupScope", default, deserialize_with = "lenient")]
    key_scope: String,
    #[serde(rename = "promiseUs")]
    latency_objective: Micros,
    #[serde(rename = "semantics")]
    idempotency: String,
    #[serde(rename = "windowUs", default, deserialize_with = "lenient")]
    key_window: Micros,
    #[serde(rename = "worth", default, deserialize_with = "lenient")]
    priority_weight: f64,
}

/// The `familyInfo` object. Lists have one value per class, except for `seatsByZone`, which has one per zone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct FamilyJson {
    #[serde(rename = "maxAgeUs", deserialize_with = "lenient")]
    fresh_lifetimes: Vec<Micros>,
    #[serde(rename = "olderByUs", deserialize_with = "lenient")]
    stale_while_revalidate: Vec<Micros>,
    #[serde(rename = "uncached", deserialize_with = "lenient")]
    uncacheable: Vec<bool>,
    #[serde(rename = "mayPassBy", deserialize_with = "lenient")]
    can_bypass_caches: bool,
    #[serde(rename = "flowKbPerS", deserialize_with = "lenient")]
    client_kb_per_s: f64,
    #[serde(rename = "joins", deserialize_with = "lenient")]
    can_join_fills: bool,
    #[serde(rename = "rootKind")]
    origin_kind: Option<i64>,
    #[serde(rename = "midKind")]
    parent_kind: Option<i64>,
    #[serde(rename = "parentFloor", deserialize_with = "lenient")]
    parent_initial_capacity: f64,
    #[serde(rename = "upperColdUs", deserialize_with = "lenient")]
    parent_ramp_duration: Micros,
    #[serde(rename = "parentBreaksAt", deserialize_with = "lenient")]
    parent_overload_multiple: f64,
    #[serde(rename = "purgeDoneUs", deserialize_with = "lenient")]
    purge_completion: Micros,
    #[serde(rename = "notesGiven", deserialize_with = "lenient")]
    cache_status_reports: String,
    #[serde(rename = "seatsByZone", deserialize_with = "lenient")]
    fleet_size_by_zone: Vec<u32>,
}

/// Limits and permissions of a proxy.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct LimitsJson {
    #[serde(rename = "cancelling", deserialize_with = "lenient")]
    can_cancel: bool,
    #[serde(rename = "connectTimeoutUs", deserialize_with = "lenient")]
    connect_timeout: Micros,
    #[serde(rename = "keepaliveUs", deserialize_with = "lenient")]
    keepalive: Micros,
    #[serde(rename = "streamsPerConn", deserialize_with = "lenient")]
    streams_per_connection: u32,
    #[serde(rename = "maxRetryAfterUs", deserialize_with = "lenient")]
    max_retry_after: Micros,
    #[serde(rename = "probing", deserialize_with = "lenient")]
    can_check_health: bool,
    #[serde(rename = "retryAfter", deserialize_with = "lenient")]
    sends_retry_after: bool,
    #[serde(rename = "sendCap", deserialize_with = "lenient")]
    max_attempts: u32,
}

/// Slow start of caches, and draining.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct SlowStartJson {
    #[serde(rename = "drainGraceUs", deserialize_with = "lenient")]
    drain_grace: Micros,
    #[serde(rename = "fallMultiple", deserialize_with = "lenient")]
    overload_multiple: f64,
    #[serde(rename = "rampTimeUs", deserialize_with = "lenient")]
    ramp_duration: Micros,
    #[serde(rename = "startCapacity", deserialize_with = "lenient")]
    initial_capacity: f64,
    #[serde(rename = "tipAfterUs", deserialize_with = "lenient")]
    overload_window: Micros,
}

impl From<PlatformJson> for PlatformSettings {
    fn from(json: PlatformJson) -> Self {
        let family = &json.family;
        let classes = json.classes.iter().enumerate();
        let classes = classes.map(|(index, class)| Rc::new(class.settings(family, index))).collect();
        Self {
            classes,
            policy: json.policy(),
            origin_kind: json.kind(family.origin_kind),
            parent_kind: json.kind(family.parent_kind),
            connect_timeout_ms: ms_or(json.limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT_MS),
            keepalive_ms: ms_or(json.limits.keepalive, DEFAULT_KEEPALIVE_MS),
            streams_per_connection: json.limits.streams_per_connection.clamp(1, MAX_STREAMS_PER_CONNECTION)
                as usize,
            drain_grace_ms: json.slow_start.drain_grace as f64 / 1_000.0,
            zones: json.zones,
            zone: json.zone,
            kinds: json.kinds,
        }
    }
}

/// Converts a time to milliseconds; returns `default_ms` if it is 0.
fn ms_or(time: Micros, default_ms: f64) -> f64 {
    if time == 0 {
        default_ms
    } else {
        time as f64 / 1_000.0
    }
}

impl PlatformJson {
    /// Name of the kind at an index of the list.
    fn kind(&self, index: Option<i64>) -> Option<String> {
        let index = usize::try_from(index?).ok()?;
        self.kinds.get(index).cloned()
    }

    /// The settings of the decision module, without classes.
    fn policy(&self) -> PolicySettings {
        let (family, limits) = (&self.family, &self.limits);
        let zone = self.zones.iter().position(|zone| *zone == self.zone);
        let in_zone = zone.and_then(|zone| family.fleet_size_by_zone.get(zone).copied());
        let cache_slow_start = self.slow_start.of_caches();
        PolicySettings {
            classes: Vec::new(),
            fleet_size: self.fleet_size,
            local_fleet_size: in_zone.unwrap_or(self.fleet_size),
            client_kb_per_s: family.client_kb_per_s,
            weights_are_capacities: matches!(self.weight_kind.as_str(), "nominal" | "rough"),
            can_join_fills: family.can_join_fills,
            can_bypass_caches: family.can_bypass_caches,
            reports_cache_status: matches!(family.cache_status_reports.as_str(), "hit" | "all"),
            purge_completion: family.purge_completion,
            max_attempts: limits.max_attempts,
            can_cancel: limits.can_cancel,
            can_check_health: limits.can_check_health,
            max_retry_after: if limits.sends_retry_after { limits.max_retry_after } else { 0 },
            watch_endpoints: self.discovery == "ask",
            cache_slow_start,
            parent_slow_start: SlowStart {
                initial_capacity: family.parent_initial_capacity,
                ramp_duration: family.parent_ramp_duration,
                overload_multiple: family.parent_overload_multiple,
                ..cache_slow_start
            },
        }
    }
}

impl ClassJson {
    /// The class at an index of the list, with its values from the family's lists.
    fn settings(&self, family: &FamilyJson, index: usize) -> PlatformClass {
        let policy = RequestClass {
            latency_objective: self.latency_objective,
            latency_stretch: self.latency_stretch,
            deadline: self.deadline,
            idempotency: match self.idempotency.as_str() {
                "pure" => Idempotency::Idempotent,
                "token" => Idempotency::WithKey,
                _ => Idempotency::NotIdempotent,
            },
            key_scope: match self.key_scope.as_str() {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            key_window: self.key_window,
            priority_weight: self.priority_weight,
            fresh_lifetime: family.fresh_lifetimes.get(index).copied().unwrap_or(0),
            stale_while_revalidate: family.stale_while_revalidate.get(index).copied().unwrap_or(0),
            uncacheable: family.uncacheable.get(index).copied().unwrap_or(false),
        };
        PlatformClass { name: self.name.clone(), policy: Rc::new(policy) }
    }
}

impl SlowStartJson {
    fn of_caches(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.initial_capacity,
            ramp_duration: self.ramp_duration,
            overload_multiple: self.overload_multiple,
            overload_window: self.overload_window,
        }
    }
}
