//! Majority voting on leases. A candidate needs the votes of a majority of instances, including its own, and
//! each instance votes for one candidate per lease. Therefore at most one instance holds a lease, and
//! instances on the minority side of a network partition hold none. No I/O.
//!
//! Votes are not persisted. An instance that has just started doesn't know how it voted before, so it rejects
//! all candidates until its earlier votes have expired.

use super::lease::{InstanceId, Lease, Slot};
use crate::EndpointId;
use std::collections::BTreeMap;

/// Maximum number of votes kept per endpoint. Sufficient for the current slot and its neighbours, the only
/// ones that candidates may request.
const MAX_VOTES_PER_ENDPOINT: usize = 4;
/// Maximum distance between the requested slot and the current slot, to allow for clock skew.
const MAX_SLOT_DISTANCE: u64 = 1;

/// A vote of this instance for a candidate.
#[derive(Clone, Copy, Debug)]
struct Vote {
    slot: Slot,
    candidate: InstanceId,
}

/// Casts and stores the votes of one instance.
#[derive(Clone, Debug)]
pub struct Voter {
    /// All requests are rejected before this time, in Unix milliseconds.
    voting_starts_ms: f64,
    votes: BTreeMap<EndpointId, Vec<Vote>>,
}

impl Voter {
    /// Creates the voter of an instance that starts at `now` and rejects all requests for `voting_delay_ms`.
    pub fn new(now: f64, voting_delay_ms: f64) -> Self {
        Self { voting_starts_ms: now + voting_delay_ms, votes: BTreeMap::new() }
    }

    /// Decides on a vote request and returns whether the vote was granted.
    ///
    /// `current_slot` is the endpoint's slot by this instance's clock. Requests for slots further than
    /// `MAX_SLOT_DISTANCE` from it are rejected.
    pub fn decide(&mut self, now: f64, current_slot: Slot, lease: Lease, candidate: InstanceId) -> bool {
        let Lease { endpoint, slot } = lease;
        if now < self.voting_starts_ms || slot.abs_diff(current_slot) > MAX_SLOT_DISTANCE {
            return false;
        }
        let votes = self.votes.entry(endpoint).or_default();
        if let Some(vote) = votes.iter().find(|vote| vote.slot == slot) {
            return vote.candidate == candidate;
        }
        // After a vote for a later slot, earlier slots get no new votes.
        if votes.iter().any(|vote| vote.slot > slot) {
            return false;
        }
        votes.push(Vote { slot, candidate });
        if votes.len() > MAX_VOTES_PER_ENDPOINT {
            votes.remove(0);
        }
        true
    }

    /// The candidate for which this instance voted, if any.
    pub fn voted_for(&self, lease: Lease) -> Option<InstanceId> {
        let votes = self.votes.get(&lease.endpoint)?;
        votes.iter().find(|vote| vote.slot == lease.slot).map(|vote| vote.candidate)
    }

    /// Drops the votes for all endpoints except those for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.votes.retain(|endpoint, _| keep(*endpoint));
    }
}

#[cfg(test)]
mod tests;
