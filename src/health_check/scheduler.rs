//! Decides which checks this instance runs: requests votes for leases, votes on the requests of other
//! instances, and schedules a check once this instance holds the lease. No I/O; the caller passes the time in
//! Unix milliseconds.
//!
//! The instance of rank 0 for an endpoint requests the lease when the check is due, rank 1 does so one rank
//! delay later, and so on. If an instance fails, the next rank runs its check in the same slot, before the
//! failure is detected. Instances detected as failed are excluded from the ranking, so that checks in later
//! slots are not delayed.

use super::lease::{rank, slot_at, InstanceId, Lease, Slot};
use super::message::Message;
use super::quorum::Voter;
use crate::EndpointId;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Highest rank with a delay of its own. Higher ranks use the same delay, so that all delays fit into a
/// period. Voting still ensures that only one instance runs the check.
pub const MAX_RANK: usize = 30;

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to all other instances.
    Broadcast(Message),
    /// Send a message to one instance.
    Reply(InstanceId, Message),
    /// Run the check of a lease now.
    RunCheck(Lease),
}

/// Intervals and timeouts of the scheduler, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerTimes {
    /// Time between two checks of an endpoint.
    pub period_ms: f64,
    /// Delay between the vote requests of successive ranks.
    pub rank_delay_ms: f64,
    /// Interval at which a vote request is resent.
    pub retry_interval_ms: f64,
    /// Time after which a vote request is abandoned.
    pub request_timeout_ms: f64,
    /// Interval between heartbeats.
    pub heartbeat_interval_ms: f64,
    /// Time since the latest message of an instance after which it counts as failed.
    pub failure_timeout_ms: f64,
}

/// Counters of the scheduler, as the admin endpoint reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SchedulerMetrics {
    /// Checks run by this instance.
    #[serde(rename = "ran")]
    pub checks_run: u64,
    /// Vote requests made at a rank above 0, because this instance had neither granted a request nor received
    /// a result for the slot.
    #[serde(rename = "stood_in")]
    pub failovers: u64,
    /// Vote requests started.
    #[serde(rename = "claims")]
    pub vote_requests: u64,
    /// Vote requests that were denied by too many instances to reach a majority.
    #[serde(rename = "outvoted")]
    pub outvoted: u64,
    /// Vote requests that timed out, because of a network partition or failed instances.
    #[serde(rename = "unanswered")]
    pub timed_out: u64,
    /// Results received from other instances.
    #[serde(rename = "heard")]
    pub results_received: u64,
}

/// An undecided vote request of this instance.
#[derive(Clone, Debug)]
struct PendingVoteRequest {
    lease: Lease,
    requested_at_ms: f64,
    resend_at_ms: f64,
    granted_by: BTreeSet<InstanceId>,
    denied_by: BTreeSet<InstanceId>,
}

impl PendingVoteRequest {
    /// Creates a request of the instance `own_id`, which counts its own vote.
    fn new(now: f64, lease: Lease, own_id: InstanceId) -> Self {
        let (granted_by, denied_by) = (BTreeSet::from([own_id]), BTreeSet::new());
        Self { lease, requested_at_ms: now, resend_at_ms: now, granted_by, denied_by }
    }
}

/// Schedules the checks of one instance.
#[derive(Clone, Debug)]
pub struct Scheduler {
    own_id: InstanceId,
    instances: BTreeSet<InstanceId>,
    times: SchedulerTimes,
    /// Arrival time of the latest message from each instance, in Unix milliseconds.
    last_message_ms: BTreeMap<InstanceId, f64>,
    voter: Voter,
    endpoints: BTreeSet<EndpointId>,
    pending: BTreeMap<EndpointId, PendingVoteRequest>,
    /// Latest slot of each endpoint for which this instance makes no further vote request, because it has
    /// made one or another instance has run the check.
    last_handled_slots: BTreeMap<EndpointId, Slot>,
    heartbeat_due_ms: f64,
    /// Counters for the admin endpoint and the metrics.
    pub metrics: SchedulerMetrics,
}

