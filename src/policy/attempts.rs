//! A request's attempts: their time-outs, which repeats are allowed, the retry budget, and the final answer.

use super::{
    capacity::CONGESTED, health::MAX_HALF_LIFE, Actions, Attempt, KnownEndpoint, PendingRequest, Reach,
    Router,
};
use crate::interface::*;
use crate::stats::{DecayingShare, MeanDeviation};

/// Time an answer takes besides sending, us: ways, queues and a fill's first byte.
const BASE_TIME: f64 = 100_000.0;
/// Weight of a new outcome in a class's pace: some fifty are remembered.
const PACE_GAIN: f64 = 0.02;
/// What a hit takes besides sending, us, and the least sending time, where sizes are not told.
pub(super) const QUICK_WAY: f64 = 20_000.0;
/// What a timed-out attempt is taken to have needed, in multiples of its time-out.
const CENSORED: f64 = 1.5;
/// Retries earned by each new request, so that they can't multiply overload ...
const RETRIES_PER_REQUEST: f64 = 0.05;
/// ... the most saved up, which fades over MAX_HALF_LIFE: a hundred routers that each hold what a busy one
/// may would spend it all at once on the same failing source; and what there is at the start.
const MAX_RETRIES: f64 = 20.0;
pub(super) const INITIAL_RETRIES: f64 = 5.0;
/// With less than this left of a request's time no attempt is worth sending, us.
const MIN_TIME_LEFT: Micros = 10_000;
/// Deviations above the mean at which an attempt is given up, as in TCP's retransmission timer.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// An attempt waits at least this part of the aim, and at most this part of the time left.
const MIN_TIMEOUT_OF_AIM: f64 = 1.2;
/// The same under congestion, where an answer is slow for others' sake and giving it up wastes what was sent.
const MIN_TIMEOUT_CONGESTED: f64 = 2.5;
const MAX_TIMEOUT_OF_LEFT: f64 = 0.85;
/// Ranks at which a copy is kept: the first time this router is asked for an object, and later.
const RANKS: (u8, u8) = (1, 2);
/// Wait hint with a refusal, us, before jitter: a try that comes too late for the aim earns little.
const WAIT_HINT: f64 = 120_000.0;

/// What the answers of a class have shown.
#[derive(Clone, Copy)]
pub(super) struct Pace {
    /// Times of served attempts, in multiples of what their size lets expect.
    time: MeanDeviation,
    /// Mean sending time, us.
    pub(super) work: f64,
    /// Answers in time and late ones, of all endpoints together.
    pub(super) answers: DecayingShare,
}

impl Pace {
    /// What a class is taken to need before any answer.
    pub(super) fn of(class: &RequestClass) -> Self {
        let latency_objective = class.latency_objective as f64;
        let time =
            MeanDeviation::new(0.5 * latency_objective / BASE_TIME, 0.25 * latency_objective / BASE_TIME);
        Self { time, work: 0.5 * latency_objective, answers: DecayingShare::default() }
    }

    /// Learns from the time that an attempt took whose own sending takes `work`, 0 where unknown.
    pub(super) fn learn(&mut self, outcome: AttemptOutcome, work: f64, elapsed: f64) {
        // A time-out counts as a long answer: with the served alone the pace would shrink to what the
        // time-outs let through, and cut ever more of what is merely large.
        let elapsed = if outcome == AttemptOutcome::TimedOut { elapsed * CENSORED } else { elapsed };
        self.time.add(elapsed / (BASE_TIME + work), PACE_GAIN);
        if outcome == AttemptOutcome::Served {
            let own = if work > 0.0 { work } else { (elapsed - QUICK_WAY).max(QUICK_WAY) };
            self.work += PACE_GAIN * (own - self.work);
        }
    }
}

impl Router {
    pub(super) fn on_request(&mut self, now: Micros, event: &Event, actions: &mut Actions) {
        let Event::Request { id, class, object, group, part, size_kb, deadline_at } = *event else { return };
        if class >= self.set.classes.len() {
            return actions.push(Action::Fail { id });
        }
        if self.requests.contains_key(&id) {
            return;
        }
        self.retries.add_up_to(now, MAX_HALF_LIFE, RETRIES_PER_REQUEST, MAX_RETRIES);
        self.counts.add(now, object);
        let (size_kb, attempts, reach, done) = (size_kb.max(0.0), Vec::new(), Reach::Origin, false);
        let req = PendingRequest { class, object, group, part, size_kb, deadline_at, attempts, reach, done };
        self.requests.insert(id, req);
        self.advance(now, id, None, actions);
    }

