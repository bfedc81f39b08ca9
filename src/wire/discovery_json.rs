//! The JSON form of discovery events and endpoints, mapped to [`WatchEvent`] and [`ListedEndpoint`]. The
//! configuration has events under `known`, and a registry has one endpoint in each value.

use crate::endpoint_list::{EndpointRecord, ListedEndpoint, Sequenced, WatchEvent};
use crate::text::{parse_endpoint_id, parse_hex16};
use crate::EndpointState;
use serde::Deserialize;
use thiserror::Error;

/// Invalid JSON of an endpoint.
#[derive(Debug, Error)]
pub enum EndpointJsonError {
    /// The text is not valid JSON, or not of the expected type.
    #[error("invalid endpoint JSON: {0}")]
    Malformed(#[from] simd_json::Error),
    /// A field has an invalid value.
    #[error("invalid `{field}` {value:?}")]
    Field {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
}

impl EndpointJsonError {
    fn field(field: &'static str, value: &str) -> Self {
        Self::Field { field, value: value.to_string() }
    }
}

/// Why an event of the initial state is invalid.
#[derive(Debug, Error)]
pub enum EventError {
    /// An endpoint of the list is invalid.
    #[error(transparent)]
    Endpoint(#[from] EndpointJsonError),
    /// The id of a purged object is not 16 hex digits.
    #[error("invalid `item` {0:?}: expected 16 hex digits")]
    PurgedObject(String),
    /// A purge names neither an object nor a group.
    #[error("purge has neither `item` nor `lot`")]
    EmptyPurge,
}

/// An invalid event of the initial state.
#[derive(Debug, Error)]
#[error("event {number}: {source}")]
pub struct InitialStateError {
    /// The event's sequence number.
    pub number: u64,
    /// Why the event is invalid.
    pub source: EventError,
}

/// The initial state in the configuration (`known`): the events that are applied at startup.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct InitialState {
    /// The sequence number of the last event.
    #[serde(rename = "no", default)]
    pub last_number: u64,
    #[serde(rename = "items", default)]
    events: Vec<EventJson>,
}

#[derive(Clone, Debug, Deserialize)]
struct EventJson {
    #[serde(rename = "no")]
    number: u64,
    #[serde(rename = "roster")]
    list: Option<ListJson>,
    #[serde(rename = "recall")]
    purge: Option<PurgeJson>,
}

#[derive(Clone, Debug, Deserialize)]
struct ListJson {
    #[serde(rename = "all", default)]
    full: bool,
    #[serde(rename = "targets", default)]
    endpoints: Vec<EndpointJson>,
}

#[derive(Clone, Debug, Deserialize)]
struct PurgeJson {
    #[serde(rename = "item")]
    object: Option<String>,
    #[serde(rename = "lot")]
    group: Option<u32>,
    #[serde(rename = "issued")]
    issued_ms: f64,
}

/// One endpoint as JSON, for instance
/// `{"uid":"s-00c41f7a","endpoint":"10.1.0.9:5050","az":"east","model":"std","pod_group":2,"state":"Ready",
/// "capacity_hint":4,"boot_ms":0}`.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointJson {
    #[serde(rename = "uid")]
    id: String,
    #[serde(rename = "endpoint")]
    address: String,
    #[serde(rename = "az", default)]
    zone: String,
    #[serde(rename = "model", default)]
    kind: String,
    #[serde(rename = "pod_group", default)]
    cell: u32,
    state: String,
    capacity_hint: Option<f64>,
    #[serde(rename = "boot_ms", default)]
    started_at_ms: f64,
}

impl InitialState {
    /// The events, in the order of the configuration.
    pub fn events(&self) -> Result<Vec<Sequenced>, InitialStateError> {
        self.events.iter().map(EventJson::sequenced).collect()
    }
}

impl EventJson {
    fn sequenced(&self) -> Result<Sequenced, InitialStateError> {
        let number = self.number;
        let event = self.event().map_err(|source| InitialStateError { number, source })?;
        Ok(Sequenced { number, event })
    }

    fn event(&self) -> Result<WatchEvent, EventError> {
        match (&self.list, &self.purge) {
            (Some(list), _) => list.event(),
            (None, Some(purge)) => purge.event(),
            (None, None) => Ok(WatchEvent::Heartbeat),
        }
    }
}

impl ListJson {
    fn event(&self) -> Result<WatchEvent, EventError> {
        let endpoints = self.endpoints.iter().map(ListedEndpoint::try_from).collect::<Result<_, _>>()?;
        Ok(WatchEvent::Endpoints { full: self.full, endpoints })
    }
}

impl PurgeJson {
    fn event(&self) -> Result<WatchEvent, EventError> {
        let issued_ms = self.issued_ms;
        if let Some(text) = &self.object {
            let object = parse_hex16(text).ok_or_else(|| EventError::PurgedObject(text.clone()))?;
            return Ok(WatchEvent::Purge { object: Some(object), group: 0, issued_ms });
        }
        let group = self.group.ok_or(EventError::EmptyPurge)?;
        Ok(WatchEvent::Purge { object: None, group, issued_ms })
    }
}

impl EndpointJson {
    /// Parses the JSON of one endpoint.
    pub fn parse(bytes: &[u8]) -> Result<ListedEndpoint, EndpointJsonError> {
        let json: Self = simd_json::from_slice(&mut bytes.to_vec())?;
        ListedEndpoint::try_from(&json)
    }
}

impl TryFrom<&EndpointJson> for ListedEndpoint {
    type Error = EndpointJsonError;

    fn try_from(json: &EndpointJson) -> Result<Self, EndpointJsonError> {
        let id = parse_endpoint_id(&json.id).ok_or_else(|| EndpointJsonError::field("uid", &json.id))?;
        let address =
            json.address.parse().map_err(|_| EndpointJsonError::field("endpoint", &json.address))?;
        let state = match json.state.as_str() {
            "Ready" => EndpointState::Active,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            other => return Err(EndpointJsonError::field("state", other)),
        };
        let record = EndpointRecord {
            id,
            zone: json.zone.clone(),
            kind: json.kind.clone(),
            state,
            started_at: crate::clock::micros_from_ms(json.started_at_ms),
            capacity_hint: json.capacity_hint,
            cell: json.cell,
        };
        Ok(ListedEndpoint { record, address })
    }
}

#[cfg(test)]
mod tests;
