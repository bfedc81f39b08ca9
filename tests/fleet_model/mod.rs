//! A fleet of routers on one clock, against modelled caches, parents and an origin that stops when it is overloaded.
//!
//! Caches hold what they were filled with and join fills of one object; parents fetch for each fill apart; the origin
//! is one queue. Clients ask by a skewed choice of objects, write now and then, and try again when they are refused.

use crate::common::{draw, endpoint, settings, MS, S};
use edge_proxy::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

const ORIGIN: EndpointId = 900;
const FIRST_PARENT: EndpointId = 800;
const PARENTS: u32 = 8;
const GROUPS: u64 = 32;
const OBJECTS: f64 = 4_000.0;
/// Time to a cache and back with its answer, and the same from a parent behind it.
const HIT_TIME: Micros = 60 * MS;
const PARENT_TIME: Micros = 120 * MS;
/// A client's wait before it tries again, and its tries.
const CLIENT_WAIT: Micros = 100 * MS;
const CLIENT_TRIES: u32 = 3;
const CLIENT_TIME: Micros = 3 * S;
/// The class that reads and the one that writes, as `common::settings` has them.
const READ: usize = 0;
const WRITE: usize = 3;

/// The shape of a fleet and of its day.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub fleet_size: u32,
    pub locations: u32,
    /// Requests a second of the whole fleet, and one write in so many.
    pub rate: u64,
    pub write_every: u64,
    /// What the origin answers in a second.
    pub origin_rate: u64,
    /// From when on the origin is so many times slower, and half of the groups are purged.
    pub slow_at: Micros,
    pub slow: u64,
    pub length: Micros,
    pub notes: bool,
    pub seed: u64,
}

/// What came of a day after its trouble began.
#[derive(Debug, Default)]
pub struct Result {
    pub stops: u32,
    pub writes: u32,
    pub writes_in_time: u32,
    pub reads: u32,
    pub reads_in_time: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    IncomingRequest { client: usize },
    Answer { router: usize, id: RequestId, attempt: u32, outcome: u8, cache_status: u8 },
    Parent { fill: (u32, ObjectId) },
    Fetched { job: usize },
    TimeOut { router: usize, id: RequestId, attempt: u32 },
}

const VERDICTS: [AttemptOutcome; 5] = [
    AttemptOutcome::Served,
    AttemptOutcome::CacheMiss,
    AttemptOutcome::Error,
    AttemptOutcome::NoConnection,
    AttemptOutcome::TimedOut,
];
const NOTES: [CacheStatus; 4] =
    [CacheStatus::Unknown, CacheStatus::Hit, CacheStatus::Filled, CacheStatus::OriginFailed];

struct Client {
    router: usize,
    class: usize,
    object: ObjectId,
    since: Micros,
    tries: u32,
    answered: bool,
}

/// Who waits for an answer: an attempt of a router.
type Waiter = (usize, RequestId, u32);

struct Job {
    /// The location and object to fill, or the write's attempt.
    fill: Option<(u32, ObjectId)>,
    write: Option<Waiter>,
    gone: bool,
}

/// A day as it is played.
pub struct Fleet {
    day: Day,
    now: Micros,
    random: u64,
    fleet_size: Vec<Router>,
    steps: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    order: u64,
    clients: Vec<Client>,
    attempts: HashMap<RequestId, u32>,
    /// When each attempt that is out was sent.
    open: HashMap<Waiter, Micros>,
    /// When what a location or a parent holds was given out by the origin.
    held: HashMap<(u32, ObjectId), Micros>,
    parents: HashMap<ObjectId, Micros>,
    fills: HashMap<(u32, ObjectId), Vec<Waiter>>,
    jobs: Vec<Job>,
    queue: VecDeque<usize>,
    arrivals: VecDeque<Micros>,
    busy: bool,
    down_until: Micros,
    result: Result,
}

impl Fleet {
    /// Plays a day to its end.
    pub fn play(day: Day) -> Result {
        let mut set = PolicySettings {
            fleet_size: day.fleet_size,
            local_fleet_size: day.fleet_size / day.locations,
            reports_cache_status: day.notes,
            can_check_health: false,
            weights_known: true,
            ..settings()
        };
        set.classes[WRITE].latency_objective = 700 * MS;
        let router = |k: u32| {
            let mut router = Router::new(set.clone(), day.seed * 10_000 + u64::from(k));
            let location = k % day.locations;
            let cache = Endpoint { weight: 40.0, ..endpoint(1 + location, Tier::Cache) };
            let parents =
                (0..PARENTS).map(|p| Endpoint { weight: 400.0, ..endpoint(FIRST_PARENT + p, Tier::Parent) });
            let entries = parents.chain([cache, endpoint(ORIGIN, Tier::Origin)]).collect();
            router.handle(0, &Event::EndpointsChanged { full: true, entries }, &mut Vec::new());
            router
        };
        let mut fleet = Self {
            fleet_size: (0..day.fleet_size).map(router).collect(),
            day,
            now: S,
            random: day.seed,
            steps: BinaryHeap::new(),
            order: 0,
            clients: Vec::new(),
            attempts: HashMap::new(),
            open: HashMap::new(),
            held: HashMap::new(),
            parents: HashMap::new(),
            fills: HashMap::new(),
            jobs: Vec::new(),
            queue: VecDeque::new(),
            arrivals: VecDeque::new(),
            busy: false,
            down_until: 0,
            result: Result::default(),
        };
        fleet.run();
        fleet.result
    }

