//! Which purges still bind, and what they mean for a copy: the decision part of fleet purges. It does no I/O
//! and knows no clock: every call is told the time, in Unix milliseconds.
//!
//! A purge binds a copy when its selector covers the copy and the copy was given out by the origin (`t0`) no
//! later than the purge was issued. Of the purges that cover a copy only the newest matters, so the ledger
//! keeps, for each object, group, tag and pattern, the newest purge alone, and the cost of a lookup hardly
//! grows with the number of purges held: a few hash lookups, a walk down a PATRICIA trie of the patterns' stems
//! (what stands before their first wildcard) along the copy's name, and a match against the patterns whose stem
//! begins the name, in bounded cost each.
//!
//! Purges apply strictly in the order of their sequence numbers; one that comes early is refused, so that two
//! overlapping purges take effect in the same order everywhere. A purge is held until the fleet has applied
//! it (the leader's `done` mark) and for at least [`LedgerBounds::hold_ms`] after it was issued, as a ban on
//! older copies that a slow fill could still bring. Past [`LedgerBounds::most`] held purges the oldest are folded
//! into a floor: every copy older than the floor counts as purged. That over-purges, never under-purges.

use super::selector::{Copy, Glob, Selector, Tag};
use crate::ObjectId;
use ahash::AHashMap;
use patricia_tree::StringPatriciaMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Taken off an age bound, in milliseconds: the clocks of proxies, boxes and the origin are not one.
pub const AGE_MARGIN_MS: f64 = 10.0;

/// One purge as the fleet's log holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Purge {
    /// Its place in the fleet's order, from 1.
    pub seq: u64,
    /// When it was issued, in Unix milliseconds: copies given out until then are removed.
    pub issued_ms: f64,
    /// What it removes.
    pub sel: Selector,
}

/// A purge by its number and time, as the indexes keep it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Sequence number.
    pub seq: u64,
    /// Issue time, Unix milliseconds.
    pub issued_ms: f64,
}

impl Mark {
    fn newer(a: Option<Mark>, b: Option<Mark>) -> Option<Mark> {
        match (a, b) {
            (Some(a), Some(b)) => Some(if b.issued_ms > a.issued_ms { b } else { a }),
            (a, b) => a.or(b),
        }
    }
}

/// What became of a purge handed to [`Ledger::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Taken: it binds from now on.
    New,
    /// Its number was applied before; nothing changed.
    Held,
    /// It came before the purges ahead of it; nothing changed.
    Gap {
        /// The number that must come next.
        expected: u64,
    },
}

/// The bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerBounds {
    /// Purges held at most; past it the oldest are folded into the floor.
    pub most: usize,
    /// How long a purge is held after its issue at least, in milliseconds, even once the fleet has applied it.
    pub hold_ms: f64,
}

impl Default for LedgerBounds {
    fn default() -> Self {
        Self { most: 100_000, hold_ms: 6_000.0 }
    }
}

#[derive(Clone, Debug)]
struct Held {
    issued_ms: f64,
    sel: Selector,
}

/// The purges that bind. See the module's page.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    bounds: LedgerBounds,
    applied: u64,
    done: u64,
    floor: Option<Mark>,
    held: BTreeMap<u64, Held>,
    objects: AHashMap<ObjectId, Mark>,
    groups: AHashMap<u32, Mark>,
    tags: AHashMap<Tag, Mark>,
    exact: AHashMap<Box<str>, Mark>,
    /// Patterns with wildcards by their stem, what stands before their first wildcard.
    stems: StringPatriciaMap<Vec<(Glob, Mark)>>,
    /// Patterns in `stems`.
    wild: usize,
    /// Purges of everything that are held, by number, with their issue times.
    alls: BTreeMap<u64, f64>,
    folded: u64,
}

/// Keeps the newer of a key's marks.
fn raise<K: std::hash::Hash + Eq>(map: &mut AHashMap<K, Mark>, key: K, mark: Mark) {
    let slot = map.entry(key).or_insert(mark);
    if mark.issued_ms >= slot.issued_ms {
        *slot = mark;
    }
}

/// Forgets a key's mark if it is that of this purge: a newer one of the same key stays.
fn lower<K: std::hash::Hash + Eq>(map: &mut AHashMap<K, Mark>, key: &K, seq: u64) {
    if map.get(key).is_some_and(|m| m.seq == seq) {
        map.remove(key);
    }
}

