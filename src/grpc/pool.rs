//! A pool of backends with its own instance of the routing policy. No I/O.
//!
//! For the policy, the backends are endpoints of the cache tier whose responses are uncacheable. A virtual
//! origin endpoint stands for the dependencies that all backends share: errors that all of them return are
//! attributed to it, and no backend is ejected.

use super::call::CallOutcome;
use super::status::{Code, CODE_COUNT};
use crate::clock::{micros_from_ms, ms_from_micros};
use crate::engine::executor::Backend;
use crate::{Action, Endpoint, EndpointId, EndpointState, Event, Micros, PolicySettings, Router, Tier};
use std::collections::BTreeMap;

/// Id of the virtual origin endpoint, which no backend has.
pub const ORIGIN_ID: EndpointId = EndpointId::MAX;

/// The configuration of a pool.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// The pool's name.
    pub name: String,
    /// The policy settings, with one request class per route.
    pub settings: PolicySettings,
}

/// Counters of a pool since process start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Ended calls, indexed by [`CallOutcome`].
    pub outcomes: [u64; 4],
    /// Ended calls, indexed by status code.
    pub codes: [u64; CODE_COUNT],
    /// Attempts started.
    pub attempts: u64,
    /// Attempts other than the first one of a call.
    pub retries: u64,
    /// Attempts that were started but not sent, because their backend began to drain, their time was over or
    /// the connection accepted no more streams.
    pub not_sent: u64,
    /// Calls that failed after their response headers were sent.
    pub failed_after_data: u64,
    /// Calls whose route has a shorter deadline than the client's timeout.
    pub deadlines_shortened: u64,
    /// Decisions that panicked.
    pub panics: u64,
}

impl PoolCounters {
    /// Counts a call that has ended.
    pub fn count(&mut self, outcome: CallOutcome, code: Code) {
        self.outcomes[outcome as usize] += 1;
        self.codes[usize::from(code.number())] += 1;
    }
}

/// The decision to start an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardDecision {
    /// The backend's id.
    pub to: EndpointId,
    /// The attempt's timeout, in milliseconds.
    pub timeout_ms: f64,
    /// The time before which its first byte must be sent, in Unix milliseconds; infinite for no limit.
    pub first_byte_by_ms: f64,
}

/// The policy's decision about a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Start an attempt.
    Forward(ForwardDecision),
    /// Reject the call.
    Reject {
        /// The retry pushback, in milliseconds (0 for none).
        retry_after_ms: f64,
    },
    /// Fail the call.
    Fail,
}

/// A pool of backends.
pub struct Pool {
    name: String,
    router: Router,
    backends: BTreeMap<EndpointId, Backend>,
    /// Counters of the pool's calls.
    pub counters: PoolCounters,
    actions: Vec<Action>,
}

impl Pool {
    /// Creates a pool without backends.
    pub fn new(spec: PoolSpec, seed: u64) -> Self {
        Self {
            name: spec.name,
            router: Router::new(spec.settings, seed),
            backends: BTreeMap::new(),
            counters: PoolCounters::default(),
            actions: Vec::new(),
        }
    }

    /// The pool's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Replaces the policy settings.
    pub fn reconfigure(&mut self, settings: PolicySettings) {
        self.router.reconfigure(settings);
    }

    /// Replaces the backends. Backends that are draining or absent get no new attempts.
    pub fn set_backends(&mut self, now: f64, backends: &[Backend]) {
        self.backends = backends.iter().map(|backend| (backend.id, backend.clone())).collect();
        let mut entries: Vec<Endpoint> = self.backends.values().map(backend_endpoint).collect();
        entries.push(endpoint(ORIGIN_ID, Tier::Origin, EndpointState::Active, 1.0));
        let event = Event::EndpointsChanged { full: true, entries };
        self.handle(now, &event);
        self.actions.clear();
    }

    /// Finds a backend by its id.
    pub fn backend(&self, id: EndpointId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// The current backends.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// The number of live backends, which accept new calls.
    pub fn active_backends(&self) -> usize {
        self.backends.values().filter(|backend| backend.live).count()
    }

    /// The number of backends that the policy has ejected.
    pub fn ejected_backends(&self, now: f64) -> usize {
        self.router.ejected_caches(micros_from_ms(now))
    }

    /// Passes an event to the policy. If its decision panics, only the event's call fails.
    fn handle(&mut self, now: f64, event: &Event) {
        let handled = self.router.handle_contained(micros_from_ms(now), event, &mut self.actions);
        if handled.is_err() {
            self.counters.panics += 1;
            tracing::error!(pool = self.name, call = event.request_id(), "a decision panicked");
        }
    }

    /// Passes an event to the policy and returns its decision about the call `id`, if any.
    pub fn decide(&mut self, now: f64, id: u64, event: &Event) -> Option<Decision> {
        self.handle(now, event);
        let mut decisions = self.actions.drain(..).filter_map(|action| decision_for(id, action));
        decisions.next_back()
    }
}

/// Extracts the decision about the call `id` from an action. All other actions are ignored: attempts are
/// cancelled by their driver, and health checks and watches are disabled in the settings.
fn decision_for(id: u64, action: Action) -> Option<Decision> {
    match action {
        Action::Forward { id: call, to, timeout, first_byte_by, .. } if call == id => {
            let has_limit = first_byte_by != Micros::MAX;
            Some(Decision::Forward(ForwardDecision {
                to,
                timeout_ms: ms_from_micros(timeout),
                first_byte_by_ms: if has_limit { ms_from_micros(first_byte_by) } else { f64::INFINITY },
            }))
        }
        Action::Reject { id: call, retry_after, .. } if call == id => {
            Some(Decision::Reject { retry_after_ms: ms_from_micros(retry_after) })
        }
        Action::Fail { id: call, .. } if call == id => Some(Decision::Fail),
        _ => None,
    }
}

/// The policy's endpoint for a backend.
fn backend_endpoint(backend: &Backend) -> Endpoint {
    let state = if backend.live { EndpointState::Active } else { EndpointState::Draining };
    endpoint(backend.id, Tier::Cache, state, backend.weight)
}

/// An endpoint in zone 0 that started at time 0, so its slow start is over.
fn endpoint(id: EndpointId, tier: Tier, state: EndpointState, weight: f64) -> Endpoint {
    Endpoint { id, tier, state, started_at: 0, weight, zone: 0, cell: 0 }
}

#[cfg(test)]
mod tests;
