//! Calls and answers that outlive their connection. No I/O.
//!
//! A call is known by its session and its id. The first claim of it is the call; a later one, from a connection that
//! came after the first was lost, joins it while it runs and gets its answer once it has one. So an ad-post that was
//! taken is never taken again for being asked again. A read whose client is gone runs on for a while only; a write
//! always runs to its end. What is held is bounded in number, by session and in bytes.

use crate::state::requests::FinalResponse;
use std::collections::{BTreeSet, HashMap};

/// A session's number.
pub use crate::wire::front::SessionId;
/// A call within a session.
pub type Key = (SessionId, u64);

/// What an entry costs beside its body, in bytes.
pub const ENTRY_BYTES: usize = 320;

/// Bounds and times, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ShelfBounds {
    /// Calls held.
    pub calls: usize,
    /// Calls held of one session.
    pub per_session: usize,
    /// Bytes held.
    pub bytes: usize,
    /// How long a read runs on after its last client was lost.
    pub linger_ms: f64,
    /// How long the answer to a read is kept.
    pub keep_read_ms: f64,
    /// How long the answer to a write is kept.
    pub keep_write_ms: f64,
}

/// What a claim of a call comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// It is new: it is to be taken.
    New,
    /// It runs: its answer is to be waited for.
    Joined,
    /// It has its answer.
    Done(FinalResponse),
    /// Another request has the id.
    Conflict,
    /// No room: trying again does no harm.
    Full,
}

#[derive(Clone, Debug)]
enum State {
    Running { attached: u32, lost_ms: f64 },
    Done { answer: FinalResponse, until_ms: f64, bytes: usize },
}

#[derive(Clone, Debug)]
struct Entry {
    /// What the request was, so that another one under its id is told from it.
    digest: u64,
    write: bool,
    state: State,
}

/// Figures of a shelf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ShelfFigures {
    /// Calls taken.
    pub taken: u64,
    /// Claims that joined a running call.
    pub joined: u64,
    /// Claims answered from the shelf.
    pub answered: u64,
    /// Claims under an id that another request has.
    pub conflicts: u64,
    /// Claims for which there was no room.
    pub full: u64,
    /// Calls whose last client was lost while they ran.
    pub lost: u64,
    /// Of them reads called off after their time.
    pub called_off: u64,
    /// Answers dropped before their time, for want of room: reads, and writes.
    pub evicted: [u64; 2],
}

/// The shelf. See the module's page.
#[derive(Debug)]
pub struct ResponseStore {
    bounds: ShelfBounds,
    entries: HashMap<Key, Entry>,
    sessions: HashMap<SessionId, usize>,
    /// Done calls: writes last, then by when they are dropped (its bits order as the times do).
    done: BTreeSet<(bool, u64, Key)>,
    /// Running reads without a client, by when they are called off.
    lost: BTreeSet<(u64, Key)>,
    bytes: usize,
    /// Its figures.
    pub figures: ShelfFigures,
}

fn bits(ms: f64) -> u64 {
    ms.max(0.0).to_bits()
}

impl ResponseStore {
    /// An empty shelf.
    pub fn new(bounds: ShelfBounds) -> Self {
        Self {
            bounds,
            entries: HashMap::new(),
            sessions: HashMap::new(),
            done: BTreeSet::new(),
            lost: BTreeSet::new(),
            bytes: 0,
            figures: ShelfFigures::default(),
        }
    }

