//! The messages of the simulator, and their translation to events. Maps the names of the simulator protocol
//! to those of the library.

use crate::error::{MessageError, RequestIdError};
use edge_proxy::endpoint_list::EndpointRecord;
use edge_proxy::response_path::ResponsePath;
use edge_proxy::settings::{lenient, PlatformSettings};
use edge_proxy::{AttemptOutcome, EndpointState, Event, Micros};
use serde::Deserialize;

/// The kinds of messages that are handled. All others are ignored.
const HANDLED_COMMANDS: [&str; 14] = [
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

/// The part of a message that identifies its kind.
#[derive(Deserialize)]
pub struct MessageHead {
    #[serde(rename = "cmd")]
    pub command: String,
}

/// A request id: 16 lower-case hex digits on the wire.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "String")]
pub struct HexId(u64);

impl TryFrom<String> for HexId {
    type Error = RequestIdError;

    fn try_from(text: String) -> Result<Self, RequestIdError> {
        let is_hex = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let number = u64::from_str_radix(&text, 16).ok().filter(|_| is_hex);
        number.map(HexId).ok_or(RequestIdError(text))
    }
}

/// A record of an endpoint table.
#[derive(Deserialize)]
pub struct TableRecord {
    #[serde(default, deserialize_with = "lenient")]
    zone: String,
    #[serde(rename = "model", default, deserialize_with = "lenient")]
    kind: String,
    #[serde(rename = "lifecycle")]
    state: String,
    #[serde(rename = "readyAtUs", default, deserialize_with = "lenient")]
    started_at: Micros,
    #[serde(rename = "cache")]
    id: u32,
    #[serde(rename = "powerHint", default)]
    capacity_hint: Option<f64>,
    #[serde(rename = "cohort", default, deserialize_with = "lenient")]
    cell: u32,
}

impl TryFrom<&TableRecord> for EndpointRecord {
    type Error = MessageError;

    fn try_from(record: &TableRecord) -> Result<Self, MessageError> {
        let state = match record.state.as_str() {
            "live" => EndpointState::Active,
            "quiescing" => EndpointState::Draining,
            "dead" => EndpointState::Removed,
            other => return Err(MessageError::UnknownState(other.to_string())),
        };
        Ok(Self {
            id: record.id,
            zone: record.zone.clone(),
            kind: record.kind.clone(),
            state,
            started_at: record.started_at,
            capacity_hint: record.capacity_hint,
            cell: record.cell,
        })
    }
}

/// How an endpoint list is applied.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(from = "String")]
pub enum ListMode {
    /// The complete list.
    Full,
    /// Changes to the list.
    Changes,
    /// The watch was lost.
    Lost,
}

impl From<String> for ListMode {
    fn from(text: String) -> Self {
        match text.as_str() {
            "lost" => Self::Lost,
            "incr" => Self::Changes,
            // Every other mode, such as `warm_copy`, carries the complete list.
            _ => Self::Full,
        }
    }
}

/// A message of the simulator.
#[derive(Deserialize)]
#[serde(tag = "cmd")]
pub enum Message {
    #[serde(rename = "Clock")]
    BatchStart {
        #[serde(rename = "timeUs")]
        time: Micros,
    },
    #[serde(rename = "Eob")]
    BatchEnd,
    OpenInstance {
        #[serde(rename = "i")]
        instance: u64,
        seed: u64,
        #[serde(rename = "env")]
        settings: Box<PlatformSettings>,
    },
    #[serde(rename = "Teardown")]
    CloseInstance {
        #[serde(rename = "i")]
        instance: u64,
    },
    Table {
        #[serde(rename = "sheet")]
        table: u64,
        records: Vec<TableRecord>,
    },
    #[serde(rename = "Members")]
    Endpoints {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "sheet", default)]
        table: Option<u64>,
        mode: ListMode,
    },
    #[serde(rename = "JobIn")]
    Request {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId")]
        id: HexId,
        #[serde(rename = "band")]
        class: String,
        #[serde(rename = "asset", default, deserialize_with = "lenient")]
        object: u64,
        #[serde(rename = "giveUpAtUs")]
        deadline_at: Micros,
        #[serde(rename = "kbytes", default, deserialize_with = "lenient")]
        size_kb: f64,
        #[serde(rename = "setNo", default, deserialize_with = "lenient")]
        group: f64,
        #[serde(rename = "slice", default, deserialize_with = "lenient")]
        part: f64,
    },
    #[serde(rename = "Probed")]
    HealthChecked {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "cache")]
        endpoint: u32,
        #[serde(rename = "status")]
        outcome: String,
    },
    #[serde(rename = "Abandoned")]
    ClientDisconnected {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId")]
        id: HexId,
    },
    #[serde(rename = "Settled")]
    AttemptEnded {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId")]
        id: HexId,
        #[serde(rename = "hop")]
        attempt: u32,
        #[serde(rename = "detail", default, deserialize_with = "lenient")]
        response_path: u64,
        #[serde(rename = "status")]
        outcome: String,
        #[serde(rename = "tookUs", default, deserialize_with = "lenient")]
        elapsed: Micros,
        #[serde(default, deserialize_with = "lenient")]
        closed: bool,
    },
    #[serde(rename = "Elapsed")]
    Timer {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "ctx")]
        token: u64,
    },
    #[serde(rename = "Heard")]
    Acknowledged {
        #[serde(rename = "i")]
        instance: u64,
    },
    #[serde(rename = "Outdated")]
    Purged {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "asset", default)]
        object: Option<u64>,
        #[serde(rename = "familyId", default, deserialize_with = "lenient")]
        group: f64,
        #[serde(rename = "ageSpanUs", default, deserialize_with = "lenient")]
        age: Micros,
    },
    #[serde(rename = "Headers")]
    ResponseStarted {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId")]
        id: HexId,
        #[serde(rename = "hop")]
        attempt: u32,
    },
}

