//! Every call from its head to its one end: which backend its next attempt goes to (the decision module's word),
//! whether there may be a next one, how long is left, and what the client is told. No I/O.
//!
//! Each pool has a [`Router`] of its own, the same module as behind the other fronts: the backends are its caches,
//! nothing is kept, and a member that stands for what lies behind all of them is the origin, so that what fails
//! through every backend is blamed on that and empties no pool. A call gets exactly one [`Directive`] that ends it,
//! unless its client left.

use super::routes::{Affinity, MethodKind, Route};
use super::status::{classify, AttemptEnd, Classification, Code, Pushback, CODES};
use crate::clock::{micros_from_ms, ms_from_micros};
use crate::interface::{Idempotency, PolicySettings};
use crate::{Action, AttemptOutcome, CacheStatus, Endpoint, EndpointId, EndpointState, Event, Router, Tier};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// A call's number; never used again.
pub type CallId = u64;
/// The member that stands for what lies behind every backend.
pub const ORIGIN_ID: EndpointId = EndpointId::MAX;
/// With less left of a call's time, in milliseconds, it ends for want of it.
const OVER_MS: f64 = 10.0;
/// Taken off a client's time, in milliseconds, for the way back ...
const MARGIN_MS: f64 = 40.0;
/// ... and the most of it as a share.
const MARGIN_SHARE: f64 = 0.1;
/// The come-back time, in milliseconds, where calls are refused for want of room.
const FULL_WAIT_MS: f64 = 300.0;

/// A backend as a pool's list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its id, the same at every proxy.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// It takes new calls; one that doesn't finishes what it has.
    pub live: bool,
    /// Its size beside the others', where sizes are told.
    pub weight: f64,
}

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct NewCall {
    /// What the table says of its method.
    pub route: Rc<Route>,
    /// The affinity's hash; none for a call by itself.
    pub object: Option<u64>,
    /// `grpc-timeout`, in milliseconds.
    pub timeout_ms: Option<f64>,
    /// When its head came: its time counts from there, also where it waited at the door.
    pub received_ms: f64,
}

impl NewCall {
    /// The time that it has, in milliseconds: the shorter of its client's, less the way back, and its route's.
    /// Neither is ever stretched, over all attempts together.
    pub fn allowed_ms(&self) -> f64 {
        let own = |ms: f64| ms - MARGIN_MS.min(MARGIN_SHARE * ms);
        let client = self.timeout_ms.map_or(f64::INFINITY, own);
        client.min(self.route.deadline_ms.unwrap_or(f64::INFINITY))
    }
}

/// What a call's driver does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    /// Make this attempt.
    StartAttempt(AttemptTarget),
    /// Pass the last attempt's own end on: its status and trailers as they came.
    ForwardStatus {
        /// What it counts as.
        outcome: CallOutcome,
        /// A come-back time to add where the backend gave none, in milliseconds.
        retry_after_ms: Option<f64>,
    },
    /// End the call with a status of the proxy's own.
    Respond(LocalStatus),
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptTarget {
    /// Its number within the call, from 0.
    pub attempt: u32,
    /// The backend.
    pub backend: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A status of the proxy's own.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalStatus {
    /// The status.
    pub code: Code,
    /// In words, for people.
    pub message: &'static str,
    /// What it says of trying again.
    pub pushback: Option<Pushback>,
    /// What it counts as.
    pub outcome: CallOutcome,
}

/// What a call's end counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// Status OK, whole.
    Served,
    /// Trying again does no harm.
    Rejected,
    /// Nothing is promised.
    Failed,
    /// The client left.
    ClientDisconnected,
}

/// The bounds of what is held.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Calls at once.
    pub calls: usize,
    /// Bytes kept for a further attempt, of all calls together.
    pub replay_total: usize,
}

/// What a pool is.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// Its name.
    pub name: String,
    /// The module's settings for it: one class a route.
    pub settings: PolicySettings,
}

/// Figures of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Calls by outcome: served, refused, failed, left.
    pub outcomes: [u64; 4],
    /// Calls by the status that their client got.
    pub codes: [u64; CODES],
    /// Attempts made.
    pub attempts: u64,
    /// Of them second and further ones.
    pub retries: u64,
    /// Attempts not sent after all, since their backend drained or time was over while they waited.
    pub stale: u64,
    /// Calls that failed by a status in their trailers after their response had begun.
    pub failed_after_data: u64,
    /// Calls whose deadline was the proxy's own, shorter than their client's.
    pub shortened: u64,
}

struct Pool {
    name: String,
    router: Router,
    settings: PolicySettings,
    backends: BTreeMap<EndpointId, Backend>,
    counters: PoolCounters,
}

