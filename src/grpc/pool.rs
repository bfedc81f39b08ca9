//! A pool of backends behind a decision module of its own. No I/O.
//!
//! The backends are the module's caches, and nothing is cached. An endpoint that stands for what lies behind all backends is
//! its origin, so that errors that all backends return are attributed to that and eject no backend.

use super::call::CallOutcome;
use super::status::{Code, CODES};
use crate::clock::{micros_from_ms, ms_from_micros};
use crate::engine::executor::Backend;
use crate::{Action, Endpoint, EndpointId, EndpointState, Event, PolicySettings, Router, Tier};
use std::collections::BTreeMap;

/// The endpoint that stands for what lies behind every backend.
pub const ORIGIN_ID: EndpointId = EndpointId::MAX;

/// The configuration of a pool.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// Its name.
    pub name: String,
    /// The decision module's settings, with one request class for each route.
    pub settings: PolicySettings,
}

/// Counters of a pool since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Calls by [`CallOutcome`], in its order.
    pub outcomes: [u64; 4],
    /// Calls by the status that their client got.
    pub codes: [u64; CODES],
    /// Attempts made.
    pub attempts: u64,
    /// Attempts after the first one of their call.
    pub retries: u64,
    /// Attempts not sent, since their backend began to drain or their time was over while they waited.
    pub stale: u64,
    /// Calls that failed by a status in their trailers after their response had begun.
    pub failed_after_data: u64,
    /// Calls whose deadline was the proxy's own, shorter than their client's.
    pub shortened: u64,
}

impl PoolCounters {
    /// Counts a call that has ended.
    pub fn count(&mut self, outcome: CallOutcome, code: Code) {
        self.outcomes[outcome as usize] += 1;
        self.codes[usize::from(code.number())] += 1;
    }
}

/// What the decision module wants of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Make an attempt at a backend.
    Forward {
        /// The backend.
        to: EndpointId,
        /// The attempt's time-out, in milliseconds.
        timeout_ms: f64,
    },
    /// Reject the call.
    Reject {
        /// The retry pushback, in milliseconds; 0 for none.
        retry_after_ms: f64,
    },
    /// Fail the call.
    Fail,
}

/// A pool with its decision module.
pub struct Pool {
    name: String,
    router: Router,
    backends: BTreeMap<EndpointId, Backend>,
    /// Counters of its calls.
    pub counters: PoolCounters,
    actions: Vec<Action>,
}

impl Pool {
    /// A pool without backends.
    pub fn new(spec: PoolSpec, seed: u64) -> Self {
        Self {
            name: spec.name,
            router: Router::new(spec.settings, seed),
            backends: BTreeMap::new(),
            counters: PoolCounters::default(),
            actions: Vec::new(),
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Replaces the decision module's settings.
    pub fn reconfigure(&mut self, settings: PolicySettings) {
        self.router.reconfigure(settings);
    }

    /// Replaces the list of backends. No new attempt goes to one that is draining or absent.
    pub fn set_backends(&mut self, now: f64, backends: &[Backend]) {
        self.backends = backends.iter().map(|backend| (backend.id, backend.clone())).collect();
        let mut entries: Vec<Endpoint> = self.backends.values().map(backend_endpoint).collect();
        entries.push(endpoint(ORIGIN_ID, Tier::Origin, EndpointState::Active, 1.0));
        let event = Event::EndpointsChanged { full: true, entries };
        self.router.handle(micros_from_ms(now), &event, &mut self.actions);
        self.actions.clear();
    }

    /// A backend by its id.
    pub fn backend(&self, id: EndpointId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// All backends as last listed.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// How many backends accept new calls.
    pub fn active_backends(&self) -> usize {
        self.backends.values().filter(|backend| backend.live).count()
    }

    /// How many backends the decision module avoids though they accept new calls.
    pub fn avoided_backends(&self, now: f64) -> usize {
        self.router.ejected_caches(micros_from_ms(now))
    }

    /// Hands the decision module an event, and returns what it wants of the call `id`.
    pub fn decide(&mut self, now: f64, id: u64, event: &Event) -> Option<Decision> {
        self.router.handle(micros_from_ms(now), event, &mut self.actions);
        let mut decisions = self.actions.drain(..).filter_map(|action| decision_about(id, action));
        decisions.next_back()
    }
}

/// The decision about the call `id` that an action holds. Attempts are cancelled by their driver, and health checks and
/// watches are turned off, so that the other actions mean nothing here.
fn decision_about(id: u64, action: Action) -> Option<Decision> {
    match action {
        Action::Forward { id: of, to, timeout, .. } if of == id => {
            Some(Decision::Forward { to, timeout_ms: ms_from_micros(timeout) })
        }
        Action::Reject { id: of, retry_after } if of == id => {
            Some(Decision::Reject { retry_after_ms: ms_from_micros(retry_after) })
        }
        Action::Fail { id: of } if of == id => Some(Decision::Fail),
        _ => None,
    }
}

/// A backend as the decision module's list has it.
fn backend_endpoint(backend: &Backend) -> Endpoint {
    let state = if backend.live { EndpointState::Active } else { EndpointState::Draining };
    endpoint(backend.id, Tier::Cache, state, backend.weight)
}

/// An entry of the decision module's list: warm since long ago, in the only zone.
fn endpoint(id: EndpointId, tier: Tier, state: EndpointState, weight: f64) -> Endpoint {
    Endpoint { id, tier, state, started_at: 0, weight, zone: 0, cell: 0 }
}
