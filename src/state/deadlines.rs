//! Times at which something is due, the earliest first.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Due<T>(f64, T);

impl<T: PartialEq> Eq for Due<T> {}

impl<T: PartialEq> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: PartialEq> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0)
    }
}

/// Times with what is due at each. What has ended before its time stays until its time, or until it is first.
#[derive(Debug)]
pub struct Deadlines<T>(BinaryHeap<Due<T>>);

impl<T: PartialEq> Default for Deadlines<T> {
    fn default() -> Self {
        Self(BinaryHeap::new())
    }
}

impl<T: PartialEq + Copy> Deadlines<T> {
    /// Something is due at a time, in milliseconds.
    pub fn push(&mut self, at: f64, what: T) {
        self.0.push(Due(at, what));
    }

    /// The first time at which something is due that `stands` still, asked with its time.
    pub fn next_due(&mut self, stands: impl Fn(T, f64) -> bool) -> Option<f64> {
        while let Some(Due(at, what)) = self.0.peek() {
            if stands(*what, *at) {
                return Some(*at);
            }
            self.0.pop();
        }
        None
    }

    /// Entries held, those that no longer stand included.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes one that is due by `now` and `stands` still.
    pub fn pop_due(&mut self, now: f64, stands: impl Fn(T, f64) -> bool) -> Option<T> {
        if self.next_due(stands)? > now {
            return None;
        }
        self.0.pop().map(|Due(_, what)| what)
    }
}

#[cfg(test)]
mod tests;
