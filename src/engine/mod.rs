//! The engine behind both fronts: it turns what happens into the module's [`Event`]s and carries out its
//! [`Action`]s. It decides nothing that the module decides, and knows no socket: what is to be done on
//! sockets comes out as [`Effect`]s.

mod answers;
mod attempts;
mod effects;
pub mod executor;
mod figures;
mod intake;
mod membership;
mod upstream;

pub use effects::{Effect, Next};

use crate::clock::{micros_from_ms, ms_from_micros, Clock};
use crate::purge::age_limit::AgeLimiter;
use crate::settings::PlatformSettings;
use crate::state::attempts::{Attempt, Attempts, Stage};
use crate::state::connections::{Bounds, Connections};
use crate::state::counters::{Counters, CountersByClass};
use crate::state::deadlines::Deadlines;
use crate::state::maintenance::Maintenance;
use crate::state::membership::Roster;
use crate::state::requests::{FinalResponse, Requests};
use crate::{Action, AttemptOutcome, Event, Router};
use std::collections::VecDeque;
use std::rc::Rc;

/// How often idle connections are looked for, in milliseconds.
const HOUSEKEEPING_MS: f64 = 1_000.0;

/// The bounds of what an engine holds.
#[derive(Clone, Copy, Debug)]
pub struct EngineBounds {
    /// Requests that owe an answer.
    pub requests: usize,
    /// Connections to endpoints.
    pub connections: Bounds,
}

/// The engine. See the module's page.
pub struct Engine {
    clock: Clock,
    env: Rc<PlatformSettings>,
    router: Router,
    /// Counters of what passed.
    pub counters: Counters,
    tallies: CountersByClass,
    requests: Requests,
    attempts: Attempts,
    connections: Connections,
    roster: Roster,
    maintenance: Maintenance,
    timers: Deadlines<u64>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    effects: VecDeque<Effect>,
    last_no: u64,
    tidied_ms: f64,
    /// Fleet purges, where they are on.
    purge: Option<AgeLimiter>,
    /// The list of endpoints comes from a registry: the bulletin's lists are not taken.
    registry: bool,
    /// How often the list of endpoints has changed.
    roster_changes: u64,
    /// Probes are shared duties: their results come by [`Self::probed`].
    probed: bool,
}

impl Engine {
    /// An engine that knows its settings and no endpoint yet.
    pub fn new(clock: Clock, env: Rc<PlatformSettings>, seed: u64, bounds: EngineBounds) -> Self {
        let router = Router::new(env.settings(), seed);
        Self {
            tidied_ms: clock.now(),
            clock,
            env,
            router,
            counters: Counters::default(),
            tallies: CountersByClass::default(),
            requests: Requests::new(bounds.requests),
            attempts: Attempts::default(),
            connections: Connections::new(bounds.connections),
            roster: Roster::default(),
            maintenance: Maintenance::default(),
            timers: Deadlines::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            effects: VecDeque::new(),
            last_no: 0,
            purge: None,
            registry: false,
            roster_changes: 0,
            probed: false,
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
    pub fn env(&self) -> Rc<PlatformSettings> {
        self.env.clone()
    }

    /// Takes other settings. Requests under way keep their class.
    pub fn reconfigure(&mut self, fresh: PlatformSettings) {
        self.env = Rc::new(fresh.after(&self.env, |class| self.requests.uses(class)));
        self.router.reconfigure(self.env.settings());
        self.connections.set_streams(self.env.streams_per_connection());
        let targets = self.roster.all_listed().cloned().collect();
        self.list(true, targets);
    }

    /// How many requests owe an answer.
    pub fn owed(&self) -> usize {
        self.requests.len()
    }

    /// Does what is due by now.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        while let Some(id) = self.attempts.overdue(now) {
            self.time_out(now, id);
            self.run();
        }
        while let Some(token) = self.timers.take(now, |_, _| true) {
            self.events.push_back(Event::Timer { token });
            self.run();
        }
        // Guards the rule that each request is answered in time, should the module ever forget one.
        while let Some(id) = self.requests.overdue(now) {
            self.counters.overdue += 1;
            self.finish(id, FinalResponse::Failed { overdue: true });
            self.events.push_back(Event::ClientDisconnected { id });
            self.run();
        }
        if now >= self.tidied_ms + HOUSEKEEPING_MS {
            self.tidied_ms = now;
            self.tidy(now);
        }
    }

    /// When there is something to do next.
    pub fn next_due(&mut self) -> f64 {
        let tidy = self.tidied_ms + HOUSEKEEPING_MS;
        let attempt = self.attempts.next_due().unwrap_or(f64::INFINITY);
        let timer = self.timers.next(|_, _| true).unwrap_or(f64::INFINITY);
        let request = self.requests.next_due().unwrap_or(f64::INFINITY);
        tidy.min(attempt).min(timer).min(request)
    }

    /// Hands the module all that happened, and carries out what it wants, until there is nothing more.
    fn run(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = micros_from_ms(self.clock.now());
            self.router.handle(now, &event, &mut actions);
            // What a replay of a day counts over all proxies; off unless `CALICOBEAM_LOG` asks for this target.
            tracing::trace!(target: "decisions", now, ?event, ?actions);
            actions.drain(..).for_each(|action| self.carry_out(action));
            self.actions = actions;
        }
    }

    /// Carries out one of the module's actions: on the state here, or as an effect.
    fn carry_out(&mut self, action: Action) {
        let now = self.clock.now();
        match action {
            Action::Forward {
                id,
                to,
                source,
                join,
                only_if_cached,
                revalidate,
                max_age,
                keep,
                timeout,
                first_byte_by,
            } => {
                let Some(number) = self.requests.number(id) else { return };
                self.counters.attempts += 1;
                let (max_age_ms, due_ms) = (ms_from_micros(max_age), now + ms_from_micros(timeout));
                let first_byte_by_ms = ms_from_micros(first_byte_by);
                let source = source.filter(|s| *s != to);
                let (conn, stage, sent_ms, moves) = (0, Stage::Queued, now, 0);
                let id_text = self.requests.get(id).map(|ask| ask.id_text.clone()).unwrap_or_default();
                #[rustfmt::skip]
                let attempt = Attempt {
                    id_text, to, source, join, only_if_cached, revalidate, max_age_ms, keep, sent_ms, due_ms, first_byte_by_ms,
                    conn, stage, moves,
                };
                self.place(now, (id, number), attempt);
            }
            Action::Reject { id, wait } => {
                let overdue = self.is_overdue(now, id);
                self.finish(id, FinalResponse::Rejected { wait_ms: ms_from_micros(wait), overdue });
            }
            Action::Fail { id } => {
                let overdue = self.is_overdue(now, id);
                self.finish(id, FinalResponse::Failed { overdue });
            }
            Action::Cancel { id, attempt } => {
                let id = (id, attempt);
                if self.attempts.get(id).is_some() {
                    self.counters.attempts_cancelled += 1;
                    self.detach(id, true);
                    self.settle(id, AttemptOutcome::Cancelled);
                }
            }
            Action::SetTimer { token, at } => self.timers.push(ms_from_micros(at), token),
            // Probes are not allowed on this platform, and its PING tells only that a connection works.
            Action::CheckHealth { .. } if self.probed => {}
            Action::CheckHealth { endpoint } => {
                self.events.push_back(Event::HealthChecked { endpoint, outcome: AttemptOutcome::NotSent });
            }
            // The bulletin tells all changes unasked.
            Action::Watch => {}
        }
    }
}