    /// A client asks for a call.
    pub fn claim(&mut self, now: f64, key: Key, digest: u64, write: bool) -> Claim {
        self.drop_old(now);
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.digest != digest || entry.write != write {
                self.figures.conflicts += 1;
                return Claim::Conflict;
            }
            return match &mut entry.state {
                State::Running { attached, lost_ms } => {
                    self.lost.remove(&(bits(*lost_ms + self.bounds.linger_ms), key));
                    *attached += 1;
                    self.figures.joined += 1;
                    Claim::Joined
                }
                State::Done { answer, .. } => {
                    self.figures.answered += 1;
                    Claim::Done(answer.clone())
                }
            };
        }
        let mine = self.sessions.get(&key.0).copied().unwrap_or(0);
        let room = mine < self.bounds.per_session || self.evict(|(_, _, held)| held.0 == key.0);
        if !room || !self.make_room(1, ENTRY_BYTES) {
            self.figures.full += 1;
            return Claim::Full;
        }
        self.figures.taken += 1;
        let state = State::Running { attached: 1, lost_ms: f64::INFINITY };
        self.entries.insert(key, Entry { digest, write, state });
        *self.sessions.entry(key.0).or_default() += 1;
        self.bytes += ENTRY_BYTES;
        Claim::New
    }

    /// A call has its answer. Whether the shelf keeps it depends on what it is.
    pub fn finished(&mut self, now: f64, key: Key, answer: &FinalResponse) {
        let Some(entry) = self.entries.get(&key) else { return };
        let State::Running { lost_ms, .. } = entry.state else { return };
        self.lost.remove(&(bits(lost_ms + self.bounds.linger_ms), key));
        let write = entry.write;
        let (keep_ms, bytes) = match answer {
            // Nothing ran: asked again it is a new call, as it would be for a client that heard of it.
            FinalResponse::Rejected { .. } => (0.0, 0),
            FinalResponse::Failed { .. } if !write => (0.0, 0),
            FinalResponse::Failed { .. } | FinalResponse::NotModified { .. } => (self.kept_ms(write), 0),
            FinalResponse::Served { body, .. } => (self.kept_ms(write), body.len()),
        };
        if keep_ms <= 0.0 {
            return self.remove(key);
        }
        let fits = bytes + ENTRY_BYTES <= self.bounds.bytes && self.make_room(0, bytes);
        // A write whose answer has no room stays as one that may have run: it must not be taken for new.
        let failed = FinalResponse::Failed { overdue: false };
        let (answer, bytes) = match fits {
            true => (answer, bytes),
            false if write => (&failed, 0),
            false => return self.remove(key),
        };
        let until_ms = now + keep_ms;
        self.bytes += bytes;
        self.done.insert((write, bits(until_ms), key));
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = State::Done { answer: answer.clone(), until_ms, bytes };
        }
    }

    /// A call was not taken after all.
    pub fn not_taken(&mut self, key: Key) {
        self.remove(key);
    }

    fn kept_ms(&self, write: bool) -> f64 {
        if write {
            self.bounds.keep_write_ms
        } else {
            self.bounds.keep_read_ms
        }
    }

    /// A client of a running call was lost: it may come back.
    pub fn lost(&mut self, now: f64, key: Key) {
        let linger = self.bounds.linger_ms;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let State::Running { attached, lost_ms } = &mut entry.state else { return };
        *attached = attached.saturating_sub(1);
        if *attached > 0 {
            return;
        }
        self.figures.lost += 1;
        *lost_ms = now;
        if !entry.write {
            self.lost.insert((bits(now + linger), key));
        }
    }

    /// A client of a running call said that it wants it no more. Returns whether the call is to be called off: a
    /// write never is, since it may have run, and is not to be taken for new when it is asked again.
    pub fn cancelled(&mut self, now: f64, key: Key) -> bool {
        self.lost(now, key);
        let Some(entry) = self.entries.get(&key) else { return false };
        let idle = matches!(entry.state, State::Running { attached: 0, .. });
        if entry.write || !idle {
            return false;
        }
        self.figures.called_off += 1;
        self.remove(key);
        true
    }

    /// Drops what is past its time; the reads that come back are to be called off.
    pub fn tick(&mut self, now: f64) -> Vec<Key> {
        self.drop_old(now);
        let mut off = Vec::new();
        while let Some((at, key)) = self.lost.first().copied().filter(|(at, _)| f64::from_bits(*at) <= now) {
            self.lost.remove(&(at, key));
            self.remove(key);
            self.figures.called_off += 1;
            off.push(key);
        }
        off
    }

    /// When there is something to do next.
    pub fn next_due(&self) -> f64 {
        let first = |write| self.done.range((write, 0, (0, 0))..).next().filter(|(w, _, _)| *w == write);
        let done = [false, true].into_iter().filter_map(first).map(|(_, at, _)| f64::from_bits(*at));
        let lost = self.lost.first().map(|(at, _)| f64::from_bits(*at));
        done.chain(lost).fold(f64::INFINITY, f64::min)
    }

    /// Calls held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn drop_old(&mut self, now: f64) {
        for write in [false, true] {
            let next = |done: &BTreeSet<(bool, u64, Key)>| {
                let first = done.range((write, 0, (0, 0))..).next().copied();
                first.filter(|(w, at, _)| *w == write && f64::from_bits(*at) <= now)
            };
            while let Some((_, _, key)) = next(&self.done) {
                self.remove(key);
            }
        }
    }

    /// Makes room for so many more entries and bytes by dropping answers, reads before writes, the oldest first.
    fn make_room(&mut self, entries: usize, bytes: usize) -> bool {
        while self.entries.len() + entries > self.bounds.calls || self.bytes + bytes > self.bounds.bytes {
            if !self.evict(|_| true) {
                return false;
            }
        }
        true
    }

    fn evict(&mut self, which: impl Fn(&(bool, u64, Key)) -> bool) -> bool {
        let Some((write, _, key)) = self.done.iter().find(|held| which(held)).copied() else { return false };
        self.figures.evicted[usize::from(write)] += 1;
        self.remove(key);
        true
    }

    fn remove(&mut self, key: Key) {
        let Some(entry) = self.entries.remove(&key) else { return };
        self.bytes -= ENTRY_BYTES;
        match entry.state {
            State::Done { until_ms, bytes, .. } => {
                self.bytes -= bytes;
                self.done.remove(&(entry.write, bits(until_ms), key));
            }
            State::Running { lost_ms, .. } => {
                self.lost.remove(&(bits(lost_ms + self.bounds.linger_ms), key));
            }
        }
        if let Some(n) = self.sessions.get_mut(&key.0) {
            *n -= 1;
            if *n == 0 {
                self.sessions.remove(&key.0);
            }
        }
    }
}

#[cfg(test)]
mod tests;
