//! The life cycle of a request: its attempts with their timeouts, and its final response.

use super::pending_request::{Attempt, AttemptPath, EndedAttempt, FillScope, PendingRequest};
use super::{Actions, Router};
use crate::interface::*;

/// Minimum time until the deadline for another attempt, in microseconds.
const MIN_TIME_LEFT: Micros = 10_000;
/// Minimum timeout as a multiple of the latency objective.
const MIN_TIMEOUT_FACTOR: f64 = 1.2;
/// Minimum timeout under congestion as a multiple of the latency objective: ending a slow attempt wastes the
/// data already sent.
const MIN_TIMEOUT_FACTOR_CONGESTED: f64 = 2.5;
/// Maximum fraction of the time until the deadline that an attempt may use if a retry fits after it.
const MAX_TIMEOUT_FRACTION: f64 = 0.85;
/// Retention rank of an object that was not requested before.
const FIRST_REQUEST_RANK: u8 = 1;
/// Retention rank of an object that was requested before.
const REPEATED_REQUEST_RANK: u8 = 2;
/// Retention rank of a response that is not cached.
const UNCACHEABLE_RANK: u8 = 0;
/// Mean `retry_after` of rejected requests, in microseconds. A later retry earns the client little.
const RETRY_AFTER: f64 = 120_000.0;
/// Minimum of the random factor on [`RETRY_AFTER`]; the factor is uniform over an interval of length 1.
const MIN_RETRY_AFTER_FACTOR: f64 = 0.5;

/// The attempt that a retry follows.
#[derive(Clone, Copy)]
struct PreviousAttempt {
    outcome: AttemptOutcome,
    /// Cost of the retry, taken from the retry budget.
    retry_cost: f64,
}

/// The timeout of an attempt.
struct Timeout {
    duration: Micros,
    /// The timeout was cut short by the request's deadline.
    shortened: bool,
}

impl Router {
    /// Accepts a client's request. Exactly one final response follows, unless the client disconnects.
    pub(super) fn on_request(
        &mut self,
        now: Micros,
        id: RequestId,
        request: PendingRequest,
        actions: &mut Actions,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        self.credit_retry_budget(now);
        self.object_counts.add(now, request.object);
        self.requests.insert(id, request);
        self.advance(now, id, None, actions);
    }

    /// Sends a request's next attempt or its final response.
    fn advance(
        &mut self,
        now: Micros,
        id: RequestId,
        previous: Option<PreviousAttempt>,
        actions: &mut Actions,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let cost = previous.map_or(0.0, |previous| previous.retry_cost);
        let fill_scope = self.next_fill_scope(now, request, previous);
        let allowed = self.may_attempt(now, request, cost);
        if let (Some(request), Ok(fill_scope)) = (self.requests.get_mut(&id), fill_scope) {
            request.fill_scope = fill_scope;
        }
        let allowed = fill_scope.and(allowed);
        match allowed.and_then(|()| self.send_attempt(now, id, actions)) {
            Ok(()) => self.charge_retry_budget(now, cost),
            Err(reason) => self.reject_or_fail(now, id, reason, actions),
        }
    }

    /// The fill scope of the next attempt, or why there is none. A cache miss of an attempt is not retried.
    fn next_fill_scope(
        &self,
        now: Micros,
        request: &PendingRequest,
        previous: Option<PreviousAttempt>,
    ) -> Result<FillScope, EndReason> {
        match previous {
            None => self.admit(now, request).ok_or(EndReason::LoadShed),
            Some(previous) if previous.outcome == AttemptOutcome::CacheMiss => Err(EndReason::CacheMiss),
            Some(_) => Ok(request.fill_scope),
        }
    }

    /// Whether the deadline, the retry budget and the maximum number of attempts allow another attempt.
    fn may_attempt(&self, now: Micros, request: &PendingRequest, cost: f64) -> Result<(), EndReason> {
        let time_left = request.deadline_at.saturating_sub(now);
        let max_attempts = self.settings.max_attempts.max(1) as usize;
        if time_left < MIN_TIME_LEFT {
            Err(self.out_of_time_reason(request))
        } else if request.attempts.len() >= max_attempts {
            Err(EndReason::MaxAttempts)
        } else if !self.has_retry_budget(now, cost) {
            Err(EndReason::RetryBudgetExhausted)
        } else if self.is_too_late(now, request) {
            Err(EndReason::LatencyObjectiveMissed)
        } else {
            Ok(())
        }
    }

