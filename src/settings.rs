//! The settings object and the list's lines, as an operator words them: one type for proxy and adapter.
//!
//! Unknown keys are skipped; what may be absent reads as its type's default.

use crate::endpoint_list::EndpointRecord;
use crate::text::is_field_value;
use crate::{Endpoint, Idempotency, KeyScope, PolicySettings, RequestClass, SlowStart, Tier};
use serde::{Deserialize, Deserializer};

/// Reads a value that may be absent, null or of another type than expected, as the type's default then.
pub fn lenient<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}

/// The settings object.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PlatformSettings {
    classes: Vec<ClassSettings>,
    #[serde(default, deserialize_with = "lenient")]
    discovery: String,
    #[serde(default, deserialize_with = "lenient")]
    family_info: Family,
    #[serde(default, deserialize_with = "lenient")]
    localities: Vec<String>,
    #[serde(default, deserialize_with = "lenient")]
    locality: String,
    #[serde(default, deserialize_with = "lenient")]
    policy_limits: Limits,
    #[serde(default, deserialize_with = "lenient")]
    rules: Rules,
    #[serde(default, deserialize_with = "lenient")]
    siblings: u32,
    #[serde(default, deserialize_with = "lenient")]
    skus: Vec<String>,
    #[serde(default, deserialize_with = "lenient")]
    weight_kind: String,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
struct ClassSettings {
    name: String,
    /// No longer in the settings: it stays for what was asked of it before.
    #[serde(skip)]
    retired: bool,
    #[serde(rename = "aimStretch", default, deserialize_with = "lenient")]
    latency_stretch: f64,
    deadline_us: u64,
    #[serde(default, deserialize_with = "lenient")]
    dedup_scope: String,
    promise_us: u64,
    semantics: String,
    #[serde(default, deserialize_with = "lenient")]
    window_us: u64,
    #[serde(rename = "worth", default, deserialize_with = "lenient")]
    priority_weight: f64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Family {
    #[serde(deserialize_with = "lenient")]
    max_age_us: Vec<u64>,
    #[serde(deserialize_with = "lenient")]
    older_by_us: Vec<u64>,
    #[serde(deserialize_with = "lenient")]
    uncached: Vec<bool>,
    #[serde(deserialize_with = "lenient")]
    may_pass_by: bool,
    #[serde(deserialize_with = "lenient")]
    flow_kb_per_s: f64,
    #[serde(deserialize_with = "lenient")]
    joins: bool,
    root_kind: Option<i64>,
    mid_kind: Option<i64>,
    #[serde(deserialize_with = "lenient")]
    parent_floor: f64,
    #[serde(deserialize_with = "lenient")]
    upper_cold_us: u64,
    #[serde(deserialize_with = "lenient")]
    parent_breaks_at: f64,
    #[serde(deserialize_with = "lenient")]
    purge_done_us: u64,
    #[serde(deserialize_with = "lenient")]
    notes_given: String,
    #[serde(deserialize_with = "lenient")]
    seats_by_zone: Vec<u32>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    #[serde(deserialize_with = "lenient")]
    cancelling: bool,
    #[serde(deserialize_with = "lenient")]
    connect_timeout_us: u64,
    #[serde(deserialize_with = "lenient")]
    keepalive_us: u64,
    #[serde(deserialize_with = "lenient")]
    streams_per_conn: u32,
    #[serde(deserialize_with = "lenient")]
    max_retry_after_us: u64,
    #[serde(deserialize_with = "lenient")]
    probing: bool,
    #[serde(deserialize_with = "lenient")]
    retry_after: bool,
    #[serde(deserialize_with = "lenient")]
    send_cap: u32,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    #[serde(deserialize_with = "lenient")]
    drain_grace_us: u64,
    #[serde(deserialize_with = "lenient")]
    fall_multiple: f64,
    #[serde(deserialize_with = "lenient")]
    ramp_time_us: u64,
    #[serde(deserialize_with = "lenient")]
    start_capacity: f64,
    #[serde(deserialize_with = "lenient")]
    tip_after_us: u64,
}

impl PlatformSettings {
    fn sku(&self, place: Option<i64>) -> Option<&str> {
        self.skus.get(usize::try_from(place?).ok()?).map(String::as_str)
    }

