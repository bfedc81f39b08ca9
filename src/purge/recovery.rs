//! Recovers the state of a leader or follower from its log at startup.
//!
//! A restart restores the highest sequence number, so that none is issued twice; the retained and active
//! purges, which take effect before the first request; the low-water mark; and the targets' acknowledgements,
//! so that each target gets only the purges that it lacks. An acknowledgement is written without waiting for
//! the disk; one lost in a power failure only causes a repeat, which the target skips by its sequence number.

use super::active_purges::{ActivePurges, Purge, PurgeStamp};
use super::config::{PurgeConfig, Role};
use super::journal::{Durability, Journal};
use super::log::{LogError, OpenedLog, PurgeLog};
use super::log_record::{Record, Snapshot, MIN_PURGE_RECORD_BYTES};
use std::collections::BTreeMap;

/// The recovered state.
#[derive(Debug)]
pub(super) struct Recovered {
    role: Role,
    pub(super) journal: Journal,
    /// The purges retained for targets, by sequence number (leader only).
    pub(super) retained: BTreeMap<u64, Purge>,
    /// The acknowledgements by target.
    pub(super) acknowledged: BTreeMap<String, u64>,
    /// The latest issue time of a purge or cutoff, in Unix milliseconds.
    pub(super) last_issued_ms: f64,
}

impl Recovered {
    /// Reads the log, if the configuration names one, and activates the logged purges.
    pub(super) fn read(
        config: &PurgeConfig,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<Self, LogError> {
        let mut recovered = Self {
            role: config.role,
            journal: Journal::new(config),
            retained: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            last_issued_ms: 0.0,
        };
        if let Some(path) = &config.log_path {
            let OpenedLog { log, records, truncated } = PurgeLog::open(path)?;
            recovered.journal.log = Some(log);
            recovered.journal.truncated = truncated;
            records.into_iter().for_each(|record| recovered.replay(record, active));
        }
        active.skip_to(recovered.journal.last_seq);
        let corrupt = recovered.journal.truncated.as_ref().filter(|tail| !tail.is_torn_write());
        if let Some(removed) = corrupt.map(|tail| tail.removed) {
            recovered.replace_lost_purges(removed, active, now_ms)?;
        }
        active.advance_low_water_mark(recovered.journal.low_water_mark, now_ms);
        tracing::info!(
            role = ?recovered.role,
            last_seq = recovered.journal.last_seq,
            low_water_mark = recovered.journal.low_water_mark,
            retained = recovered.retained.len(),
            active = active.len(),
            targets = recovered.acknowledged.len(),
            "purges: replica state recovered"
        );
        Ok(recovered)
    }

    fn replay(&mut self, record: Record, active: &mut ActivePurges) {
        match record {
            Record::Snapshot(snapshot) => self.replay_snapshot(snapshot, active),
            Record::Purge(purge) => {
                self.journal.last_seq = self.journal.last_seq.max(purge.seq);
                self.last_issued_ms = self.last_issued_ms.max(purge.issued_ms);
                active.restore(&purge);
                if self.role == Role::Leader && purge.seq >= self.journal.first_retained {
                    self.retained.insert(purge.seq, purge);
                }
            }
            Record::Acknowledged { target, seq } => {
                let acknowledged = self.acknowledged.entry(target).or_insert(seq);
                *acknowledged = (*acknowledged).max(seq);
            }
            Record::LowWaterMark { through } => {
                self.journal.low_water_mark = self.journal.low_water_mark.max(through);
            }
            Record::Cutoff(cutoff) => {
                active.apply_cutoff(cutoff);
                self.journal.last_seq = self.journal.last_seq.max(cutoff.seq);
                self.journal.first_retained = self.journal.first_retained.max(cutoff.seq + 1);
                self.journal.last_dropped = Some(cutoff);
                self.retained.retain(|seq, _| *seq > cutoff.seq);
            }
        }
    }

    fn replay_snapshot(&mut self, snapshot: Snapshot, active: &mut ActivePurges) {
        self.journal.last_seq = snapshot.last_seq;
        self.journal.low_water_mark = snapshot.low_water_mark;
        self.journal.first_retained = snapshot.first_retained.max(1);
        self.journal.last_dropped = snapshot.last_dropped;
        if let Some(cutoff) = snapshot.cutoff {
            active.apply_cutoff(cutoff);
        }
        self.acknowledged = snapshot.acknowledged;
    }

    /// Replaces the purges that a corrupt tail of `removed` bytes may have contained with a cutoff at the
    /// current time. A leader skips the sequence numbers that they may have had: one for each
    /// [`MIN_PURGE_RECORD_BYTES`] bytes, plus one.
    fn replace_lost_purges(
        &mut self,
        removed: u64,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<(), LogError> {
        let skipped = if self.role == Role::Leader { removed / MIN_PURGE_RECORD_BYTES + 1 } else { 0 };
        let cutoff =
            PurgeStamp { seq: self.journal.last_seq + skipped, issued_ms: now_ms.max(self.last_issued_ms) };
        tracing::error!(
            removed,
            skipped,
            cutoff_seq = cutoff.seq,
            "purges: the log was corrupt; replacing the lost purges with a cutoff that covers every copy \
             generated until now"
        );
        self.journal.append(&Record::Cutoff(cutoff), Durability::Synced)?;
        active.apply_cutoff(cutoff);
        self.last_issued_ms = cutoff.issued_ms;
        if self.role == Role::Leader {
            self.journal.last_seq = cutoff.seq;
            self.journal.first_retained = cutoff.seq + 1;
            self.journal.last_dropped = Some(cutoff);
            self.retained.clear();
        }
        Ok(())
    }
}
