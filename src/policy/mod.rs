//! The router's decision logic. Its settings, events and actions are defined in `interface.rs`.
//!
//! This file holds the router's state and dispatches each event to a submodule:
//!
//! - `endpoints`: the list of endpoints; `placement`: selection of cache, fill source and path;
//! - `attempts`: the life cycle of a request; `retries`: the retry budget and when a repeat is allowed;
//! - `outlier_detection`, `health_checks` and `slow_start`: which endpoints get new attempts, and how many;
//! - `classes`: request classes across changes of the settings;
//! - `latency`: timeouts of classes; `load`: load and capacity of caches; `attribution`: updates class
//!   latency, cache capacity, the origin fetch share and endpoint health from the outcomes of attempts;
//! - `load_shedding`: which requests are admitted; `freshness`: purges and the maximum age of copies;
//! - `shutdown`: the limit on deadlines while the process stops; `containment`: panics of a decision.

mod attempts;
mod attribution;
mod classes;
mod containment;
mod endpoints;
mod freshness;
mod health_checks;
mod latency;
mod load;
mod load_shedding;
mod outlier_detection;
mod pending_request;
mod placement;
mod retries;
mod shutdown;
mod slow_start;

use crate::interface::*;
use crate::stats::{AdaptiveShare, DecayingSum, RecentCounts, SeededRandom};
use classes::TrackedClasses;
use endpoints::TrackedEndpoint;
use freshness::Purges;
use pending_request::{EndedAttempt, FillScope, PendingRequest};
use placement::{MAX_COUNTED_OBJECTS, OBJECT_COUNT_SPAN};
use retries::INITIAL_RETRY_BUDGET;
use std::collections::{BTreeMap, HashMap};

/// Delay before a lost watch of the endpoint list is renewed, in microseconds.
const REWATCH_DELAY: Micros = 1_000_000;
/// Token of the timer that renews the watch.
const REWATCH_TIMER: u64 = 0;

/// Actions for the host, to be carried out in order.
type Actions = Vec<Action>;

/// The decision logic of one router. See the crate documentation for how to drive it.
pub struct Router {
    settings: PolicySettings,
    random: SeededRandom,
    /// The endpoints that may get attempts.
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    /// The weights of all parents ever listed, so that removing a parent does not move other parents'
    /// objects.
    parents: BTreeMap<EndpointId, f64>,
    requests: HashMap<RequestId, PendingRequest>,
    /// The latest deadline that a request may have; `Micros::MAX` until a shutdown.
    deadline_limit: Micros,
    /// A watch of the endpoint list has been requested.
    watching: bool,
    purges: Purges,
    /// Recent requests per object.
    object_counts: RecentCounts,
    classes: TrackedClasses,
    /// The number of retries that may still be sent.
    retry_budget: DecayingSum,
    /// Fraction of the objects that may be fetched from the origin.
    origin_fetch_share: AdaptiveShare<2>,
}

impl Router {
    /// Creates a router without endpoints. The seed determines all random draws.
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        Self {
            random: SeededRandom::new(seed),
            endpoints: BTreeMap::new(),
            parents: BTreeMap::new(),
            requests: HashMap::new(),
            deadline_limit: Micros::MAX,
            watching: false,
            purges: Purges::default(),
            object_counts: RecentCounts::new(OBJECT_COUNT_SPAN, MAX_COUNTED_OBJECTS),
            classes: TrackedClasses::new(&settings.classes),
            retry_budget: DecayingSum::starting_with(INITIAL_RETRY_BUDGET),
            origin_fetch_share: AdaptiveShare::default(),
            settings,
        }
    }

    /// Replaces the settings. Open requests keep the class under which they arrived, and an unchanged class
    /// keeps its latency estimate.
    pub fn reconfigure(&mut self, settings: PolicySettings) {
        self.classes.replace(&settings.classes);
        self.settings = settings;
    }

    /// Applies one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        match *event {
            Event::EndpointsChanged { full, ref entries } => {
                self.on_endpoints_changed(now, full, entries, actions);
            }
            Event::WatchLost => {
                actions.push(Action::SetTimer { token: REWATCH_TIMER, at: now + REWATCH_DELAY });
            }
            Event::Request { id, ref class, object, group, part, size_kb, deadline_at, repeatable_until } => {
                let request = PendingRequest {
                    class: self.classes.of(class),
                    object,
                    group,
                    part,
                    size_kb: size_kb.max(0.0),
                    deadline_at: deadline_at.min(self.deadline_limit),
                    repeatable_until,
                    attempts: Vec::new(),
                    fill_scope: FillScope::Origin,
                    concluded: false,
                };
                self.on_request(now, id, request, actions);
            }
            Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed, closed } => {
                let number = attempt as usize;
                let ended = EndedAttempt { request: id, number, outcome, cache_status, elapsed, closed };
                self.on_attempt_ended(now, &ended, actions);
            }
            Event::ResponseStarted { id, attempt } => self.on_response_started(id, attempt, actions),
            Event::ClientDisconnected { id } => self.conclude(id, actions),
            Event::DeadlinesLimited { at } => self.on_deadlines_limited(at),
            Event::Timer { token: REWATCH_TIMER } => actions.push(Action::Watch),
            Event::Timer { token } => self.on_recheck_due(token, actions),
            Event::HealthChecked { endpoint, outcome } => {
                self.on_health_checked(now, endpoint, outcome, actions);
            }
            Event::Purged { object, group, age } => self.on_purged(now, object, group, age),
        }
    }
}
