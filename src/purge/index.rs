//! An index of the active purges by selector, for the lookup of the newest purge that covers a copy.
//!
//! Of the purges with the same selector only the newest matters, so each selector except `everything` has
//! one entry. A lookup costs a few hash lookups, a walk along the copy's name in a PATRICIA trie of the
//! patterns' literal prefixes, and a match of bounded cost against each pattern whose literal prefix is a
//! prefix of the name.

use super::active_purges::PurgeStamp;
use super::glob::Glob;
use super::selector::{CachedCopy, Selector};
use crate::surrogate_key::SurrogateKey;
use crate::ObjectId;
use ahash::AHashMap;
use patricia_tree::StringPatriciaMap;
use std::collections::BTreeMap;
use std::mem::size_of;

/// Estimated size of a trie node without its value, in bytes.
const TRIE_NODE_BYTES: usize = 48;

/// A pattern with wildcards and its newest purge.
type PatternEntry = (Glob, PurgeStamp);

/// The newest purge of each selector, except that all purges with the selector `everything` are kept.
#[derive(Clone, Debug, Default)]
pub(super) struct PurgeIndex {
    objects: AHashMap<ObjectId, PurgeStamp>,
    groups: AHashMap<u32, PurgeStamp>,
    surrogate_keys: AHashMap<SurrogateKey, PurgeStamp>,
    /// Patterns without wildcards, each the name of one copy.
    exact_names: AHashMap<Box<str>, PurgeStamp>,
    /// Patterns with wildcards, by literal prefix.
    patterns: StringPatriciaMap<Vec<PatternEntry>>,
    /// The number of entries in `patterns`, over all prefixes.
    pattern_count: usize,
    /// Issue times of the purges with the selector `everything`, in Unix milliseconds, by sequence number.
    purges_of_everything: BTreeMap<u64, f64>,
}

impl PurgeIndex {
    /// Adds a purge. Replaces an older one with the same selector, except `everything`.
    pub(super) fn insert(&mut self, selector: &Selector, stamp: PurgeStamp) {
        match selector {
            Selector::Object(object) => insert_unless_older(&mut self.objects, *object, stamp),
            Selector::Group(group) => insert_unless_older(&mut self.groups, *group, stamp),
            Selector::SurrogateKey(key) => insert_unless_older(&mut self.surrogate_keys, key.clone(), stamp),
            Selector::Pattern(glob) if glob.is_exact() => {
                insert_unless_older(&mut self.exact_names, glob.as_str().into(), stamp);
            }
            Selector::Pattern(glob) => self.insert_pattern(glob, stamp),
            Selector::Everything => {
                self.purges_of_everything.insert(stamp.seq, stamp.issued_ms);
            }
        }
    }

    fn insert_pattern(&mut self, glob: &Glob, stamp: PurgeStamp) {
        if self.patterns.get(glob.literal_prefix()).is_none() {
            self.patterns.insert(glob.literal_prefix(), Vec::new());
        }
        let entries = self.patterns.get_mut(glob.literal_prefix()).expect("inserted above");
        match entries.iter_mut().find(|(existing, _)| existing == glob) {
            Some((_, newest)) if stamp.issued_ms >= newest.issued_ms => *newest = stamp,
            Some(_) => {}
            None => {
                entries.push((glob.clone(), stamp));
                self.pattern_count += 1;
            }
        }
    }

    /// Removes a purge, unless a newer one with the same selector has replaced it.
    pub(super) fn remove(&mut self, selector: &Selector, seq: u64) {
        match selector {
            Selector::Object(object) => remove_if_seq(&mut self.objects, object, seq),
            Selector::Group(group) => remove_if_seq(&mut self.groups, group, seq),
            Selector::SurrogateKey(key) => remove_if_seq(&mut self.surrogate_keys, key, seq),
            Selector::Pattern(glob) if glob.is_exact() => {
                remove_if_seq(&mut self.exact_names, &glob.as_str().into(), seq);
            }
            Selector::Pattern(glob) => self.remove_pattern(glob, seq),
            Selector::Everything => {
                self.purges_of_everything.remove(&seq);
            }
        }
    }

