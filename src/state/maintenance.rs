//! Members that operators have taken out of use by hand, and when they put them back.

use crate::endpoint_list::EndpointRecord;
use crate::{EndpointId, EndpointState};
use std::collections::BTreeMap;

/// How long a return is remembered, in milliseconds: longer than any endpoint takes to be warm.
const BACK_MS: f64 = 120_000.0;

/// The last word on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mark {
    /// It is out of use; else it was put back.
    pub out: bool,
    /// Since when, in Unix milliseconds.
    pub at_ms: f64,
}

/// All such words, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Maintenance(BTreeMap<EndpointId, Mark>);

impl Maintenance {
    /// Whether an endpoint is out of use.
    pub fn is_out(&self, id: EndpointId) -> bool {
        self.0.get(&id).is_some_and(|mark| mark.out)
    }

    /// Takes a word on an endpoint; tells whether its use changes. A second call that says the same changes nothing, so
    /// one call back is enough for two calls out. Of two words the later one counts.
    pub fn record(&mut self, id: EndpointId, mark: Mark) -> bool {
        let old = self.0.get(&id).copied();
        if self.is_out(id) == mark.out || old.is_some_and(|old| old.at_ms > mark.at_ms) {
            return false;
        }
        self.0.insert(id, mark);
        true
    }

    /// Forgets returns of long ago.
    pub fn forget_old_returns(&mut self, now: f64) {
        self.0.retain(|_, mark| mark.out || now < mark.at_ms + BACK_MS);
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, Mark)> + '_ {
        self.0.iter().map(|(id, mark)| (*id, *mark))
    }

    /// An endpoint's line as this proxy has to take it. Guards the rule on drains: what is out of use drains, whatever
    /// the list says; and the rule on cold starts: it was restarted meanwhile, so it is cold when it returns.
    pub fn apply(&self, record: &mut EndpointRecord) {
        match self.0.get(&record.id) {
            Some(mark) if mark.out && record.state == EndpointState::Active => {
                record.state = EndpointState::Draining
            }
            Some(mark) if !mark.out => {
                record.started_at = record.started_at.max(crate::clock::micros_from_ms(mark.at_ms));
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