struct Out {
    number: u32,
    backend: EndpointId,
    sent_ms: f64,
    /// When this attempt is given up, for unary calls that may be repeated.
    due_ms: f64,
    committed_ms: Option<f64>,
}

struct Call {
    route: Rc<Route>,
    deadline_ms: f64,
    out: Option<Out>,
    attempts: u32,
    replayable: bool,
    kept: usize,
    last: Option<AttemptEnd>,
}

/// The calls of a process. See the module's page.
pub struct CallTable {
    pools: Vec<Pool>,
    calls: HashMap<CallId, Call>,
    next: CallId,
    bounds: Bounds,
    kept: usize,
    seed: u64,
    actions: Vec<Action>,
}

/// What the module wants of one call.
enum Wish {
    Send { to: EndpointId, timeout_ms: f64 },
    Refuse { wait_ms: f64 },
    Fail,
}

impl CallTable {
    /// No calls yet, and no backends.
    pub fn new(pools: Vec<PoolSpec>, bounds: Bounds, seed: u64) -> Self {
        let mut calls = Self {
            pools: Vec::new(),
            calls: HashMap::new(),
            next: 0,
            bounds,
            kept: 0,
            seed,
            actions: Vec::new(),
        };
        calls.reconfigure(pools);
        calls
    }

    /// Takes other pools and classes, by name; calls under way go on. Pools that are gone stay for those.
    pub fn reconfigure(&mut self, pools: Vec<PoolSpec>) {
        for spec in pools {
            match self.pools.iter_mut().find(|p| p.name == spec.name) {
                Some(pool) => {
                    pool.router.reconfigure(spec.settings.clone());
                    pool.settings = spec.settings;
                }
                None => {
                    let router = Router::new(spec.settings.clone(), self.seed ^ self.pools.len() as u64);
                    let (backends, counters) = Default::default();
                    let PoolSpec { name, settings } = spec;
                    self.pools.push(Pool { name, router, settings, backends, counters });
                }
            }
        }
    }

    /// Place of a pool by its name.
    pub fn pool(&self, name: &str) -> Option<usize> {
        self.pools.iter().position(|p| p.name == name)
    }

    /// Takes a pool's list of backends, whole. From now on nothing new goes to one that is not live or not listed.
    pub fn list(&mut self, now: f64, pool: usize, backends: &[Backend]) {
        let Some(pool) = self.pools.get_mut(pool) else { return };
        pool.backends = backends.iter().map(|b| (b.id, b.clone())).collect();
        let line =
            |id, tier, state, weight| Endpoint { id, tier, state, started_at: 0, weight, zone: 0, cell: 0 };
        let state = |live| if live { EndpointState::Active } else { EndpointState::Draining };
        let mut entries: Vec<Endpoint> =
            pool.backends.values().map(|b| line(b.id, Tier::Cache, state(b.live), b.weight)).collect();
        entries.push(line(ORIGIN_ID, Tier::Origin, EndpointState::Active, 1.0));
        let event = Event::EndpointsChanged { full: true, entries };
        pool.router.handle(micros_from_ms(now), &event, &mut self.actions);
        self.actions.clear();
    }

    /// Whether a backend of a pool takes new calls.
    pub fn accepts_calls(&self, pool: usize, backend: EndpointId) -> bool {
        self.pools.get(pool).and_then(|p| p.backends.get(&backend)).is_some_and(|b| b.live)
    }

    /// Takes a call in. From now on it gets exactly one directive that ends it, unless its client leaves.
    pub fn begin(&mut self, now: f64, new: NewCall) -> (CallId, Directive) {
        self.next += 1;
        let (id, deadline_ms) = (self.next, new.received_ms + new.allowed_ms());
        let NewCall { route, object, timeout_ms, .. } = new;
        let counters = &mut self.pools[route.pool].counters;
        counters.shortened += u64::from(timeout_ms.zip(route.deadline_ms).is_some_and(|(c, r)| r < c));
        if self.calls.len() >= self.bounds.calls {
            let answer = LocalStatus {
                code: Code::UNAVAILABLE,
                message: "too many calls are open",
                pushback: Some(Pushback::After(FULL_WAIT_MS)),
                outcome: CallOutcome::Rejected,
            };
            Self::count(counters, CallOutcome::Rejected, answer.code);
            return (id, Directive::Respond(answer));
        }
        let object = object.unwrap_or_else(|| {
            // Spreads calls by themselves evenly: the module's hash takes it from there.
            self.seed.wrapping_add(id).wrapping_mul(0x9E37_79B9_7F4A_7C15)
        });
        let (pool, class) = (route.pool, route.class);
        let (out, attempts, replayable, kept, last) = (None, 0, true, 0, None);
        self.calls.insert(id, Call { route, deadline_ms, out, attempts, replayable, kept, last });
        let deadline_at = micros_from_ms(deadline_ms);
        let event = Event::Request { id, class, object, group: 0, part: 0, size_kb: 0.0, deadline_at };
        let wish = self.tell(now, pool, id, &event);
        (id, self.follow(now, id, wish))
    }

