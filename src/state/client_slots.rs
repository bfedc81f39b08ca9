//! Limits the number of a front's client connections, and chooses the one to evict for a new connection.

use std::collections::BTreeMap;

/// Id of a slot. Ids are not reused.
pub type SlotId = u64;

/// How long a new connection that has sent nothing is protected from eviction, in milliseconds.
const FIRST_BYTE_GRACE_MS: f64 = 100.0;
/// How long a connection that is receiving a request is protected from eviction, in milliseconds. A
/// well-behaved client sends its request in one go.
const REQUEST_ARRIVAL_GRACE_MS: f64 = 500.0;

/// The activity of a client connection; times in Unix milliseconds.
#[derive(Clone, Copy, Debug)]
enum Activity {
    /// Waiting for a request since this time.
    Idle(f64),
    /// Receiving a request since this time.
    Reading(f64),
    /// Processing a request or writing its response.
    Processing,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    activity: Activity,
    /// Whether a request of this connection was answered.
    has_been_answered: bool,
    /// Whether the connection has been evicted and is closing.
    closing: bool,
}

/// The order of eviction, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The connection is idle, and no request of it was answered.
    NoResponse,
    /// The connection is idle after a request.
    Idle,
    /// The connection's request is slow to arrive.
    SlowRequest,
}

impl Slot {
    /// The sort key for eviction at `now`: the rank, and the start of the present activity. `None` if the
    /// slot is protected.
    fn eviction_order(&self, now: f64) -> Option<(EvictionRank, f64)> {
        match self.activity {
            Activity::Idle(since) if self.has_been_answered => Some((EvictionRank::Idle, since)),
            Activity::Idle(since) if now - since >= FIRST_BYTE_GRACE_MS => {
                Some((EvictionRank::NoResponse, since))
            }
            Activity::Reading(since) if now - since >= REQUEST_ARRIVAL_GRACE_MS => {
                Some((EvictionRank::SlowRequest, since))
            }
            _ => None,
        }
    }
}

/// The slots for the client connections of one front.
#[derive(Debug)]
pub struct ClientSlots {
    slots: BTreeMap<SlotId, Slot>,
    last_id: SlotId,
    capacity: usize,
}

impl ClientSlots {
    /// Creates a table of `capacity` slots, at least one.
    pub fn new(capacity: usize) -> Self {
        Self { slots: BTreeMap::new(), last_id: 0, capacity: capacity.max(1) }
    }

    /// Claims a slot for a new connection; `None` if no slot is free.
    pub fn claim(&mut self, now: f64) -> Option<SlotId> {
        if self.slots.len() >= self.capacity {
            return None;
        }
        self.last_id += 1;
        let slot = Slot { activity: Activity::Idle(now), has_been_answered: false, closing: false };
        self.slots.insert(self.last_id, slot);
        Some(self.last_id)
    }

    /// Records that the first byte of a request arrived at `since`.
    pub fn request_started(&mut self, id: SlotId, since: f64) {
        self.set_activity(id, Activity::Reading(since));
    }

    /// Records that a request is complete or its response is being written. Protects the slot from eviction.
    pub fn request_open(&mut self, id: SlotId) {
        self.set_activity(id, Activity::Processing);
    }

    /// Records that a request was answered and the connection waits for the next one.
    pub fn request_answered(&mut self, id: SlotId, now: f64) {
        self.set_activity(id, Activity::Idle(now));
        self.set_answered(id, true);
    }

    /// Records that this side has closed the connection, so that it is evicted before all others.
    pub fn closed(&mut self, id: SlotId) {
        self.set_activity(id, Activity::Idle(f64::MIN));
        self.set_answered(id, false);
    }

    /// Frees the slot of a connection that has ended.
    pub fn release(&mut self, id: SlotId) {
        self.slots.remove(&id);
    }

    /// Chooses a connection to evict for a new one. The caller closes it; it keeps its slot until then.
    ///
    /// Idle connections on which no request was answered are evicted first, then other idle ones, then those
    /// whose request is slow to arrive; in each group, the one longest in its activity. A connection whose
    /// request is being processed is never evicted. Returns `None` if no connection may be evicted, or while
    /// an evicted one is still closing.
    pub fn evict_one(&mut self, now: f64) -> Option<SlotId> {
        if self.slots.values().any(|slot| slot.closing) {
            return None;
        }
        let slots = self.slots.iter_mut();
        let evictable = slots.filter_map(|(id, slot)| Some((slot.eviction_order(now)?, id, slot)));
        let chosen = evictable.min_by(|(a, ..), (b, ..)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let (_, id, slot) = chosen?;
        slot.closing = true;
        Some(*id)
    }

    fn set_activity(&mut self, id: SlotId, activity: Activity) {
        if let Some(slot) = self.slots.get_mut(&id) {
            slot.activity = activity;
        }
    }

    fn set_answered(&mut self, id: SlotId, has_been_answered: bool) {
        if let Some(slot) = self.slots.get_mut(&id) {
            slot.has_been_answered = has_been_answered;
        }
    }
}

#[cfg(test)]
mod tests;
