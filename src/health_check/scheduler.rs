//! An instance's part in the duties: whom it hears, which slots it claims and when, what it grants, and what it does
//! once a majority granted it. No I/O; time is Unix milliseconds, as it is told.
//!
//! In a duty's order the first claims its slot when it is due, the second a step later, and so on: where the first
//! has died, the second does the duty in that very slot, before anybody knows of the death. Those that are known to
//! be silent are left out of the order, so that the next slots are on time again.

use super::lease::{due_ms, place, slot_at, DutyId, InstanceId, Slot};
use super::quorum::Votes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What instances tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Message {
    /// The sender lives.
    Beat,
    /// The sender wants to do a duty's slot.
    Claim {
        /// The duty.
        duty: DutyId,
        /// Its slot.
        slot: Slot,
    },
    /// The sender grants it, or says that it is not to be had.
    Grant {
        /// The duty.
        duty: DutyId,
        /// Its slot.
        slot: Slot,
        /// Whether it is granted.
        yes: bool,
    },
    /// The sender did it.
    Result {
        /// The duty.
        duty: DutyId,
        /// Its slot.
        slot: Slot,
        /// Whether the server answered as it should.
        ok: bool,
        /// How long that took, in milliseconds.
        took_ms: f64,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Tell all other instances.
    Tell(Message),
    /// Tell one.
    Answer(InstanceId, Message),
    /// Do the duty now, once.
    Run(DutyId, Slot),
}

/// The last place in a duty's order that has a time of its own: instances behind it claim with it, so that all turns fit
/// into a period however many there are. Grants still make sure that one alone does the duty.
pub const LAST_PLACE: usize = 30;

/// Times, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Between two slots of a duty.
    pub period_ms: f64,
    /// How much later each next instance in a duty's order claims.
    pub step_ms: f64,
    /// Between two tries of a claim that is not yet granted.
    pub again_ms: f64,
    /// How long a claim is tried.
    pub claim_ms: f64,
    /// Between two beats.
    pub beat_ms: f64,
    /// Silence after which an instance is left out of the order.
    pub dead_ms: f64,
}

/// A claim that is not yet granted.
#[derive(Clone, Debug)]
struct Claiming {
    slot: Slot,
    since_ms: f64,
    again_ms: f64,
    yes: BTreeSet<InstanceId>,
    no: BTreeSet<InstanceId>,
}

/// Figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlanFigures {
    /// Duties done here.
    pub ran: u64,
    /// Of them such as another one comes first for, which did not.
    pub stood_in: u64,
    /// Claims begun.
    pub claims: u64,
    /// Claims that another instance was quicker in.
    pub outvoted: u64,
    /// Claims that no majority answered: a split, or too many are down.
    pub unanswered: u64,
    /// Results heard from others.
    pub heard: u64,
}

/// The instance. See the module's page.
#[derive(Clone, Debug)]
pub struct Plan {
    me: InstanceId,
    all: BTreeSet<InstanceId>,
    times: Times,
    heard_ms: BTreeMap<InstanceId, f64>,
    votes: Votes,
    duties: BTreeSet<DutyId>,
    claims: BTreeMap<DutyId, Claiming>,
    /// The last slot of each duty that is settled here: done, granted to another, or given up.
    settled: BTreeMap<DutyId, Slot>,
    beat_ms: f64,
    /// Its figures.
    pub figures: PlanFigures,
}

impl Plan {
    /// Instance `me` of `all`, which starts at `now`.
    pub fn new(now: f64, me: InstanceId, all: impl IntoIterator<Item = InstanceId>, times: Times) -> Self {
        let mut all: BTreeSet<InstanceId> = all.into_iter().collect();
        all.insert(me);
        // What it granted before it started may be of the slot that is due, or of the next by another's clock.
        let quiet_ms = if all.len() > 1 { 2.0 * times.period_ms } else { 0.0 };
        Self {
            me,
            // All others count as alive at first: one that is not is found out by its silence.
            heard_ms: all.iter().map(|id| (*id, now)).collect(),
            all,
            times,
            votes: Votes::new(now, quiet_ms),
            duties: BTreeSet::new(),
            claims: BTreeMap::new(),
            settled: BTreeMap::new(),
            beat_ms: f64::NEG_INFINITY,
            figures: PlanFigures::default(),
        }
    }

    /// Takes the list of duties.
    pub fn list(&mut self, now: f64, duties: impl IntoIterator<Item = DutyId>) {
        self.duties = duties.into_iter().collect();
        let is = |duty: &DutyId| self.duties.contains(duty);
        self.claims.retain(|duty, _| is(duty));
        self.settled.retain(|duty, _| is(duty));
        // A duty that is new is due from its next slot on.
        for duty in &self.duties {
            self.settled.entry(*duty).or_insert_with(|| slot_at(now, *duty, self.times.period_ms));
        }
        let duties = &self.duties;
        self.votes.retain(|duty| duties.contains(&duty));
    }

    /// How many grants a claim needs, its own among them.
    pub fn majority(&self) -> usize {
        self.all.len() / 2 + 1
    }

