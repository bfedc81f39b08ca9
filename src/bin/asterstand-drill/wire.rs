//! The wire's messages, typed, and their translation.

use asterstand::{
    Action, Class, ColdStart, Event, KeyScope, Life, Listing, Note, Repeat, Role, Settings, Verdict,
};
use serde::{Deserialize, Deserializer, Serialize};

/// Reads a value that may be absent, null or of another type than expected, as the type's default then.
fn lenient<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}

/// The messages that are read; all others are skipped.
pub const KNOWN: [&str; 14] = [
    "Clock",
    "Eob",
    "OpenInstance",
    "Teardown",
    "Table",
    "Members",
    "JobIn",
    "Probed",
    "Abandoned",
    "Settled",
    "Elapsed",
    "Heard",
    "Outdated",
    "Headers",
];

#[derive(Deserialize)]
pub struct Head {
    pub cmd: String,
}

/// A request's id: 16 lower-case hex digits on the wire.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "String")]
pub struct HexId(u64);

impl TryFrom<String> for HexId {
    type Error = String;
    fn try_from(text: String) -> Result<Self, String> {
        if text.len() != 16 || !text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')) {
            return Err(format!("request id {text:?} is not 16 hex digits"));
        }
        u64::from_str_radix(&text, 16).map(HexId).map_err(|e| e.to_string())
    }
}

#[derive(Deserialize)]
#[serde(tag = "cmd")]
pub enum Line {
    #[serde(rename_all = "camelCase")]
    Clock {
        time_us: u64,
    },
    Eob,
    OpenInstance {
        i: u64,
        seed: u64,
        env: Box<Env>,
    },
    Teardown {
        i: u64,
    },
    Table {
        sheet: u64,
        records: Vec<Row>,
    },
    Members {
        i: u64,
        #[serde(default)]
        sheet: Option<u64>,
        mode: String,
    },
    #[serde(rename_all = "camelCase")]
    JobIn {
        i: u64,
        request_id: HexId,
        band: String,
        #[serde(default, deserialize_with = "lenient")]
        asset: u64,
        give_up_at_us: u64,
        #[serde(default, deserialize_with = "lenient")]
        kbytes: f64,
        #[serde(default, deserialize_with = "lenient")]
        set_no: f64,
        #[serde(default, deserialize_with = "lenient")]
        slice: f64,
    },
    Probed {
        i: u64,
        cache: u32,
        status: String,
    },
    #[serde(rename_all = "camelCase")]
    Abandoned {
        i: u64,
        request_id: HexId,
    },
    #[serde(rename_all = "camelCase")]
    Settled {
        i: u64,
        request_id: HexId,
        hop: u32,
        #[serde(default, deserialize_with = "lenient")]
        detail: u64,
        status: String,
        #[serde(default, deserialize_with = "lenient")]
        took_us: u64,
        #[serde(default, deserialize_with = "lenient")]
        closed: bool,
    },
    Elapsed {
        i: u64,
        ctx: u64,
    },
    Heard {
        i: u64,
    },
    #[serde(rename_all = "camelCase")]
    Outdated {
        i: u64,
        #[serde(default)]
        asset: Option<u64>,
        #[serde(default, deserialize_with = "lenient")]
        family_id: f64,
        #[serde(default, deserialize_with = "lenient")]
        age_span_us: u64,
    },
    #[serde(rename_all = "camelCase")]
    Headers {
        i: u64,
        request_id: HexId,
        hop: u32,
    },
}

impl Line {
    /// The instance that a line is for; 0 for those without one, which are handled before.
    pub fn instance(&self) -> u64 {
        match self {
            Self::Clock { .. } | Self::Eob | Self::Table { .. } => 0,
            Self::OpenInstance { i, .. }
            | Self::Teardown { i }
            | Self::Members { i, .. }
            | Self::JobIn { i, .. }
            | Self::Probed { i, .. }
            | Self::Abandoned { i, .. }
            | Self::Settled { i, .. }
            | Self::Elapsed { i, .. }
            | Self::Heard { i }
            | Self::Outdated { i, .. }
            | Self::Headers { i, .. } => *i,
        }
    }

