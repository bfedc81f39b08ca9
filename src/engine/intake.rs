//! Requests of clients: taking them in, and letting go of those whose client has left.

use super::Engine;
use crate::clock::micros_from_ms;
use crate::state::requests::{AdmitError, IncomingRequest};
use crate::{Event, RequestId};

impl Engine {
    /// Takes a request in. From now on it gets exactly one [`Effect::Answer`], unless its client leaves.
    pub fn request(&mut self, ask: IncomingRequest) -> Result<(), AdmitError> {
        let event = Event::Request {
            id: ask.id,
            class: ask.class,
            object: ask.object,
            group: ask.group,
            part: ask.part,
            size_kb: ask.size_kb,
            deadline_at: micros_from_ms(ask.give_up_ms),
        };
        let class = ask.class;
        if let Err(reason) = self.requests.take(ask) {
            let tally = self.tallies.of(self.env.class_name(class).unwrap_or_default());
            match reason {
                AdmitError::Duplicate => tally.errors += 1,
                AdmitError::Full => tally.shed += 1,
            }
            return Err(reason);
        }
        self.counters.requests += 1;
        self.events.push_back(event);
        self.run();
        Ok(())
    }

    /// A client left: nothing is owed to it, and its attempts are called off.
    pub fn left(&mut self, id: RequestId) {
        if self.requests.end(id).is_some() {
            self.counters.left += 1;
            self.events.push_back(Event::ClientDisconnected { id });
            self.run();
        }
    }
}
