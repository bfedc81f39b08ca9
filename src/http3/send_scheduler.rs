//! Decides which response bodies of a connection may be sent, by the urgency and incremental parameters of
//! RFC 9218, so that a large response does not delay small ones. The transport itself sends all streams
//! round-robin, so this module limits which bodies are written to it. No I/O.

use std::collections::BTreeMap;

/// Largest value of the urgency parameter, which is the least urgent.
const MAX_URGENCY: u8 = 7;

/// Priority of a response (RFC 9218, section 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Urgency, from 0 (most urgent) to 7 (least urgent).
    pub urgency: u8,
    /// Whether the client can process the response incrementally. Incremental responses of the same urgency
    /// are sent interleaved.
    pub incremental: bool,
}

impl Priority {
    /// The most urgent priority.
    pub const HIGHEST: Self = Self { urgency: 0, incremental: false };
    /// The default priority of RFC 9218.
    pub const DEFAULT: Self = Self { urgency: 3, incremental: false };

    /// Parses a `Priority` header, a dictionary of structured fields (RFC 9651). Parameters that are missing
    /// or invalid are taken from `base`.
    pub fn parse(text: &str, base: Self) -> Self {
        let mut priority = base;
        let Ok(members) = sfv::Parser::new(text).parse::<sfv::Dictionary>() else { return base };
        for (key, member) in members {
            // Unknown members and members of another type, such as inner lists, are ignored, as RFC 9218
            // requires.
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

    /// Whether a body of this priority must be sent before a body of priority `other`. `added_earlier` is
    /// whether this body was added before the other one.
    fn precedes(self, other: Self, added_earlier: bool) -> bool {
        if self.urgency != other.urgency {
            return self.urgency < other.urgency;
        }
        match (self.incremental, other.incremental) {
            (false, true) => true,
            (false, false) => added_earlier,
            (true, _) => false,
        }
    }
}

/// Identifier of a body on its connection, in the order in which bodies are added.
pub type BodyId = u64;

/// Time without progress after which a body no longer blocks others, in milliseconds. Guards against
/// clients that stop reading a stream.
const STALL_TIMEOUT_MS: f64 = 200.0;
/// Interval at which a blocked body checks whether it may be sent, in milliseconds. Detects stalled bodies.
pub const RECHECK_INTERVAL_MS: f64 = STALL_TIMEOUT_MS / 4.0;

#[derive(Clone, Copy, Debug)]
struct Body {
    priority: Priority,
    /// When the transport last accepted bytes of the body.
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
    /// Adds a body and returns its identifier.
    pub fn add(&mut self, now: f64, priority: Priority) -> BodyId {
        self.last_id += 1;
        self.bodies.insert(self.last_id, Body { priority, progress_ms: now });
        self.last_id
    }

    /// Whether bytes of a body may be sent now: all bodies that precede it are finished or stalled.
    pub fn may_send(&self, now: f64, id: BodyId) -> bool {
        let Some(body) = self.bodies.get(&id) else { return true };
        !self.bodies.iter().any(|(other_id, other)| {
            other.priority.precedes(body.priority, *other_id < id) && !other.is_stalled(now)
        })
    }

    /// Records that the transport accepted bytes of a body.
    pub fn record_progress(&mut self, now: f64, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.progress_ms = now;
        }
    }

    /// Removes a body that is complete or abandoned.
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
