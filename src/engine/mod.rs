//! The engine behind both fronts: it turns what happens into the module's [`Event`]s and carries out its
//! [`Action`]s. It decides nothing that the module decides, and knows no socket: what is to be done on
//! sockets comes out as [`Effect`]s.

mod answers;
mod attempts;
mod effects;
pub mod executor;
mod intake;
mod membership;
mod metrics;
mod upstream;

pub use effects::{Effect, NextWrite};

use crate::clock::{micros_from_ms, ms_from_micros, Clock};
use crate::purge::age_limit::AgeLimiter;
use crate::settings::PlatformSettings;
use crate::state::attempts::{Attempt, Attempts, Stage};
use crate::state::connections::{ConnectionLimits, Connections};
use crate::state::counters::{Counters, CountersByClass};
use crate::state::deadlines::Deadlines;
use crate::state::maintenance::Maintenance;
use crate::state::membership::Membership;
use crate::state::requests::{FinalResponse, Requests};
use crate::{Action, AttemptOutcome, Event, Router};
use std::collections::VecDeque;
use std::rc::Rc;

/// How often idle connections are looked for, in milliseconds.
const HOUSEKEEPING_MS: f64 = 1_000.0;

/// The bounds of what an engine holds.
#[derive(Clone, Copy, Debug)]
pub struct EngineLimits {
    /// Requests that owe an answer.
    pub requests: usize,
    /// Connections to endpoints.
    pub connections: ConnectionLimits,
}

/// The engine. See the module's page.
pub struct Engine {
    clock: Clock,
    settings: Rc<PlatformSettings>,
    router: Router,
    /// Counters of what passed.
    pub counters: Counters,
    class_counters: CountersByClass,
    requests: Requests,
    attempts: Attempts,
    connections: Connections,
    membership: Membership,
    maintenance: Maintenance,
    timers: Deadlines<u64>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    effects: VecDeque<Effect>,
    last_event_number: u64,
    housekept_ms: f64,
    /// Fleet purges, where they are on.
    purge: Option<AgeLimiter>,
    /// The list of endpoints comes from a registry: the bulletin's lists are not taken.
    registry: bool,
    /// How often the list of endpoints has changed.
    endpoint_list_changes: u64,
    /// Probes are shared duties: their results come by [`Self::report_health_check`].
    health_checks_delegated: bool,
}

impl Engine {
    /// An engine that knows its settings and no endpoint yet.
    pub fn new(clock: Clock, settings: Rc<PlatformSettings>, seed: u64, bounds: EngineLimits) -> Self {
        let router = Router::new(settings.policy_settings(), seed);
        Self {
            housekept_ms: clock.now(),
            clock,
            settings,
            router,
            counters: Counters::default(),
            class_counters: CountersByClass::default(),
            requests: Requests::new(bounds.requests),
            attempts: Attempts::default(),
            connections: Connections::new(bounds.connections),
            membership: Membership::default(),
            maintenance: Maintenance::default(),
            timers: Deadlines::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            effects: VecDeque::new(),
            last_event_number: 0,
            purge: None,
            registry: false,
            endpoint_list_changes: 0,
            health_checks_delegated: false,
        }
    }

    /// Turns fleet purges on: from now on they limit the age of every attempt, and every answer is checked.
    pub fn set_age_limiter(&mut self, limiter: AgeLimiter) -> &mut AgeLimiter {
        self.purge.insert(limiter)
    }

    /// The age limiter of fleet purges, where they are on.
    pub fn age_limiter(&mut self) -> Option<&mut AgeLimiter> {
        self.purge.as_mut()
    }

    /// What is to be done on sockets, in order.
    pub fn take_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The settings as they are by now.
    pub fn settings(&self) -> Rc<PlatformSettings> {
        self.settings.clone()
    }

    /// Takes other settings. Requests under way keep their class.
    pub fn reconfigure(&mut self, fresh: PlatformSettings) {
        self.settings = Rc::new(fresh.carrying_over(&self.settings, |class| self.requests.uses_class(class)));
        self.router.reconfigure(self.settings.policy_settings());
        self.connections.set_stream_limit(self.settings.streams_per_connection());
        let targets = self.membership.all_listed().cloned().collect();
        self.update_endpoints(true, targets);
    }

