//! A fleet of routers on one clock, against modelled caches, parents and an origin that stops when it is overloaded.
//!
//! Caches hold what they were filled with and join fills of one object; parents fetch for each fill apart; the origin
//! is one queue. Clients ask by a skewed choice of objects, write now and then, and try again when they are refused.

use crate::common::{draw, member, settings, MS, S};
use edge_proxy::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

const ORIGIN: MemberId = 900;
const FIRST_PARENT: MemberId = 800;
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
    pub routers: u32,
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
    Ask { client: usize },
    Answer { router: usize, id: RequestId, attempt: u32, verdict: u8, note: u8 },
    Parent { fill: (u32, ObjectId) },
    Fetched { job: usize },
    TimeOut { router: usize, id: RequestId, attempt: u32 },
}

const VERDICTS: [Verdict; 5] =
    [Verdict::Served, Verdict::Miss, Verdict::Error, Verdict::NoConnection, Verdict::TimedOut];
const NOTES: [Note; 4] = [Note::Silent, Note::Hit, Note::Filled, Note::OriginFailed];

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
    routers: Vec<Router>,
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
        let mut set = Settings {
            routers: day.routers,
            routers_here: day.routers / day.locations,
            hit_notes: day.notes,
            probing: false,
            weights_known: true,
            ..settings()
        };
        set.classes[WRITE].aim = 700 * MS;
        let router = |k: u32| {
            let mut router = Router::new(set.clone(), day.seed * 10_000 + u64::from(k));
            let location = k % day.locations;
            let cache = Listing { weight: 40.0, ..member(1 + location, Role::Cache) };
            let parents =
                (0..PARENTS).map(|p| Listing { weight: 400.0, ..member(FIRST_PARENT + p, Role::Parent) });
            let entries = parents.chain([cache, member(ORIGIN, Role::Origin)]).collect();
            router.handle(0, &Event::Members { full: true, entries }, &mut Vec::new());
            router
        };
        let mut fleet = Self {
            routers: (0..day.routers).map(router).collect(),
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
            for k in 0..self.routers.len() {
                self.tell(k, Event::Purged { object: None, group, ago: 0 });
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
            Step::Ask { client } => self.ask(client),
            Step::Answer { router, id, attempt, verdict, note } => {
                self.end((router, id, attempt), VERDICTS[verdict as usize], NOTES[note as usize]);
            }
            Step::TimeOut { router, id, attempt } => {
                self.end((router, id, attempt), Verdict::TimedOut, Note::Silent)
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
        let router = (draw(&mut self.random) * f64::from(self.day.routers)) as usize;
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
        let give_up_at = c.since + CLIENT_TIME;
        if self.now + 50 * MS >= give_up_at || c.tries >= CLIENT_TRIES {
            return;
        }
        c.tries += 1;
        let id = client as RequestId * 10 + u64::from(c.tries);
        let (router, class, object) = (c.router, c.class, c.object);
        let (group, part, size_kb) = ((object % GROUPS) as u32, 0, 250.0);
        self.tell(router, Event::Request { id, class, object, group, part, size_kb, give_up_at });
    }

    fn tell(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, &event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, to, source, only_held, max_age, timeout, .. } => {
                    let number = self.attempts.entry(id).or_insert(0);
                    let attempt = *number;
                    *number += 1;
                    self.open.insert((router, id, attempt), self.now);
                    self.at(self.now + timeout, Step::TimeOut { router, id, attempt });
                    self.sent((router, id, attempt), to, source, only_held, max_age);
                }
                Action::Refuse { id, .. } => {
                    let client = (id / 10) as usize;
                    self.at(self.now + CLIENT_WAIT, Step::Ask { client });
                }
                Action::Cancel { id, attempt } => {
                    self.end((router, id, attempt), Verdict::Cancelled, Note::Silent)
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, at: Micros, (router, id, attempt): Waiter, verdict: Verdict, note: Note) {
        let verdict = VERDICTS.iter().position(|v| *v == verdict).expect("a verdict of the model") as u8;
        let note = NOTES.iter().position(|n| *n == note).expect("a note of the model") as u8;
        self.at(at, Step::Answer { router, id, attempt, verdict, note });
    }

    fn sent(
        &mut self,
        who: Waiter,
        to: MemberId,
        source: Option<MemberId>,
        only_held: bool,
        max_age: Micros,
    ) {
        let object = self.clients[(who.1 / 10) as usize].object;
        if to == ORIGIN && source.is_none() {
            return self.enqueue(Job { fill: None, write: Some(who), gone: false });
        }
        if to >= FIRST_PARENT {
            // Past the caches nothing is modelled: it is as good as full.
            return self.answer(self.now + 10 * MS, who, Verdict::Error, Note::Silent);
        }
        let fill = (to, object);
        let fresh = |born: &Micros| max_age == 0 || self.now - born <= max_age;
        if self.held.get(&fill).is_some_and(fresh) {
            self.answer(self.now + HIT_TIME, who, Verdict::Served, Note::Hit)
        } else if source == Some(to) {
            self.answer(self.now + 10 * MS, who, Verdict::Miss, Note::Silent)
        } else if only_held && !self.parents.contains_key(&object) {
            // The parent is asked, and asks nobody for what it lacks.
            self.answer(self.now + PARENT_TIME, who, Verdict::Miss, Note::Silent)
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
            self.answer(self.now + PARENT_TIME, who, Verdict::Served, Note::Filled);
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
            self.answer(self.now + MS, who, Verdict::NoConnection, Note::Silent);
        }
        if let Some(fill) = self.jobs[job].fill {
            for who in self.fills.remove(&fill).unwrap_or_default() {
                self.answer(self.now + 20 * MS, who, Verdict::Error, Note::OriginFailed);
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
                self.answer(self.now + HIT_TIME, who, Verdict::Served, Note::Silent);
            }
            if let Some(fill) = self.jobs[job].fill {
                self.parents.insert(fill.1, self.now);
                self.filled(fill, self.now);
            }
        }
        self.work();
    }

    // ---- the ends of attempts ----

    fn end(&mut self, who: Waiter, verdict: Verdict, note: Note) {
        let Some(sent) = self.open.remove(&who) else { return };
        let (router, id, attempt) = who;
        if verdict == Verdict::TimedOut || verdict == Verdict::Cancelled {
            self.leave(who);
        }
        let client = &mut self.clients[(id / 10) as usize];
        let served = verdict == Verdict::Served && !client.answered;
        client.answered |= served;
        let (class, since) = (client.class, client.since);
        if served && since >= self.day.slow_at {
            if class == WRITE {
                self.result.writes_in_time += u32::from(self.now - since <= 700 * MS);
            } else {
                self.result.reads_in_time += u32::from(self.now - since <= 600 * MS);
            }
        }
        let took = self.now - sent;
        let note = if self.day.notes { note } else { Note::Silent };
        self.tell(router, Event::Outcome { id, attempt, verdict, note, took, closed: served });
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
