//! The active purges of one proxy, ordered by sequence number. No I/O and no clock: callers pass the time, in
//! Unix milliseconds.
//!
//! A purge removes a copy when its selector matches the copy and the origin generated the copy (`t0`) at or
//! before the purge's issue time.
//!
//! Purges apply strictly in order, so that two overlapping purges take effect in the same order at every
//! proxy. A purge stays active until the whole fleet has applied it (the low-water mark) and for at least
//! [`RetentionLimits::min_retention_ms`] after its issue, because a fill that is still in progress may store
//! a copy generated before the purge. Beyond [`RetentionLimits::max_active`] the oldest purges are merged
//! into a cutoff: every copy generated at or before its issue time counts as purged. A cutoff may remove more
//! copies than the purges it replaces, never fewer.

use super::index::PurgeIndex;
use super::selector::{CachedCopy, Selector};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::mem::size_of;

/// The clock skew allowed between proxies, cache servers and the origin, in milliseconds. Subtracted from
/// every age limit.
pub const CLOCK_SKEW_MS: f64 = 10.0;
/// Estimated size of a pattern's compiled segments without their text, in bytes.
const GLOB_SEGMENTS_BYTES: usize = 64;

/// One purge, as stored in the log and sent to targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Purge {
    /// The sequence number that the leader assigned, from 1.
    pub seq: u64,
    /// The issue time, in Unix milliseconds: matching copies generated at or before it are removed.
    pub issued_ms: f64,
    /// Which copies it covers.
    #[serde(rename = "sel")]
    pub selector: Selector,
}

impl Purge {
    /// Its sequence number and issue time.
    pub fn stamp(&self) -> PurgeStamp {
        PurgeStamp { seq: self.seq, issued_ms: self.issued_ms }
    }
}

/// The sequence number and issue time of a purge, without its selector.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurgeStamp {
    /// Sequence number.
    pub seq: u64,
    /// Issue time, in Unix milliseconds.
    pub issued_ms: f64,
}

impl PurgeStamp {
    /// The stamp with the later issue time; `a` if the issue times are equal.
    pub(super) fn later(a: Option<Self>, b: Option<Self>) -> Option<Self> {
        match (a, b) {
            (Some(a), Some(b)) => Some(if b.issued_ms > a.issued_ms { b } else { a }),
            (a, b) => a.or(b),
        }
    }
}

/// The result of [`ActivePurges::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The purge is active from now on.
    Applied,
    /// A purge with this or a higher sequence number was applied before; nothing changed.
    Duplicate,
    /// Purges before it are missing; nothing changed.
    Gap {
        /// The sequence number of the next purge to apply.
        expected: u64,
    },
}

/// Limits on how long purges stay active and on their number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetentionLimits {
    /// Maximum number of active purges; beyond it the oldest are merged into the cutoff.
    pub max_active: usize,
    /// Minimum time that a purge stays active after its issue, in milliseconds, even once the fleet has
    /// applied it.
    pub min_retention_ms: f64,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        Self { max_active: 100_000, min_retention_ms: 6_000.0 }
    }
}

#[derive(Clone, Debug)]
struct ActivePurge {
    issued_ms: f64,
    selector: Selector,
}

/// The active purges of one proxy.
#[derive(Clone, Debug, Default)]
pub struct ActivePurges {
    limits: RetentionLimits,
    last_applied: u64,
    low_water_mark: u64,
    cutoff: Option<PurgeStamp>,
    purges: BTreeMap<u64, ActivePurge>,
    index: PurgeIndex,
    merged: u64,
}

