//! Every decision of the router. The types of its settings, events and actions stand in `interface.rs`.
//!
//! This file holds the router's state and hands each event to its concern: `placement` (which cache, source
//! and path), `health` (evidence, blame, probes), `capacity` (room, load shedding, slow start), `attempts`
//! (time-outs, retries, answers) and `freshness` (purges and ages). Constants stand in their concern's file.

mod attempts;
mod capacity;
mod freshness;
mod health;
mod placement;

use crate::interface::*;
use crate::stats::{DecayingSum, LeakyBucket, RecentCounts, SeededDraws, TimedShare};
use attempts::{Pace, INITIAL_RETRIES};
use health::Health;
use placement::{COUNT_SPAN, MAX_COUNTED};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Wait before asking again for the list after a failed call, us, and its timer's token.
const LIST_RETRY: Micros = 1_000_000;
const LIST_TIMER: u64 = 0;
/// Transfers that fit on a cache's link where weights don't tell: a small machine's.
const WEIGHT_GUESS: f64 = 4.0;

/// What the host is to do, in order.
type Actions = Vec<Action>;

/// An endpoint as listed, with what this router has seen of it since that process started.
struct KnownEndpoint {
    line: Endpoint,
    health: Health,
    /// Transfers that it is taken to bear at once, and when that was last cut.
    room: f64,
    room_cut_at: Micros,
    /// This router's attempts that are out to it.
    inflight: u32,
    /// Sending time sent to it lately while cold, us, drained at its budget's pace.
    spent: LeakyBucket,
}

impl KnownEndpoint {
    /// Whether it may get new work, as far as the list and probes tell.
    fn able(&self) -> bool {
        self.line.state == EndpointState::Active && !self.health.down
    }
}

/// One attempt of a request.
struct Attempt {
    to: EndpointId,
    source: Option<EndpointId>,
    sent: Micros,
    out: bool,
    may_have_run: bool,
    /// Its client's time allows less than the usual wait.
    cut: bool,
    /// Its connection broke or was spoilt.
    lost: bool,
}

/// Where an attempt goes, and the source of its fill.
type Path = (EndpointId, Option<EndpointId>);

/// Where what a request's cache lacks may come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// From nowhere: it is served where it is held, else refused.
    Cache,
    /// From what its parent holds.
    Parent,
    /// From anywhere: its parent asks the origin for what it lacks.
    Origin,
}

/// A request that is owed an answer, or whose attempts are still out.
struct PendingRequest {
    class: usize,
    object: ObjectId,
    group: u32,
    part: u32,
    size_kb: f64,
    deadline_at: Micros,
    attempts: Vec<Attempt>,
    reach: Reach,
    /// Nothing more is to be answered or sent; it stays until its attempts' outcomes are in.
    done: bool,
}

/// The decisions of one router. See the crate's page for how to drive it.
pub struct Router {
    set: PolicySettings,
    random: SeededDraws,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// All parents ever listed, with their weights: an object's home is a place in this order.
    parents: BTreeMap<EndpointId, f64>,
    requests: HashMap<RequestId, PendingRequest>,
    subscribed: bool,
    /// When an object (or, without one, a group) was purged, as long as older copies may be about.
    purges: HashMap<(Option<ObjectId>, u32), Micros>,
    counts: RecentCounts,
    pace: Vec<Pace>,
    retries: DecayingSum,
    /// Part of the objects that may be fetched from the origin, by the outcomes of fills and of writes.
    fill_room: TimedShare<2>,
}

impl Router {
    /// A router that knows nothing but its settings. The seed feeds all that is random.
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        Self {
            random: SeededDraws::new(seed),
            endpoints: BTreeMap::new(),
            parents: BTreeMap::new(),
            requests: HashMap::new(),
            subscribed: false,
            purges: HashMap::new(),
            counts: RecentCounts::new(COUNT_SPAN, MAX_COUNTED),
            pace: settings.classes.iter().map(Pace::of).collect(),
            retries: DecayingSum::starting_with(INITIAL_RETRIES),
            fill_room: TimedShare::default(),
            set: settings,
        }
    }

    /// Takes other settings. A class at a place of the list that it had keeps what was learned of it.
    pub fn reconfigure(&mut self, settings: PolicySettings) {
        let learned = self.set.classes.iter().zip(&self.pace).map(Some).chain(std::iter::repeat(None));
        let paces = settings.classes.iter().zip(learned).map(|(class, old)| match old {
            Some((same, pace)) if same == class => *pace,
            _ => Pace::of(class),
        });
        self.pace = paces.collect();
        self.set = settings;
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { full, entries } => self.on_members(now, *full, entries, actions),
            Event::WatchLost => actions.push(Action::SetTimer { token: LIST_TIMER, at: now + LIST_RETRY }),
            Event::Request { .. } => self.on_request(now, event, actions),
            Event::AttemptEnded { .. } => self.on_outcome(now, event, actions),
            Event::ResponseStarted { id, attempt } => self.on_streaming(*id, *attempt, actions),
            Event::ClientDisconnected { id } => self.conclude(*id, actions),
            Event::Timer { token: LIST_TIMER } => actions.push(Action::Watch),
            Event::Timer { token } => self.on_probe_due(*token, actions),
            Event::HealthChecked { endpoint, outcome } => self.on_probed(now, *endpoint, *outcome, actions),
            Event::Purged { object, group, age: ago } => self.on_purged(now, *object, *group, *ago),
        }
    }

    fn on_members(&mut self, now: Micros, full: bool, entries: &[Endpoint], actions: &mut Actions) {
        if full {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            self.endpoints.retain(|id, _| listed.contains(id));
        }
        for e in entries {
            // What is never used is not held: the cost of a decision follows the location, not the fleet.
            if e.state == EndpointState::Removed || e.tier == Tier::RemoteCache {
                self.endpoints.remove(&e.id);
                continue;
            }
            let known = self.set.weights_known && e.weight.is_finite() && e.weight > 0.0;
            let weight = if known { e.weight } else { WEIGHT_GUESS };
            let line = Endpoint { weight, ..e.clone() };
            if e.tier == Tier::Parent {
                self.parents.insert(e.id, line.weight);
            }
            match self.endpoints.get_mut(&e.id).filter(|m| m.line.started_at == e.started_at) {
                Some(m) => m.line = line,
                // A new process: what was known of an old one says nothing of it.
                None => self.add_member(now, line),
            }
        }
        if self.set.watch_endpoints && !self.subscribed {
            self.subscribed = true;
            actions.push(Action::Watch);
        }
    }

    fn add_member(&mut self, now: Micros, line: Endpoint) {
        let fresh = KnownEndpoint {
            health: Health::default(),
            room: line.weight,
            room_cut_at: 0,
            inflight: self.endpoints.get(&line.id).map_or(0, |m| m.inflight),
            spent: LeakyBucket::new(now, self.initial_spent()),
            line,
        };
        self.endpoints.insert(fresh.line.id, fresh);
    }
}