impl Scheduler {
    /// Creates the scheduler of the instance `own_id`, which starts at `now`. `instances` may omit `own_id`.
    pub fn new(
        now: f64,
        own_id: InstanceId,
        instances: impl IntoIterator<Item = InstanceId>,
        times: SchedulerTimes,
    ) -> Self {
        let mut instances: BTreeSet<InstanceId> = instances.into_iter().collect();
        instances.insert(own_id);
        // Before a restart, this instance may have voted for the current slot or, if the candidate's clock
        // was ahead, for the next one.
        let voting_delay_ms = if instances.len() > 1 { 2.0 * times.period_ms } else { 0.0 };
        Self {
            own_id,
            // Instances count as alive until the failure timeout passes without a message.
            last_message_ms: instances.iter().map(|id| (*id, now)).collect(),
            instances,
            times,
            voter: Voter::new(now, voting_delay_ms),
            endpoints: BTreeSet::new(),
            pending: BTreeMap::new(),
            last_handled_slots: BTreeMap::new(),
            heartbeat_due_ms: f64::NEG_INFINITY,
            metrics: SchedulerMetrics::default(),
        }
    }

    /// Replaces the endpoints to check. The first check of a new endpoint is due in its next slot.
    pub fn set_endpoints(&mut self, now: f64, endpoints: impl IntoIterator<Item = EndpointId>) {
        self.endpoints = endpoints.into_iter().collect();
        let endpoints = &self.endpoints;
        self.pending.retain(|endpoint, _| endpoints.contains(endpoint));
        self.last_handled_slots.retain(|endpoint, _| endpoints.contains(endpoint));
        self.voter.retain(|endpoint| endpoints.contains(&endpoint));
        for endpoint in endpoints {
            let current_slot = slot_at(now, *endpoint, self.times.period_ms);
            self.last_handled_slots.entry(*endpoint).or_insert(current_slot);
        }
    }

    /// Number of votes needed for a lease, including the candidate's own.
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Whether an instance has sent a message within the failure timeout. Always true for this instance.
    pub fn is_alive(&self, now: f64, id: InstanceId) -> bool {
        let is_recent = |message_ms: &f64| now - message_ms < self.times.failure_timeout_ms;
        id == self.own_id || self.last_message_ms.get(&id).is_some_and(is_recent)
    }