    /// Whether a request of a congested class is past its latency objective, so that another attempt would
    /// add load for a response that is late anyway.
    fn is_too_late(&self, now: Micros, request: &PendingRequest) -> bool {
        let since_first = request.attempts.first().map_or(0, |attempt| now.saturating_sub(attempt.sent_at));
        since_first as f64 > self.latency_objective(request) && self.is_congested(now, &request.class)
    }

    /// The time after which a response to a request counts as late, in microseconds.
    pub(super) fn latency_objective(&self, request: &PendingRequest) -> f64 {
        let class = &request.class.settings;
        let transfer_time = if request.size_kb > 0.0 {
            self.settings.sending_time(request.size_kb)
        } else {
            request.class.latency.borrow().transfer_time
        };
        (class.latency_objective as f64 + class.latency_stretch * transfer_time).min(class.deadline as f64)
    }

    /// Sends a request's next attempt, or returns why none may be sent.
    fn send_attempt(&mut self, now: Micros, id: RequestId, actions: &mut Actions) -> Result<(), EndReason> {
        let request = self.requests.get(&id).ok_or(EndReason::NoEndpoint)?;
        let mean_transfer_time = request.class.latency.borrow().transfer_time;
        let path = self.next_path(now, request, mean_transfer_time).ok_or(EndReason::NoEndpoint)?;
        if !self.may_repeat_at(now, request, path.to) {
            return Err(EndReason::NotRepeatable);
        }
        let timeout = self.attempt_timeout(now, request);
        actions.push(self.forward(now, id, request, path, timeout.duration));
        self.charge_warm_up_budget(now, path.to, mean_transfer_time);
        if let Some(source) = path.fill_source() {
            self.charge_warm_up_budget(now, source, mean_transfer_time);
        }
        if let Some(endpoint) = self.endpoints.get_mut(&path.to) {
            endpoint.in_flight += 1;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(Attempt {
                path,
                sent_at: now,
                in_flight: true,
                may_have_run: true,
                timeout_shortened: timeout.shortened,
                response_lost: false,
            });
        }
        Ok(())
    }

    /// The timeout of a request's next attempt: the class's usual one, bounded by the latency objective and
    /// by the time until the deadline. If no retry would fit, the attempt may use all of that time.
    fn attempt_timeout(&self, now: Micros, request: &PendingRequest) -> Timeout {
        let time_left = request.deadline_at.saturating_sub(now) as f64;
        let transfer_time = self.settings.sending_time(request.size_kb);
        let usual = request.class.latency.borrow().timeout(transfer_time);
        let congested = self.is_congested(now, &request.class);
        let min_factor = if congested { MIN_TIMEOUT_FACTOR_CONGESTED } else { MIN_TIMEOUT_FACTOR };
        let wanted = usual.max(min_factor * self.latency_objective(request));
        let max = if wanted < time_left { MAX_TIMEOUT_FRACTION * time_left } else { time_left };
        Timeout { duration: wanted.min(max) as Micros, shortened: wanted > max }
    }

    /// Returns the action that sends an attempt.
    fn forward(
        &self,
        now: Micros,
        id: RequestId,
        request: &PendingRequest,
        path: AttemptPath,
        timeout: Micros,
    ) -> Action {
        let class = &request.class.settings;
        // Retries and requests of congested classes accept a stale copy, as a fresh one would likely be late.
        let accept_stale = !request.attempts.is_empty() || self.is_congested(now, &request.class);
        let max_age = self.max_age(now, request, accept_stale, path.to);
        Action::Forward {
            id,
            to: path.to,
            source: path.source,
            join_fill: self.settings.can_join_fills,
            only_if_cached: request.fill_scope == FillScope::ParentOnly && path.fill_source().is_some(),
            revalidate: class.fresh_lifetime > 0 && max_age >= class.fresh_lifetime,
            max_age,
            retention_rank: self.retention_rank(request),
            timeout,
            first_byte_by: self.repeatable_until(request),
        }
    }

    /// The rank at which a cache retains the copy that a request fetches.
    fn retention_rank(&self, request: &PendingRequest) -> u8 {
        if request.class.settings.uncacheable {
            UNCACHEABLE_RANK
        } else if self.object_counts.get(request.object) > 1.0 {
            REPEATED_REQUEST_RANK
        } else {
            FIRST_REQUEST_RANK
        }
    }

