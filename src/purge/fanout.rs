//! Replication of the leader's log to its targets: which batch each target gets and when. No I/O and no
//! clock: callers pass the time, in Unix milliseconds.
//!
//! Acknowledgements are cumulative: each target acknowledges the highest sequence number up to which it has
//! applied every purge. The leader sends the purges after that number, one batch at a time and at most
//! [`FanOutLimits::max_batch`] purges in a batch. A target that is up to date gets an empty batch every
//! [`FanOutLimits::heartbeat_ms`] as a heartbeat, which carries the low-water mark.
//!
//! A failing target is retried with backoff and jitter, and is never dropped for failing. Only a target that
//! is removed from the endpoint list no longer holds back the low-water mark. A target that is listed again
//! starts at sequence number 0: it gets all purges that are still retained, and a cutoff in place of those
//! that are not.

use crate::backoff::{Backoff, BackoffDelay};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;

/// A batch without an answer counts as failed after this multiple of the timeout.
const IN_FLIGHT_TIMEOUT_FACTOR: f64 = 2.0;

/// The limits of a fan-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FanOutLimits {
    /// Maximum number of purges in a batch.
    pub max_batch: usize,
    /// Time between heartbeats to a target that is up to date, in milliseconds.
    pub heartbeat_ms: f64,
    /// Timeout of a call, in milliseconds; a batch in flight for twice as long counts as failed.
    pub timeout_ms: f64,
}

impl Default for FanOutLimits {
    fn default() -> Self {
        Self { max_batch: 256, heartbeat_ms: 500.0, timeout_ms: 1_000.0 }
    }
}

/// The state of a target in the endpoint list or the configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetStatus {
    /// Active in the endpoint list, or listed in the configuration file.
    Listed,
    /// Draining in the endpoint list. It may still cache copies, so it still gets purges.
    Draining,
}

/// Identifies a batch among those of one fan-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchId(u64);

/// A batch to send: the purges `from..=through`, empty if `through < from`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRange {
    /// The id of the batch, for [`FanOut::acknowledge`] and [`FanOut::record_failure`].
    pub id: BatchId,
    /// The name of the target.
    pub target: String,
    /// The first sequence number in the batch.
    pub from: u64,
    /// The last sequence number in the batch.
    pub through: u64,
    /// Whether the batch carries a cutoff in place of purges that the target lacks and the log no longer
    /// retains.
    pub with_cutoff: bool,
}

impl BatchRange {
    fn len(&self) -> u64 {
        (self.through + 1).saturating_sub(self.from)
    }
}

/// The effect of an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckOutcome {
    /// The acknowledgement advanced or is unchanged.
    Advanced {
        /// The previous acknowledgement.
        from: u64,
        /// The new acknowledgement.
        to: u64,
    },
    /// The target acknowledged a lower sequence number than before, so it has lost its state; the purges
    /// after that number are sent again.
    Regressed {
        /// The previous acknowledgement.
        from: u64,
        /// The new acknowledgement.
        to: u64,
    },
    /// The target acknowledged a sequence number beyond the end of this log, assigned in an earlier log that
    /// has been lost.
    BeyondLog {
        /// The acknowledged sequence number.
        acknowledged: u64,
    },
    /// The batch is not in flight any more, for example because it counts as failed, or the target is unknown.
    Unexpected,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct InFlight {
    id: BatchId,
    sent_ms: f64,
}

/// The replication state of one target.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct TargetProgress {
    /// The highest acknowledged sequence number.
    #[serde(rename = "acked")]
    pub acknowledged: u64,
    /// Its state in the endpoint list; `Listed` for a target of the configuration file.
    #[serde(rename = "standing")]
    pub status: TargetStatus,
    /// Consecutive failed batches since its last acknowledgement.
    pub failures: u32,
    /// When it last acknowledged a batch, in Unix milliseconds.
    #[serde(rename = "heard_ms")]
    pub last_acknowledged_ms: Option<f64>,
    /// The earliest time of the next batch, in Unix milliseconds.
    #[serde(rename = "next_ms")]
    pub next_due_ms: f64,
    /// Purges sent to it, including repeats.
    pub sent: u64,
    /// The latest acknowledgement to another process of this proxy since the batch in flight was sent.
    #[serde(skip)]
    acknowledged_elsewhere: u64,
    #[serde(skip)]
    in_flight: Option<InFlight>,
    #[serde(skip)]
    retry_delay: BackoffDelay,
    #[serde(skip)]
    last_sent_ms: f64,
}

