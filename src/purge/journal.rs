//! The purge log of a leader or follower, with the sequence numbers stored in it: the last one, the first
//! retained one and the low-water mark. Without a log file, all state is in memory only.
//!
//! Processes that share a log write it under its lock: every method that appends takes the [`JournalLock`].

use super::active_purges::{ActivePurges, Purge, PurgeStamp};
use super::config::{PurgeConfig, Role};
use super::log::{LogContents, LogError, PurgeLog, TruncatedTail};
use super::log_record::{Record, Snapshot};
use super::metrics::{LogFile, PurgeMetrics, ReplicaStatus};
use crate::lock_file::FileLock;
use std::collections::BTreeMap;

/// Whether an append waits until the record is on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Durability {
    /// The record is on disk when the call returns.
    Synced,
    /// The record is on disk after the next [`Journal::sync`].
    Deferred,
}

/// The lock of the log, if there is a log. Whoever holds it has read all records of the log.
#[derive(Debug)]
pub(super) struct JournalLock(Option<FileLock>);

impl JournalLock {
    /// The lock of a log that has been read.
    pub(super) fn of_log(lock: FileLock) -> Self {
        Self(Some(lock))
    }
}

/// The log of a replica, its sequence numbers and its counters.
#[derive(Debug)]
pub(super) struct Journal {
    pub(super) log: Option<PurgeLog>,
    pub(super) truncated: Option<TruncatedTail>,
    /// The size beyond which the log is compacted, in bytes.
    compact_bytes: u64,
    /// The highest sequence number issued or applied.
    pub(super) last_seq: u64,
    /// The highest sequence number that the whole fleet has applied.
    pub(super) low_water_mark: u64,
    /// The lowest sequence number that is retained.
    pub(super) first_retained: u64,
    /// The newest purge that is no longer retained.
    pub(super) last_dropped: Option<PurgeStamp>,
    pub(super) metrics: PurgeMetrics,
}

impl Journal {
    /// Creates an empty journal without a log.
    pub(super) fn new(config: &PurgeConfig) -> Self {
        Self {
            log: None,
            truncated: None,
            compact_bytes: config.compact_bytes,
            last_seq: 0,
            low_water_mark: 0,
            first_retained: 1,
            last_dropped: None,
            metrics: PurgeMetrics::default(),
        }
    }

    /// Locks the log; returns the records that other processes have appended since this one read or wrote it.
    pub(super) fn lock(&mut self) -> Result<(JournalLock, LogContents), LogError> {
        let Some(log) = &mut self.log else { return Ok((JournalLock(None), LogContents::default())) };
        let lock = log.lock()?;
        let contents = log.read_new(&lock)?;
        Ok((JournalLock::of_log(lock), contents))
    }

    /// Whether no other process has written the log since this one read or wrote it.
    pub(super) fn is_current(&self) -> Result<bool, LogError> {
        self.log.as_ref().map_or(Ok(true), PurgeLog::is_current)
    }

    /// Appends a record; does nothing without a log file.
    pub(super) fn append(
        &mut self,
        lock: &JournalLock,
        record: &Record,
        durability: Durability,
    ) -> Result<(), LogError> {
        match (&mut self.log, &lock.0) {
            (Some(log), Some(lock)) => log.append(lock, record, durability == Durability::Synced),
            _ => Ok(()),
        }
    }

    /// Flushes deferred records to disk.
    pub(super) fn sync(&mut self) -> Result<(), LogError> {
        self.log.as_mut().map_or(Ok(()), PurgeLog::sync)
    }

    /// Records that the whole fleet has applied the purges up to `seq`; returns whether the low-water mark
    /// advanced.
    pub(super) fn advance_low_water_mark(
        &mut self,
        lock: &JournalLock,
        seq: u64,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<bool, LogError> {
        if seq <= self.low_water_mark {
            return Ok(false);
        }
        self.low_water_mark = seq;
        active.advance_low_water_mark(seq, now_ms);
        self.append(lock, &Record::LowWaterMark { through: seq }, Durability::Deferred)?;
        Ok(true)
    }

    /// Whether the log has grown beyond `compact_bytes`.
    pub(super) fn needs_compaction(&self) -> bool {
        self.log.as_ref().is_some_and(|log| log.size_bytes() > self.compact_bytes)
    }

    /// Rewrites the log as a snapshot followed by the retained and the active purges, each once and in order.
    pub(super) fn compact(
        &mut self,
        lock: &JournalLock,
        active: &ActivePurges,
        retained: &BTreeMap<u64, Purge>,
        acknowledged: &BTreeMap<String, u64>,
    ) -> Result<(), LogError> {
        let (Some(log), Some(lock)) = (&mut self.log, &lock.0) else { return Ok(()) };
        let snapshot = Snapshot {
            last_seq: self.last_seq,
            low_water_mark: self.low_water_mark,
            first_retained: self.first_retained,
            last_dropped: self.last_dropped,
            cutoff: active.cutoff(),
            acknowledged: acknowledged.clone(),
        };
        let mut purges: BTreeMap<u64, Purge> = active.iter().map(|purge| (purge.seq, purge)).collect();
        purges.extend(retained.iter().map(|(seq, purge)| (*seq, purge.clone())));
        let mut records = vec![Record::Snapshot(snapshot)];
        records.extend(purges.into_values().map(Record::Purge));
        log.rewrite(lock, &records)?;
        self.metrics.compactions += 1;
        tracing::info!(
            bytes = log.size_bytes(),
            purges = records.len() - 1,
            first_retained = self.first_retained,
            last_seq = self.last_seq,
            "purge log compacted"
        );
        Ok(())
    }

    /// The status of a replica; the leader adds its targets and retained purges.
    pub(super) fn status(&self, role: Role, name: &str, active: &ActivePurges) -> ReplicaStatus {
        let log_file =
            |log: &PurgeLog| LogFile { path: log.path().display().to_string(), bytes: log.size_bytes() };
        ReplicaStatus {
            role,
            name: name.to_string(),
            last_seq: self.last_seq,
            low_water_mark: self.low_water_mark,
            first_retained: self.first_retained,
            retained: 0,
            active: active.len(),
            merged: active.merged(),
            cutoff: active.cutoff(),
            active_bytes: active.heap_bytes(),
            targets: BTreeMap::new(),
            log: self.log.as_ref().map(log_file),
            truncated: self.truncated.clone(),
            metrics: self.metrics,
        }
    }
}
