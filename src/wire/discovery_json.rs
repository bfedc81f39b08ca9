//! The events of the discovery stream as JSON, as the configuration and a registry's values hold them.

use crate::endpoint_list::{EndpointRecord, ListedEndpoint, Sequenced, WatchEvent};
use crate::text::{parse_endpoint_id, parse_hex16};
use crate::EndpointState;
use serde::Deserialize;

/// `known` of the configuration: the events of the start.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct InitialState {
    /// Number of the last of them.
    #[serde(default)]
    pub no: u64,
    /// The events.
    #[serde(default)]
    items: Vec<Item>,
}

#[derive(Clone, Debug, Deserialize)]
struct Item {
    no: u64,
    roster: Option<Listed>,
    recall: Option<Recall>,
}

#[derive(Clone, Debug, Deserialize)]
struct Listed {
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<EndpointJson>,
}

#[derive(Clone, Debug, Deserialize)]
struct Recall {
    item: Option<String>,
    lot: Option<u32>,
    issued: f64,
}

/// One endpoint as JSON, as the configuration's `known` and a registry's values word it:
/// `{"uid":"s-00c41f7a","endpoint":"10.1.0.9:5050","az":"east","model":"std","pod_group":2,"state":"Ready",
/// "capacity_hint":4,"boot_ms":0}`.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointJson {
    uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u32,
    state: String,
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: f64,
}

impl InitialState {
    /// The events, in order; else what is wrong with which of them.
    pub fn events(&self) -> Result<Vec<Sequenced>, String> {
        self.items.iter().map(|item| item.event().map_err(|e| format!("event {}: {e}", item.no))).collect()
    }
}

impl Item {
    fn event(&self) -> Result<Sequenced, String> {
        let event = match (&self.roster, &self.recall) {
            (Some(list), _) => {
                let endpoints = list.targets.iter().map(EndpointJson::target).collect::<Result<_, _>>()?;
                WatchEvent::Endpoints { full: list.all, endpoints }
            }
            (None, Some(recall)) => match (&recall.item, recall.lot) {
                (Some(item), _) => {
                    let object = parse_hex16(item).ok_or_else(|| format!("object {item:?}"))?;
                    WatchEvent::Purge { object: Some(object), group: 0, issued_ms: recall.issued }
                }
                (None, Some(lot)) => WatchEvent::Purge { object: None, group: lot, issued_ms: recall.issued },
                (None, None) => return Err("a purge of nothing".into()),
            },
            (None, None) => WatchEvent::Heartbeat,
        };
        Ok(Sequenced { number: self.no, event })
    }
}

impl EndpointJson {
    /// An endpoint from its JSON; what is wrong, where it can't be used.
    pub fn parse(bytes: &[u8]) -> Result<ListedEndpoint, String> {
        let mut bytes = bytes.to_vec();
        let line: EndpointJson = simd_json::from_slice(&mut bytes).map_err(|e| e.to_string())?;
        line.target()
    }

    /// The endpoint that it names.
    pub fn target(&self) -> Result<ListedEndpoint, String> {
        let id = parse_endpoint_id(&self.uid).ok_or_else(|| format!("uid {:?}", self.uid))?;
        let address = self.endpoint.parse().map_err(|_| format!("endpoint {:?}", self.endpoint))?;
        let state = match self.state.as_str() {
            "Ready" => EndpointState::Active,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            other => return Err(format!("state {other:?}")),
        };
        let record = EndpointRecord {
            id,
            zone: self.az.clone(),
            kind: self.model.clone(),
            state,
            started_at: crate::clock::micros_from_ms(self.boot_ms),
            capacity_hint: self.capacity_hint,
            cell: self.pod_group,
        };
        Ok(ListedEndpoint { record, address })
    }
}

#[cfg(test)]
mod tests;
