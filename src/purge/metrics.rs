//! Counters and status of a proxy's fleet purges, as `GET /purges` reports them.

use super::active_purges::PurgeStamp;
use super::age_limit::AgeLimitMetrics;
use super::config::Role;
use super::fanout::TargetProgress;
use super::log::TruncatedTail;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PurgeMetrics {
    /// Purges issued at this leader.
    pub issued: u64,
    /// Purges applied from the leader's batches.
    pub received: u64,
    /// Purges that another process of this proxy has logged, applied from the log.
    pub from_log: u64,
    /// Received purges that had been applied before.
    pub repeats: u64,
    /// Received batches with a gap in the sequence.
    pub gaps: u64,
    /// Batches sent to targets.
    pub batches: u64,
    /// Batches to targets that failed.
    pub failures: u64,
    /// Cutoffs sent in place of purges that are no longer retained.
    #[serde(rename = "floors")]
    pub cutoffs: u64,
    /// Compactions of the log.
    pub compactions: u64,
    /// Acknowledgements lower than the target's previous one.
    #[serde(rename = "lost")]
    pub regressions: u64,
}

/// The path and size of a log file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(String, u64)")]
pub struct LogFile {
    /// The path of the file.
    pub path: String,
    /// The size, in bytes.
    pub bytes: u64,
}

impl From<LogFile> for (String, u64) {
    fn from(file: LogFile) -> Self {
        (file.path, file.bytes)
    }
}

/// The status of a leader or follower.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaStatus {
    /// Its role.
    pub role: Role,
    /// Its name.
    pub name: String,
    /// The highest sequence number issued or applied.
    #[serde(rename = "last")]
    pub last_seq: u64,
    /// The highest sequence number that the whole fleet has applied.
    #[serde(rename = "done")]
    pub low_water_mark: u64,
    /// The lowest sequence number that is retained.
    #[serde(rename = "first")]
    pub first_retained: u64,
    /// Purges retained for targets (leader only).
    #[serde(rename = "held")]
    pub retained: usize,
    /// Active purges.
    #[serde(rename = "binding")]
    pub active: usize,
    /// Purges merged into the cutoff.
    #[serde(rename = "folded")]
    pub merged: u64,
    /// The cutoff.
    #[serde(rename = "floor")]
    pub cutoff: Option<PurgeStamp>,
    /// Estimated heap memory of the active purges, in bytes.
    #[serde(rename = "ledger_bytes")]
    pub active_bytes: usize,
    /// The replication state of each target, by name (leader only).
    pub targets: BTreeMap<String, TargetProgress>,
    /// The log, if there is one.
    pub log: Option<LogFile>,
    /// The tail of the log that was removed at startup, if any.
    #[serde(rename = "fault")]
    pub truncated: Option<TruncatedTail>,
    /// The counters.
    #[serde(rename = "figures")]
    pub metrics: PurgeMetrics,
}

/// The answer to `GET /purges`.
#[derive(Clone, Debug, Serialize)]
pub struct PurgeStatus {
    /// The status of the leader or follower.
    #[serde(flatten)]
    pub replica: ReplicaStatus,
    /// The counters of age limits and reply checks.
    #[serde(rename = "guard")]
    pub age_limits: AgeLimitMetrics,
    /// Objects whose surrogate keys are cached.
    #[serde(rename = "tags_known")]
    pub tagged_objects: usize,
}
