//! Discrete-event simulation of a fleet of routers with caches, parents and an origin that fails when
//! overloaded.
//!
//! Caches keep all fills and join concurrent fills of the same object; parents fetch separately for each
//! fill; the origin is a single queue. Clients request objects of skewed popularity, write occasionally, and
//! retry when they are rejected.

use crate::common::{draw, endpoint, settings, MS, S};
use edge_proxy::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

const ORIGIN: EndpointId = 900;
const FIRST_PARENT: EndpointId = 800;
const PARENTS: u32 = 8;
const GROUPS: u64 = 32;
const OBJECTS: f64 = 4_000.0;
/// Response time of a cache hit.
const HIT_TIME: Micros = 60 * MS;
/// Response time of a fill from a parent's copy.
const PARENT_TIME: Micros = 120 * MS;
/// Delay before a rejected client retries.
const CLIENT_RETRY_DELAY: Micros = 100 * MS;
/// Maximum number of requests of a client, including retries.
const MAX_CLIENT_REQUESTS: u32 = 3;
/// Time for which a client waits in total.
const CLIENT_DEADLINE: Micros = 3 * S;
/// Index of the class of reads in `common::settings`.
const READ: usize = 0;
/// Index of the class of writes in `common::settings`.
const WRITE: usize = 3;

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub fleet_size: u32,
    pub locations: u32,
    /// Requests per second of the whole fleet.
    pub rate: u64,
    /// One in this number of requests is a write.
    pub write_every: u64,
    /// Requests per second that the origin can serve.
    pub origin_rate: u64,
    /// When half of the groups are purged and the origin slows down.
    pub slow_from: Micros,
    /// Factor by which the origin slows down.
    pub slowdown: u64,
    /// Time after which no more clients arrive.
    pub duration: Micros,
    /// Whether caches report the cache status.
    pub reports_cache_status: bool,
    pub seed: u64,
}

/// Results for the clients that arrived after the slowdown had begun.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of failures of the origin due to overload, over the whole simulation.
    pub origin_failures: u32,
    pub writes: u32,
    pub writes_in_time: u32,
    pub reads: u32,
    pub reads_in_time: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    ClientArrival,
    ClientRequest { client: usize },
    AttemptEnd { router: usize, id: RequestId, attempt: u32, outcome: u8, cache_status: u8 },
    FillAtParent { fill: (u32, ObjectId) },
    JobDone { job: usize },
    AttemptTimeout { router: usize, id: RequestId, attempt: u32 },
}

const OUTCOMES: [AttemptOutcome; 5] = [
    AttemptOutcome::Served,
    AttemptOutcome::CacheMiss,
    AttemptOutcome::Error,
    AttemptOutcome::NoConnection,
    AttemptOutcome::TimedOut,
];
const CACHE_STATUSES: [CacheStatus; 4] =
    [CacheStatus::Unknown, CacheStatus::Hit, CacheStatus::Filled, CacheStatus::OriginFailed];

struct Client {
    router: usize,
    class: usize,
    object: ObjectId,
    arrived_at: Micros,
    requests_sent: u32,
    was_served: bool,
}

/// An attempt: the index of its router, its request and its number.
type AttemptKey = (usize, RequestId, u32);

/// A request to the origin: either a fill or a write.
struct Job {
    /// The cache and object to fill.
    fill: Option<(u32, ObjectId)>,
    /// The attempt of the write.
    write: Option<AttemptKey>,
    failed: bool,
}

/// The state of a simulation.
pub struct Fleet {
    scenario: Scenario,
    now: Micros,
    random: u64,
    routers: Vec<Router>,
    classes: Vec<Rc<RequestClass>>,
    events: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    last_sequence: u64,
    clients: Vec<Client>,
    /// Number of attempts sent for each request.
    attempts_sent: HashMap<RequestId, u32>,
    /// When each attempt in flight was sent.
    in_flight: HashMap<AttemptKey, Micros>,
    /// When the copies of each cache were fetched from the origin.
    cache_copies: HashMap<(u32, ObjectId), Micros>,
    /// When the copies of the parents were fetched from the origin.
    parent_copies: HashMap<ObjectId, Micros>,
    /// Attempts that wait for each fill in progress.
    fill_waiters: HashMap<(u32, ObjectId), Vec<AttemptKey>>,
    jobs: Vec<Job>,
    origin_queue: VecDeque<usize>,
    /// Times of recent requests to the origin.
    origin_arrivals: VecDeque<Micros>,
    origin_busy: bool,
    origin_down_until: Micros,
    report: Report,
}