    fn remove_pattern(&mut self, glob: &Glob, seq: u64) {
        let Some(entries) = self.patterns.get_mut(glob.literal_prefix()) else { return };
        let before = entries.len();
        entries.retain(|(existing, stamp)| !(stamp.seq == seq && existing == glob));
        self.pattern_count -= before - entries.len();
        if entries.is_empty() {
            self.patterns.remove(glob.literal_prefix());
        }
    }

    /// The newest purge that covers a copy, or `cutoff` if that is newer.
    pub(super) fn newest_covering(
        &self,
        copy: &CachedCopy<'_>,
        cutoff: Option<PurgeStamp>,
    ) -> Option<PurgeStamp> {
        let mut newest = cutoff;
        for (seq, issued_ms) in &self.purges_of_everything {
            newest = PurgeStamp::later(newest, Some(PurgeStamp { seq: *seq, issued_ms: *issued_ms }));
        }
        newest = PurgeStamp::later(newest, self.objects.get(&copy.object).copied());
        newest = PurgeStamp::later(newest, self.groups.get(&copy.group).copied());
        for key in copy.surrogate_keys {
            newest = PurgeStamp::later(newest, self.surrogate_keys.get(key).copied());
        }
        if !self.exact_names.is_empty() {
            newest = PurgeStamp::later(newest, self.exact_names.get(copy.name).copied());
        }
        self.newest_matching_pattern(copy.name, newest)
    }

    /// The newer of `newest` and the newest purge whose pattern matches a name.
    fn newest_matching_pattern(&self, name: &str, mut newest: Option<PurgeStamp>) -> Option<PurgeStamp> {
        if self.pattern_count == 0 {
            return newest;
        }
        for (_, entries) in self.patterns.common_prefixes(name) {
            for (glob, stamp) in entries {
                if newest.is_none_or(|n| stamp.issued_ms > n.issued_ms) && glob.matches(name) {
                    newest = Some(*stamp);
                }
            }
        }
        newest
    }

    /// An estimate of the heap memory in use, in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        // A hash map has one control byte for each entry.
        let map_bytes = |capacity: usize, entry: usize| capacity * (entry + 1);
        let pattern_entries =
            self.patterns.values().map(|entries| entries.capacity() * size_of::<PatternEntry>());
        map_bytes(self.objects.capacity(), size_of::<(ObjectId, PurgeStamp)>())
            + map_bytes(self.groups.capacity(), size_of::<(u32, PurgeStamp)>())
            + map_bytes(self.surrogate_keys.capacity(), size_of::<(SurrogateKey, PurgeStamp)>())
            + map_bytes(self.exact_names.capacity(), size_of::<(Box<str>, PurgeStamp)>())
            + self.patterns.len() * (size_of::<Vec<PatternEntry>>() + TRIE_NODE_BYTES)
            + self.surrogate_keys.keys().map(|key| key.as_str().len()).sum::<usize>()
            + self.exact_names.keys().map(|name| name.len()).sum::<usize>()
            + pattern_entries.sum::<usize>()
    }
}

/// Sets a key's purge unless the map has one with a later issue time.
fn insert_unless_older<K: std::hash::Hash + Eq>(
    map: &mut AHashMap<K, PurgeStamp>,
    key: K,
    stamp: PurgeStamp,
) {
    let newest = map.entry(key).or_insert(stamp);
    if stamp.issued_ms >= newest.issued_ms {
        *newest = stamp;
    }
}

/// Removes a key's purge if it has this sequence number.
fn remove_if_seq<K: std::hash::Hash + Eq>(map: &mut AHashMap<K, PurgeStamp>, key: &K, seq: u64) {
    if map.get(key).is_some_and(|stamp| stamp.seq == seq) {
        map.remove(key);
    }
}
