//! The table of open calls: their attempts, retries, deadlines and outcomes. Backends are chosen by the
//! policy ([`Pool::decide`]). No I/O.
//!
//! Each call gets exactly one [`Directive`] that ends it, unless its client disconnects.

use super::call::{AttemptTarget, CallId, CallOutcome, Directive, LocalStatus, NewCall};
use super::pool::{Decision, ForwardDecision, Pool, PoolSpec};
use super::routes::{MethodKind, Route};
use super::status::{classify, AttemptEnd, Classification, Code, Pushback};
use crate::clock::micros_from_ms;
use crate::engine::executor::Backend;
use crate::{AttemptOutcome, CacheStatus, EndpointId, Event, Idempotency, Micros};
use std::collections::HashMap;
use std::rc::Rc;

/// Minimum remaining time for a retry, in milliseconds. A call with less left counts as out of time.
const MIN_REMAINING_MS: f64 = 10.0;
/// Retry pushback of calls that are rejected because the table is full, in milliseconds.
const OVERLOAD_RETRY_AFTER_MS: f64 = 300.0;
/// Fibonacci hashing multiplier (2^64 divided by the golden ratio) that spreads calls without affinity over
/// backends.
const CALL_HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Limits of the table.
#[derive(Clone, Copy, Debug)]
pub struct CallTableLimits {
    /// Maximum number of open calls.
    pub open_calls: usize,
    /// Maximum number of request bytes buffered for retries, over all calls.
    pub replay_bytes: usize,
}

/// The attempt in progress.
struct ActiveAttempt {
    number: u32,
    backend: EndpointId,
    sent_ms: f64,
    /// When the attempt times out, in Unix milliseconds; infinite if it cannot be retried after a timeout.
    timeout_at_ms: f64,
    /// Its first byte must be sent before this time, in Unix milliseconds, since backends may no longer drop a
    /// later repeat.
    first_byte_by_ms: f64,
    /// When its response headers were sent to the client.
    committed_ms: Option<f64>,
}

/// An open call.
struct Call {
    route: Rc<Route>,
    deadline_ms: f64,
    active: Option<ActiveAttempt>,
    attempts: u32,
    /// Whether all request bytes so far are buffered, so that the request can be sent again.
    replayable: bool,
    replay_bytes: usize,
    last_end: Option<AttemptEnd>,
}

/// The open calls of a process, and the backend pools.
pub struct CallTable {
    pools: Vec<Pool>,
    calls: HashMap<CallId, Call>,
    last_id: CallId,
    limits: CallTableLimits,
    replay_bytes: usize,
    seed: u64,
}

impl CallTable {
    /// Creates a table without calls, whose pools have no backends.
    pub fn new(pools: Vec<PoolSpec>, limits: CallTableLimits, seed: u64) -> Self {
        let mut table =
            Self { pools: Vec::new(), calls: HashMap::new(), last_id: 0, limits, replay_bytes: 0, seed };
        table.reconfigure(pools);
        table
    }

    /// Updates the settings of existing pools, matched by name, and adds new ones. Pools that are no longer
    /// listed are kept for their open calls.
    pub fn reconfigure(&mut self, pools: Vec<PoolSpec>) {
        for spec in pools {
            match self.pools.iter_mut().find(|pool| pool.name() == spec.name) {
                Some(pool) => pool.reconfigure(spec.settings),
                None => {
                    let seed = self.seed ^ self.pools.len() as u64;
                    self.pools.push(Pool::new(spec, seed));
                }
            }
        }
    }

    /// Finds the index of a pool by its name.
    pub fn pool_index(&self, name: &str) -> Option<usize> {
        self.pools.iter().position(|pool| pool.name() == name)
    }

