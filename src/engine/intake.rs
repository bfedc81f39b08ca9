//! Requests of clients: taking them in, and letting go of those whose client has left.

use super::Engine;
use crate::clock::micros_from_ms;
use crate::state::requests::{AdmitError, IncomingRequest};
use crate::{Event, RequestId};

impl Engine {
    /// Takes a request in. From now on it gets exactly one [`Effect::Respond`], unless its client leaves.
    pub fn submit(&mut self, ask: IncomingRequest) -> Result<(), AdmitError> {
        let event = Event::Request {
            id: ask.id,
            class: ask.class,
            object: ask.object,
            group: ask.group,
            part: ask.part,
            size_kb: ask.size_kb,
            deadline_at: micros_from_ms(ask.deadline_ms),
        };
        let class = ask.class;
        if let Err(reason) = self.requests.admit(ask) {
            let class_counter = self.class_counters.of(self.settings.class_name(class).unwrap_or_default());
            match reason {
                AdmitError::Duplicate => class_counter.errors += 1,
                AdmitError::Full => class_counter.shed += 1,
            }
            return Err(reason);
        }
        self.counters.requests += 1;
        self.events.push_back(event);
        self.process_events();
        Ok(())
    }

    /// A client left: nothing is owed to it, and its attempts are called off.
    pub fn client_disconnected(&mut self, id: RequestId) {
        if self.requests.remove(id).is_some() {
            self.counters.left += 1;
            self.events.push_back(Event::ClientDisconnected { id });
            self.process_events();
        }
    }
}
