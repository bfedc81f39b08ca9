//! Majority voting on leases. A candidate needs the votes of a majority of instances, including its own, and
//! each instance votes for one candidate per lease. So no two instances hold the same lease, and the minority
//! side of a network partition holds none. No I/O.
//!
//! Votes are not persisted. An instance that has just started doesn't know how it voted before, so it rejects
//! all candidates until its earlier votes have expired.

use super::lease::{InstanceId, Lease, Slot};
use crate::EndpointId;
use std::collections::BTreeMap;

/// Votes kept per endpoint. Covers the slots near the current one, which clock skew lets candidates request.
const MAX_VOTES_PER_ENDPOINT: usize = 4;
/// Maximum distance of a requested slot from the slot that is current by this instance's clock.
const MAX_SLOT_DISTANCE: u64 = 1;

/// A vote that was given to a candidate.
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

    /// Decides on a vote request and returns whether the candidate gets the vote.
    ///
    /// `current` is the endpoint's current slot by this instance's clock. Requests for slots other than it
    /// and its neighbours are rejected.
    pub fn decide(&mut self, now: f64, current: Slot, lease: Lease, candidate: InstanceId) -> bool {
        let Lease { endpoint, slot } = lease;
        if now < self.voting_starts_ms || slot.abs_diff(current) > MAX_SLOT_DISTANCE {
            return false;
        }
        let votes = self.votes.entry(endpoint).or_default();
        if let Some(vote) = votes.iter().find(|vote| vote.slot == slot) {
            return vote.candidate == candidate;
        }
        // A vote for a later slot means that this slot is over.
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