    /// All pools, by index.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Replaces a pool's list of backends.
    pub fn set_backends(&mut self, now: f64, pool: usize, backends: &[Backend]) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.set_backends(now, backends);
        }
    }

    /// Whether a backend is listed in the pool and not draining.
    pub fn accepts_calls(&self, pool: usize, backend: EndpointId) -> bool {
        self.pools.get(pool).and_then(|pool| pool.backend(backend)).is_some_and(|backend| backend.live)
    }

    /// Adds a call, or rejects it if the table is full.
    pub fn begin(&mut self, now: f64, new_call: NewCall) -> (CallId, Directive) {
        self.last_id += 1;
        let id = self.last_id;
        let deadline_ms = new_call.deadline_ms();
        let NewCall { route, affinity_hash, timeout_ms, .. } = new_call;
        let counters = &mut self.pools[route.pool].counters;
        let is_shortened =
            timeout_ms.zip(route.deadline_ms).is_some_and(|(client_ms, route_ms)| route_ms < client_ms);
        counters.deadlines_shortened += u64::from(is_shortened);
        if self.calls.len() >= self.limits.open_calls {
            let status = LocalStatus::rejected("too many calls are open", Some(OVERLOAD_RETRY_AFTER_MS));
            counters.count(status.outcome, status.code);
            return (id, Directive::Respond(status));
        }
        let object =
            affinity_hash.unwrap_or_else(|| self.seed.wrapping_add(id).wrapping_mul(CALL_HASH_MULTIPLIER));
        let (pool, class) = (route.pool, route.class.clone());
        let call = Call {
            route,
            deadline_ms,
            active: None,
            attempts: 0,
            replayable: true,
            replay_bytes: 0,
            last_end: None,
        };
        self.calls.insert(id, call);
        let deadline_at = micros_from_ms(deadline_ms);
        let event = Event::Request {
            id,
            class,
            object,
            group: 0,
            part: 0,
            size_kb: 0.0,
            deadline_at,
            repeatable_until: Micros::MAX,
        };
        let decision = self.pools[pool].decide(now, id, &event);
        (id, self.apply_decision(now, id, decision))
    }

    /// The remaining time of the current attempt, in milliseconds; called just before it is sent. Returns
    /// `None` if it must not be sent, because its backend is draining or no longer listed, less than 1 ms
    /// remains, or backends may no longer drop a repeat by its idempotency key.
    pub fn remaining_attempt_ms(&mut self, now: f64, id: CallId) -> Option<f64> {
        let call = self.calls.get(&id)?;
        let attempt = call.active.as_ref()?;
        let remaining_ms = attempt.timeout_at_ms.min(call.deadline_ms) - now;
        let is_in_time = remaining_ms >= 1.0 && now < attempt.first_byte_by_ms;
        (is_in_time && self.accepts_calls(call.route.pool, attempt.backend)).then_some(remaining_ms)
    }

    /// When the current attempt times out, in Unix milliseconds: at the call's deadline, or earlier at the
    /// attempt's own timeout if its response has not begun.
    pub fn timeout_at_ms(&self, id: CallId) -> f64 {
        let Some(call) = self.calls.get(&id) else { return f64::NEG_INFINITY };
        let uncommitted = call.active.as_ref().filter(|attempt| attempt.committed_ms.is_none());
        uncommitted.map_or(f64::INFINITY, |attempt| attempt.timeout_at_ms).min(call.deadline_ms)
    }

    /// The call's deadline, in Unix milliseconds.
    pub fn deadline_ms(&self, id: CallId) -> f64 {
        self.calls.get(&id).map_or(f64::NEG_INFINITY, |call| call.deadline_ms)
    }

    /// Marks a call as committed: its response headers were sent to the client, so it can no longer be
    /// retried.
    pub fn commit(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let pool = call.route.pool;
        let Some(attempt) = &mut call.active else { return };
        attempt.committed_ms = Some(now);
        let event = Event::ResponseStarted { id, attempt: attempt.number };
        self.release_replay(id);
        self.pools[pool].decide(now, id, &event);
    }

    /// Reserves retry buffer space for `bytes` more of the call's request, up to `max_bytes` per call.
    /// Returns false if a limit is exceeded: the caller must drop its buffer, and the call is no longer
    /// retried.
    pub fn reserve_replay(&mut self, id: CallId, bytes: usize, max_bytes: usize) -> bool {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.replayable) else { return false };
        let exceeds_call = call.replay_bytes + bytes > max_bytes;
        let exceeds_total = self.replay_bytes + bytes > self.limits.replay_bytes;
        if exceeds_call || exceeds_total {
            call.replayable = false;
            self.release_replay(id);
            return false;
        }
        call.replay_bytes += bytes;
        self.replay_bytes += bytes;
        true
    }

    fn release_replay(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            self.replay_bytes -= std::mem::take(&mut call.replay_bytes);
        }
    }

    /// Records the end of the current attempt and returns the next directive. Any directive other than
    /// [`Directive::StartAttempt`] ends the call.
    pub fn attempt_ended(&mut self, now: f64, id: CallId, end: AttemptEnd) -> Directive {
        let Some(call) = self.calls.get_mut(&id) else { return already_ended() };
        let Some(attempt) = call.active.take() else { return already_ended() };
        let route = call.route.clone();
        let remaining_ms = call.deadline_ms - now;
        call.last_end = Some(end);
        let committed = attempt.committed_ms.is_some();
        let classified = classify(end, committed, route.idempotency, &route.retry);
        let retry = classified.retryable && call.replayable && remaining_ms >= MIN_REMAINING_MS;
        let event = Event::AttemptEnded {
            id,
            attempt: attempt.number,
            outcome: outcome_for_policy(&route, end, &classified, remaining_ms),
            cache_status: CacheStatus::Unknown,
            elapsed: micros_from_ms(latency_end_ms(&route, &attempt, now) - attempt.sent_ms),
            closed: !retry,
        };
        let pool = &mut self.pools[route.pool];
        pool.counters.not_sent += u64::from(end == AttemptEnd::NotSent);
        let decision = pool.decide(now, id, &event);
        if retry {
            return self.apply_decision(now, id, decision);
        }
        self.end_with_attempt(id, committed, classified, remaining_ms)
    }

    /// Removes a call whose client disconnected or reset it. No status is sent.
    pub fn client_disconnected(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (attempt, pool) = (call.active.take(), call.route.pool);
        self.pools[pool].decide(now, id, &Event::ClientDisconnected { id });
        if let Some(attempt) = attempt {
            self.pools[pool].decide(now, id, &attempt_cancelled_event(now, id, &attempt));
        }
        self.remove(id);
        self.pools[pool].counters.count(CallOutcome::ClientDisconnected, Code::CANCELLED);
    }

    /// Cancels the current attempt, if any, and ends the call with this status.
    pub fn abort(&mut self, now: f64, id: CallId, status: LocalStatus) -> Directive {
        let Some(call) = self.calls.get_mut(&id) else { return already_ended() };
        let pool = call.route.pool;
        let event = match call.active.take() {
            Some(attempt) => attempt_cancelled_event(now, id, &attempt),
            None => Event::ClientDisconnected { id },
        };
        self.pools[pool].decide(now, id, &event);
        self.remove(id);
        self.pools[pool].counters.count(status.outcome, status.code);
        Directive::Respond(status)
    }

    /// The number of open calls.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// The number of request bytes reserved for retries.
    pub fn replay_bytes(&self) -> usize {
        self.replay_bytes
    }

    fn remove(&mut self, id: CallId) {
        self.release_replay(id);
        self.calls.remove(&id);
    }

    /// Turns the policy's decision about a call into a directive.
    fn apply_decision(&mut self, now: f64, id: CallId, decision: Option<Decision>) -> Directive {
        match decision {
            Some(Decision::Forward(forward)) => self.start_attempt(now, id, forward),
            Some(Decision::Reject { retry_after_ms }) => self.end_by_policy(now, id, Some(retry_after_ms)),
            Some(Decision::Fail) | None => self.end_by_policy(now, id, None),
        }
    }

    fn start_attempt(&mut self, now: f64, id: CallId, forward: ForwardDecision) -> Directive {
        let ForwardDecision { to: backend, timeout_ms, first_byte_by_ms } = forward;
        let Some(call) = self.calls.get_mut(&id) else { return already_ended() };
        let pool = &mut self.pools[call.route.pool];
        let Some(address) = pool.backend(backend).map(|backend| backend.address) else {
            // The policy chooses only listed backends. If it ever does not, the call must still end.
            return self.end_by_policy(now, id, None);
        };
        // Only attempts of idempotent unary calls have a timeout of their own; others have until the call's
        // deadline.
        let timeout_at_ms = match (call.route.kind, call.route.idempotency) {
            (MethodKind::Unary, Idempotency::Idempotent | Idempotency::WithKey) => now + timeout_ms,
            _ => f64::INFINITY,
        };
        let attempt = call.attempts;
        call.attempts += 1;
        pool.counters.attempts += 1;
        pool.counters.retries += u64::from(attempt > 0);
        call.active = Some(ActiveAttempt {
            number: attempt,
            backend,
            sent_ms: now,
            timeout_at_ms,
            first_byte_by_ms,
            committed_ms: None,
        });
        Directive::StartAttempt(AttemptTarget { attempt, backend, address })
    }

    /// Ends a call that the policy rejected or failed. `rejection_retry_after_ms` is the retry pushback of a
    /// rejection (0 for none), or `None` if the policy failed the call.
    fn end_by_policy(&mut self, now: f64, id: CallId, rejection_retry_after_ms: Option<f64>) -> Directive {
        let Some(call) = self.calls.get(&id) else { return already_ended() };
        let (last_end, pool) = (call.last_end, call.route.pool);
        let out_of_time = call.deadline_ms - now < MIN_REMAINING_MS;
        let outcome =
            if rejection_retry_after_ms.is_some() { CallOutcome::Rejected } else { CallOutcome::Failed };
        let retry_after_ms = rejection_retry_after_ms.filter(|ms| *ms > 0.0);
        self.remove(id);
        let counters = &mut self.pools[pool].counters;
        if let Some(AttemptEnd::Status(code, _)) = last_end {
            counters.count(outcome, code);
            return Directive::ForwardStatus { outcome, retry_after_ms };
        }
        let (code, message) = generated_status(last_end, out_of_time);
        let pushback = match rejection_retry_after_ms {
            Some(_) => retry_after_ms.map(Pushback::After),
            None => Some(Pushback::Never),
        };
        counters.count(outcome, code);
        Directive::Respond(LocalStatus { code, message, pushback, outcome })
    }

    /// Ends a call that is not retried, with the result of its last attempt.
    fn end_with_attempt(
        &mut self,
        id: CallId,
        committed: bool,
        classified: Classification,
        remaining_ms: f64,
    ) -> Directive {
        let Some(call) = self.calls.get(&id) else { return already_ended() };
        let (last_end, route) = (call.last_end, call.route.clone());
        self.remove(id);
        let counters = &mut self.pools[route.pool].counters;
        let idempotent_or_never_ran =
            route.idempotency == Idempotency::Idempotent || classified.outcome.never_ran();
        let safe_to_retry = !committed && idempotent_or_never_ran;
        let has_status = matches!(last_end, Some(AttemptEnd::Status(..)));
        let out_of_time = remaining_ms < MIN_REMAINING_MS && !has_status;
        let outcome = match classified.code {
            Code::OK => CallOutcome::Served,
            code if code.is_overload() && safe_to_retry && !out_of_time => CallOutcome::Rejected,
            _ => CallOutcome::Failed,
        };
        counters.failed_after_data += u64::from(committed && outcome == CallOutcome::Failed);
        if let Some(AttemptEnd::Status(code, _)) = last_end {
            counters.count(outcome, code);
            return Directive::ForwardStatus { outcome, retry_after_ms: None };
        }
        let (code, message) = match last_end {
            _ if out_of_time => (Code::DEADLINE_EXCEEDED, "the call's time is over"),
            end => (classified.code, message_for_attempt_end(end)),
        };
        let must_not_retry = outcome == CallOutcome::Failed && !safe_to_retry && !out_of_time;
        counters.count(outcome, code);
        Directive::Respond(LocalStatus {
            code,
            message,
            pushback: must_not_retry.then_some(Pushback::Never),
            outcome,
        })
    }
}