    /// Sends a request's next attempt, or gives its final answer at once.
    fn advance(
        &mut self,
        now: Micros,
        id: RequestId,
        last: Option<(AttemptOutcome, f64)>,
        actions: &mut Actions,
    ) {
        let Some(req) = self.requests.get(&id) else { return };
        let left = req.deadline_at.saturating_sub(now);
        let cost = last.map_or(0.0, |(_, cost)| cost);
        let saved = self.retries.value(now, MAX_HALF_LIFE);
        let tries = req.attempts.len() < self.set.max_attempts.max(1) as usize;
        // Past its aim a request earns little for a whole sending time more: not where others wait for it.
        let since = req.attempts.first().map_or(0, |a| now.saturating_sub(a.sent));
        let too_late =
            since as f64 > self.latency_objective(req) && self.congestion(now, req.class) > CONGESTED;
        // It was to be had only where it is held, and is not: there was no room for a fill.
        let not_held = last.is_some_and(|(outcome, _)| outcome == AttemptOutcome::CacheMiss);
        let admitted = last.map_or_else(|| self.admit(now, req), |_| Some(req.reach));
        if let (Some(req), Some(reach)) = (self.requests.get_mut(&id), admitted) {
            req.reach = reach;
        }
        let refused = not_held || admitted.is_none();
        let over = left < MIN_TIME_LEFT || saved < cost || !tries || too_late || refused;
        if over || !self.send(now, id, actions) {
            return self.refuse_or_fail(now, id, actions);
        }
        self.retries.add(now, MAX_HALF_LIFE, -cost);
    }

    /// Until when doing a request once more is harmless; later, a keyed one that has run may run again.
    fn repeats_until(&self, req: &PendingRequest) -> Micros {
        let class = &self.set.classes[req.class];
        match (req.attempts.iter().find(|a| a.may_have_run), class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Micros::MAX,
            (Some(first), Idempotency::WithKey) => first.sent + class.key_window,
            (Some(_), Idempotency::NotIdempotent) => 0,
        }
    }

    /// Whether the rule on repeats lets another attempt go to `to`.
    fn may_repeat(&self, now: Micros, req: &PendingRequest, to: EndpointId) -> bool {
        let Some(first) = req.attempts.iter().find(|a| a.may_have_run) else { return true };
        let (a, b) = (self.endpoints.get(&first.to), self.endpoints.get(&to));
        let same = |f: fn(&KnownEndpoint) -> u32| a.map(f).zip(b.map(f)).is_some_and(|(x, y)| x == y);
        let class = &self.set.classes[req.class];
        let scope = match class.key_scope {
            KeyScope::All => true,
            KeyScope::Zone => first.to == to || same(|m| m.line.zone),
            KeyScope::Cell => first.to == to || same(|m| m.line.cell),
        };
        now < self.repeats_until(req) && (scope || class.idempotency == Idempotency::Idempotent)
    }

    pub(super) fn latency_objective(&self, req: &PendingRequest) -> f64 {
        let class = &self.set.classes[req.class];
        let sending = self.set.sending_time(req.size_kb);
        let work = if req.size_kb > 0.0 { sending } else { self.pace[req.class].work };
        (class.latency_objective as f64 + class.latency_stretch * work).min(class.deadline as f64)
    }

    fn send(&mut self, now: Micros, id: RequestId, actions: &mut Actions) -> bool {
        let Some(req) = self.requests.get(&id) else { return false };
        let mean_work = self.pace[req.class].work;
        let Some((to, source)) = self.path(now, req, mean_work) else { return false };
        if !self.may_repeat(now, req, to) {
            return false;
        }
        let class = &self.set.classes[req.class];
        let left = req.deadline_at.saturating_sub(now) as f64;
        let (pace, work, latency_objective) =
            (self.pace[req.class], self.set.sending_time(req.size_kb), self.latency_objective(req));
        let usual = (BASE_TIME + work) * pace.time.above(TIMEOUT_DEVIATIONS);
        let congested = self.congestion(now, req.class) > CONGESTED;
        let least = if congested { MIN_TIMEOUT_CONGESTED } else { MIN_TIMEOUT_OF_AIM };
        let patience = usual.max(least * latency_objective);
        // Where no second try would fit, the first has all there is.
        let most = if patience < left { MAX_TIMEOUT_OF_LEFT * left } else { left };
        let (timeout, cut) = (patience.min(most) as Micros, patience > most);
        // Where fresh copies come too late, an ageing one that is renewed behind is worth more.
        let stale = !req.attempts.is_empty() || congested;
        let max_age = self.age_bound(now, req, stale, to);
        let again = if self.counts.get(req.object) > 1.0 { RANKS.1 } else { RANKS.0 };
        let keep = if class.uncacheable { 0 } else { again };
        let (join, revalidate) =
            (self.set.can_join_fills, class.fresh_lifetime > 0 && max_age >= class.fresh_lifetime);
        let only_if_cached = req.reach == Reach::Parent && source.is_some_and(|s| s != to);
        let first_byte_by = self.repeats_until(req);
        let send = Action::Forward {
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
        };
        actions.push(send);
        self.spend(now, to, mean_work);
        if let Some(source) = source.filter(|s| *s != to) {
            self.spend(now, source, mean_work);
        }
        if let Some(m) = self.endpoints.get_mut(&to) {
            m.inflight += 1;
        }
        if let Some(req) = self.requests.get_mut(&id) {
            let (sent, out, may_have_run, lost) = (now, true, true, false);
            req.attempts.push(Attempt { to, source, sent, out, may_have_run, cut, lost });
        }
        true
    }

