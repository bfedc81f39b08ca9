//! What is tracked, and the priority that follows from it, as an operator's track scripts would have it, but in the
//! proxy's own terms. Each thing is a number that is asked for again and again; it counts as bad once it was out of
//! its bound for a while, and as good again once it was back for a while. No I/O.

use super::message::OWNER;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::path::PathBuf;

/// What is tracked.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// The share of this location's caches that take new work and are not left for their failures.
    Pool,
    /// The share of the door's queue that is full.
    Door,
    /// The share of requests refused or failed, of those that ended in the last [`RATE_MS`].
    Refused,
    /// Milliseconds since the registry last answered.
    Registry,
    /// The share of a gRPC pool's backends that take calls and are not left for their failures.
    Grpc(String),
    /// 1 where a file is there, else 0: an operator's own switch.
    File(PathBuf),
}

/// The time over which [`What::Refused`] is measured, in milliseconds.
pub const RATE_MS: f64 = 3_000.0;
/// Ends below which a share of them says nothing.
const MIN_RATE: u64 = 20;

/// One thing that is tracked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrackSpec {
    /// What.
    pub what: What,
    /// It is bad below this.
    #[serde(default)]
    pub below: Option<f64>,
    /// It is bad above this.
    #[serde(default)]
    pub above: Option<f64>,
    /// By how much the priority is lower while it is bad.
    #[serde(default)]
    pub lower_by: u8,
    /// While it is bad the router stands aside whatever its priority.
    #[serde(default)]
    pub fault: bool,
    /// How long it must be out of its bound, in milliseconds.
    #[serde(default = "after")]
    pub after_ms: f64,
    /// How long it must be back, in milliseconds.
    #[serde(default = "back")]
    pub back_ms: f64,
}

fn after() -> f64 {
    500.0
}

fn back() -> f64 {
    3_000.0
}

impl TrackSpec {
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        let bounds = [self.below, self.above];
        if bounds.iter().flatten().count() != 1 || bounds.iter().flatten().any(|v| !v.is_finite()) {
            return Err(format!("{:?}: either `below` or `above`", self.what));
        }
        if (self.lower_by == 0) != self.fault {
            return Err(format!("{:?}: either `lower_by` or `fault`", self.what));
        }
        let within = |ms: f64| ms.is_finite() && (0.0..=3_600_000.0).contains(&ms);
        if !within(self.after_ms) || !within(self.back_ms) {
            return Err(format!("{:?}: `after_ms` and `back_ms` are 0 to 3,600,000", self.what));
        }
        Ok(())
    }
}

/// A thing with what is known of it.
#[derive(Clone, Debug)]
pub struct Track {
    /// What it is.
    pub spec: TrackSpec,
    /// It counts as bad.
    pub bad: bool,
    /// The number as last told; none where it says nothing now.
    pub value: Option<f64>,
    /// Since when it contradicts what it counts as.
    since_ms: Option<f64>,
}

impl Track {
    /// Good until told otherwise.
    pub fn new(spec: TrackSpec) -> Self {
        Self::counting_as(false, spec)
    }

    /// Bad or good until told otherwise.
    pub fn counting_as(bad: bool, spec: TrackSpec) -> Self {
        Self { spec, bad, value: None, since_ms: None }
    }

    /// Takes its number as it is at `now`; none says nothing, and changes nothing. Returns whether it turned.
    pub fn sample(&mut self, now: f64, value: Option<f64>) -> bool {
        self.value = value;
        let Some(value) = value else {
            self.since_ms = None;
            return false;
        };
        let out = self.spec.below.is_some_and(|b| value < b) || self.spec.above.is_some_and(|a| value > a);
        if out == self.bad {
            self.since_ms = None;
            return false;
        }
        let since = *self.since_ms.get_or_insert(now);
        let wait = if out { self.spec.after_ms } else { self.spec.back_ms };
        if now - since < wait {
            return false;
        }
        (self.bad, self.since_ms) = (out, None);
        true
    }
}

/// What the tracked things make of a priority: the priority, and whether the router stands aside.
pub fn standing(base: u8, tracks: &[Track]) -> (u8, bool) {
    let bad = || tracks.iter().filter(|t| t.bad);
    let fault = bad().any(|t| t.spec.fault);
    if base == OWNER {
        return (base, fault);
    }
    let lower: u32 = bad().map(|t| u32::from(t.spec.lower_by)).sum();
    (u32::from(base).saturating_sub(lower).max(1) as u8, fault)
}

/// A share of ends over a sliding time, from counters that only grow.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    samples: VecDeque<(f64, u64, u64)>,
}

impl Rate {
    /// Takes the counters as they are at `now`: all ends, and those that count. Returns the share of those since
    /// [`RATE_MS`] before; none where too few ended.
    pub fn share(&mut self, now: f64, all: u64, those: u64) -> Option<f64> {
        self.samples.push_back((now, all, those));
        while self.samples.get(1).is_some_and(|(at, _, _)| now - at >= RATE_MS) {
            self.samples.pop_front();
        }
        let (_, all_before, those_before) = *self.samples.front()?;
        let (all, those) = (all.saturating_sub(all_before), those.saturating_sub(those_before));
        (all >= MIN_RATE).then(|| those as f64 / all as f64)
    }
}

#[cfg(test)]
mod tests;
