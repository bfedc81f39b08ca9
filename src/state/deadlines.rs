//! A queue of deadlines, the earliest first.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An item with its deadline in Unix milliseconds. The order is reversed, so that a max-heap returns the
/// earliest deadline first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry<T> {
    due_ms: f64,
    item: T,
}

impl<T: PartialEq> Eq for Entry<T> {}

impl<T: PartialEq> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: PartialEq> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.due_ms.total_cmp(&self.due_ms)
    }
}

/// A priority queue of deadlines. Obsolete entries are dropped when they reach the head of the queue; the
/// caller's predicate `is_current` identifies the others.
#[derive(Debug)]
pub struct Deadlines<T>(BinaryHeap<Entry<T>>);

impl<T: PartialEq> Default for Deadlines<T> {
    fn default() -> Self {
        Self(BinaryHeap::new())
    }
}

impl<T: PartialEq + Copy> Deadlines<T> {
    /// Adds an item with its deadline in Unix milliseconds.
    pub fn push(&mut self, due_ms: f64, item: T) {
        self.0.push(Entry { due_ms, item });
    }

    /// The earliest current deadline.
    pub fn next_due(&mut self, is_current: impl Fn(T, f64) -> bool) -> Option<f64> {
        while let Some(Entry { due_ms, item }) = self.0.peek() {
            if is_current(*item, *due_ms) {
                return Some(*due_ms);
            }
            self.0.pop();
        }
        None
    }

    /// The number of entries, including obsolete ones.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes and returns the item with the earliest current deadline, if that is not after `now`.
    pub fn pop_due(&mut self, now: f64, is_current: impl Fn(T, f64) -> bool) -> Option<T> {
        if self.next_due(is_current)? > now {
            return None;
        }
        self.0.pop().map(|entry| entry.item)
    }
}

#[cfg(test)]
mod tests;