    /// What is left of an attempt's time, in milliseconds, just before its first byte: none where it must not be
    /// sent any more, since its backend drains or is gone, or time is over.
    pub fn may_start(&mut self, now: f64, id: CallId) -> Option<f64> {
        let call = self.calls.get(&id)?;
        let out = call.out.as_ref()?;
        let left = out.due_ms.min(call.deadline_ms) - now;
        (left >= 1.0 && self.accepts_calls(call.route.pool, out.backend)).then_some(left)
    }

    /// When the attempt under way is given up: for a unary call that may be repeated its own time-out until its
    /// response begins, else the call's.
    pub fn due_ms(&self, id: CallId) -> f64 {
        let Some(call) = self.calls.get(&id) else { return f64::NEG_INFINITY };
        let own = call.out.as_ref().filter(|o| o.committed_ms.is_none()).map_or(f64::INFINITY, |o| o.due_ms);
        own.min(call.deadline_ms)
    }

    /// When the call's time is over.
    pub fn deadline_ms(&self, id: CallId) -> f64 {
        self.calls.get(&id).map_or(f64::NEG_INFINITY, |call| call.deadline_ms)
    }

    /// The response's headers go to the client: the attempt is the call's last.
    pub fn committed(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let pool = call.route.pool;
        let Some(out) = &mut call.out else { return };
        out.committed_ms = Some(now);
        let event = Event::ResponseStarted { id, attempt: out.number };
        self.release(id);
        self.tell(now, pool, id, &event);
    }

    /// Asks to keep this many bytes more of the call's request for a further attempt. Where they don't fit, what
    /// was kept is to be dropped, and only attempts that never began may be followed by another.
    pub fn keep(&mut self, id: CallId, bytes: usize, most: usize) -> bool {
        let Some(call) = self.calls.get_mut(&id).filter(|c| c.replayable) else { return false };
        if call.kept + bytes > most || self.kept + bytes > self.bounds.replay_total {
            call.replayable = false;
            self.release(id);
            return false;
        }
        call.kept += bytes;
        self.kept += bytes;
        true
    }

