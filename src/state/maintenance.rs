//! Maintenance: endpoints that operators have taken out of use, and when they put them back.

use crate::clock::micros_from_ms;
use crate::endpoint_list::EndpointRecord;
use crate::{EndpointId, EndpointState};
use std::collections::BTreeMap;

/// How long the return of an endpoint is remembered, in milliseconds: longer than any slow start.
const RETURN_RETENTION_MS: f64 = 120_000.0;

/// The last maintenance call for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mark {
    /// The endpoint is out of use; else it was put back.
    pub out: bool,
    /// When the call was made, in Unix milliseconds.
    pub at_ms: f64,
}

/// The last maintenance calls, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Maintenance(BTreeMap<EndpointId, Mark>);

impl Maintenance {
    /// Whether an endpoint is out of use.
    pub fn is_out(&self, id: EndpointId) -> bool {
        self.0.get(&id).is_some_and(|mark| mark.out)
    }

    /// Records a call; returns whether it changes the endpoint's use. A repeated call changes nothing, so
    /// that one return undoes several removals. A call older than the recorded one is ignored.
    pub fn record(&mut self, id: EndpointId, mark: Mark) -> bool {
        let is_older = self.0.get(&id).is_some_and(|recorded| recorded.at_ms > mark.at_ms);
        if self.is_out(id) == mark.out || is_older {
            return false;
        }
        self.0.insert(id, mark);
        true
    }

    /// Drops returns of long ago; `now` in Unix milliseconds.
    pub fn forget_old_returns(&mut self, now: f64) {
        self.0.retain(|_, mark| mark.out || now < mark.at_ms + RETURN_RETENTION_MS);
    }

    /// All calls held, by endpoint.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, Mark)> + '_ {
        self.0.iter().map(|(id, mark)| (*id, *mark))
    }

    /// Applies maintenance to an endpoint's record: one that is out of use is draining whatever the list
    /// says, and one that was put back has been restarted meanwhile and warms up.
    pub fn apply(&self, record: &mut EndpointRecord) {
        match self.0.get(&record.id) {
            Some(mark) if mark.out && record.state == EndpointState::Active => {
                record.state = EndpointState::Draining;
            }
            Some(mark) if !mark.out => {
                record.started_at = record.started_at.max(micros_from_ms(mark.at_ms));
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