    /// These settings in the place of `old`, in which each class that they leave as it was keeps its place, so that
    /// requests under way keep theirs. What they drop or change is retired there; only a place that was retired
    /// before, and that nothing uses, goes to another class.
    pub fn after(mut self, old: &Self, used: impl Fn(usize) -> bool) -> Self {
        let mut fresh: Vec<_> = (0..self.classes.len()).map(|k| Some(self.line(k))).collect();
        let mut lines: Vec<_> = (0..old.classes.len()).map(|k| old.line(k)).collect();
        let mut free = Vec::new();
        for (k, line) in lines.iter_mut().enumerate() {
            let retired = std::mem::replace(&mut line.0.retired, false);
            match fresh.iter_mut().find(|other| other.as_ref() == Some(&*line)) {
                Some(same) => *same = None,
                None => line.0.retired = true,
            }
            if retired && line.0.retired && !used(k) {
                free.push(k);
            }
        }
        for line in fresh.into_iter().flatten() {
            match free.pop() {
                Some(k) => lines[k] = line,
                None => lines.push(line),
            }
        }
        let family = &mut self.family_info;
        family.max_age_us = lines.iter().map(|line| line.1).collect();
        family.older_by_us = lines.iter().map(|line| line.2).collect();
        family.uncached = lines.iter().map(|line| line.3).collect();
        self.classes = lines.into_iter().map(|line| line.0).collect();
        self
    }

    /// All that is said of the class at a place.
    fn line(&self, k: usize) -> (ClassSettings, u64, u64, bool) {
        let fam = &self.family_info;
        let age = |ages: &[u64]| ages.get(k).copied().unwrap_or(0);
        (self.classes[k].clone(), age(&fam.max_age_us), age(&fam.older_by_us), self.is_write(k))
    }

    /// Place of a class by its name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name && !c.retired)
    }

    /// Name of the class at a place.
    pub fn class_name(&self, place: usize) -> Option<&str> {
        self.classes.get(place).map(|c| c.name.as_str())
    }

    /// Name of the zone at a place of the list.
    pub fn zone_name(&self, place: usize) -> Option<&str> {
        self.localities.get(place).map(String::as_str)
    }

    /// Name of the kind at a place of the list.
    pub fn kind_name(&self, place: usize) -> Option<&str> {
        self.skus.get(place).map(String::as_str)
    }

    /// How long a connection may take to come up, in milliseconds.
    pub fn connect_timeout_ms(&self) -> f64 {
        if self.policy_limits.connect_timeout_us == 0 {
            400.0
        } else {
            self.policy_limits.connect_timeout_us as f64 / 1_000.0
        }
    }

    /// How long a cache keeps an idle connection, in milliseconds.
    pub fn keepalive_ms(&self) -> f64 {
        if self.policy_limits.keepalive_us == 0 {
            30_000.0
        } else {
            self.policy_limits.keepalive_us as f64 / 1_000.0
        }
    }

    /// The most requests that one connection to a cache may carry at once.
    pub fn streams_per_connection(&self) -> usize {
        self.policy_limits.streams_per_conn.clamp(1, 256) as usize
    }

    /// Whether a class writes: its requests run at the origin.
    pub fn is_write(&self, class: usize) -> bool {
        self.family_info.uncached.get(class).copied().unwrap_or(false)
    }

