//! Submission of client requests, and their removal when the client disconnects.

use super::Engine;
use crate::clock::micros_from_ms;
use crate::state::requests::{IncomingRequest, SubmitError};
use crate::{Event, RequestId};

impl Engine {
    /// Accepts a request. It gets exactly one [`Effect::Respond`](super::Effect::Respond), unless its client
    /// disconnects first.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] if a request with its id is open or the request table is full.
    pub fn submit(&mut self, request: IncomingRequest) -> Result<(), SubmitError> {
        let class = request.class;
        let event = Event::Request {
            id: request.id,
            class,
            object: request.object,
            group: request.group,
            part: request.part,
            size_kb: request.size_kb,
            deadline_at: micros_from_ms(request.deadline_ms),
        };
        if let Err(error) = self.requests.insert(request) {
            let counters = self.class_counters.class_mut(self.settings.class_name(class).unwrap_or_default());
            match error {
                SubmitError::Duplicate => counters.failed += 1,
                SubmitError::Full => counters.rejected += 1,
            }
            return Err(error);
        }
        self.counters.requests += 1;
        self.events.push_back(event);
        self.process_events();
        Ok(())
    }

    /// Removes a request whose client disconnected; the router cancels its attempts.
    pub fn client_disconnected(&mut self, id: RequestId) {
        if self.requests.remove(id).is_some() {
            self.counters.clients_disconnected += 1;
            self.events.push_back(Event::ClientDisconnected { id });
            self.process_events();
        }
    }
}
