//! Decides which response body of a connection is sent next, by the urgency and incrementality of RFC 9218, so that a
//! large response does not delay small ones. The transport serves its streams in turn; this module decides whose bytes
//! are handed to it. No I/O.

use std::collections::BTreeMap;

/// Highest value of the urgency parameter: the least urgent.
const MAX_URGENCY: u8 = 7;

/// Priority of a response (RFC 9218, section 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Urgency, from 0, the most urgent, to 7.
    pub urgency: u8,
    /// Whether the response is useful in parts: it shares the connection with incremental responses of its urgency.
    pub incremental: bool,
}

impl Priority {
    /// The most urgent priority.
    pub const HIGHEST: Self = Self { urgency: 0, incremental: false };
    /// The default of the RFC.
    pub const DEFAULT: Self = Self { urgency: 3, incremental: false };

    /// Parses a `Priority` header, a dictionary of structured fields (RFC 9651). Parameters that are missing or invalid
    /// are those of `base`.
    pub fn parse(text: &str, base: Self) -> Self {
        let mut priority = base;
        let Ok(members) = sfv::Parser::new(text).parse::<sfv::Dictionary>() else { return base };
        for (key, member) in members {
            // Unknown members are ignored, as the RFC requires.
            let sfv::ListEntry::Item(item) = member else { continue };
            match (key.as_str(), item.bare_item.as_integer(), item.bare_item.as_boolean()) {
                ("u", Some(urgency), _) => {
                    let urgency = u8::try_from(i64::from(urgency)).ok();
                    priority.urgency =
                        urgency.filter(|urgency| *urgency <= MAX_URGENCY).unwrap_or(priority.urgency);
                }
                ("i", _, Some(incremental)) => priority.incremental = incremental,
                _ => {}
            }
        }
        priority
    }

    /// Whether a body of this priority, begun earlier or not, is sent before one of `other`.
    fn precedes(self, other: Self, begun_earlier: bool) -> bool {
        if self.urgency != other.urgency {
            return self.urgency < other.urgency;
        }
        match (self.incremental, other.incremental) {
            (false, true) => true,
            (false, false) => begun_earlier,
            (true, _) => false,
        }
    }
}

/// Number of a body on its connection, in the order in which bodies begin.
pub type BodyId = u64;

/// Time without progress after which a body no longer delays others, in milliseconds: its client may not be reading.
const STALL_TIMEOUT_MS: f64 = 200.0;
/// Longest time after which a body that may not be sent asks again, in milliseconds.
pub const RECHECK_INTERVAL_MS: f64 = STALL_TIMEOUT_MS / 4.0;

#[derive(Clone, Copy, Debug)]
struct Body {
    priority: Priority,
    /// When bytes of the body were last accepted by the transport.
    progress_ms: f64,
}

impl Body {
    fn is_stalled(&self, now: f64) -> bool {
        now - self.progress_ms >= STALL_TIMEOUT_MS
    }
}

/// The unfinished response bodies of one connection.
#[derive(Clone, Debug, Default)]
pub struct SendScheduler {
    bodies: BTreeMap<BodyId, Body>,
    last_id: BodyId,
}

impl SendScheduler {
    /// Adds a body.
    pub fn add(&mut self, now: f64, priority: Priority) -> BodyId {
        self.last_id += 1;
        self.bodies.insert(self.last_id, Body { priority, progress_ms: now });
        self.last_id
    }

    /// Whether bytes of a body may be sent now: no body that precedes it is unfinished, except stalled ones.
    pub fn may_send(&self, now: f64, id: BodyId) -> bool {
        let Some(body) = self.bodies.get(&id) else { return true };
        !self.bodies.iter().any(|(other_id, other)| {
            other.priority.precedes(body.priority, *other_id < id) && !other.is_stalled(now)
        })
    }

    /// Records that bytes of a body were accepted by the transport.
    pub fn progressed(&mut self, now: f64, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.progress_ms = now;
        }
    }

    /// Removes a body that is complete or no longer wanted.
    pub fn remove(&mut self, id: BodyId) {
        self.bodies.remove(&id);
    }

    /// Number of unfinished bodies.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Whether there is no unfinished body.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }
}

#[cfg(test)]
mod tests;