impl Fleet {
    /// Runs a simulation until no event is left.
    pub fn simulate(scenario: Scenario) -> Report {
        let mut policy = PolicySettings {
            fleet_size: scenario.fleet_size,
            local_fleet_size: scenario.fleet_size / scenario.locations,
            reports_cache_status: scenario.reports_cache_status,
            can_check_health: false,
            weights_are_capacities: true,
            ..settings()
        };
        Rc::make_mut(&mut policy.classes[WRITE]).latency_objective = 700 * MS;
        let router = |k: u32| {
            let mut router = Router::new(policy.clone(), scenario.seed * 10_000 + u64::from(k));
            let location = k % scenario.locations;
            let cache = Endpoint { weight: 40.0, ..endpoint(1 + location, Tier::Cache) };
            let parents =
                (0..PARENTS).map(|p| Endpoint { weight: 400.0, ..endpoint(FIRST_PARENT + p, Tier::Parent) });
            let entries = parents.chain([cache, endpoint(ORIGIN, Tier::Origin)]).collect();
            router.handle(0, &Event::EndpointsChanged { full: true, entries }, &mut Vec::new());
            router
        };
        let mut fleet = Self {
            routers: (0..scenario.fleet_size).map(router).collect(),
            classes: policy.classes.clone(),
            scenario,
            now: S,
            random: scenario.seed,
            events: BinaryHeap::new(),
            last_sequence: 0,
            clients: Vec::new(),
            attempts_sent: HashMap::new(),
            in_flight: HashMap::new(),
            cache_copies: HashMap::new(),
            parent_copies: HashMap::new(),
            fill_waiters: HashMap::new(),
            jobs: Vec::new(),
            origin_queue: VecDeque::new(),
            origin_arrivals: VecDeque::new(),
            origin_busy: false,
            origin_down_until: 0,
            report: Report::default(),
        };
        fleet.run();
        fleet.report
    }

