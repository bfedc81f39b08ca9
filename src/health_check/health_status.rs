//! What probes say of each server: down after some failures in a row, up after some answers. Results come from whatever
//! instance did the probe, each slot once. No I/O.

use super::lease::{DutyId, Slot};
use std::collections::BTreeMap;

/// How many results in a row turn a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    /// Failures until it is down.
    pub fall: u32,
    /// Answers until it is up.
    pub rise: u32,
}

/// A server as the board has it.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Standing {
    /// Whether it counts as up.
    pub up: bool,
    /// The last slot heard of.
    pub slot: Slot,
    /// Results in a row that contradict that.
    pub against: u32,
    /// When the last result was heard, Unix milliseconds.
    pub heard_ms: f64,
    /// The last probe's time, in milliseconds.
    pub took_ms: f64,
}

/// The board.
#[derive(Clone, Debug)]
pub struct Board {
    turns: Turns,
    all: BTreeMap<DutyId, Standing>,
}

impl Board {
    /// Nothing is known yet: every server counts as up.
    pub fn new(turns: Turns) -> Self {
        Self { turns, all: BTreeMap::new() }
    }

    /// Takes a result. Returns whether the server turned, and to what; a slot that was heard of says nothing new.
    pub fn hear(&mut self, now: f64, duty: DutyId, slot: Slot, ok: bool, took_ms: f64) -> Option<bool> {
        let fresh = Standing { up: true, slot: 0, against: 0, heard_ms: now, took_ms };
        let standing = self.all.entry(duty).or_insert(fresh);
        if slot <= standing.slot {
            return None;
        }
        (standing.slot, standing.heard_ms, standing.took_ms) = (slot, now, took_ms);
        if ok == standing.up {
            standing.against = 0;
            return None;
        }
        standing.against += 1;
        let enough = if standing.up { self.turns.fall } else { self.turns.rise };
        if standing.against < enough {
            return None;
        }
        (standing.up, standing.against) = (ok, 0);
        Some(ok)
    }

    /// The last slot of a duty that a result was heard of.
    pub fn last(&self, duty: DutyId) -> Slot {
        self.all.get(&duty).map_or(0, |s| s.slot)
    }

    /// All servers with results.
    pub fn all(&self) -> impl Iterator<Item = (DutyId, &Standing)> {
        self.all.iter().map(|(duty, standing)| (*duty, standing))
    }

    /// Forgets servers that are no more.
    pub fn retain(&mut self, is: impl Fn(DutyId) -> bool) {
        self.all.retain(|duty, _| is(*duty));
    }
}

#[cfg(test)]
mod tests;
