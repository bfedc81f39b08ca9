//! Recent counts by key in bounded memory.

use crate::Micros;
use std::collections::HashMap;

/// Counts by key in two generations. The older one is dropped when the younger one's span ends or it is full.
#[derive(Clone, Debug)]
pub struct RecentCounts {
    generations: [HashMap<u64, f32>; 2],
    since: Micros,
    span: Micros,
    max_keys: usize,
}

impl RecentCounts {
    /// Creates empty counts; a generation lasts `span` microseconds and holds at most `max_keys` keys.
    pub fn new(span: Micros, max_keys: usize) -> Self {
        Self { generations: Default::default(), since: 0, span, max_keys }
    }

    /// Increments the count of `key`.
    pub fn add(&mut self, now: Micros, key: u64) {
        if now >= self.since + self.span || self.generations[0].len() >= self.max_keys {
            self.generations.swap(0, 1);
            self.generations[0].clear();
            self.since = now;
        }
        *self.generations[0].entry(key).or_insert(0.0) += 1.0;
    }

    /// The count of `key` over both generations.
    pub fn get(&self, key: u64) -> f32 {
        self.generations.iter().filter_map(|counts| counts.get(&key)).sum()
    }
}