/// The directive returned for an event of a call that is no longer in the table.
fn already_ended() -> Directive {
    Directive::Respond(LocalStatus::already_ended())
}

/// The event for an attempt that is cancelled together with its call.
fn attempt_cancelled_event(now: f64, id: CallId, attempt: &ActiveAttempt) -> Event {
    Event::AttemptEnded {
        id,
        attempt: attempt.number,
        outcome: AttemptOutcome::Cancelled,
        cache_status: CacheStatus::Unknown,
        elapsed: micros_from_ms(now - attempt.sent_ms),
        closed: true,
    }
}

/// The time up to which an attempt's latency is measured. For streams it is the start of the response,
/// because their total duration says nothing about the backend's speed.
fn latency_end_ms(route: &Route, attempt: &ActiveAttempt, now: f64) -> f64 {
    match (route.kind, attempt.committed_ms) {
        (MethodKind::Stream, Some(committed_ms)) => committed_ms,
        _ => now,
    }
}

/// The outcome that is reported to the policy. A stream that reaches its deadline is not counted against its
/// backend.
fn outcome_for_policy(
    route: &Route,
    end: AttemptEnd,
    classified: &Classification,
    remaining_ms: f64,
) -> AttemptOutcome {
    let at_deadline = end == AttemptEnd::TimedOut && remaining_ms < MIN_REMAINING_MS;
    if at_deadline && route.kind == MethodKind::Stream {
        AttemptOutcome::Cancelled
    } else {
        classified.outcome
    }
}

/// The code and message for a call whose last attempt ended without a status, or that had no attempt.
fn generated_status(last_end: Option<AttemptEnd>, out_of_time: bool) -> (Code, &'static str) {
    match last_end {
        _ if out_of_time => (Code::DEADLINE_EXCEEDED, "the call's time is over"),
        None => (Code::UNAVAILABLE, "no backend takes the call"),
        Some(AttemptEnd::TimedOut) => (Code::UNAVAILABLE, "no backend answered in time"),
        Some(end) => {
            let code = classify(end, false, Idempotency::Idempotent, &[]).code;
            (code, "the call's attempts failed at their backends")
        }
    }
}

/// The message for a call whose final attempt ended without a status.
fn message_for_attempt_end(end: Option<AttemptEnd>) -> &'static str {
    match end {
        Some(AttemptEnd::Truncated) => "the backend's answer was cut",
        Some(AttemptEnd::Malformed) => "the backend's answer can't be read",
        Some(AttemptEnd::TimedOut) => "the backend did not answer in time",
        Some(AttemptEnd::HttpStatus(_)) => "the backend's answer is not gRPC",
        Some(AttemptEnd::Reset(_)) => "the backend reset the call",
        _ => "the backend was lost",
    }
}