impl Ledger {
    /// An empty ledger.
    pub fn new(bounds: LedgerBounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// The highest number applied: all purges up to it are taken, in order.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The highest number that the whole fleet has applied, as far as this ledger was told.
    pub fn done(&self) -> u64 {
        self.done
    }

    /// Purges held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Purges folded into the floor so far.
    pub fn folded(&self) -> u64 {
        self.folded
    }

    /// The floor: every copy given out until it counts as purged.
    pub fn floor(&self) -> Option<Mark> {
        self.floor
    }

    /// Takes a purge, if it is the next in order.
    pub fn apply(&mut self, purge: &Purge) -> Applied {
        if purge.seq <= self.applied {
            return Applied::Held;
        }
        if purge.seq != self.applied + 1 {
            return Applied::Gap { expected: self.applied + 1 };
        }
        self.applied = purge.seq;
        let mark = Mark { seq: purge.seq, issued_ms: purge.issued_ms };
        self.index(&purge.sel, mark);
        self.held.insert(purge.seq, Held { issued_ms: purge.issued_ms, sel: purge.sel.clone() });
        while self.held.len() > self.bounds.most.max(1) {
            self.fold_oldest();
        }
        Applied::New
    }

    /// Binds a purge that a log held, whatever came before it: the way back after a restart, where purges that
    /// were let go before leave gaps.
    pub fn restore(&mut self, purge: &Purge) {
        if self.held.contains_key(&purge.seq) {
            return;
        }
        self.applied = self.applied.max(purge.seq);
        self.index(&purge.sel, Mark { seq: purge.seq, issued_ms: purge.issued_ms });
        self.held.insert(purge.seq, Held { issued_ms: purge.issued_ms, sel: purge.sel.clone() });
        while self.held.len() > self.bounds.most.max(1) {
            self.fold_oldest();
        }
    }

    /// Counts all purges up to `seq` as applied, binding nothing: they were let go before a restart.
    pub fn skip_to(&mut self, seq: u64) {
        self.applied = self.applied.max(seq);
    }

    /// Takes a floor in place of the purges up to `mark.seq`, which this ledger will never see one by one: what
    /// a target that fell too far behind is told.
    pub fn apply_floor(&mut self, mark: Mark) {
        self.floor = Mark::newer(self.floor, Some(mark));
        self.applied = self.applied.max(mark.seq);
    }

    /// Hears that the whole fleet has applied the purges up to `through`; those held long enough are let go.
    pub fn retire(&mut self, through: u64, now_ms: f64) {
        self.done = self.done.max(through.min(self.applied));
        while let Some((&seq, held)) = self.held.first_key_value() {
            if seq > self.done || held.issued_ms + self.bounds.hold_ms > now_ms {
                break;
            }
            let held = self.held.remove(&seq).expect("the first is there");
            self.unindex(&held.sel, seq);
        }
        if self.floor.is_some_and(|f| f.seq <= self.done && f.issued_ms + self.bounds.hold_ms <= now_ms) {
            self.floor = None;
        }
    }

    /// Takes other bounds; a lower `most` folds at once.
    pub fn rebound(&mut self, bounds: LedgerBounds) {
        self.bounds = bounds;
        while self.held.len() > self.bounds.most.max(1) {
            self.fold_oldest();
        }
    }

    fn fold_oldest(&mut self) {
        let Some((seq, held)) = self.held.pop_first() else { return };
        self.unindex(&held.sel, seq);
        self.floor = Mark::newer(self.floor, Some(Mark { seq, issued_ms: held.issued_ms }));
        self.folded += 1;
    }

    fn index(&mut self, sel: &Selector, mark: Mark) {
        match sel {
            Selector::Object(object) => raise(&mut self.objects, *object, mark),
            Selector::Group(group) => raise(&mut self.groups, *group, mark),
            Selector::Tag(tag) => raise(&mut self.tags, tag.clone(), mark),
            Selector::Pattern(glob) if glob.is_exact() => raise(&mut self.exact, glob.as_str().into(), mark),
            Selector::Pattern(glob) => {
                if self.stems.get(glob.stem()).is_none() {
                    self.stems.insert(glob.stem(), Vec::new());
                }
                let list = self.stems.get_mut(glob.stem()).expect("just made");
                match list.iter_mut().find(|(g, _)| g == glob) {
                    Some((_, old)) if mark.issued_ms >= old.issued_ms => *old = mark,
                    Some(_) => {}
                    None => {
                        list.push((glob.clone(), mark));
                        self.wild += 1;
                    }
                }
            }
            Selector::Everything => {
                self.alls.insert(mark.seq, mark.issued_ms);
            }
        }
    }

    fn unindex(&mut self, sel: &Selector, seq: u64) {
        match sel {
            Selector::Object(object) => lower(&mut self.objects, object, seq),
            Selector::Group(group) => lower(&mut self.groups, group, seq),
            Selector::Tag(tag) => lower(&mut self.tags, tag, seq),
            Selector::Pattern(glob) if glob.is_exact() => lower(&mut self.exact, &glob.as_str().into(), seq),
            Selector::Pattern(glob) => {
                if let Some(list) = self.stems.get_mut(glob.stem()) {
                    let before = list.len();
                    list.retain(|(g, m)| !(m.seq == seq && g == glob));
                    self.wild -= before - list.len();
                    if list.is_empty() {
                        self.stems.remove(glob.stem());
                    }
                }
            }
            Selector::Everything => {
                self.alls.remove(&seq);
            }
        }
    }

    /// The newest purge that covers a copy, whenever the copy was given out.
    pub fn newest(&self, copy: &Copy<'_>) -> Option<Mark> {
        let mut best = self.floor;
        for (seq, issued_ms) in &self.alls {
            best = Mark::newer(best, Some(Mark { seq: *seq, issued_ms: *issued_ms }));
        }
        best = Mark::newer(best, self.objects.get(&copy.object).copied());
        best = Mark::newer(best, self.groups.get(&copy.group).copied());
        for tag in copy.tags {
            best = Mark::newer(best, self.tags.get(tag).copied());
        }
        if !self.exact.is_empty() {
            best = Mark::newer(best, self.exact.get(copy.name).copied());
        }
        if self.wild > 0 {
            // A pattern that matches has a stem that begins the name.
            for (_, list) in self.stems.common_prefixes(copy.name) {
                for (glob, mark) in list {
                    if best.is_none_or(|b| mark.issued_ms > b.issued_ms) && glob.matches(copy.name) {
                        best = Some(*mark);
                    }
                }
            }
        }
        best
    }

    /// The oldest copy that will do for a request sent now, in milliseconds, as `agelim` says it: none where
    /// no purge covers the copy. At least 1, which asks for a copy given out just now.
    pub fn age_bound_ms(&self, now_ms: f64, copy: &Copy<'_>) -> Option<u64> {
        let mark = self.newest(copy)?;
        Some(((now_ms - mark.issued_ms - AGE_MARGIN_MS).floor() as i64).max(1) as u64)
    }

    /// The purge that removes a copy given out at `born_ms`, if any does: one issued at or after that time.
    pub fn purges(&self, copy: &Copy<'_>, born_ms: f64) -> Option<Mark> {
        self.newest(copy).filter(|mark| born_ms <= mark.issued_ms)
    }

    /// The purges held, in order.
    pub fn iter(&self) -> impl Iterator<Item = Purge> + '_ {
        self.held.iter().map(|(seq, h)| Purge { seq: *seq, issued_ms: h.issued_ms, sel: h.sel.clone() })
    }

