//! The ids of recent requests that may have run and must not run twice. An id is new with every request, so that a
//! request with one of these is a repeat, which could take effect a second time.

use crate::RequestId;
use std::collections::{HashSet, VecDeque};

/// How long an id is remembered, in milliseconds.
const RETENTION_MS: f64 = 60_000.0;
/// Maximum number of remembered ids; the oldest are dropped.
const MAX_IDS: usize = 16_384;

/// Shares the ids of recent writes with the other process of an upgrade, whose writes must not run a second time
/// here.
pub trait SharedWrites {
    /// Tells the other process that a request may run here.
    fn publish(&mut self, id: RequestId);

    /// The ids that the other process has published since the last call.
    fn receive(&mut self) -> Vec<RequestId>;
}

/// The remembered ids.
#[derive(Default)]
pub struct RecentWrites {
    shared: Option<Box<dyn SharedWrites>>,
    ids: HashSet<RequestId>,
    /// The ids with the time of their first record, oldest first.
    order: VecDeque<(f64, RequestId)>,
}

impl RecentWrites {
    /// Shares ids with the other process of an upgrade from now on.
    pub fn share_with(&mut self, shared: Box<dyn SharedWrites>) {
        self.shared = Some(shared);
    }

    /// Records an id, before the first byte of its request is sent. `now_ms` is in Unix milliseconds.
    pub fn record(&mut self, now_ms: f64, id: RequestId) {
        if let Some(shared) = &mut self.shared {
            shared.publish(id);
        }
        self.remember(now_ms, id);
    }

    fn remember(&mut self, now_ms: f64, id: RequestId) {
        if self.ids.insert(id) {
            self.order.push_back((now_ms, id));
        }
        while self.order.len() > MAX_IDS {
            self.drop_oldest();
        }
    }

    /// Whether an id was recorded recently, here or in the other process.
    pub fn contains(&mut self, now_ms: f64, id: RequestId) -> bool {
        let received = self.shared.as_mut().map(|shared| shared.receive()).unwrap_or_default();
        received.into_iter().for_each(|id| self.remember(now_ms, id));
        while self.order.front().is_some_and(|(recorded_ms, _)| recorded_ms + RETENTION_MS <= now_ms) {
            self.drop_oldest();
        }
        self.ids.contains(&id)
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
