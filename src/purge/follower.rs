//! A follower: applies the leader's batches in order, and logs the purges before it acknowledges them.

use super::active_purges::{ActivePurges, Purge, PurgeStamp};
use super::config::{PurgeConfig, Role};
use super::journal::{Durability, JournalLock};
use super::log::LogError;
use super::log_record::Record;
use super::logged_state::LoggedState;
use super::metrics::ReplicaStatus;
use super::wire::{Batch, PurgeList};
use thiserror::Error;

/// Why a batch was rejected or not applied completely.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// This proxy is a leader. Accepting batches would allow two leaders that issue the same sequence
    /// numbers.
    #[error("this proxy is a leader: only a follower accepts batches")]
    NotFollower,
    /// The sequence numbers of the batch are not consecutive or do not start at `from`.
    #[error("the sequence numbers of a batch must be consecutive and start at `from`")]
    NotContiguous,
    /// The log can't be written.
    #[error(transparent)]
    Log(#[from] LogError),
}

/// The state of a follower. Its only I/O is the log.
#[derive(Debug)]
pub struct Follower {
    name: String,
    state: LoggedState,
}

impl Follower {
    /// Recovers a follower from its log and activates the logged purges.
    pub fn open(config: &PurgeConfig, active: &mut ActivePurges, now_ms: f64) -> Result<Self, LogError> {
        Ok(Self { name: config.name.clone(), state: LoggedState::open(config, active, now_ms)? })
    }

    /// Applies the purges that other processes of this proxy have logged.
    pub fn catch_up(&mut self, active: &mut ActivePurges, now_ms: f64) -> Result<(), LogError> {
        if !self.state.journal.is_current()? {
            self.state.lock(active, now_ms)?;
        }
        Ok(())
    }

    /// Applies a batch from the leader, in order and up to the first gap, skipping duplicates. The applied
    /// purges are on disk when this returns. Returns the highest sequence number applied.
    pub fn receive(
        &mut self,
        batch: &Batch,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<u64, ReceiveError> {
        if !is_contiguous(batch) {
            return Err(ReceiveError::NotContiguous);
        }
        let lock = self.state.lock(active, now_ms)?;
        let mut changed = false;
        if let Some(cutoff) = batch.cutoff {
            changed |= self.apply_cutoff(&lock, cutoff, batch.from, active)?;
        }
        changed |= self.apply_purges(&lock, &batch.purges, active)?;
        let low_water_mark = batch.low_water_mark.min(active.last_applied());
        changed |= self.state.journal.advance_low_water_mark(&lock, low_water_mark, active, now_ms)?;
        if changed {
            self.state.journal.sync()?;
        }
        if self.state.journal.needs_compaction() {
            self.state.journal.first_retained = self.state.journal.low_water_mark + 1;
            self.state.compact(&lock, active)?;
        }
        Ok(active.last_applied())
    }

    /// Applies a cutoff if it replaces purges that this follower lacks; returns whether it was applied.
    fn apply_cutoff(
        &mut self,
        lock: &JournalLock,
        cutoff: PurgeStamp,
        batch_from: u64,
        active: &mut ActivePurges,
    ) -> Result<bool, LogError> {
        if cutoff.seq < active.last_applied() || batch_from != cutoff.seq + 1 {
            return Ok(false);
        }
        self.state.journal.append(lock, &Record::Cutoff(cutoff), Durability::Deferred)?;
        active.apply_cutoff(cutoff);
        self.state.journal.last_dropped = Some(cutoff);
        self.state.journal.last_seq = self.state.journal.last_seq.max(cutoff.seq);
        tracing::warn!(
            seq = cutoff.seq,
            issued_ms = cutoff.issued_ms,
            "purges: applied a cutoff in place of missed purges"
        );
        Ok(true)
    }

    /// Applies purges up to the first gap; returns whether any was new.
    fn apply_purges(
        &mut self,
        lock: &JournalLock,
        purges: &[Purge],
        active: &mut ActivePurges,
    ) -> Result<bool, LogError> {
        let applied_before = active.last_applied();
        for purge in purges {
            if purge.seq <= active.last_applied() {
                self.state.journal.metrics.repeats += 1;
                continue;
            }
            if purge.seq != active.last_applied() + 1 {
                self.state.journal.metrics.gaps += 1;
                break;
            }
            self.state.journal.append(lock, &Record::Purge(purge.clone()), Durability::Deferred)?;
            active.apply(purge);
            self.state.journal.metrics.received += 1;
            self.state.journal.last_seq = purge.seq;
            tracing::info!(seq = purge.seq, selector = %purge.selector, "purge applied");
        }
        Ok(active.last_applied() > applied_before)
    }

    /// Flushes the log to disk.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.state.journal.sync()
    }

    /// The active purges from sequence number `from` on, at most `max`.
    pub fn list(&self, active: &ActivePurges, from: u64, max: usize) -> PurgeList {
        let purges = active.iter().filter(|purge| purge.seq >= from).take(max).collect();
        PurgeList { purges, last_seq: self.state.journal.last_seq }
    }

    /// The status of this follower.
    pub fn status(&self, active: &ActivePurges) -> ReplicaStatus {
        self.state.journal.status(Role::Follower, &self.name, active)
    }
}

/// Whether the purges of a batch have consecutive sequence numbers that start at `from`.
fn is_contiguous(batch: &Batch) -> bool {
    let begins_at_from = batch.purges.first().is_none_or(|purge| purge.seq == batch.from);
    begins_at_from && batch.purges.windows(2).all(|pair| pair[1].seq == pair[0].seq + 1)
}