impl ActivePurges {
    /// Creates an empty set with these limits.
    pub fn new(limits: RetentionLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// The highest sequence number applied; every purge before it is applied too.
    pub fn last_applied(&self) -> u64 {
        self.last_applied
    }

    /// The highest sequence number known to be applied by the whole fleet.
    pub fn low_water_mark(&self) -> u64 {
        self.low_water_mark
    }

    /// The number of active purges.
    pub fn len(&self) -> usize {
        self.purges.len()
    }

    /// Whether no purge is active.
    pub fn is_empty(&self) -> bool {
        self.purges.is_empty()
    }

    /// The number of purges merged into the cutoff.
    pub fn merged(&self) -> u64 {
        self.merged
    }

    /// The cutoff: every copy generated at or before its issue time counts as purged.
    pub fn cutoff(&self) -> Option<PurgeStamp> {
        self.cutoff
    }

    /// Applies a purge if it is the next in sequence.
    pub fn apply(&mut self, purge: &Purge) -> ApplyOutcome {
        if purge.seq <= self.last_applied {
            return ApplyOutcome::Duplicate;
        }
        if purge.seq != self.last_applied + 1 {
            return ApplyOutcome::Gap { expected: self.last_applied + 1 };
        }
        self.activate(purge);
        ApplyOutcome::Applied
    }

    /// Activates a purge read from the log. Unlike [`Self::apply`], accepts gaps in the sequence, which
    /// compaction leaves.
    pub fn restore(&mut self, purge: &Purge) {
        if !self.purges.contains_key(&purge.seq) {
            self.activate(purge);
        }
    }

    fn activate(&mut self, purge: &Purge) {
        self.last_applied = self.last_applied.max(purge.seq);
        self.index.insert(&purge.selector, purge.stamp());
        let active = ActivePurge { issued_ms: purge.issued_ms, selector: purge.selector.clone() };
        self.purges.insert(purge.seq, active);
        self.enforce_max_active();
    }

    /// Marks all purges up to `seq` as applied without activating them, because they were dropped before a
    /// restart.
    pub fn skip_to(&mut self, seq: u64) {
        self.last_applied = self.last_applied.max(seq);
    }

    /// Applies a cutoff in place of the purges up to `cutoff.seq` that this proxy lacks: the leader no longer
    /// retains them, or a log that contained them was lost.
    pub fn apply_cutoff(&mut self, cutoff: PurgeStamp) {
        self.cutoff = PurgeStamp::later(self.cutoff, Some(cutoff));
        self.last_applied = self.last_applied.max(cutoff.seq);
    }

    /// Records that the whole fleet has applied the purges up to `seq`, and drops those past their retention
    /// time.
    pub fn advance_low_water_mark(&mut self, seq: u64, now_ms: f64) {
        self.low_water_mark = self.low_water_mark.max(seq.min(self.last_applied));
        while let Some((&seq, purge)) = self.purges.first_key_value() {
            if !self.may_drop(seq, purge.issued_ms, now_ms) {
                break;
            }
            let purge = self.purges.remove(&seq).expect("the first entry exists");
            self.index.remove(&purge.selector, seq);
        }
        if self.cutoff.is_some_and(|cutoff| self.may_drop(cutoff.seq, cutoff.issued_ms, now_ms)) {
            self.cutoff = None;
        }
    }

    fn may_drop(&self, seq: u64, issued_ms: f64, now_ms: f64) -> bool {
        seq <= self.low_water_mark && issued_ms + self.limits.min_retention_ms <= now_ms
    }

    /// Replaces the limits; a lower `max_active` takes effect at once.
    pub fn set_limits(&mut self, limits: RetentionLimits) {
        self.limits = limits;
        self.enforce_max_active();
    }

    /// Merges the oldest purges into the cutoff until the number of active purges is within its limit.
    fn enforce_max_active(&mut self) {
        while self.purges.len() > self.limits.max_active.max(1) {
            let Some((seq, purge)) = self.purges.pop_first() else { return };
            self.index.remove(&purge.selector, seq);
            let oldest = PurgeStamp { seq, issued_ms: purge.issued_ms };
            self.cutoff = PurgeStamp::later(self.cutoff, Some(oldest));
            self.merged += 1;
        }
    }

    /// The newest purge whose selector matches a copy, or the cutoff if that is newer. The copy's generation
    /// time is not considered.
    pub fn newest_covering(&self, copy: &CachedCopy<'_>) -> Option<PurgeStamp> {
        self.index.newest_covering(copy, self.cutoff)
    }

    /// The maximum age of a copy that may answer a request sent now, in milliseconds, at least 1; `None` if
    /// no purge covers the copy.
    pub fn max_age_ms(&self, now_ms: f64, copy: &CachedCopy<'_>) -> Option<u64> {
        let newest = self.newest_covering(copy)?;
        Some(((now_ms - newest.issued_ms - CLOCK_SKEW_MS).floor() as i64).max(1) as u64)
    }

    /// The newest purge that covers a copy, if it removes the copy: if it was issued at or after the copy's
    /// generation time `generated_ms`.
    pub fn removing_purge(&self, copy: &CachedCopy<'_>, generated_ms: f64) -> Option<PurgeStamp> {
        self.newest_covering(copy).filter(|newest| generated_ms <= newest.issued_ms)
    }

    /// The active purges, by sequence number.
    pub fn iter(&self) -> impl Iterator<Item = Purge> + '_ {
        self.purges.iter().map(|(seq, purge)| Purge {
            seq: *seq,
            issued_ms: purge.issued_ms,
            selector: purge.selector.clone(),
        })
    }

    /// An estimate of the heap memory in use, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let entry_bytes = size_of::<u64>() + size_of::<ActivePurge>() + 2 * size_of::<usize>();
        let selector_bytes = |selector: &Selector| match selector {
            Selector::SurrogateKey(key) => key.as_str().len(),
            Selector::Pattern(glob) => 2 * glob.as_str().len() + GLOB_SEGMENTS_BYTES,
            _ => 0,
        };
        let total_selector_bytes: usize =
            self.purges.values().map(|purge| selector_bytes(&purge.selector)).sum();
        self.purges.len() * entry_bytes + total_selector_bytes + self.index.heap_bytes()
    }
}

#[cfg(test)]
mod tests;
