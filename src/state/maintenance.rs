//! Maintenance calls of operators, which take endpoints out of use and put them back.

use crate::clock::micros_from_ms;
use crate::endpoint_list::EndpointRecord;
use crate::{EndpointId, EndpointState};
use std::collections::BTreeMap;

/// How long a call that put an endpoint back into use is kept, in milliseconds. While it is kept, the
/// endpoint counts as started no earlier than the call.
const RETURN_RETENTION_MS: f64 = 120_000.0;

/// The last maintenance call for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MaintenanceCall {
    /// Whether the call took the endpoint out of use; false if it put the endpoint back into use.
    pub out_of_use: bool,
    /// When the call was made, in Unix milliseconds.
    pub at_ms: f64,
}

/// The last maintenance call for each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Maintenance(BTreeMap<EndpointId, MaintenanceCall>);

impl Maintenance {
    /// Whether an endpoint is out of use.
    pub fn is_out_of_use(&self, id: EndpointId) -> bool {
        self.0.get(&id).is_some_and(|call| call.out_of_use)
    }

    /// Records a call and returns whether it changes the endpoint's state. A repeated call changes nothing,
    /// so one call puts an endpoint back into use however often it was taken out. A call older than the
    /// recorded one is ignored.
    pub fn record(&mut self, id: EndpointId, call: MaintenanceCall) -> bool {
        let is_older = self.0.get(&id).is_some_and(|recorded| recorded.at_ms > call.at_ms);
        if self.is_out_of_use(id) == call.out_of_use || is_older {
            return false;
        }
        self.0.insert(id, call);
        true
    }

    /// Drops the calls that put an endpoint back into use and are older than `RETURN_RETENTION_MS`; `now` is
    /// in Unix milliseconds.
    pub fn drop_expired_calls(&mut self, now: f64) {
        self.0.retain(|_, call| call.out_of_use || now < call.at_ms + RETURN_RETENTION_MS);
    }

    /// Iterates over the recorded calls, in the order of endpoint ids.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, MaintenanceCall)> + '_ {
        self.0.iter().map(|(id, call)| (*id, *call))
    }

    /// Adjusts an endpoint's record for maintenance. An endpoint out of use is draining even if the list has
    /// it as active. One that was put back counts as started no earlier than that call, because its cache is
    /// cold after maintenance.
    pub fn apply(&self, record: &mut EndpointRecord) {
        match self.0.get(&record.id) {
            Some(call) if call.out_of_use && record.state == EndpointState::Active => {
                record.state = EndpointState::Draining;
            }
            Some(call) if !call.out_of_use => {
                record.started_at = record.started_at.max(micros_from_ms(call.at_ms));
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
