//! The votes of one instance. A candidate needs the votes of a majority for a lease, its own included, and each instance
//! votes for one candidate per slot: no two instances hold the same lease, and the minority side of a network partition
//! holds none. No I/O.
//!
//! Votes are in memory only. An instance that has just started does not know its earlier votes, so it rejects all
//! candidates until those votes are out of date.

use super::lease::{InstanceId, Lease, Slot};
use crate::EndpointId;
use std::collections::BTreeMap;

/// Slots per endpoint whose votes are remembered: the one that is due and those near it, for clocks that differ.
const REMEMBERED_SLOTS: usize = 4;
/// How far a candidate's slot may be from the one that is due by this instance's clock.
const MAX_SLOT_DISTANCE: u64 = 1;

/// A vote for a candidate.
#[derive(Clone, Copy, Debug)]
struct Vote {
    slot: Slot,
    candidate: InstanceId,
}

/// Gives and remembers the votes of one instance.
#[derive(Clone, Debug)]
pub struct Voter {
    /// No vote is given before this time, in Unix milliseconds.
    votes_from_ms: f64,
    votes: BTreeMap<EndpointId, Vec<Vote>>,
}

impl Voter {
    /// Creates the voter of an instance that starts at `now` and gives no vote for `silence_ms`.
    pub fn new(now: f64, silence_ms: f64) -> Self {
        Self { votes_from_ms: now + silence_ms, votes: BTreeMap::new() }
    }

    /// Decides on a candidate for a lease and returns whether it gets the vote.
    ///
    /// `current` is the slot that is due by this instance's clock. Slots further away than its neighbours get no vote.
    pub fn decide(&mut self, now: f64, current: Slot, lease: Lease, candidate: InstanceId) -> bool {
        let Lease { endpoint, slot } = lease;
        if now < self.votes_from_ms || slot.abs_diff(current) > MAX_SLOT_DISTANCE {
            return false;
        }
        let votes = self.votes.entry(endpoint).or_default();
        if let Some(vote) = votes.iter().find(|vote| vote.slot == slot) {
            return vote.candidate == candidate;
        }
        // A slot before one with a vote is over.
        if votes.iter().any(|vote| vote.slot > slot) {
            return false;
        }
        votes.push(Vote { slot, candidate });
        if votes.len() > REMEMBERED_SLOTS {
            votes.remove(0);
        }
        true
    }

    /// The candidate that got this instance's vote for a lease.
    pub fn voted_for(&self, lease: Lease) -> Option<InstanceId> {
        let votes = self.votes.get(&lease.endpoint)?;
        votes.iter().find(|vote| vote.slot == lease.slot).map(|vote| vote.candidate)
    }

    /// Drops the votes of endpoints for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.votes.retain(|endpoint, _| keep(*endpoint));
    }
}

#[cfg(test)]
mod tests;
