//! Containment of panics: a fault in one decision ends the request that it is about, and no other.

use super::Router;
use crate::interface::*;
use crate::panics::{contain, Panicked};

impl Router {
    /// Like [`Self::handle`], but contains a panic: the request that the event is about fails, and is
    /// forgotten with its attempts.
    ///
    /// # Errors
    ///
    /// [`Panicked`] if the decision panicked. The actions then end the event's request, if it has one.
    pub fn handle_contained(
        &mut self,
        now: Micros,
        event: &Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), Panicked> {
        let earlier_actions = actions.len();
        contain(|| self.handle(now, event, actions)).inspect_err(|Panicked| {
            actions.truncate(earlier_actions);
            if let Some(id) = event.request_id() {
                self.forget(id, actions);
                actions.push(Action::Fail { id, reason: EndReason::InternalError });
            }
        })
    }

    /// Forgets a request and cancels its attempts in flight, if the settings allow that.
    fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        for (number, attempt) in (0..).zip(&request.attempts).filter(|(_, attempt)| attempt.in_flight) {
            if let Some(endpoint) = self.endpoints.get_mut(&attempt.path.to) {
                endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            }
            if self.settings.can_cancel {
                actions.push(Action::Cancel { id, attempt: number });
            }
        }
    }
}

// Outside this folder, all of whose files deploy/balancer.toml lists.
#[cfg(test)]
#[path = "../../tests/unit/policy_containment.rs"]
mod tests;
