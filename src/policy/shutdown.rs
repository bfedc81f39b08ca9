//! The shutdown of the process: no request may end after the time at which the process may be killed.

use super::pending_request::PendingRequest;
use super::Router;
use crate::interface::*;

impl Router {
    /// Limits the deadlines of all open and future requests.
    pub(super) fn on_deadlines_limited(&mut self, at: Micros) {
        self.deadline_limit = at;
        for request in self.requests.values_mut().filter(|request| request.deadline_at > at) {
            request.deadline_at = at;
            let in_flight = request.attempts.iter_mut().filter(|attempt| attempt.in_flight);
            in_flight.for_each(|attempt| attempt.timeout_shortened = true);
        }
    }

    /// Why a request ends that has too little time left.
    pub(super) fn out_of_time_reason(&self, request: &PendingRequest) -> EndReason {
        if request.deadline_at == self.deadline_limit {
            EndReason::Shutdown
        } else {
            EndReason::DeadlineReached
        }
    }
}
