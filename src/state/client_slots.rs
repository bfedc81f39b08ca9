//! The slots of a front's client connections: how many there may be, and which one is evicted for a new
//! connection.

use std::collections::BTreeMap;

/// A slot's number; never used again.
pub type SlotId = u64;

/// How long a new connection that has sent nothing keeps its slot, in milliseconds.
const FIRST_BYTE_MS: f64 = 100.0;
/// How long a request may take to arrive before its connection may be evicted, in milliseconds: a
/// well-behaved client sends it in one go.
const REQUEST_ARRIVAL_MS: f64 = 500.0;

/// What a client connection does; times in Unix milliseconds.
#[derive(Clone, Copy, Debug)]
enum Activity {
    /// It waits for a request since this time.
    Idle(f64),
    /// A request is arriving since this time.
    Reading(f64),
    /// A request is open or its response is being written.
    Open,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    activity: Activity,
    /// A request of this connection was answered.
    has_requested: bool,
    /// The connection has been evicted and is closing.
    closing: bool,
}

/// Which connections are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It never sent a request.
    NeverRequested,
    /// It is idle after a request.
    Idle,
    /// Its request is slow to arrive.
    SlowRequest,
}

impl Slot {
    /// The order in which the slot may be evicted at `now`: its rank, then the time since when; none where it
    /// may not.
    fn eviction_order(&self, now: f64) -> Option<(EvictionRank, f64)> {
        match self.activity {
            Activity::Idle(since) if self.has_requested => Some((EvictionRank::Idle, since)),
            Activity::Idle(since) if now - since >= FIRST_BYTE_MS => {
                Some((EvictionRank::NeverRequested, since))
            }
            Activity::Reading(since) if now - since >= REQUEST_ARRIVAL_MS => {
                Some((EvictionRank::SlowRequest, since))
            }
            _ => None,
        }
    }
}

/// The slots of one front.
#[derive(Debug)]
pub struct ClientSlots {
    held: BTreeMap<SlotId, Slot>,
    last: SlotId,
    max: usize,
}

impl ClientSlots {
    /// At most `max` slots, at least one.
    pub fn new(max: usize) -> Self {
        Self { held: BTreeMap::new(), last: 0, max: max.max(1) }
    }

    /// Gives a new connection a slot, if one is free.
    pub fn claim(&mut self, now: f64) -> Option<SlotId> {
        if self.held.len() >= self.max {
            return None;
        }
        self.last += 1;
        let slot = Slot { activity: Activity::Idle(now), has_requested: false, closing: false };
        self.held.insert(self.last, slot);
        Some(self.last)
    }

    /// A request is arriving since its first byte at `since`.
    pub fn request_started(&mut self, id: SlotId, since: f64) {
        self.set_activity(id, Activity::Reading(since));
    }

    /// A request is complete, or its response is being written: the slot is not evicted.
    pub fn request_open(&mut self, id: SlotId) {
        self.set_activity(id, Activity::Open);
    }

    /// The request has been answered, and the connection waits for the next.
    pub fn idle(&mut self, id: SlotId, now: f64) {
        self.set_activity(id, Activity::Idle(now));
        self.set_requested(id, true);
    }

    /// The connection is owed nothing more: it may be evicted first.
    pub fn finished(&mut self, id: SlotId) {
        self.set_activity(id, Activity::Idle(f64::MIN));
        self.set_requested(id, false);
    }

    /// The connection has ended: its slot is free.
    pub fn release(&mut self, id: SlotId) {
        self.held.remove(&id);
    }

    /// Evicts a connection for a new one; the caller closes it, and it keeps its slot until then. Protects
    /// clients that send requests from those that connect and send nothing, remain idle, or send a request a
    /// byte at a time. A connection with an open request is never evicted, and no second one while the first
    /// is closing.
    pub fn evict_one(&mut self, now: f64) -> Option<SlotId> {
        if self.held.values().any(|slot| slot.closing) {
            return None;
        }
        let slots = self.held.iter_mut();
        let evictable = slots.filter_map(|(id, slot)| Some((slot.eviction_order(now)?, id, slot)));
        let first = evictable.min_by(|(a, ..), (b, ..)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let (_, id, slot) = first?;
        slot.closing = true;
        Some(*id)
    }

    fn set_activity(&mut self, id: SlotId, activity: Activity) {
        if let Some(slot) = self.held.get_mut(&id) {
            slot.activity = activity;
        }
    }

    fn set_requested(&mut self, id: SlotId, has_requested: bool) {
        if let Some(slot) = self.held.get_mut(&id) {
            slot.has_requested = has_requested;
        }
    }
}

#[cfg(test)]
mod tests;
