//! The admin calls and the metrics of a virtual router. Paths, JSON keys and metric names that differ from
//! the identifiers in the code are kept for compatibility with existing tools.

use super::config::FrontKind;
use super::machine::State;
use super::router::{Peer, RouterMetrics, VirtualRouter};
use super::track::Tracker;
use crate::wire::http::{HttpRequest, HttpResponse};
use serde::Serialize;
use std::collections::BTreeMap;

const STATUS_PATH: &str = "/vrrp";
const STEP_DOWN_PATH: &str = "/vrrp/aside";
const RESUME_PATH: &str = "/vrrp/back";

/// Response body of the admin calls.
#[derive(Serialize)]
struct Status {
    vrid: u8,
    state: State,
    #[serde(rename = "since_ms")]
    state_since_ms: f64,
    priority: u8,
    #[serde(rename = "configured")]
    configured_priority: u8,
    #[serde(rename = "put_aside")]
    operator_step_down: bool,
    #[serde(rename = "could_not_serve")]
    listener_step_down: bool,
    #[serde(rename = "preempts_from_ms")]
    no_preemption_until_ms: Option<f64>,
    #[serde(rename = "takeover_within_ms")]
    max_takeover_ms: f64,
    #[serde(rename = "serve")]
    listeners: Vec<ListenerStatus>,
    #[serde(rename = "track")]
    tracked_objects: Vec<TrackedObjectStatus>,
    peers: BTreeMap<String, Peer>,
    #[serde(rename = "figures")]
    metrics: RouterMetrics,
}

#[derive(Serialize)]
struct ListenerStatus {
    address: String,
    front: FrontKind,
    open: bool,
}

#[derive(Serialize)]
struct TrackedObjectStatus {
    #[serde(rename = "what")]
    object: String,
    value: Option<f64>,
    #[serde(rename = "bad")]
    failed: bool,
}

impl From<&Tracker> for TrackedObjectStatus {
    fn from(tracker: &Tracker) -> Self {
        let object = tracker.rule().object.to_string();
        Self { object, value: tracker.value(), failed: tracker.is_failed() }
    }
}

impl VirtualRouter {
    /// Handles the admin calls `GET /vrrp`, `POST /vrrp/aside` and `POST /vrrp/back`. Returns `None` for
    /// other paths.
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let method = match request.target.as_str() {
            STATUS_PATH => "GET",
            STEP_DOWN_PATH | RESUME_PATH => "POST",
            _ => return None,
        };
        if request.method != method {
            return Some(HttpResponse::status(405).with_header("Allow", method));
        }
        match request.target.as_str() {
            STEP_DOWN_PATH => self.step_down(),
            RESUME_PATH => self.resume(),
            _ => {}
        }
        let body = simd_json::to_vec(&self.status()).unwrap_or_default();
        let response = HttpResponse { body: body.into(), ..HttpResponse::status(200) };
        Some(response.with_header("Content-Type", "application/json"))
    }

    fn status(&self) -> Status {
        let (now, machine) = (self.executor.clock.now(), self.machine.borrow());
        let settings = self.config.borrow().router_settings();
        let listeners = self.addresses.status().into_iter().map(|(config, open)| ListenerStatus {
            address: config.address,
            front: config.front,
            open,
        });
        let peers = self.peers.borrow();
        Status {
            vrid: settings.vrid,
            state: machine.state(),
            state_since_ms: self.state_since_ms.get(),
            priority: machine.priority(),
            configured_priority: settings.priority,
            operator_step_down: self.operator_step_down.get(),
            listener_step_down: self.addresses.must_step_down(now),
            no_preemption_until_ms: Some(machine.no_preemption_until_ms()).filter(|until| *until > now),
            max_takeover_ms: settings.takeover_ms(machine.priority()),
            listeners: listeners.collect(),
            tracked_objects: self.trackers.borrow().iter().map(TrackedObjectStatus::from).collect(),
            peers: peers.iter().map(|(address, peer)| (address.to_string(), *peer)).collect(),
            metrics: self.counters(),
        }
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let metrics = self.counters();
        let state = match self.state() {
            State::Initialize => 0,
            State::Backup => 1,
            State::Active => 2,
            State::Fault => 3,
        };
        let lines = [
            ("state", state),
            ("priority", u64::from(self.machine.borrow().priority())),
            ("became_active_total", metrics.became_active),
            ("gave_up_total", metrics.ceased_active),
            ("sent_total", metrics.sent),
            ("received_total", metrics.received),
            ("malformed_total", metrics.malformed),
            ("unsealed_total", metrics.unauthenticated),
            ("replayed_total", metrics.replayed),
            ("strangers_total", metrics.unknown_senders),
            ("mismatched_total", metrics.mismatched),
            ("splits_total", metrics.active_conflicts),
            ("open_failures_total", metrics.open_failures),
            ("asides_total", self.addresses.step_downs()),
        ];
        lines.iter().map(|(name, value)| format!("vrrp_{name} {value}\n")).collect()
    }
}