    /// How many requests owe an answer.
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
        // Guards the rule that each request is answered in time, should the module ever forget one.
        while let Some(id) = self.requests.pop_overdue(now) {
            self.counters.overdue += 1;
            self.respond(id, FinalResponse::Failed { overdue: true });
            self.events.push_back(Event::ClientDisconnected { id });
            self.process_events();
        }
        if now >= self.housekept_ms + HOUSEKEEPING_MS {
            self.housekept_ms = now;
            self.close_idle_connections(now);
        }
    }

    /// When there is something to do next.
    pub fn next_due(&mut self) -> f64 {
        let tidy = self.housekept_ms + HOUSEKEEPING_MS;
        let attempt = self.attempts.next_due().unwrap_or(f64::INFINITY);
        let timer = self.timers.next_due(|_, _| true).unwrap_or(f64::INFINITY);
        let request = self.requests.next_due().unwrap_or(f64::INFINITY);
        tidy.min(attempt).min(timer).min(request)
    }

    /// Hands the module all that happened, and carries out what it wants, until there is nothing more.
    fn process_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = micros_from_ms(self.clock.now());
            self.router.handle(now, &event, &mut actions);
            // What a replay of a day counts over all proxies; off unless `CALICOBEAM_LOG` asks for this target.
            tracing::trace!(target: "decisions", now, ?event, ?actions);
            actions.drain(..).for_each(|action| self.apply_action(action));
            self.actions = actions;
        }
    }

    /// Carries out one of the module's actions: on the state here, or as an effect.
    fn apply_action(&mut self, action: Action) {
        let now = self.clock.now();
        match action {
            Action::Forward {
                id,
                to,
                source,
                join_fill: join,
                only_if_cached,
                revalidate,
                max_age,
                retention_rank: keep,
                timeout,
                first_byte_by,
            } => {
                let Some(number) = self.requests.next_attempt_number(id) else { return };
                self.counters.attempts += 1;
                let (max_age_ms, due_ms) = (ms_from_micros(max_age), now + ms_from_micros(timeout));
                let first_byte_by_ms = ms_from_micros(first_byte_by);
                let source = source.filter(|s| *s != to);
                let (conn, stage, sent_ms, moves) = (0, Stage::Queued, now, 0);
                let id_text = self.requests.get(id).map(|ask| ask.id_text.clone()).unwrap_or_default();
                #[rustfmt::skip]
                let attempt = Attempt {
                    id_text, to, source, join_fill: join, only_if_cached, revalidate, max_age_ms, retention_rank: keep, sent_ms, due_ms, first_byte_by_ms,
                    conn, stage, migrations: moves,
                };
                self.place_attempt(now, (id, number), attempt);
            }
            Action::Reject { id, retry_after: wait } => {
                let overdue = self.is_overdue(now, id);
                self.respond(id, FinalResponse::Rejected { retry_after_ms: ms_from_micros(wait), overdue });
            }
            Action::Fail { id } => {
                let overdue = self.is_overdue(now, id);
                self.respond(id, FinalResponse::Failed { overdue });
            }
            Action::Cancel { id, attempt } => {
                let id = (id, attempt);
                if self.attempts.get(id).is_some() {
                    self.counters.attempts_cancelled += 1;
                    self.detach_attempt(id, true);
                    self.end_attempt(id, AttemptOutcome::Cancelled);
                }
            }
            Action::SetTimer { token, at } => self.timers.push(ms_from_micros(at), token),
            // Probes are not allowed on this platform, and its PING tells only that a connection works.
            Action::CheckHealth { .. } if self.health_checks_delegated => {}
            Action::CheckHealth { endpoint } => {
                self.events.push_back(Event::HealthChecked { endpoint, outcome: AttemptOutcome::NotSent });
            }
            // The bulletin tells all changes unasked.
            Action::Watch => {}
        }
    }
}
