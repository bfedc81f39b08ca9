//! One grant for each duty's slot. An instance does a duty only with the grants of a majority, its own among them, and
//! each gives one grant a slot, to the first that asks: so no two ever do the same duty in the same slot, whoever of
//! them thinks that it is theirs, and the lesser part of a split does none. One that has just started forgot what it
//! granted, and grants nothing for a while. No I/O.

use super::slots::{DutyId, InstanceId, Slot};
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
mod tests {
    use super::*;

    #[test]
    fn a_slot_is_granted_once_and_never_after_a_later_one() {
        let mut votes = Votes::new(0.0, 100.0);
        assert!(!votes.ask(99.0, 7, 10, 10, 1), "it may have granted that before it started");
        assert!(votes.ask(100.0, 7, 10, 10, 1) && votes.ask(101.0, 7, 10, 10, 1), "asked again");
        assert!(!votes.ask(101.0, 7, 10, 10, 2), "it is another's");
        assert!(votes.ask(102.0, 8, 10, 10, 2), "another duty");
        assert!(votes.ask(200.0, 7, 11, 10, 2), "a clock that is ahead");
        assert!(!votes.ask(200.0, 7, 12, 10, 2) && !votes.ask(200.0, 7, 8, 10, 2), "one that is far off");
        assert!(votes.ask(201.0, 7, 10, 11, 1) && !votes.ask(201.0, 7, 10, 11, 3));
        for slot in 12..40 {
            assert!(votes.ask(300.0, 7, slot, slot, 3));
            assert!(!votes.ask(300.0, 7, slot - 1, slot, 9), "over");
        }
        assert!(votes.granted[&7].len() <= REMEMBERED);
        votes.retain(|duty| duty == 8);
        assert_eq!((votes.holder(7, 39), votes.holder(8, 10)), (None, Some(2)));
    }
}