    /// Whether an instance counts as alive.
    pub fn alive(&self, now: f64, id: InstanceId) -> bool {
        id == self.me || self.heard_ms.get(&id).is_some_and(|at| now - at < self.times.dead_ms)
    }

    /// Instances that count as alive.
    pub fn living(&self, now: f64) -> impl Iterator<Item = InstanceId> + '_ {
        self.all.iter().copied().filter(move |id| self.alive(now, *id))
    }

    /// When this instance claims a slot of a duty. Looks at every living instance.
    fn claims_at(&self, now: f64, duty: DutyId, slot: Slot) -> (f64, usize) {
        let place = place(duty, self.me, self.living(now)).min(LAST_PLACE);
        (due_ms(duty, slot, self.times.period_ms) + place as f64 * self.times.step_ms, place)
    }

    /// Does what is due by `now`.
    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let mut acts = Vec::new();
        if now >= self.beat_ms {
            self.beat_ms = now + self.times.beat_ms;
            acts.push(Act::Tell(Message::Beat));
        }
        for duty in self.duties.clone() {
            let slot = slot_at(now, duty, self.times.period_ms);
            let settled = self.settled.get(&duty).is_some_and(|s| *s >= slot);
            let held = self.votes.holder(duty, slot).is_some_and(|who| who != self.me);
            let open = !settled && !held && !self.claims.contains_key(&duty);
            // The order is worked out only for what is open: it looks at every instance.
            let claims_at = open.then(|| self.claims_at(now, duty, slot));
            if let Some((_, place)) = claims_at.filter(|(at, _)| now >= *at) {
                self.settled.insert(duty, slot);
                if !self.votes.ask(now, duty, slot, slot, self.me) {
                    // It has just started, and its own grant counts no more than the others'.
                    continue;
                }
                self.figures.claims += 1;
                self.figures.stood_in += u64::from(place > 0);
                let (yes, no) = (BTreeSet::from([self.me]), BTreeSet::new());
                self.claims.insert(duty, Claiming { slot, since_ms: now, again_ms: now, yes, no });
            }
            self.pursue(now, duty, &mut acts);
        }
        acts
    }

    /// Goes on with a claim: granted, lost, given up, or told again.
    fn pursue(&mut self, now: f64, duty: DutyId, acts: &mut Vec<Act>) {
        let (need, all) = (self.majority(), self.all.len());
        let Some(claim) = self.claims.get_mut(&duty) else { return };
        let slot = claim.slot;
        if claim.yes.len() >= need {
            self.claims.remove(&duty);
            self.figures.ran += 1;
            return acts.push(Act::Run(duty, slot));
        }
        if claim.no.len() > all - need {
            self.claims.remove(&duty);
            self.figures.outvoted += 1;
            return;
        }
        if now - claim.since_ms >= self.times.claim_ms {
            self.claims.remove(&duty);
            self.figures.unanswered += 1;
            return;
        }
        if now >= claim.again_ms {
            claim.again_ms = now + self.times.again_ms;
            acts.push(Act::Tell(Message::Claim { duty, slot }));
        }
    }

    /// Takes another instance's word. A result is the caller's to note.
    pub fn receive(&mut self, now: f64, from: InstanceId, message: &Message) -> Vec<Act> {
        let mut acts = Vec::new();
        if from == self.me || !self.all.contains(&from) {
            return acts;
        }
        self.heard_ms.insert(from, now);
        match *message {
            Message::Beat => {}
            Message::Claim { duty, slot } => {
                let current = slot_at(now, duty, self.times.period_ms);
                // Duties that only the other knows of by now are granted as well: lists may come later here.
                let yes = self.votes.ask(now, duty, slot, current, from);
                acts.push(Act::Answer(from, Message::Grant { duty, slot, yes }));
            }
            Message::Grant { duty, slot, yes } => {
                if let Some(claim) = self.claims.get_mut(&duty).filter(|c| c.slot == slot) {
                    if yes {
                        claim.yes.insert(from);
                    } else {
                        claim.no.insert(from);
                    }
                    self.pursue(now, duty, &mut acts);
                }
            }
            Message::Result { duty, slot, .. } => {
                self.figures.heard += 1;
                let settled = self.settled.entry(duty).or_insert(slot);
                *settled = slot.max(*settled);
                if !self.duties.contains(&duty) {
                    self.settled.remove(&duty);
                }
            }
        }
        acts
    }

    /// When [`Self::tick`] has something to do next.
    pub fn next_due(&self, now: f64) -> f64 {
        let claims = self.claims.values().map(|c| c.again_ms.min(c.since_ms + self.times.claim_ms));
        let slots = self.duties.iter().map(|duty| {
            let slot = slot_at(now, *duty, self.times.period_ms);
            let open = self.settled.get(duty).is_none_or(|s| *s < slot);
            let held = self.votes.holder(*duty, slot).is_some_and(|who| who != self.me);
            let next = due_ms(*duty, slot + 1, self.times.period_ms);
            if !open || held {
                return next;
            }
            let here = self.claims_at(now, *duty, slot).0;
            if here > now {
                here.min(next)
            } else {
                next
            }
        });
        claims.chain(slots).fold(self.beat_ms, f64::min)
    }
}

#[cfg(test)]
mod tests;
