//! Containment of panics: a fault in the handling of one request fails that request, and no other.

use super::Engine;
use crate::panics::contain;
use crate::state::requests::FinalResponse;
use crate::{Action, EndReason, Event, RequestId};

impl Engine {
    /// Runs a step in the handling of a request. If it panics, the request fails, and the router cancels its
    /// attempts; returns `None` then.
    pub(super) fn contain<R>(&mut self, id: RequestId, step: impl FnOnce(&mut Self) -> R) -> Option<R> {
        let result = contain(|| step(self));
        if result.is_err() {
            self.fail_after_panic(id);
        }
        result.ok()
    }

    /// Carries out an action of the router.
    pub(super) fn apply_action_contained(&mut self, action: Action) {
        let id = action.request_id();
        if contain(|| self.apply_action(action)).is_err() {
            match id {
                Some(id) => self.fail_after_panic(id),
                None => self.count_panic(None),
            }
        }
    }

    /// Fails a request whose handling panicked.
    fn fail_after_panic(&mut self, id: RequestId) {
        self.count_panic(Some(id));
        self.end_request(id, FinalResponse::Failed { overdue: false }, EndReason::InternalError);
        // The router must drop the request and cancel its attempts, as after a disconnect.
        self.events.push_back(Event::ClientDisconnected { id });
    }

    /// Counts and logs a panic, with the request whose handling panicked.
    pub(super) fn count_panic(&mut self, id: Option<RequestId>) {
        self.counters.panics += 1;
        let id = id.map(|id| format!("{id:016x}"));
        tracing::error!(id, "a decision panicked");
    }
}
