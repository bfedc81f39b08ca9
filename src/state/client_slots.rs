//! The slots of a front's clients: how many there may be, and whose is given up for a newcomer.

use std::collections::BTreeMap;

/// A place's number; never used again.
pub type SlotId = u64;

/// How long a connection that has sent nothing keeps its place in any case, in milliseconds: its first request
/// is most likely on its way.
const FIRST_BYTE_MS: f64 = 100.0;
/// How long a request may be on its way in before its place may go to a newcomer, in milliseconds: an honest one is
/// sent in one go, and none is owed an answer before its last byte.
const READING_MS: f64 = 500.0;

#[derive(Clone, Copy, Debug)]
struct Slot {
    /// A request came over it and was answered.
    asked: bool,
    /// Since when it waits with no byte of a request read; none while a request is open.
    idle: Option<f64>,
    /// Since when a request is on its way in; none once it is whole.
    reading: Option<f64>,
    /// It was told to end.
    ending: bool,
}

/// The slots of one front.
#[derive(Debug)]
pub struct ClientSlots {
    held: BTreeMap<SlotId, Slot>,
    next: SlotId,
    most: usize,
}

impl ClientSlots {
    /// At most `most` slots.
    pub fn new(most: usize) -> Self {
        Self { held: BTreeMap::new(), next: 0, most: most.max(1) }
    }

    /// Gives a new connection a place, if there is one.
    pub fn claim(&mut self, now: f64) -> Option<SlotId> {
        if self.held.len() >= self.most {
            return None;
        }
        self.next += 1;
        self.held.insert(self.next, Slot { asked: false, idle: Some(now), reading: None, ending: false });
        Some(self.next)
    }

    /// A request is on its way in since its first byte.
    pub fn request_started(&mut self, id: SlotId, since: f64) {
        if let Some(place) = self.held.get_mut(&id) {
            (place.idle, place.reading) = (None, Some(since));
        }
    }

    /// A request is whole, or an answer on its way: the place is kept.
    pub fn request_open(&mut self, id: SlotId) {
        if let Some(place) = self.held.get_mut(&id) {
            (place.idle, place.reading) = (None, None);
        }
    }

    /// Its request is answered, and it waits for the next.
    pub fn idle(&mut self, id: SlotId, now: f64) {
        if let Some(place) = self.held.get_mut(&id) {
            (place.asked, place.idle, place.reading) = (true, Some(now), None);
        }
    }

    /// It is owed nothing more, and only takes in what is still on its way.
    pub fn finished(&mut self, id: SlotId) {
        if let Some(place) = self.held.get_mut(&id) {
            (place.asked, place.idle, place.reading) = (false, Some(f64::MIN), None);
        }
    }

    /// It has ended.
    pub fn release(&mut self, id: SlotId) {
        self.held.remove(&id);
    }

    /// Whose place a newcomer gets: guards clients that ask against those that connect and say nothing, ask once and
    /// stay, or send a request a byte at a time. One that never asked goes first, then the one that is idle for
    /// longest, then the request that is on its way in for longest; never one with a request open, and never a second
    /// one for the same newcomer while the first is still ending.
    pub fn evict_one(&mut self, now: f64) -> Option<SlotId> {
        if self.held.values().any(|p| p.ending) {
            return None;
        }
        let order = |p: &Slot| match (p.idle, p.reading) {
            (Some(since), _) if p.asked || now - since >= FIRST_BYTE_MS => Some((u8::from(p.asked), since)),
            (_, Some(since)) if now - since >= READING_MS => Some((2, since)),
            _ => None,
        };
        let settled = self.held.iter_mut().filter_map(|(id, p)| order(p).map(|order| (order, id, p)));
        let (_, id, place) = settled.min_by(|a, b| a.0 .0.cmp(&b.0 .0).then(a.0 .1.total_cmp(&b.0 .1)))?;
        place.ending = true;
        Some(*id)
    }
}

#[cfg(test)]
mod tests;
