//! Active health checks of endpoints whose attempts fail, to find out whether their process still responds.

use super::{Actions, Router};
use crate::interface::*;
use crate::stats::LeakyBucket;

/// Consecutive failures after which a cache is checked, and consecutive unanswered checks after which an
/// endpoint is down.
const MIN_FAILURES: u32 = 2;
/// Minimum time between checks of an endpoint that responds, in microseconds, since each check has a cost.
const MIN_CHECK_GAP: Micros = 3_000_000;
/// Delay from an unanswered check to the next one, in microseconds.
const RECHECK_DELAY: Micros = 300_000;
/// Delay from an unanswered check to the next one while the endpoint is down, in microseconds.
const RECHECK_DELAY_DOWN: Micros = 1_000_000;
/// Flag in the timer tokens of health checks; the lower bits contain the endpoint's id.
const TIMER_TOKEN_FLAG: u64 = 1 << 32;

impl Router {
    /// Counts a failed attempt of an endpoint and requests a health check if needed, as failures alone do not
    /// distinguish a process that has died from an overloaded one: one router sees too few of them.
    /// `conclusive` marks a failure that can only be the endpoint's own.
    pub(super) fn record_failure(
        &mut self,
        now: Micros,
        id: EndpointId,
        conclusive: bool,
        actions: &mut Actions,
    ) {
        let can_check = self.settings.can_check_health;
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if endpoint.listed.tier == Tier::Origin {
            return;
        }
        let health = &mut endpoint.health;
        health.consecutive_failures += 1;
        let is_parent = endpoint.listed.tier == Tier::Parent;
        let needs_check = conclusive || is_parent || health.consecutive_failures >= MIN_FAILURES;
        let due = health.unanswered_checks == 0 && now >= health.checked_at + MIN_CHECK_GAP;
        if can_check && needs_check && due && endpoint.listed.state == EndpointState::Active {
            health.checked_at = now;
            actions.push(Action::CheckHealth { endpoint: id });
        }
    }

    /// Repeats an unanswered health check when its timer is due.
    pub(super) fn on_recheck_due(&self, token: u64, actions: &mut Actions) {
        let id = (token & u64::from(EndpointId::MAX)) as EndpointId;
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        if endpoint.health.unanswered_checks > 0 && endpoint.listed.state == EndpointState::Active {
            actions.push(Action::CheckHealth { endpoint: id });
        }
    }

    /// Applies the result of a health check.
    pub(super) fn on_health_checked(
        &mut self,
        now: Micros,
        id: EndpointId,
        outcome: AttemptOutcome,
        actions: &mut Actions,
    ) {
        // Drawn for every result, so that the random sequence does not depend on the outcome.
        let warm_up_load = self.initial_warm_up_load();
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let health = &mut endpoint.health;
        let unreachable = matches!(outcome, AttemptOutcome::NoConnection | AttemptOutcome::ConnectionLost);
        if unreachable || outcome == AttemptOutcome::TimedOut {
            health.unanswered_checks += 1;
            health.down |= unreachable || health.unanswered_checks >= MIN_FAILURES;
            let delay = if health.down { RECHECK_DELAY_DOWN } else { RECHECK_DELAY };
            actions.push(Action::SetTimer { token: TIMER_TOKEN_FLAG | u64::from(id), at: now + delay });
            return;
        }
        health.unanswered_checks = 0;
        if std::mem::replace(&mut health.down, false) {
            // Probably a new process with an empty cache that the endpoint list does not show yet.
            health.restarted_at = now;
            health.reset_outcomes();
            endpoint.warm_up_load = LeakyBucket::new(now, warm_up_load);
        }
    }
}