    /// A close estimate of the bytes that the ledger holds beyond its own size.
    pub fn heap_bytes(&self) -> usize {
        use std::mem::size_of;
        let held = self.held.len() * (size_of::<u64>() + size_of::<Held>() + 2 * size_of::<usize>());
        let sel_text = |sel: &Selector| match sel {
            Selector::Tag(tag) => tag.as_str().len(),
            Selector::Pattern(glob) => 2 * glob.as_str().len() + 64,
            _ => 0,
        };
        let texts: usize = self.held.values().map(|h| sel_text(&h.sel)).sum();
        let map = |cap: usize, entry: usize| cap * (entry + 1);
        held + texts
            + map(self.objects.capacity(), size_of::<(ObjectId, Mark)>())
            + map(self.groups.capacity(), size_of::<(u32, Mark)>())
            + map(self.tags.capacity(), size_of::<(Tag, Mark)>())
            + map(self.exact.capacity(), size_of::<(Box<str>, Mark)>())
            + self.stems.len() * (size_of::<Vec<(Glob, Mark)>>() + 48)
            + self.tags.keys().map(|t| t.as_str().len()).sum::<usize>()
            + self.exact.keys().map(|k| k.len()).sum::<usize>()
            + self.stems.values().map(|v| v.capacity() * size_of::<(Glob, Mark)>()).sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