    fn run(&mut self) {
        self.at(S, Step::Arrive);
        let mut purged = false;
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            self.now = now;
            if !purged && now >= self.day.slow_at {
                purged = true;
                self.purge();
            }
            self.take(step);
        }
    }

    fn purge(&mut self) {
        for group in 0..GROUPS as u32 / 2 {
            for k in 0..self.fleet_size.len() {
                self.tell(k, Event::Purged { object: None, group, age: 0 });
            }
        }
        self.parents.retain(|object, _| object % GROUPS >= GROUPS / 2);
        self.held.retain(|(_, object), _| object % GROUPS >= GROUPS / 2);
    }

    fn at(&mut self, at: Micros, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order, step)));
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::IncomingRequest { client } => self.ask(client),
            Step::Answer { router, id, attempt, outcome, cache_status } => {
                self.end((router, id, attempt), VERDICTS[outcome as usize], NOTES[cache_status as usize]);
            }
            Step::TimeOut { router, id, attempt } => {
                self.end((router, id, attempt), AttemptOutcome::TimedOut, CacheStatus::Unknown)
            }
            Step::Parent { fill } => self.at_parent(fill),
            Step::Fetched { job } => self.fetched(job),
        }
    }

    fn arrive(&mut self) {
        let gap = -draw(&mut self.random).ln() * S as f64 / self.day.rate as f64;
        if self.now < self.day.length {
            self.at(self.now + gap as Micros, Step::Arrive);
        }
        let router = (draw(&mut self.random) * f64::from(self.day.fleet_size)) as usize;
        let class = if draw(&mut self.random) * (self.day.write_every as f64) < 1.0 { WRITE } else { READ };
        // Popularity falls about with the rank.
        let object = OBJECTS.powf(draw(&mut self.random)) as ObjectId * 7_919;
        self.clients.push(Client { router, class, object, since: self.now, tries: 0, answered: false });
        if self.now >= self.day.slow_at {
            let asked = if class == WRITE { &mut self.result.writes } else { &mut self.result.reads };
            *asked += 1;
        }
        self.ask(self.clients.len() - 1);
    }

    fn ask(&mut self, client: usize) {
        let c = &mut self.clients[client];
        let deadline_at = c.since + CLIENT_TIME;
        if self.now + 50 * MS >= deadline_at || c.tries >= CLIENT_TRIES {
            return;
        }
        c.tries += 1;
        let id = client as RequestId * 10 + u64::from(c.tries);
        let (router, class, object) = (c.router, c.class, c.object);
        let (group, part, size_kb) = ((object % GROUPS) as u32, 0, 250.0);
        self.tell(router, Event::Request { id, class, object, group, part, size_kb, deadline_at });
    }

    fn tell(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.fleet_size[router].handle(self.now, &event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { id, to, source, only_if_cached, max_age, timeout, .. } => {
                    let number = self.attempts.entry(id).or_insert(0);
                    let attempt = *number;
                    *number += 1;
                    self.open.insert((router, id, attempt), self.now);
                    self.at(self.now + timeout, Step::TimeOut { router, id, attempt });
                    self.sent((router, id, attempt), to, source, only_if_cached, max_age);
                }
                Action::Reject { id, .. } => {
                    let client = (id / 10) as usize;
                    self.at(self.now + CLIENT_WAIT, Step::IncomingRequest { client });
                }
                Action::Cancel { id, attempt } => {
                    self.end((router, id, attempt), AttemptOutcome::Cancelled, CacheStatus::Unknown)
                }
                _ => {}
            }
        }
    }

    fn answer(
        &mut self,
        at: Micros,
        (router, id, attempt): Waiter,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
    ) {
        let outcome = VERDICTS.iter().position(|v| *v == outcome).expect("a verdict of the model") as u8;
        let cache_status = NOTES.iter().position(|n| *n == cache_status).expect("a note of the model") as u8;
        self.at(at, Step::Answer { router, id, attempt, outcome, cache_status });
    }

    fn sent(
        &mut self,
        who: Waiter,
        to: EndpointId,
        source: Option<EndpointId>,
        only_if_cached: bool,
        max_age: Micros,
    ) {
        let object = self.clients[(who.1 / 10) as usize].object;
        if to == ORIGIN && source.is_none() {
            return self.enqueue(Job { fill: None, write: Some(who), gone: false });
        }
        if to >= FIRST_PARENT {
            // Past the caches nothing is modelled: it is as good as full.
            return self.answer(self.now + 10 * MS, who, AttemptOutcome::Error, CacheStatus::Unknown);
        }
        let fill = (to, object);
        let fresh = |born: &Micros| max_age == 0 || self.now - born <= max_age;
        if self.held.get(&fill).is_some_and(fresh) {
            self.answer(self.now + HIT_TIME, who, AttemptOutcome::Served, CacheStatus::Hit)
        } else if source == Some(to) {
            self.answer(self.now + 10 * MS, who, AttemptOutcome::CacheMiss, CacheStatus::Unknown)
        } else if only_if_cached && !self.parents.contains_key(&object) {
            // The parent is asked, and asks nobody for what it lacks.
            self.answer(self.now + PARENT_TIME, who, AttemptOutcome::CacheMiss, CacheStatus::Unknown)
        } else {
            let waiters = self.fills.entry(fill).or_default();
            waiters.push(who);
            if waiters.len() == 1 {
                self.at(self.now + 10 * MS, Step::Parent { fill });
            }
        }
    }

    fn at_parent(&mut self, fill: (u32, ObjectId)) {
        match self.parents.get(&fill.1) {
            Some(born) => self.filled(fill, *born),
            None => self.enqueue(Job { fill: Some(fill), write: None, gone: false }),
        }
    }

    fn filled(&mut self, fill: (u32, ObjectId), born: Micros) {
        self.held.insert(fill, born);
        for who in self.fills.remove(&fill).unwrap_or_default() {
            self.answer(self.now + PARENT_TIME, who, AttemptOutcome::Served, CacheStatus::Filled);
        }
    }

    // ---- the origin ----

    fn enqueue(&mut self, job: Job) {
        self.arrivals.push_back(self.now);
        while self.arrivals.front().is_some_and(|at| at + 3 * S < self.now) {
            self.arrivals.pop_front();
        }
        let slow = if self.now >= self.day.slow_at { self.day.slow } else { 1 };
        let bearable = self.day.origin_rate * 3 * 5 / 2 / slow;
        if self.now >= self.down_until && self.arrivals.len() as u64 > bearable && self.now > 4 * S {
            self.result.stops += 1;
            self.down_until = self.now + 5 * S;
            self.arrivals.clear();
            for waiting in std::mem::take(&mut self.queue) {
                self.failed(waiting);
            }
        }
        self.jobs.push(job);
        let number = self.jobs.len() - 1;
        if self.now < self.down_until {
            return self.failed(number);
        }
        self.queue.push_back(number);
        self.work();
    }

    fn failed(&mut self, job: usize) {
        self.jobs[job].gone = true;
        if let Some(who) = self.jobs[job].write {
            self.answer(self.now + MS, who, AttemptOutcome::NoConnection, CacheStatus::Unknown);
        }
        if let Some(fill) = self.jobs[job].fill {
            for who in self.fills.remove(&fill).unwrap_or_default() {
                self.answer(self.now + 20 * MS, who, AttemptOutcome::Error, CacheStatus::OriginFailed);
            }
        }
    }

    /// Takes up the next job that somebody still waits for.
    fn work(&mut self) {
        let slow = if self.now >= self.day.slow_at { self.day.slow } else { 1 };
        while !self.busy {
            let Some(job) = self.queue.pop_front() else { return };
            let waited = match (self.jobs[job].write, self.jobs[job].fill) {
                (Some(who), _) => self.open.contains_key(&who),
                (_, Some(fill)) => self.fills.contains_key(&fill),
                _ => false,
            };
            if waited {
                self.busy = true;
                self.at(self.now + S * slow / self.day.origin_rate, Step::Fetched { job });
            }
        }
    }

    fn fetched(&mut self, job: usize) {
        self.busy = false;
        if !self.jobs[job].gone {
            if let Some(who) = self.jobs[job].write {
                self.answer(self.now + HIT_TIME, who, AttemptOutcome::Served, CacheStatus::Unknown);
            }
            if let Some(fill) = self.jobs[job].fill {
                self.parents.insert(fill.1, self.now);
                self.filled(fill, self.now);
            }
        }
        self.work();
    }

    // ---- the ends of attempts ----

    fn end(&mut self, who: Waiter, outcome: AttemptOutcome, cache_status: CacheStatus) {
        let Some(sent) = self.open.remove(&who) else { return };
        let (router, id, attempt) = who;
        if outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::Cancelled {
            self.leave(who);
        }
        let client = &mut self.clients[(id / 10) as usize];
        let served = outcome == AttemptOutcome::Served && !client.answered;
        client.answered |= served;
        let (class, since) = (client.class, client.since);
        if served && since >= self.day.slow_at {
            if class == WRITE {
                self.result.writes_in_time += u32::from(self.now - since <= 700 * MS);
            } else {
                self.result.reads_in_time += u32::from(self.now - since <= 600 * MS);
            }
        }
        let elapsed = self.now - sent;
        let cache_status = if self.day.notes { cache_status } else { CacheStatus::Unknown };
        self.tell(
            router,
            Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed, closed: served },
        );
    }

    /// A fill that nobody waits for any more is given up.
    fn leave(&mut self, who: Waiter) {
        let object = self.clients[(who.1 / 10) as usize].object;
        let location = 1 + who.0 as u32 % self.day.locations;
        if let Some(waiters) = self.fills.get_mut(&(location, object)) {
            waiters.retain(|w| *w != who);
            if waiters.is_empty() {
                self.fills.remove(&(location, object));
            }
        }
    }
}
