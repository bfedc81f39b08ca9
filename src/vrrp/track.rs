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
const RATE_LEAST: u64 = 20;

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
        (all >= RATE_LEAST).then(|| those as f64 / all as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn track(text: &str) -> Track {
        let spec: TrackSpec = serde_json::from_str(text).unwrap();
        spec.check().unwrap();
        Track::new(spec)
    }

    #[test]
    fn a_thing_turns_after_its_time_and_a_flicker_changes_nothing() {
        let mut pool = track(r#"{"what":"pool","below":0.5,"lower_by":60,"after_ms":500,"back_ms":3000}"#);
        // Out of its bound every other 200 ms: never long enough.
        let mut turned = 0;
        for k in 0..100u32 {
            let value = if (k / 2) % 2 == 0 { 0.2 } else { 0.9 };
            turned += u32::from(pool.sample(f64::from(k) * 100.0, Some(value)));
        }
        assert_eq!((turned, pool.bad), (0, false));
        assert!(!pool.sample(20_000.0, Some(0.4)) && !pool.sample(20_499.0, Some(0.4)));
        assert!(pool.sample(20_500.0, Some(0.4)) && pool.bad);
        assert!(!pool.sample(21_000.0, Some(0.5)), "back at its bound, but not for long");
        assert!(!pool.sample(23_000.0, None) && pool.bad, "not known: it stays, and the wait begins anew");
        assert!(!pool.sample(25_000.0, Some(1.0)) && pool.sample(28_000.0, Some(1.0)) && !pool.bad);
    }

    #[test]
    fn the_priority_is_the_base_less_what_is_bad_and_never_none() {
        let mut all = vec![
            track(r#"{"what":"pool","below":0.5,"lower_by":60}"#),
            track(r#"{"what":{"grpc":"ads"},"below":0.5,"lower_by":90}"#),
            track(r#"{"what":{"file":"/tmp/aside"},"above":0,"fault":true}"#),
        ];
        assert_eq!(standing(120, &all), (120, false));
        all[0].bad = true;
        assert_eq!(standing(120, &all), (60, false));
        all[1].bad = true;
        assert_eq!(standing(120, &all), (1, false));
        all[2].bad = true;
        assert_eq!(standing(120, &all), (1, true));
        assert_eq!(standing(OWNER, &all), (OWNER, true), "the owner's priority is fixed");
        for bad in [
            r#"{"what":"pool","lower_by":60}"#,
            r#"{"what":"pool","below":1,"above":0,"lower_by":60}"#,
            r#"{"what":"pool","below":0.5}"#,
            r#"{"what":"pool","below":0.5,"lower_by":5,"fault":true}"#,
            r#"{"what":"pool","below":0.5,"lower_by":5,"after_ms":-1}"#,
        ] {
            assert!(serde_json::from_str::<TrackSpec>(bad).unwrap().check().is_err(), "{bad}");
        }
    }

    #[test]
    fn a_share_is_of_what_ended_lately() {
        let mut rate = Rate::default();
        assert_eq!(rate.share(0.0, 0, 0), None);
        assert_eq!(rate.share(100.0, 10, 10), None, "too few to tell");
        assert_eq!(rate.share(1_000.0, 100, 50), Some(0.5));
        assert_eq!(rate.share(4_000.0, 200, 50), Some(0.0), "the bad time is over");
    }
}