    fn release(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            self.kept -= std::mem::take(&mut call.kept);
        }
    }

    /// An attempt ended. What comes back is the next thing to do; a directive other than a start ends the call.
    pub fn ended(&mut self, now: f64, id: CallId, end: AttemptEnd) -> Directive {
        let Some(call) = self.calls.get_mut(&id) else { return Self::forgotten() };
        let Some(out) = call.out.take() else { return Self::forgotten() };
        let (route, replayable) = (call.route.clone(), call.replayable);
        let left = call.deadline_ms - now;
        call.last = Some(end);
        let committed = out.committed_ms.is_some();
        let judged = classify(end, committed, route.idempotency, &route.retry);
        // A call of any length is judged by how soon its response began.
        let until = match (route.kind, out.committed_ms) {
            (MethodKind::Stream, Some(began)) => began,
            _ => now,
        };
        // The client's own end of time says nothing of the backend, unless the attempt had its usual wait.
        let over = end == AttemptEnd::TimedOut && left < OVER_MS;
        let again = judged.again && replayable && left >= OVER_MS;
        let outcome =
            if over && route.kind == MethodKind::Stream { AttemptOutcome::Cancelled } else { judged.outcome };
        let event = Event::AttemptEnded {
            id,
            attempt: out.number,
            outcome,
            cache_status: CacheStatus::Unknown,
            elapsed: micros_from_ms(until - out.sent_ms),
            closed: !again,
        };
        self.pools[route.pool].counters.stale += u64::from(end == AttemptEnd::NotSent);
        let wish = self.tell(now, route.pool, id, &event);
        if again {
            return self.follow(now, id, wish);
        }
        self.conclude(id, committed, judged, left)
    }

    /// The client left, or its end of the call broke: nothing is owed.
    pub fn left(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (out, pool) = (call.out.take(), call.route.pool);
        self.tell(now, pool, id, &Event::ClientDisconnected { id });
        if let Some(out) = out {
            let (elapsed, outcome) = (micros_from_ms(now - out.sent_ms), AttemptOutcome::Cancelled);
            let event = Event::AttemptEnded {
                id,
                attempt: out.number,
                outcome,
                cache_status: CacheStatus::Unknown,
                elapsed,
                closed: true,
            };
            self.tell(now, pool, id, &event);
        }
        self.forget(id);
        Self::count(&mut self.pools[pool].counters, CallOutcome::ClientDisconnected, Code::CANCELLED);
    }

    /// The call can't go on for its own or the proxy's sake: it ends with this status.
    pub fn abort(&mut self, now: f64, id: CallId, answer: LocalStatus) -> Directive {
        let Some(call) = self.calls.get_mut(&id) else { return Self::forgotten() };
        let pool = call.route.pool;
        if let Some(out) = call.out.take() {
            let (elapsed, outcome) = (micros_from_ms(now - out.sent_ms), AttemptOutcome::Cancelled);
            let event = Event::AttemptEnded {
                id,
                attempt: out.number,
                outcome,
                cache_status: CacheStatus::Unknown,
                elapsed,
                closed: true,
            };
            self.tell(now, pool, id, &event);
        } else {
            self.tell(now, pool, id, &Event::ClientDisconnected { id });
        }
        self.forget(id);
        Self::count(&mut self.pools[pool].counters, answer.outcome, answer.code);
        Directive::Respond(answer)
    }

    /// Calls under way.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    /// Bytes kept for further attempts.
    pub fn kept_bytes(&self) -> usize {
        self.kept
    }

    /// The pools' names and figures.
    pub fn counters(&self) -> impl Iterator<Item = (&str, &PoolCounters, usize)> {
        self.pools
            .iter()
            .map(|p| (p.name.as_str(), &p.counters, p.backends.values().filter(|b| b.live).count()))
    }

    /// A pool's backends as last listed.
    pub fn backends(&self, pool: usize) -> impl Iterator<Item = &Backend> {
        self.pools.get(pool).into_iter().flat_map(|p| p.backends.values())
    }

    /// How many backends of a pool get nothing new though they are live, by the module's evidence.
    pub fn avoided(&self, now: f64, pool: usize) -> usize {
        self.pools.get(pool).map_or(0, |p| p.router.avoided(micros_from_ms(now)))
    }

    fn forget(&mut self, id: CallId) {
        self.release(id);
        self.calls.remove(&id);
    }

    fn count(counters: &mut PoolCounters, outcome: CallOutcome, code: Code) {
        counters.outcomes[outcome as usize] += 1;
        counters.codes[usize::from(code.number())] += 1;
    }

    /// Hands the module an event and takes what it wants of this call.
    fn tell(&mut self, now: f64, pool: usize, id: CallId, event: &Event) -> Option<Wish> {
        let mut actions = std::mem::take(&mut self.actions);
        self.pools[pool].router.handle(micros_from_ms(now), event, &mut actions);
        let mut wish = None;
        for action in actions.drain(..) {
            match action {
                Action::Forward { id: of, to, timeout, .. } if of == id => {
                    wish = Some(Wish::Send { to, timeout_ms: ms_from_micros(timeout) });
                }
                Action::Reject { id: of, wait } if of == id => {
                    wish = Some(Wish::Refuse { wait_ms: ms_from_micros(wait) })
                }
                Action::Fail { id: of } if of == id => wish = Some(Wish::Fail),
                // Attempts are called off by their driver; probes and subscriptions are turned off.
                _ => {}
            }
        }
        self.actions = actions;
        wish
    }

    fn follow(&mut self, now: f64, id: CallId, wish: Option<Wish>) -> Directive {
        let Some(call) = self.calls.get_mut(&id) else { return Self::forgotten() };
        let pool = &mut self.pools[call.route.pool];
        match wish {
            Some(Wish::Send { to, timeout_ms }) => {
                let Some(backend) = pool.backends.get(&to) else {
                    // The module names what its list has; guards a call against being held for ever.
                    return self.end_by_module(now, id, None);
                };
                // Giving up early pays only where another attempt may follow.
                let due_ms = match (call.route.kind, call.route.idempotency) {
                    (MethodKind::Unary, Idempotency::Idempotent | Idempotency::WithKey) => now + timeout_ms,
                    _ => f64::INFINITY,
                };
                let attempt = call.attempts;
                call.attempts += 1;
                pool.counters.attempts += 1;
                pool.counters.retries += u64::from(attempt > 0);
                call.out =
                    Some(Out { number: attempt, backend: to, sent_ms: now, due_ms, committed_ms: None });
                Directive::StartAttempt(AttemptTarget { attempt, backend: to, address: backend.address })
            }
            Some(Wish::Refuse { wait_ms }) => self.end_by_module(now, id, Some(wait_ms)),
            Some(Wish::Fail) | None => self.end_by_module(now, id, None),
        }
    }

    /// The module gave the call up: refused with a come-back time, or failed.
    fn end_by_module(&mut self, now: f64, id: CallId, refused: Option<f64>) -> Directive {
        let Some(call) = self.calls.get(&id) else { return Self::forgotten() };
        let (last, pool, left) = (call.last, call.route.pool, call.deadline_ms - now);
        let outcome = if refused.is_some() { CallOutcome::Rejected } else { CallOutcome::Failed };
        self.forget(id);
        let counters = &mut self.pools[pool].counters;
        let retry_after_ms = refused.filter(|ms| *ms > 0.0);
        if let Some(AttemptEnd::Status(code, _)) = last {
            Self::count(counters, outcome, code);
            return Directive::ForwardStatus { outcome, retry_after_ms };
        }
        let (code, message) = match last {
            _ if left < OVER_MS => (Code::DEADLINE_EXCEEDED, "the call's time is over"),
            None => (Code::UNAVAILABLE, "no backend takes the call"),
            Some(AttemptEnd::TimedOut) => (Code::UNAVAILABLE, "no backend answered in time"),
            Some(end) => (
                classify(end, false, Idempotency::Idempotent, &[]).code,
                "the call's attempts failed at their backends",
            ),
        };
        let pushback = match refused {
            Some(_) => retry_after_ms.map(Pushback::After),
            None => Some(Pushback::Never),
        };
        Self::count(counters, outcome, code);
        Directive::Respond(LocalStatus { code, message, pushback, outcome })
    }

    /// An attempt's end is the call's.
    fn conclude(&mut self, id: CallId, committed: bool, judged: Classification, left: f64) -> Directive {
        let Some(call) = self.calls.get(&id) else { return Self::forgotten() };
        let (last, route) = (call.last, call.route.clone());
        self.forget(id);
        let counters = &mut self.pools[route.pool].counters;
        let harmless =
            !committed && (route.idempotency == Idempotency::Idempotent || judged.outcome.never_ran());
        let busy = judged.code == Code::UNAVAILABLE || judged.code == Code::RESOURCE_EXHAUSTED;
        let over = left < OVER_MS && !matches!(last, Some(AttemptEnd::Status(..)));
        let outcome = match judged.code {
            Code::OK => CallOutcome::Served,
            _ if busy && harmless && !over => CallOutcome::Rejected,
            _ => CallOutcome::Failed,
        };
        counters.failed_after_data += u64::from(committed && outcome == CallOutcome::Failed);
        if let Some(AttemptEnd::Status(code, _)) = last {
            Self::count(counters, outcome, code);
            return Directive::ForwardStatus { outcome, retry_after_ms: None };
        }
        let (code, message) = match last {
            _ if over => (Code::DEADLINE_EXCEEDED, "the call's time is over"),
            Some(AttemptEnd::Truncated) => (judged.code, "the backend's answer was cut"),
            Some(AttemptEnd::Malformed) => (judged.code, "the backend's answer can't be read"),
            Some(AttemptEnd::TimedOut) => (judged.code, "the backend did not answer in time"),
            Some(AttemptEnd::HttpStatus(_)) => (judged.code, "the backend's answer is not gRPC"),
            Some(AttemptEnd::Reset(_)) => (judged.code, "the backend reset the call"),
            _ => (judged.code, "the backend was lost"),
        };
        let pushback = (outcome == CallOutcome::Failed && !harmless && !over).then_some(Pushback::Never);
        Self::count(counters, outcome, code);
        Directive::Respond(LocalStatus { code, message, pushback, outcome })
    }

    /// What a driver is told that asks for a call that has ended already: a fault of its own, answered safely.
    fn forgotten() -> Directive {
        let (code, message) = (Code::INTERNAL, "the call has ended");
        Directive::Respond(LocalStatus {
            code,
            message,
            pushback: Some(Pushback::Never),
            outcome: CallOutcome::Failed,
        })
    }
}

/// The affinity's hash of a call, from its path and the header that counts.
pub fn object(affinity: &Affinity, path: &str, header: impl Fn(&str) -> Option<Vec<u8>>) -> Option<u64> {
    match affinity {
        Affinity::Call => None,
        Affinity::Method => Some(super::routes::hash(path.as_bytes())),
        Affinity::Header(name) => header(name).map(|value| super::routes::hash(&value)),
    }
}