    /// Whether the requests of a class carry a key by which repeats are dropped.
    pub fn is_keyed(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|c| c.semantics == "token")
    }

    /// How long the clients of a class wait over all, in milliseconds.
    pub fn deadline_ms(&self, class: usize) -> f64 {
        self.classes.get(class).map_or(0.0, |c| c.deadline_us as f64 / 1_000.0)
    }

    /// The longest of these.
    pub fn longest_deadline_ms(&self) -> f64 {
        (0..self.classes.len()).map(|k| self.deadline_ms(k)).fold(0.0, f64::max)
    }

    /// What a proxy could not work with, if anything.
    pub fn check(&self) -> Result<(), String> {
        if self.classes.is_empty() {
            return Err("`classes` is empty".into());
        }
        if self.policy_limits.send_cap == 0 {
            return Err("`policyLimits.sendCap` is 0".into());
        }
        for (k, class) in self.classes.iter().enumerate() {
            if self.classes[..k].iter().any(|other| other.name == class.name) {
                return Err(format!("`classes[].name` {:?} comes twice", class.name));
            }
            if !is_field_value(&class.name) || class.name.contains('/') {
                return Err(format!("`classes[].name` {:?} can't stand in a path", class.name));
            }
            if class.deadline_us == 0 {
                return Err(format!("`classes[].deadlineUs` of {:?} is 0", class.name));
            }
        }
        if !self.localities.contains(&self.locality) {
            return Err(format!("`locality` {:?} is none of `localities`", self.locality));
        }
        Ok(())
    }

    /// For how long a drained endpoint may still be named, in milliseconds.
    pub fn drain_grace_ms(&self) -> f64 {
        self.rules.drain_grace_us as f64 / 1_000.0
    }

    fn zone(&self, name: &str) -> Option<usize> {
        self.localities.iter().position(|z| z == name)
    }

    /// The settings in the library's words.
    pub fn policy_settings(&self) -> PolicySettings {
        let (fam, limits, rules) = (&self.family_info, &self.policy_limits, &self.rules);
        let home = self.zone(&self.locality);
        let classes = self.classes.iter().enumerate().map(|(k, c)| RequestClass {
            latency_objective: c.promise_us,
            latency_stretch: c.latency_stretch,
            deadline: c.deadline_us,
            idempotency: match c.semantics.as_str() {
                "pure" => Idempotency::Idempotent,
                "token" => Idempotency::WithKey,
                _ => Idempotency::NotIdempotent,
            },
            key_scope: match c.dedup_scope.as_str() {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            key_window: c.window_us,
            priority_weight: c.priority_weight,
            fresh_lifetime: fam.max_age_us.get(k).copied().unwrap_or(0),
            stale_while_revalidate: fam.older_by_us.get(k).copied().unwrap_or(0),
            uncacheable: fam.uncached.get(k).copied().unwrap_or(false),
        });
        let cold = SlowStart {
            initial_capacity: rules.start_capacity,
            ramp_duration: rules.ramp_time_us,
            overload_multiple: rules.fall_multiple,
            overload_window: rules.tip_after_us,
        };
        PolicySettings {
            classes: classes.collect(),
            fleet_size: self.siblings,
            local_fleet_size: home.and_then(|z| fam.seats_by_zone.get(z).copied()).unwrap_or(self.siblings),
            client_kb_per_s: fam.flow_kb_per_s,
            weights_known: matches!(self.weight_kind.as_str(), "nominal" | "rough"),
            can_join_fills: fam.joins,
            can_bypass_caches: fam.may_pass_by,
            reports_cache_status: matches!(fam.notes_given.as_str(), "hit" | "all"),
            purge_completion: fam.purge_done_us,
            max_attempts: limits.send_cap,
            can_cancel: limits.cancelling,
            can_check_health: limits.probing,
            max_retry_after: if limits.retry_after { limits.max_retry_after_us } else { 0 },
            watch_endpoints: self.discovery == "ask",
            cache_slow_start: cold,
            parent_slow_start: SlowStart {
                initial_capacity: fam.parent_floor,
                ramp_duration: fam.upper_cold_us,
                overload_multiple: fam.parent_breaks_at,
                ..cold
            },
        }
    }

    /// Whether an endpoint is a cache, in whatever zone.
    pub fn is_cache(&self, record: &EndpointRecord) -> bool {
        !self.is_of_kind(record, self.family_info.root_kind)
            && !self.is_of_kind(record, self.family_info.mid_kind)
    }

    /// An endpoint as the decision module knows it.
    pub fn endpoint(&self, record: &EndpointRecord) -> Endpoint {
        Endpoint {
            id: record.id,
            tier: self.tier(record),
            state: record.state,
            started_at: record.started_at,
            weight: record.capacity_hint.unwrap_or(1.0),
            zone: self.zone(&record.zone).map_or(u32::MAX, |zone| zone as u32),
            cell: record.cell,
        }
    }

    /// What an endpoint is to a proxy of this zone.
    fn tier(&self, record: &EndpointRecord) -> Tier {
        if self.is_of_kind(record, self.family_info.root_kind) {
            Tier::Origin
        } else if self.is_of_kind(record, self.family_info.mid_kind) {
            Tier::Parent
        } else if record.zone == self.locality {
            Tier::Cache
        } else {
            Tier::RemoteCache
        }
    }

    /// Whether an endpoint is of the kind at a place of the settings' list.
    fn is_of_kind(&self, record: &EndpointRecord, kind: Option<i64>) -> bool {
        self.sku(kind) == Some(&record.kind)
    }
}
