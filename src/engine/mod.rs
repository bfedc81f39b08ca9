//! The engine behind all fronts: it turns what happens into [`Event`]s of the decision module and carries out
//! its [`Action`]s. It makes no decision itself, and knows no socket: what is to be done on sockets comes out
//! as [`Effect`]s.
//!
//! `requests` accepts requests; `attempts` and `connections` carry attempts to endpoints; `replies` handles
//! what comes back; `membership` applies the list of endpoints; `executor` carries out the effects.

mod attempts;
mod connections;
mod effects;
pub mod executor;
mod membership;
mod metrics;
pub mod purge_filter;
mod replies;
mod requests;

pub use effects::{Effect, NextWrite};
pub use membership::{CopyHolder, EndpointOfKind};

use crate::clock::{micros_from_ms, ms_from_micros, Clock};
use crate::settings::PlatformSettings;
use crate::state::attempts::Attempts;
use crate::state::connections::{ConnectionLimits, Connections};
use crate::state::counters::{Counters, CountersByClass};
use crate::state::deadlines::Deadlines;
use crate::state::ids::AttemptId;
use crate::state::maintenance::Maintenance;
use crate::state::membership::Membership;
use crate::state::requests::{FinalResponse, Requests};
use crate::{Action, AttemptOutcome, Event, Router};
use attempts::AttemptOrder;
use purge_filter::PurgeFilter;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Interval of housekeeping, in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: f64 = 1_000.0;

/// Limits on what an engine holds.
#[derive(Clone, Copy, Debug)]
pub struct EngineLimits {
    /// Open requests.
    pub requests: usize,
    /// Connections to endpoints.
    pub connections: ConnectionLimits,
}

/// The engine. See the module's page.
pub struct Engine {
    clock: Clock,
    settings: Rc<PlatformSettings>,
    router: Router,
    /// Counters of the whole proxy.
    pub counters: Counters,
    class_counters: CountersByClass,
    requests: Requests,
    attempts: Attempts,
    connections: Connections,
    membership: Membership,
    maintenance: Maintenance,
    /// Timers of the decision module, by token.
    timers: Deadlines<u64>,
    /// Events that the decision module has not got yet.
    events: VecDeque<Event>,
    /// An empty list of actions, kept for its allocation.
    actions: Vec<Action>,
    effects: VecDeque<Effect>,
    last_event_number: u64,
    /// When housekeeping was last done, in Unix milliseconds.
    housekept_ms: f64,
    /// Fleet purges, where they are on.
    purge_filter: Option<Rc<RefCell<dyn PurgeFilter>>>,
    /// A registry publishes the list of endpoints: the discovery service's lists are ignored.
    registry: bool,
    endpoint_list_changes: u64,
    health_checks_delegated: bool,
}

impl Engine {
    /// An engine that knows its settings and no endpoint.
    pub fn new(clock: Clock, settings: Rc<PlatformSettings>, seed: u64, limits: EngineLimits) -> Self {
        Self {
            housekept_ms: clock.now(),
            clock,
            router: Router::new(settings.policy_settings(), seed),
            settings,
            counters: Counters::default(),
            class_counters: CountersByClass::default(),
            requests: Requests::new(limits.requests),
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
            registry: false,
            endpoint_list_changes: 0,
            health_checks_delegated: false,
        }
    }

    /// Turns fleet purges on: from now on the filter limits the age of every attempt and checks every reply.
    pub fn set_purge_filter(&mut self, filter: Rc<RefCell<dyn PurgeFilter>>) {
        self.purge_filter = Some(filter);
    }

    /// Takes the next effect, in order.
    pub fn take_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The present settings.
    pub fn settings(&self) -> Rc<PlatformSettings> {
        self.settings.clone()
    }

    /// Replaces the settings. Open requests keep their class.
    pub fn reconfigure(&mut self, settings: PlatformSettings) {
        let in_use = |class| self.requests.uses_class(class);
        self.settings = Rc::new(settings.with_class_indexes_of(&self.settings, in_use));
        self.router.reconfigure(self.settings.policy_settings());
        self.connections.set_stream_limit(self.settings.streams_per_connection());
        let listed = self.membership.all_listed().cloned().collect();
        self.update_endpoints(true, listed);
    }

    /// How many requests are owed a response.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Does what is due by now.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        while let Some(id) = self.attempts.pop_overdue(now) {
            self.expire_attempt(now, id);
            self.process_events();
        }
        while let Some(token) = self.timers.pop_due(now, |_, _| true) {
            self.events.push_back(Event::Timer { token });
            self.process_events();
        }
        // The decision module concludes every request in time; this holds even if it should not.
        while let Some(id) = self.requests.pop_overdue(now) {
            self.counters.overdue += 1;
            self.respond(id, FinalResponse::Failed { overdue: true });
            self.events.push_back(Event::ClientDisconnected { id });
            self.process_events();
        }
        if now >= self.housekept_ms + HOUSEKEEPING_INTERVAL_MS {
            self.housekept_ms = now;
            self.maintenance.forget_old_returns(now);
            self.close_idle_connections(now);
        }
    }

    /// When [`Self::tick`] is due next, in Unix milliseconds.
    pub fn next_due(&mut self) -> f64 {
        let housekeeping = self.housekept_ms + HOUSEKEEPING_INTERVAL_MS;
        let attempt = self.attempts.next_due().unwrap_or(f64::INFINITY);
        let timer = self.timers.next_due(|_, _| true).unwrap_or(f64::INFINITY);
        let request = self.requests.next_due().unwrap_or(f64::INFINITY);
        housekeeping.min(attempt).min(timer).min(request)
    }

    /// Passes all events to the decision module and carries out its actions, until there is no event left.
    fn process_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = micros_from_ms(self.clock.now());
            self.router.handle(now, &event, &mut actions);
            // For replays of a day's decisions; off unless the log's filter names this target.
            tracing::trace!(target: "decisions", now, ?event, ?actions);
            actions.drain(..).for_each(|action| self.apply_action(action));
            self.actions = actions;
        }
    }

    /// Carries out one action of the decision module: on the state, or as an effect.
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
                let order = AttemptOrder {
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
                self.start_attempt(now, id, order);
            }
            Action::Reject { id, retry_after } => {
                let overdue = self.is_overdue(now, id);
                let retry_after_ms = ms_from_micros(retry_after);
                self.respond(id, FinalResponse::Rejected { retry_after_ms, overdue });
            }
            Action::Fail { id } => {
                let overdue = self.is_overdue(now, id);
                self.respond(id, FinalResponse::Failed { overdue });
            }
            Action::Cancel { id, attempt } => {
                self.cancel_attempt(AttemptId { request: id, number: attempt });
            }
            Action::SetTimer { token, at } => self.timers.push(ms_from_micros(at), token),
            Action::CheckHealth { .. } if self.health_checks_delegated => {}
            // The platform has no health check of its own: its PING shows only that a connection works.
            Action::CheckHealth { endpoint } => {
                self.events.push_back(Event::HealthChecked { endpoint, outcome: AttemptOutcome::NotSent });
            }
            // The discovery service publishes all changes unasked.
            Action::Watch => {}
        }
    }
}