impl TargetProgress {
    fn new(status: TargetStatus, acknowledged: u64, backoff: &Backoff, now_ms: f64) -> Self {
        Self {
            acknowledged,
            status,
            failures: 0,
            last_acknowledged_ms: None,
            next_due_ms: now_ms,
            sent: 0,
            acknowledged_elsewhere: 0,
            in_flight: None,
            retry_delay: backoff.start(),
            last_sent_ms: f64::NEG_INFINITY,
        }
    }
}

/// The sequence numbers that the leader's log retains.
#[derive(Clone, Copy, Debug)]
struct RetainedRange {
    first: u64,
    last: u64,
}

/// The fan-out of one leader.
#[derive(Clone, Debug)]
pub struct FanOut {
    targets: BTreeMap<String, TargetProgress>,
    /// Acknowledgements from the log, of targets that have not been listed since the restart.
    restored_acknowledgements: BTreeMap<String, u64>,
    retained: RetainedRange,
    last_batch_id: u64,
    backoff: Backoff,
    limits: FanOutLimits,
    rng: SmallRng,
}

impl FanOut {
    /// Creates a fan-out of an empty log without targets.
    pub fn new(backoff: Backoff, limits: FanOutLimits, seed: u64) -> Self {
        Self {
            targets: BTreeMap::new(),
            restored_acknowledgements: BTreeMap::new(),
            retained: RetainedRange { first: 1, last: 0 },
            last_batch_id: 0,
            backoff,
            limits,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the sequence numbers that the log retains, `first..=last`.
    pub fn set_retained(&mut self, first: u64, last: u64) {
        self.retained = RetainedRange { first: first.max(1), last };
    }

    /// Records a purge that was appended to the log: it is due at once to idle targets that are not failing.
    pub fn purge_appended(&mut self, seq: u64, now_ms: f64) {
        self.retained.last = self.retained.last.max(seq);
        for target in self.targets.values_mut().filter(|t| t.in_flight.is_none() && t.failures == 0) {
            target.next_due_ms = target.next_due_ms.min(now_ms);
        }
    }

    /// Replaces the list of targets. A new target starts from its restored acknowledgement or 0; the state of
    /// an absent target is dropped.
    pub fn set_targets(&mut self, now_ms: f64, listed: impl IntoIterator<Item = (String, TargetStatus)>) {
        let mut targets = BTreeMap::new();
        for (name, status) in listed {
            let restored = self.restored_acknowledgements.remove(&name).unwrap_or(0).min(self.retained.last);
            let existing = self.targets.remove(&name);
            let target =
                existing.unwrap_or_else(|| TargetProgress::new(status, restored, &self.backoff, now_ms));
            targets.insert(name, TargetProgress { status, ..target });
        }
        self.targets = targets;
    }

    /// Restores an acknowledgement from the log; the target may be listed later.
    pub fn restore_acknowledgement(&mut self, target: &str, acknowledged: u64) {
        match self.targets.get_mut(target) {
            Some(target) => {
                target.acknowledged = target.acknowledged.max(acknowledged.min(self.retained.last));
            }
            None => {
                self.restored_acknowledgements.insert(target.to_string(), acknowledged);
            }
        }
    }

    /// Records a target's acknowledgement to another process of this proxy, so that the target does not get a
    /// cutoff in place of purges that it has applied. While a batch is in flight, its answer comes first: the
    /// target may have lost its state.
    pub fn merge_acknowledgement(&mut self, target: &str, acknowledged: u64) {
        let Some(target) = self.targets.get_mut(target) else { return };
        let acknowledged = acknowledged.min(self.retained.last);
        match target.in_flight {
            Some(_) => target.acknowledged_elsewhere = acknowledged,
            None => target.acknowledged = target.acknowledged.max(acknowledged),
        }
    }

    /// The acknowledgements by target, including those restored for targets that are not listed yet.
    pub fn acknowledgements(&self) -> BTreeMap<String, u64> {
        let acknowledged = |target: &TargetProgress| target.acknowledged.max(target.acknowledged_elsewhere);
        let listed = self.targets.iter().map(|(name, target)| (name.clone(), acknowledged(target)));
        self.restored_acknowledgements.clone().into_iter().chain(listed).collect()
    }

    /// The targets, by name.
    pub fn targets(&self) -> &BTreeMap<String, TargetProgress> {
        &self.targets
    }

    /// The highest sequence number that every target has acknowledged; the last one issued if there are no
    /// targets.
    pub fn low_water_mark(&self) -> u64 {
        let last = self.retained.last;
        self.targets.values().map(|target| target.acknowledged).min().unwrap_or(last).min(last)
    }

    /// The batches to send now, recorded as in flight. A target gets one batch at a time; one in flight
    /// beyond its timeout is recorded as failed.
    pub fn take_due_batches(&mut self, now_ms: f64) -> Vec<BatchRange> {
        let (retained, limits) = (self.retained, self.limits);
        let in_flight_timeout_ms = self.in_flight_timeout_ms();
        let mut batches = Vec::new();
        let mut expired = Vec::new();
        for (name, target) in &mut self.targets {
            match target.in_flight {
                Some(batch) if now_ms - batch.sent_ms > in_flight_timeout_ms => {
                    expired.push((name.clone(), batch.id));
                }
                Some(_) => {}
                None => {
                    let id = BatchId(self.last_batch_id + 1);
                    if let Some(batch) = target.next_batch(name, id, retained, &limits, now_ms) {
                        self.last_batch_id = id.0;
                        batches.push(batch);
                    }
                }
            }
        }
        for (name, id) in expired {
            self.record_failure(&name, id, now_ms);
        }
        batches
    }

    /// Records a target's answer to a batch: the highest sequence number that it has applied. A late answer to a
    /// batch that counts as failed is ignored: the target may have applied more since.
    pub fn acknowledge(&mut self, target: &str, id: BatchId, applied: u64, now_ms: f64) -> AckOutcome {
        let last = self.retained.last;
        let Some(target) = self.targets.get_mut(target) else { return AckOutcome::Unexpected };
        if target.in_flight.take_if(|batch| batch.id == id).is_none() {
            return AckOutcome::Unexpected;
        }
        target.failures = 0;
        target.retry_delay.reset();
        target.last_acknowledged_ms = Some(now_ms);
        let elsewhere = std::mem::take(&mut target.acknowledged_elsewhere);
        let from = target.acknowledged;
        target.acknowledged = if applied < from { applied } else { applied.max(elsewhere).min(last) };
        let up_to_date = target.acknowledged >= last;
        target.next_due_ms = if up_to_date { now_ms + self.limits.heartbeat_ms } else { now_ms };
        if applied > last {
            AckOutcome::BeyondLog { acknowledged: applied }
        } else if applied < from {
            AckOutcome::Regressed { from, to: applied }
        } else {
            AckOutcome::Advanced { from, to: applied }
        }
    }

    /// Records that a batch to a target failed: no connection, no answer in time, or an error answer. Does
    /// nothing if the batch is not in flight any more.
    pub fn record_failure(&mut self, target: &str, id: BatchId, now_ms: f64) {
        let Some(target) = self.targets.get_mut(target) else { return };
        if target.in_flight.take_if(|batch| batch.id == id).is_none() {
            return;
        }
        target.acknowledged = target.acknowledged.max(std::mem::take(&mut target.acknowledged_elsewhere));
        target.failures += 1;
        target.next_due_ms = now_ms + target.retry_delay.next_ms(&mut self.rng);
    }

    /// The time of the next batch or of the next expiry of a batch in flight, in Unix milliseconds; `None`
    /// without targets.
    pub fn next_due_ms(&self) -> Option<f64> {
        let in_flight_timeout_ms = self.in_flight_timeout_ms();
        let due = |target: &TargetProgress| {
            target.in_flight.map_or(target.next_due_ms, |batch| batch.sent_ms + in_flight_timeout_ms)
        };
        self.targets.values().map(due).min_by(f64::total_cmp)
    }

    fn in_flight_timeout_ms(&self) -> f64 {
        IN_FLIGHT_TIMEOUT_FACTOR * self.limits.timeout_ms
    }
}

impl TargetProgress {
    /// The next batch to this target, if one is due, recorded as in flight.
    fn next_batch(
        &mut self,
        name: &str,
        id: BatchId,
        retained: RetainedRange,
        limits: &FanOutLimits,
        now_ms: f64,
    ) -> Option<BatchRange> {
        if now_ms < self.next_due_ms {
            return None;
        }
        let is_behind = self.acknowledged < retained.last;
        if !is_behind && now_ms - self.last_sent_ms < limits.heartbeat_ms {
            self.next_due_ms = self.last_sent_ms + limits.heartbeat_ms;
            return None;
        }
        let from = (self.acknowledged + 1).max(retained.first);
        let longest_batch_end = from + (limits.max_batch as u64).max(1) - 1;
        let through = if is_behind { retained.last.min(longest_batch_end) } else { self.acknowledged };
        let with_cutoff = self.acknowledged + 1 < retained.first;
        let batch = BatchRange { id, target: name.to_string(), from, through, with_cutoff };
        self.in_flight = Some(InFlight { id, sent_ms: now_ms });
        self.last_sent_ms = now_ms;
        self.sent += batch.len();
        Some(batch)
    }
}

#[cfg(test)]
mod tests;