    /// Instances that count as alive, including this one.
    pub fn live_instances(&self, now: f64) -> impl Iterator<Item = InstanceId> + '_ {
        self.instances.iter().copied().filter(move |id| self.is_alive(now, *id))
    }

    /// This instance's rank for an endpoint, at most [`MAX_RANK`]. Takes time linear in the number of
    /// instances.
    fn own_rank(&self, now: f64, endpoint: EndpointId) -> usize {
        rank(endpoint, self.own_id, self.live_instances(now)).min(MAX_RANK)
    }

    /// Time at which an instance of the given rank requests the lease.
    fn request_due_ms(&self, lease: Lease, rank: usize) -> f64 {
        lease.due_ms(self.times.period_ms) + rank as f64 * self.times.rank_delay_ms
    }

    /// The lease of an endpoint's current slot.
    fn current_lease(&self, now: f64, endpoint: EndpointId) -> Lease {
        Lease { endpoint, slot: slot_at(now, endpoint, self.times.period_ms) }
    }

    fn is_handled(&self, lease: Lease) -> bool {
        self.last_handled_slots.get(&lease.endpoint).is_some_and(|slot| *slot >= lease.slot)
    }

    fn voted_for_another(&self, lease: Lease) -> bool {
        self.voter.voted_for(lease).is_some_and(|candidate| candidate != self.own_id)
    }

    /// Returns the actions that are due by `now`.
    pub fn tick(&mut self, now: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.heartbeat_due_ms {
            self.heartbeat_due_ms = now + self.times.heartbeat_interval_ms;
            actions.push(Action::Broadcast(Message::Heartbeat));
        }
        for endpoint in self.endpoints.clone() {
            self.start_vote_request(now, endpoint);
            self.advance_vote_request(now, endpoint, &mut actions);
        }
        actions
    }

    /// Starts a vote request for an endpoint's current slot if the lease is available and this instance's
    /// request is due.
    fn start_vote_request(&mut self, now: f64, endpoint: EndpointId) {
        let lease = self.current_lease(now, endpoint);
        if self.is_handled(lease) || self.voted_for_another(lease) || self.pending.contains_key(&endpoint) {
            return;
        }
        let rank = self.own_rank(now, endpoint);
        if now < self.request_due_ms(lease, rank) {
            return;
        }
        self.last_handled_slots.insert(endpoint, lease.slot);
        if !self.voter.decide(now, lease.slot, lease, self.own_id) {
            return;
        }
        self.metrics.vote_requests += 1;
        self.metrics.failovers += u64::from(rank > 0);
        self.pending.insert(endpoint, PendingVoteRequest::new(now, lease, self.own_id));
    }

    /// Completes the pending vote request of an endpoint if it is decided or timed out. Otherwise resends it
    /// when due.
    fn advance_vote_request(&mut self, now: f64, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let (majority, instances) = (self.majority(), self.instances.len());
        let Some(pending) = self.pending.get_mut(&endpoint) else { return };
        let lease = pending.lease;
        if pending.granted_by.len() >= majority {
            self.pending.remove(&endpoint);
            self.metrics.checks_run += 1;
            actions.push(Action::RunCheck(lease));
        } else if pending.denied_by.len() > instances - majority {
            self.pending.remove(&endpoint);
            self.metrics.outvoted += 1;
        } else if now - pending.requested_at_ms >= self.times.request_timeout_ms {
            self.pending.remove(&endpoint);
            self.metrics.timed_out += 1;
        } else if now >= pending.resend_at_ms {
            pending.resend_at_ms = now + self.times.retry_interval_ms;
            actions.push(Action::Broadcast(Message::VoteRequest(lease)));
        }
    }

    /// Handles a message from another instance. The caller must apply check results to
    /// [`HealthStatus`](super::health_status::HealthStatus).
    pub fn receive(&mut self, now: f64, from: InstanceId, message: &Message) -> Vec<Action> {
        let mut actions = Vec::new();
        if from == self.own_id || !self.instances.contains(&from) {
            return actions;
        }
        self.last_message_ms.insert(from, now);
        match *message {
            Message::Heartbeat => {}
            Message::VoteRequest(lease) => {
                let current_slot = slot_at(now, lease.endpoint, self.times.period_ms);
                // Unknown endpoints get a vote too: the candidate's endpoint list may be newer than that of
                // this instance.
                let granted = self.voter.decide(now, current_slot, lease, from);
                let vote = Message::Vote { endpoint: lease.endpoint, slot: lease.slot, granted };
                actions.push(Action::Reply(from, vote));
            }
            Message::Vote { endpoint, slot, granted } => {
                let pending = self.pending.get_mut(&endpoint).filter(|pending| pending.lease.slot == slot);
                if let Some(pending) = pending {
                    let votes = if granted { &mut pending.granted_by } else { &mut pending.denied_by };
                    votes.insert(from);
                    self.advance_vote_request(now, endpoint, &mut actions);
                }
            }
            Message::Result(result) => {
                self.metrics.results_received += 1;
                if self.endpoints.contains(&result.endpoint) {
                    let last_slot = self.last_handled_slots.entry(result.endpoint).or_insert(result.slot);
                    *last_slot = result.slot.max(*last_slot);
                }
            }
        }
        actions
    }

    /// Time at which [`Self::tick`] must be called next.
    pub fn next_due_ms(&self, now: f64) -> f64 {
        let requests = self
            .pending
            .values()
            .map(|pending| pending.resend_at_ms.min(pending.requested_at_ms + self.times.request_timeout_ms));
        let leases = self.endpoints.iter().map(|endpoint| self.next_lease_due_ms(now, *endpoint));
        requests.chain(leases).fold(self.heartbeat_due_ms, f64::min)
    }

    /// Time at which this instance may next request a lease of an endpoint.
    fn next_lease_due_ms(&self, now: f64, endpoint: EndpointId) -> f64 {
        let current = self.current_lease(now, endpoint);
        let next_ms = Lease { slot: current.slot + 1, ..current }.due_ms(self.times.period_ms);
        if self.is_handled(current) || self.voted_for_another(current) {
            return next_ms;
        }
        let request_ms = self.request_due_ms(current, self.own_rank(now, endpoint));
        if request_ms > now {
            request_ms.min(next_ms)
        } else {
            next_ms
        }
    }
}

#[cfg(test)]
mod tests;
