//! Submission of client requests, and their removal when the client disconnects.

use super::Engine;
use crate::clock::micros_from_ms;
use crate::settings::PlatformClass;
use crate::state::counters::ClassCounters;
use crate::state::requests::{IncomingRequest, SubmitError};
use crate::{Event, Micros, RequestId};

impl Engine {
    /// Accepts a request. It gets exactly one [`Effect::Respond`](super::Effect::Respond), unless its client
    /// disconnects first.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] if a request with its id is open or the request table is full.
    pub fn submit(&mut self, request: IncomingRequest) -> Result<(), SubmitError> {
        let request = self.with_limited_deadline(request);
        let class = request.class.clone();
        let (deadline_ms, id_text) = (request.deadline_ms, request.id_text.clone());
        let event = Event::Request {
            id: request.id,
            class: class.policy().clone(),
            object: request.object,
            group: request.group,
            part: request.part,
            size_kb: request.size_kb,
            deadline_at: micros_from_ms(request.deadline_ms),
            repeatable_until: request.repeatable_until_ms.map_or(Micros::MAX, micros_from_ms),
        };
        if let Err(error) = self.requests.insert(request) {
            match error {
                SubmitError::Duplicate => self.count_duplicate(&class),
                SubmitError::Full => self.counters_of(&class).rejected += 1,
            }
            return Err(error);
        }
        self.counters.requests += 1;
        tracing::debug!(
            id = id_text,
            class = class.name(),
            time_left_ms = deadline_ms - self.clock.now(),
            "request accepted"
        );
        self.events.push_back(event);
        self.process_events();
        Ok(())
    }

    /// Whether a request with this id may have run recently and could take effect again. Fronts whose clients send
    /// each id once ask before they submit a request; counts a repeat as failed.
    pub fn is_repeat(&mut self, request: &IncomingRequest) -> bool {
        if request.class.is_idempotent() {
            return false;
        }
        let now = self.clock.now();
        let is_repeat = self.recent_writes.contains(now, request.id);
        if is_repeat {
            self.count_duplicate(&request.class);
        }
        is_repeat
    }

    /// Counts a request that is not accepted because its id belongs to another request.
    pub(super) fn count_duplicate(&mut self, class: &PlatformClass) {
        self.counters_of(class).failed += 1;
    }

    /// The counters of a class.
    fn counters_of(&mut self, class: &PlatformClass) -> &mut ClassCounters {
        self.class_counters.class_mut(class.name())
    }

    /// Limits the deadlines of all open and future requests to a time in Unix milliseconds, because the process
    /// stops.
    pub fn limit_deadlines(&mut self, limit_ms: f64) {
        self.deadline_limit_ms = self.deadline_limit_ms.min(limit_ms);
        self.requests.limit_deadlines(self.deadline_limit_ms);
        self.attempts.limit_timeouts(self.deadline_limit_ms);
        self.events.push_back(Event::DeadlinesLimited { at: micros_from_ms(self.deadline_limit_ms) });
        self.process_events();
    }

    /// Returns a request with its deadline limited as by [`Self::limit_deadlines`].
    pub(super) fn with_limited_deadline(&self, request: IncomingRequest) -> IncomingRequest {
        IncomingRequest { deadline_ms: request.deadline_ms.min(self.deadline_limit_ms), ..request }
    }

    /// Logs a warning for each request without a final response.
    pub fn log_open_requests(&self) {
        for request in self.requests.iter() {
            tracing::warn!(
                id = request.id_text,
                class = request.class.name(),
                "request ends without a response"
            );
        }
    }

    /// Removes a request whose client disconnected; the router cancels its attempts.
    pub fn client_disconnected(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(id) {
            tracing::debug!(id = request.id_text, "request ended: its client has disconnected");
            self.counters.clients_disconnected += 1;
            self.events.push_back(Event::ClientDisconnected { id });
            self.process_events();
        }
    }
}