impl Message {
    /// Whether messages with this `cmd` are handled.
    pub fn is_handled(command: &str) -> bool {
        HANDLED_COMMANDS.contains(&command)
    }

    /// The instance that the message is for; 0 if it is for the whole adapter.
    pub fn instance(&self) -> u64 {
        match self {
            Self::BatchStart { .. } | Self::BatchEnd | Self::Table { .. } => 0,
            Self::OpenInstance { instance, .. }
            | Self::CloseInstance { instance }
            | Self::Endpoints { instance, .. }
            | Self::Request { instance, .. }
            | Self::HealthChecked { instance, .. }
            | Self::ClientDisconnected { instance, .. }
            | Self::AttemptEnded { instance, .. }
            | Self::Timer { instance, .. }
            | Self::Acknowledged { instance }
            | Self::Purged { instance, .. }
            | Self::ResponseStarted { instance, .. } => *instance,
        }
    }

    /// Converts the message to an event for its router, if there is one.
    pub fn into_event(self, settings: &PlatformSettings) -> Result<Option<Event>, MessageError> {
        Ok(Some(match self {
            Self::Request { id, class, object, deadline_at, size_kb, group, part, .. } => {
                let Some(class) = settings.class(&class) else {
                    return Err(MessageError::UnknownClass(class));
                };
                let (group, part) = (group as u32, part as u32);
                Event::Request {
                    id: id.0,
                    class: class.policy().clone(),
                    object,
                    group,
                    part,
                    size_kb,
                    deadline_at,
                    repeatable_until: Micros::MAX,
                }
            }
            Self::HealthChecked { endpoint, outcome, .. } => {
                Event::HealthChecked { endpoint, outcome: parse_outcome(&outcome)? }
            }
            Self::ClientDisconnected { id, .. } => Event::ClientDisconnected { id: id.0 },
            Self::AttemptEnded { id, attempt, response_path, outcome, elapsed, closed, .. } => {
                Event::AttemptEnded {
                    id: id.0,
                    attempt,
                    outcome: parse_outcome(&outcome)?,
                    cache_status: ResponsePath::from_number(response_path).into(),
                    elapsed,
                    closed,
                }
            }
            Self::Timer { token, .. } => Event::Timer { token },
            Self::Purged { object, group, age, .. } => Event::Purged { object, group: group as u32, age },
            Self::ResponseStarted { id, attempt, .. } => Event::ResponseStarted { id: id.0, attempt },
            _ => return Ok(None),
        }))
    }
}

/// Parses the outcome of an attempt or a health check.
fn parse_outcome(text: &str) -> Result<AttemptOutcome, MessageError> {
    Ok(match text {
        "S" => AttemptOutcome::Served,
        "E" => AttemptOutcome::Error,
        "F" => AttemptOutcome::Rejected,
        "T" => AttemptOutcome::TimedOut,
        "C" => AttemptOutcome::NoConnection,
        "R" => AttemptOutcome::ConnectionLost,
        "X" => AttemptOutcome::Cancelled,
        "N" => AttemptOutcome::NotSent,
        "M" => AttemptOutcome::CacheMiss,
        other => return Err(MessageError::UnknownOutcome(other.to_string())),
    })
}