    /// The event that a line means to the router, if any.
    pub fn event(self, env: &Env) -> Result<Option<Event>, String> {
        Ok(Some(match self {
            Self::JobIn { request_id, band, asset, give_up_at_us, kbytes, set_no, slice, .. } => {
                let class = env.classes.iter().position(|c| c.name == band);
                Event::Request {
                    id: request_id.0,
                    class: class.ok_or_else(|| format!("JobIn: unknown class {band:?}"))?,
                    object: asset,
                    group: set_no as u32,
                    part: slice as u32,
                    size_kb: kbytes,
                    give_up_at: give_up_at_us,
                }
            }
            Self::Probed { cache, status, .. } => Event::Probed { member: cache, verdict: verdict(&status)? },
            Self::Abandoned { request_id, .. } => Event::Left { id: request_id.0 },
            Self::Settled { request_id, hop, detail, status, took_us, closed, .. } => Event::Outcome {
                id: request_id.0,
                attempt: hop,
                verdict: verdict(&status)?,
                note: note(detail),
                took: took_us,
                closed,
            },
            Self::Elapsed { ctx, .. } => Event::Timer { token: ctx },
            Self::Outdated { asset, family_id, age_span_us, .. } => {
                Event::Purged { object: asset, group: family_id as u32, ago: age_span_us }
            }
            Self::Headers { request_id, hop, .. } => Event::Streaming { id: request_id.0, attempt: hop },
            _ => return Ok(None),
        }))
    }
}

fn verdict(status: &str) -> Result<Verdict, String> {
    Ok(match status {
        "S" => Verdict::Served,
        "E" => Verdict::Error,
        "F" => Verdict::Refused,
        "T" => Verdict::TimedOut,
        "C" => Verdict::NoConnection,
        "R" => Verdict::Broken,
        "X" => Verdict::Cancelled,
        "N" => Verdict::NeverSent,
        "M" => Verdict::Miss,
        other => return Err(format!("Settled: unknown status {other:?}")),
    })
}

fn note(detail: u64) -> Note {
    match detail {
        1 | 5 => Note::Hit,
        2..=4 => Note::Filled,
        6 | 7 => Note::SourceFailed,
        8 => Note::SourceLacks,
        9 => Note::NoFillPlace,
        10 => Note::OriginFailed,
        _ => Note::Silent,
    }
}

#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Row {
    #[serde(default, deserialize_with = "lenient")]
    zone: String,
    #[serde(default, deserialize_with = "lenient")]
    model: String,
    lifecycle: String,
    #[serde(default, deserialize_with = "lenient")]
    ready_at_us: u64,
    cache: u32,
    #[serde(default)]
    power_hint: Option<f64>,
    #[serde(default, deserialize_with = "lenient")]
    cohort: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Env {
    classes: Vec<EnvClass>,
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

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EnvClass {
    name: String,
    #[serde(default, deserialize_with = "lenient")]
    aim_stretch: f64,
    deadline_us: u64,
    #[serde(default, deserialize_with = "lenient")]
    dedup_scope: String,
    promise_us: u64,
    semantics: String,
    #[serde(default, deserialize_with = "lenient")]
    window_us: u64,
    #[serde(default, deserialize_with = "lenient")]
    worth: f64,
}

#[derive(Default, Deserialize)]
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

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    #[serde(deserialize_with = "lenient")]
    cancelling: bool,
    #[serde(deserialize_with = "lenient")]
    max_retry_after_us: u64,
    #[serde(deserialize_with = "lenient")]
    probing: bool,
    #[serde(deserialize_with = "lenient")]
    retry_after: bool,
    #[serde(deserialize_with = "lenient")]
    send_cap: u32,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    #[serde(deserialize_with = "lenient")]
    fall_multiple: f64,
    #[serde(deserialize_with = "lenient")]
    ramp_time_us: u64,
    #[serde(deserialize_with = "lenient")]
    start_capacity: f64,
    #[serde(deserialize_with = "lenient")]
    tip_after_us: u64,
}

impl Env {
    fn sku(&self, place: Option<i64>) -> Option<&str> {
        self.skus.get(usize::try_from(place?).ok()?).map(String::as_str)
    }

    fn zone(&self, name: &str) -> Option<usize> {
        self.localities.iter().position(|z| z == name)
    }

