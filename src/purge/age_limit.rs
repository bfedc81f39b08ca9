//! What the engine asks of fleet purges, for each attempt and each answer: the oldest copy that will do before
//! an attempt's first byte, and whether an answer's copy is one that a purge removed. No I/O.
//!
//! The tags of a copy are known only from answers, so the guard remembers them for the objects answered last,
//! at most [`Guard::new`]'s `tags_most` of them (an LRU). Where it forgot them, or never knew them, the answer
//! still tells: a copy whose tags a purge names and that is older than that purge is not passed on, and the
//! attempt counts as one whose answer can't be used. The module then tries again, and that attempt's age bound
//! knows the tags.

use super::active_purges::{Ledger, LedgerBounds, Mark};
use super::selector::{copy_name, Copy, Tag};
use crate::ObjectId;
use lru::LruCache;
use std::num::NonZeroUsize;

/// Figures of the guard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct GuardFigures {
    /// Attempts whose age bound a purge lowered.
    pub bounded: u64,
    /// Answers whose copy a purge removed, which no client got.
    pub stale_answers: u64,
}

/// The engine's view of fleet purges. See the module's page.
#[derive(Debug)]
pub struct Guard {
    /// The purges that bind.
    pub ledger: Ledger,
    tags: LruCache<ObjectId, Box<[Tag]>>,
    /// Its figures.
    pub figures: GuardFigures,
}

impl Guard {
    /// A guard with an empty ledger.
    pub fn new(bounds: LedgerBounds, tags_most: usize) -> Self {
        let tags = LruCache::new(NonZeroUsize::new(tags_most.max(1)).expect("at least one"));
        Self { ledger: Ledger::new(bounds), tags, figures: GuardFigures::default() }
    }

    /// The age bound of an attempt sent now, in milliseconds, where a purge lowers it; `own` is the module's
    /// bound (0 for the class's own), which a purge may only lower.
    pub fn bound(
        &mut self,
        now_ms: f64,
        class: &str,
        object: ObjectId,
        part: u32,
        group: u32,
        own: u64,
    ) -> u64 {
        let name = copy_name(class, object, part);
        let tags = self.tags.peek(&object).map_or(&[][..], |t| &t[..]);
        let copy = Copy { name: &name, object, group, tags };
        match self.ledger.age_bound_ms(now_ms, &copy) {
            Some(bound) if own == 0 || bound < own => {
                self.figures.bounded += 1;
                bound
            }
            _ => own,
        }
    }

    /// Whether an answer's copy, given out at `born_ms` and carrying `tags`, was removed by a purge. Learns the
    /// tags. A copy whose birth is not told can't be judged, and passes.
    pub fn removes(
        &mut self,
        class: &str,
        object: ObjectId,
        part: u32,
        group: u32,
        born_ms: Option<f64>,
        tags: &[Tag],
    ) -> Option<Mark> {
        if !tags.is_empty() && self.tags.peek(&object).is_none_or(|known| known[..] != *tags) {
            self.tags.put(object, tags.into());
        }
        let name = copy_name(class, object, part);
        let copy = Copy { name: &name, object, group, tags };
        let mark = self.ledger.purges(&copy, born_ms?)?;
        self.figures.stale_answers += 1;
        Some(mark)
    }

    /// Objects whose tags are remembered.
    pub fn tags_known(&self) -> usize {
        self.tags.len()
    }
}

#[cfg(test)]
mod tests;