    fn run(&mut self) {
        self.schedule(S, SimEvent::ClientArrival);
        let mut purged = false;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            if !purged && now >= self.scenario.slow_from {
                purged = true;
                self.purge();
            }
            self.handle_event(event);
        }
    }

    fn purge(&mut self) {
        for group in 0..GROUPS as u32 / 2 {
            for k in 0..self.routers.len() {
                self.handle_at_router(k, Event::Purged { object: None, group, age: 0 });
            }
        }
        self.parent_copies.retain(|object, _| object % GROUPS >= GROUPS / 2);
        self.cache_copies.retain(|(_, object), _| object % GROUPS >= GROUPS / 2);
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.last_sequence += 1;
        self.events.push(Reverse((at, self.last_sequence, event)));
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientArrival => self.add_client(),
            SimEvent::ClientRequest { client } => self.send_request(client),
            SimEvent::AttemptEnd { router, id, attempt, outcome, cache_status } => {
                self.end_attempt(
                    (router, id, attempt),
                    OUTCOMES[outcome as usize],
                    CACHE_STATUSES[cache_status as usize],
                );
            }
            SimEvent::AttemptTimeout { router, id, attempt } => {
                self.end_attempt((router, id, attempt), AttemptOutcome::TimedOut, CacheStatus::Unknown)
            }
            SimEvent::FillAtParent { fill } => self.fill_at_parent(fill),
            SimEvent::JobDone { job } => self.finish_job(job),
        }
    }

    fn add_client(&mut self) {
        let gap = -draw(&mut self.random).ln() * S as f64 / self.scenario.rate as f64;
        if self.now < self.scenario.duration {
            self.schedule(self.now + gap as Micros, SimEvent::ClientArrival);
        }
        let router = (draw(&mut self.random) * f64::from(self.scenario.fleet_size)) as usize;
        let class =
            if draw(&mut self.random) * (self.scenario.write_every as f64) < 1.0 { WRITE } else { READ };
        // Popularity is roughly inversely proportional to the rank.
        let object = OBJECTS.powf(draw(&mut self.random)) as ObjectId * 7_919;
        self.clients.push(Client {
            router,
            class,
            object,
            arrived_at: self.now,
            requests_sent: 0,
            was_served: false,
        });
        if self.now >= self.scenario.slow_from {
            let count = if class == WRITE { &mut self.report.writes } else { &mut self.report.reads };
            *count += 1;
        }
        self.send_request(self.clients.len() - 1);
    }

    fn send_request(&mut self, client: usize) {
        let sender = &mut self.clients[client];
        let deadline_at = sender.arrived_at + CLIENT_DEADLINE;
        if self.now + 50 * MS >= deadline_at || sender.requests_sent >= MAX_CLIENT_REQUESTS {
            return;
        }
        sender.requests_sent += 1;
        let id = client as RequestId * 10 + u64::from(sender.requests_sent);
        let (router, object) = (sender.router, sender.object);
        let class = self.classes[sender.class].clone();
        let (group, part, size_kb) = ((object % GROUPS) as u32, 0, 250.0);
        self.handle_at_router(
            router,
            Event::Request {
                id,
                class,
                object,
                group,
                part,
                size_kb,
                deadline_at,
                repeatable_until: Micros::MAX,
            },
        );
    }

    fn handle_at_router(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, &event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { id, to, source, only_if_cached, max_age, timeout, .. } => {
                    let number = self.attempts_sent.entry(id).or_insert(0);
                    let attempt = *number;
                    *number += 1;
                    self.in_flight.insert((router, id, attempt), self.now);
                    self.schedule(self.now + timeout, SimEvent::AttemptTimeout { router, id, attempt });
                    self.dispatch_attempt((router, id, attempt), to, source, only_if_cached, max_age);
                }
                Action::Reject { id, .. } => {
                    let client = (id / 10) as usize;
                    self.schedule(self.now + CLIENT_RETRY_DELAY, SimEvent::ClientRequest { client });
                }
                Action::Cancel { id, attempt } => {
                    self.end_attempt((router, id, attempt), AttemptOutcome::Cancelled, CacheStatus::Unknown)
                }
                _ => {}
            }
        }
    }

    fn schedule_attempt_end(
        &mut self,
        at: Micros,
        (router, id, attempt): AttemptKey,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
    ) {
        let outcome = OUTCOMES.iter().position(|o| *o == outcome).expect("an outcome of the model") as u8;
        let cache_status =
            CACHE_STATUSES.iter().position(|s| *s == cache_status).expect("a cache status of the model")
                as u8;
        self.schedule(at, SimEvent::AttemptEnd { router, id, attempt, outcome, cache_status });
    }

    fn dispatch_attempt(
        &mut self,
        key: AttemptKey,
        to: EndpointId,
        source: Option<EndpointId>,
        only_if_cached: bool,
        max_age: Micros,
    ) {
        let object = self.clients[(key.1 / 10) as usize].object;
        if to == ORIGIN && source.is_none() {
            return self.enqueue(Job { fill: None, write: Some(key), failed: false });
        }
        if to >= FIRST_PARENT {
            // Parents serve caches only; direct attempts fail.
            return self.schedule_attempt_end(
                self.now + 10 * MS,
                key,
                AttemptOutcome::Error,
                CacheStatus::Unknown,
            );
        }
        let fill = (to, object);
        let fresh = |fetched_at: &Micros| max_age == 0 || self.now - fetched_at <= max_age;
        if self.cache_copies.get(&fill).is_some_and(fresh) {
            self.schedule_attempt_end(self.now + HIT_TIME, key, AttemptOutcome::Served, CacheStatus::Hit)
        } else if source == Some(to) {
            self.schedule_attempt_end(
                self.now + 10 * MS,
                key,
                AttemptOutcome::CacheMiss,
                CacheStatus::Unknown,
            )
        } else if only_if_cached && !self.parent_copies.contains_key(&object) {
            // The parent has no copy and does not fetch one.
            self.schedule_attempt_end(
                self.now + PARENT_TIME,
                key,
                AttemptOutcome::CacheMiss,
                CacheStatus::Unknown,
            )
        } else {
            let waiters = self.fill_waiters.entry(fill).or_default();
            waiters.push(key);
            if waiters.len() == 1 {
                self.schedule(self.now + 10 * MS, SimEvent::FillAtParent { fill });
            }
        }
    }

    fn fill_at_parent(&mut self, fill: (u32, ObjectId)) {
        match self.parent_copies.get(&fill.1) {
            Some(fetched_at) => self.complete_fill(fill, *fetched_at),
            None => self.enqueue(Job { fill: Some(fill), write: None, failed: false }),
        }
    }

    fn complete_fill(&mut self, fill: (u32, ObjectId), fetched_at: Micros) {
        self.cache_copies.insert(fill, fetched_at);
        for key in self.fill_waiters.remove(&fill).unwrap_or_default() {
            self.schedule_attempt_end(
                self.now + PARENT_TIME,
                key,
                AttemptOutcome::Served,
                CacheStatus::Filled,
            );
        }
    }

    // ---- the origin ----

    fn enqueue(&mut self, job: Job) {
        self.origin_arrivals.push_back(self.now);
        while self.origin_arrivals.front().is_some_and(|at| at + 3 * S < self.now) {
            self.origin_arrivals.pop_front();
        }
        let slowdown = if self.now >= self.scenario.slow_from { self.scenario.slowdown } else { 1 };
        // The origin fails for five seconds if it gets more than 2.5 times its rate over three seconds.
        let max_arrivals = self.scenario.origin_rate * 3 * 5 / 2 / slowdown;
        if self.now >= self.origin_down_until
            && self.origin_arrivals.len() as u64 > max_arrivals
            && self.now > 4 * S
        {
            self.report.origin_failures += 1;
            self.origin_down_until = self.now + 5 * S;
            self.origin_arrivals.clear();
            for queued in std::mem::take(&mut self.origin_queue) {
                self.fail_job(queued);
            }
        }
        self.jobs.push(job);
        let job_index = self.jobs.len() - 1;
        if self.now < self.origin_down_until {
            return self.fail_job(job_index);
        }
        self.origin_queue.push_back(job_index);
        self.start_next_job();
    }

    fn fail_job(&mut self, job: usize) {
        self.jobs[job].failed = true;
        if let Some(key) = self.jobs[job].write {
            self.schedule_attempt_end(self.now + MS, key, AttemptOutcome::NoConnection, CacheStatus::Unknown);
        }
        if let Some(fill) = self.jobs[job].fill {
            for key in self.fill_waiters.remove(&fill).unwrap_or_default() {
                self.schedule_attempt_end(
                    self.now + 20 * MS,
                    key,
                    AttemptOutcome::Error,
                    CacheStatus::OriginFailed,
                );
            }
        }
    }

    /// Starts the next job for which an attempt is still in flight.
    fn start_next_job(&mut self) {
        let slowdown = if self.now >= self.scenario.slow_from { self.scenario.slowdown } else { 1 };
        while !self.origin_busy {
            let Some(job) = self.origin_queue.pop_front() else { return };
            let still_needed = match (self.jobs[job].write, self.jobs[job].fill) {
                (Some(key), _) => self.in_flight.contains_key(&key),
                (_, Some(fill)) => self.fill_waiters.contains_key(&fill),
                _ => false,
            };
            if still_needed {
                self.origin_busy = true;
                self.schedule(self.now + S * slowdown / self.scenario.origin_rate, SimEvent::JobDone { job });
            }
        }
    }

    fn finish_job(&mut self, job: usize) {
        self.origin_busy = false;
        if !self.jobs[job].failed {
            if let Some(key) = self.jobs[job].write {
                self.schedule_attempt_end(
                    self.now + HIT_TIME,
                    key,
                    AttemptOutcome::Served,
                    CacheStatus::Unknown,
                );
            }
            if let Some(fill) = self.jobs[job].fill {
                self.parent_copies.insert(fill.1, self.now);
                self.complete_fill(fill, self.now);
            }
        }
        self.start_next_job();
    }

    // ---- ends of attempts ----

    fn end_attempt(&mut self, key: AttemptKey, outcome: AttemptOutcome, cache_status: CacheStatus) {
        let Some(sent_at) = self.in_flight.remove(&key) else { return };
        let (router, id, attempt) = key;
        if outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::Cancelled {
            self.leave_fill(key);
        }
        let client = &mut self.clients[(id / 10) as usize];
        let served = outcome == AttemptOutcome::Served && !client.was_served;
        client.was_served |= served;
        let (class, arrived_at) = (client.class, client.arrived_at);
        if served && arrived_at >= self.scenario.slow_from {
            // The limits are the latency objectives of writes and of reads of 250 KB.
            if class == WRITE {
                self.report.writes_in_time += u32::from(self.now - arrived_at <= 700 * MS);
            } else {
                self.report.reads_in_time += u32::from(self.now - arrived_at <= 600 * MS);
            }
        }
        let elapsed = self.now - sent_at;
        let cache_status =
            if self.scenario.reports_cache_status { cache_status } else { CacheStatus::Unknown };
        self.handle_at_router(
            router,
            Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed, closed: served },
        );
    }

    /// Removes an attempt from its fill, and abandons a fill without attempts.
    fn leave_fill(&mut self, key: AttemptKey) {
        let object = self.clients[(key.1 / 10) as usize].object;
        let cache = 1 + key.0 as u32 % self.scenario.locations;
        if let Some(waiters) = self.fill_waiters.get_mut(&(cache, object)) {
            waiters.retain(|w| *w != key);
            if waiters.is_empty() {
                self.fill_waiters.remove(&(cache, object));
            }
        }
    }
}
