//! The leader: assigns sequence numbers to purges, logs them before they are sent, and builds the batches to
//! send.

use super::active_purges::{ActivePurges, ApplyOutcome, Purge};
use super::config::{PurgeConfig, Role, Target};
use super::fanout::{AckOutcome, BatchId, BatchRange, FanOut};
use super::journal::{Durability, JournalLock};
use super::log::LogError;
use super::log_record::Record;
use super::logged_state::LoggedState;
use super::metrics::ReplicaStatus;
use super::selector::Selector;
use super::wire::{Batch, PurgeList, SubmitResponse};
use crate::http_client::CallError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// A failing target is logged at its first failure and then at every multiple of this many failures.
const FAILURES_PER_WARNING: u32 = 20;

/// Why submitting a purge failed. If only the compaction of the log failed, the purge has been issued.
#[derive(Debug, Error)]
pub enum SubmitError {
    /// This proxy is a follower.
    #[error("this proxy is a follower: submit to the leader")]
    NotLeader,
    /// The log can't be written.
    #[error(transparent)]
    Log(#[from] LogError),
}

/// Why a batch got no acknowledgement.
#[derive(Debug, Error)]
pub enum SendError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The target answered with an error status.
    #[error("the target answered with status {0}")]
    Status(u16),
    /// The target's answer is not a valid acknowledgement.
    #[error("malformed acknowledgement: {0}")]
    Malformed(#[from] simd_json::Error),
}

/// A batch with the target to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingBatch {
    /// The id of the batch, for its acknowledgement or failure.
    pub id: BatchId,
    /// The name of the target.
    pub target: String,
    /// The address of the target.
    pub address: SocketAddr,
    /// The batch.
    pub batch: Batch,
}

/// The state of a leader. Its only I/O is the log.
#[derive(Debug)]
pub struct Leader {
    name: String,
    state: LoggedState,
    max_retained: usize,
    fanout: FanOut,
    addresses: BTreeMap<String, SocketAddr>,
    /// The targets listed in the configuration file.
    configured_targets: Vec<Target>,
}

impl Leader {
    /// Recovers a leader from its log and activates the logged purges.
    pub fn open(
        config: &PurgeConfig,
        active: &mut ActivePurges,
        now_ms: f64,
        seed: u64,
    ) -> Result<Self, LogError> {
        let mut state = LoggedState::open(config, active, now_ms)?;
        let acknowledged = state.acknowledged.clone();
        state.take_new_acknowledgements();
        let mut leader = Self {
            name: config.name.clone(),
            state,
            max_retained: config.max_retained,
            fanout: FanOut::new(config.backoff, config.fanout_limits(), seed),
            addresses: BTreeMap::new(),
            configured_targets: config.configured_targets(),
        };
        leader.update_fanout_range();
        leader.set_listed_targets(now_ms, Vec::new());
        for (target, seq) in &acknowledged {
            leader.fanout.restore_acknowledgement(target, *seq);
        }
        Ok(leader)
    }

    /// Replaces the targets of the endpoint list; those of the configuration file always remain.
    pub fn set_listed_targets(&mut self, now_ms: f64, listed: Vec<Target>) {
        let targets: Vec<Target> = self.configured_targets.iter().cloned().chain(listed).collect();
        self.addresses = targets.iter().map(|target| (target.name.clone(), target.address)).collect();
        self.fanout.set_targets(now_ms, targets.into_iter().map(|target| (target.name, target.status)));
    }

