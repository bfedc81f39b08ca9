//! The state of a leader or follower that its log contains: recovered from the log at startup, and kept up to
//! date with the records that other processes of the same replica append.
//!
//! A restart restores the highest sequence number, so that none is issued twice; the retained and active
//! purges, which take effect before the first request; the low-water mark; and the targets' acknowledgements,
//! so that each target gets only the purges that it lacks. An acknowledgement is written without waiting for
//! the disk; one lost in a power failure only causes a repeat, which the target skips by its sequence number.
//!
//! During an upgrade two processes of one replica share the log. [`LoggedState::lock`] excludes the other
//! process and applies what it has logged, so that the next sequence number is assigned once and in both
//! processes every purge takes effect.

use super::active_purges::{ActivePurges, Purge, PurgeStamp};
use super::config::{PurgeConfig, Role};
use super::journal::{Durability, Journal, JournalLock};
use super::log::{LogContents, LogError, OpenedLog, PurgeLog};
use super::log_record::{Record, Snapshot, MIN_PURGE_RECORD_BYTES};
use std::collections::BTreeMap;

/// The state that the log of a replica contains.
#[derive(Debug)]
pub(super) struct LoggedState {
    role: Role,
    pub(super) journal: Journal,
    /// The purges retained for targets, by sequence number (leader only).
    pub(super) retained: BTreeMap<u64, Purge>,
    /// The acknowledgements by target, as of the last snapshot and the records after it. A follower keeps them
    /// in case it becomes the leader again.
    pub(super) acknowledged: BTreeMap<String, u64>,
    /// The acknowledgements among the records that were read last.
    newly_acknowledged: BTreeMap<String, u64>,
    /// The latest issue time of a purge or cutoff, in Unix milliseconds.
    pub(super) last_issued_ms: f64,
}

impl LoggedState {
    /// Reads the log, if the configuration names one, and activates the logged purges.
    pub(super) fn open(
        config: &PurgeConfig,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<Self, LogError> {
        let mut state = Self {
            role: config.role,
            journal: Journal::new(config),
            retained: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            newly_acknowledged: BTreeMap::new(),
            last_issued_ms: 0.0,
        };
        if let Some(path) = &config.log_path {
            let OpenedLog { log, lock, contents } = PurgeLog::open(path)?;
            state.journal.log = Some(log);
            state.apply(&JournalLock::of_log(lock), contents, active, now_ms)?;
        }
        tracing::info!(
            role = ?state.role,
            last_seq = state.journal.last_seq,
            low_water_mark = state.journal.low_water_mark,
            retained = state.retained.len(),
            active = active.len(),
            targets = state.acknowledged.len(),
            "purges: replica state recovered"
        );
        Ok(state)
    }

    /// Locks the log and applies the records that other processes have appended to it.
    pub(super) fn lock(&mut self, active: &mut ActivePurges, now_ms: f64) -> Result<JournalLock, LogError> {
        let last_seq = self.journal.last_seq;
        let (lock, contents) = self.journal.lock()?;
        self.apply(&lock, contents, active, now_ms)?;
        if self.journal.last_seq > last_seq {
            self.journal.metrics.from_log += self.journal.last_seq - last_seq;
            tracing::info!(
                from = last_seq + 1,
                through = self.journal.last_seq,
                "purges: applied purges that another process of this proxy has logged"
            );
        }
        Ok(lock)
    }

    /// Takes the acknowledgements that other processes have logged since the last call.
    pub(super) fn take_new_acknowledgements(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.newly_acknowledged)
    }

