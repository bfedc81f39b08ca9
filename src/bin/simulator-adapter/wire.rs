//! The wire's messages, typed, and their translation.

use edge_proxy::endpoint_list::EndpointRecord;
use edge_proxy::response_path::ResponsePath;
use edge_proxy::settings::{lenient, PlatformSettings};
use edge_proxy::{Action, AttemptOutcome, EndpointState, Event};
use serde::{Deserialize, Serialize};

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

/// An endpoint of a table.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TableRecord {
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

impl TryFrom<&TableRecord> for EndpointRecord {
    type Error = String;

    fn try_from(record: &TableRecord) -> Result<Self, String> {
        let state = match record.lifecycle.as_str() {
            "live" => EndpointState::Active,
            "quiescing" => EndpointState::Draining,
            "dead" => EndpointState::Removed,
            other => return Err(format!("Table: unknown lifecycle {other:?}")),
        };
        Ok(Self {
            id: record.cache,
            zone: record.zone.clone(),
            kind: record.model.clone(),
            state,
            started_at: record.ready_at_us,
            capacity_hint: record.power_hint,
            cell: record.cohort,
        })
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
        env: Box<PlatformSettings>,
    },
    Teardown {
        i: u64,
    },
    Table {
        sheet: u64,
        records: Vec<TableRecord>,
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
    pub fn event(self, env: &PlatformSettings) -> Result<Option<Event>, String> {
        Ok(Some(match self {
            Self::JobIn { request_id, band, asset, give_up_at_us, kbytes, set_no, slice, .. } => {
                let class = env.class_index(&band);
                Event::Request {
                    id: request_id.0,
                    class: class.ok_or_else(|| format!("JobIn: unknown class {band:?}"))?,
                    object: asset,
                    group: set_no as u32,
                    part: slice as u32,
                    size_kb: kbytes,
                    deadline_at: give_up_at_us,
                }
            }
            Self::Probed { cache, status, .. } => {
                Event::HealthChecked { endpoint: cache, outcome: outcome(&status)? }
            }
            Self::Abandoned { request_id, .. } => Event::ClientDisconnected { id: request_id.0 },
            Self::Settled { request_id, hop, detail, status, took_us, closed, .. } => Event::AttemptEnded {
                id: request_id.0,
                attempt: hop,
                outcome: outcome(&status)?,
                cache_status: ResponsePath::from_number(detail).into(),
                elapsed: took_us,
                closed,
            },
            Self::Elapsed { ctx, .. } => Event::Timer { token: ctx },
            Self::Outdated { asset, family_id, age_span_us, .. } => {
                Event::Purged { object: asset, group: family_id as u32, age: age_span_us }
            }
            Self::Headers { request_id, hop, .. } => {
                Event::ResponseStarted { id: request_id.0, attempt: hop }
            }
            _ => return Ok(None),
        }))
    }
}

fn outcome(status: &str) -> Result<AttemptOutcome, String> {
    Ok(match status {
        "S" => AttemptOutcome::Served,
        "E" => AttemptOutcome::Error,
        "F" => AttemptOutcome::Rejected,
        "T" => AttemptOutcome::TimedOut,
        "C" => AttemptOutcome::NoConnection,
        "R" => AttemptOutcome::ConnectionLost,
        "X" => AttemptOutcome::Cancelled,
        "N" => AttemptOutcome::NotSent,
        "M" => AttemptOutcome::CacheMiss,
        other => return Err(format!("Settled: unknown status {other:?}")),
    })
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

/// The sum that words the orders for a miss: 1 join a fill under way, 2 the source gives only what it holds, 8 renew an
/// ageing copy behind.
fn how(join: bool, only_if_cached: bool, revalidate: bool) -> u32 {
    u32::from(join) | u32::from(only_if_cached) << 1 | u32::from(revalidate) << 3
}

impl Reply {
    /// The wire's form of an action.
    pub fn from_action(i: u64, action: Action) -> Self {
        let hex = |id: u64| format!("{id:016x}");
        match action {
            Action::Forward { id, to, source: None, timeout, .. } => {
                Self::Place { i, request_id: hex(id), cache: to, cap_us: timeout }
            }
            Action::Forward {
                id,
                to,
                source: Some(source),
                join_fill: join,
                only_if_cached,
                revalidate,
                max_age,
                retention_rank: keep,
                timeout,
                ..
            } => Self::LookAndFill {
                i,
                request_id: hex(id),
                cache: to,
                source,
                how: how(join, only_if_cached, revalidate),
                age_span_us: max_age,
                retain: keep,
                cap_us: timeout,
            },
            Action::Reject { id, retry_after: wait } => {
                Self::OverloadReply { i, request_id: hex(id), wait_us: wait }
            }
            Action::Fail { id } => Self::ReportFailure { i, request_id: hex(id) },
            Action::Cancel { id, attempt } => Self::Abandon { i, request_id: hex(id), hop: attempt },
            Action::CheckHealth { endpoint } => Self::SoundOut { i, cache: endpoint },
            Action::SetTimer { token, at } => Self::After { i, ctx: token, due_at_us: at },
            Action::Watch => Self::Tail { i, enable: true },
        }
    }
}