    pub(super) fn on_outcome(&mut self, now: Micros, event: &Event, actions: &mut Actions) {
        let Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed, closed } = *event else {
            return;
        };
        let Some(req) = self.requests.get_mut(&id) else { return };
        let Some(a) = req.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        a.lost = matches!(outcome, AttemptOutcome::ConnectionLost | AttemptOutcome::Malformed);
        let (to, source) = (a.to, a.source.filter(|s| *s != a.to));
        if let Some(m) = self.endpoints.get_mut(&to) {
            m.inflight = m.inflight.saturating_sub(1);
            m.health.heard = if outcome.is_answer() { now } else { m.health.heard };
        }
        match outcome {
            AttemptOutcome::NoConnection | AttemptOutcome::ConnectionLost => {
                self.suspect(now, to, true, actions)
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Rejected | AttemptOutcome::Error => {
                [Some(to), source].into_iter().flatten().for_each(|m| self.suspect(now, m, false, actions));
            }
            AttemptOutcome::Served => {
                let filled = source.filter(|_| cache_status == CacheStatus::Filled);
                for id in [Some(to), filled].into_iter().flatten() {
                    self.endpoints.entry(id).and_modify(|m| m.health.run = 0);
                }
            }
            _ => {}
        }
        self.learn(now, event);
        let Some(req) = self.requests.get(&id) else { return };
        let waiting = req.attempts.iter().any(|a| a.out);
        if closed || req.done || outcome == AttemptOutcome::Served {
            self.conclude(id, actions);
        } else if !waiting {
            // The budget guards against retries that multiply work. What was lost on its way costs none; an
            // error has cost no more than the time that it took.
            let cost = match outcome {
                outcome if outcome.is_lost() => 0.0,
                AttemptOutcome::Error => (elapsed as f64 / self.latency_objective(req)).min(1.0),
                _ => 1.0,
            };
            self.advance(now, id, Some((outcome, cost)), actions);
        }
    }

    pub(super) fn on_streaming(&mut self, id: RequestId, attempt: u32, actions: &mut Actions) {
        let Some(req) = self.requests.get_mut(&id) else { return };
        req.done = true; // The client has this attempt; the others are no longer wanted.
        self.cancel_rest(id, Some(attempt as usize), actions);
    }

    /// The final answer, at once: refused where trying again is harmless, else failed.
    fn refuse_or_fail(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(req) = self.requests.get(&id) else { return };
        let class = &self.set.classes[req.class];
        let until = self.repeats_until(req);
        let harmless = now < until && (until == Micros::MAX || class.key_scope == KeyScope::All);
        if harmless {
            let wait = (WAIT_HINT * (0.5 + self.random.next(2))) as Micros;
            actions.push(Action::Reject { id, retry_after: wait.min(self.set.max_retry_after) });
        } else {
            actions.push(Action::Fail { id });
        }
        self.conclude(id, actions);
    }

    /// Nothing more is to be answered: what is still out is called off, and the request goes with its last
    /// outcome.
    pub(super) fn conclude(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(req) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut req.done, true) {
            self.cancel_rest(id, None, actions);
        }
        if self.requests.get(&id).is_some_and(|r| !r.attempts.iter().any(|a| a.out)) {
            self.requests.remove(&id);
        }
    }

    fn cancel_rest(&mut self, id: RequestId, but: Option<usize>, actions: &mut Actions) {
        let Some(req) = self.requests.get(&id).filter(|_| self.set.can_cancel) else { return };
        for (k, a) in req.attempts.iter().enumerate() {
            if a.out && Some(k) != but {
                actions.push(Action::Cancel { id, attempt: k as u32 });
            }
        }
    }
}
