//! One grant for each duty's slot. An instance does a duty only with the grants of a majority, its own among them, and
//! each gives one grant a slot, to the first that asks: so no two ever do the same duty in the same slot, whoever of
//! them thinks that it is theirs, and the lesser part of a split does none. One that has just started forgot what it
//! granted, and grants nothing for a while. No I/O.

use super::lease::{DutyId, InstanceId, Slot};
use std::collections::BTreeMap;

/// Slots of a duty that are remembered: the one that is due and those near it, for clocks that differ.
const REMEMBERED: usize = 4;

/// An instance's grants.
#[derive(Clone, Debug)]
pub struct Votes {
    /// Nothing is granted before, Unix milliseconds.
    from_ms: f64,
    granted: BTreeMap<DutyId, Vec<(Slot, InstanceId)>>,
}

impl Votes {
    /// Of an instance that starts at `now` and grants nothing for `quiet_ms`: what it granted before must have passed.
    pub fn new(now: f64, quiet_ms: f64) -> Self {
        Self { from_ms: now + quiet_ms, granted: BTreeMap::new() }
    }

    /// Asks for the grant of a slot. `current` is the slot that is due by this instance's clock: others than it and
    /// its neighbours are never granted.
    pub fn ask(&mut self, now: f64, duty: DutyId, slot: Slot, current: Slot, who: InstanceId) -> bool {
        if now < self.from_ms || slot.abs_diff(current) > 1 {
            return false;
        }
        let granted = self.granted.entry(duty).or_default();
        if let Some((_, holder)) = granted.iter().find(|(s, _)| *s == slot) {
            return *holder == who;
        }
        // A slot before one that was granted is over.
        if granted.iter().any(|(s, _)| *s > slot) {
            return false;
        }
        granted.push((slot, who));
        if granted.len() > REMEMBERED {
            granted.remove(0);
        }
        true
    }

    /// Who holds the grant of a slot here.
    pub fn holder(&self, duty: DutyId, slot: Slot) -> Option<InstanceId> {
        self.granted.get(&duty)?.iter().find(|(s, _)| *s == slot).map(|(_, who)| *who)
    }

    /// Forgets duties that are no more.
    pub fn retain(&mut self, is: impl Fn(DutyId) -> bool) {
        self.granted.retain(|duty, _| is(*duty));
    }
}

#[cfg(test)]
mod tests;
