//! Who has been told what: the leader's decisions on fanning the log out to every box and proxy. No I/O, and no
//! clock but the time it is told, in Unix milliseconds.
//!
//! Each target acknowledges the highest number that it has applied, all before it included. The leader sends
//! a target what follows its acknowledgement, one batch at a time and at most [`FanOutBounds::batch_most`]
//! purges in a batch; a target that has everything hears an empty batch every [`FanOutBounds::heartbeat_ms`],
//! which carries the `done` mark and shows that it still answers. A target that fails waits before it is tried
//! again, twice as long each time up to [`Backoff::most_ms`], with a share of the wait drawn at random so that
//! the targets of one leader are not all tried at once. It is never dropped for failing: a box that is down or
//! draining is caught up when it answers again. Only a target that the roster says is gone stops counting; one
//! that comes back starts from nothing and gets all that is still held, or a floor in place of what is not.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// How long a target that fails waits before the next try.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backoff {
    /// After the first failure, in milliseconds.
    pub first_ms: f64,
    /// The multiple by which each further failure lengthens it.
    pub factor: f64,
    /// The longest wait, in milliseconds.
    pub most_ms: f64,
    /// The share of each wait that is drawn at random, from 0 to 1.
    pub jitter: f64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first_ms: 100.0, factor: 2.0, most_ms: 2_000.0, jitter: 0.2 }
    }
}

/// The bounds of a fan-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FanOutBounds {
    /// Purges in one batch at most.
    pub batch_most: usize,
    /// Time between empty batches to a target that has all, in milliseconds.
    pub heartbeat_ms: f64,
    /// How long an answer is waited for, in milliseconds; a batch out for twice as long counts as failed.
    pub timeout_ms: f64,
}

impl Default for FanOutBounds {
    fn default() -> Self {
        Self { batch_most: 256, heartbeat_ms: 500.0, timeout_ms: 1_000.0 }
    }
}

/// Where a target stands, as the roster or the operator file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Serves.
    Listed,
    /// Finishes what it has; it may still hold copies, so it is told.
    Draining,
}

/// A batch to send: the purges `from..=through` (none where `through < from`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// The target, by name.
    pub target: String,
    /// The first number in the batch.
    pub from: u64,
    /// The last number in the batch.
    pub through: u64,
    /// The target lacks purges that are no longer held: it gets the floor in their place first.
    pub floor: bool,
}

/// What an answer did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The acknowledgement moved on, or stood.
    Moved {
        /// What was acknowledged before.
        from: u64,
        /// What is now.
        to: u64,
    },
    /// The target acknowledged less than before: it lost what it had applied, and is told again.
    Lost {
        /// What was acknowledged before.
        had: u64,
        /// What it says now.
        has: u64,
    },
    /// The target acknowledged more than the log holds: numbers up to it were given out by a log that is lost.
    Ahead {
        /// What it says.
        has: u64,
    },
    /// Nothing was out to it, or it is not a target.
    Unasked,
}

/// What the leader knows of one target.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Peer {
    /// The highest number that it acknowledged.
    pub acked: u64,
    /// Where it stands.
    pub standing: Standing,
    /// Failures since its last answer.
    pub failures: u32,
    /// When it last answered, Unix milliseconds.
    pub heard_ms: Option<f64>,
    /// When it is due next, Unix milliseconds.
    pub next_ms: f64,
    /// Purges sent to it, repeats included.
    pub sent: u64,
    #[serde(skip)]
    out: Option<(u64, u64, f64)>,
    #[serde(skip)]
    wait_ms: f64,
    #[serde(skip)]
    told_ms: f64,
}

/// The fan-out of one leader. See the module's page.
#[derive(Clone, Debug)]
pub struct FanOut {
    peers: BTreeMap<String, Peer>,
    /// Acknowledgements from before a restart, for targets that the roster has not named again yet.
    remembered: BTreeMap<String, u64>,
    /// The lowest number that the log still holds.
    first: u64,
    /// The highest number given out.
    last: u64,
    backoff: Backoff,
    bounds: FanOutBounds,
    rng: SmallRng,
}

impl FanOut {
    /// A fan-out with no target yet, over an empty log.
    pub fn new(backoff: Backoff, bounds: FanOutBounds, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { peers: BTreeMap::new(), remembered: BTreeMap::new(), first: 1, last: 0, backoff, bounds, rng }
    }

    /// The log holds the numbers `first..=last`; what lies before `first` is gone.
    pub fn hold(&mut self, first: u64, last: u64) {
        self.first = first.max(1);
        self.last = last;
    }

    /// The highest number given out.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A purge was added to the log: targets that wait for nothing are due at once.
    pub fn appended(&mut self, seq: u64, now_ms: f64) {
        self.last = self.last.max(seq);
        for peer in self.peers.values_mut().filter(|p| p.out.is_none() && p.failures == 0) {
            peer.next_ms = peer.next_ms.min(now_ms);
        }
    }