    /// Applies what was read from the log.
    fn apply(
        &mut self,
        lock: &JournalLock,
        contents: LogContents,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<(), LogError> {
        let known_seq = self.journal.last_seq;
        let lost_records =
            contents.lost_records || (contents.is_whole_file && highest_seq(&contents.records) < known_seq);
        let has_reused_seq = !contents.is_whole_file && has_purge_up_to(known_seq, &contents.records);
        for record in contents.records {
            self.replay(record, known_seq, active);
        }
        active.skip_to(self.journal.last_seq);
        if let Some(tail) = contents.truncated {
            self.journal.truncated = Some(tail.clone());
            if !tail.is_torn_write() {
                self.replace_lost_purges(lock, tail.removed, active, now_ms)?;
            }
        }
        if has_reused_seq && self.role == Role::Leader {
            self.replace_reused_seqs(lock, active, now_ms)?;
        }
        if lost_records {
            tracing::error!("purge log: records were lost in service; writing it again from memory");
            self.compact(lock, active)?;
        }
        active.advance_low_water_mark(self.journal.low_water_mark, now_ms);
        Ok(())
    }

    /// Applies a record. A compacted log repeats purges that are already known, up to `known_seq`.
    fn replay(&mut self, record: Record, known_seq: u64, active: &mut ActivePurges) {
        match record {
            Record::Snapshot(snapshot) => self.replay_snapshot(snapshot, active),
            Record::Purge(purge) => {
                if purge.seq > known_seq {
                    self.replay_purge(purge, active);
                }
            }
            Record::Acknowledged { target, seq } => {
                self.newly_acknowledged.insert(target.clone(), seq);
                let acknowledged = self.acknowledged.entry(target).or_insert(seq);
                *acknowledged = (*acknowledged).max(seq);
            }
            Record::LowWaterMark { through } => {
                self.journal.low_water_mark = self.journal.low_water_mark.max(through);
            }
            Record::Cutoff(cutoff) => {
                active.apply_cutoff(cutoff);
                self.last_issued_ms = self.last_issued_ms.max(cutoff.issued_ms);
                self.journal.last_seq = self.journal.last_seq.max(cutoff.seq);
                self.journal.last_dropped = Some(cutoff);
                self.drop_retained_before(cutoff.seq + 1);
            }
        }
    }

    fn replay_purge(&mut self, purge: Purge, active: &mut ActivePurges) {
        self.journal.last_seq = self.journal.last_seq.max(purge.seq);
        self.last_issued_ms = self.last_issued_ms.max(purge.issued_ms);
        active.restore(&purge);
        if self.role == Role::Leader && purge.seq >= self.journal.first_retained {
            self.retained.insert(purge.seq, purge);
        }
    }

    fn replay_snapshot(&mut self, snapshot: Snapshot, active: &mut ActivePurges) {
        self.journal.last_seq = self.journal.last_seq.max(snapshot.last_seq);
        self.journal.low_water_mark = self.journal.low_water_mark.max(snapshot.low_water_mark);
        self.drop_retained_before(snapshot.first_retained);
        self.journal.last_dropped = PurgeStamp::later(self.journal.last_dropped, snapshot.last_dropped);
        if let Some(cutoff) = snapshot.cutoff {
            active.apply_cutoff(cutoff);
        }
        self.newly_acknowledged = snapshot.acknowledged.clone();
        self.acknowledged = snapshot.acknowledged;
    }

    fn drop_retained_before(&mut self, seq: u64) {
        self.journal.first_retained = self.journal.first_retained.max(seq);
        self.retained.retain(|retained, _| *retained >= seq);
    }

    /// Rewrites the log without the records that are no longer needed.
    pub(super) fn compact(&mut self, lock: &JournalLock, active: &ActivePurges) -> Result<(), LogError> {
        self.journal.compact(lock, active, &self.retained, &self.acknowledged)
    }

    /// Replaces the purges that a corrupt tail of `removed` bytes may have contained with a cutoff at the
    /// current time. A leader skips the sequence numbers that they may have had: one for each
    /// [`MIN_PURGE_RECORD_BYTES`] bytes, plus one.
    fn replace_lost_purges(
        &mut self,
        lock: &JournalLock,
        removed: u64,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<(), LogError> {
        let skipped = if self.role == Role::Leader { removed / MIN_PURGE_RECORD_BYTES + 1 } else { 0 };
        let cutoff_seq = self.journal.last_seq + skipped;
        tracing::error!(
            removed,
            skipped,
            cutoff_seq,
            "purges: the log was corrupt; replacing the lost purges with a cutoff that covers every copy \
             generated until now"
        );
        self.issue_cutoff(lock, cutoff_seq, active, now_ms)?;
        // Another process may have read the removed records; it reads a new file from its start.
        self.compact(lock, active)
    }

    /// Handles a sequence number that a process without the lock, of an earlier version, has assigned again:
    /// targets skip its purge as a repeat. Replaces all purges until now with a cutoff at the current time.
    fn replace_reused_seqs(
        &mut self,
        lock: &JournalLock,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<(), LogError> {
        let cutoff_seq = self.journal.last_seq + 1;
        tracing::error!(
            cutoff_seq,
            "purges: another process has assigned sequence numbers of this log without its lock; purging \
             every copy generated until now in the whole fleet"
        );
        self.issue_cutoff(lock, cutoff_seq, active, now_ms)
    }

    /// Logs and applies a cutoff at the current time with the sequence number `seq`. A leader continues its
    /// sequence numbers after it, and sends it to all targets in place of the purges up to it.
    pub(super) fn issue_cutoff(
        &mut self,
        lock: &JournalLock,
        seq: u64,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<(), LogError> {
        let cutoff = PurgeStamp { seq, issued_ms: now_ms.max(self.last_issued_ms) };
        self.journal.append(lock, &Record::Cutoff(cutoff), Durability::Synced)?;
        active.apply_cutoff(cutoff);
        self.last_issued_ms = cutoff.issued_ms;
        if self.role == Role::Leader {
            self.journal.last_seq = cutoff.seq;
            self.journal.last_dropped = Some(cutoff);
            self.drop_retained_before(cutoff.seq + 1);
        }
        Ok(())
    }
}

/// The highest sequence number in the records of a log, 0 if there is none.
fn highest_seq(records: &[Record]) -> u64 {
    let seq = |record: &Record| match record {
        Record::Snapshot(snapshot) => snapshot.last_seq,
        Record::Purge(purge) => purge.seq,
        Record::Cutoff(cutoff) => cutoff.seq,
        Record::Acknowledged { .. } | Record::LowWaterMark { .. } => 0,
    };
    records.iter().map(seq).max().unwrap_or(0)
}

/// Whether records contain a purge with a sequence number up to `seq`.
fn has_purge_up_to(seq: u64, records: &[Record]) -> bool {
    records.iter().any(|record| matches!(record, Record::Purge(purge) if purge.seq <= seq))
}