    /// The settings in the library's words.
    pub fn settings(&self) -> Settings {
        let (fam, limits, rules) = (&self.family_info, &self.policy_limits, &self.rules);
        let home = self.zone(&self.locality);
        let classes = self.classes.iter().enumerate().map(|(k, c)| Class {
            aim: c.promise_us,
            aim_stretch: c.aim_stretch,
            deadline: c.deadline_us,
            repeat: match c.semantics.as_str() {
                "pure" => Repeat::Safe,
                "token" => Repeat::Keyed,
                _ => Repeat::Unsafe,
            },
            key_scope: match c.dedup_scope.as_str() {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            key_window: c.window_us,
            worth: c.worth,
            fresh_for: fam.max_age_us.get(k).copied().unwrap_or(0),
            stale_for: fam.older_by_us.get(k).copied().unwrap_or(0),
            uncacheable: fam.uncached.get(k).copied().unwrap_or(false),
        });
        let cold = ColdStart {
            floor: rules.start_capacity,
            ramp: rules.ramp_time_us,
            multiple: rules.fall_multiple,
            window: rules.tip_after_us,
        };
        Settings {
            classes: classes.collect(),
            routers: self.siblings,
            routers_here: home.and_then(|z| fam.seats_by_zone.get(z).copied()).unwrap_or(self.siblings),
            flow_kb_per_s: fam.flow_kb_per_s,
            weights_known: matches!(self.weight_kind.as_str(), "nominal" | "rough"),
            joins: fam.joins,
            bypass: fam.may_pass_by,
            hit_notes: matches!(fam.notes_given.as_str(), "hit" | "all"),
            purge_done: fam.purge_done_us,
            max_attempts: limits.send_cap,
            cancelling: limits.cancelling,
            probing: limits.probing,
            max_wait_hint: if limits.retry_after { limits.max_retry_after_us } else { 0 },
            subscribe: self.discovery == "ask",
            cache_cold: cold,
            parent_cold: ColdStart {
                floor: fam.parent_floor,
                ramp: fam.upper_cold_us,
                multiple: fam.parent_breaks_at,
                ..cold
            },
        }
    }

    /// One line of a list, in the library's words.
    pub fn listing(&self, row: &Row) -> Result<Listing, String> {
        let zone = self.zone(&row.zone);
        let role = if self.sku(self.family_info.root_kind) == Some(&row.model) {
            Role::Origin
        } else if self.sku(self.family_info.mid_kind) == Some(&row.model) {
            Role::Parent
        } else if row.zone == self.locality {
            Role::Cache
        } else {
            Role::FarCache
        };
        let life = match row.lifecycle.as_str() {
            "live" => Life::Live,
            "quiescing" => Life::Draining,
            "dead" => Life::Gone,
            other => return Err(format!("Table: unknown lifecycle {other:?}")),
        };
        Ok(Listing {
            id: row.cache,
            role,
            life,
            started: row.ready_at_us,
            weight: row.power_hint.unwrap_or(1.0),
            zone: zone.map_or(u32::MAX, |z| z as u32),
            cell: row.cohort,
        })
    }
}

/// The messages that are written, by their names on the wire.
#[derive(Serialize)]
#[serde(tag = "cmd")]
#[allow(clippy::enum_variant_names)]
pub enum Reply {
    #[serde(rename_all = "camelCase")]
    Place {
        i: u64,
        request_id: String,
        cache: u32,
        cap_us: u64,
    },
    #[serde(rename_all = "camelCase")]
    LookAndFill {
        i: u64,
        request_id: String,
        cache: u32,
        source: u32,
        how: u32,
        age_span_us: u64,
        retain: u8,
        cap_us: u64,
    },
    #[serde(rename_all = "camelCase")]
    OverloadReply {
        i: u64,
        request_id: String,
        wait_us: u64,
    },
    #[serde(rename_all = "camelCase")]
    ReportFailure {
        i: u64,
        request_id: String,
    },
    #[serde(rename_all = "camelCase")]
    Abandon {
        i: u64,
        request_id: String,
        hop: u32,
    },
    SoundOut {
        i: u64,
        cache: u32,
    },
    #[serde(rename_all = "camelCase")]
    After {
        i: u64,
        ctx: u64,
        due_at_us: u64,
    },
    Tail {
        i: u64,
        enable: bool,
    },
}

impl Reply {
    /// The wire's form of an action.
    pub fn from_action(i: u64, action: Action) -> Self {
        let hex = |id: u64| format!("{id:016x}");
        match action {
            Action::Send { id, to, source: None, timeout, .. } => {
                Self::Place { i, request_id: hex(id), cache: to, cap_us: timeout }
            }
            Action::Send { id, to, source: Some(source), join, renew, max_age, keep, timeout } => {
                Self::LookAndFill {
                    i,
                    request_id: hex(id),
                    cache: to,
                    source,
                    how: u32::from(join) | if renew { 8 } else { 0 },
                    age_span_us: max_age,
                    retain: keep,
                    cap_us: timeout,
                }
            }
            Action::Refuse { id, wait } => Self::OverloadReply { i, request_id: hex(id), wait_us: wait },
            Action::Fail { id } => Self::ReportFailure { i, request_id: hex(id) },
            Action::Cancel { id, attempt } => Self::Abandon { i, request_id: hex(id), hop: attempt },
            Action::Probe { member } => Self::SoundOut { i, cache: member },
            Action::Timer { token, at } => Self::After { i, ctx: token, due_at_us: at },
            Action::Subscribe => Self::Tail { i, enable: true },
        }
    }
}
