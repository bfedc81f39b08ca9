//! The engine shared by all fronts: it passes [`Event`]s to the [`Router`], which makes the decisions, and
//! carries out the [`Action`]s that the router returns. It does no I/O: it returns the operations on sockets
//! as [`Effect`]s.
//!
//! `requests` accepts requests; `containment` limits a panic to the request that caused it; `attempts` and `connections` send attempts to endpoints; `replies` handles
//! their replies; `membership` applies endpoint lists; `executor` carries out the effects.

mod attempts;
mod connections;
mod containment;
mod effects;
pub mod executor;
mod membership;
mod metrics;
pub mod purge_filter;
mod replies;
mod requests;

pub use effects::{Effect, NextWrite};
pub use membership::{CacheServer, EndpointSummary};

use crate::clock::{micros_from_ms, ms_from_micros, Clock};
use crate::settings::PlatformSettings;
use crate::state::attempts::Attempts;
use crate::state::connections::{ConnectionLimits, Connections};
use crate::state::counters::{Counters, CountersByClass, CountersByReason};
use crate::state::deadlines::Deadlines;
use crate::state::ids::AttemptId;
use crate::state::maintenance::Maintenance;
use crate::state::membership::Membership;
use crate::state::recent_writes::{RecentWrites, SharedWrites};
use crate::state::requests::{FinalResponse, Requests};
use crate::{Action, AttemptOutcome, EndReason, Event, Micros, Router};
use attempts::AttemptParams;
use purge_filter::PurgeFilter;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Interval at which idle connections are closed and expired maintenance calls dropped, in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: f64 = 1_000.0;

/// Limits on the state of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineLimits {
    /// Maximum number of open requests.
    pub requests: usize,
    /// Limits on connections to endpoints.
    pub connections: ConnectionLimits,
}

/// Drives a [`Router`]: holds the state of requests, attempts and connections, and queues effects for the
/// executor.
pub struct Engine {
    clock: Clock,
    settings: Rc<PlatformSettings>,
    router: Router,
    /// Counters of the whole proxy.
    pub counters: Counters,
    class_counters: CountersByClass,
    /// Requests that ended without a response of an endpoint, by reason.
    end_reasons: CountersByReason,
    requests: Requests,
    /// Ids of requests that may have run and are not idempotent by themselves.
    recent_writes: RecentWrites,
    attempts: Attempts,
    connections: Connections,
    membership: Membership,
    maintenance: Maintenance,
    /// Timers that the router has set, by token.
    timers: Deadlines<u64>,
    /// Events that have not been passed to the router yet.
    events: VecDeque<Event>,
    /// Buffer for the router's actions, empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
    effects: VecDeque<Effect>,
    last_event_number: u64,
    /// Time of the last housekeeping, in Unix milliseconds.
    last_housekeeping_ms: f64,
    /// The filter for fleet purges, if they are enabled.
    purge_filter: Option<Rc<RefCell<dyn PurgeFilter>>>,
    /// A registry publishes the endpoint list, so the lists of the discovery service are ignored.
    uses_registry: bool,
    endpoint_list_changes: u64,
    /// No request has a deadline after this time, in Unix milliseconds; infinite until a shutdown.
    deadline_limit_ms: f64,
    /// The fleet's shared health checks replace those that the router requests.
    health_checks_delegated: bool,
}

impl Engine {
    /// Creates an engine without endpoints.
    pub fn new(clock: Clock, settings: Rc<PlatformSettings>, seed: u64, limits: EngineLimits) -> Self {
        Self {
            last_housekeeping_ms: clock.now(),
            clock,
            router: Router::new(settings.policy_settings(), seed),
            settings,
            counters: Counters::default(),
            class_counters: CountersByClass::default(),
            end_reasons: CountersByReason::default(),
            requests: Requests::new(limits.requests),
            recent_writes: RecentWrites::default(),
            attempts: Attempts::default(),
            connections: Connections::new(limits.connections),
            membership: Membership::default(),
            maintenance: Maintenance::default(),
            timers: Deadlines::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            effects: VecDeque::new(),
            last_event_number: 0,
            purge_filter: None,
            uses_registry: false,
            endpoint_list_changes: 0,
            deadline_limit_ms: f64::INFINITY,
            health_checks_delegated: false,
        }
    }

    /// Enables fleet purges: from now on the filter limits the age of copies and checks all replies to reads.
    pub fn set_purge_filter(&mut self, filter: Rc<RefCell<dyn PurgeFilter>>) {
        self.purge_filter = Some(filter);
    }

    /// Shares recent writes with the other process of an upgrade.
    pub fn set_shared_writes(&mut self, shared_writes: Box<dyn SharedWrites>) {
        self.recent_writes.share_with(shared_writes);
    }

