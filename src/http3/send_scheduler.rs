//! Whose body goes next on a connection: the urgency and incrementality of RFC 9218, so that a clip's part does not
//! hold up the small objects behind it. The transport takes turns among streams by itself; here it is decided whose
//! bytes are handed to it. No I/O.

use std::collections::BTreeMap;

/// A request's priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// 0, the most urgent, to 7.
    pub urgency: u8,
    /// Its bytes are of use one by one: it shares with its like.
    pub incremental: bool,
}

impl Priority {
    /// Where nothing is said: urgency 3, as the RFC has it.
    pub const DEFAULT: Self = Self { urgency: 3, incremental: false };

    /// Reads a `Priority` header, a dictionary of structured fields (RFC 9651): what it does not say, or says in a way
    /// that can't be read, is as in `base`.
    pub fn parse(text: &str, base: Self) -> Self {
        let mut read = base;
        let Ok(members) = sfv::Parser::new(text).parse::<sfv::Dictionary>() else { return base };
        for (key, member) in members {
            // Parameters, and members that nobody knows, say nothing here.
            let sfv::ListEntry::Item(item) = member else { continue };
            match (key.as_str(), item.bare_item.as_integer(), item.bare_item.as_boolean()) {
                ("u", Some(urgency), _) => {
                    let urgency = i64::from(urgency);
                    read.urgency = u8::try_from(urgency).ok().filter(|u| *u <= 7).unwrap_or(read.urgency);
                }
                ("i", _, Some(incremental)) => read.incremental = incremental,
                _ => {}
            }
        }
        read
    }
}

/// A body's number on its connection.
pub type BodyId = u64;

/// How long a body may take nothing, in milliseconds, before the others stop waiting for it: its client may not read
/// it, and must not hold up all others by that.
const STUCK_MS: f64 = 200.0;

#[derive(Clone, Copy, Debug)]
struct Body {
    priority: Priority,
    moved_ms: f64,
}

/// The bodies of one connection that are not yet handed over.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    bodies: BTreeMap<BodyId, Body>,
    next: BodyId,
}

impl Turns {
    /// A body begins.
    pub fn begin(&mut self, now: f64, priority: Priority) -> BodyId {
        self.next += 1;
        self.bodies.insert(self.next, Body { priority, moved_ms: now });
        self.next
    }

    /// Whether the next bytes of a body may go now: nothing more urgent waits to go, and among those as urgent the
    /// first goes first, unless both are incremental.
    pub fn may(&self, now: f64, id: BodyId) -> bool {
        let Some(own) = self.bodies.get(&id) else { return true };
        let ahead = |(k, other): (&BodyId, &Body)| {
            let (a, b) = (other.priority, own.priority);
            let first = a.urgency < b.urgency
                || (a.urgency == b.urgency && !a.incremental && b.incremental)
                || (a.urgency == b.urgency && a.incremental == b.incremental && !a.incremental && *k < id);
            first && now - other.moved_ms < STUCK_MS
        };
        !self.bodies.iter().any(ahead)
    }

    /// Some of a body's bytes were taken.
    pub fn moved(&mut self, now: f64, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.moved_ms = now;
        }
    }

    /// A body is handed over whole, or is not wanted any more.
    pub fn end(&mut self, id: BodyId) {
        self.bodies.remove(&id);
    }

    /// How many bodies are on their way.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }

    /// How long one that may not go now waits at the most before it asks again, in milliseconds.
    pub fn look_again_ms(&self) -> f64 {
        STUCK_MS / 4.0
    }
}

#[cfg(test)]
mod tests;