    /// Applies the end of an attempt.
    pub(super) fn on_attempt_ended(&mut self, now: Micros, ended: &EndedAttempt, actions: &mut Actions) {
        let Some(path) = self.end_attempt(now, ended) else { return };
        self.update_health(now, path, ended, actions);
        self.update_estimates(now, ended);
        let Some(request) = self.requests.get(&ended.request) else { return };
        if ended.closed || request.concluded || ended.outcome == AttemptOutcome::Served {
            self.conclude(ended.request, actions);
        } else if !request.has_attempt_in_flight() {
            let retry_cost = self.retry_cost(request, ended);
            let previous = PreviousAttempt { outcome: ended.outcome, retry_cost };
            self.advance(now, ended.request, Some(previous), actions);
        }
    }

    /// Marks an attempt as ended and returns its path; `None` if it was not in flight.
    fn end_attempt(&mut self, now: Micros, ended: &EndedAttempt) -> Option<AttemptPath> {
        let request = self.requests.get_mut(&ended.request)?;
        let attempt = request.attempts.get_mut(ended.number).filter(|attempt| attempt.in_flight)?;
        let outcome = ended.outcome;
        attempt.in_flight = false;
        attempt.may_have_run = !outcome.never_ran();
        attempt.response_lost = matches!(outcome, AttemptOutcome::ConnectionLost | AttemptOutcome::Malformed);
        let path = attempt.path;
        if let Some(endpoint) = self.endpoints.get_mut(&path.to) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            if outcome.is_response() {
                endpoint.health.responded_at = now;
            }
        }
        Some(path)
    }

    /// Counts or resets the consecutive failures of the path's endpoints; a failure may request a health
    /// check.
    fn update_health(&mut self, now: Micros, path: AttemptPath, ended: &EndedAttempt, actions: &mut Actions) {
        let source = path.fill_source();
        match ended.outcome {
            AttemptOutcome::NoConnection | AttemptOutcome::ConnectionLost => {
                self.record_failure(now, path.to, true, actions);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Rejected | AttemptOutcome::Error => {
                for id in [Some(path.to), source].into_iter().flatten() {
                    self.record_failure(now, id, false, actions);
                }
            }
            AttemptOutcome::Served => {
                let filled_from = source.filter(|_| ended.cache_status == CacheStatus::Filled);
                for id in [Some(path.to), filled_from].into_iter().flatten() {
                    self.endpoints.entry(id).and_modify(|endpoint| endpoint.health.consecutive_failures = 0);
                }
            }
            _ => {}
        }
    }

    /// Cancels a request's other attempts when the response of one is being sent to the client.
    pub(super) fn on_response_started(&mut self, id: RequestId, attempt: u32, actions: &mut Actions) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.concluded = true;
        self.cancel_attempts_except(id, Some(attempt as usize), actions);
    }

    /// Sends the final response: rejected if the client may safely retry, else failed.
    fn reject_or_fail(&mut self, now: Micros, id: RequestId, reason: EndReason, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        let key_scope = request.class.settings.key_scope;
        let until = self.repeatable_until(request);
        // A retry of the client may reach any endpoint, so all endpoints must drop repeats by the key.
        let repeatable = now < until && (until == Micros::MAX || key_scope == KeyScope::All);
        if repeatable {
            // 2 is the purpose of these draws, which makes them independent of those of warm-up loads.
            let factor = MIN_RETRY_AFTER_FACTOR + self.random.next(2);
            let retry_after = (RETRY_AFTER * factor) as Micros;
            let retry_after = retry_after.min(self.settings.max_retry_after);
            actions.push(Action::Reject { id, retry_after, repeatable_until: until, reason });
        } else {
            actions.push(Action::Fail { id, reason });
        }
        self.conclude(id, actions);
    }

    /// Concludes a request that needs no further response: cancels its attempts, and removes it once none is
    /// in flight.
    pub(super) fn conclude(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut request.concluded, true) {
            self.cancel_attempts_except(id, None, actions);
        }
        if self.requests.get(&id).is_some_and(|request| !request.has_attempt_in_flight()) {
            self.requests.remove(&id);
        }
    }

    fn cancel_attempts_except(&mut self, id: RequestId, excluded: Option<usize>, actions: &mut Actions) {
        if !self.settings.can_cancel {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight && Some(number) != excluded {
                actions.push(Action::Cancel { id, attempt: number as u32 });
            }
        }
    }
}