    /// Issues a purge: assigns its sequence number, logs it durably, and activates it at this proxy.
    pub fn submit(
        &mut self,
        selector: Selector,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<SubmitResponse, SubmitError> {
        let lock = self.lock_log(active, now_ms)?;
        // Issue times never decrease.
        let issued_ms = now_ms.max(self.state.last_issued_ms);
        let purge = Purge { seq: self.state.journal.last_seq + 1, issued_ms, selector };
        self.state.journal.append(&lock, &Record::Purge(purge.clone()), Durability::Synced)?;
        self.state.journal.last_seq = purge.seq;
        self.state.last_issued_ms = issued_ms;
        let outcome = active.apply(&purge);
        debug_assert_eq!(outcome, ApplyOutcome::Applied);
        tracing::info!(seq = purge.seq, selector = %purge.selector, issued_ms, "purge issued");
        self.state.journal.metrics.issued += 1;
        let submitted = SubmitResponse { seq: purge.seq, issued_ms };
        self.state.retained.insert(purge.seq, purge);
        self.fanout.purge_appended(submitted.seq, now_ms);
        self.drop_old_purges(&lock, active)?;
        Ok(submitted)
    }

    /// Once more than `max_retained` purges are retained or the log has grown beyond `compact_bytes`, drops
    /// the purges that every target has applied and the oldest beyond `max_retained`, and compacts the log. A
    /// target that lacks a dropped purge gets a cutoff.
    fn drop_old_purges(&mut self, lock: &JournalLock, active: &ActivePurges) -> Result<(), LogError> {
        if self.state.retained.len() <= self.max_retained && !self.state.journal.needs_compaction() {
            return Ok(());
        }
        let low_water_mark = self.fanout.low_water_mark();
        while let Some((&seq, purge)) = self.state.retained.first_key_value() {
            if seq > low_water_mark && self.state.retained.len() <= self.max_retained {
                break;
            }
            self.state.journal.last_dropped = Some(purge.stamp());
            self.state.journal.first_retained = seq + 1;
            self.state.retained.remove(&seq);
        }
        self.update_fanout_range();
        self.state.acknowledged = self.fanout.acknowledgements();
        self.state.compact(lock, active)
    }

    /// Applies the purges that other processes of this proxy have logged.
    pub fn catch_up(&mut self, active: &mut ActivePurges, now_ms: f64) -> Result<(), LogError> {
        if !self.state.journal.is_current()? {
            self.lock_log(active, now_ms)?;
        }
        Ok(())
    }

    /// Locks the log and applies the purges that other processes of this proxy have logged. They are due to
    /// this process's targets too: the process that issued them may end before it has sent them.
    fn lock_log(&mut self, active: &mut ActivePurges, now_ms: f64) -> Result<JournalLock, LogError> {
        let last_seq = self.state.journal.last_seq;
        let lock = self.state.lock(active, now_ms)?;
        self.update_fanout_range();
        if self.state.journal.last_seq > last_seq {
            self.fanout.purge_appended(self.state.journal.last_seq, now_ms);
        }
        for (target, seq) in self.state.take_new_acknowledgements() {
            self.fanout.merge_acknowledgement(&target, seq);
        }
        Ok(lock)
    }

    fn update_fanout_range(&mut self) {
        self.fanout.set_retained(self.state.journal.first_retained, self.state.journal.last_seq);
    }

    /// The batches to send now, recorded as in flight.
    pub fn take_due_batches(&mut self, now_ms: f64) -> Vec<OutgoingBatch> {
        let low_water_mark = self.fanout.low_water_mark();
        let ranges = self.fanout.take_due_batches(now_ms);
        ranges.into_iter().filter_map(|range| self.build_batch(range, low_water_mark)).collect()
    }

    fn build_batch(&mut self, range: BatchRange, low_water_mark: u64) -> Option<OutgoingBatch> {
        let address = *self.addresses.get(&range.target)?;
        let purges = match range.through >= range.from {
            true => self.state.retained.range(range.from..=range.through).map(|(_, p)| p.clone()).collect(),
            false => Vec::new(),
        };
        let cutoff = self.state.journal.last_dropped.filter(|_| range.with_cutoff);
        self.state.journal.metrics.batches += 1;
        self.state.journal.metrics.cutoffs += u64::from(cutoff.is_some());
        let batch = Batch { leader: self.name.clone(), from: range.from, low_water_mark, cutoff, purges };
        Some(OutgoingBatch { id: range.id, target: range.target, address, batch })
    }

    /// Records a target's answer to a batch: the highest sequence number that it has applied.
    pub fn acknowledge(
        &mut self,
        target: &str,
        id: BatchId,
        applied: u64,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<(), LogError> {
        let lock = match self.lock_log(active, now_ms) {
            Ok(lock) => lock,
            Err(error) => {
                // The purges of other processes are unknown, so the acknowledgement can't be judged.
                self.fanout.record_failure(target, id, now_ms);
                return Err(error);
            }
        };
        match self.fanout.acknowledge(target, id, applied, now_ms) {
            AckOutcome::Advanced { from, to } if to > from => {
                let record = Record::Acknowledged { target: target.to_string(), seq: to };
                self.state.journal.append(&lock, &record, Durability::Deferred)?;
                tracing::debug!(target, acknowledged = to, "purges: target acknowledged");
            }
            AckOutcome::Regressed { from, to } => {
                self.state.journal.metrics.regressions += 1;
                tracing::warn!(target, from, to, "purges: a target lost its state; resending its purges");
            }
            AckOutcome::BeyondLog { acknowledged } => {
                self.replace_missing_purges(&lock, acknowledged, active, now_ms)?;
            }
            AckOutcome::Advanced { .. } | AckOutcome::Unexpected => {}
        }
        let low_water_mark = self.fanout.low_water_mark();
        if self.state.journal.advance_low_water_mark(&lock, low_water_mark, active, now_ms)? {
            tracing::info!(low_water_mark, "purges: low-water mark advanced");
        }
        self.drop_old_purges(&lock, active)
    }

    /// Handles an acknowledgement of a sequence number beyond the end of this log, assigned in an earlier log
    /// that has been lost. Replaces the missing purges with a cutoff at the current time, and continues the
    /// sequence numbers after `acknowledged`.
    fn replace_missing_purges(
        &mut self,
        lock: &JournalLock,
        acknowledged: u64,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<(), LogError> {
        tracing::error!(
            acknowledged,
            last_seq = self.state.journal.last_seq,
            "purges: a target acknowledged purges that this log lacks; purging every copy generated \
             until now in the whole fleet"
        );
        self.state.issue_cutoff(lock, acknowledged, active, now_ms)?;
        self.update_fanout_range();
        Ok(())
    }

    /// Records that a batch to a target failed. It is retried with backoff.
    pub fn record_failure(&mut self, target: &str, id: BatchId, now_ms: f64, error: &SendError) {
        self.fanout.record_failure(target, id, now_ms);
        self.state.journal.metrics.failures += 1;
        let failures = self.fanout.targets().get(target).map_or(0, |state| state.failures);
        if failures == 1 || failures.is_multiple_of(FAILURES_PER_WARNING) {
            tracing::warn!(target, failures, %error, "purges: sending to a target failed; retrying with backoff");
        }
    }

    /// The time at which to call [`Self::take_due_batches`] next, in Unix milliseconds.
    pub fn next_due_ms(&self) -> Option<f64> {
        self.fanout.next_due_ms()
    }

    /// Flushes the log to disk.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.state.journal.sync()
    }

    /// The retained purges from sequence number `from` on, at most `max`.
    pub fn list(&self, from: u64, max: usize) -> PurgeList {
        let purges = self.state.retained.range(from..).take(max).map(|(_, purge)| purge.clone()).collect();
        PurgeList { purges, last_seq: self.state.journal.last_seq }
    }

    /// The status of this leader.
    pub fn status(&self, active: &ActivePurges) -> ReplicaStatus {
        ReplicaStatus {
            retained: self.state.retained.len(),
            targets: self.fanout.targets().clone(),
            ..self.state.journal.status(Role::Leader, &self.name, active)
        }
    }
}