    /// Takes the targets as they stand now. A new one has nothing; one that is absent is gone and forgotten.
    pub fn set_targets(&mut self, now_ms: f64, targets: impl IntoIterator<Item = (String, Standing)>) {
        let mut fresh = BTreeMap::new();
        for (name, standing) in targets {
            let acked = self.remembered.remove(&name).unwrap_or(0).min(self.last);
            let peer = self.peers.remove(&name).unwrap_or(Peer {
                acked,
                standing,
                failures: 0,
                heard_ms: None,
                next_ms: now_ms,
                sent: 0,
                out: None,
                wait_ms: self.backoff.first_ms,
                told_ms: f64::NEG_INFINITY,
            });
            fresh.insert(name, Peer { standing, ..peer });
        }
        self.peers = fresh;
    }

    /// Takes an acknowledgement that a log kept from before a restart: the target is not told it again, also
    /// where it is named only later.
    pub fn restore(&mut self, target: &str, acked: u64) {
        match self.peers.get_mut(target) {
            Some(peer) => peer.acked = peer.acked.max(acked.min(self.last)),
            None => {
                self.remembered.insert(target.to_string(), acked);
            }
        }
    }

    /// Every acknowledgement known, of targets named and of those from before a restart not named yet.
    pub fn acknowledgements(&self) -> BTreeMap<String, u64> {
        let named = self.peers.iter().map(|(name, peer)| (name.clone(), peer.acked));
        self.remembered.clone().into_iter().chain(named).collect()
    }

    /// The targets, by name.
    pub fn peers(&self) -> &BTreeMap<String, Peer> {
        &self.peers
    }

    /// The highest number that every target has applied: the fleet's `done` mark. With no target it is all.
    pub fn done(&self) -> u64 {
        self.peers.values().map(|p| p.acked).min().unwrap_or(self.last).min(self.last)
    }

    /// The batches to send now. A target gets one batch at a time.
    pub fn due(&mut self, now_ms: f64) -> Vec<Send> {
        let mut sends = Vec::new();
        let (first, last, most, beat) =
            (self.first, self.last, self.bounds.batch_most as u64, self.bounds.heartbeat_ms);
        let lost_after = 2.0 * self.bounds.timeout_ms;
        let mut lost = Vec::new();
        for (name, peer) in &mut self.peers {
            if let Some((_, _, sent_ms)) = peer.out {
                // An answer that never came back: the driver owed one, and the batch counts as failed.
                if now_ms - sent_ms > lost_after {
                    lost.push(name.clone());
                }
                continue;
            }
            if now_ms < peer.next_ms {
                continue;
            }
            let behind = peer.acked < last;
            if !behind && now_ms - peer.told_ms < beat {
                peer.next_ms = peer.told_ms + beat;
                continue;
            }
            let from = (peer.acked + 1).max(first);
            let through = if behind { last.min(from + most.max(1) - 1) } else { peer.acked };
            let floor = peer.acked + 1 < first;
            peer.out = Some((from, through, now_ms));
            peer.told_ms = now_ms;
            peer.sent += through.saturating_sub(from) + u64::from(through >= from);
            sends.push(Send { target: name.clone(), from, through, floor });
        }
        for name in lost {
            self.failed(&name, now_ms);
        }
        sends
    }

    /// A target answered with the highest number that it has applied.
    pub fn answered(&mut self, target: &str, applied: u64, now_ms: f64) -> Heard {
        let (last, beat, first_wait) = (self.last, self.bounds.heartbeat_ms, self.backoff.first_ms);
        let Some(peer) = self.peers.get_mut(target) else { return Heard::Unasked };
        if peer.out.take().is_none() {
            return Heard::Unasked;
        }
        (peer.failures, peer.wait_ms, peer.heard_ms) = (0, first_wait, Some(now_ms));
        let had = peer.acked;
        let heard = if applied > last {
            peer.acked = last;
            Heard::Ahead { has: applied }
        } else if applied < had {
            peer.acked = applied;
            Heard::Lost { had, has: applied }
        } else {
            peer.acked = applied;
            Heard::Moved { from: had, to: applied }
        };
        peer.next_ms = if peer.acked < last { now_ms } else { now_ms + beat };
        heard
    }

    /// A batch to a target failed: no connection, no answer in time, or one that can't be read.
    pub fn failed(&mut self, target: &str, now_ms: f64) {
        let backoff = self.backoff;
        let Some(peer) = self.peers.get_mut(target) else { return };
        peer.out = None;
        peer.failures += 1;
        let jitter = backoff.jitter.clamp(0.0, 1.0);
        let wait = peer.wait_ms * (1.0 - jitter + jitter * self.rng.random_range(0.0..1.0));
        peer.next_ms = now_ms + wait;
        peer.wait_ms = (peer.wait_ms * backoff.factor.max(1.0)).min(backoff.most_ms);
    }

    /// When the next batch is due, Unix milliseconds; none where no target is left.
    pub fn next_due(&self) -> Option<f64> {
        let lost_after = 2.0 * self.bounds.timeout_ms;
        let due = |p: &Peer| p.out.map_or(p.next_ms, |(_, _, sent)| sent + lost_after);
        self.peers.values().map(due).min_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests;