    /// Removes the next effect from the queue.
    pub fn take_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The current settings.
    pub fn settings(&self) -> Rc<PlatformSettings> {
        self.settings.clone()
    }

    /// Replaces the settings. All requests that have arrived keep their classes.
    pub fn reconfigure(&mut self, settings: PlatformSettings) {
        self.settings = Rc::new(settings.sharing_classes_with(&self.settings));
        self.router.reconfigure(self.settings.policy_settings());
        self.connections.set_stream_limit(self.settings.streams_per_connection());
        let listed = self.membership.all_listed().cloned().collect();
        self.update_endpoints(true, listed);
    }

    /// The number of requests without a final response.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Handles expired attempts, timers and requests, and does the housekeeping that is due.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        while let Some(id) = self.attempts.pop_overdue(now) {
            self.contain(id.request, |engine| engine.expire_attempt(now, id));
            self.process_events();
        }
        while let Some(token) = self.timers.pop_due(now, |_, _| true) {
            self.events.push_back(Event::Timer { token });
            self.process_events();
        }
        // The router ends every request in time; this is a safeguard in case it fails to.
        while let Some(id) = self.requests.pop_overdue(now) {
            self.counters.overdue += 1;
            self.end_request(id, FinalResponse::Failed { overdue: true }, EndReason::DeadlineReached);
            // The router must drop the request and cancel its attempts, as after a disconnect.
            self.events.push_back(Event::ClientDisconnected { id });
            self.process_events();
        }
        if now >= self.last_housekeeping_ms + HOUSEKEEPING_INTERVAL_MS {
            self.last_housekeeping_ms = now;
            self.maintenance.drop_expired_calls(now);
            self.close_idle_connections(now);
        }
    }

    /// When [`Self::tick`] is due next, in Unix milliseconds.
    pub fn next_due(&mut self) -> f64 {
        let housekeeping = self.last_housekeeping_ms + HOUSEKEEPING_INTERVAL_MS;
        let attempt = self.attempts.next_due().unwrap_or(f64::INFINITY);
        let timer = self.timers.next_due(|_, _| true).unwrap_or(f64::INFINITY);
        let request = self.requests.next_due().unwrap_or(f64::INFINITY);
        housekeeping.min(attempt).min(timer).min(request)
    }

    /// Passes events to the router and carries out its actions, until no event is left.
    fn process_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = micros_from_ms(self.clock.now());
            if self.router.handle_contained(now, &event, &mut actions).is_err() {
                self.count_panic(event.request_id());
            }
            // For replays of the router's decisions; off unless the log filter names this target.
            tracing::trace!(target: "decisions", now, ?event, ?actions);
            actions.drain(..).for_each(|action| self.apply_action_contained(action));
            self.actions = actions;
        }
    }

    /// Carries out an action of the router.
    fn apply_action(&mut self, action: Action) {
        let now = self.clock.now();
        match action {
            Action::Forward {
                id,
                to,
                source,
                join_fill,
                only_if_cached,
                revalidate,
                max_age,
                retention_rank,
                timeout,
                first_byte_by,
            } => {
                let params = AttemptParams {
                    to,
                    source,
                    join_fill,
                    only_if_cached,
                    revalidate,
                    max_age,
                    retention_rank,
                    timeout,
                    first_byte_by,
                };
                self.start_attempt(now, id, params);
            }
            Action::Reject { id, retry_after, repeatable_until, reason } => {
                let overdue = self.is_overdue(now, id);
                let retry_after_ms = ms_from_micros(retry_after);
                let has_limit = repeatable_until != Micros::MAX;
                let repeatable_until_ms = has_limit.then(|| ms_from_micros(repeatable_until));
                let response = FinalResponse::Rejected { repeatable_until_ms, retry_after_ms, overdue };
                self.end_request(id, response, reason);
            }
            Action::Fail { id, reason } => {
                let overdue = self.is_overdue(now, id);
                self.end_request(id, FinalResponse::Failed { overdue }, reason);
            }
            Action::Cancel { id, attempt } => {
                self.cancel_attempt(AttemptId { request: id, number: attempt });
            }
            Action::SetTimer { token, at } => self.timers.push(ms_from_micros(at), token),
            Action::CheckHealth { .. } if self.health_checks_delegated => {}
            // The platform's protocol has no health check: its PING only shows that a connection works.
            Action::CheckHealth { endpoint } => {
                self.events.push_back(Event::HealthChecked { endpoint, outcome: AttemptOutcome::NotSent });
            }
            // The discovery service publishes all changes without a request.
            Action::Watch => {}
        }
    }
}
